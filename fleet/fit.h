/* fit - index of workers by free resources; private to fleet

   A segment tree over the workers in a fixed order, with the maximum of each
   resource in each node.  Finding the first worker that holds a job takes
   logarithmic time unless the maxima come from different workers.  */

#ifndef CUMINPIN_FIT_H
#define CUMINPIN_FIT_H

#include <stdbool.h>
#include <stdint.h>

#define FIT_NONE UINT32_MAX

/* Signed: a worker may have less than nothing free.  */
typedef struct amounts
{
  int64_t cpu_milli;
  int64_t mem_mib;
  int64_t accels;
} amounts_t;

typedef struct fit
{
  amounts_t *nodes; /* nodes[1] is the root */
  uint32_t leaves;  /* a power of two */
} fit_t;

bool amounts_cover (const amounts_t *have, const amounts_t *need);
void amounts_add (amounts_t *to, const amounts_t *more);
void amounts_subtract (amounts_t *from, const amounts_t *less);

/* fit_reset - COUNT workers with nothing free.  */
void fit_reset (fit_t *fit, uint32_t count);
void fit_clear (fit_t *fit);

void fit_set (fit_t *fit, uint32_t index, const amounts_t *amounts);

/* fit_find - the first worker that covers NEED and is not one of the
   SKIP_COUNT workers in SKIP, or FIT_NONE.  */
uint32_t fit_find (const fit_t *fit, const amounts_t *need,
                   const uint32_t *skip, uint32_t skip_count);

#endif

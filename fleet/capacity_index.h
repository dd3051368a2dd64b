/* capacity_index - index of workers by free resources; private to fleet

   A segment tree over the workers in a fixed order, with the maximum of each
   resource in each node.  Finding the first worker that holds a job takes
   logarithmic time unless the maxima come from different workers.  */

#ifndef CUMINPIN_CAPACITY_INDEX_H
#define CUMINPIN_CAPACITY_INDEX_H

#include <stdbool.h>
#include <stdint.h>

#define CAPACITY_INDEX_NONE UINT32_MAX

/* Signed: a worker may have less than nothing free.  */
typedef struct amounts
{
  int64_t cpu_milli;
  int64_t mem_mib;
  int64_t accels;
} amounts_t;

typedef struct capacity_index
{
  amounts_t *nodes; /* nodes[1] is the root */
  uint32_t leaves;  /* a power of two */
} capacity_index_t;

bool amounts_cover (const amounts_t *have, const amounts_t *need);
void amounts_add (amounts_t *to, const amounts_t *more);
void amounts_subtract (amounts_t *from, const amounts_t *less);

/* capacity_index_reset - COUNT workers with nothing free.  */
void capacity_index_reset (capacity_index_t *fit, uint32_t count);
void capacity_index_clear (capacity_index_t *fit);

void capacity_index_set (capacity_index_t *fit, uint32_t index,
                         const amounts_t *amounts);

/* capacity_index_find - the first worker that covers NEED and is not one of
   the SKIP_COUNT workers in SKIP, or CAPACITY_INDEX_NONE.  */
uint32_t capacity_index_find (const capacity_index_t *fit,
                              const amounts_t *need, const uint32_t *skip,
                              uint32_t skip_count);

#endif

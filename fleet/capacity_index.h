/* capacity_index - index of workers by free resources; private to fleet

   A segment tree over the workers in a fixed order.  Each node holds the
   maximum of each resource in its subtree.  Finding the first worker with room
   for a job takes logarithmic time unless the maxima of a node come from
   different workers.  */

#ifndef CUMINPIN_CAPACITY_INDEX_H
#define CUMINPIN_CAPACITY_INDEX_H

#include <stdbool.h>
#include <stdint.h>

#define CAPACITY_INDEX_NONE UINT32_MAX

/* Amounts of resources.  Signed, because the runs of a worker may use more
   than its capacity.  */
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

/* amounts_cover - whether HAVE is at least NEED in every resource.  */
bool amounts_cover (const amounts_t *have, const amounts_t *need);
void amounts_add (amounts_t *to, const amounts_t *more);
void amounts_subtract (amounts_t *from, const amounts_t *less);

/* capacity_index_reset - sets the number of workers to COUNT.  None of them
   covers any need before capacity_index_set.  */
void capacity_index_reset (capacity_index_t *tree, uint32_t count);
void capacity_index_clear (capacity_index_t *tree);

/* capacity_index_set - sets the AMOUNTS of the worker INDEX.  */
void capacity_index_set (capacity_index_t *tree, uint32_t index,
                         const amounts_t *amounts);

/* capacity_index_find - returns the first worker that covers NEED and is not
   one of the SKIP_COUNT workers in SKIP, or CAPACITY_INDEX_NONE.  */
uint32_t capacity_index_find (const capacity_index_t *tree,
                              const amounts_t *need, const uint32_t *skip,
                              uint32_t skip_count);

#endif

/* expiry - queue entries ordered by expiry time

   A binary heap in a GPtrArray.  Each entry stores its index, so that it can
   be removed in logarithmic time.  Private to this package.  */

#ifndef CUMINPIN_EXPIRY_H
#define CUMINPIN_EXPIRY_H

#include "admit.h"

/* heap_index of an entry that is not in the heap.  */
#define HEAP_INDEX_NONE UINT32_MAX

void expiry_add (GPtrArray *heap, queue_entry_t *entry);
void expiry_remove (GPtrArray *heap, queue_entry_t *entry);

/* expiry_first - returns the entry that expires first, or NULL.  */
queue_entry_t *expiry_first (const GPtrArray *heap);

#endif

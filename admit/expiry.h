/* expiry - the entries of a queue by their time of expiry

   A binary heap in a GPtrArray; each entry knows its place, so that it can be
   taken out in logarithmic time.  Private to this package.  */

#ifndef CUMINPIN_EXPIRY_H
#define CUMINPIN_EXPIRY_H

#include "admit.h"

/* heap_index of an entry that is in no heap.  */
#define NOT_EXPIRING UINT32_MAX

void expiry_add (GPtrArray *heap, queue_entry_t *entry);
void expiry_remove (GPtrArray *heap, queue_entry_t *entry);

/* expiry_first - the entry that expires first, or NULL.  */
queue_entry_t *expiry_first (const GPtrArray *heap);

#endif

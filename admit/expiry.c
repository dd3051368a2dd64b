#include "expiry.h"

static queue_entry_t *
at (const GPtrArray *heap, uint32_t index)
{
  return heap->pdata[index];
}

static void
set (GPtrArray *heap, uint32_t index, queue_entry_t *entry)
{
  heap->pdata[index] = entry;
  entry->heap_index = index;
}

/* Puts ENTRY at INDEX or, where it expires earlier, above.  */
static void
sift_up (GPtrArray *heap, uint32_t index, queue_entry_t *entry)
{
  while (index > 0)
    {
      uint32_t parent = (index - 1) / 2;

      if (at (heap, parent)->expires_us <= entry->expires_us)
        break;
      set (heap, index, at (heap, parent));
      index = parent;
    }
  set (heap, index, entry);
}

/* Puts ENTRY at INDEX or, where it expires later, below.  */
static void
sift_down (GPtrArray *heap, uint32_t index, queue_entry_t *entry)
{
  for (uint32_t child; (child = 2 * index + 1) < heap->len; index = child)
    {
      if (child + 1 < heap->len
          && at (heap, child + 1)->expires_us < at (heap, child)->expires_us)
        child++;
      if (entry->expires_us <= at (heap, child)->expires_us)
        break;
      set (heap, index, at (heap, child));
    }
  set (heap, index, entry);
}

void
expiry_add (GPtrArray *heap, queue_entry_t *entry)
{
  g_ptr_array_add (heap, entry);
  sift_up (heap, heap->len - 1, entry);
}

void
expiry_remove (GPtrArray *heap, queue_entry_t *entry)
{
  uint32_t index = entry->heap_index;
  queue_entry_t *last = at (heap, heap->len - 1);

  entry->heap_index = NOT_EXPIRING;
  g_ptr_array_set_size (heap, (gint)heap->len - 1);
  if (last == entry)
    return;
  if (last->expires_us < entry->expires_us)
    sift_up (heap, index, last);
  else
    sift_down (heap, index, last);
}

queue_entry_t *
expiry_first (const GPtrArray *heap)
{
  return heap->len > 0 ? at (heap, 0) : NULL;
}

#include "expiry.h"

static queue_entry_t *
heap_at (const GPtrArray *heap, uint32_t index)
{
  return heap->pdata[index];
}

static void
heap_set (GPtrArray *heap, uint32_t index, queue_entry_t *entry)
{
  heap->pdata[index] = entry;
  entry->heap_index = index;
}

/* Stores ENTRY at INDEX, or above it past parents that expire later.  */
static void
sift_up (GPtrArray *heap, uint32_t index, queue_entry_t *entry)
{
  while (index > 0)
    {
      uint32_t parent = (index - 1) / 2;

      if (heap_at (heap, parent)->expires_us <= entry->expires_us)
        break;
      heap_set (heap, index, heap_at (heap, parent));
      index = parent;
    }
  heap_set (heap, index, entry);
}

/* Stores ENTRY at INDEX, or below it past children that expire earlier.  */
static void
sift_down (GPtrArray *heap, uint32_t index, queue_entry_t *entry)
{
  for (uint32_t child; (child = 2 * index + 1) < heap->len; index = child)
    {
      if (child + 1 < heap->len
          && heap_at (heap, child + 1)->expires_us
                 < heap_at (heap, child)->expires_us)
        child++;
      if (entry->expires_us <= heap_at (heap, child)->expires_us)
        break;
      heap_set (heap, index, heap_at (heap, child));
    }
  heap_set (heap, index, entry);
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
  queue_entry_t *last = heap_at (heap, heap->len - 1);

  entry->heap_index = HEAP_INDEX_NONE;
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
  return heap->len > 0 ? heap_at (heap, 0) : NULL;
}

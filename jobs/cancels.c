#include "cancels.h"
#include <string.h>

void
cancels_init (cancels_t *set)
{
  set->links = g_hash_table_new (g_str_hash, g_str_equal);
  g_queue_init (&set->rows);
  set->dropped = 0;
}

void
cancels_clear (cancels_t *set)
{
  g_hash_table_destroy (set->links);
  g_queue_clear_full (&set->rows, g_free);
}

static cancelled_t *
find_row (const cancels_t *set, const char *id)
{
  const GList *link = g_hash_table_lookup (set->links, id);

  return link ? link->data : NULL;
}

static void
drop_oldest (cancels_t *set)
{
  cancelled_t *row = g_queue_peek_head (&set->rows);

  set->dropped = row->limit;
  g_hash_table_remove (set->links, row->id);
  g_free (g_queue_pop_head (&set->rows));
}

void
cancels_add (cancels_t *set, const char *id, uint64_t limit, int64_t now_us)
{
  GList *link = g_hash_table_lookup (set->links, id);
  cancelled_t *row;

  if (link)
    {
      g_queue_unlink (&set->rows, link);
      g_queue_push_tail_link (&set->rows, link);
      row = link->data;
    }
  else
    {
      if (set->rows.length == CANCELS_MAX)
        drop_oldest (set);
      row = g_new0 (cancelled_t, 1);
      g_strlcpy (row->id, id, sizeof row->id);
      g_queue_push_tail (&set->rows, row);
      g_hash_table_insert (set->links, row->id, set->rows.tail);
    }
  row->limit = limit;
  row->read_us = now_us;
}

uint64_t
cancels_limit (const cancels_t *set, const char *id)
{
  const cancelled_t *row = find_row (set, id);

  return row ? row->limit : set->dropped;
}

bool
cancels_hold (const cancels_t *set, const char *id, int64_t now_us)
{
  const cancelled_t *row = find_row (set, id);

  return row && now_us - row->read_us < CANCELS_HOLD_US;
}

void
cancels_set_read (cancels_t *set, int64_t now_us)
{
  for (GList *link = set->rows.head; link; link = link->next)
    ((cancelled_t *)link->data)->read_us = now_us;
}

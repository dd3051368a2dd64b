#include "cancels.h"
#include <string.h>

static guint
hash_row (gconstpointer data)
{
  const cancelled_t *row = data;

  return g_str_hash (row->id) ^ (guint)row->scope;
}

static gboolean
rows_equal (gconstpointer a, gconstpointer b)
{
  const cancelled_t *l = a;
  const cancelled_t *r = b;

  return l->scope == r->scope && strcmp (l->id, r->id) == 0;
}

void
cancels_init (cancels_t *set)
{
  set->links = g_hash_table_new (hash_row, rows_equal);
  g_queue_init (&set->rows);
  set->dropped = 0;
}

void
cancels_clear (cancels_t *set)
{
  g_hash_table_destroy (set->links);
  g_queue_clear_full (&set->rows, g_free);
}

static GList *
find_link (const cancels_t *set, const char *id, uint64_t scope)
{
  cancelled_t key = { .scope = scope };

  g_strlcpy (key.id, id, sizeof key.id);
  return g_hash_table_lookup (set->links, &key);
}

static const cancelled_t *
find_row (const cancels_t *set, const char *id, uint64_t scope)
{
  const GList *link = find_link (set, id, scope);

  return link ? link->data : NULL;
}

static void
drop_oldest (cancels_t *set)
{
  cancelled_t *row = g_queue_peek_head (&set->rows);

  set->dropped = row->limit;
  g_hash_table_remove (set->links, row);
  g_free (g_queue_pop_head (&set->rows));
}

void
cancels_add (cancels_t *set, const char *id, uint64_t scope, uint64_t limit,
             int64_t now_us)
{
  GList *link = find_link (set, id, scope);
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
      row->scope = scope;
      g_queue_push_tail (&set->rows, row);
      g_hash_table_insert (set->links, row, set->rows.tail);
    }
  row->limit = limit;
  row->read_us = now_us;
}

uint64_t
cancels_limit (const cancels_t *set, const char *id, uint64_t scope)
{
  const cancelled_t *row = find_row (set, id, scope);
  const cancelled_t *any = find_row (set, id, 0);

  return MAX (row ? row->limit : set->dropped, any ? any->limit : 0);
}

bool
cancels_hold (const cancels_t *set, const char *id, uint64_t scope,
              int64_t now_us)
{
  const cancelled_t *row = find_row (set, id, scope);
  const cancelled_t *any = find_row (set, id, 0);

  return (row && now_us - row->read_us < CANCELS_HOLD_US)
         || (any && now_us - any->read_us < CANCELS_HOLD_US);
}

void
cancels_set_read (cancels_t *set, int64_t now_us)
{
  for (GList *link = set->rows.head; link; link = link->next)
    ((cancelled_t *)link->data)->read_us = now_us;
}

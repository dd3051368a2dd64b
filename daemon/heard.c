#include "heard.h"

typedef struct told
{
  uint32_t in_use;
  uint32_t queued;
  int64_t at_us;
} told_t;

void
heard_open (heard_t *heard, total_kind_t kind)
{
  heard->kind = kind;
  pthread_mutex_init (&heard->lock, NULL);
  heard->totals
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
heard_close (heard_t *heard)
{
  g_hash_table_destroy (heard->totals);
  pthread_mutex_destroy (&heard->lock);
}

void
heard_note (heard_t *heard, const char *peer, const msg_totals_t *totals,
            int64_t now_us)
{
  pthread_mutex_lock (&heard->lock);
  for (uint32_t i = 0; i < totals->count; i++)
    {
      const msg_total_t *total = &totals->totals[i];
      told_t told = { total->in_use, total->queued, now_us };

      if (total->kind == heard->kind)
        g_hash_table_insert (heard->totals,
                             g_strdup_printf ("%s %s", peer, total->name),
                             g_memdup2 (&told, sizeof told));
    }
  pthread_mutex_unlock (&heard->lock);
}

bool
heard_add (heard_t *heard, const char *peer, const char *name, int64_t now_us,
           int64_t age_us, uint32_t *in_use, uint32_t *queued)
{
  g_autofree char *key = g_strdup_printf ("%s %s", peer, name);
  const told_t *told;
  bool recent;

  pthread_mutex_lock (&heard->lock);
  told = g_hash_table_lookup (heard->totals, key);
  recent = told && now_us - told->at_us <= age_us;
  if (recent)
    {
      *in_use += told->in_use;
      *queued += told->queued;
    }
  pthread_mutex_unlock (&heard->lock);
  return recent;
}

#include "peer_totals.h"

typedef struct peer_total
{
  uint32_t in_use;
  uint32_t queued;
  int64_t at_us;
} peer_total_t;

void
peer_totals_open (peer_totals_t *peer_totals, total_kind_t kind)
{
  peer_totals->kind = kind;
  pthread_mutex_init (&peer_totals->lock, NULL);
  peer_totals->totals
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
peer_totals_close (peer_totals_t *peer_totals)
{
  g_hash_table_destroy (peer_totals->totals);
  pthread_mutex_destroy (&peer_totals->lock);
}

void
peer_totals_record (peer_totals_t *peer_totals, const char *peer,
                    const msg_totals_t *totals, int64_t now_us)
{
  pthread_mutex_lock (&peer_totals->lock);
  for (uint32_t i = 0; i < totals->count; i++)
    {
      const msg_total_t *total = &totals->totals[i];
      peer_total_t entry = { total->in_use, total->queued, now_us };

      if (total->kind == peer_totals->kind)
        g_hash_table_insert (peer_totals->totals,
                             g_strdup_printf ("%s %s", peer, total->name),
                             g_memdup2 (&entry, sizeof entry));
    }
  pthread_mutex_unlock (&peer_totals->lock);
}

bool
peer_totals_add (peer_totals_t *peer_totals, const char *peer,
                 const char *name, int64_t now_us, int64_t age_us,
                 uint32_t *in_use, uint32_t *queued)
{
  g_autofree char *key = g_strdup_printf ("%s %s", peer, name);
  const peer_total_t *entry;
  bool recent;

  pthread_mutex_lock (&peer_totals->lock);
  entry = g_hash_table_lookup (peer_totals->totals, key);
  recent = entry && now_us - entry->at_us <= age_us;
  if (recent)
    {
      *in_use += entry->in_use;
      *queued += entry->queued;
    }
  pthread_mutex_unlock (&peer_totals->lock);
  return recent;
}

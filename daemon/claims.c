#include "daemon.h"
#include <string.h>

void
claims_open (claims_t *claims, int64_t now_ms)
{
  memset (claims, 0, sizeof *claims);
  pthread_mutex_init (&claims->lock, NULL);
  claims->table = dedup_new (now_ms);
}

void
claims_close (claims_t *claims)
{
  dedup_free (claims->table);
  pthread_mutex_destroy (&claims->lock);
}

static uint64_t
hash_hosts (const view_t *view)
{
  uint64_t hash = 0;

  for (uint32_t i = 0; i < view->entry_hosts_count; i++)
    hash = hash_bytes (view->entry_hosts[i], strlen (view->entry_hosts[i]),
                       hash);
  return hash;
}

void
claims_update (claims_t *claims, const view_t *view, int64_t now_ms)
{
  uint64_t hash = hash_hosts (view);

  pthread_mutex_lock (&claims->lock);
  /* The previous owner may not have read the change yet; it can grant ids
     until its view is stale.  */
  if (claims->hosts_hash && claims->hosts_hash != hash)
    dedup_set_start (claims->table, now_ms + FRESH_MAX_AGE_US / 1000);
  claims->hosts_hash = hash;
  pthread_mutex_unlock (&claims->lock);
}

const char *
claims_owner (const view_t *view, const dedup_id_t *id)
{
  if (view->entry_hosts_count == 0)
    return NULL;
  return view->entry_hosts[dedup_owner (id, view->entry_hosts,
                                        view->entry_hosts_count)];
}

err_kind_t
claims_grant (claims_t *claims, const view_t *view, const char *name,
              const dedup_id_t *id, int64_t now_us, int64_t now_ms)
{
  const char *owner = claims_owner (view, id);
  err_kind_t error;

  if (!owner || strcmp (owner, name) != 0
      || view_freshness (view, now_us, 0) == STALE)
    return ERR_ID_OWNER_AWAY;
  pthread_mutex_lock (&claims->lock);
  error = dedup_claim (claims->table, id, now_ms);
  pthread_mutex_unlock (&claims->lock);
  counter_add (error == ERR_NONE ? COUNT_CLAIMS_GRANTED : COUNT_CLAIMS_REFUSED,
               1);
  return error;
}

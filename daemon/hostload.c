#include "control.h"
#include <string.h>

/* A daemon tells of each draining host with each beat; what is older than a
   few of them may no longer be so.  */
#define TOLD_MAX_US 2000000

typedef struct told
{
  uint32_t in_use;
  int64_t at_us;
} told_t;

struct hostload
{
  pthread_mutex_t lock;
  GHashTable *told; /* "PEER HOST" to told_t */
};

hostload_t *
hostload_new (void)
{
  hostload_t *loads = g_new0 (hostload_t, 1);

  pthread_mutex_init (&loads->lock, NULL);
  loads->told
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return loads;
}

void
hostload_free (hostload_t *loads)
{
  g_hash_table_destroy (loads->told);
  pthread_mutex_destroy (&loads->lock);
  g_free (loads);
}

static bool
is_draining (const view_t *view, const char *host)
{
  const host_state_t *state = table_find (&view->state->hosts, host);

  return state && state->phase == HOST_DRAINING;
}

/* Requests of this daemon on HOST.  */
static uint32_t
own_load (const view_t *view, const char *host)
{
  uint32_t load = 0;

  for (uint32_t i = 0; i < view->services_count; i++)
    for (uint32_t j = 0; j < view->services[i].upstreams_count; j++)
      {
        const view_upstream_t *upstream = &view->services[i].upstreams[j];

        if (strcmp (upstream->rule->host, host) == 0)
          load += escrow_in_use (upstream->live->slots);
      }
  return load;
}

uint32_t
hostload_list (const view_t *view, msg_total_t *totals, uint32_t max)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < view->state->hosts.count && count < max; i++)
    {
      const host_state_t *host = table_at (&view->state->hosts, i);

      if (host->phase != HOST_DRAINING)
        continue;
      totals[count].kind = TOTAL_HOST;
      totals[count].in_use = own_load (view, host->name);
      g_strlcpy (totals[count].name, host->name, REC_NAME_BYTES);
      count++;
    }
  return count;
}

void
hostload_note (hostload_t *loads, const char *peer, const msg_totals_t *totals,
               int64_t now_us)
{
  pthread_mutex_lock (&loads->lock);
  for (uint32_t i = 0; i < totals->count; i++)
    {
      const msg_total_t *total = &totals->totals[i];
      told_t told = { total->in_use, now_us };

      if (total->kind == TOTAL_HOST)
        g_hash_table_insert (loads->told,
                             g_strdup_printf ("%s %s", peer, total->name),
                             g_memdup2 (&told, sizeof told));
    }
  pthread_mutex_unlock (&loads->lock);
}

/* False when PEER has not told of HOST lately.  */
static bool
add_told (const hostload_t *loads, const char *peer, const char *host,
          int64_t now_us, uint32_t *load)
{
  g_autofree char *key = g_strdup_printf ("%s %s", peer, host);
  const told_t *told = g_hash_table_lookup (loads->told, key);

  if (!told || now_us - told->at_us > TOLD_MAX_US)
    return false;
  *load += told->in_use;
  return true;
}

bool
hostload_sum (hostload_t *loads, const view_t *view, const char *self,
              const char *host, int64_t now_us, uint32_t *load)
{
  bool known = is_draining (view, host);

  *load = own_load (view, host);
  pthread_mutex_lock (&loads->lock);
  for (uint32_t i = 0; i < view->entry_hosts_count && known; i++)
    if (strcmp (view->entry_hosts[i], self) != 0)
      known = add_told (loads, view->entry_hosts[i], host, now_us, load);
  pthread_mutex_unlock (&loads->lock);
  return known;
}

#include "peer_totals.h"
#include <string.h>

/* Moves follow demand that lasts for seconds, so a pool's total is sent at
   most once per SEND_INTERVAL_US, and again after RESEND_INTERVAL_US for peers
   that missed it.  */
#define SEND_INTERVAL_US 2000000
#define RESEND_INTERVAL_US 4000000
#define TOTALS_MAX_AGE_US 10000000
#define MILLI 1000

typedef struct sent_total
{
  uint32_t in_use;
  uint32_t queued;
  int64_t at_us;
} sent_total_t;

struct demand
{
  peer_totals_t peer_totals;
  GHashTable *sent; /* pool to the sent_total_t last sent; peer thread only */
  int64_t next_send_us; /* peer thread only */
};

demand_t *
demand_new (void)
{
  demand_t *demand = g_new0 (demand_t, 1);

  peer_totals_open (&demand->peer_totals, TOTAL_POOL);
  demand->sent
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return demand;
}

void
demand_free (demand_t *demand)
{
  peer_totals_close (&demand->peer_totals);
  g_hash_table_destroy (demand->sent);
  g_free (demand);
}

/* This daemon's requests at the services of POOL.  */
static sent_total_t
own_total (const view_t *view, const char *pool, int64_t now_us)
{
  sent_total_t total = { .at_us = now_us };

  for (uint32_t i = 0; i < view->services_count; i++)
    {
      const view_service_t *service = &view->services[i];

      if (strcmp (service->rule->pool, pool) != 0)
        continue;
      total.queued += atomic_load (&service->runtime->queued);
      for (uint32_t j = 0; j < service->upstreams_count; j++)
        total.in_use += escrow_in_use (service->upstreams[j].runtime->slots);
    }
  return total;
}

static bool
should_send (const sent_total_t *last, const sent_total_t *own)
{
  bool busy = own->in_use > 0 || own->queued > 0;

  if (!last)
    return busy;
  if (last->in_use != own->in_use || last->queued != own->queued)
    return true;
  return busy && own->at_us - last->at_us >= RESEND_INTERVAL_US;
}

uint32_t
demand_list (demand_t *demand, const view_t *view, msg_total_t *totals,
             uint32_t max, int64_t now_us)
{
  const fleet_t *fleet = view->state->config->fleet;
  uint32_t count = 0;

  if (now_us < demand->next_send_us)
    return 0;
  demand->next_send_us = now_us + SEND_INTERVAL_US;
  for (uint32_t i = 0; i < fleet->pools_count && count < max; i++)
    {
      const char *pool = fleet->pools[i].name;
      sent_total_t own = own_total (view, pool, now_us);
      msg_total_t *total = &totals[count];

      if (!should_send (g_hash_table_lookup (demand->sent, pool), &own))
        continue;
      total->kind = TOTAL_POOL;
      total->in_use = own.in_use;
      total->queued = own.queued;
      g_strlcpy (total->name, pool, REC_NAME_BYTES);
      g_hash_table_insert (demand->sent, g_strdup (pool),
                           g_memdup2 (&own, sizeof own));
      count++;
    }
  return count;
}

void
demand_record (demand_t *demand, const char *peer, const msg_totals_t *totals,
               int64_t now_us)
{
  peer_totals_record (&demand->peer_totals, peer, totals, now_us);
}

/* Counts the slots of the upstreams of POOL's services and the hosts these
   upstreams are on, whichever pool a host is in now.  A host that joins the
   pool is assumed to add the mean number of slots.  */
static void
count_capacity (const view_t *view, const char *pool, uint64_t *slots,
                uint32_t *hosts)
{
  g_autoptr (GHashTable) seen = g_hash_table_new (g_str_hash, g_str_equal);

  *slots = 0;
  for (uint32_t i = 0; i < view->services_count; i++)
    {
      const view_service_t *service = &view->services[i];

      if (strcmp (service->rule->pool, pool) != 0)
        continue;
      for (uint32_t j = 0; j < service->upstreams_count; j++)
        {
          *slots += service->upstreams[j].rule->slots;
          g_hash_table_add (seen, service->upstreams[j].rule->host);
        }
    }
  *hosts = g_hash_table_size (seen);
}

void
demand_sum (demand_t *demand, const view_t *view, const char *self,
            const char *pool, int64_t now_us, pool_load_t *load)
{
  sent_total_t own = own_total (view, pool, now_us);
  uint64_t slots;
  uint64_t milli;
  uint32_t hosts;

  *load = (pool_load_t){ g_intern_string (pool), own.in_use, own.queued, 0,
                         false };
  for (uint32_t i = 0; i < view->entry_hosts_count; i++)
    if (strcmp (view->entry_hosts[i], self) != 0)
      peer_totals_add (&demand->peer_totals, view->entry_hosts[i], load->pool,
                       now_us, TOTALS_MAX_AGE_US, &load->in_use,
                       &load->queued);
  count_capacity (view, pool, &slots, &hosts);
  if (slots == 0)
    return;
  load->serves = true;
  milli = ((uint64_t)load->in_use + load->queued) * MILLI * hosts / slots;
  load->milli = (uint32_t)MIN (milli, UINT32_MAX);
}

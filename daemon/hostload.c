#include "peer_totals.h"
#include <string.h>

/* A daemon reports each draining host with each heartbeat, so a total older
   than a few heartbeats may be outdated.  */
#define TOTALS_MAX_AGE_US 2000000

struct hostload
{
  peer_totals_t peer_totals;
};

hostload_t *
hostload_new (void)
{
  hostload_t *loads = g_new0 (hostload_t, 1);

  peer_totals_open (&loads->peer_totals, TOTAL_HOST);
  return loads;
}

void
hostload_free (hostload_t *loads)
{
  peer_totals_close (&loads->peer_totals);
  g_free (loads);
}

static bool
is_draining (const view_t *view, const char *host)
{
  const host_state_t *state = table_find (&view->state->hosts, host);

  return state && state->phase == HOST_DRAINING;
}

/* This daemon's requests on HOST.  */
static uint32_t
own_load (const view_t *view, const char *host)
{
  uint32_t load = 0;

  for (uint32_t i = 0; i < view->services_count; i++)
    for (uint32_t j = 0; j < view->services[i].upstreams_count; j++)
      {
        const view_upstream_t *upstream = &view->services[i].upstreams[j];

        if (strcmp (upstream->rule->host, host) == 0)
          load += escrow_in_use (upstream->runtime->slots);
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
hostload_record (hostload_t *loads, const char *peer,
                 const msg_totals_t *totals, int64_t now_us)
{
  peer_totals_record (&loads->peer_totals, peer, totals, now_us);
}

bool
hostload_sum (hostload_t *loads, const view_t *view, const char *self,
              const char *host, int64_t now_us, uint32_t *load)
{
  bool known = is_draining (view, host);
  uint32_t queued = 0; /* always 0: requests are not queued per host */

  *load = own_load (view, host);
  for (uint32_t i = 0; i < view->entry_hosts_count && known; i++)
    if (strcmp (view->entry_hosts[i], self) != 0)
      known = peer_totals_add (&loads->peer_totals, view->entry_hosts[i], host,
                               now_us, TOTALS_MAX_AGE_US, load, &queued);
  return known;
}

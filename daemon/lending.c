#include "exchange.h"
#include <string.h>

#define LOAN_REQUEST_MAX 1000
#define PEERS_MAX 64
/* Upstreams of a service to request slots of at once; each takes a
   message.  */
#define UPSTREAMS_REQUESTED_MAX 4

struct lending
{
  const settings_t *settings;
  loop_config_t *config;
  transport_t *transport;
  loans_t *loans;
  uint32_t first_upstream; /* index to start the selection of upstreams from */
};

static bool
send_to (void *ctx, const char *peer, const msg_t *msg)
{
  return transport_send (((lending_t *)ctx)->transport, peer, msg);
}

static escrow_t *
find_escrow (void *ctx, loan_kind_t kind, const char *name)
{
  (void)ctx;
  return runtime_permits (kind, name);
}

static uint32_t
count_queued (const view_t *view)
{
  uint32_t queued = 0;

  for (uint32_t i = 0; i < view->services_count; i++)
    queued += atomic_load (&view->services[i].runtime->queued);
  return queued;
}

static bool
may_lend (void *ctx)
{
  const lending_t *lending = ctx;
  const view_t *view;
  bool may;

  rcu_read_lock ();
  view = view_get ();
  may = view && !atomic_load (&lending->config->stopping)
        && view_freshness (view, clock_mono_us (), 0) != STALE;
  rcu_read_unlock ();
  return may;
}

static bool
has_queue (void *ctx)
{
  const view_t *view;
  uint32_t queued;

  (void)ctx;
  rcu_read_lock ();
  view = view_get ();
  queued = view ? count_queued (view) : 0;
  rcu_read_unlock ();
  return queued > 0;
}

/* Dispatches the requests that waited for the loan.  Those that got a permit
   may still lack a slot, so request loans again.  */
static void
on_borrowed (void *ctx, loan_kind_t kind, const char *name)
{
  const view_t *view;

  (void)kind;
  (void)name;
  rcu_read_lock ();
  view = view_get ();
  if (view)
    {
      admission_dispatch_all (view, clock_mono_us ());
      lending_request (ctx, view, clock_mono_us ());
    }
  rcu_read_unlock ();
}

lending_t *
lending_new (const settings_t *settings, loop_config_t *config,
             transport_t *transport)
{
  lending_t *lending = g_new0 (lending_t, 1);
  loans_config_t loans = { .send = send_to,
                           .find_escrow = find_escrow,
                           .may_lend = may_lend,
                           .has_queue = has_queue,
                           .on_borrowed = on_borrowed,
                           .ctx = lending };

  lending->settings = settings;
  lending->config = config;
  lending->transport = transport;
  lending->loans = loans_new (&loans);
  return lending;
}

void
lending_free (lending_t *lending)
{
  loans_free (lending->loans);
  g_free (lending);
}

/* Fills PEERS with the live peers, those of DATA_CENTRE first, and returns
   their number.  */
static uint32_t
list_peers (const lending_t *lending, const char *data_centre,
            const char **peers, int64_t now_us)
{
  const member_list_t *members = transport_members (lending->transport);
  uint32_t count = 0;

  for (uint32_t pass = 0; pass < 2; pass++)
    for (uint32_t i = 0; i < members->count && count < PEERS_MAX; i++)
      {
        const member_t *member = &members->members[i];
        bool local = strcmp (member->data_centre, data_centre) == 0;

        if (local == (pass == 0)
            && member_phase_at (member, now_us) == MEMBER_ALIVE)
          peers[count++] = member->name;
      }
  return count;
}

static void
request_permits (lending_t *lending, const view_t *view, int64_t now_us)
{
  /* permits_wanted counts a request at each dispatch attempt; the number of
     queued requests is an upper bound.  */
  uint32_t max_wanted = MIN (count_queued (view), LOAN_REQUEST_MAX);
  const char *peers[PEERS_MAX];
  uint32_t count
      = list_peers (lending, lending->settings->data_centre, peers, now_us);

  for (uint32_t i = 0; i < view->teams_count; i++)
    {
      team_runtime_t *team = view->teams[i].runtime;
      uint32_t wanted
          = MIN (atomic_exchange (&team->permits_wanted, 0), max_wanted);

      if (wanted > 0)
        loans_request (lending->loans, LOAN_TEAM, team->name, wanted, peers,
                       count, now_us);
    }
}

/* Asks the daemons of UPSTREAM's data centre first because they hold its
   slots.  */
static uint32_t
request_slots_of (lending_t *lending, const view_t *view,
                  const view_upstream_t *upstream, uint32_t wanted,
                  int64_t now_us)
{
  const char *data_centre = fleet_upstream_data_centre (
      view->state->config->fleet, upstream->rule);
  uint32_t amount = MIN (wanted, upstream->rule->slots);
  const char *peers[PEERS_MAX];
  uint32_t count = list_peers (lending, data_centre, peers, now_us);

  loans_request (lending->loans, LOAN_UPSTREAM, upstream->runtime->name,
                 amount, peers, count, now_us);
  return amount;
}

static bool
can_serve (const view_upstream_t *upstream, int64_t now_us)
{
  health_status_t status = health_status (&upstream->runtime->health, now_us);

  return upstream->in_service
         && (status == HEALTH_OK || status == HEALTH_PROBE);
}

/* Upstreams of the own data centre come first.  The starting point rotates
   because all slots of one upstream may be in use.  */
static void
request_slots (lending_t *lending, const view_t *view,
               const view_service_t *service, int64_t now_us)
{
  uint32_t wanted = atomic_load (&service->runtime->queued);
  uint32_t count = service->upstreams_count;
  uint32_t requested = 0;

  lending->first_upstream++;
  for (uint32_t pass = 0; pass < 2; pass++)
    for (uint32_t i = 0;
         i < count && wanted > 0 && requested < UPSTREAMS_REQUESTED_MAX; i++)
      {
        const view_upstream_t *upstream
            = &service->upstreams[(lending->first_upstream + i) % count];

        if (upstream->local != (pass == 0) || !can_serve (upstream, now_us))
          continue;
        wanted -= request_slots_of (lending, view, upstream, wanted, now_us);
        requested++;
      }
}

void
lending_request (lending_t *lending, const view_t *view, int64_t now_us)
{
  request_permits (lending, view, now_us);
  for (uint32_t i = 0; i < view->services_count; i++)
    if (atomic_exchange (&view->services[i].runtime->slots_wanted, false))
      request_slots (lending, view, &view->services[i], now_us);
}

void
lending_receive (lending_t *lending, const char *peer, const msg_t *msg)
{
  loans_receive (lending->loans, peer, msg, clock_mono_us (),
                 clock_wall_ms ());
}

void
lending_tick (lending_t *lending, int64_t now_us)
{
  loans_tick (lending->loans, now_us);
}

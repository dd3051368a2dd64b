#include "exchange.h"
#include <string.h>

/* Age of the last log read after which records are fetched from peers.  */
#define FETCH_AFTER_US 2000000

/* After start, all but transport, host_loads, demand and the strings is used
   by the peer thread only.  */
struct exchange
{
  const settings_t *settings;
  loop_config_t *config;
  replica_t *replica;
  hostload_t *host_loads;
  demand_t *demand;
  transport_t *transport;
  gate_t gate;
  lending_t *lending;
  uint64_t peers_version;     /* config version of the transport's peers */
  heartbeat_info_t heartbeat; /* the last one set */
  bool stale;
  atomic_bool ready; /* transport is set */
};

/* Finds a peer with a higher log offset to fetch records from, preferably in
   this data centre.  */
static const char *
find_peer_ahead (const exchange_t *exchange, int64_t now_us)
{
  const member_list_t *members = transport_members (exchange->transport);
  uint64_t offset = atomic_load (&sync_status.offset);
  const char *found = NULL;

  for (uint32_t i = 0; i < members->count; i++)
    {
      const member_t *member = &members->members[i];

      if (member->offset <= offset
          || member_phase_at (member, now_us) == MEMBER_GONE)
        continue;
      if (strcmp (member->data_centre, exchange->settings->data_centre) == 0)
        return member->name;
      found = member->name;
    }
  return found;
}

static void
fetch_records (exchange_t *exchange, int64_t now_us)
{
  msg_t msg = { .kind = MSG_FETCH };
  const char *peer;

  if (now_us - atomic_load (&sync_status.log_read_us) < FETCH_AFTER_US)
    return;
  peer = find_peer_ahead (exchange, now_us);
  msg.u.fetch.offset = atomic_load (&sync_status.offset);
  if (peer)
    transport_send (exchange->transport, peer, &msg);
}

#define TOTALS_MAX 256

static void
send_totals (exchange_t *exchange, const view_t *view, int64_t now_us)
{
  msg_total_t totals[TOTALS_MAX];
  msg_t msg = { .kind = MSG_TOTALS };

  msg.u.totals.totals = totals;
  msg.u.totals.count = hostload_list (view, totals, TOTALS_MAX);
  msg.u.totals.count
      += demand_list (exchange->demand, view, totals + msg.u.totals.count,
                      TOTALS_MAX - msg.u.totals.count, now_us);
  if (msg.u.totals.count > 0)
    transport_send_all (exchange->transport, &msg);
}

static void
report_freshness (exchange_t *exchange, const view_t *view, int64_t now_us)
{
  bool stale = view_freshness (view, now_us, 0) == STALE;

  if (stale != exchange->stale)
    event_log (stale ? EV_VIEW_STALE : EV_VIEW_FRESH, "offset=%" PRIu64,
               view->state->offset);
  exchange->stale = stale;
}

/* Updates the heartbeat.  Call after VIEW's shares are applied.  */
static void
update_heartbeat (exchange_t *exchange, const view_t *view, int64_t now_us)
{
  heartbeat_info_t heartbeat = {
    .config_version = view ? state_config_version (view->state) : 0,
    .offset = atomic_load (&sync_status.offset),
    .log_read_us = atomic_load (&sync_status.log_read_us),
  };

  if (view && shares_are_settled ()
      && now_us >= exchange->gate.share.hold_from_us)
    heartbeat.settled_version = heartbeat.config_version;
  transport_set_heartbeat (exchange->transport, &heartbeat);
  /* Peers wait for these versions before they raise their shares.  */
  if (heartbeat.config_version != exchange->heartbeat.config_version
      || heartbeat.settled_version != exchange->heartbeat.settled_version)
    transport_send_heartbeats (exchange->transport);
  exchange->heartbeat = heartbeat;
}

static void
apply_view (exchange_t *exchange, const view_t *view, int64_t now_us)
{
  uint64_t version = state_config_version (view->state);

  if (version == 0)
    return;
  if (version != exchange->peers_version)
    {
      const fleet_t *fleet = view->state->config->fleet;

      transport_set_peers (exchange->transport, fleet->entry_hosts,
                           fleet->entry_hosts_count);
      exchange->peers_version = version;
    }
  shares_apply (view, gate_is_open (&exchange->gate, view, now_us));
  lending_request (exchange->lending, view, now_us);
  send_totals (exchange, view, now_us);
  report_freshness (exchange, view, now_us);
}

static void
on_tick (void *ctx, int64_t now_us)
{
  exchange_t *exchange = ctx;
  const view_t *view;

  if (!atomic_load (&exchange->ready))
    return;
  lending_tick (exchange->lending, now_us);
  rcu_read_lock ();
  view = view_get ();
  if (view)
    apply_view (exchange, view, now_us);
  update_heartbeat (exchange, view, now_us);
  fetch_records (exchange, now_us);
  rcu_read_unlock ();
}

static claim_verdict_t
claim_verdict (err_kind_t error)
{
  if (error == ERR_NONE)
    return CLAIM_GRANTED;
  if (error == ERR_ID_REPEATED)
    return CLAIM_REPEATED;
  return error == ERR_ID_INVALID ? CLAIM_INVALID : CLAIM_REFUSED;
}

static err_kind_t
claim_error (claim_verdict_t verdict)
{
  switch (verdict)
    {
    case CLAIM_GRANTED:
      return ERR_NONE;
    case CLAIM_REPEATED:
      return ERR_ID_REPEATED;
    case CLAIM_INVALID:
      return ERR_ID_INVALID;
    case CLAIM_REFUSED:
      return ERR_ID_OWNER_AWAY;
    }
  return ERR_ID_OWNER_AWAY;
}

static void
handle_claim (exchange_t *exchange, const char *peer, const msg_claim_t *claim)
{
  msg_t msg = { .kind = MSG_CLAIM_REPLY };
  err_kind_t error = ERR_ID_OWNER_AWAY;
  const view_t *view;
  dedup_id_t id;

  memcpy (id.bytes, claim->id, sizeof id.bytes);
  rcu_read_lock ();
  view = view_get ();
  if (view)
    error = claims_grant (&exchange->config->claims, view,
                          exchange->settings->name, &id, clock_mono_us (),
                          clock_wall_ms ());
  rcu_read_unlock ();
  msg.u.claim_reply.number = claim->number;
  msg.u.claim_reply.verdict = claim_verdict (error);
  transport_send (exchange->transport, peer, &msg);
}

static void
handle_fetch (exchange_t *exchange, const char *peer, uint64_t from)
{
  msg_t msg = { .kind = MSG_RELAY };

  if (replica_fill_relay (exchange->replica, from, &msg.u.relay))
    transport_send (exchange->transport, peer, &msg);
  relay_clear (&msg.u.relay);
}

static void
on_message (void *ctx, const char *peer, uint64_t incarnation,
            const msg_t *msg)
{
  exchange_t *exchange = ctx;

  (void)incarnation;
  if (!atomic_load (&exchange->ready))
    return;
  switch (msg->kind)
    {
    case MSG_CLAIM:
      handle_claim (exchange, peer, &msg->u.claim);
      return;
    case MSG_CLAIM_REPLY:
      loop_post_claim (exchange->config, msg->u.claim_reply.number,
                       claim_error (msg->u.claim_reply.verdict));
      return;
    case MSG_LOAN_REQUEST:
    case MSG_LOAN:
      lending_receive (exchange->lending, peer, msg);
      return;
    case MSG_FETCH:
      handle_fetch (exchange, peer, msg->u.fetch.offset);
      return;
    case MSG_RELAY:
      replica_apply_relay (exchange->replica, &msg->u.relay);
      return;
    case MSG_TOTALS:
      hostload_record (exchange->host_loads, peer, &msg->u.totals,
                       clock_mono_us ());
      demand_record (exchange->demand, peer, &msg->u.totals, clock_mono_us ());
      return;
    case MSG_HELLO:
    case MSG_PROOF:
    case MSG_HEARTBEAT:
    case MSG_UNKNOWN:
      return;
    }
}

exchange_t *
exchange_start (const settings_t *settings, loop_config_t *config,
                replica_t *replica, uint64_t incarnation)
{
  exchange_t *exchange = g_new0 (exchange_t, 1);
  transport_config_t transport = {
    .name = settings->name,
    .data_centre = settings->data_centre,
    .incarnation = incarnation,
    .secret = settings->secret,
    .address = settings->address,
    .port = settings->peer_port,
    .on_message = on_message,
    .on_tick = on_tick,
    .ctx = exchange,
  };

  exchange->settings = settings;
  exchange->config = config;
  exchange->replica = replica;
  exchange->host_loads = hostload_new ();
  exchange->demand = demand_new ();
  exchange->stale = true;
  exchange->transport = transport_start (&transport);
  if (!exchange->transport)
    {
      demand_free (exchange->demand);
      hostload_free (exchange->host_loads);
      g_free (exchange);
      return NULL;
    }
  gate_init (&exchange->gate, settings, replica, exchange->transport);
  exchange->lending = lending_new (settings, config, exchange->transport);
  transport_set_seeds (exchange->transport,
                       (const char *const *)settings->seed_peers,
                       settings->seed_peers_count);
  sync_status.data_centre = settings->data_centre;
  sync_status.transport = exchange->transport;
  atomic_store (&exchange->ready, true);
  return exchange;
}

uint16_t
exchange_port (const exchange_t *exchange)
{
  return transport_port (exchange->transport);
}

typedef struct usage
{
  uint32_t in_use;
  uint32_t lent;
} usage_t;

static void
add_team (team_runtime_t *team, void *ctx)
{
  usage_t *usage = ctx;

  usage->in_use += escrow_in_use (team->permits);
  usage->lent += escrow_lent (team->permits);
}

static void
add_upstream (upstream_runtime_t *upstream, void *ctx)
{
  usage_t *usage = ctx;

  usage->in_use += escrow_in_use (upstream->slots);
  usage->lent += escrow_lent (upstream->slots);
}

bool
exchange_stop (exchange_t *exchange)
{
  usage_t usage = { 0 };
  bool may_leave;

  /* Stop the thread first: it could lend permits after they are counted.  */
  transport_stop (exchange->transport);
  runtime_visit_teams (add_team, &usage);
  runtime_visit_upstreams (add_upstream, &usage);
  may_leave = share_may_leave (&exchange->gate.share, usage.in_use, usage.lent,
                               clock_mono_us ());
  lending_free (exchange->lending);
  demand_free (exchange->demand);
  hostload_free (exchange->host_loads);
  g_free (exchange);
  return may_leave;
}

void
exchange_view_changed (exchange_t *exchange)
{
  transport_send_heartbeats (exchange->transport);
}

uint32_t
exchange_live_hosts (const exchange_t *exchange, const char **names,
                     uint32_t max, int64_t now_us)
{
  const member_list_t *members = transport_members (exchange->transport);
  uint32_t count = 0;

  names[count++] = g_intern_string (exchange->settings->name);
  for (uint32_t i = 0; i < members->count && count < max; i++)
    if (member_phase_at (&members->members[i], now_us) == MEMBER_ALIVE)
      names[count++] = members->members[i].name;
  return count;
}

bool
exchange_host_load (exchange_t *exchange, const view_t *view, const char *host,
                    int64_t now_us, uint32_t *load)
{
  return hostload_sum (exchange->host_loads, view, exchange->settings->name,
                       host, now_us, load);
}

demand_t *
exchange_demand (const exchange_t *exchange)
{
  return exchange->demand;
}

bool
exchange_request_claim (exchange_t *exchange, const char *owner,
                        uint64_t number, const dedup_id_t *id)
{
  msg_t msg = { .kind = MSG_CLAIM };

  msg.u.claim.number = number;
  memcpy (msg.u.claim.id, id->bytes, sizeof msg.u.claim.id);
  return transport_send (exchange->transport, owner, &msg);
}

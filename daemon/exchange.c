#include "daemon.h"
#include <string.h>

/* Of its free permits a lender keeps one in so many for its own clients.  */
#define LEND_KEEP 8
#define LOAN_ASK_MAX 1000
#define ASKED_MAX 64
/* Records are fetched from peers when the log was not read for so long.  */
#define FETCH_AFTER_US 2000000

/* A loan that was asked for.  */
typedef struct asked
{
  uint64_t number; /* 0: none */
  const char *peer;
} asked_t;

/* All but link and the strings is used by the peer thread only, after start.
 */
struct exchange
{
  const settings_t *settings;
  loop_config_t *config;
  replica_t *replica;
  hostload_t *loads;
  demand_t *demand;
  link_t *link;
  int64_t started_us;
  share_gate_t gate;
  uint64_t version; /* whose entry hosts the link was given */
  own_beat_t beat;  /* the last one */
  uint64_t next_number;
  asked_t asked[ASKED_MAX]; /* a ring, by number */
  bool quarantined;
  bool stale;
  atomic_bool ready; /* link is set */
};

static const member_t *
find_member (const member_list_t *members, const char *name)
{
  for (uint32_t i = 0; members && i < members->count; i++)
    if (strcmp (members->members[i].name, name) == 0)
      return &members->members[i];
  return NULL;
}

/* A listed host that is gone counts as one that is not listed: it is stale by
   now, or has ended.  */
static share_report_t
report_of (const member_list_t *members, const char *name, bool listed,
           int64_t now_us)
{
  const member_t *member = find_member (members, name);

  if (!member)
    return (share_report_t){ 0 };
  return member_report (
      member, listed && member_judge (member, now_us) != MEMBER_GONE);
}

/* Reports of all other hosts that may hold shares; their number.  */
static uint32_t
list_reports (const exchange_t *exchange, const view_t *view,
              share_report_t *reports, int64_t now_us)
{
  const member_list_t *members = link_members (exchange->link);
  const char *self = exchange->settings->name;
  uint32_t count = 0;

  for (uint32_t i = 0; i < view->entry_hosts_count; i++)
    if (strcmp (view->entry_hosts[i], self) != 0)
      reports[count++]
          = report_of (members, view->entry_hosts[i], true, now_us);
  for (uint32_t i = 0; i < view->state->entries.count; i++)
    {
      const entry_state_t *entry = table_at (&view->state->entries, i);

      if (entry->left || strcmp (entry->name, self) == 0
          || fleet_find_entry_host (view->state->config->fleet, entry->name))
        continue;
      reports[count++] = report_of (members, entry->name, false, now_us);
    }
  return count;
}

/* Sets the gate to VIEW and the end of the quarantine.  */
static void
set_gate (exchange_t *exchange, const view_t *view, int64_t now_us)
{
  int64_t wait_us
      = replica_quarantine_us (exchange->replica, view->run_max_ms * 1000);
  int64_t hold_from_us
      = wait_us == INT64_MAX ? INT64_MAX : exchange->started_us + wait_us;
  bool quarantined = now_us < hold_from_us;

  if (quarantined != exchange->quarantined && wait_us != INT64_MAX)
    event_log (quarantined ? EV_QUARANTINE_BEGAN : EV_QUARANTINE_ENDED,
               "wait_ms=%" PRId64, wait_us / 1000);
  exchange->quarantined = quarantined;
  share_gate_set (&exchange->gate, state_config_version (view->state),
                  hold_from_us);
}

static bool
judge_gate (exchange_t *exchange, const view_t *view, int64_t now_us)
{
  share_report_t *reports = g_new0 (
      share_report_t, view->entry_hosts_count + view->state->entries.count);
  uint32_t count = list_reports (exchange, view, reports, now_us);
  bool open;

  set_gate (exchange, view, now_us);
  open = share_gate_judge (&exchange->gate, reports, count, now_us,
                           share_wait_us (view->run_max_ms * 1000),
                           view->grace_max_ms * 1000);
  g_free (reports);
  return open;
}

static void
tick_team (team_live_t *team, void *ctx)
{
  const int64_t *now_us = ctx;

  escrow_tick (team->permits, *now_us);
}

static void
tick_upstream (upstream_live_t *upstream, void *ctx)
{
  const int64_t *now_us = ctx;

  escrow_tick (upstream->slots, *now_us);
}

static void
ask_peers (exchange_t *exchange, const char *team, uint32_t count,
           int64_t now_us)
{
  const member_list_t *members = link_members (exchange->link);

  for (uint32_t i = 0; i < members->count; i++)
    {
      const member_t *member = &members->members[i];
      msg_t msg = { .kind = MSG_LOAN_ASK };
      asked_t *slot;

      if (member_judge (member, now_us) != MEMBER_ALIVE)
        continue;
      msg.u.loan_ask.number = ++exchange->next_number;
      msg.u.loan_ask.kind = LOAN_TEAM;
      msg.u.loan_ask.count = MIN (count, LOAN_ASK_MAX);
      g_strlcpy (msg.u.loan_ask.name, team, REC_NAME_BYTES);
      slot = &exchange->asked[msg.u.loan_ask.number % ASKED_MAX];
      *slot = (asked_t){ msg.u.loan_ask.number, member->name };
      link_send (exchange->link, member->name, &msg);
    }
}

static void
ask_for_loans (exchange_t *exchange, const view_t *view, int64_t now_us)
{
  for (uint32_t i = 0; i < view->teams_count; i++)
    {
      team_live_t *team = view->teams[i].live;
      uint32_t wanted = atomic_exchange (&team->wanted, 0);

      if (wanted > 0)
        ask_peers (exchange, team->name, wanted, now_us);
    }
}

/* A peer to fetch records from: one that is ahead, of this data centre if
   there is one.  */
static const char *
peer_ahead (const exchange_t *exchange, int64_t now_us)
{
  const member_list_t *members = link_members (exchange->link);
  uint64_t offset = atomic_load (&currency.offset);
  const char *found = NULL;

  for (uint32_t i = 0; i < members->count; i++)
    {
      const member_t *member = &members->members[i];

      if (member->offset <= offset
          || member_judge (member, now_us) == MEMBER_GONE)
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

  if (now_us - atomic_load (&currency.log_read_us) < FETCH_AFTER_US)
    return;
  peer = peer_ahead (exchange, now_us);
  msg.u.fetch.offset = atomic_load (&currency.offset);
  if (peer)
    link_send (exchange->link, peer, &msg);
}

#define TOTALS_MAX 64

static void
tell_loads (exchange_t *exchange, const view_t *view, int64_t now_us)
{
  msg_total_t totals[TOTALS_MAX];
  msg_t msg = { .kind = MSG_TOTALS };

  msg.u.totals.totals = totals;
  msg.u.totals.count = hostload_list (view, totals, TOTALS_MAX);
  msg.u.totals.count
      += demand_list (exchange->demand, view, totals + msg.u.totals.count,
                      TOTALS_MAX - msg.u.totals.count, now_us);
  if (msg.u.totals.count > 0)
    link_send_all (exchange->link, &msg);
}

static void
note_freshness (exchange_t *exchange, const view_t *view, int64_t now_us)
{
  bool stale = currency_judge (view, now_us, 0) == STALE;

  if (stale != exchange->stale)
    event_log (stale ? EV_VIEW_STALE : EV_VIEW_FRESH, "offset=%" PRIu64,
               view->state->offset);
  exchange->stale = stale;
}

/* What this daemon's beats say; VIEW's shares are held by now.  */
static void
set_beat (exchange_t *exchange, const view_t *view, int64_t now_us)
{
  own_beat_t beat = {
    .config_version = view ? state_config_version (view->state) : 0,
    .offset = atomic_load (&currency.offset),
    .log_read_us = atomic_load (&currency.log_read_us),
  };

  if (view && shares_are_settled () && now_us >= exchange->gate.hold_from_us)
    beat.settled_version = beat.config_version;
  link_set_beat (exchange->link, &beat);
  /* Peers wait for these versions before they raise their shares.  */
  if (beat.config_version != exchange->beat.config_version
      || beat.settled_version != exchange->beat.settled_version)
    link_beat_now (exchange->link);
  exchange->beat = beat;
}

static void
follow_view (exchange_t *exchange, const view_t *view, int64_t now_us)
{
  uint64_t version = state_config_version (view->state);

  if (version == 0)
    return;
  if (version != exchange->version)
    {
      const fleet_t *fleet = view->state->config->fleet;

      link_set_peers (exchange->link, fleet->entry_hosts,
                      fleet->entry_hosts_count);
      exchange->version = version;
    }
  shares_apply (view, judge_gate (exchange, view, now_us));
  ask_for_loans (exchange, view, now_us);
  tell_loads (exchange, view, now_us);
  note_freshness (exchange, view, now_us);
}

static void
on_tick (void *ctx, int64_t now_us)
{
  exchange_t *exchange = ctx;
  const view_t *view;

  if (!atomic_load (&exchange->ready))
    return;
  live_teams (tick_team, &now_us);
  live_upstreams (tick_upstream, &now_us);
  rcu_read_lock ();
  view = view_get ();
  if (view)
    follow_view (exchange, view, now_us);
  set_beat (exchange, view, now_us);
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
answer_claim (exchange_t *exchange, const char *peer, const msg_claim_t *claim)
{
  msg_t msg = { .kind = MSG_CLAIMED };
  err_kind_t error = ERR_ID_OWNER_AWAY;
  const view_t *view;
  once_id_t id;

  memcpy (id.bytes, claim->id, sizeof id.bytes);
  rcu_read_lock ();
  view = view_get ();
  if (view)
    error = claims_grant (&exchange->config->claims, view,
                          exchange->settings->name, &id, clock_mono_us (),
                          clock_wall_ms ());
  rcu_read_unlock ();
  msg.u.claimed.number = claim->number;
  msg.u.claimed.verdict = claim_verdict (error);
  link_send (exchange->link, peer, &msg);
}

/* Lends what is asked for, as far as it is free, but for a small part that is
   kept for this daemon's own clients.  */
static void
answer_loan_ask (exchange_t *exchange, const char *peer,
                 const msg_loan_ask_t *ask)
{
  msg_t msg = { .kind = MSG_LOAN };
  escrow_t *permits;
  int64_t left;
  int64_t keep;

  if (ask->kind != LOAN_TEAM)
    return;
  permits = live_team (ask->name)->permits;
  left = escrow_free_count (permits);
  keep = escrow_in_use (permits) > 0 ? (left + LEND_KEEP - 1) / LEND_KEEP : 0;
  if (left <= keep)
    return;
  msg.u.loan.number = ask->number;
  msg.u.loan.kind = ask->kind;
  msg.u.loan.expiry_ms = clock_wall_ms () + LOAN_US / 1000;
  g_strlcpy (msg.u.loan.name, ask->name, REC_NAME_BYTES);
  msg.u.loan.count
      = escrow_lend (permits, (uint32_t)MIN (left - keep, ask->count),
                     clock_mono_us () + LOAN_US);
  if (msg.u.loan.count == 0)
    return;
  counter_add (COUNT_LOANS_GIVEN, msg.u.loan.count);
  event_log (EV_LOAN_GIVEN, "team=%s peer=%s count=%u", ask->name, peer,
             msg.u.loan.count);
  link_send (exchange->link, peer, &msg);
}

static void
take_loan (exchange_t *exchange, const char *peer, const msg_loan_t *loan)
{
  asked_t *slot = &exchange->asked[loan->number % ASKED_MAX];
  int64_t left_us = (loan->expiry_ms - clock_wall_ms ()) * 1000;

  if (loan->kind != LOAN_TEAM || loan->number == 0
      || slot->number != loan->number || slot->peer != peer)
    return;
  slot->number = 0;
  if (left_us <= 0 || left_us > LOAN_US + CLOCK_ERROR_MS * 1000)
    return;
  if (escrow_borrow (live_team (loan->name)->permits, loan->count,
                     clock_mono_us () + left_us))
    counter_add (COUNT_LOANS_TAKEN, loan->count);
}

static void
answer_fetch (exchange_t *exchange, const char *peer, uint64_t from)
{
  msg_t msg = { .kind = MSG_RELAY };

  if (replica_relay (exchange->replica, from, &msg.u.relay))
    link_send (exchange->link, peer, &msg);
  relay_release (&msg.u.relay);
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
      answer_claim (exchange, peer, &msg->u.claim);
      return;
    case MSG_CLAIMED:
      loop_tell_claimed (exchange->config, msg->u.claimed.number,
                         claim_error (msg->u.claimed.verdict));
      return;
    case MSG_LOAN_ASK:
      answer_loan_ask (exchange, peer, &msg->u.loan_ask);
      return;
    case MSG_LOAN:
      take_loan (exchange, peer, &msg->u.loan);
      return;
    case MSG_FETCH:
      answer_fetch (exchange, peer, msg->u.fetch.offset);
      return;
    case MSG_RELAY:
      replica_accept (exchange->replica, &msg->u.relay);
      return;
    case MSG_TOTALS:
      hostload_note (exchange->loads, peer, &msg->u.totals, clock_mono_us ());
      demand_note (exchange->demand, peer, &msg->u.totals, clock_mono_us ());
      return;
    case MSG_HELLO:
    case MSG_PROOF:
    case MSG_BEAT:
    case MSG_UNKNOWN:
      return;
    }
}

exchange_t *
exchange_start (const settings_t *settings, loop_config_t *config,
                replica_t *replica, uint64_t incarnation)
{
  exchange_t *exchange = g_new0 (exchange_t, 1);
  link_config_t link = {
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
  exchange->loads = hostload_new ();
  exchange->demand = demand_new ();
  exchange->started_us = clock_mono_us ();
  exchange->quarantined = true;
  exchange->stale = true;
  exchange->gate.hold_from_us = INT64_MAX;
  exchange->link = link_start (&link);
  if (!exchange->link)
    {
      demand_free (exchange->demand);
      hostload_free (exchange->loads);
      g_free (exchange);
      return NULL;
    }
  link_set_seeds (exchange->link, (const char *const *)settings->seed_peers,
                  settings->seed_peers_count);
  currency.data_centre = settings->data_centre;
  currency.link = exchange->link;
  atomic_store (&exchange->ready, true);
  return exchange;
}

uint16_t
exchange_port (const exchange_t *exchange)
{
  return link_port (exchange->link);
}

typedef struct usage
{
  uint32_t in_use;
  uint32_t lent;
} usage_t;

static void
add_team (team_live_t *team, void *ctx)
{
  usage_t *usage = ctx;

  usage->in_use += escrow_in_use (team->permits);
  usage->lent += escrow_lent (team->permits);
}

static void
add_upstream (upstream_live_t *upstream, void *ctx)
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

  /* First the thread: what it lent after the count would not be in it.  */
  link_stop (exchange->link);
  live_teams (add_team, &usage);
  live_upstreams (add_upstream, &usage);
  may_leave = share_may_leave (&exchange->gate, usage.in_use, usage.lent,
                               clock_mono_us ());
  demand_free (exchange->demand);
  hostload_free (exchange->loads);
  g_free (exchange);
  return may_leave;
}

void
exchange_follow (exchange_t *exchange)
{
  link_beat_now (exchange->link);
}

uint32_t
exchange_alive (const exchange_t *exchange, const char **names, uint32_t max,
                int64_t now_us)
{
  const member_list_t *members = link_members (exchange->link);
  uint32_t count = 0;

  names[count++] = g_intern_string (exchange->settings->name);
  for (uint32_t i = 0; i < members->count && count < max; i++)
    if (member_judge (&members->members[i], now_us) == MEMBER_ALIVE)
      names[count++] = members->members[i].name;
  return count;
}

bool
exchange_host_load (exchange_t *exchange, const view_t *view, const char *host,
                    int64_t now_us, uint32_t *load)
{
  return hostload_sum (exchange->loads, view, exchange->settings->name, host,
                       now_us, load);
}

demand_t *
exchange_demand (const exchange_t *exchange)
{
  return exchange->demand;
}

bool
exchange_ask_claim (exchange_t *exchange, const char *owner, uint64_t number,
                    const once_id_t *id)
{
  msg_t msg = { .kind = MSG_CLAIM };

  msg.u.claim.number = number;
  memcpy (msg.u.claim.id, id->bytes, sizeof msg.u.claim.id);
  return link_send (exchange->link, owner, &msg);
}

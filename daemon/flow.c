#include "control.h"
#include "loop.h"
#include <string.h>

/* If an earlier try may have run, the request must not be refused as "not run"
   because of a later try.  */
static void
restore_past_error (req_t *req)
{
  if (!err_is_not_run (req->error) || req->past_error == ERR_NONE)
    return;
  req->error = req->past_error;
}

static void
stop_timer (req_t *req)
{
  if (!req->timer)
    return;
  timers_remove (req->timer);
  req->timer = NULL;
}

static void
finish (req_t *req)
{
  req->stage = REQ_ANSWERED;
  restore_past_error (req);
  stop_timer (req);
  if (!req->client_gone && req->error != ERR_NONE)
    counter_add (err_is_not_run (req->error) ? COUNT_REFUSED_NOT_RUN
                                             : COUNT_REFUSED_UNKNOWN,
                 1);
  else if (!req->client_gone)
    counter_add (COUNT_ANSWERED, 1);
  if (!req->suspended)
    return;
  req->suspended = false;
  req->loop->resumed = true;
  MHD_resume_connection (req->conn);
}

static void
refuse (req_t *req, err_kind_t error)
{
  req->error = error;
  finish (req);
}

static void
release_permits (team_runtime_t *team, permit_t permit,
                 upstream_runtime_t *upstream, permit_t slot)
{
  if (team && permit.source)
    escrow_release (team->permits, permit);
  if (upstream && slot.source)
    escrow_release (upstream->slots, slot);
}

/* Dispatches queued requests after a slot or permit has been released.  All
   services are tried because they share the teams' permits.  */
static void
dispatch_queued (int64_t now_us)
{
  const view_t *view;

  rcu_read_lock ();
  view = view_get ();
  if (view)
    admission_dispatch_all (view, now_us);
  rcu_read_unlock ();
}

static void
release_request (req_t *req, int64_t now_us)
{
  admission_complete (req->service, &req->dispatch, now_us);
  release_permits (req->team, req->permit, req->upstream, req->slot);
  req->permit = (permit_t){ 0 };
  req->slot = (permit_t){ 0 };
  dispatch_queued (now_us);
}

/* The upstream may still be running this try, so its permit and slot stay
   acquired until the latest time at which it can end.  */
static void
hold_permits (loop_t *loop, req_t *req)
{
  timer_entry_t entry = {
    .kind = TIMER_HOLD,
    .at_us = admission_end_us (req),
    .u.hold = { .team = req->team,
                .upstream = req->upstream,
                .service = req->service,
                .permit = req->permit,
                .slot = req->slot,
                .dispatch = req->dispatch },
  };

  timers_add (loop, &entry);
  req->permit = (permit_t){ 0 };
  req->slot = (permit_t){ 0 };
  req->dispatch = (dispatch_t){ 0 };
}

static void
start_timer (loop_t *loop, req_t *req, timer_kind_t kind, int64_t at_us)
{
  timer_entry_t entry = { .kind = kind, .at_us = at_us, .u.req = req };

  req->timer = timers_add (loop, &entry);
}

static void
admit (loop_t *loop, req_t *req, int64_t now_us)
{
  const view_t *view;
  enter_result_t result = ADMIT_REFUSED;

  req->error = ERR_NO_SERVICE;
  if (req->tries == 0)
    retry_budget_deposit (&req->service->retries);
  /* Start the timer before the request is queued: any loop may take it from
     the queue.  */
  start_timer (loop, req, TIMER_QUEUED, admission_latest_send_us (req));
  rcu_read_lock ();
  view = view_get ();
  if (view)
    result = admission_enter (req, view, now_us);
  rcu_read_unlock ();
  switch (result)
    {
    case ADMIT_RUN:
      stop_timer (req);
      send_start (loop, req, now_us);
      return;
    case ADMIT_QUEUED:
      loop->queued++;
      return;
    case ADMIT_REFUSED:
      finish (req);
      return;
    }
}

/* Time that a request waits for the owner of its id.  */
#define CLAIM_WAIT_US 1000000

/* Claims the id of a non-idempotent request from its owner.  ERR_NONE means
   granted, or, in stage REQ_CLAIMING, that the reply is pending.  */
static err_kind_t
request_claim (loop_t *loop, req_t *req, const view_t *view, int64_t now_us)
{
  loop_config_t *config = loop->config;
  const char *owner;

  if (req->idempotent)
    return ERR_NONE;
  owner = claims_owner (view, &req->dedup_id);
  if (!owner)
    return ERR_ID_OWNER_AWAY;
  if (strcmp (owner, config->name) == 0)
    return claims_grant (&config->claims, view, config->name, &req->dedup_id,
                         now_us, clock_wall_ms ());
  req->claim_number = loop_next_claim_number (loop);
  if (!exchange_request_claim (config->exchange, owner, req->claim_number,
                               &req->dedup_id))
    return ERR_ID_OWNER_AWAY;
  req->stage = REQ_CLAIMING;
  g_hash_table_insert (loop->claiming, &req->claim_number, req);
  start_timer (loop, req, TIMER_CLAIM,
               MIN (req->deadline_us, now_us + CLAIM_WAIT_US));
  return ERR_NONE;
}

static void
end_claim (loop_t *loop, req_t *req)
{
  g_hash_table_remove (loop->claiming, &req->claim_number);
  stop_timer (req);
}

void
flow_start (loop_t *loop, req_t *req, int64_t now_us)
{
  const view_t *view;
  err_kind_t error;

  rcu_read_lock ();
  view = view_get ();
  error = authenticate (req, view, view_freshness, now_us);
  if (error == ERR_NONE)
    error = request_claim (loop, req, view, now_us);
  rcu_read_unlock ();
  if (error == ERR_KEY_REJECTED)
    counter_add (COUNT_KEY_REJECTED, 1);
  if (error != ERR_NONE)
    refuse (req, error);
  else if (req->stage != REQ_CLAIMING)
    admit (loop, req, now_us);
}

void
flow_claimed (loop_t *loop, uint64_t number, err_kind_t result, int64_t now_us)
{
  req_t *req = g_hash_table_lookup (loop->claiming, &number);

  if (!req)
    return; /* the request was given up; its id stays claimed */
  end_claim (loop, req);
  if (result == ERR_NONE)
    admit (loop, req, now_us);
  else
    refuse (req, result);
}

void
flow_granted (loop_t *loop, req_t *req, int64_t now_us)
{
  loop->queued--;
  stop_timer (req);
  if (req->client_gone || now_us >= admission_latest_send_us (req))
    {
      release_request (req, now_us);
      refuse (req, ERR_EXPIRED_QUEUED);
      return;
    }
  send_start (loop, req, now_us);
}

static bool
outcome_is_unknown (try_result_t result)
{
  switch (result)
    {
    case TRY_ANSWERED:
    case TRY_FAILED:
    case TRY_REFUSED:
    case TRY_CONNECT_FAILED:
      return false;
    case TRY_TIMED_OUT:
    case TRY_CONNECTION_LOST:
    case TRY_BAD_ANSWER:
    case TRY_CANCELLED:
      return true;
    }
  return true;
}

/* The result to record for the upstream's health.  */
static try_result_t
health_result (const req_t *req, try_result_t result, int64_t now_us)
{
  int64_t usual_us = estimate_bound_us (&req->service->run_time);

  if (result != TRY_TIMED_OUT)
    return result;
  return health_timeout_result (req->sent_us, req->deadline_us, usual_us,
                                now_us);
}

static void
record_health (req_t *req, try_result_t result, int64_t now_us)
{
  health_t *health = &req->upstream->health;
  bool was_ejected = health_status (health, now_us) != HEALTH_OK;

  if (req->reply.leaving && health_mark_leaving (health, now_us))
    event_log (EV_UPSTREAM_LEAVING, "upstream=%s sign=header",
               req->upstream->name);
  if (!health_record_result (health, health_result (req, result, now_us),
                             now_us - req->sent_us, now_us))
    return;
  if (was_ejected)
    {
      event_log (EV_UPSTREAM_RETURNED, "upstream=%s", req->upstream->name);
      return;
    }
  counter_add (COUNT_UPSTREAM_EJECTED, 1);
  event_log (EV_UPSTREAM_EJECTED, "upstream=%s result=%s", req->upstream->name,
             err_response (try_error (result))->name);
}

static void
report_bad_response (const req_t *req)
{
  if (req->error == ERR_ANSWER_MISMATCHED)
    counter_add (COUNT_ANSWER_MISMATCHED, 1);
  else
    counter_add (COUNT_ANSWER_TRUNCATED, 1);
  event_log (EV_ANSWER_DROPPED, "upstream=%s request=%s reason=%s",
             req->upstream->name, req->id, err_response (req->error)->name);
}

void
flow_transfer_done (loop_t *loop, req_t *req, CURLcode code, int64_t now_us)
{
  try_result_t result = send_result (req, code);
  retry_context_t retry = {
    .result = result,
    .idempotent = req->idempotent,
    .tries = req->tries,
    .deadline_us = req->deadline_us,
  };
  int64_t delay_us;

  send_cancel (loop, req);
  if (result == TRY_ANSWERED)
    estimate_add (&req->service->run_time, now_us - req->sent_us);
  record_health (req, result, now_us);
  if (result == TRY_BAD_ANSWER)
    report_bad_response (req);
  if (result == TRY_FAILED)
    req->past_error = ERR_UPSTREAM_FAILED;
  else if (outcome_is_unknown (result))
    req->past_error = req->error;
  if (outcome_is_unknown (result) && !req->cancel_on_close)
    hold_permits (loop, req);
  else
    release_request (req, now_us);
  if (result == TRY_ANSWERED
      || !retry_decide (&req->service->retries, &retry, now_us,
                        g_random_int (), &delay_us))
    {
      finish (req);
      return;
    }
  counter_add (COUNT_RETRIES, 1);
  req->stage = REQ_BACKOFF;
  start_timer (loop, req, TIMER_BACKOFF, now_us + delay_us);
}

static void
release_hold (const hold_t *hold, int64_t now_us)
{
  dispatch_t dispatch = hold->dispatch;

  admission_complete (hold->service, &dispatch, now_us);
  release_permits (hold->team, hold->permit, hold->upstream, hold->slot);
  dispatch_queued (now_us);
}

void
flow_timer (loop_t *loop, const timer_entry_t *entry, int64_t now_us)
{
  req_t *req;

  switch (entry->kind)
    {
    case TIMER_HOLD:
      release_hold (&entry->u.hold, now_us);
      return;
    case TIMER_QUEUED:
      req = entry->u.req;
      req->timer = NULL;
      if (!admission_dequeue (req))
        return; /* already granted; the loop's pipe holds its message */
      loop->queued--;
      refuse (req, ERR_EXPIRED_QUEUED);
      return;
    case TIMER_CLAIM:
      req = entry->u.req;
      req->timer = NULL;
      g_hash_table_remove (loop->claiming, &req->claim_number);
      refuse (req, ERR_ID_OWNER_AWAY);
      return;
    case TIMER_BACKOFF:
      req = entry->u.req;
      req->timer = NULL;
      admit (loop, req, now_us);
      return;
    }
}

void
flow_client_gone (loop_t *loop, req_t *req, int64_t now_us)
{
  if (req->client_gone || req->stage == REQ_ANSWERED)
    return;
  req->client_gone = true;
  counter_add (COUNT_CLIENT_GONE, 1);
  req->error = ERR_EXPIRED_QUEUED;
  switch (req->stage)
    {
    case REQ_READING:
    case REQ_ANSWERED:
    case REQ_GRANTED:
      return;
    case REQ_CLAIMING:
      end_claim (loop, req);
      break;
    case REQ_QUEUED:
      if (!admission_dequeue (req))
        return;
      loop->queued--;
      break;
    case REQ_BACKOFF:
      break;
    case REQ_SENT:
      send_cancel (loop, req);
      health_record_result (&req->upstream->health, TRY_CANCELLED,
                            now_us - req->sent_us, now_us);
      if (req->cancel_on_close)
        release_request (req, now_us);
      else
        hold_permits (loop, req);
      break;
    }
  finish (req);
}

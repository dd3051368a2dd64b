#include "model.h"

#define US_PER_MS 1000
/* As in entry/orders.c.  */
#define ORDER_TIMEOUT_US 250000
#define HOLD_SLACK_US 300000

typedef struct call
{
  order_t order;
  model_worker_t *worker;
  bool by_present; /* its sender was the owner, when it was sent, and ... */
  int64_t shown_boot_ms; /* ... knew of this boot */
  int64_t sent_us;       /* sent then, if it is still due */
  bool is_sent;
  int64_t arrives_us; /* INT64_MAX: it doesn't, or has */
  bool late;
  bool received; /* late: its worker has compared the token when it was sent */
  bool loses_reply;
  int64_t waits_until_us; /* a hold that waits for an end; 0: it doesn't */
  int64_t boot_us;        /* of the worker where it waits */
  int64_t reply_us;       /* INT64_MAX: none yet */
  bool answered;          /* or timed out */
  worker_reply_t reply;
  worker_report_t report;
} call_t;

static GPtrArray *calls;

static void
call_free (gpointer data)
{
  call_t *call = data;

  g_free (call->report.runs);
  g_free (call->report.ends);
  g_free (call);
}

void
model_net_open (void)
{
  calls = g_ptr_array_new_with_free_func (call_free);
}

void
model_net_close (void)
{
  g_ptr_array_free (calls, TRUE);
}

static model_worker_t *
find_worker (const char *id)
{
  for (uint32_t i = 0; i < MODEL_WORKERS; i++)
    if (strcmp (model.workers[i].id, id) == 0)
      return &model.workers[i];
  return NULL;
}

void
model_net_send (GArray *orders)
{
  for (uint32_t i = 0; i < orders->len; i++)
    {
      call_t *call = g_new0 (call_t, 1);

      call->order = g_array_index (orders, order_t, i);
      call->order.payload = NULL;
      call->order.checkpoint = g_intern_string (call->order.checkpoint);
      call->worker = find_worker (call->order.worker);
      call->sent_us = rig.now.us;
      call->arrives_us = call->reply_us = INT64_MAX;
      /* It waits, as too many are in flight.  */
      if (call->order.kind != ORDER_HOLD && model_chance (100))
        call->sent_us += model_between (5, 100) * US_PER_MS;
      g_ptr_array_add (calls, call);
    }
  g_array_set_size (orders, 0);
}

static int64_t
timeout_us (const call_t *call)
{
  return call->sent_us
         + (call->order.kind == ORDER_HOLD
                ? call->order.wait_ms * US_PER_MS + HOLD_SLACK_US
                : ORDER_TIMEOUT_US);
}

/* Lets the worker of CALL, which it will carry out late, compare the token
   now.  Whether workers compare it on arrival or when they carry an order out
   isn't specified; half of the late orders are of each kind.  */
static bool
receive_early (const call_t *call)
{
  model_worker_t *worker = call->worker;

  if (!worker->up || worker->cut_until_us > rig.now.us
      || call->order.token < worker->token || model_chance (500))
    return false;
  worker->token = call->order.token;
  return true;
}

/* Sends CALL, unless it waited and isn't due any more.  */
static void
send_call (call_t *call)
{
  model_owner_t *owner = model_find_owner (call->order.token);

  call->is_sent = true;
  call->sent_us = rig.now.us;
  if (!owner || !sched_order_is_due (owner->sched, &call->order, rig.now))
    {
      call->answered = true;
      return;
    }
  call->by_present = model_is_present (owner);
  call->shown_boot_ms = call->by_present ? call->worker->shown_boot_ms : 0;
  call->loses_reply = model_chance (model.faults.lost);
  if (model_chance (model.faults.lost))
    return; /* lost */
  call->late = model_chance (model.faults.late);
  call->received = call->late && receive_early (call);
  call->arrives_us
      = rig.now.us
        + (call->late ? model_between (300, 5000) : model_between (0, 30))
              * US_PER_MS;
}

static void
reply_to (call_t *call, reply_kind_t kind, bool has_clock)
{
  int64_t delay_ms
      = model_chance (20) ? model_between (50, 300) : model_between (0, 30);

  call->waits_until_us = 0;
  if (call->loses_reply || call->worker->cut_until_us > rig.now.us)
    return;
  call->reply = (worker_reply_t){ .kind = kind,
                                  .has_clock = has_clock,
                                  .sent_us = call->sent_us };
  if (has_clock)
    call->reply.clock_ms = model_clock_ms (call->worker);
  if (has_clock && call->order.kind == ORDER_HOLD && kind == REPLY_OK)
    call->report = model_worker_report (call->worker);
  call->reply_us = rig.now.us + delay_ms * US_PER_MS;
}

/* Whether CALL was received by a boot of its worker that is over.  An order
   that is carried out seconds late was received by the worker's process
   before, and is lost with it.  So a start that has done its work, or a hold
   that names ends, does not come to the next boot: there its deadline, on the
   clock of the former one, lies ahead, and no owner could avoid a second run.
   Orders that are sent to the next boot before anything shows it do reach it.
 */
static bool
is_lost_with_boot (const call_t *call)
{
  return call->worker->boot_us > call->sent_us;
}

static void
carry_out (call_t *call)
{
  model_worker_t *worker = call->worker;
  model_origin_t origin
      = { .is_present = call->by_present,
          .boot_shown = call->shown_boot_ms == worker->boot_ms,
          .sent_us = call->sent_us,
          .carried_late = call->late,
          .token_compared = call->received };
  reply_kind_t kind;

  call->arrives_us = INT64_MAX;
  if (worker->cut_until_us > rig.now.us || is_lost_with_boot (call))
    return;
  if (!worker->up)
    {
      if (model_chance (700))
        reply_to (call, REPLY_REFUSED, false);
      return;
    }
  if (model_chance (10))
    {
      reply_to (call, REPLY_BUSY, false);
      return;
    }
  kind = model_worker_order (worker, &call->order, &origin);
  if (kind != REPLY_OK || call->order.kind != ORDER_HOLD)
    {
      reply_to (call, kind, true);
      return;
    }
  call->waits_until_us = rig.now.us + call->order.wait_ms * US_PER_MS;
  call->boot_us = worker->boot_us;
}

/* Answers the hold CALL once there is an end, or its wait is over.  */
static void
wait_for_end (call_t *call)
{
  const model_worker_t *worker = call->worker;

  if (!worker->up || worker->boot_us != call->boot_us)
    call->waits_until_us = 0;
  else if (worker->ends->len > 0 || call->waits_until_us <= rig.now.us)
    reply_to (call, REPLY_OK, true);
}

static void
deliver (call_t *call)
{
  model_owner_t *owner = model_find_owner (call->order.token);
  bool has_report = call->report.runs != NULL;
  bool goes_on;

  call->answered = true;
  if (!owner)
    return;
  if (has_report && model_is_present (owner))
    call->worker->shown_boot_ms
        = MAX (call->worker->shown_boot_ms, call->report.boot_ms);
  if (call->order.kind == ORDER_HOLD)
    goes_on = sched_hold_reply (owner->sched, &call->order, &call->reply,
                                has_report ? &call->report : NULL, rig.now);
  else
    goes_on = sched_order_reply (owner->sched, &call->order, &call->reply,
                                 rig.now);
  if (!goes_on)
    model_drop_owner (owner);
}

static void
time_out (call_t *call)
{
  g_free (g_steal_pointer (&call->report.runs));
  call->reply
      = (worker_reply_t){ .kind = REPLY_NO_ANSWER, .sent_us = call->sent_us };
  deliver (call);
}

/* A suspended owner reads its replies afterwards.  */
static bool
is_paused (const call_t *call)
{
  const model_owner_t *owner = model_find_owner (call->order.token);

  return owner && owner->paused_until_us > rig.now.us;
}

/* Whether an order that waited may be sent.  An owner that was suspended sends
   none before it has read the log.  */
static bool
may_send (const call_t *call)
{
  const model_owner_t *owner = model_find_owner (call->order.token);

  return call->sent_us <= rig.now.us && !is_paused (call)
         && (!owner || !owner->needs_resync);
}

static void
run_call (call_t *call)
{
  if (!call->is_sent)
    {
      if (may_send (call))
        send_call (call);
      return;
    }
  if (call->arrives_us <= rig.now.us)
    carry_out (call);
  if (call->waits_until_us != 0)
    wait_for_end (call);
  if (call->answered || is_paused (call))
    return;
  if (call->reply_us <= rig.now.us)
    deliver (call);
  else if (timeout_us (call) <= rig.now.us)
    time_out (call);
}

void
model_net_run (void)
{
  for (uint32_t i = calls->len; i-- > 0;)
    {
      call_t *call = g_ptr_array_index (calls, i);

      run_call (call);
      if (call->answered && call->is_sent && call->arrives_us == INT64_MAX
          && call->waits_until_us == 0)
        g_ptr_array_remove_index_fast (calls, i);
    }
}

#include "schedint.h"

void
worker_free (gpointer data)
{
  worker_t *worker = data;

  g_free (worker->id);
  g_strfreev (worker->labels);
  g_ptr_array_free (worker->runs, TRUE);
  g_array_free (worker->orphans, TRUE);
  g_free (worker);
}

void
sched_add_order (sched_t *sched, const worker_t *worker, order_t order)
{
  order.worker = worker->interned;
  order.address = worker->address;
  order.data_centre = worker->data_centre;
  order.token = sched->epoch;
  order.boot_number = worker->boot_number;
  g_array_append_val (sched->orders, order);
}

/* Earliest time that WORKER's clock can show at NOW_US.  */
int64_t
worker_clock_at (const worker_t *worker, int64_t now_us)
{
  return worker->clock_ms + (now_us - worker->clock_read_us) / 1000;
}

/* When WORKER's clock shows CLOCK_MS, if it isn't slow.  */
static int64_t
worker_clock_reaches_us (const worker_t *worker, int64_t clock_ms)
{
  return worker->clock_read_us + (clock_ms - worker->clock_ms) * 1000;
}

static int64_t
add_clock_drift (int64_t us)
{
  return us + us * CLOCK_DRIFT_MAX_PERCENT / 100 + LEASE_MARGIN_US;
}

/* Time by which all leases on WORKER have expired even if its clock is
   slow.  */
int64_t
worker_lease_end_us (const sched_t *sched, const worker_t *worker)
{
  /* Until WORKER has reported, it may hold leases of an earlier owner.  */
  if (!worker->has_reported)
    {
      int64_t end_us
          = sched->started_us
            + add_clock_drift ((int64_t)SCHED_LEASE_HORIZON_MS * 1000);

      return worker->silence && !worker->granted
                 ? MIN (end_us, worker->silence->until_us)
                 : end_us;
    }
  return worker->clock_read_us
         + add_clock_drift ((worker->lease_end_ms - worker->clock_ms) * 1000);
}

/* Time by which RUN's lease has expired.  A boot that takes a deadline on the
   clock of a former one grants its longest lease.  */
static int64_t
run_lease_end_us (const sched_t *sched, const run_t *run)
{
  int64_t end_us = worker_lease_end_us (sched, run->worker);
  int64_t longest_us = (int64_t)sched->limits.hold_max_ms * 1000;

  if (!run_may_be_on_next_boot (run))
    return end_us;
  return MAX (end_us, run->worker->doubted_us + add_clock_drift (longest_us));
}

bool
sched_inherits_leases (const sched_t *sched, int64_t now_us)
{
  return sched->epoch > 1
         && now_us - sched->started_us
                <= add_clock_drift ((int64_t)SCHED_LEASE_HORIZON_MS * 1000);
}

int64_t
worker_deadline_ms (const sched_t *sched, worker_t *worker, int64_t now_us)
{
  int64_t lease_us = MIN (sched->lease_limit_us - now_us,
                          (int64_t)sched->limits.lease_ms * 1000);
  int64_t deadline_ms;

  if (!worker->has_clock || worker->doubted_us != 0 || worker->silence
      || lease_us <= 0)
    return 0;
  worker->granted = true;
  deadline_ms = worker_clock_at (worker, now_us) + lease_us / 1000;
  worker->lease_end_ms = MAX (worker->lease_end_ms, deadline_ms);
  return deadline_ms;
}

static void
worker_remove (sched_t *sched, worker_t *worker, sched_now_t now)
{
  event_log (EV_WORKER_GONE, "worker=%s pool=%s silent_ms=%" PRId64,
             worker->id, worker->pool->name,
             worker_silent_ms (worker, now.us));
  worker_close_runs (sched, worker, "worker-gone", now);
  silence_end (sched, worker);
  holds_clear_pending (sched, worker);
  hosts_set_worker (sched, worker, NULL);
  wakeups_remove_worker (sched, worker);
  g_ptr_array_remove_fast (worker->pool->workers, worker);
  g_hash_table_remove (sched->workers, worker->id);
}

worker_t *
worker_add (sched_t *sched, const char *id, pool_t *pool, sched_now_t now)
{
  worker_t *worker = g_new0 (worker_t, 1);

  worker->id = g_strdup (id);
  worker->interned = g_intern_string (id);
  worker->runs = g_ptr_array_new ();
  worker->orphans = g_array_new (FALSE, FALSE, sizeof (orphan_t));
  worker->pool = pool;
  worker->interference = sched->interference;
  worker->filler_pace_percent = 100;
  worker->hold_due_us = now.us;
  worker->boot_known_us = now.us;
  silence_attach (sched, worker);
  g_ptr_array_add (worker->pool->workers, worker);
  g_hash_table_insert (sched->workers, worker->id, worker);
  wakeups_add_worker (sched, worker, now.us);
  sched_wake_at (sched, now.us);
  event_log (EV_WORKER_LISTED, "worker=%s pool=%s", worker->id, pool->name);
  return worker;
}

/* Stops the long-running tasks of a draining worker, so that they restart
   elsewhere before it shuts down.  */
static void
stop_long_running (sched_t *sched, worker_t *worker, int64_t now_us)
{
  for (uint32_t i = 0; i < worker->runs->len; i++)
    {
      run_t *run = g_ptr_array_index (worker->runs, i);

      if (!run->task->stage->spec->long_running)
        continue;
      task_log_interrupted (run->task, run->attempt, worker, "stop",
                            "draining", now_us);
      run_stop (sched, run);
    }
}

/* Each boot may have other labels.  */
static void
set_labels (sched_t *sched, worker_t *worker, const char *const *labels)
{
  if (worker->labels
      && g_strv_equal ((const char *const *)worker->labels, labels))
    return;
  g_strfreev (worker->labels);
  worker->labels = g_strdupv ((char **)labels);
  sched->place_needed = true;
}

void
sched_set_worker (sched_t *sched, const worker_info_t *info, sched_now_t now)
{
  worker_t *worker = g_hash_table_lookup (sched->workers, info->id);
  pool_t *pool = sched_pool (sched, info->service);

  if (!worker)
    worker = worker_add (sched, info->id, pool, now);
  switch (worker_match_boot (worker, info->boot_ms))
    {
    case BOOT_FORMER:
      return;
    case BOOT_FIRST:
      worker_set_boot (worker, info->boot_ms);
      break;
    case BOOT_NEXT:
      /* Runs may have been started on this boot already; only its report tells
         them from those that ended with the former one.  */
      worker_doubt_boot (sched, worker, "registration", now);
      break;
    case BOOT_PRESENT:
      break;
    }
  if (pool != worker->pool)
    {
      g_ptr_array_remove_fast (worker->pool->workers, worker);
      g_ptr_array_add (pool->workers, worker);
      worker->pool = pool;
    }
  worker->address = g_intern_string (info->address);
  if (worker->registered_boot_ms != info->boot_ms)
    sched->place_needed = true;
  worker->registered_boot_ms = info->boot_ms;
  set_labels (sched, worker, info->labels);
  worker->data_centre = g_intern_string (info->data_centre);
  worker->warm_us = now.us + (int64_t)info->warmup_left_ms * 1000;
  evacuation_update_worker (sched, worker);
  worker->rack = info->rack ? g_intern_string (info->rack) : NULL;
  hosts_set_worker (sched, worker,
                    info->host ? g_intern_string (info->host) : NULL);
  worker->capacity = info->capacity;
  if (!worker->listed || worker->state != info->state)
    sched->place_needed = true;
  worker->listed = true;
  if (info->state == WORKER_DRAINING && worker->state != WORKER_DRAINING)
    stop_long_running (sched, worker, now.us);
  worker->state = info->state;
  worker_wake_at (sched, worker, now.us);
}

void
sched_unlist_worker (sched_t *sched, const char *id, sched_now_t now)
{
  worker_t *worker = g_hash_table_lookup (sched->workers, id);

  if (!worker)
    return;
  worker->listed = false;
  worker_wake_at (sched, worker, now.us);
}

void
sched_retain_workers (sched_t *sched, GHashTable *ids, sched_now_t now)
{
  GHashTableIter iter;
  gpointer value;

  if (sched->listed_us == 0)
    sched->listed_us = now.us;
  g_hash_table_iter_init (&iter, sched->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      worker_t *worker = value;

      if (g_hash_table_contains (ids, worker->id))
        continue;
      worker->listed = false;
      worker_wake_at (sched, worker, now.us);
    }
  silences_end_unknown (sched);
}

int64_t
stop_duration_max_us (const sched_t *sched)
{
  return (int64_t)sched->limits.stop_grace_ms * 1000 + STOP_MARGIN_US;
}

/* Whether a report that was written after the grace period of RUN's confirmed
   stop lists no end of it, or WORKER would have closed it.  */
static bool
stop_is_over (const sched_t *sched, const worker_t *worker, const run_t *run)
{
  return run->phase == RUN_STOPPING && run->stop_confirmed_us != 0
         && worker->report_sent_us - run->stop_confirmed_us
                >= stop_duration_max_us (sched);
}

/* Closes the runs of WORKER whose leases have expired, except planned ones.
   Those have no lease yet; if they were closed here, they would be planned
   again at once, in an endless loop.  Leases count as expired only up to the
   last confirmed ownership, because a later owner may have renewed them.  */
static void
end_expired_runs (sched_t *sched, worker_t *worker, sched_now_t now)
{
  for (uint32_t i = worker->runs->len; i-- > 0;)
    {
      run_t *run = g_ptr_array_index (worker->runs, i);
      int64_t end_us = run_lease_end_us (sched, run);

      if (end_us >= MIN (now.us, sched->confirmed_us))
        worker_wake_at (sched, worker,
                        MAX (end_us, now.us) + LEASE_RECHECK_US);
      else if (run->phase != RUN_PLANNED)
        run_close (sched, run, "lease-ended", now);
    }
}

static void
check_timeouts (sched_t *sched, worker_t *worker, sched_now_t now)
{
  for (uint32_t i = worker->runs->len; i-- > 0;)
    {
      run_t *run = g_ptr_array_index (worker->runs, i);

      if (run->never_sent)
        run_close (sched, run, "not-sent", now);
      else if (stop_is_over (sched, worker, run))
        run_close (sched, run, "stop-confirmed", now);
      else if (run->stop_confirmed_us != 0)
        worker_wake_at (sched, worker, now.us + STOP_MARGIN_US);
    }
  end_expired_runs (sched, worker, now);
  silence_check (sched, worker, now.us);
  orphans_check_leases (sched, worker, now);
}

void
workers_check_timeouts (sched_t *sched, GPtrArray *due, sched_now_t now)
{
  for (uint32_t i = due->len; i-- > 0;)
    {
      worker_t *worker = g_ptr_array_index (due, i);

      check_timeouts (sched, worker, now);
      if (worker->listed || worker->runs->len > 0 || worker->orphans->len > 0)
        continue;
      g_ptr_array_remove_index_fast (due, i);
      worker_remove (sched, worker, now);
    }
}

static bool
has_no_ticket (const run_t *run, int64_t now_us)
{
  const stage_t *stage = run->task->stage;

  return advice_is_needed (stage)
         && !advice_ticket (stage, run->worker, now_us);
}

/* Orders the start of RUN, whose record is durable.  Returns NULL, or the
   reason why it can't be ordered.  */
static const char *
add_start_order (sched_t *sched, run_t *run, sched_now_t now)
{
  const task_t *task = run->task;
  const char *ticket = advice_ticket (task->stage, run->worker, now.us);
  int64_t deadline_ms;

  if (!worker_is_answering (run->worker))
    return "worker-unreachable";
  if (!worker_registration_is_current (run->worker))
    return "not-registered";
  if (run->worker->state == WORKER_DRAINING)
    return "worker-draining";
  if (worker_is_evacuated (run->worker))
    {
      counter_add (COUNT_EVACUATED_STARTS, 1);
      return "evacuated";
    }
  if (run->worker->orphans->len > 0)
    return "unexpected-run";
  if (has_no_ticket (run, now.us))
    return "ticket-ended";
  deadline_ms = worker_deadline_ms (sched, run->worker, now.us);
  if (deadline_ms == 0)
    return "no-lease";
  deadline_ms
      = evacuation_deadline_ms (sched, run->worker, deadline_ms, now.us);
  if (deadline_ms == 0)
    return "rules-old";
  run->resend_us = 0;
  run->phase = RUN_ORDERED;
  sched_add_order (sched, run->worker,
                   (order_t){ .kind = ORDER_START,
                              .deadline_ms = deadline_ms,
                              .send_by_us = worker_clock_reaches_us (
                                  run->worker, deadline_ms),
                              .task = task_ref (task),
                              .attempt = run->attempt,
                              .payload = task->stage->job->desc->payload,
                              .checkpoint = checkpoint_of_start (task),
                              .ticket = ticket });
  return NULL;
}

/* Weight of one start in the smoothed delay: the starts of a batch have the
   same one.  */
#define START_DELAY_DIVISOR 64

/* Orders the planned start of RUN once its record is durable, or closes RUN if
   that is impossible.  */
static void
order_planned_start (sched_t *sched, run_t *run, sched_now_t now)
{
  const char *why;

  if (run->batch > sched->durable_batch)
    return;
  sched->start_delay_us += (now.us - run->planned_us - sched->start_delay_us)
                           / START_DELAY_DIVISOR;
  /* Workers may have listed unexpected runs since it was planned.  */
  if (!place_is_allowed (run))
    why = "not-allowed";
  else if (!quota_is_kept (run->task->stage->job))
    why = "over-cap";
  else
    why = add_start_order (sched, run, now);
  if (why)
    run_abandon (sched, run, why, now);
  else
    counter_add (COUNT_TASKS_STARTED, 1);
}

/* Whether RUN may not start on its worker any more, which may have restarted
   as another kind, or have listed an unexpected run since RUN was planned.  */
static bool
is_misplaced (const run_t *run)
{
  return worker_registration_is_current (run->worker)
         && !place_is_allowed (run);
}

/* Orders the start of RUN again when it is due.  */
static void
resend_start (sched_t *sched, run_t *run, sched_now_t now)
{
  if (run->resend_us == 0)
    return;
  if (run->resend_us > now.us)
    worker_wake_at (sched, run->worker, run->resend_us);
  else if (worker_is_evacuated (run->worker))
    evacuation_settle_start (sched, run, now);
  else if (run->worker->state == WORKER_DRAINING
           || (is_misplaced (run) && worker_is_answering (run->worker))
           || has_no_ticket (run, now.us))
    {
      run_stop (sched, run); /* the start may have been carried out */
    }
  else if (add_start_order (sched, run, now))
    worker_wake_at (sched, run->worker, now.us + PLACE_RETRY_US);
}

/* Whether RUN's stop leaves enough of its step.  A run that never served takes
   none from it, and neither does one whose task serves elsewhere.  A stop that
   was sent while RUN's start was in doubt may be carried out, so it is
   repeated in any case: several such runs of a step would otherwise wait for
   one another.  */
static bool
may_stop_now (const run_t *run, int64_t now_us)
{
  return run->active_us == 0 || (run->stopped_in_doubt && run->stop_dispatched)
         || (run->task->run != run && task_is_serving (run->task, now_us))
         || run_may_be_interrupted (run, now_us);
}

static void
add_stop_order (sched_t *sched, run_t *run, sched_now_t now)
{
  if (run->stop_confirmed_us != 0 || run->stop_when_listed)
    return;
  if (!may_stop_now (run, now.us))
    {
      /* A planned stop that is not sent by now is not due either, or lost.  */
      if (run->stopped_in_doubt)
        run->stop_sent_us = 0;
      worker_wake_at (sched, run->worker, now.us + STOP_RETRY_US);
      return;
    }
  if (run->stop_sent_us == 0 || now.us - run->stop_sent_us >= STOP_RETRY_US)
    {
      run->stop_sent_us = now.us;
      sched_add_order (sched, run->worker,
                       (order_t){ .kind = ORDER_STOP,
                                  .task = task_ref (run->task),
                                  .attempt = run->attempt });
    }
  worker_wake_at (sched, run->worker, run->stop_sent_us + STOP_RETRY_US);
}

/* Whether ORDER, the start of RUN, may be sent.  Its deadline says nothing to
   a later boot of the worker, whose clock began anew.  */
static bool
start_is_due (sched_t *sched, run_t *run, const order_t *order,
              sched_now_t now)
{
  bool evacuated
      = run->phase == RUN_ORDERED && worker_is_evacuated (run->worker);

  if (evacuated)
    counter_add (COUNT_EVACUATED_STARTS, 1);
  if (evacuated && run->unanswered_starts > 0)
    {
      run->resend_us = now.us;
      worker_wake_at (sched, run->worker, now.us);
      return false;
    }
  if (run->phase == RUN_ORDERED && !evacuated
      && run->worker->state != WORKER_DRAINING && run->worker->doubted_us == 0
      && order->boot_number == run->worker->boot_number
      && now.us <= order->send_by_us
      && worker_registration_is_current (run->worker)
      && run->worker->orphans->len == 0 && !is_misplaced (run)
      && (run->unanswered_starts > 0 || quota_is_kept (run->task->stage->job)))
    return true;
  if (run->phase == RUN_ORDERED || run->phase == RUN_STOPPING)
    {
      run_stop (sched, run);
      /* An earlier start may have been carried out.  */
      run->never_sent = run->unanswered_starts == 0 && run->active_us == 0;
    }
  return false;
}

static bool
stop_is_due (sched_t *sched, run_t *run, sched_now_t now)
{
  if (run->phase == RUN_STOPPING && may_stop_now (run, now.us))
    {
      run->stop_dispatched = true;
      return true;
    }
  run->stop_sent_us = 0;
  worker_wake_at (sched, run->worker, now.us + STOP_RETRY_US);
  return false;
}

bool
sched_order_is_due (sched_t *sched, const order_t *order, sched_now_t now)
{
  worker_t *worker = g_hash_table_lookup (sched->workers, order->worker);
  task_t *task = sched_task (sched, &order->task);
  run_t *run = worker && task ? run_find (worker, task, order->attempt) : NULL;

  switch (order->kind)
    {
    case ORDER_START:
      return run && start_is_due (sched, run, order, now);
    case ORDER_STOP:
      /* A run that is not known has to stop.  */
      return !run || stop_is_due (sched, run, now);
    case ORDER_PACE:
      return run != NULL;
    case ORDER_HOLD:
      return true;
    }
  return true;
}

void
worker_plan_orders (sched_t *sched, worker_t *worker, sched_now_t now)
{
  if (!worker->address)
    return;
  for (uint32_t i = worker->runs->len; i-- > 0;)
    {
      run_t *run = g_ptr_array_index (worker->runs, i);

      switch (run->phase)
        {
        case RUN_PLANNED:
          order_planned_start (sched, run, now); /* may close RUN */
          break;
        case RUN_ORDERED:
          resend_start (sched, run, now);
          break;
        case RUN_STOPPING:
          add_stop_order (sched, run, now);
          break;
        case RUN_ACTIVE:
          break;
        }
    }
  pace_plan_orders (sched, worker, now);
  holds_plan (sched, worker, now);
}

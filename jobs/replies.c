#include "schedint.h"

/* Attempts that failed one after another on a worker before it gets nothing
   new for SUSPECT_US: a job's own fault seldom shows twice in a row.  */
#define SUSPECT_FAILS 2
#define SUSPECT_US 3000000
/* Pause after a worker had no room or was unhealthy.  */
#define REJECTED_PAUSE_US 250000
/* Pause before a task that could not start is tried again.  */
#define TASK_PAUSE_US 50000
/* A start without an answer is sent again, as the worker takes the same
   attempt once only.  After so many the task is better off elsewhere.  */
#define UNANSWERED_MAX 2
/* Pause before a start is sent again, as a refused connection costs no
   time.  */
#define REPEAT_PAUSE_US 100000
/* A worker gives at most so many ends in one answer.  */
#define ENDS_AT_ONCE 500

static void
note_clock (worker_t *worker, const worker_reply_t *reply, sched_now_t now)
{
  if (!reply->has_clock)
    return;
  worker->clock_ms = reply->clock_ms;
  worker->clock_at_us = now.us;
  worker->has_clock = true;
}

static void
note_failure (worker_t *worker, sched_now_t now)
{
  if (++worker->fails_in_row >= SUSPECT_FAILS)
    worker->suspect_until_us = now.us + SUSPECT_US;
}

static void
set_checkpoint (task_t *task, const char *checkpoint)
{
  if (!checkpoint || !checkpoint[0]
      || g_strcmp0 (task->checkpoint, checkpoint) == 0)
    return;
  g_free (task->checkpoint);
  task->checkpoint = g_strdup (checkpoint);
}

static const char *
end_name (run_end_kind_t how)
{
  static const char *const names[]
      = { [RUN_DONE] = "done",       [RUN_FAILED] = "failed",
          [RUN_STOPPED] = "stopped", [RUN_LAPSED] = "lapsed",
          [RUN_BROKEN] = "broken",   [RUN_ALONE] = "alone" };

  return names[how];
}

static void
take_end (sched_t *sched, worker_t *worker, const run_end_t *end,
          sched_now_t now)
{
  task_t *task = sched_task (sched, &end->task);
  run_t *run;

  if (!task)
    return;
  run = run_find (worker, task, end->attempt);
  set_checkpoint (task, end->checkpoint);
  switch (end->kind)
    {
    case RUN_DONE:
      counter_add (COUNT_TASKS_DONE, 1);
      worker->fails_in_row = 0;
      task_end (sched, task, end->attempt, true, now);
      break;
    case RUN_FAILED:
      counter_add (COUNT_TASKS_FAILED, 1);
      event_log (EV_TASK_ENDED,
                 "id=%s occurrence=%u step=%u index=%u attempt=%u worker=%s "
                 "how=failed failed_before=%u",
                 task->stage->job->desc->id, end->task.occurrence,
                 end->task.step, end->task.index, end->attempt, worker->id,
                 task->fails.count);
      if (!task->stage->spec->lasts)
        note_failure (worker, now);
      task_avoid (task, worker, now);
      task_end (sched, task, end->attempt, false, now);
      break;
    case RUN_STOPPED:
    case RUN_LAPSED:
    case RUN_BROKEN:
    case RUN_ALONE:
      break;
    }
  if (task->done && task->runs > (run ? 1U : 0U))
    runs_stop (sched, task->stage->job, task); /* its copies */
  if (run)
    run_close (sched, run, end_name (end->kind), now);
  else
    job_settle (sched, task->stage->job);
}

static void
stop_unknown (sched_t *sched, const worker_t *worker, const run_status_t *row)
{
  sched_add_order (sched, (order_t){ .kind = ORDER_STOP,
                                     .worker = worker->interned,
                                     .address = worker->address,
                                     .task = row->task,
                                     .attempt = row->attempt });
}

static void
note_active (sched_t *sched, run_t *run, sched_now_t now)
{
  if (run->phase == RUN_PLANNED || run->phase == RUN_ORDERED)
    run->phase = RUN_ACTIVE;
  run_has_started (sched, run);
  if (run->active_us == 0)
    run->active_us = now.us;
  run->task->unavailable_since_us = 0;
  job_begin (sched, run->task->stage->job);
}

static void
take_run (sched_t *sched, worker_t *worker, const run_status_t *row,
          sched_now_t now)
{
  task_t *task = sched_task (sched, &row->task);
  run_t *run = task ? run_find (worker, task, row->attempt) : NULL;

  if (!run)
    {
      if (!task || task->done || task->run || task->stage->job->ended)
        {
          stop_unknown (sched, worker, row);
          return;
        }
      run = run_new (sched, task, worker, row->attempt, now);
    }
  if (run->percent != row->percent || run->moved_us == 0)
    run->moved_us = now.us;
  run->percent = row->percent;
  run->load = row->load;
  set_checkpoint (task, row->checkpoint);
  note_active (sched, run, now);
}

static bool
is_listed (const run_t *run, const worker_report_t *lists)
{
  task_ref_t ref = task_ref (run->task);

  for (uint32_t i = 0; i < lists->runs_count; i++)
    if (task_ref_equal (&lists->runs[i].task, &ref)
        && lists->runs[i].attempt == run->attempt)
      return true;
  return false;
}

/* Closes runs that WORKER had before it was asked at SENT_US and that are in
   neither list.  A run that is being stopped, maybe by the owner before, is in
   neither for the time that a stop takes.  */
static void
close_forgotten (sched_t *sched, worker_t *worker,
                 const worker_report_t *lists, int64_t sent_us,
                 sched_now_t now)
{
  if (lists->ends_count >= ENDS_AT_ONCE)
    return;
  for (uint32_t i = worker->runs->len; i-- > 0;)
    {
      run_t *run = g_ptr_array_index (worker->runs, i);

      if (run->active_us == 0 || run->active_us >= sent_us)
        continue;
      if (is_listed (run, lists))
        run->missing_us = 0;
      else if (run->missing_us == 0)
        run->missing_us = now.us;
      else if (now.us - run->missing_us >= stop_takes_us (sched))
        run_close (sched, run, "not-listed", now);
    }
}

static void
take_lists (sched_t *sched, worker_t *worker, const worker_report_t *lists,
            int64_t sent_us, sched_now_t now)
{
  for (uint32_t i = 0; i < lists->ends_count; i++)
    {
      const run_end_t *end = &lists->ends[i];

      if (end->sequence <= worker->ends_seen)
        continue;
      worker->ends_seen = end->sequence;
      worker->ends_batch = sched->batch;
      sched->ends_unwritten = true;
      take_end (sched, worker, end, now);
    }
  for (uint32_t i = 0; i < lists->runs_count; i++)
    take_run (sched, worker, &lists->runs[i], now);
  close_forgotten (sched, worker, lists, sent_us, now);
}

static bool
hold_failed (sched_t *sched, worker_t *worker, reply_kind_t kind,
             sched_now_t now)
{
  worker->hold_due_us = now.us + HOLD_RETRY_US;
  switch (kind)
    {
    case REPLY_FENCED:
      return false;
    case REPLY_OTHER_BOOT:
      worker_reset (sched, worker, now);
      worker->unreachable = true;
      return true;
    case REPLY_BUSY:
      worker->suspect_until_us = now.us + REJECTED_PAUSE_US;
      return true;
    case REPLY_OK:
    case REPLY_OLD_ATTEMPT:
    case REPLY_LATE_ORDER:
    case REPLY_NO_ROOM:
    case REPLY_NO_TICKET:
    case REPLY_BAD_ORDER:
    case REPLY_REFUSED:
      worker->unreachable = true;
      return true;
    case REPLY_NO_ANSWER:
      worker->unreachable = ++worker->looks_lost >= LOOKS_LOST_MAX;
      if (!worker->unreachable)
        worker->hold_due_us = now.us;
      return true;
    }
  return true;
}

bool
sched_hold_reply (sched_t *sched, const char *id, const worker_reply_t *reply,
                  const worker_report_t *lists, sched_now_t now)
{
  worker_t *worker = g_hash_table_lookup (sched->workers, id);

  sched_wake_at (sched, now.us);
  if (!worker)
    return reply->kind != REPLY_FENCED;
  worker->hold_out = false;
  if (reply->kind != REPLY_OK || !lists)
    return hold_failed (sched, worker, reply->kind, now);
  if (lists->boot_ms && worker->boot_ms && lists->boot_ms != worker->boot_ms)
    worker_reset (sched, worker, now);
  if (lists->boot_ms)
    worker->boot_ms = lists->boot_ms;
  note_clock (worker, reply, now);
  worker->answered_us = now.us;
  if (worker->unreachable || !worker->has_reported)
    sched->place_needed = true;
  worker->unreachable = false;
  worker->looks_lost = 0;
  /* What an earlier owner granted is not known, only how long it can be.  */
  if (!worker->has_reported && sched_inherits_leases (sched, now.us))
    worker->lease_ms
        = MAX (worker->lease_ms, worker->clock_ms + SCHED_LEASE_HORIZON_MS);
  worker->has_reported = true;
  take_lists (sched, worker, lists, reply->sent_us, now);
  stalls_check (sched, worker, now);
  pace_check (worker, now);
  worker->hold_due_us = worker->ends_seen > worker->ends_durable
                            ? now.us + HOLD_RETRY_US
                            : now.us + sched->look_pause_us;
  return true;
}

static const char *
reply_name (reply_kind_t kind)
{
  static const char *const names[] = {
    [REPLY_OK] = "ok",
    [REPLY_FENCED] = "fenced",
    [REPLY_OLD_ATTEMPT] = "old-attempt",
    [REPLY_LATE_ORDER] = "late-order",
    [REPLY_NO_ROOM] = "no-room",
    [REPLY_NO_TICKET] = "no-ticket",
    [REPLY_BUSY] = "worker-busy",
    [REPLY_OTHER_BOOT] = "other-boot",
    [REPLY_REFUSED] = "connection-refused",
    [REPLY_BAD_ORDER] = "order-not-read",
    [REPLY_NO_ANSWER] = "no-answer",
  };

  return names[kind];
}

static void
start_failed (sched_t *sched, run_t *run, reply_kind_t kind, int64_t pause_us,
              sched_now_t now)
{
  run->task->not_before_us = now.us + pause_us;
  sched_wake_at (sched, run->task->not_before_us);
  run_close (sched, run, reply_name (kind), now);
}

/* The start of RUN got no answer, so it may be carried out, also later.  A
   lasting task is not stopped for that: it may be at work by then, and its
   step may miss no more.  */
static void
start_unanswered (sched_t *sched, run_t *run, sched_now_t now)
{
  task_t *task = run->task;

  if (++run->unanswered < UNANSWERED_MAX || task->stage->spec->lasts)
    {
      run->repeat_us = now.us + REPEAT_PAUSE_US;
      sched_wake_at (sched, run->repeat_us);
      return;
    }
  task_avoid (task, run->worker, now);
  run_stop (run);
  if (task->stage->spec->speculative)
    run_leave (sched, run);
}

/* The worker does not take the start of RUN.  An earlier one without an answer
   may still be carried out there unless the run is stopped.  */
static void
start_rejected (sched_t *sched, run_t *run, reply_kind_t kind,
                int64_t pause_us, sched_now_t now)
{
  if (run->unanswered > 0)
    run_stop (run);
  else
    start_failed (sched, run, kind, pause_us, now);
}

static void
take_start_reply (sched_t *sched, run_t *run, reply_kind_t kind,
                  sched_now_t now)
{
  worker_t *worker = run->worker;

  switch (kind)
    {
    case REPLY_OK:
      note_active (sched, run, now);
      return;
    case REPLY_BUSY:
    case REPLY_REFUSED:
      if (run->unanswered > 0)
        {
          start_unanswered (sched, run, now);
          return;
        }
      /* Fall through.  */
    case REPLY_NO_ROOM:
      worker->suspect_until_us
          = MAX (worker->suspect_until_us, now.us + REJECTED_PAUSE_US);
      start_rejected (sched, run, kind, 0, now);
      return;
    case REPLY_NO_TICKET:
      advice_reject (run->task->stage, worker);
      start_rejected (sched, run, kind, TASK_PAUSE_US, now);
      return;
    case REPLY_OLD_ATTEMPT:
    case REPLY_BAD_ORDER:
      start_rejected (sched, run, kind, TASK_PAUSE_US, now);
      return;
    case REPLY_LATE_ORDER:
      start_failed (sched, run, kind, TASK_PAUSE_US, now);
      return;
    case REPLY_NO_ANSWER:
      start_unanswered (sched, run, now);
      return;
    case REPLY_FENCED:
    case REPLY_OTHER_BOOT:
      return;
    }
}

static void
take_order_reply (sched_t *sched, const order_t *order, run_t *run,
                  reply_kind_t kind, sched_now_t now)
{
  switch (order->kind)
    {
    case ORDER_START:
      if (run->active_us == 0)
        take_start_reply (sched, run, kind, now);
      return;
    case ORDER_STOP:
      if (kind == REPLY_OK)
        run->stopped_us = now.us;
      return;
    case ORDER_PACE:
      if (kind == REPLY_OK)
        run->pace = order->percent;
      return;
    case ORDER_HOLD:
      return;
    }
}

bool
sched_order_reply (sched_t *sched, const order_t *order,
                   const worker_reply_t *reply, sched_now_t now)
{
  worker_t *worker = g_hash_table_lookup (sched->workers, order->worker);
  task_t *task;
  run_t *run;

  if (reply->kind == REPLY_FENCED)
    return false;
  if (!worker)
    return true;
  sched_wake_at (sched, now.us);
  if (reply->kind == REPLY_OTHER_BOOT)
    {
      worker_reset (sched, worker, now);
      worker->unreachable = true;
      return true;
    }
  note_clock (worker, reply, now);
  task = sched_task (sched, &order->task);
  run = task ? run_find (worker, task, order->attempt) : NULL;
  if (run)
    take_order_reply (sched, order, run, reply->kind, now);
  return true;
}

#include "schedint.h"

/* A worker gets no new tasks for SUSPECT_PAUSE_US after this many consecutive
   failures.  Faulty jobs seldom fail twice in a status on one worker.  */
#define SUSPECT_FAILURES 2
#define SUSPECT_PAUSE_US 3000000
/* Delay before a task whose start failed is placed again.  */
#define TASK_PAUSE_US 50000
/* An unanswered start is sent again, which is safe because a worker accepts an
   attempt only once.  After this many the run is stopped and the task is
   placed elsewhere.  */
#define UNANSWERED_STARTS_MAX 2
/* Delay before a start is sent again, because a refused connection fails at
   once.  */
#define START_RESEND_US 100000
/* A worker lists at most this many ends in one reply.  */
#define REPORT_ENDS_MAX 500

const char *
reply_kind_name (reply_kind_t kind)
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
update_clock (worker_t *worker, const worker_reply_t *reply, sched_now_t now)
{
  if (!reply->has_clock)
    return;
  worker->clock_ms = reply->clock_ms;
  worker->clock_read_us = now.us;
  worker->has_clock = true;
}

static void
count_failure (worker_t *worker, sched_now_t now)
{
  if (++worker->consecutive_failures >= SUSPECT_FAILURES)
    worker->suspect_until_us = now.us + SUSPECT_PAUSE_US;
}

static const char *
end_kind_name (run_end_kind_t kind)
{
  static const char *const names[]
      = { [RUN_DONE] = "done",       [RUN_FAILED] = "failed",
          [RUN_STOPPED] = "stopped", [RUN_LAPSED] = "lapsed",
          [RUN_BROKEN] = "broken",   [RUN_ALONE] = "alone" };

  return names[kind];
}

static void
process_end (sched_t *sched, worker_t *worker, const run_end_t *end,
             sched_now_t now)
{
  task_t *task = sched_task (sched, &end->task);
  bool recorded = false;
  run_t *run;

  if (!task)
    return;
  run = run_find (worker, task, end->attempt);
  checkpoint_learn (task, end->attempt, end->checkpoint);
  switch (end->kind)
    {
    case RUN_DONE:
      counter_add (COUNT_TASKS_DONE, 1);
      worker->consecutive_failures = 0;
      if (run)
        {
          neighbours_learn_end (sched, run, now);
          expected_learn (sched, run, now.us);
        }
      recorded = task_record_end (sched, task, end->attempt, true, now);
      break;
    case RUN_FAILED:
      counter_add (COUNT_TASKS_FAILED, 1);
      event_log (EV_TASK_ENDED,
                 "id=%s occurrence=%u step=%u index=%u attempt=%u worker=%s "
                 "how=failed failed_before=%u",
                 task->stage->job->desc->id, end->task.occurrence,
                 end->task.step, end->task.index, end->attempt, worker->id,
                 task->failures.count);
      if (!task->stage->spec->long_running)
        count_failure (worker, now);
      task_avoid_worker (task, worker, now);
      recorded = task_record_end (sched, task, end->attempt, false, now);
      break;
    case RUN_STOPPED:
    case RUN_LAPSED:
    case RUN_BROKEN:
    case RUN_ALONE:
      break;
    }
  if (task->done && task->run_count > (run ? 1U : 0U))
    job_stop_runs (sched, task->stage->job, task); /* speculative copies */
  if (run)
    {
      run->end_recorded = recorded;
      run_close (sched, run, end_kind_name (end->kind), now);
    }
  else
    job_free_if_idle (sched, task->stage->job);
}

static void
mark_active (sched_t *sched, run_t *run, sched_now_t now)
{
  if (run->phase == RUN_PLANNED || run->phase == RUN_ORDERED)
    run->phase = RUN_ACTIVE;
  run_clear_start_pending (sched, run);
  if (run->active_us == 0)
    run->active_us = now.us;
  job_mark_running (sched, run->task->stage->job);
}

static void
process_run (sched_t *sched, worker_t *worker, const run_status_t *status,
             sched_now_t now)
{
  task_t *task = sched_task (sched, &status->task);
  run_t *run = task ? run_find (worker, task, status->attempt) : NULL;

  if (!run)
    run = orphans_adopt (sched, worker, status, now);
  if (!run)
    return;
  inherit_process_listed (run);
  if (run->percent != status->percent || run->progress_us == 0)
    run->progress_us = now.us;
  run->percent = status->percent;
  run->load = status->load;
  checkpoint_learn (run->task, run->attempt, status->checkpoint);
  mark_active (sched, run, now);
}

/* Closes runs that WORKER had before the hold was sent at SENT_US and that are
   in neither list of REPORT. A run that is being stopped, possibly by the
   previous owner, is in neither list for the duration of the stop.  The start
   of one that only the log shows may be carried out late, which the fencing
   token doesn't prevent if the worker has received it before.  */
static void
close_unlisted (sched_t *sched, worker_t *worker,
                const worker_report_t *report, int64_t sent_us,
                sched_now_t now)
{
  if (report->ends_count >= REPORT_ENDS_MAX)
    return;
  for (uint32_t i = worker->runs->len; i-- > 0;)
    {
      run_t *run = g_ptr_array_index (worker->runs, i);

      if (run->active_us == 0 || run->active_us >= sent_us)
        continue;
      if (run_is_listed (run, report))
        run->unlisted_us = 0;
      else if (run->start_in_doubt)
        inherit_stop_unlisted (sched, run, now);
      else if (run->unlisted_us == 0)
        run->unlisted_us = now.us;
      else if (sent_us - run->unlisted_us >= stop_duration_max_us (sched))
        run_abandon (sched, run, "not-listed", now);
    }
}

static void
process_report (sched_t *sched, worker_t *worker,
                const worker_report_t *report, int64_t sent_us,
                sched_now_t now)
{
  for (uint32_t i = 0; i < report->ends_count; i++)
    {
      const run_end_t *end = &report->ends[i];

      if (end->sequence <= worker->ends_seen)
        continue;
      worker->ends_seen = end->sequence;
      worker->ends_batch = sched->batch;
      worker_await_batch (sched, worker);
      sched->has_unwritten_ends = true;
      process_end (sched, worker, end, now);
    }
  for (uint32_t i = 0; i < report->runs_count; i++)
    process_run (sched, worker, &report->runs[i], now);
  close_unlisted (sched, worker, report, sent_us, now);
  orphans_process_report (sched, worker, report, sent_us, now);
}

/* Whether REPLY to ORDER comes from another worker at an address that WORKER
   had before it restarted.  */
static bool
is_from_former_address (const worker_t *worker, const order_t *order,
                        const worker_reply_t *reply)
{
  return reply->kind == REPLY_OTHER_BOOT && order->address != worker->address;
}

bool
sched_hold_reply (sched_t *sched, const order_t *order,
                  const worker_reply_t *reply, const worker_report_t *report,
                  sched_now_t now)
{
  worker_t *worker = g_hash_table_lookup (sched->workers, order->worker);
  boot_match_t match;

  if (!worker)
    return reply->kind != REPLY_FENCED;
  worker_wake_at (sched, worker, now.us);
  holds_clear_pending (sched, worker);
  if (is_from_former_address (worker, order, reply))
    return true;
  if (reply->kind != REPLY_OK || !report)
    return holds_process_failure (sched, worker, reply->kind, now);
  match = worker_match_boot (worker, report->boot_ms);
  if (match == BOOT_FORMER)
    return true;
  worker_confirm_boot (sched, worker, match, report->boot_ms, reply->sent_us,
                       now);
  update_clock (worker, reply, now);
  holds_process_answer (sched, worker, now.us);
  silence_end (sched, worker);
  /* The leases of an earlier owner are unknown, but not longer than
     SCHED_LEASE_HORIZON_MS.  */
  if (!worker->has_reported && sched_inherits_leases (sched, now.us))
    worker->lease_end_ms = MAX (worker->lease_end_ms,
                                worker->clock_ms + SCHED_LEASE_HORIZON_MS);
  /* Whatever runs has a lease, also one that this owner didn't grant.  */
  if (report->runs_count > 0 && worker->lease_end_ms < worker->clock_ms)
    worker->lease_end_ms
        = worker->clock_ms + (int64_t)sched->limits.hold_max_ms;
  worker->has_reported = true;
  worker->report_sent_us = MAX (worker->report_sent_us, reply->sent_us);
  process_report (sched, worker, report, reply->sent_us, now);
  if (match == BOOT_NEXT)
    worker_close_former_runs (sched, worker, order, report, reply->sent_us,
                              now);
  stall_check (sched, worker, now);
  neighbours_learn_report (sched, worker, now);
  pace_update (sched, worker, now);
  holds_schedule_next (sched, worker, now.us);
  return true;
}

static void
close_failed_start (sched_t *sched, run_t *run, reply_kind_t kind,
                    int64_t pause_us, sched_now_t now)
{
  run->task->not_before_us = now.us + pause_us;
  sched_wake_at (sched, run->task->not_before_us);
  run_abandon (sched, run, reply_kind_name (kind), now);
}

/* Handles an unanswered start of RUN, which may still be carried out.  A long-
   running task is not stopped: it may already serve, and stopping it could
   exceed max_unavailable of its step.  */
static void
handle_unanswered_start (sched_t *sched, run_t *run, sched_now_t now)
{
  task_t *task = run->task;

  if (++run->unanswered_starts < UNANSWERED_STARTS_MAX
      || task->stage->spec->long_running)
    {
      run->resend_us = now.us + START_RESEND_US;
      worker_wake_at (sched, run->worker, run->resend_us);
      return;
    }
  task_avoid_worker (task, run->worker, now);
  run_stop (sched, run);
  gang_stop (sched, run);
  if (task->stage->spec->speculative)
    run_detach (sched, run);
}

/* Handles a rejected start of RUN. An earlier unanswered start may still be
   carried out, so the run is then stopped instead of closed.  */
static void
handle_rejected_start (sched_t *sched, run_t *run, reply_kind_t kind,
                       int64_t pause_us, sched_now_t now)
{
  if (run->unanswered_starts > 0)
    {
      task_log_interrupted (run->task, run->attempt, run->worker, "stop",
                            reply_kind_name (kind), now.us);
      run_stop (sched, run);
      gang_stop (sched, run);
    }
  else
    close_failed_start (sched, run, kind, pause_us, now);
}

static void
process_start_reply (sched_t *sched, run_t *run, reply_kind_t kind,
                     sched_now_t now)
{
  worker_t *worker = run->worker;

  switch (kind)
    {
    case REPLY_OK:
      mark_active (sched, run, now);
      run->start_answered = true;
      return;
    case REPLY_BUSY:
    case REPLY_REFUSED:
      if (run->unanswered_starts > 0)
        {
          handle_unanswered_start (sched, run, now);
          return;
        }
      /* Fall through.  */
    case REPLY_NO_ROOM:
      worker->suspect_until_us
          = MAX (worker->suspect_until_us, now.us + WORKER_PAUSE_US);
      handle_rejected_start (sched, run, kind, 0, now);
      return;
    case REPLY_NO_TICKET:
      advice_revoke (run->task->stage, worker);
      handle_rejected_start (sched, run, kind, TASK_PAUSE_US, now);
      return;
    case REPLY_OLD_ATTEMPT:
    case REPLY_BAD_ORDER:
      handle_rejected_start (sched, run, kind, TASK_PAUSE_US, now);
      return;
    case REPLY_LATE_ORDER:
      /* An unanswered start may have been carried out; the repeat has a later
         deadline.  */
      if (run->unanswered_starts > 0)
        handle_unanswered_start (sched, run, now);
      else
        close_failed_start (sched, run, kind, TASK_PAUSE_US, now);
      return;
    case REPLY_NO_ANSWER:
      handle_unanswered_start (sched, run, now);
      return;
    case REPLY_OTHER_BOOT: /* at a former address of the worker */
      handle_rejected_start (sched, run, kind, 0, now);
      return;
    case REPLY_FENCED:
      return;
    }
}

/* A reply that may be of a former boot of RUN's worker says nothing about what
   the present one has stopped or slowed down.  */
static void
process_order_reply (sched_t *sched, const order_t *order, run_t *run,
                     reply_kind_t kind, bool may_be_of_former_boot,
                     sched_now_t now)
{
  switch (order->kind)
    {
    case ORDER_START:
      if (run->active_us == 0)
        process_start_reply (sched, run, kind, now);
      return;
    case ORDER_STOP:
      if (kind == REPLY_OK && !may_be_of_former_boot)
        run->stop_confirmed_us = now.us;
      return;
    case ORDER_PACE:
      if (kind == REPLY_OK && !may_be_of_former_boot)
        pace_confirm (run, order->percent, now.us);
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
  bool may_be_of_former_boot;
  bool has_clock; /* of the present boot */
  task_t *task;
  run_t *run;

  if (reply->kind == REPLY_FENCED)
    return false;
  if (!worker)
    return true;
  worker_wake_at (sched, worker, now.us);
  may_be_of_former_boot = reply->sent_us < worker->boot_known_us;
  if (reply->kind == REPLY_OTHER_BOOT
      && !is_from_former_address (worker, order, reply))
    {
      worker_reset (sched, worker, "order-refused", now);
      worker->unreachable = true;
      return true;
    }
  has_clock = reply->kind != REPLY_OTHER_BOOT && !may_be_of_former_boot;
  if (has_clock && worker_clock_is_behind (worker, reply))
    worker_doubt_boot (sched, worker, "clock", now);
  if (has_clock && worker->doubted_us == 0)
    update_clock (worker, reply, now);
  task = sched_task (sched, &order->task);
  run = task ? run_find (worker, task, order->attempt) : NULL;
  if (run)
    process_order_reply (sched, order, run, reply->kind, may_be_of_former_boot,
                         now);
  return true;
}

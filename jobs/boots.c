#include "schedint.h"

/* A clock that is further behind its earlier time than this is that of another
   boot.  */
#define CLOCK_BEHIND_MIN_MS 1000

static void
reset_state (sched_t *sched, worker_t *worker, const char *source,
             sched_now_t now)
{
  event_log (EV_WORKER_RESTARTED,
             "worker=%s source=%s boot=%" PRId64 " runs=%u silent_ms=%" PRId64,
             worker->id, source, worker->boot_ms, worker->runs->len,
             worker_silent_ms (worker, now.us));
  orphans_clear (sched, worker);
  worker->boot_number++;
  worker->boot_known_us = now.us;
  worker->doubted_us = 0;
  worker->ends_seen = worker->ends_durable = worker->ends_batch = 0;
  worker->ends_sent = worker->ends_forgotten = 0;
  worker->has_clock = false;
  worker->lease_end_ms = 0;
  worker->has_reported = false;
  worker->consecutive_failures = 0;
  worker->holds_lost = worker->holds_failed = 0;
  worker->asked_us = 0;
  worker->suspect_until_us = 0;
  worker->filler_pace_percent = 100;
  worker->pace_changed_us = 0;
  worker->hold_due_us = now.us;
}

void
worker_reset (sched_t *sched, worker_t *worker, const char *source,
              sched_now_t now)
{
  worker_close_runs (sched, worker, "other-boot", now);
  reset_state (sched, worker, source, now);
}

boot_match_t
worker_match_boot (const worker_t *worker, int64_t boot_ms)
{
  if (boot_ms == 0 || boot_ms == worker->boot_ms)
    return BOOT_PRESENT;
  if (boot_ms == worker->former_boot_ms)
    return BOOT_FORMER;
  return worker->boot_ms == 0 ? BOOT_FIRST : BOOT_NEXT;
}

bool
worker_registration_is_current (const worker_t *worker)
{
  return worker->registered_boot_ms == 0 || worker->boot_ms == 0
         || worker->registered_boot_ms == worker->boot_ms;
}

void
worker_set_boot (worker_t *worker, int64_t boot_ms)
{
  worker->former_boot_ms = worker->boot_ms;
  worker->boot_ms = boot_ms;
}

void
worker_confirm_boot (sched_t *sched, worker_t *worker, boot_match_t match,
                     int64_t boot_ms, int64_t sent_us, sched_now_t now)
{
  switch (match)
    {
    case BOOT_FORMER:
      return;
    case BOOT_PRESENT:
      /* A report that was requested before may be of the former boot.  */
      if (sent_us >= worker->doubted_us)
        worker->doubted_us = 0;
      return;
    case BOOT_FIRST:
      worker->doubted_us = 0;
      worker_set_boot (worker, boot_ms);
      return;
    case BOOT_NEXT:
      reset_state (sched, worker, "report", now);
      worker_set_boot (worker, boot_ms);
      return;
    }
}

bool
run_may_be_on_next_boot (const run_t *run)
{
  const worker_t *worker = run->worker;
  bool answered_since
      = run->active_us != 0 && run->active_us < worker->report_sent_us;

  return worker->doubted_us != 0
         && (!answered_since || run->unanswered_starts > 0);
}

bool
worker_clock_is_behind (const worker_t *worker, const worker_reply_t *reply)
{
  int64_t passed_ms = (reply->sent_us - worker->clock_read_us) / 1000;
  int64_t tolerance_ms
      = CLOCK_BEHIND_MIN_MS + ABS (passed_ms) * CLOCK_DRIFT_MAX_PERCENT / 100;

  return worker->has_clock && reply->has_clock
         && reply->clock_ms < worker->clock_ms + passed_ms - tolerance_ms;
}

void
worker_doubt_boot (sched_t *sched, worker_t *worker, const char *source,
                   sched_now_t now)
{
  if (worker->doubted_us != 0)
    return;
  event_log (EV_WORKER_DOUBTED, "worker=%s source=%s boot=%" PRId64 " runs=%u",
             worker->id, source, worker->boot_ms, worker->runs->len);
  worker->doubted_us = now.us;
  /* A hold to the former boot may stay unanswered until its timeout.  */
  holds_clear_pending (sched, worker);
  worker->hold_due_us = now.us;
  worker_wake_at (sched, worker, now.us);
}

/* Adapts RUN to REPORT, the first one of its worker's present boot, which was
   requested at SENT_US.  */
static void
settle_former_run (sched_t *sched, run_t *run, const worker_report_t *report,
                   int64_t sent_us, sched_now_t now)
{
  bool is_missing = run->phase == RUN_ACTIVE && run->active_us < sent_us
                    && !run_is_listed (run, report);

  if (run->phase == RUN_PLANNED || (is_missing && run->unanswered_starts == 0))
    {
      run_close (sched, run, "other-boot", now);
      return;
    }
  if (is_missing)
    {
      run->active_us = 0;
      run->unlisted_us = 0; /* it may not have begun on this boot */
      run_stop (sched, run);
    }
  /* The former boot may have confirmed the stop, or a pace.  */
  run->stop_sent_us = run->stop_confirmed_us = 0;
  run->pace_sent_us = 0;
  run->pace_percent = 100;
  run->pace_before_percent = 100;
}

void
worker_close_former_runs (sched_t *sched, worker_t *worker,
                          const order_t *hold, const worker_report_t *report,
                          int64_t sent_us, sched_now_t now)
{
  for (uint32_t i = worker->runs->len; i-- > 0;)
    settle_former_run (sched, g_ptr_array_index (worker->runs, i), report,
                       sent_us, now);
  /* It takes a deadline on the clock of a former boot as its longest lease,
     which applies to all runs on it.  */
  if (hold->deadline_ms > 0 || report->runs_count > 0 || report->ends_count > 0
      || worker->runs->len > 0)
    worker->lease_end_ms
        = MAX (worker->lease_end_ms,
               worker->clock_ms + (int64_t)sched->limits.hold_max_ms);
}

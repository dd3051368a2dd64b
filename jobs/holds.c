#include "schedint.h"

/* A worker answers a hold after this time when no run ends.  */
#define HOLD_WAIT_MS 400
/* A worker is unreachable after this many unanswered holds in a row.  A single
   lost answer is tolerated, as the next one lists the same ends.  */
#define HOLDS_LOST_MAX 2
/* Interval of holds to a worker whose ends can't be made durable yet, or that
   did not answer.  */
#define HOLD_RETRY_US 250000
/* The interval of holds to an idle worker that has not reported yet is doubled
   up to this many times.  */
#define RETRY_DOUBLINGS_MAX 6
/* A hold names ends to forget only this long after the hold was sent whose
   reply showed the boot that they are of.  A worker takes longer to restart
   and to run a task to its end.  */
#define FORGET_REPORT_AGE_MAX_US 1000000
/* An owner that is busy for more than BUSY_PERCENT_MIN of the time pauses up
   to HOLD_PAUSE_MAX_US between two holds to a worker.  */
#define BUSY_PERCENT_MIN 50
#define HOLD_PAUSE_MAX_US 80000
/* An owner that is busy for more than IDLE_SLOW_PERCENT of the time doubles
   the pause between two holds to an idle worker, and shortens it by an
   IDLE_FAST_DIVISOR-th when it is busy for less than BUSY_PERCENT_MIN.  */
#define IDLE_SLOW_PERCENT 70
#define IDLE_PAUSE_MIN_US 100000
#define IDLE_FAST_DIVISOR 8
/* Holds to idle workers that an owner sends in a second, however busy it is.
 */
#define IDLE_HOLDS_PER_S_MIN 100
/* Limit on holds in flight to workers that were not asked yet.  Their replies
   queue up in the owner, before those that extend leases.  */
#define FIRST_HOLDS_MAX 64
/* Interval at which a worker that waits for this limit is looked after.  */
#define FIRST_HOLD_RETRY_US 10000

bool
worker_is_answering (const worker_t *worker)
{
  return !worker->unreachable && worker->holds_lost == 0;
}

/* Whether WORKER has no lease that has to be extended and no ends to forget.
 */
static bool
is_idle (const worker_t *worker)
{
  return worker->runs->len == 0 && worker->orphans->len == 0
         && worker->ends_seen == worker->ends_forgotten;
}

/* Whether WORKER is idle and was not asked yet by this owner.  One that was
   asked in vain is none of these, so that lost workers keep no others waiting.
 */
static bool
is_first_hold (const worker_t *worker)
{
  return !worker->has_reported && worker->asked_us == 0 && is_idle (worker);
}

bool
worker_is_silent (const worker_t *worker, int64_t now_us)
{
  return worker->asked_us != 0
         && now_us - worker->asked_us >= WORKER_SILENCE_MAX_US;
}

int64_t
worker_silent_ms (const worker_t *worker, int64_t now_us)
{
  return worker->answered_us ? (now_us - worker->answered_us) / 1000 : -1;
}

/* When a report may show that RUN is over; INT64_MAX: it isn't about to end.
   One that isn't known to run is not closed for being unlisted.  */
static int64_t
run_due_us (const sched_t *sched, const run_t *run, int64_t now_us)
{
  bool unlisted = run->unlisted_us != 0 && run->active_us != 0;
  int64_t from_us = unlisted ? run->unlisted_us : INT64_MAX;

  if (run->phase == RUN_STOPPING && run->stop_confirmed_us != 0)
    from_us = MIN (from_us, run->stop_confirmed_us);
  /* A stop that is sent with this hold is confirmed soon.  */
  else if (run->phase == RUN_STOPPING && run->stop_sent_us == now_us)
    from_us = MIN (from_us, now_us);
  return from_us == INT64_MAX ? INT64_MAX
                              : from_us + stop_duration_max_us (sched);
}

/* When a report of WORKER is needed, to tell that a run is over; INT64_MAX:
   there is no such run.  */
static int64_t
report_due_us (const sched_t *sched, const worker_t *worker, int64_t now_us)
{
  int64_t due_us = orphans_due_us (sched, worker);

  for (uint32_t i = 0; i < worker->runs->len; i++)
    due_us
        = MIN (due_us, run_due_us (sched, g_ptr_array_index (worker->runs, i),
                                   now_us));
  return due_us;
}

static uint32_t
hold_wait_ms (const sched_t *sched, const worker_t *worker, int64_t now_us)
{
  int64_t due_us = report_due_us (sched, worker, now_us);

  if (due_us == INT64_MAX)
    return HOLD_WAIT_MS;
  return (uint32_t)CLAMP ((due_us - now_us + 999) / 1000, 0, HOLD_WAIT_MS);
}

/* The last end that WORKER may forget; 0: none, or it has forgotten all.  It
   is named once only, and while the last report is fresh: if WORKER has
   restarted unnoticed, the numbers of its ends began anew, and it would forget
   ends that it hasn't listed.  */
static uint64_t
last_end_to_forget (const worker_t *worker, int64_t now_us)
{
  bool may_have_restarted
      = worker->doubted_us != 0 || worker->holds_failed > 0
        || now_us - worker->report_sent_us > FORGET_REPORT_AGE_MAX_US;

  return may_have_restarted || worker->ends_durable == worker->ends_forgotten
             ? 0
             : worker->ends_durable;
}

static void
add_hold_order (sched_t *sched, worker_t *worker, sched_now_t now)
{
  order_t order = { .kind = ORDER_HOLD,
                    .ends_durable = last_end_to_forget (worker, now.us) };

  if (worker_is_answering (worker))
    order.deadline_ms = worker_deadline_ms (sched, worker, now.us);
  /* After a lost answer the next hold returns at once, so that ends are not
     delayed further.  */
  if (worker->has_reported && worker_is_answering (worker)
      && worker->ends_durable == worker->ends_seen)
    order.wait_ms = hold_wait_ms (sched, worker, now.us);
  worker->hold_pending = true;
  worker->ends_sent = order.ends_durable;
  worker->first_hold = is_first_hold (worker);
  sched->first_holds += worker->first_hold;
  if (worker->asked_us == 0)
    worker->asked_us = now.us;
  sched_add_order (sched, worker, order);
}

void
holds_clear_pending (sched_t *sched, worker_t *worker)
{
  sched->first_holds -= worker->first_hold;
  worker->first_hold = false;
  worker->hold_pending = false;
}

/* When the next hold to WORKER is due.  Idle workers give way when the owner
   is busy: it would otherwise lose leases for want of time.  */
static int64_t
next_hold_us (const sched_t *sched, const worker_t *worker)
{
  uint32_t doublings = MIN (worker->holds_failed, RETRY_DOUBLINGS_MAX);
  int64_t pause_us = sched->idle_pause_us;

  if (!is_idle (worker) || is_first_hold (worker))
    return worker->hold_due_us;
  /* Until it has reported, nothing can be started there.  */
  if (!worker->has_reported)
    pause_us = MIN (pause_us, (int64_t)HOLD_RETRY_US << doublings);
  return worker->hold_due_us + pause_us;
}

void
holds_plan (sched_t *sched, worker_t *worker, sched_now_t now)
{
  int64_t due_us = next_hold_us (sched, worker);

  if (worker->hold_pending)
    return;
  if (due_us > now.us)
    worker_wake_at (sched, worker, due_us);
  else if (!is_first_hold (worker) || sched->first_holds < FIRST_HOLDS_MAX)
    add_hold_order (sched, worker, now);
  else
    worker_wake_at (sched, worker, now.us + FIRST_HOLD_RETRY_US);
}

/* Records that WORKER does not answer its holds.  */
static void
set_unreachable (const sched_t *sched, worker_t *worker, const char *why,
                 int64_t now_us)
{
  if (!worker->unreachable && worker->runs->len > 0)
    event_log (EV_WORKER_UNREACHABLE,
               "worker=%s why=%s runs=%u silent_ms=%" PRId64
               " lease_left_ms=%" PRId64 " busy_percent=%u",
               worker->id, why, worker->runs->len,
               worker_silent_ms (worker, now_us),
               (worker_lease_end_us (sched, worker) - now_us) / 1000,
               sched->busy_percent);
  worker->unreachable = true;
}

bool
holds_process_failure (sched_t *sched, worker_t *worker, reply_kind_t kind,
                       sched_now_t now)
{
  worker->hold_due_us = now.us + HOLD_RETRY_US;
  worker->holds_failed++;
  switch (kind)
    {
    case REPLY_FENCED:
      return false;
    case REPLY_OTHER_BOOT:
      worker_reset (sched, worker, "hold-refused", now);
      worker->unreachable = true;
      /* Another boot refuses the next hold as well, until it registers.  */
      worker->hold_due_us = now.us + HOLD_RETRY_US;
      return true;
    case REPLY_BUSY:
      worker->suspect_until_us = now.us + WORKER_PAUSE_US;
      return true;
    case REPLY_OK:
    case REPLY_OLD_ATTEMPT:
    case REPLY_LATE_ORDER:
    case REPLY_NO_ROOM:
    case REPLY_NO_TICKET:
    case REPLY_BAD_ORDER:
    case REPLY_REFUSED:
      set_unreachable (sched, worker, reply_kind_name (kind), now.us);
      return true;
    case REPLY_NO_ANSWER:
      if (++worker->holds_lost >= HOLDS_LOST_MAX)
        set_unreachable (sched, worker, reply_kind_name (kind), now.us);
      else
        worker->hold_due_us = now.us;
      return true;
    }
  return true;
}

void
holds_process_answer (sched_t *sched, worker_t *worker, int64_t now_us)
{
  worker->answered_us = now_us;
  if (worker->unreachable || !worker->has_reported)
    sched->place_needed = true;
  worker->unreachable = false;
  worker->holds_lost = worker->holds_failed = 0;
  worker->asked_us = 0;
  worker->ends_forgotten = MAX (worker->ends_forgotten, worker->ends_sent);
}

void
holds_schedule_next (const sched_t *sched, worker_t *worker, int64_t now_us)
{
  worker->hold_due_us = worker->ends_seen > worker->ends_durable
                            ? now_us + HOLD_RETRY_US
                            : now_us + sched->hold_pause_us;
}

static void
update_idle_pause (sched_t *sched, uint32_t busy_percent)
{
  int64_t max_us = (int64_t)g_hash_table_size (sched->workers) * 1000000
                   / IDLE_HOLDS_PER_S_MIN;
  int64_t *pause_us = &sched->idle_pause_us;

  if (busy_percent > IDLE_SLOW_PERCENT)
    *pause_us = MIN (MAX (*pause_us * 2, IDLE_PAUSE_MIN_US), max_us);
  else if (busy_percent < BUSY_PERCENT_MIN)
    *pause_us -= MIN (*pause_us,
                      MAX (*pause_us / IDLE_FAST_DIVISOR, IDLE_PAUSE_MIN_US));
}

uint32_t
sched_start_window (const sched_t *sched)
{
  return sched->start_window.size;
}

void
sched_set_load (sched_t *sched, uint32_t busy_percent)
{
  uint32_t over = MIN (busy_percent, 100);

  update_idle_pause (sched, busy_percent);
  start_window_update (&sched->start_window, busy_percent);
  sched->busy_percent = busy_percent;
  over = over > BUSY_PERCENT_MIN ? over - BUSY_PERCENT_MIN : 0;
  sched->hold_pause_us = HOLD_PAUSE_MAX_US * over / (100 - BUSY_PERCENT_MIN);
}

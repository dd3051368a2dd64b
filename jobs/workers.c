#include "schedint.h"
#include <string.h>

/* Attempts that failed one after another on a worker before it gets nothing
   new for SUSPECT_US: a job's own fault seldom shows twice in a row.  */
#define SUSPECT_FAILS 2
#define SUSPECT_US 3000000
/* A task is tried on other workers for so long after it failed on one; after
   that it is better tried there than nowhere.  */
#define AVOID_US 1500000
/* Pause after a worker had no room or was unhealthy.  */
#define REJECTED_PAUSE_US 250000
/* Pause before a task that could not start is tried again.  */
#define TASK_PAUSE_US 50000
/* A worker gives at most so many ends in one answer.  */
#define ENDS_AT_ONCE 500

void
worker_free (gpointer data)
{
  worker_t *worker = data;

  g_free (worker->id);
  g_strfreev (worker->labels);
  g_ptr_array_free (worker->runs, TRUE);
  g_free (worker);
}

void
order_add (sched_t *sched, order_t order)
{
  order.token = sched->epoch;
  g_array_append_val (sched->orders, order);
}

/* The earliest that WORKER's clock can show at NOW_US.  */
int64_t
worker_clock_at (const worker_t *worker, int64_t now_us)
{
  return worker->clock_ms + (now_us - worker->clock_at_us) / 1000;
}

static int64_t
with_slow_clock (int64_t us)
{
  return us + us * CLOCK_SLOW_PERCENT / 100 + LEASE_MARGIN_US;
}

/* When all leases on WORKER have surely ended.  */
int64_t
worker_lease_end_us (const sched_t *sched, const worker_t *worker)
{
  /* Only its lists tell which runs an earlier owner's leases are for.  */
  if (!worker->synced)
    return sched->since_us + with_slow_clock ((int64_t)SCHED_GRANT_MS * 1000);
  return worker->clock_at_us
         + with_slow_clock ((worker->lease_ms - worker->clock_ms) * 1000);
}

bool
worker_is_open (const worker_t *worker, int64_t now_us)
{
  return worker->listed && worker->synced && worker->has_clock
         && worker->state == WORKER_READY && !worker->cordoned
         && !worker->unreachable && worker->suspect_until_us <= now_us
         && now_us - worker->answered_us < WORKER_SILENT_US;
}

/* Until all leases that an earlier owner can have given have ended.  */
static bool
inherits_leases (const sched_t *sched, int64_t now_us)
{
  return sched->epoch > 1
         && now_us - sched->since_us
                <= with_slow_clock ((int64_t)SCHED_GRANT_MS * 1000);
}

int64_t
worker_deadline_ms (const sched_t *sched, worker_t *worker, int64_t now_us)
{
  int64_t lease_us = MIN (sched->granted_until_us - now_us,
                          (int64_t)sched->limits.lease_ms * 1000);
  int64_t deadline_ms;

  if (!worker->has_clock || lease_us <= 0)
    return 0;
  deadline_ms = worker_clock_at (worker, now_us) + lease_us / 1000;
  worker->lease_ms = MAX (worker->lease_ms, deadline_ms);
  return deadline_ms;
}

bool
task_is_at_work (const task_t *task, int64_t now_us)
{
  const run_t *run = task->run;

  return run && run->phase == RUN_ACTIVE && run->percent >= 100
         && !run->worker->unreachable && !run->worker->going_down
         && now_us - run->worker->answered_us < WORKER_SILENT_US;
}

run_t *
run_new (sched_t *sched, task_t *task, worker_t *worker, uint32_t attempt,
         sched_now_t now)
{
  const job_step_t *spec = task->stage->spec;
  run_t *run = g_new0 (run_t, 1);

  (void)sched;
  run->task = task;
  run->worker = worker;
  run->attempt = attempt;
  run->holds = spec->need;
  run->quota = spec->need;
  if (spec->fills)
    run->holds.cpu_milli = 0;
  run->phase = RUN_PLANNED;
  run->pace = 100;
  run->since_us = now.us;
  task->run = run;
  task->attempt = MAX (task->attempt, attempt);
  task->stage->attempt = MAX (task->stage->attempt, attempt);
  task->stage->waiting--;
  task->stage->job->runs++;
  if (task->stage->job->started_us == 0)
    {
      task->stage->job->started_us = now.us;
      histogram_add (HIST_START, now.us - task->stage->job->accepted_us);
    }
  amounts_add (&worker->used, &run->holds);
  amounts_add (&task->stage->job->space->used, &run->quota);
  g_ptr_array_add (worker->runs, run);
  return run;
}

void
run_close (sched_t *sched, run_t *run, const char *why, sched_now_t now)
{
  task_t *task = run->task;
  sjob_t *job = task->stage->job;

  job->returned += !task->done;
  if (!task->done)
    counter_add (COUNT_TASKS_RETURNED, 1);
  if (!task->done && !job->ended)
    event_log (EV_TASK_RETURNED,
               "id=%s occurrence=%u step=%u index=%u attempt=%u worker=%s "
               "why=%s ran_ms=%" PRId64,
               job->desc->id, task->stage->occurrence, task->stage->step,
               task->index, run->attempt, run->worker->id, why,
               run->active_us ? (now.us - run->active_us) / 1000 : 0);

  amounts_subtract (&run->worker->used, &run->holds);
  amounts_subtract (&job->space->used, &run->quota);
  g_ptr_array_remove_fast (run->worker->runs, run);
  job->runs--;
  sched->dirty = true;
  if (task->run == run)
    {
      task->run = NULL;
      task->away_since_us = now.us;
      if (!task->done && !job->ended)
        task_waits (sched, task);
    }
  g_free (run);
  job_settle (sched, job);
}

void
task_avoid (task_t *task, const worker_t *worker, sched_now_t now)
{
  task->avoid = worker->interned;
  task->avoid_until_us = now.us + AVOID_US;
}

void
run_leave (sched_t *sched, run_t *run)
{
  task_t *task = run->task;

  if (task->run != run)
    return;
  task->run = NULL;
  if (!task->done && !task->stage->job->ended)
    task_waits (sched, task);
}

run_t *
run_find (const worker_t *worker, const task_t *task, uint32_t attempt)
{
  for (uint32_t i = 0; i < worker->runs->len; i++)
    {
      run_t *run = g_ptr_array_index (worker->runs, i);

      if (run->task == task && run->attempt == attempt)
        return run;
    }
  return NULL;
}

void
runs_stop_others (sched_t *sched, const task_t *task)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, sched->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const worker_t *worker = value;

      for (uint32_t i = 0; i < worker->runs->len; i++)
        {
          run_t *run = g_ptr_array_index (worker->runs, i);

          if (run->task == task)
            run_stop (run);
        }
    }
}

void
run_stop (run_t *run)
{
  run->unsent |= run->phase == RUN_PLANNED;
  run->phase = RUN_STOPPING;
}

static void
close_all (sched_t *sched, worker_t *worker, const char *why, sched_now_t now)
{
  for (uint32_t i = worker->runs->len; i-- > 0;)
    run_close (sched, g_ptr_array_index (worker->runs, i), why, now);
}

/* WORKER is another boot now: nothing of before runs there.  */
void
worker_clear (sched_t *sched, worker_t *worker, sched_now_t now)
{
  close_all (sched, worker, "other-boot", now);
  worker->seen = worker->last_seen = worker->seen_batch = 0;
  worker->has_clock = false;
  worker->lease_ms = 0;
  worker->synced = false;
  worker->fails_in_row = 0;
  worker->suspect_until_us = 0;
  worker->hold_due_us = now.us;
}

static void
worker_remove (sched_t *sched, worker_t *worker, sched_now_t now)
{
  event_log (EV_WORKER_GONE, "worker=%s pool=%s silent_ms=%" PRId64,
             worker->id, worker->pool->name,
             worker->answered_us ? (now.us - worker->answered_us) / 1000 : -1);
  close_all (sched, worker, "worker-gone", now);
  g_ptr_array_remove_fast (worker->pool->workers, worker);
  g_hash_table_remove (sched->workers, worker->id);
}

static worker_t *
worker_add (sched_t *sched, const char *id, pool_t *pool, sched_now_t now)
{
  worker_t *worker = g_new0 (worker_t, 1);

  worker->id = g_strdup (id);
  worker->interned = g_intern_string (id);
  worker->runs = g_ptr_array_new ();
  worker->pool = pool;
  worker->fill_percent = 100;
  worker->hold_due_us = now.us;
  g_ptr_array_add (worker->pool->workers, worker);
  g_hash_table_insert (sched->workers, worker->id, worker);
  event_log (EV_WORKER_LISTED, "worker=%s pool=%s", worker->id, pool->name);
  return worker;
}

void
worker_expect (sched_t *sched, task_t *task, uint32_t attempt, const char *id,
               sched_now_t now)
{
  worker_t *worker = g_hash_table_lookup (sched->workers, id);
  run_t *run;

  if (!worker)
    worker = worker_add (sched, id, stage_pool (sched, task->stage), now);
  run = run_new (sched, task, worker, attempt, now);
  run->phase = RUN_ACTIVE;
  run->active_us = now.us;
}

/* Tasks that last would end with a worker that leaves; they start again
   elsewhere while it is still there.  */
static void
move_lasting (worker_t *worker)
{
  for (uint32_t i = 0; i < worker->runs->len; i++)
    {
      run_t *run = g_ptr_array_index (worker->runs, i);

      if (run->task->stage->spec->lasts)
        run_stop (run);
    }
}

void
sched_set_worker (sched_t *sched, const worker_info_t *info, sched_now_t now)
{
  worker_t *worker = g_hash_table_lookup (sched->workers, info->id);
  pool_t *pool = sched_pool (sched, info->service);

  if (!worker)
    worker = worker_add (sched, info->id, pool, now);
  if (info->born_ms && worker->born_ms && info->born_ms != worker->born_ms)
    worker_clear (sched, worker, now);
  if (info->born_ms)
    worker->born_ms = info->born_ms;
  if (pool != worker->pool)
    {
      g_ptr_array_remove_fast (worker->pool->workers, worker);
      g_ptr_array_add (pool->workers, worker);
      worker->pool = pool;
    }
  worker->address = g_intern_string (info->address);
  if (!worker->labels)
    worker->labels = g_strdupv ((char **)info->labels);
  worker->data_centre = g_intern_string (info->data_centre);
  worker->rack = info->rack ? g_intern_string (info->rack) : NULL;
  worker->room = info->room;
  if (!worker->listed || worker->state != info->state)
    sched->dirty = true;
  worker->listed = true;
  if (info->state == WORKER_DRAINING && worker->state != WORKER_DRAINING)
    move_lasting (worker);
  worker->state = info->state;
  sched_wake_at (sched, now.us);
}

void
sched_drop_worker (sched_t *sched, const char *id, sched_now_t now)
{
  worker_t *worker = g_hash_table_lookup (sched->workers, id);

  if (!worker)
    return;
  worker->listed = false;
  sched_wake_at (sched, now.us);
}

void
sched_keep_workers (sched_t *sched, GHashTable *ids, sched_now_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, sched->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      worker_t *worker = value;

      if (!g_hash_table_contains (ids, worker->id))
        worker->listed = false;
    }
  sched_wake_at (sched, now.us);
}

static int64_t
stop_takes_us (const sched_t *sched)
{
  return (int64_t)sched->limits.stop_grace_ms * 1000 + STOP_MARGIN_US;
}

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
take_end (sched_t *sched, worker_t *worker, const end_row_t *end,
          sched_now_t now)
{
  task_t *task = sched_task (sched, &end->task);
  run_t *run;

  if (!task)
    return;
  run = run_find (worker, task, end->attempt);
  set_checkpoint (task, end->checkpoint);
  switch (end->how)
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
  if (task->done && task->stage->job->runs > 0)
    runs_stop_others (sched, task);
  if (run)
    run_close (sched, run, end_name (end->how), now);
  else
    job_settle (sched, task->stage->job);
}

static void
stop_unknown (sched_t *sched, const worker_t *worker, const run_row_t *row)
{
  order_add (sched, (order_t){ .kind = ORDER_STOP,
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
  if (run->active_us == 0)
    run->active_us = now.us;
  run->task->away_since_us = 0;
  job_begin (sched, run->task->stage->job);
}

static void
take_run (sched_t *sched, worker_t *worker, const run_row_t *row,
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
is_listed (const run_t *run, const worker_lists_t *lists)
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
close_forgotten (sched_t *sched, worker_t *worker, const worker_lists_t *lists,
                 int64_t sent_us, sched_now_t now)
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
take_lists (sched_t *sched, worker_t *worker, const worker_lists_t *lists,
            int64_t sent_us, sched_now_t now)
{
  for (uint32_t i = 0; i < lists->ends_count; i++)
    {
      const end_row_t *end = &lists->ends[i];

      if (end->number <= worker->seen)
        continue;
      worker->seen = end->number;
      worker->seen_batch = sched->batch;
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
      worker_clear (sched, worker, now);
      worker->unreachable = true;
      return true;
    case REPLY_BUSY:
      worker->suspect_until_us = now.us + REJECTED_PAUSE_US;
      return true;
    case REPLY_OK:
    case REPLY_OLD:
    case REPLY_LATE:
    case REPLY_NO_ROOM:
    case REPLY_NO_TICKET:
    case REPLY_BAD:
    case REPLY_REFUSED:
    case REPLY_LOST:
      worker->unreachable = true;
      return true;
    }
  return true;
}

bool
sched_hold_reply (sched_t *sched, const char *id, const worker_reply_t *reply,
                  const worker_lists_t *lists, sched_now_t now)
{
  worker_t *worker = g_hash_table_lookup (sched->workers, id);

  sched_wake_at (sched, now.us);
  if (!worker)
    return reply->kind != REPLY_FENCED;
  worker->hold_out = false;
  if (reply->kind != REPLY_OK || !lists)
    return hold_failed (sched, worker, reply->kind, now);
  if (lists->born_ms && worker->born_ms && lists->born_ms != worker->born_ms)
    worker_clear (sched, worker, now);
  if (lists->born_ms)
    worker->born_ms = lists->born_ms;
  note_clock (worker, reply, now);
  worker->answered_us = now.us;
  if (worker->unreachable || !worker->synced)
    sched->dirty = true;
  worker->unreachable = false;
  /* What an earlier owner granted is not known, only how long it can be.  */
  if (!worker->synced && inherits_leases (sched, now.us))
    worker->lease_ms
        = MAX (worker->lease_ms, worker->clock_ms + SCHED_GRANT_MS);
  worker->synced = true;
  take_lists (sched, worker, lists, reply->sent_us, now);
  stalls_check (sched, worker, now);
  pace_check (worker, now);
  worker->hold_due_us = worker->seen > worker->last_seen
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
    [REPLY_OLD] = "old-attempt",
    [REPLY_LATE] = "late-order",
    [REPLY_NO_ROOM] = "no-room",
    [REPLY_NO_TICKET] = "no-ticket",
    [REPLY_BUSY] = "worker-busy",
    [REPLY_OTHER_BOOT] = "other-boot",
    [REPLY_REFUSED] = "connection-refused",
    [REPLY_BAD] = "order-not-read",
    [REPLY_LOST] = "no-answer",
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
    case REPLY_NO_ROOM:
    case REPLY_BUSY:
    case REPLY_REFUSED:
      worker->suspect_until_us
          = MAX (worker->suspect_until_us, now.us + REJECTED_PAUSE_US);
      start_failed (sched, run, kind, 0, now);
      return;
    case REPLY_OLD:
    case REPLY_LATE:
    case REPLY_NO_TICKET:
    case REPLY_BAD:
      start_failed (sched, run, kind, TASK_PAUSE_US, now);
      return;
    case REPLY_LOST:
      task_avoid (run->task, worker, now);
      run_stop (run);
      if (run->task->stage->spec->speculative)
        run_leave (sched, run);
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
      worker_clear (sched, worker, now);
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

/* Whether RUN's confirmed stop has had its time.  An end would have been
   listed meanwhile, as WORKER answers.  */
static bool
stop_is_over (const sched_t *sched, const worker_t *worker, const run_t *run,
              int64_t now_us)
{
  return run->phase == RUN_STOPPING && run->stopped_us != 0
         && !worker->unreachable
         && now_us - run->stopped_us >= stop_takes_us (sched);
}

static void
advance_worker (sched_t *sched, worker_t *worker, sched_now_t now)
{
  for (uint32_t i = worker->runs->len; i-- > 0;)
    {
      run_t *run = g_ptr_array_index (worker->runs, i);

      if (run->unsent)
        run_close (sched, run, "not-sent", now);
      else if (stop_is_over (sched, worker, run, now.us))
        run_close (sched, run, "stop-confirmed", now);
      else if (run->stopped_us != 0)
        sched_wake_at (sched, now.us + STOP_MARGIN_US);
    }
  /* An owner that was replaced does not know what the next one renewed.  */
  if (worker->runs->len > 0
      && worker_lease_end_us (sched, worker)
             < MIN (now.us, sched->confirmed_us))
    close_all (sched, worker, "lease-ended", now);
}

void
workers_advance (sched_t *sched, sched_now_t now)
{
  g_autoptr (GPtrArray) gone = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, sched->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      worker_t *worker = value;

      advance_worker (sched, worker, now);
      if (!worker->listed && worker->runs->len == 0)
        g_ptr_array_add (gone, worker);
    }
  for (uint32_t i = 0; i < gone->len; i++)
    worker_remove (sched, g_ptr_array_index (gone, i), now);
}

static void
add_hold (sched_t *sched, worker_t *worker, sched_now_t now)
{
  order_t order = { .kind = ORDER_HOLD,
                    .worker = worker->interned,
                    .address = worker->address,
                    .last_seen = worker->last_seen };

  /* A worker that does not answer gets no longer lease: its tasks would never
     start again.  */
  if (!worker->unreachable)
    order.deadline_ms = worker_deadline_ms (sched, worker, now.us);
  if (worker->synced && !worker->unreachable
      && worker->last_seen == worker->seen)
    order.wait_ms = HOLD_WAIT_MS;
  worker->hold_out = true;
  order_add (sched, order);
}

/* The record of RUN is in the log, so the order may go out.  */
static void
order_start (sched_t *sched, run_t *run, sched_now_t now)
{
  const task_t *task = run->task;
  int64_t deadline_ms = worker_deadline_ms (sched, run->worker, now.us);

  if (deadline_ms == 0 || run->worker->unreachable)
    {
      run_close (sched, run, "worker-unreachable", now);
      return;
    }
  run->phase = RUN_ORDERED;
  counter_add (COUNT_TASKS_STARTED, 1);
  order_add (sched, (order_t){ .kind = ORDER_START,
                               .worker = run->worker->interned,
                               .address = run->worker->address,
                               .deadline_ms = deadline_ms,
                               .task = task_ref (task),
                               .attempt = run->attempt,
                               .payload = task->stage->job->desc->payload,
                               .checkpoint = task->checkpoint });
}

void
worker_orders (sched_t *sched, worker_t *worker, sched_now_t now)
{
  if (!worker->address)
    return;
  for (uint32_t i = worker->runs->len; i-- > 0;)
    {
      run_t *run = g_ptr_array_index (worker->runs, i);

      if (run->phase == RUN_PLANNED)
        {
          /* May close the run.  */
          if (run->batch <= sched->durable)
            order_start (sched, run, now);
          continue;
        }
      if (run->phase != RUN_STOPPING || run->stopped_us != 0)
        continue;
      if (run->stop_us == 0 || now.us - run->stop_us >= STOP_RETRY_US)
        {
          run->stop_us = now.us;
          order_add (sched, (order_t){ .kind = ORDER_STOP,
                                       .worker = worker->interned,
                                       .address = worker->address,
                                       .task = task_ref (run->task),
                                       .attempt = run->attempt });
        }
      sched_wake_at (sched, run->stop_us + STOP_RETRY_US);
    }
  pace_orders (sched, worker, now);
  if (worker->hold_out)
    return;
  if (worker->hold_due_us <= now.us)
    add_hold (sched, worker, now);
  else
    sched_wake_at (sched, worker->hold_due_us);
}

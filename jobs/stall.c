#include "schedint.h"

/* A run without progress for this time is stalled.  Workers report progress
   every 500 ms.  */
#define STALLED_AFTER_US 900000
/* Shortest running time from which the speed of a run is measured.  */
#define MEASURE_MIN_US 350000
/* A run is restarted elsewhere if its remaining time exceeds this percentage
   of a new run's time, including RESTART_COST_MS for the stop and start.
   Estimates are off by a third.  */
#define RESTART_GAIN_PERCENT 170
#define RESTART_COST_MS 350
/* A run that takes more than this multiple of its estimate is slow.  A slow
   worker gets no new tasks for SLOW_PAUSE_US after the last such report.  */
#define SLOW_FACTOR 3
#define SLOW_PAUSE_US 1500000

/* Remaining time of RUN at its speed so far; INT64_MAX if it is stalled.  */
static int64_t
remaining_us (const run_t *run, int64_t now_us)
{
  int64_t ran_us = now_us - run->active_us;

  if (now_us - run->progress_us > STALLED_AFTER_US || run->percent == 0)
    return INT64_MAX;
  return ran_us * (100 - MIN (run->percent, 100)) / run->percent;
}

/* Time of a new run in the worst case, without a checkpoint of the work so
   far.  */
static int64_t
restart_us (const run_t *run)
{
  return ((int64_t)run->task->stage->spec->estimate_ms + RESTART_COST_MS)
         * 1000;
}

static bool
is_slow (const run_t *run, int64_t left_us, int64_t now_us)
{
  int64_t total_us;

  if (left_us == INT64_MAX)
    return true;
  total_us = now_us - run->active_us + left_us;
  return total_us
         > (int64_t)run->task->stage->spec->estimate_ms * 1000 * SLOW_FACTOR
               + MEASURE_MIN_US;
}

/* Counts of runs on a worker.  */
typedef struct run_speeds
{
  uint32_t judged;
  uint32_t slow;
  uint32_t still; /* slow ones that are stalled */
} run_speeds_t;

/* A run that its worker doesn't list may be known from the log alone, or be
   stopping there, and has no speed.  */
static bool
is_measurable (const run_t *run, int64_t now_us)
{
  const job_step_t *spec = run->task->stage->spec;

  return run->phase == RUN_ACTIVE && run->unlisted_us == 0
         && !spec->long_running && !spec->gang && !spec->filler
         && now_us - run->active_us >= MEASURE_MIN_US;
}

static run_speeds_t
count_slow_runs (const worker_t *worker, int64_t now_us)
{
  run_speeds_t speeds = { 0 };

  for (uint32_t i = 0; i < worker->runs->len; i++)
    {
      const run_t *run = g_ptr_array_index (worker->runs, i);
      int64_t left_us;

      if (!is_measurable (run, now_us))
        continue;
      left_us = remaining_us (run, now_us);
      speeds.judged++;
      speeds.slow += is_slow (run, left_us, now_us);
      speeds.still += left_us == INT64_MAX;
    }
  return speeds;
}

/* Restarts the task of the slow RUN on another worker, but only once: a task
   that is slow there too has a wrong estimate.  */
static void
restart_elsewhere (sched_t *sched, run_t *run, sched_now_t now)
{
  task_t *task = run->task;
  int64_t left_us = remaining_us (run, now.us);

  if (task->run != run || task->done || task->restarted
      || left_us / 100 < restart_us (run) / 10000 * RESTART_GAIN_PERCENT
      || !place_has_alternative (task, run->worker, now))
    return;
  task->restarted = true;
  task_avoid_worker (task, run->worker, now);
  if (task->stage->spec->speculative)
    run_detach (sched, run);
  else
    run_stop (sched, run);
}

void
stall_check (sched_t *sched, worker_t *worker, sched_now_t now)
{
  run_speeds_t speeds = count_slow_runs (worker, now.us);

  /* A minority of slow runs doesn't make the worker slow: their tasks exceed
     their estimates.  */
  if (speeds.slow == 0 || speeds.slow * 2 < speeds.judged
      || (speeds.judged == 1 && speeds.still == 0))
    return;
  if (worker->suspect_until_us <= now.us)
    event_log (EV_WORKER_SUSPECT,
               "worker=%s why=slow judged=%u slow=%u still=%u", worker->id,
               speeds.judged, speeds.slow, speeds.still);
  worker->suspect_until_us
      = MAX (worker->suspect_until_us, now.us + SLOW_PAUSE_US);
  for (uint32_t i = 0; i < worker->runs->len; i++)
    {
      run_t *run = g_ptr_array_index (worker->runs, i);

      if (is_measurable (run, now.us)
          && is_slow (run, remaining_us (run, now.us), now.us))
        restart_elsewhere (sched, run, now);
    }
}

#include "schedint.h"

/* A run that shows no progress for so long stands still: reports come every
   half second.  */
#define STALLED_AFTER_US 900000
/* Before that nothing is said about how fast a run is.  */
#define MEASURE_MIN_US 350000
/* A run is started elsewhere when what it still needs is so many times what a
   new run takes, stop and start included.  Estimates are off by a third.  */
#define RESTART_GAIN_PERCENT 170
#define RESTART_COST_MS 350
/* A worker on which a run needs so many times its estimate is slow; it gets
   nothing new for SLOW_PAUSE_US after it was last seen to be.  */
#define SLOW_FACTOR 3
#define SLOW_PAUSE_US 1500000

/* How long RUN still needs at the run_speeds that it has shown; INT64_MAX: it
   stands still.  */
static int64_t
remaining_us (const run_t *run, int64_t now_us)
{
  int64_t ran_us = now_us - run->active_us;

  if (now_us - run->progress_us > STALLED_AFTER_US || run->percent == 0)
    return INT64_MAX;
  return ran_us * (100 - MIN (run->percent, 100)) / run->percent;
}

/* What a new run needs, in the worst case that none of its work was saved.  */
static int64_t
restart_us (const run_t *run)
{
  return ((int64_t)run->task->stage->spec->estimate_ms + RESTART_COST_MS)
         * 1000;
}

static bool
is_slow (const run_t *run, int64_t needs_us, int64_t now_us)
{
  int64_t whole_us;

  if (needs_us == INT64_MAX)
    return true;
  whole_us = now_us - run->active_us + needs_us;
  return whole_us
         > (int64_t)run->task->stage->spec->estimate_ms * 1000 * SLOW_FACTOR
               + MEASURE_MIN_US;
}

/* How many of the runs on WORKER that can be judged are slow.  */
typedef struct run_speeds
{
  uint32_t judged;
  uint32_t slow;
  uint32_t still; /* of the slow ones: without any progress */
} run_speeds_t;

static bool
is_measurable (const run_t *run, int64_t now_us)
{
  const job_step_t *spec = run->task->stage->spec;

  return run->phase == RUN_ACTIVE && !spec->lasts && !spec->gang
         && !spec->fills && now_us - run->active_us >= MEASURE_MIN_US;
}

static run_speeds_t
count_slow_runs (const worker_t *worker, int64_t now_us)
{
  run_speeds_t run_speeds = { 0 };

  for (uint32_t i = 0; i < worker->runs->len; i++)
    {
      const run_t *run = g_ptr_array_index (worker->runs, i);
      int64_t needs_us;

      if (!is_measurable (run, now_us))
        continue;
      needs_us = remaining_us (run, now_us);
      run_speeds.judged++;
      run_speeds.slow += is_slow (run, needs_us, now_us);
      run_speeds.still += needs_us == INT64_MAX;
    }
  return run_speeds;
}

/* Starts the task of the slow RUN elsewhere, once: a task that is slow there
   too is longer than was said.  */
static void
restart_elsewhere (sched_t *sched, run_t *run, sched_now_t now)
{
  task_t *task = run->task;
  int64_t needs_us = remaining_us (run, now.us);

  if (task->run != run || task->done || task->restarted
      || needs_us / 100 < restart_us (run) / 10000 * RESTART_GAIN_PERCENT
      || !place_has_alternative (task, run->worker, now))
    return;
  task->restarted = true;
  task_avoid_worker (task, run->worker, now);
  if (task->stage->spec->speculative)
    run_detach (sched, run);
  else
    run_stop (run);
}

void
stall_check (sched_t *sched, worker_t *worker, sched_now_t now)
{
  run_speeds_t run_speeds = count_slow_runs (worker, now.us);

  /* One slow run among others that get on is a long task.  */
  if (run_speeds.slow == 0 || run_speeds.slow * 2 < run_speeds.judged
      || (run_speeds.judged == 1 && run_speeds.still == 0))
    return;
  if (worker->suspect_until_us <= now.us)
    event_log (EV_WORKER_SUSPECT,
               "worker=%s why=slow judged=%u slow=%u still=%u", worker->id,
               run_speeds.judged, run_speeds.slow, run_speeds.still);
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

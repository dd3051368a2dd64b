#include "schedint.h"

/* A run that shows no progress for so long stands still: reports come every
   half second.  */
#define STILL_US 900000
/* Before that nothing is said about how fast a run is.  */
#define JUDGE_US 350000
/* A run is started elsewhere when what it still needs is so many times what a
   new run takes, stop and start included.  Estimates are off by a third.  */
#define WORTH_PERCENT 170
#define RESTART_MS 350
/* A worker on which a run needs so many times its estimate is slow; it gets
   nothing new for SLOW_US after it was last seen to be.  */
#define SLOW_TIMES 3
#define SLOW_US 1500000

/* How long RUN still needs at the speed that it has shown; INT64_MAX: it
   stands still.  */
static int64_t
left_us (const run_t *run, int64_t now_us)
{
  int64_t ran_us = now_us - run->active_us;

  if (now_us - run->moved_us > STILL_US || run->percent == 0)
    return INT64_MAX;
  return ran_us * (100 - MIN (run->percent, 100)) / run->percent;
}

/* What a new run needs, in the worst case that none of its work was saved.  */
static int64_t
anew_us (const run_t *run)
{
  return ((int64_t)run->task->stage->spec->estimate_ms + RESTART_MS) * 1000;
}

static bool
is_slow (const run_t *run, int64_t needs_us, int64_t now_us)
{
  int64_t whole_us;

  if (needs_us == INT64_MAX)
    return true;
  whole_us = now_us - run->active_us + needs_us;
  return whole_us
         > (int64_t)run->task->stage->spec->estimate_ms * 1000 * SLOW_TIMES
               + JUDGE_US;
}

/* How many of the runs on WORKER that can be judged are slow.  */
typedef struct speed
{
  uint32_t judged;
  uint32_t slow;
  uint32_t still; /* of the slow ones: without any progress */
} speed_t;

static bool
can_judge (const run_t *run, int64_t now_us)
{
  const job_step_t *spec = run->task->stage->spec;

  return run->phase == RUN_ACTIVE && !spec->long_running && !spec->gang
         && !spec->fills && now_us - run->active_us >= JUDGE_US;
}

static speed_t
measure (const worker_t *worker, int64_t now_us)
{
  speed_t speed = { 0 };

  for (uint32_t i = 0; i < worker->runs->len; i++)
    {
      const run_t *run = g_ptr_array_index (worker->runs, i);
      int64_t needs_us;

      if (!can_judge (run, now_us))
        continue;
      needs_us = left_us (run, now_us);
      speed.judged++;
      speed.slow += is_slow (run, needs_us, now_us);
      speed.still += needs_us == INT64_MAX;
    }
  return speed;
}

/* Starts the task of the slow RUN elsewhere, once: a task that is slow there
   too is longer than was said.  */
static void
restart (sched_t *sched, run_t *run, sched_now_t now)
{
  task_t *task = run->task;
  int64_t needs_us = left_us (run, now.us);

  if (task->run != run || task->done || task->moved
      || needs_us / 100 < anew_us (run) / 10000 * WORTH_PERCENT
      || !place_elsewhere (task, run->worker, now))
    return;
  task->moved = true;
  task_avoid (task, run->worker, now);
  if (task->stage->spec->speculative)
    run_leave (sched, run);
  else
    run_stop (run);
}

void
stalls_check (sched_t *sched, worker_t *worker, sched_now_t now)
{
  speed_t speed = measure (worker, now.us);

  /* One slow run among others that get on is a long task.  */
  if (speed.slow == 0 || speed.slow * 2 < speed.judged
      || (speed.judged == 1 && speed.still == 0))
    return;
  if (worker->suspect_until_us <= now.us)
    event_log (EV_WORKER_SUSPECT,
               "worker=%s why=slow judged=%u slow=%u still=%u", worker->id,
               speed.judged, speed.slow, speed.still);
  worker->suspect_until_us = MAX (worker->suspect_until_us, now.us + SLOW_US);
  for (uint32_t i = 0; i < worker->runs->len; i++)
    {
      run_t *run = g_ptr_array_index (worker->runs, i);

      if (can_judge (run, now.us)
          && is_slow (run, left_us (run, now.us), now.us))
        restart (sched, run, now);
    }
}

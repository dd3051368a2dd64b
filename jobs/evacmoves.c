#include "advice.h"
#include "evacuation.h"
#include "schedint.h"

/* Tasks for which a pass looks for room elsewhere.  Each costs a look at all
   workers of a pool, 3,000 at most; a pass has to take less than 10 ms.  */
#define SEARCHES_MAX 8
/* Tasks whose step is asked in a pass whether it allows a stop.  Each costs a
   look at all tasks of the step.  */
#define EXAMINED_MAX 24

/* Room that is promised to a task of STAGE in this pass.  */
typedef struct promise
{
  worker_t *worker;
  const stage_t *stage;
  amounts_t need;
} promise_t;

static amounts_t
need_of (const task_t *task)
{
  amounts_t need = task->stage->spec->need;

  if (task->stage->spec->filler)
    need.cpu_milli = 0;
  return need;
}

/* The tasks of STAGE that WORKER has or is promised to.  */
static uint32_t
count_tasks_of (const worker_t *worker, const stage_t *stage,
                const GArray *promises)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < worker->runs->len; i++)
    {
      const run_t *run = g_ptr_array_index (worker->runs, i);

      count += run->task->stage == stage;
    }
  for (uint32_t i = 0; i < promises->len; i++)
    {
      const promise_t *promise = &g_array_index (promises, promise_t, i);

      count += promise->worker == worker && promise->stage == stage;
    }
  return count;
}

static bool
has_room_for (worker_t *worker, task_t *task, const GArray *promises,
              sched_now_t now)
{
  const stage_t *stage = task->stage;
  amounts_t left = worker->capacity;
  amounts_t need = need_of (task);
  run_t probe = { .task = task, .worker = worker };

  if (!worker_accepts_tasks (worker, now.us)
      || (task->avoid_worker == worker->interned
          && task->avoid_until_us > now.us)
      || (stage->spec->spread_max > 0
          && count_tasks_of (worker, stage, promises)
                 >= stage->spec->spread_max))
    return false;
  amounts_subtract (&left, &worker->allocated);
  return amounts_cover (&left, &need) && place_is_allowed (&probe)
         && (!advice_is_needed (stage)
             || advice_ticket (stage, worker, now.us));
}

/* Promises room on a worker elsewhere to TASK; false if none has it.  Of the
   workers of its pool those from *FROM on are looked at, which is set to the
   one that was found.  */
static bool
promise_room_from (sched_t *sched, task_t *task, uint32_t *from,
                   GArray *promises, sched_now_t now)
{
  const GPtrArray *workers = task->stage->job->pool->workers;
  promise_t promise = { .stage = task->stage, .need = need_of (task) };

  for (; *from < workers->len; ++*from)
    {
      promise.worker = g_ptr_array_index (workers, *from);
      if (!has_room_for (promise.worker, task, promises, now))
        continue;
      amounts_add (&promise.worker->allocated, &promise.need);
      g_array_append_val (promises, promise);
      return true;
    }
  if (advice_is_needed (task->stage))
    advice_request_workers (sched, task->stage, now);
  return false;
}

static bool
promise_room (sched_t *sched, task_t *task, GArray *promises, sched_now_t now)
{
  uint32_t from = 0;

  return promise_room_from (sched, task, &from, promises, now);
}

/* Takes back all but the first KEPT of PROMISES.  */
static void
return_promises (GArray *promises, uint32_t kept)
{
  for (uint32_t i = kept; i < promises->len; i++)
    {
      const promise_t *promise = &g_array_index (promises, promise_t, i);

      amounts_subtract (&promise->worker->allocated, &promise->need);
    }
  g_array_set_size (promises, kept);
}

/* Promises room to all tasks of the gang of STAGE, or to none.  Those that run
   elsewhere keep their places.  The tasks are alike, so a worker without room
   for one of them has none for the next: all take one look at the workers.  */
static bool
promise_room_to_gang (sched_t *sched, const stage_t *stage, GArray *promises,
                      sched_now_t now)
{
  uint32_t kept = promises->len;
  uint32_t from = 0;

  for (uint32_t i = 0; i < stage->spec->count; i++)
    {
      task_t *task = &stage->tasks[i];

      if (worker_accepts_tasks (task->run->worker, now.us)
          || promise_room_from (sched, task, &from, promises, now))
        continue;
      return_promises (promises, kept);
      return false;
    }
  return true;
}

/* Promises room to the long-running tasks of POOL that wait for it.  Returns
   the number of searches.  */
static uint32_t
promise_to_waiting (sched_t *sched, const pool_t *pool, GArray *promises,
                    sched_now_t now)
{
  uint32_t searches = 0;

  for (uint32_t i = 0; i < pool->stages->len; i++)
    {
      stage_t *stage = g_ptr_array_index (pool->stages, i);

      if (!stage->spec->long_running)
        continue;
      for (uint32_t j = 0; j < stage->spec->count; j++)
        {
          task_t *task = &stage->tasks[j];

          if (task->run || task->done)
            continue;
          /* Without room for one task there is none for the others.  */
          if (++searches > SEARCHES_MAX
              || !promise_room (sched, task, promises, now))
            break;
        }
    }
  return searches;
}

/* Whether all tasks of the gang of RUN run, and RUN is the first of them in a
   withdrawn data centre: a gang moves as a whole, as stopping one of its tasks
   ends all of them.  */
static bool
leads_gang (const run_t *run)
{
  const stage_t *stage = run->task->stage;

  for (uint32_t i = 0; i < stage->spec->count; i++)
    {
      const run_t *other = stage->tasks[i].run;

      if (!other || other->phase != RUN_ACTIVE
          || (i < run->task->index && worker_is_evacuated (other->worker)))
        return false;
    }
  return true;
}

/* Whether RUN may be moved out if its step allows a stop now.  */
static bool
is_candidate (const run_t *run)
{
  const stage_t *stage = run->task->stage;

  return stage->spec->long_running && !stage->job->ended
         && run->task->run == run && run->phase == RUN_ACTIVE
         && (!stage->spec->gang || leads_gang (run));
}

/* Whether RUN is being stopped and its task needs room elsewhere.  */
static bool
is_moving_out (const run_t *run)
{
  const stage_t *stage = run->task->stage;

  return stage->spec->long_running && !stage->job->ended
         && run->task->run == run && run->phase == RUN_STOPPING;
}

/* Runs in withdrawn data centres that are being moved out, then those that may
   be.  */
static GPtrArray *
collect_moves (const sched_t *sched, uint32_t *moving)
{
  GPtrArray *runs = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  *moving = 0;
  g_hash_table_iter_init (&iter, sched->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const worker_t *worker = value;

      for (uint32_t i = 0; worker->evacuated && i < worker->runs->len; i++)
        {
          run_t *run = g_ptr_array_index (worker->runs, i);

          if (is_moving_out (run))
            g_ptr_array_insert (runs, (int)(*moving)++, run);
          else if (is_candidate (run))
            g_ptr_array_add (runs, run);
        }
    }
  return runs;
}

static void
move_out (sched_t *sched, run_t *run, int64_t now_us)
{
  counter_add (COUNT_EVACUATED_MOVES, 1);
  task_log_interrupted (run->task, run->attempt, run->worker, "stop",
                        "evacuation", now_us);
  run_stop (sched, run);
}

/* Whether the step of the gang STAGE allows all its tasks to be unavailable.
   If not, it never does, and the gang stays: logs that once for each
   evacuation.  */
static bool
gang_may_move (const sched_t *sched, stage_t *stage, const run_t *run)
{
  const job_step_t *spec = stage->spec;

  if (spec->max_unavailable == 0 || spec->max_unavailable >= spec->count)
    return true;
  if (stage->stay_logged == sched->evacuations_begun)
    return false;
  stage->stay_logged = sched->evacuations_begun;
  event_log (EV_EVACUATION_GANG_STAYS,
             "id=%s occurrence=%u step=%u tasks=%u max=%u worker=%s",
             stage->job->desc->id, stage->occurrence, stage->step, spec->count,
             spec->max_unavailable, run->worker->id);
  return false;
}

/* Moves the gang of RUN out if there is room elsewhere for all its tasks.  */
static void
try_gang (sched_t *sched, const run_t *run, GArray *promises, sched_now_t now)
{
  const stage_t *stage = run->task->stage;

  if (!promise_room_to_gang (sched, stage, promises, now))
    return;
  for (uint32_t i = 0; i < stage->spec->count; i++)
    move_out (sched, stage->tasks[i].run, now.us);
}

/* Whether the step of RUN allows that RUN, or its gang, moves now.  */
static bool
may_move (const sched_t *sched, const run_t *run, int64_t now_us)
{
  stage_t *stage = run->task->stage;

  return stage->spec->gang ? gang_may_move (sched, stage, run)
                           : run_may_be_interrupted (run, now_us);
}

/* Stops long-running tasks for which there is room elsewhere, beyond what
   those need that wait or are being stopped.  If they are many, no more are
   stopped.  */
void
evacmoves_plan (sched_t *sched, sched_now_t now)
{
  uint32_t moving;
  g_autoptr (GPtrArray) runs = collect_moves (sched, &moving);
  g_autoptr (GArray) promises = g_array_new (FALSE, FALSE, sizeof (promise_t));
  uint32_t searches = moving;
  uint32_t candidates = runs->len - moving;
  GHashTableIter iter;
  gpointer pool;

  if (candidates == 0 || moving >= SEARCHES_MAX)
    return;
  g_hash_table_iter_init (&iter, sched->pools);
  while (g_hash_table_iter_next (&iter, NULL, &pool))
    searches += promise_to_waiting (sched, pool, promises, now);
  for (uint32_t i = 0; i < moving; i++)
    promise_room (sched, ((run_t *)g_ptr_array_index (runs, i))->task,
                  promises, now);
  /* Those without room must not keep others from being looked at.  */
  for (uint32_t i = 0; i < MIN (candidates, EXAMINED_MAX); i++)
    {
      run_t *run = g_ptr_array_index (
          runs, moving + sched->evacuation_cursor++ % candidates);

      if (!may_move (sched, run, now.us))
        continue;
      if (++searches > SEARCHES_MAX)
        break;
      if (run->task->stage->spec->gang)
        try_gang (sched, run, promises, now);
      else if (promise_room (sched, run->task, promises, now))
        move_out (sched, run, now.us);
    }
  return_promises (promises, 0);
}

#include "judge.h"
#include "startorder.h"
#include "waiting.h"

/* Records that no worker of POOL has NEED free, so that the rest of this plan
   skips tasks that need as much.  */
static void
note_unplaceable (pool_t *pool, const stage_t *stage, const task_t *task,
                  const amounts_t *need)
{
  if (stage->spec->label || stage->spec->spread_max > 0 || task->avoid_worker
      || advice_is_needed (stage))
    return; /* the reason may be other than capacity */
  pool->unplaceable = *need;
  pool->has_unplaceable = true;
}

worker_t *
place_find_worker (pool_t *pool, const stage_t *stage, const task_t *task,
                   sched_now_t now)
{
  judge_task_t judged = judge_task (stage, task);
  worker_t *best;

  if (pool->has_unplaceable
      && amounts_cover (&judged.need, &pool->unplaceable))
    return NULL;
  best = judge_best (&judged, pool, now.us);
  if (!best)
    note_unplaceable (pool, stage, task, &judged.need);
  return best;
}

bool
place_is_allowed (const run_t *run)
{
  return judge_run_is_allowed (run);
}

bool
place_has_alternative (const task_t *task, const worker_t *worker,
                       sched_now_t now)
{
  pool_t *pool = task->stage->job->pool;
  const worker_t *other;

  pool->has_unplaceable = false;
  other = place_find_worker (pool, task->stage, task, now);
  return other && other != worker;
}

static bool
cap_allows_one (int64_t cap, int64_t used, int64_t need)
{
  return cap == 0 || used + need <= cap;
}

bool
quota_allows (const sched_job_t *job, const amounts_t *need)
{
  const amounts_t *cap = &job->workspace->rule.cap;
  const amounts_t *used = &job->workspace->allocated;

  return cap_allows_one (cap->cpu_milli, used->cpu_milli, need->cpu_milli)
         && cap_allows_one (cap->mem_mib, used->mem_mib, need->mem_mib)
         && cap_allows_one (cap->accels, used->accels, need->accels);
}

bool
quota_is_kept (const sched_job_t *job)
{
  return quota_allows (job, &(amounts_t){ 0 });
}

/* Adds RUN to the progress record.  Its start is sent only once the record is
   durable (worker_plan_orders), because a later owner has to know where the
   task may run.  */
static void
plan_start (sched_t *sched, run_t *run)
{
  task_placed_t placed = { .task = task_ref (run->task),
                           .attempt = run->attempt,
                           .worker = run->worker->interned };

  run->task->stage->job->last_worker = run->worker->interned;
  run->task->stage->job->last_rack = run->worker->rack;
  run->task->stage->job->last_data_centre = run->worker->data_centre;
  run->batch = sched->batch;
  g_array_append_val (sched->placed, placed);
}

bool
place_awaits_earlier_run (const task_t *task)
{
  return task->run_count > 0 && !task->stage->spec->speculative;
}

/* Plans all tasks of a gang, or none; whether one of them lacks a worker.  */
static bool
place_gang (sched_t *sched, pool_t *pool, stage_t *stage, sched_now_t now)
{
  g_autoptr (GPtrArray) runs = g_ptr_array_new ();
  bool had_unplaceable = pool->has_unplaceable;
  amounts_t unplaceable = pool->unplaceable;
  int64_t next_us = sched->next_us;
  uint32_t attempt = 0;
  bool lacks_worker = false;

  if (stage->unstarted < stage->unfinished)
    return false; /* tasks of the last attempt have not ended */
  for (uint32_t i = 0; i < stage->spec->count; i++)
    attempt = MAX (attempt, task_next_attempt (&stage->tasks[i]));
  for (uint32_t i = 0; i < stage->spec->count; i++)
    {
      task_t *task = &stage->tasks[i];
      worker_t *worker;

      if (task->done)
        continue;
      if (task->not_before_us > now.us || place_awaits_earlier_run (task)
          || !quota_allows (stage->job, &stage->spec->need))
        break;
      worker = place_find_worker (pool, stage, task, now);
      lacks_worker = !worker;
      if (!worker)
        break;
      g_ptr_array_add (runs, run_new (sched, task, worker, attempt, now));
    }
  if (runs->len == stage->unfinished)
    {
      checkpoint_begin_gang (sched, stage, attempt);
      for (uint32_t i = 0; i < runs->len; i++)
        plan_start (sched, g_ptr_array_index (runs, i));
      return false;
    }
  if (runs->len == 0)
    return lacks_worker;
  while (runs->len > 0)
    run_unplan (sched, g_ptr_array_steal_index (runs, runs->len - 1));
  /* What was found beside these runs doesn't hold without them, and they need
     no attention.  */
  sched->next_us = next_us;
  pool->has_unplaceable = had_unplaceable;
  pool->unplaceable = unplaceable;
  return lacks_worker;
}

/* Plans tasks of CANDIDATE's stage while workers have capacity and the limit
   of unanswered starts isn't reached; whether the next one lacks a worker.  */
static bool
place_tasks (sched_t *sched, const candidate_t *candidate, sched_now_t now)
{
  stage_t *stage = candidate->stage;

  for (uint32_t i = 0; i < stage->spec->count && stage->unstarted > 0; i++)
    {
      task_t *task = &stage->tasks[i];
      worker_t *worker;

      if (task->done || task->run || place_awaits_earlier_run (task))
        continue;
      if (starts_are_limited (sched, candidate->rank, 0))
        return false;
      if (task->not_before_us > now.us)
        {
          sched_wake_at (sched, task->not_before_us);
          continue;
        }
      if (!quota_allows (stage->job, &stage->spec->need))
        return false;
      worker = place_find_worker (stage->job->pool, stage, task, now);
      if (!worker)
        return true;
      plan_start (
          sched, run_new (sched, task, worker, task_next_attempt (task), now));
    }
  return false;
}

static void
place_stage (sched_t *sched, const candidate_t *candidate, sched_now_t now)
{
  stage_t *stage = candidate->stage;
  bool lacks_worker = stage->spec->gang
                          ? place_gang (sched, stage->job->pool, stage, now)
                          : place_tasks (sched, candidate, now);

  if (!lacks_worker)
    stage->lacks_worker_us = 0;
  else if (stage->lacks_worker_us == 0)
    stage->lacks_worker_us = now.us;
}

/* Logs one line for all tasks of a stage that start in this plan.  */
static void
log_starts (const candidate_t *candidate, uint32_t waiting, sched_now_t now)
{
  const stage_t *stage = candidate->stage;

  event_log (EV_TASK_STARTED,
             "id=%s occurrence=%u step=%u pool=%s started=%u of=%u rank=%d "
             "cost_ms=%.0f age_ms=%" PRId64,
             stage->job->desc->id, stage->occurrence, stage->step,
             stage->job->pool->name, waiting - stage->unstarted, waiting,
             (int)candidate->rank, candidate->cost,
             (now.us - stage->job->accepted_us) / 1000);
}

/* Appends the stages of POOL that have unstarted tasks to CANDIDATES.  */
static void
collect_candidates (pool_t *pool, GArray *candidates, int64_t now_us)
{
  double pool_cpu_milli = start_pool_cpu_milli (pool);

  pool->has_unplaceable = false;
  fairness_open_plan (pool, now_us);
  for (uint32_t i = pool->stages->len; i-- > 0;)
    {
      stage_t *stage = g_ptr_array_index (pool->stages, i);
      candidate_t candidate;

      if (stage->unstarted == 0)
        {
          stage->queued = false;
          stage->waits_since_us = 0;
          stage->waiting_us = 0;
          stage->lacks_worker_us = 0;
          g_ptr_array_remove_index_fast (pool->stages, i);
          continue;
        }
      if (stage->waiting_us == 0)
        stage->waiting_us = now_us;
      candidate = start_candidate (stage, pool_cpu_milli, now_us);
      candidate.account = fairness_wait (stage, now_us);
      candidate.exceeds_pool
          = candidate.rank == RANK_ON_TIME
            && fairness_exceeds_pool (stage, pool_cpu_milli, now_us);
      g_array_append_val (candidates, candidate);
    }
  fairness_judge (pool, now_us);
}

static void
place_candidates (sched_t *sched, const GArray *candidates, sched_now_t now)
{
  bool limited = false;

  for (uint32_t i = 0; i < candidates->len; i++)
    {
      const candidate_t *candidate
          = &g_array_index (candidates, candidate_t, i);
      uint32_t waiting = candidate->stage->unstarted;

      if (starts_are_limited (sched, candidate->rank, 0))
        {
          if (!limited)
            waiting_log_limited (sched, candidate->rank, now.us);
          limited = true;
          sched->start_window.bound = true;
          continue;
        }
      place_stage (sched, candidate, now);
      if (candidate->stage->unstarted > 0
          && advice_is_needed (candidate->stage))
        advice_request_workers (sched, candidate->stage, now);
      if (candidate->stage->unstarted < waiting)
        log_starts (candidate, waiting, now);
    }
}

/* How long the next placement waits after one with STEPS that wait.  */
static int64_t
pause_us (uint32_t steps)
{
  return steps <= PLACE_STEPS_FREE
             ? 0
             : MIN ((int64_t)(steps - PLACE_STEPS_FREE) * PLACE_STEP_US,
                    PLACE_PAUSE_MAX_US);
}

/* Orders the stages of all pools together, because the limits of unanswered
   starts apply to all of them.  */
void
place_pools (sched_t *sched, sched_now_t now)
{
  g_autoptr (GArray) candidates
      = g_array_new (FALSE, FALSE, sizeof (candidate_t));
  GHashTableIter iter;
  gpointer pool;

  sched->next_place_us = INT64_MAX;
  g_hash_table_iter_init (&iter, sched->pools);
  while (g_hash_table_iter_next (&iter, NULL, &pool))
    collect_candidates (pool, candidates, now.us);
  if (candidates->len == 0)
    return;
  sched->next_place_us = now.us + PLACE_RETRY_US;
  sched->place_pause_us = now.us + pause_us (candidates->len);
  if (sched->lease_limit_us - now.us < START_LEASE_MIN_US)
    return;
  g_array_sort (candidates, start_compare);
  place_candidates (sched, candidates, now);
  waiting_log (sched, candidates, now.us);
}

#include "trial.h"
#include "judge.h"

struct trial
{
  const sched_t *sched;
  sched_now_t now;
  pool_t pool;         /* with copies of its workers */
  worker_t *workers;   /* the copies */
  bool *owns_runs;     /* by worker: its list of runs is a copy, too */
  GPtrArray *runs;     /* run_t placed in this trial, in order */
  GHashTable *charged; /* workspace_t -> amounts_t, by these runs */
  uint64_t judged;
  uint64_t judged_max;
};

trial_t *
trial_new (const sched_t *sched, const pool_t *pool, uint64_t judged_max,
           sched_now_t now)
{
  trial_t *trial = g_new0 (trial_t, 1);
  uint32_t count = pool->workers->len;

  trial->sched = sched;
  trial->now = now;
  trial->judged_max = judged_max;
  trial->pool = *pool;
  trial->pool.has_unplaceable = false;
  trial->pool.workers = g_ptr_array_sized_new (count);
  trial->workers = g_new (worker_t, count);
  trial->owns_runs = g_new0 (bool, count);
  trial->runs = g_ptr_array_new ();
  trial->charged = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  for (uint32_t i = 0; i < count; i++)
    {
      trial->workers[i]
          = *(const worker_t *)g_ptr_array_index (pool->workers, i);
      trial->workers[i].pool = &trial->pool;
      g_ptr_array_add (trial->pool.workers, &trial->workers[i]);
    }
  return trial;
}

void
trial_free (trial_t *trial)
{
  for (uint32_t i = 0; i < trial->pool.workers->len; i++)
    if (trial->owns_runs[i])
      g_ptr_array_unref (trial->workers[i].runs);
  g_ptr_array_set_free_func (trial->runs, g_free);
  g_ptr_array_unref (trial->runs);
  g_ptr_array_unref (trial->pool.workers);
  g_hash_table_unref (trial->charged);
  g_free (trial->workers);
  g_free (trial->owns_runs);
  g_free (trial);
}

void
trial_allow (trial_t *trial, uint64_t more)
{
  trial->judged_max = trial->judged + more;
}

bool
trial_is_spent (const trial_t *trial)
{
  return trial->judged >= trial->judged_max;
}

static amounts_t *
charged_to (trial_t *trial, const sched_job_t *job)
{
  amounts_t *charged = g_hash_table_lookup (trial->charged, job->workspace);

  if (!charged)
    {
      charged = g_new0 (amounts_t, 1);
      g_hash_table_insert (trial->charged, job->workspace, charged);
    }
  return charged;
}

static bool
cap_allows (trial_t *trial, const stage_t *stage)
{
  amounts_t need = stage->spec->need;

  amounts_add (&need, charged_to (trial, stage->job));
  return quota_allows (stage->job, &need);
}

/* Gives TASK room on WORKER, and charges CHARGED to its workspace.  */
static void
take (trial_t *trial, worker_t *worker, const stage_t *stage, task_t *task,
      const amounts_t *charged)
{
  size_t index = (size_t)(worker - trial->workers);
  run_t *run = g_new0 (run_t, 1);

  run->task = task;
  run->worker = worker;
  run->image = stage->image;
  run->charged = *charged;
  run->reserved = judge_task (stage, task).need;
  if (!trial->owns_runs[index])
    worker->runs = g_ptr_array_copy (worker->runs, NULL, NULL);
  trial->owns_runs[index] = true;
  g_ptr_array_add (worker->runs, run);
  g_ptr_array_add (trial->runs, run);
  amounts_add (&worker->allocated, &run->reserved);
  amounts_add (charged_to (trial, stage->job), &run->charged);
  neighbours_update (worker);
}

/* Gives back what the runs from FIRST on have taken.  */
static void
give_back (trial_t *trial, uint32_t first)
{
  while (trial->runs->len > first)
    {
      run_t *run = g_ptr_array_steal_index (trial->runs, trial->runs->len - 1);

      g_ptr_array_set_size (run->worker->runs,
                            (gint)run->worker->runs->len - 1);
      amounts_subtract (&run->worker->allocated, &run->reserved);
      amounts_subtract (charged_to (trial, run->task->stage->job),
                        &run->charged);
      neighbours_update (run->worker);
      g_free (run);
    }
}

/* Places TASK; the result is TRIAL_ALL if it starts.  */
static trial_stop_t
place_task (trial_t *trial, const stage_t *stage, task_t *task)
{
  worker_t *worker;

  if (task->not_before_us > trial->now.us)
    return TRIAL_RETRY;
  if (!cap_allows (trial, stage))
    return TRIAL_CAP;
  if (trial_is_spent (trial))
    return TRIAL_BUDGET;
  trial->judged += trial->pool.workers->len;
  worker = place_find_worker (&trial->pool, stage, task, trial->now);
  if (!worker)
    return TRIAL_NO_WORKER;
  take (trial, worker, stage, task, &stage->spec->need);
  return TRIAL_ALL;
}

static trial_result_t
place_gang (trial_t *trial, const stage_t *stage)
{
  bool had_unplaceable = trial->pool.has_unplaceable;
  amounts_t unplaceable = trial->pool.unplaceable;
  uint32_t first = trial->runs->len;
  trial_stop_t stop = TRIAL_ALL;

  if (stage->unstarted < stage->unfinished)
    return (trial_result_t){ .stop = TRIAL_EARLIER_RUN };
  for (uint32_t i = 0; i < stage->spec->count && stop == TRIAL_ALL; i++)
    {
      task_t *task = &stage->tasks[i];

      if (task->done)
        continue;
      stop = place_awaits_earlier_run (task) ? TRIAL_EARLIER_RUN
                                             : place_task (trial, stage, task);
    }
  if (stop == TRIAL_ALL)
    return (trial_result_t){ .started = stage->unfinished };
  give_back (trial, first);
  trial->pool.has_unplaceable = had_unplaceable;
  trial->pool.unplaceable = unplaceable;
  return (trial_result_t){ .stop = stop };
}

static bool
trial_is_limited (const trial_t *trial, rank_t rank)
{
  return starts_are_limited (trial->sched, rank, trial->runs->len);
}

trial_result_t
trial_place (trial_t *trial, const stage_t *stage, rank_t rank)
{
  trial_result_t result = { 0 };

  if (trial_is_limited (trial, rank))
    return (trial_result_t){ .stop = TRIAL_STARTS };
  if (stage->spec->gang)
    return place_gang (trial, stage);
  for (uint32_t i = 0;
       i < stage->spec->count && result.started < stage->unstarted; i++)
    {
      task_t *task = &stage->tasks[i];
      trial_stop_t stop;

      if (task->done || task->run)
        continue;
      stop = place_awaits_earlier_run (task) ? TRIAL_EARLIER_RUN
             : trial_is_limited (trial, rank)
                 ? TRIAL_STARTS
                 : place_task (trial, stage, task);
      switch (stop)
        {
        case TRIAL_ALL:
          result.started++;
          break;
        case TRIAL_EARLIER_RUN:
        case TRIAL_RETRY:
          result.stop = stop; /* others may start */
          break;
        case TRIAL_NO_WORKER:
        case TRIAL_CAP:
        case TRIAL_STARTS:
        case TRIAL_BUDGET:
          result.stop = stop;
          return result;
        }
    }
  return result;
}

/* Time for which RUN is expected to go on.  */
static int64_t
left_us (const trial_t *trial, const run_t *run)
{
  const stage_t *stage = run->task->stage;
  int64_t began_us = run->active_us ? run->active_us : run->planned_us;
  int64_t expected_us = (int64_t)step_expected_ms (trial->sched, stage->job,
                                                   stage->step, trial->now.us)
                        * 1000;

  return ABS (began_us + expected_us - trial->now.us);
}

void
trial_expect_ends (trial_t *trial, int64_t within_us)
{
  for (uint32_t i = 0; i < trial->pool.workers->len; i++)
    {
      worker_t *worker = &trial->workers[i];

      for (uint32_t j = 0; j < worker->runs->len; j++)
        {
          const run_t *run = g_ptr_array_index (worker->runs, j);

          if (!run->task->stage->spec->long_running
              && left_us (trial, run) <= within_us)
            amounts_subtract (&worker->allocated, &run->reserved);
        }
    }
}

/* Gives TASK room on the worker that suits it best, if there is one.  */
static bool
move_task (trial_t *trial, task_t *task, const amounts_t *charged)
{
  judge_task_t judged = judge_task (task->stage, task);
  worker_t *worker;

  if (trial_is_spent (trial))
    return false;
  judged.needs_ticket = false;
  trial->judged += trial->pool.workers->len;
  worker = judge_best (&judged, &trial->pool, trial->now.us);
  if (worker)
    take (trial, worker, task->stage, task, charged);
  return worker != NULL;
}

bool
trial_place_waiting (trial_t *trial)
{
  bool all = true;

  for (uint32_t i = 0; i < trial->pool.stages->len; i++)
    {
      const stage_t *stage = g_ptr_array_index (trial->pool.stages, i);
      bool placed = true;

      if (!stage->spec->long_running)
        continue;
      for (uint32_t j = 0; j < stage->spec->count && placed; j++)
        {
          task_t *task = &stage->tasks[j];

          if (task->done || task->run)
            continue;
          if (!cap_allows (trial, stage))
            break;
          /* Without room for one task there is none for the others.  */
          placed = move_task (trial, task, &stage->spec->need);
        }
      all &= placed;
    }
  return all;
}

bool
trial_move_run (trial_t *trial, const run_t *run)
{
  /* Its workspace is charged for it already.  */
  return move_task (trial, run->task, &(amounts_t){ 0 });
}

bool
trial_has_placed (const trial_t *trial, const task_t *task)
{
  for (uint32_t i = 0; i < trial->runs->len; i++)
    if (((const run_t *)g_ptr_array_index (trial->runs, i))->task == task)
      return true;
  return false;
}

/* Whether RUN is of a long-running task that needs another place if its worker
   goes down.  */
static bool
needs_place (const trial_t *trial, const run_t *run)
{
  const stage_t *stage = run->task->stage;

  return stage->spec->long_running && !stage->job->ended && !run->task->done
         && (run->task->run == run
             || g_ptr_array_find (trial->runs, run, NULL));
}

/* Whether RULE allows that RUN has no place, if STAYING are the runs of its
   worker that have none.  */
static bool
may_lack_place (const run_t *run, const GPtrArray *staying, vacate_rule_t rule)
{
  const stage_t *stage = run->task->stage;

  switch (rule)
    {
    case VACATE_ALL:
      return false;
    case VACATE_POSSIBLE:
      return true;
    case VACATE_ALL_BUT_ONE:
      break;
    }
  if (run->task->run != run)
    return false;
  for (uint32_t i = 0; stage->spec->max_unavailable > 0 && i < staying->len;
       i++)
    if (((const run_t *)g_ptr_array_index (staying, i))->task->stage == stage)
      return false;
  return true;
}

vacated_t
trial_vacate (trial_t *trial, const worker_t *worker, vacate_rule_t rule)
{
  g_autoptr (GPtrArray) staying = g_ptr_array_new ();
  uint32_t first = trial->runs->len;
  worker_t *copy = NULL;
  bool was_cordoned;

  for (uint32_t i = 0; !copy && i < trial->pool.workers->len; i++)
    if (trial->workers[i].interned == worker->interned)
      copy = &trial->workers[i];
  if (!copy)
    return VACATED_ALL; /* it is of another pool by now */
  was_cordoned = copy->cordoned;
  copy->cordoned = true;
  for (uint32_t i = 0; i < copy->runs->len; i++)
    {
      run_t *run = g_ptr_array_index (copy->runs, i);

      if (!needs_place (trial, run) || trial_move_run (trial, run))
        continue;
      if (may_lack_place (run, staying, rule))
        {
          g_ptr_array_add (staying, run);
          continue;
        }
      give_back (trial, first);
      copy->cordoned = was_cordoned;
      return VACATED_NONE;
    }
  return staying->len > 0 ? VACATED_PART : VACATED_ALL;
}

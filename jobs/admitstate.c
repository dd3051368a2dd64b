#include "admit.h"

/* A new owner admits everything for this time: until most workers have
   reported, running work and free room aren't known.  */
#define START_GRACE_US 2000000
/* An admitted job that is not in the log after this time is not coming: its
   record is given up after 2.9 s, or its daemon is lost.  */
#define ADMITTED_MAX_US 5000000
/* A run that has exceeded its expected time takes this part of it longer.  */
#define OVERDUE_PART 0.1
/* Refusals are over when there was none for this time, which covers the usual
   Retry-After.  */
#define CALM_US 5000000

pool_state_t *
admit_pool (admit_t *admit, const char *name)
{
  pool_state_t *state = g_hash_table_lookup (admit->pools, name);

  if (!state)
    {
      state = g_new0 (pool_state_t, 1);
      g_hash_table_insert (admit->pools, (gpointer)name, state);
    }
  return state;
}

admission_workspace_t *
admit_workspace (sched_t *sched, const char *name)
{
  admission_workspace_t *state
      = g_hash_table_lookup (sched->admit->workspaces, name);
  const workspace_t *workspace;

  if (state)
    return state;
  workspace = sched_workspace (sched, name);
  state = g_new0 (admission_workspace_t, 1);
  state->cap = workspace->rule.cap;
  state->used = workspace->allocated;
  g_hash_table_insert (sched->admit->workspaces, (gpointer)workspace->name,
                       state);
  return state;
}

amounts_t
admit_times (const amounts_t *amounts, uint32_t count)
{
  return (amounts_t){ .cpu_milli = amounts->cpu_milli * count,
                      .mem_mib = amounts->mem_mib * count,
                      .accels = amounts->accels * count };
}

/* What a task of SPEC takes of a worker.  */
amounts_t
admit_worker_need (const job_step_t *spec)
{
  amounts_t need = spec->need;

  if (spec->filler)
    need.cpu_milli = 0;
  return need;
}

static void
raise_to (amounts_t *largest, const amounts_t *free)
{
  largest->cpu_milli = MAX (largest->cpu_milli, free->cpu_milli);
  largest->mem_mib = MAX (largest->mem_mib, free->mem_mib);
  largest->accels = MAX (largest->accels, free->accels);
}

static void
measure_run (const sched_t *sched, pool_state_t *state, const run_t *run,
             bool accepts, int64_t now_us)
{
  const stage_t *stage = run->task->stage;
  double expected_ms, left_ms;

  if (stage->spec->long_running)
    {
      if (accepts)
        amounts_subtract (&state->pool.capacity, &run->reserved);
      return;
    }
  expected_ms = step_expected_ms (sched, stage->job, stage->step, now_us);
  left_ms = expected_ms
            - (double)(now_us
                       - (run->active_us ? run->active_us : run->planned_us))
                  / 1000;
  admission_work_add (&state->pool.running, &run->reserved, 1,
                      MAX (left_ms, expected_ms * OVERDUE_PART));
  amounts_add (&state->pool.used, &run->reserved);
}

static void
measure_worker (const sched_t *sched, pool_state_t *state,
                const worker_t *worker, int64_t now_us)
{
  bool accepts = worker_accepts_tasks (worker, now_us);
  amounts_t free = worker->capacity;

  state->workers += worker->listed;
  state->reported += worker->listed && worker->has_reported;
  for (uint32_t i = 0; i < worker->runs->len; i++)
    measure_run (sched, state, g_ptr_array_index (worker->runs, i), accepts,
                 now_us);
  if (!accepts)
    return;
  amounts_add (&state->pool.capacity, &worker->capacity);
  amounts_subtract (&free, &worker->allocated);
  amounts_add (&state->pool.free, &free);
  raise_to (&state->largest, &free);
}

/* Whether a waiting task of STAGE takes the first room that is large enough.
   Others may leave room unused.  */
static bool
takes_any_room (const stage_t *stage)
{
  const job_step_t *spec = stage->spec;

  return stage->steps_pending == 0 && !spec->label && spec->spread_max == 0
         && !spec->gang && !advice_is_needed (stage);
}

static void
measure_stage (sched_t *sched, const stage_t *stage, admission_rank_t rank,
               int64_t now_us)
{
  const sched_job_t *job = stage->job;
  const job_step_t *spec = stage->spec;
  admission_workspace_t *workspace;
  pool_state_t *state;
  amounts_t need;
  amounts_t all;
  double expected_ms;
  bool allowed;

  if (stage->unstarted == 0)
    return;
  state = admit_pool (sched->admit, job->pool->name);
  workspace = admit_workspace (sched, job->workspace->name);
  need = admit_worker_need (spec);
  all = admit_times (&need, stage->unstarted);
  allowed = quota_allows (job, &spec->need);
  if (allowed && takes_any_room (stage))
    {
      amounts_t charged = admit_times (&spec->need, stage->unstarted);

      amounts_subtract (&state->pool.free, &all);
      amounts_add (&workspace->waiting_need, &charged);
    }
  if (spec->long_running)
    return;
  expected_ms = step_expected_ms (sched, job, stage->step, now_us);
  admission_work_add (&workspace->waiting, &spec->need, stage->unstarted,
                      expected_ms);
  if (allowed) /* else the cap holds it back, not the pool */
    admission_work_add (&state->pool.waiting[rank], &need, stage->unstarted,
                        expected_ms);
}

/* Sets *RANK to that of JOB; false if the job is of no value any more, and
   precedes none.  */
static bool
rank_of_job (const sched_job_t *job, int64_t now_us, admission_rank_t *rank)
{
  int64_t left_ms = 0;
  int64_t late_ms;
  int64_t objective_ms = job_objective_us (job) / 1000;

  for (uint32_t k = 0; k < job->next_occurrence; k++)
    for (uint32_t i = 0; i < job->desc->steps_count; i++)
      if (job->occurrences[k].stages
          && job->occurrences[k].stages[i].unfinished > 0)
        left_ms = MAX (left_ms, job->chain_from_ms[i]);
  late_ms = (now_us - job->accepted_us) / 1000 + left_ms - objective_ms;
  if (late_ms > (ADMISSION_VALUE_FACTOR - 1) * objective_ms)
    return false;
  *rank = job->over_share ? ADMISSION_OVER_SHARE
          : late_ms > 0   ? ADMISSION_LATE
                          : ADMISSION_ON_TIME;
  return true;
}

static void
measure_job (sched_t *sched, const sched_job_t *job, int64_t now_us)
{
  admission_rank_t rank;

  if (job->ended || !rank_of_job (job, now_us, &rank))
    return;
  for (uint32_t k = 0; k < job->next_occurrence; k++)
    for (uint32_t i = 0; i < job->desc->steps_count; i++)
      if (job->occurrences[k].stages)
        measure_stage (sched, &job->occurrences[k].stages[i], rank, now_us);
}

/* Adds JOB, which is not folded yet, to what is waiting.  */
void
admit_measure_admitted (sched_t *sched, const admitted_t *admitted)
{
  pool_state_t *state = admit_pool (sched->admit, admitted->pool);
  admission_workspace_t *workspace
      = admit_workspace (sched, admitted->workspace);
  admission_work_t *waiting = &state->pool.waiting[admitted->job.rank];
  const admission_work_t *work = &admitted->job.work;

  waiting->cpu_milli_ms += work->cpu_milli_ms;
  waiting->mem_mib_ms += work->mem_mib_ms;
  waiting->accels_ms += work->accels_ms;
  workspace->waiting.cpu_milli_ms += work->cpu_milli_ms;
  workspace->waiting.mem_mib_ms += work->mem_mib_ms;
  workspace->waiting.accels_ms += work->accels_ms;
  amounts_subtract (&state->pool.free, &admitted->first_need);
  amounts_add (&workspace->waiting_need, &admitted->first_need);
}

/* Adds HOST to the capacity that comes to the pools.  An idle one counts for
   each other pool, as any of them may get it.  */
static void
measure_host (const sched_t *sched, const host_t *host, int64_t now_us)
{
  const worker_t *worker
      = host->worker ? g_hash_table_lookup (sched->workers, host->worker)
                     : NULL;
  const amounts_t *room = worker ? &worker->capacity : &sched->host_room;
  bool can_move = host->listed && host->state == HOST_STATUS_UP
                  && !host_order_is_open (&host->order) && !host->cordoned
                  && (!worker
                      || (worker->runs->len == 0
                          && worker_accepts_tasks (worker, now_us)));
  GHashTableIter iter;
  gpointer name;
  gpointer value;

  if (host->move_to && (host_order_is_open (&host->order) || host->cordoned))
    {
      amounts_add (&admit_pool (sched->admit, host->move_to)->pool.incoming,
                   room);
      return;
    }
  if (!can_move)
    return;
  g_hash_table_iter_init (&iter, sched->admit->pools);
  while (g_hash_table_iter_next (&iter, &name, &value))
    if (name != host->pool)
      amounts_add (&((pool_state_t *)value)->pool.lendable, room);
}

static gboolean
admitted_is_old (gpointer key, gpointer value, gpointer now_us)
{
  (void)key;
  return ((const admitted_t *)value)->at_us + ADMITTED_MAX_US
         <= *(const int64_t *)now_us;
}

static void
measure_pools (sched_t *sched, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, sched->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const pool_t *pool = value;
      pool_state_t *state = admit_pool (sched->admit, pool->name);

      for (uint32_t i = 0; i < pool->workers->len; i++)
        measure_worker (sched, state, g_ptr_array_index (pool->workers, i),
                        now_us);
      state->pool.known = state->reported > 0
                          && state->reported * 2 >= state->workers
                          && now_us - sched->started_us >= START_GRACE_US;
    }
}

/* Measures the state anew.  */
void
admit_measure (sched_t *sched, int64_t now_us)
{
  admit_t *admit = sched->admit;
  GHashTableIter iter;
  gpointer value;

  admit->measured_us = now_us;
  g_hash_table_remove_all (admit->pools);
  g_hash_table_remove_all (admit->workspaces);
  measure_pools (sched, now_us);
  g_hash_table_iter_init (&iter, sched->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    measure_host (sched, value, now_us);
  g_hash_table_iter_init (&iter, sched->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    measure_job (sched, value, now_us);
  g_hash_table_foreach_remove (admit->admitted, admitted_is_old, &now_us);
  g_hash_table_iter_init (&iter, admit->admitted);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    admit_measure_admitted (sched, value);
  if (admit->refuses && now_us - admit->refused_us >= CALM_US)
    {
      event_log (EV_ADMISSION_ENDED, "refused=%u turns=%u", admit->refused,
                 admission_turns_count (admit->turns));
      admit->refuses = false;
      admit->refused = 0;
    }
}

#include "placement_internal.h"
#include <stdlib.h>

/* Workers tried and runs examined for each method; bounds the time for one
   urgent job.  */
#define WORKERS_TRIED_MAX 64
#define RUNS_EXAMINED_MAX 1024

/* A throttled run keeps one part in this many of its processors.  */
#define THROTTLE_DIVISOR 4

/* In the order in which they are tried, least disruptive first.  */
typedef enum reclaim_method
{
  METHOD_THROTTLE,
  METHOD_CHECKPOINT,
  METHOD_STOP,
  METHOD_COUNT
} reclaim_method_t;

/* Whether TEAM uses lent capacity: its dominant share of the fleet, without
   what is being reclaimed, exceeds its share.  */
static bool
is_over_share (const placement_t *placement, const team_jobs_t *team)
{
  amounts_t allocated = team->allocated;

  amounts_subtract (&allocated, &team->being_reclaimed);
  return dominant_share_of (placement, &allocated)
         > (double)team->share / (double)placement->total_shares;
}

static bool
may_reclaim (const placement_t *placement, const run_t *run, const job_t *job)
{
  if (!run->job || run->job->urgent || run->job->cancelled
      || run->reclaim != RECLAIM_NONE)
    return false;
  if (run->team == job->team)
    return true;
  return is_over_share (placement, run->team)
         && !is_over_share (placement, job->team);
}

static bool
supports_method (const run_t *run, reclaim_method_t method)
{
  switch (method)
    {
    case METHOD_THROTTLE:
      return run->cpu_cut == 0;
    case METHOD_CHECKPOINT:
      return run->job->can_checkpoint;
    case METHOD_STOP:
      return run->job->idempotent && !run->job->can_checkpoint;
    case METHOD_COUNT:
      break;
    }
  return false;
}

static amounts_t
reclaimable_amounts (const run_t *run, reclaim_method_t method)
{
  amounts_t gain = { 0 };

  if (method != METHOD_THROTTLE)
    return run->allocated;
  gain.cpu_milli
      = run->allocated.cpu_milli - run->allocated.cpu_milli / THROTTLE_DIVISOR;
  return gain;
}

/* Runs on one worker that are reclaimed together to make room for a job.  */
typedef struct set
{
  GPtrArray *runs;
  amounts_t room;
} reclaim_set_t;

/* Adds runs of WORKER, newest first, until there is room for JOB.  Returns
   whether there is.  */
static bool
select_runs (const placement_t *placement, reclaim_set_t *set,
             const worker_t *worker, const job_t *job, reclaim_method_t method)
{
  for (GList *link = worker->runs.tail; link; link = link->prev)
    {
      run_t *run = link->data;
      amounts_t gain;

      if (amounts_cover (&set->room, &job->need))
        break;
      if (!may_reclaim (placement, run, job) || !supports_method (run, method))
        continue;
      gain = reclaimable_amounts (run, method);
      amounts_add (&set->room, &gain);
      g_ptr_array_add (set->runs, run);
    }
  return amounts_cover (&set->room, &job->need);
}

static void
throttle (placement_t *placement, run_t *run, command_list_t *out)
{
  amounts_t cut = reclaimable_amounts (run, METHOD_THROTTLE);

  run->cpu_cut = cut.cpu_milli;
  amounts_subtract (&run->allocated, &cut);
  amounts_subtract (&run->team->allocated, &cut);
  amounts_add (&run->worker->free, &cut);
  g_ptr_array_add (placement->throttled, run);
  worker_update_index (placement, run->worker);
  command_list_add (out, COMMAND_THROTTLE, run);
}

static void
reclaim_run (run_t *run, command_list_t *out)
{
  bool checkpoint = run->job->can_checkpoint;

  run->reclaim = checkpoint ? RECLAIM_CHECKPOINT : RECLAIM_STOP;
  run->reclaim_since_us = out->now_us;
  amounts_add (&run->team->being_reclaimed, &run->allocated);
  command_list_add (out, checkpoint ? COMMAND_CHECKPOINT : COMMAND_STOP, run);
}

static void
reclaim_selected (placement_t *placement, const reclaim_set_t *set, job_t *job,
                  worker_t *worker, reclaim_method_t method,
                  command_list_t *out)
{
  for (uint32_t i = 0; i < set->runs->len; i++)
    {
      run_t *run = g_ptr_array_index (set->runs, i);

      if (method == METHOD_THROTTLE)
        throttle (placement, run, out);
      else
        reclaim_run (run, out);
    }
  if (method == METHOD_THROTTLE)
    job_start (placement, job, worker, out);
  else
    job_reserve_worker (placement, job, worker, out->now_us);
}

static bool
reclaim_on_worker (placement_t *placement, job_t *job, worker_t *worker,
                   reclaim_method_t method, command_list_t *out)
{
  reclaim_set_t set = { .room = worker->free };
  bool done;

  if (!worker->usable || worker->excluded || worker->reserved_for
      || !amounts_cover (&worker->capacity, &job->need))
    return false;
  set.runs = g_ptr_array_new ();
  if (method == METHOD_STOP)
    select_runs (placement, &set, worker, job, METHOD_CHECKPOINT);
  done = select_runs (placement, &set, worker, job, method)
         && out->max - out->count > set.runs->len;
  if (done)
    reclaim_selected (placement, &set, job, worker, method, out);
  g_ptr_array_free (set.runs, TRUE);
  return done;
}

/* Orders teams by descending weighted dominant share.  */
static int
compare_teams (gconstpointer a, gconstpointer b, gpointer data)
{
  const team_jobs_t *const *l = a;
  const team_jobs_t *const *r = b;
  double left = dominant_share_of (data, &(*l)->allocated) / (*l)->share;
  double right = dominant_share_of (data, &(*r)->allocated) / (*r)->share;

  return left > right ? -1 : left < right ? 1 : 0;
}

static bool
reclaim_by_method (placement_t *placement, const GPtrArray *teams, job_t *job,
                   reclaim_method_t method, command_list_t *out)
{
  uint32_t workers_left = WORKERS_TRIED_MAX;
  uint32_t runs_left = RUNS_EXAMINED_MAX;

  for (uint32_t i = 0; i < teams->len; i++)
    {
      const team_jobs_t *team = g_ptr_array_index (teams, i);

      for (GList *link = team->runs.tail; link && workers_left && runs_left;
           link = link->prev, runs_left--)
        {
          const run_t *run = link->data;

          if (!may_reclaim (placement, run, job))
            continue;
          workers_left--;
          if (reclaim_on_worker (placement, job, run->worker, method, out))
            return true;
        }
    }
  return false;
}

bool
reclaim_for_job (placement_t *placement, job_t *job, command_list_t *out)
{
  GPtrArray *teams = g_ptr_array_copy (placement->team_list, NULL, NULL);
  bool done = false;

  g_ptr_array_sort_with_data (teams, compare_teams, placement);
  for (reclaim_method_t m = METHOD_THROTTLE; m < METHOD_COUNT && !done; m++)
    done = reclaim_by_method (placement, teams, job, m, out);
  g_ptr_array_free (teams, TRUE);
  return done;
}

void
reclaim_stop_overdue (worker_t *worker, command_list_t *out)
{
  for (GList *link = worker->runs.head; link && out->count < out->max;
       link = link->next)
    {
      run_t *run = link->data;

      if (run->reclaim != RECLAIM_CHECKPOINT || !run->job
          || !run->job->idempotent
          || out->now_us - run->reclaim_since_us
                 < PLACEMENT_CHECKPOINT_TIMEOUT_US)
        continue;
      run->reclaim = RECLAIM_STOP;
      command_list_add (out, COMMAND_STOP, run);
    }
}

void
reclaim_restore_throttled (placement_t *placement, command_list_t *out)
{
  for (uint32_t i = placement->throttled->len;
       i-- > 0 && out->count < out->max;)
    {
      run_t *run = g_ptr_array_index (placement->throttled, i);
      amounts_t cut = { .cpu_milli = run->cpu_cut };

      if (!run->job || run->reclaim != RECLAIM_NONE
          || run->worker->reserved_for
          || run->worker->free.cpu_milli < run->cpu_cut)
        continue;
      run->cpu_cut = 0;
      g_ptr_array_remove_index_fast (placement->throttled, i);
      amounts_add (&run->allocated, &cut);
      amounts_add (&run->team->allocated, &cut);
      amounts_subtract (&run->worker->free, &cut);
      worker_update_index (placement, run->worker);
      command_list_add (out, COMMAND_RESTORE, run);
    }
}

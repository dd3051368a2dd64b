#include "jobs.h"
#include <stdlib.h>

/* Workers tried, and runs looked at, for each measure: bounds the time for one
   urgent job.  */
#define TRIES_MAX 64
#define LOOKS_MAX 1024

/* A throttled run keeps this part of its processors.  */
#define THROTTLE_KEEPS 4

/* From the mildest to the hardest.  */
typedef enum measure
{
  MEASURE_THROTTLE,
  MEASURE_CHECKPOINT,
  MEASURE_STOP,
  MEASURE_COUNT
} measure_t;

/* Capacity is lent to a team when it holds more than its part by shares.  */
static bool
is_over (const placement_t *place, const team_jobs_t *team)
{
  amounts_t holds = team->holds;

  amounts_subtract (&holds, &team->leaving);
  return team_part (place, &holds)
         > (double)team->share / (double)place->shares_total;
}

static bool
may_take (const placement_t *place, const run_t *run, const job_t *job)
{
  if (!run->job || run->job->urgent || run->job->cancelled
      || run->reclaim != RECLAIM_NONE)
    return false;
  if (run->team == job->team)
    return true;
  return is_over (place, run->team) && !is_over (place, job->team);
}

static bool
allows (const run_t *run, measure_t measure)
{
  switch (measure)
    {
    case MEASURE_THROTTLE:
      return run->cpu_cut == 0;
    case MEASURE_CHECKPOINT:
      return run->job->can_checkpoint;
    case MEASURE_STOP:
      return run->job->idempotent && !run->job->can_checkpoint;
    case MEASURE_COUNT:
      break;
    }
  return false;
}

static amounts_t
gain_of (const run_t *run, measure_t measure)
{
  amounts_t gain = { 0 };

  if (measure != MEASURE_THROTTLE)
    return run->holds;
  gain.cpu_milli
      = run->holds.cpu_milli - run->holds.cpu_milli / THROTTLE_KEEPS;
  return gain;
}

/* A set of runs on one worker whose capacity makes room for a job.  */
typedef struct taking
{
  GPtrArray *runs;
  amounts_t room;
} taking_t;

/* Add runs of WORKER, newest first, until there is room for JOB.  */
static bool
gather (const placement_t *place, taking_t *taking, const worker_t *worker,
        const job_t *job, measure_t measure)
{
  for (GList *link = worker->runs.tail; link; link = link->prev)
    {
      run_t *run = link->data;
      amounts_t gain;

      if (amounts_cover (&taking->room, &job->need))
        break;
      if (!may_take (place, run, job) || !allows (run, measure))
        continue;
      gain = gain_of (run, measure);
      amounts_add (&taking->room, &gain);
      g_ptr_array_add (taking->runs, run);
    }
  return amounts_cover (&taking->room, &job->need);
}

static void
throttle (placement_t *place, run_t *run, steps_t *out)
{
  amounts_t cut = gain_of (run, MEASURE_THROTTLE);

  run->cpu_cut = cut.cpu_milli;
  amounts_subtract (&run->holds, &cut);
  amounts_subtract (&run->team->holds, &cut);
  amounts_add (&run->worker->free, &cut);
  g_ptr_array_add (place->throttled, run);
  worker_index (place, run->worker);
  steps_add (out, COMMAND_THROTTLE, run);
}

static void
take_back (run_t *run, steps_t *out)
{
  bool checkpoint = run->job->can_checkpoint;

  run->reclaim = checkpoint ? RECLAIM_CHECKPOINT : RECLAIM_STOP;
  run->reclaim_since_us = out->now_us;
  amounts_add (&run->team->leaving, &run->holds);
  steps_add (out, checkpoint ? COMMAND_CHECKPOINT : COMMAND_STOP, run);
}

static void
apply (placement_t *place, const taking_t *taking, job_t *job,
       worker_t *worker, measure_t measure, steps_t *out)
{
  for (uint32_t i = 0; i < taking->runs->len; i++)
    {
      run_t *run = g_ptr_array_index (taking->runs, i);

      if (measure == MEASURE_THROTTLE)
        throttle (place, run, out);
      else
        take_back (run, out);
    }
  if (measure == MEASURE_THROTTLE)
    job_start (place, job, worker, out);
  else
    job_hold (place, job, worker, out->now_us);
}

static bool
take_on_worker (placement_t *place, job_t *job, worker_t *worker,
                measure_t measure, steps_t *out)
{
  taking_t taking = { .room = worker->free };
  bool done;

  if (!worker->usable || worker->bad || worker->held_for
      || !amounts_cover (&worker->capacity, &job->need))
    return false;
  taking.runs = g_ptr_array_new ();
  if (measure == MEASURE_STOP)
    gather (place, &taking, worker, job, MEASURE_CHECKPOINT);
  done = gather (place, &taking, worker, job, measure)
         && out->max - out->count > taking.runs->len;
  if (done)
    apply (place, &taking, job, worker, measure, out);
  g_ptr_array_free (taking.runs, TRUE);
  return done;
}

/* The teams that hold most for their weight come first.  */
static int
compare_teams (gconstpointer a, gconstpointer b, gpointer data)
{
  const team_jobs_t *const *l = a;
  const team_jobs_t *const *r = b;
  double left = team_part (data, &(*l)->holds) / (*l)->share;
  double right = team_part (data, &(*r)->holds) / (*r)->share;

  return left > right ? -1 : left < right ? 1 : 0;
}

static bool
take_by (placement_t *place, const GPtrArray *teams, job_t *job,
         measure_t measure, steps_t *out)
{
  uint32_t tries = TRIES_MAX;
  uint32_t looks = LOOKS_MAX;

  for (uint32_t i = 0; i < teams->len; i++)
    {
      const team_jobs_t *team = g_ptr_array_index (teams, i);

      for (GList *link = team->runs.tail; link && tries && looks;
           link = link->prev, looks--)
        {
          const run_t *run = link->data;

          if (!may_take (place, run, job))
            continue;
          tries--;
          if (take_on_worker (place, job, run->worker, measure, out))
            return true;
        }
    }
  return false;
}

bool
reclaim_for (placement_t *place, job_t *job, steps_t *out)
{
  GPtrArray *teams = g_ptr_array_copy (place->team_list, NULL, NULL);
  bool done = false;

  g_ptr_array_sort_with_data (teams, compare_teams, place);
  for (measure_t m = MEASURE_THROTTLE; m < MEASURE_COUNT && !done; m++)
    done = take_by (place, teams, job, m, out);
  g_ptr_array_free (teams, TRUE);
  return done;
}

void
reclaim_advance (worker_t *worker, steps_t *out)
{
  for (GList *link = worker->runs.head; link && out->count < out->max;
       link = link->next)
    {
      run_t *run = link->data;

      if (run->reclaim != RECLAIM_CHECKPOINT || !run->job
          || !run->job->idempotent
          || out->now_us - run->reclaim_since_us < PLACE_CHECKPOINT_US)
        continue;
      run->reclaim = RECLAIM_STOP;
      steps_add (out, COMMAND_STOP, run);
    }
}

void
reclaim_restore (placement_t *place, steps_t *out)
{
  for (uint32_t i = place->throttled->len; i-- > 0 && out->count < out->max;)
    {
      run_t *run = g_ptr_array_index (place->throttled, i);
      amounts_t cut = { .cpu_milli = run->cpu_cut };

      if (!run->job || run->reclaim != RECLAIM_NONE || run->worker->held_for
          || run->worker->free.cpu_milli < run->cpu_cut)
        continue;
      run->cpu_cut = 0;
      g_ptr_array_remove_index_fast (place->throttled, i);
      amounts_add (&run->holds, &cut);
      amounts_add (&run->team->holds, &cut);
      amounts_subtract (&run->worker->free, &cut);
      worker_index (place, run->worker);
      steps_add (out, COMMAND_RESTORE, run);
    }
}

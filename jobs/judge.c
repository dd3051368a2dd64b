#include "judge.h"
#include <math.h>

/* Parts of a worker's score for a task.  Its share of free CPU adds up to 1.
 */
#define DATA_RACK_SCORE 2        /* it is in the rack of the task's data */
#define AVOIDED_WORKER_PENALTY 4 /* the task failed there last */

/* Score if the job's last start was on this worker, in its rack or in its data
   centre.  */
#define SAME_WORKER_SCORE 1.5
#define SAME_RACK_SCORE 0.8
#define SAME_DATA_CENTRE_SCORE 0.5

/* Penalty for a long-running task, for each STEP_SHARE_MAX tasks of the same
   step on the worker.  It outweighs all scores.  Two of them share a worker
   where the limit of tasks per worker allows it, as a host with a long-running
   task can't leave its pool.  */
#define STEP_SPREAD_PENALTY 4
#define STEP_SHARE_MAX 2

/* Penalty for a long-running task on a worker whose host a wave will take
   down: the task would have to move once more, and tasks of one step move one
   after another.  It outweighs free CPU and a host that is shared already.  */
#define MAINTENANCE_DUE_PENALTY 3

bool
judge_label (const worker_t *worker, const stage_t *stage)
{
  const char *label = stage->spec->label;

  return !label
         || g_strv_contains ((const char *const *)worker->labels, label);
}

static uint32_t
count_stage_runs (const worker_t *worker, const stage_t *stage)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < worker->runs->len; i++)
    {
      const run_t *run = g_ptr_array_index (worker->runs, i);

      count += run->task->stage == stage;
    }
  return count;
}

static amounts_t
need_on_worker (const job_step_t *spec)
{
  amounts_t need = spec->need;

  if (spec->filler)
    need.cpu_milli = 0;
  return need;
}

static bool
fits (const worker_t *worker, const amounts_t *need)
{
  amounts_t left = worker->capacity;

  amounts_subtract (&left, &worker->allocated);
  return amounts_cover (&left, need);
}

/* Score for placing tasks of a job close together.  One late task makes the
   job late, so the fewer workers, racks and data centres a job uses, the fewer
   failures delay it.  */
static double
locality_score (const worker_t *worker, const sched_job_t *job)
{
  if (worker->interned == job->last_worker)
    return SAME_WORKER_SCORE;
  if (worker->rack && worker->rack == job->last_rack)
    return SAME_RACK_SCORE;
  return worker->data_centre && worker->data_centre == job->last_data_centre
             ? SAME_DATA_CENTRE_SCORE
             : 0;
}

static double
step_spread_penalty (const worker_t *worker, const stage_t *stage)
{
  uint32_t shared = count_stage_runs (worker, stage) / STEP_SHARE_MAX;

  return STEP_SPREAD_PENALTY * shared;
}

/* Among equals the worker with most free CPU wins, as it can take more tasks
   of the job.  */
double
judge_score (const judge_task_t *task, const worker_t *worker)
{
  const stage_t *stage = task->stage;
  double value
      = (double)(worker->capacity.cpu_milli - worker->allocated.cpu_milli)
        / (double)MAX (worker->capacity.cpu_milli, 1);

  if (stage->spec->rack && worker->rack
      && g_strcmp0 (stage->spec->rack, worker->rack) == 0)
    value += DATA_RACK_SCORE;
  if (task->task->avoid_worker == worker->interned)
    value -= AVOIDED_WORKER_PENALTY;
  /* Long-running tasks of one step are spread so that they aren't lost
     together.  Those of different steps share hosts, because a host with a
     long-running task can't move to another pool.  */
  if (!stage->spec->long_running)
    value += locality_score (worker, stage->job);
  else
    value += (worker_has_long_running (worker) ? 1.0 : 0)
             - step_spread_penalty (worker, stage)
             - (worker->maintenance_due ? MAINTENANCE_DUE_PENALTY : 0);
  return value - neighbours_penalty (worker, stage);
}

static bool
is_avoided (const worker_t *worker, const task_t *task, int64_t now_us)
{
  return task->avoid_worker == worker->interned
         && task->avoid_until_us > now_us && worker->pool->workers->len > 1;
}

judge_task_t
judge_task (const stage_t *stage, const task_t *task)
{
  return (judge_task_t){ .stage = stage,
                         .task = task,
                         .need = need_on_worker (stage->spec),
                         .needs_ticket = advice_is_needed (stage) };
}

/* The checks are inlined into the loop over workers, which a plan runs for
   each task: as calls they made a choice among 3,000 workers 8 % slower.  */
static inline judgement_t
check_availability (const worker_t *worker, int64_t now_us)
{
  if (!worker->listed)
    return JUDGED_UNLISTED;
  if (!worker->has_reported || !worker->has_clock
      || !worker_registration_is_current (worker) || worker->doubted_us != 0)
    return JUDGED_UNREPORTED;
  if (worker->state != WORKER_READY || worker->cordoned)
    return JUDGED_DRAINING;
  if (worker_is_evacuated (worker))
    return JUDGED_EVACUATED;
  if (worker_is_held_cold (worker, now_us))
    return JUDGED_COLD;
  if (worker->orphans->len > 0)
    return JUDGED_ORPHANS;
  if (!worker_is_answering (worker) || worker->silence)
    return JUDGED_SILENT;
  if (worker->suspect_until_us > now_us)
    return JUDGED_PAUSED;
  return worker_is_silent (worker, now_us) ? JUDGED_SILENT : JUDGED_SUITABLE;
}

judgement_t
judge_availability (const worker_t *worker, int64_t now_us)
{
  return check_availability (worker, now_us);
}

bool
worker_accepts_tasks (const worker_t *worker, int64_t now_us)
{
  return check_availability (worker, now_us) == JUDGED_SUITABLE;
}

static bool
has_step_limit_tasks (const worker_t *worker, const stage_t *stage)
{
  return stage->spec->spread_max > 0
         && count_stage_runs (worker, stage) >= stage->spec->spread_max;
}

static inline judgement_t
check_worker (const judge_task_t *task, const worker_t *worker, int64_t now_us)
{
  judgement_t availability = check_availability (worker, now_us);

  if (availability != JUDGED_SUITABLE)
    return availability;
  if (!fits (worker, &task->need))
    return JUDGED_NO_ROOM;
  if (is_avoided (worker, task->task, now_us))
    return JUDGED_AVOIDED;
  if (!judge_label (worker, task->stage))
    return JUDGED_NO_LABEL;
  if (task->needs_ticket && !advice_ticket (task->stage, worker, now_us))
    return JUDGED_NO_TICKET;
  return has_step_limit_tasks (worker, task->stage) ? JUDGED_STEP_LIMIT
                                                    : JUDGED_SUITABLE;
}

judgement_t
judge_worker (const judge_task_t *task, const worker_t *worker, int64_t now_us)
{
  return check_worker (task, worker, now_us);
}

worker_t *
judge_best (const judge_task_t *task, const pool_t *pool, int64_t now_us)
{
  worker_t *best = NULL;
  double best_value = -HUGE_VAL;

  for (uint32_t i = 0; i < pool->workers->len; i++)
    {
      worker_t *worker = g_ptr_array_index (pool->workers, i);
      double value;

      if (check_worker (task, worker, now_us) != JUDGED_SUITABLE)
        continue;
      value = judge_score (task, worker);
      if (value <= best_value)
        continue;
      best = worker;
      best_value = value;
    }
  return best;
}

bool
judge_run_is_allowed (const run_t *run)
{
  const worker_t *worker = run->worker;
  const stage_t *stage = run->task->stage;

  return worker->pool == stage->job->pool && judge_label (worker, stage)
         && (stage->spec->spread_max == 0
             || count_stage_runs (worker, stage) <= stage->spec->spread_max)
         && amounts_cover (&worker->capacity, &worker->allocated);
}

const char *
judgement_name (judgement_t judgement)
{
  static const char *const names[JUDGEMENTS_COUNT] = {
    [JUDGED_SUITABLE] = "suitable",       [JUDGED_UNLISTED] = "not-registered",
    [JUDGED_UNREPORTED] = "not-reported", [JUDGED_DRAINING] = "draining",
    [JUDGED_EVACUATED] = "evacuated",     [JUDGED_COLD] = "cold",
    [JUDGED_ORPHANS] = "unknown-runs",    [JUDGED_SILENT] = "silent",
    [JUDGED_PAUSED] = "paused",           [JUDGED_NO_ROOM] = "no-room",
    [JUDGED_AVOIDED] = "failed-there",    [JUDGED_NO_LABEL] = "no-label",
    [JUDGED_NO_TICKET] = "no-ticket",     [JUDGED_STEP_LIMIT] = "step-limit"
  };

  return names[judgement];
}

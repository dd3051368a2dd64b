#include "schedint.h"

/* Tail latency of a long-running task, in percent of its target, above which
   the filler tasks on its worker slow down and below which they speed up.
   Between the two the pace stays, because the measured values are rough.  */
#define SLOW_DOWN_TAIL_PERCENT 80
#define SPEED_UP_TAIL_PERCENT 50
/* Shortest time between two increases: workers report the tail of the last 500
   ms.  */
#define SPEED_UP_INTERVAL_US 500000
/* Increase of the pace in one step.  */
#define SPEED_UP_STEP_PERCENT 25
/* An unconfirmed pace is sent again after this time.  */
#define PACE_RETRY_US 400000

/* Highest tail latency of the long-running tasks on WORKER, in percent of the
   target; 0 if it has none.  */
static uint32_t
worst_tail_percent (const worker_t *worker)
{
  uint32_t worst = 0;

  for (uint32_t i = 0; i < worker->runs->len; i++)
    {
      const run_t *run = g_ptr_array_index (worker->runs, i);
      const job_step_t *spec = run->task->stage->spec;

      if (spec->long_running && spec->target_ms > 0
          && run->phase == RUN_ACTIVE)
        worst = MAX (worst,
                     (uint32_t)((uint64_t)run->load * 100 / spec->target_ms));
    }
  return worst;
}

static void
pace_by_worker (worker_t *worker, sched_now_t now)
{
  uint32_t tail = worst_tail_percent (worker);
  uint32_t pace = worker->filler_pace_percent;

  if (tail > 100)
    pace = 0;
  else if (tail > SLOW_DOWN_TAIL_PERCENT)
    pace /= 2;
  else if (tail < SPEED_UP_TAIL_PERCENT)
    pace = MIN (pace + SPEED_UP_STEP_PERCENT, 100);
  if (pace == worker->filler_pace_percent
      || (pace > worker->filler_pace_percent
          && now.us - worker->pace_changed_us < SPEED_UP_INTERVAL_US))
    return;
  worker->filler_pace_percent = pace;
  worker->pace_changed_us = now.us;
}

uint32_t
run_tail_percent (const run_t *run)
{
  uint32_t target_ms = run->task->stage->spec->target_ms;
  uint64_t percent = ((uint64_t)run->load * 100 + target_ms - 1) / target_ms;

  return (uint32_t)CLAMP (percent, 1, UINT32_MAX);
}

/* The long-running task on WORKER that is nearest to its target, or NULL if
   none has one.  */
static const run_t *
worst_victim (const worker_t *worker)
{
  const run_t *worst = NULL;

  for (uint32_t i = 0; i < worker->runs->len; i++)
    {
      const run_t *run = g_ptr_array_index (worker->runs, i);
      const job_step_t *spec = run->task->stage->spec;

      if (spec->long_running && spec->target_ms > 0 && run->phase == RUN_ACTIVE
          && (!worst || run_tail_percent (run) > run_tail_percent (worst)))
        worst = run;
    }
  return worst;
}

static bool
is_paced (const run_t *run)
{
  return run->task->stage->spec->filler && run->phase == RUN_ACTIVE;
}

/* The active fillers of WORKER, in the order of its runs, with their harm to
   VICTIM, which may be NULL.  */
static GArray *
collect_fillers (const worker_t *worker, const run_t *victim, int64_t now_us)
{
  GArray *fillers = g_array_new (FALSE, FALSE, sizeof (pacing_filler_t));

  for (uint32_t i = 0; i < worker->runs->len; i++)
    {
      const run_t *run = g_ptr_array_index (worker->runs, i);
      pacing_filler_t filler = { .pace_percent = run->pace_wanted_percent };
      interference_harm_t harm = { 0 };

      if (!is_paced (run))
        continue;
      if (victim)
        harm = interference_harm (worker->interference, victim->image,
                                  run->image, now_us);
      filler.harm_percent = harm.harm_percent;
      filler.confidence_percent = harm.confidence_percent;
      g_array_append_val (fillers, filler);
    }
  return fillers;
}

/* Sets the paces of FILLERS, which are in the order of WORKER's runs.  Returns
   the run that was slowed down most and its row, or NULL.  */
static const run_t *
set_paces (const worker_t *worker, const GArray *fillers,
           const pacing_filler_t **row)
{
  const run_t *slowest = NULL;
  uint32_t most = 0;
  uint32_t next = 0;

  for (uint32_t i = 0; i < worker->runs->len; i++)
    {
      run_t *run = g_ptr_array_index (worker->runs, i);
      const pacing_filler_t *filler;
      uint32_t before = run->pace_wanted_percent;

      if (!is_paced (run))
        continue;
      filler = &g_array_index (fillers, pacing_filler_t, next++);
      run->pace_wanted_percent = filler->pace_percent;
      if (filler->pace_percent >= before
          || before - filler->pace_percent <= most)
        continue;
      most = before - filler->pace_percent;
      slowest = run;
      *row = filler;
    }
  return slowest;
}

/* Logs the first decrease and the first stop of an episode, and its end, so
   that an episode has three lines at most.  */
static void
log_step (const worker_t *worker, pacing_step_t step,
          const pacing_state_t *before, const run_t *slowest,
          const pacing_filler_t *row, int64_t now_us)
{
  const char *image
      = slowest ? interference_name (worker->interference, slowest->image)
                : "-";

  switch (step)
    {
    case PACING_SLOW:
      counter_add (COUNT_FILLERS_SLOWED, 1);
      if (before->slowed_since_us == 0 && row)
        event_log (EV_FILLERS_SLOWED,
                   "worker=%s tail_percent=%u image=%s harm_percent=%u "
                   "confidence_percent=%u pace_percent=%u",
                   worker->id, worker->tail_percent, image, row->harm_percent,
                   row->confidence_percent, row->pace_percent);
      return;
    case PACING_STOP:
      counter_add (COUNT_FILLERS_STOPPED, 1);
      if (worker->pacing.stops == 1)
        event_log (EV_FILLERS_STOPPED,
                   "worker=%s tail_percent=%u image=%s over_ms=%" PRId64,
                   worker->id, worker->tail_percent, image,
                   before->over_since_us == 0
                       ? 0
                       : (now_us - before->over_since_us) / 1000);
      return;
    case PACING_RELEASE:
      event_log (EV_FILLERS_RELEASED,
                 "worker=%s tail_percent=%u slowed_ms=%" PRId64, worker->id,
                 worker->tail_percent,
                 (now_us - before->slowed_since_us) / 1000);
      return;
    case PACING_KEEP:
    case PACING_RAISE:
      return;
    }
}

static void
pace_by_task (worker_t *worker, sched_now_t now)
{
  const run_t *victim = worst_victim (worker);
  g_autoptr (GArray) fillers = collect_fillers (worker, victim, now.us);
  pacing_state_t before = worker->pacing;
  const pacing_filler_t *row = NULL;
  const run_t *slowest;
  pacing_step_t step;

  worker->tail_percent = victim ? run_tail_percent (victim) : 0;
  step = pacing_decide (&worker->pacing, worker->tail_percent,
                        (pacing_filler_t *)(void *)fillers->data, fillers->len,
                        now.us);
  slowest = set_paces (worker, fillers, &row);
  log_step (worker, step, &before, slowest, row, now.us);
}

void
pace_update (sched_t *sched, worker_t *worker, sched_now_t now)
{
  if (sched->interference)
    pace_by_task (worker, now);
  else
    pace_by_worker (worker, now);
}

void
pace_confirm (run_t *run, uint32_t percent, int64_t now_us)
{
  run->pace_before_percent = run->pace_percent;
  run->pace_percent = percent;
  run->pace_confirmed_us = now_us;
  run->pace_in_doubt = false;
}

static uint32_t
wanted_percent (const run_t *run)
{
  return run->worker->interference ? run->pace_wanted_percent
                                   : run->worker->filler_pace_percent;
}

bool
run_pace_is_unknown (const run_t *run)
{
  return run->task->stage->spec->filler
         && (run->pace_in_doubt
             || (run->adopted && run->pace_confirmed_us == 0));
}

/* Whether RUN's worker has its pace.  Unless interference is avoided, an
   unknown pace counts as 100.  */
static bool
has_wanted_pace (const run_t *run)
{
  return run->pace_percent == wanted_percent (run)
         && !(run->worker->interference && run_pace_is_unknown (run));
}

void
pace_plan_orders (sched_t *sched, worker_t *worker, sched_now_t now)
{
  for (uint32_t i = 0; i < worker->runs->len; i++)
    {
      run_t *run = g_ptr_array_index (worker->runs, i);

      if (!is_paced (run) || has_wanted_pace (run))
        continue;
      worker_wake_at (sched, worker, run->pace_sent_us + PACE_RETRY_US);
      if (now.us - run->pace_sent_us < PACE_RETRY_US)
        continue;
      run->pace_sent_us = now.us;
      run->pace_in_doubt = true;
      sched_add_order (sched, worker,
                       (order_t){ .kind = ORDER_PACE,
                                  .task = task_ref (run->task),
                                  .attempt = run->attempt,
                                  .percent = wanted_percent (run) });
    }
}

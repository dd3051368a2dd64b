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

void
pace_update (worker_t *worker, sched_now_t now)
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

void
pace_plan_orders (sched_t *sched, worker_t *worker, sched_now_t now)
{
  for (uint32_t i = 0; i < worker->runs->len; i++)
    {
      run_t *run = g_ptr_array_index (worker->runs, i);

      if (!run->task->stage->spec->filler || run->phase != RUN_ACTIVE
          || run->pace_percent == worker->filler_pace_percent)
        continue;
      worker_wake_at (sched, worker, run->pace_sent_us + PACE_RETRY_US);
      if (now.us - run->pace_sent_us < PACE_RETRY_US)
        continue;
      run->pace_sent_us = now.us;
      sched_add_order (sched, worker,
                       (order_t){ .kind = ORDER_PACE,
                                  .task = task_ref (run->task),
                                  .attempt = run->attempt,
                                  .percent = worker->filler_pace_percent });
    }
}

#include "startorder.h"

/* Time for which a task avoids the worker on which it failed last.  After
   that, starting there is better than not starting.  */
#define AVOID_US 1500000

bool
task_is_serving (const task_t *task, int64_t now_us)
{
  const run_t *run = task->run;

  return run && run->phase == RUN_ACTIVE && run->percent >= 100
         && !run->worker->unreachable && !run->worker->going_down
         && now_us - run->worker->answered_us < WORKER_SILENCE_MAX_US;
}

uint32_t
stage_unavailable (const stage_t *stage, const task_t *task, int64_t now_us)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < stage->spec->count; i++)
    {
      const task_t *other = &stage->tasks[i];

      count += other != task && !task_is_serving (other, now_us);
    }
  return count;
}

/* Tasks of RUN's step that serve on workers whose hosts may go down any time.
   Two such hosts don't wait for each other for good.  */
static uint32_t
count_in_doubt (const run_t *run, int64_t now_us)
{
  const stage_t *stage = run->task->stage;
  uint32_t count = 0;

  if (run->worker->in_doubt_us != 0
      && now_us - run->worker->in_doubt_us > DOUBT_WAIT_US)
    return 0;
  for (uint32_t i = 0; i < stage->spec->count; i++)
    {
      const task_t *other = &stage->tasks[i];

      count += other != run->task && task_is_serving (other, now_us)
               && other->run->worker->in_doubt_us != 0;
    }
  return count;
}

bool
run_may_be_interrupted (const run_t *run, int64_t now_us)
{
  const stage_t *stage = run->task->stage;

  /* A run that is being stopped may still serve: its stop may be lost.  */
  return !stage->spec->long_running || stage->spec->max_unavailable == 0
         || stage->job->ended || run->worker->state == WORKER_DRAINING
         || stage_unavailable (stage, run->task, now_us)
                    + count_in_doubt (run, now_us)
                < stage->spec->max_unavailable;
}

void
task_log_interrupted (const task_t *task, uint32_t attempt,
                      const worker_t *worker, const char *by, const char *why,
                      int64_t now_us)
{
  const stage_t *stage = task->stage;

  if (!stage->spec->long_running || stage->job->ended)
    return;
  event_log (EV_TASK_INTERRUPTED,
             "id=%s occurrence=%u step=%u index=%u attempt=%u worker=%s "
             "by=%s why=%s serving=%d unavailable=%u max=%u "
             "report_age_ms=%" PRId64,
             stage->job->desc->id, stage->occurrence, stage->step, task->index,
             attempt, worker->id, by, why, task_is_serving (task, now_us),
             stage_unavailable (stage, task, now_us),
             stage->spec->max_unavailable, worker_silent_ms (worker, now_us));
}

/* Adds a run and counts it for the limits of its worker and workspace.  */
static run_t *
add_run (sched_t *sched, task_t *task, worker_t *worker, uint32_t attempt,
         sched_now_t now)
{
  const job_step_t *spec = task->stage->spec;
  run_t *run = g_new0 (run_t, 1);

  run->task = task;
  run->worker = worker;
  run->attempt = attempt;
  run->reserved = spec->need;
  run->charged = spec->need;
  if (spec->filler)
    run->reserved.cpu_milli = 0;
  run->pace_percent = 100;
  run->pace_wanted_percent = 100;
  run->pace_before_percent = 100;
  neighbours_number_image (sched, task->stage, now.us);
  run->image = task->stage->image;
  run->planned_us = now.us;
  task->attempt = MAX (task->attempt, attempt);
  task->stage->attempt = MAX (task->stage->attempt, attempt);
  task->run_count++;
  task->stage->job->run_count++;
  amounts_add (&worker->allocated, &run->reserved);
  amounts_add (&task->stage->job->workspace->allocated, &run->charged);
  g_ptr_array_add (worker->runs, run);
  neighbours_update (worker);
  fairness_begin_run (sched, run, now.us);
  worker_wake_at (sched, worker, now.us);
  return run;
}

run_t *
run_new (sched_t *sched, task_t *task, worker_t *worker, uint32_t attempt,
         sched_now_t now)
{
  sched_job_t *job = task->stage->job;
  run_t *run;

  neighbours_count_start (worker, task->stage);
  run = add_run (sched, task, worker, attempt, now);
  fairness_count_start (run);
  run->phase = RUN_PLANNED;
  run->start_pending = true;
  run->start_rank = start_rank (task->stage, now.us);
  sched->starts_pending[run->start_rank]++;
  task->run = run;
  task->stage->unstarted--;
  if (job->started_us == 0)
    {
      job->started_us = now.us;
      histogram_add (HIST_START, now.us - job->accepted_us);
    }
  worker_await_batch (sched, worker);
  return run;
}

run_t *
run_new_extra (sched_t *sched, task_t *task, worker_t *worker,
               uint32_t attempt, sched_now_t now)
{
  run_t *run = add_run (sched, task, worker, attempt, now);

  run->phase = RUN_ACTIVE;
  run->active_us = now.us;
  run->adopted = true;
  return run;
}

void
run_clear_start_pending (sched_t *sched, run_t *run)
{
  sched->starts_pending[run->start_rank] -= run->start_pending;
  run->start_pending = false;
}

/* Counts RUN no more.  */
static void
remove_run (sched_t *sched, run_t *run, int64_t now_us)
{
  task_t *task = run->task;
  sched_job_t *job = task->stage->job;

  run_clear_start_pending (sched, run);
  amounts_subtract (&run->worker->allocated, &run->reserved);
  amounts_subtract (&job->workspace->allocated, &run->charged);
  g_ptr_array_remove_fast (run->worker->runs, run);
  neighbours_update (run->worker);
  fairness_end_run (sched, run, now_us);
  task->run_count--;
  job->run_count--;
}

void
run_unplan (sched_t *sched, run_t *run)
{
  remove_run (sched, run, run->planned_us);
  run->task->run = NULL;
  run->task->stage->unstarted++;
  g_free (run);
}

/* Records that RUN is over, unless the record of its own end says so.  */
static void
record_over (sched_t *sched, const run_t *run)
{
  run_over_t over = { .task = task_ref (run->task), .attempt = run->attempt };

  if (!run->end_recorded)
    g_array_append_val (sched->over, over);
}

void
run_close (sched_t *sched, run_t *run, const char *why, sched_now_t now)
{
  task_t *task = run->task;
  sched_job_t *job = task->stage->job;

  job->returned += !task->done;
  if (!task->done)
    counter_add (COUNT_TASKS_RETURNED, 1);
  if (!task->done && !job->ended)
    event_log (EV_TASK_RETURNED,
               "id=%s occurrence=%u step=%u index=%u attempt=%u worker=%s "
               "why=%s ran_ms=%" PRId64,
               job->desc->id, task->stage->occurrence, task->stage->step,
               task->index, run->attempt, run->worker->id, why,
               run->active_us ? (now.us - run->active_us) / 1000 : 0);

  record_over (sched, run);
  run->worker->closed_batch = sched->batch;
  remove_run (sched, run, now.us);
  worker_wake_at (sched, run->worker, now.us);
  sched->place_needed = true;
  if (task->run == run)
    {
      task->run = NULL;
      if (!task->done && !job->ended)
        task_requeue (sched, task);
    }
  g_free (run);
  job_free_if_idle (sched, job);
}

void
gang_stop (sched_t *sched, const run_t *run)
{
  const stage_t *stage = run->task->stage;

  if (!stage->spec->gang || run->task->done)
    return;
  for (uint32_t i = 0; i < stage->spec->count; i++)
    {
      run_t *other = stage->tasks[i].run;

      if (other && other->attempt == run->attempt)
        run_stop (sched, other);
    }
}

void
run_abandon (sched_t *sched, run_t *run, const char *why, sched_now_t now)
{
  gang_stop (sched, run);
  run_close (sched, run, why, now);
}

void
worker_close_runs (sched_t *sched, worker_t *worker, const char *why,
                   sched_now_t now)
{
  for (uint32_t i = worker->runs->len; i-- > 0;)
    run_close (sched, g_ptr_array_index (worker->runs, i), why, now);
}

void
task_avoid_worker (task_t *task, const worker_t *worker, sched_now_t now)
{
  task->avoid_worker = worker->interned;
  task->avoid_until_us = now.us + AVOID_US;
}

void
run_detach (sched_t *sched, run_t *run)
{
  task_t *task = run->task;

  if (task->run != run)
    return;
  task->run = NULL;
  if (!task->done && !task->stage->job->ended)
    task_requeue (sched, task);
}

run_t *
run_find (const worker_t *worker, const task_t *task, uint32_t attempt)
{
  for (uint32_t i = 0; i < worker->runs->len; i++)
    {
      run_t *run = g_ptr_array_index (worker->runs, i);

      if (run->task == task && run->attempt == attempt)
        return run;
    }
  return NULL;
}

run_t *
run_find_anywhere (const sched_t *sched, const task_t *task, uint32_t attempt)
{
  GHashTableIter iter;
  gpointer worker;
  run_t *run = NULL;

  if (task->run && task->run->attempt == attempt)
    return task->run;
  if (task->run_count == (task->run ? 1U : 0U))
    return NULL;
  g_hash_table_iter_init (&iter, sched->workers);
  while (!run && g_hash_table_iter_next (&iter, NULL, &worker))
    run = run_find (worker, task, attempt);
  return run;
}

void
run_stop (sched_t *sched, run_t *run)
{
  run->never_sent |= run->phase == RUN_PLANNED;
  run->phase = RUN_STOPPING;
  run->stopped_in_doubt = false;
  worker_wake_at (sched, run->worker, 0);
}

void
job_stop_runs (sched_t *sched, const sched_job_t *job, const task_t *task)
{
  uint32_t left = task ? task->run_count : job->run_count;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, sched->workers);
  while (left > 0 && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const worker_t *worker = value;

      for (uint32_t i = 0; i < worker->runs->len; i++)
        {
          run_t *run = g_ptr_array_index (worker->runs, i);

          if (run->task->stage->job != job || (task && run->task != task))
            continue;
          run_stop (sched, run);
          left--;
        }
    }
}

bool
run_is_listed (const run_t *run, const worker_report_t *report)
{
  task_ref_t ref = task_ref (run->task);

  for (uint32_t i = 0; i < report->runs_count; i++)
    if (task_ref_equal (&report->runs[i].task, &ref)
        && report->runs[i].attempt == run->attempt)
      return true;
  return false;
}

#include "schedint.h"

/* The worker ID of an earlier owner, which may not be registered any more.  */
static worker_t *
recorded_worker (sched_t *sched, const task_t *task, const char *id,
                 sched_now_t now)
{
  worker_t *worker = g_hash_table_lookup (sched->workers, id);

  return worker ? worker : worker_add (sched, id, task->stage->job->pool, now);
}

/* Expects ATTEMPT of TASK, its present run, on worker ID.  */
static void
expect_run (sched_t *sched, task_t *task, uint32_t attempt, const char *id,
            sched_now_t now)
{
  worker_t *worker = recorded_worker (sched, task, id, now);
  run_t *run = run_new (sched, task, worker, attempt, now);

  run_clear_start_pending (sched, run);
  run->phase = RUN_ACTIVE;
  run->active_us = now.us;
  run->adopted = true;
  run->start_in_doubt = true;
}

/* The same for a run that is not the present one of TASK.  If TASK needs no
   run, it is stopped once its worker lists it.  One of a task that is done and
   may not run as copies is stopped also if it is not listed.  There are few of
   these; most copies, and runs of cancelled jobs, have ended long ago.  */
static void
expect_extra_run (sched_t *sched, task_t *task, uint32_t attempt,
                  const char *id, sched_now_t now)
{
  worker_t *worker = recorded_worker (sched, task, id, now);
  run_t *run = run_new_extra (sched, task, worker, attempt, now);

  run->stop_when_listed = true;
  run->start_in_doubt = task->done && !task->stage->spec->speculative;
  if (task->done || task->stage->job->ended)
    run_stop (sched, run);
}

void
inherit_stop_unlisted (sched_t *sched, run_t *run, sched_now_t now)
{
  task_log_interrupted (run->task, run->attempt, run->worker, "stop",
                        "not-listed", now.us);
  run->start_in_doubt = false;
  run->stop_when_listed = false;
  run->active_us = 0; /* it doesn't serve, so nothing delays its stop */
  run_stop (sched, run);
  gang_stop (sched, run);
  if (run->task->stage->spec->speculative)
    run_detach (sched, run);
  /* The other runs of a gang are stopped too, and a detached run is replaced,
     so these can't go on.  */
  run->stopped_in_doubt
      = run->task->run == run && !run->task->stage->spec->gang;
}

void
inherit_process_listed (run_t *run)
{
  run->stop_when_listed = false;
  run->start_in_doubt = false;
  if (!run->stopped_in_doubt || run->stop_sent_us != 0 || run->stop_dispatched)
    return;
  run->stopped_in_doubt = false;
  run->phase = RUN_ACTIVE;
}

/* A run that has been listed since, or that is being stopped as it wasn't, is
   left to the reports of its worker.  */
void
sched_end_runs (sched_t *sched, const GArray *over, sched_now_t now)
{
  for (uint32_t i = 0; i < over->len; i++)
    {
      const run_over_t *row = &g_array_index (over, run_over_t, i);
      const task_t *task = sched_task (sched, &row->task);
      run_t *run = task ? run_find_anywhere (sched, task, row->attempt) : NULL;

      if (run && (run->start_in_doubt || run->stop_when_listed))
        run_close (sched, run, "recorded-late", now);
    }
}

void
inherit_runs (sched_t *sched, task_t *task, const task_progress_t *progress,
              sched_now_t now)
{
  bool needs_no_run = task->done || task->stage->job->ended;

  if (progress->worker && needs_no_run)
    expect_extra_run (sched, task, progress->placed, progress->worker, now);
  else if (progress->worker)
    expect_run (sched, task, progress->placed, progress->worker, now);
  if (progress->earlier_worker)
    expect_extra_run (sched, task, progress->earlier, progress->earlier_worker,
                      now);
}

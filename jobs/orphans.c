#include "schedint.h"

static const char *
reason_name (const task_t *task)
{
  if (!task)
    return "no-job";
  if (task->stage->job->ended)
    return "job-ended";
  return task->done ? "task-done" : "other-run";
}

static void
log_unexpected (const task_t *task, const worker_t *worker,
                const run_status_t *status)
{
  const run_t *present = task ? task->run : NULL;

  event_log (EV_RUN_UNEXPECTED,
             "id=%s occurrence=%u step=%u index=%u attempt=%u worker=%s "
             "why=%s present=%u present_worker=%s",
             status->task.id, status->task.occurrence, status->task.step,
             status->task.index, status->attempt, worker->id,
             reason_name (task), present ? present->attempt : 0,
             present ? present->worker->id : "");
}

static orphan_t *
find_orphan (const worker_t *worker, const task_ref_t *task, uint32_t attempt)
{
  for (uint32_t i = 0; i < worker->orphans->len; i++)
    {
      orphan_t *orphan = &g_array_index (worker->orphans, orphan_t, i);

      if (orphan->attempt == attempt && task_ref_equal (&orphan->task, task))
        return orphan;
    }
  return NULL;
}

/* Stops the run of an unknown job that WORKER lists.  */
static void
stop_orphan (sched_t *sched, worker_t *worker, const run_status_t *status)
{
  orphan_t added = { .task = status->task, .attempt = status->attempt };
  orphan_t *orphan = find_orphan (worker, &status->task, status->attempt);

  if (orphan)
    orphan->unlisted_us = 0;
  else
    {
      log_unexpected (NULL, worker, status);
      g_array_append_val (worker->orphans, added);
    }
  sched_add_order (sched, worker,
                   (order_t){ .kind = ORDER_STOP,
                              .task = status->task,
                              .attempt = status->attempt });
}

run_t *
orphans_adopt (sched_t *sched, worker_t *worker, const run_status_t *status,
               sched_now_t now)
{
  task_t *task = sched_task (sched, &status->task);
  bool is_over;
  run_t *run;

  if (!task)
    {
      stop_orphan (sched, worker, status);
      return NULL;
    }
  is_over = task->done || task->stage->job->ended;
  if (!is_over && !task->run)
    {
      run = run_new (sched, task, worker, status->attempt, now);
      run->adopted = true;
      return run;
    }
  log_unexpected (task, worker, status);
  run = run_new_extra (sched, task, worker, status->attempt, now);
  if (is_over || !task->stage->spec->speculative)
    {
      task_log_interrupted (task, status->attempt, worker, "stop",
                            "unexpected-run", now.us);
      run_stop (sched, run);
    }
  return run;
}

static bool
report_lists_run (const worker_report_t *report, const orphan_t *orphan)
{
  for (uint32_t i = 0; i < report->runs_count; i++)
    if (report->runs[i].attempt == orphan->attempt
        && task_ref_equal (&report->runs[i].task, &orphan->task))
      return true;
  return false;
}

static bool
report_lists_end (const worker_report_t *report, const orphan_t *orphan)
{
  for (uint32_t i = 0; i < report->ends_count; i++)
    if (report->ends[i].attempt == orphan->attempt
        && task_ref_equal (&report->ends[i].task, &orphan->task))
      return true;
  return false;
}

/* Whether ORPHAN has ended.  One that is being stopped is in neither list for
   the duration of the stop.  */
static bool
has_ended (const sched_t *sched, orphan_t *orphan,
           const worker_report_t *report, int64_t sent_us, int64_t now_us)
{
  if (sched_task (sched, &orphan->task))
    return true; /* its occurrence is due now; the run counts as the task's */
  if (report_lists_run (report, orphan))
    return false;
  if (report_lists_end (report, orphan))
    return true;
  if (orphan->unlisted_us == 0)
    orphan->unlisted_us = now_us;
  return sent_us - orphan->unlisted_us >= stop_duration_max_us (sched);
}

void
orphans_process_report (sched_t *sched, worker_t *worker,
                        const worker_report_t *report, int64_t sent_us,
                        sched_now_t now)
{
  for (uint32_t i = worker->orphans->len; i-- > 0;)
    if (has_ended (sched, &g_array_index (worker->orphans, orphan_t, i),
                   report, sent_us, now.us))
      {
        g_array_remove_index_fast (worker->orphans, i);
        sched->place_needed = true;
      }
}

void
orphans_check_leases (sched_t *sched, worker_t *worker, sched_now_t now)
{
  int64_t end_us;

  if (worker->orphans->len == 0)
    return;
  end_us = worker_lease_end_us (sched, worker);
  if (end_us < MIN (now.us, sched->confirmed_us))
    orphans_clear (sched, worker);
  else
    worker_wake_at (sched, worker, MAX (end_us, now.us) + LEASE_RECHECK_US);
}

void
orphans_clear (sched_t *sched, worker_t *worker)
{
  sched->place_needed |= worker->orphans->len > 0;
  g_array_set_size (worker->orphans, 0);
}

int64_t
orphans_due_us (const sched_t *sched, const worker_t *worker)
{
  int64_t due_us = INT64_MAX;

  for (uint32_t i = 0; i < worker->orphans->len; i++)
    {
      const orphan_t *orphan = &g_array_index (worker->orphans, orphan_t, i);

      if (orphan->unlisted_us != 0)
        due_us
            = MIN (due_us, orphan->unlisted_us + stop_duration_max_us (sched));
    }
  return due_us;
}

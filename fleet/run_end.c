#include "placement_internal.h"

static void
remove_worker_failure (worker_t *worker, uint64_t job_number)
{
  for (uint32_t i = 0; i < worker->failures_count; i++)
    if (worker->failures[i].job_number == job_number)
      {
        worker->failures[i] = worker->failures[--worker->failures_count];
        return;
      }
}

static void
forget_job_failure (job_t *job, const worker_t *worker)
{
  for (uint32_t i = 0; i < job->failed_on_count; i++)
    if (job->failed_on[i] == worker)
      {
        job->failed_on[i] = job->failed_on[--job->failed_on_count];
        job->failed_runs--;
        return;
      }
}

/* Excludes WORKER as faulty.  The failures on it no longer count against the
   jobs, and jobs that were held because of them are queued again.  */
static void
exclude_worker (placement_t *placement, worker_t *worker)
{
  GHashTableIter iter;
  gpointer value;

  worker->excluded = true;
  placement->excluded_count++;
  if (worker->reserved_for)
    job_release_worker (placement, worker->reserved_for);
  placement->workers_changed = true;
  g_hash_table_iter_init (&iter, placement->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      job_t *job = value;

      forget_job_failure (job, worker);
      if (job->phase != JOB_HELD
          || job->failed_on_count == PLACEMENT_FAILED_WORKERS_MAX
          || job->failed_runs >= PLACEMENT_FAILED_RUNS_MAX)
        continue;
      g_clear_pointer (&job->reason, g_free);
      job_enqueue (job, false);
    }
}

/* Counts only failures of different kinds of jobs: a batch of jobs that are
   broken in the same way would otherwise exclude one worker after the other.
 */
static void
record_worker_failure (placement_t *placement, worker_t *worker,
                       const job_t *job)
{
  uint32_t allowed
      = MAX (placement->worker_list->len / PLACEMENT_EXCLUDED_DIVISOR, 1);

  for (uint32_t i = 0; i < worker->failures_count; i++)
    if (worker->failures[i].kind_hash == job->kind_hash)
      return;
  if (worker->excluded || worker->failures_count == PLACEMENT_EXCLUDE_KINDS)
    return;
  worker->failures[worker->failures_count++]
      = (worker_failure_t){ job->number, job->kind_hash };
  if (worker->failures_count < PLACEMENT_EXCLUDE_KINDS)
    return;
  if (placement->excluded_count < allowed)
    exclude_worker (placement, worker);
  else
    worker->failures_count = 0;
}

/* Holds JOB as faulty.  Its failures no longer count against the workers.  */
static void
hold_failing_job (job_t *job)
{
  job->phase = JOB_HELD;
  job->reason = g_strdup_printf ("failed %u times on %u workers",
                                 job->failed_runs, job->failed_on_count);
  for (uint32_t i = 0; i < job->failed_on_count; i++)
    if (!job->failed_on[i]->excluded)
      remove_worker_failure (job->failed_on[i], job->number);
}

static void
handle_failed_run (placement_t *placement, job_t *job, worker_t *worker)
{
  bool known = false;

  job->failed_runs++;
  for (uint32_t i = 0; i < job->failed_on_count; i++)
    known = known || job->failed_on[i] == worker;
  if (!known)
    job->failed_on[job->failed_on_count++] = worker;
  record_worker_failure (placement, worker, job);
  if (job->failed_on_count == PLACEMENT_FAILED_WORKERS_MAX
      || job->failed_runs >= PLACEMENT_FAILED_RUNS_MAX)
    {
      hold_failing_job (job);
      return;
    }
  /* It may have failed because it was allocated less than it declared.  */
  if (capacity_index_find (&placement->capacity_index, &job->declared, NULL, 0)
      != CAPACITY_INDEX_NONE)
    job->need = job->declared;
  job_enqueue (job, true);
}

bool
placement_end_run (placement_t *placement, const char *id, uint64_t run,
                   job_end_t end)
{
  job_t *job = find_job_by_run (placement, id, run);
  worker_t *worker;

  if (!job)
    return false;
  workers_rebuild_index (placement);
  worker = job->run->worker;
  run_free (placement, job->run);
  if (job->cancelled)
    {
      job_free (placement, job);
      return true;
    }
  switch (end)
    {
    case JOB_END_DONE:
      worker->failures_count = 0;
      if (job->peak.cpu_milli > 0 || job->peak.mem_mib > 0)
        usage_history_add (placement->usage, job->kind, &job->peak);
      job_free (placement, job);
      return true;
    case JOB_END_FAILED:
      handle_failed_run (placement, job, worker);
      return true;
    case JOB_END_CHECKPOINTED:
    case JOB_END_STOPPED:
      job_enqueue (job, true);
      return true;
    }
  return false;
}

#include "jobs.h"

static void
unmark_worker (worker_t *worker, uint64_t job_number)
{
  for (uint32_t i = 0; i < worker->marks_count; i++)
    if (worker->marks[i].job_number == job_number)
      {
        worker->marks[i] = worker->marks[--worker->marks_count];
        return;
      }
}

static void
forget_failure (job_t *job, const worker_t *worker)
{
  for (uint32_t i = 0; i < job->failed_on_count; i++)
    if (job->failed_on[i] == worker)
      {
        job->failed_on[i] = job->failed_on[--job->failed_on_count];
        job->failed_runs--;
        return;
      }
}

/* The failures on WORKER are its own fault, not that of the jobs.  A job that
   was held because of them gets another chance.  */
static void
take_out (placement_t *place, worker_t *worker)
{
  GHashTableIter iter;
  gpointer value;

  worker->bad = true;
  place->bad_count++;
  if (worker->held_for)
    job_unhold (place, worker->held_for);
  place->workers_changed = true;
  g_hash_table_iter_init (&iter, place->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      job_t *job = value;

      forget_failure (job, worker);
      if (job->phase != JOB_HELD || job->failed_on_count == PLACE_FAIL_WORKERS
          || job->failed_runs >= PLACE_FAIL_RUNS)
        continue;
      g_clear_pointer (&job->reason, g_free);
      job_enqueue (job, false);
    }
}

/* Only failures of different kinds of jobs count: a batch of jobs that are
   all broken in the same way would take out one worker after the other.  */
static void
mark_worker (placement_t *place, worker_t *worker, const job_t *job)
{
  uint32_t allowed = MAX (place->worker_list->len / PLACE_BAD_PART, 1);

  for (uint32_t i = 0; i < worker->marks_count; i++)
    if (worker->marks[i].kind_hash == job->kind_hash)
      return;
  if (worker->bad || worker->marks_count == PLACE_BAD_KINDS)
    return;
  worker->marks[worker->marks_count++]
      = (fail_mark_t){ job->number, job->kind_hash };
  if (worker->marks_count < PLACE_BAD_KINDS)
    return;
  if (place->bad_count < allowed)
    take_out (place, worker);
  else
    worker->marks_count = 0;
}

/* The failures of JOB are its own fault, not that of the workers.  */
static void
hold_as_failing (job_t *job)
{
  job->phase = JOB_HELD;
  job->reason = g_strdup_printf ("failed %u times on %u workers",
                                 job->failed_runs, job->failed_on_count);
  for (uint32_t i = 0; i < job->failed_on_count; i++)
    if (!job->failed_on[i]->bad)
      unmark_worker (job->failed_on[i], job->number);
}

static void
note_failure (placement_t *place, job_t *job, worker_t *worker)
{
  bool known = false;

  job->failed_runs++;
  for (uint32_t i = 0; i < job->failed_on_count; i++)
    known = known || job->failed_on[i] == worker;
  if (!known)
    job->failed_on[job->failed_on_count++] = worker;
  mark_worker (place, worker, job);
  if (job->failed_on_count == PLACE_FAIL_WORKERS
      || job->failed_runs >= PLACE_FAIL_RUNS)
    {
      hold_as_failing (job);
      return;
    }
  /* It may have failed for want of what it declared.  */
  if (capacity_index_find (&place->capacity, &job->declared, NULL, 0)
      != CAPACITY_INDEX_NONE)
    job->need = job->declared;
  job_enqueue (job, true);
}

bool
placement_end_run (placement_t *place, const char *id, uint64_t run,
                   job_end_t how)
{
  job_t *job = find_run (place, id, run);
  worker_t *worker;

  if (!job)
    return false;
  workers_sort (place);
  worker = job->run->worker;
  run_free (place, job->run);
  if (job->cancelled)
    {
      job_free (place, job);
      return true;
    }
  switch (how)
    {
    case JOB_END_DONE:
      worker->marks_count = 0;
      if (job->peak.cpu_milli > 0 || job->peak.mem_mib > 0)
        learn_note (place->learn, job->kind, &job->peak);
      job_free (place, job);
      return true;
    case JOB_END_FAILED:
      note_failure (place, job, worker);
      return true;
    case JOB_END_CHECKPOINTED:
    case JOB_END_STOPPED:
      job_enqueue (job, true);
      return true;
    }
  return false;
}

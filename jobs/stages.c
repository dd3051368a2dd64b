#include "schedint.h"
#include <string.h>

/* Burst size of a workspace's allowance, in seconds of its share.  Demand
   comes in bursts of a few seconds.  */
#define SHARE_BURST_S 2.0

/* Jobs accepted longer ago do not count as new demand: they say nothing about
   the jobs to come.  */
#define ARRIVAL_AGE_MAX_US 1000000

void
job_update_settings (sched_t *sched, sched_job_t *job)
{
  const rules_queue_t *queue = rules_queue (sched->rules, job->desc->queue);

  if (queue)
    job->settings = queue->settings;
  job->pool = sched_pool (sched, job->settings.service);
}

task_ref_t
task_ref (const task_t *task)
{
  const stage_t *stage = task->stage;
  task_ref_t ref = { .occurrence = stage->occurrence,
                     .step = stage->step,
                     .index = task->index };

  memcpy (ref.id, stage->job->desc->id, sizeof ref.id);
  return ref;
}

task_t *
sched_task (const sched_t *sched, const task_ref_t *ref)
{
  sched_job_t *job = g_hash_table_lookup (sched->jobs, ref->id);
  stage_t *stage;

  if (!job || job_task_number (job->desc, ref) == UINT32_MAX
      || !job->occurrences[ref->occurrence].stages)
    return NULL;
  stage = &job->occurrences[ref->occurrence].stages[ref->step];
  return &stage->tasks[ref->index];
}

void
stage_enqueue (sched_t *sched, stage_t *stage)
{
  if (stage->queued || stage->steps_pending > 0 || stage->unstarted == 0
      || stage->job->ended)
    return;
  stage->queued = true;
  g_ptr_array_add (stage->job->pool->stages, stage);
  sched->place_needed = true;
}

void
task_requeue (sched_t *sched, task_t *task)
{
  stage_t *stage = task->stage;

  stage->unstarted++;
  stage_enqueue (sched, stage);
}

uint32_t
task_next_attempt (const task_t *task)
{
  uint32_t last = MAX (task->attempt, task->failures.highest);

  if (task->stage->spec->gang)
    last = MAX (last, task->stage->attempt);
  return last + 1;
}

/* Logs the figures that determine how long JOB took.  */
static void
log_job_final (const sched_job_t *job, job_state_t state, sched_now_t now)
{
  int64_t took_us = now.us - job->accepted_us;
  int64_t objective_ms = job_objective_us (job) / 1000;

  event_log (
      EV_JOB_FINAL,
      "id=%s state=%s queue=%s workspace=%s tasks=%u chain_ms=%" PRId64
      " objective_ms=%" PRId64 " took_ms=%" PRId64 " first_start_ms=%" PRId64
      " returned=%u",
      job->desc->id, state == JOB_STATE_COMPLETE ? "complete" : "failed",
      job->desc->queue, job->desc->workspace, job_tasks (job->desc),
      job->chain_ms, objective_ms, took_us / 1000,
      job->started_us ? (job->started_us - job->accepted_us) / 1000 : -1,
      job->returned);
  counter_add (state == JOB_STATE_COMPLETE ? COUNT_JOBS_COMPLETE
                                           : COUNT_JOBS_FAILED,
               1);
  histogram_add (HIST_FINISH, took_us);
}

static void
add_change (sched_t *sched, const sched_job_t *job, job_state_t state)
{
  job_change_t change = { .state = state };

  memcpy (change.id, job->desc->id, sizeof change.id);
  g_array_append_val (sched->changes, change);
}

void
job_mark_running (sched_t *sched, sched_job_t *job)
{
  if (job->begun)
    return;
  job->begun = true;
  add_change (sched, job, JOB_STATE_RUNNING);
}

static void
unlist_job (sched_t *sched, const sched_job_t *job)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, sched->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      pool_t *pool = value;

      for (uint32_t i = pool->stages->len; i-- > 0;)
        {
          stage_t *stage = g_ptr_array_index (pool->stages, i);

          if (stage->job != job)
            continue;
          stage->queued = false;
          g_ptr_array_remove_index_fast (pool->stages, i);
        }
    }
}

void
job_end (sched_t *sched, sched_job_t *job)
{
  if (job->ended)
    return;
  job->ended = true;
  unlist_job (sched, job);
  g_ptr_array_remove_fast (sched->recurring_jobs, job);
  job_stop_runs (sched, job, NULL);
  sched->place_needed = true;
}

void
job_free_if_idle (sched_t *sched, sched_job_t *job)
{
  if (job->ended && job->run_count == 0)
    g_hash_table_remove (sched->jobs, job->desc->id);
}

static void
complete_stage (sched_t *sched, sched_job_t *job, const stage_t *stage)
{
  stage_t *stages = job->occurrences[stage->occurrence].stages;

  for (uint32_t i = stage->step + 1; i < job->desc->steps_count; i++)
    for (uint32_t a = 0; a < stages[i].spec->after_count; a++)
      if (stages[i].spec->after[a] == stage->step
          && --stages[i].steps_pending == 0)
        stage_enqueue (sched, &stages[i]);
}

static void
complete_task (sched_t *sched, task_t *task, sched_now_t now)
{
  stage_t *stage = task->stage;
  sched_job_t *job = stage->job;
  occurrence_t *occurrence = &job->occurrences[stage->occurrence];

  task->done = true;
  if (!task->run)
    stage->unstarted--;
  if (--stage->unfinished == 0)
    complete_stage (sched, job, stage);
  if (--occurrence->unfinished > 0 || --job->unfinished > 0)
    return;
  add_change (sched, job, JOB_STATE_COMPLETE);
  log_job_final (job, JOB_STATE_COMPLETE, now);
  job_end (sched, job);
}

static void
add_end (sched_t *sched, const task_t *task, uint32_t attempt, bool done)
{
  task_end_t end
      = { .task = task_ref (task), .attempt = attempt, .done = done };

  g_array_append_val (sched->ends, end);
}

/* When one task of a gang is done, all of them are.  */
static void
complete_gang (sched_t *sched, stage_t *stage, uint32_t attempt,
               sched_now_t now)
{
  for (uint32_t i = 0; i < stage->spec->count; i++)
    {
      task_t *task = &stage->tasks[i];

      if (task->done)
        continue;
      add_end (sched, task, attempt, true);
      complete_task (sched, task, now);
    }
}

bool
task_record_end (sched_t *sched, task_t *task, uint32_t attempt, bool done,
                 sched_now_t now)
{
  stage_t *stage = task->stage;
  sched_job_t *job = stage->job;

  if (job->ended || task->done)
    return false;
  if (done && !stage->spec->long_running)
    {
      if (stage->spec->gang)
        {
          complete_gang (sched, stage, attempt, now);
          return true;
        }
      add_end (sched, task, attempt, true);
      complete_task (sched, task, now);
      return true;
    }
  if (stage->spec->long_running || !failures_add (&task->failures, attempt))
    return false;
  add_end (sched, task, attempt, false);
  if (stage->spec->gang)
    failures_add (&stage->gang_failures, attempt);
  if ((stage->spec->gang ? stage->gang_failures.count : task->failures.count)
      < MAX (job->settings.max_attempts, 1))
    return true;
  add_change (sched, job, JOB_STATE_FAILED);
  log_job_final (job, JOB_STATE_FAILED, now);
  job_end (sched, job);
  return true;
}

/* Sets the tasks of step STEP as recorded; the marks of that step begin at
   FIRST_MARK.  */
static void
init_stage (sched_t *sched, sched_job_t *job, uint32_t k, uint32_t step,
            uint32_t first_mark, sched_now_t now)
{
  stage_t *stage = &job->occurrences[k].stages[step];
  const job_entry_t *entry = job->entry;

  neighbours_number_image (sched, stage, now.us);
  if (entry && entry->values)
    checkpoint_inherit (
        stage,
        g_hash_table_lookup (entry->values, GUINT_TO_POINTER (first_mark)));
  for (uint32_t i = 0; i < stage->spec->count; i++)
    {
      task_t *task = &stage->tasks[i];
      const task_progress_t *mark
          = entry && entry->tasks ? &entry->tasks[first_mark + i] : NULL;

      if (!mark)
        continue;
      task->failures = mark->failures;
      for (uint32_t f = 0; f < MIN (mark->failures.count, FAILURES_KEPT); f++)
        failures_add (&stage->gang_failures, mark->failures.attempts[f]);
      task->attempt = mark->placed;
      if (mark->done)
        {
          task->done = true;
          stage->unfinished--;
          stage->unstarted--;
        }
      inherit_runs (sched, task, mark, now);
    }
}

static void
init_occurrence (sched_t *sched, sched_job_t *job, uint32_t k, sched_now_t now)
{
  occurrence_t *occurrence = &job->occurrences[k];
  uint32_t steps = job->desc->steps_count;
  uint32_t mark = k * job_tasks_per_occurrence (job->desc);

  job_build_stages (job, k);
  for (uint32_t i = 0; i < steps; i++)
    {
      init_stage (sched, job, k, i, mark, now);
      mark += job->desc->steps[i].count;
      occurrence->unfinished += occurrence->stages[i].unfinished;
    }
  for (uint32_t i = 0; i < steps; i++)
    if (occurrence->stages[i].unfinished == 0)
      complete_stage (sched, job, &occurrence->stages[i]);
  for (uint32_t i = 0; i < steps; i++)
    stage_enqueue (sched, &occurrence->stages[i]);
  if (occurrence->unfinished == 0)
    job->unfinished--;
}

int64_t
job_due_ms (const job_desc_t *desc, uint32_t k)
{
  return desc->start_ms + (int64_t)k * desc->interval_ms;
}

/* The number of ENTRY's occurrences up to the last one with progress.  */
static uint32_t
begun_occurrences (const job_entry_t *entry)
{
  uint32_t count = entry->tasks_count;

  while (count > 0 && entry->tasks[count - 1].placed == 0
         && !entry->tasks[count - 1].done)
    count--;
  return (count + job_tasks_per_occurrence (entry->desc) - 1)
         / job_tasks_per_occurrence (entry->desc);
}

void
job_open_due_occurrences (sched_t *sched, sched_job_t *job, sched_now_t now)
{
  uint32_t count = job_occurrences (job->desc);
  /* The clock of an earlier owner may have been ahead.  Progress is known only
     while the job is added.  */
  uint32_t begun = job->entry ? begun_occurrences (job->entry) : 0;

  while (job->next_occurrence < count
         && (job->desc->repeats == 0 || job->next_occurrence < begun
             || job_due_ms (job->desc, job->next_occurrence) <= now.wall_ms))
    init_occurrence (sched, job, job->next_occurrence++, now);
  if (job->next_occurrence < count)
    sched_wake_at (sched, now.us
                              + (job_due_ms (job->desc, job->next_occurrence)
                                 - now.wall_ms)
                                    * 1000);
}

/* Charges the job DESC to the allowance of WORKSPACE, which grows by the
   rule's weight in jobs a second.  True if the allowance is used up.  */
static bool
charge_share (workspace_t *workspace, const job_desc_t *desc)
{
  double weight = workspace->rule.weight;
  int64_t passed_ms = desc->accepted_ms - workspace->allowance_ms;

  if (weight <= 0 || desc->repeats > 0)
    return false;
  if (workspace->allowance_ms == 0)
    workspace->allowance = weight * SHARE_BURST_S;
  if (passed_ms > 0)
    {
      workspace->allowance
          = MIN (workspace->allowance + weight * (double)passed_ms / 1000,
                 weight * SHARE_BURST_S);
      workspace->allowance_ms = desc->accepted_ms;
    }
  if (workspace->allowance < 1)
    return true;
  workspace->allowance--;
  return false;
}

bool
job_exceeds_share (const workspace_t *workspace, const job_desc_t *desc,
                   uint32_t pending)
{
  workspace_t after = *workspace;

  after.allowance -= pending;
  return charge_share (&after, desc);
}

/* Adds the job of ENTRY without its tasks.  */
static sched_job_t *
add_job (sched_t *sched, const job_entry_t *entry, sched_now_t now)
{
  workspace_t *workspace = sched_workspace (sched, entry->desc->workspace);
  sched_job_t *job = job_build (entry->desc, workspace, now);

  if (!rules_workspace (sched->rules, job->desc->workspace)
      && job->desc->limits.name)
    job->workspace->rule = job->desc->limits; /* it was removed */
  job_update_settings (sched, job);
  job->begun = entry->state != JOB_STATE_QUEUED;
  job->entry = entry;
  g_hash_table_insert (sched->jobs, job->desc->id, job);
  return job;
}

static bool
occurrence_may_have_runs (const job_entry_t *entry, uint32_t k)
{
  uint32_t count = job_tasks_per_occurrence (entry->desc);

  for (uint32_t i = k * count; i < (k + 1) * count; i++)
    if (task_may_run (&entry->tasks[i]))
      return true;
  return false;
}

/* Adds the job of ENTRY, which is final, with the runs that may go on.  */
static void
add_ended_job (sched_t *sched, const job_entry_t *entry, sched_now_t now)
{
  sched_job_t *job = add_job (sched, entry, now);

  job->ended = true;
  for (uint32_t k = 0; k < job_occurrences (job->desc); k++)
    if (occurrence_may_have_runs (entry, k))
      init_occurrence (sched, job, k, now);
  job->entry = NULL;
  job_free_if_idle (sched, job);
}

void
sched_add_job (sched_t *sched, const job_entry_t *entry, sched_now_t now)
{
  uint32_t count = job_occurrences (entry->desc);
  sched_job_t *job;

  admit_note_added (sched, entry->desc->id);
  if (!entry->tasks || g_hash_table_contains (sched->jobs, entry->desc->id))
    return;
  if (job_state_is_final (entry->state))
    {
      add_ended_job (sched, entry, now);
      return;
    }
  job = add_job (sched, entry, now);
  job->over_share = charge_share (job->workspace, job->desc);
  job_open_due_occurrences (sched, job, now);
  job->entry = NULL;
  if (now.us - job->accepted_us < ARRIVAL_AGE_MAX_US)
    demand_add_job (job);
  if (job->next_occurrence < count)
    g_ptr_array_add (sched->recurring_jobs, job);
  if (job->unfinished > 0)
    return;
  add_change (sched, job, JOB_STATE_COMPLETE);
  job_end (sched, job);
  job_free_if_idle (sched, job);
}

void
sched_cancel_job (sched_t *sched, const char *id)
{
  sched_job_t *job = g_hash_table_lookup (sched->jobs, id);

  if (!job)
    return;
  job_end (sched, job);
  job_free_if_idle (sched, job);
}

#include "explainjob.h"

/* The scheduler with a pool and a workspace that the job asked about would
   add.  They are in copies of the tables.  */
typedef struct view
{
  sched_t sched;
  pool_t *own_pool;           /* NULL: the scheduler has it */
  workspace_t *own_workspace; /* the same */
} view_t;

static GHashTable *
copy_table (GHashTable *table, GHashFunc hash, GEqualFunc equal)
{
  GHashTable *copy = g_hash_table_new (hash, equal);
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, table);
  while (g_hash_table_iter_next (&iter, &key, &value))
    g_hash_table_insert (copy, key, value);
  return copy;
}

static void
view_open (view_t *view, const sched_t *sched, const char *pool,
           const char *workspace)
{
  view->sched = *sched;
  view->own_pool = NULL;
  view->own_workspace = NULL;
  if (!g_hash_table_contains (sched->pools, pool))
    {
      view->sched.pools = copy_table (sched->pools, g_str_hash, g_str_equal);
      view->own_pool = sched_pool (&view->sched, pool);
    }
  if (!g_hash_table_contains (sched->workspaces, workspace))
    {
      view->sched.workspaces
          = copy_table (sched->workspaces, g_direct_hash, g_direct_equal);
      view->own_workspace = sched_workspace (&view->sched, workspace);
    }
}

static void
view_close (view_t *view)
{
  if (view->own_pool)
    {
      g_ptr_array_unref (view->own_pool->workers);
      g_ptr_array_unref (view->own_pool->stages);
      g_free (view->own_pool);
      g_hash_table_unref (view->sched.pools);
    }
  if (view->own_workspace)
    {
      g_free (view->own_workspace);
      g_hash_table_unref (view->sched.workspaces);
    }
}

/* The job of DESC as it would be after its submission; without steps if it is
   not due.  */
static sched_job_t *
build_job (view_t *view, job_desc_t *desc, sched_now_t now)
{
  sched_t *sched = &view->sched;
  sched_job_t *job
      = job_build (desc, sched_workspace (sched, desc->workspace), now);

  job->pool = sched_pool (sched, desc->settings.service);
  job->over_share = job_exceeds_share (job->workspace, desc, 0);
  if (desc->repeats > 0 && job_due_ms (desc, 0) > now.wall_ms)
    return job;
  job_build_stages (job, 0);
  job->next_occurrence = 1;
  for (uint32_t i = 0; i < desc->steps_count; i++)
    neighbours_find_image (sched, &job->occurrences[0].stages[i]);
  return job;
}

/* Sets the times of a job that waits by the forecast of its admission, unless
   it waits for the time that it is due.  The forecast counts the waiting tasks
   of an accepted job as ahead of itself, so the times are at the latest then.
 */
static void
apply_forecast (explanation_t *to, const admission_t *admission)
{
  if (to->kind != EXPLAIN_WAITS || to->u.wait == EXPLAIN_WAIT_NOT_DUE
      || (admission->kind == ADMISSION_ADMIT
          && admission->u.why == ADMISSION_UNKNOWN_STATE))
    return;
  to->start_ms = admission->start_ms;
  to->end_ms = admission->kind == ADMISSION_ADMIT
                       && admission->u.why == ADMISSION_ENDLESS
                   ? -1
                   : admission->end_ms;
}

/* Applies what the admission of DESC would be to the explanation.  */
static void
explain_admission (explanation_t *to, const sched_t *sched,
                   const job_desc_t *desc, sched_now_t now)
{
  admission_t admission = admit_preview (sched, desc, now);

  apply_forecast (to, &admission);
  if (admission.kind != ADMISSION_REFUSE || !to->admission)
    return;
  to->kind = EXPLAIN_REFUSED;
  to->u.refused.reason = admission.u.refuse.reason;
  to->u.refused.retry_after_s = admission.u.refuse.retry_after_s;
  to->start_ms = -1;
  to->end_ms = -1;
}

/* The forecast is made in a view, as the queue of JOB may be unknown by now,
   and the service of its record have no pool.  */
static void
explain_accepted (explanation_t *to, const sched_t *sched,
                  const sched_job_t *job, sched_now_t now)
{
  const job_desc_t *desc = job->desc;
  const rules_queue_t *queue = rules_queue (sched->rules, desc->queue);
  const char *service
      = queue ? queue->settings.service : desc->settings.service;
  admission_t admission;
  view_t view;

  explain_job (to, sched, job, now);
  if (to->kind != EXPLAIN_WAITS || to->start_ms >= 0 || !service)
    return;
  view_open (&view, sched, service, desc->workspace);
  admission = admit_preview (&view.sched, desc, now);
  view_close (&view);
  apply_forecast (to, &admission);
}

static void
explain_new (explanation_t *to, const sched_t *sched, job_desc_t *desc,
             sched_now_t now)
{
  const rules_queue_t *queue = rules_queue (sched->rules, desc->queue);
  const rules_workspace_t *limits;
  sched_job_t *job;
  view_t view;

  to->kind = EXPLAIN_UNKNOWN_QUEUE;
  if (!queue)
    return;
  if (queue->is_public)
    desc->workspace = g_intern_static_string ("");
  limits = rules_workspace (sched->rules, desc->workspace);
  to->kind = EXPLAIN_UNKNOWN_WORKSPACE;
  if (!queue->is_public && !limits)
    return;
  job_desc_accept (desc, queue, limits, now.wall_ms);
  view_open (&view, sched, queue->settings.service, desc->workspace);
  job = build_job (&view, desc, now);
  explain_job (to, &view.sched, job, now);
  explain_admission (to, &view.sched, desc, now);
  sched_job_free (job);
  view_close (&view);
}

explanation_t *
sched_explain (const sched_t *sched, const explain_question_t *question,
               sched_now_t now)
{
  const sched_job_t *job = g_hash_table_lookup (sched->jobs, question->id);
  explanation_t *to = g_new0 (explanation_t, 1);

  g_strlcpy (to->id, question->id, sizeof to->id);
  to->start_ms = -1;
  to->end_ms = -1;
  to->accepted = job || question->entry;
  if (question->entry && job_state_is_final (question->entry->state))
    {
      to->kind = EXPLAIN_ENDED;
      to->u.ended = question->entry->state;
    }
  else if (job)
    explain_accepted (to, sched, job, now);
  else if (question->desc && !question->entry)
    explain_new (to, sched, question->desc, now);
  else
    to->kind = EXPLAIN_UNKNOWN_JOB;
  return to;
}

void
explanation_free (explanation_t *explanation)
{
  if (!explanation)
    return;
  if (explanation->steps)
    g_array_unref (explanation->steps);
  g_free (explanation);
}

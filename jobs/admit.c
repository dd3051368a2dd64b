#include "admit.h"
#include <string.h>

/* The state is measured again after MEASURE_INTERVAL_US, as objectives are
   seconds, and MEASURE_EACH_US for each worker and job.  Measuring takes up to
   3 ms of a core with 3,000 of each, which is 1.5 % of the 200 ms between.  */
#define MEASURE_INTERVAL_US 50000
#define MEASURE_EACH_US 25

admit_t *
admit_new (void)
{
  admit_t *admit = g_new0 (admit_t, 1);

  admit->turns = admission_turns_new ();
  admit->pools
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  admit->workspaces
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  admit->admitted
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  return admit;
}

void
admit_free (admit_t *admit)
{
  if (!admit)
    return;
  admission_turns_free (admit->turns);
  g_hash_table_unref (admit->pools);
  g_hash_table_unref (admit->workspaces);
  g_hash_table_unref (admit->admitted);
  g_free (admit);
}

static uint64_t
hash_id (const char *id)
{
  return hash_bytes (id, strlen (id), 0);
}

void
admit_note_added (sched_t *sched, const char *id)
{
  if (!sched->admit)
    return;
  g_hash_table_remove (sched->admit->admitted, id);
  /* It may have been appended by a daemon that didn't get the refusal.  */
  admission_turns_remove (sched->admit->turns, hash_id (id));
}

/* The longest chain of expected run times of DESC, from the last step
   backwards, as in compute_chains.  */
static int64_t
expected_chain_ms (const sched_t *sched, const job_desc_t *desc,
                   int64_t now_us, bool by_estimate)
{
  int64_t from_ms[JOB_STEPS_MAX] = { 0 };
  int64_t chain_ms = 0;

  for (uint32_t i = desc->steps_count; i-- > 0;)
    {
      const job_step_t *step = &desc->steps[i];

      from_ms[i] += by_estimate ? step->estimate_ms
                                : desc_expected_ms (sched, desc, i, now_us);
      chain_ms = MAX (chain_ms, from_ms[i]);
      for (uint32_t a = 0; a < step->after_count; a++)
        from_ms[step->after[a]] = MAX (from_ms[step->after[a]], from_ms[i]);
    }
  return chain_ms;
}

static uint32_t
count_admitted (const admit_t *admit, const char *workspace)
{
  uint32_t count = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, admit->admitted);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += ((const admitted_t *)value)->workspace == workspace;
  return count;
}

/* The settings of DESC's queue, or those of its record if it was removed.  */
static const queue_settings_t *
settings_of (const sched_t *sched, const job_desc_t *desc)
{
  const rules_queue_t *queue = rules_queue (sched->rules, desc->queue);

  return queue ? &queue->settings : &desc->settings;
}

/* DESC as the decision needs it, but for FITS.  */
static admission_job_t
describe (sched_t *sched, const job_desc_t *desc, sched_now_t now)
{
  const queue_settings_t *settings = settings_of (sched, desc);
  const workspace_t *workspace = sched_workspace (sched, desc->workspace);
  int64_t age_ms = CLAMP (now.wall_ms - desc->accepted_ms, 0, 60000);
  admission_job_t job = { .endless = desc->repeats > 0,
                          .submitted_us = now.us - age_ms * 1000 };

  for (uint32_t i = 0; i < desc->steps_count; i++)
    {
      amounts_t need = admit_worker_need (&desc->steps[i]);

      job.endless |= desc->steps[i].long_running;
      admission_work_add (&job.work, &need, desc->steps[i].count,
                          desc_expected_ms (sched, desc, i, now.us));
    }
  job.first_need = admit_worker_need (&desc->steps[0]);
  job.chain_ms = expected_chain_ms (sched, desc, now.us, false);
  job.objective_ms = expected_chain_ms (sched, desc, now.us, true)
                         * settings->stretch_milli / 1000
                     + settings->latency_ms;
  if (job_exceeds_share (workspace, desc,
                         count_admitted (sched->admit, workspace->name)))
    job.rank = ADMISSION_OVER_SHARE;
  else if (age_ms + job.chain_ms > job.objective_ms)
    job.rank = ADMISSION_LATE;
  return job;
}

/* Whether a worker of POOL has room for a task of SPEC now.  */
static bool
fits_now (const pool_t *pool, const pool_state_t *state,
          const job_step_t *spec, int64_t now_us)
{
  amounts_t need = admit_worker_need (spec);

  if (!amounts_cover (&state->largest, &need))
    return false;
  for (uint32_t i = 0; i < pool->workers->len; i++)
    {
      const worker_t *worker = g_ptr_array_index (pool->workers, i);
      amounts_t free = worker->capacity;

      amounts_subtract (&free, &worker->allocated);
      if (amounts_cover (&free, &need) && worker_accepts_tasks (worker, now_us)
          && (!spec->label
              || g_strv_contains ((const char *const *)worker->labels,
                                  spec->label)))
        return true;
    }
  return false;
}

static void
note_admitted (sched_t *sched, const job_desc_t *desc, const pool_t *pool,
               const admission_job_t *job, sched_now_t now)
{
  admitted_t *admitted = g_new0 (admitted_t, 1);

  *admitted = (admitted_t){ .pool = pool->name,
                            .workspace = desc->workspace,
                            .job = *job,
                            .first_need = admit_times (&job->first_need,
                                                       desc->steps[0].count),
                            .at_us = now.us };
  memcpy (admitted->id, desc->id, sizeof admitted->id);
  if (job->endless)
    admitted->job.work = (admission_work_t){ 0 };
  g_hash_table_replace (sched->admit->admitted, admitted->id, admitted);
  admit_measure_admitted (sched, admitted);
}

static admission_t
admitted_by (admission_why_t why)
{
  return (admission_t){ .kind = ADMISSION_ADMIT, .u.why = why };
}

static bool
measure_is_due (const sched_t *sched, int64_t now_us)
{
  int64_t count = (int64_t)g_hash_table_size (sched->workers)
                  + g_hash_table_size (sched->jobs);

  return sched->admit->measured_us == 0
         || now_us - sched->admit->measured_us
                >= MEASURE_INTERVAL_US + count * MEASURE_EACH_US;
}

admission_t
sched_admit (sched_t *sched, const job_desc_t *desc, sched_now_t now)
{
  admit_t *admit = sched->admit;
  admission_t refused = { .kind = ADMISSION_REFUSE };
  admission_job_t job;
  admission_t decision;
  pool_state_t *state;
  turn_state_t turn;
  pool_t *pool;

  if (!admit || g_hash_table_contains (admit->admitted, desc->id))
    return admitted_by (ADMISSION_UNKNOWN_STATE);
  refused.u.refuse.reason = ADMISSION_REPEATED;
  turn = admission_turns_find (admit->turns, hash_id (desc->id), now.us,
                               &refused.u.refuse.retry_after_s);
  if (turn == TURN_WAITING)
    return refused;
  pool = sched_pool (sched, settings_of (sched, desc)->service);
  if (measure_is_due (sched, now.us))
    admit_measure (sched, now.us);
  state = admit_pool (admit, pool->name);
  job = describe (sched, desc, now);
  job.fits = amounts_cover (&state->pool.free, &job.first_need)
             && fits_now (pool, state, &desc->steps[0], now.us);
  state->pool.reserved_ms
      = turn == TURN_DUE
            ? 0
            : admission_turns_reserved_ms (admit->turns, pool->name, now.us);
  decision = admission_decide (
      &state->pool, &job, admit_workspace (sched, desc->workspace), now.us);
  if (decision.kind == ADMISSION_REFUSE)
    return decision;
  admission_turns_remove (admit->turns, hash_id (desc->id));
  note_admitted (sched, desc, pool, &job, now);
  return decision;
}

/* A state that shares nothing with ADMIT but the turns, which are only read,
   and the admitted jobs.  */
static admit_t
preview_state (const admit_t *admit)
{
  admit_t preview
      = { .pools = g_hash_table_new_full (NULL, NULL, NULL, g_free),
          .workspaces = g_hash_table_new_full (NULL, NULL, NULL, g_free),
          .admitted = g_hash_table_new (g_str_hash, g_str_equal) };
  GHashTableIter iter;
  gpointer id;
  gpointer job;

  if (!admit)
    return preview;
  preview.turns = admit->turns;
  g_hash_table_iter_init (&iter, admit->admitted);
  while (g_hash_table_iter_next (&iter, &id, &job))
    g_hash_table_insert (preview.admitted, id, job);
  return preview;
}

admission_t
admit_preview (const sched_t *sched, const job_desc_t *desc, sched_now_t now)
{
  admit_t preview = preview_state (sched->admit);
  sched_t view = *sched;
  turn_state_t turn = TURN_NONE;
  uint32_t left_s = 0;
  admission_job_t job;
  admission_t decision;
  pool_state_t *state;
  pool_t *pool;

  view.admit = &preview;
  pool = sched_pool (&view, settings_of (sched, desc)->service);
  admit_measure (&view, now.us);
  state = admit_pool (&preview, pool->name);
  job = describe (&view, desc, now);
  job.fits = amounts_cover (&state->pool.free, &job.first_need)
             && fits_now (pool, state, &desc->steps[0], now.us);
  if (preview.turns)
    turn = admission_turns_peek (preview.turns, hash_id (desc->id), now.us,
                                 &left_s);
  if (preview.turns && turn != TURN_DUE)
    state->pool.reserved_ms
        = admission_turns_peek_reserved_ms (preview.turns, pool->name);
  decision = admission_decide (
      &state->pool, &job, admit_workspace (&view, desc->workspace), now.us);
  if (turn == TURN_WAITING)
    {
      decision.kind = ADMISSION_REFUSE;
      decision.u.refuse.reason = ADMISSION_REPEATED;
      decision.u.refuse.retry_after_s = left_s;
    }
  g_hash_table_unref (preview.pools);
  g_hash_table_unref (preview.workspaces);
  g_hash_table_unref (preview.admitted);
  return decision;
}

/* Logs a refusal with what it was based on.  */
static void
log_refusal (admit_t *admit, const job_desc_t *desc, const pool_t *pool,
             const admission_t *refusal, const admission_job_t *job,
             int64_t now_us)
{
  const pool_state_t *state = admit_pool (admit, pool->name);
  const admission_pool_t *p = &state->pool;

  if (!admit->refuses)
    event_log (EV_ADMISSION_BEGAN, "pool=%s", pool->name);
  admit->refuses = true;
  admit->refused++;
  admit->refused_us = now_us;
  event_log (EV_ADMISSION_REFUSED,
             "id=%s why=%s pool=%s workspace=%s rank=%d retry_after_s=%u "
             "start_ms=%" PRId64 " end_ms=%" PRId64 " allowed_ms=%" PRId64
             " ahead_ms=%.0f late_ms=%.0f over_ms=%.0f reserved_ms=%.0f "
             "turns=%u",
             desc->id, admission_reason_name (refusal->u.refuse.reason),
             pool->name, desc->workspace, (int)job->rank,
             refusal->u.refuse.retry_after_s, refusal->start_ms,
             refusal->end_ms, refusal->allowed_ms,
             admission_pool_time_ms (p, &p->waiting[ADMISSION_ON_TIME]),
             admission_pool_time_ms (p, &p->waiting[ADMISSION_LATE]),
             admission_pool_time_ms (p, &p->waiting[ADMISSION_OVER_SHARE]),
             p->reserved_ms, admission_turns_count (admit->turns));
}

bool
sched_refuse (sched_t *sched, const job_desc_t *desc, admission_t *refusal,
              sched_now_t now)
{
  admit_t *admit = sched->admit;
  pool_t *pool = sched_pool (sched, settings_of (sched, desc)->service);
  admission_job_t job;
  turn_request_t request;

  if (refusal->u.refuse.reason == ADMISSION_REPEATED)
    {
      counter_add (COUNT_ADMISSION_REPEATED, 1);
      return true;
    }
  job = describe (sched, desc, now);
  request = (turn_request_t){
    .id = hash_id (desc->id),
    .pool = pool->name,
    .workspace = desc->workspace,
    .weight = sched_workspace (sched, desc->workspace)->rule.weight,
    .work_ms
    = admission_pool_time_ms (&admit_pool (admit, pool->name)->pool, &job.work)
  };
  if (!admission_turns_add (admit->turns, &request, refusal, now.us))
    {
      note_admitted (sched, desc, pool, &job, now);
      return false;
    }
  counter_add (COUNT_ADMISSION_REFUSED, 1);
  log_refusal (admit, desc, pool, refusal, &job, now.us);
  return true;
}

void
admit_dump (const sched_t *sched, GString *out)
{
  const admit_t *admit = sched->admit;

  if (admit)
    g_string_append_printf (
        out, "admission refused %u turns %u on-the-way %u\n", admit->refused,
        admission_turns_count (admit->turns),
        g_hash_table_size (admit->admitted));
}

#include "schedint.h"

#define DUMP_ROWS_MAX 100

/* Hosts that are down or moving are left out, as in the order of starts.  */
static amounts_t
pool_capacity (const pool_t *pool)
{
  amounts_t capacity = { 0 };

  for (uint32_t i = 0; i < pool->workers->len; i++)
    {
      const worker_t *worker = g_ptr_array_index (pool->workers, i);

      if (worker->listed)
        amounts_add (&capacity, &worker->capacity);
    }
  return capacity;
}

void
fairness_open_plan (const pool_t *pool, int64_t now_us)
{
  amounts_t capacity;

  if (!pool->shares)
    return;
  capacity = pool_capacity (pool);
  shares_open_plan (pool->shares, pool->name, &capacity, now_us);
}

const shares_account_t *
fairness_wait (stage_t *stage, int64_t now_us)
{
  const workspace_t *workspace = stage->job->workspace;

  if (!stage->job->pool->shares)
    return NULL;
  if (stage->waits_since_us == 0)
    stage->waits_since_us = now_us;
  return shares_wait (stage->job->pool->shares, workspace->name,
                      workspace->rule.weight, stage->waits_since_us, now_us);
}

static void
log_use (const shares_use_t *use, void *ctx)
{
  (void)ctx;
  if (use->yields)
    counter_add (COUNT_SHARES_EXCEEDED, 1);
  event_log (use->yields ? EV_SHARE_EXCEEDED : EV_SHARE_KEPT,
             "pool=%s workspace=%s use_milli=%u now_milli=%u share_milli=%u "
             "weight=%u weights=%" PRIu64 " workspaces=%u step=%u "
             "lowest_step=%u waiting=%u waited_ms=%u",
             use->pool, use->workspace, use->use_milli, use->now_milli,
             use->share_milli, use->weight, use->weights, use->workspaces,
             use->step, use->lowest_step, use->waiting, use->waited_ms);
}

void
fairness_judge (const pool_t *pool, int64_t now_us)
{
  if (pool->shares)
    shares_judge (pool->shares, now_us, log_use, NULL);
}

/* CPU time that the tasks of JOB's OCCURRENCE without a run take, in
   milli-core ms.  */
static double
unstarted_work (const sched_job_t *job, uint32_t occurrence)
{
  const stage_t *stages = job->occurrences[occurrence].stages;
  double work = 0;

  for (uint32_t i = 0; i < job->desc->steps_count; i++)
    if (!stages[i].spec->filler)
      work += (double)stages[i].unstarted
              * (double)stages[i].spec->need.cpu_milli
              * stages[i].spec->estimate_ms;
  return work;
}

bool
fairness_exceeds_pool (const stage_t *stage, double pool_cpu_milli,
                       int64_t now_us)
{
  const sched_job_t *job = stage->job;
  int64_t left_us = job->accepted_us + job_objective_us (job) - now_us;

  return job->pool->shares
         && unstarted_work (job, stage->occurrence)
                > pool_cpu_milli * (double)left_us / 1000;
}

void
fairness_begin_run (const sched_t *sched, run_t *run, int64_t now_us)
{
  const workspace_t *workspace = run->task->stage->job->workspace;

  if (sched->shares)
    run->account = shares_begin (sched->shares, run->worker->pool->name,
                                 workspace->name, workspace->rule.weight,
                                 &run->reserved, now_us);
}

void
fairness_end_run (const sched_t *sched, const run_t *run, int64_t now_us)
{
  if (sched->shares)
    shares_end (sched->shares, run->account, &run->reserved, now_us);
}

void
fairness_count_start (const run_t *run)
{
  if (shares_is_beyond (run->account))
    counter_add (COUNT_STARTS_BEYOND_SHARE, 1);
}

static void
collect_use (const shares_use_t *use, void *ctx)
{
  g_array_append_vals (ctx, use, 1);
}

/* By pool; those that are furthest in their share first.  */
static int
compare_uses (const void *a, const void *b)
{
  const shares_use_t *l = a;
  const shares_use_t *r = b;

  if (l->pool != r->pool)
    return g_strcmp0 (l->pool, r->pool);
  if (l->step != r->step)
    return l->step > r->step ? -1 : 1;
  return g_strcmp0 (l->workspace, r->workspace);
}

void
fairness_dump (const sched_t *sched, GString *out, sched_now_t now)
{
  g_autoptr (GArray) uses = g_array_new (FALSE, FALSE, sizeof (shares_use_t));

  if (!sched->shares)
    return;
  shares_each (sched->shares, now.us, collect_use, uses);
  g_array_sort (uses, compare_uses);
  g_string_append_printf (out, "shares %u\n", uses->len);
  for (uint32_t i = 0; i < MIN (uses->len, DUMP_ROWS_MAX); i++)
    {
      const shares_use_t *use = &g_array_index (uses, shares_use_t, i);

      g_string_append_printf (
          out,
          "share pool %s workspace %s use-milli %u now-milli %u "
          "share-milli %u weight %u step %u waiting-stages %u waited-ms "
          "%u%s\n",
          use->pool, use->workspace, use->use_milli, use->now_milli,
          use->share_milli, use->weight, use->step, use->waiting,
          use->waited_ms, use->yields ? " yields" : "");
    }
}

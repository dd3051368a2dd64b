#include "startorder.h"

/* A late job still earns something up to this multiple of its objective.  */
#define LATE_FACTOR_MAX 3

/* Weight, in the order of starts, of the time that a job's remaining work
   takes on its whole pool, relative to the job's slack.  With slack alone, the
   large jobs of a burst make all others late; with work alone, large jobs
   starve.  */
#define WORK_WEIGHT 10

/* Unanswered starts that a rank may have however busy the owner is.  It
   handles one to two thousand starts a second; a backlog of late jobs must not
   delay those that can still be on time.  */
static const uint32_t starts_pending_max[RANK_COUNT]
    = { [RANK_LONG_RUNNING] = UINT32_MAX,
        [RANK_ON_TIME] = 512,
        [RANK_LATE] = 256,
        [RANK_OVER_SHARE] = 128,
        [RANK_EXPIRED] = 48 };

/* START_DELAY_USUAL_US - in a fast store a start is ordered this long after it
   was planned, at most.  When it takes longer, as many more may be pending, or
   the log would bound the starts a second.
   START_DELAY_FACTOR_MAX - limit of that factor.  */
#define START_DELAY_USUAL_US 50000
#define START_DELAY_FACTOR_MAX 16

int64_t
job_objective_us (const sched_job_t *job)
{
  return job->chain_ms * job->settings.stretch_milli
         + (int64_t)job->settings.latency_ms * 1000;
}

rank_t
start_rank (const stage_t *stage, int64_t now_us)
{
  const sched_job_t *job = stage->job;
  int64_t ends_us = now_us + job->chain_from_ms[stage->step] * 1000;
  int64_t allowed_us;

  if (stage->spec->long_running)
    return RANK_LONG_RUNNING;
  allowed_us = job_objective_us (job);
  if (ends_us > job->accepted_us + allowed_us * LATE_FACTOR_MAX)
    return RANK_EXPIRED;
  /* With shares over time the mark does not count: it would let late jobs go
     before those that can be on time.  */
  if (job->over_share && !job->pool->shares)
    return RANK_OVER_SHARE;
  return ends_us <= job->accepted_us + allowed_us ? RANK_ON_TIME : RANK_LATE;
}

bool
stage_is_expired (const stage_t *stage, int64_t now_us)
{
  return start_rank (stage, now_us) == RANK_EXPIRED;
}

static uint32_t
share_step (const candidate_t *candidate)
{
  return candidate->exceeds_pool ? UINT32_MAX
                                 : shares_step (candidate->account);
}

int
start_compare (const void *a, const void *b)
{
  const candidate_t *l = a;
  const candidate_t *r = b;

  if (l->rank != r->rank)
    return l->rank < r->rank ? -1 : 1;
  if (l->priority != r->priority)
    return l->priority < r->priority ? -1 : 1;
  if (share_step (l) != share_step (r))
    return share_step (l) < share_step (r) ? -1 : 1;
  if (l->cost != r->cost)
    return l->cost < r->cost ? -1 : 1;
  return 0;
}

double
start_pool_cpu_milli (const pool_t *pool)
{
  int64_t cpu_milli = 0;

  for (uint32_t i = 0; i < pool->workers->len; i++)
    {
      const worker_t *worker = g_ptr_array_index (pool->workers, i);

      if (worker->listed)
        cpu_milli += worker->capacity.cpu_milli;
    }
  return (double)MAX (cpu_milli, 1);
}

/* Remaining work of JOB in STAGE's occurrence, in milli-core ms.  */
static double
remaining_work (const sched_job_t *job, const stage_t *stage)
{
  const stage_t *stages = job->occurrences[stage->occurrence].stages;
  double work = 0;

  for (uint32_t i = 0; i < job->desc->steps_count; i++)
    work += (double)stages[i].unfinished
            * (double)stages[i].spec->need.cpu_milli
            * MAX (stages[i].spec->estimate_ms, 1);
  return work;
}

/* Slack of STAGE's job if the stage starts now.  */
static double
slack_ms (const stage_t *stage, int64_t now_us)
{
  const sched_job_t *job = stage->job;

  return (double)(job->accepted_us + job_objective_us (job) - now_us) / 1000
         - (double)job->chain_from_ms[stage->step];
}

candidate_t
start_candidate (stage_t *stage, double pool_cpu_milli, int64_t now_us)
{
  double work = remaining_work (stage->job, stage);

  return (candidate_t){ .stage = stage,
                        .rank = start_rank (stage, now_us),
                        .priority = stage->job->settings.priority,
                        .cost = slack_ms (stage, now_us)
                                + WORK_WEIGHT * work / pool_cpu_milli };
}

uint64_t
start_limit (const sched_t *sched, rank_t rank)
{
  uint64_t factor = (uint64_t)CLAMP (
      sched->start_delay_us / START_DELAY_USUAL_US, 1, START_DELAY_FACTOR_MAX);

  return MAX (starts_pending_max[rank] * factor, sched->start_window.size);
}

uint64_t
starts_pending (const sched_t *sched, rank_t rank)
{
  uint64_t count = 0;

  for (uint32_t i = 0; i <= (uint32_t)rank; i++)
    count += sched->starts_pending[i];
  return count;
}

bool
starts_are_limited (const sched_t *sched, rank_t rank, uint32_t more)
{
  return starts_pending (sched, rank) + more >= start_limit (sched, rank);
}

const char *
rank_name (rank_t rank)
{
  static const char *const names[RANK_COUNT]
      = { [RANK_LONG_RUNNING] = "long-running",
          [RANK_ON_TIME] = "on-time",
          [RANK_LATE] = "late",
          [RANK_OVER_SHARE] = "over-share",
          [RANK_EXPIRED] = "expired" };

  return names[rank];
}

#include "admission.h"
#include <math.h>

/* Longest forecast, so that it fits all types.  */
#define FORECAST_MAX_MS 3600000.0

void
admission_work_add (admission_work_t *work, const amounts_t *need,
                    uint32_t count, double each_ms)
{
  work->cpu_milli_ms += (double)need->cpu_milli * count * each_ms;
  work->mem_mib_ms += (double)need->mem_mib * count * each_ms;
  work->accels_ms += (double)need->accels * count * each_ms;
}

static void
add_work (admission_work_t *to, const admission_work_t *more)
{
  to->cpu_milli_ms += more->cpu_milli_ms;
  to->mem_mib_ms += more->mem_mib_ms;
  to->accels_ms += more->accels_ms;
}

/* How long WORK takes with CAPACITY, INCOMING from ADMISSION_INCOMING_MS on,
   and LENDABLE from ADMISSION_LEND_MS on; all of one resource.  */
static double
drain_ms (double work, int64_t capacity, int64_t incoming, int64_t lendable)
{
  double now = (double)MAX (capacity, 0);
  double soon = now + (double)incoming;
  double later = soon + (double)lendable;
  double soon_work = now * ADMISSION_INCOMING_MS;
  double later_work
      = soon_work + soon * (ADMISSION_LEND_MS - ADMISSION_INCOMING_MS);

  if (work <= 0)
    return 0;
  if (work <= soon_work)
    return work / now;
  if (work <= later_work)
    return ADMISSION_INCOMING_MS + (work - soon_work) / soon;
  return later > 0 ? ADMISSION_LEND_MS + (work - later_work) / later
                   : HUGE_VAL;
}

double
admission_pool_time_ms (const admission_pool_t *pool,
                        const admission_work_t *work)
{
  double cpu_ms
      = drain_ms (work->cpu_milli_ms, pool->capacity.cpu_milli,
                  pool->incoming.cpu_milli, pool->lendable.cpu_milli);
  double mem_ms = drain_ms (work->mem_mib_ms, pool->capacity.mem_mib,
                            pool->incoming.mem_mib, pool->lendable.mem_mib);
  double accels_ms = drain_ms (work->accels_ms, pool->capacity.accels,
                               pool->incoming.accels, pool->lendable.accels);

  return MAX (cpu_ms, MAX (mem_ms, accels_ms));
}

static double
ratio (int64_t part, int64_t whole)
{
  return whole > 0 ? (double)part / (double)whole : 0;
}

/* How long it takes until running tasks that have ended leave room for NEED.
   The time that they have left is taken to be spread evenly, so it is on
   average half of the longest.  */
static double
first_room_ms (const admission_pool_t *pool, const amounts_t *need)
{
  double left_ms
      = pool->used.cpu_milli > 0
            ? pool->running.cpu_milli_ms / (double)pool->used.cpu_milli
            : 0;
  double share = MAX (ratio (need->cpu_milli, pool->used.cpu_milli),
                      ratio (need->mem_mib, pool->used.mem_mib));

  return 2 * left_ms * MIN (share, 1);
}

/* When the job starts in POOL if all work of ranks up to LAST precedes it.  */
static double
pool_start_ms (const admission_pool_t *pool, const admission_job_t *job,
               admission_rank_t last)
{
  admission_work_t ahead = { 0 };

  for (uint32_t rank = 0; rank <= (uint32_t)last; rank++)
    add_work (&ahead, &pool->waiting[rank]);
  return admission_pool_time_ms (pool, &ahead) + pool->reserved_ms
         + first_room_ms (pool, &job->first_need);
}

static double
cap_ms (double work, int64_t cap)
{
  return cap > 0 ? work / (double)cap : 0;
}

/* When the cap of WORKSPACE lets the job start after the work that the
   workspace has waiting.  */
static double
cap_start_ms (const admission_workspace_t *workspace)
{
  const admission_work_t *waiting = &workspace->waiting;
  double cpu_ms = cap_ms (waiting->cpu_milli_ms, workspace->cap.cpu_milli);
  double mem_ms = cap_ms (waiting->mem_mib_ms, workspace->cap.mem_mib);
  double accels_ms = cap_ms (waiting->accels_ms, workspace->cap.accels);

  return MAX (cpu_ms, MAX (mem_ms, accels_ms));
}

static bool
cap_leaves (int64_t cap, int64_t used, int64_t waiting, int64_t need)
{
  return cap == 0 || used + waiting + need <= cap;
}

static bool
cap_has_room (const admission_workspace_t *w, const amounts_t *need)
{
  return cap_leaves (w->cap.cpu_milli, w->used.cpu_milli,
                     w->waiting_need.cpu_milli, need->cpu_milli)
         && cap_leaves (w->cap.mem_mib, w->used.mem_mib,
                        w->waiting_need.mem_mib, need->mem_mib)
         && cap_leaves (w->cap.accels, w->used.accels, w->waiting_need.accels,
                        need->accels);
}

static bool
is_empty (const admission_pool_t *pool)
{
  return pool->capacity.cpu_milli <= 0 && pool->incoming.cpu_milli <= 0
         && pool->lendable.cpu_milli <= 0;
}

static admission_t
admit (admission_t forecast, admission_why_t why)
{
  forecast.kind = ADMISSION_ADMIT;
  forecast.u.why = why;
  return forecast;
}

/* The forecast for JOB, which starts at START_MS.  */
static admission_t
forecast_from (const admission_job_t *job, double start_ms, int64_t now_us)
{
  admission_t forecast = { 0 };

  forecast.start_ms = (int64_t)MIN (start_ms, FORECAST_MAX_MS);
  forecast.end_ms = forecast.start_ms + job->chain_ms;
  forecast.allowed_ms = job->objective_ms * ADMISSION_VALUE_FACTOR
                        - MAX (now_us - job->submitted_us, 0) / 1000;
  return forecast;
}

static admission_t
refuse (admission_t forecast, admission_reason_t reason)
{
  /* When the work ahead has become so much less, the job ends in time.  */
  int64_t excess_ms = forecast.end_ms - forecast.allowed_ms;

  forecast.kind = ADMISSION_REFUSE;
  forecast.u.refuse.reason = reason;
  forecast.u.refuse.retry_after_s
      = (uint32_t)CLAMP ((excess_ms + 999) / 1000, 1, ADMISSION_RETRY_MAX_S);
  return forecast;
}

admission_t
admission_decide (const admission_pool_t *pool, const admission_job_t *job,
                  const admission_workspace_t *workspace, int64_t now_us)
{
  double start_ms = pool_start_ms (pool, job, job->rank);
  double by_cap_ms = cap_start_ms (workspace);
  int64_t waited_ms = MAX (now_us - job->submitted_us, 0) / 1000;
  admission_t forecast;

  /* A job that can't be on time becomes late, and competes with the others
     that are.  */
  if (job->rank == ADMISSION_ON_TIME
      && waited_ms + start_ms + (double)job->chain_ms
             > (double)job->objective_ms)
    start_ms = pool_start_ms (pool, job, ADMISSION_LATE);
  forecast = forecast_from (job, MAX (start_ms, by_cap_ms), now_us);
  if (job->endless)
    return admit (forecast, ADMISSION_ENDLESS);
  if (!pool->known || is_empty (pool))
    return admit (forecast, ADMISSION_UNKNOWN_STATE);
  if (job->fits && amounts_cover (&pool->free, &job->first_need)
      && cap_has_room (workspace, &job->first_need))
    return admit (forecast, ADMISSION_ROOM);
  if (forecast.end_ms <= forecast.allowed_ms)
    return admit (forecast, ADMISSION_IN_TIME);
  return refuse (forecast, by_cap_ms > start_ms ? ADMISSION_WORKSPACE_CAP
                                                : ADMISSION_POOL_BUSY);
}

const char *
admission_reason_name (admission_reason_t reason)
{
  static const char *const names[]
      = { [ADMISSION_POOL_BUSY] = "pool-busy",
          [ADMISSION_WORKSPACE_CAP] = "workspace-cap",
          [ADMISSION_REPEATED] = "turn-not-come" };

  return names[reason];
}

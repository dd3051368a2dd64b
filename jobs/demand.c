#include "advice.h"
#include "schedint.h"
#include <math.h>

/* Time in which waiting work should be finished: about what the objective of a
   job leaves beyond the work itself.  */
#define BACKLOG_TARGET_MS 1000
/* Time constants over which demand is smoothed.  */
#define RATE_FAST_US 500000
#define RATE_SLOW_US 1500000
/* How far demand is extrapolated: the time that it takes to detect it and to
   move a host.  */
#define FORECAST_US 2000000
/* Limit of a forecast, as a multiple of the current demand: a few large jobs
   look like a steep rise.  */
#define FORECAST_FACTOR_MAX 2
/* A burst begins when the demand of tasks that end reaches the first
   percentage of the pool's base size, and ends when it has not been above the
   second for BURST_END_DELAY_US.  */
#define BURST_BEGIN_PERCENT 50
#define BURST_END_PERCENT 25
#define BURST_END_DELAY_US 1000000
/* A pool that expects the next burst keeps its hosts for this time after the
   end of the burst before it.  Bursts follow within 1 to 2 s.  */
#define NEXT_BURST_WAIT_US 5000000

double
dominant_share (const amounts_t *used, const amounts_t *room)
{
  double cpu = (double)used->cpu_milli / (double)MAX (room->cpu_milli, 1);
  double mem = (double)used->mem_mib / (double)MAX (room->mem_mib, 1);
  double accels
      = room->accels > 0 ? (double)used->accels / (double)room->accels : 0;

  return MAX (cpu, MAX (mem, accels));
}

/* Host time that the waiting tasks of POOL need, in ms; ROOM is the capacity
   of one of its hosts.  Jobs that are too late to be of value are left out, as
   hosts for them would be missing elsewhere.  */
static double
backlog_host_ms (const pool_t *pool, const amounts_t *room, int64_t now_us)
{
  double sum = 0;

  for (uint32_t i = 0; i < pool->stages->len; i++)
    {
      const stage_t *stage = g_ptr_array_index (pool->stages, i);
      const job_step_t *spec = stage->spec;

      if (!spec->long_running && quota_allows (stage->job, &spec->need)
          && !stage_is_expired (stage, now_us))
        sum += stage->unstarted * dominant_share (&spec->need, room)
               * MAX (spec->estimate_ms, 1);
    }
  return sum;
}

static double
long_running_share (const worker_t *worker)
{
  double share = 0;

  for (uint32_t i = 0; i < worker->runs->len; i++)
    {
      const run_t *run = g_ptr_array_index (worker->runs, i);

      if (run->task->stage->spec->long_running)
        share += dominant_share (&run->reserved, &worker->capacity);
    }
  return share;
}

static int64_t
tasks_below_cap (int64_t cap, int64_t used, int64_t need)
{
  return cap == 0 || need == 0 ? UINT32_MAX : MAX (cap - used, 0) / need;
}

/* Tasks of STAGE without a run that the cap of its workspace allows.  */
static uint32_t
count_allowed_tasks (const stage_t *stage)
{
  const amounts_t *need = &stage->spec->need;
  const amounts_t *cap = &stage->job->workspace->rule.cap;
  const amounts_t *used = &stage->job->workspace->allocated;
  int64_t count = stage->unstarted;

  count = MIN (count, tasks_below_cap (cap->cpu_milli, used->cpu_milli,
                                       need->cpu_milli));
  count = MIN (count,
               tasks_below_cap (cap->mem_mib, used->mem_mib, need->mem_mib));
  count
      = MIN (count, tasks_below_cap (cap->accels, used->accels, need->accels));
  return (uint32_t)count;
}

/* Hosts of capacity ROOM that the long-running tasks of POOL need for which no
   worker has been found: all have as many tasks of a step as it allows, are
   full, or are being drained.  Tasks of different steps share a host.  Another
   host doesn't help if a label or advice rules the workers out, or if the task
   is larger than a host.  Gangs are left out: they start on many hosts at
   once.  */
static uint32_t
count_unplaced_hosts (const pool_t *pool, const amounts_t *room)
{
  double shares = 0;
  uint32_t spread = 0;

  for (uint32_t i = 0; i < pool->stages->len; i++)
    {
      const stage_t *stage = g_ptr_array_index (pool->stages, i);
      const job_step_t *spec = stage->spec;
      uint32_t count;

      if (!spec->long_running || spec->gang || stage->lacks_worker_us == 0
          || spec->label || advice_is_needed (stage)
          || !amounts_cover (room, &spec->need))
        continue;
      count = count_allowed_tasks (stage);
      shares += count * dominant_share (&spec->need, room);
      if (spec->spread_max > 0)
        spread
            = MAX (spread, (count + spec->spread_max - 1) / spec->spread_max);
    }
  return MAX ((uint32_t)ceil (shares), spread);
}

void
demand_add_job (const sched_job_t *job)
{
  const job_desc_t *desc = job->desc;
  pool_t *pool = job->pool;

  if (desc->repeats > 0 || job->over_share || pool->host_room.cpu_milli == 0)
    return;
  for (uint32_t i = 0; i < desc->steps_count; i++)
    {
      const job_step_t *step = &desc->steps[i];

      if (!step->long_running && !step->filler
          && quota_allows (job, &step->need))
        pool->arrived_host_ms
            += step->count * dominant_share (&step->need, &pool->host_room)
               * MAX (step->estimate_ms, 1);
    }
}

void
demand_update (pool_t *pool, int64_t now_us)
{
  double elapsed_us = (double)(now_us - pool->rates_updated_us);
  double rate = pool->arrived_host_ms * 1000 / MAX (elapsed_us, 1);

  if (pool->rates_updated_us > 0)
    {
      pool->rate_fast += (rate - pool->rate_fast) * elapsed_us
                         / (elapsed_us + RATE_FAST_US);
      pool->rate_slow += (rate - pool->rate_slow) * elapsed_us
                         / (elapsed_us + RATE_SLOW_US);
    }
  pool->arrived_host_ms = 0;
  pool->rates_updated_us = now_us;
}

/* Extrapolates the rate of submitted jobs linearly to FORECAST_US from now. */
double
demand_forecast (const pool_t *pool)
{
  double slope
      = (pool->rate_fast - pool->rate_slow) / (RATE_SLOW_US - RATE_FAST_US);

  return CLAMP (pool->rate_fast + slope * FORECAST_US, 0,
                pool->rate_fast * FORECAST_FACTOR_MAX);
}

pool_demand_t
demand_measure (sched_t *sched, pool_t *pool, int64_t now_us)
{
  pool_demand_t demand = { .pool = pool };
  amounts_t room = pool->host_room;
  GHashTableIter iter;
  gpointer value;

  for (uint32_t i = 0; i < pool->workers->len; i++)
    {
      const worker_t *worker = g_ptr_array_index (pool->workers, i);

      if (!worker->listed || worker->state != WORKER_READY
          || worker->unreachable)
        continue;
      /* Short runs there end by themselves; the others need room elsewhere.
       */
      if (worker_is_evacuated (worker))
        {
          demand.busy += long_running_share (worker);
          demand.long_running += long_running_share (worker);
          continue;
        }
      if (!worker->cordoned)
        demand.usable++;
      demand.busy += dominant_share (&worker->allocated, &worker->capacity);
      demand.long_running += long_running_share (worker);
      room = worker->capacity;
    }
  if (room.cpu_milli > 0)
    sched->host_room = room;
  else
    room = sched->host_room; /* it has had no host yet */
  pool->host_room = room;
  if (room.cpu_milli > 0)
    {
      demand.backlog
          = backlog_host_ms (pool, &room, now_us) / BACKLOG_TARGET_MS;
      demand.unplaced = count_unplaced_hosts (pool, &room);
    }
  g_hash_table_iter_init (&iter, sched->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const host_t *host = value;

      if (host_is_evacuated (host))
        continue;
      demand.incoming
          += host->move_to == pool->name
             && (host_order_is_open (&host->order) || host->cordoned);
      demand.listed
          += host->listed && host->pool == pool->name && !host->move_to;
    }
  return demand;
}

double
demand_hosts_needed (const pool_demand_t *demand)
{
  double expected = demand->long_running + demand_forecast (demand->pool);

  return MAX (demand->busy, expected) + demand->backlog;
}

/* Bursts go round the pools in turn, so POOL is expected to be next when the
   burst of its predecessor has just ended.  */
bool
demand_expects_burst (const sched_t *sched, const pool_t *pool, int64_t now_us)
{
  const pool_t *last = sched->last_burst_pool;

  return !pool->in_burst && last && last != pool
         && pool->burst_predecessor == last && !last->in_burst
         && now_us - last->burst_ended_us < NEXT_BURST_WAIT_US;
}

/* Bursts go round the pools in turn.  After its burst a pool gives up its idle
   hosts, until its predecessor begins a burst again or its own tasks need
   hosts.  */
static void
start_burst (sched_t *sched, pool_t *pool)
{
  GHashTableIter iter;
  gpointer value;

  pool->in_burst = true;
  pool->scaled_down = false;
  pool->burst_peak = 0;
  pool->burst_predecessor = sched->last_burst_pool;
  sched->last_burst_pool = pool;
  g_hash_table_iter_init (&iter, sched->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((pool_t *)value)->burst_predecessor == pool)
      ((pool_t *)value)->scaled_down = false;
}

void
demand_update_burst (sched_t *sched, const pool_demand_t *demand,
                     sched_now_t now)
{
  pool_t *pool = demand->pool;
  double demand_percent
      = (pool->rate_slow + demand->backlog) * 100 / MAX (pool->base_hosts, 1);

  if (pool->base_hosts == 0)
    return;
  if (!pool->in_burst && demand_percent >= BURST_BEGIN_PERCENT)
    start_burst (sched, pool);
  if (pool->in_burst)
    pool->burst_peak
        = MAX (pool->burst_peak, demand->busy - demand->long_running);
  if (!pool->in_burst || demand_percent > BURST_END_PERCENT)
    {
      pool->calm_since_us = 0;
      return;
    }
  if (pool->calm_since_us == 0)
    pool->calm_since_us = now.us;
  if (now.us - pool->calm_since_us < BURST_END_DELAY_US)
    return;
  pool->in_burst = false;
  pool->scaled_down = true;
  pool->burst_ended_us = now.us;
}

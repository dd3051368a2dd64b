#include "schedint.h"

/* Work that waits is to be done within so long: about the time that a caller's
   objective leaves beside the work itself.  */
#define DRAIN_MS 1000
/* Demand is smoothed over these times, and carried on for as long as it takes
   to notice it and to move a host.  */
#define FAST_US 500000
#define SLOW_US 1500000
#define AHEAD_US 2000000
/* A forecast is no more than so many times the demand of now: a few large jobs
   look like a steep rise.  */
#define AHEAD_TIMES 2
/* A burst has begun when tasks that end ask for this part of a pool's first
   size, and is over when they have asked for less than the lower part for
   BURST_OVER_US.  */
#define BURST_PERCENT 50
#define CALM_PERCENT 25
#define BURST_OVER_US 1000000
/* The pool whose turn comes next keeps its hosts for so long after the burst
   before is over; bursts follow within a second or two.  */
#define EXPECT_US 5000000

double
part_of (const amounts_t *used, const amounts_t *room)
{
  double cpu = (double)used->cpu_milli / (double)MAX (room->cpu_milli, 1);
  double mem = (double)used->mem_mib / (double)MAX (room->mem_mib, 1);
  double accels
      = room->accels > 0 ? (double)used->accels / (double)room->accels : 0;

  return MAX (cpu, MAX (mem, accels));
}

/* Host times that the waiting tasks of POOL need, in ms.  ROOM is that of one
   of its hosts.  Hosts for jobs that are past all use would be missed
   elsewhere.  */
static double
waiting_ms (const pool_t *pool, const amounts_t *room, int64_t now_us)
{
  double sum = 0;

  for (uint32_t i = 0; i < pool->stages->len; i++)
    {
      const stage_t *stage = g_ptr_array_index (pool->stages, i);
      const job_step_t *spec = stage->spec;

      if (!spec->long_running && quota_allows (stage->job, &spec->need)
          && !stage_is_expired (stage, now_us))
        sum += stage->unstarted * part_of (&spec->need, room)
               * MAX (spec->estimate_ms, 1);
    }
  return sum;
}

static double
lasting_part (const worker_t *worker)
{
  double part = 0;

  for (uint32_t i = 0; i < worker->runs->len; i++)
    {
      const run_t *run = g_ptr_array_index (worker->runs, i);

      if (run->task->stage->spec->long_running)
        part += part_of (&run->reserved, &worker->capacity);
    }
  return part;
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

      if (!step->long_running && !step->fills
          && quota_allows (job, &step->need))
        pool->arrived_ms += step->count
                            * part_of (&step->need, &pool->host_room)
                            * MAX (step->estimate_ms, 1);
    }
}

void
demand_update (pool_t *pool, int64_t now_us)
{
  double passed_us = (double)(now_us - pool->rates_us);
  double rate = pool->arrived_ms * 1000 / MAX (passed_us, 1);

  if (pool->rates_us > 0)
    {
      pool->rate_fast
          += (rate - pool->rate_fast) * passed_us / (passed_us + FAST_US);
      pool->rate_slow
          += (rate - pool->rate_slow) * passed_us / (passed_us + SLOW_US);
    }
  pool->arrived_ms = 0;
  pool->rates_us = now_us;
}

/* Hosts that the jobs handed in AHEAD_US from now will keep busy if demand
   goes on to change as it does.  */
double
demand_ahead (const pool_t *pool)
{
  double slope = (pool->rate_fast - pool->rate_slow) / (SLOW_US - FAST_US);

  return CLAMP (pool->rate_fast + slope * AHEAD_US, 0,
                pool->rate_fast * AHEAD_TIMES);
}

load_t
demand_load (sched_t *sched, pool_t *pool, int64_t now_us)
{
  load_t load = { .pool = pool };
  amounts_t room = pool->host_room;
  GHashTableIter iter;
  gpointer value;

  for (uint32_t i = 0; i < pool->workers->len; i++)
    {
      const worker_t *worker = g_ptr_array_index (pool->workers, i);

      if (!worker->listed || worker->state != WORKER_READY
          || worker->unreachable)
        continue;
      if (!worker->cordoned)
        load.have++;
      load.runs += part_of (&worker->allocated, &worker->capacity);
      load.long_running += lasting_part (worker);
      room = worker->capacity;
    }
  if (room.cpu_milli > 0)
    sched->host_room = room;
  else
    room = sched->host_room; /* no host of its own was seen yet */
  pool->host_room = room;
  if (room.cpu_milli > 0)
    load.waits = waiting_ms (pool, &room, now_us) / DRAIN_MS;
  g_hash_table_iter_init (&iter, sched->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const host_t *host = value;

      load.coming
          += host->move_to == pool->name && (host->down || host->cordoned);
      load.listed
          += host->listed && host->pool == pool->name && !host->move_to;
    }
  return load;
}

double
demand_need (const load_t *load)
{
  double ahead = load->long_running + demand_ahead (load->pool);

  return MAX (load->runs, ahead) + load->waits;
}

/* Whether POOL's turn comes next: the burst of the pool before it is just
   over.  */
bool
demand_expects_burst (const sched_t *sched, const pool_t *pool, int64_t now_us)
{
  const pool_t *last = sched->last_burst;

  return !pool->bursts && last && last != pool && pool->after == last
         && !last->bursts && now_us - last->over_us < EXPECT_US;
}

/* Pools ask for much by turns, so one that has had its turn rests: it gives up
   its idle hosts until the pool that came before it last time begins its burst
   again, or its own tasks ask for hosts.  */
static void
begin_burst (sched_t *sched, pool_t *pool)
{
  GHashTableIter iter;
  gpointer value;

  pool->bursts = true;
  pool->rests = false;
  pool->peak = 0;
  pool->after = sched->last_burst;
  sched->last_burst = pool;
  g_hash_table_iter_init (&iter, sched->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((pool_t *)value)->after == pool)
      ((pool_t *)value)->rests = false;
}

void
demand_note_burst (sched_t *sched, const load_t *load, sched_now_t now)
{
  pool_t *pool = load->pool;
  double asked
      = (pool->rate_slow + load->waits) * 100 / MAX (pool->base_hosts, 1);

  if (pool->base_hosts == 0)
    return;
  if (!pool->bursts && asked >= BURST_PERCENT)
    begin_burst (sched, pool);
  if (pool->bursts)
    pool->peak = MAX (pool->peak, load->runs - load->long_running);
  if (!pool->bursts || asked > CALM_PERCENT)
    {
      pool->calm_us = 0;
      return;
    }
  if (pool->calm_us == 0)
    pool->calm_us = now.us;
  if (now.us - pool->calm_us < BURST_OVER_US)
    return;
  pool->bursts = false;
  pool->rests = true;
  pool->over_us = now.us;
}

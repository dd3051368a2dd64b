#include "hosts.h"
#include "schedint.h"
#include <math.h>

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
/* A pool is short for so long before it gets hosts.  A burst lasts some
   seconds, and a host needs one and a half to move.  */
#define SHORT_US 80000
/* A pool has hosts to spare for so long before they leave it: a move and the
   way back cost as much as two seconds of a host.  */
#define SURPLUS_US 1300000
/* A pool keeps this part of its hosts when others are short.  */
#define KEEP_PERCENT 60
/* Free hosts that a pool keeps beyond its need.  */
#define MARGIN_HOSTS 2.0
/* Moves under way at a time, in hosts and as a part of all hosts; the larger
   counts.  */
#define MOVES_MIN 20
#define MOVES_PERCENT 30

/* A burst has begun when tasks that end ask for this part of a pool's first
   size, and is over when they have asked for less than the lower part for
   BURST_OVER_US.  */
#define BURST_PERCENT 50
#define CALM_PERCENT 25
#define BURST_OVER_US 1000000
/* Hosts that leave a resting pool at a time: each plan sees the effect of the
   one before.  */
#define REST_MOVES 4

/* What a pool has and needs, in hosts.  */
typedef struct load
{
  pool_t *pool;
  uint32_t listed;  /* hosts that belong to it, in whatever state */
  double lasts;     /* that its lasting tasks keep busy */
  double runs;      /* that all its tasks keep busy */
  double waits;     /* that its waiting tasks would, to be done in time */
  uint32_t have;    /* in use */
  uint32_t coming;  /* on their way */
  uint32_t leaving; /* being emptied for a move */
} load_t;

static double
part_of (const amounts_t *used, const amounts_t *room)
{
  double cpu = (double)used->cpu_milli / (double)MAX (room->cpu_milli, 1);
  double mem = (double)used->mem_mib / (double)MAX (room->mem_mib, 1);
  double accels
      = room->accels > 0 ? (double)used->accels / (double)room->accels : 0;

  return MAX (cpu, MAX (mem, accels));
}

static const char *
standby_pool (const sched_t *sched)
{
  for (uint32_t i = 0; sched->rules && i < sched->rules->services->len; i++)
    {
      const rules_service_t *service
          = &g_array_index (sched->rules->services, rules_service_t, i);

      if (service->standby)
        return service->name;
    }
  return NULL;
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

      if (!spec->lasts && cap_allows (stage->job, &spec->need)
          && !stage_is_hopeless (stage, now_us))
        sum += stage->waiting * part_of (&spec->need, room)
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

      if (run->task->stage->spec->lasts)
        part += part_of (&run->holds, &worker->room);
    }
  return part;
}

void
moves_note_job (const sjob_t *job)
{
  const job_desc_t *desc = job->desc;
  pool_t *pool = job->pool;

  if (desc->repeats > 0 || job->over || pool->host_room.cpu_milli == 0)
    return;
  for (uint32_t i = 0; i < desc->steps_count; i++)
    {
      const job_step_t *step = &desc->steps[i];

      if (!step->lasts && !step->fills && cap_allows (job, &step->need))
        pool->arrived_ms += step->count
                            * part_of (&step->need, &pool->host_room)
                            * MAX (step->estimate_ms, 1);
    }
}

static void
update_rates (pool_t *pool, int64_t now_us)
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
static double
forecast (const pool_t *pool)
{
  double slope = (pool->rate_fast - pool->rate_slow) / (SLOW_US - FAST_US);

  return CLAMP (pool->rate_fast + slope * AHEAD_US, 0,
                pool->rate_fast * AHEAD_TIMES);
}

static load_t
load_of (const sched_t *sched, pool_t *pool, int64_t now_us)
{
  load_t load = { .pool = pool };
  amounts_t room = { .cpu_milli = 1, .mem_mib = 1 };
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
      load.runs += part_of (&worker->used, &worker->room);
      load.lasts += lasting_part (worker);
      room = worker->room;
    }
  pool->host_room = room;
  load.waits = waiting_ms (pool, &room, now_us) / DRAIN_MS;
  g_hash_table_iter_init (&iter, sched->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const host_t *host = value;

      load.coming
          += host->move_to == pool->name && (host->down || host->cordoned);
      load.leaving += host->move_to && host->pool == pool->name
                      && host->cordoned && !host->down;
      load.listed
          += host->listed && host->pool == pool->name && !host->move_to;
    }
  return load;
}

static double
need_of (const load_t *load)
{
  double ahead = load->lasts + forecast (load->pool);

  return MAX (load->runs, ahead) + load->waits;
}

/* Hosts that LOAD's pool can do without for now.  */
static double
surplus_of (const load_t *load)
{
  return (double)load->have - need_of (load) - MARGIN_HOSTS;
}

/* A host of POOL that can go: the one with least work, and none of it
   lasting.  */
static host_t *
idlest_host (const sched_t *sched, const char *pool)
{
  GHashTableIter iter;
  gpointer value;
  host_t *best = NULL;
  double best_part = HUGE_VAL;

  g_hash_table_iter_init (&iter, sched->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      host_t *host = value;
      const worker_t *worker;
      double part = 0;

      if (!host->listed || host->pool != pool || host->state != HOST_SEEN_UP
          || host->cordoned || host->down || host->out)
        continue;
      worker = g_hash_table_lookup (sched->workers, host->worker);
      if (host->worker[0] != '\0' && !worker)
        continue; /* not known well enough */
      if (worker && (worker_has_lasting (worker) || !worker->listed))
        continue;
      if (worker)
        part = part_of (&worker->used, &worker->room);
      if (part >= best_part)
        continue;
      best = host;
      best_part = part;
    }
  return best;
}

static uint32_t
moves_under_way (const sched_t *sched)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t count = 0;

  g_hash_table_iter_init (&iter, sched->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += ((const host_t *)value)->move_to != NULL;
  return count;
}

static uint32_t
moves_most (const sched_t *sched)
{
  return MAX (g_hash_table_size (sched->hosts) * MOVES_PERCENT / 100,
              MOVES_MIN);
}

static void
begin_move (sched_t *sched, host_t *host, const char *to, sched_now_t now)
{
  sched->moves_begun++;
  host->move_to = to;
  host_cordon (sched, host, now.us);
}

/* The pool that can best give a host to another: the one with most to spare
   for its size.  */
static load_t *
giver (const GArray *loads, const pool_t *taker)
{
  load_t *best = NULL;
  double best_surplus = 0;

  for (uint32_t i = 0; i < loads->len; i++)
    {
      load_t *load = &g_array_index (loads, load_t, i);
      uint32_t keep = load->pool->base_hosts * KEEP_PERCENT / 100;
      double surplus = surplus_of (load);

      if (load->pool == taker || load->waits > 0 || load->have <= keep
          || surplus <= best_surplus)
        continue;
      best = load;
      best_surplus = surplus;
    }
  return best;
}

/* Gets hosts for LOAD's pool, which is short.  */
static void
help (sched_t *sched, load_t *load, const GArray *loads, sched_now_t now)
{
  const char *standby = standby_pool (sched);
  uint32_t under_way = moves_under_way (sched);
  uint32_t most = moves_most (sched);
  double missing = need_of (load) - (double)load->have - (double)load->coming;

  while (missing > 0 && under_way < most)
    {
      host_t *host = standby ? idlest_host (sched, standby) : NULL;
      load_t *from = host ? NULL : giver (loads, load->pool);

      if (from)
        {
          host = idlest_host (sched, from->pool->name);
          from->have--;
        }
      if (!host)
        return;
      begin_move (sched, host, load->pool->name, now);
      load->coming++;
      missing--;
      under_way++;
    }
}

/* Sends hosts that LOAD's pool has not needed for a while to the standby
   pool, where they cost nothing.  */
static void
give_back (sched_t *sched, load_t *load, sched_now_t now)
{
  const char *standby = standby_pool (sched);
  pool_t *pool = load->pool;
  uint32_t keep = pool->rests ? 0 : pool->base_hosts;

  if (!standby || standby == pool->name || load->have <= keep
      || surplus_of (load) < 1 || load->coming > 0)
    {
      pool->surplus_us = 0;
      return;
    }
  if (pool->surplus_us == 0)
    pool->surplus_us = now.us;
  if (now.us - pool->surplus_us < SURPLUS_US)
    return;
  for (uint32_t i = 0;
       i < REST_MOVES && load->have > keep && surplus_of (load) >= 1; i++)
    {
      host_t *host = idlest_host (sched, pool->name);

      if (!host)
        return;
      begin_move (sched, host, standby, now);
      load->have--;
    }
}

/* Brings LOAD's pool back to its first size, for the burst that is
   expected.  */
static void
refill (sched_t *sched, load_t *load, sched_now_t now)
{
  const char *standby = standby_pool (sched);
  uint32_t under_way = moves_under_way (sched);
  uint32_t most = moves_most (sched);

  if (!standby || standby == load->pool->name || load->pool->rests)
    return;
  while (load->listed + load->coming < load->pool->base_hosts
         && under_way++ < most)
    {
      host_t *host = idlest_host (sched, standby);

      if (!host)
        return;
      begin_move (sched, host, load->pool->name, now);
      load->coming++;
    }
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
  pool->after = sched->last_burst;
  sched->last_burst = pool;
  g_hash_table_iter_init (&iter, sched->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((pool_t *)value)->after == pool)
      ((pool_t *)value)->rests = false;
}

static void
note_burst (sched_t *sched, const load_t *load, sched_now_t now)
{
  pool_t *pool = load->pool;
  double asked
      = (pool->rate_slow + load->waits) * 100 / MAX (pool->base_hosts, 1);

  if (pool->base_hosts == 0)
    return;
  if (!pool->bursts && asked >= BURST_PERCENT)
    begin_burst (sched, pool);
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
}

void
hosts_set_base (sched_t *sched, const char *pool, uint32_t count)
{
  sched_pool (sched, pool)->base_hosts = count;
}

void
moves_note_sizes (sched_t *sched)
{
  GHashTableIter iter;
  gpointer value;
  g_autoptr (GHashTable) counts = g_hash_table_new (NULL, NULL);

  g_hash_table_iter_init (&iter, sched->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const host_t *host = value;
      gpointer pool = (gpointer)host->pool;
      uint32_t count = GPOINTER_TO_UINT (g_hash_table_lookup (counts, pool));

      if (host->listed)
        g_hash_table_insert (counts, pool, GUINT_TO_POINTER (count + 1));
    }
  g_hash_table_iter_init (&iter, sched->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      pool_t *pool = value;
      uint32_t count
          = GPOINTER_TO_UINT (g_hash_table_lookup (counts, pool->name));

      /* What an earlier owner sent to rest stays at rest.  */
      if (sched->hosts_first && count < pool->base_hosts)
        pool->rests = true;
      if (pool->base_hosts > 0 || count == 0)
        continue;
      pool->base_hosts = count;
      fleet_news_add (sched, NEWS_POOL_BASE, count, pool->name);
    }
}

static bool
is_short (load_t *load, sched_now_t now)
{
  pool_t *pool = load->pool;

  if (need_of (load) <= (double)load->have + (double)load->coming)
    {
      pool->short_us = 0;
      return false;
    }
  if (pool->short_us == 0)
    pool->short_us = now.us;
  return now.us - pool->short_us >= SHORT_US;
}

static void
log_sized (const load_t *load, uint32_t moves)
{
  event_log (EV_POOL_SIZED,
             "pool=%s moves=%u have=%u coming=%u base=%u runs=%.1f lasts=%.1f "
             "waits=%.1f ahead=%.1f rests=%d",
             load->pool->name, moves, load->have, load->coming,
             load->pool->base_hosts, load->runs, load->lasts, load->waits,
             forecast (load->pool), load->pool->rests);
}

void
moves_plan (sched_t *sched, sched_now_t now)
{
  g_autoptr (GArray) loads = g_array_new (FALSE, FALSE, sizeof (load_t));
  GHashTableIter iter;
  gpointer pool;

  g_hash_table_iter_init (&iter, sched->pools);
  while (g_hash_table_iter_next (&iter, NULL, &pool))
    {
      load_t load;

      update_rates (pool, now.us);
      load = load_of (sched, pool, now.us);
      g_array_append_val (loads, load);
    }
  for (uint32_t i = 0; i < loads->len; i++)
    {
      load_t *load = &g_array_index (loads, load_t, i);
      uint32_t before = sched->moves_begun;

      note_burst (sched, load, now);
      if (is_short (load, now))
        help (sched, load, loads, now);
      else
        give_back (sched, load, now);
      refill (sched, load, now);
      if (sched->moves_begun != before)
        log_sized (load, sched->moves_begun - before);
    }
}

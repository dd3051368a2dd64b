#include "hosts.h"
#include "schedint.h"
#include <math.h>

/* How long a pool has to be short of hosts before it gets some.  A burst lasts
   a few seconds, and a move takes 1.5 s.  */
#define SHORT_DELAY_US 80000
/* How long a pool has to have surplus hosts before they leave it: a move and
   the move back cost about 2 s of a host.  */
#define SURPLUS_DELAY_US 1300000
/* A pool gives no hosts to others below this part of its base size, or below
   the second one while work waits in the other pool.  */
#define DONOR_KEEP_PERCENT 60
#define DONOR_KEEP_WAITING_PERCENT 25
/* Hosts that a pool keeps beyond its need.  */
#define SPARE_HOSTS 2.0
/* The limit on concurrent moves: this number, or this part of all hosts if
   that is more.  */
#define MOVES_MIN 20
#define MOVES_PERCENT 50

/* Added to the load of a host that a wave will take down.  In a move it can't
   be, and what starts there afterwards delays it further: the last host of a
   wave was often one that had just been moved.  */
#define MAINTENANCE_DUE_LOAD 0.5

/* Surplus hosts that leave a pool in one plan.  The next plan takes their
   leaving into account.  */
#define RELEASE_BATCH_HOSTS 4

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

/* Hosts that DEMAND's pool does not need.  */
static double
surplus_hosts (const pool_demand_t *demand)
{
  if (demand->unplaced > 0)
    return 0;
  return (double)demand->usable - demand_hosts_needed (demand) - SPARE_HOSTS;
}

/* Hosts that DEMAND's pool lacks, without those that are on their way.  */
static double
missing_hosts (const pool_demand_t *demand)
{
  double missing = demand_hosts_needed (demand) - (double)demand->usable;

  return MAX (missing, (double)demand->unplaced) - (double)demand->incoming;
}

/* The host of POOL that is cheapest to drain: the one with the smallest load,
   among those without long-running tasks.  */
static host_t *
least_loaded_host (const sched_t *sched, const char *pool)
{
  GHashTableIter iter;
  gpointer value;
  host_t *best = NULL;
  double best_share = HUGE_VAL;

  g_hash_table_iter_init (&iter, sched->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      host_t *host = value;
      const worker_t *worker;
      double share = 0;

      if (!host->listed || host->pool != pool || host->state != HOST_STATUS_UP
          || host->cordoned || host->order.state != HOST_ORDER_NONE
          || host_is_evacuated (host))
        continue;
      worker = g_hash_table_lookup (sched->workers, host->worker);
      if (host->worker[0] != '\0' && !worker)
        continue; /* its load is unknown */
      if (worker && (worker_has_long_running (worker) || !worker->listed))
        continue;
      if (worker)
        share = dominant_share (&worker->allocated, &worker->capacity);
      if (host->maintenance_due)
        share += MAINTENANCE_DUE_LOAD;
      if (share >= best_share)
        continue;
      best = host;
      best_share = share;
    }
  return best;
}

static uint32_t
count_moves (const sched_t *sched)
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
max_moves (const sched_t *sched)
{
  return MAX (g_hash_table_size (sched->hosts) * MOVES_PERCENT / 100,
              MOVES_MIN);
}

static void
start_move (sched_t *sched, host_t *host, const char *to, sched_now_t now)
{
  sched->moves_started++;
  host->move_to = to;
  host_cordon (sched, host, now.us);
}

/* The pool that gives a host to RECIPIENT: the one with the largest surplus.
 */
static pool_demand_t *
find_donor (const GArray *demands, const pool_demand_t *recipient)
{
  uint32_t keep_percent = recipient->backlog > 0 ? DONOR_KEEP_WAITING_PERCENT
                                                 : DONOR_KEEP_PERCENT;
  pool_demand_t *best = NULL;
  double best_surplus = 0;

  for (uint32_t i = 0; i < demands->len; i++)
    {
      pool_demand_t *demand = &g_array_index (demands, pool_demand_t, i);
      uint32_t keep = demand->pool->base_hosts * keep_percent / 100;
      double surplus = surplus_hosts (demand);

      if (demand->pool == recipient->pool || demand->backlog > 0
          || demand->usable <= keep || surplus <= best_surplus)
        continue;
      best = demand;
      best_surplus = surplus;
    }
  return best;
}

/* Moves hosts to DEMAND's pool, which is short of them: first from the standby
   pool, then from the pools with the largest surplus.  */
static void
add_hosts (sched_t *sched, pool_demand_t *demand, const GArray *demands,
           sched_now_t now)
{
  const char *standby = standby_pool (sched);
  uint32_t moves = count_moves (sched);
  uint32_t limit = max_moves (sched);
  double missing = missing_hosts (demand);

  while (missing > 0 && moves < limit)
    {
      host_t *host = standby ? least_loaded_host (sched, standby) : NULL;
      pool_demand_t *donor = host ? NULL : find_donor (demands, demand);

      if (donor)
        {
          host = least_loaded_host (sched, donor->pool->name);
          donor->usable--;
        }
      if (!host)
        return;
      start_move (sched, host, demand->pool->name, now);
      demand->incoming++;
      missing--;
      moves++;
    }
}

/* The number of hosts that DEMAND's pool keeps even when it does not need
   them.  */
static uint32_t
min_hosts (const sched_t *sched, const pool_demand_t *demand, int64_t now_us)
{
  const pool_t *pool = demand->pool;
  uint32_t keep = pool->scaled_down ? 0 : pool->base_hosts;

  if (demand_expects_burst (sched, pool, now_us))
    keep = MAX (keep, (uint32_t)(demand->long_running + pool->burst_peak));
  return keep;
}

/* Moves hosts that DEMAND's pool has not needed for a while to the standby
   pool, where they are switched off.  */
static void
release_surplus (sched_t *sched, pool_demand_t *demand, sched_now_t now)
{
  const char *standby = standby_pool (sched);
  pool_t *pool = demand->pool;
  uint32_t keep = min_hosts (sched, demand, now.us);

  if (!standby || standby == pool->name || demand->usable <= keep
      || surplus_hosts (demand) < 1 || demand->incoming > 0)
    {
      pool->surplus_since_us = 0;
      return;
    }
  if (pool->surplus_since_us == 0)
    pool->surplus_since_us = now.us;
  if (now.us - pool->surplus_since_us < SURPLUS_DELAY_US)
    return;
  for (uint32_t i = 0; i < RELEASE_BATCH_HOSTS && demand->usable > keep
                       && surplus_hosts (demand) >= 1;
       i++)
    {
      host_t *host = least_loaded_host (sched, pool->name);

      if (!host)
        return;
      start_move (sched, host, standby, now);
      demand->usable--;
    }
}

/* Brings DEMAND's pool back to its base size, or to the size of its last burst
   when the next burst is expected there.  */
static void
restore_base_size (sched_t *sched, pool_demand_t *demand, sched_now_t now)
{
  const char *standby = standby_pool (sched);
  uint32_t moves = count_moves (sched);
  uint32_t limit = max_moves (sched);
  uint32_t keep = min_hosts (sched, demand, now.us);

  if (!standby || standby == demand->pool->name || demand->pool->scaled_down)
    return;
  while (demand->listed + demand->incoming < keep && moves++ < limit)
    {
      host_t *host = least_loaded_host (sched, standby);

      if (!host)
        return;
      start_move (sched, host, demand->pool->name, now);
      demand->incoming++;
    }
}

void
hosts_set_base_size (sched_t *sched, const char *pool, uint32_t count)
{
  sched_pool (sched, pool)->base_hosts = count;
}

void
moves_record_base_sizes (sched_t *sched)
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

      /* A pool that an earlier owner scaled down stays so.  */
      if (sched->first_hosts_list && count < pool->base_hosts)
        pool->scaled_down = true;
      if (pool->base_hosts > 0 || count == 0)
        continue;
      pool->base_hosts = count;
      fleet_update_add (sched, FLEET_UPDATE_POOL_BASE, count, pool->name);
    }
}

static bool
is_short (pool_demand_t *demand, sched_now_t now)
{
  pool_t *pool = demand->pool;

  if (missing_hosts (demand) <= 0)
    {
      pool->short_since_us = 0;
      return false;
    }
  if (pool->short_since_us == 0)
    pool->short_since_us = now.us;
  return now.us - pool->short_since_us >= SHORT_DELAY_US;
}

static void
log_pool_size (const pool_demand_t *demand, uint32_t moves)
{
  event_log (EV_POOL_SIZED,
             "pool=%s moves=%u have=%u coming=%u base=%u runs=%.1f lasts=%.1f "
             "waits=%.1f ahead=%.1f unplaced=%u rests=%d",
             demand->pool->name, moves, demand->usable, demand->incoming,
             demand->pool->base_hosts, demand->busy, demand->long_running,
             demand->backlog, demand_forecast (demand->pool), demand->unplaced,
             demand->pool->scaled_down);
}

void
moves_plan (sched_t *sched, sched_now_t now)
{
  g_autoptr (GArray) demands
      = g_array_new (FALSE, FALSE, sizeof (pool_demand_t));
  GHashTableIter iter;
  gpointer pool;

  g_hash_table_iter_init (&iter, sched->pools);
  while (g_hash_table_iter_next (&iter, NULL, &pool))
    {
      pool_demand_t demand;

      demand_update (pool, now.us);
      demand = demand_measure (sched, pool, now.us);
      g_array_append_val (demands, demand);
    }
  for (uint32_t i = 0; i < demands->len; i++)
    {
      pool_demand_t *demand = &g_array_index (demands, pool_demand_t, i);
      uint32_t before = sched->moves_started;

      demand_update_burst (sched, demand, now);
      if (is_short (demand, now))
        add_hosts (sched, demand, demands, now);
      else
        release_surplus (sched, demand, now);
      restore_base_size (sched, demand, now);
      if (sched->moves_started != before)
        log_pool_size (demand, sched->moves_started - before);
    }
}

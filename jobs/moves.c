#include "hosts.h"
#include "schedint.h"
#include <math.h>

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
#define MOVES_PERCENT 50

/* Hosts that leave a resting pool at a time: each plan sees the effect of the
   one before.  */
#define REST_MOVES 4
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

/* Hosts that LOAD's pool can do without for now.  */
static double
surplus_of (const load_t *load)
{
  return (double)load->have - demand_need (load) - MARGIN_HOSTS;
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

      if (!host->listed || host->pool != pool || host->state != HOST_STATUS_UP
          || host->cordoned || host->down || host->out)
        continue;
      worker = g_hash_table_lookup (sched->workers, host->worker);
      if (host->worker[0] != '\0' && !worker)
        continue; /* not known well enough */
      if (worker && (worker_has_long_running (worker) || !worker->listed))
        continue;
      if (worker)
        part = part_of (&worker->allocated, &worker->capacity);
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
  double missing
      = demand_need (load) - (double)load->have - (double)load->coming;

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

/* Hosts that LOAD's pool has even if it does not need them now.  */
static uint32_t
hosts_to_keep (const sched_t *sched, const load_t *load, int64_t now_us)
{
  const pool_t *pool = load->pool;
  uint32_t keep = pool->rests ? 0 : pool->base_hosts;

  if (demand_expects_burst (sched, pool, now_us))
    keep = MAX (keep, (uint32_t)(load->long_running + pool->peak));
  return keep;
}

/* Sends hosts that LOAD's pool has not needed for a while to the standby
   pool, where they cost nothing.  */
static void
give_back (sched_t *sched, load_t *load, sched_now_t now)
{
  const char *standby = standby_pool (sched);
  pool_t *pool = load->pool;
  uint32_t keep = hosts_to_keep (sched, load, now.us);

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

/* Brings LOAD's pool back to its first size, and to what its last burst took
   when its turn comes next.  */
static void
refill (sched_t *sched, load_t *load, sched_now_t now)
{
  const char *standby = standby_pool (sched);
  uint32_t under_way = moves_under_way (sched);
  uint32_t most = moves_most (sched);
  uint32_t keep = hosts_to_keep (sched, load, now.us);

  if (!standby || standby == load->pool->name || load->pool->rests)
    return;
  while (load->listed + load->coming < keep && under_way++ < most)
    {
      host_t *host = idlest_host (sched, standby);

      if (!host)
        return;
      begin_move (sched, host, load->pool->name, now);
      load->coming++;
    }
}

void
hosts_set_base_size (sched_t *sched, const char *pool, uint32_t count)
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
      fleet_update_add (sched, FLEET_UPDATE_POOL_BASE, count, pool->name);
    }
}

static bool
is_short (load_t *load, sched_now_t now)
{
  pool_t *pool = load->pool;

  if (demand_need (load) <= (double)load->have + (double)load->coming)
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
             load->pool->base_hosts, load->runs, load->long_running,
             load->waits, demand_ahead (load->pool), load->pool->rests);
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

      demand_update (pool, now.us);
      load = demand_load (sched, pool, now.us);
      g_array_append_val (loads, load);
    }
  for (uint32_t i = 0; i < loads->len; i++)
    {
      load_t *load = &g_array_index (loads, load_t, i);
      uint32_t before = sched->moves_begun;

      demand_note_burst (sched, load, now);
      if (is_short (load, now))
        help (sched, load, loads, now);
      else
        give_back (sched, load, now);
      refill (sched, load, now);
      if (sched->moves_begun != before)
        log_sized (load, sched->moves_begun - before);
    }
}

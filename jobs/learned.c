#include "learned.h"
#include "schedint.h"
#include <math.h>

#define MILLI 1000

static uint32_t
to_milli (double value)
{
  return (uint32_t)CLAMP (rint (value * MILLI), 0, (double)UINT32_MAX);
}

/* NOW - AT_US, a monotonic time, as a time since 1970; 0 stays 0.  */
static int64_t
to_wall_ms (int64_t at_us, sched_now_t now)
{
  return at_us == 0 ? 0 : MAX (now.wall_ms - (now.us - at_us) / 1000, 0);
}

static summary_pool_t
summarize_pool (const pool_t *pool, sched_now_t now)
{
  return (summary_pool_t){
    .name = pool->name,
    .host_room = pool->host_room,
    .base_hosts = pool->base_hosts,
    .rate_fast_millihosts = to_milli (pool->rate_fast),
    .rate_slow_millihosts = to_milli (pool->rate_slow),
    .burst_peak_millihosts = to_milli (pool->burst_peak),
    .burst_ended_ms = to_wall_ms (pool->burst_ended_us, now),
    .in_burst = pool->in_burst,
    .scaled_down = pool->scaled_down,
    .burst_predecessor
    = pool->burst_predecessor ? pool->burst_predecessor->name : NULL,
  };
}

/* Whether the rates of POOL are not too old to be passed on.  A process that
   was suspended knows only older ones, and a summary says nothing about their
   age but its own time.  */
static bool
has_recent_rates (const pool_t *pool, sched_now_t now)
{
  return now.us - pool->rates_updated_us
         <= (int64_t)SUMMARY_RATES_AGE_MAX_MS * 1000;
}

/* Whether the rates of POOL are those that this owner started from.  */
static bool
has_inherited_rates (const sched_t *sched, const pool_t *pool)
{
  return sched->rates_inherited_us > 0
         && pool->rates_updated_us == sched->rates_inherited_us;
}

static bool
awaits_own_rates (const sched_t *sched, sched_now_t now)
{
  GHashTableIter iter;
  gpointer value;

  if (now.us - sched->rates_inherited_us
      > (int64_t)SUMMARY_RATES_AGE_MAX_MS * 1000)
    return false;
  g_hash_table_iter_init (&iter, sched->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (has_inherited_rates (sched, value))
      return true;
  return false;
}

summary_t *
sched_summarize (const sched_t *sched, sched_now_t now)
{
  summary_t *summary;
  GHashTableIter iter;
  gpointer value;

  if (awaits_own_rates (sched, now))
    return NULL;
  summary = summary_new (sched->epoch, now.wall_ms);
  if (sched->last_burst_pool)
    summary->last_burst_pool = sched->last_burst_pool->name;
  g_hash_table_iter_init (&iter, sched->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      summary_pool_t row = summarize_pool (value, now);

      if (has_inherited_rates (sched, value) || !has_recent_rates (value, now))
        row.rate_fast_millihosts = row.rate_slow_millihosts = 0;
      g_array_append_val (summary->pools, row);
    }
  return summary;
}

static void
apply_rates (sched_t *sched, pool_t *pool, const summary_pool_t *row,
             int64_t now_us)
{
  if (pool->rates_updated_us > 0
      || (row->rate_fast_millihosts == 0 && row->rate_slow_millihosts == 0))
    return;
  pool->rate_fast = (double)row->rate_fast_millihosts / MILLI;
  pool->rate_slow = (double)row->rate_slow_millihosts / MILLI;
  pool->rates_updated_us = now_us;
  sched->rates_inherited_us = now_us;
}

/* The capacity of a host is known from the first plan of hosts, 3 s after a
   take-over; until then jobs that arrive would not be counted, and the rates
   would fall.  */
static void
apply_host_room (pool_t *pool, const amounts_t *room)
{
  if (pool->host_room.cpu_milli == 0)
    pool->host_room = *room;
}

static void
apply_burst (sched_t *sched, pool_t *pool, const summary_t *summary,
             const summary_pool_t *row, int64_t now_us)
{
  pool->burst_peak = (double)row->burst_peak_millihosts / MILLI;
  pool->in_burst = row->in_burst;
  pool->scaled_down = row->scaled_down;
  if (row->burst_ended_ms > 0)
    pool->burst_ended_us
        = now_us
          - (MAX (summary->time_ms - row->burst_ended_ms, 0) + summary->age_ms)
                * 1000;
  if (row->burst_predecessor)
    pool->burst_predecessor = sched_pool (sched, row->burst_predecessor);
}

/* The base sizes have records of their own, which were read before.  One that
   is missing is written again.  */
static void
apply_base (sched_t *sched, pool_t *pool, uint32_t base_hosts)
{
  if (pool->base_hosts > 0 || base_hosts == 0)
    return;
  pool->base_hosts = base_hosts;
  fleet_update_add (sched, FLEET_UPDATE_POOL_BASE, base_hosts, pool->name);
}

void
sched_apply_summary (sched_t *sched, const summary_t *summary, sched_now_t now)
{
  bool takes_bursts
      = !sched->last_burst_pool && summary->last_burst_pool != NULL;

  for (uint32_t i = 0; i < summary->pools->len; i++)
    {
      const summary_pool_t *row
          = &g_array_index (summary->pools, summary_pool_t, i);
      pool_t *pool = sched_pool (sched, row->name);

      apply_host_room (pool, &row->host_room);
      apply_rates (sched, pool, row, now.us);
      apply_base (sched, pool, row->base_hosts);
      if (takes_bursts)
        apply_burst (sched, pool, summary, row, now.us);
    }
  if (!takes_bursts)
    return;
  sched->last_burst_pool = sched_pool (sched, summary->last_burst_pool);
  sched->bursts_inherited = true;
}

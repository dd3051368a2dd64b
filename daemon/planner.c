#include "planner.h"
#include <string.h>

/* One daemon plans all moves: two daemons that each choose a host for the same
   pool would move two hosts.  */
#define ACTOR_KEY "moves"
#define MILLI 1000

/* Number of pools that are assumed to burst at the same time (docs/design.md,
   2.8).  */
#define BURSTS_AT_ONCE 1

/* The burst is the peak of the last hour, recorded in intervals of six
   minutes.  */
#define PEAK_INTERVALS 10
#define PEAK_INTERVAL_US INT64_C (360000000)

typedef struct peak
{
  int64_t interval; /* number of the interval; old ones are ignored */
  uint32_t milli;
} peak_t;

typedef struct peaks
{
  peak_t ring[PEAK_INTERVALS];
} peaks_t;

struct planner
{
  const settings_t *settings;
  plan_t *plan;      /* live thread only */
  GHashTable *peaks; /* interned pool name to peaks_t; live thread only */
  pthread_mutex_t lock;
  plan_report_t *report; /* under the lock */
};

planner_t *
planner_new (const settings_t *settings)
{
  planner_t *planner = g_new0 (planner_t, 1);

  planner->settings = settings;
  planner->plan = plan_new ();
  planner->peaks = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  pthread_mutex_init (&planner->lock, NULL);
  planner->report = g_new0 (plan_report_t, 1);
  return planner;
}

void
plan_report_free (plan_report_t *report)
{
  g_free (report->pools);
  g_free (report);
}

void
planner_free (planner_t *planner)
{
  plan_report_free (planner->report);
  pthread_mutex_destroy (&planner->lock);
  g_hash_table_destroy (planner->peaks);
  plan_free (planner->plan);
  g_free (planner);
}

/* Records MILLI and returns the peak demand on POOL in the last hour, MILLI
   included.  */
static uint32_t
record_peak (planner_t *planner, const char *pool, uint32_t milli,
             int64_t now_us)
{
  peaks_t *peaks = g_hash_table_lookup (planner->peaks, pool);
  int64_t interval = now_us / PEAK_INTERVAL_US;
  uint32_t largest = 0;
  peak_t *now;

  if (!peaks)
    {
      peaks = g_new0 (peaks_t, 1);
      g_hash_table_insert (planner->peaks, (gpointer)pool, peaks);
    }
  now = &peaks->ring[interval % PEAK_INTERVALS];
  if (now->interval != interval)
    *now = (peak_t){ .interval = interval };
  now->milli = MAX (now->milli, milli);
  for (uint32_t i = 0; i < PEAK_INTERVALS; i++)
    if (peaks->ring[i].interval > interval - PEAK_INTERVALS)
      largest = MAX (largest, peaks->ring[i].milli);
  return largest;
}

static void
count_hosts (const state_t *state, plan_pool_t *pool)
{
  for (uint32_t i = 0; i < state->hosts.count; i++)
    {
      const host_state_t *host = table_at (&state->hosts, i);

      pool->hosts += host->pool == pool->load.pool;
      pool->in_service
          += host->pool == pool->load.pool && host->phase == HOST_IN_SERVICE;
      pool->home += host->home_pool == pool->load.pool;
    }
}

static void
measure_pool (planner_t *planner, const planner_input_t *in,
              const pool_t *rule, plan_pool_t *pool)
{
  uint64_t home_milli;
  uint32_t peak;

  demand_sum (in->demand, in->view, planner->settings->name, rule->name,
              in->now_us, &pool->load);
  pool->spare = rule->spare;
  count_hosts (in->view->state, pool);
  peak = record_peak (planner, pool->load.pool, pool->load.milli, in->now_us);
  home_milli = (uint64_t)pool->home * MILLI;
  pool->burst_milli = peak > home_milli ? peak - (uint32_t)home_milli : 0;
}

static plan_report_t *
make_report (planner_t *planner, const planner_input_t *in)
{
  const state_t *state = in->view->state;
  const fleet_t *fleet = state->config->fleet;
  pool_demand_t *demands = g_new0 (pool_demand_t, fleet->pools_count);
  plan_report_t *report = g_new0 (plan_report_t, 1);
  plan_input_t input = {
    .state = state,
    .watch = in->watch,
    .fresh = in->fresh,
    .now_us = in->now_us,
  };

  report->known = true;
  report->fresh = in->fresh;
  report->pools = g_new0 (plan_pool_t, fleet->pools_count);
  report->pools_count = fleet->pools_count;
  for (uint32_t i = 0; i < fleet->pools_count; i++)
    {
      plan_pool_t *pool = &report->pools[i];

      measure_pool (planner, in, &fleet->pools[i], pool);
      /* A pool with no host still needs one for its next request.  */
      demands[i] = (pool_demand_t){ pool->load.pool,
                                    MAX (pool->load.milli, pool->load.serves),
                                    pool->burst_milli };
    }
  plan_update (planner->plan, state, demands, fleet->pools_count, in->now_us);
  report->moves_count
      = plan_moves (planner->plan, &input, report->moves, PLAN_MOVES_MAX);
  report->buffer_hosts
      = plan_buffer_hosts (state, demands, fleet->pools_count, BURSTS_AT_ONCE);
  g_free (demands);
  return report;
}

static uint32_t
make_records (const planner_t *planner, const planner_input_t *in,
              const plan_report_t *report, rec_t *recs, uint32_t max)
{
  const char *self = planner->settings->name;
  uint32_t count = 0;

  if (!planner->settings->move_hosts || !report->actor
      || strcmp (report->actor, self) != 0)
    return 0;
  for (uint32_t i = 0; i < report->moves_count && count < max; i++)
    if (plan_move_record (in->view->state, &report->moves[i], self, in->now_ms,
                          &recs[count]))
      count++;
  return count;
}

uint32_t
planner_step (planner_t *planner, const planner_input_t *in, rec_t *recs,
              uint32_t max)
{
  plan_report_t *report = make_report (planner, in);
  plan_report_t *old;
  uint32_t count;

  if (in->entries_count > 0)
    report->actor
        = in->entries[wave_owner (ACTOR_KEY, in->entries, in->entries_count)];
  count = make_records (planner, in, report, recs, max);
  pthread_mutex_lock (&planner->lock);
  old = planner->report;
  planner->report = report;
  pthread_mutex_unlock (&planner->lock);
  plan_report_free (old);
  return count;
}

plan_report_t *
planner_report (planner_t *planner)
{
  plan_report_t *report;

  pthread_mutex_lock (&planner->lock);
  report = g_memdup2 (planner->report, sizeof *report);
  report->pools = g_memdup2 (planner->report->pools,
                             report->pools_count * sizeof *report->pools);
  pthread_mutex_unlock (&planner->lock);
  return report;
}

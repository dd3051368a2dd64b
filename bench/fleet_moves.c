#include "fleet_bench.h"

#define HOSTS_MAX 2000
#define POOLS_MAX 32
#define MILLI 1000

/* Mean demand is a quarter of a pool's hosts.  A burst is five times the mean;
   while other pools burst, demand falls to a twentieth of it.  */
#define MEAN_DIVISOR 4
#define BURST_FACTOR 5
#define LOW_DIVISOR 20
#define BURST_MIN_S 20
#define BURST_SPREAD_S 20
#define PAUSE_S 10

typedef struct sim
{
  const bench_case_t *c;
  state_t *state;
  plan_t *plan;
  pool_demand_t demands[POOLS_MAX];
  char names[POOLS_MAX][8];
  uint32_t first_bursting; /* first pool of the current burst */
  int64_t burst_end_s;     /* followed by a pause and the next burst */
  int64_t drain_end_s[HOSTS_MAX];
  host_move_t moves[HOSTS_MAX];
  uint64_t seed;
  int64_t now_s;
  uint32_t moves_made;
  double demanded;
  double unserved;
} sim_t;

static uint32_t
pool_milli (const sim_t *sim)
{
  return sim->c->fleet.hosts / sim->c->fleet.pools * MILLI;
}

static bool
is_bursting (const sim_t *sim, uint32_t pool)
{
  uint32_t regular_pools = sim->c->fleet.pools - 1;
  uint32_t at
      = (pool - 1 + regular_pools - sim->first_bursting % regular_pools)
        % regular_pools;

  return sim->now_s < sim->burst_end_s && at < sim->c->bursts;
}

static void
set_demand (sim_t *sim)
{
  uint32_t mean = pool_milli (sim) / MEAN_DIVISOR;

  if (sim->now_s >= sim->burst_end_s + PAUSE_S)
    {
      sim->first_bursting += sim->c->bursts;
      sim->burst_end_s = sim->now_s + BURST_MIN_S
                         + fixture_random_below (&sim->seed, BURST_SPREAD_S);
    }
  for (uint32_t i = 1; i < sim->c->fleet.pools; i++)
    sim->demands[i].current_milli = is_bursting (sim, i) ? mean * BURST_FACTOR
                                    : sim->now_s < sim->burst_end_s
                                        ? mean / LOW_DIVISOR
                                        : mean;
}

static uint32_t
count_hosts (const sim_t *sim, const char *pool)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < sim->state->hosts.count; i++)
    {
      const host_state_t *host = table_at (&sim->state->hosts, i);

      count
          += host->phase == HOST_IN_SERVICE && strcmp (host->pool, pool) == 0;
    }
  return count;
}

static void
add_first_fit (sim_t *sim, const host_state_t *host, const char *to,
               uint32_t *count)
{
  host_move_t *move = &sim->moves[(*count)++];

  memset (move, 0, sizeof *move);
  move->host = host->name;
  move->from = host->pool;
  move->to = to;
}

/* Baseline: as many hosts as a pool needs at this moment, the first ones by
   name, returned as soon as they are not needed.  */
static uint32_t
first_fit_moves (sim_t *sim)
{
  uint32_t count = 0;

  for (uint32_t p = 1; p < sim->c->fleet.pools; p++)
    {
      uint32_t available = count_hosts (sim, sim->names[p]);
      uint32_t needed = (sim->demands[p].current_milli + MILLI - 1) / MILLI;

      for (uint32_t i = 0; i < sim->state->hosts.count && available != needed;
           i++)
        {
          const host_state_t *host = table_at (&sim->state->hosts, i);
          bool spare = strcmp (host->pool, "p0") == 0;
          bool on_loan = strcmp (host->pool, sim->names[p]) == 0
                         && strcmp (host->home_pool, "p0") == 0;
          bool under_way = !host->wave
                           && (host->phase == HOST_DRAINING
                               || host->phase == HOST_DRAINED);

          if (spare && available < needed
              && (host->phase == HOST_IN_SERVICE || under_way))
            {
              add_first_fit (sim, host, sim->names[p], &count);
              available++;
            }
          else if (on_loan && available > needed
                   && host->phase == HOST_IN_SERVICE)
            {
              add_first_fit (sim, host, "p0", &count);
              available--;
            }
          else if (on_loan && under_way)
            add_first_fit (sim, host, "p0", &count);
        }
    }
  return count;
}

static void
apply_moves (sim_t *sim, uint32_t count)
{
  rec_t rec;

  for (uint32_t i = 0; i < count; i++)
    if (plan_move_record (sim->state, &sim->moves[i], "b", 0, &rec)
        && fixture_fold (sim->state, &rec) == VERDICT_APPLIED
        && rec.kind == REC_HOST_MOVE)
      sim->moves_made += strcmp (sim->moves[i].from, sim->moves[i].to) != 0;
  for (uint32_t i = 0; i < sim->state->hosts.count; i++)
    {
      const host_state_t *host = table_at (&sim->state->hosts, i);

      if (host->phase != HOST_DRAINING)
        sim->drain_end_s[i] = sim->now_s + WAVE_DRAIN_IDLE_US / SECOND;
      else if (sim->now_s >= sim->drain_end_s[i])
        fixture_host (sim->state, host->name, HOST_DRAINED);
    }
}

static void
step (sim_t *sim, bool planned)
{
  plan_input_t in
      = { .state = sim->state, .fresh = true, .now_us = sim->now_s * SECOND };
  uint32_t count;

  set_demand (sim);
  for (uint32_t p = 1; p < sim->c->fleet.pools; p++)
    {
      double needed = sim->demands[p].current_milli / (double)MILLI;
      double available = count_hosts (sim, sim->names[p]);

      sim->demanded += needed;
      sim->unserved += MAX (needed - available, 0);
    }
  plan_update (sim->plan, sim->state, sim->demands, sim->c->fleet.pools,
               in.now_us);
  count = planned ? plan_moves (sim->plan, &in, sim->moves, HOSTS_MAX)
                  : first_fit_moves (sim);
  apply_moves (sim, count);
  sim->now_s++;
}

/* Returns the idle hosts if each pool kept enough for its own burst and its
   own largest rack.  */
static uint32_t
fixed_buffer (const sim_t *sim)
{
  uint32_t sum = 0;

  for (uint32_t p = 1; p < sim->c->fleet.pools; p++)
    {
      g_autoptr (GHashTable) racks = g_hash_table_new (NULL, NULL);
      uint32_t largest = 0;

      for (uint32_t i = 0; i < sim->state->hosts.count; i++)
        {
          const host_state_t *host = table_at (&sim->state->hosts, i);
          uint32_t n;

          if (strcmp (host->pool, sim->names[p]) != 0)
            continue;
          n = GPOINTER_TO_UINT (g_hash_table_lookup (racks, host->rack)) + 1;
          g_hash_table_insert (racks, (gpointer)host->rack,
                               GUINT_TO_POINTER (n));
          largest = MAX (largest, n);
        }
      sum += largest + (sim->demands[p].burst_milli + MILLI - 1) / MILLI;
    }
  return sum;
}

/* Fails hosts of the spare pool until it holds no more than BUFFER.  */
static void
limit_spare (sim_t *sim, uint32_t buffer)
{
  uint32_t kept = 0;

  for (uint32_t i = 0; i < sim->state->hosts.count; i++)
    {
      const host_state_t *host = table_at (&sim->state->hosts, i);

      if (strcmp (host->pool, "p0") == 0 && kept++ >= buffer)
        fixture_host (sim->state, host->name, HOST_FAILED);
    }
}

moves_result_t
moves_run (const bench_case_t *c, bool planned, uint64_t seed)
{
  sim_t *sim = g_new0 (sim_t, 1);
  moves_result_t result;

  sim->c = c;
  sim->seed = seed;
  sim->state = state_new ();
  sim->plan = plan_new ();
  fixture_publish (sim->state, &c->fleet);
  for (uint32_t p = 0; p < c->fleet.pools; p++)
    {
      g_snprintf (sim->names[p], sizeof sim->names[p], "p%u", p);
      sim->demands[p].pool = sim->names[p];
      if (p > 0)
        sim->demands[p].burst_milli
            = pool_milli (sim) / MEAN_DIVISOR * BURST_FACTOR
              - pool_milli (sim);
    }
  result.buffer = plan_buffer_hosts (sim->state, sim->demands, c->fleet.pools,
                                     c->bursts);
  result.fixed_buffer = fixed_buffer (sim);
  limit_spare (sim, result.buffer);
  while (sim->now_s < c->seconds)
    step (sim, planned);
  result.moves = sim->moves_made;
  result.unserved = sim->unserved / sim->demanded;
  plan_free (sim->plan);
  state_free (sim->state);
  g_free (sim);
  return result;
}

#include "fleet_bench.h"

#define HOSTS_MAX 2000
#define RECORDS_MAX 2500
#define DAY_S 86400
#define STEPS_MAX 2000000

/* 31 of 1,900 hosts fail per day.  The simulated rate is a hundred times that,
   so that a wave of a few minutes meets failures.  */
#define FAILURES_PER_DAY 31
#define FAILURES_HOSTS 1900
#define FAILURES_FACTOR 100
#define REPAIR_S 600
#define RACK_FAILURE_S 100 /* the first rack fails, for REPAIR_S */

/* A simulated host and the times of its steps through drain, maintenance and
   repair.  */
typedef struct fake_host
{
  char name[8];
  int64_t drained_s;
  int64_t offline_s;
  int64_t online_s;
  int64_t out_since_s;
  int64_t repaired_s;
  host_phase_t phase;
} fake_host_t;

typedef struct sim
{
  const fixture_t *fleet;
  state_t *state;
  watch_t *watch;
  fake_host_t hosts[HOSTS_MAX];
  host_report_t reports[HOSTS_MAX];
  rec_t records[RECORDS_MAX];
  uint64_t seed;
  int64_t now_s;
  rollout_t result;
} sim_t;

static void
open_sim (sim_t *sim, const fixture_t *fleet, uint64_t seed)
{
  sim->fleet = fleet;
  sim->state = state_new ();
  sim->watch = watch_new ();
  sim->seed = seed;
  fixture_publish (sim->state, fleet);
  fixture_wave (sim->state, "all", WAVE_RUNNING);
  for (uint32_t i = 0; i < fleet->hosts; i++)
    g_snprintf (sim->hosts[i].name, sizeof sim->hosts[i].name, "h%04u", i);
}

static void
update_phase (sim_t *sim, fake_host_t *host, host_phase_t phase)
{
  if (host->phase == phase)
    return;
  if (host->phase == HOST_IN_SERVICE)
    host->out_since_s = sim->now_s;
  if (phase == HOST_IN_SERVICE && host->phase != HOST_FAILED)
    sim->result.hosts_out_s += sim->now_s - host->out_since_s;
  if (phase == HOST_DRAINING)
    host->drained_s = sim->now_s + 5 + fixture_random_below (&sim->seed, 30);
  if (phase == HOST_MAINTENANCE)
    {
      host->offline_s = sim->now_s + 3;
      host->online_s
          = host->offline_s + 120 + fixture_random_below (&sim->seed, 120);
    }
  host->phase = phase;
}

static void
fail_hosts (sim_t *sim)
{
  const uint32_t one_in
      = DAY_S * (FAILURES_HOSTS / FAILURES_PER_DAY) / FAILURES_FACTOR;

  for (uint32_t i = 0; i < sim->fleet->hosts; i++)
    if (fixture_random_below (&sim->seed, one_in) == 0
        || (sim->now_s == RACK_FAILURE_S && i < sim->fleet->per_rack))
      {
        sim->hosts[i].repaired_s = sim->now_s + REPAIR_S;
        sim->result.failures++;
      }
}

static uint32_t
report_hosts (sim_t *sim)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < sim->fleet->hosts; i++)
    {
      fake_host_t *host = &sim->hosts[i];

      update_phase (
          sim, host,
          ((const host_state_t *)table_at (&sim->state->hosts, i))->phase);
      if (sim->now_s < host->repaired_s
          || (sim->now_s >= host->offline_s && sim->now_s < host->online_s))
        continue;
      sim->reports[count++] = (host_report_t){
        .host = host->name,
        .verified = true,
        .load_known = true,
        .load = host->phase == HOST_IN_SERVICE ? 1 + i % 7
                : sim->now_s < host->drained_s ? 1
                                               : 0,
      };
    }
  return count;
}

/* Counts a drain that exceeded a budget, from the state and not from the
   decisions under test.  */
static void
check_drain (sim_t *sim, const char *name)
{
  const host_state_t *drained = table_find (&sim->state->hosts, name);
  uint32_t out = 0;
  uint32_t rack = 0;

  for (uint32_t i = 0; i < sim->state->hosts.count; i++)
    {
      const host_state_t *host = table_at (&sim->state->hosts, i);

      if (host->phase == HOST_IN_SERVICE || host->pool != drained->pool)
        continue;
      out++;
      rack += host->rack == drained->rack;
    }
  sim->result.drains++;
  if (out > sim->fleet->budget || rack > sim->fleet->rack_budget)
    sim->result.breaches++;
}

static void
step (sim_t *sim)
{
  static const char *const entries[] = { "e" };
  uint32_t count;
  wave_input_t in = { .state = sim->state,
                      .watch = sim->watch,
                      .self = "e",
                      .entries = entries,
                      .entries_count = 1,
                      .fresh = true,
                      .now_us = sim->now_s * SECOND };

  fail_hosts (sim);
  count = report_hosts (sim);
  watch_update (sim->watch, sim->state, sim->reports, count, in.now_us);
  count = wave_next (&in, sim->records, RECORDS_MAX);
  for (uint32_t i = 0; i < count; i++)
    {
      rec_t *rec = &sim->records[i];

      if (fixture_fold (sim->state, rec) == VERDICT_APPLIED
          && rec->kind == REC_DRAIN)
        check_drain (sim, rec->u.drain.host);
    }
  sim->now_s++;
}

rollout_t
rollout_run (const fixture_t *fleet, uint64_t seed)
{
  sim_t *sim = g_new0 (sim_t, 1);
  rollout_t result;

  open_sim (sim, fleet, seed);
  while (sim->now_s < STEPS_MAX && !sim->result.done)
    {
      const wave_state_t *wave = table_find (&sim->state->waves, "all");

      sim->result.done = wave->phase == WAVE_DONE;
      if (!sim->result.done)
        step (sim);
    }
  result = sim->result;
  result.seconds = sim->now_s;
  watch_free (sim->watch);
  state_free (sim->state);
  g_free (sim);
  return result;
}

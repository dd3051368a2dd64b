#include "fleet_bench.h"
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>

#define ROUNDS 21
#define HOSTS_MAX 2000
#define COMMANDS_MAX 16384
#define TARGET_JOBS 10000
#define TARGET_HOSTS 1900
#define BURST_TEAMS 82

typedef struct scale
{
  fixture_t fleet;
  state_t *state;
  watch_t *watch;
  plan_t *plan;
  host_report_t reports[HOSTS_MAX];
  char names[HOSTS_MAX][8];
  pool_demand_t demands[32];
  char pools[32][8];
} scale_t;

static rec_t records[HOSTS_MAX + 8];
static host_move_t moves[HOSTS_MAX];
static worker_command_t commands[COMMANDS_MAX];

static int
compare_times (const void *a, const void *b)
{
  int64_t left;
  int64_t right;

  memcpy (&left, a, sizeof left);
  memcpy (&right, b, sizeof right);
  return left < right ? -1 : left > right ? 1 : 0;
}

static void
open_scale (scale_t *s)
{
  s->state = state_new ();
  s->watch = watch_new ();
  s->plan = plan_new ();
  fixture_publish (s->state, &s->fleet);
  fixture_wave (s->state, "all", WAVE_RUNNING);
  for (uint32_t i = 0; i < s->fleet.hosts; i++)
    {
      g_snprintf (s->names[i], sizeof s->names[i], "h%04u", i);
      s->reports[i] = (host_report_t){ .host = s->names[i],
                                       .verified = true,
                                       .load_known = true,
                                       .load = i % 13 };
    }
  for (uint32_t p = 0; p < s->fleet.pools; p++)
    {
      g_snprintf (s->pools[p], sizeof s->pools[p], "p%u", p);
      s->demands[p].pool = s->pools[p];
      s->demands[p].current_milli
          = s->fleet.hosts / s->fleet.pools * (p % 3 == 1 ? 1200 : 300);
    }
}

/* Returns the median time of one round of all decisions about hosts: watch,
   wave and plan, with a wave over all hosts and a third of the pools short of
   hosts.  */
static int64_t
time_planning_us (scale_t *s)
{
  static const char *const entries[] = { "e" };
  int64_t times[ROUNDS];
  wave_input_t wave = { .state = s->state,
                        .watch = s->watch,
                        .self = "e",
                        .entries = entries,
                        .entries_count = 1,
                        .fresh = true };
  plan_input_t plan = { .state = s->state, .watch = s->watch, .fresh = true };

  for (uint32_t i = 0; i < ROUNDS; i++)
    {
      int64_t start_us = clock_mono_us ();

      wave.now_us = plan.now_us = (100 + i) * SECOND;
      watch_update (s->watch, s->state, s->reports, s->fleet.hosts,
                    wave.now_us);
      wave_next (&wave, records, HOSTS_MAX);
      plan_update (s->plan, s->state, s->demands, s->fleet.pools, wave.now_us);
      plan_moves (s->plan, &plan, moves, HOSTS_MAX);
      times[i] = clock_mono_us () - start_us;
    }
  qsort (times, ROUNDS, sizeof *times, compare_times);
  return times[ROUNDS / 2];
}

static int64_t
time_burst_us (uint32_t hosts, uint32_t jobs, uint32_t *started)
{
  char reason[PLACEMENT_REASON_BYTES];
  placement_t *placement = placement_new (0);
  int64_t start_us;
  uint32_t count;

  for (uint32_t i = 0; i < hosts; i++)
    {
      g_autofree char *name = g_strdup_printf ("h%04u", i);

      placement_set_worker (placement, name,
                            (resources_t){ 16000, 65536, i % 2 * 2 }, true);
    }
  for (uint32_t i = 0; i < BURST_TEAMS; i++)
    {
      g_autofree char *name = g_strdup_printf ("t%u", i);

      placement_set_team (placement, name, 1 + i % 5, 100000);
    }
  *started = 0;
  start_us = clock_mono_us ();
  for (uint32_t i = 0; i < jobs; i++)
    {
      char id[16];
      char team[8];
      job_spec_t spec = { .id = id, .team = team, .idempotent = true };

      g_snprintf (id, sizeof id, "j%u", i);
      g_snprintf (team, sizeof team, "t%u", i % BURST_TEAMS);
      spec.declared = (resources_t){ 1000 + i % 4 * 1000, 2048 + i % 3 * 4096,
                                     i % 9 == 0 };
      placement_submit (placement, &spec, reason);
    }
  while ((count = placement_next (placement, SECOND, commands, COMMANDS_MAX))
         > 0)
    *started += count;
  start_us = clock_mono_us () - start_us;
  placement_free (placement);
  return start_us;
}

void
scale_print (void)
{
  static const uint32_t sizes[] = { 50, 100, 200, 400, 800, 1900 };

  printf ("\nplanning, median of %d rounds; burst of jobs in proportion\n"
          "%8s %12s %12s %8s %12s %12s\n",
          ROUNDS, "workers", "plan us", "memory KB", "jobs", "started",
          "burst us");
  for (uint32_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      scale_t *s = g_new0 (scale_t, 1);
      uint32_t jobs = TARGET_JOBS * sizes[i] / TARGET_HOSTS;
      size_t before = mallinfo2 ().uordblks;
      size_t after;
      int64_t plan_us;
      int64_t burst_us;
      uint32_t started;

      s->fleet = (fixture_t){ .hosts = sizes[i],
                              .pools = sizes[i] < 400 ? 5 : 30,
                              .per_rack = 4,
                              .data_centres = 5,
                              .budget = sizes[i] < 400 ? 2 : 6,
                              .rack_budget = 1 };
      open_scale (s);
      plan_us = time_planning_us (s);
      after = mallinfo2 ().uordblks;
      burst_us = time_burst_us (sizes[i], jobs, &started);
      printf (
          "%8u %12" G_GINT64_FORMAT " %12zu %8u %12u %12" G_GINT64_FORMAT "\n",
          sizes[i], plan_us, (after - before) / 1024, jobs, started, burst_us);
      plan_free (s->plan);
      watch_free (s->watch);
      state_free (s->state);
      g_free (s);
    }
}

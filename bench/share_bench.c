/* share_bench - how closely the fair queue follows the teams' shares

   usage: share_bench [SEED]

   Five services burst in turn for 12 s each, to 2 or 5 times the capacity of
   their 80 slots, and otherwise receive a hundredth of that.  Measured over
   the last 10 s of each burst; deviations are relative to the team's
   entitlement, over windows in which all teams had requests waiting.  Figures
   that miss their target are marked.  */

#include "share_sim.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#define SERVICES 5
#define ROTATIONS 4
#define BURST_US (12 * SECOND_US)
#define DEADLINE_US (2 * SECOND_US)
#define QUEUE_TEAMS 82
#define QUEUE_ENTRIES 256
#define QUEUE_ROUNDS 2000000

static const double run_mean_us_by_service[SERVICES]
    = { 10000, 20000, 50000, 100000, 200000 };

static const char *const policy_names[]
    = { "fair queue", "first come first served", "fixed split" };

typedef struct mix
{
  const char *name;
  double run_factor[TEAMS];
} mix_t;

static const mix_t mixes[] = {
  { "all teams have equal run times", { 1, 1, 1, 1, 1, 1 } },
  { "run times of the teams differ by up to a factor of four",
    { 0.5, 1, 2, 0.7, 1, 1.4 } },
};

static double
entitlement (uint32_t team)
{
  double sum = 0;

  for (uint32_t i = 0; i < TEAMS; i++)
    sum += sim_shares[i];
  return sim_shares[team] / sum;
}

/* Sets the demand in slots to OVERLOAD times the capacity: half of it in
   proportion to the shares, half evenly, so that small teams exceed their
   shares the most.  */
static void
set_rates (load_t *load, double overload)
{
  for (uint32_t i = 0; i < TEAMS; i++)
    load->rate[i] = overload * SLOTS * (0.5 * entitlement (i) + 0.5 / TEAMS)
                    * SECOND_US / (load->run_mean_us * load->run_factor[i]);
}

static result_t
result_new (void)
{
  result_t result = { 0 };

  result.windows = g_array_new (FALSE, FALSE, sizeof (window_t));
  result.latency_us = g_array_new (FALSE, FALSE, sizeof (int64_t));
  return result;
}

static void
result_clear (result_t *result)
{
  g_array_free (result->windows, TRUE);
  g_array_free (result->latency_us, TRUE);
}

static result_t
run_rotation (policy_t policy, const mix_t *mix, double overload,
              uint32_t seed)
{
  result_t result = result_new ();

  for (uint32_t i = 0; i < SERVICES; i++)
    {
      load_t load = { .policy = policy,
                      .seed = seed + i,
                      .run_mean_us = run_mean_us_by_service[i],
                      .period_us = SERVICES * BURST_US,
                      .burst_us = i * BURST_US,
                      .burst_len_us = BURST_US,
                      .window_us = (i + 1) * BURST_US - WINDOW_US,
                      .deadline_us = DEADLINE_US,
                      .periods = ROTATIONS };

      for (uint32_t j = 0; j < TEAMS; j++)
        load.run_factor[j] = mix->run_factor[j];
      set_rates (&load, overload);
      sim_run (&load, &result);
    }
  return result;
}

/* Returns the run time of requests answered in time as a fraction of all slot
   time.  */
static double
goodput (const result_t *result)
{
  return result->goodput_us
         / ((double)result->windows->len * WINDOW_US * SLOTS);
}

static double
slot_utilisation (const result_t *result)
{
  double sum_us = 0;

  for (guint i = 0; i < result->windows->len; i++)
    for (uint32_t j = 0; j < TEAMS; j++)
      sum_us += g_array_index (result->windows, window_t, i).slot_us[j];
  return sum_us / ((double)result->windows->len * WINDOW_US * SLOTS);
}

static void
print_figure (const char *name, double value, const char *unit, bool met)
{
  printf ("    %-32s %9.2f %s%s\n", name, value, unit,
          met ? "" : "  <- misses target");
}

static void
print_deviations (const result_t *result)
{
  double largest = 0;
  double sum = 0;
  uint32_t backlogged_windows = 0;

  for (guint i = 0; i < result->windows->len; i++)
    {
      const window_t *w = &g_array_index (result->windows, window_t, i);

      backlogged_windows += w->all_backlogged;
      for (uint32_t j = 0; j < TEAMS && w->all_backlogged; j++)
        {
          double slots = w->slot_us[j] / WINDOW_US / SLOTS;
          double deviation = fabs (slots / entitlement (j) - 1);

          largest = MAX (largest, deviation);
          sum += deviation;
        }
    }
  printf ("    %-32s %6u of %u\n", "windows with all teams waiting",
          backlogged_windows, result->windows->len);
  if (backlogged_windows == 0)
    largest = NAN; /* not measured: the target counts as missed */
  print_figure ("largest deviation", 100 * largest, "% (target 2)",
                largest <= 0.02);
  print_figure ("mean deviation", 100 * sum / (backlogged_windows * TEAMS),
                "%", true);
}

static void
bench_shares (const mix_t *mix, uint32_t seed)
{
  static const double overloads[] = { 0.9, 1, 1.2, 2, 5 };

  printf ("%s\n", mix->name);
  for (policy_t policy = POLICY_FAIR; policy <= POLICY_SPLIT; policy++)
    {
      double peak = 0;

      for (size_t i = 0; i < G_N_ELEMENTS (overloads); i++)
        {
          result_t result = run_rotation (policy, mix, overloads[i], seed);
          double good = goodput (&result);

          peak = MAX (peak, good);
          if (overloads[i] >= 2)
            {
              printf ("  %s, overload %.0fx\n", policy_names[policy],
                      overloads[i]);
              print_deviations (&result);
              print_figure ("slot use", 100 * slot_utilisation (&result),
                            "% (target 98)",
                            slot_utilisation (&result) >= 0.98);
              print_figure ("goodput, fraction of the peak", 100 * good / peak,
                            "% (target 95)", good >= 0.95 * peak);
              print_figure ("late responses", (double)result.late,
                            "(target 0)", result.late == 0);
              print_figure ("rejected on arrival",
                            100.0 * (double)result.rejected_early
                                / (double)result.arrived,
                            "% of requests", true);
              print_figure ("expired while queued",
                            100.0 * (double)result.expired
                                / (double)result.arrived,
                            "% of requests", true);
            }
          result_clear (&result);
        }
    }
}

static int
compare_times (const void *a, const void *b)
{
  int64_t x = *(const int64_t *)a;
  int64_t y = *(const int64_t *)b;

  return (x > y) - (x < y);
}

/* Team 0 sends a tenth of its entitlement, alone or while team 5 sends five
   times the capacity.  */
static void
bench_light_team (uint32_t seed)
{
  printf ("light team beside an overloading team, 50 ms requests\n");
  for (int policy = -1; policy <= (int)POLICY_SPLIT; policy++)
    {
      load_t load = { .policy = policy < 0 ? POLICY_FAIR : (policy_t)policy,
                      .seed = seed,
                      .run_mean_us = 50000,
                      .run_factor = { 1, 1, 1, 1, 1, 1 },
                      .period_us = BURST_US,
                      .burst_len_us = BURST_US,
                      .window_us = BURST_US - WINDOW_US,
                      .deadline_us = DEADLINE_US,
                      .periods = 20 };
      result_t result = result_new ();
      double capacity = SLOTS * SECOND_US / load.run_mean_us;
      int64_t p99_us;
      guint p99;

      load.rate[0] = 0.1 * entitlement (0) * capacity;
      load.rate[5] = policy < 0 ? 0 : 5 * capacity;
      sim_run (&load, &result);
      g_array_sort (result.latency_us, compare_times);
      p99 = result.latency_us->len * 99 / 100;
      p99_us = g_array_index (result.latency_us, int64_t, p99);
      printf ("    p99 latency, %-24s %7.1f ms of %u responses\n",
              policy < 0 ? "alone" : policy_names[policy],
              (double)p99_us / 1000, result.latency_us->len);
      result_clear (&result);
    }
}

static bool
accept_any (void *ctx, queue_entry_t *entry)
{
  return true;
}

/* Measures one take, put and completion with QUEUE_TEAMS teams, all queues
   full and 80 requests running for 80 us each.  */
static void
bench_queue_ops (void)
{
  fair_queue_t *queue = queue_new (QUEUE_ENTRIES);
  queue_entry_t *entries
      = g_new0 (queue_entry_t, (gsize)QUEUE_TEAMS * QUEUE_ENTRIES);
  queue_team_t *running[SLOTS] = { NULL };
  int64_t start_us;

  for (uint32_t i = 0; i < QUEUE_TEAMS * QUEUE_ENTRIES; i++)
    {
      g_autofree char *name = g_strdup_printf ("team-%u", i % QUEUE_TEAMS);

      queue_put (queue, queue_team (queue, name, 1 + i % QUEUE_TEAMS),
                 &entries[i], i, INT64_MAX / 2 + i * 7919 % 10007);
    }
  start_us = clock_mono_us ();
  for (int64_t i = 0; i < QUEUE_ROUNDS; i++)
    {
      queue_entry_t *entry;

      if (running[i % SLOTS])
        queue_complete (queue, running[i % SLOTS], i - SLOTS, i);
      entry = queue_take (queue, i, accept_any, NULL);
      running[i % SLOTS] = entry->team;
      queue_put (queue, entry->team, entry, i,
                 INT64_MAX / 2 + i * 7919 % 10007);
    }
  printf ("82 teams, 256 entries each: take, put and complete %.0f ns (real "
          "time)\n",
          (double)(clock_mono_us () - start_us) * 1000 / QUEUE_ROUNDS);
  queue_free (queue);
  g_free (entries);
}

int
main (int argc, char **argv)
{
  uint32_t seed = argc > 1 ? (uint32_t)strtoul (argv[1], NULL, 10) : 1;

  printf ("seed %u\n", seed);
  for (size_t i = 0; i < G_N_ELEMENTS (mixes); i++)
    bench_shares (&mixes[i], seed);
  bench_light_team (seed);
  bench_queue_ops ();
  return EXIT_SUCCESS;
}

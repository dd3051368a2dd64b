/* fleet_bench - prints measurements of the fleet decisions and their baselines

   usage: fleet_bench [SEED [CASE]]

   CASE is 0 to 2; without it, all cases and the table by fleet size are
   printed.  */

#include "fleet_bench.h"
#include <stdio.h>
#include <stdlib.h>

#define SEED_DEFAULT 20261204

static const bench_case_t cases[] = {
  { .name = "50 workers of 16 cores and 64 GB",
    .fleet = { .hosts = 50,
               .pools = 5,
               .per_rack = 4,
               .data_centres = 3,
               .budget = 2,
               .rack_budget = 1,
               .cpu_milli = 16000,
               .mem_mib = 65536 },
    .teams = 6,
    .bursts = 1,
    .seconds = 3600 },
  { .name = "50 workers of 64 cores and 256 GB",
    .fleet = { .hosts = 50,
               .pools = 5,
               .per_rack = 4,
               .data_centres = 3,
               .budget = 2,
               .rack_budget = 1,
               .cpu_milli = 64000,
               .mem_mib = 262144 },
    .teams = 6,
    .bursts = 1,
    .seconds = 3600 },
  { .name = "1900 workers, 2100 accelerators, 30 pools",
    .fleet = { .hosts = 1900,
               .pools = 30,
               .per_rack = 4,
               .data_centres = 5,
               .budget = 6,
               .rack_budget = 1,
               .cpu_milli = 64000,
               .mem_mib = 262144 },
    .accels = 2100,
    .teams = 82,
    .bursts = 3,
    .seconds = 600,
    .sum_serial = true },
};

static void
print_rollout (const bench_case_t *c, uint64_t seed)
{
  fixture_t fleet = c->fleet;
  rollout_t result = rollout_run (&fleet, seed);
  int64_t serial_s = result.hosts_out_s;
  rollout_t serial_in_pool;

  if (!c->sum_serial)
    {
      fleet.at_once = 1;
      serial_s = rollout_run (&fleet, seed).seconds;
      fleet.at_once = 0;
    }
  printf ("roll-out       %" G_GINT64_FORMAT " s; one host at a time "
          "%" G_GINT64_FORMAT " s%s, ratio %.3f",
          result.seconds, serial_s, c->sum_serial ? " (summed)" : "",
          (double)result.seconds / (double)serial_s);
  if (!c->sum_serial)
    {
      fleet.budget = 1;
      serial_in_pool = rollout_run (&fleet, seed);
      printf ("; one at a time in each pool %" G_GINT64_FORMAT
              " s, ratio %.3f",
              serial_in_pool.seconds,
              (double)result.seconds / (double)serial_in_pool.seconds);
    }
  printf ("\n");
  printf ("budgets        %u drains, %u failures, %u breaches, wave %s\n",
          result.drains, result.failures, result.breaches,
          result.done ? "done" : "open");
}

static void
print_moves (const bench_case_t *c, uint64_t seed)
{
  bench_case_t variant = *c;
  moves_result_t plan;
  moves_result_t first;

  variant.fleet.spare_budget = variant.fleet.hosts / variant.fleet.pools;
  variant.fleet.budget = variant.fleet.spare_budget;
  variant.fleet.rack_budget = 0;
  plan = moves_run (&variant, true, seed);
  first = moves_run (&variant, false, seed);
  printf (
      "idle buffer    %u hosts; fixed spare for each pool %u, ratio %.3f\n",
      plan.buffer, plan.fixed_buffer, (double)plan.buffer / plan.fixed_buffer);
  printf ("moves          %u in %u s; first fit %u, ratio %.3f\n", plan.moves,
          c->seconds, first.moves,
          first.moves ? (double)plan.moves / first.moves : 0);
  printf (
      "demand unserved while hosts move  %.2f %%; first fit %.2f %%; fixed "
      "spare 0 %%\n",
      100 * plan.unserved, 100 * first.unserved);
}

static void
print_share (const bench_case_t *c, uint64_t seed)
{
  share_result_t fair = share_run (c, true, seed);
  share_result_t first = share_run (c, false, seed);

  printf ("deviation      mean %.2f, largest %.2f points, in use %.1f %%; "
          "first fit mean %.2f, largest %.2f, in use %.1f %%\n",
          fair.mean, fair.max, 100 * fair.utilisation, first.mean, first.max,
          100 * first.utilisation);
}

int
main (int argc, char **argv)
{
  uint64_t seed = argc > 1 ? strtoull (argv[1], NULL, 10) : SEED_DEFAULT;

  printf ("seed %" G_GUINT64_FORMAT "\n", seed);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      if (argc > 2 && strtoul (argv[2], NULL, 10) != i)
        continue;
      printf ("\n%s\n", cases[i].name);
      print_rollout (&cases[i], seed);
      print_moves (&cases[i], seed);
      print_share (&cases[i], seed);
      fflush (stdout);
    }
  if (argc <= 2)
    scale_print ();
  return EXIT_SUCCESS;
}

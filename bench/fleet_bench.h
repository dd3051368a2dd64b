/* fleet_bench - measurements of the fleet decisions in virtual time

   Each measurement steps the decisions over simulated hosts and jobs with a
   fixed seed and is printed beside its baselines.  */

#ifndef CUMINPIN_FLEET_BENCH_H
#define CUMINPIN_FLEET_BENCH_H

#include "fixture.h"

#define SECOND INT64_C (1000000)

/* A fleet and its load.  */
typedef struct bench_case
{
  const char *name;
  fixture_t fleet;
  uint32_t accels; /* total; the first workers have two each */
  uint32_t teams;
  uint32_t bursts;  /* pools that burst at the same time */
  uint32_t seconds; /* duration of the simulated demand */
  bool sum_serial;  /* sum up the serial baseline instead of simulating it */
} bench_case_t;

typedef struct rollout
{
  int64_t seconds;
  int64_t hosts_out_s; /* total time that single hosts were out of service */
  uint32_t drains;
  uint32_t failures;
  uint32_t breaches; /* drains that exceeded the budget of a pool or a rack */
  bool done;
} rollout_t;

/* rollout_run - simulates a wave over all hosts of FLEET and host failures. */
rollout_t rollout_run (const fixture_t *fleet, uint64_t seed);

typedef struct moves_result
{
  uint32_t buffer;       /* idle hosts in the spare pool */
  uint32_t fixed_buffer; /* idle hosts with a fixed reserve for each pool */
  uint32_t moves;
  double unserved; /* fraction of the demand beyond the hosts in service */
} moves_result_t;

/* moves_run - simulates bursts that move from pool to pool.  PLANNED: moves by
   plan_moves; otherwise the first host that fits, as soon as a pool is short,
   and back as soon as it is not.  */
moves_result_t moves_run (const bench_case_t *c, bool planned, uint64_t seed);

typedef struct share_result
{
  double mean; /* deviation from the share in percentage points, over teams and
                  time */
  double max;
  double utilisation; /* of the most used resource */
} share_result_t;

/* share_run - simulates teams that always have jobs waiting.  FAIR: by
   placement; otherwise first come, first fit.  */
share_result_t share_run (const bench_case_t *c, bool fair, uint64_t seed);

/* scale_print - prints planning time and memory, 50 to 1,900 workers.  */
void scale_print (void);

#endif

/* fleet_bench - measures of the fleet's decisions in virtual time

   Each measure steps the pure decisions over simple fakes, on a fixed seed,
   and stands beside its baselines.  */

#ifndef CUMINPIN_FLEET_BENCH_H
#define CUMINPIN_FLEET_BENCH_H

#include "fixture.h"

#define SECOND INT64_C (1000000)

/* One user's fleet.  */
typedef struct bench_case
{
  const char *name;
  fixture_t fleet;
  uint32_t accels; /* in all, two on each of the first workers */
  uint32_t teams;
  uint32_t bursts;  /* pools that burst at once */
  uint32_t seconds; /* of demand */
  bool sum_serial;  /* one host at a time is summed up, not stepped */
} bench_case_t;

typedef struct rollout
{
  int64_t seconds;
  int64_t hosts_out_s; /* of the times that single hosts were out */
  uint32_t drains;
  uint32_t failures;
  uint32_t breaches; /* drains that took a pool beyond a budget */
  bool done;
} rollout_t;

/* rollout_run - a wave over the whole of FLEET, with failures.  */
rollout_t rollout_run (const fixture_t *fleet, uint64_t seed);

typedef struct moves_result
{
  uint32_t buffer;       /* idle hosts in reserve */
  uint32_t fixed_buffer; /* with a fixed spare for each pool */
  uint32_t moves;
  double unserved; /* part of the demand, while hosts were on their way */
} moves_result_t;

/* moves_run - demand that bursts in turn; PLANNED: moves by plan_moves, else
   the first host that fits, as soon as a pool is short, and back as soon as it
   isn't.  */
moves_result_t moves_run (const bench_case_t *c, bool planned, uint64_t seed);

typedef struct share_result
{
  double mean; /* deviation from the share, in points, over teams and time */
  double max;
  double utilisation; /* of the resource that is used most */
} share_result_t;

/* share_run - teams that always have jobs waiting; FAIR: by place, else first
   come, first fit.  */
share_result_t share_run (const bench_case_t *c, bool fair, uint64_t seed);

/* scale_print - time and memory of planning from 50 to 1,900 workers.  */
void scale_print (void);

#endif

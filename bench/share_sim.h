/* share_sim - one service under a given load, in simulated time

   Drives the real fair queue as the daemon does: a request that finds the
   queue empty and a slot free starts at once, others wait; a slot that comes
   free takes the next entry.  */

#ifndef CUMINPIN_SHARE_SIM_H
#define CUMINPIN_SHARE_SIM_H

#include "admit.h"

#define TEAMS 6
#define SLOTS 80 /* 8 on each of 10 instances */
#define SECOND_US ((int64_t)1000000)
#define WINDOW_US (10 * SECOND_US)

typedef enum policy
{
  POLICY_FAIR,
  POLICY_FCFS, /* first come, first served: all teams in one queue */
  POLICY_SPLIT /* fixed split of the slots by share */
} policy_t;

/* Arrivals a second of each team: burst in [burst_us, burst_us + burst_len_us)
   of each period, else a hundredth of it (five times the mean and a
   twentieth).  */
typedef struct load
{
  policy_t policy;
  uint32_t seed;
  double run_mean_us;
  double run_factor[TEAMS]; /* a team's requests run so much longer */
  double rate[TEAMS];       /* in a burst */
  int64_t period_us;
  int64_t burst_us;
  int64_t burst_len_us;
  int64_t window_us; /* start of the measured window within the burst */
  int64_t deadline_us;
  uint32_t periods;
} load_t;

/* What one measured window saw.  */
typedef struct window
{
  bool all_backlogged; /* all teams had entries waiting all the time */
  double slot_us[TEAMS];
} window_t;

typedef struct result
{
  GArray *windows;         /* window_t */
  GArray *latency_us;      /* int64_t, of team 0's answers */
  double goodput_us;       /* run time of requests answered in time */
  uint64_t arrived;        /* in the windows, as all that follow */
  uint64_t answered;       /* in time */
  uint64_t late;           /* answered after the deadline */
  uint64_t rejected_early; /* when they arrived */
  uint64_t expired;        /* while queued */
} result_t;

extern const uint32_t sim_shares[TEAMS];

/* sim_run - add what LOAD leads to to RESULT.  */
void sim_run (const load_t *load, result_t *result);

#endif

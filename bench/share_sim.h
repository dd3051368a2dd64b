/* share_sim - simulation of one service under a given load

   Drives the real fair queue as the daemon does: a request that finds the
   queue empty and a slot free starts at once, others wait; a freed slot takes
   the next entry.  */

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
  POLICY_FCFS, /* first come, first served: one queue for all teams */
  POLICY_SPLIT /* slots divided by share */
} policy_t;

/* Offered load.  Each team has its burst rate in [burst_us, burst_us +
   burst_len_us) of every period and a hundredth of it otherwise: five times
   the mean and a twentieth of it.  */
typedef struct load
{
  policy_t policy;
  uint32_t seed;
  double run_mean_us;
  double run_factor[TEAMS]; /* run time relative to run_mean_us */
  double rate[TEAMS];       /* arrivals per second in a burst */
  int64_t period_us;
  int64_t burst_us;
  int64_t burst_len_us;
  int64_t window_us; /* start of the measured window in the period */
  int64_t deadline_us;
  uint32_t periods;
} load_t;

/* One measured window.  */
typedef struct window
{
  bool all_backlogged; /* all teams had entries waiting throughout */
  double slot_us[TEAMS];
} window_t;

typedef struct result
{
  GArray *windows;    /* window_t */
  GArray *latency_us; /* int64_t, of team 0's requests */
  double goodput_us;  /* run time of requests answered before the deadline */
  uint64_t arrived;   /* in the windows, like the following counts */
  uint64_t answered;  /* before the deadline */
  uint64_t late;      /* answered after the deadline */
  uint64_t rejected_early; /* on arrival */
  uint64_t expired;        /* while queued */
} result_t;

extern const uint32_t sim_shares[TEAMS];

/* sim_run - simulates LOAD and adds the outcome to RESULT.  */
void sim_run (const load_t *load, result_t *result);

#endif

#include "route.h"

/* Weights of one sample as in TCP's retransmission timer (Jacobson 1988): 1/8
   for the mean and 1/4 for the deviation, as shifts.  The bound is the mean
   plus four deviations.  */
#define MEAN_SHIFT 3
#define DEVIATION_SHIFT 2
#define DEVIATIONS 4

void
estimate_add (estimate_t *estimate, int64_t run_us)
{
  int64_t mean_us = (int64_t)atomic_load (&estimate->mean_us);
  int64_t deviation_us = (int64_t)atomic_load (&estimate->deviation_us);
  int64_t error_us = run_us - mean_us;

  if (mean_us == 0)
    {
      atomic_store (&estimate->mean_us, (uint64_t)MAX (run_us, 1));
      atomic_store (&estimate->deviation_us, (uint64_t)MAX (run_us, 0) / 2);
      return;
    }
  mean_us += error_us / (1 << MEAN_SHIFT);
  deviation_us += (ABS (error_us) - deviation_us) / (1 << DEVIATION_SHIFT);
  atomic_store (&estimate->mean_us, (uint64_t)MAX (mean_us, 1));
  atomic_store (&estimate->deviation_us, (uint64_t)MAX (deviation_us, 0));
}

int64_t
estimate_bound_us (const estimate_t *estimate)
{
  return (int64_t)(atomic_load (&estimate->mean_us)
                   + DEVIATIONS * atomic_load (&estimate->deviation_us));
}

#include "../../test/run_suite.h"
#include "route.h"

/* Guards against sending requests too late to finish in time: with constant
   run times the bound is close to them, and most varying run times are within
   the bound.  */
START_TEST (bound_follows_run_times)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (run_seed ("estimate"));
  estimate_t estimate = { 0 };
  uint32_t beyond = 0;

  ck_assert_int_eq (estimate_bound_us (&estimate), 0);
  for (uint32_t i = 0; i < 200; i++)
    estimate_add (&estimate, 10000);
  ck_assert_int_ge (estimate_bound_us (&estimate), 10000);
  ck_assert_int_le (estimate_bound_us (&estimate), 10500);
  for (uint32_t i = 0; i < 10000; i++)
    {
      int64_t run_us = g_rand_int_range (rand, 5000, 15000);

      beyond += run_us > estimate_bound_us (&estimate);
      estimate_add (&estimate, run_us);
    }
  ck_assert_uint_lt (beyond, 500);
}
END_TEST

/* Guards against a bound that stays high after a service was slow once.  */
START_TEST (bound_recovers)
{
  estimate_t estimate = { 0 };

  estimate_add (&estimate, 5000000);
  for (uint32_t i = 0; i < 200; i++)
    estimate_add (&estimate, 10000);
  ck_assert_int_lt (estimate_bound_us (&estimate), 20000);
}
END_TEST

int
main (void)
{
  const TTest *const tests[]
      = { bound_follows_run_times, bound_recovers, NULL };

  return run_suite ("estimate", tests);
}

/* Guards against quantiles outside the error bound of the histogram, and
   against latencies lost in a merge.  */

#include "../../test/run_suite.h"
#include "load.h"

static int
compare (const void *a, const void *b)
{
  int64_t left = *(const int64_t *)a;
  int64_t right = *(const int64_t *)b;

  return (left > right) - (left < right);
}

static void
check_quantile (const latency_t *latency, const int64_t *sorted,
                uint32_t count, double q, uint32_t rank)
{
  int64_t exact = sorted[rank - 1];
  int64_t seen = latency_quantile (latency, q);

  ck_assert_uint_le (rank, count);
  ck_assert_msg (seen >= exact && seen <= exact + exact / 64,
                 "quantile %g: %" PRId64 ", exact %" PRId64, q, seen, exact);
}

START_TEST (quantiles_follow_a_sorted_list)
{
  enum
  {
    COUNT = 10000
  };
  static int64_t values[COUNT];
  static latency_t parts[2];
  static latency_t sum;
  GRand *rand = g_rand_new_with_seed (run_seed ("latency"));

  for (uint32_t i = 0; i < COUNT; i++)
    {
      values[i] = g_rand_int_range (rand, 0, INT32_MAX)
                  >> g_rand_int_range (rand, 0, 31);
      latency_add (&parts[i % 2], values[i]);
    }
  g_rand_free (rand);
  latency_merge (&sum, &parts[0]);
  latency_merge (&sum, &parts[1]);
  qsort (values, COUNT, sizeof values[0], compare);
  ck_assert_uint_eq (sum.count, COUNT);
  check_quantile (&sum, values, COUNT, 0, 1);
  check_quantile (&sum, values, COUNT, 0.5, COUNT / 2);
  check_quantile (&sum, values, COUNT, 0.99, 9900);
  check_quantile (&sum, values, COUNT, 0.999, 9990);
  check_quantile (&sum, values, COUNT, 1, COUNT);
}
END_TEST

START_TEST (bounds_of_the_range)
{
  static latency_t latency;

  ck_assert_int_eq (latency_quantile (&latency, 0.5), 0);
  latency_add (&latency, -1);
  ck_assert_int_eq (latency_quantile (&latency, 1), 0);
  latency_add (&latency, INT64_MAX);
  ck_assert_int_ge (latency_quantile (&latency, 1), INT64_C (3600000000));
}
END_TEST

int
main (void)
{
  const TTest *const tests[]
      = { quantiles_follow_a_sorted_list, bounds_of_the_range, NULL };

  return run_suite ("latency", tests);
}

#include "../../test/run_suite.h"
#include "base.h"
#include <string.h>

/* Guards against observations that are exported in the wrong bucket.  */
START_TEST (test_buckets_are_cumulative)
{
  g_autofree char *text = NULL;

  histogram_add (HIST_START, 1000);
  histogram_add (HIST_START, 1001);
  histogram_add (HIST_START, 70000000);
  histogram_add (HIST_START, -5);
  text = metrics_text ("x_");
  ck_assert_ptr_nonnull (
      strstr (text, "x_job_start_seconds_bucket{le=\"0.001\"} 2\n"));
  ck_assert_ptr_nonnull (
      strstr (text, "x_job_start_seconds_bucket{le=\"0.002\"} 3\n"));
  ck_assert_ptr_nonnull (
      strstr (text, "x_job_start_seconds_bucket{le=\"32.768\"} 3\n"));
  ck_assert_ptr_nonnull (
      strstr (text, "x_job_start_seconds_bucket{le=\"+Inf\"} 4\n"));
  ck_assert_ptr_nonnull (strstr (text, "x_job_start_seconds_count 4\n"));
}
END_TEST

/* Guards against a counter without a name, which would be exported as
   "(null)".  */
START_TEST (test_all_counters_are_exported)
{
  g_autofree char *text = NULL;

  counter_add (COUNT_JOBS_ACCEPTED, 3);
  text = metrics_text ("x_");
  ck_assert_ptr_nonnull (strstr (text, "\nx_jobs_accepted_total 3\n"));
  ck_assert_ptr_null (strstr (text, "(null)"));
}
END_TEST

TEST_PROGRAM ("base/metrics", test_buckets_are_cumulative,
              test_all_counters_are_exported)

/* Guards against a slow upstream that keeps receiving its share of requests,
   and against ejecting upstreams that are no slower than the others.  */

#include "../../test/run_suite.h"
#include "route.h"

static const struct
{
  const char *name;
  uint32_t latencies_us[5];
  uint32_t slowest;
} rows[] = {
  { "one far slower", { 20000, 22000, 900000, 21000, 19000 }, 2 },
  { "the slowest of two", { 20000, 600000, 900000, 21000, 19000 }, 2 },
  { "all similar", { 20000, 22000, 40000, 21000, 19000 }, OUTLIER_NONE },
  { "all slow together",
    { 900000, 800000, 950000, 700000, 990000 },
    OUTLIER_NONE },
  { "slower by a short time only",
    { 100, 120, 20000, 90, 110 },
    OUTLIER_NONE },
  { "too few known", { 20000, 0, 900000, 0, 0 }, OUTLIER_NONE },
  { "unknown latencies are ignored", { 0, 1000, 900000, 1000, 0 }, 2 },
};

START_TEST (the_slowest_outlier_is_found)
{
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    ck_assert_msg (outlier_find (rows[i].latencies_us, 5) == rows[i].slowest,
                   "%s", rows[i].name);
}
END_TEST

/* Guards against losing or repeating an ejection, and against the average from
   before the ejection ejecting an upstream again after a quick probe.  */
START_TEST (ejected_upstream_returns_with_its_probe)
{
  health_t health = { 0 };

  health_record_result (&health, TRY_ANSWERED, 900000, 1);
  ck_assert_uint_gt (health_latency_us (&health), 0);
  ck_assert (health_eject (&health, 1));
  ck_assert (!health_eject (&health, 1));
  ck_assert_int_eq (health_status (&health, EJECT_MIN_US), HEALTH_EJECTED);
  ck_assert_int_eq (health_status (&health, 1 + EJECT_MIN_US), HEALTH_PROBE);
  ck_assert (health_begin_probe (&health));
  ck_assert (
      health_record_result (&health, TRY_ANSWERED, 1000, 2 * EJECT_MIN_US));
  ck_assert_uint_eq (health_latency_us (&health), 1000);
}
END_TEST

int
main (void)
{
  const TTest *const tests[]
      = { the_slowest_outlier_is_found,
          ejected_upstream_returns_with_its_probe, NULL };

  return run_suite ("outlier", tests);
}

/* Guards against a buffer that is sized for the sum of all bursts, or for less
   than a rack.  */

#include "../../test/run_suite.h"
#include "fixture.h"

START_TEST (buffer_covers_one_rack_and_the_bursts_at_once)
{
  static const fixture_t f
      = { .hosts = 20, .pools = 5, .per_rack = 4, .data_centres = 3 };
  pool_demand_t demands[] = {
    { "p0", 0, 0 },    { "p1", 0, 2500 }, { "p2", 0, 5500 },
    { "p3", 0, 3500 }, { "p4", 0, 4500 },
  };
  state_t *state = state_new ();

  ck_assert_int_eq (fixture_publish (state, &f), VERDICT_APPLIED);
  ck_assert_uint_eq (plan_buffer_hosts (state, demands, 5, 0), 4);
  ck_assert_uint_eq (plan_buffer_hosts (state, demands, 5, 1), 4 + 6);
  ck_assert_uint_eq (plan_buffer_hosts (state, demands, 5, 2), 4 + 10);
  ck_assert_uint_eq (plan_buffer_hosts (state, demands, 5, 9), 4 + 16);
  state_free (state);
}
END_TEST

TEST_PROGRAM ("buffer", buffer_covers_one_rack_and_the_bursts_at_once)

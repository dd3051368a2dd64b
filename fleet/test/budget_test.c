/* Guards against a budget that differs from what the fold of the records
   enforces.  */

#include "../../test/run_suite.h"
#include "fixture.h"

START_TEST (agrees_with_the_folded_state)
{
  static const host_phase_t phases[]
      = { HOST_FAILED, HOST_IN_SERVICE, HOST_FAILED };
  fixture_t f = { .hosts = 60,
                  .pools = 5,
                  .per_rack = 4,
                  .data_centres = 3,
                  .budget = 6,
                  .rack_budget = 1 };
  state_t *state = state_new ();
  uint64_t seed = 7;

  fixture_publish (state, &f);
  for (uint32_t i = 0; i < 300; i++)
    {
      const host_state_t *host
          = table_at (&state->hosts, fixture_random_below (&seed, f.hosts));
      budget_t *budget;

      fixture_host (state, host->name,
                    phases[fixture_random_below (&seed, 3)]);
      budget = budget_new (state);
      ck_assert_uint_eq (budget_left (budget, host->pool, host->rack),
                         state_budget_left (state, host->pool, host->rack));
      budget_free (budget);
    }
  state_free (state);
}
END_TEST

START_TEST (counts_taken_hosts)
{
  fixture_t f = { .hosts = 20,
                  .pools = 2,
                  .per_rack = 4,
                  .data_centres = 1,
                  .budget = 2,
                  .rack_budget = 1 };
  state_t *state = state_new ();
  budget_t *budget;

  fixture_publish (state, &f);
  budget = budget_new (state);
  ck_assert_uint_eq (budget_hosts (budget, "p1"), 10);
  ck_assert_uint_eq (budget_left (budget, "p1", "k0"), 1);
  budget_take (budget, "p1", "k0");
  ck_assert_uint_eq (budget_left (budget, "p1", "k0"), 0);
  ck_assert_uint_eq (budget_left (budget, "p1", "k1"), 1);
  budget_take (budget, "p1", "k1");
  ck_assert_uint_eq (budget_left (budget, "p1", "k2"), 0);
  ck_assert_uint_eq (budget_left (budget, "p0", "k0"), 1);
  ck_assert_uint_eq (budget_out (budget, "p1"), 2);
  ck_assert_uint_eq (budget_left (budget, "none", "k0"), 0);
  budget_free (budget);
  state_free (state);
}
END_TEST

TEST_PROGRAM ("budget", agrees_with_the_folded_state, counts_taken_hosts)

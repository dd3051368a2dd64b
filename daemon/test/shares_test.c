/* Guards against a share that is raised while another daemon may still hold
   it, one that is lowered late, and permits of what was taken off the file. */

#include "../../test/run_suite.h"
#include "daemon.h"

/* Applies a view that gives TEAM_PART permits of team t and SLOTS_PART slots
   of upstream u; with LISTED false it lists neither.  */
static void
apply (bool listed, uint32_t team_part, uint32_t slots_part, bool gate_open)
{
  view_team_t team
      = { .runtime = runtime_team ("t"), .assigned_share = team_part };
  view_upstream_t upstream
      = { .runtime = runtime_upstream ("u"), .assigned_share = slots_part };
  view_service_t service = { .upstreams = &upstream, .upstreams_count = 1 };
  view_t view = { .teams = &team,
                  .teams_count = listed,
                  .services = &service,
                  .services_count = listed };

  shares_apply (&view, gate_open);
}

static void
assert_held (uint32_t team, uint32_t slots)
{
  ck_assert_uint_eq (escrow_share (runtime_team ("t")->permits), team);
  ck_assert_uint_eq (escrow_share (runtime_upstream ("u")->slots), slots);
}

START_TEST (lower_shares_apply_at_once_and_higher_ones_wait)
{
  apply (true, 5, 3, false);
  assert_held (0, 0);
  apply (true, 5, 3, true);
  assert_held (5, 3);
  apply (true, 4, 6, false);
  assert_held (4, 3);
  apply (true, 4, 6, true);
  assert_held (4, 6);
  apply (false, 0, 0, false);
  assert_held (0, 0);
}
END_TEST

START_TEST (excess_in_use_is_not_settled)
{
  escrow_t *permits = runtime_team ("t")->permits;
  permit_t taken[2];

  apply (true, 2, 1, true);
  for (uint32_t i = 0; i < 2; i++)
    ck_assert (escrow_acquire (permits, 0, 1, &taken[i]));
  ck_assert (shares_are_settled ());
  apply (true, 1, 1, false);
  ck_assert (!shares_are_settled ());
  escrow_release (permits, taken[0]);
  ck_assert (shares_are_settled ());
  apply (false, 0, 0, false);
  ck_assert (!shares_are_settled ());
  escrow_release (permits, taken[1]);
  ck_assert (shares_are_settled ());
}
END_TEST

TEST_PROGRAM ("shares", lower_shares_apply_at_once_and_higher_ones_wait,
              excess_in_use_is_not_settled)

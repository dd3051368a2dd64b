/* Guards against a share that is raised while another daemon may still hold
   it, one that is lowered late, and permits of teams and upstreams that have
   been removed from the fleet file.  */

#include "../../test/run_suite.h"
#include "daemon.h"

/* Applies a view that assigns TEAM_SHARE permits of team t and SLOTS_SHARE
   slots of upstream u, or lists neither if LISTED is false.  */
static void
apply_view (bool listed, uint32_t team_share, uint32_t slots_share,
            bool gate_open)
{
  view_team_t team
      = { .runtime = runtime_team ("t"), .assigned_share = team_share };
  view_upstream_t upstream
      = { .runtime = runtime_upstream ("u"), .assigned_share = slots_share };
  view_service_t service = { .upstreams = &upstream, .upstreams_count = 1 };
  view_t view = { .teams = &team,
                  .teams_count = listed,
                  .services = &service,
                  .services_count = listed };

  shares_apply (&view, gate_open);
}

static void
assert_shares (uint32_t team, uint32_t slots)
{
  ck_assert_uint_eq (escrow_share (runtime_team ("t")->permits), team);
  ck_assert_uint_eq (escrow_share (runtime_upstream ("u")->slots), slots);
}

START_TEST (lower_shares_apply_at_once_and_higher_ones_wait)
{
  apply_view (true, 5, 3, false);
  assert_shares (0, 0);
  apply_view (true, 5, 3, true);
  assert_shares (5, 3);
  apply_view (true, 4, 6, false);
  assert_shares (4, 3);
  apply_view (true, 4, 6, true);
  assert_shares (4, 6);
  apply_view (false, 0, 0, false);
  assert_shares (0, 0);
}
END_TEST

START_TEST (excess_in_use_is_not_settled)
{
  escrow_t *permits = runtime_team ("t")->permits;
  permit_t taken[2];

  apply_view (true, 2, 1, true);
  for (uint32_t i = 0; i < 2; i++)
    ck_assert (escrow_acquire (permits, 0, 1, &taken[i]));
  ck_assert (shares_are_settled ());
  apply_view (true, 1, 1, false);
  ck_assert (!shares_are_settled ());
  escrow_release (permits, taken[0]);
  ck_assert (shares_are_settled ());
  apply_view (false, 0, 0, false);
  ck_assert (!shares_are_settled ());
  escrow_release (permits, taken[1]);
  ck_assert (shares_are_settled ());
}
END_TEST

TEST_PROGRAM ("shares", lower_shares_apply_at_once_and_higher_ones_wait,
              excess_in_use_is_not_settled)

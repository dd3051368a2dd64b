#include "fleetrig.h"

/* RULES.md gives a task that lasts this time without a run, from its last one,
   before it counts as lost.  */
#define AWAY_MAX_MS 6000

static job_step_t
step_of (uint32_t count, uint32_t max_unavailable, uint32_t spread_max)
{
  job_step_t step = rig_step (count);

  step.max_unavailable = max_unavailable;
  step.spread_max = spread_max;
  return step;
}

/* Guards against a wave that drains all hosts of a pool at a time, so that a
   task that was stopped for it has nowhere to start, and no host goes down
   (review/11).  */
START_TEST (test_wave_over_all_hosts_leaves_places)
{
  fleet_open (3, 8);
  fleet_serve (1, step_of (6, 1, 0));
  fleet_set_wave (1, "h0 h1 h2", 12, 3);
  ck_assert (fleet_run ("h0 h1 h2", 30000));
  ck_assert_int_lt (fleet.away_most_ms, AWAY_MAX_MS);
}
END_TEST

/* Guards against the same where the one host that stays in use has as many
   tasks of the step as it may run.  */
START_TEST (test_wave_counts_the_limit_of_tasks_per_worker)
{
  fleet_open (4, 8);
  fleet_serve (1, step_of (6, 1, 2));
  fleet_set_wave (1, "h0 h1 h2 h3", 12, 4);
  ck_assert (fleet_run ("h0 h1 h2 h3", 40000));
  ck_assert_int_lt (fleet.away_most_ms, AWAY_MAX_MS);
}
END_TEST

/* Guards against two waves, each of which leaves places on the hosts that the
   other one drains.  */
START_TEST (test_waves_leave_places_together)
{
  fleet_open (4, 8);
  fleet_serve (1, step_of (8, 1, 4));
  fleet_set_wave (1, "h0 h1", 8, 2);
  fleet_set_wave (2, "h2 h3", 8, 2);
  ck_assert (fleet_run ("h0 h1 h2 h3", 40000));
  ck_assert_int_lt (fleet.away_most_ms, AWAY_MAX_MS);
}
END_TEST

/* Guards against a task without a place because the only host that isn't
   drained is lost.  */
START_TEST (test_lost_host_returns_a_drained_one_to_use)
{
  fleet_open (3, 2);
  fleet_serve (1, step_of (3, 1, 1));
  fleet_serve (2, step_of (1, 0, 0));
  fleet_set_wave (1, "h0 h1", 10, 2);
  fleet_step ();
  fleet_step ();
  fleet_lose (2);
  fleet_run ("h0 h1", 30000);
  /* Two hosts are left, and may run one task of the step each.  */
  ck_assert (fleet.hosts[0].runs_count + fleet.hosts[1].runs_count >= 3);
}
END_TEST

/* Guards against a wave that doesn't begin as no task of a host has another
   place: one host at a time goes down with its tasks.  */
START_TEST (test_hosts_without_places_go_one_at_a_time)
{
  fleet_open (3, 1);
  fleet_serve (1, step_of (3, 1, 1));
  fleet_set_wave (1, "h0 h1 h2", 20, 3);
  ck_assert (fleet_run ("h0 h1 h2", 20000));
  ck_assert_uint_eq (fleet.down_most, 1);
  ck_assert_int_lt (fleet.away_most_ms, AWAY_MAX_MS);
}
END_TEST

/* Guards against a wave that is late although there was room: places are
   plenty, so as many hosts go at a time as the time asks for.  */
START_TEST (test_wave_with_places_is_in_time)
{
  fleet_open (8, 8);
  fleet_serve (1, step_of (4, 0, 0));
  fleet_serve (2, step_of (4, 0, 0));
  fleet_set_wave (1, "h0 h1 h2 h3 h4 h5 h6 h7", 16, 4);
  ck_assert (fleet_run ("h0 h1 h2 h3 h4 h5 h6 h7", 16000));
  ck_assert_int_lt (fleet.away_most_ms, AWAY_MAX_MS);
}
END_TEST

/* Guards against a wave that waits for short tasks that fill the pool: they
   end, and long-running tasks come before them.  */
START_TEST (test_short_tasks_do_not_hold_up_a_wave)
{
  job_step_t busy = rig_step (200);

  fleet_open (4, 4);
  fleet.short_task_ms = 500;
  fleet_serve (1, step_of (4, 1, 0));
  fleet_set_wave (1, "h0 h1 h2 h3", 24, 2);
  rig_submit (10, &busy, 1);
  ck_assert (fleet_run ("h0 h1 h2 h3", 24000));
  ck_assert_int_lt (fleet.away_most_ms, AWAY_MAX_MS);
}
END_TEST

TEST_PROGRAM_WITH ("jobs/drain", rig_reset, rig_tear_down,
                   test_wave_over_all_hosts_leaves_places,
                   test_wave_counts_the_limit_of_tasks_per_worker,
                   test_waves_leave_places_together,
                   test_lost_host_returns_a_drained_one_to_use,
                   test_hosts_without_places_go_one_at_a_time,
                   test_wave_with_places_is_in_time,
                   test_short_tasks_do_not_hold_up_a_wave)

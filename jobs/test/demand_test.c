#include "rig.h"
#include "schedint.h"

static pool_t *
service_pool (void)
{
  return sched_pool (rig.sched, RIG_SERVICE);
}

/* Guards against an owner that computes a demand of thousands of hosts from
   the first jobs, as long as no worker has told it the capacity of a host.  */
START_TEST (test_unknown_host_capacity_adds_no_demand)
{
  job_step_t step = rig_step (8);
  pool_demand_t demand;

  rig_submit (1, &step, 1);
  rig_advance_clock (100);
  demand_update (service_pool (), rig.now.us);
  rig_advance_clock (100);
  demand_update (service_pool (), rig.now.us);
  demand = demand_measure (rig.sched, service_pool (), rig.now.us);
  ck_assert (demand_hosts_needed (&demand) < 10);
}
END_TEST

/* Guards against a few large jobs that look like a steep rise and get more
   hosts than they can use.  */
START_TEST (test_forecast_is_bounded_by_the_current_demand)
{
  job_step_t step = rig_step (80);
  pool_demand_t demand;
  double rate;

  rig_worker ("w1", 8, false);
  demand_measure (rig.sched, service_pool (), rig.now.us);
  demand_update (service_pool (), rig.now.us);
  rig_submit (1, &step, 1);
  rig_advance_clock (100);
  demand_update (service_pool (), rig.now.us);
  rate = service_pool ()->rate_fast;
  ck_assert (rate > 0);
  ck_assert (demand_forecast (service_pool ()) <= 2 * rate);
  demand = demand_measure (rig.sched, service_pool (), rig.now.us);
  ck_assert (demand.backlog > 0);
}
END_TEST

/* Guards against a negative forecast when demand falls.  */
START_TEST (test_falling_demand_ends_at_zero)
{
  job_step_t step = rig_step (80);

  rig_worker ("w1", 8, false);
  demand_measure (rig.sched, service_pool (), rig.now.us);
  demand_update (service_pool (), rig.now.us);
  rig_submit (1, &step, 1);
  for (uint32_t i = 0; i < 40; i++)
    {
      rig_advance_clock (100);
      demand_update (service_pool (), rig.now.us);
      ck_assert (demand_forecast (service_pool ()) >= 0);
    }
  ck_assert (demand_forecast (service_pool ()) < 0.5);
}
END_TEST

TEST_PROGRAM_WITH ("jobs/demand", rig_set_up, rig_tear_down,
                   test_unknown_host_capacity_adds_no_demand,
                   test_forecast_is_bounded_by_the_current_demand,
                   test_falling_demand_ends_at_zero)

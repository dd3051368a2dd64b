#include "rig.h"

static uint32_t
starts_of (const GArray *orders, uint32_t job)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < orders->len; i++)
    {
      const order_t *order = &g_array_index (orders, order_t, i);

      count += order->kind == ORDER_START
               && strcmp (order->task.id, rig_id (job)) == 0;
    }
  return count;
}

/* Guards against workers that get more than they have room for.  */
START_TEST (test_room_is_kept)
{
  job_step_t cpu = rig_step (9);
  job_step_t mem = rig_step (9);
  g_autoptr (GArray) first = NULL;
  g_autoptr (GArray) second = NULL;

  cpu.need = (amounts_t){ .cpu_milli = 3000, .mem_mib = 1 };
  mem.need = (amounts_t){ .cpu_milli = 1, .mem_mib = 30000 };
  rig_worker ("w1", 8, false);
  rig_worker ("w2", 8, false);
  rig_submit (1, &cpu, 1);
  first = rig_plan (false);
  ck_assert_uint_eq (starts_of (first, 1), 4);
  rig_submit (2, &mem, 1);
  second = rig_plan (false);
  ck_assert_uint_eq (starts_of (second, 2), 4);
}
END_TEST

/* Guards against passing small tasks over because a larger one before them
   found no room.  */
START_TEST (test_full_for_large_tasks_is_not_full_for_small_ones)
{
  job_step_t fill = rig_step (1);
  job_step_t large = rig_step (1);
  job_step_t small = rig_step (1);
  g_autoptr (GArray) first = NULL;
  g_autoptr (GArray) second = NULL;

  fill.need.cpu_milli = 6000;
  large.need.cpu_milli = 4000;
  large.estimate_ms = 100; /* first in the order of starts */
  rig_worker ("w1", 8, false);
  rig_submit (1, &fill, 1);
  first = rig_plan (false);
  ck_assert_uint_eq (starts_of (first, 1), 1);
  rig_submit (2, &large, 1);
  rig_submit (3, &small, 1);
  second = rig_plan (false);
  ck_assert_uint_eq (starts_of (second, 2), 0);
  ck_assert_uint_eq (starts_of (second, 3), 1);
}
END_TEST

/* Guards against a workspace that has more at work than its cap, counting what
   still has to stop.  */
START_TEST (test_cap_holds_over_all_workers)
{
  job_step_t step = rig_step (9);
  rules_workspace_t *space
      = &g_array_index (rig.rules->workspaces, rules_workspace_t, 0);
  g_autoptr (GArray) first = NULL;
  g_autoptr (GArray) after = NULL;

  space->cap.cpu_milli = 3500;
  rig_worker ("w1", 8, false);
  rig_worker ("w2", 8, false);
  rig_submit (1, &step, 1);
  first = rig_plan (false);
  ck_assert_uint_eq (starts_of (first, 1), 3);
  for (uint32_t i = 0; i < 3; i++)
    rig_confirm_start (&g_array_index (first, order_t, i));
  sched_cancel_job (rig.sched, rig_id (1));
  rig_submit (2, &step, 1);
  after = rig_plan (false);
  ck_assert_uint_eq (starts_of (after, 2), 0);
}
END_TEST

START_TEST (test_spread_is_kept)
{
  job_step_t step = rig_step (5);
  g_autoptr (GArray) orders = NULL;

  step.spread_max = 2;
  rig_worker ("w1", 8, false);
  rig_worker ("w2", 8, false);
  rig_submit (1, &step, 1);
  orders = rig_plan (false);
  ck_assert_uint_eq (starts_of (orders, 1), 4);
}
END_TEST

START_TEST (test_labels_are_kept)
{
  job_step_t step = rig_step (1);
  job_step_t kind = rig_step (1);
  g_autoptr (GArray) orders = NULL;

  step.label = g_strdup ("b");
  kind.label = g_strdup ("a");
  rig_worker ("w1", 8, false);
  rig_submit (1, &step, 1);
  rig_submit (2, &kind, 1);
  orders = rig_plan (false);
  ck_assert_uint_eq (starts_of (orders, 1), 0);
  ck_assert_uint_eq (starts_of (orders, 2), 1);
}
END_TEST

/* Guards against gangs of which a part waits on a worker for the rest.  */
START_TEST (test_gang_starts_whole_or_not)
{
  job_step_t step = rig_step (9);
  g_autoptr (GArray) orders = NULL;
  g_autoptr (GArray) more = NULL;

  step.gang = true;
  rig_worker ("w1", 8, false);
  rig_submit (1, &step, 1);
  orders = rig_plan (false);
  ck_assert_uint_eq (orders->len, 0);
  rig_worker ("w2", 8, false);
  more = rig_plan (false);
  ck_assert_uint_eq (starts_of (more, 1), 9);
}
END_TEST

/* Burst of a queue: small jobs must not wait behind wide ones that came with
   them.  */
START_TEST (test_burst_small_jobs_before_wide_ones)
{
  job_step_t wide = rig_step (40);
  job_step_t small = rig_step (2);
  g_autoptr (GArray) orders = NULL;

  rig_worker ("w1", 8, true);
  rig_submit (1, &wide, 1);
  for (uint32_t i = 2; i < 6; i++)
    rig_submit (i, &small, 1);
  rig_report ("w1", NULL, 0, NULL, 0);
  orders = rig_plan (false);
  for (uint32_t i = 2; i < 6; i++)
    ck_assert_uint_eq (starts_of (orders, i), 2);
}
END_TEST

/* Sustained overload: a wide job that is about to miss its objective must not
   starve behind small ones that have time.  */
START_TEST (test_overload_wide_jobs_do_not_starve)
{
  job_step_t wide = rig_step (24);
  job_step_t small = rig_step (10);
  g_autoptr (GArray) orders = NULL;

  rig_worker ("w1", 144, true);
  rig_submit (1, &wide, 1);
  rig_advance_clock (850);
  for (uint32_t i = 2; i < 16; i++)
    rig_submit (i, &small, 1);
  rig_report ("w1", NULL, 0, NULL, 0);
  orders = rig_plan (false);
  ck_assert_uint_eq (starts_of (orders, 1), 24);
}
END_TEST

/* Overload: work that can't be of use any more waits behind what can.  */
START_TEST (test_overload_hopeless_jobs_come_last)
{
  job_step_t step = rig_step (8);
  g_autoptr (GArray) orders = NULL;

  rig_worker ("w1", 8, true);
  rig_submit (1, &step, 1);
  rig_advance_clock (8000);
  rig_submit (2, &step, 1);
  rig_report ("w1", NULL, 0, NULL, 0);
  orders = rig_plan (false);
  ck_assert_uint_eq (starts_of (orders, 2), 8);
}
END_TEST

/* Lasting tasks serve users all the time, so they come before a burst.  */
START_TEST (test_burst_lasting_tasks_first)
{
  job_step_t burst = rig_step (8);
  job_step_t lasting = rig_step (3);
  g_autoptr (GArray) orders = NULL;

  lasting.lasts = true;
  rig_worker ("w1", 8, true);
  rig_submit (1, &burst, 1);
  rig_submit (2, &lasting, 1);
  rig_report ("w1", NULL, 0, NULL, 0);
  orders = rig_plan (false);
  ck_assert_uint_eq (starts_of (orders, 2), 3);
}
END_TEST

/* A backlog left by an outage: so many starts of jobs that are too late anyway
   that those of the jobs handed in now wait behind them.  */
START_TEST (test_backlog_after_outage_does_not_delay_new_jobs)
{
  job_step_t old = rig_step (400);
  job_step_t fresh = rig_step (60);
  uint32_t late;
  g_autoptr (GArray) first = NULL;
  g_autoptr (GArray) second = NULL;
  g_autoptr (GArray) third = NULL;

  rig_submit (1, &old, 1);
  rig_advance_clock (60000);
  rig_worker ("w1", 1000, false);
  first = rig_plan (false);
  late = starts_of (first, 1);
  ck_assert_uint_gt (late, 0);
  ck_assert_uint_lt (late, 200);
  rig_submit (2, &fresh, 1);
  second = rig_plan (false);
  ck_assert_uint_eq (starts_of (second, 2), 60);
  ck_assert_uint_eq (starts_of (second, 1), 0);
  for (uint32_t i = 0; i < first->len; i++)
    rig_confirm_start (&g_array_index (first, order_t, i));
  for (uint32_t i = 0; i < second->len; i++)
    rig_confirm_start (&g_array_index (second, order_t, i));
  rig_advance_clock (30);
  third = rig_plan (false);
  ck_assert_uint_gt (starts_of (third, 1), 0);
}
END_TEST

/* hot_tenant: one workspace hands in many times its share, and the others'
   jobs must not wait behind its surplus.  */
START_TEST (test_hot_workspace_yields_beyond_its_share)
{
  job_step_t step = rig_step (1);
  rules_workspace_t hot = { .name = g_intern_string ("hot"), .weight = 2 };
  g_autoptr (GArray) starts = NULL;

  g_array_append_val (rig.rules->workspaces, hot);
  sched_set_rules (rig.sched, rig.rules);
  rig.workspace = "hot";
  for (uint32_t i = 0; i < 8; i++)
    rig_submit (i, &step, 1);
  rig.workspace = NULL;
  rig_advance_clock (100);
  rig_submit (9, &step, 1);
  rig_worker ("w1", 6, false);
  starts = rig_plan (false);
  ck_assert_uint_eq (rig_count_orders (starts, ORDER_START), 6);
  /* Four jobs of the hot workspace are within its share of two seconds.  */
  ck_assert_uint_eq (starts_of (starts, 9), 1);
}
END_TEST

/* Guards against lasting tasks spread over all hosts of a pool, none of which
   can be moved then.  */
START_TEST (test_lasting_tasks_of_two_jobs_share_hosts)
{
  job_step_t step = rig_step (2);
  g_autoptr (GArray) first = NULL;
  g_autoptr (GArray) second = NULL;

  step.lasts = true;
  step.spread_max = 1;
  rig_worker ("w1", 8, false);
  rig_worker ("w2", 8, false);
  rig_worker ("w3", 8, false);
  rig_worker ("w4", 8, false);
  rig_submit (1, &step, 1);
  first = rig_plan (false);
  ck_assert_uint_eq (starts_of (first, 1), 2);
  rig_submit (2, &step, 1);
  second = rig_plan (false);
  ck_assert_uint_eq (starts_of (second, 2), 2);
  for (uint32_t i = 0; i < 2; i++)
    {
      const char *worker = g_array_index (second, order_t, i).worker;

      ck_assert (strcmp (worker, g_array_index (first, order_t, 0).worker) == 0
                 || strcmp (worker, g_array_index (first, order_t, 1).worker)
                        == 0);
    }
}
END_TEST

/* srv_crash, zone_cut: a tenth of the workers is lost, and a job with tasks on
   ten of them is sure to be late.  */
START_TEST (test_lost_workers_hit_few_jobs)
{
  job_step_t step = rig_step (6);
  g_autoptr (GArray) first = NULL;
  g_autoptr (GArray) second = NULL;

  rig_worker ("w1", 8, false);
  rig_worker ("w2", 8, false);
  rig_worker ("w3", 8, false);
  rig_submit (1, &step, 1);
  first = rig_plan (false);
  ck_assert_uint_eq (starts_of (first, 1), 6);
  rig_submit (2, &step, 1);
  second = rig_plan (false);
  ck_assert_uint_eq (starts_of (second, 2), 6);
  for (uint32_t i = 1; i < 6; i++)
    {
      ck_assert_str_eq (g_array_index (first, order_t, i).worker,
                        g_array_index (first, order_t, 0).worker);
      ck_assert_str_eq (g_array_index (second, order_t, i).worker,
                        g_array_index (second, order_t, 0).worker);
    }
  ck_assert_str_ne (g_array_index (first, order_t, 0).worker,
                    g_array_index (second, order_t, 0).worker);
}
END_TEST

TEST_PROGRAM_WITH ("jobs/place", rig_set_up, rig_tear_down, test_room_is_kept,
                   test_full_for_large_tasks_is_not_full_for_small_ones,
                   test_cap_holds_over_all_workers, test_spread_is_kept,
                   test_labels_are_kept, test_gang_starts_whole_or_not,
                   test_burst_small_jobs_before_wide_ones,
                   test_overload_wide_jobs_do_not_starve,
                   test_overload_hopeless_jobs_come_last,
                   test_burst_lasting_tasks_first,
                   test_backlog_after_outage_does_not_delay_new_jobs,
                   test_hot_workspace_yields_beyond_its_share,
                   test_lasting_tasks_of_two_jobs_share_hosts,
                   test_lost_workers_hit_few_jobs)

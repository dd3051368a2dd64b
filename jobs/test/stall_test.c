#include "rig.h"

static order_t starts[8];
static run_status_t rows[8];
static uint32_t count;

/* Starts TASKS tasks of 500 ms on worker w1; w2 has free capacity.  */
static void
start_on_w1 (uint32_t tasks, bool speculative)
{
  job_step_t step = rig_step (tasks);
  g_autoptr (GArray) orders = NULL;

  step.speculative = speculative;
  rig_worker ("w1", 8, false);
  rig_submit (1, &step, 1);
  orders = rig_plan (false);
  ck_assert_uint_eq (rig_count_orders (orders, ORDER_START), tasks);
  count = tasks;
  for (uint32_t i = 0; i < tasks; i++)
    {
      starts[i] = g_array_index (orders, order_t, i);
      rig_confirm_start (&starts[i]);
      rows[i] = rig_status (&starts[i]);
      rows[i].percent = 0;
    }
  rig_worker ("w2", 8, false);
}

/* Advances the clock by MS and reports w1's runs at PERCENT, the last one at
   LAST_PERCENT; returns the orders.  */
static GArray *
report (int64_t ms, uint32_t percent, uint32_t last_percent)
{
  rig_advance_clock (ms);
  for (uint32_t i = 0; i < count; i++)
    rows[i].percent = i + 1 == count ? last_percent : percent;
  rig_report ("w1", rows, count, NULL, 0);
  rig_report ("w2", NULL, 0, NULL, 0);
  return rig_plan (false);
}

/* Guards against tasks that stay on a worker without making progress.  */
START_TEST (test_stalled_worker_loses_its_tasks)
{
  g_autoptr (GArray) early = NULL;
  g_autoptr (GArray) late = NULL;

  start_on_w1 (3, false);
  early = report (300, 5, 5);
  ck_assert_uint_eq (early->len, 0);
  late = report (1000, 5, 5);
  ck_assert_uint_eq (rig_count_orders (late, ORDER_STOP), 3);
}
END_TEST

/* Guards against tasks that stay on a slow worker although a restart elsewhere
   is faster.  */
START_TEST (test_slow_worker_loses_its_tasks)
{
  g_autoptr (GArray) orders = NULL;

  start_on_w1 (3, false);
  orders = report (600, 10, 10);
  ck_assert_uint_eq (rig_count_orders (orders, ORDER_STOP), 3);
}
END_TEST

/* Guards against a task that exceeds its estimate and is stopped again and
   again, and against pausing its workers.  */
START_TEST (test_long_task_is_left_alone)
{
  g_autoptr (GArray) orders = NULL;

  start_on_w1 (4, false);
  orders = report (450, 90, 15);
  ck_assert_uint_eq (orders->len, 0);
}
END_TEST

/* Guards against stopping the slow run of a speculative task instead of
   starting a copy beside it.  */
START_TEST (test_speculative_task_gets_a_copy)
{
  g_autoptr (GArray) orders = NULL;
  g_autoptr (GArray) stops = NULL;
  run_end_t end;

  start_on_w1 (2, true);
  orders = report (600, 10, 10);
  ck_assert_uint_eq (rig_count_orders (orders, ORDER_STOP), 0);
  ck_assert_uint_eq (rig_count_orders (orders, ORDER_START), 2);
  ck_assert_str_eq (g_array_index (orders, order_t, 0).worker, "w2");
  /* When the first copy is done, the other one is stopped.  */
  for (uint32_t i = 0; i < 2; i++)
    rig_confirm_start (&g_array_index (orders, order_t, i));
  end = rig_end (&g_array_index (orders, order_t, 0), 1, RUN_DONE);
  rig_report ("w2", NULL, 0, &end, 1);
  stops = rig_plan (false);
  ck_assert_uint_eq (rig_count_orders (stops, ORDER_STOP), 1);
  ck_assert_str_eq (g_array_index (stops, order_t, 0).worker, "w1");
}
END_TEST

TEST_PROGRAM_WITH ("jobs/stall", rig_set_up, rig_tear_down,
                   test_stalled_worker_loses_its_tasks,
                   test_slow_worker_loses_its_tasks,
                   test_long_task_is_left_alone,
                   test_speculative_task_gets_a_copy)

#include "rig.h"

/* Guards against a new owner that treats the lease of an adopted run as
   expired and starts its task a second time.  */
START_TEST (test_adopted_run_is_not_started_again)
{
  job_step_t step = rig_step (1);
  run_status_t row = { .attempt = 1, .checkpoint = "", .percent = 50 };
  g_autoptr (GArray) orders = NULL;

  rig_submit (1, &step, 1);
  rig_open_sched (2);
  rig_worker ("w1", 8, true);
  rig_worker ("w2", 8, true);
  row.task = rig_task_ref (1, 0);
  rig_report ("w1", &row, 1, NULL, 0);
  rig_report ("w2", NULL, 0, NULL, 0);
  orders = rig_plan (false);
  ck_assert_uint_eq (rig_count_orders (orders, ORDER_START), 0);
  ck_assert_uint_eq (rig_count_orders (orders, ORDER_STOP), 0);
}
END_TEST

/* Guards against sending a start before its record is durable: the next owner
   would not know of it.  */
START_TEST (test_start_waits_for_its_record)
{
  job_step_t step = rig_step (1);
  GArray *orders;

  rig_open_sched (1);
  rig_worker ("w1", 8, false);
  rig_submit (1, &step, 1);
  for (uint32_t i = 0; i < 3; i++)
    {
      orders = sched_plan (rig.sched, rig.now);
      ck_assert_uint_eq (rig_count_orders (orders, ORDER_START), 0);
      g_array_set_size (orders, 0);
    }
  rig_commit ();
  orders = sched_plan (rig.sched, rig.now);
  ck_assert_uint_eq (rig_count_orders (orders, ORDER_START), 1);
  g_array_set_size (orders, 0);
}
END_TEST

/* Guards against sending a start to a worker that stopped answering while the
   record was written, and against using the run after it was freed.  */
START_TEST (test_planned_start_on_a_silent_worker_is_dropped)
{
  job_step_t step = rig_step (3);
  worker_reply_t lost = { .kind = REPLY_NO_ANSWER };
  GArray *orders;

  rig_open_sched (1);
  rig_worker ("w1", 8, false);
  rig_submit (1, &step, 1);
  orders = sched_plan (rig.sched, rig.now);
  g_array_set_size (orders, 0);
  rig_hold_reply ("w1", &lost, NULL);
  rig_commit ();
  orders = sched_plan (rig.sched, rig.now);
  ck_assert_uint_eq (rig_count_orders (orders, ORDER_START), 0);
  g_array_set_size (orders, 0);
  rig_report ("w1", NULL, 0, NULL, 0);
  g_array_unref (rig_plan (false));
}
END_TEST

TEST_PROGRAM_WITH ("jobs/runs", rig_reset, rig_tear_down,
                   test_adopted_run_is_not_started_again,
                   test_start_waits_for_its_record,
                   test_planned_start_on_a_silent_worker_is_dropped)

#include "rig.h"

/* Guards against starting a task that an earlier owner may have started on a
   worker which has not answered yet.  */
START_TEST (test_placed_task_waits_for_its_worker)
{
  job_step_t step = rig_step (2);
  run_status_t row;
  g_autoptr (GArray) early = NULL;
  g_autoptr (GArray) late = NULL;

  rig_submit (1, &step, 1);
  rig_record_start (1, 0, 1, "w2");
  rig_open_sched (2);
  rig_worker ("w1", 8, false);
  rig_worker ("w2", 8, true);
  /* The other task was not placed, so it can't run anywhere.  */
  early = rig_plan (false);
  ck_assert_uint_eq (rig_count_orders (early, ORDER_START), 1);
  ck_assert_uint_eq (g_array_index (early, order_t, 0).task.index, 1);
  rig_confirm_start (&g_array_index (early, order_t, 0));
  row = rig_status (&g_array_index (early, order_t, 0));
  for (int64_t ms = 0; ms < SCHED_LEASE_HORIZON_MS; ms += 500)
    {
      g_autoptr (GArray) none = NULL;

      rig_advance_clock (500);
      row.percent = (uint32_t)ms / 100; /* it gets on */
      rig_report ("w1", &row, 1, NULL, 0);
      none = rig_plan (false);
      ck_assert_uint_eq (rig_count_orders (none, ORDER_START), 0);
    }
  rig_advance_clock (500);
  row.percent++;
  rig_report ("w1", &row, 1, NULL, 0);
  late = rig_plan (false);
  ck_assert_uint_eq (rig_count_orders (late, ORDER_START), 1);
  ck_assert_uint_gt (g_array_index (late, order_t, 0).attempt, 1);
}
END_TEST

/* A worker that answers and does not list the run has not got it.  */
START_TEST (test_placed_task_that_is_not_listed_starts)
{
  job_step_t step = rig_step (1);
  g_autoptr (GArray) early = NULL;
  g_autoptr (GArray) orders = NULL;

  rig_submit (1, &step, 1);
  rig_record_start (1, 0, 1, "w1");
  rig_open_sched (2);
  rig_advance_clock (5);
  rig_worker ("w1", 8, false);
  /* It may be in neither list while it is being stopped.  */
  early = rig_plan (false);
  ck_assert_uint_eq (rig_count_orders (early, ORDER_START), 0);
  rig_advance_clock (350);
  rig_report ("w1", NULL, 0, NULL, 0);
  orders = rig_plan (false);
  ck_assert_uint_eq (rig_count_orders (orders, ORDER_START), 1);
  ck_assert_uint_eq (g_array_index (orders, order_t, 0).attempt, 2);
}
END_TEST

/* Guards against taking a worker that is no longer listed for gone while it
   may still run what an earlier owner started.  */
START_TEST (test_unlisted_silent_worker_still_counts)
{
  job_step_t step = rig_step (1);
  g_autoptr (GArray) orders = NULL;

  rig_submit (1, &step, 1);
  rig_record_start (1, 0, 1, "w2");
  rig_open_sched (2);
  rig_worker ("w1", 8, false);
  rig_worker ("w2", 8, true);
  sched_unlist_worker (rig.sched, "w2", rig.now);
  rig_advance_clock (1000);
  rig_report ("w1", NULL, 0, NULL, 0);
  orders = rig_plan (false);
  ck_assert_uint_eq (rig_count_orders (orders, ORDER_START), 0);
}
END_TEST

/* Guards against a new owner that closes what it has just planned because the
   worker's last lease is over, and plans it again at once (fresh-a713: 28,728
   times in two seconds).  */
START_TEST (test_old_lease_does_not_end_a_planned_start)
{
  job_step_t step = rig_step (1);
  job_rec_t *rec;

  rig_open_sched (1);
  rig_worker ("w1", 8, false);
  g_array_set_size (sched_plan (rig.sched, rig.now), 0); /* a lease */
  rig_advance_clock (SCHED_LEASE_MS + 600);
  sched_set_load (rig.sched, 100);
  rig_submit (1, &step, 1);
  for (uint32_t i = 0; i < 5; i++)
    {
      rig_report ("w1", NULL, 0, NULL, 0);
      g_array_set_size (sched_plan (rig.sched, rig.now), 0);
    }
  rec = sched_progress (rig.sched);
  ck_assert_ptr_nonnull (rec);
  ck_assert_uint_eq (rec->u.progress.placed->len, 1);
  job_rec_clear (rec);
  g_free (rec);
}
END_TEST

/* Guards against leases that an owner cut off from the log goes on giving.  */
START_TEST (test_no_leases_without_confirmation)
{
  job_step_t step = rig_step (1);
  g_autoptr (GArray) orders = NULL;

  rig_open_sched (1);
  rig_worker ("w1", 8, false);
  rig.now.us += (SCHED_LEASE_HORIZON_MS + 100) * INT64_C (1000);
  rig_report ("w1", NULL, 0, NULL, 0);
  rig_submit (1, &step, 1);
  orders = rig_plan (true);
  ck_assert_uint_eq (rig_count_orders (orders, ORDER_START), 0);
  ck_assert_uint_eq (rig_count_orders (orders, ORDER_HOLD), 1);
  ck_assert_int_eq (g_array_index (orders, order_t, 0).deadline_ms, 0);
}
END_TEST

/* Tasks of a worker that does not answer start again when its lease has surely
   ended, and not before.  */
START_TEST (test_lost_worker_returns_tasks_after_its_lease)
{
  job_step_t step = rig_step (1);
  worker_reply_t lost = { .kind = REPLY_NO_ANSWER };
  order_t start;
  g_autoptr (GArray) early = NULL;
  g_autoptr (GArray) late = NULL;

  rig_open_sched (1);
  rig_worker ("w1", 8, false);
  rig_submit (1, &step, 1);
  start = rig_start_one ();
  rig_confirm_start (&start);
  rig_worker ("w2", 8, false);
  rig_advance_clock (SCHED_LEASE_MS - 100);
  rig_hold_reply ("w1", &lost, NULL);
  rig_report ("w2", NULL, 0, NULL, 0);
  early = rig_plan (false);
  ck_assert_uint_eq (rig_count_orders (early, ORDER_START), 0);
  rig_advance_clock (400);
  rig_report ("w2", NULL, 0, NULL, 0);
  late = rig_plan (false);
  ck_assert_uint_eq (rig_count_orders (late, ORDER_START), 1);
  ck_assert_str_eq (g_array_index (late, order_t, 0).worker, "w2");
}
END_TEST

/* applied_late: one look in twenty gets no answer, and what ended on the
   worker meanwhile must not wait for another held look.  */
START_TEST (test_lost_look_is_repeated_at_once)
{
  worker_reply_t lost = { .kind = REPLY_NO_ANSWER };
  job_step_t step = rig_step (1);
  g_autoptr (GArray) first = NULL;
  g_autoptr (GArray) again = NULL;
  g_autoptr (GArray) starts = NULL;
  const order_t *look;

  rig_open_sched (1);
  rig_worker ("w1", 8, false);
  first = rig_plan (true);
  ck_assert_uint_eq (rig_count_orders (first, ORDER_HOLD), 1);
  ck_assert_uint_gt (g_array_index (first, order_t, 0).wait_ms, 0);
  rig_advance_clock (700);
  rig_hold_reply ("w1", &lost, NULL);
  again = rig_plan (true);
  ck_assert_uint_eq (rig_count_orders (again, ORDER_HOLD), 1);
  look = &g_array_index (again, order_t, 0);
  ck_assert_uint_eq (look->wait_ms, 0);
  ck_assert_int_eq (look->deadline_ms, 0);
  rig_report ("w1", NULL, 0, NULL, 0);
  rig_submit (1, &step, 1);
  starts = rig_plan (false);
  ck_assert_uint_eq (rig_count_orders (starts, ORDER_START), 1);
}
END_TEST

/* Guards against an owner that was replaced while it was cut off: the next one
   renews leases that it takes for ended.  */
START_TEST (test_unconfirmed_owner_returns_no_tasks)
{
  job_step_t step = rig_step (1);
  worker_reply_t lost = { .kind = REPLY_NO_ANSWER };
  order_t start;
  g_autoptr (GArray) orders = NULL;

  rig_open_sched (1);
  rig_worker ("w1", 8, false);
  rig_submit (1, &step, 1);
  start = rig_start_one ();
  rig_confirm_start (&start);
  rig_worker ("w2", 8, false);
  rig.now.us += (SCHED_LEASE_MS + 500) * INT64_C (1000);
  rig_hold_reply ("w1", &lost, NULL);
  rig_report ("w2", NULL, 0, NULL, 0);
  orders = rig_plan (false);
  ck_assert_uint_eq (rig_count_orders (orders, ORDER_START), 0);
}
END_TEST

/* Guards against looks at a silent worker that lengthen its lease for ever:
   its tasks would never start again.  */
START_TEST (test_looks_at_a_silent_worker_give_no_lease)
{
  job_step_t step = rig_step (1);
  worker_reply_t lost = { .kind = REPLY_NO_ANSWER };
  order_t start;
  uint32_t starts = 0;

  rig_open_sched (1);
  rig_worker ("w1", 8, false);
  rig_submit (1, &step, 1);
  start = rig_start_one ();
  rig_confirm_start (&start);
  rig_worker ("w2", 8, false);
  for (uint32_t i = 0; i < 20 && starts == 0; i++)
    {
      g_autoptr (GArray) orders = NULL;

      rig_advance_clock (300);
      rig_hold_reply ("w1", &lost, NULL);
      rig_report ("w2", NULL, 0, NULL, 0);
      orders = rig_plan (false);
      starts = rig_count_orders (orders, ORDER_START);
    }
  ck_assert_uint_eq (starts, 1);
}
END_TEST

/* What an earlier boot ran is over at once.  */
START_TEST (test_other_boot_returns_tasks_at_once)
{
  job_step_t step = rig_step (1);
  order_t start;
  g_autoptr (GArray) orders = NULL;

  rig_open_sched (1);
  rig_worker ("w1", 8, false);
  rig_submit (1, &step, 1);
  start = rig_start_one ();
  rig_confirm_start (&start);
  rig_worker ("w2", 8, false);
  rig_reply (&start, REPLY_OTHER_BOOT);
  orders = rig_plan (false);
  ck_assert_uint_eq (rig_count_orders (orders, ORDER_START), 1);
}
END_TEST

TEST_PROGRAM_WITH ("jobs/workers", rig_reset, rig_tear_down,
                   test_placed_task_waits_for_its_worker,
                   test_placed_task_that_is_not_listed_starts,
                   test_unlisted_silent_worker_still_counts,
                   test_no_leases_without_confirmation,
                   test_old_lease_does_not_end_a_planned_start,
                   test_lost_worker_returns_tasks_after_its_lease,
                   test_lost_look_is_repeated_at_once,
                   test_unconfirmed_owner_returns_no_tasks,
                   test_looks_at_a_silent_worker_give_no_lease,
                   test_other_boot_returns_tasks_at_once)

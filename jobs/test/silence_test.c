#include "rig.h"

#define W1 "w1"

static job_step_t
long_running_step (void)
{
  job_step_t step = rig_step (1);

  step.long_running = true;
  return step;
}

/* The owner of epoch 1 starts a task on w1, which then answers no more.  The
   owner of epoch 2 takes over, with w2 idle.  */
static void
take_over_from_lost_worker (void)
{
  job_step_t step = long_running_step ();
  order_t start;

  rig_open_sched (1);
  rig_worker (W1, RIG_CORES, false);
  rig_submit (1, &step, 1);
  start = rig_start_one ();
  rig_confirm_start (&start);
  rig_advance_clock (100);
  rig_open_sched (2);
  rig_worker (W1, RIG_CORES, true);
  rig_worker ("w2", RIG_CORES, false);
}

/* Lets the holds of w1 fail for MS.  */
static void
fail_holds (int64_t ms)
{
  worker_reply_t lost = { .kind = REPLY_NO_ANSWER };

  for (int64_t passed = 0; passed < ms; passed += 250)
    {
      g_autoptr (GArray) orders = rig_plan (true);

      rig_advance_clock (250);
      rig_report ("w2", NULL, 0, NULL, 0);
      lost.sent_us = rig.now.us;
      rig_hold_reply (W1, &lost, NULL);
    }
}

/* The deadline of the next hold of w1.  */
static int64_t
next_deadline_ms (void)
{
  g_autoptr (GArray) orders = rig_plan (true);

  for (uint32_t i = 0; i < orders->len; i++)
    {
      const order_t *order = &g_array_index (orders, order_t, i);

      if (order->kind == ORDER_HOLD && g_strcmp0 (order->worker, W1) == 0)
        return order->deadline_ms;
    }
  ck_abort_msg ("no hold of w1");
  return 0;
}

/* Guards against a task that waits for the lease of a lost worker once for
   each owner (LOST): no owner sees it end, as each is replaced after 4 s.  */
START_TEST (test_next_owner_does_not_wait_anew)
{
  take_over_from_lost_worker ();
  fail_holds (4000);
  ck_assert_uint_eq (rig_count_planned (ORDER_START), 0);
  rig_open_sched (3);
  rig_worker (W1, RIG_CORES, true);
  rig_worker ("w2", RIG_CORES, false);
  ck_assert_uint_eq (rig_count_planned (ORDER_START), 0);
  fail_holds (1500);
  rig_advance_clock (500);
  rig_report ("w2", NULL, 0, NULL, 0);
  ck_assert_uint_eq (rig_count_planned (ORDER_START), 1);
}
END_TEST

/* Guards against a second run (TWICE): the lease that the first owner granted
   has not ended.  */
START_TEST (test_next_owner_waits_for_the_leases_of_earlier_ones)
{
  take_over_from_lost_worker ();
  fail_holds (1500);
  rig_open_sched (3);
  rig_worker (W1, RIG_CORES, true);
  rig_worker ("w2", RIG_CORES, false);
  fail_holds (3500);
  ck_assert_uint_eq (rig_count_planned (ORDER_START), 0);
}
END_TEST

/* Guards against a second run (TWICE): the worker answers the second owner,
   which extends its lease, while the log says that it doesn't.  */
START_TEST (test_silent_worker_gets_no_lease_before_it_is_recorded)
{
  run_status_t row = rig_row (1, 0, 1);

  take_over_from_lost_worker ();
  fail_holds (2000);
  rig_report (W1, &row, 1, NULL, 0);
  sched_set_durable (rig.sched, 0);
  ck_assert_int_eq (next_deadline_ms (), 0);
  rig_report (W1, &row, 1, NULL, 0);
  rig_advance_clock (10);
  ck_assert_int_gt (next_deadline_ms (), 0);
  ck_assert_uint_eq (g_hash_table_size (rig.tab->silent), 0);
}
END_TEST

/* Guards against the same by an owner that has read a snapshot: how long the
   leases last isn't known then.  */
START_TEST (test_owner_with_a_snapshot_grants_a_silent_worker_no_lease)
{
  run_status_t row = rig_row (1, 0, 1);

  take_over_from_lost_worker ();
  fail_holds (4000);
  rig_load_snapshot ();
  rig_open_sched (3);
  rig_worker (W1, RIG_CORES, true);
  rig_worker ("w2", RIG_CORES, false);
  fail_holds (2250);
  ck_assert_uint_eq (rig_count_planned (ORDER_START), 0);
  rig_report (W1, &row, 1, NULL, 0);
  ck_assert_int_eq (next_deadline_ms (), 0);
}
END_TEST

/* Guards against the wait once for each owner after a loss of all daemons:
   each of them has read a snapshot.  */
START_TEST (test_owner_with_a_snapshot_records_how_long_leases_last)
{
  take_over_from_lost_worker ();
  fail_holds (2000);
  rig_load_snapshot ();
  rig_open_sched (3);
  rig_worker (W1, RIG_CORES, true);
  rig_worker ("w2", RIG_CORES, false);
  fail_holds (4000);
  rig_open_sched (4);
  rig_worker (W1, RIG_CORES, true);
  rig_worker ("w2", RIG_CORES, false);
  ck_assert_uint_eq (rig_count_planned (ORDER_START), 0);
  fail_holds (1500);
  rig_advance_clock (500);
  rig_report ("w2", NULL, 0, NULL, 0);
  ck_assert_uint_eq (rig_count_planned (ORDER_START), 1);
}
END_TEST

/* Guards against rows that stay for good: the worker's runs were recorded as
   over, so that a later owner doesn't know the worker at all.  */
START_TEST (test_worker_without_runs_and_registration_is_not_silent)
{
  g_autoptr (GHashTable) registered
      = g_hash_table_new (g_str_hash, g_str_equal);

  take_over_from_lost_worker ();
  fail_holds (2000);
  rig_record_over (1, 0, 1, 2);
  rig_open_sched (3);
  rig_worker ("w2", RIG_CORES, false);
  ck_assert_uint_eq (g_hash_table_size (rig.tab->silent), 1);
  g_hash_table_add (registered, "w2");
  sched_retain_workers (rig.sched, registered, rig.now);
  rig_commit ();
  ck_assert_uint_eq (g_hash_table_size (rig.tab->silent), 0);
}
END_TEST

/* Guards against a row that is not true (TWICE): this owner has granted the
   worker a lease before it fell silent.  */
START_TEST (test_worker_that_has_a_lease_of_this_owner_is_not_recorded)
{
  run_status_t row = rig_row (1, 0, 1);

  take_over_from_lost_worker ();
  rig_report (W1, &row, 1, NULL, 0);
  ck_assert_int_gt (next_deadline_ms (), 0);
  fail_holds (2000);
  ck_assert_uint_eq (g_hash_table_size (rig.tab->silent), 0);
}
END_TEST

/* Guards against the wait for a worker whose registration has expired: it is
   not asked at all.  */
START_TEST (test_worker_that_is_not_registered_is_recorded)
{
  g_autoptr (GHashTable) registered
      = g_hash_table_new (g_str_hash, g_str_equal);
  job_step_t step = long_running_step ();

  rig_submit (1, &step, 1);
  rig_record_start (1, 0, 1, g_intern_string (W1));
  rig_open_sched (2);
  rig_worker ("w2", RIG_CORES, false);
  rig_advance_clock (2000);
  ck_assert_uint_eq (rig_count_planned (ORDER_START), 0);
  /* The store is slow: the registrations were not read yet.  */
  ck_assert_uint_eq (g_hash_table_size (rig.tab->silent), 0);
  g_hash_table_add (registered, "w2");
  sched_retain_workers (rig.sched, registered, rig.now);
  g_array_unref (rig_plan (false));
  rig_advance_clock (1300);
  g_array_unref (rig_plan (false));
  ck_assert_uint_eq (g_hash_table_size (rig.tab->silent), 1);
}
END_TEST

/* Guards against leases that are held back from most workers of a large fleet
   after a take-over: other tasks are shorter than the wait.  */
START_TEST (test_worker_without_long_running_tasks_is_not_recorded)
{
  job_step_t step = rig_step (1);

  rig_submit (1, &step, 1);
  rig_record_start (1, 0, 1, g_intern_string (W1));
  rig_open_sched (2);
  rig_worker (W1, RIG_CORES, true);
  rig_worker ("w2", RIG_CORES, false);
  fail_holds (2000);
  ck_assert_uint_eq (g_hash_table_size (rig.tab->silent), 0);
}
END_TEST

/* Guards against rows that stay for good: a worker that is gone is removed. */
START_TEST (test_worker_that_is_gone_is_not_silent)
{
  take_over_from_lost_worker ();
  fail_holds (4000);
  ck_assert_uint_eq (g_hash_table_size (rig.tab->silent), 1);
  sched_unlist_worker (rig.sched, W1, rig.now);
  fail_holds (2250);
  rig_advance_clock (250);
  g_array_unref (rig_plan (false));
  rig_commit ();
  ck_assert_uint_eq (g_hash_table_size (rig.tab->silent), 0);
}
END_TEST

TEST_PROGRAM_WITH ("jobs/silence", rig_reset, rig_tear_down,
                   test_next_owner_does_not_wait_anew,
                   test_next_owner_waits_for_the_leases_of_earlier_ones,
                   test_silent_worker_gets_no_lease_before_it_is_recorded,
                   test_owner_with_a_snapshot_grants_a_silent_worker_no_lease,
                   test_owner_with_a_snapshot_records_how_long_leases_last,
                   test_worker_without_runs_and_registration_is_not_silent,
                   test_worker_that_has_a_lease_of_this_owner_is_not_recorded,
                   test_worker_that_is_not_registered_is_recorded,
                   test_worker_without_long_running_tasks_is_not_recorded,
                   test_worker_that_is_gone_is_not_silent)

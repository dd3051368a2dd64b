#include "rig.h"

/* Returns the start of a task that either of two workers could run.  */
static order_t
start_with_two_workers (void)
{
  job_step_t step = rig_step (1);

  rig_open_sched (1);
  rig_worker ("w1", 8, false);
  rig_worker ("w2", 8, false);
  rig_submit (1, &step, 1);
  return rig_start_one ();
}

/* Guards against starting a task elsewhere while an unanswered start may still
   be carried out.  */
START_TEST (test_unanswered_start_is_stopped_first)
{
  order_t start;
  order_t repeat;
  g_autoptr (GArray) stops = NULL;
  g_autoptr (GArray) again = NULL;

  start = start_with_two_workers ();
  rig_reply (&start, REPLY_NO_ANSWER);
  rig_advance_clock (150);
  repeat = rig_start_one ();
  ck_assert_uint_eq (repeat.attempt, start.attempt);
  ck_assert_str_eq (repeat.worker, start.worker);
  rig_reply (&repeat, REPLY_NO_ANSWER);
  stops = rig_plan (false);
  ck_assert_uint_eq (rig_count_orders (stops, ORDER_START), 0);
  ck_assert_uint_eq (rig_count_orders (stops, ORDER_STOP), 1);
  rig_reply (&g_array_index (stops, order_t, 0), REPLY_OK);
  rig_advance_clock (400);
  rig_report ("w1", NULL, 0, NULL, 0);
  rig_report ("w2", NULL, 0, NULL, 0);
  again = rig_plan (false);
  ck_assert_uint_eq (rig_count_orders (again, ORDER_START), 1);
  ck_assert_uint_gt (g_array_index (again, order_t, 0).attempt, start.attempt);
}
END_TEST

/* Guards against stopping a running long-running task because the answer to
   its start was lost (run hunt-7d33-7: 64 tasks more than
   max_unavailable).  */
START_TEST (test_unanswered_start_of_a_long_running_task_is_not_stopped)
{
  job_step_t step = rig_step (1);
  order_t start;

  step.long_running = true;
  step.max_unavailable = 1;
  rig_open_sched (1);
  rig_worker ("w1", 8, false);
  rig_submit (1, &step, 1);
  start = rig_start_one ();
  for (uint32_t i = 0; i < 4; i++)
    {
      order_t repeat;

      rig_reply (&start, i % 2 ? REPLY_REFUSED : REPLY_NO_ANSWER);
      rig_advance_clock (150);
      rig_report ("w1", NULL, 0, NULL, 0);
      repeat = rig_start_one ();
      ck_assert_uint_eq (repeat.attempt, start.attempt);
    }
}
END_TEST

/* Guards against closing a run because its second start was rejected while the
   first, unanswered one may still be carried out.  */
START_TEST (test_rejected_resend_is_stopped_first)
{
  order_t start;
  g_autoptr (GArray) orders = NULL;

  start = start_with_two_workers ();
  rig_reply (&start, REPLY_NO_ANSWER);
  rig_advance_clock (150);
  start = rig_start_one ();
  rig_reply (&start, REPLY_NO_ROOM);
  orders = rig_plan (false);
  ck_assert_uint_eq (rig_count_orders (orders, ORDER_START), 0);
  ck_assert_uint_eq (rig_count_orders (orders, ORDER_STOP), 1);
}
END_TEST

/* Guards against closing a run because its second start came too late, while
   the first, unanswered one may have been carried out: the task would start
   elsewhere, and the run that serves would be stopped as unknown.  */
START_TEST (test_late_repeat_does_not_end_a_run)
{
  order_t start;
  run_status_t row;
  g_autoptr (GArray) orders = NULL;
  g_autoptr (GArray) listed = NULL;

  start = start_with_two_workers ();
  rig_reply (&start, REPLY_NO_ANSWER);
  rig_advance_clock (150);
  start = rig_start_one ();
  rig_reply (&start, REPLY_LATE_ORDER);
  rig_advance_clock (100);
  orders = rig_plan (false);
  for (uint32_t i = 0; i < orders->len; i++)
    ck_assert_uint_eq (g_array_index (orders, order_t, i).attempt,
                       start.attempt);
  row = rig_status (&start);
  row.percent = 10;
  rig_report (start.worker, &row, 1, NULL, 0);
  listed = rig_plan (false);
  ck_assert_uint_eq (listed->len, 0);
}
END_TEST

/* Guards against treating leases of an earlier owner as expired when the
   answer to a stop reveals the worker's clock before its first report.  */
START_TEST (test_stop_answer_ends_no_inherited_lease)
{
  job_step_t step = rig_step (2);
  worker_reply_t stopped = { .kind = REPLY_OK, .has_clock = true };
  g_autoptr (GArray) stops = NULL;
  g_autoptr (GArray) orders = NULL;

  rig_submit (1, &step, 1);
  rig_submit (2, &step, 1);
  rig_record_start (1, 0, 1, "w2");
  rig_record_start (2, 0, 1, "w2");
  rig_record_start (2, 1, 1, "w2");
  rig_open_sched (2);
  rig_worker ("w1", 8, false);
  rig_worker ("w2", 8, true);
  sched_cancel_job (rig.sched, rig_id (1));
  stops = rig_plan (false);
  ck_assert_uint_eq (rig_count_orders (stops, ORDER_STOP), 1);
  stopped.clock_ms = rig.now.us / 1000;
  sched_order_reply (rig.sched, &g_array_index (stops, order_t, 0), &stopped,
                     rig.now);
  rig_advance_clock (200);
  orders = rig_plan (false);
  ck_assert_uint_eq (rig_count_orders (orders, ORDER_START), 0);
}
END_TEST

/* Guards against letting a worker forget an end before its record is
   durable.  */
START_TEST (test_end_is_forgotten_only_once_durable)
{
  job_step_t step = rig_step (2);
  order_t first;
  order_t second;
  run_end_t end;
  run_status_t row;
  g_autoptr (GArray) starts = NULL;
  g_autoptr (GArray) before = NULL;
  g_autoptr (GArray) after = NULL;
  job_rec_t *rec;

  rig_open_sched (1);
  rig_worker ("w1", 8, false);
  rig_submit (1, &step, 1);
  starts = rig_plan (false);
  ck_assert_uint_eq (rig_count_orders (starts, ORDER_START), 2);
  first = g_array_index (starts, order_t, 0);
  second = g_array_index (starts, order_t, 1);
  rig_confirm_start (&first);
  rig_confirm_start (&second);
  end = rig_end (&first, 1, RUN_DONE);
  row = rig_status (&second);
  rig_report ("w1", &row, 1, &end, 1);
  rec = sched_progress (rig.sched);
  ck_assert_ptr_nonnull (rec);
  /* An empty batch after it must not make it durable.  */
  ck_assert_ptr_null (sched_progress (rig.sched));
  rig_advance_clock (300);
  before = rig_plan (true);
  ck_assert_uint_eq (rig_count_orders (before, ORDER_HOLD), 1);
  ck_assert_uint_eq (g_array_index (before, order_t, 0).ends_durable, 0);
  sched_set_durable (rig.sched, rec->u.progress.batch);
  rig_report ("w1", &row, 1, &end, 1);
  after = rig_plan (true);
  ck_assert_uint_eq (rig_count_orders (after, ORDER_HOLD), 1);
  ck_assert_uint_eq (g_array_index (after, order_t, 0).ends_durable, 1);
  job_rec_clear (rec);
  g_free (rec);
}
END_TEST

/* Guards against miscounting failures when several workers report their ends
   out of order.  */
START_TEST (test_failures_count_in_any_order)
{
  job_step_t step = rig_step (1);
  run_end_t ends[3];
  g_autoptr (GArray) orders = NULL;

  rig_submit (1, &step, 1);
  rig_open_sched (2);
  rig_worker ("w1", 8, true);
  rig_worker ("w2", 8, true);
  for (uint32_t i = 0; i < 3; i++)
    ends[i] = (run_end_t){ .sequence = i + 1,
                           .task = rig_task_ref (1, 0),
                           .attempt = i + 1,
                           .kind = RUN_FAILED,
                           .checkpoint = "" };
  rig_report ("w1", NULL, 0, &ends[2], 1);
  rig_report ("w2", NULL, 0, ends, 2);
  orders = rig_plan (false);
  ck_assert_uint_eq (rig_count_orders (orders, ORDER_START), 0);
  rig_commit ();
  ck_assert_int_eq (rig_job_state (1), JOB_STATE_FAILED);
}
END_TEST

/* Guards against an owner that continues after a worker has rejected its
   fencing token.  */
START_TEST (test_fenced_reply_ends_the_ownership)
{
  job_step_t step = rig_step (1);
  order_t start;

  rig_open_sched (1);
  rig_worker ("w1", 8, false);
  rig_submit (1, &step, 1);
  start = rig_start_one ();
  ck_assert (!rig_reply (&start, REPLY_FENCED));
}
END_TEST

/* Guards against a failing worker that uses up all attempts of a task: it has
   the most free CPU and is chosen each time.  */
START_TEST (test_failed_task_is_tried_elsewhere)
{
  job_step_t step = rig_step (1);
  job_step_t fill = rig_step (8);
  run_end_t end;
  order_t start;
  const char *other;
  g_autoptr (GArray) busy = NULL;
  g_autoptr (GArray) again = NULL;

  rig_open_sched (1);
  rig_worker ("w1", 8, false);
  rig_submit (1, &step, 1);
  start = rig_start_one ();
  rig_confirm_start (&start);
  rig_worker ("w2", 8, false);
  other = "w2";
  rig_submit (2, &fill, 1);
  busy = rig_plan (false);
  ck_assert_uint_eq (rig_count_orders (busy, ORDER_START), 8);
  end = rig_end (&start, 1, RUN_FAILED);
  rig_report ("w1", NULL, 0, &end, 1);
  again = rig_plan (false);
  for (uint32_t i = 0; i < again->len; i++)
    ck_assert_str_eq (g_array_index (again, order_t, i).worker, other);
}
END_TEST

/* Guards against sending further tasks to a worker on which all tasks
   fail.  */
START_TEST (test_failing_worker_is_paused)
{
  job_step_t step = rig_step (1);
  run_end_t end;
  order_t start;
  g_autoptr (GArray) orders = NULL;

  rig_open_sched (1);
  rig_worker ("w1", 8, false);
  for (uint32_t i = 0; i < 2; i++)
    {
      rig_submit (1 + i, &step, 1);
      start = rig_start_one ();
      rig_confirm_start (&start);
      sched_cancel_job (rig.sched, rig_id (1 + i));
      end = rig_end (&start, i + 1, RUN_FAILED);
      rig_report ("w1", NULL, 0, &end, 1);
    }
  rig_submit (9, &step, 1);
  orders = rig_plan (false);
  ck_assert_uint_eq (rig_count_orders (orders, ORDER_START), 0);
}
END_TEST

TEST_PROGRAM_WITH ("jobs/replies", rig_reset, rig_tear_down,
                   test_unanswered_start_is_stopped_first,
                   test_unanswered_start_of_a_long_running_task_is_not_stopped,
                   test_rejected_resend_is_stopped_first,
                   test_late_repeat_does_not_end_a_run,
                   test_stop_answer_ends_no_inherited_lease,
                   test_end_is_forgotten_only_once_durable,
                   test_failures_count_in_any_order,
                   test_fenced_reply_ends_the_ownership,
                   test_failed_task_is_tried_elsewhere,
                   test_failing_worker_is_paused)

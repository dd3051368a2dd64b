#include "rig.h"

/* Both workers list their copies.  */
static void
report_copies (void)
{
  run_status_t first = rig_row (1, 0, 1);
  run_status_t second = rig_row (1, 0, 2);

  rig_report ("w1", &first, 1, NULL, 0);
  rig_report ("w2", &second, 1, NULL, 0);
}

/* Guards against a task that starts beside another one of its step, beyond the
   limit per worker (ROUTE): the new owner didn't count a copy that the worker
   listed.  */
START_TEST (test_copy_counts_for_the_limit_per_worker)
{
  job_step_t step = rig_speculative_step (2);

  step.spread_max = 1;
  rig_take_over_copies (&step);
  report_copies ();
  ck_assert_uint_eq (rig_count_planned (ORDER_START), 0);
}
END_TEST

/* Guards against a copy whose work is thrown away when the owner changes.  */
START_TEST (test_copy_goes_on_after_a_change_of_the_owner)
{
  job_step_t step = rig_speculative_step (1);

  rig_take_over_copies (&step);
  report_copies ();
  ck_assert_uint_eq (rig_count_planned (ORDER_STOP), 0);
}
END_TEST

/* Guards against a workspace that has more running than its cap: the new owner
   didn't count a copy that the worker listed.  */
START_TEST (test_copy_counts_for_the_cap)
{
  job_step_t step = rig_speculative_step (1);
  job_step_t other = rig_step (1);

  rig_take_over_copies (&step);
  rig_set_cap (2000);
  report_copies ();
  rig_submit (2, &other, 1);
  ck_assert_uint_eq (rig_count_planned (ORDER_START), 0);
}
END_TEST

/* Guards against a start beside a run that is being stopped and is in neither
   list of its worker: what is being stopped still counts.  */
START_TEST (test_orphan_counts_until_it_has_ended)
{
  job_step_t step = rig_speculative_step (2);
  run_status_t row = rig_row (1, 0, 1);
  run_end_t end = { .sequence = 1, .attempt = 1, .kind = RUN_STOPPED };
  g_autoptr (GArray) orders = NULL;

  step.spread_max = 1;
  rig_submit (1, &step, 1);
  rig_record_start (1, 0, 1, g_intern_string ("w1"));
  rig_record_start (1, 0, 2, g_intern_string ("w2"));
  rig_record_end (1, 0, 2);
  rig_open_sched (2);
  rig_worker ("w1", RIG_CORES, true);
  rig_report ("w1", &row, 1, NULL, 0);
  orders = rig_plan (false);
  ck_assert_uint_eq (rig_count_orders (orders, ORDER_STOP), 1);
  ck_assert_uint_eq (rig_count_orders (orders, ORDER_START), 0);
  rig_advance_clock (50);
  rig_report ("w1", NULL, 0, NULL, 0);
  ck_assert_uint_eq (rig_count_planned (ORDER_START), 0);
  rig_advance_clock (50);
  end.task = row.task;
  rig_report ("w1", NULL, 0, &end, 1);
  ck_assert_uint_eq (rig_count_planned (ORDER_START), 1);
}
END_TEST

/* Guards against a stop that leaves too few of a step at work (AVAIL): a run
   that is not the present one of its task was stopped without that check.  */
START_TEST (test_stop_of_an_orphan_is_judged)
{
  job_step_t step = rig_step (2);
  run_status_t first = rig_row (1, 0, 1);
  run_status_t second = rig_row (1, 0, 2);

  step.long_running = true;
  step.max_unavailable = 1;
  rig_take_over_copies (&step);
  rig_report ("w1", &first, 1, NULL, 0); /* task 1 doesn't run */
  ck_assert_uint_eq (rig_count_planned (ORDER_STOP), 0);
  rig_advance_clock (50);
  rig_report ("w1", &first, 1, NULL, 0);
  rig_report ("w2", &second, 1, NULL, 0);
  ck_assert_uint_eq (rig_count_planned (ORDER_STOP), 1);
}
END_TEST

/* Guards against two runs of a task at once (TWICE): its present run failed
   while one that is not the present one was still being stopped.  */
START_TEST (test_task_waits_for_the_end_of_an_orphan)
{
  job_step_t step = rig_step (1);
  run_status_t first = rig_row (1, 0, 1);
  run_end_t failed = { .sequence = 1, .attempt = 2, .kind = RUN_FAILED };
  run_end_t stopped = { .sequence = 1, .attempt = 1, .kind = RUN_STOPPED };

  rig_take_over_copies (&step);
  failed.task = stopped.task = first.task;
  rig_report ("w1", &first, 1, NULL, 0);
  rig_report ("w2", NULL, 0, &failed, 1);
  ck_assert_uint_eq (rig_count_planned (ORDER_START), 0);
  rig_advance_clock (50);
  rig_report ("w1", NULL, 0, &stopped, 1);
  ck_assert_uint_eq (rig_count_planned (ORDER_START), 1);
}
END_TEST

/* Guards against a planned start that is sent although its worker has listed
   an unexpected run since, which takes the room (LIMIT).  */
START_TEST (test_planned_start_is_judged_again)
{
  job_step_t step = rig_speculative_step (1);
  job_step_t wide = rig_step (1);
  run_status_t first = rig_row (1, 0, 1);
  GArray *orders;

  wide.need.cpu_milli = 1000 * RIG_CORES;
  rig_take_over_copies (&step);
  rig_report ("w1", NULL, 0, NULL, 0);
  rig_submit (2, &wide, 1);
  orders = sched_plan (rig.sched, rig.now);
  ck_assert_uint_eq (rig_count_orders (orders, ORDER_START), 0);
  g_array_set_size (orders, 0);
  rig_advance_clock (50);
  rig_report ("w1", &first, 1, NULL, 0);
  ck_assert_uint_eq (rig_count_planned (ORDER_START), 0);
}
END_TEST

/* Eight tasks of job 1 wait for w1, which runs eight of a job that the owner
   doesn't have.  */
static void
report_unknown_job (void)
{
  job_step_t step = rig_step (RIG_CORES);
  run_status_t rows[RIG_CORES];

  rig_submit (1, &step, 1);
  rig_open_sched (2);
  rig_worker ("w1", RIG_CORES, true);
  for (uint32_t i = 0; i < RIG_CORES; i++)
    rows[i] = rig_row (9, i, 1);
  rig_report ("w1", rows, RIG_CORES, NULL, 0);
}

/* Guards against starts beyond the capacity of a worker (LIMIT): runs of a job
   that has ended were stopped and not counted.  */
START_TEST (test_runs_of_an_unknown_job_keep_their_room)
{
  g_autoptr (GArray) orders = NULL;

  report_unknown_job ();
  orders = rig_plan (false);
  ck_assert_uint_eq (rig_count_orders (orders, ORDER_STOP), RIG_CORES);
  ck_assert_uint_eq (rig_count_orders (orders, ORDER_START), 0);
}
END_TEST

/* Guards against a worker that stays out of use after it has ended runs of a
   job that the owner doesn't have.  */
START_TEST (test_worker_is_used_once_unknown_runs_have_ended)
{
  run_end_t ends[RIG_CORES];

  report_unknown_job ();
  ck_assert_uint_eq (rig_count_planned (ORDER_START), 0);
  rig_advance_clock (50);
  rig_report ("w1", NULL, 0, NULL, 0);
  ck_assert_uint_eq (rig_count_planned (ORDER_START), 0);
  for (uint32_t i = 0; i < RIG_CORES; i++)
    ends[i] = (run_end_t){ .sequence = i + 1,
                           .task = rig_task_ref (9, i),
                           .attempt = 1,
                           .kind = RUN_STOPPED };
  rig_advance_clock (50);
  rig_report ("w1", NULL, 0, ends, RIG_CORES);
  ck_assert_uint_eq (rig_count_planned (ORDER_START), RIG_CORES);
}
END_TEST

/* Guards against a worker that stays out of use as it never lists the ends of
   runs of a job that the owner doesn't have.  */
START_TEST (test_unknown_runs_that_are_not_listed_are_over)
{
  report_unknown_job ();
  ck_assert_uint_eq (rig_count_planned (ORDER_START), 0);
  rig_advance_clock (50);
  rig_report ("w1", NULL, 0, NULL, 0);
  rig_advance_clock (400);
  rig_report ("w1", NULL, 0, NULL, 0);
  ck_assert_uint_eq (rig_count_planned (ORDER_START), RIG_CORES);
}
END_TEST

/* Opens a new owner of job 1, the task of which runs as a copy on w2, and of
   job 2 with STEP, the start of which on w1 is returned.  */
static order_t
queue_start (const job_step_t *step)
{
  job_step_t copies = rig_speculative_step (1);

  rig_take_over_copies (&copies);
  rig_report ("w1", NULL, 0, NULL, 0);
  rig_advance_clock (50);
  rig_report ("w1", NULL, 0, NULL, 0);
  rig_advance_clock (400);
  rig_report ("w1", NULL, 0, NULL, 0);
  rig_submit (2, step, 1);
  return rig_start_one ();
}

/* Guards against a queued start that is sent although its worker has listed an
   unexpected run since, which takes the room (LIMIT).  */
START_TEST (test_queued_start_is_judged_again)
{
  job_step_t wide = rig_step (1);
  run_status_t first = rig_row (1, 0, 1);
  order_t start;

  wide.need.cpu_milli = 1000 * RIG_CORES;
  start = queue_start (&wide);
  ck_assert (sched_order_is_due (rig.sched, &start, rig.now));
  rig_advance_clock (50);
  rig_report ("w1", &first, 1, NULL, 0);
  ck_assert (!sched_order_is_due (rig.sched, &start, rig.now));
  ck_assert_uint_eq (rig_count_planned (ORDER_START), 0);
}
END_TEST

/* Guards against the same beside a run whose needs aren't known.  */
START_TEST (test_queued_start_waits_for_unknown_runs)
{
  job_step_t step = rig_step (1);
  run_status_t row = rig_row (9, 0, 1);
  order_t start = queue_start (&step);

  rig_advance_clock (50);
  rig_report ("w1", &row, 1, NULL, 0);
  ck_assert (!sched_order_is_due (rig.sched, &start, rig.now));
  ck_assert_uint_eq (rig_count_planned (ORDER_START), 0);
}
END_TEST

/* Guards against a start that is sent again although its worker has listed an
   unexpected run since, which takes the room (LIMIT).  */
START_TEST (test_repeated_start_is_judged_again)
{
  job_step_t wide = rig_step (1);
  run_status_t first = rig_row (1, 0, 1);
  order_t start;

  wide.need.cpu_milli = 1000 * RIG_CORES;
  start = queue_start (&wide);
  rig_reply (&start, REPLY_NO_ANSWER);
  rig_advance_clock (50);
  rig_report ("w1", &first, 1, NULL, 0);
  rig_advance_clock (100);
  ck_assert_uint_eq (rig_count_planned (ORDER_START), 0);
}
END_TEST

/* Guards against a planned start that is sent although a worker has listed an
   unexpected run since, which takes the workspace to its cap (QUOTA).  */
START_TEST (test_planned_start_is_judged_by_the_cap)
{
  job_step_t step = rig_step (1);
  job_step_t copies = rig_speculative_step (1);
  run_status_t first = rig_row (1, 0, 1);
  GArray *orders;

  copies.need.cpu_milli = 4000;
  rig_take_over_copies (&copies);
  rig_set_cap (8000);
  rig_advance_clock (50);
  rig_report ("w1", NULL, 0, NULL, 0);
  rig_advance_clock (400);
  rig_report ("w1", NULL, 0, NULL, 0);
  step.need.cpu_milli = 4000;
  rig_submit (2, &step, 1);
  orders = sched_plan (rig.sched, rig.now);
  ck_assert_uint_eq (rig_count_orders (orders, ORDER_START), 0);
  ck_assert (sched_has_progress (rig.sched));
  g_array_set_size (orders, 0);
  rig_advance_clock (50);
  rig_report ("w1", &first, 1, NULL, 0);
  ck_assert_uint_eq (rig_count_planned (ORDER_START), 0);
}
END_TEST

/* Guards against the same for a start that waits for its turn to be sent.  */
START_TEST (test_queued_start_is_judged_by_the_cap)
{
  job_step_t step = rig_step (1);
  run_status_t first = rig_row (1, 0, 1);
  order_t start = queue_start (&step);

  rig_set_cap (2000);
  ck_assert (sched_order_is_due (rig.sched, &start, rig.now));
  rig_advance_clock (50);
  rig_report ("w1", &first, 1, NULL, 0);
  ck_assert (!sched_order_is_due (rig.sched, &start, rig.now));
  ck_assert_uint_eq (rig_count_planned (ORDER_START), 0);
}
END_TEST

/* Guards against a gang of which a part is started.  */
START_TEST (test_gang_waits_for_an_unknown_run)
{
  job_step_t step = rig_step (2);
  run_status_t row = rig_row (9, 0, 1);
  GArray *orders;

  step.gang = true;
  step.spread_max = 1;
  rig_submit (1, &step, 1);
  rig_open_sched (2);
  rig_worker ("w1", RIG_CORES, false);
  rig_worker ("w2", RIG_CORES, false);
  orders = sched_plan (rig.sched, rig.now);
  ck_assert (sched_has_progress (rig.sched));
  g_array_set_size (orders, 0);
  rig_report ("w2", &row, 1, NULL, 0);
  ck_assert_uint_eq (rig_count_planned (ORDER_START), 0);
}
END_TEST

/* Guards against a start beside a listed run whose needs aren't known (LIMIT):
   as this owner has granted its worker no lease, the run was taken for over.
 */
START_TEST (test_unknown_run_without_a_known_lease_counts)
{
  job_step_t step = rig_step (1);
  run_status_t row = rig_row (9, 0, 1);

  rig_open_sched (2);
  rig_advance_clock (2 * SCHED_LEASE_HORIZON_MS);
  rig_worker ("w1", RIG_CORES, true);
  rig_report ("w1", &row, 1, NULL, 0);
  rig_submit (1, &step, 1);
  ck_assert_uint_eq (rig_count_planned (ORDER_START), 0);
}
END_TEST

TEST_PROGRAM_WITH ("jobs/orphans", rig_reset, rig_tear_down,
                   test_copy_counts_for_the_limit_per_worker,
                   test_copy_goes_on_after_a_change_of_the_owner,
                   test_copy_counts_for_the_cap,
                   test_orphan_counts_until_it_has_ended,
                   test_stop_of_an_orphan_is_judged,
                   test_task_waits_for_the_end_of_an_orphan,
                   test_planned_start_is_judged_again,
                   test_runs_of_an_unknown_job_keep_their_room,
                   test_worker_is_used_once_unknown_runs_have_ended,
                   test_unknown_runs_that_are_not_listed_are_over,
                   test_queued_start_is_judged_again,
                   test_queued_start_waits_for_unknown_runs,
                   test_repeated_start_is_judged_again,
                   test_planned_start_is_judged_by_the_cap,
                   test_queued_start_is_judged_by_the_cap,
                   test_gang_waits_for_an_unknown_run,
                   test_unknown_run_without_a_known_lease_counts)

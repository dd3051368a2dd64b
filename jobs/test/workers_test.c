#include "rig.h"

/* Guards against starting a task that an earlier owner may have started on a
   worker that has not answered yet.  */
START_TEST (test_recorded_start_waits_for_its_worker)
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
  /* The other task has no recorded start, so it can't be running.  */
  early = rig_plan (false);
  ck_assert_uint_eq (rig_count_orders (early, ORDER_START), 1);
  ck_assert_uint_eq (g_array_index (early, order_t, 0).task.index, 1);
  rig_confirm_start (&g_array_index (early, order_t, 0));
  row = rig_status (&g_array_index (early, order_t, 0));
  for (int64_t ms = 0; ms < SCHED_LEASE_HORIZON_MS; ms += 500)
    {
      g_autoptr (GArray) none = NULL;

      rig_advance_clock (500);
      row.percent = (uint32_t)ms / 100; /* it makes progress */
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

/* Guards against a task that never starts because its recorded start did not
   reach the worker, which reports without listing it.  */
START_TEST (test_recorded_start_that_is_not_listed_is_repeated)
{
  job_step_t step = rig_step (1);
  g_autoptr (GArray) early = NULL;
  g_autoptr (GArray) orders = NULL;

  rig_submit (1, &step, 1);
  rig_record_start (1, 0, 1, "w1");
  rig_open_sched (2);
  rig_advance_clock (5);
  rig_worker ("w1", 8, false);
  /* A run that is being stopped may be in neither list.  */
  early = rig_plan (false);
  ck_assert_uint_eq (rig_count_orders (early, ORDER_START), 0);
  rig_advance_clock (350);
  rig_report ("w1", NULL, 0, NULL, 0);
  orders = rig_plan (false);
  ck_assert_uint_eq (rig_count_orders (orders, ORDER_START), 1);
  ck_assert_uint_eq (g_array_index (orders, order_t, 0).attempt, 2);
}
END_TEST

/* Guards against removing an unlisted worker while it may still run what an
   earlier owner started.  */
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

/* Guards against an owner that closes a planned run because the worker's
   previous lease has expired, and plans it again at once (run fresh-a713:
   28,728 times in two seconds).  */
START_TEST (test_old_lease_does_not_end_a_planned_start)
{
  job_step_t step = rig_step (1);
  job_rec_t *rec;

  rig_open_sched (1);
  rig_worker ("w1", 8, false);
  g_array_set_size (sched_plan (rig.sched, rig.now), 0); /* grants a lease */
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

/* Guards against an owner that keeps granting leases while it is cut off from
   the log.  */
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

/* Guards against restarting the tasks of an unreachable worker before its
   lease has expired, or not at all.  */
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

/* Guards against delayed ends under the disruption applied_late, where one
   hold in twenty gets no answer: the next hold must return at once.  */
START_TEST (test_lost_hold_is_repeated_at_once)
{
  worker_reply_t lost = { .kind = REPLY_NO_ANSWER };
  job_step_t step = rig_step (1);
  g_autoptr (GArray) first = NULL;
  g_autoptr (GArray) again = NULL;
  g_autoptr (GArray) starts = NULL;
  const order_t *hold;

  rig_open_sched (1);
  rig_worker ("w1", 8, false);
  first = rig_plan (true);
  ck_assert_uint_eq (rig_count_orders (first, ORDER_HOLD), 1);
  ck_assert_uint_gt (g_array_index (first, order_t, 0).wait_ms, 0);
  rig_advance_clock (700);
  rig_hold_reply ("w1", &lost, NULL);
  again = rig_plan (true);
  ck_assert_uint_eq (rig_count_orders (again, ORDER_HOLD), 1);
  hold = &g_array_index (again, order_t, 0);
  ck_assert_uint_eq (hold->wait_ms, 0);
  ck_assert_int_eq (hold->deadline_ms, 0);
  rig_report ("w1", NULL, 0, NULL, 0);
  rig_submit (1, &step, 1);
  starts = rig_plan (false);
  ck_assert_uint_eq (rig_count_orders (starts, ORDER_START), 1);
}
END_TEST

/* Guards against an owner that was replaced while it was cut off and restarts
   tasks whose leases the next owner has renewed.  */
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

/* Guards against holds that keep extending the lease of an unreachable worker:
   its tasks would never restart.  */
START_TEST (test_holds_to_an_unreachable_worker_grant_no_lease)
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

/* Guards against waiting for the lease of a worker that has restarted: its
   earlier runs are over.  */
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

/* Guards against taking a stopped run for over because no report has listed
   its end, when no report was read since: it may have ended as done
   (valtel-sched with 1,176 workers, day t2: TWICE).  */
START_TEST (test_stop_is_over_only_when_a_report_shows_it)
{
  job_step_t step = rig_step (1);
  order_t start;
  run_end_t end;
  g_autoptr (GArray) stops = NULL;
  g_autoptr (GArray) early = NULL;
  g_autoptr (GArray) late = NULL;

  rig_open_sched (1);
  rig_worker ("w1", 8, false);
  rig_worker ("w2", 8, false);
  rig_submit (1, &step, 1);
  start = rig_start_one ();
  rig_reply (&start, REPLY_NO_ANSWER);
  rig_advance_clock (150);
  start = rig_start_one ();
  rig_reply (&start, REPLY_NO_ANSWER);
  stops = rig_plan (false);
  ck_assert_uint_eq (rig_count_orders (stops, ORDER_STOP), 1);
  rig_reply (&g_array_index (stops, order_t, 0), REPLY_OK);
  rig_advance_clock (400);
  early = rig_plan (false);
  ck_assert_uint_eq (rig_count_orders (early, ORDER_START), 0);
  end = rig_end (&start, 1, RUN_DONE);
  rig_report (start.worker, NULL, 0, &end, 1);
  late = rig_plan (false);
  ck_assert_uint_eq (rig_count_orders (late, ORDER_START), 0);
  ck_assert_int_eq (rig_job_state (1), JOB_STATE_COMPLETE);
}
END_TEST

/* Guards against taking a run for over because two reports don't list it that
   were read long after each other, but written one right after the other: it
   is being stopped.  */
START_TEST (test_run_is_over_only_when_reports_lie_apart)
{
  job_step_t step = rig_step (1);
  worker_reply_t reply = { .kind = REPLY_OK, .has_clock = true };
  worker_report_t report = { .runs = NULL };
  g_autoptr (GArray) early = NULL;
  g_autoptr (GArray) late = NULL;

  rig_submit (1, &step, 1);
  rig_record_start (1, 0, 1, "w1");
  rig_open_sched (2);
  rig_advance_clock (5);
  rig_worker ("w1", 8, false);
  reply.sent_us = rig.now.us + 1000;
  rig_advance_clock (330);
  reply.clock_ms = rig.now.us / 1000;
  rig_hold_reply ("w1", &reply, &report);
  early = rig_plan (false);
  ck_assert_uint_eq (rig_count_orders (early, ORDER_START), 0);
  rig_report ("w1", NULL, 0, NULL, 0);
  late = rig_plan (false);
  ck_assert_uint_eq (rig_count_orders (late, ORDER_START), 1);
}
END_TEST

static void
register_info (const char *address, const char *kind, int64_t boot_ms,
               worker_state_t state)
{
  const char *const labels[] = { kind, NULL };
  worker_info_t info = { .id = "w1",
                         .service = RIG_SERVICE,
                         .address = address,
                         .data_centre = "dc-1",
                         .labels = labels,
                         .capacity = { .cpu_milli = 8000, .mem_mib = 65536 },
                         .boot_ms = boot_ms,
                         .state = state };

  sched_set_worker (rig.sched, &info, rig.now);
}

static void
register_boot (int64_t boot_ms, worker_state_t state)
{
  register_info ("10.0.0.1:80", "a", boot_ms, state);
}

/* The clock of a worker that was booted at BOOT_MS.  */
static int64_t
clock_of (int64_t boot_ms)
{
  return rig.now.us / 1000 - boot_ms;
}

static void
report_boot (int64_t boot_ms, run_status_t *row)
{
  worker_reply_t reply = { .kind = REPLY_OK,
                           .clock_ms = clock_of (boot_ms),
                           .has_clock = true,
                           .sent_us = rig.now.us };
  worker_report_t report
      = { .boot_ms = boot_ms, .runs = row, .runs_count = row ? 1 : 0 };

  rig_hold_reply ("w1", &reply, &report);
}

/* Guards against a start that is sent long after it was ordered, behind
   others: its worker may be draining by then.  */
START_TEST (test_queued_start_is_judged_when_it_is_sent)
{
  job_step_t step = rig_step (1);
  order_t start;
  g_autoptr (GArray) orders = NULL;

  rig_open_sched (1);
  rig_worker ("w1", 8, false);
  rig_submit (1, &step, 1);
  start = rig_start_one ();
  ck_assert (sched_order_is_due (rig.sched, &start, rig.now));
  register_boot (1000, WORKER_DRAINING);
  ck_assert (!sched_order_is_due (rig.sched, &start, rig.now));
  /* It was never sent, so the task may start elsewhere at once.  */
  rig_worker ("w2", 8, false);
  start = rig_start_one ();
  ck_assert_str_eq (start.worker, "w2");
  sched_cancel_job (rig.sched, rig_id (1));
  ck_assert (!sched_order_is_due (rig.sched, &start, rig.now));
  orders = rig_plan (false);
  ck_assert_uint_eq (orders->len, 0);
}
END_TEST

/* Guards against a start that is sent again to a draining worker.  */
START_TEST (test_start_is_not_repeated_to_a_draining_worker)
{
  job_step_t step = rig_step (1);
  order_t start;
  g_autoptr (GArray) orders = NULL;

  rig_open_sched (1);
  register_boot (1000, WORKER_READY);
  report_boot (1000, NULL);
  rig_submit (1, &step, 1);
  start = rig_start_one ();
  rig_reply (&start, REPLY_NO_ANSWER);
  register_boot (1000, WORKER_DRAINING);
  rig_advance_clock (150);
  orders = rig_plan (false);
  ck_assert_uint_eq (rig_count_orders (orders, ORDER_START), 0);
}
END_TEST

/* Guards against a registration of a former boot that is read after a report
   of the present one: its state is not that of the worker, and the runs of the
   present boot go on.  */
START_TEST (test_registration_of_a_former_boot_is_ignored)
{
  job_step_t step = rig_step (1);
  order_t start;
  run_status_t row;
  g_autoptr (GArray) orders = NULL;

  step.long_running = true;
  step.max_unavailable = 1;
  rig_open_sched (1);
  register_boot (1000, WORKER_READY);
  report_boot (1000, NULL);
  report_boot (2000, NULL); /* it has restarted */
  rig_submit (1, &step, 1);
  start = rig_start_one ();
  rig_confirm_start (&start);
  row = rig_status (&start);
  report_boot (2000, &row);
  rig_worker ("w2", 8, false);
  register_boot (1000, WORKER_DRAINING);
  orders = rig_plan (false);
  ck_assert_uint_eq (orders->len, 0);
}
END_TEST

/* Guards against a report of a former boot that arrives late, on another
   connection.  */
START_TEST (test_report_of_a_former_boot_is_ignored)
{
  job_step_t step = rig_step (1);
  order_t start;
  run_status_t row;
  g_autoptr (GArray) orders = NULL;

  rig_open_sched (1);
  register_boot (1000, WORKER_READY);
  report_boot (1000, NULL);
  register_boot (2000, WORKER_READY);
  report_boot (2000, NULL);
  rig_submit (1, &step, 1);
  start = rig_start_one ();
  rig_confirm_start (&start);
  row = rig_status (&start);
  report_boot (2000, &row);
  rig_worker ("w2", 8, false);
  report_boot (1000, NULL);
  orders = rig_plan (false);
  ck_assert_uint_eq (orders->len, 0);
}
END_TEST

/* A task that runs on boot 1000 of w1, while w2 is idle.  */
static order_t
start_on_first_boot (void)
{
  job_step_t step = rig_step (1);
  order_t start;

  rig_open_sched (1);
  register_boot (1000, WORKER_READY);
  report_boot (1000, NULL);
  rig_submit (1, &step, 1);
  start = rig_start_one ();
  rig_worker ("w2", 8, false);
  return start;
}

static uint32_t
count_starts (void)
{
  g_autoptr (GArray) orders = rig_plan (false);

  return rig_count_orders (orders, ORDER_START);
}

/* Guards against a second run of a task that was started on a worker after it
   had restarted and before its new registration was read: the registration
   doesn't show which boot runs it.  */
START_TEST (test_run_on_an_unregistered_boot_goes_on)
{
  order_t start = start_on_first_boot ();
  run_status_t row = rig_status (&start);

  rig_confirm_start (&start); /* by boot 2000 */
  rig_advance_clock (20);
  register_boot (2000, WORKER_READY);
  ck_assert_uint_eq (count_starts (), 0);
  rig_advance_clock (20);
  report_boot (2000, &row);
  ck_assert_uint_eq (count_starts (), 0);
}
END_TEST

/* Guards against a run that was started on a new boot after its first report
   was written and before that was read, and is closed as it is not listed.  */
START_TEST (test_run_started_after_the_report_of_a_boot_goes_on)
{
  order_t start = start_on_first_boot ();
  worker_reply_t reply = { .kind = REPLY_OK,
                           .clock_ms = clock_of (2000),
                           .has_clock = true,
                           .sent_us = rig.now.us };
  worker_report_t report = { .boot_ms = 2000 };

  rig_advance_clock (20);
  rig_confirm_start (&start);
  rig_advance_clock (20);
  rig_hold_reply ("w1", &reply, &report);
  ck_assert_uint_eq (count_starts (), 0);
}
END_TEST

/* Guards against a second run of a task whose start has no answer when the
   worker restarts: the new boot may have carried it out.  */
START_TEST (test_unanswered_start_outlives_a_restart)
{
  order_t start = start_on_first_boot ();
  g_autoptr (GArray) orders = NULL;

  rig_reply (&start, REPLY_NO_ANSWER);
  rig_advance_clock (20);
  report_boot (2000, NULL);
  rig_advance_clock (150);
  orders = rig_plan (false);
  ck_assert_uint_eq (rig_count_orders (orders, ORDER_START), 1);
  ck_assert_str_eq (g_array_index (orders, order_t, 0).worker, "w1");
  ck_assert_uint_eq (g_array_index (orders, order_t, 0).attempt,
                     start.attempt);
}
END_TEST

/* Guards against tasks that wait for the lease of a boot that has ended.  */
START_TEST (test_report_of_the_next_boot_returns_tasks)
{
  order_t start = start_on_first_boot ();

  rig_confirm_start (&start);
  rig_advance_clock (20);
  register_boot (2000, WORKER_READY);
  rig_advance_clock (20);
  report_boot (2000, NULL);
  ck_assert_uint_eq (count_starts (), 1);
}
END_TEST

/* Guards against a start with a deadline on the clock of a former boot: the
   new one would grant it the longest lease.  */
START_TEST (test_clock_that_is_behind_shows_a_restart)
{
  job_step_t step = rig_step (1);
  worker_reply_t reply = { .kind = REPLY_OK, .has_clock = true };
  order_t start;

  rig_open_sched (1);
  register_boot (1000, WORKER_READY);
  report_boot (1000, NULL);
  rig_submit (1, &step, 1);
  start = rig_start_one ();
  rig_advance_clock (20);
  reply.clock_ms = clock_of (900000);
  reply.sent_us = rig.now.us;
  sched_order_reply (rig.sched, &start, &reply, rig.now);
  rig_submit (2, &step, 1);
  ck_assert_uint_eq (count_starts (), 0);
  rig_advance_clock (20);
  report_boot (900000, &(run_status_t){ .task = start.task,
                                        .attempt = start.attempt,
                                        .checkpoint = "" });
  start = rig_start_one ();
  ck_assert_int_le (start.deadline_ms, clock_of (900000) + SCHED_LEASE_MS);
}
END_TEST

/* Guards against ends that a new boot forgets before it has listed them, as
   the hold names the last end of the former boot.  */
START_TEST (test_hold_after_a_lost_one_forgets_no_ends)
{
  order_t start = start_on_first_boot ();
  run_end_t end = rig_end (&start, 1, RUN_DONE);
  worker_reply_t lost = { .kind = REPLY_NO_ANSWER };
  g_autoptr (GArray) before = NULL;
  g_autoptr (GArray) after = NULL;

  rig_confirm_start (&start);
  rig_report ("w1", NULL, 0, &end, 1);
  rig_commit ();
  rig_advance_clock (20);
  before = rig_plan (true);
  ck_assert_uint_eq (g_array_index (before, order_t, 0).ends_durable, 1);
  rig_hold_reply ("w1", &lost, NULL);
  after = rig_plan (true);
  ck_assert_uint_eq (rig_count_orders (after, ORDER_HOLD), 1);
  ck_assert_str_eq (g_array_index (after, order_t, 0).worker, "w1");
  ck_assert_uint_eq (g_array_index (after, order_t, 0).ends_durable, 0);
}
END_TEST

/* Guards against closing the runs of a worker that has restarted at another
   address because the worker that is at its former address now refuses an
   order.  */
START_TEST (test_refusal_at_a_former_address_closes_no_run)
{
  order_t start = start_on_first_boot ();
  run_status_t row = rig_status (&start);
  order_t stale = start;

  rig_confirm_start (&start);
  register_info ("10.0.0.2:80", "a", 2000, WORKER_READY);
  report_boot (2000, &row);
  rig_reply (&stale, REPLY_OTHER_BOOT);
  ck_assert_uint_eq (count_starts (), 0);
}
END_TEST

/* Guards against tasks that wait for a worker that has the label they require
   since it restarted, or start on one that had it before (review/5).  */
START_TEST (test_each_boot_has_its_own_labels)
{
  job_step_t for_b = rig_step (1);
  job_step_t for_a = rig_step (1);
  order_t start;

  for_a.label = g_strdup ("a");
  for_b.label = g_strdup ("b");
  rig_open_sched (1);
  register_boot (1000, WORKER_READY);
  report_boot (1000, NULL);
  rig_submit (1, &for_b, 1);
  ck_assert_uint_eq (count_starts (), 0);
  register_info ("10.0.0.1:80", "b", 2000, WORKER_READY);
  rig_advance_clock (20);
  report_boot (2000, NULL);
  rig_submit (2, &for_a, 1);
  start = rig_start_one ();
  ck_assert_str_eq (start.task.id, rig_id (1));
}
END_TEST

TEST_PROGRAM_WITH ("jobs/workers", rig_reset, rig_tear_down,
                   test_recorded_start_waits_for_its_worker,
                   test_recorded_start_that_is_not_listed_is_repeated,
                   test_unlisted_silent_worker_still_counts,
                   test_no_leases_without_confirmation,
                   test_old_lease_does_not_end_a_planned_start,
                   test_lost_worker_returns_tasks_after_its_lease,
                   test_lost_hold_is_repeated_at_once,
                   test_unconfirmed_owner_returns_no_tasks,
                   test_holds_to_an_unreachable_worker_grant_no_lease,
                   test_other_boot_returns_tasks_at_once,
                   test_stop_is_over_only_when_a_report_shows_it,
                   test_run_is_over_only_when_reports_lie_apart,
                   test_queued_start_is_judged_when_it_is_sent,
                   test_start_is_not_repeated_to_a_draining_worker,
                   test_registration_of_a_former_boot_is_ignored,
                   test_report_of_a_former_boot_is_ignored,
                   test_run_on_an_unregistered_boot_goes_on,
                   test_run_started_after_the_report_of_a_boot_goes_on,
                   test_unanswered_start_outlives_a_restart,
                   test_report_of_the_next_boot_returns_tasks,
                   test_clock_that_is_behind_shows_a_restart,
                   test_hold_after_a_lost_one_forgets_no_ends,
                   test_refusal_at_a_former_address_closes_no_run,
                   test_each_boot_has_its_own_labels)

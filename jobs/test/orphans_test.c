#include "rig.h"

#define CORES 8

/* A row of a report: ATTEMPT of task INDEX of job NUMBER.  */
static run_status_t
row_of (uint32_t number, uint32_t index, uint32_t attempt)
{
  return (run_status_t){ .task = rig_task_ref (number, index),
                         .attempt = attempt,
                         .checkpoint = "",
                         .percent = 100 };
}

/* Opens a new owner of job 1 with STEP.  An earlier owner has started task 0
   on w1, and then a second time on w2.  Neither worker has reported.  */
static void
take_over_copies (const job_step_t *step)
{
  rig_submit (1, step, 1);
  rig_record_start (1, 0, 1, g_intern_string ("w1"));
  rig_record_start (1, 0, 2, g_intern_string ("w2"));
  rig_open_sched (2);
  rig_worker ("w1", CORES, true);
  rig_worker ("w2", CORES, true);
}

/* Both workers list their copies.  */
static void
report_copies (void)
{
  run_status_t first = row_of (1, 0, 1);
  run_status_t second = row_of (1, 0, 2);

  rig_report ("w1", &first, 1, NULL, 0);
  rig_report ("w2", &second, 1, NULL, 0);
}

static uint32_t
count_orders (order_kind_t kind)
{
  g_autoptr (GArray) orders = rig_plan (false);

  return rig_count_orders (orders, kind);
}

/* The number of stops of ATTEMPT among ORDERS.  */
static uint32_t
count_stops (const GArray *orders, uint32_t attempt)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < orders->len; i++)
    {
      const order_t *order = &g_array_index (orders, order_t, i);

      count += order->kind == ORDER_STOP && order->attempt == attempt;
    }
  return count;
}

/* Replaces the table by its snapshot, as a daemon that starts does.  */
static void
load_snapshot (void)
{
  GBytes *bytes = jobtab_pack (rig.tab);
  gsize len;
  const void *data = g_bytes_get_data (bytes, &len);

  jobtab_free (rig.tab);
  rig.tab = jobtab_unpack (data, len, NULL);
  ck_assert_ptr_nonnull (rig.tab);
  g_bytes_unref (bytes);
}

static void
set_cap (int64_t cpu_milli)
{
  g_array_index (rig.rules->workspaces, rules_workspace_t, 0).cap.cpu_milli
      = cpu_milli;
  sched_set_rules (rig.sched, rig.rules);
}

static job_step_t
speculative_step (uint32_t count)
{
  job_step_t step = rig_step (count);

  step.speculative = true;
  return step;
}

/* Guards against a task that starts beside another one of its step, beyond the
   limit per worker (ROUTE): the new owner didn't count a copy that the worker
   listed.  */
START_TEST (test_copy_counts_for_the_limit_per_worker)
{
  job_step_t step = speculative_step (2);

  step.spread_max = 1;
  take_over_copies (&step);
  report_copies ();
  ck_assert_uint_eq (count_orders (ORDER_START), 0);
}
END_TEST

/* Guards against a copy whose work is thrown away when the owner changes.  */
START_TEST (test_copy_goes_on_after_a_change_of_the_owner)
{
  job_step_t step = speculative_step (1);

  take_over_copies (&step);
  report_copies ();
  ck_assert_uint_eq (count_orders (ORDER_STOP), 0);
}
END_TEST

/* Guards against a workspace that has more running than its cap: the new owner
   didn't count a copy that the worker listed.  */
START_TEST (test_copy_counts_for_the_cap)
{
  job_step_t step = speculative_step (1);
  job_step_t other = rig_step (1);

  take_over_copies (&step);
  set_cap (2000);
  report_copies ();
  rig_submit (2, &other, 1);
  ck_assert_uint_eq (count_orders (ORDER_START), 0);
}
END_TEST

/* Guards against a start beside a run that is being stopped and is in neither
   list of its worker: what is being stopped still counts.  */
START_TEST (test_orphan_counts_until_it_has_ended)
{
  job_step_t step = speculative_step (2);
  run_status_t row = row_of (1, 0, 1);
  run_end_t end = { .sequence = 1, .attempt = 1, .kind = RUN_STOPPED };
  g_autoptr (GArray) orders = NULL;

  step.spread_max = 1;
  rig_submit (1, &step, 1);
  rig_record_start (1, 0, 1, g_intern_string ("w1"));
  rig_record_start (1, 0, 2, g_intern_string ("w2"));
  rig_record_end (1, 0, 2);
  rig_open_sched (2);
  rig_worker ("w1", CORES, true);
  rig_report ("w1", &row, 1, NULL, 0);
  orders = rig_plan (false);
  ck_assert_uint_eq (rig_count_orders (orders, ORDER_STOP), 1);
  ck_assert_uint_eq (rig_count_orders (orders, ORDER_START), 0);
  rig_advance_clock (50);
  rig_report ("w1", NULL, 0, NULL, 0);
  ck_assert_uint_eq (count_orders (ORDER_START), 0);
  rig_advance_clock (50);
  end.task = row.task;
  rig_report ("w1", NULL, 0, &end, 1);
  ck_assert_uint_eq (count_orders (ORDER_START), 1);
}
END_TEST

/* Guards against a stop that leaves too few of a step at work (AVAIL): a run
   that is not the present one of its task was stopped without that check.  */
START_TEST (test_stop_of_an_orphan_is_judged)
{
  job_step_t step = rig_step (2);
  run_status_t first = row_of (1, 0, 1);
  run_status_t second = row_of (1, 0, 2);

  step.long_running = true;
  step.max_unavailable = 1;
  take_over_copies (&step);
  rig_report ("w1", &first, 1, NULL, 0); /* task 1 doesn't run */
  ck_assert_uint_eq (count_orders (ORDER_STOP), 0);
  rig_advance_clock (50);
  rig_report ("w1", &first, 1, NULL, 0);
  rig_report ("w2", &second, 1, NULL, 0);
  ck_assert_uint_eq (count_orders (ORDER_STOP), 1);
}
END_TEST

/* Guards against two runs of a task at once (TWICE): its present run failed
   while one that is not the present one was still being stopped.  */
START_TEST (test_task_waits_for_the_end_of_an_orphan)
{
  job_step_t step = rig_step (1);
  run_status_t first = row_of (1, 0, 1);
  run_end_t failed = { .sequence = 1, .attempt = 2, .kind = RUN_FAILED };
  run_end_t stopped = { .sequence = 1, .attempt = 1, .kind = RUN_STOPPED };

  take_over_copies (&step);
  failed.task = stopped.task = first.task;
  rig_report ("w1", &first, 1, NULL, 0);
  rig_report ("w2", NULL, 0, &failed, 1);
  ck_assert_uint_eq (count_orders (ORDER_START), 0);
  rig_advance_clock (50);
  rig_report ("w1", NULL, 0, &stopped, 1);
  ck_assert_uint_eq (count_orders (ORDER_START), 1);
}
END_TEST

/* Guards against a planned start that is sent although its worker has listed
   an unexpected run since, which takes the room (LIMIT).  */
START_TEST (test_planned_start_is_judged_again)
{
  job_step_t step = speculative_step (1);
  job_step_t wide = rig_step (1);
  run_status_t first = row_of (1, 0, 1);
  GArray *orders;

  wide.need.cpu_milli = 1000 * CORES;
  take_over_copies (&step);
  rig_report ("w1", NULL, 0, NULL, 0);
  rig_submit (2, &wide, 1);
  orders = sched_plan (rig.sched, rig.now);
  ck_assert_uint_eq (rig_count_orders (orders, ORDER_START), 0);
  g_array_set_size (orders, 0);
  rig_advance_clock (50);
  rig_report ("w1", &first, 1, NULL, 0);
  ck_assert_uint_eq (count_orders (ORDER_START), 0);
}
END_TEST

/* Eight tasks of job 1 wait for w1, which runs eight of a job that the owner
   doesn't have.  */
static void
report_unknown_job (void)
{
  job_step_t step = rig_step (CORES);
  run_status_t rows[CORES];

  rig_submit (1, &step, 1);
  rig_open_sched (2);
  rig_worker ("w1", CORES, true);
  for (uint32_t i = 0; i < CORES; i++)
    rows[i] = row_of (9, i, 1);
  rig_report ("w1", rows, CORES, NULL, 0);
}

/* Guards against starts beyond the capacity of a worker (LIMIT): runs of a job
   that has ended were stopped and not counted.  */
START_TEST (test_runs_of_an_unknown_job_keep_their_room)
{
  g_autoptr (GArray) orders = NULL;

  report_unknown_job ();
  orders = rig_plan (false);
  ck_assert_uint_eq (rig_count_orders (orders, ORDER_STOP), CORES);
  ck_assert_uint_eq (rig_count_orders (orders, ORDER_START), 0);
}
END_TEST

/* Guards against a worker that stays out of use after it has ended runs of a
   job that the owner doesn't have.  */
START_TEST (test_worker_is_used_once_unknown_runs_have_ended)
{
  run_end_t ends[CORES];

  report_unknown_job ();
  ck_assert_uint_eq (count_orders (ORDER_START), 0);
  rig_advance_clock (50);
  rig_report ("w1", NULL, 0, NULL, 0);
  ck_assert_uint_eq (count_orders (ORDER_START), 0);
  for (uint32_t i = 0; i < CORES; i++)
    ends[i] = (run_end_t){ .sequence = i + 1,
                           .task = rig_task_ref (9, i),
                           .attempt = 1,
                           .kind = RUN_STOPPED };
  rig_advance_clock (50);
  rig_report ("w1", NULL, 0, ends, CORES);
  ck_assert_uint_eq (count_orders (ORDER_START), CORES);
}
END_TEST

/* Guards against a worker that stays out of use as it never lists the ends of
   runs of a job that the owner doesn't have.  */
START_TEST (test_unknown_runs_that_are_not_listed_are_over)
{
  report_unknown_job ();
  ck_assert_uint_eq (count_orders (ORDER_START), 0);
  rig_advance_clock (50);
  rig_report ("w1", NULL, 0, NULL, 0);
  rig_advance_clock (400);
  rig_report ("w1", NULL, 0, NULL, 0);
  ck_assert_uint_eq (count_orders (ORDER_START), CORES);
}
END_TEST

/* Guards against a task that starts beside another one of its step, beyond the
   limit per worker (ROUTE): a copy that was being stopped when the owner
   changed is in neither list of its worker, and only the log shows it.  */
START_TEST (test_recorded_copy_counts_for_the_limit_per_worker)
{
  job_step_t step = speculative_step (2);
  run_status_t second = row_of (1, 0, 2);

  step.spread_max = 1;
  take_over_copies (&step);
  rig_report ("w2", &second, 1, NULL, 0);
  rig_report ("w1", NULL, 0, NULL, 0);
  ck_assert_uint_eq (count_orders (ORDER_START), 0);
  /* Then it is not listed for longer than a stop takes.  */
  rig_advance_clock (50);
  rig_report ("w1", NULL, 0, NULL, 0);
  rig_advance_clock (400);
  rig_report ("w2", &second, 1, NULL, 0);
  rig_report ("w1", NULL, 0, NULL, 0);
  ck_assert_uint_eq (count_orders (ORDER_START), 1);
}
END_TEST

/* Guards against a workspace that has more running than its cap (QUOTA): a
   copy on a worker that has not reported was not counted; or counted for
   ever.  */
START_TEST (test_recorded_copy_counts_for_the_cap_until_its_lease_ends)
{
  job_step_t step = speculative_step (1);
  job_step_t other = rig_step (1);
  run_status_t second = row_of (1, 0, 2);

  step.estimate_ms = 60000; /* w2 isn't slow */
  second.percent = 0;
  take_over_copies (&step);
  set_cap (2000);
  rig_submit (2, &other, 1);
  for (int64_t at_ms = 0; at_ms <= SCHED_LEASE_HORIZON_MS; at_ms += 500)
    {
      second.percent++;
      rig_report ("w2", &second, 1, NULL, 0);
      ck_assert_uint_eq (count_orders (ORDER_START), 0);
      rig_advance_clock (500);
    }
  second.percent++;
  rig_report ("w2", &second, 1, NULL, 0);
  ck_assert_uint_eq (count_orders (ORDER_START), 1);
}
END_TEST

/* Guards against starts beyond the capacity of a worker (LIMIT): a copy that
   was being stopped when the owner changed was not counted.  */
START_TEST (test_recorded_copy_keeps_its_room)
{
  job_step_t step = speculative_step (1);
  job_step_t wide = rig_step (1);
  run_status_t second = row_of (1, 0, 2);

  wide.need.cpu_milli = 1000 * CORES;
  take_over_copies (&step);
  rig_submit (2, &wide, 1);
  rig_report ("w2", &second, 1, NULL, 0);
  rig_report ("w1", NULL, 0, NULL, 0);
  ck_assert_uint_eq (count_orders (ORDER_START), 0);
}
END_TEST

/* Guards against a snapshot that lacks the earlier copy of a task.  */
START_TEST (test_recorded_copy_is_in_the_snapshot)
{
  job_step_t step = speculative_step (2);

  step.spread_max = 1;
  rig_submit (1, &step, 1);
  rig_record_start (1, 0, 1, g_intern_string ("w1"));
  rig_record_start (1, 0, 2, g_intern_string ("w2"));
  load_snapshot ();
  rig_open_sched (2);
  rig_worker ("w1", CORES, false);
  ck_assert_uint_eq (count_orders (ORDER_START), 0);
}
END_TEST

/* Opens a new owner of job 1, two tasks of which one may run on a worker.  An
   earlier owner has started task 0 on w1, and then on w2, and recorded that
   attempt DONE of it is done.  Worker ID lists nothing.  */
static void
take_over_done_task (uint32_t done, const char *id)
{
  job_step_t step = speculative_step (2);

  step.spread_max = 1;
  rig_submit (1, &step, 1);
  rig_record_start (1, 0, 1, g_intern_string ("w1"));
  rig_record_start (1, 0, 2, g_intern_string ("w2"));
  rig_record_end (1, 0, done);
  rig_open_sched (2);
  rig_worker (id, CORES, false);
}

/* Guards against a start beside a copy of a task that was done before the
   owner changed (ROUTE), and against a copy that isn't stopped.  */
START_TEST (test_earlier_copy_of_a_done_task_counts)
{
  run_status_t row = row_of (1, 0, 1);
  run_end_t end = { .sequence = 1, .attempt = 1, .kind = RUN_STOPPED };
  g_autoptr (GArray) orders = NULL;

  take_over_done_task (2, "w1");
  ck_assert_uint_eq (count_orders (ORDER_START), 0);
  rig_advance_clock (50);
  rig_report ("w1", &row, 1, NULL, 0);
  orders = rig_plan (false);
  ck_assert_uint_eq (count_stops (orders, 1), 1);
  ck_assert_uint_eq (rig_count_orders (orders, ORDER_START), 0);
  rig_advance_clock (50);
  end.task = row.task;
  rig_report ("w1", NULL, 0, &end, 1);
  ck_assert_uint_eq (count_orders (ORDER_START), 1);
}
END_TEST

/* Guards against the same when the earlier copy was the one that ended.  */
START_TEST (test_last_copy_of_a_done_task_counts)
{
  take_over_done_task (1, "w2");
  ck_assert_uint_eq (count_orders (ORDER_START), 0);
}
END_TEST

/* Guards against a new owner that stops what ended long ago: the stops of all
   copies on record would delay its other orders.  */
START_TEST (test_copy_that_is_not_listed_is_not_stopped)
{
  take_over_done_task (2, "w1");
  ck_assert_uint_eq (count_orders (ORDER_STOP), 0);
  rig_advance_clock (50);
  rig_report ("w1", NULL, 0, NULL, 0);
  rig_advance_clock (400);
  rig_report ("w1", NULL, 0, NULL, 0);
  ck_assert_uint_eq (count_orders (ORDER_STOP), 0);
}
END_TEST

/* Folds the end of job NUMBER with STATE.  */
static void
end_job (uint32_t number, job_state_t state)
{
  job_rec_t rec = { .kind = JREC_PROGRESS };
  job_change_t change = { .state = state };

  memcpy (change.id, rig_id (number), JOB_ID_BYTES);
  rec.u.progress.epoch = rig.tab->owner.epoch;
  rec.u.progress.placed = g_array_new (FALSE, FALSE, sizeof (task_placed_t));
  rec.u.progress.ends = g_array_new (FALSE, FALSE, sizeof (task_end_t));
  rec.u.progress.changes = g_array_new (FALSE, FALSE, sizeof change);
  g_array_append_val (rec.u.progress.changes, change);
  jobtab_fold (rig.tab, &rec, rig.now.wall_ms);
  job_rec_clear (&rec);
}

/* Opens a new owner.  An earlier one has started a task of job 1, which takes
   all of w1, and job 1 has got STATE.  w1 hasn't reported.  */
static void
take_over_ended_job (job_state_t state)
{
  job_step_t step = rig_step (1);

  step.need.cpu_milli = 1000 * CORES;
  rig_submit (1, &step, 1);
  rig_record_start (1, 0, 1, g_intern_string ("w1"));
  end_job (1, state);
  load_snapshot ();
  rig_open_sched (2);
  rig_worker ("w1", CORES, true);
}

static void
submit_small_job (void)
{
  job_step_t step = rig_step (1);

  rig_submit (2, &step, 1);
}

/* Guards against a workspace that has more running than its cap (QUOTA): runs
   of a cancelled job on a worker that has not reported were not counted; or
   counted for ever.  */
START_TEST (test_run_of_a_cancelled_job_counts_for_the_cap)
{
  run_end_t end = { .sequence = 1, .attempt = 1, .kind = RUN_STOPPED };

  take_over_ended_job (JOB_STATE_CANCELLED);
  set_cap (1000 * CORES);
  rig_worker ("w2", CORES, false);
  submit_small_job ();
  ck_assert_uint_eq (count_orders (ORDER_START), 0);
  rig_advance_clock (50);
  end.task = rig_task_ref (1, 0);
  rig_report ("w1", NULL, 0, &end, 1);
  ck_assert_uint_eq (count_orders (ORDER_START), 1);
  ck_assert_int_eq (rig_job_state (1), JOB_STATE_CANCELLED);
}
END_TEST

/* Guards against the same for a job that has failed, until the lease of its
   run ends.  */
START_TEST (test_run_of_a_failed_job_counts_until_its_lease_ends)
{
  take_over_ended_job (JOB_STATE_FAILED);
  set_cap (1000 * CORES);
  rig_worker ("w2", CORES, false);
  submit_small_job ();
  ck_assert_uint_eq (count_orders (ORDER_START), 0);
  rig_advance_clock (SCHED_LEASE_HORIZON_MS);
  rig_report ("w2", NULL, 0, NULL, 0);
  ck_assert_uint_eq (count_orders (ORDER_START), 0);
  rig_advance_clock (SCHED_LEASE_HORIZON_MS / 10);
  rig_report ("w2", NULL, 0, NULL, 0);
  ck_assert_uint_eq (count_orders (ORDER_START), 1);
  ck_assert_int_eq (rig_job_state (1), JOB_STATE_FAILED);
}
END_TEST

/* Guards against starts beyond the capacity of a worker (LIMIT): a run of a
   cancelled job that was being stopped when the owner changed is in neither
   list.  */
START_TEST (test_run_of_a_cancelled_job_keeps_its_room)
{
  take_over_ended_job (JOB_STATE_CANCELLED);
  submit_small_job ();
  rig_report ("w1", NULL, 0, NULL, 0);
  ck_assert_uint_eq (count_orders (ORDER_START), 0);
  rig_advance_clock (50);
  rig_report ("w1", NULL, 0, NULL, 0);
  rig_advance_clock (400);
  rig_report ("w1", NULL, 0, NULL, 0);
  ck_assert_uint_eq (count_orders (ORDER_START), 1);
}
END_TEST

/* Guards against a run of a cancelled job that goes on, and against a worker
   that gets no tasks beside it although what the run needs is known.  */
START_TEST (test_run_of_a_cancelled_job_is_stopped_once_listed)
{
  run_status_t row = row_of (1, 0, 1);
  g_autoptr (GArray) orders = NULL;

  take_over_ended_job (JOB_STATE_CANCELLED);
  rig_worker ("w1", CORES + 1, true);
  submit_small_job ();
  ck_assert_uint_eq (count_orders (ORDER_STOP), 0);
  rig_report ("w1", &row, 1, NULL, 0);
  orders = rig_plan (false);
  ck_assert_uint_eq (count_stops (orders, 1), 1);
  ck_assert_uint_eq (rig_count_orders (orders, ORDER_START), 1);
}
END_TEST

/* Guards against a run of a later occurrence that isn't counted, as its job
   has ended.  */
START_TEST (test_run_of_a_later_occurrence_counts)
{
  job_step_t step = rig_step (1);
  job_entry_t *entry = rig_submit (1, &step, 1);

  entry->desc->repeats = 3;
  g_free (entry->tasks);
  entry->tasks_count = 3;
  entry->tasks = g_new0 (task_progress_t, 3);
  entry->tasks[2].placed = 1;
  entry->tasks[2].worker = g_intern_string ("w1");
  end_job (1, JOB_STATE_CANCELLED);
  rig_open_sched (2);
  set_cap (1000);
  rig_worker ("w1", CORES, true);
  rig_worker ("w2", CORES, false);
  submit_small_job ();
  ck_assert_uint_eq (count_orders (ORDER_START), 0);
}
END_TEST

/* Guards against a second run of a job that has ended, or a change of its
   state, when its worker has no run of it.  */
START_TEST (test_ended_job_stays_ended)
{
  take_over_ended_job (JOB_STATE_CANCELLED);
  rig_advance_clock (50);
  rig_report ("w1", NULL, 0, NULL, 0);
  rig_advance_clock (400);
  rig_report ("w1", NULL, 0, NULL, 0);
  ck_assert_uint_eq (count_orders (ORDER_START), 0);
  sched_cancel_job (rig.sched, rig_id (1));
  ck_assert (!sched_has_progress (rig.sched));
  ck_assert_int_eq (rig_job_state (1), JOB_STATE_CANCELLED);
}
END_TEST

/* Opens a new owner of job 1, the task of which runs as a copy on w2, and of
   job 2 with STEP, the start of which on w1 is returned.  */
static order_t
queue_start (const job_step_t *step)
{
  job_step_t copies = speculative_step (1);

  take_over_copies (&copies);
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
  run_status_t first = row_of (1, 0, 1);
  order_t start;

  wide.need.cpu_milli = 1000 * CORES;
  start = queue_start (&wide);
  ck_assert (sched_order_is_due (rig.sched, &start, rig.now));
  rig_advance_clock (50);
  rig_report ("w1", &first, 1, NULL, 0);
  ck_assert (!sched_order_is_due (rig.sched, &start, rig.now));
  ck_assert_uint_eq (count_orders (ORDER_START), 0);
}
END_TEST

/* Guards against the same beside a run whose needs aren't known.  */
START_TEST (test_queued_start_waits_for_unknown_runs)
{
  job_step_t step = rig_step (1);
  run_status_t row = row_of (9, 0, 1);
  order_t start = queue_start (&step);

  rig_advance_clock (50);
  rig_report ("w1", &row, 1, NULL, 0);
  ck_assert (!sched_order_is_due (rig.sched, &start, rig.now));
  ck_assert_uint_eq (count_orders (ORDER_START), 0);
}
END_TEST

/* Guards against a start that is sent again although its worker has listed an
   unexpected run since, which takes the room (LIMIT).  */
START_TEST (test_repeated_start_is_judged_again)
{
  job_step_t wide = rig_step (1);
  run_status_t first = row_of (1, 0, 1);
  order_t start;

  wide.need.cpu_milli = 1000 * CORES;
  start = queue_start (&wide);
  rig_reply (&start, REPLY_NO_ANSWER);
  rig_advance_clock (50);
  rig_report ("w1", &first, 1, NULL, 0);
  rig_advance_clock (100);
  ck_assert_uint_eq (count_orders (ORDER_START), 0);
}
END_TEST

/* Guards against a planned start that is sent although a worker has listed an
   unexpected run since, which takes the workspace to its cap (QUOTA).  */
START_TEST (test_planned_start_is_judged_by_the_cap)
{
  job_step_t step = rig_step (1);
  job_step_t copies = speculative_step (1);
  run_status_t first = row_of (1, 0, 1);
  GArray *orders;

  copies.need.cpu_milli = 4000;
  take_over_copies (&copies);
  set_cap (8000);
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
  ck_assert_uint_eq (count_orders (ORDER_START), 0);
}
END_TEST

/* Guards against the same for a start that waits for its turn to be sent.  */
START_TEST (test_queued_start_is_judged_by_the_cap)
{
  job_step_t step = rig_step (1);
  run_status_t first = row_of (1, 0, 1);
  order_t start = queue_start (&step);

  set_cap (2000);
  ck_assert (sched_order_is_due (rig.sched, &start, rig.now));
  rig_advance_clock (50);
  rig_report ("w1", &first, 1, NULL, 0);
  ck_assert (!sched_order_is_due (rig.sched, &start, rig.now));
  ck_assert_uint_eq (count_orders (ORDER_START), 0);
}
END_TEST

/* Guards against a worker that gets no tasks as a copy that has ended, which
   only the log shows, is taken for a slow run.  */
START_TEST (test_recorded_copy_is_not_slow)
{
  job_step_t copies = speculative_step (1);
  job_step_t step = rig_step (1);

  take_over_copies (&copies);
  rig_advance_clock (400);
  rig_report ("w1", NULL, 0, NULL, 0);
  rig_submit (2, &step, 1);
  rig_advance_clock (10);
  ck_assert_uint_eq (count_orders (ORDER_START), 1);
}
END_TEST

/* Guards against a gang of which a part is started.  */
START_TEST (test_gang_waits_for_an_unknown_run)
{
  job_step_t step = rig_step (2);
  run_status_t row = row_of (9, 0, 1);
  GArray *orders;

  step.gang = true;
  step.spread_max = 1;
  rig_submit (1, &step, 1);
  rig_open_sched (2);
  rig_worker ("w1", CORES, false);
  rig_worker ("w2", CORES, false);
  orders = sched_plan (rig.sched, rig.now);
  ck_assert (sched_has_progress (rig.sched));
  g_array_set_size (orders, 0);
  rig_report ("w2", &row, 1, NULL, 0);
  ck_assert_uint_eq (count_orders (ORDER_START), 0);
}
END_TEST

/* Guards against a start beside a listed run whose needs aren't known (LIMIT):
   as this owner has granted its worker no lease, the run was taken for over.
 */
START_TEST (test_unknown_run_without_a_known_lease_counts)
{
  job_step_t step = rig_step (1);
  run_status_t row = row_of (9, 0, 1);

  rig_open_sched (2);
  rig_advance_clock (2 * SCHED_LEASE_HORIZON_MS);
  rig_worker ("w1", CORES, true);
  rig_report ("w1", &row, 1, NULL, 0);
  rig_submit (1, &step, 1);
  ck_assert_uint_eq (count_orders (ORDER_START), 0);
}
END_TEST

TEST_PROGRAM_WITH (
    "jobs/orphans", rig_reset, rig_tear_down,
    test_copy_counts_for_the_limit_per_worker,
    test_copy_goes_on_after_a_change_of_the_owner,
    test_copy_counts_for_the_cap, test_orphan_counts_until_it_has_ended,
    test_stop_of_an_orphan_is_judged, test_task_waits_for_the_end_of_an_orphan,
    test_planned_start_is_judged_again,
    test_runs_of_an_unknown_job_keep_their_room,
    test_worker_is_used_once_unknown_runs_have_ended,
    test_unknown_runs_that_are_not_listed_are_over,
    test_recorded_copy_counts_for_the_limit_per_worker,
    test_recorded_copy_counts_for_the_cap_until_its_lease_ends,
    test_recorded_copy_keeps_its_room, test_recorded_copy_is_in_the_snapshot,
    test_earlier_copy_of_a_done_task_counts,
    test_last_copy_of_a_done_task_counts,
    test_copy_that_is_not_listed_is_not_stopped,
    test_run_of_a_cancelled_job_counts_for_the_cap,
    test_run_of_a_failed_job_counts_until_its_lease_ends,
    test_run_of_a_cancelled_job_keeps_its_room,
    test_run_of_a_cancelled_job_is_stopped_once_listed,
    test_run_of_a_later_occurrence_counts, test_ended_job_stays_ended,
    test_queued_start_is_judged_again,
    test_queued_start_waits_for_unknown_runs,
    test_repeated_start_is_judged_again,
    test_planned_start_is_judged_by_the_cap,
    test_queued_start_is_judged_by_the_cap, test_recorded_copy_is_not_slow,
    test_gang_waits_for_an_unknown_run,
    test_unknown_run_without_a_known_lease_counts)

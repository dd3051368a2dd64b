#include "rig.h"

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

/* Opens a new owner of job 1 with a task of STEP.  An earlier one has recorded
   attempt 1 of each of its tasks on w1, which does not list them.  w2 is
   free.  */
static void
take_over_unlisted_starts (const job_step_t *step)
{
  rig_submit (1, step, 1);
  for (uint32_t i = 0; i < step->count; i++)
    rig_record_start (1, i, 1, g_intern_string ("w1"));
  rig_open_sched (2);
  rig_worker ("w1", RIG_CORES, false);
  rig_worker ("w2", RIG_CORES, false);
  rig_advance_clock (50);
  rig_report ("w1", NULL, 0, NULL, 0);
}

/* Guards against a task that starts beside another one of its step, beyond the
   limit per worker (ROUTE): a copy that was being stopped when the owner
   changed is in neither list of its worker, and only the log shows it.  */
START_TEST (test_recorded_copy_counts_for_the_limit_per_worker)
{
  job_step_t step = rig_speculative_step (2);
  run_status_t second = rig_row (1, 0, 2);

  step.spread_max = 1;
  rig_take_over_copies (&step);
  rig_report ("w2", &second, 1, NULL, 0);
  rig_report ("w1", NULL, 0, NULL, 0);
  ck_assert_uint_eq (rig_count_planned (ORDER_START), 0);
  /* Then it is not listed for longer than a stop takes.  */
  rig_advance_clock (50);
  rig_report ("w1", NULL, 0, NULL, 0);
  rig_advance_clock (400);
  rig_report ("w2", &second, 1, NULL, 0);
  rig_report ("w1", NULL, 0, NULL, 0);
  ck_assert_uint_eq (rig_count_planned (ORDER_START), 1);
}
END_TEST

/* Guards against a second run of a task beside the one that the new owner has
   started (TWICE): the worker carries the start of the earlier owner out late,
   after reports that do not list it.  */
START_TEST (test_unlisted_start_is_stopped_before_the_next_one)
{
  job_step_t step = rig_step (1);
  g_autoptr (GArray) orders = NULL;

  take_over_unlisted_starts (&step);
  orders = rig_plan (false);
  ck_assert_uint_eq (orders->len, 1);
  ck_assert_uint_eq (count_stops (orders, 1), 1);
  for (uint32_t i = 0; i < 4; i++)
    {
      rig_advance_clock (400);
      rig_report ("w1", NULL, 0, NULL, 0);
      rig_report ("w2", NULL, 0, NULL, 0);
      ck_assert_uint_eq (rig_count_planned (ORDER_START), 0);
    }
  rig_reply (&g_array_index (orders, order_t, 0), REPLY_OK);
  rig_advance_clock (400);
  rig_report ("w1", NULL, 0, NULL, 0);
  rig_report ("w2", NULL, 0, NULL, 0);
  ck_assert_uint_eq (rig_count_planned (ORDER_START), 1);
}
END_TEST

/* Guards against a second run of a task whose recorded start is carried out
   between the report that lacks it and its stop.  */
START_TEST (test_unlisted_start_that_is_listed_later_is_stopped)
{
  job_step_t step = rig_step (1);
  run_status_t row = rig_row (1, 0, 1);
  run_end_t end = { .sequence = 1, .attempt = 1, .kind = RUN_STOPPED };

  take_over_unlisted_starts (&step);
  ck_assert_uint_eq (rig_count_planned (ORDER_STOP), 1);
  rig_advance_clock (400);
  rig_report ("w1", &row, 1, NULL, 0);
  ck_assert_uint_eq (rig_count_planned (ORDER_STOP), 1);
  ck_assert_uint_eq (rig_count_planned (ORDER_START), 0);
  rig_advance_clock (50);
  end.task = row.task;
  rig_report ("w1", NULL, 0, &end, 1);
  ck_assert_uint_eq (rig_count_planned (ORDER_START), 1);
}
END_TEST

/* Guards against a run of a task whose end was acknowledged (TWICE): the start
   of a later attempt is carried out after the owner has changed.  */
START_TEST (test_unlisted_start_of_a_done_task_is_stopped)
{
  job_step_t step = rig_step (1);
  g_autoptr (GArray) orders = NULL;

  rig_submit (1, &step, 1);
  rig_record_start (1, 0, 1, g_intern_string ("w2"));
  rig_record_start (1, 0, 2, g_intern_string ("w1"));
  rig_record_end (1, 0, 1);
  rig_open_sched (2);
  rig_worker ("w1", RIG_CORES, false);
  ck_assert_uint_eq (rig_count_planned (ORDER_STOP), 0);
  rig_advance_clock (50);
  rig_report ("w1", NULL, 0, NULL, 0);
  orders = rig_plan (false);
  ck_assert_uint_eq (orders->len, 1);
  ck_assert_uint_eq (count_stops (orders, 2), 1);
  rig_reply (&g_array_index (orders, order_t, 0), REPLY_OK);
  rig_advance_clock (400);
  rig_report ("w1", NULL, 0, NULL, 0);
  ck_assert_uint_eq (rig_count_planned (ORDER_STOP), 0);
  ck_assert_uint_eq (rig_count_planned (ORDER_START), 0);
}
END_TEST

/* Guards against a take-over that stops what runs.  */
START_TEST (test_listed_start_goes_on)
{
  job_step_t step = rig_step (1);
  run_status_t row = rig_row (1, 0, 1);

  rig_submit (1, &step, 1);
  rig_record_start (1, 0, 1, g_intern_string ("w1"));
  rig_open_sched (2);
  rig_worker ("w1", RIG_CORES, false);
  for (uint32_t i = 0; i < 4; i++)
    {
      rig_advance_clock (400);
      rig_report ("w1", &row, 1, NULL, 0);
      ck_assert_uint_eq (rig_count_planned (ORDER_STOP), 0);
    }
}
END_TEST

/* Guards against long-running tasks that wait for good: none of them serves,
   so each stop would exceed max_unavailable if it counted as one that ends
   what serves.  */
START_TEST (test_unlisted_long_running_starts_are_stopped)
{
  job_step_t step = rig_step (3);
  g_autoptr (GArray) orders = NULL;

  step.long_running = true;
  step.max_unavailable = 1;
  take_over_unlisted_starts (&step);
  orders = rig_plan (false);
  ck_assert_uint_eq (rig_count_orders (orders, ORDER_STOP), 3);
  for (uint32_t i = 0; i < orders->len; i++)
    rig_reply (&g_array_index (orders, order_t, i), REPLY_OK);
  rig_advance_clock (400);
  rig_report ("w1", NULL, 0, NULL, 0);
  rig_report ("w2", NULL, 0, NULL, 0);
  ck_assert_uint_eq (rig_count_planned (ORDER_START), 3);
}
END_TEST

/* Opens a new owner of three long-running tasks, of which one may be
   unavailable, and returns the planned stops of their recorded starts.  */
static GArray *
plan_stops_in_doubt (void)
{
  job_step_t step = rig_step (3);
  GArray *orders;

  step.long_running = true;
  step.max_unavailable = 1;
  take_over_unlisted_starts (&step);
  orders = rig_plan (false);
  ck_assert_uint_eq (rig_count_orders (orders, ORDER_STOP), 3);
  return orders;
}

/* The number of ORDERS that may be sent.  */
static uint32_t
count_due (const GArray *orders)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < orders->len; i++)
    count += sched_order_is_due (rig.sched,
                                 &g_array_index (orders, order_t, i), rig.now);
  return count;
}

/* w1 lists the three recorded starts.  */
static void
list_recorded_starts (void)
{
  run_status_t rows[3];

  for (uint32_t i = 0; i < 3; i++)
    rows[i] = rig_row (1, i, 1);
  rig_report ("w1", rows, 3, NULL, 0);
}

/* Guards against long-running tasks that keep their worker but count as
   stopping for good: their starts are listed between the planned stops and the
   sending of these, and each stop then waits for the two others.  */
START_TEST (test_listed_starts_go_on_if_their_stops_were_not_sent)
{
  static const char *const ids[] = { "w1" };
  g_autoptr (GArray) stops = plan_stops_in_doubt ();
  host_order_t order;

  rig_advance_clock (50);
  list_recorded_starts ();
  ck_assert_uint_eq (count_due (stops), 0);
  for (uint32_t i = 0; i < 10; i++)
    {
      rig_advance_clock (400);
      list_recorded_starts ();
      ck_assert_uint_eq (rig_count_planned (ORDER_STOP), 0);
    }
  /* All of them serve, so the maintenance of their host may stop one, which
     has a place on w2.  */
  rig_worker ("w2", RIG_CORES, false);
  rig_list_hosts (ids, 1, UINT32_MAX);
  rig_set_wave ("h0", 1);
  ck_assert (!rig_next_order (200, &order));
  ck_assert_uint_eq (rig_count_planned (ORDER_STOP), 1);
}
END_TEST

/* Guards against the same when the stops were sent and lost.  */
START_TEST (test_lost_stops_of_listed_starts_are_repeated)
{
  g_autoptr (GArray) stops = plan_stops_in_doubt ();
  g_autoptr (GArray) repeats = NULL;

  ck_assert_uint_eq (count_due (stops), 3);
  rig_advance_clock (400);
  list_recorded_starts ();
  repeats = rig_plan (false);
  ck_assert_uint_eq (rig_count_orders (repeats, ORDER_STOP), 3);
  ck_assert_uint_eq (count_due (repeats), 3);
}
END_TEST

/* Guards against a workspace that has more running than its cap (QUOTA): a
   copy on a worker that has not reported was not counted; or counted for
   ever.  */
START_TEST (test_recorded_copy_counts_for_the_cap_until_its_lease_ends)
{
  job_step_t step = rig_speculative_step (1);
  job_step_t other = rig_step (1);
  run_status_t second = rig_row (1, 0, 2);

  step.estimate_ms = 60000; /* w2 isn't slow */
  second.percent = 0;
  rig_take_over_copies (&step);
  rig_set_cap (2000);
  rig_submit (2, &other, 1);
  for (int64_t at_ms = 0; at_ms <= SCHED_LEASE_HORIZON_MS; at_ms += 500)
    {
      second.percent++;
      rig_report ("w2", &second, 1, NULL, 0);
      ck_assert_uint_eq (rig_count_planned (ORDER_START), 0);
      rig_advance_clock (500);
    }
  second.percent++;
  rig_report ("w2", &second, 1, NULL, 0);
  ck_assert_uint_eq (rig_count_planned (ORDER_START), 1);
}
END_TEST

/* Guards against starts beyond the capacity of a worker (LIMIT): a copy that
   was being stopped when the owner changed was not counted.  */
START_TEST (test_recorded_copy_keeps_its_room)
{
  job_step_t step = rig_speculative_step (1);
  job_step_t wide = rig_step (1);
  run_status_t second = rig_row (1, 0, 2);

  wide.need.cpu_milli = 1000 * RIG_CORES;
  rig_take_over_copies (&step);
  rig_submit (2, &wide, 1);
  rig_report ("w2", &second, 1, NULL, 0);
  rig_report ("w1", NULL, 0, NULL, 0);
  ck_assert_uint_eq (rig_count_planned (ORDER_START), 0);
}
END_TEST

/* Guards against a snapshot that lacks the earlier copy of a task.  */
START_TEST (test_recorded_copy_is_in_the_snapshot)
{
  job_step_t step = rig_speculative_step (2);

  step.spread_max = 1;
  rig_submit (1, &step, 1);
  rig_record_start (1, 0, 1, g_intern_string ("w1"));
  rig_record_start (1, 0, 2, g_intern_string ("w2"));
  rig_load_snapshot ();
  rig_open_sched (2);
  rig_worker ("w1", RIG_CORES, false);
  ck_assert_uint_eq (rig_count_planned (ORDER_START), 0);
}
END_TEST

/* Opens a new owner of job 1, two tasks of which one may run on a worker.  An
   earlier owner has started task 0 on w1, and then on w2, and recorded that
   attempt DONE of it is done.  Worker ID lists nothing.  */
static void
take_over_done_task (uint32_t done, const char *id)
{
  job_step_t step = rig_speculative_step (2);

  step.spread_max = 1;
  rig_submit (1, &step, 1);
  rig_record_start (1, 0, 1, g_intern_string ("w1"));
  rig_record_start (1, 0, 2, g_intern_string ("w2"));
  rig_record_end (1, 0, done);
  rig_open_sched (2);
  rig_worker (id, RIG_CORES, false);
}

/* Guards against a start beside a copy of a task that was done before the
   owner changed (ROUTE), and against a copy that isn't stopped.  */
START_TEST (test_earlier_copy_of_a_done_task_counts)
{
  run_status_t row = rig_row (1, 0, 1);
  run_end_t end = { .sequence = 1, .attempt = 1, .kind = RUN_STOPPED };
  g_autoptr (GArray) orders = NULL;

  take_over_done_task (2, "w1");
  ck_assert_uint_eq (rig_count_planned (ORDER_START), 0);
  rig_advance_clock (50);
  rig_report ("w1", &row, 1, NULL, 0);
  orders = rig_plan (false);
  ck_assert_uint_eq (count_stops (orders, 1), 1);
  ck_assert_uint_eq (rig_count_orders (orders, ORDER_START), 0);
  rig_advance_clock (50);
  end.task = row.task;
  rig_report ("w1", NULL, 0, &end, 1);
  ck_assert_uint_eq (rig_count_planned (ORDER_START), 1);
}
END_TEST

/* Guards against the same when the earlier copy was the one that ended.  */
START_TEST (test_last_copy_of_a_done_task_counts)
{
  take_over_done_task (1, "w2");
  ck_assert_uint_eq (rig_count_planned (ORDER_START), 0);
}
END_TEST

/* Guards against a new owner that stops what ended long ago: the stops of all
   copies on record would delay its other orders.  */
START_TEST (test_copy_that_is_not_listed_is_not_stopped)
{
  take_over_done_task (2, "w1");
  ck_assert_uint_eq (rig_count_planned (ORDER_STOP), 0);
  rig_advance_clock (50);
  rig_report ("w1", NULL, 0, NULL, 0);
  rig_advance_clock (400);
  rig_report ("w1", NULL, 0, NULL, 0);
  ck_assert_uint_eq (rig_count_planned (ORDER_STOP), 0);
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
  jobtab_fold (rig.tab, &rec, rig.now.wall_ms, rig.now.us);
  job_rec_clear (&rec);
}

/* Opens a new owner.  An earlier one has started a task of job 1, which takes
   all of w1, and job 1 has got STATE.  w1 hasn't reported.  */
static void
take_over_ended_job (job_state_t state)
{
  job_step_t step = rig_step (1);

  step.need.cpu_milli = 1000 * RIG_CORES;
  rig_submit (1, &step, 1);
  rig_record_start (1, 0, 1, g_intern_string ("w1"));
  end_job (1, state);
  rig_load_snapshot ();
  rig_open_sched (2);
  rig_worker ("w1", RIG_CORES, true);
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
  rig_set_cap (1000 * RIG_CORES);
  rig_worker ("w2", RIG_CORES, false);
  submit_small_job ();
  ck_assert_uint_eq (rig_count_planned (ORDER_START), 0);
  rig_advance_clock (50);
  end.task = rig_task_ref (1, 0);
  rig_report ("w1", NULL, 0, &end, 1);
  ck_assert_uint_eq (rig_count_planned (ORDER_START), 1);
  ck_assert_int_eq (rig_job_state (1), JOB_STATE_CANCELLED);
}
END_TEST

/* Guards against the same for a job that has failed, until the lease of its
   run ends.  */
START_TEST (test_run_of_a_failed_job_counts_until_its_lease_ends)
{
  take_over_ended_job (JOB_STATE_FAILED);
  rig_set_cap (1000 * RIG_CORES);
  rig_worker ("w2", RIG_CORES, false);
  submit_small_job ();
  ck_assert_uint_eq (rig_count_planned (ORDER_START), 0);
  rig_advance_clock (SCHED_LEASE_HORIZON_MS);
  rig_report ("w2", NULL, 0, NULL, 0);
  ck_assert_uint_eq (rig_count_planned (ORDER_START), 0);
  rig_advance_clock (SCHED_LEASE_HORIZON_MS / 10);
  rig_report ("w2", NULL, 0, NULL, 0);
  ck_assert_uint_eq (rig_count_planned (ORDER_START), 1);
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
  ck_assert_uint_eq (rig_count_planned (ORDER_START), 0);
  rig_advance_clock (50);
  rig_report ("w1", NULL, 0, NULL, 0);
  rig_advance_clock (400);
  rig_report ("w1", NULL, 0, NULL, 0);
  ck_assert_uint_eq (rig_count_planned (ORDER_START), 1);
}
END_TEST

/* Guards against a run of a cancelled job that goes on, and against a worker
   that gets no tasks beside it although what the run needs is known.  */
START_TEST (test_run_of_a_cancelled_job_is_stopped_once_listed)
{
  run_status_t row = rig_row (1, 0, 1);
  g_autoptr (GArray) orders = NULL;

  take_over_ended_job (JOB_STATE_CANCELLED);
  rig_worker ("w1", RIG_CORES + 1, true);
  submit_small_job ();
  ck_assert_uint_eq (rig_count_planned (ORDER_STOP), 0);
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
  rig_set_cap (1000);
  rig_worker ("w1", RIG_CORES, true);
  rig_worker ("w2", RIG_CORES, false);
  submit_small_job ();
  ck_assert_uint_eq (rig_count_planned (ORDER_START), 0);
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
  ck_assert_uint_eq (rig_count_planned (ORDER_START), 0);
  sched_cancel_job (rig.sched, rig_id (1));
  ck_assert (!sched_has_progress (rig.sched));
  ck_assert_int_eq (rig_job_state (1), JOB_STATE_CANCELLED);
}
END_TEST

/* Guards against a worker that gets no tasks as a copy that has ended, which
   only the log shows, is taken for a slow run.  */
START_TEST (test_recorded_copy_is_not_slow)
{
  job_step_t copies = rig_speculative_step (1);
  job_step_t step = rig_step (1);

  rig_take_over_copies (&copies);
  rig_advance_clock (400);
  rig_report ("w1", NULL, 0, NULL, 0);
  rig_submit (2, &step, 1);
  rig_advance_clock (10);
  ck_assert_uint_eq (rig_count_planned (ORDER_START), 1);
}
END_TEST

/* The owner of epoch 1 starts a task of STEP on w1, which then answers no
   more.  */
static void
start_on_lost_worker (const job_step_t *step)
{
  order_t start;

  rig_open_sched (1);
  rig_worker ("w1", RIG_CORES, false);
  rig_submit (1, step, 1);
  start = rig_start_one ();
  rig_confirm_start (&start);
}

/* Guards against a task that waits for its lease once more after each change
   of the owner (LOST): its worker was lost, the first owner saw the lease end
   and was replaced before the task had started elsewhere.  */
START_TEST (test_run_whose_lease_has_ended_is_not_expected)
{
  job_step_t step = rig_step (1);

  start_on_lost_worker (&step);
  rig_advance_clock (2 * (int64_t)RIG_HOLD_MAX_MS);
  ck_assert_uint_eq (rig_count_planned (ORDER_START), 0);
  rig_load_snapshot ();
  rig_open_sched (2);
  rig_worker ("w2", RIG_CORES, false);
  ck_assert_uint_eq (rig_count_planned (ORDER_START), 1);
}
END_TEST

/* Guards against the same wait while the store is slow (LOST): the first owner
   saw the lease end, but its record follows the claims of two others.  */
START_TEST (test_run_that_is_recorded_as_over_late_is_not_expected)
{
  job_step_t step = rig_step (1);

  start_on_lost_worker (&step);
  rig.tab->owner.epoch = 2;
  rig_record_over (1, 0, 1, 1);
  rig_open_sched (3);
  rig_worker ("w2", RIG_CORES, false);
  ck_assert_uint_eq (rig_count_planned (ORDER_START), 1);
}
END_TEST

/* Guards against the same wait if the record follows the claim of the present
   owner.  */
START_TEST (test_expected_run_is_over_once_that_is_recorded)
{
  job_step_t step = rig_step (1);

  start_on_lost_worker (&step);
  rig_open_sched (2);
  rig_worker ("w2", RIG_CORES, false);
  ck_assert_uint_eq (rig_count_planned (ORDER_START), 0);
  rig_record_over (1, 0, 1, 1);
  ck_assert_uint_eq (rig_count_planned (ORDER_START), 1);
}
END_TEST

/* Guards against closing a run that its worker lists (TWICE): whatever the
   replaced owner has recorded, the report is newer.  */
START_TEST (test_listed_run_goes_on_whatever_is_recorded_late)
{
  job_step_t step = rig_step (1);
  run_status_t row = rig_row (1, 0, 1);

  start_on_lost_worker (&step);
  rig_open_sched (2);
  rig_worker ("w2", RIG_CORES, false);
  rig_worker ("w1", RIG_CORES, true);
  rig_advance_clock (50);
  rig_report ("w1", &row, 1, NULL, 0);
  rig_record_over (1, 0, 1, 1);
  ck_assert_uint_eq (rig_count_planned (ORDER_START), 0);
}
END_TEST

/* Guards against a copy that counts for the limit per worker until its lease
   ends, although it was recorded as over late.  */
START_TEST (test_earlier_copy_is_over_once_that_is_recorded)
{
  job_step_t step = rig_speculative_step (2);
  run_status_t second = rig_row (1, 0, 2);

  step.spread_max = 1;
  rig_take_over_copies (&step);
  rig_report ("w2", &second, 1, NULL, 0);
  rig_report ("w1", NULL, 0, NULL, 0);
  ck_assert_uint_eq (rig_count_planned (ORDER_START), 0);
  rig_record_over (1, 0, 1, 1);
  ck_assert_uint_eq (rig_count_planned (ORDER_START), 1);
}
END_TEST

/* Guards against a start beside a run whose lease hasn't ended (TWICE).  */
START_TEST (test_run_on_a_lost_worker_is_expected_until_its_lease_ends)
{
  job_step_t step = rig_step (1);

  start_on_lost_worker (&step);
  rig_advance_clock (1000);
  ck_assert_uint_eq (rig_count_planned (ORDER_START), 0);
  rig_open_sched (2);
  rig_worker ("w2", RIG_CORES, false);
  ck_assert_uint_eq (rig_count_planned (ORDER_START), 0);
}
END_TEST

/* Guards against a long-running task that is taken to run where it has failed:
   such failures are not counted, and its worker forgets them.  */
START_TEST (test_failed_run_of_a_long_running_task_is_not_expected)
{
  job_step_t step = rig_step (1);
  run_end_t end = { .sequence = 1, .attempt = 1, .kind = RUN_FAILED };

  step.long_running = true;
  start_on_lost_worker (&step);
  end.task = rig_task_ref (1, 0);
  rig_report ("w1", NULL, 0, &end, 1);
  rig_commit ();
  rig_open_sched (2);
  rig_worker ("w2", RIG_CORES, false);
  ck_assert_uint_eq (rig_count_planned (ORDER_START), 1);
}
END_TEST

/* Guards against a run that each later owner expects again: an earlier attempt
   of its task is done, and its own end, as it is stopped, was not recorded. */
START_TEST (test_stopped_run_of_a_done_task_is_not_expected)
{
  job_step_t step = rig_step (2);
  run_status_t row = rig_row (1, 0, 2);
  run_end_t done = { .sequence = 1, .attempt = 1, .kind = RUN_DONE };
  run_end_t stopped = { .sequence = 1, .attempt = 2, .kind = RUN_STOPPED };

  rig_submit (1, &step, 1);
  rig_record_start (1, 0, 1, g_intern_string ("w2"));
  rig_record_start (1, 0, 2, g_intern_string ("w1"));
  rig_open_sched (2);
  rig_worker ("w1", RIG_CORES, false);
  rig_worker ("w2", RIG_CORES, false);
  rig_advance_clock (50);
  rig_report ("w1", &row, 1, NULL, 0);
  done.task = stopped.task = row.task;
  rig_report ("w2", NULL, 0, &done, 1);
  ck_assert_uint_eq (rig_count_planned (ORDER_STOP), 1);
  rig_advance_clock (50);
  rig_report ("w1", NULL, 0, &stopped, 1);
  rig_commit ();
  ck_assert (jobtab_find (rig.tab, rig_id (1))->tasks[0].done);
  ck_assert_ptr_null (jobtab_find (rig.tab, rig_id (1))->tasks[0].worker);
}
END_TEST

/* Guards against two rows in the log for each failed run: its end, which is
   recorded, shows that it is over.  */
START_TEST (test_failed_run_has_one_row)
{
  job_step_t step = rig_step (1);
  run_end_t end = { .sequence = 1, .attempt = 1, .kind = RUN_FAILED };
  job_rec_t *rec;

  start_on_lost_worker (&step);
  end.task = rig_task_ref (1, 0);
  rig_report ("w1", NULL, 0, &end, 1);
  rec = sched_progress (rig.sched);
  ck_assert_ptr_nonnull (rec);
  ck_assert_uint_eq (rec->u.progress.ends->len, 1);
  ck_assert_uint_eq (rec->u.progress.over->len, 0);
  job_rec_clear (rec);
  g_free (rec);
}
END_TEST

TEST_PROGRAM_WITH ("jobs/inherit", rig_reset, rig_tear_down,
                   test_unlisted_start_is_stopped_before_the_next_one,
                   test_unlisted_start_that_is_listed_later_is_stopped,
                   test_unlisted_start_of_a_done_task_is_stopped,
                   test_listed_start_goes_on,
                   test_unlisted_long_running_starts_are_stopped,
                   test_listed_starts_go_on_if_their_stops_were_not_sent,
                   test_lost_stops_of_listed_starts_are_repeated,
                   test_recorded_copy_counts_for_the_limit_per_worker,
                   test_recorded_copy_counts_for_the_cap_until_its_lease_ends,
                   test_recorded_copy_keeps_its_room,
                   test_recorded_copy_is_in_the_snapshot,
                   test_earlier_copy_of_a_done_task_counts,
                   test_last_copy_of_a_done_task_counts,
                   test_copy_that_is_not_listed_is_not_stopped,
                   test_run_of_a_cancelled_job_counts_for_the_cap,
                   test_run_of_a_failed_job_counts_until_its_lease_ends,
                   test_run_of_a_cancelled_job_keeps_its_room,
                   test_run_of_a_cancelled_job_is_stopped_once_listed,
                   test_run_of_a_later_occurrence_counts,
                   test_ended_job_stays_ended, test_recorded_copy_is_not_slow,
                   test_run_whose_lease_has_ended_is_not_expected,
                   test_run_that_is_recorded_as_over_late_is_not_expected,
                   test_expected_run_is_over_once_that_is_recorded,
                   test_listed_run_goes_on_whatever_is_recorded_late,
                   test_earlier_copy_is_over_once_that_is_recorded,
                   test_run_on_a_lost_worker_is_expected_until_its_lease_ends,
                   test_failed_run_of_a_long_running_task_is_not_expected,
                   test_stopped_run_of_a_done_task_is_not_expected,
                   test_failed_run_has_one_row)

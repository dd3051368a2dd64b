#include "rig.h"

#define NOW_MS 1700000000000

static void
set_up (void)
{
  memset (&rig, 0, sizeof rig);
  rig.tab = jobtab_new ();
}

static fold_kind_t
fold_owner (job_rec_kind_t kind, uint64_t epoch, const char *holder)
{
  job_rec_t rec = { .kind = kind };
  fold_result_t folded;

  rec.u.owner.epoch = epoch;
  rec.u.owner.holder = g_strdup (holder);
  folded = jobtab_fold (rig.tab, &rec, NOW_MS, 0);
  job_rec_clear (&rec);
  return folded.kind;
}

static fold_kind_t
fold_cancel (uint32_t number)
{
  job_rec_t rec = { .kind = JREC_CANCEL };

  memcpy (rec.u.cancel.id, rig_id (number), JOB_ID_BYTES);
  return jobtab_fold (rig.tab, &rec, NOW_MS, 0).kind;
}

static fold_kind_t
fold_change (uint64_t epoch, uint32_t number, job_state_t state)
{
  job_rec_t rec = { .kind = JREC_PROGRESS };
  job_change_t change = { .state = state };
  fold_result_t folded;

  memcpy (change.id, rig_id (number), JOB_ID_BYTES);
  rec.u.progress.epoch = epoch;
  rec.u.progress.placed = g_array_new (FALSE, FALSE, sizeof (task_placed_t));
  rec.u.progress.ends = g_array_new (FALSE, FALSE, sizeof (task_end_t));
  rec.u.progress.changes = g_array_new (FALSE, FALSE, sizeof (job_change_t));
  g_array_append_val (rec.u.progress.changes, change);
  folded = jobtab_fold (rig.tab, &rec, NOW_MS, 0);
  job_rec_clear (&rec);
  return folded.kind;
}

/* Guards against running a job twice because its client repeated the request.
 */
START_TEST (test_same_id_is_one_job)
{
  job_step_t step = rig_step (1);

  ck_assert_ptr_nonnull (rig_submit (1, &step, 1));
  ck_assert_ptr_null (rig_submit (1, &step, 1));
  ck_assert_uint_eq (g_hash_table_size (rig.tab->jobs), 1);
}
END_TEST

/* Guards against two owners at once: of concurrent claims, the first in the
   log wins.  */
START_TEST (test_first_claim_wins)
{
  ck_assert_int_eq (fold_owner (JREC_CLAIM, 1, "a"), FOLD_CLAIMED);
  ck_assert_int_eq (fold_owner (JREC_CLAIM, 1, "b"), FOLD_NOTHING);
  ck_assert_str_eq (rig.tab->owner.holder, "a");
  ck_assert_int_eq (fold_owner (JREC_RENEW, 1, "a"), FOLD_RENEWED);
  ck_assert_int_eq (fold_owner (JREC_CLAIM, 2, "b"), FOLD_CLAIMED);
  /* A claim of a past epoch that was appended late.  */
  ck_assert_int_eq (fold_owner (JREC_CLAIM, 2, "c"), FOLD_NOTHING);
  ck_assert_int_eq (fold_owner (JREC_RENEW, 1, "a"), FOLD_NOTHING);
  ck_assert_int_eq (fold_owner (JREC_RELEASE, 1, "a"), FOLD_NOTHING);
  ck_assert (!rig.tab->owner.released);
}
END_TEST

/* Guards against applying progress that a replaced owner still appends.  */
START_TEST (test_progress_of_a_replaced_owner_is_ignored)
{
  job_step_t step = rig_step (1);

  rig_submit (1, &step, 1);
  fold_owner (JREC_CLAIM, 1, "a");
  fold_owner (JREC_CLAIM, 2, "b");
  ck_assert_int_eq (fold_change (1, 1, JOB_STATE_COMPLETE), FOLD_SUPERSEDED);
  ck_assert_int_eq (rig_job_state (1), JOB_STATE_QUEUED);
  ck_assert_int_eq (fold_change (2, 1, JOB_STATE_COMPLETE), FOLD_PROGRESS);
  ck_assert_int_eq (rig_job_state (1), JOB_STATE_COMPLETE);
}
END_TEST

static const task_progress_t *
first_task (void)
{
  return &jobtab_find (rig.tab, rig_id (1))->tasks[0];
}

/* Guards against a task that waits for the lease of a lost worker once for
   each owner (LOST): the store was slow, and the record that its run is over
   came into the log after the next claim.  */
START_TEST (test_run_that_is_recorded_as_over_late_is_over)
{
  job_step_t step = rig_step (1);

  rig_submit (1, &step, 1);
  fold_owner (JREC_CLAIM, 1, "a");
  rig_record_start (1, 0, 1, "w1");
  fold_owner (JREC_CLAIM, 2, "b");
  rig_record_over (1, 0, 1, 1);
  ck_assert_ptr_null (first_task ()->worker);
}
END_TEST

/* Guards against forgetting a run that goes on (TWICE): a start of the
   replaced owner was never recorded, and the next one has used its number
   again.  */
START_TEST (test_late_record_of_another_run_with_the_number_is_ignored)
{
  job_step_t step = rig_step (1);

  rig_submit (1, &step, 1);
  fold_owner (JREC_CLAIM, 1, "a");
  fold_owner (JREC_CLAIM, 2, "b");
  rig_record_start (1, 0, 1, "w1");
  rig_record_over (1, 0, 1, 1);
  ck_assert_str_eq (first_task ()->worker, "w1");
  /* The same in a daemon that has read a snapshot instead of the start.  */
  rig_load_snapshot ();
  rig_record_over (1, 0, 1, 1);
  ck_assert_str_eq (first_task ()->worker, "w1");
  rig_record_over (1, 0, 1, 2);
  ck_assert_ptr_null (first_task ()->worker);
}
END_TEST

/* Guards against a second run (TWICE): a daemon of an earlier version, whose
   claim doesn't say that it heeds the rows, grants silent workers leases.  */
START_TEST (test_claim_of_an_earlier_version_voids_silences)
{
  job_rec_t claim = { .kind = JREC_CLAIM };

  jobtab_set_silent (rig.tab, g_intern_string ("w1"), 0);
  claim.u.owner.epoch = 1;
  claim.u.owner.holder = g_strdup ("a");
  claim.u.owner.heeds_silences = true;
  jobtab_fold (rig.tab, &claim, NOW_MS, 0);
  job_rec_clear (&claim);
  ck_assert_uint_eq (g_hash_table_size (rig.tab->silent), 1);
  fold_owner (JREC_CLAIM, 2, "b");
  ck_assert_uint_eq (g_hash_table_size (rig.tab->silent), 0);
}
END_TEST

/* Guards against mistaking a restart of the owner for another owner, or the
   reverse: a new owner waits before its first orders to hosts only if the
   previous one was another daemon.  */
START_TEST (test_holders_of_one_daemon_are_recognised)
{
  ck_assert (holder_is_same_daemon ("edge-1#100", "edge-1#200"));
  ck_assert (!holder_is_same_daemon ("edge-1#100", "edge-12#100"));
  ck_assert (!holder_is_same_daemon ("edge-1#100", "edge-2#100"));
  ck_assert (!holder_is_same_daemon (NULL, "edge-1#100"));
  ck_assert (!holder_is_same_daemon ("edge-1", "edge-1"));
  ck_assert (holder_is_same_daemon ("edge-1#100#50", "edge-1#200#12"));
  ck_assert_uint_eq (holder_share_percent ("edge-1#100#50"), 50);
  ck_assert_uint_eq (holder_share_percent ("edge-1#100"), 0);
  ck_assert_uint_eq (holder_share_percent ("edge-1#100#50#10.0.0.1:7000"), 50);
  ck_assert_str_eq (holder_address ("edge-1#100#50#10.0.0.1:7000"),
                    "10.0.0.1:7000");
  ck_assert_ptr_null (holder_address ("edge-1#100#50"));
  ck_assert_ptr_null (holder_address ("edge-1"));
  ck_assert_ptr_null (holder_address (NULL));
}
END_TEST

/* Guards against leaving a final state: a record may be folded twice, and a
   change of state may follow a cancellation.  */
START_TEST (test_final_states_stay)
{
  job_step_t step = rig_step (1);

  rig_submit (1, &step, 1);
  fold_owner (JREC_CLAIM, 1, "a");
  ck_assert_int_eq (fold_cancel (1), FOLD_CANCELLED);
  ck_assert_int_eq (fold_cancel (1), FOLD_DENIED);
  fold_change (1, 1, JOB_STATE_RUNNING);
  fold_change (1, 1, JOB_STATE_COMPLETE);
  ck_assert_int_eq (rig_job_state (1), JOB_STATE_CANCELLED);
  ck_assert_int_eq (fold_cancel (2), FOLD_DENIED);
}
END_TEST

/* Folds a SUBMIT of job NUMBER as the next record of the log; its daemon had
   read POSITION records.  */
static fold_kind_t
log_submit (uint32_t number, uint64_t position)
{
  job_step_t step = rig_step (1);

  rig.tab->next++;
  return rig_fold_submission (number, &step, 1, position).kind;
}

static fold_kind_t
log_cancel (uint32_t number, uint64_t position)
{
  job_rec_t rec = { .kind = JREC_CANCEL, .position = position };

  rig.tab->next++;
  memcpy (rec.u.cancel.id, rig_id (number), JOB_ID_BYTES);
  return jobtab_fold (rig.tab, &rec, NOW_MS, 0).kind;
}

/* Guards against a job that runs although its cancelling was acknowledged
   (UNASKED): a daemon kept the submission while the store turned it away, or
   the store appended it late.  */
START_TEST (test_submission_from_before_its_cancelling_is_void)
{
  rig.tab->next = 10;
  ck_assert_int_eq (log_cancel (1, 9), FOLD_DENIED); /* record 10 */
  ck_assert_int_eq (log_submit (1, 10), FOLD_VOID);
  ck_assert_ptr_null (jobtab_find (rig.tab, rig_id (1)));
  ck_assert_int_eq (log_submit (2, 10), FOLD_SUBMITTED);
}
END_TEST

/* Guards against an id that can't be used any more once it was cancelled, and
   against a job that was accepted and is cancelled by a request from before:
   the cancelling was appended twice, or late, or by a daemon that was
   behind.  */
START_TEST (test_job_submitted_anew_is_not_cancelled_by_late_records)
{
  rig.tab->next = 10;
  ck_assert_int_eq (log_cancel (1, 10), FOLD_DENIED);
  ck_assert_int_eq (log_submit (1, 11), FOLD_SUBMITTED); /* record 11 */
  ck_assert_int_eq (log_cancel (1, 10), FOLD_VOID);
  ck_assert_int_eq (log_cancel (1, 11), FOLD_VOID);
  ck_assert_int_eq (rig_job_state (1), JOB_STATE_QUEUED);
  ck_assert_int_eq (log_submit (1, 11), FOLD_NOTHING);
  ck_assert_int_eq (log_cancel (1, 12), FOLD_CANCELLED);
}
END_TEST

static fold_kind_t
log_cancel_at (uint32_t number, const char *queue, const char *workspace)
{
  job_rec_t rec = { .kind = JREC_CANCEL, .position = rig.tab->next };

  rig.tab->next++;
  memcpy (rec.u.cancel.id, rig_id (number), JOB_ID_BYTES);
  rec.u.cancel.queue = g_intern_string (queue);
  rec.u.cancel.workspace = g_intern_string (workspace);
  return jobtab_fold (rig.tab, &rec, NOW_MS, 0).kind;
}

/* Guards against a job that is cancelled at another queue, or with the key of
   another workspace (CONFIG), by a daemon that had not read of the job.  */
START_TEST (test_cancelling_applies_to_what_its_call_reached)
{
  log_submit (1, 0);
  ck_assert_int_eq (log_cancel_at (1, "public", ""), FOLD_DENIED);
  ck_assert_int_eq (log_cancel_at (1, "public", RIG_WORKSPACE), FOLD_DENIED);
  ck_assert_int_eq (log_cancel_at (1, RIG_QUEUE, "other"), FOLD_DENIED);
  ck_assert_int_eq (rig_job_state (1), JOB_STATE_QUEUED);
  ck_assert_int_eq (log_cancel_at (1, RIG_QUEUE, RIG_WORKSPACE),
                    FOLD_CANCELLED);
  /* The queue is public since it has accepted the job.  */
  log_submit (2, 0);
  ck_assert_int_eq (log_cancel_at (2, RIG_QUEUE, ""), FOLD_CANCELLED);
  /* A submission is not void for what others have cancelled.  */
  log_cancel_at (3, "public", "");
  ck_assert_int_eq (log_submit (3, 0), FOLD_SUBMITTED);
}
END_TEST

/* Guards against a cancelled job that runs once it was removed from the table:
   a copy of its submission comes into the log after that.  */
START_TEST (test_late_copy_of_a_removed_job_is_void)
{
  log_submit (1, 0);
  ck_assert_int_eq (log_cancel (1, 1), FOLD_CANCELLED);
  g_hash_table_remove (rig.tab->jobs, rig_id (1));
  ck_assert_int_eq (log_submit (1, 0), FOLD_VOID);
}
END_TEST

/* Guards against a submission that becomes valid when its cancelling is one of
   too many to be kept.  */
START_TEST (test_cancelling_holds_after_its_id_is_dropped)
{
  log_cancel (1, 0);
  for (uint32_t i = 0; i < CANCELS_MAX; i++)
    log_cancel (100 + i, i);
  ck_assert_int_eq (log_submit (1, 0), FOLD_VOID);
  ck_assert_int_eq (log_submit (2, 0), FOLD_VOID);
  ck_assert_int_eq (log_submit (1, 1), FOLD_SUBMITTED);
}
END_TEST

/* Guards against a job of an earlier version, whose record has no position,
   that can't be accepted or cancelled.  */
START_TEST (test_records_without_position_take_effect)
{
  rig.tab->next = 10;
  ck_assert_int_eq (log_cancel (1, 10), FOLD_DENIED);
  ck_assert_int_eq (log_submit (1, JOB_POSITION_NONE), FOLD_SUBMITTED);
  ck_assert_int_eq (log_cancel (1, JOB_POSITION_NONE), FOLD_CANCELLED);
}
END_TEST

/* Guards against an earlier copy that isn't known although it may still run
   (ROUTE, QUOTA), or is known after it has ended.  */
START_TEST (test_earlier_copy_is_kept_until_its_end)
{
  job_step_t step = rig_step (1);
  const task_progress_t *progress;

  step.speculative = true;
  fold_owner (JREC_CLAIM, 1, "a");
  progress = rig_submit (1, &step, 1)->tasks;
  rig_record_start (1, 0, 1, "w1");
  ck_assert_ptr_null (progress->earlier_worker);
  rig_record_start (1, 0, 2, "w2");
  rig_record_start (1, 0, 2, "w2"); /* folded twice */
  ck_assert_uint_eq (progress->earlier, 1);
  ck_assert_str_eq (progress->earlier_worker, "w1");
  rig_record_end (1, 0, 1);
  ck_assert_ptr_null (progress->earlier_worker);
  ck_assert_str_eq (progress->worker, "w2");
}
END_TEST

/* Guards against a run that counts beside the next one of its task although
   that one was started only after its end.  */
START_TEST (test_task_that_runs_once_has_no_earlier_copy)
{
  job_step_t step = rig_step (1);
  const task_progress_t *progress;

  fold_owner (JREC_CLAIM, 1, "a");
  progress = rig_submit (1, &step, 1)->tasks;
  rig_record_start (1, 0, 1, "w1");
  rig_record_start (1, 0, 2, "w2");
  ck_assert_ptr_null (progress->earlier_worker);
  ck_assert_str_eq (progress->worker, "w2");
}
END_TEST

static void
count_drop (G_GNUC_UNUSED const job_entry_t *entry, void *ctx)
{
  ++*(uint32_t *)ctx;
}

/* Guards against removing final jobs too early, or never.  */
START_TEST (test_final_jobs_are_kept_for_the_retention_time)
{
  job_step_t step = rig_step (1);
  uint32_t dropped = 0;

  rig.now.wall_ms = NOW_MS;
  rig_submit (1, &step, 1);
  rig_submit (2, &step, 1);
  fold_cancel (1);
  jobtab_purge (rig.tab, NOW_MS + 119000, 120000, count_drop, &dropped);
  ck_assert_uint_eq (dropped, 0);
  jobtab_purge (rig.tab, NOW_MS + 120000, 120000, count_drop, &dropped);
  ck_assert_uint_eq (dropped, 1);
  ck_assert_ptr_nonnull (jobtab_find (rig.tab, rig_id (2)));
}
END_TEST

/* Job 1 with a step of two tasks, of which task 0 was started on w1, and a
   step after it, gets STATE.  */
static const job_entry_t *
end_job_with_run (job_state_t state)
{
  job_step_t steps[2] = { rig_step (2), rig_step (1) };

  rig.now.wall_ms = NOW_MS;
  steps[0].label = g_strdup ("a");
  steps[1].after = g_new0 (uint32_t, 1);
  steps[1].after_count = 1;
  fold_owner (JREC_CLAIM, 1, "a");
  rig_submit (1, steps, 2);
  rig_record_start (1, 0, 1, "w1");
  fold_change (1, 1, state);
  return jobtab_find (rig.tab, rig_id (1));
}

static void
check_kept_run (const job_entry_t *entry, job_state_t state)
{
  ck_assert_int_eq (entry->state, state);
  ck_assert_ptr_nonnull (entry->tasks);
  ck_assert_uint_eq (entry->tasks_count, 3);
  ck_assert_uint_eq (entry->tasks[0].placed, 1);
  ck_assert_str_eq (entry->tasks[0].worker, "w1");
  ck_assert_ptr_null (entry->tasks[1].worker);
  ck_assert_uint_eq (entry->desc->steps_count, 2);
  ck_assert_int_eq (entry->desc->steps[0].need.cpu_milli, 1000);
  ck_assert_str_eq (entry->desc->payload, "");
  ck_assert_str_eq (entry->desc->queue, RIG_QUEUE);
  ck_assert_str_eq (entry->desc->workspace, RIG_WORKSPACE);
}

static void
check_no_runs (const job_entry_t *entry)
{
  ck_assert_ptr_null (entry->tasks);
  ck_assert_uint_eq (entry->tasks_count, 0);
  ck_assert_uint_eq (entry->desc->steps_count, 0);
  ck_assert_str_eq (entry->desc->queue, RIG_QUEUE);
}

/* Guards against a new owner that doesn't know of a run of a job that has
   ended (QUOTA, LIMIT), and against payloads that are kept with it.  */
START_TEST (test_cancelled_job_keeps_its_runs)
{
  check_kept_run (end_job_with_run (JOB_STATE_CANCELLED), JOB_STATE_CANCELLED);
}
END_TEST

/* Guards against the same for a job that has failed.  */
START_TEST (test_failed_job_keeps_its_runs)
{
  check_kept_run (end_job_with_run (JOB_STATE_FAILED), JOB_STATE_FAILED);
}
END_TEST

/* Guards against a snapshot that lacks the runs of jobs that have ended.  */
START_TEST (test_runs_of_an_ended_job_are_in_the_snapshot)
{
  GBytes *bytes;
  jobtab_t *copy;
  gsize len;
  const void *data;

  end_job_with_run (JOB_STATE_CANCELLED);
  bytes = jobtab_pack (rig.tab);
  data = g_bytes_get_data (bytes, &len);
  copy = jobtab_unpack (data, len, NULL);
  ck_assert_ptr_nonnull (copy);
  check_kept_run (jobtab_find (copy, rig_id (1)), JOB_STATE_CANCELLED);
  jobtab_free (copy);
  g_bytes_unref (bytes);
}
END_TEST

/* Guards against a table that grows by the steps and the progress of all jobs
   that have ended.  */
START_TEST (test_runs_of_an_ended_job_are_forgotten)
{
  const job_entry_t *entry = end_job_with_run (JOB_STATE_CANCELLED);
  uint32_t dropped = 0;

  jobtab_purge (rig.tab, NOW_MS + JOBTAB_RUNS_KEPT_MS - 1, 120000, count_drop,
                &dropped);
  check_kept_run (entry, JOB_STATE_CANCELLED);
  jobtab_purge (rig.tab, NOW_MS + JOBTAB_RUNS_KEPT_MS, 120000, count_drop,
                &dropped);
  ck_assert_ptr_eq (jobtab_find (rig.tab, rig_id (1)), entry);
  check_no_runs (entry);
  ck_assert_int_eq (entry->state, JOB_STATE_CANCELLED);
  ck_assert_uint_eq (dropped, 0);
}
END_TEST

/* Guards against steps and progress that are kept of jobs without runs, which
   most of those that end are, or for a start that was not ordered.  */
START_TEST (test_ended_job_without_runs_keeps_nothing)
{
  job_step_t step = rig_step (1);

  fold_owner (JREC_CLAIM, 1, "a");
  rig_submit (1, &step, 1);
  rig_submit (2, &step, 1);
  rig_record_start (1, 0, 1, "w1");
  rig_record_end (1, 0, 1);
  fold_change (1, 1, JOB_STATE_COMPLETE);
  check_no_runs (jobtab_find (rig.tab, rig_id (1)));
  fold_cancel (2);
  rig_record_start (2, 0, 1, "w1");
  check_no_runs (jobtab_find (rig.tab, rig_id (2)));
}
END_TEST

/* Guards against a start that is read after the end of its job, and was not
   ordered, but counts as a run.  */
START_TEST (test_start_after_the_end_of_its_job_is_no_run)
{
  const job_entry_t *entry = end_job_with_run (JOB_STATE_CANCELLED);

  rig_record_start (1, 1, 1, "w2");
  check_kept_run (entry, JOB_STATE_CANCELLED);
}
END_TEST

TEST_PROGRAM_WITH ("jobs/jobtab", set_up, rig_tear_down,
                   test_same_id_is_one_job, test_first_claim_wins,
                   test_progress_of_a_replaced_owner_is_ignored,
                   test_run_that_is_recorded_as_over_late_is_over,
                   test_claim_of_an_earlier_version_voids_silences,
                   test_late_record_of_another_run_with_the_number_is_ignored,
                   test_holders_of_one_daemon_are_recognised,
                   test_final_states_stay,
                   test_submission_from_before_its_cancelling_is_void,
                   test_job_submitted_anew_is_not_cancelled_by_late_records,
                   test_cancelling_applies_to_what_its_call_reached,
                   test_late_copy_of_a_removed_job_is_void,
                   test_cancelling_holds_after_its_id_is_dropped,
                   test_records_without_position_take_effect,
                   test_earlier_copy_is_kept_until_its_end,
                   test_task_that_runs_once_has_no_earlier_copy,
                   test_final_jobs_are_kept_for_the_retention_time,
                   test_cancelled_job_keeps_its_runs,
                   test_failed_job_keeps_its_runs,
                   test_runs_of_an_ended_job_are_in_the_snapshot,
                   test_runs_of_an_ended_job_are_forgotten,
                   test_ended_job_without_runs_keeps_nothing,
                   test_start_after_the_end_of_its_job_is_no_run)

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
  folded = jobtab_fold (rig.tab, &rec, NOW_MS);
  job_rec_clear (&rec);
  return folded.kind;
}

static fold_kind_t
fold_cancel (uint32_t number)
{
  job_rec_t rec = { .kind = JREC_CANCEL };

  memcpy (rec.u.cancel, rig_id (number), JOB_ID_BYTES);
  return jobtab_fold (rig.tab, &rec, NOW_MS).kind;
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
  folded = jobtab_fold (rig.tab, &rec, NOW_MS);
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
  ck_assert_int_eq (fold_change (1, 1, JOB_STATE_COMPLETE), FOLD_NOTHING);
  ck_assert_int_eq (rig_job_state (1), JOB_STATE_QUEUED);
  ck_assert_int_eq (fold_change (2, 1, JOB_STATE_COMPLETE), FOLD_PROGRESS);
  ck_assert_int_eq (rig_job_state (1), JOB_STATE_COMPLETE);
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
  ck_assert_int_eq (fold_cancel (1), FOLD_NOTHING);
  fold_change (1, 1, JOB_STATE_RUNNING);
  fold_change (1, 1, JOB_STATE_COMPLETE);
  ck_assert_int_eq (rig_job_state (1), JOB_STATE_CANCELLED);
  ck_assert_int_eq (fold_cancel (2), FOLD_NOTHING);
}
END_TEST

/* Guards against a snapshot that lacks state of the records it replaces.  */
START_TEST (test_snapshot_round_trip)
{
  job_step_t step = rig_step (3);
  GBytes *bytes;
  jobtab_t *copy;
  const job_entry_t *entry;
  task_end_t end = { .attempt = 2 };
  job_rec_t rec = { .kind = JREC_PROGRESS };
  gsize len;
  const void *data;

  rig_submit (1, &step, 1);
  rig_submit (2, &step, 1);
  fold_owner (JREC_CLAIM, 1, "a");
  rig_record_start (1, 0, 2, "w1");
  rig_record_start (1, 1, 1, "w2");
  memcpy (end.task.id, rig_id (1), JOB_ID_BYTES);
  rec.u.progress.epoch = 1;
  rec.u.progress.placed = g_array_new (FALSE, FALSE, sizeof (task_placed_t));
  rec.u.progress.ends = g_array_new (FALSE, FALSE, sizeof end);
  rec.u.progress.changes = g_array_new (FALSE, FALSE, sizeof (job_change_t));
  g_array_append_val (rec.u.progress.ends, end);
  jobtab_fold (rig.tab, &rec, NOW_MS);
  job_rec_clear (&rec);
  fold_cancel (2);
  rig.tab->next = 77;
  bytes = jobtab_pack (rig.tab);
  data = g_bytes_get_data (bytes, &len);
  copy = jobtab_unpack (data, len, NULL);
  ck_assert_ptr_nonnull (copy);
  ck_assert_uint_eq (copy->next, 77);
  ck_assert_uint_eq (copy->owner.epoch, 1);
  ck_assert_str_eq (copy->owner.holder, "a");
  entry = jobtab_find (copy, rig_id (1));
  ck_assert_uint_eq (entry->tasks[0].failures.count, 1);
  ck_assert_uint_eq (entry->tasks[0].failures.attempts[0], 2);
  ck_assert_ptr_null (entry->tasks[0].worker);
  ck_assert_uint_eq (entry->tasks[0].placed, 2);
  ck_assert_str_eq (entry->tasks[1].worker, "w2");
  ck_assert (!entry->tasks[2].done && entry->tasks[2].placed == 0);
  ck_assert_int_eq (jobtab_find (copy, rig_id (2))->state,
                    JOB_STATE_CANCELLED);
  ck_assert_ptr_null (jobtab_unpack (data, len - 1, NULL));
  jobtab_free (copy);
  g_bytes_unref (bytes);
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

TEST_PROGRAM_WITH ("jobs/jobtab", set_up, rig_tear_down,
                   test_same_id_is_one_job, test_first_claim_wins,
                   test_progress_of_a_replaced_owner_is_ignored,
                   test_holders_of_one_daemon_are_recognised,
                   test_final_states_stay, test_snapshot_round_trip,
                   test_final_jobs_are_kept_for_the_retention_time)

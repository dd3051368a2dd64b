#include "rig.h"

#define NOW_MS 1700000000000

static void
set_up (void)
{
  memset (&rig, 0, sizeof rig);
  rig.tab = jobtab_new ();
}

static void
cancel_job (uint32_t number)
{
  job_rec_t rec = { .kind = JREC_CANCEL };

  memcpy (rec.u.cancel.id, rig_id (number), JOB_ID_BYTES);
  rec.u.cancel.queue = g_intern_string (RIG_QUEUE);
  rec.u.cancel.workspace = g_intern_string (RIG_WORKSPACE);
  jobtab_fold (rig.tab, &rec, NOW_MS, 0);
}

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
  rig.tab->owner.epoch = 1;
  rig.tab->owner.holder = g_strdup ("a");
  rig_record_start (1, 0, 2, "w1");
  rig_record_start (1, 1, 1, "w2");
  memcpy (end.task.id, rig_id (1), JOB_ID_BYTES);
  rec.u.progress.epoch = 1;
  rec.u.progress.placed = g_array_new (FALSE, FALSE, sizeof (task_placed_t));
  rec.u.progress.ends = g_array_new (FALSE, FALSE, sizeof end);
  rec.u.progress.changes = g_array_new (FALSE, FALSE, sizeof (job_change_t));
  g_array_append_val (rec.u.progress.ends, end);
  jobtab_fold (rig.tab, &rec, NOW_MS, 0);
  job_rec_clear (&rec);
  cancel_job (2);
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

static uint64_t
limit_of (const jobtab_t *table, uint32_t number)
{
  return cancels_limit (&table->cancels, rig_id (number),
                        access_scope (RIG_QUEUE, RIG_WORKSPACE));
}

static jobtab_t *
pack_and_unpack (const jobtab_t *table, gsize *len)
{
  g_autoptr (GBytes) bytes = jobtab_pack (table);
  const void *data = g_bytes_get_data (bytes, len);

  return jobtab_unpack (data, *len, NULL);
}

/* Guards against a cancelled job that runs after a restart: the daemon has
   read a snapshot in place of the cancelling.  */
START_TEST (test_cancellings_are_in_the_snapshot)
{
  job_step_t step = rig_step (1);
  jobtab_t *copy;
  gsize len;

  rig_submit (3, &step, 1);
  jobtab_find (rig.tab, rig_id (3))->limit = 5;
  for (uint32_t i = 0; i <= CANCELS_MAX; i++)
    {
      rig.tab->next = 10 + i;
      cancel_job (100 + i);
    }
  copy = pack_and_unpack (rig.tab, &len);
  ck_assert_ptr_nonnull (copy);
  ck_assert_uint_eq (copy->cancels.dropped, 10);
  ck_assert_uint_eq (copy->cancels.rows.length, CANCELS_MAX);
  ck_assert_uint_eq (limit_of (copy, 100), 10);
  ck_assert_uint_eq (limit_of (copy, 101), 11);
  ck_assert_uint_eq (limit_of (copy, 100 + CANCELS_MAX), 10 + CANCELS_MAX);
  ck_assert_uint_eq (jobtab_find (copy, rig_id (3))->limit, 5);
  jobtab_free (copy);
}
END_TEST

/* Guards against a snapshot that grows with each cancelling.  A row has an id
   of 17 bytes and two numbers of 9 at most.  */
START_TEST (test_cancellings_in_a_snapshot_are_bounded)
{
  gsize len = 0;

  for (uint32_t i = 0; i < 3 * CANCELS_MAX; i++)
    {
      rig.tab->next = (UINT64_C (1) << 40) + i;
      cancel_job (100 + i);
    }
  jobtab_free (pack_and_unpack (rig.tab, &len));
  ck_assert_uint_le (len, CANCELS_MAX * 36 + 64);
}
END_TEST

/* A table in format 2 as of version 76559ad, which had no earlier placements
   and no runs of ended jobs: job 1 of two tasks, of which task 0 was started
   twice, and the cancelled job 2.  */
static const char former_snapshot[]
    = "\x96\x02\x09\x01\xa1\x61\x00\x92\x94\x00\xcf\x00\x00\x01\x8b\xcf\xe5"
      "\x68\x00\x9b\xb0\x30\x30\x30\x30\x30\x30\x30\x30\x30\x30\x30\x30\x30"
      "\x30\x30\x31\xa4\x61\x63\x6d\x65\xa6\x71\x75\x6f\x74\x65\x73\xa7\x66"
      "\x69\x74\x74\x69\x6e\x67\xc4\x07\x70\x61\x79\x6c\x6f\x61\x64\x91\x9d"
      "\x02\xcd\x03\xe8\x64\x00\xcd\x01\xf4\x90\xc0\xc0\xc0\x00\x00\x00\x08"
      "\x00\x92\x00\x00\xcf\x00\x00\x01\x8b\xcf\xe5\x68\x00\x97\x00\x03\xcd"
      "\x06\x40\xcd\x02\x58\x00\x00\x00\xc0\x91\x97\x00\x00\x00\x00\x90\x02"
      "\xa2\x77\x32\x94\x04\xcf\x00\x00\x01\x8b\xcf\xe5\x68\x00\x9b\xb0\x30"
      "\x30\x30\x30\x30\x30\x30\x30\x30\x30\x30\x30\x30\x30\x30\x32\xa4\x61"
      "\x63\x6d\x65\xa6\x71\x75\x6f\x74\x65\x73\xa7\x66\x69\x74\x74\x69\x6e"
      "\x67\xc4\x00\x90\x00\x92\x00\x00\xcf\x00\x00\x01\x8b\xcf\xe5\x68\x00"
      "\x97\x00\x03\xcd\x06\x40\xcd\x02\x58\x00\x00\x00\xc0\x90";

/* Guards against a daemon that can't read the snapshot of an earlier
   version.  */
START_TEST (test_snapshot_of_an_earlier_version_is_read)
{
  jobtab_t *copy
      = jobtab_unpack (former_snapshot, sizeof former_snapshot - 1, NULL);
  const job_entry_t *entry;

  ck_assert_ptr_nonnull (copy);
  ck_assert_uint_eq (copy->next, 9);
  entry = jobtab_find (copy, rig_id (1));
  ck_assert_uint_eq (entry->tasks[0].placed, 2);
  ck_assert_str_eq (entry->tasks[0].worker, "w2");
  entry = jobtab_find (copy, rig_id (2));
  ck_assert_int_eq (entry->state, JOB_STATE_CANCELLED);
  ck_assert_ptr_null (entry->tasks);
  jobtab_free (copy);
}
END_TEST

TEST_PROGRAM_WITH ("jobs/tabpack", set_up, rig_tear_down,
                   test_snapshot_round_trip,
                   test_cancellings_are_in_the_snapshot,
                   test_cancellings_in_a_snapshot_are_bounded,
                   test_snapshot_of_an_earlier_version_is_read)

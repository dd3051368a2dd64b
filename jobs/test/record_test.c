#include "../../test/run_suite.h"
#include "job.h"
#include <string.h>

#define MUTATIONS 20000

static job_desc_t *
new_desc (void)
{
  job_desc_t *desc = g_new0 (job_desc_t, 1);

  memcpy (desc->id, "00000000000000ab", JOB_ID_BYTES);
  desc->workspace = g_intern_string ("acme");
  desc->queue = g_intern_string ("quotes");
  desc->settings = (queue_settings_t){ .service = g_intern_string ("fitting"),
                                       .priority = 1,
                                       .max_attempts = 2,
                                       .stretch_milli = 1600,
                                       .latency_ms = 600,
                                       .advice = { 50, 2, 2000 } };
  desc->limits = (rules_workspace_t){ .name = desc->workspace,
                                      .weight = 3,
                                      .cap = { 64000, 128000, 2 } };
  desc->payload = g_strdup ("text\nwith lines");
  desc->steps = g_new0 (job_step_t, 2);
  desc->steps_count = 2;
  desc->steps[0] = (job_step_t){ .count = 4,
                                 .need = { 500, 256, 1 },
                                 .estimate_ms = 900,
                                 .rack = g_strdup ("r1"),
                                 .speculative = true };
  desc->steps[1] = (job_step_t){ .count = 1,
                                 .after = g_new0 (uint32_t, 1),
                                 .after_count = 1,
                                 .spread_max = 2,
                                 .max_unavailable = 1,
                                 .long_running = true,
                                 .filler = true };
  desc->repeats = 3;
  desc->start_ms = 1700000000000;
  desc->interval_ms = 5000;
  desc->accepted_ms = 1700000000001;
  return desc;
}

static job_desc_t *desc;

static void
set_up (void)
{
  desc = new_desc ();
}

static void
tear_down (void)
{
  job_desc_unref (desc);
}

static job_rec_t
round_trip (const job_rec_t *rec)
{
  GBytes *bytes = job_rec_pack (rec);
  g_autoptr (GError) error = NULL;
  job_rec_t copy;
  gsize len;
  const void *data = g_bytes_get_data (bytes, &len);

  ck_assert (job_rec_unpack (data, len, &copy, &error));
  g_bytes_unref (bytes);
  ck_assert_int_eq (copy.kind, rec->kind);
  return copy;
}

/* Guards against an accepted job that is lost, as its record can't be read
   back (LOST): each name may be as long as job_check allows.  */
START_TEST (test_longest_names_round_trip)
{
  job_rec_t rec = { .kind = JREC_SUBMIT, .u.submit = desc };
  g_autofree char *name = g_strnfill (JOB_NAME_MAX, 'n');
  job_rec_t copy;

  desc->steps[0].label = g_strdup (name);
  g_free (desc->steps[0].rack);
  desc->steps[0].rack = g_strdup (name);
  desc->steps[0].image = g_strdup (name);
  ck_assert_ptr_null (job_check (desc));
  copy = round_trip (&rec);
  ck_assert_str_eq (copy.u.submit->steps[0].label, name);
  ck_assert_str_eq (copy.u.submit->steps[0].rack, name);
  ck_assert_str_eq (copy.u.submit->steps[0].image, name);
  job_rec_clear (&copy);
}
END_TEST

/* Guards against fields of a job that are lost when it is encoded.  */
START_TEST (test_submit_round_trip)
{
  job_rec_t rec = { .kind = JREC_SUBMIT, .u.submit = desc };
  job_rec_t copy = round_trip (&rec);
  const job_desc_t *a = rec.u.submit;
  const job_desc_t *b = copy.u.submit;

  ck_assert_str_eq (a->id, b->id);
  ck_assert_ptr_eq (a->workspace, b->workspace);
  ck_assert_ptr_eq (a->queue, b->queue);
  ck_assert_ptr_eq (a->settings.service, b->settings.service);
  ck_assert_uint_eq (b->settings.priority, 1);
  ck_assert_uint_eq (b->settings.max_attempts, 2);
  ck_assert_uint_eq (b->settings.stretch_milli, 1600);
  ck_assert_uint_eq (b->settings.latency_ms, 600);
  ck_assert_uint_eq (b->settings.advice.decide_ms, 50);
  ck_assert_uint_eq (b->settings.advice.period_ms, 2);
  ck_assert_uint_eq (b->settings.advice.valid_ms, 2000);
  ck_assert_ptr_eq (b->limits.name, b->workspace);
  ck_assert_uint_eq (b->limits.weight, 3);
  ck_assert_int_eq (b->limits.cap.cpu_milli, 64000);
  ck_assert_int_eq (b->limits.cap.mem_mib, 128000);
  ck_assert_int_eq (b->limits.cap.accels, 2);
  ck_assert_str_eq (a->payload, b->payload);
  ck_assert_uint_eq (b->steps_count, 2);
  ck_assert_uint_eq (b->steps[0].count, 4);
  ck_assert_int_eq (b->steps[0].need.cpu_milli, 500);
  ck_assert_int_eq (b->steps[0].need.mem_mib, 256);
  ck_assert_int_eq (b->steps[0].need.accels, 1);
  ck_assert_str_eq (b->steps[0].rack, "r1");
  ck_assert_ptr_null (b->steps[0].label);
  ck_assert (b->steps[0].speculative && !b->steps[0].long_running);
  ck_assert_uint_eq (b->steps[1].after_count, 1);
  ck_assert_uint_eq (b->steps[1].spread_max, 2);
  ck_assert_uint_eq (b->steps[1].max_unavailable, 1);
  ck_assert (b->steps[1].long_running && b->steps[1].filler);
  ck_assert_uint_eq (b->repeats, 3);
  ck_assert_int_eq (b->start_ms, a->start_ms);
  ck_assert_int_eq (b->interval_ms, a->interval_ms);
  ck_assert_int_eq (b->accepted_ms, a->accepted_ms);
  job_rec_clear (&copy);
}
END_TEST

/* Packed submit records: an array of three with the kind, the description,
   whose last fields are the settings and the limits, and the position, which
   earlier versions don't have.  */
#define RECORD_HEADER 0x93
#define RECORD_HEADER_WITHOUT_POSITION 0x92
#define POSITION_BYTES 1 /* of a small number */
#define DESC_HEADER_AT 2
#define DESC_HEADER 0x9b                  /* eleven fields */
#define DESC_HEADER_WITHOUT_LIMITS 0x9a   /* ten */
#define DESC_HEADER_WITHOUT_SETTINGS 0x99 /* nine */
#define EMPTY_SETTINGS_BYTES 8
#define EMPTY_LIMITS_BYTES 1

/* Guards against a job in a record or snapshot of an earlier version that is
   lost because the settings of its queue, or the limits of its workspace, are
   missing.  */
START_TEST (test_record_without_settings_is_read)
{
  job_rec_t rec = { .kind = JREC_SUBMIT, .u.submit = desc };
  const char *service = desc->settings.service;
  job_rec_t copy;
  GBytes *bytes;
  g_autofree uint8_t *data = NULL;
  gsize len;

  desc->settings = (queue_settings_t){ .service = service };
  desc->limits = (rules_workspace_t){ .name = NULL };
  bytes = job_rec_pack (&rec);
  data = g_bytes_unref_to_data (bytes, &len);
  ck_assert_uint_eq (data[0], RECORD_HEADER);
  data[0] = RECORD_HEADER_WITHOUT_POSITION;
  len -= POSITION_BYTES;
  ck_assert_uint_eq (data[DESC_HEADER_AT], DESC_HEADER);
  len -= EMPTY_LIMITS_BYTES;
  data[DESC_HEADER_AT] = DESC_HEADER_WITHOUT_LIMITS;
  ck_assert (job_rec_unpack (data, len, &copy, NULL));
  ck_assert_ptr_null (copy.u.submit->limits.name);
  ck_assert_uint_eq (copy.position, JOB_POSITION_NONE);
  job_rec_clear (&copy);
  len -= EMPTY_SETTINGS_BYTES;
  data[DESC_HEADER_AT] = DESC_HEADER_WITHOUT_SETTINGS;
  ck_assert (job_rec_unpack (data, len, &copy, NULL));
  ck_assert_ptr_eq (copy.u.submit->settings.service, service);
  ck_assert_int_eq (copy.u.submit->accepted_ms, desc->accepted_ms);
  ck_assert_uint_eq (copy.u.submit->settings.max_attempts, 0);
  job_rec_clear (&copy);
}
END_TEST

/* Guards against a cancelling that is taken for an older or another one, as
   its position, its number or what it applies to is lost.  */
START_TEST (test_cancel_round_trip)
{
  job_rec_t rec = { .kind = JREC_CANCEL,
                    .position = INT64_C (1) << 40,
                    .u.cancel = { .id = "00000000000000ab",
                                  .nonce = UINT64_MAX,
                                  .queue = g_intern_string ("q"),
                                  .workspace = g_intern_string ("") } };
  job_rec_t copy = round_trip (&rec);

  ck_assert_uint_eq (copy.position, rec.position);
  ck_assert_uint_eq (copy.u.cancel.nonce, rec.u.cancel.nonce);
  ck_assert_ptr_eq (copy.u.cancel.queue, rec.u.cancel.queue);
  ck_assert_ptr_eq (copy.u.cancel.workspace, rec.u.cancel.workspace);
  ck_assert_str_eq (copy.u.cancel.id, rec.u.cancel.id);
}
END_TEST

/* Guards against a cancelling by a daemon of an earlier version that is lost
   in an upgrade.  */
START_TEST (test_cancel_without_position_is_read)
{
  static const char former[] = "\x92\x02\xb0"
                               "00000000000000ab";
  job_rec_t rec;

  ck_assert (job_rec_unpack (former, sizeof former - 1, &rec, NULL));
  ck_assert_int_eq (rec.kind, JREC_CANCEL);
  ck_assert_str_eq (rec.u.cancel.id, "00000000000000ab");
  ck_assert_uint_eq (rec.position, JOB_POSITION_NONE);
  ck_assert_ptr_null (rec.u.cancel.queue);
}
END_TEST

/* Guards against fields of progress that are lost when it is encoded.  */
START_TEST (test_progress_round_trip)
{
  task_placed_t placed = { { "00000000000000ab", 1, 2, 3 }, 4, "w1" };
  task_end_t end = { { "00000000000000ac", 5, 6, 7 }, 8, true };
  job_change_t change = { "00000000000000ad", JOB_STATE_FAILED };
  run_over_t over = { { "00000000000000ae", 9, 10, 11 }, 12 };
  job_rec_t rec = { .kind = JREC_PROGRESS };
  job_rec_t copy;

  rec.u.progress.epoch = 9;
  rec.u.progress.batch = 10;
  rec.u.progress.placed = g_array_new (FALSE, FALSE, sizeof placed);
  rec.u.progress.ends = g_array_new (FALSE, FALSE, sizeof end);
  rec.u.progress.changes = g_array_new (FALSE, FALSE, sizeof change);
  g_array_append_val (rec.u.progress.placed, placed);
  g_array_append_val (rec.u.progress.ends, end);
  g_array_append_val (rec.u.progress.changes, change);
  copy = round_trip (&rec);
  ck_assert_ptr_null (
      copy.u.progress.over); /* absent, as in earlier versions */
  job_rec_clear (&copy);
  rec.u.progress.over = g_array_new (FALSE, FALSE, sizeof over);
  g_array_append_val (rec.u.progress.over, over);
  copy = round_trip (&rec);
  ck_assert_uint_eq (copy.u.progress.epoch, 9);
  ck_assert_uint_eq (copy.u.progress.batch, 10);
  placed = g_array_index (copy.u.progress.placed, task_placed_t, 0);
  ck_assert_str_eq (placed.task.id, "00000000000000ab");
  ck_assert_uint_eq (placed.task.index, 3);
  ck_assert_uint_eq (placed.attempt, 4);
  ck_assert_str_eq (placed.worker, "w1");
  end = g_array_index (copy.u.progress.ends, task_end_t, 0);
  ck_assert_uint_eq (end.task.occurrence, 5);
  ck_assert_uint_eq (end.attempt, 8);
  ck_assert (end.done);
  change = g_array_index (copy.u.progress.changes, job_change_t, 0);
  ck_assert_int_eq (change.state, JOB_STATE_FAILED);
  over = g_array_index (copy.u.progress.over, run_over_t, 0);
  ck_assert_uint_eq (over.task.step, 10);
  ck_assert_uint_eq (over.attempt, 12);
  job_rec_clear (&rec);
  job_rec_clear (&copy);
}
END_TEST

/* Guards against a value of a gang that is lost when it is encoded, alone or
   beside the optional fields before it.  */
START_TEST (test_values_round_trip)
{
  worker_silence_t silence = { .worker = "w1", .left_ms = 7 };
  job_rec_t rec = { .kind = JREC_PROGRESS };

  rec.u.progress.placed = g_array_new (FALSE, FALSE, sizeof (task_placed_t));
  rec.u.progress.ends = g_array_new (FALSE, FALSE, sizeof (task_end_t));
  rec.u.progress.changes = g_array_new (FALSE, FALSE, sizeof (job_change_t));
  rec.u.progress.values = gang_values_new ();
  for (uint32_t i = 0; i < 2; i++)
    {
      gang_value_t row = { { "00000000000000ab", 1, 2, 0 }, 4, NULL };
      job_rec_t copy;

      row.value = g_strdup ("500");
      g_array_append_val (rec.u.progress.values, row);
      if (i == 1)
        {
          rec.u.progress.silences = g_array_new (FALSE, FALSE, sizeof silence);
          g_array_append_val (rec.u.progress.silences, silence);
        }
      copy = round_trip (&rec);
      ck_assert_uint_eq (copy.u.progress.values->len, i + 1);
      row = g_array_index (copy.u.progress.values, gang_value_t, i);
      ck_assert_str_eq (row.task.id, "00000000000000ab");
      ck_assert_uint_eq (row.task.step, 2);
      ck_assert_uint_eq (row.attempt, 4);
      ck_assert_str_eq (row.value, "500");
      ck_assert_uint_eq (copy.u.progress.silences->len, i);
      job_rec_clear (&copy);
    }
  job_rec_clear (&rec);
}
END_TEST

/* Guards against an epoch or a holder that is lost when it is encoded.  */
START_TEST (test_owner_records_round_trip)
{
  static const job_rec_kind_t kinds[]
      = { JREC_CLAIM, JREC_RENEW, JREC_PROBE, JREC_RELEASE };

  for (uint32_t i = 0; i < G_N_ELEMENTS (kinds); i++)
    {
      job_rec_t rec = { .kind = kinds[i] };
      job_rec_t copy;

      rec.u.owner.epoch = 7;
      rec.u.owner.holder = g_strdup ("edge-1#5");
      copy = round_trip (&rec);
      ck_assert_uint_eq (copy.u.owner.epoch, 7);
      ck_assert_str_eq (copy.u.owner.holder, "edge-1#5");
      job_rec_clear (&rec);
      job_rec_clear (&copy);
    }
}
END_TEST

/* Guards against a corrupt or truncated record that crashes the reader: all
   daemons read the same log, so it would crash all of them.  */
START_TEST (test_damaged_records_are_rejected)
{
  job_rec_t rec = { .kind = JREC_SUBMIT, .u.submit = desc };
  GBytes *bytes = job_rec_pack (&rec);
  gsize len;
  const uint8_t *data = g_bytes_get_data (bytes, &len);
  g_autoptr (GRand) rand = g_rand_new_with_seed (run_seed ("jobs/record"));
  g_autofree uint8_t *copy = g_malloc (len);
  job_rec_t out;

  for (uint32_t i = 0; i < MUTATIONS; i++)
    {
      size_t part = (size_t)g_rand_int_range (rand, 0, (gint32)len + 1);

      memcpy (copy, data, len);
      for (uint32_t flips = 0; flips < 3; flips++)
        copy[g_rand_int_range (rand, 0, (gint32)len)]
            = (uint8_t)g_rand_int_range (rand, 0, 256);
      if (job_rec_unpack (copy, i % 2 ? part : len, &out, NULL))
        {
          if (out.kind == JREC_SUBMIT)
            ck_assert_ptr_null (job_check (out.u.submit));
          job_rec_clear (&out);
        }
    }
  g_bytes_unref (bytes);
}
END_TEST

TEST_PROGRAM_WITH ("jobs/record", set_up, tear_down,
                   test_longest_names_round_trip, test_submit_round_trip,
                   test_record_without_settings_is_read,
                   test_cancel_round_trip,
                   test_cancel_without_position_is_read,
                   test_progress_round_trip, test_values_round_trip,
                   test_owner_records_round_trip,
                   test_damaged_records_are_rejected)

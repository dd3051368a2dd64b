/* Guards against an append that takes effect twice or is reported wrongly when
   the log fails, and against a state that differs from the daemons'.  */

#include "fixture.h"

static rec_t
join_record (uint64_t incarnation)
{
  rec_t rec;

  rec_init (&rec, REC_JOIN, "e1", 1);
  strcpy (rec.u.entry.name, "e1");
  rec.u.entry.incarnation = incarnation;
  return rec;
}

static const struct
{
  devlog_faults_t faults;
  int error; /* code from session_commit, or -1 */
  uint64_t records;
} fault_cases[] = {
  { { 0 }, -1, 1 },
  { { .lose_answers = 1 }, -1, 1 },
  { { .drop_appends = 1 }, -1, 1 },
  { { .drop_appends = 4 }, -1, 1 },
  { { .drop_appends = 1, .lose_answers = 1 }, -1, 1 },
  { { .drop_appends = 100 }, SESSION_ERROR_UNKNOWN, 0 },
};

START_TEST (a_record_takes_effect_once)
{
  for (size_t i = 0; i < G_N_ELEMENTS (fault_cases); i++)
    {
      session_t *session = open_session ();
      uint64_t before = session->state->offset;
      rec_t rec = join_record (before + 1);
      g_autoptr (GError) error = NULL;
      verdict_t verdict = VERDICT_BEHIND;
      bool known;

      set_faults (fault_cases[i].faults);
      known = session_commit (session, &rec, &verdict, &error);
      set_faults ((devlog_faults_t){ 0 });
      ck_assert_int_eq (error ? error->code : -1, fault_cases[i].error);
      ck_assert (known == !error);
      ck_assert (!known || verdict == VERDICT_APPLIED);
      session_close (session);
      session = open_session ();
      ck_assert_uint_eq (session->state->offset - before,
                         fault_cases[i].records);
      session_close (session);
    }
}
END_TEST

START_TEST (one_of_two_conflicting_records_is_applied)
{
  session_t *first = open_session ();
  session_t *second = open_session ();
  rec_t a = join_record (5);
  rec_t b = join_record (5);
  verdict_t verdict;

  ck_assert (session_commit (second, &b, &verdict, NULL));
  ck_assert_int_eq (verdict, VERDICT_APPLIED);
  ck_assert (session_commit (first, &a, &verdict, NULL));
  ck_assert_int_eq (verdict, VERDICT_STALE);
  session_close (first);
  session_close (second);
}
END_TEST

static void
append_bytes (const char *stream, GBytes *bytes)
{
  platform_t *platform = platform_open (url);
  gsize len;
  const void *data = g_bytes_get_data (bytes, &len);
  uint64_t offset;

  ck_assert_int_eq (log_append (platform, stream, data, len, 1000, &offset),
                    LOG_OK);
  platform_close (platform);
}

static void
append_records (uint64_t from, uint64_t to)
{
  for (uint64_t i = from; i <= to; i++)
    {
      rec_t rec = join_record (i);
      g_autoptr (GBytes) bytes = wire_encode_rec (&rec);

      append_bytes (STREAM_FLEET, bytes);
    }
}

static void
append_snapshot (void)
{
  session_t *session = open_session ();
  g_autoptr (GBytes) bytes = wire_encode_snapshot (session->state);

  append_bytes (STREAM_SNAPSHOT, bytes);
  session_close (session);
}

static void
expect_error (int code)
{
  g_autoptr (GError) error = NULL;

  ck_assert_ptr_null (session_open (url, 0, &error));
  ck_assert_int_eq (error->code, code);
}

START_TEST (starts_from_the_newest_readable_snapshot)
{
  g_autoptr (GBytes) junk = g_bytes_new ("junk", 4);
  session_t *session;
  const entry_state_t *entry;

  append_records (1, 10);
  append_snapshot ();
  append_bytes (STREAM_SNAPSHOT, junk);
  append_bytes (STREAM_FLEET, junk);
  append_records (11, 12);
  set_faults ((devlog_faults_t){ .retain = 3 });
  session = open_session ();
  ck_assert_uint_eq (session->state->offset, 13);
  entry = table_find (&session->state->entries, "e1");
  ck_assert_uint_eq (entry->incarnation, 12);
  ck_assert_uint_eq (session->state->seen_count, 12);
  session_close (session);
  set_faults ((devlog_faults_t){ .retain = 1 });
  expect_error (SESSION_ERROR_GAP);
}
END_TEST

START_TEST (open_fails_on_a_newer_record_or_an_unreachable_log)
{
  rec_t rec = join_record (1);
  g_autoptr (GBytes) bytes = NULL;

  rec.kind = REC_UNKNOWN;
  bytes = wire_encode_rec (&rec);
  append_bytes (STREAM_FLEET, bytes);
  expect_error (SESSION_ERROR_BEHIND);
  set_faults ((devlog_faults_t){ .down = true });
  expect_error (SESSION_ERROR_LOG);
}
END_TEST

TEST_PROGRAM_WITH ("session", set_up, tear_down, a_record_takes_effect_once,
                   one_of_two_conflicting_records_is_applied,
                   starts_from_the_newest_readable_snapshot,
                   open_fails_on_a_newer_record_or_an_unreachable_log)

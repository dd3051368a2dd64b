#include "../../test/run_suite.h"
#include "history.h"

#define MS INT64_C (1000)
#define KEEP_US (20000 * MS)

static history_t history;
static int64_t now_us;

static void
set_up (void)
{
  now_us = 1000000 * MS;
  history_init (&history, KEEP_US);
}

/* Writes a snapshot that is due, with the result STORED.  */
static void
write_snapshot (bool stored)
{
  ck_assert (history_snapshot_is_due (&history, now_us));
  history_begin_snapshot (&history, 1000, now_us);
  ck_assert (!history_snapshot_is_due (&history, now_us));
  history_end_snapshot (&history, stored);
}

/* Guards against a new owner that relies on a snapshot of unknown age.  */
START_TEST (test_first_snapshot_is_due_at_once)
{
  ck_assert (!history_snapshot_is_due (&history, now_us));
  history_add_record (&history, 100, true, now_us);
  now_us += KEEP_US;
  history_start_owner (&history, now_us);
  ck_assert (!history_is_at_risk (&history, now_us));
  write_snapshot (true);
}
END_TEST

START_TEST (test_snapshots_are_spread_over_the_retention)
{
  history_add_record (&history, 100, true, now_us);
  write_snapshot (true);
  history_add_record (&history, 100, true, now_us);
  now_us += KEEP_US / HISTORY_SNAPSHOTS_PER_RETENTION - MS;
  ck_assert (!history_snapshot_is_due (&history, now_us));
  now_us += MS;
  write_snapshot (true);
}
END_TEST

/* Load: 60 jobs a second with 1.5 kB each.  Guards against daemons that all
   start at once after a power failure, and read a minute of the log each.  */
START_TEST (test_long_log_needs_a_snapshot_earlier)
{
  uint64_t bytes = 0;

  history_init (&history, 300000 * MS);
  history_start_owner (&history, now_us);
  write_snapshot (true);
  while (!history_snapshot_is_due (&history, now_us))
    {
      history_add_record (&history, 1500, true, now_us);
      bytes += 1500;
      now_us += 1000 * MS / 60;
    }
  ck_assert_uint_ge (bytes, HISTORY_LOG_BYTES_MIN);
  ck_assert_uint_lt (bytes, HISTORY_LOG_BYTES_MIN + 200000);
}
END_TEST

/* Guards against an owner that spends its link on snapshots of a table that is
   larger than the log since the last one.  */
START_TEST (test_large_snapshots_are_rarer)
{
  history_add_record (&history, 100, true, now_us);
  history_begin_snapshot (&history, 4 * HISTORY_LOG_BYTES_MIN, now_us);
  history_end_snapshot (&history, true);
  history_add_record (&history, 2 * HISTORY_LOG_BYTES_MIN, true, now_us);
  now_us += HISTORY_PAUSE_US;
  ck_assert (!history_snapshot_is_due (&history, now_us));
  history_add_record (&history, 2 * HISTORY_LOG_BYTES_MIN, true, now_us);
  ck_assert (history_snapshot_is_due (&history, now_us));
}
END_TEST

/* Guards against a store that loses one reply: the next attempt came only a
   quarter of the retention later, and records were deleted meanwhile.  */
START_TEST (test_failed_snapshot_is_repeated_soon)
{
  history_add_record (&history, 100, true, now_us);
  write_snapshot (false);
  ck_assert (!history_snapshot_is_due (&history, now_us));
  now_us += HISTORY_RETRY_US;
  write_snapshot (true);
}
END_TEST

/* Guards against ends that workers forget although the records of them will be
   deleted before a snapshot holds them.  */
START_TEST (test_records_are_at_risk_before_they_are_deleted)
{
  int64_t recorded_us = now_us;

  history_add_record (&history, 100, true, now_us);
  while (!history_is_at_risk (&history, now_us))
    {
      if (history_snapshot_is_due (&history, now_us))
        write_snapshot (false);
      history_add_record (&history, 100, true, now_us);
      now_us += 10 * MS;
      ck_assert_int_lt (now_us - recorded_us, KEEP_US * 3 / 4);
    }
  now_us += HISTORY_RETRY_MAX_US;
  write_snapshot (true);
  ck_assert (!history_is_at_risk (&history, now_us));
}
END_TEST

/* Guards against a snapshot that hangs in a slow store and hides the age of
   the records that it holds.  */
START_TEST (test_snapshot_in_flight_does_not_end_the_risk)
{
  history_add_record (&history, 100, true, now_us);
  history_begin_snapshot (&history, 1000, now_us);
  history_add_record (&history, 100, true, now_us + KEEP_US / 2);
  now_us += KEEP_US * HISTORY_RISK_PERCENT / 100;
  ck_assert (history_is_at_risk (&history, now_us));
  history_end_snapshot (&history, true);
  ck_assert (!history_is_at_risk (&history, now_us));
  /* The record that came meanwhile is not in the snapshot.  */
  ck_assert (history_is_at_risk (&history, now_us + KEEP_US));
}
END_TEST

/* Guards against a daemon that takes an older snapshot for one that fills the
   gap in its table.  */
START_TEST (test_only_a_covering_snapshot_fills_the_gap)
{
  ck_assert (history_is_complete (&history));
  history_note_gap (&history, 127);
  history_note_gap (&history, 59);
  ck_assert (!history_is_complete (&history));
  ck_assert (!history_covers (&history, 126));
  ck_assert (history_covers (&history, 127));
  history_fill_gap (&history);
  ck_assert (history_is_complete (&history));
}
END_TEST

START_TEST (test_incomplete_daemon_rereads_at_intervals)
{
  ck_assert (!history_reread_is_due (&history, now_us));
  history_note_gap (&history, 10);
  ck_assert (history_reread_is_due (&history, now_us));
  ck_assert (!history_reread_is_due (&history, now_us));
  now_us += HISTORY_REREAD_US;
  ck_assert (history_reread_is_due (&history, now_us));
}
END_TEST

TEST_PROGRAM_WITH ("jobs/history", set_up, NULL,
                   test_first_snapshot_is_due_at_once,
                   test_snapshots_are_spread_over_the_retention,
                   test_long_log_needs_a_snapshot_earlier,
                   test_large_snapshots_are_rarer,
                   test_failed_snapshot_is_repeated_soon,
                   test_records_are_at_risk_before_they_are_deleted,
                   test_snapshot_in_flight_does_not_end_the_risk,
                   test_only_a_covering_snapshot_fills_the_gap,
                   test_incomplete_daemon_rereads_at_intervals)

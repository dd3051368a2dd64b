/* Guards against taking a daemon for alive, or a view for fresh, on the word
   of a replaced daemon or of beats that came late.  */

#include "../../test/run_suite.h"
#include "peer.h"

#define SECOND_US INT64_C (1000000)
#define NOW_US (100 * SECOND_US)

static const member_t *
beat_at (members_t *members, uint64_t incarnation, msg_beat_t beat)
{
  members_beat (members, "e2", incarnation, &beat, NOW_US);
  return members_at (members, 0);
}

START_TEST (phase_follows_from_the_last_beat)
{
  static const struct
  {
    int64_t heard_us, now_us;
    member_phase_t phase;
  } rows[] = {
    { 0, 1, MEMBER_GONE },
    { 1, 1, MEMBER_ALIVE },
    { 1, 1 + SUSPECT_US, MEMBER_ALIVE },
    { 1, 2 + SUSPECT_US, MEMBER_SUSPECT },
    { 1, 1 + GONE_US, MEMBER_SUSPECT },
    { 1, 2 + GONE_US, MEMBER_GONE },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      member_t member = { .heard_us = rows[i].heard_us };

      ck_assert_msg (member_judge (&member, rows[i].now_us) == rows[i].phase,
                     "row %zu", i);
    }
}
END_TEST

/* A paused process finds beats of long ago in its sockets.  */
START_TEST (late_beat_is_heard_at_the_time_it_echoes)
{
  static const struct
  {
    int64_t echo_us;
    uint64_t log_age_ms;
    int64_t heard_us, log_read_us;
  } rows[] = {
    { NOW_US - SECOND_US, 200, NOW_US - SECOND_US, NOW_US - 1200000 },
    { NOW_US, 0, NOW_US, NOW_US },
    { NOW_US - 60 * SECOND_US, 0, 40 * SECOND_US, 40 * SECOND_US },
    { 0, 0, 0, 0 },
    { NOW_US + 1, 0, 0, 0 },
    { -5, 0, 0, 0 },
    { NOW_US, BEAT_NEVER_READ, NOW_US, 0 },
    { NOW_US, UINT64_MAX / 1000, NOW_US, 0 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      members_t *members = members_new ();
      msg_beat_t beat
          = { .echo_us = rows[i].echo_us, .log_age_ms = rows[i].log_age_ms };
      peer_heartbeat_t view;

      ck_assert (members_hello (members, "e2", "north", 7));
      view = member_view (beat_at (members, 7, beat));
      ck_assert_msg (view.heard_us == rows[i].heard_us
                         && view.log_read_us == rows[i].log_read_us,
                     "row %zu", i);
      members_free (members);
    }
}
END_TEST

START_TEST (replaced_daemon_is_not_heard)
{
  members_t *members = members_new ();
  msg_beat_t beat = {
    .config_version = 5, .settled_version = 4, .offset = 9, .echo_us = NOW_US
  };
  share_report_t report;

  ck_assert (members_hello (members, "e2", "north", 7));
  report = member_report (beat_at (members, 7, beat), true);
  ck_assert_uint_eq (report.version, 5);
  ck_assert_uint_eq (report.settled, 4);
  ck_assert (members_hello (members, "e2", "south", 8));
  report = member_report (members_at (members, 0), true);
  ck_assert_uint_eq (report.version, 0);
  ck_assert_int_eq (members_at (members, 0)->heard_us, 0);
  ck_assert (!members_hello (members, "e2", "north", 7));
  report = member_report (beat_at (members, 7, beat), true);
  ck_assert_uint_eq (report.version, 0);
  ck_assert_uint_eq (members_count (members), 1);
  members_free (members);
}
END_TEST

START_TEST (beats_out_of_order_take_nothing_back)
{
  members_t *members = members_new ();
  const member_t *member;

  members_hello (members, "e2", "north", 7);
  beat_at (members, 7, (msg_beat_t){ 5, 5, 9, 0, 1, NOW_US });
  member = beat_at (members, 7, (msg_beat_t){ 4, 3, 8, 0, 1, NOW_US - 1 });
  ck_assert_uint_eq (member->config_version, 5);
  ck_assert_uint_eq (member->settled_version, 5);
  ck_assert_uint_eq (member->offset, 9);
  ck_assert_int_eq (member->heard_us, NOW_US);
  members_free (members);
}
END_TEST

START_TEST (suspect_is_told_once)
{
  members_t *members = members_new ();
  msg_beat_t beat = { .echo_us = NOW_US };

  members_hello (members, "e2", "north", 7);
  ck_assert_ptr_null (members_next_suspect (members, NOW_US));
  beat_at (members, 7, beat);
  ck_assert_ptr_null (members_next_suspect (members, NOW_US + SUSPECT_US));
  ck_assert_ptr_nonnull (
      members_next_suspect (members, NOW_US + SUSPECT_US + 1));
  ck_assert_ptr_null (members_next_suspect (members, NOW_US + GONE_US + 1));
  members_free (members);
}
END_TEST

TEST_PROGRAM ("member", phase_follows_from_the_last_beat,
              late_beat_is_heard_at_the_time_it_echoes,
              replaced_daemon_is_not_heard,
              beats_out_of_order_take_nothing_back, suspect_is_told_once)

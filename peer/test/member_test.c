/* Guards against treating a daemon as alive, or a view as fresh, because of a
   replaced daemon or of heartbeats that were delayed.  */

#include "../../test/run_suite.h"
#include "peer.h"

#define SECOND_US INT64_C (1000000)
#define NOW_US (100 * SECOND_US)

static const member_t *
apply_heartbeat (members_t *members, uint64_t incarnation,
                 msg_heartbeat_t heartbeat)
{
  members_update (members, "e2", incarnation, &heartbeat, NOW_US);
  return members_at (members, 0);
}

START_TEST (phase_follows_from_the_last_heartbeat)
{
  static const struct
  {
    int64_t heard_us, now_us;
    member_phase_t phase;
  } rows[] = {
    { 0, 1, MEMBER_GONE },
    { 1, 1, MEMBER_ALIVE },
    { 1, 1 + SUSPECT_AFTER_US, MEMBER_ALIVE },
    { 1, 2 + SUSPECT_AFTER_US, MEMBER_SUSPECT },
    { 1, 1 + GONE_AFTER_US, MEMBER_SUSPECT },
    { 1, 2 + GONE_AFTER_US, MEMBER_GONE },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      member_t member = { .heard_us = rows[i].heard_us };

      ck_assert_msg (member_phase_at (&member, rows[i].now_us)
                         == rows[i].phase,
                     "row %zu", i);
    }
}
END_TEST

/* After a pause, a process finds old heartbeats in its socket buffers.  */
START_TEST (delayed_heartbeat_counts_at_the_time_it_echoes)
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
    { NOW_US, LOG_AGE_NEVER_READ, NOW_US, 0 },
    { NOW_US, UINT64_MAX / 1000, NOW_US, 0 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      members_t *members = members_new ();
      msg_heartbeat_t heartbeat
          = { .echo_us = rows[i].echo_us, .log_age_ms = rows[i].log_age_ms };
      peer_heartbeat_t received;

      ck_assert (members_register (members, "e2", "north", 7));
      received = member_heartbeat (apply_heartbeat (members, 7, heartbeat));
      ck_assert_msg (received.heard_us == rows[i].heard_us
                         && received.log_read_us == rows[i].log_read_us,
                     "row %zu", i);
      members_free (members);
    }
}
END_TEST

START_TEST (replaced_daemon_is_ignored)
{
  members_t *members = members_new ();
  msg_heartbeat_t heartbeat = {
    .config_version = 5, .settled_version = 4, .offset = 9, .echo_us = NOW_US
  };
  share_report_t report;

  ck_assert (members_register (members, "e2", "north", 7));
  report = member_report (apply_heartbeat (members, 7, heartbeat), true);
  ck_assert_uint_eq (report.version, 5);
  ck_assert_uint_eq (report.settled, 4);
  ck_assert (members_register (members, "e2", "south", 8));
  report = member_report (members_at (members, 0), true);
  ck_assert_uint_eq (report.version, 0);
  ck_assert_int_eq (members_at (members, 0)->heard_us, 0);
  ck_assert (!members_register (members, "e2", "north", 7));
  report = member_report (apply_heartbeat (members, 7, heartbeat), true);
  ck_assert_uint_eq (report.version, 0);
  ck_assert_uint_eq (members_count (members), 1);
  members_free (members);
}
END_TEST

START_TEST (reordered_heartbeats_never_lower_values)
{
  members_t *members = members_new ();
  const member_t *member;

  members_register (members, "e2", "north", 7);
  apply_heartbeat (members, 7, (msg_heartbeat_t){ 5, 5, 9, 0, 1, NOW_US });
  member = apply_heartbeat (members, 7,
                            (msg_heartbeat_t){ 4, 3, 8, 0, 1, NOW_US - 1 });
  ck_assert_uint_eq (member->config_version, 5);
  ck_assert_uint_eq (member->settled_version, 5);
  ck_assert_uint_eq (member->offset, 9);
  ck_assert_int_eq (member->heard_us, NOW_US);
  members_free (members);
}
END_TEST

START_TEST (suspect_is_reported_once)
{
  members_t *members = members_new ();
  msg_heartbeat_t heartbeat = { .echo_us = NOW_US };

  members_register (members, "e2", "north", 7);
  ck_assert_ptr_null (members_next_suspect (members, NOW_US));
  apply_heartbeat (members, 7, heartbeat);
  ck_assert_ptr_null (
      members_next_suspect (members, NOW_US + SUSPECT_AFTER_US));
  ck_assert_ptr_nonnull (
      members_next_suspect (members, NOW_US + SUSPECT_AFTER_US + 1));
  ck_assert_ptr_null (
      members_next_suspect (members, NOW_US + GONE_AFTER_US + 1));
  members_free (members);
}
END_TEST

TEST_PROGRAM ("member", phase_follows_from_the_last_heartbeat,
              delayed_heartbeat_counts_at_the_time_it_echoes,
              replaced_daemon_is_ignored,
              reordered_heartbeats_never_lower_values,
              suspect_is_reported_once)

#include "../../test/run_suite.h"
#include "admit.h"

#define NOW ((int64_t)100000000)
#define TOO_OLD (NOW - FRESH_MAX_AGE_US - 1)
#define RECENT (NOW - FRESH_MAX_AGE_US) /* as old as allowed */

static const char *const data_centres[] = { "x", "y", "z" };

/* This daemon is in data centre x and has folded the log up to offset 10.
   Guards against a daemon that keeps using a configuration which has been
   replaced, and against one that stops admitting requests without need.  */
static const struct
{
  const char *name;
  int64_t log_read_us;
  int64_t log_failed_us;
  peer_heartbeat_t peers[3]; /* data centre, heard, log read, offset */
  freshness_t freshness;
} rows[] = {
  { "own read of the log", RECENT, 0, { { "y" } }, FRESH },
  { "a peer's read of the log",
    TOO_OLD,
    RECENT,
    { { "y", RECENT, RECENT, 10 }, { "z" }, { "x" } },
    FRESH },
  { "a peer has read a record that is not folded here",
    TOO_OLD,
    RECENT,
    { { "y", NOW, NOW, 11 }, { "z", NOW, TOO_OLD, 10 } },
    STALE },
  { "folded as far as one of two peers",
    TOO_OLD,
    RECENT,
    { { "y", NOW, NOW, 11 }, { "z", NOW, NOW, 10 } },
    FRESH },
  { "no read succeeds, all data centres send heartbeats",
    TOO_OLD,
    RECENT,
    { { "y", RECENT, TOO_OLD, 10 }, { "z", RECENT, 0, 9 }, { "x" } },
    BLIND },
  { "no read succeeds, a peer has one more record",
    TOO_OLD,
    RECENT,
    { { "y", NOW, TOO_OLD, 10 },
      { "z", NOW, TOO_OLD, 10 },
      { "x", 1, 0, 11 } },
    STALE },
  { "one data centre sends no heartbeats",
    TOO_OLD,
    RECENT,
    { { "y", NOW, TOO_OLD, 10 },
      { "z", TOO_OLD, TOO_OLD, 10 },
      { "x", NOW, 0, 9 } },
    STALE },
  { "no heartbeat and no read since the start",
    0,
    RECENT,
    { { NULL } },
    STALE },
  { "resumed after a pause, heartbeats arrive before a read is tried",
    TOO_OLD,
    TOO_OLD,
    { { "y", NOW, TOO_OLD, 10 }, { "z", NOW, TOO_OLD, 10 } },
    STALE },
  { "resumed after a pause: all times are old",
    TOO_OLD,
    RECENT,
    { { "y", TOO_OLD, TOO_OLD, 10 }, { "z", TOO_OLD, TOO_OLD, 10 } },
    STALE },
};

START_TEST (freshness_follows_reads_and_heartbeats)
{
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      freshness_inputs_t inputs = { rows[i].log_read_us,
                                    rows[i].log_failed_us,
                                    10,
                                    "x",
                                    data_centres,
                                    3,
                                    rows[i].peers,
                                    3 };

      ck_assert_msg (freshness_evaluate (&inputs, NOW, 0) == rows[i].freshness,
                     "%s", rows[i].name);
    }
}
END_TEST

/* Guards against ignoring the grace period, and against a gap between FRESH
   and BLIND when the log becomes unreachable while heartbeats continue.  */
START_TEST (grace_and_log_outage)
{
  peer_heartbeat_t peers[] = { { "y", NOW, NOW, 10 }, { "z", NOW, NOW, 10 } };
  freshness_inputs_t inputs = { NOW, 0, 10, "x", data_centres, 3, peers, 2 };
  int64_t end_us = NOW + FRESH_MAX_AGE_US;

  ck_assert_int_eq (freshness_evaluate (&inputs, end_us + 1, 0), STALE);
  ck_assert_int_eq (freshness_evaluate (&inputs, end_us + 1, 1), FRESH);
  for (int64_t now_us = NOW; now_us < NOW + 20000000; now_us += 10000)
    {
      for (size_t i = 0; i < 2; i++)
        peers[i].heard_us = now_us - now_us % 500000;
      inputs.log_failed_us = now_us - now_us % 2500000;
      ck_assert_int_eq (freshness_evaluate (&inputs, now_us, 0),
                        now_us <= end_us ? FRESH : BLIND);
    }
}
END_TEST

TEST_PROGRAM ("freshness", freshness_follows_reads_and_heartbeats,
              grace_and_log_outage)

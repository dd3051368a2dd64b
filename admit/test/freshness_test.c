#include "../../test/run_suite.h"
#include "admit.h"

#define NOW ((int64_t)100000000)
#define LATE (NOW - FRESH_MAX_AGE_US - 1) /* just too old */
#define RECENT (NOW - FRESH_MAX_AGE_US)   /* just not */

static const char *const data_centres[] = { "x", "y", "z" };

/* This daemon stands in x and has folded up to offset 10.  Each row guards
   against the daemon going on with rules that were changed elsewhere, or
   stopping without need.  */
static const struct
{
  const char *guards;
  int64_t log_read_us;
  int64_t log_failed_us;
  peer_heartbeat_t peers[3]; /* data centre, heard, log read, offset */
  freshness_t freshness;
} rows[] = {
  { "own read", RECENT, 0, { { "y" } }, FRESH },
  { "peer's read",
    LATE,
    RECENT,
    { { "y", RECENT, RECENT, 10 }, { "z" }, { "x" } },
    FRESH },
  { "peer read what is not folded here",
    LATE,
    RECENT,
    { { "y", NOW, NOW, 11 }, { "z", NOW, LATE, 10 } },
    STALE },
  { "one of two peers has been caught up with",
    LATE,
    RECENT,
    { { "y", NOW, NOW, 11 }, { "z", NOW, NOW, 10 } },
    FRESH },
  { "nobody reads, all heard",
    LATE,
    RECENT,
    { { "y", RECENT, LATE, 10 }, { "z", RECENT, 0, 9 }, { "x" } },
    BLIND },
  { "nobody reads, but a peer has a record more",
    LATE,
    RECENT,
    { { "y", NOW, LATE, 10 }, { "z", NOW, LATE, 10 }, { "x", 1, 0, 11 } },
    STALE },
  { "one data centre silent",
    LATE,
    RECENT,
    { { "y", NOW, LATE, 10 }, { "z", LATE, LATE, 10 }, { "x", NOW, 0, 9 } },
    STALE },
  { "never heard of anything", 0, RECENT, { { NULL } }, STALE },
  { "resumed after a pause, heard again before the log was tried",
    LATE,
    LATE,
    { { "y", NOW, LATE, 10 }, { "z", NOW, LATE, 10 } },
    STALE },
  { "resumed after a pause: all times are old",
    LATE,
    RECENT,
    { { "y", LATE, LATE, 10 }, { "z", LATE, LATE, 10 } },
    STALE },
};

START_TEST (freshness_follows_what_was_heard)
{
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      freshness_inputs_t view = { rows[i].log_read_us,
                                  rows[i].log_failed_us,
                                  10,
                                  "x",
                                  data_centres,
                                  3,
                                  rows[i].peers,
                                  3 };

      ck_assert_msg (freshness_evaluate (&view, NOW, 0) == rows[i].freshness,
                     "%s", rows[i].guards);
    }
}
END_TEST

/* Guards against a grace period that is not added, and against a gap between
   FRESH and BLIND while the log goes down under steady heartbeats.  */
START_TEST (grace_and_log_outage)
{
  peer_heartbeat_t peers[] = { { "y", NOW, NOW, 10 }, { "z", NOW, NOW, 10 } };
  freshness_inputs_t view = { NOW, 0, 10, "x", data_centres, 3, peers, 2 };
  int64_t end_us = NOW + FRESH_MAX_AGE_US;

  ck_assert_int_eq (freshness_evaluate (&view, end_us + 1, 0), STALE);
  ck_assert_int_eq (freshness_evaluate (&view, end_us + 1, 1), FRESH);
  for (int64_t now_us = NOW; now_us < NOW + 20000000; now_us += 10000)
    {
      for (size_t i = 0; i < 2; i++)
        peers[i].heard_us = now_us - now_us % 500000;
      view.log_failed_us = now_us - now_us % 2500000;
      ck_assert_int_eq (freshness_evaluate (&view, now_us, 0),
                        now_us <= end_us ? FRESH : BLIND);
    }
}
END_TEST

TEST_PROGRAM ("freshness", freshness_follows_what_was_heard,
              grace_and_log_outage)

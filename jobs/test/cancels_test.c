#include "../../test/run_suite.h"
#include "cancels.h"

#define ID "00000000000000ab"
#define OTHER "00000000000000ac"
#define SCOPE 5

/* Guards against an id that is dropped although it was cancelled anew, so that
   the limit for all others rises with it.  */
START_TEST (test_id_that_is_cancelled_anew_is_the_newest)
{
  cancels_t set;

  cancels_init (&set);
  cancels_add (&set, ID, SCOPE, 1, 0);
  cancels_add (&set, OTHER, SCOPE, 2, 0);
  cancels_add (&set, ID, SCOPE, 3, 0);
  ck_assert_uint_eq (set.rows.length, 2);
  for (uint32_t i = 0; i < CANCELS_MAX - 1; i++)
    {
      char id[JOB_ID_BYTES];

      g_snprintf (id, sizeof id, "%016x", 0x1000 + i);
      cancels_add (&set, id, SCOPE, 4 + i, 0);
    }
  ck_assert_uint_eq (set.rows.length, CANCELS_MAX);
  ck_assert_uint_eq (set.dropped, 2);
  ck_assert_uint_eq (cancels_limit (&set, ID, SCOPE), 3);
  ck_assert_uint_eq (cancels_limit (&set, OTHER, SCOPE), 2);
  ck_assert (!cancels_hold (&set, OTHER, SCOPE, 0));
  cancels_clear (&set);
}
END_TEST

/* Guards against a request from before a cancelling that is accepted as the
   daemon has read the cancelling from a snapshot.  */
START_TEST (test_hold_begins_when_the_daemon_reads_of_it)
{
  cancels_t set;

  cancels_init (&set);
  cancels_add (&set, ID, SCOPE, 1, 0);
  ck_assert (cancels_hold (&set, ID, SCOPE, CANCELS_HOLD_US - 1));
  ck_assert (!cancels_hold (&set, ID, SCOPE, CANCELS_HOLD_US));
  cancels_set_read (&set, 5 * CANCELS_HOLD_US);
  ck_assert (cancels_hold (&set, ID, SCOPE, 6 * CANCELS_HOLD_US - 1));
  ck_assert (!cancels_hold (&set, OTHER, SCOPE, 5 * CANCELS_HOLD_US));
  cancels_clear (&set);
}
END_TEST

/* Guards against a submission that is void as somebody else has cancelled the
   id at another queue.  */
START_TEST (test_cancellings_hold_in_their_scope)
{
  cancels_t set;

  cancels_init (&set);
  cancels_add (&set, ID, SCOPE, 7, 0);
  ck_assert_uint_eq (cancels_limit (&set, ID, SCOPE), 7);
  ck_assert_uint_eq (cancels_limit (&set, ID, SCOPE + 1), 0);
  ck_assert (!cancels_hold (&set, ID, SCOPE + 1, 0));
  cancels_add (&set, ID, 0, 8, 0); /* by a daemon of an earlier version */
  ck_assert_uint_eq (cancels_limit (&set, ID, SCOPE), 8);
  ck_assert_uint_eq (cancels_limit (&set, ID, SCOPE + 1), 8);
  ck_assert (cancels_hold (&set, ID, SCOPE + 1, 0));
  cancels_clear (&set);
}
END_TEST

TEST_PROGRAM ("jobs/cancels", test_id_that_is_cancelled_anew_is_the_newest,
              test_hold_begins_when_the_daemon_reads_of_it,
              test_cancellings_hold_in_their_scope)

#include "../../test/run_suite.h"
#include "rto.h"

static rto_t rto;

static void
set_up (void)
{
  rto = (rto_t){ 0 };
}

static void
add_replies (uint32_t count, int64_t took_us)
{
  for (uint32_t i = 0; i < count; i++)
    rto_add_reply (&rto, took_us);
}

/* Guards against a fast store whose lost reply holds up all appends of a
   daemon for three seconds.  */
START_TEST (test_lost_reply_of_a_fast_store_is_noticed_soon)
{
  add_replies (50, 8000);
  ck_assert_uint_eq (rto_timeout_ms (&rto), RTO_MIN_MS);
}
END_TEST

/* Guards against repeats that lengthen the queue of a slow store.  */
START_TEST (test_slow_store_is_given_time)
{
  add_replies (50, 8000);
  rto_add_timeout (&rto);
  ck_assert_uint_eq (rto_timeout_ms (&rto), 2 * RTO_MIN_MS);
  rto_add_timeout (&rto);
  rto_add_timeout (&rto);
  ck_assert_uint_eq (rto_timeout_ms (&rto), RTO_MAX_MS);
  add_replies (3, 2000000);
  ck_assert_uint_eq (rto_timeout_ms (&rto), RTO_MAX_MS);
}
END_TEST

/* Guards against a daemon that stays slow after the store has recovered.  */
START_TEST (test_recovered_store_shortens_the_timeout)
{
  add_replies (5, 2000000);
  add_replies (40, 8000);
  ck_assert_uint_eq (rto_timeout_ms (&rto), RTO_MIN_MS);
}
END_TEST

/* Guards against a first call without a timeout.  */
START_TEST (test_first_call_has_a_timeout)
{
  ck_assert_uint_eq (rto_timeout_ms (&rto), RTO_MIN_MS);
}
END_TEST

TEST_PROGRAM_WITH ("entry/rto", set_up, NULL,
                   test_lost_reply_of_a_fast_store_is_noticed_soon,
                   test_slow_store_is_given_time,
                   test_recovered_store_shortens_the_timeout,
                   test_first_call_has_a_timeout)

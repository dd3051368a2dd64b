#include "../../test/run_suite.h"
#include "route.h"

static bool
note_failures (health_t *health, uint32_t times, int64_t now_us)
{
  bool ejected = false;

  for (uint32_t i = 0; i < times; i++)
    ejected |= health_record_result (health, TRY_TIMED_OUT, 1, now_us);
  return ejected;
}

/* Guards against sending requests to an upstream that keeps failing, against
   ejecting one after a few failures among responses, and against reporting an
   ejection twice.  */
START_TEST (consecutive_failures_eject)
{
  static const try_result_t failures[]
      = { TRY_FAILED,    TRY_REFUSED,         TRY_CONNECT_FAILED,
          TRY_TIMED_OUT, TRY_CONNECTION_LOST, TRY_BAD_ANSWER };

  for (size_t i = 0; i < G_N_ELEMENTS (failures); i++)
    {
      health_t health = { 0 };

      note_failures (&health, EJECT_FAILURES - 1, 1);
      health_record_result (&health, TRY_ANSWERED, 1, 1);
      health_record_result (&health, TRY_CANCELLED, 1, 1);
      ck_assert (!note_failures (&health, EJECT_FAILURES - 1, 1));
      ck_assert_int_eq (health_status (&health, 1), HEALTH_OK);
      ck_assert (health_record_result (&health, failures[i], 1, 1));
      ck_assert_int_eq (health_status (&health, EJECT_MIN_US), HEALTH_EJECTED);
      ck_assert (!note_failures (&health, 20, EJECT_MIN_US));
      ck_assert_int_eq (health_status (&health, 1 + EJECT_MIN_US),
                        HEALTH_PROBE);
    }
}
END_TEST

/* Guards against several probes at a time, against ejections that don't get
   longer or exceed the maximum, and against not returning an upstream that has
   recovered.  */
START_TEST (probe_result_ends_or_renews_ejection)
{
  health_t health = { 0 };
  int64_t now_us = 1;
  int64_t length_us = EJECT_MIN_US;

  note_failures (&health, EJECT_FAILURES, now_us);
  for (uint32_t i = 0; i < 10; i++)
    {
      ck_assert_int_eq (health_status (&health, now_us + length_us - 1),
                        HEALTH_EJECTED);
      now_us += length_us;
      ck_assert_int_eq (health_status (&health, now_us), HEALTH_PROBE);
      ck_assert (health_begin_probe (&health));
      ck_assert (!health_begin_probe (&health));
      ck_assert_int_eq (health_status (&health, now_us), HEALTH_EJECTED);
      ck_assert (note_failures (&health, 1, now_us));
      length_us = MIN (2 * length_us, EJECT_MAX_US);
    }
  now_us += length_us;
  ck_assert (health_begin_probe (&health));
  health_record_result (&health, TRY_CANCELLED, 1, now_us);
  ck_assert_int_eq (health_status (&health, now_us), HEALTH_PROBE);
  ck_assert (health_begin_probe (&health));
  ck_assert (health_record_result (&health, TRY_ANSWERED, 1, now_us));
  ck_assert_int_eq (health_status (&health, now_us), HEALTH_OK);
}
END_TEST

/* Guards against an ejection that ends with the response to an earlier
   request, and against sending requests to an upstream that is leaving.  */
START_TEST (earlier_responses_and_leaving)
{
  health_t health = { 0 };

  note_failures (&health, EJECT_FAILURES, 1);
  ck_assert (!health_record_result (&health, TRY_ANSWERED, 1, 2));
  ck_assert_int_eq (health_status (&health, 2), HEALTH_EJECTED);
  ck_assert (health_mark_leaving (&health, 0));
  ck_assert (!health_mark_leaving (&health, 0));
  ck_assert_int_eq (health_status (&health, 2 * EJECT_MIN_US), HEALTH_LEAVING);
  ck_assert_int_eq (health_status (&health, LEAVING_US - 1), HEALTH_LEAVING);
  ck_assert_int_eq (health_status (&health, LEAVING_US), HEALTH_PROBE);
}
END_TEST

/* Guards against ejecting sound upstreams because this daemon is too busy to
   read their responses in time, and for requests that had too little time.  */
START_TEST (own_delay_is_no_failure)
{
  const int64_t sent_us = 1000000;
  const int64_t deadline_us = 2000000;
  const int64_t late_us = deadline_us + HEALTH_OWN_DELAY_MAX_US + 1;

  ck_assert_int_eq (
      health_timeout_result (sent_us, deadline_us, 500000, deadline_us + 2000),
      TRY_TIMED_OUT);
  ck_assert_int_eq (
      health_timeout_result (sent_us, deadline_us, 500000, late_us),
      TRY_CANCELLED);
  ck_assert_int_eq (health_timeout_result (sent_us, deadline_us, 1500000,
                                           deadline_us + 2000),
                    TRY_CANCELLED);
}
END_TEST

TEST_PROGRAM ("health", consecutive_failures_eject,
              probe_result_ends_or_renews_ejection,
              earlier_responses_and_leaving, own_delay_is_no_failure)

/* Guards against a request id that is granted twice, and against questions
   that are never answered.  */

#include "pair.h"

/* An id issued now.  */
static claim_ask_t
new_ask (uint8_t last)
{
  claim_ask_t ask
      = { .owner = g_intern_string ("e2"), .error = ERR_KIND_COUNT };
  uint64_t now_ms = GUINT64_TO_BE ((uint64_t)clock_wall_ms () << 16);

  memcpy (ask.id.bytes, &now_ms, 6);
  ask.id.bytes[6] = 0x70;
  ask.id.bytes[8] = 0x80;
  ask.id.bytes[15] = last;
  return ask;
}

START_TEST (owner_grants_an_id_once)
{
  claim_ask_t first;
  claim_ask_t again;
  claim_ask_t old;

  pair_open ();
  first = again = old = new_ask (1);
  memset (old.id.bytes, 0, 6);
  ck_assert (claims_ask (sides[0].claims, &first, clock_mono_us ()));
  wait_until (sides[0].done == 1);
  ck_assert (claims_ask (sides[0].claims, &again, clock_mono_us ()));
  ck_assert (claims_ask (sides[0].claims, &old, clock_mono_us ()));
  wait_until (sides[0].done == 3);
  ck_assert_int_eq (first.error, ERR_NONE);
  ck_assert_int_eq (again.error, ERR_ID_REPEATED);
  ck_assert_int_eq (old.error, ERR_ID_INVALID);
  pair_close ();
}
END_TEST

START_TEST (owner_with_a_stale_view_grants_nothing)
{
  claim_ask_t ask;

  pair_open ();
  sides[1].refuses = true;
  ask = new_ask (1);
  ck_assert (claims_ask (sides[0].claims, &ask, clock_mono_us ()));
  wait_until (sides[0].done == 1);
  ck_assert_int_eq (ask.error, ERR_ID_OWNER_AWAY);
  ck_assert_uint_eq (once_count (sides[1].table), 0);
  pair_close ();
}
END_TEST

START_TEST (silent_lost_and_unknown_owners_are_given_up)
{
  claim_ask_t ask;
  int64_t start_us;

  pair_open ();
  sides[1].mute = true;
  ask = new_ask (1);
  start_us = clock_mono_us ();
  ck_assert (claims_ask (sides[0].claims, &ask, start_us));
  wait_until (sides[0].done == 1);
  ck_assert_int_eq (ask.error, ERR_ID_OWNER_AWAY);
  ck_assert_int_ge (clock_mono_us () - start_us, CLAIM_TIMEOUT_US);
  ask = new_ask (2);
  ck_assert (claims_ask (sides[0].claims, &ask, INT64_MAX / 2));
  side_close (&sides[1]);
  wait_until (sides[0].done == 2);
  ck_assert_int_eq (ask.error, ERR_ID_OWNER_AWAY);
  ck_assert (!claims_ask (sides[0].claims, &ask, clock_mono_us ()));
  side_close (&sides[0]);
}
END_TEST

START_TEST (cancelled_question_is_not_answered)
{
  claim_ask_t ask;
  claim_ask_t next;

  pair_open ();
  sides[1].mute = true;
  ask = next = new_ask (1);
  ck_assert (claims_ask (sides[0].claims, &ask, clock_mono_us ()));
  ck_assert (claims_cancel (sides[0].claims, &ask));
  ck_assert (!claims_cancel (sides[0].claims, &ask));
  ck_assert (claims_ask (sides[0].claims, &next, clock_mono_us ()));
  wait_until (sides[0].done == 1);
  ck_assert_int_eq (ask.error, ERR_ID_OWNER_AWAY);
  pair_close ();
}
END_TEST

/* An answer of another peer or to no question must not count.  */
START_TEST (unasked_answer_is_ignored)
{
  claim_ask_t ask;
  msg_t forged = { .kind = MSG_CLAIMED, .u.claimed = { 1, CLAIM_GRANTED } };

  pair_open ();
  sides[1].mute = true;
  claims_take (sides[0].claims, "e2", &forged, 0);
  ask = new_ask (1);
  ck_assert (claims_ask (sides[0].claims, &ask, clock_mono_us ()));
  claims_take (sides[0].claims, "e3", &forged, 0);
  ck_assert_uint_eq (sides[0].done, 0);
  wait_until (sides[0].done == 1);
  ck_assert_int_eq (ask.error, ERR_ID_OWNER_AWAY);
  pair_close ();
}
END_TEST

int
main (void)
{
  const TTest *const tests[] = { owner_grants_an_id_once,
                                 owner_with_a_stale_view_grants_nothing,
                                 silent_lost_and_unknown_owners_are_given_up,
                                 cancelled_question_is_not_answered,
                                 unasked_answer_is_ignored,
                                 NULL };

  return run_suite ("claims", tests);
}

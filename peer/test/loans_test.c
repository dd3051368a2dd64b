/* Guards against permits that two daemons hold at once through a loan, and
   against permits that lie idle while another daemon needs them.  */

#include "pair.h"

static const char *const peers[] = { "e9", "e2" };

static void
want (uint32_t count)
{
  loans_want (sides[0].loans, LOAN_TEAM, "blue", count, peers, 2,
              clock_mono_us ());
}

static uint32_t
take_all (escrow_t *escrow, int64_t end_us)
{
  uint32_t count = 0;
  permit_t permit;

  while (escrow_take (escrow, clock_mono_us (), end_us, &permit))
    count++;
  return count;
}

/* The first of the peers is away.  */
START_TEST (permits_come_from_a_peer_for_a_time)
{
  int64_t start_us;

  pair_open ();
  escrow_set_share (sides[1].escrow, 5);
  start_us = clock_mono_us ();
  want (9);
  wait_until (sides[0].arrived == 1);
  ck_assert_int_eq (escrow_free_count (sides[1].escrow), 2);
  ck_assert_uint_eq (escrow_lent (sides[1].escrow), 3);
  ck_assert_uint_eq (take_all (sides[0].escrow, clock_mono_us () + LOAN_US),
                     0);
  ck_assert_uint_eq (take_all (sides[0].escrow, start_us + LOAN_US / 2), 3);
  pair_close ();
}
END_TEST

START_TEST (no_more_is_borrowed_than_wanted)
{
  pair_open ();
  escrow_set_share (sides[1].escrow, 100);
  want (2);
  want (2);
  wait_until (sides[0].arrived == 1);
  ck_assert_uint_eq (escrow_lent (sides[1].escrow), 2);
  pair_close ();
}
END_TEST

START_TEST (stale_daemon_lends_nothing)
{
  msg_t ask
      = { .kind = MSG_LOAN_ASK, .u.loan_ask = { 1, LOAN_TEAM, "blue", 3 } };

  pair_open ();
  escrow_set_share (sides[1].escrow, 5);
  sides[1].refuses = true;
  loans_take (sides[1].loans, "e1", &ask, 0, 0);
  ck_assert_int_eq (escrow_free_count (sides[1].escrow), 5);
  pair_close ();
}
END_TEST

/* What the lender says, against the time by which the borrower must end.  */
START_TEST (loan_ends_by_the_earlier_clock)
{
  static const struct
  {
    int64_t expiry_ms; /* the borrower's wall clock shows 1000 */
    int64_t end_us;    /* asked at 0, answered at 2 s */
  } rows[] = {
    { 11000, LOAN_US },  /* clocks agree */
    { 900000, LOAN_US }, /* the lender's is ahead */
    { 4000, 5000000 },   /* the borrower's is ahead, or stood still */
    { 1000, 0 },         /* over */
    { INT64_MIN / 2, 0 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      msg_t loan
          = { .kind = MSG_LOAN,
              .u.loan = { 1, LOAN_TEAM, "blue", 1, rows[i].expiry_ms } };
      const int64_t now_us = 2000000;
      permit_t permit;

      no_ticks = true;
      pair_open ();
      sides[1].mute = true;
      loans_want (sides[0].loans, LOAN_TEAM, "blue", 1, &peers[1], 1, 0);
      loans_take (sides[0].loans, "e2", &loan, now_us, 1000);
      ck_assert_msg (
          !escrow_take (sides[0].escrow, now_us, rows[i].end_us + 1, &permit),
          "row %zu: late", i);
      ck_assert_msg (
          escrow_take (sides[0].escrow, now_us, rows[i].end_us, &permit)
              == (rows[i].end_us > now_us),
          "row %zu", i);
      pair_close ();
    }
}
END_TEST

START_TEST (unasked_and_repeated_loans_are_not_used)
{
  msg_t loan
      = { .kind = MSG_LOAN, .u.loan = { 1, LOAN_TEAM, "blue", 2, 11000 } };
  static const struct
  {
    const char *peer;
    uint64_t number;
    uint32_t permits;
  } rows[]
      = { { "e3", 1, 0 }, { "e2", 2, 0 }, { "e2", 1, 2 }, { "e2", 1, 2 } };
  uint32_t taken = 0;

  no_ticks = true;
  pair_open ();
  sides[1].mute = true;
  loans_take (sides[0].loans, "e2", &loan, 0, 1000);
  loans_want (sides[0].loans, LOAN_TEAM, "blue", 2, &peers[1], 1, 0);
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      permit_t permit;

      loan.u.loan.number = rows[i].number;
      loans_take (sides[0].loans, rows[i].peer, &loan, 0, 1000);
      while (escrow_take (sides[0].escrow, 0, 1, &permit))
        taken++;
      ck_assert_msg (taken == rows[i].permits, "row %zu", i);
    }
  pair_close ();
}
END_TEST

int
main (void)
{
  const TTest *const tests[] = { permits_come_from_a_peer_for_a_time,
                                 no_more_is_borrowed_than_wanted,
                                 stale_daemon_lends_nothing,
                                 loan_ends_by_the_earlier_clock,
                                 unasked_and_repeated_loans_are_not_used,
                                 NULL };

  return run_suite ("loans", tests);
}

/* Guards against timers that run early, late, out of order or after their
   removal; a lost one would leak a request or a permit.  */

#include "../../test/run_suite.h"
#include "loop.h"

#define TIMERS 500

static loop_t loop;

static GSequenceIter *
add (int64_t at_us, req_t *req)
{
  timer_entry_t entry
      = { .kind = TIMER_BACKOFF, .at_us = at_us, .u.req = req };

  return timers_add (&loop, &entry);
}

START_TEST (due_timers_are_returned_in_time_order)
{
  timer_entry_t entry;

  loop.timers = g_sequence_new (NULL);
  ck_assert_int_eq (timers_next_us (&loop), INT64_MAX);
  ck_assert (!timers_take_due (&loop, INT64_MAX - 1, &entry));
  add (30, NULL);
  add (10, NULL);
  add (20, NULL);
  ck_assert_int_eq (timers_next_us (&loop), 10);
  ck_assert (!timers_take_due (&loop, 9, &entry));
  ck_assert (timers_take_due (&loop, 20, &entry));
  ck_assert_int_eq (entry.at_us, 10);
  ck_assert (timers_take_due (&loop, 20, &entry));
  ck_assert_int_eq (entry.at_us, 20);
  ck_assert (!timers_take_due (&loop, 20, &entry));
  ck_assert_int_eq (timers_next_us (&loop), 30);
  g_sequence_free (loop.timers);
}
END_TEST

START_TEST (removed_timers_never_run_and_others_run_exactly_once)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (run_seed ("timers"));
  static req_t reqs[TIMERS];
  static int64_t at_us[TIMERS]; /* -1: removed or run */
  static GSequenceIter *timers[TIMERS];
  timer_entry_t entry;
  int64_t last_us = 0;

  loop.timers = g_sequence_new (NULL);
  for (uint32_t i = 0; i < TIMERS; i++)
    {
      at_us[i] = g_rand_int_range (rand, 0, 100);
      timers[i] = add (at_us[i], &reqs[i]);
    }
  for (uint32_t i = 0; i < TIMERS; i++)
    if (g_rand_boolean (rand))
      {
        timers_remove (timers[i]);
        at_us[i] = -1;
      }
  for (int64_t now_us = 0; now_us < 100; now_us += 7)
    while (timers_take_due (&loop, now_us, &entry))
      {
        ck_assert_int_le (entry.at_us, now_us);
        ck_assert_int_ge (entry.at_us, last_us);
        ck_assert_int_eq (at_us[entry.u.req - reqs], entry.at_us);
        at_us[entry.u.req - reqs] = -1;
        last_us = entry.at_us;
      }
  while (timers_take_due (&loop, 100, &entry))
    at_us[entry.u.req - reqs] = -1;
  for (uint32_t i = 0; i < TIMERS; i++)
    ck_assert_int_eq (at_us[i], -1);
  g_sequence_free (loop.timers);
}
END_TEST

TEST_PROGRAM ("timers", due_timers_are_returned_in_time_order,
              removed_timers_never_run_and_others_run_exactly_once)

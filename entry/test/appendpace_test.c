#include "../../test/run_suite.h"
#include "appendpace.h"
#include <glib.h>

#define MS INT64_C (1000)
#define DAEMONS 100
/* The store takes one append after another, and refuses one that would wait
   longer than this.  */
#define QUEUE_MAX_US (2000 * MS)
#define LAST_US (60 * 1000 * MS)

/* The part of the time, in percent, for which the queue of a store that needs
   APPEND_US for an append leaves less than SPARE_US of its limit, while
   DAEMONS append all the time.  The first seconds aren't counted.  */
static uint32_t
play (int64_t append_us, int64_t spare_us)
{
  appendpace_t paces[DAEMONS] = { 0 };
  int64_t busy_us = 0;
  uint32_t full = 0;
  uint32_t counted = 0;
  uint32_t draws = 0;

  for (int64_t now_us = 0; now_us < LAST_US; now_us += 10 * MS)
    {
      for (uint32_t i = 0; i < DAEMONS; i++)
        {
          int64_t wait_us = MAX (busy_us - now_us, 0);
          double unit = (double)(++draws * 2654435761U) / 4294967296.0;

          if (paces[i].due_us > now_us)
            continue;
          if (wait_us > QUEUE_MAX_US)
            {
              appendpace_add (&paces[i], 0, true, unit, now_us);
              continue;
            }
          busy_us = now_us + wait_us + append_us;
          appendpace_add (&paces[i], wait_us + append_us, false, unit, now_us);
          paces[i].due_us += wait_us + append_us;
        }
      if (now_us < LAST_US / 2)
        continue;
      counted++;
      full += busy_us - now_us > QUEUE_MAX_US - spare_us;
    }
  return 100 * full / counted;
}

/* Load: 100 daemons without an owner that have records all the time, in a
   store that is 75 times slower.  Guards against a queue that is always full,
   so that a new owner's records find no place.  */
START_TEST (test_queue_has_room_for_an_owner)
{
  ck_assert_uint_lt (play (300 * MS, 300 * MS), 10);
}
END_TEST

/* Guards against a delay of records in a fast store.  */
START_TEST (test_fast_append_is_followed_by_no_pause)
{
  appendpace_t pace = { 0 };

  appendpace_add (&pace, APPENDPACE_FAST_US, false, 1, 1000 * MS);
  ck_assert_int_eq (pace.due_us, 1000 * MS);
}
END_TEST

/* Guards against refusals that are repeated at once, and against long pauses
   after one that was answered again.  */
START_TEST (test_refusals_double_the_pause)
{
  appendpace_t pace = { 0 };
  int64_t last_us = 0;

  for (uint32_t i = 0; i < 4; i++)
    {
      appendpace_add (&pace, 0, true, 0.5, 0);
      ck_assert_int_ge (pace.due_us, 2 * last_us);
      ck_assert_int_ge (pace.due_us, 1000 * MS);
      last_us = pace.due_us;
    }
  appendpace_add (&pace, 5 * MS, false, 0.5, 0);
  ck_assert_int_eq (pace.due_us, 0);
  appendpace_add (&pace, 0, true, 0.5, 0);
  ck_assert_int_lt (pace.due_us, last_us);
}
END_TEST

TEST_PROGRAM ("entry/appendpace", test_queue_has_room_for_an_owner,
              test_fast_append_is_followed_by_no_pause,
              test_refusals_double_the_pause)

#include "../../test/run_suite.h"
#include "startwindow.h"

static start_window_t window;

static void
set_up (void)
{
  window = (start_window_t){ 0 };
}

static void
update (uint32_t busy_percent, bool bound, uint32_t times)
{
  for (uint32_t i = 0; i < times; i++)
    {
      window.bound = bound;
      start_window_update (&window, busy_percent);
    }
}

/* Guards against a window that stays small though starts wait for it and the
   owner has time.  */
START_TEST (test_binding_window_grows)
{
  update (40, true, 1);
  ck_assert_uint_gt (window.size, START_WINDOW_MIN);
  update (40, true, 100);
  ck_assert_uint_eq (window.size, START_WINDOW_MAX);
}
END_TEST

/* Guards against a window that grows without need, so that a later backlog
   takes all the owner's time at once.  */
START_TEST (test_window_that_does_not_bind_stays)
{
  update (40, false, 100);
  ck_assert_uint_eq (window.size, START_WINDOW_MIN);
  update (80, true, 100);
  ck_assert_uint_eq (window.size, START_WINDOW_MIN);
}
END_TEST

/* Guards against an owner without time that gets more answers to read than it
   can.  */
START_TEST (test_window_of_a_busy_owner_shrinks)
{
  update (40, true, 100);
  update (100, true, 10);
  ck_assert_uint_lt (window.size, START_WINDOW_MAX / 10);
  update (100, true, 100);
  ck_assert_uint_eq (window.size, START_WINDOW_MIN);
}
END_TEST

TEST_PROGRAM_WITH ("jobs/startwindow", set_up, NULL, test_binding_window_grows,
                   test_window_that_does_not_bind_stays,
                   test_window_of_a_busy_owner_shrinks)

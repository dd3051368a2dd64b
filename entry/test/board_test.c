#include "../../test/run_suite.h"
#include "entry.h"
#include <string.h>

static board_t board;

static void
set_up (void)
{
  rcu_register_thread ();
  board_open (&board);
}

static void
tear_down (void)
{
  board_close (&board);
  rcu_unregister_thread ();
}

static void
put (const char *id, job_state_t state)
{
  job_desc_t desc = { .queue = "q", .workspace = "w" };
  job_entry_t entry = { .desc = &desc, .state = state };

  g_strlcpy (desc.id, id, sizeof desc.id);
  board_put (&board, &entry);
}

static int
state_of (const char *id)
{
  const board_job_t *job;
  int state = -1;

  rcu_read_lock ();
  job = board_find (&board, id);
  if (job)
    state = atomic_load (&job->state);
  rcu_read_unlock ();
  return state;
}

/* Guards against a job that shows an old state, or shows after it was
   dropped.  */
START_TEST (test_jobs_show_their_last_state)
{
  put ("a", JOB_STATE_QUEUED);
  put ("b", JOB_STATE_QUEUED);
  put ("a", JOB_STATE_COMPLETE);
  ck_assert_int_eq (state_of ("a"), JOB_STATE_COMPLETE);
  ck_assert_int_eq (state_of ("b"), JOB_STATE_QUEUED);
  board_drop (&board, "a");
  board_drop (&board, "c");
  ck_assert_int_eq (state_of ("a"), -1);
  ck_assert_int_eq (state_of ("b"), JOB_STATE_QUEUED);
}
END_TEST

/* Guards against a reader whose counts are freed under it.  */
START_TEST (test_reader_keeps_its_view)
{
  board_pending_t *first = g_new0 (board_pending_t, 1);
  board_pending_t *second = g_new0 (board_pending_t, 1);
  const board_view_t *view;

  first->jobs = 1;
  second->jobs = 2;
  board_publish (&board, NULL, first, 1);
  rcu_read_lock ();
  view = board_view (&board);
  board_publish (&board, NULL, second, 1);
  ck_assert_uint_eq (view->pending[0].jobs, 1);
  ck_assert_uint_eq (board_view (&board)->pending[0].jobs, 2);
  rcu_read_unlock ();
}
END_TEST

/* Guards against going by rules for longer than a withdrawn key may work, and
   by rules that were never read.  */
START_TEST (test_rules_age_within_the_bound)
{
  int64_t known_us = 5000000;

  ck_assert (!board_rules_are_fresh (&board, 2000, known_us));
  atomic_store (&board.rules_known_us, known_us);
  ck_assert (board_rules_are_fresh (&board, 2000, known_us + 1000000));
  ck_assert (!board_rules_are_fresh (&board, 2000, known_us + 2000000));
}
END_TEST

TEST_PROGRAM_WITH ("entry/board", set_up, tear_down,
                   test_jobs_show_their_last_state, test_reader_keeps_its_view,
                   test_rules_age_within_the_bound)

#include "../../test/run_suite.h"
#include "entry.h"
#include <string.h>

static readmodel_t model;

static void
set_up (void)
{
  rcu_register_thread ();
  readmodel_open (&model);
}

static void
tear_down (void)
{
  readmodel_close (&model);
  rcu_unregister_thread ();
}

static void
put (const char *id, job_state_t state)
{
  job_desc_t desc = { .queue = "q", .workspace = "w" };
  job_entry_t entry = { .desc = &desc, .state = state };

  g_strlcpy (desc.id, id, sizeof desc.id);
  readmodel_put_job (&model, &entry);
}

static int
state_of (const char *id)
{
  const readmodel_job_t *job;
  int state = -1;

  rcu_read_lock ();
  job = readmodel_find_job (&model, id);
  if (job)
    state = atomic_load (&job->state);
  rcu_read_unlock ();
  return state;
}

/* Guards against a stale state, and against a job that is still visible after
   its removal.  */
START_TEST (test_jobs_have_their_last_state)
{
  put ("a", JOB_STATE_QUEUED);
  put ("b", JOB_STATE_QUEUED);
  put ("a", JOB_STATE_COMPLETE);
  ck_assert_int_eq (state_of ("a"), JOB_STATE_COMPLETE);
  ck_assert_int_eq (state_of ("b"), JOB_STATE_QUEUED);
  readmodel_remove_job (&model, "a");
  readmodel_remove_job (&model, "c");
  ck_assert_int_eq (state_of ("a"), -1);
  ck_assert_int_eq (state_of ("b"), JOB_STATE_QUEUED);
}
END_TEST

/* Guards against a view that is freed while a reader uses it.  */
START_TEST (test_reader_keeps_its_view)
{
  readmodel_pending_t *first = g_new0 (readmodel_pending_t, 1);
  readmodel_pending_t *second = g_new0 (readmodel_pending_t, 1);
  const readmodel_view_t *view;

  first->jobs = 1;
  second->jobs = 2;
  readmodel_publish_pending (&model, first, 1);
  rcu_read_lock ();
  view = readmodel_view (&model);
  readmodel_publish_pending (&model, second, 1);
  ck_assert_uint_eq (view->pending[0].jobs, 1);
  ck_assert_uint_eq (readmodel_view (&model)->pending[0].jobs, 2);
  rcu_read_unlock ();
}
END_TEST

/* Guards against rules that are used after the limit for withdrawn keys, or
   before they were read.  */
START_TEST (test_rules_expire_before_the_limit)
{
  int64_t known_us = 5000000;

  ck_assert (!readmodel_rules_are_fresh (&model, 2000, known_us));
  atomic_store (&model.rules_known_us, known_us);
  ck_assert (readmodel_rules_are_fresh (&model, 2000, known_us + 1000000));
  ck_assert (!readmodel_rules_are_fresh (&model, 2000, known_us + 2000000));
}
END_TEST

TEST_PROGRAM_WITH ("entry/readmodel", set_up, tear_down,
                   test_jobs_have_their_last_state, test_reader_keeps_its_view,
                   test_rules_expire_before_the_limit)

#include "explainjob.h"
#include "explainrig.h"

static worker_t *
find_worker (const char *id)
{
  return g_hash_table_lookup (rig.sched->workers, id);
}

/* Guards against an explanation that differs from what is decided: the job is
   explained, submitted and started.  */
START_TEST (test_placed_where_it_starts)
{
  job_step_t step = rig_step (1);
  explanation_t *answer;
  order_t start;

  find_worker ("w1")->allocated.cpu_milli = 1000;
  answer = explain_step (step);
  ck_assert_int_eq (answer->kind, EXPLAIN_PLACED);
  ck_assert (!answer->accepted);
  ck_assert_int_eq (answer->rank, RANK_ON_TIME);
  ck_assert_int_eq (answer->start_ms, 0);
  ck_assert_int_eq (answer->end_ms, 500);
  ck_assert_uint_eq (step_of (answer, 0)->starting, 1);
  ck_assert_uint_eq (step_of (answer, 0)->best_count, 2);
  ck_assert_str_eq (step_of (answer, 0)->best[0].worker, "w2");
  ck_assert (step_of (answer, 0)->best[0].score
             > step_of (answer, 0)->best[1].score);
  explanation_free (answer);
  rig_submit (500, &step, 1);
  start = rig_start_one ();
  ck_assert_str_eq (start.worker, "w2");
}
END_TEST

/* Guards against a job that counts as placed although no worker has room, and
   against one that counts as waiting because not all of it fits.  */
START_TEST (test_no_room)
{
  explanation_t *answer = explain_step (rig_step (3 * CORES));

  ck_assert_int_eq (answer->kind, EXPLAIN_PLACED);
  ck_assert_uint_eq (step_of (answer, 0)->starting, 2 * CORES);
  explanation_free (answer);
  fill (1);
  answer = explain_step (rig_step (1));
  ck_assert_uint_eq (step_of (answer, 0)->judgements[JUDGED_NO_ROOM], 2);
  ck_assert_uint_eq (step_of (answer, 0)->best_count, 0);
  expect_wait (answer, EXPLAIN_WAIT_NO_ROOM);
}
END_TEST

/* Guards against a job that counts as placed while the owner starts nothing,
   as it may have missed the evacuation of a data centre.  */
START_TEST (test_rules_are_not_confirmed)
{
  explanation_t *answer;

  rig.sched->limits.evacuate_ms = 1000;
  rig.sched->rules_confirmed_us = rig.now.us - 5000000;
  expect_wait (explain_step (rig_step (1)), EXPLAIN_WAIT_RULES);
  sched_confirm_rules (rig.sched, rig.now.us);
  answer = explain_step (rig_step (1));
  ck_assert_int_eq (answer->kind, EXPLAIN_PLACED);
  explanation_free (answer);
}
END_TEST

/* Guards against a gang of which a part would start.  */
START_TEST (test_gang_that_does_not_fit)
{
  job_step_t step = rig_step (2 * CORES + 1);

  step.gang = true;
  expect_wait (explain_step (step), EXPLAIN_WAIT_NO_ROOM);
  step.count = 2 * CORES;
  {
    explanation_t *answer = explain_step (step);

    ck_assert_int_eq (answer->kind, EXPLAIN_PLACED);
    explanation_free (answer);
  }
}
END_TEST

/* Guards against a cap that is taken for a lack of room.  */
START_TEST (test_cap_of_the_workspace)
{
  explanation_t *answer;

  rig_set_cap (2500);
  answer = explain_step (rig_step (4));
  ck_assert_int_eq (answer->kind, EXPLAIN_PLACED);
  ck_assert_uint_eq (step_of (answer, 0)->starting, 2);
  ck_assert_int_eq (answer->workspace.cap.cpu_milli, 2500);
  explanation_free (answer);
  fill (1);
  answer = explain_step (rig_step (1));
  ck_assert_int_eq (answer->workspace.used.cpu_milli, 2000);
  ck_assert_uint_eq (step_of (answer, 0)->judgements[JUDGED_SUITABLE], 2);
  expect_wait (answer, EXPLAIN_WAIT_CAP);
}
END_TEST

/* Guards against draining workers that are taken for full ones, and against
   workers without the label that hide them.  */
START_TEST (test_all_workers_of_the_label_drain)
{
  job_step_t step = rig_step (1);
  worker_t *other = find_worker ("w2");

  step.label = g_strdup ("a");
  find_worker ("w1")->cordoned = true;
  other->labels[0][0] = 'b';
  expect_wait (explain_step (step), EXPLAIN_WAIT_DRAINING);
  step.label = g_strdup ("none-has-it");
  expect_wait (explain_step (step), EXPLAIN_WAIT_NO_LABEL);
  step.label = NULL;
  other->cordoned = true;
  expect_wait (explain_step (step), EXPLAIN_WAIT_DRAINING);
}
END_TEST

/* Guards against a job that counts as placed in room that jobs of a higher
   rank take first.  */
START_TEST (test_jobs_of_higher_rank_are_ahead)
{
  job_step_t ahead = rig_step (2 * CORES);
  job_step_t step = rig_step (1);
  explanation_t *answer;

  ahead.estimate_ms = 100;
  rig_submit (1, &ahead, 1);        /* not planned yet */
  for (uint32_t i = 0; i < 19; i++) /* of the workspace's share */
    rig_submit (100 + i, &step, 1);
  answer = explain_step (step);
  ck_assert_int_eq (answer->rank, RANK_OVER_SHARE);
  ck_assert_uint_eq (answer->ahead.steps, 20);
  ck_assert_uint_ge (answer->ahead.tasks[RANK_ON_TIME], 2 * CORES);
  ck_assert_int_gt (answer->ahead.pool_ms, 0);
  ck_assert_uint_eq (step_of (answer, 0)->judgements[JUDGED_SUITABLE], 2);
  expect_wait (answer, EXPLAIN_WAIT_AHEAD);
}
END_TEST

/* Guards against a time that is computed from the capacity of a service
   without workers.  */
START_TEST (test_jobs_ahead_without_workers)
{
  job_step_t step = rig_step (1);
  explanation_t *answer;

  rig_tear_down ();
  rig_reset ();
  rig_open_sched (1);
  for (uint32_t i = 0; i < 20; i++) /* the workspace's share */
    rig_submit (1 + i, &step, 1);
  answer = explain_step (step);
  ck_assert_uint_eq (answer->ahead.steps, 20);
  ck_assert_int_eq (answer->ahead.pool_ms, -1);
  ck_assert_int_eq (answer->start_ms, -1);
  ck_assert_int_eq (answer->end_ms, -1);
  expect_wait (answer, EXPLAIN_WAIT_NO_WORKER);
}
END_TEST

/* Guards against a job that counts as placed while its rank has too many
   unanswered starts.  */
START_TEST (test_unanswered_starts)
{
  rig.sched->starts_pending[RANK_ON_TIME] = 512;
  expect_wait (explain_step (rig_step (1)), EXPLAIN_WAIT_STARTS);
  rig.sched->starts_pending[RANK_ON_TIME] = 0;
}
END_TEST

/* Guards against a job whose open step isn't shown because it has many others
   that run.  */
START_TEST (test_open_steps_come_first)
{
  job_step_t steps[EXPLAIN_STEPS_MAX + 1];
  explanation_t *answer;
  sched_job_t *job;

  for (uint32_t i = 0; i <= EXPLAIN_STEPS_MAX; i++)
    steps[i] = rig_step (1);
  rig_submit (1, steps, EXPLAIN_STEPS_MAX + 1);
  job = g_hash_table_lookup (rig.sched->jobs, rig_id (1));
  for (uint32_t i = 0; i < EXPLAIN_STEPS_MAX; i++)
    job->occurrences[0].stages[i].unstarted = 0; /* as if they ran */
  answer = explain_id (1);
  ck_assert_int_eq (answer->kind, EXPLAIN_PLACED);
  ck_assert_uint_eq (answer->steps_count, EXPLAIN_STEPS_MAX + 1);
  ck_assert_uint_eq (step_of (answer, 0)->step, EXPLAIN_STEPS_MAX);
  ck_assert_int_eq (step_of (answer, 0)->state, EXPLAIN_STEP_STARTS);
  ck_assert_int_eq (step_of (answer, 1)->state, EXPLAIN_STEP_RUNS);
  explanation_free (answer);
}
END_TEST

/* Guards against later steps that count as waiting for workers.  */
START_TEST (test_later_steps_are_blocked)
{
  job_step_t steps[2] = { rig_step (1), rig_step (1) };
  explanation_t *answer;

  steps[1].after = g_new0 (uint32_t, 1);
  steps[1].after_count = 1;
  answer = explain_in (RIG_QUEUE, steps, 2);
  ck_assert_int_eq (answer->kind, EXPLAIN_PLACED);
  ck_assert_int_eq (step_of (answer, 0)->state, EXPLAIN_STEP_STARTS);
  ck_assert_int_eq (step_of (answer, 1)->state, EXPLAIN_STEP_BLOCKED);
  ck_assert (step_of (answer, 1)->judged);
  ck_assert_int_eq (answer->end_ms, 1000);
  explanation_free (answer);
}
END_TEST

/* Guards against a job that counts as long-running because none of its steps
   is open.  */
START_TEST (test_rank_of_a_running_job)
{
  explanation_t *answer;

  fill (1);
  answer = explain_id (1);
  ck_assert_int_eq (step_of (answer, 0)->state, EXPLAIN_STEP_RUNS);
  ck_assert_str_eq (rank_name (answer->rank), rank_name (RANK_ON_TIME));
  ck_assert_uint_eq (answer->starts_max, 512);
  explanation_free (answer);
}
END_TEST

TEST_PROGRAM_WITH ("jobs/explainjob", explainrig_set_up, rig_tear_down,
                   test_placed_where_it_starts, test_no_room,
                   test_gang_that_does_not_fit, test_cap_of_the_workspace,
                   test_all_workers_of_the_label_drain,
                   test_jobs_of_higher_rank_are_ahead,
                   test_jobs_ahead_without_workers, test_unanswered_starts,
                   test_rules_are_not_confirmed, test_open_steps_come_first,
                   test_later_steps_are_blocked, test_rank_of_a_running_job)

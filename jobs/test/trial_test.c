#include "rig.h"
#include "trial.h"

#define CORES 4

static void
set_up (void)
{
  rig_set_up ();
  rig_worker ("w1", CORES, false);
  rig_worker ("w2", CORES, false);
}

static stage_t *
stage_of (uint32_t number)
{
  sched_job_t *job = g_hash_table_lookup (rig.sched->jobs, rig_id (number));

  return &job->occurrences[0].stages[0];
}

static trial_t *
new_trial (uint64_t judged_max)
{
  return trial_new (rig.sched, stage_of (1)->job->pool, judged_max, rig.now);
}

static trial_result_t
place (trial_t *trial, uint32_t number)
{
  return trial_place (trial, stage_of (number), RANK_ON_TIME);
}

/* Guards against tasks of a trial that don't take room from each other, or
   that take it from the scheduler's workers.  */
START_TEST (test_placed_tasks_take_room)
{
  job_step_t step = rig_step (CORES + 1);
  trial_t *trial;
  trial_result_t result;

  rig_submit (1, &step, 1);
  rig_submit (2, &step, 1);
  trial = new_trial (UINT64_MAX);
  result = place (trial, 1);
  ck_assert_uint_eq (result.started, CORES + 1);
  ck_assert_int_eq (result.stop, TRIAL_ALL);
  result = place (trial, 2);
  ck_assert_uint_eq (result.started, CORES - 1);
  ck_assert_int_eq (result.stop, TRIAL_NO_WORKER);
  trial_free (trial);
  ck_assert_uint_eq (rig_count_planned (ORDER_START), 2 * CORES);
}
END_TEST

/* Guards against a gang that does not fit and keeps room from what follows. */
START_TEST (test_gang_gives_its_room_back)
{
  job_step_t gang = rig_step (2 * CORES + 1);
  job_step_t step = rig_step (2 * CORES);
  trial_t *trial;

  gang.gang = true;
  rig_submit (1, &gang, 1);
  rig_submit (2, &step, 1);
  trial = new_trial (UINT64_MAX);
  ck_assert_uint_eq (place (trial, 1).started, 0);
  ck_assert_uint_eq (place (trial, 2).started, 2 * CORES);
  trial_free (trial);
}
END_TEST

/* Guards against a limit of tasks per worker that doesn't count those of the
   trial.  */
START_TEST (test_limit_of_tasks_per_worker)
{
  job_step_t step = rig_step (3);
  trial_t *trial;

  step.spread_max = 1;
  rig_submit (1, &step, 1);
  trial = new_trial (UINT64_MAX);
  ck_assert_uint_eq (place (trial, 1).started, 2);
  trial_free (trial);
}
END_TEST

/* Guards against a trial that goes on after it has judged as many workers as
   it may.  */
START_TEST (test_budget_ends_a_trial)
{
  job_step_t step = rig_step (2 * CORES);
  trial_t *trial;
  trial_result_t result;

  rig_submit (1, &step, 1);
  trial = new_trial (4);
  result = place (trial, 1);
  ck_assert_uint_eq (result.started, 2);
  ck_assert_int_eq (result.stop, TRIAL_BUDGET);
  trial_free (trial);
}
END_TEST

/* The long-running tasks of job NUMBER run, COUNT of them.  */
static void
serve (uint32_t number, job_step_t step)
{
  step.long_running = true;
  rig_submit (number, &step, 1);
  ck_assert_uint_eq (rig_count_planned (ORDER_START), step.count);
}

static const worker_t *
worker_of (const char *id)
{
  return g_hash_table_lookup (rig.sched->workers, id);
}

static void
vacate (trial_t *trial, const char *worker, vacate_rule_t rule,
        vacated_t expected)
{
  ck_assert_int_eq (trial_vacate (trial, worker_of (worker), rule), expected);
}

/* Guards against tasks that leave a worker and are given the same room, and
   against a worker that is refused and keeps the places of its tasks.  */
START_TEST (test_tasks_that_leave_take_room)
{
  job_step_t step = rig_step (3);
  job_step_t large = rig_step (1);
  trial_t *trial;

  large.need.cpu_milli = 3000;
  step.spread_max = 2;
  serve (1, step);
  serve (2, large);
  rig_worker ("w3", 2, false);
  trial = new_trial (UINT64_MAX);
  /* One of them has the large task, which fits nowhere else.  */
  if (worker_of ("w1")->allocated.cpu_milli > 2000)
    vacate (trial, "w1", VACATE_ALL, VACATED_NONE);
  else
    vacate (trial, "w2", VACATE_ALL, VACATED_NONE);
  vacate (trial, "w3", VACATE_ALL, VACATED_ALL);
  trial_free (trial);
}
END_TEST

/* Guards against two tasks of a step that go down with their worker at a time
   although the step allows one.  */
START_TEST (test_one_task_of_a_step_may_lack_a_place)
{
  job_step_t step = rig_step (4);
  trial_t *trial;

  step.spread_max = 2;
  step.max_unavailable = 1;
  serve (1, step);
  trial = new_trial (UINT64_MAX);
  vacate (trial, "w1", VACATE_ALL_BUT_ONE, VACATED_NONE);
  vacate (trial, "w1", VACATE_POSSIBLE, VACATED_PART);
  trial_free (trial);
  rig_worker ("w3", CORES, false);
  trial = new_trial (UINT64_MAX);
  vacate (trial, "w1", VACATE_ALL_BUT_ONE, VACATED_ALL);
  vacate (trial, "w2", VACATE_ALL_BUT_ONE, VACATED_NONE);
  trial_free (trial);
}
END_TEST

/* Guards against a worker that is taken out of use although a task that waits
   can start nowhere else.  */
START_TEST (test_waiting_task_keeps_its_worker)
{
  job_step_t step = rig_step (1);
  job_step_t large = rig_step (1);
  trial_t *trial;

  step.need.cpu_milli = 3000;
  serve (1, step);
  large.long_running = true;
  large.need.cpu_milli = 4000;
  rig_submit (2, &large, 1);
  trial = new_trial (UINT64_MAX);
  ck_assert (trial_place_waiting (trial));
  if (worker_of ("w1")->runs->len == 0)
    vacate (trial, "w1", VACATE_ALL_BUT_ONE, VACATED_NONE);
  else
    vacate (trial, "w2", VACATE_ALL_BUT_ONE, VACATED_NONE);
  trial_free (trial);
}
END_TEST

/* Guards against short tasks that keep others from moving although they are
   about to end, and against ones that go on and count as gone.  */
START_TEST (test_tasks_that_end_soon_leave_their_room)
{
  job_step_t step = rig_step (1);
  job_step_t busy = rig_step (1);
  const char *from;
  trial_t *trial;

  serve (1, step);
  from = worker_has_long_running (worker_of ("w1")) ? "w1" : "w2";
  busy.need.cpu_milli = 3500; /* fits on the other worker only */
  busy.estimate_ms = 10000;
  rig_submit (2, &busy, 1);
  ck_assert_uint_eq (rig_count_planned (ORDER_START), 1);
  trial = new_trial (UINT64_MAX);
  trial_expect_ends (trial, 2000000);
  vacate (trial, from, VACATE_ALL, VACATED_NONE);
  trial_free (trial);
  rig_advance_clock (9000);
  rig_report ("w1", NULL, 0, NULL, 0); /* starts that have no answer go on */
  rig_report ("w2", NULL, 0, NULL, 0);
  trial = new_trial (UINT64_MAX);
  trial_expect_ends (trial, 2000000);
  vacate (trial, from, VACATE_ALL, VACATED_ALL);
  trial_free (trial);
}
END_TEST

TEST_PROGRAM_WITH ("jobs/trial", set_up, rig_tear_down,
                   test_placed_tasks_take_room, test_gang_gives_its_room_back,
                   test_limit_of_tasks_per_worker, test_budget_ends_a_trial,
                   test_tasks_that_leave_take_room,
                   test_one_task_of_a_step_may_lack_a_place,
                   test_waiting_task_keeps_its_worker,
                   test_tasks_that_end_soon_leave_their_room)

#include "rig.h"
#include "startorder.h"

static stage_t *
stage_of (uint32_t number)
{
  sched_job_t *job = g_hash_table_lookup (rig.sched->jobs, rig_id (number));

  return &job->occurrences[0].stages[0];
}

/* Guards against a job that is ranked as one that can still be on time after
   its objective has passed, or as one of value after three times that.  */
START_TEST (test_rank_falls_as_time_passes)
{
  job_step_t step = rig_step (1);
  int64_t objective_us;

  rig_submit (1, &step, 1);
  objective_us = job_objective_us (stage_of (1)->job);
  ck_assert_int_eq (start_rank (stage_of (1), rig.now.us), RANK_ON_TIME);
  ck_assert_int_eq (start_rank (stage_of (1), rig.now.us + objective_us),
                    RANK_LATE);
  ck_assert_int_eq (start_rank (stage_of (1), rig.now.us + 3 * objective_us),
                    RANK_EXPIRED);
  ck_assert (stage_is_expired (stage_of (1), rig.now.us + 3 * objective_us));
  stage_of (1)->job->over_share = true;
  ck_assert_int_eq (start_rank (stage_of (1), rig.now.us), RANK_OVER_SHARE);
}
END_TEST

/* Guards against a cheap job that starts before one of a higher rank or
   priority.  */
START_TEST (test_rank_and_priority_precede_cost)
{
  job_step_t step = rig_step (1);
  candidate_t first, second;

  rig_submit (1, &step, 1);
  first = start_candidate (stage_of (1), 1000, rig.now.us);
  second = first;
  ck_assert_int_eq (start_compare (&first, &second), 0);
  second.cost -= 1;
  ck_assert_int_gt (start_compare (&first, &second), 0);
  second.priority = first.priority + 1;
  ck_assert_int_lt (start_compare (&first, &second), 0);
  first.rank = RANK_LATE;
  ck_assert_int_gt (start_compare (&first, &second), 0);
}
END_TEST

/* Guards against late jobs that use up the unanswered starts of those that can
   be on time.  */
START_TEST (test_lower_ranks_have_lower_limits)
{
  for (uint32_t i = 1; i < RANK_COUNT; i++)
    {
      ck_assert_uint_lt (start_limit (rig.sched, (rank_t)i),
                         start_limit (rig.sched, (rank_t)(i - 1)));
      ck_assert_ptr_nonnull (rank_name ((rank_t)i));
    }
  rig.sched->starts_pending[RANK_EXPIRED] = START_WINDOW_MAX;
  rig.sched->starts_pending[RANK_LATE] = START_WINDOW_MAX;
  ck_assert (!starts_are_limited (rig.sched, RANK_ON_TIME, 0));
  ck_assert (starts_are_limited (rig.sched, RANK_OVER_SHARE, 0));
  rig.sched->starts_pending[RANK_LATE] = 0;
  ck_assert (!starts_are_limited (rig.sched, RANK_OVER_SHARE, 0));
  rig.sched->starts_pending[RANK_EXPIRED] = 0;
}
END_TEST

/* Guards against a window that lets lower ranks take what better ones need:
   these count for its limit.  */
START_TEST (test_lower_ranks_get_what_better_ones_leave)
{
  rig.sched->start_window.size = 1000;
  rig.sched->starts_pending[RANK_ON_TIME] = 600;
  ck_assert (!starts_are_limited (rig.sched, RANK_EXPIRED, 399));
  ck_assert (starts_are_limited (rig.sched, RANK_EXPIRED, 400));
  rig.sched->starts_pending[RANK_ON_TIME] = 0;
}
END_TEST

/* The starts in 4 s of a backlog of RANK alone, at an owner that is half busy.
   Each answer takes ANSWER_MS.  */
static uint32_t
play_backlog (rank_t rank, uint32_t answer_ms)
{
  uint32_t answers[4000] = { 0 };
  uint32_t started = 0;

  rig.sched->start_window = (start_window_t){ 0 };
  for (uint32_t ms = 0; ms < 4000; ms++)
    {
      rig.sched->starts_pending[rank] -= answers[ms];
      while (!starts_are_limited (rig.sched, rank, 0))
        {
          rig.sched->starts_pending[rank]++;
          started++;
          if (ms + answer_ms < 4000)
            answers[ms + answer_ms]++;
        }
      rig.sched->start_window.bound = true;
      if (ms % 100 == 0)
        sched_set_load (rig.sched, 50);
    }
  rig.sched->starts_pending[rank] = 0;
  return started;
}

/* Load: a backlog of expired work alone, and workers that answer orders after
   40 ms, or leave so many unanswered that it is 400 ms.  Guards against a
   limit that bounds the rate by the time of an answer, though the owner has
   time: 48 starts at a time were 1,200 a second, and 120.  */
START_TEST (test_backlog_of_expired_work_starts_as_fast_as_urgent_work)
{
  static const uint32_t answers_ms[] = { 40, 400 };

  for (uint32_t i = 0; i < G_N_ELEMENTS (answers_ms); i++)
    {
      uint32_t urgent = play_backlog (RANK_ON_TIME, answers_ms[i]);

      ck_assert_uint_ge (play_backlog (RANK_EXPIRED, answers_ms[i]),
                         urgent * 9 / 10);
      ck_assert_uint_ge (urgent, 4 * 2500);
    }
}
END_TEST

TEST_PROGRAM_WITH ("jobs/startorder", rig_set_up, rig_tear_down,
                   test_rank_falls_as_time_passes,
                   test_rank_and_priority_precede_cost,
                   test_lower_ranks_have_lower_limits,
                   test_lower_ranks_get_what_better_ones_leave,
                   test_backlog_of_expired_work_starts_as_fast_as_urgent_work)

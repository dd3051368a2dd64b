#include "../../test/run_suite.h"
#include "job.h"
#include <string.h>

static job_step_t steps[2];
static job_desc_t desc;

static void
set_up (void)
{
  memset (steps, 0, sizeof steps);
  steps[0].count = 3;
  steps[1].count = 2;
  desc = (job_desc_t){ .id = "00000000000000ab",
                       .payload = (char *)"p",
                       .steps = steps,
                       .steps_count = 2 };
}

/* Guards against ids that make task names ambiguous, such as one with a dot.
 */
START_TEST (test_malformed_ids_are_rejected)
{
  ck_assert (job_id_is_valid ("5c0e7a21d94b36f8"));
  ck_assert (!job_id_is_valid ("5c0e7a21d94b36f"));
  ck_assert (!job_id_is_valid ("5c0e7a21d94b36f8a"));
  ck_assert (!job_id_is_valid ("5c0e7a21d94b36.8"));
  ck_assert (!job_id_is_valid (""));
}
END_TEST

/* Guards against two tasks with the same number, which would share an entry of
   the job table.  */
START_TEST (test_task_numbers_are_distinct)
{
  bool seen[10] = { false };

  desc.repeats = 2;
  ck_assert_uint_eq (job_tasks (&desc), 10);
  for (uint32_t k = 0; k < 2; k++)
    for (uint32_t s = 0; s < 2; s++)
      for (uint32_t i = 0; i < steps[s].count; i++)
        {
          task_ref_t ref = { .occurrence = k, .step = s, .index = i };
          uint32_t number = job_task_number (&desc, &ref);

          ck_assert_uint_lt (number, 10);
          ck_assert (!seen[number]);
          seen[number] = true;
        }
}
END_TEST

/* Guards against an out-of-bounds access when a worker lists a task that the
   job does not have.  */
START_TEST (test_unknown_tasks_have_no_number)
{
  const task_ref_t refs[]
      = { { .occurrence = 1 }, { .step = 2 }, { .step = 1, .index = 2 } };

  for (uint32_t i = 0; i < G_N_ELEMENTS (refs); i++)
    ck_assert_uint_eq (job_task_number (&desc, &refs[i]), UINT32_MAX);
}
END_TEST

/* Guards against accepting jobs that can never run or that exhaust a daemon's
   memory.  */
START_TEST (test_invalid_jobs_are_rejected)
{
  uint32_t later[] = { 1 };
  g_autofree char *long_name = g_strnfill (JOB_NAME_MAX + 1, 'n');

  ck_assert_ptr_null (job_check (&desc));
  steps[0].after = later;
  steps[0].after_count = 1;
  ck_assert_ptr_nonnull (job_check (&desc));
  steps[0].after_count = 0;
  steps[1].count = 0;
  ck_assert_ptr_nonnull (job_check (&desc));
  steps[1].count = 2;
  desc.repeats = JOB_TASKS_MAX;
  ck_assert_ptr_nonnull (job_check (&desc));
  desc.repeats = 0;
  steps[0].image = long_name;
  ck_assert_ptr_nonnull (job_check (&desc));
  steps[0].image = NULL;
  desc.steps_count = 0;
  ck_assert_ptr_nonnull (job_check (&desc));
}
END_TEST

/* Guards against counting a failure twice because the worker lists it again.
 */
START_TEST (test_failures_count_once)
{
  failures_t failures = { 0 };

  ck_assert (failures_add (&failures, 3));
  ck_assert (failures_add (&failures, 1));
  ck_assert (!failures_add (&failures, 3));
  ck_assert (!failures_add (&failures, 1));
  ck_assert_uint_eq (failures.count, 2);
  for (uint32_t i = 10; i < 20; i++)
    ck_assert (failures_add (&failures, i));
  ck_assert (!failures_add (&failures, 19));
  ck_assert_uint_eq (failures.count, 12);
}
END_TEST

TEST_PROGRAM_WITH ("jobs/job", set_up, NULL, test_malformed_ids_are_rejected,
                   test_task_numbers_are_distinct,
                   test_unknown_tasks_have_no_number,
                   test_invalid_jobs_are_rejected, test_failures_count_once)

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

/* Guards against ids that would make an ambiguous task name.  */
START_TEST (test_ids)
{
  ck_assert (job_id_is_valid ("5c0e7a21d94b36f8"));
  ck_assert (!job_id_is_valid ("5c0e7a21d94b36f"));
  ck_assert (!job_id_is_valid ("5c0e7a21d94b36f8a"));
  ck_assert (!job_id_is_valid ("5c0e7a21d94b36.8"));
  ck_assert (!job_id_is_valid (""));
}
END_TEST

/* Guards against tasks that share a place in the table.  */
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

/* Guards against reading beyond a job's tasks by a worker's bad list.  */
START_TEST (test_tasks_that_are_not_there)
{
  const task_ref_t refs[]
      = { { .occurrence = 1 }, { .step = 2 }, { .step = 1, .index = 2 } };

  for (uint32_t i = 0; i < G_N_ELEMENTS (refs); i++)
    ck_assert_uint_eq (job_task_number (&desc, &refs[i]), UINT32_MAX);
}
END_TEST

/* Guards against jobs that could never run or would take a daemon's memory. */
START_TEST (test_check)
{
  uint32_t later[] = { 1 };

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
  desc.steps_count = 0;
  ck_assert_ptr_nonnull (job_check (&desc));
}
END_TEST

/* Guards against one failure that counts twice because it is listed again.  */
START_TEST (test_fails_count_once)
{
  failures_t fails = { 0 };

  ck_assert (failures_add (&fails, 3));
  ck_assert (failures_add (&fails, 1));
  ck_assert (!failures_add (&fails, 3));
  ck_assert (!failures_add (&fails, 1));
  ck_assert_uint_eq (fails.count, 2);
  for (uint32_t i = 10; i < 20; i++)
    ck_assert (failures_add (&fails, i));
  ck_assert (!failures_add (&fails, 19));
  ck_assert_uint_eq (fails.count, 12);
}
END_TEST

TEST_PROGRAM_WITH ("jobs/job", set_up, NULL, test_ids,
                   test_task_numbers_are_distinct,
                   test_tasks_that_are_not_there, test_check,
                   test_fails_count_once)

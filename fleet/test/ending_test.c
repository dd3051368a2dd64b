/* Guards against a broken job that is tried for ever, a broken worker that
   fails everything, and against one taking the other for broken.  */

#include "farm.h"

START_TEST (a_failing_job_is_held)
{
  g_autoptr (farm_t) farm = farm_open (5, 0);
  job_info_t info;
  const char *last = "";

  farm_submit (farm, "j", "a", 1, "");
  for (uint32_t i = 0; i < PLACE_FAIL_WORKERS; i++)
    {
      ck_assert_uint_eq (farm_next (farm), 1);
      ck_assert_str_ne (farm->steps[0].worker, last);
      last = farm->steps[0].worker;
      ck_assert (farm_end (farm, "j", JOB_END_FAILED));
    }
  ck_assert_uint_eq (farm_next (farm), 0);
  ck_assert (place_job (farm->place, "j", &info));
  ck_assert_int_eq (info.phase, JOB_HELD);
  ck_assert_str_eq (info.reason, "failed 3 times on 3 workers");
}
END_TEST

START_TEST (a_failing_job_is_held_on_few_workers)
{
  g_autoptr (farm_t) farm = farm_open (1, 0);
  uint32_t runs = 0;

  farm_submit (farm, "j", "a", 1, "");
  for (; farm_next (farm) > 0; runs++)
    ck_assert (farm_end (farm, "j", JOB_END_FAILED));
  ck_assert_uint_eq (runs, PLACE_FAIL_RUNS);
}
END_TEST

START_TEST (a_failing_worker_is_taken_out)
{
  g_autoptr (farm_t) farm = farm_open (5, 0);

  for (uint32_t i = 0; i < PLACE_BAD_KINDS; i++)
    {
      char id[8];

      g_snprintf (id, sizeof id, "j%u", i);
      farm_submit (farm, id, "a", 1, "o");
      ck_assert_uint_eq (farm_next (farm), i == 0 ? 1 : 2);
      ck_assert_str_eq (farm_worker (farm, id), "w0000");
      ck_assert (farm_end (farm, id, JOB_END_FAILED));
    }
  ck_assert (place_is_bad (farm->place, "w0000"));
  ck_assert_uint_eq (farm_next (farm), 1);
  for (uint32_t i = 0; i < PLACE_BAD_KINDS; i++)
    {
      char id[8];

      g_snprintf (id, sizeof id, "j%u", i);
      ck_assert_str_ne (farm_worker (farm, id), "w0000");
    }
  place_trust_worker (farm->place, "w0000");
  farm_submit (farm, "new", "a", 1, "o");
  farm_next (farm);
  ck_assert_str_eq (farm_worker (farm, "new"), "w0000");
}
END_TEST

/* A team's batch of broken jobs took out the whole fleet.  */
START_TEST (a_broken_batch_takes_out_no_worker)
{
  g_autoptr (farm_t) farm = farm_open (30, 0);

  farm_submit_many (farm, "a", 0, 60, 1, "");
  while (farm_next (farm) > 0)
    for (uint32_t i = 0; i < farm->count; i++)
      ck_assert (farm_end (farm, farm->steps[i].job, JOB_END_FAILED));
  for (uint32_t i = 0; i < 30; i++)
    {
      char name[8];

      g_snprintf (name, sizeof name, "w%04u", i);
      ck_assert (!place_is_bad (farm->place, name));
    }
  ck_assert_int_eq (farm_phase (farm, "a7"), JOB_HELD);
}
END_TEST

START_TEST (at_most_a_tenth_of_the_workers_is_taken_out)
{
  g_autoptr (farm_t) farm = farm_open (20, 0);
  uint32_t bad = 0;

  farm_submit_many (farm, "a", 0, 200, 2, "o");
  while (farm_next (farm) > 0)
    for (uint32_t i = 0; i < farm->count; i++)
      ck_assert (farm_end (farm, farm->steps[i].job, JOB_END_FAILED));
  for (uint32_t i = 0; i < 20; i++)
    {
      char name[8];

      g_snprintf (name, sizeof name, "w%04u", i);
      bad += place_is_bad (farm->place, name);
    }
  ck_assert_uint_eq (bad, 2);
}
END_TEST

TEST_PROGRAM ("ending", a_failing_job_is_held,
              a_failing_job_is_held_on_few_workers,
              a_failing_worker_is_taken_out,
              a_broken_batch_takes_out_no_worker,
              at_most_a_tenth_of_the_workers_is_taken_out)

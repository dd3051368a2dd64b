/* Guards against a broken job that is restarted for ever, a broken worker that
   fails every job, and attributing the failures of one to the other.  */

#include "cluster.h"

START_TEST (a_failing_job_is_held)
{
  g_autoptr (cluster_t) cluster = cluster_open (5, 0);
  job_info_t info;
  const char *last = "";

  cluster_submit (cluster, "j", "a", 1, "");
  for (uint32_t i = 0; i < PLACEMENT_FAILED_WORKERS_MAX; i++)
    {
      ck_assert_uint_eq (cluster_next (cluster), 1);
      ck_assert_str_ne (cluster->commands[0].worker, last);
      last = cluster->commands[0].worker;
      ck_assert (cluster_end_run (cluster, "j", JOB_END_FAILED));
    }
  ck_assert_uint_eq (cluster_next (cluster), 0);
  ck_assert (placement_job_info (cluster->placement, "j", &info));
  ck_assert_int_eq (info.phase, JOB_HELD);
  ck_assert_str_eq (info.reason, "failed 3 times on 3 workers");
}
END_TEST

START_TEST (a_failing_job_is_held_on_few_workers)
{
  g_autoptr (cluster_t) cluster = cluster_open (1, 0);
  uint32_t runs = 0;

  cluster_submit (cluster, "j", "a", 1, "");
  for (; cluster_next (cluster) > 0; runs++)
    ck_assert (cluster_end_run (cluster, "j", JOB_END_FAILED));
  ck_assert_uint_eq (runs, PLACEMENT_FAILED_RUNS_MAX);
}
END_TEST

START_TEST (a_failing_worker_is_excluded)
{
  g_autoptr (cluster_t) cluster = cluster_open (5, 0);

  for (uint32_t i = 0; i < PLACEMENT_EXCLUDE_KINDS; i++)
    {
      char id[8];

      g_snprintf (id, sizeof id, "j%u", i);
      cluster_submit (cluster, id, "a", 1, "o");
      ck_assert_uint_eq (cluster_next (cluster), i == 0 ? 1 : 2);
      ck_assert_str_eq (cluster_worker_of (cluster, id), "w0000");
      ck_assert (cluster_end_run (cluster, id, JOB_END_FAILED));
    }
  ck_assert (placement_is_excluded (cluster->placement, "w0000"));
  ck_assert_uint_eq (cluster_next (cluster), 1);
  for (uint32_t i = 0; i < PLACEMENT_EXCLUDE_KINDS; i++)
    {
      char id[8];

      g_snprintf (id, sizeof id, "j%u", i);
      ck_assert_str_ne (cluster_worker_of (cluster, id), "w0000");
    }
  placement_reinstate_worker (cluster->placement, "w0000");
  cluster_submit (cluster, "new", "a", 1, "o");
  cluster_next (cluster);
  ck_assert_str_eq (cluster_worker_of (cluster, "new"), "w0000");
}
END_TEST

/* A batch of broken jobs of one team excluded all workers.  */
START_TEST (a_broken_batch_excludes_no_worker)
{
  g_autoptr (cluster_t) cluster = cluster_open (30, 0);

  cluster_submit_many (cluster, "a", 0, 60, 1, "");
  while (cluster_next (cluster) > 0)
    for (uint32_t i = 0; i < cluster->count; i++)
      ck_assert (
          cluster_end_run (cluster, cluster->commands[i].job, JOB_END_FAILED));
  for (uint32_t i = 0; i < 30; i++)
    {
      char name[8];

      g_snprintf (name, sizeof name, "w%04u", i);
      ck_assert (!placement_is_excluded (cluster->placement, name));
    }
  ck_assert_int_eq (cluster_phase_of (cluster, "a7"), JOB_HELD);
}
END_TEST

START_TEST (at_most_a_tenth_of_the_workers_is_excluded)
{
  g_autoptr (cluster_t) cluster = cluster_open (20, 0);
  uint32_t excluded = 0;

  cluster_submit_many (cluster, "a", 0, 200, 2, "o");
  while (cluster_next (cluster) > 0)
    for (uint32_t i = 0; i < cluster->count; i++)
      ck_assert (
          cluster_end_run (cluster, cluster->commands[i].job, JOB_END_FAILED));
  for (uint32_t i = 0; i < 20; i++)
    {
      char name[8];

      g_snprintf (name, sizeof name, "w%04u", i);
      excluded += placement_is_excluded (cluster->placement, name);
    }
  ck_assert_uint_eq (excluded, 2);
}
END_TEST

TEST_PROGRAM ("run_end", a_failing_job_is_held,
              a_failing_job_is_held_on_few_workers,
              a_failing_worker_is_excluded, a_broken_batch_excludes_no_worker,
              at_most_a_tenth_of_the_workers_is_excluded)

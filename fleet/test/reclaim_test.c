/* Guards against urgent jobs that wait for lent capacity, and against
   reclaiming it in a more disruptive way than necessary.  */

#include "cluster.h"

static uint32_t
count_commands (const cluster_t *cluster, command_kind_t kind)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < cluster->count; i++)
    n += cluster->commands[i].kind == kind;
  return n;
}

/* Opens a cluster of two workers that team a fills with jobs of CORES cores,
   half of it with capacity lent by team b.  */
static cluster_t *
open_lent (uint32_t cores, const char *flags)
{
  cluster_t *cluster = cluster_open (2, 0);

  cluster_submit_many (cluster, "a", 0, 32 / cores, cores, flags);
  ck_assert_uint_eq (cluster_next (cluster), 32 / cores);
  return cluster;
}

START_TEST (throttles_then_restores)
{
  g_autoptr (cluster_t) cluster = cluster_open (1, 0);
  job_spec_t spec
      = { .id = "lent", .team = "a", .declared = { 16000, 1000, 0 } };
  char reason[PLACEMENT_REASON_BYTES];

  placement_submit (cluster->placement, &spec, reason);
  ck_assert_uint_eq (cluster_next (cluster), 1);
  spec.id = "u";
  spec.team = "b";
  spec.urgent = true;
  spec.declared = (resources_t){ 3000, 100, 0 };
  placement_submit (cluster->placement, &spec, reason);
  ck_assert_uint_eq (cluster_next (cluster), 2);
  ck_assert_int_eq (cluster->commands[0].kind, COMMAND_THROTTLE);
  ck_assert_uint_eq (cluster->commands[0].resources.cpu_milli, 4000);
  ck_assert_int_eq (cluster->commands[1].kind, COMMAND_START);
  ck_assert (cluster_end_run (cluster, "u", JOB_END_DONE));
  ck_assert_uint_eq (cluster_next (cluster), 1);
  ck_assert_int_eq (cluster->commands[0].kind, COMMAND_RESTORE);
  ck_assert_uint_eq (cluster->commands[0].resources.cpu_milli, 16000);
}
END_TEST

/* Capacity freed by a checkpoint was allocated to another job.  */
START_TEST (reserves_capacity_freed_by_checkpoints)
{
  g_autoptr (cluster_t) cluster = open_lent (8, "ic");

  cluster_submit_many (cluster, "a", 10, 20, 1, "i");
  cluster_submit (cluster, "u", "b", 16, "u");
  ck_assert_uint_eq (cluster_next (cluster), 2);
  ck_assert_int_eq (cluster->commands[0].kind, COMMAND_CHECKPOINT);
  ck_assert_int_eq (cluster->commands[1].kind, COMMAND_CHECKPOINT);
  ck_assert (cluster_end_run (cluster, "a3", JOB_END_CHECKPOINTED));
  ck_assert_uint_eq (cluster_next (cluster), 0);
  ck_assert (cluster_end_run (cluster, "a2", JOB_END_CHECKPOINTED));
  ck_assert_uint_eq (cluster_next (cluster), 1);
  ck_assert_str_eq (cluster->commands[0].job, "u");
  ck_assert_int_eq (cluster_phase_of (cluster, "a2"), JOB_QUEUED);
}
END_TEST

START_TEST (stops_a_run_whose_checkpoint_times_out)
{
  g_autoptr (cluster_t) cluster = open_lent (16, "ic");

  cluster_submit (cluster, "u", "b", 16, "u");
  cluster_next (cluster);
  cluster->now_us += PLACEMENT_CHECKPOINT_TIMEOUT_US;
  ck_assert_uint_eq (cluster_next (cluster), 1);
  ck_assert_int_eq (cluster->commands[0].kind, COMMAND_STOP);
}
END_TEST

START_TEST (never_stops_a_non_idempotent_job)
{
  g_autoptr (cluster_t) cluster = open_lent (16, "");

  cluster_submit (cluster, "u", "b", 16, "u");
  ck_assert_uint_eq (cluster_next (cluster), 0);
  cluster->now_us += 5 * SECOND;
  ck_assert_uint_eq (cluster_next (cluster), 0);
}
END_TEST

START_TEST (reclaims_only_lent_capacity)
{
  g_autoptr (cluster_t) cluster = cluster_open (2, 0);

  cluster_submit_many (cluster, "a", 0, 1, 16, "i");
  cluster_submit_many (cluster, "b", 0, 1, 16, "");
  ck_assert_uint_eq (cluster_next (cluster), 2);
  cluster_submit (cluster, "u", "b", 16, "u");
  /* Team a does not exceed its share.  */
  ck_assert_uint_eq (cluster_next (cluster), 0);
}
END_TEST

/* Capacity for a burst of urgent jobs was reclaimed one job after the other.
 */
START_TEST (reclaims_for_many_jobs_at_once)
{
  g_autoptr (cluster_t) cluster = cluster_open (20, 0);

  cluster_submit_many (cluster, "a", 0, 20, 16, "im");
  ck_assert_uint_eq (cluster_next (cluster), 20);
  cluster_submit_many (cluster, "b", 0, 10, 16, "um");
  ck_assert_uint_eq (cluster_next (cluster), 10);
  ck_assert_uint_eq (count_commands (cluster, COMMAND_STOP), 10);
}
END_TEST

TEST_PROGRAM ("reclaim", throttles_then_restores,
              reserves_capacity_freed_by_checkpoints,
              stops_a_run_whose_checkpoint_times_out,
              never_stops_a_non_idempotent_job, reclaims_only_lent_capacity,
              reclaims_for_many_jobs_at_once)

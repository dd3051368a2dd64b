/* cluster - workers and teams for the tests of placement  */

#ifndef CUMINPIN_FLEET_CLUSTER_H
#define CUMINPIN_FLEET_CLUSTER_H

#include "../../test/run_suite.h"
#include "fleet.h"
#include <string.h>

#define COMMANDS_MAX 4096
#define SECOND INT64_C (1000000)

typedef struct cluster
{
  placement_t *placement;
  worker_command_t commands[COMMANDS_MAX];
  uint32_t count;
  int64_t now_us;
} cluster_t;

/* Opens a cluster with WORKERS of 16 cores, 64 GiB and ACCELS accelerators,
   and with the teams a and b of equal shares.  */
static inline cluster_t *
cluster_open (uint32_t workers, uint32_t accels)
{
  cluster_t *cluster = g_new0 (cluster_t, 1);

  cluster->placement = placement_new (0);
  cluster->now_us = 1000 * SECOND;
  for (uint32_t i = 0; i < workers; i++)
    {
      char name[8];

      g_snprintf (name, sizeof name, "w%04u", i);
      placement_set_worker (cluster->placement, name,
                            (resources_t){ 16000, 65536, accels }, true);
    }
  placement_set_team (cluster->placement, "a", 1, 100000);
  placement_set_team (cluster->placement, "b", 1, 100000);
  return cluster;
}

static inline void
cluster_close (cluster_t *cluster)
{
  placement_free (cluster->placement);
  g_free (cluster);
}

G_DEFINE_AUTOPTR_CLEANUP_FUNC (cluster_t, cluster_close)

/* Submits a job of CORES cores and 4 GiB for each.  FLAGS: u urgent, i
   idempotent, c can be checkpointed, m all memory of a worker, g one
   accelerator, o no kind.  */
static inline submit_result_t
cluster_submit (cluster_t *cluster, const char *id, const char *team,
                uint32_t cores, const char *flags)
{
  char reason[PLACEMENT_REASON_BYTES];
  job_spec_t spec = { .id = id,
                      .team = team,
                      .kind = "k",
                      .declared = { cores * 1000, cores * 4096, 0 },
                      .urgent = strchr (flags, 'u') != NULL,
                      .idempotent = strchr (flags, 'i') != NULL,
                      .can_checkpoint = strchr (flags, 'c') != NULL };

  if (strchr (flags, 'm'))
    spec.declared.mem_mib = 65536;
  if (strchr (flags, 'g'))
    spec.declared.accels = 1;
  if (strchr (flags, 'o'))
    spec.kind = NULL;
  return placement_submit (cluster->placement, &spec, reason);
}

static inline void
cluster_submit_many (cluster_t *cluster, const char *team, uint32_t from,
                     uint32_t to, uint32_t cores, const char *flags)
{
  for (uint32_t i = from; i < to; i++)
    {
      char id[24];

      g_snprintf (id, sizeof id, "%s%u", team, i);
      ck_assert_int_eq (cluster_submit (cluster, id, team, cores, flags),
                        SUBMIT_ACCEPTED);
    }
}

static inline uint32_t
cluster_next (cluster_t *cluster)
{
  cluster->count = placement_next (cluster->placement, cluster->now_us,
                                   cluster->commands, COMMANDS_MAX);
  return cluster->count;
}

/* The worker of job ID, or "".  */
static inline const char *
cluster_worker_of (const cluster_t *cluster, const char *id)
{
  job_info_t info = { 0 };

  return placement_job_info (cluster->placement, id, &info) && info.worker
             ? info.worker
             : "";
}

/* The number of the current run of job ID, or 0.  */
static inline uint64_t
cluster_run_of (const cluster_t *cluster, const char *id)
{
  job_info_t info = { 0 };

  return placement_job_info (cluster->placement, id, &info) ? info.run : 0;
}

static inline job_phase_t
cluster_phase_of (const cluster_t *cluster, const char *id)
{
  job_info_t info = { 0 };

  ck_assert (placement_job_info (cluster->placement, id, &info));
  return info.phase;
}

static inline bool
cluster_end_run (cluster_t *cluster, const char *id, job_end_t end)
{
  return placement_end_run (cluster->placement, id,
                            cluster_run_of (cluster, id), end);
}

static inline team_info_t
cluster_team (const cluster_t *cluster, const char *team)
{
  team_info_t info = { 0 };

  ck_assert (placement_team_info (cluster->placement, team, &info));
  return info;
}

#endif

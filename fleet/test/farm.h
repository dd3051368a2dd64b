/* farm - workers and teams for the tests of jobs  */

#ifndef CUMINPIN_FLEET_FARM_H
#define CUMINPIN_FLEET_FARM_H

#include "../../test/run_suite.h"
#include "fleet.h"
#include <string.h>

#define STEPS_MAX 4096
#define SECOND INT64_C (1000000)

typedef struct farm
{
  placement_t *place;
  worker_command_t steps[STEPS_MAX];
  uint32_t count;
  int64_t now_us;
} farm_t;

/* WORKERS of 16 cores and 64 GiB; the teams a and b with equal shares.  */
static inline farm_t *
farm_open (uint32_t workers, uint32_t accels)
{
  farm_t *farm = g_new0 (farm_t, 1);

  farm->place = placement_new (0);
  farm->now_us = 1000 * SECOND;
  for (uint32_t i = 0; i < workers; i++)
    {
      char name[8];

      g_snprintf (name, sizeof name, "w%04u", i);
      placement_set_worker (farm->place, name,
                            (resources_t){ 16000, 65536, accels }, true);
    }
  placement_set_team (farm->place, "a", 1, 100000);
  placement_set_team (farm->place, "b", 1, 100000);
  return farm;
}

static inline void
farm_close (farm_t *farm)
{
  placement_free (farm->place);
  g_free (farm);
}

G_DEFINE_AUTOPTR_CLEANUP_FUNC (farm_t, farm_close)

static inline place_verdict_t
farm_submit (farm_t *farm, const char *id, const char *team, uint32_t cores,
             const char *flags)
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
  return placement_submit (farm->place, &spec, reason);
}

static inline void
farm_submit_many (farm_t *farm, const char *team, uint32_t from, uint32_t to,
                  uint32_t cores, const char *flags)
{
  for (uint32_t i = from; i < to; i++)
    {
      char id[24];

      g_snprintf (id, sizeof id, "%s%u", team, i);
      ck_assert_int_eq (farm_submit (farm, id, team, cores, flags),
                        PLACE_ACCEPTED);
    }
}

static inline uint32_t
farm_next (farm_t *farm)
{
  farm->count
      = placement_next (farm->place, farm->now_us, farm->steps, STEPS_MAX);
  return farm->count;
}

/* The worker of job ID, or "".  */
static inline const char *
farm_worker (const farm_t *farm, const char *id)
{
  job_info_t info = { 0 };

  return place_job (farm->place, id, &info) && info.worker ? info.worker : "";
}

/* The number of the present run of job ID, or 0.  */
static inline uint64_t
farm_run (const farm_t *farm, const char *id)
{
  job_info_t info = { 0 };

  return place_job (farm->place, id, &info) ? info.run : 0;
}

static inline job_phase_t
farm_phase (const farm_t *farm, const char *id)
{
  job_info_t info = { 0 };

  ck_assert (place_job (farm->place, id, &info));
  return info.phase;
}

static inline bool
farm_end (farm_t *farm, const char *id, job_end_t how)
{
  return placement_end_run (farm->place, id, farm_run (farm, id), how);
}

static inline team_info_t
farm_team (const farm_t *farm, const char *team)
{
  team_info_t info = { 0 };

  ck_assert (place_team (farm->place, team, &info));
  return info;
}

#endif

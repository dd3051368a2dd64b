/* fleetrig - hosts whose workers carry orders out, for tests of waves

   Host N is "hN"; its worker is "wN-L", where L counts its lives.  A start is
   carried out at once, a stop within a step, and maintenance takes
   FLEET_MAINTENANCE_MS; then the host has a new worker.  */

#ifndef CUMINPIN_FLEETRIG_H
#define CUMINPIN_FLEETRIG_H

#include "rig.h"

#define FLEET_HOSTS_MAX 16
#define FLEET_RUNS_MAX 32
#define FLEET_STEP_MS 50
#define FLEET_MAINTENANCE_MS 2000

typedef struct fleet_host
{
  char worker[16]; /* "": it is down, or was lost */
  uint32_t lives;
  run_status_t runs[FLEET_RUNS_MAX];
  uint32_t runs_count;
  int64_t end_us[FLEET_RUNS_MAX]; /* of a short run, by run; 0: it lasts */
  run_end_t ends[FLEET_RUNS_MAX]; /* not reported yet */
  uint32_t ends_count;
  uint64_t ends_sent;
  int64_t up_us; /* 0: it is up */
  bool lost;
  bool maintained;
} fleet_host_t;

typedef struct fleet
{
  fleet_host_t hosts[FLEET_HOSTS_MAX];
  uint32_t count;
  uint32_t cores;
  uint32_t down_most;     /* hosts in maintenance at a time */
  int64_t away_since_us;  /* task of the job that is watched has no run */
  int64_t away_most_ms;   /* the longest such time */
  uint32_t stops;         /* carried out on tasks that last */
  uint32_t short_task_ms; /* of the jobs whose number is above 9 */
} fleet_t;

extern fleet_t fleet;

/* fleet_open - COUNT hosts of CORES at the owner of epoch 1.
   fleet_serve - submit job NUMBER, below 10, with a step of COUNT long-running
   tasks like STEP, and wait until all of them serve.
   fleet_step - one step of time.
   fleet_run - steps until all of WAVE_HOSTS, separated by spaces, have been
   maintained, or for MS; whether they have.
   fleet_lose - the worker of host INDEX is lost for good.  */
void fleet_open (uint32_t count, uint32_t cores);
void fleet_serve (uint32_t number, job_step_t step);
void fleet_step (void);
bool fleet_run (const char *wave_hosts, int64_t ms);
void fleet_lose (uint32_t index);

/* fleet_set_wave - a wave NUMBER over HOSTS, separated by spaces.  */
void fleet_set_wave (uint64_t number, const char *hosts, uint32_t duration_s,
                     uint32_t at_once);

#endif

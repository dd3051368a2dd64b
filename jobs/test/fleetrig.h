/* fleetrig - hosts whose workers carry orders out, for tests of waves

   Host N is "hN"; its worker is "wN-L", where L counts its lives.  A start is
   carried out at once, a stop within a step, and maintenance takes
   FLEET_MAINTENANCE_MS; then the host has a new worker.

   The platform that carries the orders for hosts out is the one of the users'
   pages: it accepts an order that was carried out already, and refuses one for
   a host that isn't up.  What becomes of an order is drawn by fleet.fate, and
   lists may be old.  It counts what breaks a rule:
   LIMIT: maintenance begins while as many hosts are down for its wave as that
   allows; MIXED: a wave is complete before all its hosts have begun; AVAIL: an
   order that wasn't held up ends more tasks of a step than it allows.  */

#ifndef CUMINPIN_FLEETRIG_H
#define CUMINPIN_FLEETRIG_H

#include "rig.h"

#define FLEET_HOSTS_MAX 16
#define FLEET_RUNS_MAX 32
#define FLEET_STEP_MS 50
#define FLEET_MAINTENANCE_MS 2000

#define FLEET_WAVES_MAX 8
#define FLEET_TASKS_MAX 16

/* What becomes of an order for a host.  */
typedef enum fleet_fate
{
  FATE_ANSWERED,
  FATE_REFUSED,    /* 429 or 503 */
  FATE_LOST,       /* no answer, and it isn't carried out */
  FATE_UNANSWERED, /* it is carried out, and the answer is lost */
  FATE_LATE        /* no answer, and it is carried out seconds later */
} fleet_fate_t;

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
  uint64_t down_for; /* wave of the last maintenance */
  uint64_t token;    /* highest one of an order */
  uint32_t had;      /* waves that it has begun maintenance for, by bit */
} fleet_host_t;

typedef struct fleet_wave
{
  uint32_t hosts; /* by bit */
  uint32_t at_once;
  uint32_t duration_s;
  int64_t known_us;
  bool complete;
} fleet_wave_t;

typedef struct fleet
{
  fleet_host_t hosts[FLEET_HOSTS_MAX];
  uint32_t count;
  uint32_t cores;
  uint32_t down_most;   /* hosts in maintenance at a time */
  uint32_t away;        /* long-running tasks that have no run */
  int64_t away_most_ms; /* the longest time of one */
  fleet_wave_t waves[FLEET_WAVES_MAX];     /* by number */
  fleet_fate_t (*fate) (int64_t *late_ms); /* NULL: all are answered */
  int64_t list_age_ms;                     /* of the lists */
  int64_t record_ms; /* until a record that an order waits for is stored */
  uint32_t over_limit;
  uint32_t mixed;
  uint32_t over_unavailable;
  uint32_t short_task_ms; /* of the jobs whose number is above 9 */
} fleet_t;

extern fleet_t fleet;

/* fleet_open - COUNT hosts of CORES at the owner of epoch 1.
   fleet_serve - submit job NUMBER, below 10, with a step of COUNT long-running
   tasks like STEP, and wait until all of them serve.
   fleet_step - one step of time.
   fleet_run - steps until all of WAVE_HOSTS, separated by spaces, have been
   maintained, or for MS; whether they have.
   fleet_lose - the worker of host INDEX is lost for good.
   fleet_restart - the worker of host INDEX ends, and another one starts
   there.  */
void fleet_open (uint32_t count, uint32_t cores);
void fleet_serve (uint32_t number, job_step_t step);
void fleet_step (void);
bool fleet_run (const char *wave_hosts, int64_t ms);
void fleet_lose (uint32_t index);
void fleet_restart (uint32_t index);

/* fleet_change_owner - another owner decides from now on, with what was
   stored. Orders that are carried out late still are.  */
void fleet_change_owner (void);

/* fleet_set_wave - a wave NUMBER, below FLEET_WAVES_MAX, over HOSTS, separated
   by spaces.  */
void fleet_set_wave (uint64_t number, const char *hosts, uint32_t duration_s,
                     uint32_t at_once);

#endif

/* admit - state that the admission of jobs is decided on; private to jobs/

   NAME
     admit       decides on new jobs
     admitstate  measures the state of pools and workspaces for it

   DESCRIPTION
     The state is measured at intervals, as that takes up to 3 ms with 3,000
     workers and as many jobs.  Jobs that are admitted meanwhile are added to
   it, also while they are on their way to the log.  */

#ifndef CUMINPIN_ADMIT_H
#define CUMINPIN_ADMIT_H

#include "schedint.h"
#include "turns.h"

/* An admitted job that is not yet folded.  */
typedef struct admitted
{
  char id[JOB_ID_BYTES];
  const char *pool;
  const char *workspace;
  admission_job_t job;
  amounts_t first_need; /* of all its first tasks */
  int64_t at_us;
} admitted_t;

/* What is known of a pool.  */
typedef struct pool_state
{
  admission_pool_t pool;
  amounts_t largest; /* free on any worker, by resource */
  uint32_t workers;  /* listed ... */
  uint32_t reported; /* ... and those that have reported */
} pool_state_t;

struct admit
{
  admission_turns_t *turns;
  GHashTable *pools;      /* interned name -> pool_state_t */
  GHashTable *workspaces; /* interned name -> admission_workspace_t */
  GHashTable *admitted;   /* id -> admitted_t */
  int64_t measured_us;    /* 0: not yet */
  bool refuses;
  uint32_t refused; /* since it refuses */
  int64_t refused_us;
};

/* admit_pool - the state of pool NAME, which is interned.
   admit_workspace - that of workspace NAME.  */
pool_state_t *admit_pool (admit_t *admit, const char *name);
admission_workspace_t *admit_workspace (sched_t *sched, const char *name);

/* admit_measure - measure the state anew.
   admit_measure_admitted - add ADMITTED to what is waiting.  */
void admit_measure (sched_t *sched, int64_t now_us);
void admit_measure_admitted (sched_t *sched, const admitted_t *admitted);

/* admit_times - COUNT times AMOUNTS.
   admit_worker_need - what a task of SPEC takes of a worker.  */
amounts_t admit_times (const amounts_t *amounts, uint32_t count);
amounts_t admit_worker_need (const job_step_t *spec);

#endif

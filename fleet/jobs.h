/* jobs - the data of place, schedule and reclaim; private to fleet  */

#ifndef CUMINPIN_JOBS_H
#define CUMINPIN_JOBS_H

#include "capacity_index.h"
#include "fleet.h"
#include "learn.h"

typedef struct job job_t;
typedef struct team_jobs team_jobs_t;
typedef struct worker worker_t;

typedef enum reclaim_kind
{
  RECLAIM_NONE,
  RECLAIM_CHECKPOINT,
  RECLAIM_STOP
} reclaim_kind_t;

/* One run of a job: its lease, and what it holds on its worker.  It outlives
   the job's stay there when the worker is lost.  */
typedef struct run
{
  uint64_t number;
  job_t *job; /* NULL: the job is queued again, the run may go on */
  team_jobs_t *team;
  worker_t *worker;
  amounts_t holds;
  int64_t cpu_cut; /* by throttling */
  int64_t lease_end_us;
  GSequenceIter *lease;
  GList on_worker;
  GList of_team;
  reclaim_kind_t reclaim;
  int64_t reclaim_since_us;
} run_t;

struct job
{
  char *id;
  char *kind;
  uint64_t kind_hash;
  uint64_t number; /* in order of submission */
  team_jobs_t *team;
  amounts_t declared;
  amounts_t need; /* to be reserved for its next run */
  amounts_t peak; /* use seen in this run */
  bool urgent;
  bool idempotent;
  bool can_checkpoint;
  bool cancelled;
  job_phase_t phase;
  GList link; /* in its team's queue */
  run_t *run;
  worker_t *failed_on[PLACE_FAIL_WORKERS];
  uint32_t failed_on_count;
  uint32_t failed_runs;
  worker_t *hold; /* kept free for this job */
  int64_t hold_since_us;
  int64_t blocked_since_us; /* at the head of its queue; 0: it is not */
  char *reason;
};

/* Queues of a team: a job that needs accelerators doesn't keep back those that
   need none.  */
struct team_jobs
{
  char *name;
  uint32_t share;
  uint32_t limit;
  uint32_t running; /* runs, with those on lost workers */
  uint32_t queued;
  amounts_t holds;
  amounts_t leaving;   /* part of holds that is being taken back */
  GQueue queues[2][2]; /* by urgency and need of accelerators */
  bool blocked[2][2];
  GQueue runs;
};

/* A failure on a worker; the job may be gone by now.  */
typedef struct fail_mark
{
  uint64_t job_number;
  uint64_t kind_hash;
} fail_mark_t;

struct worker
{
  char *name;
  amounts_t capacity;
  amounts_t free;
  uint32_t index; /* in the indexes */
  bool usable;
  bool bad;
  job_t *held_for;
  GQueue runs;
  fail_mark_t marks[PLACE_BAD_KINDS];
  uint32_t marks_count;
};

struct placement
{
  GHashTable *jobs;  /* id -> job_t */
  GHashTable *teams; /* name -> team_jobs_t */
  GPtrArray *team_list;
  GHashTable *workers;    /* name -> worker_t */
  GPtrArray *worker_list; /* in the order of the indexes */
  bool workers_changed;
  capacity_index_t free;     /* what usable workers have free */
  capacity_index_t capacity; /* of all workers */
  amounts_t total;           /* capacity of usable workers */
  uint64_t shares_total;
  uint32_t bad_count;
  GSequence *leases;    /* run_t by lease_end_us */
  GPtrArray *stops;     /* cancelled jobs to be told to stop */
  GPtrArray *holds;     /* jobs with a worker kept free */
  GPtrArray *throttled; /* run_t */
  learn_t *learn;
  uint64_t last_job;
  uint64_t last_run;
};

/* Steps decided so far.  */
typedef struct steps
{
  worker_command_t *steps;
  uint32_t count;
  uint32_t max;
  int64_t now_us;
} steps_t;

/* place.c */
void worker_index (placement_t *place, worker_t *worker);
void job_enqueue (job_t *job, bool first);
void job_dequeue (job_t *job);
void job_free (placement_t *place, job_t *job);
void job_hold (placement_t *place, job_t *job, worker_t *worker,
               int64_t now_us);
void job_unhold (placement_t *place, job_t *job);
void job_start (placement_t *place, job_t *job, worker_t *worker,
                steps_t *out);
job_t *find_run (const placement_t *place, const char *id, uint64_t run);
void run_free (placement_t *place, run_t *run);
void steps_add (steps_t *out, command_kind_t kind, const run_t *run);

/* schedule.c */
double team_part (const placement_t *place, const amounts_t *amounts);
void workers_sort (placement_t *place);

/* reclaim.c */
/* reclaim_for - take back lent capacity for the urgent JOB: throttle, else
   checkpoint, else stop.  It is started, or a worker is kept free for it.
   False when nothing can be taken back.  */
bool reclaim_for (placement_t *place, job_t *job, steps_t *out);

/* reclaim_advance - stop runs whose checkpoints take too long.  */
void reclaim_advance (worker_t *worker, steps_t *out);

/* reclaim_restore - give throttled runs their processors back where there is
   room again.  */
void reclaim_restore (placement_t *place, steps_t *out);

#endif

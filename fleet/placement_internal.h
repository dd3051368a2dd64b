/* placement_internal - data shared by placement, schedule, run_end and
   reclaim; private to fleet  */

#ifndef CUMINPIN_PLACEMENT_INTERNAL_H
#define CUMINPIN_PLACEMENT_INTERNAL_H

#include "capacity_index.h"
#include "fleet.h"
#include "usage.h"

typedef struct job job_t;
typedef struct team_jobs team_jobs_t;
typedef struct worker worker_t;

typedef enum reclaim_kind
{
  RECLAIM_NONE,
  RECLAIM_CHECKPOINT,
  RECLAIM_STOP
} reclaim_kind_t;

/* One run of a job: its lease and its resources on a worker.  When the worker
   is lost, the run stays until its lease has expired, even if the job has been
   queued again.  */
typedef struct run
{
  uint64_t number;
  job_t *job; /* NULL: queued again; the run may still go on */
  team_jobs_t *team;
  worker_t *worker;
  amounts_t allocated;
  int64_t cpu_cut; /* milli-CPU taken away by throttling */
  int64_t lease_end_us;
  GSequenceIter *lease_iter; /* in placement->leases */
  GList worker_link;
  GList team_link;
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
  amounts_t need; /* to be allocated to its next run */
  amounts_t peak; /* highest use reported for this run */
  bool urgent;
  bool idempotent;
  bool can_checkpoint;
  bool cancelled;
  job_phase_t phase;
  GList queue_link; /* in its team's queue */
  run_t *run;
  worker_t *failed_on[PLACEMENT_FAILED_WORKERS_MAX];
  uint32_t failed_on_count;
  uint32_t failed_runs;
  worker_t *reserved_worker; /* gets no other jobs */
  int64_t reserved_since_us;
  int64_t blocked_since_us; /* at the head of its queue; 0: not blocked */
  char *reason;
};

/* A team and its queues.  Jobs that need accelerators have their own queues,
   so that they do not block jobs that need none.  */
struct team_jobs
{
  char *name;
  uint32_t share;
  uint32_t limit;
  uint32_t running; /* runs, including those on lost workers */
  uint32_t queued;
  amounts_t allocated;
  amounts_t being_reclaimed; /* part of allocated */
  GQueue queues[2][2];       /* by urgency and need of accelerators */
  bool blocked[2][2];
  GQueue runs;
};

/* A failed run on a worker; its job may no longer exist.  */
typedef struct worker_failure
{
  uint64_t job_number;
  uint64_t kind_hash;
} worker_failure_t;

struct worker
{
  char *name;
  amounts_t capacity;
  amounts_t free;
  uint32_t index; /* in both capacity indexes */
  bool usable;
  bool excluded;
  job_t *reserved_for;
  GQueue runs;
  worker_failure_t failures[PLACEMENT_EXCLUDE_KINDS];
  uint32_t failures_count;
};

struct placement
{
  GHashTable *jobs;  /* id -> job_t */
  GHashTable *teams; /* name -> team_jobs_t */
  GPtrArray *team_list;
  GHashTable *workers;    /* name -> worker_t */
  GPtrArray *worker_list; /* in the order of the capacity indexes */
  bool workers_changed;
  capacity_index_t free_index;     /* free resources of usable workers */
  capacity_index_t capacity_index; /* of all workers */
  amounts_t total_capacity;        /* of usable workers */
  uint64_t total_shares;
  uint32_t excluded_count;
  GSequence *leases;        /* run_t by lease_end_us */
  GPtrArray *pending_stops; /* cancelled jobs whose runs have to be stopped */
  GPtrArray *reserved_jobs; /* jobs with a reserved worker */
  GPtrArray *throttled;     /* run_t */
  usage_history_t *usage;
  uint64_t last_job;
  uint64_t last_run;
};

/* Commands decided so far.  */
typedef struct command_list
{
  worker_command_t *commands;
  uint32_t count;
  uint32_t max;
  int64_t now_us;
} command_list_t;

/* placement.c */
void worker_update_index (placement_t *placement, worker_t *worker);
void job_enqueue (job_t *job, bool at_head);
void job_dequeue (job_t *job);
void job_free (placement_t *placement, job_t *job);
void job_reserve_worker (placement_t *placement, job_t *job, worker_t *worker,
                         int64_t now_us);
void job_release_worker (placement_t *placement, job_t *job);
void job_start (placement_t *placement, job_t *job, worker_t *worker,
                command_list_t *out);
job_t *find_job_by_run (const placement_t *placement, const char *id,
                        uint64_t run);
void run_free (placement_t *placement, run_t *run);
void command_list_add (command_list_t *out, command_kind_t kind,
                       const run_t *run);

/* schedule.c */
double dominant_share_of (const placement_t *placement,
                          const amounts_t *amounts);
void workers_rebuild_index (placement_t *placement);

/* reclaim.c */
/* reclaim_for_job - reclaims lent capacity for the urgent JOB by throttling,
   else checkpointing, else stopping runs.  JOB is started, or a worker is
   reserved for it.  Returns false when nothing can be reclaimed.  */
bool reclaim_for_job (placement_t *placement, job_t *job, command_list_t *out);

/* reclaim_stop_overdue - stops the idempotent runs on WORKER whose checkpoints
   take too long.  */
void reclaim_stop_overdue (worker_t *worker, command_list_t *out);

/* reclaim_restore_throttled - restores the processors of throttled runs where
   their workers have enough free again.  */
void reclaim_restore_throttled (placement_t *placement, command_list_t *out);

#endif

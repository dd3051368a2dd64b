/* model - workers, jobs and the rules on starts, for the model test

   The real scheduler runs beside workers in memory that follow the protocol.
   Each start that a worker carries out is held to the rules as the workers
   see it, not as the scheduler does.  Time is simulated.  */

#ifndef CUMINPIN_MODEL_H
#define CUMINPIN_MODEL_H

#include "rig.h"

/* Images of steps, and the target of long-running ones.  */
#define MODEL_IMAGES 5
#define MODEL_TARGET_MS 100
#define MODEL_WORKERS 8
#define MODEL_JOBS_MAX 400
#define MODEL_STEPS_MAX 3
#define MODEL_TASKS_MAX 4 /* of a step */
#define MODEL_STOP_GRACE_MS 200
#define MODEL_MAX_ATTEMPTS 3

typedef struct model_task
{
  bool done;             /* a run of it has ended `done` */
  bool done_noted;       /* and the end was taken note of ... */
  int64_t done_noted_us; /* ... at this time */
  uint32_t failed;       /* runs that have ended `failed` */
  uint32_t failed_noted;
} model_task_t;

typedef struct model_job
{
  uint32_t number;
  uint32_t workspace;
  job_step_t steps[MODEL_STEPS_MAX]; /* without lists */
  const char *labels[MODEL_STEPS_MAX];
  uint32_t steps_count;
  bool is_chain;        /* each step comes after the one before */
  int64_t cancelled_us; /* 0: it is not */
  /* By step, of a gang: the latest attempt that has begun, the value that its
     first member carried, and the most work that a member has saved.  */
  uint32_t gang_attempt[MODEL_STEPS_MAX];
  const char *gang_value[MODEL_STEPS_MAX]; /* interned */
  uint32_t gang_saved[MODEL_STEPS_MAX];
  model_task_t tasks[MODEL_STEPS_MAX][MODEL_TASKS_MAX];
} model_job_t;

typedef struct model_run
{
  task_ref_t task;
  uint32_t attempt;
  model_job_t *job;
  int64_t begun_us;
  int64_t takes_us; /* from its begin, or that of the last one of its gang */
  int64_t ends_us;  /* INT64_MAX: not known yet */
  uint32_t saved;   /* gang: checkpoints of work that it began with ... */
  int64_t work_from_us; /* ... and when its members went on; 0: not yet */
  run_end_kind_t ends_as;
  bool stopping; /* in neither list */
} model_run_t;

typedef struct model_end
{
  run_end_t end;
  model_job_t *job;
  bool lapsed;    /* the lease has lapsed since */
  bool restarted; /* the task was started since */
} model_end_t;

/* What the store says of a worker.  */
typedef struct model_entry
{
  bool listed;
  int64_t boot_ms;
  const char *label;
  worker_state_t state;
  uint32_t version; /* rises with each change */
  int64_t changed_us;
} model_entry_t;

typedef struct model_worker
{
  char id[8];
  const char *service;
  bool checks_capacity;
  bool keeps_label;
  amounts_t capacity;
  bool up;
  int64_t boot_us;
  int64_t boot_ms; /* since 1970 */
  const char *label;
  uint32_t clock_slow_permille;
  uint32_t slow_factor; /* its runs take this many times as long */
  uint64_t token;       /* highest seen */
  int64_t lease_end_ms; /* on its clock */
  GArray *runs;         /* of model_run_t */
  GArray *ends;         /* of model_end_t */
  uint64_t sequence;
  GHashTable *stopped; /* task -> highest attempt stopped or ended there */
  model_entry_t entry;
  int64_t registers_us; /* next change of its entry */
  int64_t removed_us;   /* when its entry is removed; 0: it is not */
  int64_t leaves_us;    /* it drains, and shuts down then; 0: it doesn't */
  int64_t up_again_us;
  int64_t cut_until_us;  /* no order arrives, and no reply leaves, before */
  uint32_t version_read; /* by the present owner */
  int64_t read_due_us;
  int64_t shown_boot_ms; /* the latest boot that the present owner knows of */
} model_worker_t;

/* What a worker knows of a start besides the order.  */
typedef struct model_origin
{
  bool is_present; /* its sender is the present owner ... */
  bool boot_shown; /* ... and knew of the worker's boot */
  int64_t sent_us;
  bool carried_late;
  bool token_compared; /* when it arrived, long before */
} model_origin_t;

/* A scheduler, of the present owner or of a former one.  */
typedef struct model_owner
{
  sched_t *sched; /* NULL: it has stopped */
  uint64_t epoch;
  int64_t stops_us; /* a former one goes on until then */
  int64_t progress_due_us;
  int64_t paused_until_us; /* its process is suspended */
  bool needs_resync;       /* it orders nothing before it has read the log */
} model_owner_t;

/* How often things go wrong in a run, in thousandths: of the orders, and of
   the boots; the others each 0.1 s.  */
typedef struct model_faults
{
  uint32_t lost;
  uint32_t late;
  uint32_t slow_boots;
  uint32_t restarts;
  uint32_t drains;
  uint32_t cuts;
  uint32_t outages;
  uint32_t claims;
  uint32_t pauses;
  uint32_t jobs;
  uint32_t cancels;
} model_faults_t;

typedef struct model
{
  GRand *rand;
  model_faults_t faults;
  bool trace;
  bool quiet; /* no faults any more */
  model_worker_t workers[MODEL_WORKERS];
  model_job_t jobs[MODEL_JOBS_MAX];
  uint32_t jobs_count;
  char *failure; /* first violation */
  uint32_t starts;
  GArray *owners; /* of model_owner_t; the last is the present one */
} model_t;

extern model_t model;

/* model_chance - true PERMILLE times of a thousand, never while quiet.
   model_between - a number from LOW to HIGH.  */
bool model_chance (uint32_t permille);
int64_t model_between (int64_t low, int64_t high);
void model_trace (const char *format, ...) G_GNUC_PRINTF (1, 2);
/* model_fail - record a violation, unless there is one.  */
void model_fail (const char *format, ...) G_GNUC_PRINTF (1, 2);

/* model_worker.c: a worker as PROTOCOL.md has it */
void model_worker_init (model_worker_t *worker, uint32_t number);
void model_worker_clear (model_worker_t *worker);
int64_t model_clock_ms (const model_worker_t *worker);
/* model_worker_boot - begin a life that knows nothing of the last one.
   model_worker_kill - end all that runs there.  */
void model_worker_boot (model_worker_t *worker, const char *label);
void model_worker_kill (model_worker_t *worker);
/* model_worker_run - end what has ended by now.  */
void model_worker_run (model_worker_t *worker);
/* model_worker_order - carry ORDER out.  */
reply_kind_t model_worker_order (model_worker_t *worker, const order_t *order,
                                 const model_origin_t *origin);
/* model_worker_report - its lists; the caller frees them.  */
worker_report_t model_worker_report (const model_worker_t *worker);
/* model_run_value - what RUN has saved, interned; "" if it isn't of a gang.
   model_gangs_run - let gangs work that are complete, and break the others. */
const char *model_run_value (const model_run_t *run);
void model_gangs_run (void);

/* model_net.c: the orders to workers and their replies, each of which may be
   delayed, lost or overtaken */
void model_net_open (void);
void model_net_close (void);
/* model_net_send - send ORDERS, and empty them.  */
void model_net_send (GArray *orders);
/* model_net_run - carry out what arrives now.  */
void model_net_run (void);

/* model_owner.c: the owners and the log */
void model_owners_open (void);
void model_owners_close (void);
model_owner_t *model_find_owner (uint64_t epoch);
bool model_is_present (const model_owner_t *owner);
/* model_drop_owner - OWNER stops, as a worker knows a later one.  */
void model_drop_owner (model_owner_t *owner);
bool model_owner_is_paused (void); /* the present one */
bool model_store_is_down (void);
/* model_trouble_owner - let go wrong what may, of the store and the owner.
   model_owners_calm - end it.  */
void model_trouble_owner (void);
void model_owners_calm (void);
/* model_claims_run - replace the owner if a claim is due.
   model_log_run - fold the records that are due.
   model_owners_run - let the owners plan, and record their progress.  */
void model_claims_run (void);
void model_log_run (void);
void model_owners_run (void);

/* model_check.c: jobs, and the rules on starts */
rules_t *model_rules (void);
/* model_submit - submit a random job.  */
void model_submit (void);
model_job_t *model_find_job (const task_ref_t *task);
model_task_t *model_task (model_job_t *job, const task_ref_t *task);
const job_step_t *model_step (const model_job_t *job, const task_ref_t *task);
char *model_task_name (const task_ref_t *task);
/* model_check_start - WORKER has begun RUN, which is among its runs.  */
void model_check_start (const model_worker_t *worker, const model_run_t *run,
                        const model_origin_t *origin);
/* model_check_value - RUN, of a gang, has begun with VALUE, interned or NULL;
   the checkpoints of work that it has.  */
uint32_t model_check_value (const model_run_t *run, const char *value);
/* model_note_end - END has reached last_seen of an owner.  */
void model_note_end (const model_end_t *end);
/* model_check_final - all jobs have to be final, and nothing runs.  */
void model_check_final (void);

#endif

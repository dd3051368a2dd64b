/* schedint - data shared by the modules of the scheduler: sched, build,
   stages, workers, boots, wakeups, holds, runs, inherit, silence, orphans,
   replies, judge, startwindow, startorder, waiting, place, advice, neighbours,
   pace, stall, hostorder, hosts, drain, waves, waveorders, demand, moves,
   evacuation, evacmoves, learned, expected, admit, fairness and explain.
   Private to jobs/.  */

#ifndef CUMINPIN_SCHEDINT_H
#define CUMINPIN_SCHEDINT_H

#include "evacuation.h"
#include "hostorder.h"
#include "interference.h"
#include "pacing.h"
#include "reasons.h"
#include "runtimes.h"
#include "shares.h"
#include "startwindow.h"

/* Clocks of workers may be 2 % slow; 1 % more covers rounding.  */
#define CLOCK_DRIFT_MAX_PERCENT 3
/* Added to the end of a lease, because a worker acts on it a little later.  */
#define LEASE_MARGIN_US 100000
/* Interval at which a worker whose lease has ended is looked after until the
   ownership is confirmed.  */
#define LEASE_RECHECK_US 20000
/* An unconfirmed stop is sent again after this time.  */
#define STOP_RETRY_US 250000
/* Added to the grace period of a confirmed stop before its run counts as over
   without a listed end: one round trip and the worker's own delay.  */
#define STOP_MARGIN_US 100000
/* Interval for placing tasks that wait for time to pass, such as the end of a
   worker's pause.  */
#define PLACE_RETRY_US 20000
/* A placement compares all steps that wait, and a backlog would have it
   repeated with each answer: beyond PLACE_STEPS_FREE steps the next one
   follows after PLACE_STEP_US for each of them, PLACE_PAUSE_MAX_US at most. */
#define PLACE_STEPS_FREE 100
#define PLACE_STEP_US 10
#define PLACE_PAUSE_MAX_US 10000
/* Shortest lease for a start.  With a shorter one the task would end with the
   lease before the ownership is confirmed again.  */
#define START_LEASE_MIN_US 1000000
/* Time for which orders of owners before are waited for where it can't be told
   which of them were sent.  It is to be longer than orders are held up.  */
#define DOUBT_WAIT_US 20000000
/* Pause of a worker after it lacked capacity or was unhealthy.  */
#define WORKER_PAUSE_US 250000
/* A worker that was asked and hasn't answered for this time gets no new tasks.
   It covers two consecutive holds and the timeouts of their answers.  */
#define WORKER_SILENCE_MAX_US 1200000

/* Which of a worker's boots a message is from.  */
typedef enum boot_match
{
  BOOT_PRESENT,
  BOOT_FIRST,  /* none was known */
  BOOT_FORMER, /* registrations are read later than reports arrive, and reports
                  on different connections overtake each other */
  BOOT_NEXT
} boot_match_t;

typedef struct sched_job sched_job_t;
typedef struct stage stage_t;
typedef struct task task_t;
typedef struct run run_t;
typedef struct worker worker_t;
typedef struct pool pool_t;
typedef struct workspace workspace_t;
typedef struct host host_t;
typedef struct wave wave_t;
typedef struct advice advice_t;
typedef struct admit admit_t;

/* A worker that gets no leases from this owner, as the log says.  */
typedef struct silence
{
  int64_t until_us;      /* leases of earlier owners have ended by then;
                            INT64_MAX: unknown */
  uint64_t answer_batch; /* in which it is recorded that the worker answers;
                            0: it isn't */
} silence_t;

typedef enum run_phase
{
  RUN_PLANNED, /* its progress record is not yet durable */
  RUN_ORDERED, /* the start was sent */
  RUN_ACTIVE,  /* the worker runs it */
  RUN_STOPPING /* it has to be stopped */
} run_phase_t;

/* One attempt at a task, until it is certainly over.  task->run is the current
   one; others are earlier attempts or speculative copies.  All of them count
   for the limits of workers and workspaces.  */
struct run
{
  task_t *task;
  worker_t *worker;
  uint32_t attempt;
  run_phase_t phase;
  amounts_t reserved; /* counted in worker->allocated */
  amounts_t charged;  /* counted in workspace->allocated */
  int64_t planned_us;
  uint64_t batch;            /* PLANNED: batch of its progress record */
  int64_t active_us;         /* first reported as running; 0: not yet */
  int64_t stop_sent_us;      /* last sent; 0: not yet */
  int64_t stop_confirmed_us; /* 0: not yet */
  bool never_sent;           /* STOPPING: its start was never sent */
  bool stop_when_listed;     /* known from the log alone: most such runs have
                                ended, and a stop of each would delay others */
  bool start_in_doubt;   /* an earlier owner recorded it, and its worker has
                            not listed it: its start may be carried out
                            late */
  bool stopped_in_doubt; /* STOPPING: only as its start was in doubt */
  bool stop_dispatched;  /* a stop was handed to the connection */
  bool end_recorded;     /* its own end is in the progress */
  bool start_answered;   /* active_us is when its worker accepted it */
  bool start_pending;    /* counted in sched->starts_pending ... */
  rank_t start_rank;     /* ... for this rank */
  uint32_t unanswered_starts; /* number of unanswered starts */
  int64_t resend_us;          /* ORDERED: next resend; 0: awaiting a reply */
  uint32_t percent;
  uint32_t load;
  int64_t progress_us;   /* percent changed last */
  uint32_t pace_percent; /* confirmed by the worker */
  int64_t pace_sent_us;  /* last sent */
  /* Used only while interference is avoided.  */
  uint32_t image;               /* its number */
  uint32_t pace_wanted_percent; /* of a filler task */
  uint32_t pace_before_percent; /* confirmed before pace_percent */
  int64_t pace_confirmed_us;    /* pace_percent was confirmed; 0: never */
  bool pace_in_doubt;           /* the last order has no answer yet */
  bool adopted; /* it began under an earlier owner: since when, and at which
                   pace, isn't known */
  int64_t unlisted_us; /* missing from its worker's lists since; 0: listed */
  shares_account_t *account; /* that its use is counted in; NULL: none */
};

/* A run that a worker lists and whose job the scheduler doesn't have.  */
typedef struct orphan
{
  task_ref_t task;
  uint32_t attempt;
  int64_t unlisted_us; /* missing from its worker's lists since; 0: listed */
} orphan_t;

struct task
{
  stage_t *stage;
  uint32_t index;
  uint32_t attempt; /* last attempt number used */
  failures_t failures;
  bool done;
  bool restarted;   /* was started elsewhere because its worker was slow */
  char *checkpoint; /* last reported; NULL: none, or of a gang */
  run_t *run;
  uint32_t run_count; /* including earlier attempts and copies */
  int64_t not_before_us;
  const char *avoid_worker; /* interned; worker of its last failed run */
  int64_t avoid_until_us;   /* no start there before this time */
};

/* The tasks of one step in one occurrence of a job.  */
struct stage
{
  sched_job_t *job;
  uint32_t occurrence;
  uint32_t step;
  const job_step_t *spec;
  task_t *tasks;
  uint32_t unfinished;
  uint32_t steps_pending;      /* required steps that are not done */
  uint32_t unstarted;          /* tasks without a run */
  uint32_t attempt;            /* gang: last attempt number used */
  failures_t gang_failures;    /* gang: failures of all tasks together */
  char *checkpoint;            /* gang: newest that a member reported ... */
  uint32_t checkpoint_attempt; /* ... and the attempt that saved it */
  char *start_checkpoint;      /* gang: carried by all starts of the attempt */
  uint32_t stay_logged;        /* gang: sched->evacuations_begun when it was
                                  logged that it can't move out */
  bool queued;                 /* in pool->stages */
  int64_t lacks_worker_us;     /* no worker could take its next task in any
                                  plan since then; 0: that isn't so */
  advice_t *advice;            /* NULL: not requested yet */
  int64_t waiting_us;         /* first plan of this owner in which it had tasks
                                 to start; 0: none */
  int64_t waits_since_us;     /* first plan in which it waited, while shares
                                 are kept; 0: none */
  uint32_t image;             /* its number; IMAGES_NONE: unknown */
  const partners_t *partners; /* of the image; NULL: it has none.  The list of
                                 another one, if that has taken its place */
};

/* Images on a worker beyond this many are not counted: the placement compares
   them for each worker that it considers.  */
#define WORKER_IMAGES_MAX 16

typedef struct occurrence
{
  stage_t *stages;     /* NULL: not due yet */
  uint32_t unfinished; /* tasks */
} occurrence_t;

struct sched_job
{
  job_desc_t *desc;
  queue_settings_t settings; /* as last read; at first those of its record */
  pool_t *pool;              /* of its service */
  workspace_t *workspace;
  occurrence_t *occurrences;
  uint32_t next_occurrence; /* first one that is not due yet */
  uint32_t unfinished;      /* occurrences */
  uint32_t run_count;
  bool over_share; /* submitted beyond its workspace's share */
  bool begun;
  bool ended; /* final; only its runs have to stop */
  int64_t accepted_us;
  int64_t started_us; /* first planned start; 0: none */
  uint32_t returned;  /* runs that were closed before their task was done */
  int64_t *chain_from_ms;  /* by step: longest chain of estimates from it */
  int64_t chain_ms;        /* longest chain of the job */
  int64_t work_mcore_ms;   /* all tasks of an occurrence, milli-core ms */
  const char *last_worker; /* interned; worker of its last start ... */
  const char *last_rack;   /* ... the worker's rack; NULL: unknown ... */
  const char *last_data_centre; /* ... and data centre; NULL: no start yet */
  const job_entry_t *entry;     /* recorded progress, only while it is added */
};

struct worker
{
  char *id;
  const char *interned;
  const char *address;     /* interned; NULL: not registered with this owner */
  const char *data_centre; /* interned */
  const char *rack;        /* interned or NULL */
  const char *host;        /* that it registered on; interned or NULL */
  char **labels;
  pool_t *pool;
  amounts_t capacity;
  amounts_t allocated;
  uint64_t image_set;         /* partners_bit of IMAGES */
  uint32_t tail_percent;      /* worst tail latency by its target; 0: none */
  int64_t boot_ms;            /* 0: unknown */
  int64_t former_boot_ms;     /* before that; 0: none known */
  uint32_t boot_number;       /* restarts that are known */
  int64_t boot_known_us;      /* since when that is its present boot, or it was
                                 added */
  int64_t registered_boot_ms; /* that its registration is of; 0: unknown */
  int64_t doubted_us; /* it seems to have restarted since; 0: no doubt */
  worker_state_t state;
  bool listed;
  bool has_reported; /* has answered a hold in this epoch */
  bool has_clock;
  bool cordoned;       /* gets no new tasks, so that its host can be drained */
  bool going_down;     /* its host has been ordered down */
  int64_t in_doubt_us; /* an order that may end it at any time was sent then,
                          or this owner has learned of it; 0: there is none */
  bool granted;        /* this owner has granted it a lease */
  bool maintenance_due; /* a wave will take its host down */
  int64_t clock_ms;
  int64_t clock_read_us;
  int64_t lease_end_ms; /* latest deadline granted, on its clock */
  int64_t answered_us;
  int64_t report_sent_us; /* when the hold of its last report was sent */
  bool unreachable;
  uint32_t holds_lost;   /* consecutive */
  uint32_t holds_failed; /* consecutive, for any reason */
  bool hold_pending;
  bool first_hold;       /* the one pending is counted in sched->first_holds */
  int64_t asked_us;      /* first hold sent since it answered last; 0: none */
  int64_t hold_due_us;   /* while it is idle, idle_pause_us later */
  uint64_t ends_seen;    /* last end that was processed */
  uint64_t ends_batch;   /* batch in which these ends become durable */
  uint64_t ends_durable; /* last durable end */
  uint64_t ends_sent;    /* last one to forget, in the last hold */
  uint64_t closed_batch; /* in which it is recorded that its last closed run
                            is over; 0: none was closed */
  uint64_t ends_forgotten; /* the same, in the last hold that was answered */
  GPtrArray *runs;
  GArray *orphans; /* of orphan_t */
  uint32_t consecutive_failures;
  int64_t suspect_until_us;
  bool evacuated;       /* its data centre is withdrawn from use */
  bool cold_open;       /* it may get tasks although it is cold */
  int64_t cold_from_us; /* its data centre was taken back; 0: it wasn't */
  int64_t warm_us;      /* it is warm from then on */
  uint32_t filler_pace_percent;       /* pace of the filler tasks */
  int64_t pace_changed_us;            /* last change */
  const interference_t *interference; /* NULL: it is not avoided */
  uint32_t images[WORKER_IMAGES_MAX]; /* of its runs, each one once */
  uint32_t images_count;
  int64_t learned_us; /* its report was last learned from */
  pacing_state_t pacing;
  silence_t *silence;        /* NULL: none */
  int64_t wake_us;           /* when it needs attention */
  GSequenceIter *wake_place; /* in sched->wakeups */
  bool taken;                /* it is looked after in this plan */
  bool awaits_batch;         /* in sched->batch_waiters */
};

struct pool
{
  const char *name;
  GPtrArray *workers;
  GPtrArray *stages;     /* stages that have tasks to start */
  amounts_t unplaceable; /* no worker has this much free in this plan ... */
  bool has_unplaceable;  /* ... valid if set */
  uint32_t base_hosts;   /* number of hosts when they were first listed */
  /* when it began to need more hosts; 0: it is not short */
  int64_t short_since_us;
  /* when it began to have a surplus; 0: it has none that can be released */
  int64_t surplus_since_us;
  amounts_t host_room; /* of one of its hosts, as last seen */
  /* host time that new jobs asked for since the last update of the rates */
  double arrived_host_ms;
  /* hosts that new jobs ask for, smoothed over a short time */
  double rate_fast;
  /* hosts that new jobs ask for, smoothed over a long time */
  double rate_slow;
  /* last update of the rates; 0: none yet */
  int64_t rates_updated_us;
  double burst_peak;      /* most hosts kept busy in the last burst */
  int64_t burst_ended_us; /* end of the last burst */
  bool in_burst;          /* demand is high */
  int64_t calm_since_us;  /* low demand in a burst since; 0: not low */
  bool scaled_down;       /* after its burst: keeps only what it needs */
  const pool_t *burst_predecessor; /* whose burst began before the last one */
  shares_t *shares;                /* NULL: use over time does not count */
};

/* Whether it is stored that a host will be ordered down for a wave.  */
typedef enum order_record
{
  ORDER_UNRECORDED,
  ORDER_RECORDING,
  ORDER_RECORDED
} order_record_t;

/* A host that a worker runs on.  */
struct host
{
  const char *name;        /* interned */
  const char *pool;        /* interned */
  const char *data_centre; /* interned; NULL: not listed */
  bool evacuated;          /* that is withdrawn from use */
  const char *worker;      /* interned; "": none */
  host_status_t state;
  bool listed;
  bool cordoned; /* by a wave or a move */
  int64_t cordoned_us;
  host_ordered_t order; /* that may be under way */
  order_record_t order_record;
  uint64_t order_record_wave; /* of the record, unless there is none */
  int64_t order_record_us;    /* recorded, or the order was refused last */
  bool maintenance_due;       /* a wave will take it down */
  int64_t retry_us;           /* no order before */
  int64_t next_log_us;        /* no log line about it before */
  const char *move_to;        /* interned: destination pool; NULL: none */
};

struct workspace
{
  const char *name;
  rules_workspace_t rule; /* as last read; all zero: none was read */
  amounts_t allocated;
  double allowance;     /* jobs that it may submit, as of ... */
  int64_t allowance_ms; /* ... this time, since 1970 */
};

struct sched
{
  uint64_t epoch;
  sched_limits_t limits;
  const rules_t *rules;
  GHashTable *jobs;          /* id -> sched_job_t */
  GHashTable *workers;       /* id -> worker_t */
  GSequence *wakeups;        /* all workers, by wake_us */
  GHashTable *silent;        /* interned worker -> silence_t */
  int64_t listed_us;         /* when all registrations were read; 0: not yet */
  int64_t sweep_us;          /* when all workers are due */
  GPtrArray *batch_waiters;  /* worker_t with planned starts or ends that wait
                                until a batch is durable */
  GHashTable *pools;         /* name -> pool_t */
  GHashTable *workspaces;    /* name -> workspace_t */
  amounts_t host_room;       /* of some host, as seen last */
  GPtrArray *recurring_jobs; /* sched_job_t with future occurrences */
  GArray *orders;            /* orders of the current plan */
  /* Progress to append.  */
  GArray *placed;   /* of task_placed_t */
  GArray *ends;     /* of task_end_t */
  GArray *over;     /* of run_over_t */
  GArray *silences; /* of worker_silence_t */
  GArray *values;   /* of gang_value_t, before the starts that carry them */
  GArray *changes;
  GHashTable *hosts;           /* interned name -> host_t */
  GHashTable *workers_by_host; /* interned name -> array of worker_t */
  GPtrArray *waves;            /* wave_t */
  GArray *advice_requests;     /* advice_request_t to send */
  uint32_t advice_pending;     /* requests in flight */
  int64_t advice_pending_ms;   /* that the service needs for them */
  int64_t advice_free_us;      /* when it has processed all requests so far */
  uint32_t advice_backoff;     /* doublings of the timeout */
  GArray *host_orders;         /* to be sent */
  GArray *fleet_updates;       /* to be recorded */
  int64_t hosts_read_us;       /* last list of hosts; 0: none yet */
  bool first_hosts_list;       /* the list is the first one */
  pool_t *last_burst_pool;     /* whose burst began last */
  int64_t rates_inherited_us;  /* from a summary; 0: none */
  bool bursts_inherited;       /* scaled_down is known from a summary */
  uint32_t moves_started;
  bool hosts_in_transit; /* some hosts are down, moving or in maintenance */
  bool hosts_stale;      /* an order was accepted since the last list */
  int64_t next_hosts_plan_us;
  int64_t confirmed_us;       /* time of the last confirmed ownership */
  int64_t rules_confirmed_us; /* all records of the operators that were stored
                                 before are known; 0: not read yet */
  bool starts_held;           /* because that is too long ago */
  const centres_t *centres;   /* withdrawn or taken back; NULL: none */
  GArray *evacuations;        /* of evacuation.c; NULL: none yet */
  uint32_t evacuations_begun; /* so far */
  int64_t next_evacuation_us;
  uint32_t evacuation_cursor; /* next candidate for a move */
  int64_t cold_until_us;      /* some workers are cold until then */
  int64_t lease_limit_us;     /* latest end of a lease */
  uint64_t batch;             /* number of the batch being collected */
  int64_t started_us;
  int64_t next_us;
  uint64_t durable_batch;  /* last batch read back from the log */
  uint32_t busy_percent;   /* load of the owner, as reported last */
  int64_t hold_pause_us;   /* pause before the next hold to a worker */
  int64_t idle_pause_us;   /* the same, in addition, for an idle worker */
  uint32_t first_holds;    /* pending, to workers that were not asked before */
  bool has_unwritten_ends; /* ends were reported since the last batch */
  bool place_needed;       /* a change may allow a task to start */
  int64_t next_place_us;   /* time of the next placement without a change */
  int64_t place_pause_us;  /* no placement before this time */
  uint32_t starts_pending[RANK_COUNT]; /* runs whose start is unanswered */
  start_window_t start_window;
  int64_t waiting_logged_us;    /* 1609 was logged last */
  int64_t limited_logged_us;    /* 1610 was logged last */
  uint32_t limited_plans;       /* that were limited since */
  interference_t *interference; /* NULL: it is not avoided */
  runtimes_t *runtimes;         /* NULL: estimates are used */
  admit_t *admit;               /* NULL: all jobs are admitted */
  shares_t *shares;             /* NULL: use over time does not count */
  int64_t start_delay_us; /* from a plan until its starts are ordered, which
                             waits for the log; smoothed */
};

/* sched.c: creation, progress records and the plan */
pool_t *sched_pool (sched_t *sched, const char *name);
/* sched_workspace - the workspace NAME, which is interned; added if new.  */
workspace_t *sched_workspace (sched_t *sched, const char *name);
void sched_wake_at (sched_t *sched, int64_t at_us);

/* build.c: jobs and their stages, outside of the scheduler's tables */
/* job_build - a job of DESC in WORKSPACE without stages and without a pool.
   job_build_stages - add the stages of occurrence K of JOB, with no progress.
 */
sched_job_t *job_build (job_desc_t *desc, workspace_t *workspace,
                        sched_now_t now);
void job_build_stages (sched_job_t *job, uint32_t k);
void sched_job_free (gpointer data);

/* stages.c: jobs, their stages and tasks */
/* stage_enqueue - add STAGE to its pool's stages if a task of it may
   start.  */
void stage_enqueue (sched_t *sched, stage_t *stage);
/* job_update_settings - set JOB's settings and pool from the rules.  They stay
   as they are if the rules lack its queue: it was removed, or its owner has
   not read it yet.  */
void job_update_settings (sched_t *sched, sched_job_t *job);
task_t *sched_task (const sched_t *sched, const task_ref_t *ref);
task_ref_t task_ref (const task_t *task);
void job_mark_running (sched_t *sched, sched_job_t *job);
void job_end (sched_t *sched, sched_job_t *job);
/* job_free_if_idle - free JOB if it has ended and has no runs.  */
void job_free_if_idle (sched_t *sched, sched_job_t *job);
/* job_due_ms - Unix time of occurrence K of a job that repeats.  */
int64_t job_due_ms (const job_desc_t *desc, uint32_t k);
void job_open_due_occurrences (sched_t *sched, sched_job_t *job,
                               sched_now_t now);
/* task_record_end - record that ATTEMPT of TASK is done or failed.  False: it
   isn't recorded, as it changes nothing.  */
bool task_record_end (sched_t *sched, task_t *task, uint32_t attempt,
                      bool done, sched_now_t now);
void task_requeue (sched_t *sched, task_t *task);
uint32_t task_next_attempt (const task_t *task);

/* job_exceeds_share - whether DESC would be beyond WORKSPACE's share if it
   were added after PENDING other jobs of it.  */
bool job_exceeds_share (const workspace_t *workspace, const job_desc_t *desc,
                        uint32_t pending);

/* checkpoints.c: the values that tasks continue from

   All members of a gang's attempt have to start with one value, and the value
   of any member is valid for all.  It is chosen when the attempt is planned,
   recorded before the first start, and kept for all starts and their repeats.
   Only the owner that planned an attempt starts it; a later owner stops it if
   a start may be missing, and the next attempt continues from the recorded
   value or a newer one.  */
/* checkpoint_learn - ATTEMPT of TASK has saved VALUE; NULL or "": nothing.
   checkpoint_begin_gang - choose and record the value of ATTEMPT, which is
   planned now for the gang STAGE.
   checkpoint_inherit - an earlier owner recorded ROW, or nothing if NULL, for
   the gang STAGE.
   checkpoint_of_start - what a start of TASK carries; NULL: none.
   checkpoints_clear - free the values of STAGE and its tasks.  */
void checkpoint_learn (task_t *task, uint32_t attempt, const char *value);
void checkpoint_begin_gang (sched_t *sched, stage_t *stage, uint32_t attempt);
void checkpoint_inherit (stage_t *stage, const gang_value_t *row);
const char *checkpoint_of_start (const task_t *task);
void checkpoints_clear (stage_t *stage);

/* runs.c: attempts at tasks */
run_t *run_new (sched_t *sched, task_t *task, worker_t *worker,
                uint32_t attempt, sched_now_t now);
/* run_new_extra - a run of TASK that is not its current one.  */
run_t *run_new_extra (sched_t *sched, task_t *task, worker_t *worker,
                      uint32_t attempt, sched_now_t now);
/* run_clear_start_pending - RUN's start was answered or won't be.  */
void run_clear_start_pending (sched_t *sched, run_t *run);
/* run_unplan - undo run_new in the same plan.  Unlike run_close it is no
   reason for another plan.  */
void run_unplan (sched_t *sched, run_t *run);
/* run_close - RUN is certainly over for the reason WHY. Its task is queued
   again unless it is done.  */
void run_close (sched_t *sched, run_t *run, const char *why, sched_now_t now);
/* gang_stop - stop all runs of RUN's gang, as RUN won't take part: the others
   would wait for it in vain.  Does nothing if RUN isn't of a gang.  */
void gang_stop (sched_t *sched, const run_t *run);
/* run_abandon - close RUN, which has not started, and stop the rest of its
   gang.  */
void run_abandon (sched_t *sched, run_t *run, const char *why,
                  sched_now_t now);
void run_stop (sched_t *sched, run_t *run);
/* run_may_be_interrupted - whether an order that ends RUN leaves its step with
   at most max_unavailable of its tasks unavailable, as far as is known.  Asked
   each time before such an order is sent, repeats included: meanwhile other
   tasks may have become unavailable.  */
bool run_may_be_interrupted (const run_t *run, int64_t now_us);
/* task_log_interrupted - log that an order of kind BY, given for the reason
   WHY, ends ATTEMPT of TASK on WORKER, if the task is long-running and its job
   goes on.  */
void task_log_interrupted (const task_t *task, uint32_t attempt,
                           const worker_t *worker, const char *by,
                           const char *why, int64_t now_us);
/* stage_unavailable - tasks of STAGE other than TASK that are not serving.  */
uint32_t stage_unavailable (const stage_t *stage, const task_t *task,
                            int64_t now_us);
/* task_avoid_worker - prefer workers other than WORKER for the next start of
   TASK.  */
void task_avoid_worker (task_t *task, const worker_t *worker, sched_now_t now);
/* run_detach - let RUN's task start elsewhere while RUN goes on.  Allowed if
   the task may run twice or RUN can't start any more.  */
void run_detach (sched_t *sched, run_t *run);
run_t *run_find (const worker_t *worker, const task_t *task, uint32_t attempt);
/* run_find_anywhere - the same on all workers.  */
run_t *run_find_anywhere (const sched_t *sched, const task_t *task,
                          uint32_t attempt);
/* run_is_listed - whether REPORT says that RUN goes on.  */
bool run_is_listed (const run_t *run, const worker_report_t *report);
/* worker_close_runs - all runs of WORKER are over for the reason WHY.  */
void worker_close_runs (sched_t *sched, worker_t *worker, const char *why,
                        sched_now_t now);
/* job_stop_runs - stop all runs of JOB's task TASK, or of all its tasks if
   NULL.  */
void job_stop_runs (sched_t *sched, const sched_job_t *job,
                    const task_t *task);
/* task_is_serving - whether a long-running task runs at full speed.  */
bool task_is_serving (const task_t *task, int64_t now_us);

/* workers.c: workers, their clocks and leases */
int64_t worker_lease_end_us (const sched_t *sched, const worker_t *worker);
int64_t worker_clock_at (const worker_t *worker, int64_t now_us);
void worker_free (gpointer data);
/* workers_check_timeouts - close runs on the workers DUE whose stop or lease
   has timed out.  Unlisted workers without runs are removed, also from DUE. */
void workers_check_timeouts (sched_t *sched, GPtrArray *due, sched_now_t now);
void worker_plan_orders (sched_t *sched, worker_t *worker, sched_now_t now);
/* worker_deadline_ms - the end of a lease granted now, on WORKER's clock; 0
   when none may be granted.  */
int64_t worker_deadline_ms (const sched_t *sched, worker_t *worker,
                            int64_t now_us);
worker_t *worker_add (sched_t *sched, const char *id, pool_t *pool,
                      sched_now_t now);
/* sched_add_order - add ORDER, which is for WORKER, to the plan.  */
void sched_add_order (sched_t *sched, const worker_t *worker, order_t order);
/* sched_inherits_leases - whether a lease of an earlier owner may still be
   valid.  */
bool sched_inherits_leases (const sched_t *sched, int64_t now_us);
/* stop_duration_max_us - longest time from a confirmed stop to the end of its
   run.  */
int64_t stop_duration_max_us (const sched_t *sched);

/* boots.c: restarts of workers under their ids */
/* worker_reset - the runs of WORKER are over, as SOURCE shows.  */
void worker_reset (sched_t *sched, worker_t *worker, const char *source,
                   sched_now_t now);
/* worker_match_boot - which boot of WORKER began at BOOT_MS; 0: its present
   one.  Boots aren't compared by time, as clocks are stepped.  */
boot_match_t worker_match_boot (const worker_t *worker, int64_t boot_ms);
/* worker_set_boot - the present boot of WORKER began at BOOT_MS.  */
void worker_set_boot (worker_t *worker, int64_t boot_ms);
/* worker_confirm_boot - a report that was requested at SENT_US shows the boot
   BOOT_MS, which is MATCH.  The runs of a former boot stay: the caller closes
   them when it has processed the report.  */
void worker_confirm_boot (sched_t *sched, worker_t *worker, boot_match_t match,
                          int64_t boot_ms, int64_t sent_us, sched_now_t now);
/* worker_doubt_boot - WORKER seems to have restarted under its id, as SOURCE
   shows.  It gets no starts and no leases until a report shows its boot: its
   clock and the numbers of its ends begin anew.  Starts that were sent
   meanwhile may have been carried out by either boot, so no run is closed.  */
void worker_doubt_boot (sched_t *sched, worker_t *worker, const char *source,
                        sched_now_t now);
/* worker_registration_is_current - whether WORKER's service, labels, capacity
   and state are those of its present boot.  */
bool worker_registration_is_current (const worker_t *worker);
/* run_may_be_on_next_boot - whether RUN's worker is in doubt and did not show,
   by a report that was requested since RUN began, that its known boot has
   carried out all its starts.  */
bool run_may_be_on_next_boot (const run_t *run);
/* worker_clock_is_behind - whether the clock in REPLY is that of a later boot:
   it shows less than WORKER's clock had to show when REPLY was requested.  */
bool worker_clock_is_behind (const worker_t *worker,
                             const worker_reply_t *reply);
/* worker_close_former_runs - close the runs of WORKER that ended with its
   former boot: those that were active before REPORT, the first one of the
   present boot, was requested at SENT_US by HOLD, and that it doesn't list.
   They are stopped instead if one of their starts has no answer: the present
   boot may carry it out late.  Others may run on the present boot, and one
   that is being stopped is in neither list for the duration of the stop; a
   stop that the former boot has confirmed is ordered again.  Starts that were
   not sent yet are placed anew, as the worker may be of another kind.  The
   lease counts as the longest one if an order with a deadline was carried
   out.  */
void worker_close_former_runs (sched_t *sched, worker_t *worker,
                               const order_t *hold,
                               const worker_report_t *report, int64_t sent_us,
                               sched_now_t now);

/* wakeups.c: which workers need attention.  A plan looks after those that are
   due, and not after all of them: with 540 workers that took the owner most of
   its time.  */
void wakeups_add_worker (sched_t *sched, worker_t *worker, int64_t now_us);
void wakeups_remove_worker (sched_t *sched, worker_t *worker);
/* worker_wake_at - look after WORKER at AT_US or earlier.  */
void worker_wake_at (sched_t *sched, worker_t *worker, int64_t at_us);
/* worker_await_batch - look after WORKER once the present batch is durable. */
void worker_await_batch (sched_t *sched, worker_t *worker);
/* wakeups_take - append the workers that are due to DUE and set taken, unless
   it is set already.  */
void wakeups_take (sched_t *sched, GPtrArray *due, int64_t now_us);
int64_t wakeups_next_us (const sched_t *sched);

/* holds.c: when each worker is asked for its lists, and leases extended */
/* worker_is_answering - whether WORKER answered the last hold.  Until it does,
   its lease isn't extended; otherwise its tasks would never restart
   elsewhere.  */
bool worker_is_answering (const worker_t *worker);
/* worker_is_silent - whether WORKER has been asked and has not answered for
   WORKER_SILENCE_MAX_US.  A worker that was not asked is not silent.  */
bool worker_is_silent (const worker_t *worker, int64_t now_us);
/* worker_silent_ms - time since WORKER answered a hold; -1: it has not.  */
int64_t worker_silent_ms (const worker_t *worker, int64_t now_us);
/* holds_plan - order a hold of WORKER if it is due.  */
void holds_plan (sched_t *sched, worker_t *worker, sched_now_t now);
/* holds_clear_pending - the hold of WORKER, if any, has ended.  */
void holds_clear_pending (sched_t *sched, worker_t *worker);
/* holds_process_failure - WORKER's hold failed with KIND.  False: a later
   owner exists.  */
bool holds_process_failure (sched_t *sched, worker_t *worker,
                            reply_kind_t kind, sched_now_t now);
/* holds_process_answer - WORKER has answered a hold.
   holds_schedule_next - set when its next hold is due; its report was
   processed.  */
void holds_process_answer (sched_t *sched, worker_t *worker, int64_t now_us);
void holds_schedule_next (const sched_t *sched, worker_t *worker,
                          int64_t now_us);

/* inherit.c: runs that an earlier owner recorded */
/* inherit_stop_unlisted - RUN, whose start is in doubt, is in neither list of
   its worker.  It is stopped, so that the worker refuses its start from then
   on, and its task waits until the stop is confirmed.  */
void inherit_stop_unlisted (sched_t *sched, run_t *run, sched_now_t now);
/* inherit_process_listed - RUN is in the list of its worker.  If it was
   stopped only because its start was in doubt, and no stop was sent, it goes
   on.  */
void inherit_process_listed (run_t *run);
/* inherit_runs - expect the runs of TASK that may go on according to PROGRESS.
   A done task, or one of an ended job, may have one that has not ended.  They
   count until their worker lists its runs or its lease has expired.  */
void inherit_runs (sched_t *sched, task_t *task,
                   const task_progress_t *progress, sched_now_t now);

/* silence.c: workers that may have leases of earlier owners and don't answer.
   A new owner waits for the longest lease of a worker that it can't reach.
   Owners that follow each other would wait anew each, so an owner records that
   it grants such a worker no leases, and how long those of others last.  */
/* silences_inherit - start from what TABLE says.
   silence_attach - set the silence of WORKER, which was added.
   silence_check - record that WORKER is silent, if it is.
   silence_end - WORKER has answered, or is gone; it is recorded, and once that
   is durable leases may be granted again.
   silences_end_unknown - the same for workers that are neither registered nor
   have runs.
   silences_set_durable - records were read back from the log.  */
void silences_inherit (sched_t *sched, const jobtab_t *table);
void silence_attach (const sched_t *sched, worker_t *worker);
void silence_check (sched_t *sched, worker_t *worker, int64_t now_us);
void silence_end (sched_t *sched, const worker_t *worker);
void silences_end_unknown (sched_t *sched);
void silences_set_durable (sched_t *sched);

/* orphans.c: runs that a worker lists and that are not expected there.  Those
   of a known task become runs of it.  What those of an unknown job need isn't
   known, so their worker gets no tasks until they have ended.  */
/* orphans_adopt - the run for STATUS, which WORKER lists and the scheduler
   doesn't have; it is stopped unless its task may go on there.  NULL: its job
   isn't known.  */
run_t *orphans_adopt (sched_t *sched, worker_t *worker,
                      const run_status_t *status, sched_now_t now);
/* orphans_process_report - remove the orphans of WORKER that have ended
   according to REPORT, which was requested at SENT_US.  */
void orphans_process_report (sched_t *sched, worker_t *worker,
                             const worker_report_t *report, int64_t sent_us,
                             sched_now_t now);
/* orphans_check_leases - remove the orphans of WORKER if its leases have
   expired.  */
void orphans_check_leases (sched_t *sched, worker_t *worker, sched_now_t now);
/* orphans_clear - the orphans of WORKER are over.  */
void orphans_clear (sched_t *sched, worker_t *worker);
/* orphans_due_us - when a report of WORKER may show that an orphan has ended;
   INT64_MAX: it has none that is being stopped.  */
int64_t orphans_due_us (const sched_t *sched, const worker_t *worker);

/* replies.c: answers to orders */
/* reply_kind_name - KIND as it stands in log lines.  */
const char *reply_kind_name (reply_kind_t kind);

/* hosts.c: the list of hosts and orders for them */
void host_free (gpointer data);
/* host_workers - the workers on HOST as far as is known: the one in the list
   of hosts, and those that have registered there.  The list may be older than
   the last restart.  The caller frees the array.  */
GPtrArray *host_workers (const sched_t *sched, const host_t *host);
/* hosts_set_worker - WORKER runs on the host NAME, which is interned; NULL: on
   none.  */
void hosts_set_worker (sched_t *sched, worker_t *worker, const char *name);
/* host_order_add - order HOST down; it counts as down from now on.  An order
   that may be under way for it is repeated.  */
void host_order_add (sched_t *sched, host_t *host, host_order_t order,
                     int64_t now_us);
void fleet_update_add (sched_t *sched, fleet_update_kind_t kind,
                       uint64_t number, const char *name);
/* host_cordon - start no more tasks on HOST.
   host_uncordon - HOST is in use again; it isn't moved.  */
void host_cordon (sched_t *sched, host_t *host, int64_t now_us);
void host_uncordon (sched_t *sched, host_t *host);
bool worker_has_long_running (const worker_t *worker);
/* workers_are_recorded - whether the log says of all runs that WORKERS have
   had that they are over.  A host goes down only then: the next owner would
   wait for the leases of those of which it doesn't, and run their tasks again.
 */
bool workers_are_recorded (const sched_t *sched, const GPtrArray *workers);

/* waves.c: maintenance waves */
void wave_free (gpointer data);
/* host_mark_doubt - set in_doubt_us of the workers on HOST by its order.  */
void host_mark_doubt (const sched_t *sched, const host_t *host);
/* waves_any_open - whether any wave is incomplete.  */
bool waves_any_open (const sched_t *sched);
/* waves_mark_workers - mark the workers that incomplete waves will take down.
   It orders nothing.  */
void waves_mark_workers (sched_t *sched, sched_now_t now);
/* waves_plan - cordon hosts of incomplete waves, as far as their long-running
   tasks have places elsewhere (drain.h), and order the maintenance of those
   that are drained.  */
void waves_plan (sched_t *sched, sched_now_t now);
/* waves_record_begun - ORDER was carried out on HOST.  */
void waves_record_begun (sched_t *sched, const host_t *host,
                         const host_order_t *order);

/* The supply and demand of a pool, in hosts.  */
typedef struct pool_demand
{
  pool_t *pool;
  uint32_t listed;     /* that belong to it, in any state */
  double long_running; /* kept busy by its long-running tasks */
  double busy;         /* kept busy by all its tasks */
  double backlog;      /* needed to finish its waiting tasks in time */
  uint32_t unplaced;   /* needed for long-running tasks that no worker of the
                          pool may take */
  uint32_t usable;     /* with a reachable worker, and not cordoned */
  uint32_t incoming;   /* moving to it */
} pool_demand_t;

/* demand.c: demand of pools, in hosts */
/* dominant_share - the largest share that USED has of any resource of ROOM. */
double dominant_share (const amounts_t *used, const amounts_t *room);
/* demand_add_job - count the newly submitted JOB as demand of its pool.  */
void demand_add_job (const sched_job_t *job);
/* demand_update - update POOL's rates with the jobs submitted since the last
   call.  */
void demand_update (pool_t *pool, int64_t now_us);
/* demand_forecast - hosts that future jobs will keep busy.  */
double demand_forecast (const pool_t *pool);
pool_demand_t demand_measure (sched_t *sched, pool_t *pool, int64_t now_us);
/* demand_hosts_needed - the number of hosts that the pool needs.  */
double demand_hosts_needed (const pool_demand_t *demand);
/* demand_update_burst - detect the beginning and the end of a burst.  */
void demand_update_burst (sched_t *sched, const pool_demand_t *demand,
                          sched_now_t now);
/* demand_expects_burst - whether POOL is expected to have the next burst.  */
bool demand_expects_burst (const sched_t *sched, const pool_t *pool,
                           int64_t now_us);

/* moves.c: moves of hosts between pools */
void moves_plan (sched_t *sched, sched_now_t now);
/* moves_record_base_sizes - take the base sizes of new pools from the list of
   hosts.  */
void moves_record_base_sizes (sched_t *sched);

/* judge.c (judge.h): whether a worker may run a task */
/* worker_accepts_tasks - whether WORKER may get tasks at all.  */
bool worker_accepts_tasks (const worker_t *worker, int64_t now_us);

/* startorder.c (startorder.h): the order in which stages start */
/* job_objective_us - time within which JOB earns its full value.  */
int64_t job_objective_us (const sched_job_t *job);
/* stage_is_expired - whether STAGE's job is too late to earn anything.  */
bool stage_is_expired (const stage_t *stage, int64_t now_us);

/* place.c: choice of workers */
void place_pools (sched_t *sched, sched_now_t now);
/* place_find_worker - the worker of POOL that TASK of STAGE would start on;
   NULL: none may run it.  POOL notes what has no room, so that the rest of the
   plan skips tasks that need as much.
   place_awaits_earlier_run - whether an earlier run of TASK has yet to end
   before TASK starts again.  */
worker_t *place_find_worker (pool_t *pool, const stage_t *stage,
                             const task_t *task, sched_now_t now);
bool place_awaits_earlier_run (const task_t *task);
/* quota_allows - whether JOB's workspace may allocate NEED in addition.  */
bool quota_allows (const sched_job_t *job, const amounts_t *need);
/* quota_is_kept - whether what JOB's workspace has allocated is within its
   cap.  */
bool quota_is_kept (const sched_job_t *job);
/* place_is_allowed - whether the service, labels and capacity of RUN's worker
   and the limit of tasks per worker allow RUN.  */
bool place_is_allowed (const run_t *run);
/* place_has_alternative - whether TASK could start on a worker other than
   WORKER now.  */
bool place_has_alternative (const task_t *task, const worker_t *worker,
                            sched_now_t now);

/* advice.c: workers that a queue's policy allows */
void advice_free (advice_t *advice);
/* advice_is_needed - whether STAGE's queue has a policy.  */
bool advice_is_needed (const stage_t *stage);
/* advice_ticket - the ticket for STAGE on WORKER, or NULL.  */
const char *advice_ticket (const stage_t *stage, const worker_t *worker,
                           int64_t now_us);
/* advice_revoke - forget the ticket, which WORKER rejected.  */
void advice_revoke (stage_t *stage, const worker_t *worker);
/* advice_request_workers - request tickets for workers that could run the
   unstarted tasks of STAGE.  */
void advice_request_workers (sched_t *sched, stage_t *stage, sched_now_t now);

/* expected.c: how long tasks take, by the run times that were learned */
/* step_expected_ms - expected run time of a task of JOB's step STEP; the
   step's estimate if run times aren't learned.
   desc_expected_ms - the same for a job that the scheduler doesn't have.  */
uint32_t step_expected_ms (const sched_t *sched, const sched_job_t *job,
                           uint32_t step, int64_t now_us);
uint32_t desc_expected_ms (const sched_t *sched, const job_desc_t *desc,
                           uint32_t step, int64_t now_us);
/* expected_learn - RUN has ended as done.
   expected_dump - append what was learned last, for operators.  */
void expected_learn (sched_t *sched, const run_t *run, int64_t now_us);
void expected_dump (const sched_t *sched, GString *out, int64_t now_us);

/* admit.c: whether new jobs are admitted */
admit_t *admit_new (void);
void admit_free (admit_t *admit);
/* admit_note_added - the job ID was added to the scheduler.  */
void admit_note_added (sched_t *sched, const char *id);
/* admit_preview - what sched_admit would decide on DESC, with the whole
   forecast, also if all jobs are admitted.  The pool and the workspace of DESC
   are in the tables of SCHED.  Nothing is changed.  */
admission_t admit_preview (const sched_t *sched, const job_desc_t *desc,
                           sched_now_t now);
/* admit_dump - append the state of refusals, for operators.  */
void admit_dump (const sched_t *sched, GString *out);

/* pace.c: limits filler tasks next to long-running ones */
/* pace_update - choose the paces of the fillers of WORKER, which has
   reported.  */
void pace_update (sched_t *sched, worker_t *worker, sched_now_t now);
/* run_tail_percent - the tail latency of RUN, whose step has a target, in
   percent of the target, rounded up; at least 1.  */
uint32_t run_tail_percent (const run_t *run);
/* run_pace_is_unknown - whether RUN is a filler that an earlier owner, or an
   unanswered order, may have paced.  */
bool run_pace_is_unknown (const run_t *run);
/* pace_confirm - RUN's worker has set its pace.  */
void pace_confirm (run_t *run, uint32_t percent, int64_t now_us);
void pace_plan_orders (sched_t *sched, worker_t *worker, sched_now_t now);

/* neighbours.c: tasks that slow each other down; does nothing unless
   interference is avoided */
/* neighbours_number_image - give STAGE's image its number.
   neighbours_find_image - the same for a stage that is not in the tables, for
   the time of a plan; an image that is not known stays so.  */
void neighbours_number_image (sched_t *sched, stage_t *stage, int64_t now_us);
void neighbours_find_image (const sched_t *sched, stage_t *stage);
/* neighbours_update - the runs of WORKER have changed.  */
void neighbours_update (worker_t *worker);
/* neighbours_penalty - what the harm that a task of STAGE would do and suffer
   on WORKER takes from WORKER's score.  It depends on the images on WORKER
   alone, not on the number of images or pairs.  */
double neighbours_penalty (const worker_t *worker, const stage_t *stage);
/* neighbours_learn_report - learn from the tails that WORKER has reported.  */
void neighbours_learn_report (sched_t *sched, worker_t *worker,
                              sched_now_t now);
/* neighbours_learn_end - learn from the time that RUN took; it is done.  */
void neighbours_learn_end (sched_t *sched, const run_t *run, sched_now_t now);
/* neighbours_count_start - count a start of a task of STAGE on WORKER if it is
   beside one that it slows down or that slows it down.  */
void neighbours_count_start (const worker_t *worker, const stage_t *stage);
/* neighbours_dump - append the pairs that are kept apart.  */
void neighbours_dump (const sched_t *sched, GString *out, sched_now_t now);

/* fairness.c: shares of workspaces over time; does nothing unless they are
   kept */
/* fairness_open_plan - the stages that wait for POOL are counted from now on.
   fairness_wait - STAGE waits for it.  shares_step of the result is valid
   after fairness_judge.
   fairness_judge - all of them have been counted.
   fairness_exceeds_pool - whether STAGE's job can't meet its objective even
   with all POOL_CPU_MILLI: it must not make others late.  */
void fairness_open_plan (const pool_t *pool, int64_t now_us);
const shares_account_t *fairness_wait (stage_t *stage, int64_t now_us);
void fairness_judge (const pool_t *pool, int64_t now_us);
bool fairness_exceeds_pool (const stage_t *stage, double pool_cpu_milli,
                            int64_t now_us);
/* fairness_begin_run - RUN uses what it has reserved, in the pool of its
   worker.
   fairness_end_run - it doesn't any more.  */
void fairness_begin_run (const sched_t *sched, run_t *run, int64_t now_us);
void fairness_end_run (const sched_t *sched, const run_t *run, int64_t now_us);
/* fairness_count_start - count RUN if it starts although its workspace is
   beyond its share.  */
void fairness_count_start (const run_t *run);
/* fairness_dump - append the use of each workspace.  */
void fairness_dump (const sched_t *sched, GString *out, sched_now_t now);

/* stall.c: detects workers whose runs are slow or stalled */
void stall_check (sched_t *sched, worker_t *worker, sched_now_t now);

#endif

/* schedint - the data that sched, stages, workers, runs, replies, place,
   advice, pace, stall, hosts, waves, demand and moves work on; private to the
   package  */

#ifndef CUMINPIN_SCHEDINT_H
#define CUMINPIN_SCHEDINT_H

#include "hosts.h"

/* Clocks of workers may be 2 % slow; one more for rounding.  */
#define CLOCK_SLOW_PERCENT 3
/* Added to a lease's end: a worker acts on it a little later.  */
#define LEASE_MARGIN_US 100000
/* A stop that was not confirmed is repeated after so long.  */
#define STOP_RETRY_US 250000
/* Added to the grace of a stop before a confirmed one counts as done though no
   end is listed: one round trip and the worker's own delay.  */
#define STOP_MARGIN_US 100000
/* Tasks that wait for time to pass, such as the end of a worker's pause, are
   looked at again after so long.  */
#define PLACE_AGAIN_US 20000
/* A start that can be given no lease of this length does not pay: the task
   would end with the lease before its owner is confirmed again.  */
#define START_LEASE_MIN_US 1000000
/* A worker answers a held look after so long when nothing ends.  */
#define HOLD_WAIT_MS 400
/* So many looks in a row without an answer make a worker unreachable.  A
   single answer may be lost, and what ended meanwhile is waited for.  */
#define LOOKS_LOST_MAX 2
/* Looks at a worker whose ends can't be made durable, or that did not
   answer.  */
#define HOLD_RETRY_US 250000
/* An owner that is at work for more than BUSY_PERCENT of the time looks at a
   worker again only after up to LOOK_PAUSE_US.  */
#define BUSY_PERCENT 50
#define LOOK_PAUSE_US 80000
/* A worker that has not answered for so long gets no new tasks: it missed a
   held look and the one after it, with the time allowed for their answers.  */
#define WORKER_SILENT_US 1200000

typedef struct sjob sjob_t;
typedef struct stage stage_t;
typedef struct task task_t;
typedef struct run run_t;
typedef struct worker worker_t;
typedef struct pool pool_t;
typedef struct space space_t;
typedef struct host host_t;
typedef struct wave wave_t;
typedef struct advice advice_t;

typedef enum run_phase
{
  RUN_PLANNED, /* its record is not known to be in the log */
  RUN_ORDERED, /* its start was sent */
  RUN_ACTIVE,  /* the worker has it */
  RUN_STOPPING /* it is to end */
} run_phase_t;

/* One attempt at a task, until it is certainly over.  A task's present run is
   task->run; others are left over or copies.  */
struct run
{
  task_t *task;
  worker_t *worker;
  uint32_t attempt;
  run_phase_t phase;
  amounts_t holds; /* on the worker */
  amounts_t quota; /* of its workspace */
  int64_t since_us;
  uint64_t batch;      /* PLANNED: that its record is in */
  int64_t active_us;   /* first known to run */
  int64_t stop_us;     /* stop sent last; 0: has to be sent */
  int64_t stopped_us;  /* stop confirmed; 0: not yet */
  bool unsent;         /* STOPPING: its start never was ordered */
  bool starting;       /* counted in sched->starting */
  uint32_t unanswered; /* starts sent without an answer */
  int64_t repeat_us; /* ORDERED: its start is sent again then; 0: it is out */
  uint32_t percent;
  uint32_t load;
  int64_t moved_us;   /* percent last changed */
  uint32_t pace;      /* confirmed by the worker, in percent */
  int64_t pace_us;    /* ordered last */
  int64_t missing_us; /* in neither list of its worker since; 0: it is */
};

struct task
{
  stage_t *stage;
  uint32_t index;
  uint32_t attempt; /* last one used */
  failures_t fails;
  bool done;
  bool moved; /* taken from a slow worker once */
  char *checkpoint;
  run_t *run;
  uint32_t runs; /* that one, those left over and copies */
  int64_t not_before_us;
  const char *avoid;      /* interned id of the worker of its last bad end */
  int64_t avoid_until_us; /* it does not start there before */
  int64_t away_since_us;  /* a lasting task: not at work since */
};

/* The tasks of one step in one occurrence.  */
struct stage
{
  sjob_t *job;
  uint32_t occurrence;
  uint32_t step;
  const job_step_t *spec;
  task_t *tasks;
  uint32_t undone;
  uint32_t waits_on;     /* steps before it that are not done */
  uint32_t waiting;      /* tasks without a run */
  uint32_t attempt;      /* of a gang */
  failures_t gang_fails; /* of the gang as a whole */
  bool listed;           /* among its pool's stages */
  advice_t *advice;      /* of its queue's policy; NULL: not asked yet */
};

typedef struct occurrence
{
  stage_t *stages; /* NULL: not due yet */
  uint32_t undone; /* tasks */
} occurrence_t;

struct sjob
{
  job_desc_t *desc;
  const rules_queue_t *queue; /* NULL: it was removed */
  pool_t *pool;               /* that its queue leads to, or last did */
  space_t *space;
  occurrence_t *occurrences;
  uint32_t next_occurrence; /* first that is not due yet */
  uint32_t undone;          /* occurrences */
  uint32_t runs;
  bool over; /* handed in beyond its workspace's share */
  bool begun;
  bool ended; /* final: only its runs have to stop */
  int64_t accepted_us;
  int64_t started_us;      /* first start ordered; 0: none */
  uint32_t returned;       /* runs that ended without an end that counts */
  int64_t *tail_ms;        /* by step: longest chain of estimates from it on */
  int64_t chain_ms;        /* the longest of all */
  int64_t work;            /* of all tasks of an occurrence, milli-core ms */
  const char *near_worker; /* interned: where a task of it started last ... */
  const char *near_rack;   /* ... in which rack; NULL: unknown ... */
  const char *near_centre; /* ... and data centre; NULL: none started yet */
  const job_entry_t *entry; /* marks to start from; only while it is added */
};

struct worker
{
  char *id;
  const char *interned;
  const char *address;     /* interned; NULL: it has not reported itself to
                              this owner */
  const char *data_centre; /* interned */
  const char *rack;        /* interned or NULL */
  char **labels;
  pool_t *pool;
  amounts_t room;
  amounts_t used;
  int64_t born_ms;
  worker_state_t state;
  bool listed;
  bool synced; /* has answered in this epoch */
  bool has_clock;
  bool cordoned;   /* is to be emptied */
  bool going_down; /* its host was ordered to go down */
  int64_t clock_ms;
  int64_t clock_at_us;
  int64_t lease_ms; /* latest deadline given, on its clock */
  int64_t answered_us;
  bool unreachable;
  uint32_t looks_lost; /* in a row */
  bool hold_out;
  int64_t hold_due_us;
  uint64_t ends_seen;    /* ends up to this were taken in */
  uint64_t ends_batch;   /* in which they become durable */
  uint64_t ends_durable; /* up to this they are */
  GPtrArray *runs;
  uint32_t fails_in_row;
  int64_t suspect_until_us;
  uint32_t fill_percent; /* pace of the filling tasks */
  int64_t paced_us;      /* it last changed */
};

struct pool
{
  const char *name;
  GPtrArray *workers;
  GPtrArray *stages;   /* open, with waiting tasks */
  amounts_t full;      /* no open worker had so much left on this plan ... */
  bool is_full;        /* ... if set */
  uint32_t base_hosts; /* number of hosts when they were first listed */
  /* How long it has needed more hosts, or could do without some; 0: it does
     not, it can't.  */
  int64_t short_since_us;
  int64_t surplus_since_us;
  amounts_t host_room; /* of one of its hosts, as last seen */
  /* Host time that new jobs asked for since RATES_UPDATED_US, and the rate of
     it in hosts, smoothed over a short and a long time.  */
  double arrived_host_ms;
  double rate_fast;
  double rate_slow;
  int64_t rates_updated_us;
  double burst_peak;      /* most hosts kept busy in the last burst */
  int64_t burst_ended_us; /* end of the last burst */
  bool in_burst;          /* demand is high */
  int64_t calm_since_us;  /* low demand in a burst since; 0: not low */
  bool scaled_down;       /* after its burst: keeps only what it needs */
  const pool_t *burst_predecessor; /* whose burst began before the last one */
};

/* A host that a worker runs on.  */
struct host
{
  const char *name; /* interned */
  const char *pool; /* interned */
  char *worker;
  host_status_t state;
  bool listed;
  bool cordoned; /* by a wave or a move */
  int64_t cordoned_us;
  bool order_pending;   /* an order was sent and not answered */
  bool order_accepted;  /* the last order was accepted */
  bool down;            /* ordered, and not listed as up since */
  bool for_maintenance; /* the order was for maintenance, not a move */
  char *ordered_worker; /* on the host when it was first ordered down */
  int64_t ordered_us;   /* last order sent or accepted */
  int64_t retry_us;     /* no order before */
  int64_t next_log_us;  /* no log line about it before */
  const char *move_to;  /* interned: destination pool; NULL: none */
};

/* A workspace.  */
struct space
{
  const char *name;
  const rules_workspace_t *rule; /* NULL: none */
  amounts_t used;
  double allowance;     /* jobs that it may hand in now, as of ... */
  int64_t allowance_ms; /* ... then, since 1970 */
};

struct sched
{
  uint64_t epoch;
  sched_limits_t limits;
  const rules_t *rules;
  GHashTable *jobs;    /* id -> sjob_t */
  GHashTable *workers; /* id -> worker_t */
  GHashTable *pools;   /* name -> pool_t */
  GHashTable *spaces;  /* name -> space_t */
  amounts_t host_room; /* of some host, as seen last */
  GPtrArray *timed;    /* sjob_t with occurrences to come */
  GArray *orders;      /* of the present plan */
  GArray *placed;      /* progress to append */
  GArray *ends;
  GArray *changes;
  GHashTable *hosts; /* interned name -> host_t */
  GPtrArray *waves;  /* wave_t */
  GArray *questions; /* about workers, to be asked */
  uint32_t questions_out;
  GArray *host_orders;     /* to be sent */
  GArray *fleet_updates;   /* to be recorded */
  int64_t hosts_read_us;   /* last list of hosts; 0: none yet */
  bool first_hosts_list;   /* the list is the first one */
  pool_t *last_burst_pool; /* whose burst began last */
  uint32_t moves_started;
  bool hosts_in_transit; /* some hosts are down, moving or in maintenance */
  bool hosts_stale;      /* an order was accepted since the last list */
  int64_t next_hosts_plan_us;
  int64_t confirmed_us;     /* the log said so late that this is the owner */
  int64_t granted_until_us; /* no lease goes beyond */
  uint64_t batch;           /* the one being gathered */
  int64_t since_us;
  int64_t next_us;
  uint64_t durable;      /* the last one in the log */
  int64_t look_pause_us; /* before a worker is looked at again */
  bool ends_unwritten;   /* ends were listed since the last batch */
  bool dirty;            /* something changed that may let a task start */
  int64_t place_us;      /* time alone may let a task start then */
  uint32_t starting;     /* runs whose start is not answered */
};

/* sched.c: the plan of an owner as a whole */
pool_t *sched_pool (sched_t *sched, const char *name);
/* sched_space - the workspace NAME, which is interned.  */
space_t *sched_space (sched_t *sched, const char *name);
void sched_wake_at (sched_t *sched, int64_t at_us);

/* stages.c: jobs, their stages and tasks */
void sjob_free (gpointer data);
/* stage_list - list STAGE with its pool if a task of it may start.  */
void stage_list (sched_t *sched, stage_t *stage);
/* job_bind - look JOB's queue up in the rules.  */
void job_bind (sched_t *sched, sjob_t *job);
task_t *sched_task (const sched_t *sched, const task_ref_t *ref);
task_ref_t task_ref (const task_t *task);
void job_begin (sched_t *sched, sjob_t *job);
void job_end (sched_t *sched, sjob_t *job);
/* job_settle - free JOB when it has ended and nothing of it runs.  */
void job_settle (sched_t *sched, sjob_t *job);
void job_open_due (sched_t *sched, sjob_t *job, sched_now_t now);
/* task_end - take in that ATTEMPT of TASK ended as done or failed.  */
void task_end (sched_t *sched, task_t *task, uint32_t attempt, bool done,
               sched_now_t now);
void task_waits (sched_t *sched, task_t *task);
uint32_t task_next_attempt (const task_t *task);

/* runs.c: attempts at tasks */
run_t *run_new (sched_t *sched, task_t *task, worker_t *worker,
                uint32_t attempt, sched_now_t now);
/* run_has_started - RUN's start is answered, or will never be.  */
void run_has_started (sched_t *sched, run_t *run);
/* run_close - RUN is certainly over, because of WHY; its task waits again
   unless it is done.  */
void run_close (sched_t *sched, run_t *run, const char *why, sched_now_t now);
void run_stop (run_t *run);
/* task_avoid - RUN's task is better tried on another worker.  */
void task_avoid (task_t *task, const worker_t *worker, sched_now_t now);
/* run_leave - RUN goes on, but its task may start elsewhere: another run of it
   may be there at the same time, or this one can't start any more.  */
void run_leave (sched_t *sched, run_t *run);
run_t *run_find (const worker_t *worker, const task_t *task, uint32_t attempt);
/* runs_stop - stop all runs of TASK of JOB; NULL: of all its tasks.  */
void runs_stop (sched_t *sched, const sjob_t *job, const task_t *task);
/* task_is_at_work - whether a lasting task does its work.  */
bool task_is_at_work (const task_t *task, int64_t now_us);

/* workers.c: workers, their clocks and leases */
void worker_clear (sched_t *sched, worker_t *worker, sched_now_t now);
int64_t worker_lease_end_us (const sched_t *sched, const worker_t *worker);
int64_t worker_clock_at (const worker_t *worker, int64_t now_us);
bool worker_is_open (const worker_t *worker, int64_t now_us);
void worker_free (gpointer data);
/* workers_advance - what time alone brings about.  */
void workers_advance (sched_t *sched, sched_now_t now);
void worker_orders (sched_t *sched, worker_t *worker, sched_now_t now);
/* worker_deadline_ms - the end of a lease given now, on WORKER's clock; 0 when
   none may be given.  */
int64_t worker_deadline_ms (const sched_t *sched, worker_t *worker,
                            int64_t now_us);
/* worker_expect - an earlier owner was to start ATTEMPT of TASK on worker ID.
   The run counts until the worker shows its lists or its lease has ended.  */
void worker_expect (sched_t *sched, task_t *task, uint32_t attempt,
                    const char *id, sched_now_t now);
void order_add (sched_t *sched, order_t order);
/* sched_inherits_leases - whether a lease that an earlier owner gave can still
   hold.  */
bool sched_inherits_leases (const sched_t *sched, int64_t now_us);
/* stop_takes_us - from a confirmed stop until its run is surely over.  */
int64_t stop_takes_us (const sched_t *sched);

/* hosts.c: the list of hosts and orders for them */
void host_free (gpointer data);
/* host_order_add - order HOST down; it counts as down from now on.  */
void host_order_add (sched_t *sched, host_t *host, host_order_t order,
                     int64_t now_us);
void fleet_update_add (sched_t *sched, fleet_update_kind_t kind,
                       uint64_t number, const char *name);
/* host_cordon - start no more tasks on HOST.  */
void host_cordon (sched_t *sched, host_t *host, int64_t now_us);
bool worker_has_long_running (const worker_t *worker);

/* waves.c: maintenance waves */
void wave_free (gpointer data);
/* waves_any_open - whether any wave is incomplete.  */
bool waves_any_open (const sched_t *sched);
/* waves_plan - cordon hosts of incomplete waves, and order the maintenance of
   those that are drained.  */
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
  uint32_t usable;     /* with a reachable worker, and not cordoned */
  uint32_t incoming;   /* moving to it */
} pool_demand_t;

/* demand.c: demand of pools, in hosts */
/* dominant_share - the largest share that USED has of any resource of ROOM. */
double dominant_share (const amounts_t *used, const amounts_t *room);
/* demand_add_job - count the newly submitted JOB as demand of its pool.  */
void demand_add_job (const sjob_t *job);
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

/* place.c: which task starts where */
void place_pools (sched_t *sched, sched_now_t now);
/* job_objective_us - how long JOB, whose queue exists, may take to be worth
   all.  */
int64_t job_objective_us (const sjob_t *job);
/* stage_is_hopeless - whether STAGE's job is past all use.  */
bool stage_is_hopeless (const stage_t *stage, int64_t now_us);
/* cap_allows - whether JOB's workspace may have NEED more at work.  */
bool cap_allows (const sjob_t *job, const amounts_t *need);
/* place_elsewhere - whether TASK could start on another worker now.  */
bool place_elsewhere (const task_t *task, const worker_t *worker,
                      sched_now_t now);

/* advice.c: workers that a queue's policy allows */
void advice_free (advice_t *advice);
/* advice_is_needed - whether STAGE's queue has a policy.  */
bool advice_is_needed (const stage_t *stage);
/* advice_ticket - the ticket for STAGE on WORKER, or NULL.  */
const char *advice_ticket (const stage_t *stage, const worker_t *worker,
                           int64_t now_us);
/* advice_reject - WORKER did not take the ticket.  */
void advice_reject (stage_t *stage, const worker_t *worker);
/* advice_ask - ask about workers for the tasks of STAGE that wait.  */
void advice_ask (sched_t *sched, stage_t *stage, sched_now_t now);

/* pace.c: filling tasks beside those that serve */
void pace_check (worker_t *worker, sched_now_t now);
void pace_orders (sched_t *sched, worker_t *worker, sched_now_t now);

/* stall.c: runs that hardly get on */
void stalls_check (sched_t *sched, worker_t *worker, sched_now_t now);

#endif

/* fleet - decisions about hosts: budgets, maintenance waves, moves, and jobs
   on workers

   NAME
     budget, watch, wave, plan, buffer, place, schedule, ending,
     reclaim, fit, learn

   DESCRIPTION
     budget  hosts of each pool that are out, and how many more may be
     watch   what this daemon saw of the hosts, and since when
     wave    the next records of maintenance: drain, maintenance, failure,
             return
     plan    moves of hosts between pools
     buffer  the size of the spare
     place   jobs and the workers they run on: what is queued, running, lost
     schedule, ending, reclaim, fit, learn
             parts of place: the order of starts, how runs end, lent capacity,
             the index of workers, and learned use

     None of these reads a clock, a socket or a file, or starts a thread.  All
     times named now_us are monotonic.  */

#ifndef CUMINPIN_FLEET_H
#define CUMINPIN_FLEET_H

#include "state.h"

/* Hosts out of service for each pool and rack, counted in one pass.  */
typedef struct budget budget_t;

/* budget_new - the counts of STATE, which must outlive them.  */
budget_t *budget_new (const state_t *state);
void budget_free (budget_t *budget);

/* budget_left - as state_budget_left, less what was counted since by
   budget_take.  */
uint32_t budget_left (const budget_t *budget, const char *pool,
                      const char *rack);

/* budget_take - count one more host of POOL and RACK as out: its record is
   not folded yet, or it is missing and not recorded as failed yet.  */
void budget_take (budget_t *budget, const char *pool, const char *rack);

/* budget_out - hosts of POOL that are out; budget_hosts - all of them.  */
uint32_t budget_out (const budget_t *budget, const char *pool);
uint32_t budget_hosts (const budget_t *budget, const char *pool);

/* One host of the platform's live list, and what is known of it.  A host that
   is not listed is gone.  */
typedef struct host_report
{
  const char *host;
  bool leaving;
  bool verified;   /* its checks pass */
  bool load_known; /* every daemon that may use it has reported */
  uint32_t load;   /* requests or jobs in flight, of all daemons */
} host_report_t;

typedef struct host_watch
{
  uint64_t version;       /* of the host's record when last noted */
  uint64_t round;         /* of watch_update */
  int64_t phase_since_us; /* first noted in its present phase */
  int64_t seen_since_us;  /* first noted as it is listed now */
  int64_t empty_since_us; /* load known to be 0 since; INT64_MAX: it is not */
  uint32_t load;
  bool listed;
  bool leaving;
  bool verified;
  bool load_known;
  bool was_away; /* not listed at some time in its present phase */
} host_watch_t;

/* What this daemon saw of the hosts.  Lost with the process; all times then
   start again, which only delays decisions.  */
typedef struct watch watch_t;

/* WATCH_GAP_US - after a longer pause between two notes nothing is known of
   the time between, and all times start again.  */
#define WATCH_GAP_US 5000000

watch_t *watch_new (void);
void watch_free (watch_t *watch);

/* watch_update - take in the COUNT REPORTS of the live list at NOW_US.  An
   empty list is a failure of the platform, not of all hosts: it makes the
   watch blind.  */
void watch_update (watch_t *watch, const state_t *state,
                   const host_report_t *reports, uint32_t count,
                   int64_t now_us);

/* watch_is_blind - whether the last note brought nothing to decide on.  */
bool watch_is_blind (const watch_t *watch);

/* watch_find - what is known of HOST, or NULL.  */
const host_watch_t *watch_find (const watch_t *watch, const char *host);

/* budget_take_missing - count the hosts that are in service in STATE but
   missing or leaving in WATCH: a disruption now would break the budget in
   fact, though not in the records.  */
void budget_take_missing (budget_t *budget, const state_t *state,
                          const watch_t *watch);

typedef struct wave_times
{
  int64_t settle_us;     /* gone or back for so long before it counts */
  int64_t drain_idle_us; /* empty for so long before DRAINED: a daemon sends to
                       a draining host until it has read the record */
  int64_t unseen_restart_us; /* a host that was never seen away is taken for
                      back after so long in MAINTENANCE */
  int64_t maintenance_timeout_us; /* longest MAINTENANCE before FAILED */
} wave_times_t;

#define WAVE_SETTLE_US 10000000
#define WAVE_DRAIN_IDLE_US 5000000
#define WAVE_UNSEEN_RESTART_US 60000000
#define WAVE_MAINTENANCE_TIMEOUT_US 900000000

typedef struct wave_input
{
  const state_t *state;
  const watch_t *watch;
  const wave_times_t *times;  /* NULL: the values above */
  const char *self;           /* this daemon's entry host */
  const char *const *entries; /* entry hosts with current heartbeats */
  uint32_t entries_count;
  bool fresh; /* the view is FRESH (admit.h) */
  int64_t now_us;
  int64_t now_ms;
} wave_input_t;

/* wave_owner - the index of the entry host that acts for KEY, by rendezvous
   hash; COUNT must not be 0.  */
uint32_t wave_owner (const char *key, const char *const *entries,
                     uint32_t count);

/* wave_next - up to MAX records that this daemon should append now; their
   number.  A daemon acts for the hosts, and for the waves, that wave_owner
   gives it; drains and the end of a wave are decided for the wave as a whole,
   so that its order and at_once hold without races.  Nothing when the view is
   not fresh or the watch is blind.  Calling again before the records are
   folded gives them again; the second ones turn out stale.

   IN_SERVICE -> DRAINING   by the order of the wave: spare pool first, then
                            racks that are under way, then the emptiest
   DRAINING -> DRAINED      empty for drain_idle_us
   DRAINED -> MAINTENANCE   if drained for a wave
   MAINTENANCE -> IN_SERVICE  listed and verified for settle_us, after it was
                            away or unseen_restart_us
   any -> FAILED            not listed for settle_us; in MAINTENANCE for
                            maintenance_timeout_us
   FAILED -> IN_SERVICE     listed and verified for settle_us
   wave -> DONE             all hosts of its pools taken and back  */
uint32_t wave_next (const wave_input_t *in, rec_t *records, uint32_t max);

typedef struct wave_progress
{
  uint32_t hosts; /* in the wave's pools now */
  uint32_t taken; /* need no more drain in this run */
  uint32_t out;   /* drained for it and not back */
} wave_progress_t;

/* wave_progress - how far the current run of WAVE has come.  */
wave_progress_t wave_progress (const state_t *state, const char *wave);

/* What a pool is asked for, in thousandths of a host.  */
typedef struct pool_demand
{
  const char *pool;
  uint32_t current_milli; /* that the work present now keeps busy */
  uint32_t burst_milli; /* beyond the pool's own hosts at its largest burst */
} pool_demand_t;

/* PLAN_SHORTAGE_DELAY_US - a pool is short for so long before it gets a host:
   a burst of a few seconds is over before a host has moved. PLAN_SURPLUS_US -
   a lent host is idle for so long before another pool gets it; PLAN_RETURN_US
   - before it goes back to the spare.  Until then it stays, because the next
   burst may need it there. PLAN_MARGIN_HOSTS - a pool keeps so many hosts
   above its need before it counts as having a surplus.  */
#define PLAN_SHORTAGE_DELAY_US 5000000
#define PLAN_SURPLUS_US 10000000
#define PLAN_RETURN_US 600000000
#define PLAN_MARGIN_HOSTS 1

#define MOVE_REASON_BYTES 160

/* A host's way to another pool.  TO is FROM for a host that was drained for a
   move that nothing needs any more.  */
typedef struct host_move
{
  const char *host;
  const char *from;
  const char *to;
  bool under_way; /* drained, or draining, for a move */
  char reason[MOVE_REASON_BYTES];
} host_move_t;

/* Since when pools are short or have a surplus.  */
typedef struct plan plan_t;

plan_t *plan_new (void);
void plan_free (plan_t *plan);

/* plan_update - take in the demand on COUNT pools at NOW_US.  */
void plan_update (plan_t *plan, const state_t *state,
                  const pool_demand_t *demands, uint32_t count,
                  int64_t now_us);

typedef struct plan_input
{
  const state_t *state;
  const watch_t *watch; /* NULL: all hosts are taken to be live */
  bool fresh;           /* the view is FRESH (admit.h) */
  int64_t now_us;
} plan_input_t;

/* plan_moves - up to MAX moves to make now; their number.  In this order:
   hosts under way, hosts that the fleet file puts in another pool, hosts for
   pools that are short (from the spare, which keeps what it needs itself, then
   lent hosts of pools with a surplus), lent hosts back to the spare.  Each
   stays within the budgets. None when the view is not fresh.  */
uint32_t plan_moves (const plan_t *plan, const plan_input_t *in,
                     host_move_t *moves, uint32_t max);

/* plan_move_record - the record that takes MOVE one step further: DRAIN or
   HOST_MOVE.  False when there is none now.  */
bool plan_move_record (const state_t *state, const host_move_t *move,
                       const char *author, int64_t now_ms, rec_t *rec);

/* plan_buffer_hosts - idle hosts that the spare should hold: the largest rack
   plus the AT_ONCE largest bursts, as queues burst in turn.  */
uint32_t plan_buffer_hosts (const state_t *state, const pool_demand_t *demands,
                            uint32_t count, uint32_t at_once);

typedef struct resources
{
  uint32_t cpu_milli;
  uint32_t mem_mib;
  uint32_t accels;
} resources_t;

/* A job as its team describes it.  */
typedef struct job_spec
{
  const char *id;
  const char *team;
  const char *kind; /* jobs of a team that use alike; NULL or "": none */
  resources_t declared;
  bool urgent;
  bool idempotent;
  bool can_checkpoint;
} job_spec_t;

typedef enum job_phase
{
  JOB_QUEUED,
  JOB_RUNNING,
  JOB_LOST, /* not idempotent, and its worker is gone: waits for the end of its
               lease */
  JOB_HELD  /* failing: is not started again */
} job_phase_t;

/* How a worker says that a run ended.  */
typedef enum job_end
{
  JOB_END_DONE,
  JOB_END_FAILED,
  JOB_END_CHECKPOINTED, /* as told: it may start again */
  JOB_END_STOPPED       /* as told: it may start again, unless cancelled */
} job_end_t;

typedef enum place_verdict
{
  PLACE_ACCEPTED,
  PLACE_KNOWN,    /* a job with this id is here already */
  PLACE_NO_TEAM,  /* no such team */
  PLACE_TOO_LARGE /* no worker can ever hold it */
} place_verdict_t;

typedef enum command_kind
{
  COMMAND_START,
  COMMAND_THROTTLE, /* run on with resources.cpu_milli */
  COMMAND_RESTORE,  /* run on with resources.cpu_milli, as at first */
  COMMAND_CHECKPOINT,
  COMMAND_STOP
} command_kind_t;

/* What a worker has to be told.  The strings last until the job or the worker
   is next changed.  */
typedef struct worker_command
{
  command_kind_t kind;
  const char *job;
  const char *worker;
  uint64_t run; /* the worker names it in its reports */
  resources_t resources;
  int64_t lease_end_us; /* START */
} worker_command_t;

#define PLACEMENT_REASON_BYTES 192

/* PLACEMENT_LEASE_US - a run's lease unless renewed.
   PLACE_FAIL_WORKERS - a job that failed on so many workers is held, or after
   PLACE_FAIL_RUNS runs where there are fewer workers.
   PLACE_BAD_KINDS - a worker on which jobs of so many kinds failed with no
   success between is taken out, but at most one in PLACE_BAD_PART: when more
   fail, the fault is elsewhere.
   PLACE_CHECKPOINT_US - a checkpoint that takes longer becomes a stop: urgent
   work has to start within 1.3 s.
   PLACE_HOLD_US - a worker is kept free for an urgent job for so long.
   PLACE_YIELD_US - while a job waits for processors or memory, teams that hold
   more for their weight, by more than one in PLACE_YIELD_PART, start nothing
   for so long. PLACE_STARVE_US - a job that waited for so long at the head of
   its queue gets a worker kept free for it, but only one worker in
   PLACE_STARVE_PART is kept so.  */
#define PLACEMENT_LEASE_US 10000000
#define PLACE_FAIL_WORKERS 3
#define PLACE_FAIL_RUNS 6
#define PLACE_BAD_KINDS 3
#define PLACE_BAD_PART 10
#define PLACE_CHECKPOINT_US 600000
#define PLACE_HOLD_US 2000000
#define PLACE_YIELD_US 2000000
#define PLACE_YIELD_PART 16
#define PLACE_STARVE_US 30000000
#define PLACE_STARVE_PART 20

/* Jobs, teams and workers.  One thread, or a lock.  */
typedef struct placement placement_t;

/* placement_new - nothing yet; runs are numbered above LAST_RUN, which must
   exceed the numbers of any earlier process (its incarnation will do).  */
placement_t *placement_new (uint64_t last_run);
void placement_free (placement_t *place);

/* placement_set_team - the share of TEAM, and how many jobs it may run at once
   fleet-wide.  A lower limit stops nothing that runs.  */
void placement_set_team (placement_t *place, const char *team, uint32_t share,
                         uint32_t limit);

/* placement_set_worker - the capacity of WORKER; it gets nothing new unless
   USABLE.  */
void placement_set_worker (placement_t *place, const char *worker,
                           resources_t capacity, bool usable);

/* place_lose_worker - WORKER is gone.  Its idempotent jobs are queued again at
   once; the others when their leases have ended.  Until then all of them count
   towards their teams' limits, since they may still be running.  */
void place_lose_worker (placement_t *place, const char *worker);

/* place_trust_worker - WORKER, taken out because jobs failed on it, was
   repaired.  */
void place_trust_worker (placement_t *place, const char *worker);

/* place_is_bad - whether WORKER was taken out because jobs failed on it.  */
bool place_is_bad (const placement_t *place, const char *worker);

/* placement_submit - queue the job SPEC; with any verdict but PLACE_ACCEPTED,
   REASON says why not.  */
place_verdict_t placement_submit (placement_t *place, const job_spec_t *spec,
                                  char reason[PLACEMENT_REASON_BYTES]);

/* place_cancel - forget the job ID; if it runs, it is told to stop and is
   forgotten when it has ended.  False when there is none.  */
bool place_cancel (placement_t *place, const char *id);

/* The reports of a worker on RUN of job ID.  False when that is not the job's
   present run: a late report, which changes nothing.  */
bool placement_renew_lease (placement_t *place, const char *id, uint64_t run,
                            int64_t lease_end_us);
bool place_use (placement_t *place, const char *id, uint64_t run,
                resources_t used);
bool placement_end_run (placement_t *place, const char *id, uint64_t run,
                        job_end_t how);

/* placement_next - up to MAX STEPS to take now; their number.  Urgent jobs
   come first, then the team with the least dominant share for its weight
   (Ghodsi et al. 2011).  Steps are taken as done: call again until it gives
   none.  */
uint32_t placement_next (placement_t *place, int64_t now_us,
                         worker_command_t *steps, uint32_t max);

typedef struct job_info
{
  job_phase_t phase;
  const char *worker; /* NULL: none */
  uint64_t run;       /* 0: none */
  const char *reason; /* why it is held; NULL: it is not */
} job_info_t;

/* place_job - what is known of job ID; false when there is none.  */
bool place_job (const placement_t *place, const char *id, job_info_t *info);

typedef struct team_info
{
  uint32_t running; /* or perhaps still running on a lost worker */
  uint32_t queued;
  double dominant; /* part of the fleet, of the resource it has most of */
} team_info_t;

bool place_team (const placement_t *place, const char *team,
                 team_info_t *info);

#endif

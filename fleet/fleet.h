/* fleet - scheduling decisions for hosts and for jobs on workers

   NAME
     budget, watch, wave, plan, buffer, placement - decide on maintenance,
     moves of hosts between pools, and jobs on workers

   DESCRIPTION
     budget     disruption budgets: hosts of each pool that are out of service,
                and how many more may be
     watch      observed state of each host, and since when it has held
     wave       next records of maintenance: drain, maintenance, failure,
                return to service
     plan       moves of hosts between pools
     buffer     number of idle hosts that the spare pool should hold
     placement  queued, running and lost jobs, and their workers

     Placement is split into schedule (order of starts), run_end (results of
     runs), reclaim (preemption of lent capacity), capacity_index (search for a
     worker with enough free resources) and usage (measured use of each kind
     of job).

     No function here reads a clock, a socket or a file, or starts a thread.
     All times named now_us are monotonic.  */

#ifndef CUMINPIN_FLEET_H
#define CUMINPIN_FLEET_H

#include "state.h"

/* Hosts out of service in each pool and rack, counted in one pass over the
   state.  */
typedef struct budget budget_t;

/* budget_new - counts the hosts of STATE, which must outlive the budget.  */
budget_t *budget_new (const state_t *state);
void budget_free (budget_t *budget);

/* budget_left - returns how many more hosts of POOL and RACK may go out of
   service: the result of state_budget_left minus the hosts counted by
   budget_take since budget_new.  */
uint32_t budget_left (const budget_t *budget, const char *pool,
                      const char *rack);

/* budget_take - counts one more host of POOL and RACK as out of service
   before STATE shows it: its record is not folded yet, or the host is missing
   and not yet recorded as failed.  */
void budget_take (budget_t *budget, const char *pool, const char *rack);

/* budget_out - returns the number of hosts of POOL that are out of service.
   budget_hosts - returns the number of all hosts of POOL.  */
uint32_t budget_out (const budget_t *budget, const char *pool);
uint32_t budget_hosts (const budget_t *budget, const char *pool);

/* An entry of the platform's live list.  A host that is not on the list is
   missing.  */
typedef struct host_report
{
  const char *host;
  bool leaving;
  bool verified;   /* its health checks pass */
  bool load_known; /* every daemon that may use it has reported its load */
  uint32_t load;   /* requests or jobs in flight, over all daemons */
} host_report_t;

/* The observed state of one host.  */
typedef struct host_watch
{
  uint64_t version;         /* of the host's record at the last update */
  uint64_t generation;      /* of the update; plus 1 once reported in it */
  int64_t phase_since_us;   /* first seen in its current phase */
  int64_t listing_since_us; /* last change of listed, leaving or verified */
  int64_t empty_since_us;   /* load known to be 0; INT64_MAX: it is not */
  uint32_t load;
  bool listed;
  bool leaving;
  bool verified;
  bool load_known;
  bool was_unlisted; /* missing at least once in its current phase */
} host_watch_t;

/* The hosts as this daemon has observed them.  Kept in memory only: after a
   restart all times start again, which only delays decisions.  */
typedef struct watch watch_t;

/* WATCH_GAP_MAX_US - longest interval between two updates.  After a longer one
   the state in between is unknown, and all times start again.  */
#define WATCH_GAP_MAX_US 5000000

watch_t *watch_new (void);
void watch_free (watch_t *watch);

/* watch_update - applies the live list of COUNT REPORTS read at NOW_US.  An
   empty list means that the platform failed, not that all hosts did: the
   observed hosts stay as they are, and watch_has_no_reports returns true.  */
void watch_update (watch_t *watch, const state_t *state,
                   const host_report_t *reports, uint32_t count,
                   int64_t now_us);

/* watch_has_no_reports - whether the last update had an empty list, so that
   no decision can be based on it.  */
bool watch_has_no_reports (const watch_t *watch);

/* watch_find - returns the observed state of HOST, or NULL.  */
const host_watch_t *watch_find (const watch_t *watch, const char *host);

/* budget_take_missing - counts as out the hosts that are in service in STATE
   but missing or leaving in WATCH.  They are unavailable although the records
   do not show it yet, so the budget has to include them.  */
void budget_take_missing (budget_t *budget, const state_t *state,
                          const watch_t *watch);

/* Delays of maintenance decisions.
   settle_us - a host is missing, or back, for this long before it counts
   drain_idle_us - a host is empty for this long before DRAINED, because a
   daemon keeps sending to a draining host until it has read the record
   unseen_restart_us - time in MAINTENANCE after which a host that was never
   seen missing counts as back
   maintenance_timeout_us - longest MAINTENANCE before FAILED  */
typedef struct wave_times
{
  int64_t settle_us;
  int64_t drain_idle_us;
  int64_t unseen_restart_us;
  int64_t maintenance_timeout_us;
} wave_times_t;

#define WAVE_SETTLE_US 10000000
#define WAVE_DRAIN_IDLE_US 5000000
#define WAVE_UNSEEN_RESTART_US 60000000
#define WAVE_MAINTENANCE_TIMEOUT_US 900000000

typedef struct wave_input
{
  const state_t *state;
  const watch_t *watch;
  const wave_times_t *times;  /* NULL: the defaults above */
  const char *self;           /* name of this daemon's entry host */
  const char *const *entries; /* entry hosts with current heartbeats */
  uint32_t entries_count;
  bool fresh; /* the view is FRESH (admit.h) */
  int64_t now_us;
  int64_t now_ms;
} wave_input_t;

/* wave_owner - returns the index of the entry host that decides for KEY, by
   rendezvous hashing; COUNT must not be 0.  */
uint32_t wave_owner (const char *key, const char *const *entries,
                     uint32_t count);

/* wave_next - stores up to MAX records that this daemon should append now, and
   returns their number.  A daemon decides only for the hosts and the waves
   that wave_owner assigns to it.  Drains and the end of a wave are decided by
   the owner of the wave, so that its order and at_once hold without races.
   Returns 0 while the view is not fresh or the last live list was empty.  A
   second call before the records are folded returns them again; the
   duplicates are rejected as stale.

   IN_SERVICE -> DRAINING     in the order of the wave: spare pool first, then
                              racks already started, then the emptiest
   DRAINING -> DRAINED        empty for drain_idle_us
   DRAINED -> MAINTENANCE     if drained for a wave
   MAINTENANCE -> IN_SERVICE  listed and verified for settle_us, after it was
                              missing or unseen_restart_us has passed
   any -> FAILED              missing for settle_us; from MAINTENANCE after
                              maintenance_timeout_us instead
   FAILED -> IN_SERVICE       listed and verified for settle_us
   wave -> DONE               all hosts of its pools drained and back  */
uint32_t wave_next (const wave_input_t *in, rec_t *records, uint32_t max);

typedef struct wave_progress
{
  uint32_t hosts; /* in the wave's pools now */
  uint32_t taken; /* do not have to be drained any more in this run */
  uint32_t out;   /* drained for the wave and not back in service */
} wave_progress_t;

/* wave_progress - returns the progress of the current run of WAVE.  */
wave_progress_t wave_progress (const state_t *state, const char *wave);

/* Demand on a pool, in thousandths of a host.  */
typedef struct pool_demand
{
  const char *pool;
  uint32_t current_milli; /* hosts that the current work keeps busy */
  uint32_t burst_milli; /* beyond the pool's own hosts in its largest burst */
} pool_demand_t;

/* PLAN_SHORTAGE_DELAY_US - a pool is short for this long before it gets a
   host: a burst of a few seconds ends before a host has moved.
   PLAN_REASSIGN_DELAY_US - a lent host is idle for this long before another
   pool gets it.
   PLAN_RETURN_DELAY_US - a lent host is idle for this long before it goes back
   to the spare pool.  Until then it stays, because the next burst may need it.
   PLAN_SURPLUS_MARGIN_HOSTS - hosts above its need that a pool keeps before it
   counts as having a surplus.  */
#define PLAN_SHORTAGE_DELAY_US 5000000
#define PLAN_REASSIGN_DELAY_US 10000000
#define PLAN_RETURN_DELAY_US 600000000
#define PLAN_SURPLUS_MARGIN_HOSTS 1

#define MOVE_REASON_BYTES 160

/* A move of a host to another pool.  TO equals FROM for a host that was
   drained for a move that is no longer needed.  */
typedef struct host_move
{
  const char *host;
  const char *from;
  const char *to;
  bool under_way; /* draining or drained for a move */
  char reason[MOVE_REASON_BYTES];
} host_move_t;

/* How long each pool has been short of hosts or has had a surplus.  */
typedef struct plan plan_t;

plan_t *plan_new (void);
void plan_free (plan_t *plan);

/* plan_update - applies the DEMANDS on COUNT pools at NOW_US.  */
void plan_update (plan_t *plan, const state_t *state,
                  const pool_demand_t *demands, uint32_t count,
                  int64_t now_us);

typedef struct plan_input
{
  const state_t *state;
  const watch_t *watch; /* NULL: all hosts count as live */
  bool fresh;           /* the view is FRESH (admit.h) */
  int64_t now_us;
} plan_input_t;

/* plan_moves - stores up to MAX moves to make now, within the budgets, and
   returns their number.  They come in this order:
   - hosts already draining or drained for a move
   - hosts that the fleet file assigns to another pool
   - hosts for pools that are short, from the spare pool, which keeps what its
     own services need, and then lent hosts of pools with a surplus
   - lent hosts that go back to the spare pool
   Returns 0 while the view is not fresh.  */
uint32_t plan_moves (const plan_t *plan, const plan_input_t *in,
                     host_move_t *moves, uint32_t max);

/* plan_move_record - stores in REC the next record of MOVE, DRAIN or
   HOST_MOVE.  Returns false when there is nothing to append now.  */
bool plan_move_record (const state_t *state, const host_move_t *move,
                       const char *author, int64_t now_ms, rec_t *rec);

/* plan_buffer_hosts - returns the number of idle hosts that the spare pool
   should hold: the largest rack plus the AT_ONCE largest bursts.  The sum of
   all bursts is not needed, because queues burst in turn.  */
uint32_t plan_buffer_hosts (const state_t *state, const pool_demand_t *demands,
                            uint32_t count, uint32_t at_once);

typedef struct resources
{
  uint32_t cpu_milli;
  uint32_t mem_mib;
  uint32_t accels;
} resources_t;

/* A job as submitted by its team.  */
typedef struct job_spec
{
  const char *id;
  const char *team;
  const char *kind; /* jobs of a team with similar use; NULL or "": none */
  resources_t declared;
  bool urgent;
  bool idempotent;
  bool can_checkpoint;
} job_spec_t;

typedef enum job_phase
{
  JOB_QUEUED,
  JOB_RUNNING,
  JOB_LOST, /* not idempotent, and its worker is lost: waits until its lease
               has expired */
  JOB_HELD  /* failed too often: is not started again */
} job_phase_t;

/* The end of a run as its worker reports it.  */
typedef enum job_end
{
  JOB_END_DONE,
  JOB_END_FAILED,
  JOB_END_CHECKPOINTED, /* on command: the job is queued again */
  JOB_END_STOPPED       /* on command: queued again unless cancelled */
} job_end_t;

typedef enum submit_result
{
  SUBMIT_ACCEPTED,
  SUBMIT_DUPLICATE, /* a job with this id exists */
  SUBMIT_UNKNOWN_TEAM,
  SUBMIT_TOO_LARGE /* exceeds the capacity of every worker */
} submit_result_t;

typedef enum command_kind
{
  COMMAND_START,
  COMMAND_THROTTLE, /* reduce the run to resources.cpu_milli */
  COMMAND_RESTORE,  /* raise a throttled run to resources.cpu_milli again */
  COMMAND_CHECKPOINT,
  COMMAND_STOP
} command_kind_t;

/* A command for a worker.  The strings are valid until the job or the worker
   is next changed.  */
typedef struct worker_command
{
  command_kind_t kind;
  const char *job;
  const char *worker;
  uint64_t run; /* run number, which the worker repeats in its reports */
  resources_t resources;
  int64_t lease_end_us; /* of COMMAND_START, else 0 */
} worker_command_t;

#define PLACEMENT_REASON_BYTES 192

/* PLACEMENT_LEASE_US - lease of a run until it is renewed.
   PLACEMENT_FAILED_WORKERS_MAX - a job that failed on this many workers is
   held.
   PLACEMENT_FAILED_RUNS_MAX - a job that failed this many times is held, for
   fleets with fewer workers.
   PLACEMENT_EXCLUDE_KINDS - a worker on which jobs of this many kinds failed
   without a success in between is excluded.
   PLACEMENT_EXCLUDED_DIVISOR - at most one worker in this many is excluded:
   when more fail, the fault lies elsewhere.
   PLACEMENT_CHECKPOINT_TIMEOUT_US - a checkpoint that takes longer becomes a
   stop: urgent jobs have to start within 1.3 s.
   PLACEMENT_RESERVATION_US - longest reservation of a worker for an urgent
   job.
   PLACEMENT_YIELD_US - longest time for which other teams wait for a job that
   needs processors or memory.  It stops teams whose weighted dominant share
   exceeds that of the job's team by more than one part in
   PLACEMENT_YIELD_DIVISOR.
   PLACEMENT_STARVATION_US - a job that has waited this long at the head of its
   queue gets a worker reserved for it.
   PLACEMENT_RESERVED_DIVISOR - at most one worker in this many is reserved for
   such jobs.  */
#define PLACEMENT_LEASE_US 10000000
#define PLACEMENT_FAILED_WORKERS_MAX 3
#define PLACEMENT_FAILED_RUNS_MAX 6
#define PLACEMENT_EXCLUDE_KINDS 3
#define PLACEMENT_EXCLUDED_DIVISOR 10
#define PLACEMENT_CHECKPOINT_TIMEOUT_US 600000
#define PLACEMENT_RESERVATION_US 2000000
#define PLACEMENT_YIELD_US 2000000
#define PLACEMENT_YIELD_DIVISOR 16
#define PLACEMENT_STARVATION_US 30000000
#define PLACEMENT_RESERVED_DIVISOR 20

/* Jobs, teams and workers.  Not thread-safe: use from one thread or under a
   lock.  */
typedef struct placement placement_t;

/* placement_new - returns an empty placement.  Runs are numbered above
   LAST_RUN, which must exceed every run number of earlier processes; the
   incarnation of the process does.  */
placement_t *placement_new (uint64_t last_run);
void placement_free (placement_t *placement);

/* placement_set_team - sets the share of TEAM and how many jobs it may run at
   once in the whole fleet.  A lower limit does not stop running jobs.  */
void placement_set_team (placement_t *placement, const char *team,
                         uint32_t share, uint32_t limit);

/* placement_set_worker - sets the capacity of WORKER.  It gets no new runs
   unless USABLE.  */
void placement_set_worker (placement_t *placement, const char *worker,
                           resources_t capacity, bool usable);

/* placement_worker_lost - handles the loss of WORKER.  Its idempotent jobs are
   queued again at once, the others when their leases have expired.  Until then
   all its runs count towards the limits of their teams, since they may still
   be running.  */
void placement_worker_lost (placement_t *placement, const char *worker);

/* placement_reinstate_worker - makes WORKER available again after the fault
   for which it was excluded has been repaired.  */
void placement_reinstate_worker (placement_t *placement, const char *worker);

/* placement_is_excluded - whether WORKER is excluded because jobs failed on
   it.  */
bool placement_is_excluded (const placement_t *placement, const char *worker);

/* placement_submit - queues the job SPEC.  Unless the result is
   SUBMIT_ACCEPTED, REASON is set to an explanation.  */
submit_result_t placement_submit (placement_t *placement,
                                  const job_spec_t *spec,
                                  char reason[PLACEMENT_REASON_BYTES]);

/* placement_cancel - removes the job ID.  A running job is told to stop and is
   removed when its run has ended.  Returns false when there is no such job or
   it is cancelled already.  */
bool placement_cancel (placement_t *placement, const char *id);

/* Reports of a worker on RUN of job ID.  They return false and change nothing
   when RUN is not the job's current run, as in a late report.
   placement_renew_lease - extends the lease; false, too, for an earlier end.
   placement_report_usage - records the resources that the run uses.
   placement_end_run - records the end of the run.  */
bool placement_renew_lease (placement_t *placement, const char *id,
                            uint64_t run, int64_t lease_end_us);
bool placement_report_usage (placement_t *placement, const char *id,
                             uint64_t run, resources_t used);
bool placement_end_run (placement_t *placement, const char *id, uint64_t run,
                        job_end_t end);

/* placement_next - stores up to MAX COMMANDS to send now, and returns their
   number.  Urgent jobs come first, then jobs of the team with the lowest
   dominant share for its weight (Ghodsi et al. 2011).  The commands count as
   carried out; call again until there are none.  */
uint32_t placement_next (placement_t *placement, int64_t now_us,
                         worker_command_t *commands, uint32_t max);

typedef struct job_info
{
  job_phase_t phase;
  const char *worker; /* NULL: none */
  uint64_t run;       /* 0: none */
  const char *reason; /* why it is held; NULL: not held */
} job_info_t;

/* placement_job_info - fills INFO for job ID; false when there is none.  */
bool placement_job_info (const placement_t *placement, const char *id,
                         job_info_t *info);

typedef struct team_info
{
  uint32_t running; /* includes runs on lost workers until their leases end */
  uint32_t queued;
  double dominant_share; /* largest fraction of the fleet's capacity, over the
                            resources */
} team_info_t;

/* placement_team_info - fills INFO for TEAM; false when there is none.  */
bool placement_team_info (const placement_t *placement, const char *team,
                          team_info_t *info);

#endif

/* scheduler - assigns tasks to workers and tracks their runs

   NAME
     sched

   DESCRIPTION
     Takes jobs, registrations of workers and replies to orders; produces
     orders to workers and progress records for the log.  A run of a task is
     over only when that is certain: the worker listed its end, the worker has
     restarted, the stop was confirmed, or the worker's lease has expired even
     on the slowest clock.  Until then the task is not started again and its
     resources stay allocated.

     A new owner first sends a hold to every worker and adopts the runs that
     the worker lists.  Its epoch is the fencing token, so workers reject
     orders of the previous owner from then on.  A task that an earlier owner
     may have started on a worker waits until that worker has replied or its
     leases have expired.

     Not thread-safe: calls come from one thread or under a lock.  NOW holds
     the current time twice: in microseconds on a monotonic clock that counts
     time in suspend, and in milliseconds since 1970.  */

#ifndef CUMINPIN_SCHEDULER_H
#define CUMINPIN_SCHEDULER_H

#include "admission.h"
#include "dispatch.h"
#include "jobtab.h"
#include "rules.h"

typedef struct sched sched_t;

typedef struct sched_now
{
  int64_t us;
  int64_t wall_ms;
} sched_now_t;

/* SCHED_LEASE_MS - lease for the runs on a worker, unless the platform allows
   less.  Long enough to replace a killed owner before the leases expire
   (owner.h), short enough that the tasks of a lost worker restart soon.  */
#define SCHED_LEASE_MS 3000

/* SCHED_LEASE_HORIZON_MS - an owner grants no lease that ends later than this
   after the log last confirmed its ownership.  A new owner relies on it for
   workers that it can't reach, because an owner that is partitioned together
   with workers keeps renewing their leases.  Longer than 5 s, the usual outage
   of the store.  */
#define SCHED_LEASE_HORIZON_MS 5500

typedef struct sched_limits
{
  uint32_t lease_ms;      /* lease for the runs on a worker */
  uint32_t hold_max_ms;   /* longest lease that workers accept */
  uint32_t stop_grace_ms; /* upper bound for stopping a run */
  uint32_t notice_ms;   /* a long-running task that hasn't run for this long is
                           unavailable */
  uint32_t evacuate_ms; /* bound on starts in a data centre after it was
                           withdrawn; 0: none */
  uint32_t host_lease_ms;  /* minimum interval between host orders of different
                              owners */
  bool avoid_interference; /* learn which tasks slow each other down, and keep
                              them apart */
  bool learn_run_times;    /* expect run times as learned, not as estimated */
  bool admit_by_objective; /* refuse jobs that can't be of value */
  bool keep_shares; /* prefer workspaces that have used less of a pool */
} sched_limits_t;

typedef enum worker_state
{
  WORKER_READY,
  WORKER_DRAINING
} worker_state_t;

/* A worker as it registers itself.  */
typedef struct worker_info
{
  const char *id; /* a restarted worker may keep it */
  const char *service;
  const char *address; /* HOST:PORT */
  const char *data_centre;
  const char *rack;          /* NULL: unknown */
  const char *host;          /* that it runs on; NULL: unknown */
  const char *const *labels; /* NULL-terminated */
  amounts_t capacity;
  int64_t boot_ms;         /* boot time, since 1970; 0: unknown */
  uint32_t warmup_left_ms; /* it is slow for this time */
  worker_state_t state;
} worker_info_t;

typedef enum run_end_kind
{
  RUN_DONE,
  RUN_FAILED,
  RUN_STOPPED,
  RUN_LAPSED, /* its lease expired */
  RUN_BROKEN, /* another task of its gang ended */
  RUN_ALONE   /* the other tasks of its gang did not start in time */
} run_end_kind_t;

typedef struct run_status
{
  task_ref_t task;
  uint32_t attempt;
  const char *checkpoint;
  uint32_t percent; /* progress; long-running: share of full speed */
  uint32_t load; /* long-running: tail latency in ms; else CPU, milli-cores */
} run_status_t;

typedef struct run_end
{
  uint64_t sequence;
  task_ref_t task;
  uint32_t attempt;
  run_end_kind_t kind;
  const char *checkpoint;
} run_end_t;

/* Current and ended runs, as a worker lists them in its reply to a hold.  */
typedef struct worker_report
{
  int64_t boot_ms; /* 0: unknown */
  run_status_t *runs;
  uint32_t runs_count;
  run_end_t *ends;
  uint32_t ends_count;
} worker_report_t;

typedef enum reply_kind
{
  REPLY_OK,
  REPLY_FENCED,      /* the worker knows a higher fencing token */
  REPLY_OLD_ATTEMPT, /* the worker had this or a later attempt before */
  REPLY_LATE_ORDER,  /* the order's deadline has passed */
  REPLY_NO_ROOM,     /* the worker lacks capacity */
  REPLY_NO_TICKET, /* the ticket that the queue's policy requires is missing or
                      invalid */
  REPLY_BUSY,      /* the worker is unhealthy; nothing was done */
  REPLY_OTHER_BOOT, /* the worker has restarted */
  REPLY_REFUSED,    /* the connection was refused; nothing was done */
  REPLY_BAD_ORDER,  /* the worker rejected the order as malformed */
  REPLY_NO_ANSWER   /* no answer; the order may still be carried out */
} reply_kind_t;

typedef struct worker_reply
{
  reply_kind_t kind;
  int64_t clock_ms; /* the worker's clock; valid if has_clock */
  bool has_clock;
  int64_t sent_us;
} worker_reply_t;

typedef enum order_kind
{
  ORDER_HOLD, /* long poll: renews the lease and lists runs and ends */
  ORDER_START,
  ORDER_STOP,
  ORDER_PACE /* limit a run to a share of its speed */
} order_kind_t;

/* An order to a worker.  Its strings are valid until the next call of the
   scheduler.  */
typedef struct order
{
  order_kind_t kind;
  const char *worker;      /* interned */
  const char *address;     /* interned */
  const char *data_centre; /* interned; of the worker */
  uint64_t token;          /* fencing token */
  uint32_t boot_number; /* START: of the worker's boot whose clock DEADLINE_MS
                           is on.  Not part of the request: workers can't be
                           asked to compare it.  */
  int64_t deadline_ms;  /* HOLD, START: end of the lease on the worker's clock;
                           0: none */
  int64_t
      send_by_us; /* START: it is not sent later.  Its deadline passes then,
                     but a later boot of the worker has another clock.  */
  uint64_t ends_durable; /* HOLD: last end to forget; 0: none */
  uint32_t wait_ms; /* HOLD: longest time that the worker waits for an end */
  task_ref_t task;  /* START, STOP, PACE */
  uint32_t attempt;
  const char *payload;    /* START */
  const char *checkpoint; /* START; NULL: none */
  const char *ticket;     /* START; NULL: the queue requires none */
  uint32_t percent;       /* PACE */
} order_t;

/* sched_new - the scheduler of an owner with EPOCH, with all jobs of TABLE
   that are not final, and those that are and may have runs, which are
   stopped.  */
sched_t *sched_new (const jobtab_t *table, uint64_t epoch,
                    const sched_limits_t *limits, const rules_t *rules,
                    sched_now_t now);
void sched_free (sched_t *sched);

/* sched_set_rules - replace the rules; RULES must stay valid until the next
   call.  */
void sched_set_rules (sched_t *sched, const rules_t *rules);

/* sched_confirm_ownership - the log confirmed, as of CONFIRMED_US, that this
   daemon is the owner.  Leases are granted only for a time after that
   (SCHED_LEASE_HORIZON_MS).  */
void sched_confirm_ownership (sched_t *sched, int64_t confirmed_us);

void sched_add_job (sched_t *sched, const job_entry_t *entry, sched_now_t now);
void sched_cancel_job (sched_t *sched, const char *id);

/* sched_end_runs - the runs OVER, an array of run_over_t, were recorded as
   over by an earlier owner after the claim of this one.  Their tasks no longer
   wait for leases that these runs may have.  */
void sched_end_runs (sched_t *sched, const GArray *over, sched_now_t now);

/* sched_admit - whether the new job DESC is admitted.  An admitted one counts
   as waiting from then on; it is to be submitted.  A refusal is not recorded:
   the caller may find that the job is known, or that it is admitted now.
   sched_refuse - record that the client is told REFUSAL, and raise its
   Retry-After to when the job's turn comes.  False: the job is admitted, as no
   more refusals can be kept.  */
admission_t sched_admit (sched_t *sched, const job_desc_t *desc,
                         sched_now_t now);
bool sched_refuse (sched_t *sched, const job_desc_t *desc,
                   admission_t *refusal, sched_now_t now);

/* sched_set_worker - add a worker or update its registration.
   sched_unlist_worker - the worker is no longer registered; it is removed once
   its runs are over.  */
void sched_set_worker (sched_t *sched, const worker_info_t *info,
                       sched_now_t now);
void sched_unlist_worker (sched_t *sched, const char *id, sched_now_t now);

/* sched_retain_workers - unlist all workers whose ids are not in the set
   IDS.  */
void sched_retain_workers (sched_t *sched, GHashTable *ids, sched_now_t now);

/* Replies to orders.  REPORT is NULL unless the reply is REPLY_OK. False when
   the worker knows a later owner; the caller then gives up ownership.  */
bool sched_hold_reply (sched_t *sched, const order_t *order,
                       const worker_reply_t *reply,
                       const worker_report_t *report, sched_now_t now);
bool sched_order_reply (sched_t *sched, const order_t *order,
                        const worker_reply_t *reply, sched_now_t now);

/* sched_plan - the orders to send now, an array of order_t.  The caller takes
   all of them and empties the array before it calls the scheduler again.
   Orders that it doesn't send at once are judged again before they are sent.
 */
GArray *sched_plan (sched_t *sched, sched_now_t now);

/* sched_order_is_due - judge ORDER of an earlier plan again, before it is
   sent. False: it must not be sent, as what it was based on has changed.  */
bool sched_order_is_due (sched_t *sched, const order_t *order,
                         sched_now_t now);

/* sched_next_us - the latest time for the next call of sched_plan.  */
int64_t sched_next_us (const sched_t *sched);

/* sched_progress - the progress record to append, or NULL when there is none;
   the caller owns it.  A batch that is too large for one record takes several
   calls; all but the last of its records have the number of the batch before,
   as the batch is durable only with the last one.  */
job_rec_t *sched_progress (sched_t *sched);

bool sched_has_progress (const sched_t *sched);

/* sched_set_load - the owner has been busy for BUSY_PERCENT of the time. Under
   high load it sends holds less often, so that each reply lists more ends.  */
void sched_set_load (sched_t *sched, uint32_t busy_percent);

/* sched_start_window - how many starts the owner has time for at once.  */
uint32_t sched_start_window (const sched_t *sched);

/* sched_set_durable - all progress up to BATCH was read back from the log
   while this daemon was the owner, so workers may forget the ends in it.  The
   store's reply to the append is not enough: a claim may precede the record in
   the log, and the next owner then ignores these ends.  */
void sched_set_durable (sched_t *sched, uint64_t batch);

/* sched_count_workers - append the number of registered workers of each data
   centre to CENTRES, an array of dispatch_centre_t.  */
void sched_count_workers (const sched_t *sched, GArray *centres);

/* sched_dump - append the state as text, for operators.  */
void sched_dump (const sched_t *sched, GString *out, sched_now_t now);

#endif

/* scheduler - what the owner of the decisions has its workers do

   NAME
     sched

   DESCRIPTION
     Takes in jobs, workers, and what workers answer; gives orders to workers
     and progress for the log.  A run of a task is over only when that is
     certain: its end was listed, its worker is another boot now, its stop was
     confirmed, or the lease of its worker has surely ended.  Until then the
     task is not started again and what it holds stays taken.

     A new owner first looks at every worker (its epoch is the fencing token,
     so orders of the one before do nothing from then on) and takes over what
     runs there.  Tasks of a service wait until all its workers have answered
     or their leases have ended.

     One thread, or a lock.  NOW is the present on a clock that goes on while
     the machine is suspended, in microseconds, and since 1970.  */

#ifndef CUMINPIN_SCHEDULER_H
#define CUMINPIN_SCHEDULER_H

#include "jobtab.h"
#include "rules.h"

typedef struct sched sched_t;

typedef struct sched_now
{
  int64_t us;
  int64_t wall_ms;
} sched_now_t;

/* SCHED_LEASE_MS - lease of what runs on a worker unless the platform allows
   less.  Long enough for a killed owner to be replaced inside it (owner.h),
   short enough that tasks of a lost worker start again soon.  */
#define SCHED_LEASE_MS 3000

/* SCHED_LEASE_HORIZON_MS - an owner gives no lease that ends later than this
   after it last knew from the log that it was the owner.  A new owner relies
   on it for workers that it can't reach: an owner that is cut off together
   with workers goes on renewing their leases.  Long enough to outlast an
   outage of the store of 5 s, the usual one.  */
#define SCHED_LEASE_HORIZON_MS 5500

typedef struct sched_limits
{
  uint32_t lease_ms;      /* of what runs on a worker */
  uint32_t stop_grace_ms; /* a stop takes no longer */
  uint32_t notice_ms;     /* a lasting task not at work for so long is away */
  uint32_t host_lease_ms; /* pause between owners' orders on one host */
} sched_limits_t;

typedef enum worker_state
{
  WORKER_READY,
  WORKER_DRAINING
} worker_state_t;

/* A worker as it reports itself.  */
typedef struct worker_info
{
  const char *id; /* of this boot */
  const char *service;
  const char *address; /* HOST:PORT */
  const char *data_centre;
  const char *rack;          /* NULL: unknown */
  const char *const *labels; /* NULL-terminated */
  amounts_t capacity;
  int64_t boot_ms; /* start of this life, since 1970; 0: not said */
  worker_state_t state;
} worker_info_t;

typedef enum run_end_kind
{
  RUN_DONE,
  RUN_FAILED,
  RUN_STOPPED,
  RUN_LAPSED, /* its lease ended */
  RUN_BROKEN, /* another member of its gang ended */
  RUN_ALONE   /* its gang did not come together in time */
} run_end_kind_t;

typedef struct run_status
{
  task_ref_t task;
  uint32_t attempt;
  const char *checkpoint;
  uint32_t percent; /* share at which it works */
  uint32_t load;    /* tail of a serving task in ms; else processors, milli */
} run_status_t;

typedef struct run_end
{
  uint64_t sequence;
  task_ref_t task;
  uint32_t attempt;
  run_end_kind_t kind;
  const char *checkpoint;
} run_end_t;

/* What a worker says that it runs and what ended there.  */
typedef struct worker_report
{
  int64_t boot_ms; /* 0: not said */
  run_status_t *runs;
  uint32_t runs_count;
  run_end_t *ends;
  uint32_t ends_count;
} worker_report_t;

typedef enum reply_kind
{
  REPLY_OK,
  REPLY_FENCED,      /* the worker knows a higher fencing token */
  REPLY_OLD_ATTEMPT, /* this or a later attempt was there before */
  REPLY_LATE_ORDER,  /* the order's deadline has passed */
  REPLY_NO_ROOM,     /* does not fit */
  REPLY_NO_TICKET,   /* the queue's policy does not allow it */
  REPLY_BUSY,        /* unhealthy; nothing was done */
  REPLY_OTHER_BOOT,  /* the worker is another boot now */
  REPLY_REFUSED,     /* the connection was refused; nothing was done */
  REPLY_BAD_ORDER,   /* the worker could not read the order */
  REPLY_NO_ANSWER    /* no answer; it may be carried out, also later */
} reply_kind_t;

typedef struct worker_reply
{
  reply_kind_t kind;
  int64_t clock_ms; /* of the worker; valid if has_clock */
  bool has_clock;
  int64_t sent_us;
} worker_reply_t;

typedef enum order_kind
{
  ORDER_HOLD, /* renew the lease, list runs and ends */
  ORDER_START,
  ORDER_STOP,
  ORDER_PACE /* work at a share of its speed */
} order_kind_t;

/* An order to a worker.  Strings last until the scheduler is called again.  */
typedef struct order
{
  order_kind_t kind;
  const char *worker;  /* interned */
  const char *address; /* interned */
  uint64_t token;      /* fencing token */
  int64_t deadline_ms; /* HOLD, START: lease, on the worker's clock; 0: none */
  uint64_t ends_durable; /* HOLD: ends up to this number are durable */
  uint32_t wait_ms;      /* HOLD: the worker waits so long for an end */
  task_ref_t task;       /* START, STOP, PACE */
  uint32_t attempt;
  const char *payload;    /* START */
  const char *checkpoint; /* START; NULL: none */
  const char *ticket;     /* START; NULL: its queue needs none */
  uint32_t percent;       /* PACE */
} order_t;

/* sched_new - the decisions of EPOCH, on the jobs of TABLE that are not
   final.  */
sched_t *sched_new (const jobtab_t *table, uint64_t epoch,
                    const sched_limits_t *limits, const rules_t *rules,
                    sched_now_t now);
void sched_free (sched_t *sched);

/* sched_set_rules - RULES must last until the next call.  */
void sched_set_rules (sched_t *sched, const rules_t *rules);

/* sched_confirm_ownership - the log, as of CONFIRMED_US, says that this daemon
   is the owner.  Without it no leases are given.  */
void sched_confirm_ownership (sched_t *sched, int64_t confirmed_us);

void sched_add_job (sched_t *sched, const job_entry_t *entry, sched_now_t now);
void sched_cancel_job (sched_t *sched, const char *id);

/* sched_set_worker - the worker's report; sched_unlist_worker - it is no
   longer listed.  */
void sched_set_worker (sched_t *sched, const worker_info_t *info,
                       sched_now_t now);
void sched_unlist_worker (sched_t *sched, const char *id, sched_now_t now);

/* sched_retain_workers - drop all workers but those with ids in IDS, a set. */
void sched_retain_workers (sched_t *sched, GHashTable *ids, sched_now_t now);

/* Answers to orders.  LISTS is NULL unless the reply is REPLY_OK.  False: the
   worker knows a later owner; the caller gives the decisions up.  */
bool sched_hold_reply (sched_t *sched, const char *worker,
                       const worker_reply_t *reply,
                       const worker_report_t *lists, sched_now_t now);
bool sched_order_reply (sched_t *sched, const order_t *order,
                        const worker_reply_t *reply, sched_now_t now);

/* sched_plan - the orders to give now, of order_t.  The caller sends all of
   them and empties the array, before it calls the scheduler again.  */
GArray *sched_plan (sched_t *sched, sched_now_t now);

/* sched_next_us - when sched_plan has to be called at the latest.  */
int64_t sched_next_us (const sched_t *sched);

/* sched_progress - the progress to append, or NULL when there is none; the
   caller owns it.  */
job_rec_t *sched_progress (sched_t *sched);

bool sched_has_progress (const sched_t *sched);

/* sched_set_load - BUSY_PERCENT_MIN of the time the owner has been at work.
   With little time left it looks at workers less often, so that ends come
   together.  */
void sched_set_load (sched_t *sched, uint32_t busy_percent);

/* sched_set_durable - all progress up to BATCH was read back from the log
   while this daemon was the owner; workers may forget the ends in it.  The
   store's answer to the append is not enough: a claim may stand before the
   record, and the next owner then knows nothing of these ends.  */
void sched_set_durable (sched_t *sched, uint64_t batch);

/* sched_dump - the state as text, for operators.  */
void sched_dump (const sched_t *sched, GString *out, sched_now_t now);

#endif

/* jobtab - the job table, folded from the job log

   NAME
     jobtab_fold, jobtab_pack, jobtab_unpack

   DESCRIPTION
     The accepted jobs, their progress and the current owner, as recorded in
     the log.  Daemons that have folded the same records hold the same table.
     A snapshot of the table replaces the records before it.

     Only progress records of the current epoch take effect.  Of those that a
     replaced owner still appends, the runs that are over count: that a run has
     ended stays true whoever is the owner.  Starts and ends don't, as the next
     owner decides on them anew.

     Requests for one id take effect in the order of the log, and each only if
     its daemon had read the last one that has: a submission is void if the id
     was cancelled in a record that its daemon had not read when the request
     came, and a cancelling is if the job was accepted in such a record.  So
     what a client was told of a job stays true whichever record of it enters
     the log later.  */

#ifndef CUMINPIN_JOBTAB_H
#define CUMINPIN_JOBTAB_H

#include "access.h"
#include "cancels.h"

/* Recorded progress of one task.  */
typedef struct task_progress
{
  failures_t failures;
  uint32_t placed;    /* last attempt that was ordered to start; 0: none */
  uint32_t earlier;   /* the one before, if the task may run twice */
  const char *worker; /* of the last attempt; interned; NULL: it has ended */
  const char *earlier_worker; /* the same of the one before */
  bool done;
  /* Epoch that PLACED was recorded in, or a later one up to the present.  */
  uint32_t placed_epoch;
} task_progress_t;

/* The recorded runs of a job are kept for this time after its end.  They are
   stopped at once; where no stop arrives, they end with their leases, which an
   owner that has not read of the end yet grants for SCHED_LEASE_HORIZON_MS
   (scheduler.h).  Twice that, as wall clocks are stepped by up to 5 s.  */
#define JOBTAB_RUNS_KEPT_MS 11000

/* A job that is final has no payload.  If a recorded run of it may go on, it
   keeps for JOBTAB_RUNS_KEPT_MS what a new owner needs to count that run: the
   progress, and the steps without their order, labels, racks and images.  */
typedef struct job_entry
{
  job_desc_t *desc;
  job_state_t state;
  int64_t since_ms;       /* start of the current state, Unix time */
  task_progress_t *tasks; /* by task number; NULL: final, without runs */
  uint32_t tasks_count;
  uint64_t limit; /* cancellings with a lower position are void */
  /* Number of the first task of a gang -> gang_value_t of its last attempt.
     NULL: none is recorded, or the job is final.  */
  GHashTable *values;
} job_entry_t;

/* job_entry_set_value - record that ATTEMPT of the gang whose first task is
   NUMBER starts with VALUE, unless a later attempt is recorded.  */
void job_entry_set_value (job_entry_t *entry, uint32_t number,
                          uint32_t attempt, const char *value);

typedef struct ownership
{
  uint64_t epoch; /* 0: there was no owner yet */
  char *holder;
  bool released;
  bool same_daemon; /* the previous owner was an earlier run of this daemon */
} ownership_t;

typedef struct jobtab
{
  GHashTable *jobs; /* id -> job_entry_t */
  ownership_t owner;
  /* Workers to which no owner grants leases, interned -> int64_t: when those
     granted before have ended, by this daemon's clock; INT64_MAX: unknown.  */
  GHashTable *silent;
  cancels_t cancels;
  uint64_t next; /* offset of the first record that is not folded */
} jobtab_t;

typedef enum fold_kind
{
  FOLD_NOTHING,   /* no change: a duplicate, or from a replaced owner */
  FOLD_SUBMITTED, /* the entry is new */
  FOLD_CANCELLED, /* the entry was cancelled */
  FOLD_DENIED,  /* a cancelling of a job that is unknown or final, or that the
                   call didn't reach */
  FOLD_VOID,    /* a submission or cancelling without effect, as its daemon had
                   not read the last one of the id */
  FOLD_CLAIMED, /* the owner has changed */
  FOLD_RELEASED,  /* the owner has resigned */
  FOLD_RENEWED,   /* heartbeat of the owner */
  FOLD_PROBED,    /* a daemon requests a heartbeat */
  FOLD_PROGRESS,  /* the owner's progress was applied */
  FOLD_SUPERSEDED /* progress of a replaced owner; the record keeps the rows of
                     runs that are over that were applied */
} fold_kind_t;

typedef struct fold_result
{
  fold_kind_t kind;
  job_entry_t *entry; /* for FOLD_SUBMITTED and FOLD_CANCELLED */
} fold_result_t;

/* A holder is named DAEMON#START#SHARE#ADDRESS: the daemon's name, the start
   time of its process, its CPU share in percent of a core, and IP:PORT where
   it accepts links, if it does.
   holder_name - the holder name of a process; the caller frees it.  ADDRESS
   may be NULL.
   holder_is_same_daemon - whether A and B are processes of the same daemon.
   holder_start_ms - when that process was started; 0: unknown.
   holder_share_percent - the CPU share, or 0 when HOLDER has none.
   holder_address - the address, which points into HOLDER, or NULL.  */
char *holder_name (const char *daemon, int64_t start_ms, double cpu_share,
                   const char *address);
bool holder_is_same_daemon (const char *a, const char *b);
int64_t holder_start_ms (const char *holder);
uint32_t holder_share_percent (const char *holder);
const char *holder_address (const char *holder);

jobtab_t *jobtab_new (void);
void jobtab_free (jobtab_t *table);

/* job_entry_free - free ENTRY, a job_entry_t that is in no table.  */
void job_entry_free (gpointer entry);

/* jobtab_fold - apply REC at NOW_MS, Unix time, and NOW_US, by the clock that
   is not stepped.  TABLE may take parts of REC.  The caller has advanced
   table->next beyond REC.  */
fold_result_t jobtab_fold (jobtab_t *table, job_rec_t *rec, int64_t now_ms,
                           int64_t now_us);

/* jobtab_set_silent - WORKER, which is interned, gets no leases; those that it
   has have ended at UNTIL_US.  */
void jobtab_set_silent (jobtab_t *table, const char *worker, int64_t until_us);

/* task_may_run - whether a recorded run of the task with PROGRESS may go on.
 */
bool task_may_run (const task_progress_t *progress);

/* job_entry_is_of - whether ENTRY is of the queue and workspace of DESC, which
   has its id.  */
bool job_entry_is_of (const job_entry_t *entry, const job_desc_t *desc);

job_entry_t *jobtab_find (const jobtab_t *table, const char *id);

/* jobtab_purge - remove the jobs that have been final for KEEP_MS, and call
   DROP before each removal.  Forgets the runs of jobs that have been final for
   JOBTAB_RUNS_KEPT_MS.  */
void jobtab_purge (jobtab_t *table, int64_t now_ms, int64_t keep_ms,
                   void (*drop) (const job_entry_t *entry, void *ctx),
                   void *ctx);

/* jobtab_pack, jobtab_unpack - the snapshot of a table (tabpack.c).  */
GBytes *jobtab_pack (const jobtab_t *table);

/* jobtab_unpack - decode a snapshot of LEN bytes; NULL, with *ERROR set, when
   it is malformed.  */
jobtab_t *jobtab_unpack (const void *data, size_t len, GError **error);

#endif

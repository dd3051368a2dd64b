/* job - job descriptions and job log records

   NAME
     job, record

   DESCRIPTION
     A job is a list of steps; a step is a number of identical tasks.  A job
     with repeats runs its steps once per occurrence.  The durable state of
   jobs and of scheduler ownership is one totally ordered log of records, which
     every daemon folds into a table (jobtab.h).

     These functions read no clock, socket or file.  */

#ifndef CUMINPIN_JOB_H
#define CUMINPIN_JOB_H

#include "rules.h"

#define JOB_ID_LEN 16
#define JOB_ID_BYTES (JOB_ID_LEN + 1)

/* Limits on a description, so that one job can't exhaust a daemon's memory. */
#define JOB_STEPS_MAX 256
#define JOB_TASKS_MAX 100000
#define JOB_PAYLOAD_MAX 4000
#define JOB_NAME_MAX 4000
/* What the store takes as one record.  */
#define JOB_REC_BYTES_MAX (256 * 1024)

typedef struct job_step
{
  uint32_t count;
  amounts_t need;
  uint32_t estimate_ms;
  uint32_t *after; /* numbers of the earlier steps that it depends on */
  uint32_t after_count;
  char *label;         /* required of the worker; NULL: none */
  char *rack;          /* where its data is; NULL: anywhere */
  char *image;         /* tasks of one image behave alike; NULL: unknown */
  uint32_t spread_max; /* tasks of an occurrence per worker; 0: unlimited */
  uint32_t target_ms;  /* tail latency objective of a serving task; 0: none */
  uint32_t max_unavailable; /* tasks, through disruptions; 0: unlimited */
  bool checkpoints;
  bool gang; /* makes progress only while all its tasks run */
  bool same_rack;
  bool speculative;  /* a task may run as several copies at once */
  bool long_running; /* runs until the job is cancelled */
  bool filler;       /* runs on processors that other tasks leave idle */
} job_step_t;

typedef struct job_desc
{
  char id[JOB_ID_BYTES];
  const char *workspace;     /* interned; "": a public queue */
  const char *queue;         /* interned */
  queue_settings_t settings; /* of the queue at acceptance */
  /* Limits of the workspace at acceptance; its name is NULL if the record has
     none.  */
  rules_workspace_t limits;
  char *payload;
  job_step_t *steps;
  uint32_t steps_count;
  uint32_t repeats; /* 0: runs once, immediately */
  int64_t start_ms; /* of occurrence 0, Unix time */
  int64_t interval_ms;
  int64_t accepted_ms; /* Unix time, by the clock of the accepting daemon */
  uint32_t extra_refs; /* references beyond the first; not atomic */
} job_desc_t;

/* job_desc_ref - add a reference to DESC, and return DESC.
   job_desc_unref - drop a reference; the last one frees DESC.  */
job_desc_t *job_desc_ref (job_desc_t *desc);
void job_desc_unref (job_desc_t *desc);

/* job_desc_accept - set what DESC gets at its acceptance by QUEUE at NOW_MS,
   Unix time, beside its workspace; LIMITS are those of the workspace, or
   NULL.  */
void job_desc_accept (job_desc_t *desc, const rules_queue_t *queue,
                      const rules_workspace_t *limits, int64_t now_ms);

/* job_id_is_valid - whether TEXT is an id: 16 hexadecimal digits.  */
bool job_id_is_valid (const char *text);

/* job_occurrences - the number of occurrences, at least 1.
   job_tasks_per_occurrence - the number of tasks in each of them.
   job_tasks - the number of tasks in all of them.  */
uint32_t job_occurrences (const job_desc_t *desc);
uint32_t job_tasks_per_occurrence (const job_desc_t *desc);
uint32_t job_tasks (const job_desc_t *desc);

/* job_check - an error message for the client, or NULL when DESC is valid.  */
const char *job_check (const job_desc_t *desc);

/* Identifies a task of a job.  */
typedef struct task_ref
{
  char id[JOB_ID_BYTES];
  uint32_t occurrence;
  uint32_t step;
  uint32_t index;
} task_ref_t;

bool task_ref_equal (const task_ref_t *a, const task_ref_t *b);

/* job_task_number - the index of REF among all tasks of DESC, or UINT32_MAX
   when DESC has no such task.  */
uint32_t job_task_number (const job_desc_t *desc, const task_ref_t *ref);

/* Failed attempts of a task.  Workers report an end repeatedly until it is
   durable, and ends in any order, so each attempt is counted once, by its
   number.  Beyond FAILURES_KEPT failures, only attempts with a number above
   the highest are counted.  */
#define FAILURES_KEPT 6

typedef struct failures
{
  uint32_t count;
  uint32_t attempts[FAILURES_KEPT];
  uint32_t highest;
} failures_t;

/* failures_add - count ATTEMPT; false when it was counted before.  */
bool failures_add (failures_t *failures, uint32_t attempt);

typedef enum job_state
{
  JOB_STATE_QUEUED,
  JOB_STATE_RUNNING,
  JOB_STATE_COMPLETE,
  JOB_STATE_FAILED,
  JOB_STATE_CANCELLED
} job_state_t;

bool job_state_is_final (job_state_t state);

typedef enum job_rec_kind
{
  JREC_SUBMIT = 1, /* a daemon accepted a job */
  JREC_CANCEL,     /* a daemon accepted a cancellation */
  JREC_CLAIM,      /* a daemon claims ownership of scheduling */
  JREC_RENEW,      /* heartbeat of the owner */
  JREC_PROBE,      /* a daemon requests a heartbeat of the owner */
  JREC_RELEASE,    /* the owner resigns */
  JREC_PROGRESS    /* the owner reports starts, ends and state changes */
} job_rec_kind_t;

typedef struct task_end
{
  task_ref_t task;
  uint32_t attempt;
  bool done; /* false: it failed */
} task_end_t;

/* A task start that the owner is about to order.  */
typedef struct task_placed
{
  task_ref_t task;
  uint32_t attempt;
  const char *worker; /* interned */
} task_placed_t;

/* A run that is over without a result: it was stopped, its lease has ended, or
   its worker is gone.  Without this a next owner waits for the longest lease
   that the run may have.  */
typedef struct run_over
{
  task_ref_t task;
  uint32_t attempt;
} run_over_t;

/* The owner records that a worker which may have leases of earlier owners does
   not answer it, and that it grants the worker no lease until a row with
   ANSWERS is in the log.  So later owners needn't count with leases of this
   one.  */
typedef struct worker_silence
{
  const char *worker; /* interned */
  bool answers;     /* the worker answers, or is gone: leases may be granted */
  uint32_t left_ms; /* otherwise: until all its leases have ended */
} worker_silence_t;

/* Longest value of a gang that is recorded, so that a progress record stays
   within what the store takes.  */
#define GANG_VALUE_BYTES_MAX 255

/* All starts of ATTEMPT of a gang carry VALUE, a checkpoint of an earlier
   attempt.  Recorded before any of them, so that the work isn't lost with the
   owner that knows of it.  */
typedef struct gang_value
{
  task_ref_t task; /* the first one of the gang */
  uint32_t attempt;
  char *value; /* owned */
} gang_value_t;

/* gang_values_new - an array of gang_value_t that frees the values.  */
GArray *gang_values_new (void);

typedef struct job_change
{
  char id[JOB_ID_BYTES];
  job_state_t state;
} job_change_t;

#define JOB_POSITION_NONE UINT64_MAX

/* A log record.  Epochs number the ownerships from 1.  A claim carries the
   epoch that it begins, one above the current one.  */
typedef struct job_rec
{
  job_rec_kind_t kind;
  /* SUBMIT, CANCEL: the number of log records that the daemon had read when
     the request came; JOB_POSITION_NONE in records of earlier versions.  It
     tells whether the daemon had read the last record of the same job.  */
  uint64_t position;
  union
  {
    job_desc_t *submit;
    struct
    {
      char id[JOB_ID_BYTES];
      /* A random number, by which a daemon knows its own record.  */
      uint64_t nonce;
      /* Of the jobs that it applies to; see access_call_t.  NULL in records of
         earlier versions: to any.  */
      const char *queue;     /* interned */
      const char *workspace; /* interned */
    } cancel;
    struct
    {
      uint64_t epoch;
      char *holder;
      /* CLAIM: the holder keeps to the rows on silent workers.  Daemons of
         earlier versions don't.  */
      bool heeds_silences;
    } owner; /* CLAIM, RENEW, PROBE, RELEASE */
    struct
    {
      uint64_t epoch;
      uint64_t batch;  /* sequence number among the owner's progress records */
      GArray *placed;  /* of task_placed_t */
      GArray *ends;    /* of task_end_t */
      GArray *changes; /* of job_change_t */
      /* Of run_over_t; NULL if there are none.  Daemons of earlier versions
         don't read them.  */
      GArray *over;
      GArray *silences; /* of worker_silence_t; the same */
      GArray *values;   /* of gang_value_t; the same */
    } progress;
  } u;
} job_rec_t;

void job_rec_clear (job_rec_t *rec);

GBytes *job_rec_pack (const job_rec_t *rec);

/* job_rec_is_submit - whether RECORD, which may be malformed, is a SUBMIT.  */
bool job_rec_is_submit (GBytes *record);

/* job_rec_unpack - decode the LEN bytes of DATA into REC; false, with *ERROR
   set, when they are malformed.  */
bool job_rec_unpack (const void *data, size_t len, job_rec_t *rec,
                     GError **error);

#endif

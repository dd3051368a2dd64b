/* job - descriptions of jobs, and the records of the job log

   NAME
     job, record

   DESCRIPTION
     A job is a list of steps; a step is a number of equal tasks.  A job with
     repeats runs its steps once for each occurrence.  All that must last about
     jobs and about who decides on them stands in one log of records, in one
     order; every daemon folds it (jobtab.h).

     Nothing here reads a clock, a socket or a file.  */

#ifndef CUMINPIN_JOB_H
#define CUMINPIN_JOB_H

#include "base.h"
#include "capacity_index.h"

#define JOB_ID_LEN 16
#define JOB_ID_BYTES (JOB_ID_LEN + 1)

/* Bounds on what a description may claim, so that one job can't take a
   daemon's memory.  */
#define JOB_STEPS_MAX 256
#define JOB_TASKS_MAX 100000
#define JOB_PAYLOAD_MAX 4000
#define JOB_NAME_MAX 200

typedef struct job_step
{
  uint32_t count;
  amounts_t need;
  uint32_t estimate_ms;
  uint32_t *after; /* earlier steps that have to be done */
  uint32_t after_count;
  char *label;         /* that the worker must have; NULL: none */
  char *rack;          /* where its data is; NULL: anywhere */
  char *image;         /* tasks of one image behave alike; NULL: unknown */
  uint32_t spread_max; /* tasks of an occurrence on one worker; 0: any */
  uint32_t target_ms;  /* tail latency of what a serving task serves */
  uint32_t may_miss;   /* tasks that may be away at once by our doing */
  bool checkpoints;
  bool gang; /* works only while all its tasks run */
  bool same_rack;
  bool speculative;  /* copies may run at once */
  bool long_running; /* runs until the job is cancelled */
  bool fills;        /* takes processors that others leave unused */
} job_step_t;

typedef struct job_desc
{
  char id[JOB_ID_BYTES];
  const char *workspace; /* interned; "": a public queue */
  const char *queue;     /* interned */
  const char *service;   /* interned; where the queue led when accepted */
  char *payload;
  job_step_t *steps;
  uint32_t steps_count;
  uint32_t repeats; /* 0: runs once, at once */
  int64_t start_ms; /* of occurrence 0, since 1970 */
  int64_t interval_ms;
  int64_t accepted_ms; /* since 1970, by the clock of the accepting daemon */
  uint32_t shared;     /* further holders; one thread only */
} job_desc_t;

/* job_desc_ref - one more holder of DESC.  job_desc_unref - one less; the
   last one frees it.  */
job_desc_t *job_desc_ref (job_desc_t *desc);
void job_desc_unref (job_desc_t *desc);

/* job_id_is_valid - whether TEXT is an id: 16 hexadecimal digits.  */
bool job_id_is_valid (const char *text);

/* job_occurrences, job_tasks_per_occurrence, job_tasks - numbers of
   occurrences, of tasks of one of them, and of all tasks.  */
uint32_t job_occurrences (const job_desc_t *desc);
uint32_t job_tasks_per_occurrence (const job_desc_t *desc);
uint32_t job_tasks (const job_desc_t *desc);

/* job_check - NULL, or what is wrong with DESC, for the client.  */
const char *job_check (const job_desc_t *desc);

/* A task of a job.  */
typedef struct task_ref
{
  char id[JOB_ID_BYTES];
  uint32_t occurrence;
  uint32_t step;
  uint32_t index;
} task_ref_t;

bool task_ref_equal (const task_ref_t *a, const task_ref_t *b);

/* job_task_number - the place of REF among all tasks of DESC; UINT32_MAX when
   it has none.  */
uint32_t job_task_number (const job_desc_t *desc, const task_ref_t *ref);

/* Attempts of a task that failed.  Workers list ends again until they are
   durable, and in any order, so each attempt is counted once by its number.
   Beyond FAILURES_KEPT only higher numbers count.  */
#define FAILURES_KEPT 6

typedef struct failures
{
  uint32_t count;
  uint32_t attempts[FAILURES_KEPT];
  uint32_t highest;
} failures_t;

/* failures_add - count ATTEMPT; false when it was counted before.  */
bool failures_add (failures_t *fails, uint32_t attempt);

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
  JREC_CLAIM,      /* a daemon wants to own the decisions */
  JREC_RENEW,      /* the owner is there */
  JREC_PROBE,      /* a daemon asks whether the owner is there */
  JREC_RELEASE,    /* the owner gives the decisions up */
  JREC_PROGRESS    /* the owner says how jobs went on */
} job_rec_kind_t;

typedef struct task_end
{
  task_ref_t task;
  uint32_t attempt;
  bool done; /* else it failed */
} task_end_t;

/* A start that the owner is about to order.  */
typedef struct task_placed
{
  task_ref_t task;
  uint32_t attempt;
  const char *worker; /* interned */
} task_placed_t;

typedef struct job_change
{
  char id[JOB_ID_BYTES];
  job_state_t state;
} job_change_t;

/* One record.  EPOCH numbers ownerships: 1, 2, ...  A claim names the one it
   wants to follow.  */
typedef struct job_rec
{
  job_rec_kind_t kind;
  union
  {
    job_desc_t *submit;
    char cancel[JOB_ID_BYTES];
    struct
    {
      uint64_t epoch;
      char *holder;
    } owner; /* CLAIM, RENEW, PROBE, RELEASE */
    struct
    {
      uint64_t epoch;
      uint64_t batch;  /* counts the owner's records of progress */
      GArray *placed;  /* of task_placed_t */
      GArray *ends;    /* of task_end_t */
      GArray *changes; /* of job_change_t */
    } progress;
  } u;
} job_rec_t;

void job_rec_clear (job_rec_t *rec);

GBytes *job_rec_pack (const job_rec_t *rec);

/* job_rec_unpack - false, with *ERROR set, when the LEN bytes of DATA are no
   record.  */
bool job_rec_unpack (const void *data, size_t len, job_rec_t *rec,
                     GError **error);

#endif

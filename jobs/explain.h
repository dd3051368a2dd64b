/* explain - where a job would be placed now, and why

   NAME
     sched_explain, explanation_free, explain_kind_name, explain_wait_name,
     explain_step_state_name

   DESCRIPTION
     Answers for a job that was accepted, or for one as it would be submitted,
     which for that is built as for a submission and never enters the tables.
     The functions that decide are called: judge, startorder, trial (a plan on
     copies) and admission.

     Nothing of the scheduler is changed.  An explanation is bounded in time by
     EXPLAIN_JUDGED_MAX and in size by EXPLAIN_STEPS_MAX.

     Times are forecasts by the expected run times.  */

#ifndef CUMINPIN_EXPLAIN_H
#define CUMINPIN_EXPLAIN_H

#include "reasons.h"
#include "scheduler.h"

/* Workers that an explanation judges at most, at about 40 ns each: 2 ms.  With
   3,000 workers, 3,000 jobs and 256 steps an explanation takes 10 ms in all,
   as long as a plan may take.  */
#define EXPLAIN_JUDGED_MAX 50000
/* Steps in an explanation.  Encoded they take up to 1,400 bytes each.  */
#define EXPLAIN_STEPS_MAX 64
#define EXPLAIN_BEST_MAX 3

typedef enum explain_kind
{
  EXPLAIN_PLACED, /* a task of it would start now, or all that can have
                     started */
  EXPLAIN_WAITS,
  EXPLAIN_REFUSED, /* by admission */
  EXPLAIN_ENDED,
  EXPLAIN_UNKNOWN_QUEUE,
  EXPLAIN_UNKNOWN_WORKSPACE,
  EXPLAIN_UNKNOWN_JOB
} explain_kind_t;

/* Why a step's tasks wait.  */
typedef enum explain_wait
{
  EXPLAIN_WAIT_NO_ROOM,     /* no worker has room */
  EXPLAIN_WAIT_CAP,         /* the workspace's cap is reached */
  EXPLAIN_WAIT_DRAINING,    /* all workers with its label are draining, or in
                               data centres that are withdrawn from use */
  EXPLAIN_WAIT_AHEAD,       /* jobs ahead of it take the room */
  EXPLAIN_WAIT_NO_WORKER,   /* the service has no workers */
  EXPLAIN_WAIT_NO_LABEL,    /* no worker has the step's label */
  EXPLAIN_WAIT_UNAVAILABLE, /* no worker accepts tasks */
  EXPLAIN_WAIT_TICKET,      /* the queue's policy hasn't allowed a worker */
  EXPLAIN_WAIT_STEP_LIMIT,  /* each worker has as many tasks as allowed */
  EXPLAIN_WAIT_AVOIDED,     /* the only worker is the one where it failed */
  EXPLAIN_WAIT_STARTS,      /* too many starts are unanswered */
  EXPLAIN_WAIT_RETRY,       /* the pause after a failure isn't over */
  EXPLAIN_WAIT_EARLIER_RUN, /* an earlier run has not ended */
  EXPLAIN_WAIT_OWNERSHIP,   /* the owner's leases are too short to start */
  EXPLAIN_WAIT_RULES,       /* the operators' records are not confirmed */
  EXPLAIN_WAIT_NOT_DUE,     /* the time of its next occurrence has not come */
  EXPLAIN_WAIT_UNDECIDED    /* as many workers were judged as may be */
} explain_wait_t;

typedef enum explain_step_state
{
  EXPLAIN_STEP_STARTS, /* tasks would start now */
  EXPLAIN_STEP_WAITS,  /* none of its waiting tasks would */
  EXPLAIN_STEP_RUNS,   /* all unfinished tasks have a run */
  EXPLAIN_STEP_BLOCKED /* earlier steps aren't done */
} explain_step_state_t;

typedef struct explain_best
{
  const char *worker; /* interned */
  double score;
} explain_best_t;

typedef struct explain_step
{
  uint32_t occurrence;
  uint32_t step;
  explain_step_state_t state;
  explain_wait_t wait; /* EXPLAIN_STEP_WAITS */
  uint32_t tasks;
  uint32_t done;
  uint32_t waiting; /* without a run */
  uint32_t starting;
  bool judged;      /* else what follows is unknown */
  uint32_t workers; /* considered */
  uint32_t judgements[JUDGEMENTS_COUNT];
  uint32_t best_count;
  explain_best_t best[EXPLAIN_BEST_MAX];
} explain_step_t;

/* Waiting tasks of the same service that start before the job's.  */
typedef struct explain_ahead
{
  uint32_t steps;
  uint32_t tasks[RANK_COUNT];
  int64_t pool_ms; /* their work on the whole pool; -1: it has no CPU */
} explain_ahead_t;

typedef struct explain_workspace
{
  const char *name; /* interned */
  uint32_t weight;
  bool over_share; /* the job exceeds its share */
  amounts_t cap;   /* 0: unlimited */
  amounts_t used;
} explain_workspace_t;

typedef struct explanation
{
  explain_kind_t kind;
  union
  {
    explain_wait_t wait; /* WAITS: of the first step that waits */
    job_state_t ended;   /* ENDED */
    struct
    {
      admission_reason_t reason;
      uint32_t retry_after_s;
    } refused; /* REFUSED */
  } u;
  char id[JOB_ID_BYTES];
  bool accepted;
  /* The rest is set if KIND is PLACED, WAITS or REFUSED.  */
  const char *queue; /* interned */
  const char *pool;  /* interned */
  uint32_t priority;
  bool has_rank;           /* a step is unfinished */
  rank_t rank;             /* of the first open step, else of the first
                              unfinished one */
  uint64_t starts_pending; /* unanswered starts of RANK and better ones ... */
  uint64_t starts_max;     /* ... and their limit */
  explain_ahead_t ahead;
  explain_workspace_t workspace;
  bool admission;   /* jobs may be refused */
  int64_t start_ms; /* from now; -1: unknown */
  int64_t end_ms;   /* the same; -1: unknown, or it doesn't end by itself */
  int64_t objective_ms;
  uint32_t steps_count; /* that are unfinished */
  GArray *steps;        /* of explain_step_t, the first EXPLAIN_STEPS_MAX of
                           them; those with tasks that could start first */
} explanation_t;

/* What is asked.  */
typedef struct explain_question
{
  const char *id;           /* of the job; "": none was given */
  const job_entry_t *entry; /* of ID in the job table; NULL: it has none */
  job_desc_t *desc;         /* as parsed, with its queue and workspace; NULL:
                               only an accepted job is asked for */
} explain_question_t;

/* sched_explain - the explanation; the caller frees it.  The settings of DESC,
   if it is used, are set as for a submission.  */
explanation_t *sched_explain (const sched_t *sched,
                              const explain_question_t *question,
                              sched_now_t now);
void explanation_free (explanation_t *explanation);

/* Names as they stand in messages.  */
const char *explain_kind_name (explain_kind_t kind);
const char *explain_wait_name (explain_wait_t wait);
const char *explain_step_state_name (explain_step_state_t state);

#endif

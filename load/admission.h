/* admission - whether a new job can still be of value

   NAME
     admission

   DESCRIPTION
     A job is of value until ADMISSION_VALUE_FACTOR times its objective after
     its submission.  It is refused only if, by the forecast, it ends later:

       - Its first tasks start when the work that precedes it in its pool has
         been started: work of jobs that can be on time, and, once this job is
         late itself, that of late ones.  The pool's capacity grows by hosts on
         their way and by those that other pools can lend.
       - The cap of its workspace lets the workspace's own work through no
         faster.
       - From its start, its longest chain of expected run times passes.

     Its own amount of work doesn't count against it, so large jobs are refused
     as often as small ones with the same objective.

     A job is always admitted while there is room for its first step, if it is
     long-running or recurring, and if the pool's state isn't known.

     Pure: no state, threads or clocks.  Amounts are those of capacity_index.h;
     durations are in milliseconds, points in time in microseconds on a
     monotonic clock.  */

#ifndef CUMINPIN_ADMISSION_H
#define CUMINPIN_ADMISSION_H

#include "base.h"
#include "capacity_index.h"

/* A job earns something up to this multiple of its objective.  */
#define ADMISSION_VALUE_FACTOR 3
/* When a host that is on its way to the pool counts: a move takes about a
   second.  */
#define ADMISSION_INCOMING_MS 1000
/* When a host that another pool can lend counts: the time to notice the need
   and to move it.  */
#define ADMISSION_LEND_MS 2000
/* Longest Retry-After, half of a client's longest deadline.  Forecasts beyond
   it are worth nothing.  */
#define ADMISSION_RETRY_MAX_S 30

/* Order in which the jobs of a pool start.  */
typedef enum admission_rank
{
  ADMISSION_ON_TIME,    /* the job can meet its objective */
  ADMISSION_LATE,       /* it can still be of value */
  ADMISSION_OVER_SHARE, /* it exceeds its workspace's share */
  ADMISSION_RANKS
} admission_rank_t;

/* Amounts of resources times milliseconds.  */
typedef struct admission_work
{
  double cpu_milli_ms;
  double mem_mib_ms;
  double accels_ms;
} admission_work_t;

typedef struct admission_pool
{
  bool known; /* workers have reported, and the owner has had time for it */
  amounts_t capacity; /* of workers that accept tasks, without what
                         long-running tasks hold */
  amounts_t incoming; /* of hosts on their way */
  amounts_t lendable; /* of idle hosts of other pools */
  amounts_t free;     /* left by running tasks and by waiting ones that can
                         start now */
  amounts_t used;     /* by running tasks that end */
  admission_work_t running;
  admission_work_t waiting[ADMISSION_RANKS];
  double reserved_ms; /* time of the whole pool for jobs that were refused and
                         whose turn has come */
} admission_pool_t;

typedef struct admission_job
{
  bool endless; /* long-running or recurring */
  bool fits;    /* a worker has room for one of its first tasks */
  admission_rank_t rank;
  int64_t submitted_us;
  int64_t objective_ms;
  int64_t chain_ms;      /* longest chain of expected run times */
  amounts_t first_need;  /* of one of its first tasks */
  admission_work_t work; /* of all its tasks */
} admission_job_t;

typedef struct admission_workspace
{
  amounts_t cap;            /* on its running tasks; 0: unlimited */
  amounts_t used;           /* by its running tasks */
  amounts_t waiting_need;   /* of its waiting tasks that could start now */
  admission_work_t waiting; /* its work that has not been started */
} admission_workspace_t;

typedef enum admission_kind
{
  ADMISSION_ADMIT,
  ADMISSION_REFUSE
} admission_kind_t;

typedef enum admission_why
{
  ADMISSION_UNKNOWN_STATE, /* no forecast is possible */
  ADMISSION_ENDLESS,
  ADMISSION_ROOM,
  ADMISSION_IN_TIME /* by the forecast */
} admission_why_t;

typedef enum admission_reason
{
  ADMISSION_POOL_BUSY,
  ADMISSION_WORKSPACE_CAP,
  ADMISSION_REPEATED /* it was refused before, and its turn has not come */
} admission_reason_t;

typedef struct admission
{
  admission_kind_t kind;
  int64_t start_ms;   /* from now, by the forecast */
  int64_t end_ms;     /* the same */
  int64_t allowed_ms; /* from now until the job is of no value */
  union
  {
    admission_why_t why; /* ADMIT */
    struct
    {
      admission_reason_t reason;
      uint32_t retry_after_s; /* until there will be room */
    } refuse;                 /* REFUSE */
  } u;
} admission_t;

admission_t admission_decide (const admission_pool_t *pool,
                              const admission_job_t *job,
                              const admission_workspace_t *workspace,
                              int64_t now_us);

/* admission_reason_name - REASON as it stands in log lines.  */
const char *admission_reason_name (admission_reason_t reason);

/* admission_work_add - add the work of COUNT tasks of NEED for EACH_MS.  */
void admission_work_add (admission_work_t *work, const amounts_t *need,
                         uint32_t count, double each_ms);

/* admission_pool_time_ms - how long WORK takes on the whole POOL with what it
   gets; HUGE_VAL if never.  */
double admission_pool_time_ms (const admission_pool_t *pool,
                               const admission_work_t *work);

#endif

/* judge - whether a worker may run a task, and how well it suits

   NAME
     judge

   DESCRIPTION
     The placement (place.c) takes the suitable worker with the highest score;
     an explanation (explain.c) counts the reasons why others are passed over.
     Both call these functions, so what is explained is what is decided.

     Nothing is changed.  The functions read no clock; the present time is an
     argument.  Private to jobs/.  */

#ifndef CUMINPIN_JUDGE_H
#define CUMINPIN_JUDGE_H

#include "reasons.h"
#include "schedint.h"

/* A task that workers are judged for, with what is the same for all of
   them.  */
typedef struct judge_task
{
  const stage_t *stage;
  const task_t *task;
  amounts_t need; /* of a worker */
  bool needs_ticket;
} judge_task_t;

judge_task_t judge_task (const stage_t *stage, const task_t *task);

/* judge_availability - whether WORKER may get tasks at all: one of
   JUDGED_SUITABLE to JUDGED_PAUSED.
   judge_worker - whether WORKER, which is of the pool of TASK's job, may run
   TASK.
   judge_score - score of WORKER, which may run TASK.
   judge_best - the worker of POOL with the highest score among those that may
   run TASK; NULL: none may.  */
judgement_t judge_availability (const worker_t *worker, int64_t now_us);
judgement_t judge_worker (const judge_task_t *task, const worker_t *worker,
                          int64_t now_us);
double judge_score (const judge_task_t *task, const worker_t *worker);
worker_t *judge_best (const judge_task_t *task, const pool_t *pool,
                      int64_t now_us);

/* judge_label - whether WORKER has the label of STAGE's step, if that requires
   one.
   judge_run_is_allowed - whether the service, labels and capacity of RUN's
   worker and the limit of tasks per worker allow RUN, which is counted
   there.  */
bool judge_label (const worker_t *worker, const stage_t *stage);
bool judge_run_is_allowed (const run_t *run);

#endif

/* trial - a plan of one pool that changes nothing

   NAME
     trial

   DESCRIPTION
     Places tasks as place.c does, with the same functions, on copies of the
     pool's workers.  A task that is placed takes its room there, so that the
     next one finds what is left.

     Differences to a plan: starts of other pools do not count as unanswered,
     and the worker of a job's last start is that of the last plan.

     A trial ends when it has judged as many workers as it may (trial_new),
     which bounds its time.  Private to jobs/.  */

#ifndef CUMINPIN_TRIAL_H
#define CUMINPIN_TRIAL_H

#include "startorder.h"

typedef struct trial trial_t;

/* Why no more tasks of a stage start.  */
typedef enum trial_stop
{
  TRIAL_ALL,         /* all have started */
  TRIAL_NO_WORKER,   /* no worker may run the next one */
  TRIAL_CAP,         /* the workspace's cap is reached */
  TRIAL_STARTS,      /* too many starts of the rank are unanswered */
  TRIAL_RETRY,       /* the pause after a failure isn't over */
  TRIAL_EARLIER_RUN, /* earlier runs have not ended */
  TRIAL_BUDGET       /* as many workers were judged as may be */
} trial_stop_t;

typedef struct trial_result
{
  uint32_t started; /* tasks that start */
  trial_stop_t stop;
} trial_result_t;

/* trial_new - a trial on POOL that judges about JUDGED_MAX workers at most.
   SCHED and POOL must not change while it is used.  */
trial_t *trial_new (const sched_t *sched, const pool_t *pool,
                    uint64_t judged_max, sched_now_t now);
void trial_free (trial_t *trial);

/* trial_place - place the unstarted tasks of STAGE, which has RANK, beside
   those placed before.  */
trial_result_t trial_place (trial_t *trial, const stage_t *stage, rank_t rank);

/* trial_allow - let TRIAL judge MORE workers.
   trial_is_spent - whether TRIAL may judge no more of them.  */
void trial_allow (trial_t *trial, uint64_t more);
bool trial_is_spent (const trial_t *trial);

/* What follows is about long-running tasks that have to leave their worker.
   Their queue's policy isn't asked: tickets are requested when they start.  */

/* trial_expect_ends - count the room of short runs that are expected to end
   within WITHIN_US as free.  A run that is overdue is expected to go on for
   as long as it has been overdue.  */
void trial_expect_ends (trial_t *trial, int64_t within_us);

/* trial_place_waiting - place the tasks that have no run, as far as there is
   room and the caps of their workspaces allow it.  False: one has no place. */
bool trial_place_waiting (trial_t *trial);

/* trial_move_run - place the task of RUN elsewhere; false: it has no place.
   trial_has_placed - whether TASK has a place in this trial.  */
bool trial_move_run (trial_t *trial, const run_t *run);
bool trial_has_placed (const trial_t *trial, const task_t *task);

/* Which tasks of a worker may be left without a place.  */
typedef enum vacate_rule
{
  VACATE_ALL,         /* none */
  VACATE_ALL_BUT_ONE, /* one of each step that limits how many are unavailable,
                         and all of the others: those end with the host, and
                         start again when it is back */
  VACATE_POSSIBLE     /* any */
} vacate_rule_t;

typedef enum vacated
{
  VACATED_ALL,  /* each task has a place */
  VACATED_PART, /* those that RULE allows have none */
  VACATED_NONE  /* RULE doesn't allow it, and nothing has changed */
} vacated_t;

/* trial_vacate - use WORKER no more, and place its tasks elsewhere.  Those
   that were placed there in this trial must have another place.  */
vacated_t trial_vacate (trial_t *trial, const worker_t *worker,
                        vacate_rule_t rule);

#endif

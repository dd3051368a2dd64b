/* startorder - the order in which waiting stages start

   NAME
     startorder

   DESCRIPTION
     Stages of all pools are ordered together: by rank, then by the priority of
     their queue, then by the shares of their workspaces (fairness.c), then by
     cost.  Unanswered starts are limited (startwindow.h); a busy owner leaves
     lower ranks less.

     Nothing is changed.  The functions read no clock; the present time is an
     argument.  Private to jobs/.  */

#ifndef CUMINPIN_STARTORDER_H
#define CUMINPIN_STARTORDER_H

#include "reasons.h"
#include "schedint.h"

/* A stage with tasks to start, and its keys in the order of starts.  */
typedef struct candidate
{
  stage_t *stage;
  rank_t rank;
  uint32_t priority;
  const shares_account_t *account; /* of its workspace; NULL: none */
  bool exceeds_pool;               /* it gets no preference by its account */
  double cost;                     /* lower starts first */
} candidate_t;

/* start_rank - the rank of STAGE.  */
rank_t start_rank (const stage_t *stage, int64_t now_us);

/* start_pool_cpu_milli - CPU of POOL's registered workers; at least 1.
   start_candidate - the keys of STAGE, whose pool has that CPU.
   start_compare - compare two candidates; the lower one starts first.  */
double start_pool_cpu_milli (const pool_t *pool);
candidate_t start_candidate (stage_t *stage, double pool_cpu_milli,
                             int64_t now_us);
int start_compare (const void *a, const void *b);

/* start_limit - no more tasks of RANK are planned while this many starts of it
   and of better ranks are unanswered: it gets what these leave.
   starts_pending - number of these.
   starts_are_limited - whether MORE of them, beside those, reach the limit. */
uint64_t start_limit (const sched_t *sched, rank_t rank);
uint64_t starts_pending (const sched_t *sched, rank_t rank);
bool starts_are_limited (const sched_t *sched, rank_t rank, uint32_t more);

#endif

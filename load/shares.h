/* shares - what workspaces have used of each pool, by their weights

   NAME
     shares

   DESCRIPTION
     Adds up what the runs of each workspace use of each pool over a sliding
     window, and says before a plan how far each workspace is in its share, in
     steps.  Waiting work of the workspace in the lowest step is preferred;
     docs/design/shares.md says how that is combined with the objective.

     The use of a workspace is the largest of its parts of the pool's CPU,
     memory and accelerators, averaged over the window.  Its share is its
   weight by those of all workspaces that have used the pool in the window or
   wait for it.  Before the first period is over, use is what runs now.

     A caller reports each run with shares_begin and shares_end.  Before a plan
     it calls shares_open_plan for a pool, shares_wait for each stage that
   waits there, and shares_judge.  Then shares_step is valid until the next
   plan.

     At most SHARES_ACCOUNTS_MAX accounts, pairs of workspace and pool, are
     kept.  The one that was used least recently is dropped, unless it has runs
     or waits in the present plan.  An account that can't be kept is NULL,
   which all functions accept, and counts as having used nothing.

     Not thread-safe.  Names are interned.  Times are in microseconds on a
     monotonic clock, passed as NOW_US.

   SOURCE
     load/shares.c; load/meter.h  */

#ifndef CUMINPIN_SHARES_H
#define CUMINPIN_SHARES_H

#include "capacity_index.h"

typedef struct shares shares_t;
typedef struct shares_account shares_account_t;

/* An account takes about 600 bytes, so that 4,096 take 2.5 MB of the 160 MB
   that an entry host has at least.  */
#define SHARES_ACCOUNTS_MAX 4096
/* A step is this part of a workspace's share.  Workspaces at their usual load
   use nearly the same of their shares, and between them the slack of their
   jobs should decide.  */
#define SHARES_STEPS 8
/* Work that has waited for less is not taken for delayed: a start takes up to
   that long where there is room.  */
#define SHARES_DELAY_MIN_US 100000
/* A workspace yields as long as it did so within this time, so that the log
   has one line for a burst.  */
#define SHARES_YIELD_HOLD_US 1000000

/* What a decision is based on.  Parts of the pool are in thousandths.  */
typedef struct shares_use
{
  const char *pool;
  const char *workspace;
  uint32_t weight;      /* 0 counts as 1 */
  uint64_t weights;     /* sum over the workspaces that share the pool */
  uint32_t workspaces;  /* number of these */
  uint32_t use_milli;   /* largest part, averaged over the window */
  uint32_t now_milli;   /* the same of what runs now */
  uint32_t share_milli; /* WEIGHT by WEIGHTS */
  uint32_t step;        /* use, in parts of the share */
  uint32_t lowest_step; /* of the workspaces that wait for the pool */
  uint32_t waiting;     /* its stages that wait, as of the last plan */
  uint32_t waited_ms;   /* the longest that one of these has waited */
  bool yields; /* it waits beyond its share while another one is ahead */
} shares_use_t;

typedef void (*shares_visit_t) (const shares_use_t *use, void *ctx);

shares_t *shares_new (void);
void shares_free (shares_t *shares);

/* shares_begin - a run of WORKSPACE begins to use AMOUNTS of POOL.  Returns
   the account for shares_end.  */
shares_account_t *shares_begin (shares_t *shares, const char *pool,
                                const char *workspace, uint32_t weight,
                                const amounts_t *amounts, int64_t now_us);

/* shares_end - a run that was counted in ACCOUNT uses AMOUNTS no more.  */
void shares_end (shares_t *shares, shares_account_t *account,
                 const amounts_t *amounts, int64_t now_us);

/* shares_open_plan - work that waits for POOL is counted from now on; the pool
   has CAPACITY.  */
void shares_open_plan (shares_t *shares, const char *pool,
                       const amounts_t *capacity, int64_t now_us);

/* shares_wait - a stage of WORKSPACE waits for the pool of the present plan,
   since the plan at SINCE_US.  */
shares_account_t *shares_wait (shares_t *shares, const char *workspace,
                               uint32_t weight, int64_t since_us,
                               int64_t now_us);

/* shares_judge - compute the steps of the workspaces in the pool of the
   present plan.  Visits those that begin or cease to yield.  */
void shares_judge (shares_t *shares, int64_t now_us, shares_visit_t visit,
                   void *ctx);

/* shares_step - how far ACCOUNT was in its share at the last plan; less is
   preferred.
   shares_is_beyond - whether that was all of its share.  */
uint32_t shares_step (const shares_account_t *account);
bool shares_is_beyond (const shares_account_t *account);

/* shares_each - visit the accounts that used a pool in the window, in no
   order.  */
void shares_each (const shares_t *shares, int64_t now_us, shares_visit_t visit,
                  void *ctx);

uint32_t shares_count (const shares_t *shares);

#endif

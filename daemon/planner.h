/* planner - moves of hosts between pools, by the demand on the pools

   Private to the package.  planner_step is for the live thread only,
   planner_report for any.  */

#ifndef CUMINPIN_PLANNER_H
#define CUMINPIN_PLANNER_H

#include "control.h"
#include "fleet.h"

#define PLAN_MOVES_MAX 32

/* A pool as the plan sees it.  */
typedef struct plan_pool
{
  pool_load_t load;
  bool spare;
  uint32_t hosts;      /* in it now */
  uint32_t in_service; /* of these */
  uint32_t home;       /* that the fleet file gives it */
  uint32_t burst_milli;
} plan_pool_t;

typedef struct plan_report
{
  bool known;            /* a plan was made since the start */
  bool fresh;            /* when it was made; no moves if not */
  const char *actor;     /* the daemon that appends the records, or NULL */
  uint32_t buffer_hosts; /* idle hosts that the spare should hold */
  uint32_t pools_count;
  plan_pool_t *pools;
  uint32_t moves_count;
  host_move_t moves[PLAN_MOVES_MAX];
} plan_report_t;

typedef struct planner_input
{
  const view_t *view; /* with a configuration */
  const watch_t *watch;
  demand_t *demand;
  const char *const *entries; /* interned; with current heartbeats */
  uint32_t entries_count;
  bool fresh;
  int64_t now_us;
  int64_t now_ms;
} planner_input_t;

planner_t *planner_new (const settings_t *settings);
void planner_free (planner_t *planner);

/* planner_step - make the plan anew; up to MAX records that this daemon should
   append now, and their number.  None unless the settings allow moves and the
   daemon is the one that acts for them.  */
uint32_t planner_step (planner_t *planner, const planner_input_t *in,
                       rec_t *recs, uint32_t max);

/* planner_report - a copy of the last plan.  */
plan_report_t *planner_report (planner_t *planner);
void plan_report_free (plan_report_t *report);

#endif

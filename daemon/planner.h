/* planner - plans moves of hosts between pools by the demand on the pools

   Private to the package.  planner_step is for the live thread only,
   planner_report is thread-safe.  */

#ifndef CUMINPIN_PLANNER_H
#define CUMINPIN_PLANNER_H

#include "control.h"
#include "fleet.h"

#define PLAN_MOVES_MAX 32

/* A pool in the plan.  */
typedef struct plan_pool
{
  pool_load_t load;
  bool spare;
  uint32_t hosts;      /* in the pool now */
  uint32_t in_service; /* hosts of these in service */
  uint32_t home;       /* assigned by the fleet file */
  uint32_t burst_milli;
} plan_pool_t;

typedef struct plan_report
{
  bool known;            /* a plan has been made since the start */
  bool fresh;            /* the view was fresh; otherwise there are no moves */
  const char *actor;     /* the daemon that appends the records, or NULL */
  uint32_t buffer_hosts; /* idle hosts that the spare pool should hold */
  uint32_t pools_count;
  plan_pool_t *pools;
  uint32_t moves_count;
  host_move_t moves[PLAN_MOVES_MAX];
} plan_report_t;

typedef struct planner_input
{
  const view_t *view; /* has a configuration */
  const watch_t *watch;
  demand_t *demand;
  const char *const
      *entries; /* interned; entry hosts with current heartbeats */
  uint32_t entries_count;
  bool fresh;
  int64_t now_us;
  int64_t now_ms;
} planner_input_t;

planner_t *planner_new (const settings_t *settings);
void planner_free (planner_t *planner);

/* planner_step - makes a new plan, fills RECS with up to MAX records that this
   daemon should append now, and returns their number.  There are none unless
   the settings allow moves and this daemon is the actor.  */
uint32_t planner_step (planner_t *planner, const planner_input_t *in,
                       rec_t *recs, uint32_t max);

/* planner_report - returns a copy of the last plan.  */
plan_report_t *planner_report (planner_t *planner);
void plan_report_free (plan_report_t *report);

#endif

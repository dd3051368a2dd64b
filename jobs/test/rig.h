/* rig - a scheduler with one queue and a few workers, for tests of jobs/

   Workers here answer as a test says; nothing is sent.  */

#ifndef CUMINPIN_RIG_H
#define CUMINPIN_RIG_H

#include "../../test/run_suite.h"
#include "hosts.h"
#include <string.h>

#define RIG_QUEUE "quotes"
#define RIG_SERVICE "fitting"
#define RIG_WORKSPACE "acme"

typedef struct rig
{
  jobtab_t *tab;
  rules_t *rules;
  sched_t *sched;
  sched_now_t now;
  const char *workspace; /* that jobs are submitted for; NULL: RIG_WORKSPACE */
  const char *service;   /* of jobs and workers; NULL: RIG_SERVICE */
} rig_t;

/* The one of this program's tests.  */
extern rig_t rig;

/* rig_reset - set-up of a test that opens the scheduler itself.
   rig_set_up - the same with a scheduler of the first owner.  */
void rig_reset (void);
void rig_set_up (void);
void rig_tear_down (void);

/* rig_id - the id of job NUMBER.  */
const char *rig_id (uint32_t number);

/* rig_open_sched - the scheduler of EPOCH; jobs in TAB are inherited.  */
void rig_open_sched (uint64_t epoch);
void rig_advance_clock (int64_t ms);

/* rig_step - a step of COUNT tasks of one core for 500 ms.  */
job_step_t rig_step (uint32_t count);

/* rig_submit - fold a job of STEPS_COUNT STEPS, whose lists are taken over;
   known to the scheduler if it is open.  */
job_entry_t *rig_submit (uint32_t number, const job_step_t *steps,
                         uint32_t steps_count);

/* rig_worker - worker ID of CORES reports itself, and answers its first look
   unless SILENT.  */
void rig_worker (const char *id, uint32_t cores, bool silent);

/* rig_record_start - the log says that an earlier owner was to start ATTEMPT
   of task INDEX of job NUMBER on WORKER.  */
void rig_record_start (uint32_t number, uint32_t index, uint32_t attempt,
                       const char *worker);

/* rig_plan - the orders now and once the progress is in the log, which the
   caller owns; holds are left out unless HOLDS.  */
GArray *rig_plan (bool holds);

/* rig_count_orders - orders of KIND in ORDERS.  */
uint32_t rig_count_orders (const GArray *orders, order_kind_t kind);

/* rig_report - worker ID lists these runs and ends.  */
void rig_report (const char *id, run_status_t *runs, uint32_t runs_count,
                 run_end_t *ends, uint32_t ends_count);

/* rig_hold_reply - worker ID answers a look with REPLY and LISTS.  */
void rig_hold_reply (const char *id, const worker_reply_t *reply,
                     const worker_report_t *report);

/* rig_confirm_start - the worker says yes to the start ORDER.  */
void rig_confirm_start (const order_t *order);
/* rig_reply - it answers ORDER with KIND.  */
bool rig_reply (const order_t *order, reply_kind_t kind);

run_status_t rig_status (const order_t *order);
run_end_t rig_end (const order_t *order, uint64_t sequence,
                   run_end_kind_t kind);

/* rig_commit - fold the progress so far, as if the log had taken it.  */
void rig_commit (void);

job_state_t rig_job_state (uint32_t number);

/* rig_task_ref - task INDEX of job JOB.  */
task_ref_t rig_task_ref (uint32_t job, uint32_t index);

/* rig_start_one - the one start that is ordered now.  */
order_t rig_start_one (void);

/* rig_list_hosts - the list of hosts: host N runs worker IDS[N], all up but
   DOWN.  */
void rig_list_hosts (const char *const *ids, uint32_t count, uint32_t down);

/* rig_set_wave - a wave over HOSTS, separated by spaces.  */
void rig_set_wave (const char *hosts, uint32_t at_once);

/* rig_next_order - the order for a host that is given after MS more, or
   false.  */
bool rig_next_order (int64_t ms, host_order_t *order);

#endif

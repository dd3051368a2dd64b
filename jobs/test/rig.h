/* rig - a scheduler with one queue and a few workers, for tests of jobs/

   Nothing is sent; the replies of workers come from the test.  */

#ifndef CUMINPIN_RIG_H
#define CUMINPIN_RIG_H

#include "../../test/run_suite.h"
#include "hosts.h"
#include <string.h>

#define RIG_QUEUE "quotes"
#define RIG_SERVICE "fitting"
#define RIG_WORKSPACE "acme"
#define RIG_HOLD_MAX_MS 6000
#define RIG_CORES 8

typedef struct rig
{
  jobtab_t *tab;
  rules_t *rules;
  sched_t *sched;
  sched_now_t now;
  const char *workspace;   /* of submitted jobs; NULL: RIG_WORKSPACE */
  const char *service;     /* of jobs and workers; NULL: RIG_SERVICE */
  const char *host;        /* that registered workers run on; NULL: unknown */
  const char *data_centre; /* of registered workers; NULL: dc-1 */
  uint32_t warmup_left_ms; /* of registered workers */
  uint32_t evacuate_ms;    /* of schedulers that are opened */
  bool avoid_interference; /* of the scheduler */
  bool learns;             /* the scheduler learns run times */
  bool admits;             /* it refuses jobs that can't be of value */
  bool keeps_shares;       /* it prefers workspaces that have used less */
} rig_t;

/* The rig of this test program.  */
extern rig_t rig;

/* rig_reset - set up a test that opens the scheduler itself.
   rig_set_up - set up a test with the scheduler of epoch 1.  */
void rig_reset (void);
void rig_set_up (void);
void rig_tear_down (void);

/* rig_id - the id of job NUMBER.  */
const char *rig_id (uint32_t number);

/* rig_open_sched - create the scheduler of EPOCH, which inherits the jobs in
   TAB.  */
void rig_open_sched (uint64_t epoch);
void rig_advance_clock (int64_t ms);

/* rig_step - a step of COUNT tasks of one core for 500 ms.  */
job_step_t rig_step (uint32_t count);

/* rig_submit - add a job of STEPS_COUNT STEPS to the table, and to the
   scheduler if it is open.  Takes ownership of the lists in STEPS.  */
job_entry_t *rig_submit (uint32_t number, const job_step_t *steps,
                         uint32_t steps_count);

/* rig_fold_submission - the same with POSITION in its record; the result of
   the fold.  */
fold_result_t rig_fold_submission (uint32_t number, const job_step_t *steps,
                                   uint32_t steps_count, uint64_t position);

/* rig_worker - register worker ID with CORES; it answers its first hold unless
   UNREACHABLE.  */
void rig_worker (const char *id, uint32_t cores, bool unreachable);

/* rig_register - w1 registers at ADDRESS as a worker of KIND, its label, that
   was booted at BOOT_MS.
   rig_register_boot - the same at the usual address, of kind "a".  */
void rig_register (const char *address, const char *kind, int64_t boot_ms,
                   worker_state_t state);
void rig_register_boot (int64_t boot_ms, worker_state_t state);

/* rig_clock_of - the clock of a worker that was booted at BOOT_MS.
   rig_report_boot - w1, booted at BOOT_MS, answers a hold; it runs ROW, or
   nothing if NULL.  */
int64_t rig_clock_of (int64_t boot_ms);
void rig_report_boot (int64_t boot_ms, run_status_t *row);

/* rig_record_start - add a record to the table that an earlier owner starts
   ATTEMPT of task INDEX of job NUMBER on WORKER.  */
void rig_record_start (uint32_t number, uint32_t index, uint32_t attempt,
                       const char *worker);

/* rig_record_end - the same, that ATTEMPT of that task is done.  */
void rig_record_end (uint32_t number, uint32_t index, uint32_t attempt);

/* rig_record_over - fold a record of an owner of EPOCH that ATTEMPT of that
   task is over, and pass it to the scheduler, if there is one.
   rig_load_snapshot - replace the table by its snapshot, as a daemon that
   starts does.  */
void rig_record_over (uint32_t number, uint32_t index, uint32_t attempt,
                      uint64_t epoch);
void rig_load_snapshot (void);

/* rig_plan - the orders before and after the progress is durable, in an array
   that the caller owns.  Holds are left out unless HOLDS.  */
GArray *rig_plan (bool holds);

/* rig_count_orders - number of orders of KIND in ORDERS.  */
uint32_t rig_count_orders (const GArray *orders, order_kind_t kind);

/* rig_report - worker ID answers a hold with these runs and ends.  */
void rig_report (const char *id, run_status_t *runs, uint32_t runs_count,
                 run_end_t *ends, uint32_t ends_count);

/* rig_hold_reply - worker ID answers a hold with REPLY and REPORT.  */
void rig_hold_reply (const char *id, const worker_reply_t *reply,
                     const worker_report_t *report);

/* rig_confirm_start - the worker accepts the start ORDER.  */
void rig_confirm_start (const order_t *order);
/* rig_reply - the worker answers ORDER with KIND.  */
bool rig_reply (const order_t *order, reply_kind_t kind);

run_status_t rig_status (const order_t *order);
run_end_t rig_end (const order_t *order, uint64_t sequence,
                   run_end_kind_t kind);

/* rig_commit - fold the progress so far, as if it were read back from the
   log.  */
void rig_commit (void);

job_state_t rig_job_state (uint32_t number);

/* rig_task_ref - task INDEX of job JOB.  */
task_ref_t rig_task_ref (uint32_t job, uint32_t index);

/* rig_start_one - the start that is sent now; fails if it is not exactly
   one.  */
order_t rig_start_one (void);

/* rig_list_hosts - set the list of hosts: host N runs worker IDS[N]; all are
   up except host DOWN.  */
void rig_list_hosts (const char *const *ids, uint32_t count, uint32_t down);

/* rig_set_wave - set a wave over HOSTS, separated by spaces.  */
void rig_set_wave (const char *hosts, uint32_t at_once);

/* rig_store_updates - the records that orders for hosts wait for are stored.
 */
void rig_store_updates (void);

/* rig_next_order - advance the clock by MS and set *ORDER to the host order
   sent then; false if there is none.  */
bool rig_next_order (int64_t ms, host_order_t *order);

/* rig_row - a row of a report: ATTEMPT of task INDEX of job NUMBER.  */
run_status_t rig_row (uint32_t number, uint32_t index, uint32_t attempt);

/* rig_count_planned - number of orders of KIND before and after the progress
   is durable.  */
uint32_t rig_count_planned (order_kind_t kind);

/* rig_set_cap - limit the CPU of the rig's workspace.  */
void rig_set_cap (int64_t cpu_milli);

/* rig_speculative_step - a step of COUNT tasks that may run as copies.  */
job_step_t rig_speculative_step (uint32_t count);

/* rig_take_over_copies - open a new owner of job 1 with STEP.  An earlier
   owner has started task 0 on w1, and then a second time on w2.  Neither
   worker, each of RIG_CORES, has reported.  */
void rig_take_over_copies (const job_step_t *step);

#endif

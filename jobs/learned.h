/* learned - what the scheduler has learned of the demand, for the next owner

   NAME
     learned

   DESCRIPTION
     Part of the scheduler.  Converts what it keeps of each pool (rates of
     demand, the order of bursts, base size) to a summary, and starts a new
     owner's pools from one.  What this owner has measured itself is never
     replaced.  Run times are not kept by the scheduler: the caller adds them
     to the summary, or takes them from it.

   SOURCE
     load/summary.h  */

#ifndef CUMINPIN_LEARNED_H
#define CUMINPIN_LEARNED_H

#include "scheduler.h"
#include "summary.h"

/* sched_summarize - what SCHED has learned as of NOW; the caller owns it.
   NULL while rates that it inherited are not measured again: their record
   stays, with the time at which they were measured.  After
   SUMMARY_RATES_AGE_MAX_MS such rates are left out instead, as are this
   owner's own if they were not updated for that time.  */
summary_t *sched_summarize (const sched_t *sched, sched_now_t now);

/* sched_apply_summary - start from SUMMARY, which was trimmed at NOW.  Called
   before the first list of hosts.  */
void sched_apply_summary (sched_t *sched, const summary_t *summary,
                          sched_now_t now);

#endif

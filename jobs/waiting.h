/* waiting - log lines about tasks that wait

   NAME
     waiting

   DESCRIPTION
     What has waited long, and why, in lines of bounded volume: the events 1609
     and 1610.  Nothing is decided here.  The functions read no clock; the
     present time is an argument.  Private to jobs/.  */

#ifndef CUMINPIN_WAITING_H
#define CUMINPIN_WAITING_H

#include "startorder.h"

/* WAITING_LOGGED_US - a step that has waited for so long is logged.
   WAITING_INTERVAL_US - interval of the lines.  */
#define WAITING_LOGGED_US 3000000
#define WAITING_INTERVAL_US 1000000

/* waiting_log - log which of CANDIDATES, an array of candidate_t, still waits
   and has waited longest.
   waiting_log_limited - log that tasks of RANK wait for answers to starts.  */
void waiting_log (sched_t *sched, const GArray *candidates, int64_t now_us);
void waiting_log_limited (sched_t *sched, rank_t rank, int64_t now_us);

#endif

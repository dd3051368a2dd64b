/* evacuation - data centres that are withdrawn from use

   NAME
     evacuation  what a withdrawn data centre means for workers, hosts, starts
     evacmoves   long-running tasks that move out of it

   DESCRIPTION
     Part of the scheduler.  Nothing starts in a data centre that the operators
     have withdrawn, and its hosts are no capacity.  Runs there go on;
     long-running tasks move out as far as their steps allow it and other
     workers have room.

     A start that was sent before the operators' record was read can't be taken
     back.  Where sched_limits_t.evacuate_ms is set, its deadline is at most
     that time after the read that last confirmed the rules, so that no start
     is carried out later than evacuate_ms after a record is stored.

     Workers of a data centre that was taken back get tasks while they are cold
     only if no warm worker has room, and gradually.

   SOURCE
     docs/design/evacuation.md  */

#ifndef CUMINPIN_EVACUATION_H
#define CUMINPIN_EVACUATION_H

#include "centres.h"
#include "scheduler.h"

/* sched_set_evacuated - CENTRES has changed, or the scheduler is new.  CENTRES
   must stay valid until the next call.  */
void sched_set_evacuated (sched_t *sched, const centres_t *centres,
                          sched_now_t now);

/* sched_confirm_rules - all records of the operators that were stored before
   CONFIRMED_US are known.  */
void sched_confirm_rules (sched_t *sched, int64_t confirmed_us);

/* What follows is for the scheduler's modules only.  */

struct worker;
struct host;
struct run;

/* worker_is_evacuated, host_is_evacuated - whether the operators have
   withdrawn the data centre of WORKER or HOST.  */
bool worker_is_evacuated (const struct worker *worker);
bool host_is_evacuated (const struct host *host);

/* worker_is_held_cold - whether WORKER gets no more tasks now because it is
   cold and its data centre was taken back.  */
bool worker_is_held_cold (const struct worker *worker, int64_t now_us);

/* evacuation_update_worker, evacuation_update_host - the data centre of WORKER
   or HOST, or when WORKER is warm, may have changed.  */
void evacuation_update_worker (sched_t *sched, struct worker *worker);
void evacuation_update_host (const sched_t *sched, struct host *host);

/* evacuation_allows_starts - whether the operators' records were confirmed
   lately enough for any start.  */
bool evacuation_allows_starts (const sched_t *sched, int64_t now_us);

/* evacuation_deadline_ms - the deadline for a start on WORKER now, on its
   clock, that is not after DEADLINE_MS; 0: none may be sent, because the rules
   were confirmed too long ago.  */
int64_t evacuation_deadline_ms (const sched_t *sched,
                                const struct worker *worker,
                                int64_t deadline_ms, int64_t now_us);

/* evacuation_settle_start - a start of RUN, in a withdrawn data centre, has no
   answer.  It is not repeated; RUN is stopped once a later report of its
   worker doesn't list it.  */
void evacuation_settle_start (sched_t *sched, struct run *run,
                              sched_now_t now);

/* evacuation_place - place_pools, unless the rules were confirmed too long
   ago; cold workers come last.  */
void evacuation_place (sched_t *sched, sched_now_t now);

/* evacuation_plan - plan the moves when they are due, and log the progress. */
void evacuation_plan (sched_t *sched, sched_now_t now);

/* evacmoves_plan - stop long-running tasks in withdrawn data centres for which
   there is room elsewhere now.  */
void evacmoves_plan (sched_t *sched, sched_now_t now);

/* evacuation_dump - append the withdrawn data centres as text.  */
void evacuation_dump (const sched_t *sched, GString *out, sched_now_t now);

/* evacuation_clear - release what SCHED keeps.  */
void evacuation_clear (sched_t *sched);

#endif

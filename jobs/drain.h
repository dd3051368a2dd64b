/* drain - whether hosts may be drained, and when they go back into use

   NAME
     drain

   DESCRIPTION
     A host that is drained gets no tasks.  If a wave drains many hosts of a
     pool, the long-running tasks that have to leave them may have nowhere to
     start, also not where they were.  So before a host is drained, a trial
     (trial.h) looks for places for its long-running tasks on the hosts that
     stay in use, beside the tasks that wait and those of other hosts that are
     drained or down, for whatever reason.

     Short tasks don't count: they end, and long-running ones start before
     them.  A host whose tasks have no place is drained if it is the only such
     host of its pool at the time; its tasks end with it, and start again when
     it is back.

     Hosts may lose their places later: a worker is lost, a host is moved, a
     step grows.  drain_release puts drained hosts back into use for tasks that
     have waited, and a host that can't go down any more.

     A plan is made anew for each plan of the hosts, and is not changed by what
     happens meanwhile.  Private to jobs/.  */

#ifndef CUMINPIN_DRAIN_H
#define CUMINPIN_DRAIN_H

#include "schedint.h"

typedef struct drain drain_t;

/* drain_new - a plan of what leaves the hosts that are drained or down now.  A
   host that can't go down as its tasks have no place is put back into use.
   drain_free - free it.  */
drain_t *drain_new (sched_t *sched, sched_now_t now);
void drain_free (drain_t *drain);

/* drain_take - whether HOST, which is in use, may be drained; if so, what its
   tasks take elsewhere is counted from now on.  The caller cordons it.  */
bool drain_take (drain_t *drain, const host_t *host);

/* drain_is_stuck - whether HOST, which is drained, can't go down, as its tasks
   have no place.
   drain_may_stop - whether the task of RUN, on HOST, which is drained, may be
   stopped to start elsewhere: it has a place now, or will have one when short
   tasks end.  If so, its place is taken from now on.  */
bool drain_is_stuck (const drain_t *drain, const host_t *host);
bool drain_may_stop (drain_t *drain, const host_t *host, const run_t *run);

/* drain_release - put a drained host back into use for a long-running task
   that has waited too long for a worker and can start there.  */
void drain_release (sched_t *sched, sched_now_t now);

#endif

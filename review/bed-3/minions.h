/* minions - workers whose work items serve or fill, for cases of the bed

   NAME
     minions

   DESCRIPTION
     Workers that speak PROTOCOL.md over HTTP on loopback: hold, run-start,
     run-stop and pace, with leases, fencing tokens, rooms and lists of ends.
     The spec of a work item is "serve" or "fill MS".  One that fills has done
     its work once it has worked for MS at full pace, and works at the pace
   that was ordered.  One that serves lasts; it is at work after a short
   startup. Its tail latency depends on how many users it has, which
     minions_set_users says, and rises with the pace of what fills beside it.
 */

#ifndef CUMINPIN_MINIONS_H
#define CUMINPIN_MINIONS_H

#include "bed3.h"

typedef struct minions minions_t;

/* minions_start - COUNT workers of SERVICE with CPU thousandths of a core
   each, which register with STORE and note in the record of BED what is
   started, ended and paced.  */
minions_t *minions_start (bed_t *bed, store_t *store, const char *service,
                          uint32_t count, uint32_t cpu);
void minions_stop (minions_t *minions);

/* minions_set_users - the tail latency of what serves is TAIL_MS without
   fillers beside it, and HARM_MS more for each one at full pace.
   minions_delay_paces - the next COUNT orders of a pace get no answer and are
   carried out MS later.  */
void minions_set_users (minions_t *minions, uint32_t tail_ms,
                        uint32_t harm_ms);
void minions_delay_paces (minions_t *minions, uint32_t count, uint32_t ms);

/* minions_take_down - the machine of minion INDEX goes down: all that runs
   there ends, and the minion is gone.
   minions_bring_up - another minion joins from there.
   minions_id - its id, or "" while the machine is down; the caller frees it.
   minions_items - the number of work items there.  */
void minions_take_down (minions_t *minions, uint32_t index);
void minions_bring_up (minions_t *minions, uint32_t index);
char *minions_id (minions_t *minions, uint32_t index);
uint32_t minions_items (minions_t *minions, uint32_t index);

/* minions_runs - whether a work item of JOB runs.
   minions_ended - whether one has ended as done.  */
bool minions_runs (minions_t *minions, const char *job);
bool minions_ended (minions_t *minions, const char *job);

typedef struct minions_count
{
  uint32_t serving;    /* at work */
  uint32_t filling;    /* running, at any pace */
  uint32_t paused;     /* of those, at pace 0 */
  uint32_t working_ms; /* time that the fillers running now have worked for */
  uint32_t done;       /* fillers that have ended as done */
  uint64_t token;      /* highest fencing token seen */
} minions_count_t;

minions_count_t minions_count (minions_t *minions);

#endif

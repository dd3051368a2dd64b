/* closings - reports of what was closed or refused to stay within the limits

   NAME
     closings_note, closings_report

   DESCRIPTION
     Sums up by reason the requests that were refused and the connections that
     were closed, and writes event 1740 at most once a second for each
     closings_t.

   THREADS
     All functions for one closings_t are called by one thread.  */

#ifndef CUMINPIN_CLOSINGS_H
#define CUMINPIN_CLOSINGS_H

#include "base.h"
#include "bodies.h"

/* Zeroed by the caller, except LISTENER and CONNECTIONS_MAX.  */
typedef struct closings
{
  const char *listener; /* as it stands in events */
  uint32_t connections_max;
  uint32_t ended[BODY_TOO_SLOW + 1]; /* since the last event, by reason */
  bool unreported;                   /* ENDED is not all 0 */
  int64_t reported_us;               /* 0: not yet */
} closings_t;

/* closings_note - a request was refused (COUNT_BODIES_REFUSED) or a connection
   closed (COUNT_CLIENTS_CLOSED) because of WHY.
   closings_report - write what was noted, if it is time for an event.  Call it
   with each connection and each part of a request, so that what a short flood
   has left is reported with the next one.  */
void closings_note (closings_t *closings, body_verdict_t why,
                    counter_id_t counter);
void closings_report (closings_t *closings, const bodies_t *bodies,
                      int64_t now_us);

#endif

/* summarywriter - when an owner's summary is stored

   NAME
     summarywriter

   DESCRIPTION
     A summary is stored again when a reader would take something else from the
     new one than from the last, at the time when a take-over may be complete:
     SUMMARY_TAKE_OVER_MS later.  So values that don't change are confirmed
     before they are too old to be used, weights that only decay are not
     written again, and an idle fleet costs a record a minute at most.

     Pure: no clock, no threads, no sockets.

   UNITS
     _us on a monotonic clock; _ms durations.

   SOURCE
     load/summary.h  */

#ifndef CUMINPIN_SUMMARYWRITER_H
#define CUMINPIN_SUMMARYWRITER_H

#include "summary.h"

/* Shortest time between two writes.  */
#define SUMMARY_INTERVAL_US 2000000

/* Time from the loss of an owner until the next one has read the summary:
   1.5 s for the take-over, and the read in a store that is slow.  */
#define SUMMARY_TAKE_OVER_MS 3000

/* State of the owner that writes summaries.  All zero: none was written.  */
typedef struct summary_writer
{
  int64_t due_us;     /* no summary before */
  summary_t *written; /* last one that was stored; NULL: none */
  summary_t *pending; /* being stored; NULL: none */
} summary_writer_t;

/* summary_writer_reset - a new owner writes its first summary an interval
   after NOW_US, so that the owners together keep the interval as well.
   summary_writer_clear - release WRITER's summaries.  */
void summary_writer_reset (summary_writer_t *writer, int64_t now_us);
void summary_writer_clear (summary_writer_t *writer);

/* summary_writer_is_due - whether a new summary has to be made and passed to
   summary_writer_offer.  */
bool summary_writer_is_due (const summary_writer_t *writer, int64_t now_us);

/* summary_writer_offer - the encoded FRESH if it has to be stored now, NULL if
   it says nothing new.  Takes ownership of FRESH, which is NULL if there is
   nothing to say yet.
   summary_writer_done - whether the store has taken it.  */
GBytes *summary_writer_offer (summary_writer_t *writer, summary_t *fresh,
                              int64_t now_us);
void summary_writer_done (summary_writer_t *writer, bool stored);

/* summary_differs - whether a reader would take something else from FRESH than
   from WRITTEN, which may be NULL.  */
bool summary_differs (const summary_t *written, const summary_t *fresh);

#endif

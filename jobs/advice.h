/* advice - which workers a queue's policy allows for a step

   NAME
     advice

   DESCRIPTION
     A part of the scheduler.  Some queues have a policy that only a service
     beside the workers knows.  It is asked about a few workers at a time,
   those with most room first, and gives a ticket for each that may run the
   step; a start there carries it.  The answer for a worker does not change,
   but tickets end after a time and with a worker's life.

     The service answers one question at a time for each daemon, so only a few
     are under way, for the stages that start next.  */

#ifndef CUMINPIN_ADVICE_H
#define CUMINPIN_ADVICE_H

#include "scheduler.h"

/* A question about one stage.  */
typedef struct advice_request
{
  char id[JOB_ID_BYTES];
  uint32_t occurrence;
  uint32_t step;
  uint64_t token;
  GPtrArray *workers; /* interned ids */
} advice_request_t;

/* An allowed worker.  */
typedef struct allowed_worker
{
  const char *worker; /* interned */
  const char *ticket;
} allowed_worker_t;

/* advice_requests - the questions to ask now, of advice_request_t; the caller
   asks all, frees their workers and empties the array.  */
GArray *advice_requests (sched_t *sched);

/* advice_answer - the answer to QUESTION: COUNT workers are ALLOWED.
   advice_failed - there is none; it is asked again.  */
void advice_answer (sched_t *sched, const advice_request_t *request,
                    const allowed_worker_t *allowed, uint32_t count,
                    sched_now_t now);
void advice_failed (sched_t *sched, const advice_request_t *request,
                    sched_now_t now);

#endif

/* advice - which workers a queue's policy allows for a step

   NAME
     advice

   DESCRIPTION
     Part of the scheduler.  The policy of some queues is known only to an
     external service.  The scheduler requests tickets from it for a few
     workers at a time, those with most free CPU first.  The service returns a
     ticket for each worker that may run the step, and the start on that
     worker carries it.  The answer for a worker does not change, but tickets
     expire after a time and when the worker restarts.

     The service processes one request of a daemon at a time, so only a few
     are in flight, for the stages that start next.  It goes on with a request
     that timed out here, and later ones wait behind it, so the timeout of a
     request covers those ahead of it, and doubles when a request times out. */

#ifndef CUMINPIN_ADVICE_H
#define CUMINPIN_ADVICE_H

#include "scheduler.h"

/* A request for tickets of one stage.  */
typedef struct advice_request
{
  char id[JOB_ID_BYTES];
  uint32_t occurrence;
  uint32_t step;
  uint64_t token;
  GPtrArray *workers;  /* interned ids */
  uint32_t service_ms; /* that the service needs for it */
  uint32_t timeout_ms; /* from its time of sending */
  int64_t sent_us;
  uint32_t backoff; /* doublings of its timeout */
} advice_request_t;

/* A worker that the policy allows, with its ticket.  */
typedef struct allowed_worker
{
  const char *worker; /* interned */
  const char *ticket;
} allowed_worker_t;

/* advice_requests - the requests to send now, an array of advice_request_t.
   The caller sends all of them, frees their workers and empties the array.  */
GArray *advice_requests (sched_t *sched);

/* advice_answer - process the answer to REQUEST, which allows COUNT workers.
   advice_failed - REQUEST got no answer or timed out; another one is sent
   later.  */
void advice_answer (sched_t *sched, const advice_request_t *request,
                    const allowed_worker_t *allowed, uint32_t count,
                    sched_now_t now);
void advice_failed (sched_t *sched, const advice_request_t *request,
                    sched_now_t now);

#endif

/* bodies - budgets of request bodies and connections

   NAME
     bodies_new, bodies_connect, bodies_begin, bodies_add, bodies_skip,
     bodies_complete, bodies_end, bodies_disconnect, bodies_next_closed

   DESCRIPTION
     Decides which bodies are read and which connections are closed, so that
     the memory of unfinished requests and the number of connections stay
     within the limits whatever clients send.  It neither reads nor closes
     anything itself and knows no sockets.

     A connection is idle until the headers of a request are complete, then its
     body is read, then the request is complete until it has its response.
     Complete requests are never closed: they may have been run.

     If a body exceeds the budget of bytes, the unfinished requests that have
     been without progress for the longest time are closed until it fits.  A
     part of the budget is kept for small bodies, such as ordinary callers
     send.  If there are more connections than the limit, one is closed for
     each: the slowest request if it is stalled, else the oldest idle
     connection, else the slowest request.

   UNITS
     Times are in microseconds of one monotonic clock, sizes in bytes.  A body
     counts with the memory of its buffer, which doubles as it grows.

   THREADS
     All functions for one bodies_t are called by one thread.  */

#ifndef CUMINPIN_BODIES_H
#define CUMINPIN_BODIES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* A body makes progress with each of these bytes.  A body of the largest legal
   size that takes as long as the longest deadline of a client, 262,144 bytes
   in 60 s, needs 0.94 s for them.  */
#define BODIES_PROGRESS_BYTES 4096
#define BODIES_STALLED_US 1000000

typedef struct bodies_limits
{
  uint32_t body_max_bytes;  /* of one body */
  uint64_t budget_bytes;    /* of all bodies; 0: unlimited */
  uint64_t reserve_bytes;   /* of the budget, for small bodies only */
  uint32_t small_max_bytes; /* largest small body */
  uint32_t connections_max; /* beyond it, connections are closed; 0: never */
  int64_t request_max_us;   /* from the headers to the end of the body; 0:
                               unlimited */
} bodies_limits_t;

typedef enum body_phase
{
  BODY_IDLE,
  BODY_READING,
  BODY_COMPLETE,
  BODY_CLOSED /* decided; the caller closes the connection */
} body_phase_t;

typedef enum body_verdict
{
  BODY_ACCEPTED,
  BODY_TOO_LARGE,
  BODY_NO_ROOM, /* complete requests use the budget up, or this is the slowest
                   unfinished one */
  BODY_TOO_SLOW /* the time limit is missed or, while more than half of a
                   budget is used, the minimum rate */
} body_verdict_t;

/* A connection and its present request.  Zeroed by the caller before
   bodies_connect; the caller reads PHASE and WHY only.  */
typedef struct body
{
  body_phase_t phase;
  body_verdict_t why;       /* BODY_CLOSED: the reason */
  GList by_progress;        /* in idle, reading or closed */
  GList by_start;           /* in started */
  uint64_t announced_bytes; /* UINT64_MAX: unknown */
  uint32_t received_bytes;
  uint32_t progress_bytes; /* received at the last progress */
  uint64_t skipped_bytes;
  uint64_t held_bytes;
  int64_t started_us;
  int64_t progress_us;
} body_t;

typedef struct bodies bodies_t;

bodies_t *bodies_new (const bodies_limits_t *limits);
void bodies_free (bodies_t *bodies);

/* bodies_connect - a connection was accepted.
   bodies_disconnect - it was closed; BODY may then be freed.  */
void bodies_connect (bodies_t *bodies, body_t *body, int64_t now_us);
void bodies_disconnect (bodies_t *bodies, body_t *body);

/* bodies_begin - the headers of a request are complete and announce a body of
   ANNOUNCED_BYTES, UINT64_MAX if they don't say.
   bodies_add - LEN more bytes have arrived.  If they are not accepted, they
   are not counted; the caller refuses the request or closes its connection.
   bodies_skip - LEN more bytes of a body that is refused have arrived and are
   dropped, so that the refusal can be sent at its end.  What the body held is
   no longer counted.  BODY_TOO_LARGE if more than body_max_bytes were skipped;
   the caller then closes the connection.
   bodies_complete - the body is complete.  The request holds RECORD_BYTES from
   now on instead of the body.
   bodies_end - the request has its response.  */
body_verdict_t bodies_begin (bodies_t *bodies, body_t *body,
                             uint64_t announced_bytes, int64_t now_us);
body_verdict_t bodies_add (bodies_t *bodies, body_t *body, uint32_t len,
                           int64_t now_us);
body_verdict_t bodies_skip (bodies_t *bodies, body_t *body, uint64_t len,
                            int64_t now_us);
void bodies_complete (bodies_t *bodies, body_t *body, uint64_t record_bytes);
void bodies_end (bodies_t *bodies, body_t *body, int64_t now_us);

/* bodies_next_closed - the next connection that the calls above have decided
   to close; NULL: none.  What it held is no longer counted, and the caller
   frees it.  */
body_t *bodies_next_closed (bodies_t *bodies);

/* bodies_used - bytes that all requests hold.
   bodies_budget - the limit on it; 0: unlimited.
   bodies_connections - open connections, without those to be closed.  */
uint64_t bodies_used (const bodies_t *bodies);
uint64_t bodies_budget (const bodies_t *bodies);
uint32_t bodies_connections (const bodies_t *bodies);

#endif

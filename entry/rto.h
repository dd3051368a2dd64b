/* rto - how long to wait for a reply before the request is repeated

   NAME
     rto

   DESCRIPTION
     The retransmission timeout of RFC 6298, for calls: the smoothed duration
     of the calls that were answered plus four times its mean deviation, and
     twice as long after each timeout.  A reply that is lost is then noticed
     soon, and a store that has become slow is not flooded with repeats.  */

#ifndef CUMINPIN_RTO_H
#define CUMINPIN_RTO_H

#include <stdint.h>

/* RTO_MIN_MS - an append in a fast store takes about 8 ms; a few of them may
   wait while the store is slow for a moment.
   RTO_MAX_MS - an append in a store that is 75 times slower waits up to 2.4 s
   behind those of other daemons.  */
#define RTO_MIN_MS 700
#define RTO_MAX_MS 3000

typedef struct rto
{
  int64_t mean_us; /* 0: no reply yet */
  int64_t deviation_us;
  uint32_t timeouts; /* consecutive */
} rto_t;

/* rto_add_reply - a call was answered after TOOK_US.
   rto_add_timeout - a call was not answered in time.  */
void rto_add_reply (rto_t *rto, int64_t took_us);
void rto_add_timeout (rto_t *rto);

/* rto_timeout_ms - the timeout of the next call.  */
uint32_t rto_timeout_ms (const rto_t *rto);

#endif

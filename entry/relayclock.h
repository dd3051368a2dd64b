/* relayclock - the clock of a relay, as its owner knows it

   NAME
     relayclock_note, relayclock_limit

   DESCRIPTION
     A relay puts its time into its messages.  What it shows is a lower bound
     of the relay's time when the message is read, as the message took time.
     The owner keeps the highest bound of the last seconds, and so can say
     until when, on the relay's clock, a start may be sent: a link that stalls
     delivers orders seconds later.

     Times are in microseconds on the boot clocks of the two daemons.  */

#ifndef CUMINPIN_RELAYCLOCK_H
#define CUMINPIN_RELAYCLOCK_H

#include <stdint.h>

/* RELAYCLOCK_KEPT_US - a bound is replaced by any other after this time.  Two
   clocks that differ by 0.1 % drift by 10 ms in it; messages come several
   times a second.  */
#define RELAYCLOCK_KEPT_US 10000000

/* All zero: nothing is known.  */
typedef struct relayclock
{
  int64_t ahead_us; /* the relay's clock is this much ahead, or more */
  int64_t noted_us; /* 0: not known */
} relayclock_t;

/* relayclock_note - a message that is read at NOW_US shows RELAY_US.  */
void relayclock_note (relayclock_t *clock, int64_t relay_us, int64_t now_us);

/* relayclock_limit - what the relay's clock shows at NOW_US plus DELAY_US, or
   a little before; 0: not known.  */
int64_t relayclock_limit (const relayclock_t *clock, int64_t now_us,
                          int64_t delay_us);

#endif

/* appendpace - how often a daemon appends what the owner should

   NAME
     appendpace

   DESCRIPTION
     Without a link to the owner a daemon appends its clients' records itself.
     The log takes one append after another.  If it is slow, those of many
     daemons fill its queue, and the records of an owner find no place there.
     So a daemon pauses for a multiple of the time that its last append took,
     which includes the wait in the queue: the more daemons append, the longer
     each of them pauses.  It pauses twice as long after each refusal in a row.

     Nothing here reads a clock; times are in microseconds on the boot
     clock.  */

#ifndef CUMINPIN_APPENDPACE_H
#define CUMINPIN_APPENDPACE_H

#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>

/* APPENDPACE_FACTOR - the pause, in durations of the last append.
   APPENDPACE_FAST_US - an append that took no longer is followed by no pause.
   APPENDPACE_REFUSED_US - duration for which a first refusal counts.
   APPENDPACE_REFUSED_MAX_US - limit of that: the longest time that an append
   waits in the log.  */
#define APPENDPACE_FACTOR 32
#define APPENDPACE_FAST_US 20000
#define APPENDPACE_REFUSED_US 62500
#define APPENDPACE_REFUSED_MAX_US 2000000

typedef struct appendpace
{
  int64_t due_us;    /* no append before this time */
  uint32_t refusals; /* in a row */
} appendpace_t;

/* appendpace_add - an append that ended at NOW_US has taken TOOK_US, or was
   REFUSED.  UNIT, from 0 to 1, spreads the pauses of daemons over half to one
   and a half of their length.  */
void appendpace_add (appendpace_t *pace, int64_t took_us, bool refused,
                     double unit, int64_t now_us);

#endif

/* pacing - which filler tasks of a worker slow down, and by how much

   NAME
     pacing

   DESCRIPTION
     Keeps the tail latency of the long-running tasks on a worker below their
     targets.  No task may stay above its target for PACING_HARM_MAX_MS while
     it would be below without the fillers.  Called with each report of the
     worker:

       above 80 %   the most harmful fillers slow down, as far as the forecast
                    asks for; those of which nothing is known are halved
       above 100 %  the same; all fillers stop when it lasts
       below 80 %   fillers speed up, the least harmful first, as long as the
                    forecast stays below 80 %; those of which nothing is known
                    only below 50 %

     If the tail stays above the target without fillers, they are not its
     cause, and the least harmful one may try again for a while.  It also
     tries again, after longer waits, if the tail stays below the target but
     too high for fillers to speed up: none is stopped for good.

   UNITS
     Tail latency is in percent of the target, rounded up, as 100 is allowed;
     pace and confidence are in percent.
     A harm of 100 percent doubles the tail.  Times are in microseconds on any
     monotonic clock.

   ERRORS
     None.

   SOURCE
     load/pacing.c.  Pure functions of their arguments.  */

#ifndef CUMINPIN_PACING_H
#define CUMINPIN_PACING_H

#include <stdbool.h>
#include <stdint.h>

/* The shortest of the bounds that deployments have.  */
#define PACING_HARM_MAX_MS 4000

/* Confidence from which the harm of a filler counts as known: half of what can
   be known.  */
#define PACING_CONFIDENCE_PERCENT 50

/* What is kept of a worker between two calls; zero at first.  */
typedef struct pacing_state
{
  int64_t over_since_us;    /* above the target since; 0: it is not */
  int64_t stopped_since_us; /* all fillers at 0 since; 0: they are not */
  int64_t changed_us;       /* last change of a pace */
  int64_t slowed_since_us;  /* some filler below 100 since; 0: none is */
  uint32_t stops;           /* of all fillers since then */
} pacing_state_t;

typedef struct pacing_filler
{
  uint32_t pace_percent; /* wanted; changed by pacing_decide */
  uint32_t harm_percent; /* at full speed, to the task nearest to its target */
  uint32_t confidence_percent; /* of the harm */
} pacing_filler_t;

typedef enum pacing_step
{
  PACING_KEEP,
  PACING_SLOW,   /* some slow down */
  PACING_STOP,   /* all stop */
  PACING_RAISE,  /* some speed up */
  PACING_RELEASE /* all are at full speed again */
} pacing_step_t;

/* pacing_decide - set the paces of COUNT FILLERS for a worker whose worst task
   has TAIL_PERCENT; 0: it has no task with a target.  */
pacing_step_t pacing_decide (pacing_state_t *state, uint32_t tail_percent,
                             pacing_filler_t *fillers, uint32_t count,
                             int64_t now_us);

#endif

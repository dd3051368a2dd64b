/* meter - amounts averaged over a sliding window

   NAME
     meter

   DESCRIPTION
     Keeps the integral over time of amounts that change now and then, in
     periods, and gives their average over the last METER_WINDOW_US.  A window
     ends in the present period, so that it is up to one period shorter.

     A meter that is all zero is empty.  Times are in microseconds on a
     monotonic clock; one that is before the last counts as the last.

   SOURCE
     load/meter.c  */

#ifndef CUMINPIN_METER_H
#define CUMINPIN_METER_H

#include "capacity_index.h"

#define METER_PERIODS 10
#define METER_PERIOD_US 300000
/* As long as jobs wait.  A longer window shows a burst too late to protect the
   jobs of others, a shorter one follows the size of single jobs; the figures
   are in docs/design/shares.md.  */
#define METER_WINDOW_US (METER_PERIODS * METER_PERIOD_US)

/* Amounts times microseconds in one period.  */
typedef struct meter_period
{
  int64_t number; /* of the period since time 0 */
  amounts_t sum_us;
} meter_period_t;

typedef struct meter
{
  amounts_t now;      /* since UPDATED_US */
  int64_t updated_us; /* 0: empty */
  meter_period_t periods[METER_PERIODS];
} meter_t;

/* Averages, in the units of amounts_t.  Not whole numbers, as a few
   accelerators may be used for a part of the window.  */
typedef struct meter_average
{
  double cpu_milli;
  double mem_mib;
  double accels;
} meter_average_t;

/* meter_advance - count what METER has now up to NOW_US.  Called before it
   changes.  */
void meter_advance (meter_t *meter, int64_t now_us);

/* meter_average - the average over the window at NOW_US, as far as it is after
   SINCE_US.  METER has been advanced to NOW_US.  What it has now if less than
   METER_PERIOD_US is covered.  */
meter_average_t meter_average (const meter_t *meter, int64_t since_us,
                               int64_t now_us);

#endif

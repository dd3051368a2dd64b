/* model - several daemons that divide one limit, using escrow and share

   The daemons run on one clock.  The model injects crashes, pauses, restarts,
   lost, repeated and reordered messages, clock errors, and changes of the
   limit and of the list of entry hosts.

   Work runs in real time, even after its daemon has stopped; after each step
   the running work is compared with the limit.  A daemon is fresh only while
   it reads the log; the BLIND state is tested by module freshness.  */

#ifndef CUMINPIN_ADMIT_MODEL_H
#define CUMINPIN_ADMIT_MODEL_H

#include "admit.h"

typedef struct model_total
{
  uint32_t granted, lent, borrowed, restarts;
} model_total_t;

/* model_run - runs the model from SEED, with faults and then without until the
   whole limit is available again; adds the counts of events to TOTAL.  */
void model_run (int seed, model_total_t *total);

#endif

/* A model of several daemons that share one limit by escrow and share, on one
   clock, with crashes, pauses, lost, repeated and reordered messages, clock
   errors, restarts and changes of the limit and of the list of entry hosts.

   Work runs in real time, whatever becomes of its daemon; what is compared
   with the limit after each step is the work that runs.  A daemon is fresh
   only while it reads the log; judging BLIND is module fresh's part.  */

#ifndef CUMINPIN_ADMIT_MODEL_H
#define CUMINPIN_ADMIT_MODEL_H

#include "admit.h"

typedef struct model_total
{
  uint32_t granted, lent, borrowed, restarts;
} model_total_t;

/* model_run - one run from SEED, with failures and then without, until all of
   the limit is available again; adds what happened to TOTAL.  */
void model_run (int seed, model_total_t *total);

#endif

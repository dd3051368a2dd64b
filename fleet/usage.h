/* usage - what jobs of a kind use, as against what they declare; private to
   fleet  */

#ifndef CUMINPIN_USAGE_H
#define CUMINPIN_USAGE_H

#include "capacity_index.h"

typedef struct usage_history usage_history_t;

/* USAGE_RUNS_MIN - runs of a kind before its use is trusted.
   USAGE_KINDS_MAX - bounds the memory; further kinds are not learned.  */
#define USAGE_RUNS_MIN 3
#define USAGE_KINDS_MAX 20000

usage_history_t *usage_history_new (void);
void usage_history_free (usage_history_t *usage);

/* usage_history_add - a run of KIND ended well and used PEAK at most.  */
void usage_history_add (usage_history_t *usage, const char *kind,
                        const amounts_t *peak);

/* usage_history_estimate - what to reserve for a job of KIND: the use learned
   and an eighth more, but at most what it DECLARED; accelerators as declared,
   since they are not shared.  */
amounts_t usage_history_estimate (const usage_history_t *usage,
                                  const char *kind, const amounts_t *declared);

#endif

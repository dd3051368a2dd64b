/* usage - measured resource use of each kind of job, which may be lower than
   what the jobs declare; private to fleet  */

#ifndef CUMINPIN_USAGE_H
#define CUMINPIN_USAGE_H

#include "capacity_index.h"

typedef struct usage_history usage_history_t;

/* USAGE_RUNS_MIN - runs of a kind before its measured use is applied.
   USAGE_KINDS_MAX - bounds the memory; further kinds are not recorded.  */
#define USAGE_RUNS_MIN 3
#define USAGE_KINDS_MAX 20000

usage_history_t *usage_history_new (void);
void usage_history_free (usage_history_t *usage);

/* usage_history_add - records that a successful run of KIND used at most
   PEAK.  */
void usage_history_add (usage_history_t *usage, const char *kind,
                        const amounts_t *peak);

/* usage_history_estimate - returns what to allocate to a job of KIND: the
   measured use plus an eighth, but at most DECLARED.  Accelerators are
   allocated as declared, since they are not shared.  */
amounts_t usage_history_estimate (const usage_history_t *usage,
                                  const char *kind, const amounts_t *declared);

#endif

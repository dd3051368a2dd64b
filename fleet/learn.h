/* learn - what jobs of a kind use, as against what they declare; private to
   fleet  */

#ifndef CUMINPIN_LEARN_H
#define CUMINPIN_LEARN_H

#include "capacity_index.h"

typedef struct learn learn_t;

/* LEARN_RUNS - runs of a kind before its use is trusted.
   LEARN_KINDS_MAX - bounds the memory; further kinds are not learned.  */
#define LEARN_RUNS 3
#define LEARN_KINDS_MAX 20000

learn_t *learn_new (void);
void learn_free (learn_t *learn);

/* learn_note - a run of KIND ended well and used PEAK at most.  */
void learn_note (learn_t *learn, const char *kind, const amounts_t *peak);

/* learn_estimate - what to reserve for a job of KIND: the use learned and an
   eighth more, but at most what it DECLARED; accelerators as declared, since
   they are not shared.  */
amounts_t learn_estimate (const learn_t *learn, const char *kind,
                          const amounts_t *declared);

#endif

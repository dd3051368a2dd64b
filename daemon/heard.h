/* heard - the totals of one kind that peers have told last, with their times

   Private to the package.  Any thread.  */

#ifndef CUMINPIN_HEARD_H
#define CUMINPIN_HEARD_H

#include "control.h"

typedef struct heard
{
  total_kind_t kind;
  pthread_mutex_t lock;
  GHashTable *totals; /* "PEER NAME" to what was told; under the lock */
} heard_t;

void heard_open (heard_t *heard, total_kind_t kind);
void heard_close (heard_t *heard);

/* heard_note - PEER has told TOTALS; those of other kinds are passed over.  */
void heard_note (heard_t *heard, const char *peer, const msg_totals_t *totals,
                 int64_t now_us);

/* heard_add - add what PEER told of NAME to *IN_USE and *QUEUED.  False when
   it has not told within AGE_US.  */
bool heard_add (heard_t *heard, const char *peer, const char *name,
                int64_t now_us, int64_t age_us, uint32_t *in_use,
                uint32_t *queued);

#endif

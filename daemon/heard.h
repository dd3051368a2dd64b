/* heard - the totals of one kind that peers have told last, with their times

   Private to the package.  Any thread.  */

#ifndef CUMINPIN_PEER_TOTALS_H
#define CUMINPIN_PEER_TOTALS_H

#include "control.h"

typedef struct peer_totals
{
  total_kind_t kind;
  pthread_mutex_t lock;
  GHashTable *totals; /* "PEER NAME" to what was told; under the lock */
} peer_totals_t;

void peer_totals_open (peer_totals_t *peer_totals, total_kind_t kind);
void peer_totals_close (peer_totals_t *peer_totals);

/* peer_totals_record - PEER has told TOTALS; those of other kinds are passed
 * over.  */
void peer_totals_record (peer_totals_t *peer_totals, const char *peer,
                         const msg_totals_t *totals, int64_t now_us);

/* peer_totals_add - add what PEER told of NAME to *IN_USE and *QUEUED.  False
   when it has not told within AGE_US.  */
bool peer_totals_add (peer_totals_t *peer_totals, const char *peer,
                      const char *name, int64_t now_us, int64_t age_us,
                      uint32_t *in_use, uint32_t *queued);

#endif

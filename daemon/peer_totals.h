/* peer_totals - the last totals of one kind that each peer has reported, with
   the time of receipt

   Private to the package.  Thread-safe.  */

#ifndef CUMINPIN_PEER_TOTALS_H
#define CUMINPIN_PEER_TOTALS_H

#include "control.h"

typedef struct peer_totals
{
  total_kind_t kind;
  pthread_mutex_t lock;
  GHashTable *totals; /* "PEER NAME" to peer_total_t; guarded by lock */
} peer_totals_t;

void peer_totals_open (peer_totals_t *peer_totals, total_kind_t kind);
void peer_totals_close (peer_totals_t *peer_totals);

/* peer_totals_record - records the TOTALS received from PEER; ignores those of
   other kinds.  */
void peer_totals_record (peer_totals_t *peer_totals, const char *peer,
                         const msg_totals_t *totals, int64_t now_us);

/* peer_totals_add - adds PEER's total for NAME to *IN_USE and *QUEUED.
   Returns false if PEER has not reported it within AGE_US.  */
bool peer_totals_add (peer_totals_t *peer_totals, const char *peer,
                      const char *name, int64_t now_us, int64_t age_us,
                      uint32_t *in_use, uint32_t *queued);

#endif

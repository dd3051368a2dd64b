/* cancels - the cancellings that the job log holds

   NAME
     cancels_add, cancels_limit

   DESCRIPTION
     A submission can enter the log long after the client that gave it up has
     cancelled it: a daemon keeps it while the store doesn't answer, the store
     carries an append out late, or a daemon was suspended.  So a cancelling
     holds for all submissions that were made before it was read, whether the
     job is known or not.  It holds for the jobs that the call could reach: a
     caller who can't reach a job doesn't void its submission either.

     The set is a function of the log alone: the same at all daemons that have
     read the same records.  It keeps the ids of the newest CANCELS_MAX
     cancellings.  Of older ones it keeps one limit for all ids.  */

#ifndef CUMINPIN_CANCELS_H
#define CUMINPIN_CANCELS_H

#include "job.h"

/* Ids that are kept.  A submission that is still on its way when as many
   other ids have been cancelled is void, and its client is told to repeat
   it.  */
#define CANCELS_MAX 4096

/* A request that a client has given up can reach a daemon after the
   cancelling: from the socket of a suspended daemon or by retransmission.
   New submissions of the id are refused for this time after the daemon has
   read the cancelling.  Above the 7 s for which a daemon may be cut off.  */
#define CANCELS_HOLD_US 10000000

typedef struct cancelled
{
  char id[JOB_ID_BYTES];
  uint64_t scope;  /* of access_scope; 0: of any */
  uint64_t limit;  /* submissions with a lower position are void */
  int64_t read_us; /* when this daemon read of it; not in snapshots */
} cancelled_t;

typedef struct cancels
{
  GHashTable *links; /* cancelled_t -> GList in ROWS; by id and scope */
  GQueue rows;       /* cancelled_t, by rising limit */
  uint64_t dropped;  /* highest limit of a row that was dropped; 0: none */
} cancels_t;

void cancels_init (cancels_t *set);
void cancels_clear (cancels_t *set);

/* cancels_add - submissions of ID in SCOPE with positions below LIMIT are
   void. LIMIT doesn't fall from call to call.  */
void cancels_add (cancels_t *set, const char *id, uint64_t scope,
                  uint64_t limit, int64_t now_us);

/* cancels_limit - the lowest position at which a submission of ID in SCOPE is
   valid.
   cancels_hold - whether a cancelling of it was read so lately that a request
   from before may still arrive.
   cancels_set_read - this daemon has read of all cancellings at NOW_US.  */
uint64_t cancels_limit (const cancels_t *set, const char *id, uint64_t scope);
bool cancels_hold (const cancels_t *set, const char *id, uint64_t scope,
                   int64_t now_us);
void cancels_set_read (cancels_t *set, int64_t now_us);

#endif

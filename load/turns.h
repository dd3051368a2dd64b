/* turns - when clients whose jobs were refused get their turn

   NAME
     turns

   DESCRIPTION
     Keeps each refused id until its Retry-After is over, and some time after:
     copies of the request that arrive before are refused, as its client was
     told that the job was not run.  The times of return are spread at the rate
     at which the pool gets work done.  Workspaces take turns by weight, so
     that one with many refused jobs doesn't delay the others.  When a job's
     turn has come, the time that its work takes is reserved for it against
     jobs that have not been refused before.

     At most ADMISSION_TURNS_MAX are kept; beyond them jobs can't be refused.

     Not thread-safe.  Names are interned and compared by pointer.  Durations
     are in milliseconds, points in time in microseconds on a monotonic clock,
     passed as NOW_US, which never decreases.  */

#ifndef CUMINPIN_TURNS_H
#define CUMINPIN_TURNS_H

#include "admission.h"

/* Refusals of the longest Retry-After, 30 s, at a thousand a second, which the
   highest load seen makes.  They take 4 MB.  */
#define ADMISSION_TURNS_MAX 32768
/* A client that hasn't returned this long after its turn came has given up,
   and its reservation ends: requests take up to a deadline of usually 3 s, but
   a returning client begins at once.  */
#define ADMISSION_TURN_GRACE_MS 2000

typedef struct admission_turns admission_turns_t;

typedef enum turn_state
{
  TURN_NONE,    /* the id was not refused, or long ago */
  TURN_WAITING, /* its Retry-After is not over */
  TURN_DUE      /* it is over */
} turn_state_t;

/* A job that is refused.  */
typedef struct turn_request
{
  uint64_t id; /* hash of the job's id.  If two ids collide, one job is refused
                  that would not have been; neither runs.  */
  const char *pool;      /* interned */
  const char *workspace; /* interned */
  uint32_t weight;       /* of the workspace; 0 counts as 1 */
  double work_ms;        /* time that its work takes on the whole pool */
} turn_request_t;

admission_turns_t *admission_turns_new (void);
void admission_turns_free (admission_turns_t *turns);

/* admission_turns_find - the state of ID; *LEFT_S is set to the time until its
   turn, at least 1, if that has not come.  */
turn_state_t admission_turns_find (admission_turns_t *turns, uint64_t id,
                                   int64_t now_us, uint32_t *left_s);

/* admission_turns_peek, admission_turns_peek_reserved_ms - as
   admission_turns_find and admission_turns_reserved_ms, but turns whose time
   is over are not dropped; the reserved time is as of the last change.  */
turn_state_t admission_turns_peek (const admission_turns_t *turns, uint64_t id,
                                   int64_t now_us, uint32_t *left_s);
double admission_turns_peek_reserved_ms (const admission_turns_t *turns,
                                         const char *pool);

/* admission_turns_add - record the refusal of REQUEST, which has no turn that
   is waiting, and raise its Retry-After to when its turn comes.  False if no
   more are kept: the job has to be admitted.  */
bool admission_turns_add (admission_turns_t *turns,
                          const turn_request_t *request, admission_t *refusal,
                          int64_t now_us);

/* admission_turns_remove - ID was admitted.  */
void admission_turns_remove (admission_turns_t *turns, uint64_t id);

/* admission_turns_reserved_ms - time of POOL that is reserved for jobs whose
   turn has come and that have not returned.  */
double admission_turns_reserved_ms (admission_turns_t *turns, const char *pool,
                                    int64_t now_us);

uint32_t admission_turns_count (const admission_turns_t *turns);

#endif

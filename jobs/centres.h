/* centres - data centres that the operators have withdrawn from use

   NAME
     centres

   DESCRIPTION
     The set of withdrawn data centres, as a daemon reads it from the
     operators' records.  A data centre that is taken back stays known for
     CENTRES_KEPT_US, because its workers may be cold.  Not thread-safe.
     Times are in microseconds on the clock of the caller.

   SOURCE
     Records with keys evacuate/ZONE; see docs/design/evacuation.md.  */

#ifndef CUMINPIN_CENTRES_H
#define CUMINPIN_CENTRES_H

#include "base.h"

/* CENTRES_KEPT_US - how long a data centre counts as just taken back.  Longer
   than machines take to warm up, which is seconds.  */
#define CENTRES_KEPT_US INT64_C (60000000)

typedef enum centre_state
{
  CENTRE_EVACUATED,
  CENTRE_TAKEN_BACK
} centre_state_t;

typedef struct centre
{
  const char *name; /* interned */
  centre_state_t state;
  int64_t since_us; /* of the state, as read by this daemon */
  bool listed;      /* on the pages read so far */
} centre_t;

typedef struct centres
{
  GArray *rows; /* centre_t */
} centres_t;

centres_t *centres_new (void);
void centres_free (centres_t *centres);

/* centres_find - the row of NAME, or NULL.  */
const centre_t *centres_find (const centres_t *centres, const char *name);

/* centres_evacuate - there is a record for NAME.
   centres_take_back - there is none any more.
   Both return whether that is a change.  */
bool centres_evacuate (centres_t *centres, const char *name, int64_t now_us);
bool centres_take_back (centres_t *centres, const char *name, int64_t now_us);

/* centres_begin_listing - the newest records of all keys follow, each by
   centres_evacuate.
   centres_next_missing - take back a data centre that was not among them and
   return its name; NULL: there is none left.  */
void centres_begin_listing (centres_t *centres);
const char *centres_next_missing (centres_t *centres, int64_t now_us);

/* centres_expire - forget what was taken back more than CENTRES_KEPT_US
   ago.  */
void centres_expire (centres_t *centres, int64_t now_us);

#endif

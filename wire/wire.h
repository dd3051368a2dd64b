/* wire - encoding of records, snapshots and peer messages

   NAME
     wirerec, wirefold, wiresnap

   DESCRIPTION
     Everything that cuminpin's own processes exchange or keep in the
     platform's log is msgpack.  Decoding accepts any bytes: what is not well
     formed is an error, never a crash, and no length in the input is trusted
     before it was checked against what is there.

     A record is an array [KIND, ID, AUTHOR, TIME_MS, REQUIRED, PAYLOAD];
     PAYLOAD is an array with the fields in the order of rec_t.  A longer
     payload than the reader knows is accepted: the fields behind are of a
     newer version.  A kind that the reader doesn't know gives REC_UNKNOWN.

   ERRORS
     GError in the domain WIRE_ERROR.  */

#ifndef CUMINPIN_WIRE_H
#define CUMINPIN_WIRE_H

#include "state.h"

#define WIRE_ERROR (wire_error_quark ())
GQuark wire_error_quark (void);

typedef enum wire_error
{
  WIRE_ERROR_FORM,    /* not msgpack, or not the expected shape */
  WIRE_ERROR_CHECKSUM /* a snapshot's checksum does not match */
} wire_error_t;

/* wire_put_rec - the encoding of REC.  */
GBytes *wire_put_rec (const rec_t *rec);

/* wire_get_rec - decode the LEN bytes of DATA into REC, to be released with
   rec_clear.  */
bool wire_get_rec (const void *data, size_t len, rec_t *rec, GError **error);

/* wire_fold - decode, check and fold the LEN bytes that stand at OFFSET in the
   log, the same way for every reader.  What is no record or fails its check is
   skipped without trace: VERDICT_INVALID and *ERROR.  ID, unless NULL, is set
   to the id of the record.  */
verdict_t wire_fold (state_t *state, const void *data, size_t len,
                     uint64_t offset, uint8_t id[REC_ID_BYTES],
                     GError **error);

/* wire_put_snapshot - the canonical encoding of a whole STATE with a checksum;
   the same bytes for the same state, whoever writes them.  STATE must carry
   its seen ids (not a copy for a view).  */
GBytes *wire_put_snapshot (const state_t *state);

/* wire_get_snapshot - the state in a snapshot, or NULL and *ERROR.  */
state_t *wire_get_snapshot (const void *data, size_t len, GError **error);

#endif

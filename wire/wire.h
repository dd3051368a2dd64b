/* wire - encoding of records, snapshots and peer messages

   NAME
     wirerec, wirefold, wiresnap, wiremsg

   DESCRIPTION
     All data that cuminpin's processes exchange or store in the platform's
     log is encoded as msgpack.  Decoders accept arbitrary bytes: malformed
     input yields an error, never a crash, and a length in the input is
     checked against the bytes present before it is used.

     A record is an array [KIND, ID, AUTHOR, TIME_MS, REQUIRED, PAYLOAD];
     PAYLOAD is an array with the fields in the order of rec_t.  Additional
     fields at the end of a payload are ignored; a newer version may add
     them.  An unknown kind is decoded as REC_UNKNOWN.

     A peer message is an array [KIND, FIELD, ...] with the fields in the order
     of msg_t.  Additional fields at the end are ignored here, too.

   ERRORS
     GError in the domain WIRE_ERROR.  */

#ifndef CUMINPIN_WIRE_H
#define CUMINPIN_WIRE_H

#include "state.h"

#define WIRE_ERROR (wire_error_quark ())
GQuark wire_error_quark (void);

typedef enum wire_error
{
  WIRE_ERROR_FORM,    /* not msgpack, or not the expected structure */
  WIRE_ERROR_CHECKSUM /* the checksum of a snapshot does not match */
} wire_error_t;

/* wire_encode_rec - encode REC as msgpack.  */
GBytes *wire_encode_rec (const rec_t *rec);

/* wire_decode_rec - decode the LEN bytes of DATA into REC, which the caller
   releases with rec_clear.  */
bool wire_decode_rec (const void *data, size_t len, rec_t *rec,
                      GError **error);

/* wire_fold - decode the LEN bytes at OFFSET in the log, validate the record
   and apply it to STATE.  All readers use this function, so that they agree on
   the result.  Bytes that are no record, and records that fail rec_check,
   change nothing but the offset: VERDICT_INVALID and *ERROR.  ID, unless NULL,
   is set to the id of the record.  */
verdict_t wire_fold (state_t *state, const void *data, size_t len,
                     uint64_t offset, uint8_t id[REC_ID_BYTES],
                     GError **error);

/* wire_encode_snapshot - the canonical encoding of STATE with a checksum:
   equal states yield equal bytes in every process.  STATE must include the ids
   of the records it has seen, which the copy for a view lacks.  */
GBytes *wire_encode_snapshot (const state_t *state);

/* wire_decode_snapshot - decode the LEN bytes of DATA; NULL and *ERROR if they
   are no valid snapshot.  */
state_t *wire_decode_snapshot (const void *data, size_t len, GError **error);

#define MSG_BYTES_MAX (1024 * 1024)
#define MSG_NONCE_BYTES 32
#define MSG_PROOF_BYTES 32
#define MSG_ENTRIES_MAX 4096

typedef enum msg_kind
{
  MSG_HELLO = 1,
  MSG_PROOF = 2,
  MSG_HEARTBEAT = 3,
  MSG_RELAY = 4,
  MSG_FETCH = 5,
  MSG_CLAIM = 6,
  MSG_CLAIM_REPLY = 7,
  MSG_LOAN_REQUEST = 8,
  MSG_LOAN = 9,
  MSG_TOTALS = 10,
  MSG_UNKNOWN = 255 /* sent by a newer version; ignored */
} msg_kind_t;

typedef struct msg_hello
{
  uint32_t protocol;
  char name[REC_NAME_BYTES];
  char data_centre[REC_NAME_BYTES];
  uint64_t incarnation;
  uint8_t nonce[MSG_NONCE_BYTES];
} msg_hello_t;

typedef struct msg_proof
{
  uint8_t tag[MSG_PROOF_BYTES];
} msg_proof_t;

#define LOG_AGE_NEVER_READ UINT64_MAX

typedef struct msg_heartbeat
{
  uint64_t config_version;  /* the sender has lowered its shares to it */
  uint64_t settled_version; /* see share_report_t */
  uint64_t offset;          /* first log offset not yet applied */
  uint64_t log_age_ms;      /* since the sender last read the log to its end */
  int64_t sent_us;          /* monotonic clock of the sender */
  int64_t echo_us; /* sent_us of the last heartbeat received from the peer, 0:
                      none yet.  Proves to the peer that this heartbeat was
                      sent later than that one.  */
} msg_heartbeat_t;

typedef struct msg_record
{
  uint64_t offset;
  const uint8_t *data;
  size_t len;
} msg_record_t;

typedef struct msg_relay
{
  uint64_t next; /* first log offset that the sender has not applied */
  bool snapshot; /* the only record is a snapshot of the state at its offset;
                    sent when the sender no longer has the older records */
  uint32_t count;
  msg_record_t *records;
} msg_relay_t;

typedef struct msg_fetch
{
  uint64_t offset;
} msg_fetch_t;

#define MSG_CLAIM_ID_BYTES 16

typedef enum claim_verdict
{
  CLAIM_GRANTED,
  CLAIM_REPEATED, /* granted before, or possibly before a restart */
  CLAIM_INVALID,  /* id was issued outside the accepted time window */
  CLAIM_REFUSED   /* the receiver grants no claims at present */
} claim_verdict_t;

typedef struct msg_claim
{
  uint64_t number; /* request number, repeated in the reply */
  uint8_t id[MSG_CLAIM_ID_BYTES];
} msg_claim_t;

typedef struct msg_claim_reply
{
  uint64_t number;
  claim_verdict_t verdict;
} msg_claim_reply_t;

typedef enum loan_kind
{
  LOAN_TEAM,
  LOAN_UPSTREAM
} loan_kind_t;

typedef struct msg_loan_request
{
  uint64_t number;
  loan_kind_t kind;
  char name[REC_NAME_BYTES]; /* of the team or upstream */
  uint32_t count;
} msg_loan_request_t;

typedef struct msg_loan
{
  uint64_t number; /* of the request; unrequested and duplicate loans are
                      discarded */
  loan_kind_t kind;
  char name[REC_NAME_BYTES];
  uint32_t count;
  int64_t expiry_ms; /* wall-clock time */
} msg_loan_t;

typedef enum total_kind
{
  TOTAL_TEAM,
  TOTAL_POOL,
  TOTAL_HOST /* a draining host */
} total_kind_t;

typedef struct msg_total
{
  total_kind_t kind;
  char name[REC_NAME_BYTES];
  uint32_t in_use;
  uint32_t queued;
} msg_total_t;

typedef struct msg_totals
{
  uint32_t count;
  msg_total_t *totals;
} msg_totals_t;

typedef struct msg
{
  msg_kind_t kind;
  union
  {
    msg_hello_t hello;               /* HELLO */
    msg_proof_t proof;               /* PROOF */
    msg_heartbeat_t heartbeat;       /* HEARTBEAT */
    msg_relay_t relay;               /* RELAY */
    msg_fetch_t fetch;               /* FETCH */
    msg_claim_t claim;               /* CLAIM */
    msg_claim_reply_t claim_reply;   /* CLAIM_REPLY */
    msg_loan_request_t loan_request; /* LOAN_REQUEST */
    msg_loan_t loan;                 /* LOAN */
    msg_totals_t totals;             /* TOTALS */
  } u;
  GBytes
      *bytes; /* input of wire_decode_msg; a RELAY's records point into it */
} msg_t;

const char *msg_kind_name (msg_kind_t kind);

/* wire_encode_msg - encode MSG; NULL if the result would exceed
   MSG_BYTES_MAX.  */
GBytes *wire_encode_msg (const msg_t *msg);

/* wire_decode_msg - decode BYTES into MSG, which the caller releases with
   msg_clear.  */
bool wire_decode_msg (GBytes *bytes, msg_t *msg, GError **error);

/* msg_clear - release the memory of a decoded MSG.  */
void msg_clear (msg_t *msg);

#endif

/* wire - encoding of records, snapshots and peer messages

   NAME
     wirerec, wirefold, wiresnap, wiremsg

   DESCRIPTION
     Everything that cuminpin's own processes exchange or keep in the
     platform's log is msgpack.  Decoding accepts any bytes: what is not well
     formed is an error, never a crash, and no length in the input is trusted
     before it was checked against what is there.

     A record is an array [KIND, ID, AUTHOR, TIME_MS, REQUIRED, PAYLOAD];
     PAYLOAD is an array with the fields in the order of rec_t.  A longer
     payload than the reader knows is accepted: the fields behind are of a
     newer version.  A kind that the reader doesn't know gives REC_UNKNOWN.

     A peer message is an array [KIND, FIELD, ...] with the fields in the order
     of msg_t; a longer one is accepted, too.

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

/* wire_encode_rec - the encoding of REC.  */
GBytes *wire_encode_rec (const rec_t *rec);

/* wire_decode_rec - decode the LEN bytes of DATA into REC, to be released with
   rec_clear.  */
bool wire_decode_rec (const void *data, size_t len, rec_t *rec,
                      GError **error);

/* wire_fold - decode, check and fold the LEN bytes that stand at OFFSET in the
   log, the same way for every reader.  What is no record or fails its check is
   skipped without trace: VERDICT_INVALID and *ERROR.  ID, unless NULL, is set
   to the id of the record.  */
verdict_t wire_fold (state_t *state, const void *data, size_t len,
                     uint64_t offset, uint8_t id[REC_ID_BYTES],
                     GError **error);

/* wire_encode_snapshot - the canonical encoding of a whole STATE with a
   checksum; the same bytes for the same state, whoever writes them.  STATE
   must carry its seen ids (not a copy for a view).  */
GBytes *wire_encode_snapshot (const state_t *state);

/* wire_decode_snapshot - the state in a snapshot, or NULL and *ERROR.  */
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
  MSG_UNKNOWN = 255 /* of a newer version; to be ignored */
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
  uint64_t config_version;  /* its shares are lowered to it */
  uint64_t settled_version; /* see share_report_t */
  uint64_t offset;          /* folded up to here */
  uint64_t log_age_ms;      /* since the log was read to its end */
  int64_t sent_us;          /* by the sender's clock */
  int64_t echo_us; /* sent_us of the last beat that the sender had received;
                      proves to the receiver that this one is not older.  0:
                      none yet */
} msg_heartbeat_t;

typedef struct msg_record
{
  uint64_t offset;
  const uint8_t *data;
  size_t len;
} msg_record_t;

typedef struct msg_relay
{
  uint64_t next; /* the sender has folded up to here */
  bool snapshot; /* the one record is a snapshot of the state at its offset,
                    since older records are no longer at hand */
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
  CLAIM_REPEATED, /* granted before, or perhaps by a predecessor */
  CLAIM_INVALID,  /* issued outside the window */
  CLAIM_REFUSED   /* the receiver grants none now */
} claim_verdict_t;

typedef struct msg_claim
{
  uint64_t number; /* of the question, for its answer */
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
  uint64_t number; /* of the question; a loan that wasn't asked for, or came
                      twice, is not used */
  loan_kind_t kind;
  char name[REC_NAME_BYTES];
  uint32_t count;
  int64_t expiry_ms; /* wall clock */
} msg_loan_t;

typedef enum total_kind
{
  TOTAL_TEAM,
  TOTAL_POOL,
  TOTAL_HOST /* that is draining */
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
  GBytes *bytes; /* that a decoded RELAY's records point into */
} msg_t;

const char *msg_kind_name (msg_kind_t kind);

/* wire_encode_msg - the encoding of MSG, or NULL when it is longer than
   MSG_BYTES_MAX.  */
GBytes *wire_encode_msg (const msg_t *msg);

/* wire_decode_msg - decode BYTES into MSG, to be released with msg_clear.  */
bool wire_decode_msg (GBytes *bytes, msg_t *msg, GError **error);

/* msg_clear - release what a decoded MSG holds.  */
void msg_clear (msg_t *msg);

#endif

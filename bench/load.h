/* load - the HTTP/1.1 load generator

   NAME
     answer, latency, tally, plan, worker

   DESCRIPTION
     answer   parser of one HTTP/1.1 answer with Content-Length
     latency  histogram of latencies with a bounded relative error
     tally    what became of the requests that were sent
     plan     what to send, from the command line
     worker   a thread with an epoll set and its share of the connections  */

#ifndef CUMINPIN_LOAD_H
#define CUMINPIN_LOAD_H

#include "base.h"

/* Characters of a UUID in text.  */
#define LOAD_ID_BYTES 36

typedef enum response_state
{
  RESPONSE_PARTIAL,  /* more bytes are needed */
  RESPONSE_COMPLETE, /* head and body are there */
  RESPONSE_MALFORMED /* not HTTP/1.1, or without a single Content-Length */
} response_state_t;

/* An answer in the bytes that were parsed; texts point into them.  */
typedef struct response
{
  uint16_t status;
  size_t head_len; /* with the empty line; 0 until it is there */
  size_t body_len;
  const char *id; /* X-Request-Id, NULL without */
  size_t id_len;
  const char *error; /* X-Error, NULL without */
  size_t error_len;
  bool closing; /* Connection: close */
} response_t;

/* answer_parse - parse the LEN bytes of BYTES, the beginning of an answer.  */
response_state_t response_parse (const char *bytes, size_t len,
                                 response_t *response);

/* answer_is_refusal - whether ANSWER says that the request was not served.  */
bool response_is_refusal (const response_t *response);

/* answer_fits - whether the whole ANSWER in BYTES belongs to the request ID:
   its X-Request-Id is ID, and unless it is a refusal, its body begins with
   ID.  */
bool response_matches (const response_t *response, const char *bytes,
                       const char *id);

/* Buckets are exact below LATENCY_EXACT and then 64 to each power of two, a
   relative error of at most 1/64.  */
#define LATENCY_EXACT 128
#define LATENCY_BUCKETS (LATENCY_EXACT + 25 * 64)

typedef struct latency
{
  uint64_t count;
  uint64_t buckets[LATENCY_BUCKETS];
} latency_t;

/* latency_add - count one latency; more than an hour counts as an hour.  */
void latency_add (latency_t *latency, int64_t us);

/* latency_merge - add all that PART counted to SUM.  */
void latency_merge (latency_t *sum, const latency_t *part);

/* latency_quantile - the highest latency in the bucket that holds the
   quantile Q (0 to 1); 0 when nothing was counted.  */
int64_t latency_quantile (const latency_t *latency, double q);

#define STATUS_MAX 600

/* sent = answered + refused + lost.  Wrong answers are counted among the
   answered as well, but for those that no request was waiting for.  */
typedef struct tally
{
  uint64_t sent;
  uint64_t answered;
  uint64_t refused; /* X-Error, or a status of 400 or above */
  uint64_t lost;    /* connection ended, or no answer in time */
  uint64_t wrong;
  uint64_t not_sent; /* open loop: due, but no connection was free */
  uint64_t connect_failures;
  uint64_t by_status[STATUS_MAX];
  uint64_t by_error[ERR_KIND_COUNT + 1]; /* last: a name not in the list */
  int64_t first_us; /* first request sent and last answer, monotonic time */
  int64_t last_us;
  latency_t latency; /* of answers that are not refusals */
} tally_t;

/* tally_answer - count ANSWER, which came at NOW_US to a request that was
   intended for FROM_US.  */
void tally_response (tally_t *tally, const response_t *response, bool wrong,
                     int64_t intended_us, int64_t now_us);

/* tally_malformed - count an answer that can't be read.  */
void tally_malformed (tally_t *tally);

void tally_merge (tally_t *sum, const tally_t *part);

bool tally_balances (const tally_t *tally);

/* tally_is_good - balanced, nothing wrong, nothing lost.  */
bool tally_is_good (const tally_t *tally);

/* tally_print - as lines of "name value", or as a JSON object.  */
void tally_print (const tally_t *tally, bool json);

typedef struct options
{
  char *address;
  uint16_t port;
  char *request; /* a whole request */
  size_t request_len;
  size_t id_offset; /* where its id of LOAD_ID_BYTES characters stands */
  uint32_t connections;
  uint32_t threads;
  int64_t duration_us;
  int64_t grace_us; /* longest wait for answers after that */
  double rate;      /* requests a second of all threads; 0: closed loop */
  bool check_id;
} load_options_t;

/* id_write - write a UUIDv7 of LOAD_ID_BYTES characters, not terminated.
   Ids with different RANDOM or SERIAL differ.  */
void request_id_write (char *to, int64_t now_ms, uint16_t random,
                       uint64_t serial);

typedef struct worker worker_t;

/* worker_start - start the thread NUMBER of those in PLAN.  */
worker_t *worker_start (const load_options_t *options, uint32_t number);

/* worker_join - wait for the thread to end, add what it counted to TALLY.  */
void worker_join (worker_t *worker, tally_t *tally);

#endif

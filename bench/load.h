/* load - HTTP/1.1 load generator

   NAME
     response, latency, tally, connection, worker

   DESCRIPTION
     response    parser of one HTTP/1.1 response with Content-Length
     latency     histogram of latencies with a bounded relative error
     tally       counts of the outcomes of requests
     connection  non-blocking connection that carries one request at a time
     worker      thread with an epoll set and its part of the connections  */

#ifndef CUMINPIN_LOAD_H
#define CUMINPIN_LOAD_H

#include "base.h"

/* Length of a UUID in text form.  */
#define LOAD_ID_BYTES 36

typedef enum response_state
{
  RESPONSE_PARTIAL,  /* more bytes are needed */
  RESPONSE_COMPLETE, /* head and body are complete */
  RESPONSE_MALFORMED /* not HTTP/1.1, or not exactly one Content-Length */
} response_state_t;

/* A response in the bytes that were parsed; strings point into them.  */
typedef struct response
{
  uint16_t status;
  size_t head_len; /* including the empty line; 0 until complete */
  size_t body_len;
  const char *id; /* X-Request-Id, or NULL */
  size_t id_len;
  const char *error; /* X-Error, or NULL */
  size_t error_len;
  bool closing; /* Connection: close */
} response_t;

/* response_parse - parses the LEN bytes of BYTES, which start a response.  */
response_state_t response_parse (const char *bytes, size_t len,
                                 response_t *response);

/* response_is_refusal - whether the response says that the request was not
   served.  */
bool response_is_refusal (const response_t *response);

/* response_matches - whether the complete RESPONSE in BYTES belongs to the
   request ID: its X-Request-Id is ID and, unless it is a refusal, its body
   begins with ID.  */
bool response_matches (const response_t *response, const char *bytes,
                       const char *id);

/* Buckets are exact below LATENCY_EXACT, with 64 per power of two above it: a
   relative error of at most 1/64.  */
#define LATENCY_EXACT 128
#define LATENCY_BUCKETS (LATENCY_EXACT + 25 * 64)

typedef struct latency
{
  uint64_t count;
  uint64_t buckets[LATENCY_BUCKETS];
} latency_t;

/* latency_add - counts one latency; values over an hour count as an hour.  */
void latency_add (latency_t *latency, int64_t us);

/* latency_merge - adds the counts of PART to SUM.  */
void latency_merge (latency_t *sum, const latency_t *part);

/* latency_quantile - returns the upper bound of the bucket that holds the
   quantile Q (0 to 1); 0 when empty.  */
int64_t latency_quantile (const latency_t *latency, double q);

#define STATUS_MAX 600

/* Invariant: sent = answered + refused + lost.  A wrong response also counts
   as answered or refused, except one received without a request in flight.  */
typedef struct tally
{
  uint64_t sent;
  uint64_t answered;
  uint64_t refused; /* X-Error, or a status of 400 or above */
  uint64_t lost;    /* connection closed or no response in time */
  uint64_t wrong;
  uint64_t not_sent; /* open loop: due while no connection was idle */
  uint64_t connect_failures;
  uint64_t by_status[STATUS_MAX];
  uint64_t by_error[ERR_KIND_COUNT + 1]; /* last: unknown names */
  int64_t first_us; /* first request and last response, monotonic */
  int64_t last_us;
  latency_t latency; /* of responses other than refusals */
} tally_t;

/* tally_response - counts RESPONSE, received at NOW_US, to a request intended
   for INTENDED_US.  */
void tally_response (tally_t *tally, const response_t *response, bool wrong,
                     int64_t intended_us, int64_t now_us);

/* tally_malformed - counts a response that cannot be parsed.  */
void tally_malformed (tally_t *tally);

void tally_merge (tally_t *sum, const tally_t *part);

bool tally_balances (const tally_t *tally);

/* tally_is_good - whether the counts balance and no response was wrong or
   lost.  */
bool tally_is_good (const tally_t *tally);

/* tally_print - prints lines of "NAME VALUE", or a JSON object.  */
void tally_print (const tally_t *tally, bool json);

typedef struct options
{
  char *address;
  uint16_t port;
  char *request; /* the complete request */
  size_t request_len;
  size_t id_offset; /* offset of its id of LOAD_ID_BYTES characters */
  uint32_t connections;
  uint32_t threads;
  int64_t duration_us;
  int64_t grace_us; /* longest wait for outstanding responses after that */
  double rate;      /* requests per second over all threads; 0: closed loop */
  bool check_id;
} load_options_t;

/* request_id_write - writes a UUIDv7 of LOAD_ID_BYTES characters without a
   terminator.  Ids with a different RANDOM or SERIAL differ.  */
void request_id_write (char *to, int64_t now_ms, uint16_t random,
                       uint64_t serial);

typedef struct worker worker_t;

/* worker_start - starts worker NUMBER of the threads in OPTIONS.  */
worker_t *worker_start (const load_options_t *options, uint32_t number);

/* worker_join - waits for the thread to end, adds its counts to TALLY and
   releases WORKER.  */
void worker_join (worker_t *worker, tally_t *tally);

#endif

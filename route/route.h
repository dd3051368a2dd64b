/* route - choice of an upstream for each request, retries and deduplication

   NAME
     balancer, health, outlier, estimate, retry, dedup

   DESCRIPTION
     balancer  picks the better of two random upstreams by expected wait
               (Mitzenmacher 2001), own data centre first
     health    ejection of failing, slow and leaving upstreams, and probes
     outlier   finds upstreams far slower than others of their service
     estimate  run times of a service's requests
     retry     retry budget and backoff with full jitter
     dedup     ids of non-idempotent requests and the claims on them that the
               owner of an id grants

     No function reads a clock or draws random numbers; both are arguments.  */

#ifndef CUMINPIN_ROUTE_H
#define CUMINPIN_ROUTE_H

#include "base.h"

/* Result of one attempt to send a request to an upstream.  */
typedef enum try_result
{
  TRY_ANSWERED,       /* complete response to this request */
  TRY_FAILED,         /* response with a 5xx status */
  TRY_REFUSED,        /* refused before it ran: X-Not-Run */
  TRY_CONNECT_FAILED, /* no connection */
  TRY_TIMED_OUT,
  TRY_CONNECTION_LOST, /* connection lost after sending */
  TRY_BAD_ANSWER,      /* response truncated, or to another request */
  TRY_CANCELLED        /* client disconnected; no result */
} try_result_t;

/* try_error - returns the error kind for RESULT; ERR_NONE for a complete
   response, whatever its status.  */
err_kind_t try_error (try_result_t result);

/* Health of one upstream as observed by this daemon.  All members are private.
   Any thread; decisions of several threads may interleave.  */
typedef struct health
{
  atomic_uint failures;                 /* consecutive */
  atomic_uint ejections;                /* consecutive */
  atomic_int_fast64_t ejected_until_us; /* 0: not ejected */
  atomic_bool probing;                  /* a probe is in progress */
  atomic_int_fast64_t leaving_until_us;
  atomic_uint_fast32_t latency_us; /* moving average */
} health_t;

typedef enum health_status
{
  HEALTH_OK,
  HEALTH_PROBE, /* one request may be sent to test whether it has recovered */
  HEALTH_EJECTED,
  HEALTH_LEAVING
} health_status_t;

#define EJECT_FAILURES 5     /* consecutive */
#define EJECT_MIN_US 1000000 /* first ejection; each next one doubles */
#define EJECT_MAX_US 30000000

/* health_status - whether a request may be sent to the upstream at NOW_US.  */
health_status_t health_status (health_t *health, int64_t now_us);

/* health_begin_probe - claims the probe that HEALTH_PROBE allows; returns
   false if another thread has claimed it.  Its result must be passed to
   health_record_result.  */
bool health_begin_probe (health_t *health);

/* health_record_result - records the RESULT of an attempt that took
   LATENCY_US.  Returns true if this ejected the upstream or, after a probe,
   returned it to service.  */
bool health_record_result (health_t *health, try_result_t result,
                           int64_t latency_us, int64_t now_us);

/* A timer fires a few milliseconds late; beyond this, the daemon is busy.  */
#define HEALTH_OWN_DELAY_MAX_US 20000

/* health_timeout_result - how an attempt of SENT_US that timed out counts: as
   TRY_TIMED_OUT, or as TRY_CANCELLED if that is no sign of a fault.  It is
   none if the attempt had less time than USUAL_US, or if this daemon noticed
   at NOW_US that the time was over at DEADLINE_US: the response may have
   waited here.  */
try_result_t health_timeout_result (int64_t sent_us, int64_t deadline_us,
                                    int64_t usual_us, int64_t now_us);

/* Time for which one notice of leaving is valid.  The platform's list still
   shows a leaving host as live for a while, so an entry as live doesn't end
   it; an entry as leaving renews it.  */
#define LEAVING_US 30000000

/* health_mark_leaving - records a notice, from the platform's list or from the
   upstream itself, that it is leaving.  Returns true if no earlier notice is
   still valid.  */
bool health_mark_leaving (health_t *health, int64_t now_us);

/* health_eject - ejects an upstream that responds, but too slowly.  Returns
   false if it is already ejected.  */
bool health_eject (health_t *health, int64_t now_us);

/* health_latency_us - returns the moving average of the response time; 0:
   unknown.  */
uint32_t health_latency_us (const health_t *health);

#define OUTLIER_NONE UINT32_MAX
#define OUTLIER_FACTOR 5      /* times the median of the service */
#define OUTLIER_MIN_US 50000  /* lower latencies are never outliers */
#define OUTLIER_SAMPLES_MIN 3 /* known latencies needed for a median */

/* outlier_find - returns the index of the slowest upstream if it is an
   outlier, else OUTLIER_NONE.  Only one at a time, so that a service that
   slows down as a whole keeps its upstreams.  */
uint32_t outlier_find (const uint32_t *latencies_us, uint32_t count);

/* Run times of one service's requests.  Any thread; of samples added
   concurrently some may be lost.  */
typedef struct estimate
{
  atomic_uint_fast64_t mean_us; /* 0: no sample yet */
  atomic_uint_fast64_t deviation_us;
} estimate_t;

/* estimate_add - adds a sample: a request that ran for RUN_US.  */
void estimate_add (estimate_t *estimate, int64_t run_us);

/* estimate_bound_us - returns the time within which nearly all requests end;
   0: unknown.  */
int64_t estimate_bound_us (const estimate_t *estimate);

/* An upstream that the balancer may pick.  */
typedef struct candidate
{
  uint32_t slots;
  uint32_t in_use;
  bool local; /* in this daemon's data centre */
  bool tried; /* this request was already sent to it */
  health_status_t status;
  uint32_t latency_us; /* 0: unknown */
} candidate_t;

#define BALANCER_NONE UINT32_MAX

/* balancer_pick - returns the index of the upstream to use, or BALANCER_NONE.
   Prefers an upstream that is due for a probe, then local ones, then remote
   ones; never picks one that is full, ejected, leaving or already tried.  */
uint32_t balancer_pick (const candidate_t *candidates, uint32_t count,
                        uint64_t random);

/* Tokens for retries: each first attempt adds a tenth of a token, each retry
   spends one.  Any thread.  */
typedef struct retry_budget
{
  atomic_int_fast64_t tenths;
} retry_budget_t;

#define RETRY_TENTHS_MAX 1000  /* 100 retries */
#define RETRY_TENTHS_START 100 /* for retries just after a start */
#define RETRY_MAX 3            /* for one request */
#define RETRY_BASE_US 5000
#define RETRY_CAP_US 250000

/* retry_budget_deposit - adds a tenth of a token, for a first attempt.  */
void retry_budget_deposit (retry_budget_t *budget);

typedef struct retry_context
{
  try_result_t result;
  bool idempotent;
  uint32_t tries; /* attempts so far */
  int64_t deadline_us;
} retry_context_t;

/* retry_decide - whether to retry, and after which delay (*DELAY_US, with full
   jitter from RANDOM).  Takes a token from BUDGET if the result is true.  */
bool retry_decide (retry_budget_t *budget, const retry_context_t *context,
                   int64_t now_us, uint64_t random, int64_t *delay_us);

#define DEDUP_ID_BYTES 16
#define DEDUP_WINDOW_MS 600000

typedef struct dedup_id
{
  uint8_t bytes[DEDUP_ID_BYTES];
} dedup_id_t;

/* dedup_parse - parses TEXT, a UUIDv7 in its standard form, into *ID; returns
   false if it is not one.  */
bool dedup_parse (const char *text, dedup_id_t *id);

/* dedup_time_ms - returns the time of issue that ID contains.  */
int64_t dedup_time_ms (const dedup_id_t *id);

/* dedup_owner - returns the index of the owner of ID among COUNT entry
   hosts.  */
uint32_t dedup_owner (const dedup_id_t *id, const char *const *entry_hosts,
                      uint32_t count);

/* The claims that this daemon has granted.  Not thread-safe.  */
typedef struct dedup_table dedup_table_t;

/* dedup_new - returns an empty table.  Ids issued before START_MS plus twice
   the clock error are refused, because a predecessor may have granted them:
   its clock may have been ahead of this one, and it granted ids issued ahead
   of its own clock.  */
dedup_table_t *dedup_new (int64_t start_ms);
void dedup_free (dedup_table_t *table);

/* dedup_set_start - raises the start to START_MS, from which this daemon owns
   ids after a change of the list of entry hosts.  An earlier time has no
   effect.  */
void dedup_set_start (dedup_table_t *table, int64_t start_ms);

/* dedup_claim - grants ID once.  Returns ERR_NONE if it is granted now;
   ERR_ID_REPEATED if it was granted before, or may have been by a predecessor;
   ERR_ID_INVALID if it was issued outside the window.  Drops ids older than
   the window.  */
err_kind_t dedup_claim (dedup_table_t *table, const dedup_id_t *id,
                        int64_t now_ms);

uint32_t dedup_count (const dedup_table_t *table);

#endif

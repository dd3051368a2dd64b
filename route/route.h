/* route - which upstream a request goes to, and whether it goes a second time

   NAME
     balancer, health, outlier, estimate, retry, dedup

   DESCRIPTION
     balancer  of two random upstreams the one with the shorter expected wait
             (Mitzenmacher 2001), own data centre first
     health  ejection of failing, slow and leaving upstreams, and probes
     outlier  upstreams that take far longer than others of their service
     estimate  how long a service's requests run
     retry   retry budget and backoff with full jitter
     dedup  ids of non-idempotent requests and the claims that their owner
             grants

     Pure decisions: the present time and random numbers are arguments.  */

#ifndef CUMINPIN_ROUTE_H
#define CUMINPIN_ROUTE_H

#include "base.h"

/* How a try at an upstream ended.  */
typedef enum try_result
{
  TRY_ANSWERED,       /* whole answer to this request */
  TRY_FAILED,         /* answered with a 5xx status */
  TRY_REFUSED,        /* refused before running: X-Not-Run */
  TRY_CONNECT_FAILED, /* no connection */
  TRY_TIMED_OUT,
  TRY_CONNECTION_LOST, /* connection lost after sending */
  TRY_BAD_ANSWER,      /* truncated, or another request's */
  TRY_CANCELLED        /* the client is gone; says nothing of the upstream */
} try_result_t;

/* try_error - the error kind for a try that ended in RESULT; ERR_NONE for a
   whole answer, whatever its status.  */
err_kind_t try_error (try_result_t result);

/* Health of one upstream as this daemon saw it.  All members are private.
   Any thread; decisions of several threads may interleave.  */
typedef struct health
{
  atomic_uint failures;         /* in a row */
  atomic_uint ejections;        /* in a row */
  atomic_int_fast64_t until_us; /* ejected until then */
  atomic_bool probing;          /* a probe is under way */
  atomic_int_fast64_t leaving_until_us;
  atomic_uint_fast32_t latency_us; /* moving average */
} health_t;

typedef enum health_status
{
  HEALTH_OK,
  HEALTH_PROBE, /* may take one request, to see whether it has recovered */
  HEALTH_EJECTED,
  HEALTH_LEAVING
} health_status_t;

#define EJECT_FAILURES 5     /* in a row */
#define EJECT_MIN_US 1000000 /* first ejection; doubles with each */
#define EJECT_MAX_US 30000000

/* health_status - whether the upstream may be sent a request at NOW_US.  */
health_status_t health_status (health_t *health, int64_t now_us);

/* health_begin_probe - claim the probe that HEALTH_PROBE allows; false when
   another thread was faster.  Its result must be given to
   health_record_result.  */
bool health_begin_probe (health_t *health);

/* health_record_result - take in the RESULT of a try that took LATENCY_US.
   True when this ejected the upstream or, after a probe, brought it back.  */
bool health_record_result (health_t *health, try_result_t result,
                           int64_t latency_us, int64_t now_us);

/* How long one sign of leaving counts.  The platform's list still shows a
   leaving host as live for a while, so its word doesn't end this; a list that
   shows it as leaving renews it.  */
#define LEAVING_US 30000000

/* health_mark_leaving - a sign, from the platform's list or from the upstream
   itself, that it is leaving.  True when it is the first one.  */
bool health_mark_leaving (health_t *health, int64_t now_us);

/* health_eject - eject an upstream that answers, but too slowly.  False when
   it is ejected already.  */
bool health_eject (health_t *health, int64_t now_us);

/* health_latency_us - moving average of the time to an answer; 0: unknown.  */
uint32_t health_latency_us (const health_t *health);

#define OUTLIER_NONE UINT32_MAX
#define OUTLIER_FACTOR 5      /* times the median of the service */
#define OUTLIER_MIN_US 50000  /* less is never slow */
#define OUTLIER_SAMPLES_MIN 3 /* upstreams, for a median */

/* outlier_find - the index of the slowest upstream if it is an outlier, or
   OUTLIER_NONE.  One at a time, so that a service that slows down as a whole
   keeps its upstreams.  */
uint32_t outlier_find (const uint32_t *latencies_us, uint32_t count);

/* Run times of one service's requests.  Any thread; samples that threads take
   in at once may be lost.  */
typedef struct estimate
{
  atomic_uint_fast64_t mean_us; /* 0: no sample yet */
  atomic_uint_fast64_t deviation_us;
} estimate_t;

/* estimate_add - take in a request that ran for RUN_US.  */
void estimate_add (estimate_t *estimate, int64_t run_us);

/* estimate_bound_us - time in which nearly all requests end; 0: unknown.  */
int64_t estimate_bound_us (const estimate_t *estimate);

/* An upstream as the balancer sees it.  */
typedef struct candidate
{
  uint32_t slots;
  uint32_t in_use;
  bool local; /* in this daemon's data centre */
  bool tried; /* by this request already */
  health_status_t status;
  uint32_t latency_us; /* 0: unknown */
} candidate_t;

#define BALANCER_NONE UINT32_MAX

/* balancer_pick - index of the upstream to try, or BALANCER_NONE.  Prefers
   local ones with a free slot, then remote ones; never one that is full,
   ejected, leaving or tried before.  A due probe goes first.  */
uint32_t balancer_pick (const candidate_t *candidates, uint32_t count,
                        uint64_t random);

/* Tokens for retries: each first try earns a tenth of one.  Any thread.  */
typedef struct retry_budget
{
  atomic_int_fast64_t tenths;
} retry_budget_t;

#define RETRY_TENTHS_MAX 1000 /* 100 retries saved up at most */
#define RETRY_TENTHS_START                                                    \
  100               /* so that the first requests after a start               \
                       may be retried */
#define RETRY_MAX 3 /* for one request */
#define RETRY_BASE_US 5000
#define RETRY_CAP_US 250000

/* retry_budget_deposit - count a first try.  */
void retry_budget_deposit (retry_budget_t *budget);

typedef struct retry_context
{
  try_result_t result;
  bool idempotent;
  uint32_t tries; /* made so far */
  int64_t deadline_us;
} retry_context_t;

/* retry_decide - whether to try again, and after how long (*DELAY_US, full
   jitter from RANDOM).  Takes a token from BUDGET when it says yes.  */
bool retry_decide (retry_budget_t *budget, const retry_context_t *c,
                   int64_t now_us, uint64_t random, int64_t *delay_us);

#define DEDUP_ID_BYTES 16
#define DEDUP_WINDOW_MS 600000

typedef struct dedup_id
{
  uint8_t bytes[DEDUP_ID_BYTES];
} dedup_id_t;

/* dedup_parse - the id in TEXT, a UUIDv7 in its usual form.  */
bool dedup_parse (const char *text, dedup_id_t *id);

/* dedup_time_ms - the time of issue that ID carries.  */
int64_t dedup_time_ms (const dedup_id_t *id);

/* dedup_owner - index of the owner of ID among COUNT entry hosts.  */
uint32_t dedup_owner (const dedup_id_t *id, const char *const *entry_hosts,
                      uint32_t count);

/* The claims that this daemon has granted.  One thread, or a lock.  */
typedef struct dedup_table dedup_table_t;

/* dedup_new - no claims; ids issued before START_MS plus twice the clock error
   are refused, because a predecessor may have granted them: its clock may have
   been ahead of this one, and it granted ids that were ahead of its own.  */
dedup_table_t *dedup_new (int64_t start_ms);
void dedup_free (dedup_table_t *table);

/* dedup_set_start - ids become this daemon's from START_MS on, after a change
   of the list of entry hosts.  Never moves back.  */
void dedup_set_start (dedup_table_t *table, int64_t start_ms);

/* dedup_claim - grant ID, once.  ERR_NONE: granted.  ERR_ID_REPEATED: granted
   before, or perhaps by a predecessor.  ERR_ID_INVALID: issued outside the
   window.  Forgets ids older than the window.  */
err_kind_t dedup_claim (dedup_table_t *table, const dedup_id_t *id,
                        int64_t now_ms);

uint32_t dedup_count (const dedup_table_t *table);

#endif

#include "base.h"

/* Each of the first STRIPES threads has a stripe of its own and doesn't
   contend for cache lines; further threads share them.  */
#define STRIPES 32
#define CACHE_LINE_BYTES 64

typedef struct stripe
{
  _Alignas(CACHE_LINE_BYTES) atomic_uint_fast64_t value[COUNTER_COUNT];
} stripe_t;

static stripe_t stripes[STRIPES];
static atomic_uint next_stripe;
static _Thread_local stripe_t *own_stripe;

static const char *const names[COUNTER_COUNT] = {
  [COUNT_REQUESTS] = "requests",
  [COUNT_ANSWERED] = "answered",
  [COUNT_REFUSED_NOT_RUN] = "refused_not_run",
  [COUNT_REFUSED_UNKNOWN] = "refused_unknown",
  [COUNT_CLIENT_GONE] = "client_gone",
  [COUNT_SENT] = "sent",
  [COUNT_RETRIES] = "retries",
  [COUNT_RETRY_BUDGET_SPENT] = "retry_budget_spent",
  [COUNT_QUEUED] = "queued",
  [COUNT_QUEUE_CONTENDED] = "queue_contended",
  [COUNT_KEY_REJECTED] = "key_rejected",
  [COUNT_ANSWER_MISMATCHED] = "answer_mismatched",
  [COUNT_ANSWER_TRUNCATED] = "answer_truncated",
  [COUNT_UPSTREAM_EJECTED] = "upstream_ejected",
  [COUNT_RECORDS_APPLIED] = "records_applied",
  [COUNT_RECORDS_REJECTED] = "records_rejected",
  [COUNT_VIEWS_PUBLISHED] = "views_published",
  [COUNT_LOG_READS] = "log_reads",
  [COUNT_LOG_READ_FAILURES] = "log_read_failures",
  [COUNT_LOG_APPENDS] = "log_appends",
  [COUNT_LOG_BYTES_IN] = "log_bytes_in",
  [COUNT_LOG_BYTES_OUT] = "log_bytes_out",
  [COUNT_PEER_MESSAGES_IN] = "peer_messages_in",
  [COUNT_PEER_MESSAGES_OUT] = "peer_messages_out",
  [COUNT_PEER_BYTES_IN] = "peer_bytes_in",
  [COUNT_PEER_BYTES_OUT] = "peer_bytes_out",
  [COUNT_PEER_REFUSED] = "peer_refused",
  [COUNT_LOANS_GIVEN] = "loans_given",
  [COUNT_LOANS_TAKEN] = "loans_taken",
  [COUNT_CLAIMS_GRANTED] = "claims_granted",
  [COUNT_CLAIMS_REFUSED] = "claims_refused",
  [COUNT_JOBS_ACCEPTED] = "jobs_accepted",
  [COUNT_JOBS_REFUSED] = "jobs_refused",
  [COUNT_ADMISSION_REFUSED] = "admission_refused",
  [COUNT_ADMISSION_REPEATED] = "admission_repeated",
  [COUNT_EXPLANATIONS] = "explanations",
  [COUNT_JOBS_COMPLETE] = "jobs_complete",
  [COUNT_JOBS_FAILED] = "jobs_failed",
  [COUNT_TASKS_STARTED] = "tasks_started",
  [COUNT_TASKS_DONE] = "tasks_done",
  [COUNT_TASKS_FAILED] = "tasks_failed",
  [COUNT_TASKS_RETURNED] = "tasks_returned",
  [COUNT_STORE_CALLS] = "store_calls",
  [COUNT_WORKER_CALLS] = "worker_calls",
  [COUNT_RELAYED_ORDERS] = "relayed_orders",
  [COUNT_LATE_RELAYED_STARTS] = "late_relayed_starts",
  [COUNT_HOST_ORDERS] = "host_orders",
  [COUNT_OWNERSHIPS] = "ownerships",
  [COUNT_SUMMARIES_WRITTEN] = "summaries_written",
  [COUNT_SUMMARIES_APPLIED] = "summaries_applied",
  [COUNT_SUMMARIES_IGNORED] = "summaries_ignored",
  [COUNT_EVACUATIONS] = "evacuations",
  [COUNT_EVACUATED_STARTS] = "evacuated_starts",
  [COUNT_EVACUATED_MOVES] = "evacuated_moves",
  [COUNT_HOSTS_PUT_BACK] = "hosts_put_back",
  [COUNT_INTERFERENCE_SAMPLES] = "interference_samples",
  [COUNT_INTERFERENCE_FOUND] = "interference_found",
  [COUNT_INTERFERENCE_FORGOTTEN] = "interference_forgotten",
  [COUNT_STARTS_BESIDE_HARM] = "starts_beside_harm",
  [COUNT_FILLERS_SLOWED] = "fillers_slowed",
  [COUNT_FILLERS_STOPPED] = "fillers_stopped",
  [COUNT_SHARES_EXCEEDED] = "shares_exceeded",
  [COUNT_STARTS_BEYOND_SHARE] = "starts_beyond_share",
  [COUNT_CLIENTS_CLOSED] = "clients_closed",
  [COUNT_BODIES_REFUSED] = "bodies_refused",
};

void
counter_add (counter_id_t id, uint64_t n)
{
  if (!own_stripe)
    own_stripe = &stripes[atomic_fetch_add (&next_stripe, 1) % STRIPES];
  atomic_fetch_add_explicit (&own_stripe->value[id], n, memory_order_relaxed);
}

uint64_t
counter_read (counter_id_t id)
{
  uint64_t sum = 0;

  for (size_t i = 0; i < STRIPES; i++)
    sum += atomic_load_explicit (&stripes[i].value[id], memory_order_relaxed);
  return sum;
}

const char *
counter_name (counter_id_t id)
{
  return names[id];
}

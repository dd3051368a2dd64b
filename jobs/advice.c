#include "advice.h"
#include "schedint.h"
#include <string.h>

/* Workers in one request.  The objective of a queue allows for one request of
   this size for each step.  */
#define REQUEST_WORKERS_MAX 30
/* Requests in flight: one that the service works on and one queued behind
   it.  */
#define REQUESTS_PENDING_MAX 2
/* Added to the time that the service needs.  */
#define REPLY_SLACK_MS 1500
/* Limit on the doublings of the timeout.  */
#define BACKOFF_MAX 6
/* Delay after a request without an answer.  */
#define REQUEST_RETRY_US 200000
/* A ticket is not used for this time before it expires, as the start takes
   time.  */
#define TICKET_MARGIN_US 150000

/* What the service has said about a worker.  It holds for the boot that the
   worker had when the request was sent.  */
typedef struct answer
{
  char *ticket; /* NULL: the worker is not allowed */
  int64_t asked_us;
  int64_t expires_us; /* of the ticket */
} answer_t;

/* What the service has said about a stage's workers.  */
struct advice
{
  GHashTable *answers; /* interned worker -> answer_t */
  bool pending;        /* a request is in flight */
  int64_t retry_us;    /* no request before this time */
};

static void
answer_free (gpointer data)
{
  answer_t *answer = data;

  g_free (answer->ticket);
  g_free (answer);
}

void
advice_free (advice_t *advice)
{
  if (!advice)
    return;
  g_hash_table_destroy (advice->answers);
  g_free (advice);
}

bool
advice_is_needed (const stage_t *stage)
{
  return stage->job->settings.advice.valid_ms > 0;
}

/* What the service has said about WORKER's present boot; NULL: nothing.  */
static const answer_t *
find_answer (const stage_t *stage, const worker_t *worker)
{
  const answer_t *answer
      = stage->advice
            ? g_hash_table_lookup (stage->advice->answers, worker->interned)
            : NULL;

  return answer && answer->asked_us >= worker->boot_known_us ? answer : NULL;
}

const char *
advice_ticket (const stage_t *stage, const worker_t *worker, int64_t now_us)
{
  const answer_t *answer = find_answer (stage, worker);

  return answer && answer->expires_us - TICKET_MARGIN_US > now_us
             ? answer->ticket
             : NULL;
}

void
advice_revoke (stage_t *stage, const worker_t *worker)
{
  if (stage->advice)
    g_hash_table_remove (stage->advice->answers, worker->interned);
}

static advice_t *
get_or_add_advice (stage_t *stage)
{
  if (!stage->advice)
    {
      stage->advice = g_new0 (advice_t, 1);
      stage->advice->answers
          = g_hash_table_new_full (NULL, NULL, NULL, answer_free);
    }
  return stage->advice;
}

static int
compare_free_cpu (const void *a, const void *b)
{
  const worker_t *l = *(const worker_t *const *)a;
  const worker_t *r = *(const worker_t *const *)b;
  int64_t left = l->capacity.cpu_milli - l->allocated.cpu_milli;
  int64_t right = r->capacity.cpu_milli - r->allocated.cpu_milli;

  return left > right ? -1 : left < right;
}

/* Whether to request a ticket for WORKER: the service has not been asked about
   its present boot, or its ticket has expired.  */
static bool
needs_request (const stage_t *stage, const worker_t *worker, int64_t now_us)
{
  const answer_t *answer = find_answer (stage, worker);

  if (!worker_accepts_tasks (worker, now_us))
    return false;
  return !answer || (answer->ticket && !advice_ticket (stage, worker, now_us));
}

/* Sets the times of REQUEST, which is sent now.  */
static void
set_timeout (sched_t *sched, const rules_advice_t *policy,
             advice_request_t *request, int64_t now_us)
{
  int64_t service_ms
      = policy->decide_ms + (int64_t)policy->period_ms * request->workers->len;
  int64_t wait_ms
      = MAX (sched->advice_free_us - now_us, 0) / 1000 + service_ms;

  request->service_ms = (uint32_t)MIN (service_ms, G_MAXINT32);
  request->sent_us = now_us;
  request->backoff = sched->advice_backoff;
  request->timeout_ms = (uint32_t)MIN (
      wait_ms * (INT64_C (1) << request->backoff) + REPLY_SLACK_MS,
      G_MAXINT32);
  sched->advice_free_us = now_us + wait_ms * 1000;
  sched->advice_pending++;
  sched->advice_pending_ms += request->service_ms;
}

/* A service that is slower than stated gets one request at a time.  */
static uint32_t
requests_pending_max (const sched_t *sched)
{
  return sched->advice_backoff > 0 ? 1 : REQUESTS_PENDING_MAX;
}

void
advice_request_workers (sched_t *sched, stage_t *stage, sched_now_t now)
{
  advice_t *advice = get_or_add_advice (stage);
  g_autoptr (GPtrArray) candidates = NULL;
  const pool_t *pool = stage->job->pool;
  advice_request_t request = { .occurrence = stage->occurrence,
                               .step = stage->step,
                               .token = sched->epoch };

  if (advice->pending || advice->retry_us > now.us
      || sched->advice_pending >= requests_pending_max (sched))
    return;
  candidates = g_ptr_array_new ();
  for (uint32_t i = 0; i < pool->workers->len; i++)
    {
      worker_t *worker = g_ptr_array_index (pool->workers, i);

      if (needs_request (stage, worker, now.us))
        g_ptr_array_add (candidates, worker);
    }
  if (candidates->len == 0)
    return;
  g_ptr_array_sort (candidates, compare_free_cpu);
  memcpy (request.id, stage->job->desc->id, sizeof request.id);
  request.workers = g_ptr_array_new ();
  for (uint32_t i = 0; i < MIN (candidates->len, REQUEST_WORKERS_MAX); i++)
    g_ptr_array_add (
        request.workers,
        (gpointer)((worker_t *)g_ptr_array_index (candidates, i))->interned);
  advice->pending = true;
  set_timeout (sched, &stage->job->settings.advice, &request, now.us);
  g_array_append_val (sched->advice_requests, request);
}

GArray *
advice_requests (sched_t *sched)
{
  return sched->advice_requests;
}

static stage_t *
find_stage (const sched_t *sched, const advice_request_t *request)
{
  task_ref_t ref
      = { .occurrence = request->occurrence, .step = request->step };
  task_t *task;

  memcpy (ref.id, request->id, sizeof ref.id);
  task = sched_task (sched, &ref);
  return task ? task->stage : NULL;
}

/* Ends REQUEST and returns its stage, or NULL if the stage no longer
   exists.  */
static stage_t *
finish_request (sched_t *sched, const advice_request_t *request,
                sched_now_t now)
{
  stage_t *stage = find_stage (sched, request);

  /* Requests of an earlier scheduler of this epoch are not counted.  */
  if (request->sent_us >= sched->started_us)
    {
      sched->advice_pending--;
      sched->advice_pending_ms -= request->service_ms;
    }
  sched->place_needed = true;
  sched_wake_at (sched, now.us);
  if (!stage || !stage->advice)
    return NULL;
  stage->advice->pending = false;
  return stage;
}

/* Adapts the timeout to an answer.  The service has processed all requests
   that were sent before REQUEST.  */
static void
note_answer (sched_t *sched, const advice_request_t *request, int64_t now_us)
{
  int64_t took_ms = (now_us - request->sent_us) / 1000;

  sched->advice_free_us = now_us + sched->advice_pending_ms * 1000;
  if (sched->advice_backoff > 0 && took_ms * 2 < request->timeout_ms)
    sched->advice_backoff--;
}

static void
set_answer (advice_t *advice, const advice_request_t *request,
            const char *worker, const char *ticket, int64_t expires_us)
{
  answer_t *answer = g_new0 (answer_t, 1);

  answer->ticket = g_strdup (ticket);
  answer->asked_us = request->sent_us;
  answer->expires_us = expires_us;
  g_hash_table_replace (advice->answers, (gpointer)worker, answer);
}

void
advice_answer (sched_t *sched, const advice_request_t *request,
               const allowed_worker_t *allowed, uint32_t count,
               sched_now_t now)
{
  stage_t *stage = finish_request (sched, request, now);
  uint32_t valid_ms;

  note_answer (sched, request, now.us);
  if (!stage || !advice_is_needed (stage))
    return;
  valid_ms = stage->job->settings.advice.valid_ms;
  for (uint32_t i = 0; i < request->workers->len; i++)
    set_answer (stage->advice, request,
                g_ptr_array_index (request->workers, i), NULL, 0);
  for (uint32_t i = 0; i < count; i++)
    set_answer (stage->advice, request, allowed[i].worker, allowed[i].ticket,
                now.us + (int64_t)valid_ms * 1000);
  event_log (EV_ADVICE_TAKEN,
             "id=%s occurrence=%u step=%u asked=%u allowed=%u", request->id,
             request->occurrence, request->step, request->workers->len, count);
}

void
advice_failed (sched_t *sched, const advice_request_t *request,
               sched_now_t now)
{
  stage_t *stage = finish_request (sched, request, now);
  bool timed_out
      = now.us - request->sent_us >= (int64_t)request->timeout_ms * 1000;

  if (timed_out)
    {
      if (request->backoff == sched->advice_backoff)
        sched->advice_backoff = MIN (sched->advice_backoff + 1, BACKOFF_MAX);
      event_log (EV_ADVICE_TIMED_OUT,
                 "id=%s occurrence=%u step=%u service_ms=%u timeout_ms=%u "
                 "pending=%u backoff=%u",
                 request->id, request->occurrence, request->step,
                 request->service_ms, request->timeout_ms,
                 sched->advice_pending, sched->advice_backoff);
    }
  if (stage)
    stage->advice->retry_us = now.us + REQUEST_RETRY_US;
}

#include "daemon.h"
#include <string.h>

int64_t
admission_end_us (const req_t *req)
{
  return req->deadline_us + (int64_t)req->overrun_ms * 1000;
}

/* Time reserved beyond the usual run time.  Expiring a queued request slightly
   early is cheap while others wait; a request that times out at its upstream
   occupies the slot for another overrun_ms.  */
#define RUN_MARGIN 2
#define SEND_MARGIN_US 20000

/* At most half of a request's total time is reserved, so that a request with
   less time than the usual run time is still tried when a slot is free.  */
int64_t
admission_latest_send_us (const req_t *req)
{
  int64_t time_us = req->deadline_us - req->arrived_us;
  int64_t run_us = estimate_bound_us (&req->service->run_time);

  return req->deadline_us
         - MIN (RUN_MARGIN * run_us + SEND_MARGIN_US, time_us / 2);
}

static bool
acquire_permit (req_t *req, int64_t now_us)
{
  return !req->team
         || escrow_acquire (req->team->permits, now_us, admission_end_us (req),
                            &req->permit);
}

/* Whether a loan requested now would last until REQ has ended.  */
static bool
can_use_loan (const req_t *req, int64_t now_us)
{
  return admission_end_us (req) - now_us < LOAN_US;
}

static void
release_permit (req_t *req)
{
  if (req->team)
    escrow_release (req->team->permits, req->permit);
  req->permit = (permit_t){ 0 };
}

static const char *
queue_name (const req_t *req)
{
  return req->team ? req->team->name : "-";
}

static void
lock_queue (service_runtime_t *service)
{
  if (pthread_mutex_trylock (&service->lock) == 0)
    return;
  counter_add (COUNT_QUEUE_CONTENDED, 1);
  pthread_mutex_lock (&service->lock);
}

static enter_result_t
refuse (req_t *req, err_kind_t error)
{
  req->error = error;
  return ADMIT_REFUSED;
}

static enter_result_t
enqueue (req_t *req, const view_service_t *service, int64_t now_us)
{
  service_runtime_t *runtime = service->runtime;
  queue_team_t *team;
  err_kind_t error;

  lock_queue (runtime);
  team = queue_team (runtime->queue, queue_name (req), req->share);
  error = queue_put (runtime->queue, team, &req->queue_entry, now_us,
                     admission_latest_send_us (req));
  if (error == ERR_NONE)
    {
      req->stage = REQ_QUEUED;
      atomic_fetch_add (&runtime->queued, 1);
    }
  pthread_mutex_unlock (&runtime->lock);
  if (error != ERR_NONE)
    return refuse (req, error);
  counter_add (COUNT_QUEUED, 1);
  return ADMIT_QUEUED;
}

enter_result_t
admission_enter (req_t *req, const view_t *view, int64_t now_us)
{
  const view_service_t *service = view_find_service (view, req->service_name);
  enter_result_t result;
  err_kind_t error;

  if (!service)
    return refuse (req, ERR_NO_SERVICE);
  if (now_us >= admission_latest_send_us (req))
    return refuse (req, ERR_EXPIRED_QUEUED);
  if (atomic_load (&service->runtime->queued) == 0
      && acquire_permit (req, now_us))
    {
      error = routing_acquire (req, service, now_us, admission_end_us (req));
      if (error == ERR_NONE)
        return ADMIT_RUN;
      release_permit (req);
      if (error != ERR_QUEUE_FULL)
        return refuse (req, error);
    }
  result = enqueue (req, service, now_us);
  /* Permits released between the attempt above and the enqueueing dispatched
     nothing, so dispatch again.  */
  if (result == ADMIT_QUEUED)
    admission_dispatch (service, now_us);
  return result;
}

typedef struct grant
{
  const view_service_t *service;
  int64_t now_us;
  int64_t no_slot_us; /* no slot is free for work that ends at this time or
                         later */
} grant_t;

/* Tries to acquire the permit and a slot for the entry at the head of a team's
   queue.  */
static bool
try_grant (void *ctx, queue_entry_t *entry)
{
  grant_t *grant = ctx;
  req_t *req = caa_container_of (entry, req_t, queue_entry);

  err_kind_t error;

  if (admission_end_us (req) >= grant->no_slot_us)
    return false;
  if (!acquire_permit (req, grant->now_us))
    {
      if (can_use_loan (req, grant->now_us))
        atomic_fetch_add (&req->team->permits_wanted, 1);
      return false;
    }
  error = routing_acquire (req, grant->service, grant->now_us,
                           admission_end_us (req));
  if (error == ERR_NONE)
    return true;
  release_permit (req);
  if (error == ERR_QUEUE_FULL && can_use_loan (req, grant->now_us))
    atomic_store (&grant->service->runtime->slots_wanted, true);
  /* A retried request has fewer upstreams to choose from, so its failure says
     nothing about other requests.  */
  if (req->tries == 0)
    grant->no_slot_us
        = error == ERR_QUEUE_FULL ? admission_end_us (req) : INT64_MIN;
  return false;
}

void
admission_dispatch (const view_service_t *service, int64_t now_us)
{
  service_runtime_t *runtime = service->runtime;

  while (atomic_load (&runtime->queued) > 0)
    {
      grant_t grant = { service, now_us, INT64_MAX };
      queue_entry_t *entry;
      req_t *req;

      lock_queue (runtime);
      entry = queue_take (runtime->queue, now_us, try_grant, &grant);
      if (entry)
        {
          req = caa_container_of (entry, req_t, queue_entry);
          req->stage = REQ_GRANTED;
          req->dispatch = (dispatch_t){ entry->team, now_us };
          atomic_fetch_sub (&runtime->queued, 1);
        }
      pthread_mutex_unlock (&runtime->lock);
      if (!entry)
        return;
      loop_post_granted (req);
    }
}

void
admission_dispatch_all (const view_t *view, int64_t now_us)
{
  for (uint32_t i = 0; i < view->services_count; i++)
    admission_dispatch (&view->services[i], now_us);
}

void
admission_complete (service_runtime_t *service, dispatch_t *dispatch,
                    int64_t now_us)
{
  if (!dispatch->team)
    return;
  lock_queue (service);
  queue_complete (service->queue, dispatch->team, dispatch->started_us,
                  now_us);
  pthread_mutex_unlock (&service->lock);
  dispatch->team = NULL;
}

bool
admission_dequeue (req_t *req)
{
  service_runtime_t *runtime = req->service;
  bool queued;

  lock_queue (runtime);
  queued = req->stage == REQ_QUEUED;
  if (queued)
    {
      queue_remove (runtime->queue, &req->queue_entry);
      req->stage = REQ_ANSWERED;
      atomic_fetch_sub (&runtime->queued, 1);
    }
  pthread_mutex_unlock (&runtime->lock);
  return queued;
}

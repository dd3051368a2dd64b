#include "daemon.h"

#define CANDIDATES_MAX 256

static bool
was_tried (const req_t *req, const upstream_runtime_t *upstream)
{
  for (uint32_t i = 0; i < req->tries; i++)
    if (req->tried[i] == upstream)
      return true;
  return false;
}

/* Fills CANDIDATES and returns their number.  *USABLE tells whether any of
   them could serve REQ once it has a free slot, own or borrowed.  */
static uint32_t
fill_candidates (const req_t *req, const view_service_t *service,
                 int64_t now_us, int64_t end_us, candidate_t *candidates,
                 bool *usable)
{
  uint32_t count = MIN (service->upstreams_count, CANDIDATES_MAX);

  *usable = false;
  for (uint32_t i = 0; i < count; i++)
    {
      const view_upstream_t *upstream = &service->upstreams[i];
      candidate_t *candidate = &candidates[i];

      candidate->in_use = escrow_in_use (upstream->runtime->slots);
      candidate->slots
          = candidate->in_use
            + escrow_available (upstream->runtime->slots, now_us, end_us);
      candidate->local = upstream->local;
      candidate->latency_us = health_latency_us (&upstream->runtime->health);
      candidate->tried = was_tried (req, upstream->runtime);
      candidate->status
          = upstream->in_service
                ? health_status (&upstream->runtime->health, now_us)
                : HEALTH_LEAVING;
      if (!candidate->tried
          && (candidate->status == HEALTH_OK
              || candidate->status == HEALTH_PROBE))
        *usable = true;
    }
  return count;
}

err_kind_t
routing_acquire (req_t *req, const view_service_t *service, int64_t now_us,
                 int64_t end_us)
{
  candidate_t candidates[CANDIDATES_MAX];
  bool usable;
  uint32_t count
      = fill_candidates (req, service, now_us, end_us, candidates, &usable);

  if (!usable)
    return ERR_NO_UPSTREAM;
  for (uint32_t attempt = 0; attempt < count; attempt++)
    {
      uint64_t random = ((uint64_t)g_random_int () << 32) | g_random_int ();
      uint32_t index = balancer_pick (candidates, count, random);
      const view_upstream_t *upstream;

      if (index == BALANCER_NONE)
        return ERR_QUEUE_FULL;
      upstream = &service->upstreams[index];
      candidates[index].tried = true;
      if (!escrow_acquire (upstream->runtime->slots, now_us, end_us,
                           &req->slot))
        continue;
      if (candidates[index].status == HEALTH_PROBE
          && !health_begin_probe (&upstream->runtime->health))
        {
          escrow_release (upstream->runtime->slots, req->slot);
          continue;
        }
      req->upstream = upstream->runtime;
      g_snprintf (req->base_url, sizeof req->base_url, "http://%s:%u",
                  upstream->rule->address, upstream->rule->port);
      return ERR_NONE;
    }
  return ERR_QUEUE_FULL;
}

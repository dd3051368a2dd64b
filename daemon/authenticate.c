#include "daemon.h"
#include <string.h>

err_kind_t
authenticate (req_t *req, const view_t *view,
              freshness_t (*evaluate) (const view_t *view, int64_t now_us,
                                       int64_t grace_us),
              int64_t now_us)
{
  const view_service_t *service;
  const view_team_t *team;
  const char *name;
  uint32_t deadline_ms;
  bool stale;

  service = view ? view_find_service (view, req->service_name) : NULL;
  if (!service)
    return ERR_NO_SERVICE;
  req->service = service->runtime;
  req->overrun_ms = service->rule->overrun_ms;
  req->skip_id_match = service->rule->skip_id_match;
  req->cancel_on_close = service->rule->cancel_on_close;
  deadline_ms
      = req->deadline_ms ? req->deadline_ms : service->rule->deadline_ms;
  deadline_ms = MIN (deadline_ms, service->rule->deadline_max_ms);
  req->deadline_us = req->arrived_us + (int64_t)deadline_ms * 1000;
  stale
      = evaluate (view, now_us, (int64_t)service->rule->stale_grace_ms * 1000)
        == STALE;
  if (stale && !(service->rule->open && req->idempotent))
    return ERR_STALE_VIEW;
  req->share = 1;
  if (service->rule->open)
    return ERR_NONE;
  if (!req->key)
    return ERR_KEY_MISSING;
  name = key_index_find (view->keys, req->key, strlen (req->key));
  team = name ? view_find_team (view, name) : NULL;
  if (!team)
    return ERR_KEY_REJECTED;
  req->team = team->runtime;
  req->share = team->rule->share;
  return ERR_NONE;
}

#include "base.h"

#define NOT_RUN OUTCOME_NOT_RUN
#define UNKNOWN OUTCOME_UNKNOWN

static const err_response_t responses[ERR_KIND_COUNT] = {
  { ERR_NONE, 200, OUTCOME_RAN, 0, "none", "The request was answered." },
  { ERR_BAD_REQUEST, 400, NOT_RUN, 0, "bad-request",
    "A request header is malformed." },
  { ERR_HEADER_TOO_LARGE, 431, NOT_RUN, 0, "header-too-large",
    "The request's headers exceed the limit." },
  { ERR_BODY_TOO_LARGE, 413, NOT_RUN, 0, "body-too-large",
    "The request's body exceeds the limit." },
  { ERR_KEY_MISSING, 401, NOT_RUN, 0, "key-missing",
    "This service needs a team key." },
  { ERR_KEY_REJECTED, 403, NOT_RUN, 0, "key-rejected",
    "The team key is unknown or withdrawn." },
  { ERR_NO_SERVICE, 404, NOT_RUN, 0, "no-service",
    "No service of this name is configured." },
  { ERR_STALE_VIEW, 503, NOT_RUN, 2, "stale-view",
    "This daemon is cut off and can't check keys; only open services are "
    "served." },
  { ERR_ID_INVALID, 400, NOT_RUN, 0, "id-invalid",
    "A non-idempotent request needs a recent UUIDv7 in X-Request-Id." },
  { ERR_ID_REPEATED, 409, UNKNOWN, 0, "id-repeated",
    "A request with this id was accepted before and may have run." },
  { ERR_ID_OWNER_AWAY, 503, NOT_RUN, 1, "id-owner-away",
    "The daemon that owns this id can't be reached; a new id may be used." },
  { ERR_QUEUE_FULL, 429, NOT_RUN, 1, "queue-full",
    "The team's queue for this service is full." },
  { ERR_WOULD_BE_LATE, 503, NOT_RUN, 1, "would-be-late",
    "The request can't be answered before its deadline." },
  { ERR_EXPIRED_QUEUED, 503, NOT_RUN, 1, "expired-queued",
    "The deadline passed before the request was sent." },
  { ERR_NO_UPSTREAM, 503, NOT_RUN, 1, "no-upstream",
    "No upstream of this service can take the request." },
  { ERR_UPSTREAM_REFUSED, 503, NOT_RUN, 1, "upstream-refused",
    "The upstream refused the request before running it." },
  { ERR_CONNECT_FAILED, 503, NOT_RUN, 1, "connect-failed",
    "No upstream accepted a connection." },
  { ERR_UPSTREAM_FAILED, 502, UNKNOWN, 0, "upstream-failed",
    "An upstream failed the request and no other one could run it." },
  { ERR_UPSTREAM_TIMEOUT, 504, UNKNOWN, 0, "upstream-timeout",
    "The deadline passed while the upstream had the request." },
  { ERR_UPSTREAM_CUT, 502, UNKNOWN, 0, "upstream-cut",
    "The connection to the upstream was lost after the request was sent." },
  { ERR_ANSWER_MISMATCHED, 502, UNKNOWN, 0, "answer-mismatched",
    "The upstream's answer belongs to another request." },
  { ERR_ANSWER_TRUNCATED, 502, UNKNOWN, 0, "answer-truncated",
    "The upstream's answer is incomplete." },
  { ERR_NO_ROOM, 503, NOT_RUN, 1, "no-room",
    "This daemon has no room for the request's body." },
  { ERR_STOPPING, 503, NOT_RUN, 1, "stopping",
    "This daemon is shutting down." },
  { ERR_INTERNAL, 500, NOT_RUN, 1, "internal",
    "The daemon failed before it sent the request." },
};

const err_response_t *
err_response (err_kind_t kind)
{
  if (kind < ERR_NONE || kind >= ERR_KIND_COUNT)
    kind = ERR_INTERNAL;
  return &responses[kind];
}

bool
err_is_not_run (err_kind_t kind)
{
  return err_response (kind)->outcome == OUTCOME_NOT_RUN;
}

const char *
outcome_name (outcome_t outcome)
{
  switch (outcome)
    {
    case OUTCOME_NOT_RUN:
      return "not-run";
    case OUTCOME_UNKNOWN:
      return "unknown";
    case OUTCOME_RAN:
      return "ran";
    }
  return "unknown";
}

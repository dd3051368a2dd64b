#include "route.h"

#define TENTHS_PER_RETRY 10

err_kind_t
try_error (try_result_t result)
{
  switch (result)
    {
    case TRY_ANSWERED:
    case TRY_FAILED: /* a complete response, passed on to the client */
      return ERR_NONE;
    case TRY_REFUSED:
      return ERR_UPSTREAM_REFUSED;
    case TRY_CONNECT_FAILED:
      return ERR_CONNECT_FAILED;
    case TRY_TIMED_OUT:
      return ERR_UPSTREAM_TIMEOUT;
    case TRY_CONNECTION_LOST:
    case TRY_CANCELLED: /* the upstream may have run the request */
      return ERR_UPSTREAM_CUT;
    case TRY_BAD_ANSWER:
      return ERR_ANSWER_TRUNCATED;
    }
  return ERR_INTERNAL;
}

void
retry_budget_deposit (retry_budget_t *budget)
{
  if (atomic_fetch_add (&budget->tenths, 1) >= RETRY_TENTHS_MAX)
    atomic_fetch_sub (&budget->tenths, 1);
}

static bool
take_token (retry_budget_t *budget)
{
  if (atomic_fetch_sub (&budget->tenths, TENTHS_PER_RETRY) >= TENTHS_PER_RETRY)
    return true;
  atomic_fetch_add (&budget->tenths, TENTHS_PER_RETRY);
  return false;
}

/* Whether a retry can help, and can't run a non-idempotent request twice.  */
static bool
can_retry (const retry_context_t *context)
{
  switch (context->result)
    {
    case TRY_ANSWERED:
    case TRY_CANCELLED:
      return false;
    case TRY_FAILED:
    case TRY_REFUSED:
    case TRY_CONNECT_FAILED:
    case TRY_TIMED_OUT:
    case TRY_CONNECTION_LOST:
    case TRY_BAD_ANSWER:
      return context->idempotent
             || err_is_not_run (try_error (context->result));
    }
  return false;
}

bool
retry_decide (retry_budget_t *budget, const retry_context_t *context,
              int64_t now_us, uint64_t random, int64_t *delay_us)
{
  uint64_t ceiling_us;

  if (context->tries == 0 || context->tries > RETRY_MAX
      || !can_retry (context))
    return false;
  ceiling_us
      = MIN ((uint64_t)RETRY_BASE_US << (context->tries - 1), RETRY_CAP_US);
  *delay_us = (int64_t)(random % (ceiling_us + 1));
  if (now_us + *delay_us >= context->deadline_us)
    return false;
  return take_token (budget);
}

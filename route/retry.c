#include "route.h"

#define RETRY_TENTHS 10

err_kind_t
try_error (try_result_t result)
{
  switch (result)
    {
    case TRY_ANSWERED:
    case TRY_FAILED: /* a whole answer, which the client receives as it is */
      return ERR_NONE;
    case TRY_REFUSED:
      return ERR_UPSTREAM_REFUSED;
    case TRY_CONNECT_FAILED:
      return ERR_CONNECT_FAILED;
    case TRY_TIMED_OUT:
      return ERR_UPSTREAM_TIMEOUT;
    case TRY_CONNECTION_LOST:
    case TRY_CANCELLED: /* the upstream may have run it */
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
  if (atomic_fetch_sub (&budget->tenths, RETRY_TENTHS) >= RETRY_TENTHS)
    return true;
  atomic_fetch_add (&budget->tenths, RETRY_TENTHS);
  return false;
}

/* Whether another try can help and can't make the request run twice against
   its mark.  */
static bool
may_repeat (const retry_context_t *c)
{
  switch (c->result)
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
      return c->idempotent || err_is_not_run (try_error (c->result));
    }
  return false;
}

bool
retry_decide (retry_budget_t *budget, const retry_context_t *c, int64_t now_us,
              uint64_t random, int64_t *delay_us)
{
  uint64_t ceiling_us;

  if (c->tries == 0 || c->tries > RETRY_MAX || !may_repeat (c))
    return false;
  ceiling_us = MIN ((uint64_t)RETRY_BASE_US << (c->tries - 1), RETRY_CAP_US);
  *delay_us = (int64_t)(random % (ceiling_us + 1));
  if (now_us + *delay_us >= c->deadline_us)
    return false;
  return take_token (budget);
}

#include "route.h"

/* Weight of one response in the moving average of the latency: 1/8 (a
   shift).  */
#define LATENCY_SHIFT 3

health_status_t
health_status (health_t *health, int64_t now_us)
{
  int64_t until_us = atomic_load (&health->ejected_until_us);

  if (now_us < atomic_load (&health->leaving_until_us))
    return HEALTH_LEAVING;
  if (until_us == 0)
    return HEALTH_OK;
  if (now_us < until_us || atomic_load (&health->probing))
    return HEALTH_EJECTED;
  return HEALTH_PROBE;
}

bool
health_begin_probe (health_t *health)
{
  return !atomic_exchange (&health->probing, true);
}

static int64_t
ejection_us (unsigned ejections)
{
  int64_t length_us = EJECT_MIN_US;

  while (ejections-- > 0 && length_us < EJECT_MAX_US)
    length_us *= 2;
  return MIN (length_us, EJECT_MAX_US);
}

bool
health_eject (health_t *health, int64_t now_us)
{
  unsigned ejections = atomic_load (&health->ejections);
  int_fast64_t not_ejected = 0;

  if (!atomic_compare_exchange_strong (&health->ejected_until_us, &not_ejected,
                                       now_us + ejection_us (ejections)))
    return false;
  atomic_fetch_add (&health->ejections, 1);
  return true;
}

uint32_t
health_latency_us (const health_t *health)
{
  return (uint32_t)atomic_load (&health->latency_us);
}

static bool
record_failure (health_t *health, int64_t now_us)
{
  unsigned ejections = atomic_load (&health->ejections);
  int64_t until_us = now_us + ejection_us (ejections);

  if (atomic_load (&health->probing))
    {
      /* The new end is stored first; otherwise another probe could begin
         before it.  */
      atomic_store (&health->ejected_until_us, until_us);
      if (!atomic_exchange (&health->probing, false))
        return false;
      atomic_fetch_add (&health->ejections, 1);
      return true;
    }
  if (atomic_fetch_add (&health->failures, 1) + 1 < EJECT_FAILURES)
    return false;
  /* Requests sent before the ejection may fail after it; they don't prolong
     it.  */
  return health_eject (health, now_us);
}

static bool
record_answer (health_t *health, int64_t latency_us)
{
  int64_t average_us = (int64_t)atomic_load (&health->latency_us);
  int64_t step_us = (latency_us - average_us) / (1 << LATENCY_SHIFT);

  atomic_store (&health->latency_us,
                (uint32_t)CLAMP (average_us + step_us, 0, UINT32_MAX));
  atomic_store (&health->failures, 0);
  /* A response to a request sent before the ejection doesn't end it.  */
  if (!atomic_load (&health->probing))
    return false;
  /* Latencies from before the ejection no longer describe the upstream.  */
  atomic_store (&health->latency_us,
                (uint32_t)CLAMP (latency_us, 1, UINT32_MAX));
  atomic_store (&health->ejections, 0);
  atomic_store (&health->ejected_until_us, 0);
  return atomic_exchange (&health->probing, false);
}

try_result_t
health_timeout_result (int64_t sent_us, int64_t deadline_us, int64_t usual_us,
                       int64_t now_us)
{
  return now_us - sent_us < usual_us
                 || now_us - deadline_us > HEALTH_OWN_DELAY_MAX_US
             ? TRY_CANCELLED
             : TRY_TIMED_OUT;
}

bool
health_record_result (health_t *health, try_result_t result,
                      int64_t latency_us, int64_t now_us)
{
  switch (result)
    {
    case TRY_ANSWERED:
      return record_answer (health, latency_us);
    case TRY_CANCELLED:
      /* If this was the probe, another one may begin.  */
      atomic_store (&health->probing, false);
      return false;
    /* Refusals are quick, so an upstream that refuses all requests would be
       picked for most of them; therefore a refusal counts as a failure.  */
    case TRY_REFUSED:
    case TRY_FAILED:
    case TRY_CONNECT_FAILED:
    case TRY_TIMED_OUT:
    case TRY_CONNECTION_LOST:
    case TRY_BAD_ANSWER:
      return record_failure (health, now_us);
    }
  return false;
}

bool
health_mark_leaving (health_t *health, int64_t now_us)
{
  int64_t before_us
      = atomic_exchange (&health->leaving_until_us, now_us + LEAVING_US);

  return before_us <= now_us;
}

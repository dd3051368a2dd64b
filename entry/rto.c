#include "rto.h"
#include <stdlib.h>

/* Weights of a new sample in RFC 6298.  */
#define MEAN_DIVISOR 8
#define DEVIATION_DIVISOR 4
#define DEVIATIONS 4

void
rto_add_reply (rto_t *rto, int64_t took_us)
{
  rto->timeouts = 0;
  if (rto->mean_us == 0)
    {
      rto->mean_us = took_us;
      rto->deviation_us = took_us / 2;
      return;
    }
  rto->deviation_us += (llabs (took_us - rto->mean_us) - rto->deviation_us)
                       / DEVIATION_DIVISOR;
  rto->mean_us += (took_us - rto->mean_us) / MEAN_DIVISOR;
}

void
rto_add_timeout (rto_t *rto)
{
  rto->timeouts++;
}

uint32_t
rto_timeout_ms (const rto_t *rto)
{
  int64_t ms = (rto->mean_us + DEVIATIONS * rto->deviation_us) / 1000;

  if (ms < RTO_MIN_MS)
    ms = RTO_MIN_MS;
  for (uint32_t i = 0; i < rto->timeouts && ms < RTO_MAX_MS; i++)
    ms *= 2;
  return ms < RTO_MAX_MS ? (uint32_t)ms : RTO_MAX_MS;
}

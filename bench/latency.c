#include "load.h"
#include <math.h>

#define LATENCY_MAX_US (INT64_C (3600) * 1000000)
#define SUB_BUCKETS 64    /* buckets per power of two */
#define SUB_BUCKET_BITS 6 /* log2 of STEPS */

static uint32_t
bucket_index (uint64_t us)
{
  uint32_t shift;

  if (us < LATENCY_EXACT)
    return (uint32_t)us;
  shift = (uint32_t)(63 - __builtin_clzll (us)) - SUB_BUCKET_BITS;
  return LATENCY_EXACT + (shift - 1) * SUB_BUCKETS + (uint32_t)(us >> shift)
         - SUB_BUCKETS;
}

static int64_t
bucket_max_us (uint32_t bucket)
{
  uint32_t shift;
  uint32_t sub_bucket;

  if (bucket < LATENCY_EXACT)
    return bucket;
  shift = (bucket - LATENCY_EXACT) / SUB_BUCKETS + 1;
  sub_bucket = (bucket - LATENCY_EXACT) % SUB_BUCKETS + SUB_BUCKETS;
  return ((int64_t)(sub_bucket + 1) << shift) - 1;
}

void
latency_add (latency_t *latency, int64_t us)
{
  latency->buckets[bucket_index ((uint64_t)CLAMP (us, 0, LATENCY_MAX_US))]++;
  latency->count++;
}

void
latency_merge (latency_t *sum, const latency_t *part)
{
  sum->count += part->count;
  for (uint32_t i = 0; i < LATENCY_BUCKETS; i++)
    sum->buckets[i] += part->buckets[i];
}

int64_t
latency_quantile (const latency_t *latency, double q)
{
  uint64_t rank = (uint64_t)ceil (q * (double)latency->count);
  uint64_t below = 0;

  rank = MAX (rank, 1);
  for (uint32_t i = 0; i < LATENCY_BUCKETS; i++)
    {
      below += latency->buckets[i];
      if (below >= rank)
        return bucket_max_us (i);
    }
  return 0;
}

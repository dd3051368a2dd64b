#include "base.h"
#include <string.h>
#include <xxhash.h>

uint64_t
hash_bytes (const void *data, size_t len, uint64_t seed)
{
  return XXH64 (data, len, seed);
}

uint64_t
hash_score (const void *key, size_t key_len, const char *owner)
{
  uint64_t seed = XXH64 (owner, strlen (owner), 0);

  return XXH64 (key, key_len, seed);
}

static bool
precedes (const void *key, size_t key_len, const char *a, const char *b)
{
  uint64_t score_a = hash_score (key, key_len, a);
  uint64_t score_b = hash_score (key, key_len, b);

  if (score_a != score_b)
    return score_a > score_b;
  return strcmp (a, b) < 0;
}

uint32_t
hash_rank (const void *key, size_t key_len, const char *const *owners,
           uint32_t count, const char *self)
{
  uint32_t rank = 0;

  for (uint32_t i = 0; i < count; i++)
    rank += precedes (key, key_len, owners[i], self);
  return rank;
}

uint32_t
hash_owner (const void *key, size_t key_len, const char *const *owners,
            uint32_t count)
{
  uint32_t first = 0;

  for (uint32_t i = 1; i < count; i++)
    if (precedes (key, key_len, owners[i], owners[first]))
      first = i;
  return first;
}

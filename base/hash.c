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

#include "admit.h"
#include <sodium.h>
#include <string.h>

typedef struct slot
{
  uint8_t digest[KEY_DIGEST_BYTES];
  const char *team; /* NULL: withdrawn */
  bool used;
} slot_t;

/* Open addressing by the first bytes of the digest; at most half full.  */
struct key_index
{
  uint32_t mask;
  slot_t slots[];
};

/* The slot of DIGEST, or the free one where it belongs.  Where the search
   starts depends on the digest's first bytes only, which a sender can't choose
   without knowing a key; the comparison takes the same time for all.  */
static const slot_t *
find_slot (const key_index_t *index, const uint8_t *digest)
{
  uint32_t at;

  memcpy (&at, digest, sizeof at);
  for (;; at++)
    {
      const slot_t *slot = &index->slots[at & index->mask];

      if (!slot->used
          || sodium_memcmp (slot->digest, digest, KEY_DIGEST_BYTES) == 0)
        return slot;
    }
}

/* A digest that is withdrawn under one id is withdrawn under all.  */
static void
add_key (key_index_t *index, const key_state_t *key)
{
  slot_t *slot = (slot_t *)find_slot (index, key->digest);

  if (slot->used && !slot->team)
    return;
  memcpy (slot->digest, key->digest, sizeof slot->digest);
  slot->team = key->withdrawn ? NULL : key->team;
  slot->used = true;
}

key_index_t *
key_index_new (const state_t *state)
{
  uint32_t size = 4;
  key_index_t *index;

  while (size < 2 * state->keys.count)
    size *= 2;
  index = g_malloc0 (sizeof *index + size * sizeof (slot_t));
  index->mask = size - 1;
  for (uint32_t i = 0; i < state->keys.count; i++)
    add_key (index, table_at (&state->keys, i));
  return index;
}

void
key_index_free (key_index_t *index)
{
  g_free (index);
}

const char *
key_index_find (const key_index_t *index, const char *key, size_t len)
{
  uint8_t digest[KEY_DIGEST_BYTES];

  crypto_generichash (digest, sizeof digest, (const unsigned char *)key, len,
                      NULL, 0);
  return find_slot (index, digest)->team;
}

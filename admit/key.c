#include "admit.h"
#include <sodium.h>
#include <string.h>

typedef struct key_slot
{
  uint8_t digest[KEY_DIGEST_BYTES];
  const char *team; /* NULL: withdrawn */
  bool used;
} key_slot_t;

/* Hash table with open addressing, keyed by the first bytes of the digest; at
   most half full.  */
struct key_index
{
  uint32_t mask;
  key_slot_t slots[];
};

/* Returns the slot of DIGEST, or the free slot where it belongs.  The search
   starts at the digest's first bytes, which a sender can't choose without
   knowing a key; the time of a comparison doesn't depend on the digests.  */
static const key_slot_t *
find_slot (const key_index_t *index, const uint8_t *digest)
{
  uint32_t position;

  memcpy (&position, digest, sizeof position);
  for (;; position++)
    {
      const key_slot_t *slot = &index->slots[position & index->mask];

      if (!slot->used
          || sodium_memcmp (slot->digest, digest, KEY_DIGEST_BYTES) == 0)
        return slot;
    }
}

/* A digest that is withdrawn under one id is withdrawn under all ids.  */
static void
add_key (key_index_t *index, const key_state_t *key)
{
  key_slot_t *slot = (key_slot_t *)find_slot (index, key->digest);

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
  index = g_malloc0 (sizeof *index + size * sizeof (key_slot_t));
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

#include "disrupt.h"
#include <sodium.h>
#include <string.h>

config_t *
config_ref (config_t *config)
{
  if (config)
    atomic_fetch_add (&config->refs, 1);
  return config;
}

void
config_unref (config_t *config)
{
  if (!config || atomic_fetch_sub (&config->refs, 1) != 1)
    return;
  fleet_free (config->fleet);
  g_free (config->text);
  g_free (config);
}

static guint
seen_hash (gconstpointer id)
{
  guint hash;

  /* Ids are random, so any of their bytes serve as a hash.  */
  memcpy (&hash, id, sizeof hash);
  return hash;
}

static gboolean
seen_equal (gconstpointer a, gconstpointer b)
{
  return memcmp (a, b, REC_ID_BYTES) == 0;
}

state_t *
state_new (void)
{
  state_t *state = g_new0 (state_t, 1);

  table_init (&state->keys, sizeof (key_state_t));
  table_init (&state->entries, sizeof (entry_state_t));
  table_init (&state->hosts, sizeof (host_state_t));
  table_init (&state->waves, sizeof (wave_state_t));
  state->seen = g_new0 (seen_id_t, SEEN_IDS);
  state->seen_set = g_hash_table_new (seen_hash, seen_equal);
  return state;
}

state_t *
state_copy (const state_t *state)
{
  state_t *copy = g_new0 (state_t, 1);

  copy->offset = state->offset;
  copy->config = config_ref (state->config);
  table_copy (&copy->keys, &state->keys);
  table_copy (&copy->entries, &state->entries);
  table_copy (&copy->hosts, &state->hosts);
  table_copy (&copy->waves, &state->waves);
  return copy;
}

void
state_free (state_t *state)
{
  if (!state)
    return;
  config_unref (state->config);
  table_clear (&state->keys);
  table_clear (&state->entries);
  table_clear (&state->hosts);
  table_clear (&state->waves);
  g_free (state->seen);
  if (state->seen_set)
    g_hash_table_destroy (state->seen_set);
  g_free (state);
}

uint64_t
state_config_version (const state_t *state)
{
  return state->config ? state->config->version : 0;
}

static void
remember_id (state_t *state, const uint8_t *id)
{
  seen_id_t *slot = &state->seen[state->seen_count % SEEN_IDS];

  if (state->seen_count >= SEEN_IDS)
    g_hash_table_remove (state->seen_set, slot);
  memcpy (slot->id, id, REC_ID_BYTES);
  g_hash_table_add (state->seen_set, slot);
  state->seen_count++;
}

static void
set_key (state_t *state, const char *id, const char *team, const char *digest)
{
  key_state_t *key = table_add (&state->keys, id);
  size_t len;

  key->team = g_intern_string (team);
  sodium_hex2bin (key->digest, sizeof key->digest, digest, KEY_DIGEST_HEX,
                  NULL, &len, NULL);
}

/* Whether any key has DIGEST; if WITHDRAWN, whether any withdrawn key has.  */
static bool
digest_is_known (const state_t *state, const char *digest, bool withdrawn)
{
  uint8_t bytes[KEY_DIGEST_BYTES] = { 0 };
  size_t len;

  sodium_hex2bin (bytes, sizeof bytes, digest, KEY_DIGEST_HEX, NULL, &len,
                  NULL);
  for (uint32_t i = 0; i < state->keys.count; i++)
    {
      const key_state_t *key = table_at (&state->keys, i);

      if ((key->withdrawn || !withdrawn)
          && memcmp (key->digest, bytes, sizeof bytes) == 0)
        return true;
    }
  return false;
}

/* Withdraws all keys with the digest of KEY: a configuration may list a digest
   that was granted by record under another id.  */
static void
withdraw_key (state_t *state, const key_state_t *key)
{
  for (uint32_t i = 0; i < state->keys.count; i++)
    {
      key_state_t *other = table_at (&state->keys, i);

      if (memcmp (other->digest, key->digest, KEY_DIGEST_BYTES) == 0)
        other->withdrawn = true;
    }
}

/* Adds the keys that the NEW configuration lists.  Withdraws keys that only
   the OLD one listed, and keys of teams that are gone.  A withdrawn key stays
   withdrawn even if a configuration lists it.  Keys granted by record are not
   in fleet files, so their absence from one doesn't withdraw them.  */
static void
fold_keys (state_t *state, const fleet_t *old, const fleet_t *new)
{
  for (uint32_t i = 0; old && i < old->keys_count; i++)
    {
      const key_state_t *key = table_find (&state->keys, old->keys[i].id);
      bool listed = false;

      for (uint32_t j = 0; j < new->keys_count && !listed; j++)
        listed = strcmp (new->keys[j].id, old->keys[i].id) == 0;
      if (key && !listed)
        withdraw_key (state, key);
    }
  for (uint32_t i = 0; i < new->keys_count; i++)
    {
      const team_key_t *key = &new->keys[i];
      const key_state_t *known = table_find (&state->keys, key->id);

      if (known && known->withdrawn)
        continue;
      if (digest_is_known (state, key->digest, true))
        continue;
      set_key (state, key->id, key->team, key->digest);
    }
  for (uint32_t i = 0; i < state->keys.count; i++)
    {
      const key_state_t *key = table_at (&state->keys, i);

      if (!fleet_find_team (new, key->team))
        withdraw_key (state, key);
    }
}

/* A host keeps its pool if the fleet file assigns another one, because it may
   be in use; it has to be drained and moved.  It changes pool at once only if
   its pool no longer exists.  A host that is listed again gets a version that
   it never had before, so that old records for it stay stale.  */
static void
fold_hosts (state_t *state, const fleet_t *fleet)
{
  table_t hosts;

  table_init (&hosts, sizeof (host_state_t));
  for (uint32_t i = 0; i < fleet->hosts_count; i++)
    {
      const host_t *listed = &fleet->hosts[i];
      const host_state_t *known = table_find (&state->hosts, listed->name);
      host_state_t *host = table_add (&hosts, listed->name);
      const char *name = host->name;

      if (known)
        *host = *known;
      else
        host->version = state->offset;
      host->name = name;
      host->rack = g_intern_string (listed->rack);
      host->home_pool = g_intern_string (listed->pool);
      if (known && fleet_find_pool (fleet, known->pool))
        continue;
      host->pool = host->home_pool;
      if (known)
        host->version++;
    }
  table_clear (&state->hosts);
  state->hosts = hosts;
}

/* A wave that is listed again starts from a version and a run that it never
   had before, because hosts record the run that drained them.  */
static void
fold_waves (state_t *state, const fleet_t *fleet)
{
  table_t waves;

  table_init (&waves, sizeof (wave_state_t));
  for (uint32_t i = 0; i < fleet->waves_count; i++)
    {
      const wave_state_t *known
          = table_find (&state->waves, fleet->waves[i].name);
      wave_state_t *wave = table_add (&waves, fleet->waves[i].name);

      if (known)
        *wave = *known;
      else
        wave->version = wave->run = state->offset - 1;
    }
  table_clear (&state->waves);
  state->waves = waves;
}

static verdict_t
fold_config (state_t *state, rec_t *record)
{
  rec_config_t *rec = &record->u.config;
  config_t *config;

  if (rec->base_version != state_config_version (state))
    return VERDICT_STALE;
  if (!rec->fleet)
    return VERDICT_INVALID;
  config = g_new0 (config_t, 1);
  atomic_init (&config->refs, 1);
  config->version = rec->base_version + 1;
  g_strlcpy (config->author, record->author, sizeof config->author);
  config->time_ms = record->time_ms;
  config->text = g_steal_pointer (&rec->text);
  config->len = rec->len;
  config->fleet = g_steal_pointer (&rec->fleet);
  fold_keys (state, state->config ? state->config->fleet : NULL,
             config->fleet);
  fold_hosts (state, config->fleet);
  fold_waves (state, config->fleet);
  config_unref (state->config);
  state->config = config;
  return VERDICT_APPLIED;
}

static verdict_t
fold_key_grant (state_t *state, const rec_key_t *rec)
{
  if (!state->config || !fleet_find_team (state->config->fleet, rec->team))
    return VERDICT_INVALID;
  if (table_find (&state->keys, rec->id)
      || digest_is_known (state, rec->digest, false))
    return VERDICT_STALE;
  set_key (state, rec->id, rec->team, rec->digest);
  return VERDICT_APPLIED;
}

static verdict_t
fold_key_withdraw (state_t *state, const rec_key_t *rec)
{
  const key_state_t *key = table_find (&state->keys, rec->id);

  if (!key)
    return VERDICT_INVALID;
  if (key->withdrawn)
    return VERDICT_STALE;
  withdraw_key (state, key);
  return VERDICT_APPLIED;
}

static verdict_t
fold_join (state_t *state, const rec_entry_t *rec, int64_t time_ms)
{
  entry_state_t *entry = table_find (&state->entries, rec->name);

  if (rec->incarnation <= (entry ? entry->incarnation : 0))
    return VERDICT_STALE;
  if (!entry)
    entry = table_add (&state->entries, rec->name);
  entry->incarnation = rec->incarnation;
  entry->joined_ms = time_ms;
  entry->left = false;
  return VERDICT_APPLIED;
}

static verdict_t
fold_leave (state_t *state, const rec_entry_t *rec)
{
  entry_state_t *entry = table_find (&state->entries, rec->name);

  if (!entry || entry->incarnation != rec->incarnation || entry->left)
    return VERDICT_STALE;
  entry->left = true;
  return VERDICT_APPLIED;
}

static verdict_t
fold_payload (state_t *state, rec_t *rec)
{
  switch (rec->kind)
    {
    case REC_CONFIG:
      return fold_config (state, rec);
    case REC_KEY_GRANT:
      return fold_key_grant (state, &rec->u.key);
    case REC_KEY_WITHDRAW:
      return fold_key_withdraw (state, &rec->u.key);
    case REC_JOIN:
      return fold_join (state, &rec->u.entry, rec->time_ms);
    case REC_LEAVE:
      return fold_leave (state, &rec->u.entry);
    case REC_HOST_MOVE:
      return disrupt_host_move (state, &rec->u.host_move);
    case REC_DRAIN:
      return disrupt_drain (state, &rec->u.drain);
    case REC_HOST_STATE:
      return disrupt_host_state (state, &rec->u.host_state);
    case REC_WAVE:
      return disrupt_wave (state, &rec->u.wave);
    case REC_UNKNOWN:
      return VERDICT_UNKNOWN;
    }
  return VERDICT_UNKNOWN;
}

static bool
needs_newer_reader (const rec_t *rec)
{
  if (rec->kind == REC_UNKNOWN)
    return rec->required;
  return rec->kind == REC_CONFIG && rec->u.config.format > FLEET_FORMAT;
}

verdict_t
state_fold (state_t *state, rec_t *rec, uint64_t offset)
{
  if (offset < state->offset)
    return VERDICT_REPEATED;
  if (needs_newer_reader (rec))
    return VERDICT_BEHIND;
  state->offset = offset + 1;
  if (g_hash_table_contains (state->seen_set, rec->id))
    return VERDICT_REPEATED;
  remember_id (state, rec->id);
  return fold_payload (state, rec);
}

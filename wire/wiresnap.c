#include "fields.h"
#include <inttypes.h>
#include <string.h>

/* A snapshot is an array [FORMAT, HASH, BODY].  BODY is a msgpack array of the
   state's fields, HASH its xxHash64.  */
#define SNAPSHOT_FORMAT 1

/* Fits the largest fleet text, SEEN_IDS record ids, and 4,000 hosts and keys
   with names of maximum length.  */
#define SNAPSHOT_BYTES_MAX (4 * 1024 * 1024)

static void
encode_config (msgpack_packer *pk, const config_t *config)
{
  if (!config)
    {
      msgpack_pack_nil (pk);
      return;
    }
  msgpack_pack_array (pk, 4);
  msgpack_pack_uint64 (pk, config->version);
  pack_name (pk, config->author);
  msgpack_pack_int64 (pk, config->time_ms);
  msgpack_pack_str_with_body (pk, config->text, config->len);
}

static void
pack_bool (msgpack_packer *pk, bool value)
{
  value ? msgpack_pack_true (pk) : msgpack_pack_false (pk);
}

static void
encode_keys (msgpack_packer *pk, const table_t *keys)
{
  msgpack_pack_array (pk, keys->count);
  for (uint32_t i = 0; i < keys->count; i++)
    {
      const key_state_t *key = table_at (keys, i);

      msgpack_pack_array (pk, 4);
      pack_name (pk, key->id);
      pack_name (pk, key->team);
      pack_bin (pk, key->digest, sizeof key->digest);
      pack_bool (pk, key->withdrawn);
    }
}

static void
encode_entries (msgpack_packer *pk, const table_t *entries)
{
  msgpack_pack_array (pk, entries->count);
  for (uint32_t i = 0; i < entries->count; i++)
    {
      const entry_state_t *entry = table_at (entries, i);

      msgpack_pack_array (pk, 4);
      pack_name (pk, entry->name);
      msgpack_pack_uint64 (pk, entry->incarnation);
      msgpack_pack_int64 (pk, entry->joined_ms);
      pack_bool (pk, entry->left);
    }
}

static void
encode_hosts (msgpack_packer *pk, const table_t *hosts)
{
  msgpack_pack_array (pk, hosts->count);
  for (uint32_t i = 0; i < hosts->count; i++)
    {
      const host_state_t *host = table_at (hosts, i);

      msgpack_pack_array (pk, 9);
      pack_name (pk, host->name);
      pack_name (pk, host->pool);
      pack_name (pk, host->home_pool);
      pack_name (pk, host->rack);
      pack_name (pk, host->wave);
      pack_name (pk, host->done_wave);
      msgpack_pack_uint64 (pk, host->done_run);
      msgpack_pack_uint64 (pk, host->version);
      msgpack_pack_uint32 (pk, host->phase);
    }
}

static void
encode_waves (msgpack_packer *pk, const table_t *waves)
{
  msgpack_pack_array (pk, waves->count);
  for (uint32_t i = 0; i < waves->count; i++)
    {
      const wave_state_t *wave = table_at (waves, i);

      msgpack_pack_array (pk, 4);
      pack_name (pk, wave->name);
      msgpack_pack_uint64 (pk, wave->version);
      msgpack_pack_uint64 (pk, wave->run);
      msgpack_pack_uint32 (pk, wave->phase);
    }
}

/* Writes the seen ids from oldest to newest, so that the encoding does not
   depend on where the ring buffer starts.  */
static void
encode_seen (msgpack_packer *pk, const state_t *state)
{
  uint64_t count = MIN (state->seen_count, SEEN_IDS);

  msgpack_pack_uint64 (pk, state->seen_count);
  msgpack_pack_bin (pk, count * REC_ID_BYTES);
  for (uint64_t i = state->seen_count - count; i < state->seen_count; i++)
    msgpack_pack_bin_body (pk, state->seen[i % SEEN_IDS].id, REC_ID_BYTES);
}

GBytes *
wire_encode_snapshot (const state_t *state)
{
  msgpack_sbuffer body;
  msgpack_sbuffer buf;
  msgpack_packer pk;

  msgpack_sbuffer_init (&body);
  msgpack_packer_init (&pk, &body, msgpack_sbuffer_write);
  msgpack_pack_array (&pk, 8);
  msgpack_pack_uint64 (&pk, state->offset);
  encode_config (&pk, state->config);
  encode_keys (&pk, &state->keys);
  encode_entries (&pk, &state->entries);
  encode_hosts (&pk, &state->hosts);
  encode_waves (&pk, &state->waves);
  encode_seen (&pk, state);
  msgpack_sbuffer_init (&buf);
  msgpack_packer_init (&pk, &buf, msgpack_sbuffer_write);
  msgpack_pack_array (&pk, 3);
  msgpack_pack_uint32 (&pk, SNAPSHOT_FORMAT);
  msgpack_pack_uint64 (&pk, hash_bytes (body.data, body.size, 0));
  pack_bin (&pk, body.data, body.size);
  msgpack_sbuffer_destroy (&body);
  return pack_steal (&buf);
}

/* Adds an entry to TABLE; its name is the next field.  In the canonical
   encoding, names are in strictly ascending order.  */
static void *
add_next_entry (fields_t *f, table_t *table)
{
  const char *name = fields_intern (f, "name");
  const char *last = NULL;

  if (!name)
    return NULL;
  if (table->count > 0)
    memcpy (&last, table_at (table, table->count - 1), sizeof last);
  if (last && strcmp (last, name) >= 0)
    {
      f->bad = "name";
      return NULL;
    }
  return table_add (table, name);
}

static void
decode_key (fields_t *f, state_t *state)
{
  key_state_t *key = add_next_entry (f, &state->keys);
  const uint8_t *digest;
  size_t len;

  if (!key)
    return;
  key->team = fields_intern (f, "team");
  digest = fields_bin (f, "digest", &len);
  if (digest && len == sizeof key->digest)
    memcpy (key->digest, digest, sizeof key->digest);
  else if (!f->bad)
    f->bad = "digest";
  key->withdrawn = fields_bool (f, "withdrawn");
}

static void
decode_entry (fields_t *f, state_t *state)
{
  entry_state_t *entry = add_next_entry (f, &state->entries);

  if (!entry)
    return;
  entry->incarnation = fields_u64 (f, "incarnation", UINT64_MAX);
  entry->joined_ms = fields_i64 (f, "joined_ms");
  entry->left = fields_bool (f, "left");
}

static void
decode_host (fields_t *f, state_t *state)
{
  host_state_t *host = add_next_entry (f, &state->hosts);

  if (!host)
    return;
  host->pool = fields_intern (f, "pool");
  host->home_pool = fields_intern (f, "home_pool");
  host->rack = fields_intern (f, "rack");
  host->wave = fields_intern_or_nil (f, "wave");
  host->done_wave = fields_intern_or_nil (f, "done_wave");
  host->done_run = fields_u64 (f, "done_run", UINT64_MAX);
  host->version = fields_u64 (f, "version", UINT64_MAX);
  host->phase = (host_phase_t)fields_u64 (f, "phase", HOST_FAILED);
}

static void
decode_wave (fields_t *f, state_t *state)
{
  wave_state_t *wave = add_next_entry (f, &state->waves);

  if (!wave)
    return;
  wave->version = fields_u64 (f, "version", UINT64_MAX);
  wave->run = fields_u64 (f, "run", UINT64_MAX);
  wave->phase = (wave_phase_t)fields_u64 (f, "phase", WAVE_DONE);
}

/* Reads the next field, an array, and decodes each of its elements with
   DECODE_ELEMENT.  */
static void
decode_list (fields_t *f, const char *name, state_t *state,
             void (*decode_element) (fields_t *, state_t *))
{
  fields_t list;

  list = fields_open (fields_next (f, name), name);
  if (!f->bad)
    f->bad = list.bad;
  while (!f->bad && list.left > 0)
    {
      fields_t entry = fields_open (fields_next (&list, name), name);

      decode_element (&entry, state);
      f->bad = entry.bad;
    }
}

static bool
decode_config (fields_t *f, state_t *state, GError **error)
{
  const msgpack_object *object = fields_next (f, "config");
  config_t *config;
  fields_t g;
  const char *text;

  if (!object || object->type == MSGPACK_OBJECT_NIL)
    return true;
  config = g_new0 (config_t, 1);
  atomic_init (&config->refs, 1);
  state->config = config;
  g = fields_open (object, "config");
  config->version = fields_u64 (&g, "version", UINT64_MAX - 1);
  fields_name (&g, "author", config->author);
  config->time_ms = fields_i64 (&g, "time_ms");
  text = fields_text (&g, "text", FLEET_TEXT_BYTES_MAX, &config->len);
  if (!g.bad && config->version == 0)
    g.bad = "version";
  f->bad = g.bad;
  if (f->bad)
    return true;
  config->text = g_strndup (text, config->len);
  config->fleet = fleet_load ("fleet", config->text, config->len, error);
  return config->fleet != NULL;
}

static void
decode_seen (fields_t *f, state_t *state)
{
  size_t len;
  const uint8_t *ids;
  uint64_t count;
  uint64_t total;

  total = fields_u64 (f, "seen_count", UINT64_MAX - SEEN_IDS);
  ids = fields_bin (f, "seen", &len);
  count = MIN (total, SEEN_IDS);
  if (f->bad)
    return;
  if (len != count * REC_ID_BYTES)
    {
      f->bad = "seen";
      return;
    }
  state->seen_count = total;
  for (uint64_t i = 0; i < count; i++)
    {
      seen_id_t *slot = &state->seen[(total - count + i) % SEEN_IDS];

      memcpy (slot->id, ids + i * REC_ID_BYTES, REC_ID_BYTES);
      if (!g_hash_table_add (state->seen_set, slot))
        f->bad = "seen";
    }
}

/* state_fold looks up each known host, key and wave in the fleet, so a state
   that has any of them must have a configuration.  */
static void
check_has_config (fields_t *f, const state_t *state)
{
  if (!f->bad && !state->config
      && (state->keys.count || state->hosts.count || state->waves.count))
    f->bad = "config";
}

static state_t *
decode_body (const msgpack_object *object, GError **error)
{
  state_t *state = state_new ();
  fields_t f = fields_open (object, "array");

  state->offset = fields_u64 (&f, "offset", UINT64_MAX);
  if (!decode_config (&f, state, error))
    {
      state_free (state);
      return NULL;
    }
  decode_list (&f, "keys", state, decode_key);
  decode_list (&f, "entries", state, decode_entry);
  decode_list (&f, "hosts", state, decode_host);
  decode_list (&f, "waves", state, decode_wave);
  decode_seen (&f, state);
  check_has_config (&f, state);
  if (fields_ok (&f, "snapshot", error))
    return state;
  state_free (state);
  return NULL;
}

/* Returns the body in MSG after verifying the format and checksum.  */
static const uint8_t *
open_envelope (const msgpack_unpacked *msg, size_t *len, GError **error)
{
  fields_t f = fields_open (&msg->data, "array");
  uint64_t format = fields_u64 (&f, "format", UINT64_MAX);
  uint64_t hash = fields_u64 (&f, "hash", UINT64_MAX);
  const uint8_t *body = fields_bin (&f, "body", len);

  if (!fields_ok (&f, "snapshot", error))
    return NULL;
  if (format != SNAPSHOT_FORMAT)
    {
      g_set_error (error, WIRE_ERROR, WIRE_ERROR_FORM,
                   "snapshot: expected format %d, found %" PRIu64,
                   SNAPSHOT_FORMAT, format);
      return NULL;
    }
  if (hash == hash_bytes (body, *len, 0))
    return body;
  g_set_error (error, WIRE_ERROR, WIRE_ERROR_CHECKSUM,
               "snapshot: checksum mismatch");
  return NULL;
}

state_t *
wire_decode_snapshot (const void *data, size_t len, GError **error)
{
  msgpack_unpacked outer;
  msgpack_unpacked inner;
  state_t *state = NULL;
  const uint8_t *body = NULL;
  size_t body_len = 0;

  if (unpack_value (data, len, SNAPSHOT_BYTES_MAX, "snapshot", &outer, error))
    body = open_envelope (&outer, &body_len, error);
  if (body)
    {
      if (unpack_value (body, body_len, SNAPSHOT_BYTES_MAX, "snapshot", &inner,
                        error))
        state = decode_body (&inner.data, error);
      msgpack_unpacked_destroy (&inner);
    }
  msgpack_unpacked_destroy (&outer);
  return state;
}

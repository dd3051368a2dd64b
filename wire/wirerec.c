#include "fields.h"
#include <string.h>

/* Fits a fleet text of FLEET_TEXT_BYTES_MAX and the other fields.  */
#define REC_BYTES_MAX (1024 * 1024)

static void
encode_payload (msgpack_packer *pk, const rec_t *rec)
{
  switch (rec->kind)
    {
    case REC_CONFIG:
      msgpack_pack_array (pk, 3);
      msgpack_pack_uint32 (pk, rec->u.config.format);
      msgpack_pack_uint64 (pk, rec->u.config.base_version);
      msgpack_pack_str_with_body (pk, rec->u.config.text, rec->u.config.len);
      return;
    case REC_KEY_GRANT:
      msgpack_pack_array (pk, 3);
      pack_name (pk, rec->u.key.id);
      pack_name (pk, rec->u.key.team);
      pack_name (pk, rec->u.key.digest);
      return;
    case REC_KEY_WITHDRAW:
      msgpack_pack_array (pk, 1);
      pack_name (pk, rec->u.key.id);
      return;
    case REC_JOIN:
    case REC_LEAVE:
      msgpack_pack_array (pk, 2);
      pack_name (pk, rec->u.entry.name);
      msgpack_pack_uint64 (pk, rec->u.entry.incarnation);
      return;
    case REC_HOST_MOVE:
      msgpack_pack_array (pk, 3);
      pack_name (pk, rec->u.host_move.host);
      pack_name (pk, rec->u.host_move.pool);
      msgpack_pack_uint64 (pk, rec->u.host_move.host_version);
      return;
    case REC_DRAIN:
      msgpack_pack_array (pk, 4);
      pack_name (pk, rec->u.drain.host);
      pack_name (pk, rec->u.drain.wave);
      msgpack_pack_uint64 (pk, rec->u.drain.host_version);
      msgpack_pack_uint64 (pk, rec->u.drain.wave_run);
      return;
    case REC_HOST_STATE:
      msgpack_pack_array (pk, 3);
      pack_name (pk, rec->u.host_state.host);
      msgpack_pack_uint32 (pk, rec->u.host_state.phase);
      msgpack_pack_uint64 (pk, rec->u.host_state.host_version);
      return;
    case REC_WAVE:
      msgpack_pack_array (pk, 3);
      pack_name (pk, rec->u.wave.wave);
      msgpack_pack_uint32 (pk, rec->u.wave.phase);
      msgpack_pack_uint64 (pk, rec->u.wave.wave_version);
      return;
    case REC_UNKNOWN:
      msgpack_pack_array (pk, 0);
      return;
    }
}

GBytes *
wire_encode_rec (const rec_t *rec)
{
  msgpack_sbuffer buf;
  msgpack_packer pk;

  msgpack_sbuffer_init (&buf);
  msgpack_packer_init (&pk, &buf, msgpack_sbuffer_write);
  msgpack_pack_array (&pk, 6);
  msgpack_pack_uint32 (&pk, rec->kind);
  pack_bin (&pk, rec->id, sizeof rec->id);
  pack_name (&pk, rec->author);
  msgpack_pack_int64 (&pk, rec->time_ms);
  rec->required ? msgpack_pack_true (&pk) : msgpack_pack_false (&pk);
  encode_payload (&pk, rec);
  return pack_steal (&buf);
}

static void
decode_config (fields_t *f, rec_config_t *config)
{
  const char *text;

  config->format = (uint32_t)fields_u64 (f, "format", UINT32_MAX);
  config->base_version = fields_u64 (f, "base_version", UINT64_MAX - 1);
  text = fields_text (f, "text", FLEET_TEXT_BYTES_MAX, &config->len);
  if (!f->bad)
    config->text = g_strndup (text, config->len);
}

static void
decode_digest (fields_t *f, char to[KEY_DIGEST_HEX + 1])
{
  size_t len;
  const char *text = fields_text (f, "digest", KEY_DIGEST_HEX, &len);

  if (!text)
    return;
  if (memchr (text, '\0', len))
    f->bad = "digest";
  else
    memcpy (to, text, len);
}

/* An unknown phase is an error, so a version that adds a phase must use a new
   kind of record for it.  */
static void
decode_payload (fields_t *f, rec_t *rec)
{
  switch (rec->kind)
    {
    case REC_CONFIG:
      decode_config (f, &rec->u.config);
      return;
    case REC_KEY_GRANT:
      fields_name (f, "id", rec->u.key.id);
      fields_name (f, "team", rec->u.key.team);
      decode_digest (f, rec->u.key.digest);
      return;
    case REC_KEY_WITHDRAW:
      fields_name (f, "id", rec->u.key.id);
      return;
    case REC_JOIN:
    case REC_LEAVE:
      fields_name (f, "name", rec->u.entry.name);
      rec->u.entry.incarnation = fields_u64 (f, "incarnation", UINT64_MAX);
      return;
    case REC_HOST_MOVE:
      fields_name (f, "host", rec->u.host_move.host);
      fields_name (f, "pool", rec->u.host_move.pool);
      rec->u.host_move.host_version
          = fields_u64 (f, "host_version", UINT64_MAX);
      return;
    case REC_DRAIN:
      fields_name (f, "host", rec->u.drain.host);
      fields_name (f, "wave", rec->u.drain.wave);
      rec->u.drain.host_version = fields_u64 (f, "host_version", UINT64_MAX);
      rec->u.drain.wave_run = fields_u64 (f, "wave_run", UINT64_MAX);
      return;
    case REC_HOST_STATE:
      fields_name (f, "host", rec->u.host_state.host);
      rec->u.host_state.phase
          = (host_phase_t)fields_u64 (f, "phase", HOST_FAILED);
      rec->u.host_state.host_version
          = fields_u64 (f, "host_version", UINT64_MAX);
      return;
    case REC_WAVE:
      fields_name (f, "wave", rec->u.wave.wave);
      rec->u.wave.phase = (wave_phase_t)fields_u64 (f, "phase", WAVE_DONE);
      rec->u.wave.wave_version = fields_u64 (f, "wave_version", UINT64_MAX);
      return;
    case REC_UNKNOWN:
      return;
    }
}

static rec_kind_t
decode_kind (uint64_t kind)
{
  return kind >= REC_CONFIG && kind <= REC_WAVE ? (rec_kind_t)kind
                                                : REC_UNKNOWN;
}

bool
wire_decode_rec (const void *data, size_t len, rec_t *rec, GError **error)
{
  msgpack_unpacked msg;
  const msgpack_object *payload;
  const uint8_t *id;
  size_t id_len;
  fields_t f;
  bool ok;

  memset (rec, 0, sizeof *rec);
  rec->kind = REC_UNKNOWN;
  if (!unpack_value (data, len, REC_BYTES_MAX, "record", &msg, error))
    {
      msgpack_unpacked_destroy (&msg);
      return false;
    }
  f = fields_open (&msg.data, "array");
  rec->kind = decode_kind (fields_u64 (&f, "kind", UINT64_MAX));
  id = fields_bin (&f, "id", &id_len);
  if (id && id_len == sizeof rec->id)
    memcpy (rec->id, id, sizeof rec->id);
  else if (!f.bad)
    f.bad = "id";
  fields_name (&f, "author", rec->author);
  rec->time_ms = fields_i64 (&f, "time_ms");
  rec->required = fields_bool (&f, "required");
  payload = fields_next (&f, "payload");
  if (payload && rec->kind != REC_UNKNOWN)
    {
      f = fields_open (payload, "payload");
      decode_payload (&f, rec);
    }
  ok = fields_ok (&f, "record", error);
  msgpack_unpacked_destroy (&msg);
  if (!ok)
    rec_clear (rec);
  return ok;
}

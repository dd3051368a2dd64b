/* Guards against records that change when encoded and decoded, and against
   bytes in the log that crash a reader.  */

#include "../../test/run_suite.h"
#include "wire.h"
#include <msgpack.h>
#include <string.h>

static rec_t
sample (rec_kind_t kind)
{
  rec_t rec;

  memset (&rec, 0, sizeof rec);
  rec.kind = kind;
  rec.required = kind % 2 == 0;
  rec.time_ms = kind == REC_JOIN ? -5 : 1700000000000;
  memset (rec.id, (int)kind, sizeof rec.id);
  g_strlcpy (rec.author, "olga", REC_NAME_BYTES);
  if (kind == REC_CONFIG)
    {
      rec.u.config.format = 1;
      rec.u.config.base_version = 7;
      rec.u.config.text = g_strdup ("format: 1\n");
      rec.u.config.len = strlen (rec.u.config.text);
      return rec;
    }
  /* All other kinds have a name as their first field.  */
  memset (rec.u.key.id, 'h', NAME_BYTES_MAX);
  if (kind == REC_KEY_GRANT)
    {
      g_strlcpy (rec.u.key.team, "blue", REC_NAME_BYTES);
      memset (rec.u.key.digest, 'a', KEY_DIGEST_HEX);
    }
  if (kind == REC_JOIN || kind == REC_LEAVE)
    rec.u.entry.incarnation = UINT64_MAX;
  if (kind == REC_HOST_MOVE)
    rec.u.host_move.host_version = 3;
  if (kind == REC_DRAIN)
    rec.u.drain.wave_run = 4;
  if (kind == REC_HOST_STATE)
    rec.u.host_state.phase = HOST_FAILED;
  if (kind == REC_WAVE)
    rec.u.wave.phase = WAVE_DONE;
  return rec;
}

static bool
decode (GBytes *bytes, rec_t *rec)
{
  gsize len;
  const void *data = g_bytes_get_data (bytes, &len);
  g_autoptr (GError) error = NULL;
  bool ok = wire_decode_rec (data, len, rec, &error);

  ck_assert (ok == (error == NULL));
  return ok;
}

static void
check_kind (rec_kind_t kind)
{
  rec_t rec = sample (kind);
  g_autoptr (GBytes) bytes = wire_encode_rec (&rec);
  g_autoptr (GBytes) again = NULL;
  rec_t back;

  ck_assert (decode (bytes, &back));
  ck_assert_int_eq (back.kind, kind);
  ck_assert_int_eq (back.time_ms, rec.time_ms);
  if (rec.kind == REC_CONFIG)
    ck_assert_str_eq (back.u.config.text, rec.u.config.text);
  else
    ck_assert_mem_eq (&back.u, &rec.u, sizeof rec.u);
  again = wire_encode_rec (&back);
  ck_assert (g_bytes_equal (bytes, again));
  rec_clear (&rec);
  rec_clear (&back);
}

START_TEST (each_kind_survives_encoding)
{
  for (rec_kind_t kind = REC_CONFIG; kind <= REC_WAVE; kind++)
    check_kind (kind);
}
END_TEST

static void
check_damaged (rec_kind_t kind, GRand *rand)
{
  rec_t rec = sample (kind);
  g_autoptr (GBytes) bytes = wire_encode_rec (&rec);
  gsize len;
  const uint8_t *data = g_bytes_get_data (bytes, &len);
  rec_t back;

  for (gsize cut = 0; cut < len; cut++)
    {
      g_autofree uint8_t *copy = g_memdup2 (data, cut);

      ck_assert (!wire_decode_rec (copy ? copy : data, cut, &back, NULL));
    }
  for (int n = 0; n < 5000; n++)
    {
      g_autofree uint8_t *copy = g_memdup2 (data, len);

      for (int change = g_rand_int_range (rand, 1, 4); change > 0; change--)
        copy[g_rand_int_range (rand, 0, (int)len)]
            = (uint8_t)g_rand_int_range (rand, 0, 256);
      if (wire_decode_rec (copy, len, &back, NULL))
        rec_clear (&back);
    }
  rec_clear (&rec);
}

START_TEST (truncated_or_changed_bytes_never_crash)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (run_seed ("wirerec"));

  for (rec_kind_t kind = REC_CONFIG; kind <= REC_WAVE; kind++)
    check_damaged (kind, rand);
}
END_TEST

/* Encodes a record whose payload consists of NAMES names of NAME_LEN bytes. */
static GBytes *
encode_with_names (uint64_t kind, bool required, uint32_t names,
                   size_t name_len)
{
  g_autofree char *name = g_strnfill (name_len, 'n');
  msgpack_sbuffer buf;
  msgpack_packer pk;
  size_t size;

  msgpack_sbuffer_init (&buf);
  msgpack_packer_init (&pk, &buf, msgpack_sbuffer_write);
  msgpack_pack_array (&pk, 6);
  msgpack_pack_uint64 (&pk, kind);
  msgpack_pack_bin_with_body (&pk, "0123456789abcdef", REC_ID_BYTES);
  msgpack_pack_str_with_body (&pk, "olga", 4);
  msgpack_pack_int64 (&pk, 1);
  required ? msgpack_pack_true (&pk) : msgpack_pack_false (&pk);
  msgpack_pack_array (&pk, names);
  for (uint32_t i = 0; i < names; i++)
    msgpack_pack_str_with_body (&pk, name, name_len);
  size = buf.size;
  return g_bytes_new_take (msgpack_sbuffer_release (&buf), size);
}

static const struct
{
  uint64_t kind;
  uint32_t names;
  size_t name_len;
  bool required;
  bool valid;
  rec_kind_t expected;
} payload_cases[] = {
  { REC_KEY_WITHDRAW, 1, NAME_BYTES_MAX, true, true, REC_KEY_WITHDRAW },
  { REC_KEY_WITHDRAW, 1, NAME_BYTES_MAX + 1, true, false, 0 },
  { REC_KEY_WITHDRAW, 5, 3, true, true, REC_KEY_WITHDRAW },
  { REC_KEY_WITHDRAW, 0, 3, true, false, 0 },
  { REC_KEY_GRANT, 2, 3, true, false, 0 },
  { REC_JOIN, 2, 3, true, false, 0 },
  { 0, 2, 3, true, true, REC_UNKNOWN },
  { 200, 9, 300, true, true, REC_UNKNOWN },
  { UINT64_MAX, 0, 0, false, true, REC_UNKNOWN },
};

static void
check_payload (size_t i)
{
  g_autoptr (GBytes) bytes
      = encode_with_names (payload_cases[i].kind, payload_cases[i].required,
                           payload_cases[i].names, payload_cases[i].name_len);
  rec_t rec;

  ck_assert (decode (bytes, &rec) == payload_cases[i].valid);
  if (!payload_cases[i].valid)
    return;
  ck_assert_int_eq (rec.kind, payload_cases[i].expected);
  ck_assert (rec.required == payload_cases[i].required);
}

START_TEST (payloads_of_other_versions_are_decoded_or_rejected)
{
  for (size_t i = 0; i < G_N_ELEMENTS (payload_cases); i++)
    check_payload (i);
}
END_TEST

START_TEST (oversized_input_is_rejected)
{
  rec_t rec = sample (REC_CONFIG);
  rec_t back;
  g_autoptr (GBytes) bytes = NULL;

  g_free (rec.u.config.text);
  rec.u.config.len = FLEET_TEXT_BYTES_MAX + 1;
  rec.u.config.text = g_strnfill (rec.u.config.len, '#');
  bytes = wire_encode_rec (&rec);
  ck_assert (!decode (bytes, &back));
  rec_clear (&rec);
}
END_TEST

TEST_PROGRAM ("wirerec", each_kind_survives_encoding,
              truncated_or_changed_bytes_never_crash,
              payloads_of_other_versions_are_decoded_or_rejected,
              oversized_input_is_rejected)

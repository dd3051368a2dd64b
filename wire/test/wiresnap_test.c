/* Guards against a snapshot that loses part of the state, so that a daemon
   started from it disagrees with one that read the whole log, and against
   damaged snapshots that are accepted.  */

#include "../../state/test/assert_state.h"
#include "../../test/run_suite.h"
#include "wire.h"
#include <sodium.h>
#include <string.h>

#define RECORDS 6000 /* more than SEEN_IDS, so that the ring wraps around */
#define HOSTS 8

static const char *const pools[] = { "web", "spare" };

static char *
fleet_text (GRand *rand)
{
  GString *text = g_string_new (
      "format: 1\ndata_centres:\n  - {name: d1, region: r}\n"
      "racks:\n  - {name: k0, data_centre: d1}\n  - {name: k1, data_centre: "
      "d1}\npools:\n  - {name: web, budget_hosts: 2}\n  - {name: spare}\n"
      "teams:\n  - {name: blue, share: 1, limit: 9}\n"
      "waves:\n  - {name: w0, pools: [web]}\n  - {name: w1, pools: [web]}\n"
      "hosts:\n");

  for (int i = 0; i < HOSTS; i++)
    if (i < 4 || g_rand_boolean (rand))
      g_string_append_printf (text, "  - {name: h%d, rack: k%d, pool: %s}\n",
                              i, i % 2,
                              i < 4 ? "web" : pools[g_rand_boolean (rand)]);
  g_string_append (text, "keys:\n");
  for (int i = 0; i < 6; i++)
    if (i == 0 || g_rand_boolean (rand))
      {
        g_autofree char *digest = g_strnfill (KEY_DIGEST_HEX, (char)('0' + i));

        g_string_append_printf (
            text, "  - {id: k%d, team: blue, digest: \"%s\"}\n", i, digest);
      }
  return g_string_free (text, FALSE);
}

static void
random_payload (GRand *rand, const state_t *state, rec_t *rec)
{
  uint32_t n = (uint32_t)g_rand_int_range (rand, 0, HOSTS);
  const host_state_t *host
      = state->hosts.count > n ? table_at (&state->hosts, n) : NULL;
  uint64_t version = host ? host->version : 0;
  const wave_state_t *wave = table_find (&state->waves, n % 2 ? "w0" : "w1");

  if (rec->kind == REC_CONFIG)
    {
      rec->u.config.format = FLEET_FORMAT;
      rec->u.config.base_version = state_config_version (state);
      rec->u.config.text = fleet_text (rand);
      rec->u.config.len = strlen (rec->u.config.text);
      return;
    }
  g_snprintf (rec->u.key.id, REC_NAME_BYTES,
              rec->kind == REC_WAVE ? "w%u" : "h%u",
              rec->kind == REC_WAVE ? n % 2 : n);
  if (rec->kind == REC_KEY_GRANT)
    {
      g_strlcpy (rec->u.key.team, "blue", REC_NAME_BYTES);
      for (int i = 0; i < KEY_DIGEST_HEX; i++)
        rec->u.key.digest[i]
            = "0123456789abcdef"[g_rand_int_range (rand, 0, 16)];
    }
  else if (rec->kind == REC_JOIN || rec->kind == REC_LEAVE)
    rec->u.entry.incarnation = (uint64_t)g_rand_int_range (rand, 1, 50);
  else if (rec->kind == REC_HOST_MOVE)
    {
      g_strlcpy (rec->u.host_move.pool, pools[n % 2], REC_NAME_BYTES);
      rec->u.host_move.host_version = version;
    }
  else if (rec->kind == REC_DRAIN)
    {
      g_strlcpy (rec->u.drain.wave, g_rand_boolean (rand) ? "w0" : "",
                 REC_NAME_BYTES);
      rec->u.drain.host_version = version;
      rec->u.drain.wave_run = wave ? wave->run : 0;
    }
  else if (rec->kind == REC_HOST_STATE)
    {
      rec->u.host_state.phase = (host_phase_t)g_rand_int_range (rand, 0, 5);
      rec->u.host_state.host_version = version;
    }
  else if (rec->kind == REC_WAVE)
    {
      const wave_state_t *own = table_find (&state->waves, rec->u.wave.wave);

      rec->u.wave.phase = (wave_phase_t)g_rand_int_range (rand, 1, 4);
      rec->u.wave.wave_version = own ? own->version : 0;
    }
}

static GBytes *
random_record (GRand *rand, const state_t *state)
{
  rec_t rec;
  GBytes *bytes;

  rec_init (&rec,
            g_rand_int_range (rand, 0, 40) == 0
                ? REC_CONFIG
                : (rec_kind_t)g_rand_int_range (rand, 2, REC_WAVE + 1),
            "olga", 1);
  for (int i = 0; i < REC_ID_BYTES; i++)
    rec.id[i] = (uint8_t)g_rand_int (rand);
  random_payload (rand, state, &rec);
  bytes = wire_encode_rec (&rec);
  rec_clear (&rec);
  return bytes;
}

static verdict_t
fold (state_t *state, GBytes *bytes)
{
  gsize len;
  const void *data = g_bytes_get_data (bytes, &len);
  verdict_t verdict;
  rec_t rec;

  ck_assert (wire_decode_rec (data, len, &rec, NULL));
  ck_assert (rec_check (&rec, NULL));
  verdict = state_fold (state, &rec, state->offset);
  rec_clear (&rec);
  return verdict;
}

static state_t *
encode_and_decode (const state_t *state)
{
  g_autoptr (GBytes) bytes = wire_encode_snapshot (state);
  g_autoptr (GError) error = NULL;
  gsize len;
  const void *data = g_bytes_get_data (bytes, &len);
  state_t *back = wire_decode_snapshot (data, len, &error);

  ck_assert_msg (back != NULL, "%s", error ? error->message : "");
  return back;
}

static void
assert_same (const state_t *a, const state_t *b)
{
  g_autoptr (GBytes) x = wire_encode_snapshot (a);
  g_autoptr (GBytes) y = wire_encode_snapshot (b);

  ck_assert (g_bytes_equal (x, y));
  assert_same_tables (a, b);
  ck_assert_mem_eq (a->seen, b->seen, SEEN_IDS * sizeof *a->seen);
}

/* One state applies every record; the other is replaced by its own decoded
   snapshot at random times.  Both also get some records twice.  */
START_TEST (snapshot_and_tail_equal_the_whole_log)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (run_seed ("wiresnap"));
  state_t *whole = state_new ();
  state_t *other = state_new ();
  uint32_t applied[VERDICT_BEHIND + 1] = { 0 };

  for (int i = 0; i < RECORDS; i++)
    {
      g_autoptr (GBytes) bytes = random_record (rand, whole);
      int times = g_rand_int_range (rand, 0, 50) == 0 ? 2 : 1;

      for (int j = 0; j < times; j++)
        {
          verdict_t verdict = fold (whole, bytes);

          applied[verdict]++;
          ck_assert_int_eq (verdict, fold (other, bytes));
        }
      if (g_rand_int_range (rand, 0, 200) == 0 || i == RECORDS - 1)
        {
          state_t *back = encode_and_decode (other);

          assert_same (whole, back);
          state_free (other);
          other = back;
        }
    }
  ck_assert_uint_gt (applied[VERDICT_APPLIED], RECORDS / 20);
  ck_assert_uint_gt (applied[VERDICT_REPEATED], 10);
  state_free (whole);
  state_free (other);
}
END_TEST

static GBytes *
small_snapshot (void)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (1);
  state_t *state = state_new ();
  GBytes *bytes;

  for (int i = 0; i < 200; i++)
    {
      g_autoptr (GBytes) rec = random_record (rand, state);

      fold (state, rec);
    }
  bytes = wire_encode_snapshot (state);
  state_free (state);
  return bytes;
}

START_TEST (any_changed_byte_is_detected)
{
  g_autoptr (GBytes) bytes = small_snapshot ();
  gsize len;
  const uint8_t *data = g_bytes_get_data (bytes, &len);
  g_autofree uint8_t *copy = g_memdup2 (data, len);

  for (gsize i = 0; i < len; i++)
    {
      g_autoptr (GError) error = NULL;

      copy[i] ^= 0x41;
      ck_assert_ptr_null (wire_decode_snapshot (copy, len, &error));
      ck_assert_ptr_nonnull (error);
      copy[i] ^= 0x41;
      ck_assert_ptr_null (wire_decode_snapshot (copy, i, NULL));
    }
}
END_TEST

/* The decoder checks the structure of a body even if its checksum is valid,
   since the process that wrote it may be faulty.  */
START_TEST (damaged_body_with_valid_checksum_never_crashes)
{
  g_autoptr (GBytes) bytes = small_snapshot ();
  g_autoptr (GRand) rand = g_rand_new_with_seed (99);
  gsize len;
  const uint8_t *data = g_bytes_get_data (bytes, &len);
  g_autofree uint8_t *copy = g_memdup2 (data, len);
  const gsize body = 1 + 1 + 9 + 3; /* array, format, hash, bin 16 */
  uint64_t hash;

  ck_assert_uint_eq (copy[2], 0xcf);
  ck_assert_uint_eq (copy[11], 0xc5);
  for (int n = 0; n < 4000; n++)
    {
      gsize at = (gsize)g_rand_int_range (rand, (int)body, (int)len);
      state_t *state;

      copy[at] = (uint8_t)g_rand_int (rand);
      hash = GUINT64_TO_BE (hash_bytes (copy + body, len - body, 0));
      memcpy (copy + 3, &hash, sizeof hash);
      state = wire_decode_snapshot (copy, len, NULL);
      state_free (state);
      copy[at] = data[at];
    }
}
END_TEST

static void
set_up (void)
{
  ck_assert_int_ge (sodium_init (), 0);
}

TEST_PROGRAM_WITH ("wiresnap", set_up, NULL,
                   snapshot_and_tail_equal_the_whole_log,
                   any_changed_byte_is_detected,
                   damaged_body_with_valid_checksum_never_crashes)

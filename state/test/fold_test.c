/* Guards against records that apply although their condition does not hold,
   against withdrawn keys that become valid again, and against readers of one
   log that disagree.  */

#include "assert_state.h"
#include "records.h"

#define D1 "1111111111111111111111111111111111111111111111111111111111111111"
#define D2 "2222222222222222222222222222222222222222222222222222222222222222"
#define K1 "{id: k1, team: t, digest: '" D1 "'}"
#define K2 "{id: k2, team: t, digest: '" D2 "'}"
#define K3_D1 "{id: k3, team: t, digest: '" D1 "'}"

static state_t *
new_state (const char *keys)
{
  state_t *state = state_new ();

  ck_assert_int_eq (rec_fold (state, rec_publish (0, keys)), VERDICT_APPLIED);
  return state;
}

static uint64_t
version_of (const state_t *state, const char *host)
{
  return ((const host_state_t *)table_find (&state->hosts, host))->version;
}

/* Whether a key whose digest is 64 times DIGIT is accepted.  */
static bool
digest_is_accepted (const state_t *state, char digit)
{
  uint8_t byte = (uint8_t)((digit - '0') * 0x11);

  for (uint32_t i = 0; i < state->keys.count; i++)
    {
      const key_state_t *key = table_at (&state->keys, i);

      if (!key->withdrawn && key->digest[0] == byte
          && memcmp (key->digest, key->digest + 1, KEY_DIGEST_BYTES - 1) == 0)
        return true;
    }
  return false;
}

/* The conditions in section 4.2 of the design.  Each row folds its record
   after the rows above it.  */
START_TEST (conditions_of_each_kind_hold)
{
  g_autoptr (state_t) state = new_state (K1);
  uint64_t a1 = version_of (state, "a1");
  uint64_t w = ((wave_state_t *)table_find (&state->waves, "w"))->version;
  const struct
  {
    rec_t rec;
    verdict_t verdict;
  } rows[] = {
    { rec_publish (0, K1), VERDICT_STALE },
    { rec_publish (2, K1), VERDICT_STALE },
    { rec_key (REC_KEY_GRANT, "k5", "none", '5'), VERDICT_INVALID },
    { rec_key (REC_KEY_GRANT, "k5", "t", '5'), VERDICT_APPLIED },
    { rec_key (REC_KEY_GRANT, "k5", "t", '6'), VERDICT_STALE },
    { rec_key (REC_KEY_GRANT, "k6", "t", '5'), VERDICT_STALE },
    { rec_key (REC_KEY_GRANT, "k6", "t", '1'), VERDICT_STALE },
    { rec_key (REC_KEY_WITHDRAW, "none", "", 0), VERDICT_INVALID },
    { rec_key (REC_KEY_WITHDRAW, "k5", "", 0), VERDICT_APPLIED },
    { rec_key (REC_KEY_WITHDRAW, "k5", "", 0), VERDICT_STALE },
    { rec_key (REC_KEY_GRANT, "k7", "t", '5'), VERDICT_STALE },
    { rec_entry (REC_LEAVE, "e", 5), VERDICT_STALE },
    { rec_entry (REC_JOIN, "e", 0), VERDICT_STALE },
    { rec_entry (REC_JOIN, "e", 5), VERDICT_APPLIED },
    { rec_entry (REC_JOIN, "e", 5), VERDICT_STALE },
    { rec_entry (REC_JOIN, "e", 4), VERDICT_STALE },
    { rec_entry (REC_LEAVE, "e", 4), VERDICT_STALE },
    { rec_entry (REC_LEAVE, "e", 5), VERDICT_APPLIED },
    { rec_entry (REC_LEAVE, "e", 5), VERDICT_STALE },
    { rec_entry (REC_JOIN, "e", 6), VERDICT_APPLIED },
    { rec_move ("none", a1, "b"), VERDICT_INVALID },
    { rec_move ("a1", a1, "none"), VERDICT_INVALID },
    { rec_move ("a1", a1, "b"), VERDICT_STALE }, /* not drained */
    { rec_drain ("none", a1), VERDICT_INVALID },
    { rec_drain ("a1", a1 + 1), VERDICT_STALE },
    { rec_drain ("a1", a1), VERDICT_APPLIED },
    { rec_drain ("a1", a1 + 1), VERDICT_STALE }, /* already draining */
    { rec_drain ("a2", a1), VERDICT_STALE },     /* over the budget */
    { rec_host_state ("a1", a1, HOST_DRAINED), VERDICT_STALE },
    { rec_host_state ("a1", a1 + 1, HOST_MAINTENANCE), VERDICT_INVALID },
    { rec_host_state ("a1", a1 + 1, HOST_DRAINED), VERDICT_APPLIED },
    { rec_move ("a1", a1 + 1, "b"), VERDICT_STALE },
    { rec_move ("a1", a1 + 2, "b"), VERDICT_APPLIED },
    { rec_move ("a1", a1 + 2, "a"), VERDICT_STALE },
    { rec_host_state ("none", 0, HOST_FAILED), VERDICT_INVALID },
    { rec_host_state ("a2", a1, HOST_DRAINING), VERDICT_INVALID },
    { rec_host_state ("a2", a1, HOST_IN_SERVICE), VERDICT_INVALID },
    { rec_wave ("none", w, WAVE_RUNNING), VERDICT_INVALID },
    { rec_wave ("w", w + 1, WAVE_RUNNING), VERDICT_STALE },
    { rec_wave ("w", w, WAVE_RUNNING), VERDICT_APPLIED },
    { rec_wave ("w", w, WAVE_PAUSED), VERDICT_STALE },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      uint64_t offset = state->offset;
      verdict_t verdict = rec_fold (state, rows[i].rec);

      ck_assert_msg (verdict == rows[i].verdict, "row %zu: %s", i,
                     verdict_name (verdict));
      ck_assert_uint_eq (state->offset, offset + 1);
    }
}
END_TEST

START_TEST (nothing_applies_before_a_configuration)
{
  g_autoptr (state_t) state = state_new ();
  rec_t recs[] = { rec_key (REC_KEY_GRANT, "k", "t", '1'),
                   rec_key (REC_KEY_WITHDRAW, "k", "", 0),
                   rec_drain ("a1", 0),
                   rec_move ("a1", 0, "b"),
                   rec_host_state ("a1", 0, HOST_FAILED),
                   rec_wave ("w", 0, WAVE_RUNNING) };

  for (size_t i = 0; i < G_N_ELEMENTS (recs); i++)
    ck_assert_int_eq (rec_fold (state, recs[i]), VERDICT_INVALID);
}
END_TEST

/* Guards against a withdrawn key becoming valid again because a configuration
   prepared before the withdrawal lists it, under its own or another id.  */
START_TEST (withdrawn_key_never_returns)
{
  g_autoptr (state_t) state = new_state (K1);

  ck_assert (digest_is_accepted (state, '1'));
  rec_fold (state, rec_key (REC_KEY_WITHDRAW, "k1", "", 0));
  ck_assert (!digest_is_accepted (state, '1'));
  ck_assert_int_eq (rec_fold (state, rec_publish (1, K1 ", " K2)),
                    VERDICT_APPLIED);
  ck_assert (!digest_is_accepted (state, '1'));
  ck_assert (digest_is_accepted (state, '2'));
  ck_assert_int_eq (rec_fold (state, rec_publish (2, K2 ", " K3_D1)),
                    VERDICT_APPLIED);
  ck_assert (!digest_is_accepted (state, '1'));
  rec_fold (state, rec_key (REC_KEY_GRANT, "k4", "t", '1'));
  ck_assert (!digest_is_accepted (state, '1'));
}
END_TEST

/* Guards against a digest, granted by record and also listed under another id,
   that stays valid under that id after its withdrawal.  */
START_TEST (withdrawal_covers_all_ids_of_a_digest)
{
  g_autoptr (state_t) state = new_state ("");

  ck_assert_int_eq (rec_fold (state, rec_key (REC_KEY_GRANT, "k9", "t", '1')),
                    VERDICT_APPLIED);
  ck_assert_int_eq (rec_fold (state, rec_publish (1, K1)), VERDICT_APPLIED);
  rec_fold (state, rec_key (REC_KEY_WITHDRAW, "k9", "", 0));
  ck_assert (!digest_is_accepted (state, '1'));
}
END_TEST

START_TEST (key_missing_from_a_configuration_is_withdrawn)
{
  g_autoptr (state_t) state = new_state (K1 ", " K2);

  rec_fold (state, rec_key (REC_KEY_GRANT, "k9", "t", '9'));
  ck_assert_int_eq (rec_fold (state, rec_publish (1, K2)), VERDICT_APPLIED);
  ck_assert (!digest_is_accepted (state, '1'));
  ck_assert (digest_is_accepted (state, '2'));
  ck_assert (
      digest_is_accepted (state, '9')); /* granted by record, not listed */
  ck_assert_int_eq (rec_fold (state, rec_publish (2, K1 ", " K2)),
                    VERDICT_APPLIED);
  ck_assert (!digest_is_accepted (state, '1'));
}
END_TEST

START_TEST (second_of_two_racing_configurations_is_stale)
{
  g_autoptr (state_t) state = new_state (K1);

  ck_assert_int_eq (rec_fold (state, rec_publish (1, K1 ", " K2)),
                    VERDICT_APPLIED);
  ck_assert_int_eq (rec_fold (state, rec_publish (1, "")), VERDICT_STALE);
  ck_assert_uint_eq (state_config_version (state), 2);
  ck_assert (digest_is_accepted (state, '1'));
  ck_assert (digest_is_accepted (state, '2'));
}
END_TEST

START_TEST (repeated_id_and_offset_change_nothing)
{
  g_autoptr (state_t) state = new_state ("");
  rec_t rec = rec_entry (REC_JOIN, "e", 1);
  rec_t next = rec_entry (REC_JOIN, "e", 2);
  rec_t again = rec_entry (REC_JOIN, "e", 3);

  ck_assert_int_eq (state_fold (state, &rec, 1), VERDICT_APPLIED);
  rec.u.entry.incarnation = 9;
  ck_assert_int_eq (state_fold (state, &rec, 2), VERDICT_REPEATED);
  ck_assert_uint_eq (state->offset, 3);
  ck_assert_int_eq (state_fold (state, &next, 3), VERDICT_APPLIED);
  /* Guards against moving the offset back when a peer relays an old record. */
  ck_assert_int_eq (state_fold (state, &again, 1), VERDICT_REPEATED);
  ck_assert_uint_eq (state->offset, 4);
  ck_assert_uint_eq (
      ((entry_state_t *)table_find (&state->entries, "e"))->incarnation, 2);
}
END_TEST

START_TEST (records_of_newer_versions)
{
  g_autoptr (state_t) state = new_state ("");
  rec_t optional = rec_of (REC_UNKNOWN);
  rec_t required = rec_of (REC_UNKNOWN);
  rec_t format = rec_publish (1, "");
  uint64_t offset = state->offset;

  optional.required = false;
  format.u.config.format = FLEET_FORMAT + 1;
  ck_assert_int_eq (rec_fold (state, optional), VERDICT_UNKNOWN);
  ck_assert_uint_eq (state->offset, offset + 1);
  ck_assert_int_eq (rec_fold (state, required), VERDICT_BEHIND);
  ck_assert_int_eq (rec_fold (state, required), VERDICT_BEHIND);
  ck_assert_int_eq (rec_fold (state, format), VERDICT_BEHIND);
  ck_assert_uint_eq (state->offset, offset + 1);
  ck_assert_uint_eq (state_config_version (state), 1);
}
END_TEST

START_TEST (failed_host_uses_up_the_budget)
{
  g_autoptr (state_t) state = new_state ("");
  uint64_t version = version_of (state, "a1");

  ck_assert_uint_eq (state_budget_left (state, "a", "r1"), 1);
  rec_fold (state, rec_host_state ("a3", version, HOST_FAILED));
  ck_assert_uint_eq (state_budget_left (state, "a", "r1"), 0);
  ck_assert_int_eq (rec_fold (state, rec_drain ("a1", version)),
                    VERDICT_STALE);
  /* A second failure counts too, although no budget is left.  */
  ck_assert_int_eq (
      rec_fold (state, rec_host_state ("a2", version, HOST_FAILED)),
      VERDICT_APPLIED);
  rec_fold (state, rec_host_state ("a3", version + 1, HOST_IN_SERVICE));
  ck_assert_int_eq (rec_fold (state, rec_drain ("a1", version)),
                    VERDICT_STALE);
  rec_fold (state, rec_host_state ("a2", version + 1, HOST_IN_SERVICE));
  ck_assert_int_eq (rec_fold (state, rec_drain ("a1", version)),
                    VERDICT_APPLIED);
}
END_TEST

#define LOG_RECORDS 3000

/* Returns a random record that mostly names the versions in STATE, so that
   many records apply.  */
static rec_t
random_rec (GRand *rand, const state_t *state)
{
  static const char *const keys[] = { "", K1, K2, K1 ", " K2, K3_D1 };
  static const char *const hosts[] = { "a1", "a2", "a3" };
  const char *host = hosts[g_rand_int_range (rand, 0, 3)];
  const wave_state_t *wave = table_find (&state->waves, "w");
  uint64_t wrong = g_rand_int_range (rand, 0, 4) == 0 ? 1 : 0;
  uint64_t version = version_of (state, host) - wrong;
  uint64_t n = (uint64_t)g_rand_int_range (rand, 0, 5);
  char id[] = { 'k', (char)('1' + n), '\0' };

  switch (g_rand_int_range (rand, 0, 10))
    {
    case 0:
      return rec_publish (state_config_version (state) - wrong, keys[n]);
    case 1:
      return rec_key (REC_KEY_GRANT, id, "t", id[1]);
    case 2:
      return rec_key (REC_KEY_WITHDRAW, id, "", 0);
    case 3:
      return rec_entry (REC_JOIN, "e", state->offset + n);
    case 4:
      return rec_entry (REC_LEAVE, "e", state->offset - n);
    case 5:
      return rec_move (host, version, n % 2 ? "a" : "b");
    case 6:
      return rec_drain (host, version);
    case 7:
    case 8:
      return rec_host_state (host, version, (host_phase_t)n);
    default:
      return rec_wave ("w", wave->version - wrong, (wave_phase_t)n);
    }
}

static rec_t
rec_copy (const rec_t *from)
{
  rec_t rec = *from;

  if (rec.kind == REC_CONFIG)
    rec.u.config.text = g_strdup (from->u.config.text);
  return rec;
}

/* Folds LOG in batches of random length that may begin with records of the
   previous batch.  */
static state_t *
read_log (GRand *rand, const rec_t *log, uint32_t count)
{
  state_t *state = state_new ();
  uint32_t next = 0;

  while (next < count)
    {
      uint32_t back = (uint32_t)g_rand_int_range (rand, 0, 20);
      uint32_t end = next + (uint32_t)g_rand_int_range (rand, 1, 50);

      next = next > back ? next - back : 0;
      for (; next < MIN (end, count); next++)
        {
          rec_t rec = rec_copy (&log[next]);

          ck_assert (rec_check (&rec, NULL));
          state_fold (state, &rec, next);
          rec_clear (&rec);
        }
    }
  return state;
}

/* Guards against readers of one log that disagree: one folds each record once,
   the other reads overlapping batches.  The log contains repeated appends.  */
START_TEST (readers_of_one_log_agree)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (run_seed ("fold"));
  rec_t *log = g_new0 (rec_t, LOG_RECORDS);
  g_autoptr (state_t) one = state_new ();
  g_autoptr (state_t) two = NULL;
  uint32_t applied = 0;

  for (uint32_t i = 0; i < LOG_RECORDS; i++)
    {
      if (i == 0)
        log[i] = rec_publish (0, K1);
      else if (g_rand_int_range (rand, 0, 10) == 0)
        log[i] = rec_copy (&log[g_rand_int_range (rand, 0, (int)i)]);
      else
        log[i] = random_rec (rand, one);
      applied += rec_fold (one, rec_copy (&log[i])) == VERDICT_APPLIED;
    }
  two = read_log (rand, log, LOG_RECORDS);
  ck_assert_uint_gt (applied, LOG_RECORDS / 10);
  ck_assert_uint_eq (one->offset, two->offset);
  ck_assert_str_eq (one->config->text, two->config->text);
  ck_assert_uint_eq (one->config->version, two->config->version);
  assert_same_tables (one, two);
  for (uint32_t i = 0; i < LOG_RECORDS; i++)
    rec_clear (&log[i]);
  g_free (log);
}
END_TEST

TEST_PROGRAM ("fold", conditions_of_each_kind_hold,
              nothing_applies_before_a_configuration,
              withdrawn_key_never_returns,
              withdrawal_covers_all_ids_of_a_digest,
              key_missing_from_a_configuration_is_withdrawn,
              second_of_two_racing_configurations_is_stale,
              repeated_id_and_offset_change_nothing, records_of_newer_versions,
              failed_host_uses_up_the_budget, readers_of_one_log_agree)

/* Guards against keys that are printed but were not granted, and against
   digests that differ from those the daemons compute.  */

#include "fixture.h"

START_TEST (a_granted_key_matches_its_digest)
{
  const char *none[] = { NULL };
  g_autofree char *key = NULL;
  char hex[KEY_DIGEST_HEX + 1];
  session_t *session;
  const key_state_t *state;

  publish (FLEET);
  ck_assert_int_eq (call ("grant", "blue", "k1"), CLI_OK);
  key = g_strdup (out);
  ck_assert_int_eq (call_with ("digest", new_call (none), key), CLI_OK);
  session = open_session ();
  state = table_find (&session->state->keys, "k1");
  sodium_bin2hex (hex, sizeof hex, state->digest, sizeof state->digest);
  session_close (session);
  ck_assert (g_str_has_prefix (out, hex));
  ck_assert_int_eq (call ("grant", "blue", "k2"), CLI_OK);
  ck_assert_str_ne (out, key);
}
END_TEST

static const struct
{
  const char *verb;
  const char *args[3];
  const char *reason;
} refused[] = {
  { "grant", { "red", "k9" }, "no team" },
  { "grant", { "blue", "k1" }, "exists" },
  { "grant", { "blue", "a b" }, "expected names" },
  { "withdraw", { "k9" }, "no key" },
};

START_TEST (refusals_print_a_reason_and_no_key)
{
  publish (FLEET);
  ck_assert_int_eq (call ("grant", "blue", "k1"), CLI_OK);
  for (size_t i = 0; i < G_N_ELEMENTS (refused); i++)
    {
      const char *args[] = { refused[i].args[0], refused[i].args[1], NULL };

      ck_assert_int_eq (call_with (refused[i].verb, new_call (args), " "),
                        CLI_REFUSED);
      ck_assert_ptr_nonnull (strstr (err, refused[i].reason));
      ck_assert_str_eq (out, "");
    }
  ck_assert_int_eq (call ("withdraw", "k1"), CLI_OK);
  ck_assert_int_eq (call ("withdraw", "k1"), CLI_REFUSED);
  set_faults ((devlog_faults_t){ .drop_appends = 100 });
  ck_assert_int_eq (call ("grant", "blue", "k3"), CLI_REFUSED);
  ck_assert_str_eq (out, "");
}
END_TEST

START_TEST (a_digest_needs_one_line)
{
  const char *none[] = { NULL };
  g_autofree char *long_key = g_strnfill (5000, 'x');

  ck_assert_int_eq (call_with ("digest", new_call (none), "\n"), CLI_REFUSED);
  ck_assert_int_eq (call_with ("digest", new_call (none), "a\nb"),
                    CLI_REFUSED);
  ck_assert_int_eq (call_with ("digest", new_call (none), long_key),
                    CLI_REFUSED);
}
END_TEST

TEST_PROGRAM_WITH ("keys", set_up, tear_down, a_granted_key_matches_its_digest,
                   refusals_print_a_reason_and_no_key, a_digest_needs_one_line)

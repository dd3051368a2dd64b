/* Guards against a status that differs from the records, and against invalid
   transitions of a wave.  */

#include "fixture.h"

static const struct
{
  const char *action;
  cli_status_t status;
  const char *phase_shown; /* in the status table after the action */
} transitions[] = {
  { "pause", CLI_REFUSED, "idle" },    { "resume", CLI_REFUSED, "idle" },
  { "abandon", CLI_REFUSED, "idle" },  { "start", CLI_OK, "running" },
  { "start", CLI_REFUSED, "running" }, { "pause", CLI_OK, "paused" },
  { "start", CLI_REFUSED, "paused" },  { "resume", CLI_OK, "running" },
  { "abandon", CLI_OK, "abandoned" },  { "start", CLI_OK, "running" },
  { "finish", CLI_USAGE, "running" },
};

START_TEST (a_wave_allows_only_valid_transitions)
{
  const char *none[] = { NULL };

  publish (FLEET);
  for (size_t i = 0; i < G_N_ELEMENTS (transitions); i++)
    {
      g_autofree char *row
          = g_strdup_printf ("\nw1    %s ", transitions[i].phase_shown);

      ck_assert_int_eq (call ("wave", transitions[i].action, "w1"),
                        transitions[i].status);
      ck_assert_int_eq (call_with ("status", new_call (none), " "), CLI_OK);
      ck_assert_msg (strstr (out, row) != NULL, "step %zu:\n%s", i, out);
    }
  ck_assert_int_eq (call ("wave", "start", "w9"), CLI_REFUSED);
}
END_TEST

START_TEST (status_shows_phases_and_the_budget_left)
{
  const char *none[] = { NULL };
  cli_t cli = new_call (none);
  session_t *session;
  verdict_t verdict;
  rec_t rec;

  publish (FLEET);
  session = open_session ();
  rec_init (&rec, REC_HOST_STATE, "e1", 1);
  strcpy (rec.u.host_state.host, "h2");
  rec.u.host_state.phase = HOST_FAILED;
  rec.u.host_state.host_version = 1;
  ck_assert (session_commit (session, &rec, &verdict, NULL));
  ck_assert_int_eq (verdict, VERDICT_APPLIED);
  session_close (session);
  cli.json = true;
  ck_assert_int_eq (call_with ("status", cli, " "), CLI_OK);
  ck_assert_ptr_nonnull (
      strstr (out, "\"pool\":\"web\",\"hosts\":2,\"in_service\":1,"
                   "\"draining\":0,\"drained\":0,\"maintenance\":0,"
                   "\"failed\":1,\"budget\":1,\"left\":0"));
}
END_TEST

START_TEST (invalid_usage_is_rejected)
{
  const char *none[] = { NULL };
  cli_t cli = new_call (none);

  ck_assert_int_eq (call ("status", "x"), CLI_USAGE);
  ck_assert_int_eq (call ("wave", "start"), CLI_USAGE);
  ck_assert_int_eq (call ("unknown", "x"), CLI_USAGE);
  ck_assert_int_eq (call ("dump", "127.0.0.1:1"), CLI_REFUSED);
  cli.platform = NULL;
  ck_assert_int_eq (call_with ("status", cli, " "), CLI_USAGE);
}
END_TEST

TEST_PROGRAM_WITH ("fleetverbs", set_up, tear_down,
                   a_wave_allows_only_valid_transitions,
                   status_shows_phases_and_the_budget_left,
                   invalid_usage_is_rejected)

/* Guards against a publication that is lost, that reverts another operator's
   change or that restores a withdrawn key, while its author is told that it
   succeeded.  */

#include "fixture.h"
#include <jansson.h>
#include <microhttpd.h>

#define KEYS "keys:\n  - {id: k1, team: blue, digest: " DIGEST "}\n"
#define DIGEST                                                                \
  "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"

/* Admin server of a daemon that reports version 0 to the first REQUESTS_BEFORE
   requests and VERSION afterwards.  */
typedef struct fake_daemon
{
  struct MHD_Daemon *http;
  atomic_int requests_before;
  json_int_t version;
} fake_daemon_t;

static enum MHD_Result
send_config (void *context, struct MHD_Connection *connection,
             const char *path, const char *method, const char *version,
             const char *data, size_t *len, void **request)
{
  fake_daemon_t *fake = context;
  bool before = atomic_fetch_sub (&fake->requests_before, 1) > 0;
  json_t *json = json_pack ("{s:s,s:I,s:s}", "daemon", "e1", "version",
                            before ? 0 : fake->version, "freshness", "fresh");
  char *text = json_dumps (json, 0);
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (text), text, MHD_RESPMEM_MUST_FREE);
  enum MHD_Result result = MHD_queue_response (connection, 200, response);

  (void)path;
  (void)method;
  (void)version;
  (void)data;
  *len = 0;
  (void)request;
  json_decref (json);
  MHD_destroy_response (response);
  return result;
}

static char *
start_fake_daemon (fake_daemon_t *fake, int requests_before,
                   json_int_t version)
{
  atomic_init (&fake->requests_before, requests_before);
  fake->version = version;
  fake->http = MHD_start_daemon (MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL,
                                 NULL, send_config, fake, MHD_OPTION_END);
  ck_assert_ptr_nonnull (fake->http);
  return g_strdup_printf (
      "127.0.0.1:%u",
      MHD_get_daemon_info (fake->http, MHD_DAEMON_INFO_BIND_PORT)->port);
}

static void
expect_version (uint64_t version)
{
  session_t *session = open_session ();

  ck_assert_uint_eq (state_config_version (session->state), version);
  session_close (session);
}

START_TEST (check_names_file_line_and_field)
{
  char *good = make_file (FLEET);
  char *bad = make_file (FLEET "keys:\n  - {id: k1, team: red, digest: " DIGEST
                               "}\n");
  g_autofree char *expected
      = g_strdup_printf ("cuminpin: %s:16: keys[0].team: expected a known "
                         "team, found \"red\"\n",
                         bad);

  ck_assert_int_eq (call ("check", good), CLI_OK);
  ck_assert_int_eq (call ("check", bad), CLI_REFUSED);
  ck_assert_str_eq (err, expected);
  ck_assert_int_eq (call ("check", "/nowhere/at-all"), CLI_REFUSED);
  ck_assert_int_eq (call ("publish", bad), CLI_REFUSED);
  expect_version (0);
  remove_file (good);
  remove_file (bad);
}
END_TEST

START_TEST (publish_survives_a_lost_response_and_a_dropped_append)
{
  const char *none[] = { NULL };
  g_autoptr (GError) error = NULL;

  set_faults ((devlog_faults_t){ .lose_answers = 1 });
  ck_assert_int_eq (publish (FLEET), CLI_OK);
  ck_assert_str_eq (out, "version 1\n");
  set_faults ((devlog_faults_t){ .drop_appends = 1 });
  ck_assert_int_eq (publish (FLEET "# two\n"), CLI_OK);
  ck_assert_str_eq (out, "version 2\n");
  ck_assert_int_eq (call_with ("show", new_call (none), " "), CLI_OK);
  ck_assert_str_eq (out, FLEET "# two\n");
  ck_assert (g_str_has_prefix (err, "version 2 by olga at 2"));
}
END_TEST

START_TEST (an_edit_of_an_old_version_is_refused_with_the_changes)
{
  char *path = make_file (FLEET "# mine\n");
  const char *args[] = { path, NULL };
  cli_t cli = new_call (args);

  publish (FLEET);
  publish (FLEET "# theirs\n");
  cli.base = 1;
  ck_assert_int_eq (call_with ("publish", cli, " "), CLI_REFUSED);
  ck_assert_ptr_nonnull (strstr (err, "version 2 by olga"));
  ck_assert_ptr_nonnull (strstr (err, "+ 15: # theirs\n"));
  expect_version (2);
  cli.base = 2;
  ck_assert_int_eq (call_with ("publish", cli, " "), CLI_OK);
  remove_file (path);
}
END_TEST

/* One of two operators who publish at the same time.  */
typedef struct operator
{
  char *path;
  cli_status_t status;
  char *out;
}
operator_t;

static gpointer
run_operator (gpointer data)
{
  operator_t *op = data;
  const char *args[] = { op->path, NULL };
  cli_t cli = new_call (args);
  size_t len;

  cli.json = true;
  cli.out = open_memstream (&op->out, &len);
  cli.err = cli.out;
  op->status = verb_run ("publish", &cli);
  fclose (cli.out);
  return NULL;
}

/* Responses are delayed, so that both operators read the version before either
   appends.  */
START_TEST (a_lost_race_is_reported)
{
  char *paths[2] = { make_file (FLEET "# a\n"), make_file (FLEET "# b\n") };
  uint64_t wins = 0;
  uint32_t losses = 0;

  set_faults ((devlog_faults_t){ .delay_ms = 50 });
  for (int round = 0; round < 20 && losses < 2; round++)
    {
      operator_t ops[2] = { { paths[0] }, { paths[1] } };
      GThread *threads[2];

      wins += publish (FLEET) == CLI_OK;
      for (int i = 0; i < 2; i++)
        threads[i] = g_thread_new ("operator", run_operator, &ops[i]);
      for (int i = 0; i < 2; i++)
        {
          g_thread_join (threads[i]);
          wins += ops[i].status == CLI_OK;
          if (ops[i].status == CLI_REFUSED)
            {
              losses++;
              ck_assert_ptr_nonnull (strstr (ops[i].out, "lost-race"));
              ck_assert_ptr_nonnull (strstr (ops[i].out, "\"added\""));
            }
          free (ops[i].out);
        }
    }
  ck_assert_uint_ge (losses, 2);
  expect_version (wins);
  remove_file (paths[0]);
  remove_file (paths[1]);
}
END_TEST

START_TEST (a_withdrawn_key_stays_withdrawn)
{
  session_t *session;
  const key_state_t *key;

  publish (FLEET KEYS);
  ck_assert_int_eq (call ("withdraw", "k1"), CLI_OK);
  ck_assert_int_eq (publish (FLEET KEYS), CLI_OK);
  ck_assert_ptr_nonnull (strstr (err, "key \"k1\" stays withdrawn"));
  session = open_session ();
  key = table_find (&session->state->keys, "k1");
  ck_assert (key->withdrawn);
  session_close (session);
}
END_TEST

START_TEST (wait_reports_daemons_without_the_version)
{
  fake_daemon_t slow;
  fake_daemon_t stuck;
  g_autofree char *slow_address = start_fake_daemon (&slow, 2, 9);
  g_autofree char *stuck_address = start_fake_daemon (&stuck, 0, 1);
  const char *admin_addresses[] = { slow_address, stuck_address };
  char *path = make_file (FLEET);
  const char *args[] = { path, NULL };
  cli_t cli = new_call (args);

  cli.admin_addresses = admin_addresses;
  cli.admin_addresses_count = 2;
  cli.wait = true;
  cli.wait_ms = 5000;
  ck_assert_int_eq (call_with ("publish", cli, " "), CLI_OK);
  ck_assert_str_eq (out, "version 1\nin effect at 2 daemons\n");
  cli.wait_ms = 300;
  ck_assert_int_eq (call_with ("publish", cli, " "), CLI_REFUSED);
  ck_assert_ptr_null (strstr (err, slow_address));
  ck_assert_ptr_nonnull (strstr (err, stuck_address));
  cli.admin_addresses_count = 0;
  ck_assert_int_eq (call_with ("publish", cli, " "), CLI_USAGE);
  MHD_stop_daemon (slow.http);
  MHD_stop_daemon (stuck.http);
  remove_file (path);
}
END_TEST

TEST_PROGRAM_WITH ("config", set_up, tear_down,
                   check_names_file_line_and_field,
                   publish_survives_a_lost_response_and_a_dropped_append,
                   an_edit_of_an_old_version_is_refused_with_the_changes,
                   a_lost_race_is_reported, a_withdrawn_key_stays_withdrawn,
                   wait_reports_daemons_without_the_version)

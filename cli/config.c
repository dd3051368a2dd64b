#include "admin.h"
#include "cli.h"
#include "decide.h"
#include "output.h"
#include "session.h"
#include "textdiff.h"
#include <inttypes.h>

/* Changed lines printed after a lost race; the rest are only counted.  */
#define CHANGES_SHOWN_MAX 40

cli_status_t
verb_check (const cli_t *cli)
{
  g_autoptr (GError) error = NULL;
  fleet_t *fleet = fleet_read (cli->args[0], NULL, NULL, &error);
  json_t *json;
  uint32_t hosts;
  uint32_t teams;

  if (!fleet)
    return output_fail (cli, "%s", error->message);
  hosts = fleet->hosts_count;
  teams = fleet->teams_count;
  fleet_free (fleet);
  json = json_pack ("{s:b,s:i,s:i}", "valid", 1, "hosts", (int)hosts, "teams",
                    (int)teams);
  return output_done (cli, json, "%s: valid, %u hosts, %u teams", cli->args[0],
                      hosts, teams);
}

static json_t *
changes_json (const char *old, const char *new)
{
  g_autoptr (GArray) changes = text_diff (old, new);
  json_t *list = json_array ();

  for (guint i = 0; i < changes->len; i++)
    {
      const line_change_t *change = &g_array_index (changes, line_change_t, i);

      json_array_append_new (
          list, json_pack ("{s:s,s:i,s:s}", "change",
                           change->added ? "added" : "removed", "line",
                           (int)change->line, "text", change->text));
    }
  return list;
}

static void
print_changes (const cli_t *cli, const json_t *changes)
{
  size_t count = json_array_size (changes);
  const json_t *row;
  size_t i;

  json_array_foreach (changes, i, row)
  {
    const char *kind = json_string_value (json_object_get (row, "change"));

    if (i == CHANGES_SHOWN_MAX)
      break;
    fprintf (cli->err, "%c %" PRId64 ": %s\n", kind[0] == 'a' ? '+' : '-',
             (int64_t)json_integer_value (json_object_get (row, "line")),
             json_string_value (json_object_get (row, "text")));
  }
  if (count > CHANGES_SHOWN_MAX)
    fprintf (cli->err, "and %zu more lines\n", count - CHANGES_SHOWN_MAX);
}

/* Reports that another version was published since BASE_VERSION and prints the
   lines that changed from BASE to CURRENT.  BASE is NULL when the log no
   longer holds that version.  */
static cli_status_t
report_lost_race (const cli_t *cli, uint64_t base_version,
                  const config_t *base, const config_t *current)
{
  json_t *changes
      = base ? changes_json (base->text, current->text) : json_array ();

  if (cli->json)
    {
      output_json (cli,
                   json_pack ("{s:s,s:I,s:I,s:s,s:o}", "error", "lost-race",
                              "base", (json_int_t)base_version, "version",
                              (json_int_t)current->version, "author",
                              current->author, "changes", changes));
      return CLI_REFUSED;
    }
  output_fail (cli,
               "not published: version %" PRIu64 " by %s is in effect, "
               "the file was edited from version %" PRIu64,
               current->version, current->author, base_version);
  if (base)
    fprintf (cli->err, "changed since version %" PRIu64 ":\n", base_version);
  else
    fprintf (cli->err, "the log no longer holds version %" PRIu64 "\n",
             base_version);
  print_changes (cli, changes);
  fprintf (cli->err,
           "merge these changes into the file and publish it again\n");
  json_decref (changes);
  return CLI_REFUSED;
}

/* Publishing a file does not restore a withdrawn key that the file lists.  */
static void
warn_withdrawn_keys (const cli_t *cli, const state_t *state)
{
  const fleet_t *fleet = state->config->fleet;

  for (uint32_t i = 0; i < fleet->keys_count; i++)
    {
      const key_state_t *key = table_find (&state->keys, fleet->keys[i].id);

      if (!key || key->withdrawn)
        fprintf (cli->err,
                 "cuminpin: note: key \"%s\" stays withdrawn although the "
                 "file lists it\n",
                 fleet->keys[i].id);
    }
}

static cli_status_t
wait_in_effect (const cli_t *cli, uint64_t version)
{
  admin_response_t *responses
      = g_new0 (admin_response_t, cli->admin_addresses_count);
  bool all
      = admin_wait_version (cli->admin_addresses, cli->admin_addresses_count,
                            version, cli->wait_ms, responses);
  cli_status_t status = all ? CLI_OK : CLI_REFUSED;

  if (cli->json)
    output_json (
        cli, json_pack ("{s:I,s:b,s:o}", "version", (json_int_t)version,
                        "in_force", all, "daemons",
                        admin_responses_json (responses,
                                              cli->admin_addresses_count)));
  else if (all)
    fprintf (cli->out, "in effect at %u daemons\n",
             cli->admin_addresses_count);
  for (uint32_t i = 0; i < cli->admin_addresses_count && !cli->json; i++)
    {
      uint64_t reported = admin_response_version (&responses[i]);

      if (responses[i].error)
        fprintf (cli->err, "cuminpin: not yet in effect at %s: %s\n",
                 responses[i].address, responses[i].error);
      else if (reported < version)
        fprintf (cli->err,
                 "cuminpin: not yet in effect at %s: version %" PRIu64 "\n",
                 responses[i].address, reported);
    }
  admin_clear (responses, cli->admin_addresses_count);
  g_free (responses);
  return status;
}

static cli_status_t
report_published (const cli_t *cli, uint64_t version)
{
  if (cli->wait)
    {
      if (!cli->json)
        fprintf (cli->out, "version %" PRIu64 "\n", version);
      return wait_in_effect (cli, version);
    }
  return output_done (cli, json_pack ("{s:I}", "version", (json_int_t)version),
                      "version %" PRIu64, version);
}

/* Publishes TEXT in place of the current configuration.  Takes ownership of
   TEXT.  */
static cli_status_t
publish_text (const cli_t *cli, session_t *session, char *text, size_t len)
{
  config_t *base = config_ref (session->state->config);
  uint64_t base_version = state_config_version (session->state);
  g_autoptr (GError) error = NULL;
  cli_status_t status;
  verdict_t verdict;
  rec_t rec;
  bool committed;

  rec_init (&rec, REC_CONFIG, cli->author, clock_wall_ms ());
  rec.u.config.format = FLEET_FORMAT;
  rec.u.config.base_version = base_version;
  rec.u.config.text = text;
  rec.u.config.len = len;
  committed = session_commit (session, &rec, &verdict, &error);
  rec_clear (&rec);
  if (!committed)
    status = output_fail (cli, "%s", error->message);
  else if (verdict == VERDICT_STALE)
    status
        = report_lost_race (cli, base_version, base, session->state->config);
  else if (verdict != VERDICT_APPLIED)
    status = output_fail (cli, "not published: %s",
                          refusal_message (REC_CONFIG, verdict));
  else
    {
      warn_withdrawn_keys (cli, session->state);
      status = report_published (cli, base_version + 1);
    }
  config_unref (base);
  return status;
}

cli_status_t
verb_publish (const cli_t *cli)
{
  g_autoptr (GError) error = NULL;
  g_autofree char *text = NULL;
  cli_status_t status;
  session_t *session;
  fleet_t *fleet;
  size_t len = 0;

  if (cli->wait && cli->admin_addresses_count == 0)
    {
      output_fail (cli, "--wait needs --admin HOST:PORT for each daemon");
      return CLI_USAGE;
    }
  fleet = fleet_read (cli->args[0], &text, &len, &error);
  if (!fleet)
    return output_fail (cli, "%s", error->message);
  fleet_free (fleet);
  session = session_open (cli->platform, cli->base, &error);
  if (!session)
    return output_fail (cli, "%s", error->message);
  if (cli->base > 0 && cli->base != state_config_version (session->state))
    status = session->state->config
                 ? report_lost_race (cli, cli->base, session->retained_config,
                                     session->state->config)
                 : output_fail (cli, "no configuration has been published");
  else
    status = publish_text (cli, session, g_steal_pointer (&text), len);
  session_close (session);
  return status;
}

static char *
format_time (int64_t time_ms)
{
  g_autoptr (GDateTime) time = g_date_time_new_from_unix_utc (time_ms / 1000);

  return time ? g_date_time_format (time, "%Y-%m-%dT%H:%M:%SZ")
              : g_strdup ("an unknown time");
}

static void
print_daemons (const cli_t *cli, const json_t *daemons)
{
  static const char *const columns[]
      = { "address",   "daemon",  "version", "offset",
          "freshness", "problem", NULL };
  cli_t err_cli = *cli;

  err_cli.out = cli->err;
  output_table (&err_cli, daemons, columns);
}

/* Only the text goes to standard output, so that it can be edited and
   published again; everything else goes to standard error.  */
static void
print_config (const cli_t *cli, const config_t *config, json_t *daemons)
{
  g_autofree char *time = format_time (config->time_ms);

  if (cli->json)
    {
      output_json (cli,
                   json_pack ("{s:I,s:s,s:I,s:s%,s:o}", "version",
                              (json_int_t)config->version, "author",
                              config->author, "time_ms",
                              (json_int_t)config->time_ms, "text",
                              config->text, config->len, "daemons", daemons));
      return;
    }
  fprintf (cli->err, "version %" PRIu64 " by %s at %s\n", config->version,
           config->author, time);
  print_daemons (cli, daemons);
  fflush (cli->err);
  fwrite (config->text, 1, config->len, cli->out);
  json_decref (daemons);
}

static cli_status_t
show_current_config (const cli_t *cli, const session_t *session)
{
  admin_response_t *responses;

  if (!session->state->config)
    return output_fail (cli, "no configuration has been published");
  responses = g_new0 (admin_response_t, cli->admin_addresses_count);
  admin_get (cli->admin_addresses, cli->admin_addresses_count, "/config",
             responses);
  print_config (cli, session->state->config,
                admin_responses_json (responses, cli->admin_addresses_count));
  admin_clear (responses, cli->admin_addresses_count);
  g_free (responses);
  return CLI_OK;
}

cli_status_t
verb_show (const cli_t *cli)
{
  g_autoptr (GError) error = NULL;
  session_t *session = session_open (cli->platform, 0, &error);
  cli_status_t status;

  if (!session)
    return output_fail (cli, "%s", error->message);
  status = show_current_config (cli, session);
  session_close (session);
  return status;
}

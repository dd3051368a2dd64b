#include "cli.h"
#include "decide.h"
#include "output.h"
#include "report.h"
#include "session.h"
#include <inttypes.h>

static void
print_report (const cli_t *cli, const json_t *report)
{
  static const char *const pool_columns[]
      = { "pool",        "hosts",  "in_service", "draining", "drained",
          "maintenance", "failed", "budget",     "left",     NULL };
  static const char *const wave_columns[]
      = { "wave", "phase", "run", "hosts", "taken", "out", NULL };
  static const char *const team_columns[]
      = { "team", "share", "limit", "keys", "withdrawn", NULL };
  static const char *const entry_columns[]
      = { "entry_host", "data_centre", "state", NULL };
  static const struct
  {
    const char *list;
    const char *const *columns;
  } tables[] = { { "pools", pool_columns },
                 { "waves", wave_columns },
                 { "teams", team_columns },
                 { "entry_hosts", entry_columns } };

  fprintf (cli->out, "version %" PRId64 " offset %" PRId64 "\n",
           (int64_t)json_integer_value (json_object_get (report, "version")),
           (int64_t)json_integer_value (json_object_get (report, "offset")));
  for (uint32_t i = 0; i < G_N_ELEMENTS (tables); i++)
    {
      const json_t *rows = json_object_get (report, tables[i].list);

      if (json_array_size (rows) > 0)
        fputc ('\n', cli->out);
      output_table (cli, rows, tables[i].columns);
    }
}

cli_status_t
verb_status (const cli_t *cli)
{
  g_autoptr (GError) error = NULL;
  session_t *session = session_open (cli->platform, 0, &error);
  json_t *report;

  if (!session)
    return output_fail (cli, "%s", error->message);
  report = report_state (session->state);
  session_close (session);
  if (cli->json)
    {
      output_json (cli, report);
      return CLI_OK;
    }
  print_report (cli, report);
  json_decref (report);
  return CLI_OK;
}

static cli_status_t
change_wave (const cli_t *cli, session_t *session, wave_action_t action)
{
  const char *name = cli->args[1];
  const wave_state_t *wave = table_find (&session->state->waves, name);
  g_autoptr (GError) error = NULL;
  const char *refusal;
  verdict_t verdict;
  rec_t rec;

  rec_init (&rec, REC_WAVE, cli->author, clock_wall_ms ());
  refusal = wave_next_phase (wave, action, &rec.u.wave.phase);
  if (refusal)
    return output_fail (cli, "wave \"%s\": %s", name, refusal);
  g_strlcpy (rec.u.wave.wave, name, sizeof rec.u.wave.wave);
  rec.u.wave.wave_version = wave->version;
  if (!session_commit (session, &rec, &verdict, &error))
    return output_fail (cli, "%s", error->message);
  refusal = refusal_message (REC_WAVE, verdict);
  if (refusal)
    return output_fail (cli, "wave \"%s\": %s", name, refusal);
  return output_done (cli,
                      json_pack ("{s:s,s:s}", "wave", name, "phase",
                                 wave_phase_name (rec.u.wave.phase)),
                      "wave \"%s\" is %s", name,
                      wave_phase_name (rec.u.wave.phase));
}

cli_status_t
verb_wave (const cli_t *cli)
{
  g_autoptr (GError) error = NULL;
  wave_action_t action;
  cli_status_t status;
  session_t *session;

  if (!wave_action_parse (cli->args[0], &action))
    {
      output_fail (cli,
                   "expected start, pause, resume or abandon, found "
                   "\"%s\"",
                   cli->args[0]);
      return CLI_USAGE;
    }
  session = session_open (cli->platform, 0, &error);
  if (!session)
    return output_fail (cli, "%s", error->message);
  status = change_wave (cli, session, action);
  session_close (session);
  return status;
}

#include "admin.h"
#include "cli.h"
#include "output.h"
#include <inttypes.h>

/* Prints one line "NAME VALUE" for each counter.  */
static void
print_counters (const cli_t *cli, json_t *counters)
{
  const char *name;
  json_t *value;

  json_object_foreach (counters, name, value) fprintf (
      cli->out, "%s %" PRId64 "\n", name, (int64_t)json_integer_value (value));
}

static void
print_dump (const cli_t *cli, json_t *dump)
{
  json_dumpf (dump, cli->out, JSON_INDENT (2));
  fputc ('\n', cli->out);
}

/* Sets COLUMN to MILLI_FIELD, in thousandths of a host, as hosts with three
   decimals.  */
static void
set_hosts_column (json_t *row, const char *column, const char *milli_field)
{
  json_int_t milli = json_integer_value (json_object_get (row, milli_field));
  g_autofree char *text
      = g_strdup_printf ("%" PRId64 ".%03" PRId64, (int64_t)(milli / 1000),
                         (int64_t)(milli % 1000));

  json_object_set_new (row, column, json_string (text));
}

/* Returns why the daemon plans no moves, or carries out none of them; NULL
   when nothing prevents them.  */
static const char *
no_moves_reason (const json_t *plan)
{
  if (!json_is_true (json_object_get (plan, "known")))
    return "no plan was made yet: the daemon has no configuration or cannot "
           "read the platform's list of hosts";
  if (!json_is_true (json_object_get (plan, "fresh")))
    return "the daemon's view is not fresh: no moves";
  if (!json_is_true (json_object_get (plan, "move_hosts")))
    return "moves are not allowed in this daemon's settings (move_hosts)";
  return NULL;
}

static void
print_plan (const cli_t *cli, json_t *plan)
{
  static const char *const pool_columns[]
      = { "pool",   "hosts",  "in_service", "home", "in_use",
          "queued", "demand", "burst",      NULL };
  static const char *const move_columns[]
      = { "host", "from", "to", "under_way", "reason", NULL };
  const char *reason = no_moves_reason (plan);
  const char *actor = json_string_value (json_object_get (plan, "actor"));
  json_t *pools = json_object_get (plan, "pools");
  json_t *moves = json_object_get (plan, "moves");
  json_t *row;
  size_t i;

  if (reason)
    fprintf (cli->out, "%s\n", reason);
  fprintf (cli->out, "daemon that makes moves: %s\n",
           actor ? actor : "nobody");
  fprintf (
      cli->out, "the spare should hold %" PRId64 " idle hosts\n",
      (int64_t)json_integer_value (json_object_get (plan, "buffer_hosts")));
  json_array_foreach (pools, i, row)
  {
    set_hosts_column (row, "demand", "demand_milli");
    set_hosts_column (row, "burst", "burst_milli");
  }
  if (json_array_size (pools) > 0)
    fputc ('\n', cli->out);
  output_table (cli, pools, pool_columns);
  fputs (json_array_size (moves) > 0 ? "\n" : "\nno moves\n", cli->out);
  output_table (cli, moves, move_columns);
}

static cli_status_t
get_and_print (const cli_t *cli, const char *path,
               void (*print) (const cli_t *, json_t *))
{
  admin_response_t response;
  cli_status_t status = CLI_OK;

  admin_get (cli->args, 1, path, &response);
  if (!response.json)
    status = output_fail (cli, "%s: %s", response.address, response.error);
  else if (cli->json)
    output_json (cli, json_incref (response.json));
  else
    print (cli, response.json);
  admin_clear (&response, 1);
  return status;
}

cli_status_t
verb_dump (const cli_t *cli)
{
  return get_and_print (cli, "/dump", print_dump);
}

cli_status_t
verb_counters (const cli_t *cli)
{
  return get_and_print (cli, "/counters", print_counters);
}

cli_status_t
verb_plan (const cli_t *cli)
{
  return get_and_print (cli, "/plan", print_plan);
}

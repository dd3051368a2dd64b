#include "admin.h"
#include "cli.h"
#include "output.h"
#include <inttypes.h>

/* Prints counters as lines of a name and a number.  */
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

static cli_status_t
ask_one (const cli_t *cli, const char *path,
         void (*print) (const cli_t *, json_t *))
{
  admin_answer_t answer;
  cli_status_t status = CLI_OK;

  admin_ask (cli->args, 1, path, &answer);
  if (!answer.json)
    status = output_fail (cli, "%s: %s", answer.address, answer.problem);
  else if (cli->json)
    output_json (cli, json_incref (answer.json));
  else
    print (cli, answer.json);
  admin_clear (&answer, 1);
  return status;
}

cli_status_t
verb_dump (const cli_t *cli)
{
  return ask_one (cli, "/dump", print_dump);
}

cli_status_t
verb_counters (const cli_t *cli)
{
  return ask_one (cli, "/counters", print_counters);
}

/* cuminpin - the operator command; see docs/cuminpin.1  */

#include "cli.h"
#include <argtable2.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define ADMIN_ADDRESSES_MAX 64
#define ARGS_MAX 4

/* Time within which a configuration must be in effect at every daemon
   (docs/design.md, 1.6).  */
#define WAIT_DEFAULT_MS 14000

typedef struct options
{
  struct arg_str *platform;
  struct arg_str *author;
  struct arg_str *admin;
  struct arg_lit *json;
  struct arg_str *output;
  struct arg_str *queue;
  struct arg_str *workspace;
  struct arg_int *base;
  struct arg_lit *wait;
  struct arg_int *wait_ms;
  struct arg_lit *help;
  struct arg_str *positional;
  struct arg_end *end;
} options_t;

static void
print_help (void **table)
{
  uint32_t count;
  const verb_t *verbs = verb_table (&count);

  printf ("usage: cuminpin");
  arg_print_syntax (stdout, table, "\n");
  printf ("\nverbs:\n");
  for (uint32_t i = 0; i < count; i++)
    {
      g_autofree char *call
          = g_strdup_printf ("%s %s", verbs[i].name, verbs[i].synopsis);

      printf ("  %-38s %s\n", call, verbs[i].help);
    }
  printf ("\noptions:\n");
  arg_print_glossary (stdout, table, "  %-26s %s\n");
}

static bool
is_json (const options_t *o)
{
  return o->output->count > 0 && strcmp (o->output->sval[0], "json") == 0;
}

static bool
output_is_valid (const options_t *o)
{
  return o->output->count == 0 || is_json (o)
         || strcmp (o->output->sval[0], "text") == 0;
}

static int
run (const options_t *o)
{
  const char *platform = getenv ("CUMINPIN_PLATFORM");
  cli_t cli = {
    .platform = o->platform->count ? o->platform->sval[0] : platform,
    .author = o->author->count ? o->author->sval[0] : g_get_user_name (),
    .json = o->json->count > 0 || is_json (o),
    .queue = o->queue->count ? o->queue->sval[0] : NULL,
    .workspace = o->workspace->count ? o->workspace->sval[0] : NULL,
    .wait = o->wait->count > 0,
    .wait_ms = (uint32_t)o->wait_ms->ival[0],
    .base = o->base->count ? (uint64_t)o->base->ival[0] : 0,
    .admin_addresses = o->admin->sval,
    .admin_addresses_count = (uint32_t)o->admin->count,
    .args = o->positional->sval + 1,
    .args_count = (uint32_t)o->positional->count - 1,
    .in = stdin,
    .out = stdout,
    .err = stderr,
  };

  return verb_run (o->positional->sval[0], &cli);
}

int
main (int argc, char **argv)
{
  options_t o = {
    .platform = arg_str0 (NULL, "platform", "URL",
                          "base URL of the platform's services"),
    .author = arg_str0 (NULL, "author", "NAME", "author written into records"),
    .admin = arg_strn (NULL, "admin", "HOST:PORT", 0, ADMIN_ADDRESSES_MAX,
                       "admin address of a daemon; may be repeated"),
    .json = arg_lit0 (NULL, "json", "print JSON"),
    .output = arg_str0 (NULL, "output", "text|json", "form of the output"),
    .queue
    = arg_str0 (NULL, "queue", "NAME", "explain: queue of the job file"),
    .workspace = arg_str0 (NULL, "workspace", "NAME",
                           "explain: workspace of the job file"),
    .base = arg_int0 (NULL, "base", "N",
                      "publish: version the file was edited from"),
    .wait = arg_lit0 (NULL, "wait", "publish: wait until it is in effect"),
    .wait_ms = arg_int0 (NULL, "wait-ms", "MS", "publish: limit of the wait"),
    .help = arg_lit0 ("h", "help", "print this text"),
    .positional
    = arg_strn (NULL, NULL, "VERB", 0, ARGS_MAX, "verb and arguments"),
    .end = arg_end (8),
  };
  void *table[] = { o.platform, o.author,     o.admin, o.json, o.output,
                    o.queue,    o.workspace,  o.base,  o.wait, o.wait_ms,
                    o.help,     o.positional, o.end };
  int errors;
  int status = CLI_USAGE;

  if (arg_nullcheck (table) || sodium_init () < 0)
    return CLI_REFUSED;
  o.wait_ms->ival[0] = WAIT_DEFAULT_MS;
  errors = arg_parse (argc, argv, table);
  if (o.help->count > 0)
    {
      print_help (table);
      status = CLI_OK;
    }
  else if (errors > 0)
    arg_print_errors (stderr, o.end, "cuminpin");
  else if (o.positional->count == 0 || !output_is_valid (&o)
           || o.wait_ms->ival[0] < 0
           || (o.base->count > 0 && o.base->ival[0] <= 0))
    fprintf (stderr, "cuminpin: invalid arguments; see cuminpin --help\n");
  else
    status = run (&o);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}

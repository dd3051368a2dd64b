#include "cli.h"
#include <string.h>

static const verb_t verbs[] = {
  { "check", "FILE", "check a fleet file", 1, 1, false, verb_check },
  { "publish", "FILE", "publish a fleet file as the configuration", 1, 1, true,
    verb_publish },
  { "show", "", "print the configuration", 0, 0, true, verb_show },
  { "grant", "TEAM KEYID", "create a key for a team; it is printed only once",
    2, 2, true, verb_grant },
  { "withdraw", "KEYID", "withdraw a key permanently", 1, 1, true,
    verb_withdraw },
  { "digest", "", "print the digest of the key on standard input", 0, 0, false,
    verb_digest },
  { "status", "", "print pools, waves, teams and entry hosts", 0, 0, true,
    verb_status },
  { "wave", "start|pause|resume|abandon NAME", "control a maintenance wave", 2,
    2, true, verb_wave },
  { "dump", "HOST:PORT", "print the state of a daemon", 1, 1, false,
    verb_dump },
  { "counters", "HOST:PORT", "print the counters of a daemon", 1, 1, false,
    verb_counters },
  { "plan", "HOST:PORT", "print the host moves that a daemon plans", 1, 1,
    false, verb_plan },
  { "explain", "HOST:PORT ID|FILE", "explain where a job would be placed now",
    2, 2, false, verb_explain },
};

const verb_t *
verb_table (uint32_t *count)
{
  *count = G_N_ELEMENTS (verbs);
  return verbs;
}

cli_status_t
verb_run (const char *name, const cli_t *cli)
{
  for (uint32_t i = 0; i < G_N_ELEMENTS (verbs); i++)
    {
      const verb_t *verb = &verbs[i];

      if (strcmp (verb->name, name) != 0)
        continue;
      if (cli->args_count < verb->args_min || cli->args_count > verb->args_max)
        {
          fprintf (cli->err, "usage: cuminpin %s %s\n", verb->name,
                   verb->synopsis);
          return CLI_USAGE;
        }
      if (verb->uses_platform && !cli->platform)
        {
          fprintf (cli->err,
                   "cuminpin: %s needs --platform URL or "
                   "CUMINPIN_PLATFORM\n",
                   verb->name);
          return CLI_USAGE;
        }
      return verb->run (cli);
    }
  fprintf (cli->err, "cuminpin: unknown verb \"%s\"; see cuminpin --help\n",
           name);
  return CLI_USAGE;
}

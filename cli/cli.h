/* cli - the operator command cuminpin

   NAME
     verbs, config, keys, fleetverbs, daemons, explainverb; explain, session,
   decide, report, textdiff, admin, output

   DESCRIPTION
     A verb rebuilds the state shared by all daemons by folding the platform's
     log, checks the request against it, appends at most one conditional
     record, and reads the log back for the verdict on that record.  An append
     whose response is lost is retried with the same record id, so it takes
     effect at most once.

     Steps of a verb: arguments -> state -> decision -> record -> verdict ->
     output.  All input comes from cli_t; only main reads the environment.

   EXIT STATUS
     0 success; 1 refused or failed; 2 invalid usage.  The verb explain: 0 the
     job would be placed; 1 it would wait or be refused; 2 no answer, or
   invalid input.  */

#ifndef CUMINPIN_CLI_H
#define CUMINPIN_CLI_H

#include "base.h"
#include <stdio.h>

typedef enum cli_status
{
  CLI_OK = 0,
  CLI_REFUSED = 1,
  CLI_USAGE = 2
} cli_status_t;

/* One invocation of the command.  */
typedef struct cli
{
  const char *platform; /* URL, or NULL */
  const char *author;   /* author written into records */
  bool json;            /* print JSON */
  bool wait;         /* publish: wait until all daemons report the version */
  uint32_t wait_ms;  /* limit of that wait */
  uint64_t base;     /* publish: expected current version; 0: any */
  const char *queue; /* explain: of the job file; NULL: not given */
  const char *workspace;        /* explain: the same */
  const char **admin_addresses; /* HOST:PORT of the daemons' admin servers */
  uint32_t admin_addresses_count;
  const char **args; /* without the verb */
  uint32_t args_count;
  FILE *in;
  FILE *out;
  FILE *err;
} cli_t;

typedef struct verb
{
  const char *name;
  const char *synopsis; /* shown in the usage text */
  const char *help;
  uint32_t args_min;
  uint32_t args_max;
  bool uses_platform;
  cli_status_t (*run) (const cli_t *cli);
} verb_t;

/* verb_table - returns all verbs in the order of the usage text; *COUNT
   receives their number.  */
const verb_t *verb_table (uint32_t *count);

/* verb_run - runs the verb NAME; reports an unknown verb or a wrong number of
   arguments on CLI's error stream.  */
cli_status_t verb_run (const char *name, const cli_t *cli);

cli_status_t verb_check (const cli_t *cli);
cli_status_t verb_publish (const cli_t *cli);
cli_status_t verb_show (const cli_t *cli);
cli_status_t verb_grant (const cli_t *cli);
cli_status_t verb_withdraw (const cli_t *cli);
cli_status_t verb_digest (const cli_t *cli);
cli_status_t verb_status (const cli_t *cli);
cli_status_t verb_wave (const cli_t *cli);
cli_status_t verb_dump (const cli_t *cli);
cli_status_t verb_counters (const cli_t *cli);
cli_status_t verb_plan (const cli_t *cli);
cli_status_t verb_explain (const cli_t *cli);

#endif

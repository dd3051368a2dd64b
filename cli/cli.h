/* cli - the operators' command cuminpin

   NAME
     verbs, config, keys, fleetverbs, daemons; session, decide, report,
     textdiff, admin, output

   DESCRIPTION
     A verb reads the state that all daemons share by folding the platform's
     log, decides, appends at most one conditional record, and reads the log
     back to learn the record's verdict.  An append without an answer is
     repeated under the same record id, so it takes effect once.

     Path of a verb: arguments -> state -> decision -> record -> verdict ->
     output.  Verbs take all they use from cli_t; only main reads the
     environment.

   EXIT STATUS
     0 done; 1 refused or failed; 2 wrong usage.  */

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

/* One call of the command.  */
typedef struct cli
{
  const char *platform; /* URL, or NULL */
  const char *author;   /* stands in records */
  bool json;            /* output for scripts */
  bool wait;            /* publish: until all daemons report the version */
  uint32_t wait_ms;     /* longest such wait */
  uint64_t base;        /* publish: version the file was made from; 0: any */
  const char **admin_addresses; /* HOST:PORT of daemons */
  uint32_t admin_addresses_count;
  const char **args; /* after the verb */
  uint32_t args_count;
  FILE *in;
  FILE *out;
  FILE *err;
} cli_t;

typedef struct verb
{
  const char *name;
  const char *synopsis; /* arguments */
  const char *help;     /* one line */
  uint32_t args_min;
  uint32_t args_max;
  bool uses_platform;
  cli_status_t (*run) (const cli_t *cli);
} verb_t;

/* verb_table - all verbs, in the order of the usage text; *COUNT of them.  */
const verb_t *verb_table (uint32_t *count);

/* verb_run - run the verb NAME on CLI; reports wrong usage.  */
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

#endif

/* explain - what the verb explain makes of a daemon's answer

   NAME
     explain_path, explain_exit_status, explain_print

   DESCRIPTION
     The answer is a JSON object; docs/design/explain.md lists its fields.
     These functions make no calls.  */

#ifndef CUMINPIN_CLI_EXPLAIN_H
#define CUMINPIN_CLI_EXPLAIN_H

#include "cli.h"
#include <jansson.h>

/* explain_path - path and arguments of the request; ID, QUEUE and WORKSPACE
   may be NULL.  The caller frees it.  */
char *explain_path (const char *id, const char *queue, const char *workspace);

/* explain_exit_status - exit status for an answer with the HTTP status
   STATUS: CLI_OK if the job would be placed now or is complete, CLI_REFUSED if
   it would wait or be refused, or ended otherwise, CLI_USAGE if there is no
   explanation.  */
cli_status_t explain_exit_status (long status, const json_t *answer);

/* explain_print - print ANSWER, which is an explanation, as text.  */
void explain_print (FILE *out, const json_t *answer);

/* explain_error - why STATUS and ANSWER, which may be NULL, are no
   explanation; the caller frees it.  */
char *explain_error (long status, const json_t *answer);

#endif

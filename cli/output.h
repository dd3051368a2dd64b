/* output - output of the verbs: text, or JSON for scripts

   Private to the package.  */

#ifndef CUMINPIN_OUTPUT_H
#define CUMINPIN_OUTPUT_H

#include "cli.h"
#include <jansson.h>

/* output_json - prints JSON on one line and releases it.  */
void output_json (const cli_t *cli, json_t *json);

/* output_fail - prints an error message; always returns CLI_REFUSED.  */
cli_status_t output_fail (const cli_t *cli, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

/* output_done - prints the formatted text, or JSON if CLI asks for it.
   Releases JSON; always returns CLI_OK.  */
cli_status_t output_done (const cli_t *cli, json_t *json, const char *format,
                          ...) G_GNUC_PRINTF (3, 4);

/* output_table - prints the array ROWS of objects as a table.  COLUMNS lists
   the fields to print, terminated by NULL; headings are in upper case.  Prints
   nothing if ROWS is empty.  */
void output_table (const cli_t *cli, const json_t *rows,
                   const char *const *columns);

#endif

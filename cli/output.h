/* output - what verbs print: text for people or JSON for scripts

   Private to the package.  */

#ifndef CUMINPIN_OUTPUT_H
#define CUMINPIN_OUTPUT_H

#include "cli.h"
#include <jansson.h>

/* output_json - print JSON on one line and release it.  */
void output_json (const cli_t *cli, json_t *json);

/* output_fail - report a failure; always CLI_REFUSED.  */
cli_status_t output_fail (const cli_t *cli, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

/* output_done - report success with TEXT for people, or JSON, which is
   released; always CLI_OK.  */
cli_status_t output_done (const cli_t *cli, json_t *json, const char *format,
                          ...) G_GNUC_PRINTF (3, 4);

/* output_table - print the array ROWS of objects as a table with their
   COLUMNS, a list that ends with NULL, under headings in upper case.  Prints
   nothing when there are no rows.  */
void output_table (const cli_t *cli, const json_t *rows,
                   const char *const *columns);

#endif

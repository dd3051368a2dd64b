#include "output.h"
#include <inttypes.h>
#include <string.h>

void
output_json (const cli_t *cli, json_t *json)
{
  json_dumpf (json, cli->out, JSON_COMPACT);
  fputc ('\n', cli->out);
  json_decref (json);
}

cli_status_t
output_fail (const cli_t *cli, const char *format, ...)
{
  g_autofree char *text = NULL;
  va_list args;

  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  if (cli->json)
    output_json (cli, json_pack ("{s:s}", "error", text));
  else
    fprintf (cli->err, "cuminpin: %s\n", text);
  return CLI_REFUSED;
}

cli_status_t
output_done (const cli_t *cli, json_t *json, const char *format, ...)
{
  va_list args;

  if (cli->json)
    {
      output_json (cli, json);
      return CLI_OK;
    }
  json_decref (json);
  va_start (args, format);
  vfprintf (cli->out, format, args);
  va_end (args);
  fputc ('\n', cli->out);
  return CLI_OK;
}

static char *
format_cell (const json_t *value)
{
  if (json_is_string (value))
    return g_strdup (json_string_value (value));
  if (json_is_integer (value))
    return g_strdup_printf ("%" PRId64, (int64_t)json_integer_value (value));
  if (json_is_boolean (value))
    return g_strdup (json_is_true (value) ? "yes" : "no");
  return g_strdup ("-");
}

static char *
format_heading (const char *column)
{
  char *heading = g_ascii_strup (column, -1);

  return g_strdelimit (heading, "_", '-');
}

static int
column_width (const json_t *rows, const char *column)
{
  size_t width = strlen (column);
  const json_t *row;
  size_t i;

  json_array_foreach (rows, i, row)
  {
    g_autofree char *cell = format_cell (json_object_get (row, column));

    width = MAX (width, strlen (cell));
  }
  return (int)width;
}

/* The last column is not padded, to avoid trailing spaces.  */
static void
print_cell (const cli_t *cli, const char *text, int width, bool last)
{
  if (last)
    fprintf (cli->out, "%s\n", text);
  else
    fprintf (cli->out, "%-*s  ", width, text);
}

void
output_table (const cli_t *cli, const json_t *rows, const char *const *columns)
{
  const json_t *row;
  size_t i;

  if (json_array_size (rows) == 0)
    return;
  for (uint32_t c = 0; columns[c]; c++)
    {
      g_autofree char *heading = format_heading (columns[c]);

      print_cell (cli, heading, column_width (rows, columns[c]),
                  !columns[c + 1]);
    }
  json_array_foreach (rows, i, row)
  {
    for (uint32_t c = 0; columns[c]; c++)
      {
        g_autofree char *cell
            = format_cell (json_object_get (row, columns[c]));

        print_cell (cli, cell, column_width (rows, columns[c]),
                    !columns[c + 1]);
      }
  }
}

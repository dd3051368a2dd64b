/* Guards against events that are missing from docs/events.md and against
   entries there that the code doesn't have.  */

#include "../../test/run_suite.h"
#include "base.h"
#include <string.h>

static char *
read_catalogue (void)
{
  char *text = NULL;

  ck_assert (g_file_get_contents ("docs/events.md", &text, NULL, NULL));
  return text;
}

START_TEST (every_event_is_in_the_catalogue)
{
  static const char *const levels[] = { "debug", "info", "warn", "error" };
  g_autofree char *text = read_catalogue ();
  size_t count;
  const event_row_t *rows = event_table (&count);

  for (size_t i = 0; i < count; i++)
    {
      g_autofree char *row
          = g_strdup_printf ("| %d | %s | %s |", (int)rows[i].id,
                             levels[rows[i].level], rows[i].name);

      ck_assert_msg (strstr (text, row) != NULL, "docs/events.md lacks: %s",
                     row);
    }
}
END_TEST

START_TEST (every_catalogue_row_is_an_event)
{
  g_autofree char *text = read_catalogue ();
  size_t count;
  size_t listed = 0;

  event_table (&count);
  for (char *line = strtok (text, "\n"); line; line = strtok (NULL, "\n"))
    if (g_str_has_prefix (line, "| 1"))
      listed++;
  ck_assert_uint_eq (listed, count);
}
END_TEST

START_TEST (numbers_rise_and_names_differ)
{
  size_t count;
  const event_row_t *rows = event_table (&count);

  for (size_t i = 1; i < count; i++)
    {
      ck_assert_int_gt (rows[i].id, rows[i - 1].id);
      for (size_t j = 0; j < i; j++)
        ck_assert_str_ne (rows[i].name, rows[j].name);
    }
}
END_TEST

TEST_PROGRAM ("event", every_event_is_in_the_catalogue,
              every_catalogue_row_is_an_event, numbers_rise_and_names_differ)

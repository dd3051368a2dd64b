/* Guards against errors with the line of the list or of the entry instead of
   the line of the field.  */

#include "../../test/run_suite.h"
#include "yamlload.h"
#include <string.h>

static const char text[] = "# comment\n"
                           "\n"
                           "top: 1\n"
                           "list:\n"
                           "  - {a: 1, b: 2}\n"
                           "  # comment\n"
                           "  - a: 1\n"
                           "    b:\n"
                           "      2\n"
                           "  - {a: 1,\n"
                           "     b: 2}\n";

START_TEST (line_is_that_of_the_innermost_existing_part)
{
  static const struct
  {
    const char *list;
    uint32_t index;
    const char *field;
    uint32_t line;
  } rows[] = {
    { "top", 0, NULL, 3 },  { "list", 0, "b", 5 },    { "list", 1, "a", 7 },
    { "list", 1, "b", 9 },  { "list", 2, "a", 10 },   { "list", 2, "b", 11 },
    { "list", 2, "c", 10 }, { "list", 1, NULL, 7 },   { "list", 3, "a", 5 },
    { "none", 0, NULL, 1 }, { "top", 4, "field", 3 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    ck_assert_msg (yaml_line (text, strlen (text), rows[i].list, rows[i].index,
                              rows[i].field)
                       == rows[i].line,
                   "%s[%u].%s", rows[i].list, rows[i].index,
                   rows[i].field ? rows[i].field : "");
  ck_assert_uint_eq (yaml_line ("a: [", 4, "a", 0, NULL), 1);
}
END_TEST

START_TEST (control_characters_are_masked)
{
  char line[] = "a\nb\tc\x7f\xc3\xa9";

  ck_assert_str_eq (yaml_mask_controls (line), "a?b?c?\xc3\xa9");
}
END_TEST

TEST_PROGRAM ("yamlload", line_is_that_of_the_innermost_existing_part,
              control_characters_are_masked)

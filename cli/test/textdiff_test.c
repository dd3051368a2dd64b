/* Guards against lost races that are reported without the other operator's
   changes.  */

#include "../../test/run_suite.h"
#include "textdiff.h"

static const struct
{
  const char *old;
  const char *new;
  const char *changes;
} cases[] = {
  { "a\nb\n", "a\nb\n", "" },
  { "a\nb\nc\n", "a\nB\nc\n", "-2b+2B" },
  { "a\nb\nc\nd\n", "a\nc\nd\ne\n", "-2b+4e" },
  { "", "a\n", "+1a" },
  { "a\nx\nb\ny\nc", "a\nb\nc", "-2x-4y" },
  { "a\na\na\n", "a\na\n", "-3a" },
};

static char *
show (const char *old, const char *new)
{
  g_autoptr (GArray) changes = text_diff (old, new);
  GString *text = g_string_new (NULL);

  for (guint i = 0; i < changes->len; i++)
    {
      const line_change_t *c = &g_array_index (changes, line_change_t, i);

      g_string_append_printf (text, "%c%u%s", c->added ? '+' : '-', c->line,
                              c->text);
    }
  return g_string_free (text, FALSE);
}

START_TEST (changes_are_the_shortest)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *shown = show (cases[i].old, cases[i].new);

      ck_assert_str_eq (shown, cases[i].changes);
    }
}
END_TEST

START_TEST (very_large_changes_are_still_complete)
{
  GString *old = g_string_new (NULL);
  GString *new = g_string_new (NULL);
  g_autoptr (GArray) changes = NULL;

  for (int i = 0; i < 3000; i++)
    {
      g_string_append_printf (old, "o%d\n", i);
      g_string_append_printf (new, "n%d\n", i);
    }
  changes = text_diff (old->str, new->str);
  ck_assert_uint_eq (changes->len, 6000);
  g_string_free (old, TRUE);
  g_string_free (new, TRUE);
}
END_TEST

TEST_PROGRAM ("textdiff", changes_are_the_shortest,
              very_large_changes_are_still_complete)

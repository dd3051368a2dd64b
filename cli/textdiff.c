#include "textdiff.h"
#include <string.h>

/* Most cells in the table of the longest common subsequence: 16 MiB.  */
#define LCS_CELLS_MAX (4 * 1024 * 1024)

/* The parts of two texts between their common prefix and suffix.  */
typedef struct middle
{
  char **old;
  char **new;
  uint32_t old_count;
  uint32_t new_count;
  uint32_t prefix; /* lines in the common prefix */
} middle_t;

static void
clear_change (gpointer change)
{
  g_free (((line_change_t *)change)->text);
}

static void
add_change (GArray *changes, const middle_t *m, bool added, uint32_t index)
{
  line_change_t change = { added, m->prefix + index + 1,
                           g_strdup (added ? m->new[index] : m->old[index]) };

  g_array_append_val (changes, change);
}

static middle_t
find_middle (char **old, char **new)
{
  uint32_t old_count = g_strv_length (old);
  uint32_t new_count = g_strv_length (new);
  uint32_t prefix = 0;

  while (prefix < old_count && prefix < new_count
         && strcmp (old[prefix], new[prefix]) == 0)
    prefix++;
  while (old_count > prefix && new_count > prefix
         && strcmp (old[old_count - 1], new[new_count - 1]) == 0)
    {
      old_count--;
      new_count--;
    }
  return (middle_t){ old + prefix, new + prefix, old_count - prefix,
                     new_count - prefix, prefix };
}

/* lcs[i * WIDTH + j]: length of the longest common subsequence of the old
   lines from I on and the new lines from J on.  */
static uint32_t *
lcs_table (const middle_t *m, size_t width)
{
  uint32_t *lcs = g_new0 (uint32_t, (m->old_count + (gsize)1) * width);

  for (uint32_t i = m->old_count; i-- > 0;)
    for (uint32_t j = m->new_count; j-- > 0;)
      {
        uint32_t *cell = &lcs[i * width + j];

        if (strcmp (m->old[i], m->new[j]) == 0)
          *cell = cell[width + 1] + 1;
        else
          *cell = MAX (cell[width], cell[1]);
      }
  return lcs;
}

static void
add_lcs_changes (GArray *changes, const middle_t *m)
{
  size_t width = m->new_count + (size_t)1;
  uint32_t *lcs = lcs_table (m, width);
  uint32_t i = 0;
  uint32_t j = 0;

  while (i < m->old_count || j < m->new_count)
    {
      const uint32_t *cell = &lcs[i * width + j];

      if (i < m->old_count && j < m->new_count
          && strcmp (m->old[i], m->new[j]) == 0)
        {
          i++;
          j++;
        }
      else if (j == m->new_count
               || (i < m->old_count && cell[width] >= cell[1]))
        add_change (changes, m, false, i++);
      else
        add_change (changes, m, true, j++);
    }
  g_free (lcs);
}

/* Splits TEXT into lines; a final newline does not start another line.  */
static char **
split_lines (const char *text)
{
  char **lines = g_strsplit (text, "\n", -1);
  guint count = g_strv_length (lines);

  if (count > 0 && !lines[count - 1][0])
    g_clear_pointer (&lines[count - 1], g_free);
  return lines;
}

GArray *
text_diff (const char *old, const char *new)
{
  GArray *changes = g_array_new (FALSE, FALSE, sizeof (line_change_t));
  g_auto (GStrv) old_lines = split_lines (old);
  g_auto (GStrv) new_lines = split_lines (new);
  middle_t m = find_middle (old_lines, new_lines);

  g_array_set_clear_func (changes, clear_change);
  if ((m.old_count + (uint64_t)1) * (m.new_count + (uint64_t)1)
      <= LCS_CELLS_MAX)
    {
      add_lcs_changes (changes, &m);
      return changes;
    }
  for (uint32_t i = 0; i < m.old_count; i++)
    add_change (changes, &m, false, i);
  for (uint32_t j = 0; j < m.new_count; j++)
    add_change (changes, &m, true, j);
  return changes;
}

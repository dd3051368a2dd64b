#include "state.h"
#include <string.h>

#define CAPACITY_MIN 16

void
table_init (table_t *table, uint32_t entry_bytes)
{
  memset (table, 0, sizeof *table);
  table->entry_bytes = entry_bytes;
}

void
table_clear (table_t *table)
{
  g_free (table->entries);
  table_init (table, table->entry_bytes);
}

void
table_copy (table_t *to, const table_t *from)
{
  *to = *from;
  to->capacity = from->count;
  to->entries
      = g_memdup2 (from->entries, (gsize)from->count * from->entry_bytes);
}

void *
table_at (const table_t *table, uint32_t index)
{
  return table->entries + (size_t)index * table->entry_bytes;
}

static const char *
name_at (const table_t *table, uint32_t index)
{
  const char *name;

  memcpy (&name, table_at (table, index), sizeof name);
  return name;
}

/* Returns the index of NAME, or of the first entry after it.  */
static uint32_t
lower_bound (const table_t *table, const char *name)
{
  uint32_t low = 0;
  uint32_t high = table->count;

  while (low < high)
    {
      uint32_t mid = low + (high - low) / 2;

      if (strcmp (name_at (table, mid), name) < 0)
        low = mid + 1;
      else
        high = mid;
    }
  return low;
}

void *
table_find (const table_t *table, const char *name)
{
  uint32_t index = lower_bound (table, name);

  if (index < table->count && strcmp (name_at (table, index), name) == 0)
    return table_at (table, index);
  return NULL;
}

void *
table_add (table_t *table, const char *name)
{
  uint32_t index = lower_bound (table, name);
  uint8_t *entry;
  const char *interned_name;

  if (index < table->count && strcmp (name_at (table, index), name) == 0)
    return table_at (table, index);
  if (table->count == table->capacity)
    {
      table->capacity = MAX (CAPACITY_MIN, table->capacity * 2);
      table->entries
          = g_realloc_n (table->entries, table->capacity, table->entry_bytes);
    }
  entry = table_at (table, index);
  memmove (entry + table->entry_bytes, entry,
           (size_t)(table->count - index) * table->entry_bytes);
  memset (entry, 0, table->entry_bytes);
  interned_name = g_intern_string (name);
  memcpy (entry, &interned_name, sizeof interned_name);
  table->count++;
  return entry;
}

void
table_remove (table_t *table, const char *name)
{
  uint8_t *entry = table_find (table, name);
  uint8_t *end = table_at (table, table->count);

  if (!entry)
    return;
  memmove (entry, entry + table->entry_bytes,
           (size_t)(end - entry) - table->entry_bytes);
  table->count--;
}

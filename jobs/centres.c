#include "centres.h"

centres_t *
centres_new (void)
{
  centres_t *centres = g_new0 (centres_t, 1);

  centres->rows = g_array_new (FALSE, TRUE, sizeof (centre_t));
  return centres;
}

void
centres_free (centres_t *centres)
{
  if (!centres)
    return;
  g_array_free (centres->rows, TRUE);
  g_free (centres);
}

static centre_t *
find (const centres_t *centres, const char *name)
{
  const char *interned = g_intern_string (name);

  for (uint32_t i = 0; i < centres->rows->len; i++)
    {
      centre_t *row = &g_array_index (centres->rows, centre_t, i);

      if (row->name == interned)
        return row;
    }
  return NULL;
}

const centre_t *
centres_find (const centres_t *centres, const char *name)
{
  return name ? find (centres, name) : NULL;
}

bool
centres_evacuate (centres_t *centres, const char *name, int64_t now_us)
{
  centre_t *row = find (centres, name);
  centre_t added = { .name = g_intern_string (name),
                     .state = CENTRE_EVACUATED,
                     .since_us = now_us,
                     .listed = true };

  if (!row)
    {
      g_array_append_val (centres->rows, added);
      return true;
    }
  row->listed = true;
  if (row->state == CENTRE_EVACUATED)
    return false;
  *row = added;
  return true;
}

bool
centres_take_back (centres_t *centres, const char *name, int64_t now_us)
{
  centre_t *row = find (centres, name);

  if (!row)
    return false;
  row->listed = false;
  if (row->state == CENTRE_TAKEN_BACK)
    return false;
  row->state = CENTRE_TAKEN_BACK;
  row->since_us = now_us;
  return true;
}

void
centres_begin_listing (centres_t *centres)
{
  for (uint32_t i = 0; i < centres->rows->len; i++)
    g_array_index (centres->rows, centre_t, i).listed = false;
}

const char *
centres_next_missing (centres_t *centres, int64_t now_us)
{
  for (uint32_t i = 0; i < centres->rows->len; i++)
    {
      const centre_t *row = &g_array_index (centres->rows, centre_t, i);

      if (row->state != CENTRE_EVACUATED || row->listed)
        continue;
      centres_take_back (centres, row->name, now_us);
      return row->name;
    }
  return NULL;
}

void
centres_expire (centres_t *centres, int64_t now_us)
{
  for (uint32_t i = centres->rows->len; i-- > 0;)
    {
      const centre_t *row = &g_array_index (centres->rows, centre_t, i);

      if (row->state == CENTRE_TAKEN_BACK
          && now_us - row->since_us >= CENTRES_KEPT_US)
        g_array_remove_index (centres->rows, i);
    }
}

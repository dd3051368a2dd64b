#include "capacity_index.h"
#include <glib.h>

static const amounts_t nothing = { -1, -1, -1 };

bool
amounts_cover (const amounts_t *have, const amounts_t *need)
{
  return have->cpu_milli >= need->cpu_milli && have->mem_mib >= need->mem_mib
         && have->accels >= need->accels;
}

void
amounts_add (amounts_t *to, const amounts_t *more)
{
  to->cpu_milli += more->cpu_milli;
  to->mem_mib += more->mem_mib;
  to->accels += more->accels;
}

void
amounts_subtract (amounts_t *from, const amounts_t *less)
{
  from->cpu_milli -= less->cpu_milli;
  from->mem_mib -= less->mem_mib;
  from->accels -= less->accels;
}

void
capacity_index_reset (capacity_index_t *fit, uint32_t count)
{
  capacity_index_clear (fit);
  fit->leaves = 1;
  while (fit->leaves < count)
    fit->leaves *= 2;
  fit->nodes = g_new (amounts_t, 2 * (size_t)fit->leaves);
  for (uint32_t i = 0; i < 2 * fit->leaves; i++)
    fit->nodes[i] = nothing;
}

void
capacity_index_clear (capacity_index_t *fit)
{
  g_free (fit->nodes);
  fit->nodes = NULL;
  fit->leaves = 0;
}

void
capacity_index_set (capacity_index_t *fit, uint32_t index,
                    const amounts_t *amounts)
{
  uint32_t at = fit->leaves + index;

  fit->nodes[at] = *amounts;
  for (at /= 2; at > 0; at /= 2)
    {
      const amounts_t *l = &fit->nodes[2 * at];
      const amounts_t *r = &fit->nodes[2 * at + 1];

      fit->nodes[at] = (amounts_t){
        .cpu_milli = MAX (l->cpu_milli, r->cpu_milli),
        .mem_mib = MAX (l->mem_mib, r->mem_mib),
        .accels = MAX (l->accels, r->accels),
      };
    }
}

static bool
is_skipped (uint32_t index, const uint32_t *skip, uint32_t skip_count)
{
  for (uint32_t i = 0; i < skip_count; i++)
    if (skip[i] == index)
      return true;
  return false;
}

static uint32_t
find_below (const capacity_index_t *fit, uint32_t at, const amounts_t *need,
            const uint32_t *skip, uint32_t skip_count)
{
  uint32_t found;

  if (!amounts_cover (&fit->nodes[at], need))
    return CAPACITY_INDEX_NONE;
  if (at >= fit->leaves)
    return is_skipped (at - fit->leaves, skip, skip_count)
               ? CAPACITY_INDEX_NONE
               : at - fit->leaves;
  found = find_below (fit, 2 * at, need, skip, skip_count);
  if (found != CAPACITY_INDEX_NONE)
    return found;
  return find_below (fit, 2 * at + 1, need, skip, skip_count);
}

uint32_t
capacity_index_find (const capacity_index_t *fit, const amounts_t *need,
                     const uint32_t *skip, uint32_t skip_count)
{
  return fit->leaves ? find_below (fit, 1, need, skip, skip_count)
                     : CAPACITY_INDEX_NONE;
}

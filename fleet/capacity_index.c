#include "capacity_index.h"
#include <glib.h>

static const amounts_t no_capacity = { -1, -1, -1 };

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
capacity_index_reset (capacity_index_t *tree, uint32_t count)
{
  capacity_index_clear (tree);
  tree->leaves = 1;
  while (tree->leaves < count)
    tree->leaves *= 2;
  tree->nodes = g_new (amounts_t, 2 * (size_t)tree->leaves);
  for (uint32_t i = 0; i < 2 * tree->leaves; i++)
    tree->nodes[i] = no_capacity;
}

void
capacity_index_clear (capacity_index_t *tree)
{
  g_free (tree->nodes);
  tree->nodes = NULL;
  tree->leaves = 0;
}

void
capacity_index_set (capacity_index_t *tree, uint32_t index,
                    const amounts_t *amounts)
{
  uint32_t node = tree->leaves + index;

  tree->nodes[node] = *amounts;
  for (node /= 2; node > 0; node /= 2)
    {
      const amounts_t *left = &tree->nodes[2 * node];
      const amounts_t *right = &tree->nodes[2 * node + 1];

      tree->nodes[node] = (amounts_t){
        .cpu_milli = MAX (left->cpu_milli, right->cpu_milli),
        .mem_mib = MAX (left->mem_mib, right->mem_mib),
        .accels = MAX (left->accels, right->accels),
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
find_in_subtree (const capacity_index_t *tree, uint32_t node,
                 const amounts_t *need, const uint32_t *skip,
                 uint32_t skip_count)
{
  uint32_t found;

  if (!amounts_cover (&tree->nodes[node], need))
    return CAPACITY_INDEX_NONE;
  if (node >= tree->leaves)
    return is_skipped (node - tree->leaves, skip, skip_count)
               ? CAPACITY_INDEX_NONE
               : node - tree->leaves;
  found = find_in_subtree (tree, 2 * node, need, skip, skip_count);
  if (found != CAPACITY_INDEX_NONE)
    return found;
  return find_in_subtree (tree, 2 * node + 1, need, skip, skip_count);
}

uint32_t
capacity_index_find (const capacity_index_t *tree, const amounts_t *need,
                     const uint32_t *skip, uint32_t skip_count)
{
  return tree->leaves ? find_in_subtree (tree, 1, need, skip, skip_count)
                      : CAPACITY_INDEX_NONE;
}

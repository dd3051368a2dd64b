#include "fleet.h"
#include <stdlib.h>
#include <string.h>

#define MILLI 1000

static uint32_t
largest_rack (const state_t *state)
{
  g_autoptr (GHashTable) racks = g_hash_table_new (NULL, NULL);
  uint32_t largest = 0;

  for (uint32_t i = 0; i < state->hosts.count; i++)
    {
      const host_state_t *host = table_at (&state->hosts, i);
      uint32_t n
          = GPOINTER_TO_UINT (g_hash_table_lookup (racks, host->rack)) + 1;

      g_hash_table_insert (racks, (gpointer)host->rack, GUINT_TO_POINTER (n));
      largest = MAX (largest, n);
    }
  return largest;
}

static int
compare_descending (const void *a, const void *b)
{
  uint32_t left;
  uint32_t right;

  memcpy (&left, a, sizeof left);
  memcpy (&right, b, sizeof right);
  return left < right ? 1 : left > right ? -1 : 0;
}

uint32_t
plan_buffer_hosts (const state_t *state, const pool_demand_t *demands,
                   uint32_t count, uint32_t at_once)
{
  g_autofree uint32_t *bursts = g_new0 (uint32_t, count + 1);
  uint64_t burst_milli = 0;

  for (uint32_t i = 0; i < count; i++)
    bursts[i] = demands[i].burst_milli;
  qsort (bursts, count, sizeof *bursts, compare_descending);
  for (uint32_t i = 0; i < MIN (count, at_once); i++)
    burst_milli += bursts[i];
  return largest_rack (state) + (uint32_t)((burst_milli + MILLI - 1) / MILLI);
}

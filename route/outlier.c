#include "route.h"

static gint
compare_latencies (gconstpointer a, gconstpointer b)
{
  const uint32_t *left = a;
  const uint32_t *right = b;

  return (*left > *right) - (*left < *right);
}

/* Returns the lower median of the known latencies; 0 if fewer than
   OUTLIER_SAMPLES_MIN are known.  */
static uint32_t
median (const uint32_t *latencies_us, uint32_t count)
{
  g_autoptr (GArray) known = g_array_new (FALSE, FALSE, sizeof (uint32_t));

  for (uint32_t i = 0; i < count; i++)
    if (latencies_us[i] > 0)
      g_array_append_val (known, latencies_us[i]);
  if (known->len < OUTLIER_SAMPLES_MIN)
    return 0;
  g_array_sort (known, compare_latencies);
  return g_array_index (known, uint32_t, (known->len - 1) / 2);
}

uint32_t
outlier_find (const uint32_t *latencies_us, uint32_t count)
{
  uint64_t limit_us = median (latencies_us, count);
  uint32_t slowest = OUTLIER_NONE;

  if (limit_us == 0)
    return OUTLIER_NONE;
  limit_us = MAX (limit_us * OUTLIER_FACTOR, OUTLIER_MIN_US);
  for (uint32_t i = 0; i < count; i++)
    if (latencies_us[i] > limit_us
        && (slowest == OUTLIER_NONE
            || latencies_us[i] > latencies_us[slowest]))
      slowest = i;
  return slowest;
}

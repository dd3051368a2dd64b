#include "usage.h"
#include <glib.h>

typedef struct kind_usage
{
  amounts_t peak;
  uint32_t runs;
} kind_usage_t;

struct usage_history
{
  GHashTable *kinds; /* name -> kind_usage_t */
};

usage_history_t *
usage_history_new (void)
{
  usage_history_t *usage = g_new0 (usage_history_t, 1);

  usage->kinds
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return usage;
}

void
usage_history_free (usage_history_t *usage)
{
  g_hash_table_destroy (usage->kinds);
  g_free (usage);
}

/* Raises VALUE at once, and lowers it by a sixteenth of the difference: a job
   may fail with too small an allocation, while too large a one only leaves
   some capacity idle.  */
static void
update_peak (int64_t *value, int64_t used)
{
  if (used >= *value)
    *value = used;
  else
    *value -= (*value - used + 15) / 16;
}

void
usage_history_add (usage_history_t *usage, const char *kind,
                   const amounts_t *peak)
{
  kind_usage_t *use = g_hash_table_lookup (usage->kinds, kind);

  if (!use)
    {
      if (g_hash_table_size (usage->kinds) >= USAGE_KINDS_MAX)
        return;
      use = g_new0 (kind_usage_t, 1);
      g_hash_table_insert (usage->kinds, g_strdup (kind), use);
    }
  update_peak (&use->peak.cpu_milli, peak->cpu_milli);
  update_peak (&use->peak.mem_mib, peak->mem_mib);
  use->runs++;
}

static int64_t
bounded_estimate (int64_t measured, int64_t declared)
{
  return MIN (declared, measured + measured / 8 + 1);
}

amounts_t
usage_history_estimate (const usage_history_t *usage, const char *kind,
                        const amounts_t *declared)
{
  const kind_usage_t *use = g_hash_table_lookup (usage->kinds, kind);
  amounts_t estimate = *declared;

  if (!use || use->runs < USAGE_RUNS_MIN)
    return estimate;
  estimate.cpu_milli
      = bounded_estimate (use->peak.cpu_milli, declared->cpu_milli);
  estimate.mem_mib = bounded_estimate (use->peak.mem_mib, declared->mem_mib);
  return estimate;
}

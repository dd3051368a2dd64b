#include "learn.h"
#include <glib.h>

typedef struct kind_use
{
  amounts_t peak;
  uint32_t runs;
} kind_use_t;

struct learn
{
  GHashTable *kinds; /* name -> kind_use_t */
};

learn_t *
learn_new (void)
{
  learn_t *learn = g_new0 (learn_t, 1);

  learn->kinds
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return learn;
}

void
learn_free (learn_t *learn)
{
  g_hash_table_destroy (learn->kinds);
  g_free (learn);
}

/* Up at once, down by a sixteenth of the difference: too small a reservation
   ends a job, too large a one costs some idle capacity.  */
static void
follow (int64_t *value, int64_t used)
{
  if (used >= *value)
    *value = used;
  else
    *value -= (*value - used + 15) / 16;
}

void
learn_note (learn_t *learn, const char *kind, const amounts_t *peak)
{
  kind_use_t *use = g_hash_table_lookup (learn->kinds, kind);

  if (!use)
    {
      if (g_hash_table_size (learn->kinds) >= LEARN_KINDS_MAX)
        return;
      use = g_new0 (kind_use_t, 1);
      g_hash_table_insert (learn->kinds, g_strdup (kind), use);
    }
  follow (&use->peak.cpu_milli, peak->cpu_milli);
  follow (&use->peak.mem_mib, peak->mem_mib);
  use->runs++;
}

static int64_t
bounded (int64_t learned, int64_t declared)
{
  return MIN (declared, learned + learned / 8 + 1);
}

amounts_t
learn_estimate (const learn_t *learn, const char *kind,
                const amounts_t *declared)
{
  const kind_use_t *use = g_hash_table_lookup (learn->kinds, kind);
  amounts_t estimate = *declared;

  if (!use || use->runs < LEARN_RUNS)
    return estimate;
  estimate.cpu_milli = bounded (use->peak.cpu_milli, declared->cpu_milli);
  estimate.mem_mib = bounded (use->peak.mem_mib, declared->mem_mib);
  return estimate;
}

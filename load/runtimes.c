#include "runtimes.h"
#include <math.h>
#include <string.h>

/* The histogram covers ratios from 1/16 to 16 in steps of an eighth of an
   octave (9 %).  Estimates are off by up to nine tenths, and outliers take
   seven times as long.  */
#define BUCKETS_PER_OCTAVE 8
#define OCTAVES 8
#define BUCKETS (BUCKETS_PER_OCTAVE * OCTAVES)
#define LOWEST_OCTAVE (-4)
/* Jobs of a key whose runs are told apart; the oldest is replaced.  */
#define JOB_SLOTS 4
/* Below this total the weights say nothing, and are rounding errors.  */
#define WEIGHT_MIN 0.01
/* Part of a restored weight that lies at the 90th percentile.  */
#define RESTORED_TAIL 0.15

/* The runs of a job that count in the histogram: a sample of all of them, so
   that its first tasks to end, which are the shortest, don't stand for the
   rest.  */
typedef struct job_slot
{
  uint64_t job;
  uint32_t runs; /* all so far; 0: unused */
  uint8_t buckets[RUNTIMES_JOB_RUNS];
  float weights[RUNTIMES_JOB_RUNS];
} job_slot_t;

typedef struct entry
{
  char *image; /* NULL: queue and step are its key */
  char *queue;
  uint32_t step;
  int64_t decayed_us; /* time for which the weights hold */
  float jobs;         /* weight of the jobs */
  uint32_t jobs_seen; /* since the weights were last next to nothing */
  float weights[BUCKETS];
  job_slot_t slots[JOB_SLOTS];
  uint32_t next_slot;
  uint32_t cached_percent; /* quantile that was asked for last; 0: none since
                              the last run */
  double cached_ratio;
  GList *place; /* in by_age */
} entry_t;

struct runtimes
{
  GHashTable *entries; /* entry_t, as its own key */
  GQueue *by_age;      /* the same; latest run first */
  uint32_t random;     /* state of the sampling; a fixed seed makes runs
                          reproducible */
};

static guint
entry_hash (gconstpointer data)
{
  const entry_t *entry = data;

  return entry->image ? g_str_hash (entry->image)
                      : g_str_hash (entry->queue) + entry->step;
}

static gboolean
entry_equal (gconstpointer a, gconstpointer b)
{
  const entry_t *l = a;
  const entry_t *r = b;

  if (l->image || r->image)
    return g_strcmp0 (l->image, r->image) == 0;
  return l->step == r->step && strcmp (l->queue, r->queue) == 0;
}

static void
entry_free (gpointer data)
{
  entry_t *entry = data;

  g_free (entry->image);
  g_free (entry->queue);
  g_free (entry);
}

runtimes_t *
runtimes_new (void)
{
  runtimes_t *runtimes = g_new0 (runtimes_t, 1);

  runtimes->entries
      = g_hash_table_new_full (entry_hash, entry_equal, entry_free, NULL);
  runtimes->by_age = g_queue_new ();
  runtimes->random = 1;
  return runtimes;
}

void
runtimes_free (runtimes_t *runtimes)
{
  if (!runtimes)
    return;
  g_queue_free (runtimes->by_age);
  g_hash_table_unref (runtimes->entries);
  g_free (runtimes);
}

uint32_t
runtimes_count (const runtimes_t *runtimes)
{
  return g_hash_table_size (runtimes->entries);
}

static bool
key_is_valid (const runtimes_key_t *key)
{
  const char *name = key->image ? key->image : key->queue;

  return name && strlen (name) <= RUNTIMES_NAME_BYTES_MAX;
}

static entry_t *
find (const runtimes_t *runtimes, const runtimes_key_t *key)
{
  entry_t probe = { .image = (char *)key->image,
                    .queue = (char *)key->queue,
                    .step = key->step };

  return key_is_valid (key) ? g_hash_table_lookup (runtimes->entries, &probe)
                            : NULL;
}

static void
drop_oldest (runtimes_t *runtimes)
{
  entry_t *oldest = g_queue_pop_tail (runtimes->by_age);

  g_hash_table_remove (runtimes->entries, oldest);
}

/* The entry of KEY, which is added if new and becomes the latest one; NULL if
   KEY is not learned.  */
static entry_t *
touch (runtimes_t *runtimes, const runtimes_key_t *key, int64_t now_us)
{
  entry_t *entry;

  if (!key_is_valid (key))
    return NULL;
  entry = find (runtimes, key);
  if (entry)
    {
      g_queue_unlink (runtimes->by_age, entry->place);
      g_queue_push_head_link (runtimes->by_age, entry->place);
      return entry;
    }
  if (runtimes->by_age->length >= RUNTIMES_KEYS_MAX)
    drop_oldest (runtimes);
  entry = g_new0 (entry_t, 1);
  entry->image = g_strdup (key->image);
  entry->queue = key->image ? NULL : g_strdup (key->queue);
  entry->step = key->image ? 0 : key->step;
  entry->decayed_us = now_us;
  g_queue_push_head (runtimes->by_age, entry);
  entry->place = runtimes->by_age->head;
  g_hash_table_add (runtimes->entries, entry);
  return entry;
}

/* Part of a weight of ENTRY that is left at NOW_US.  */
static float
decay_factor (const entry_t *entry, int64_t now_us)
{
  int64_t age_us = MAX (now_us - entry->decayed_us, 0);

  return (float)exp2 (-(double)age_us / RUNTIMES_HALF_LIFE_US);
}

static void
decay (entry_t *entry, int64_t now_us)
{
  float factor = decay_factor (entry, now_us);

  entry->decayed_us = MAX (entry->decayed_us, now_us);
  entry->jobs *= factor;
  if (entry->jobs < WEIGHT_MIN)
    entry->jobs_seen = 0;
  for (uint32_t i = 0; i < BUCKETS; i++)
    entry->weights[i] *= factor;
  for (uint32_t s = 0; s < JOB_SLOTS; s++)
    for (uint32_t i = 0; i < RUNTIMES_JOB_RUNS; i++)
      entry->slots[s].weights[i] *= factor;
}

static uint8_t
bucket_of (double ratio)
{
  double at = (log2 (MAX (ratio, 1e-6)) - LOWEST_OCTAVE) * BUCKETS_PER_OCTAVE;

  return (uint8_t)CLAMP (at, 0, BUCKETS - 1);
}

/* The ratio at POSITION, in buckets from the lower end of the histogram.  */
static double
ratio_at (double position)
{
  return exp2 (position / BUCKETS_PER_OCTAVE + LOWEST_OCTAVE);
}

static job_slot_t *
slot_of (entry_t *entry, uint64_t job)
{
  job_slot_t *slot;

  for (uint32_t i = 0; i < JOB_SLOTS; i++)
    if (entry->slots[i].runs > 0 && entry->slots[i].job == job)
      return &entry->slots[i];
  slot = &entry->slots[entry->next_slot++ % JOB_SLOTS];
  *slot = (job_slot_t){ .job = job };
  entry->jobs++;
  entry->jobs_seen++;
  return slot;
}

/* A number below LIMIT (xorshift).  */
static uint32_t
random_below (runtimes_t *runtimes, uint32_t limit)
{
  runtimes->random ^= runtimes->random << 13;
  runtimes->random ^= runtimes->random >> 17;
  runtimes->random ^= runtimes->random << 5;
  return runtimes->random % limit;
}

void
runtimes_add (runtimes_t *runtimes, const runtimes_key_t *key,
              uint32_t estimate_ms, uint32_t took_ms, int64_t now_us)
{
  entry_t *entry = estimate_ms > 0 ? touch (runtimes, key, now_us) : NULL;
  job_slot_t *slot;
  uint32_t at;

  if (!entry)
    return;
  decay (entry, now_us);
  entry->cached_percent = 0;
  slot = slot_of (entry, key->job);
  at = slot->runs < RUNTIMES_JOB_RUNS
           ? slot->runs
           : random_below (runtimes, slot->runs + 1);
  slot->runs++;
  if (at >= RUNTIMES_JOB_RUNS)
    return;
  /* A sample that is replaced loses its weight.  */
  entry->weights[slot->buckets[at]]
      = MAX (entry->weights[slot->buckets[at]] - slot->weights[at], 0);
  slot->buckets[at] = bucket_of ((double)took_ms / estimate_ms);
  slot->weights[at] = 1;
  entry->weights[slot->buckets[at]]++;
}

static double
total_weight (const entry_t *entry)
{
  double total = 0;

  for (uint32_t i = 0; i < BUCKETS; i++)
    total += entry->weights[i];
  return total;
}

/* The ratio that QUANTILE, from 0 to 1, of the weights of ENTRY don't exceed.
   The weights decay alike, so it doesn't depend on the time.  */
static double
quantile_ratio (const entry_t *entry, double quantile)
{
  double wanted = total_weight (entry) * quantile;
  uint32_t last = 0;

  for (uint32_t i = 0; i < BUCKETS; i++)
    {
      if (entry->weights[i] <= 0)
        continue;
      last = i;
      if (wanted <= entry->weights[i])
        return ratio_at (i + wanted / entry->weights[i]);
      wanted -= entry->weights[i];
    }
  return ratio_at (last + 1);
}

/* The same for PERCENT, kept until the next run: a planning pass asks for it
   for each waiting step.  */
static double
cached_ratio (entry_t *entry, uint32_t percent)
{
  if (percent == 0 || entry->cached_percent != percent)
    {
      entry->cached_ratio = quantile_ratio (entry, percent / 100.0);
      entry->cached_percent = percent;
    }
  return entry->cached_ratio;
}

uint32_t
runtimes_expected_ms (const runtimes_t *runtimes, const runtimes_key_t *key,
                      uint32_t estimate_ms, uint32_t quantile_percent,
                      int64_t now_us)
{
  entry_t *entry = find (runtimes, key);
  double expected_ms;

  /* Jobs of the last half-life count at least by half.  */
  if (!entry || entry->jobs_seen < RUNTIMES_JOBS_MIN
      || entry->jobs * decay_factor (entry, now_us) * 2 < RUNTIMES_JOBS_MIN)
    return estimate_ms;
  expected_ms
      = estimate_ms * cached_ratio (entry, MIN (quantile_percent, 100));
  return (uint32_t)CLAMP (expected_ms, estimate_ms > 0 ? 1 : 0, UINT32_MAX);
}

void
runtimes_each (const runtimes_t *runtimes, int64_t now_us,
               runtimes_visit_t visit, void *ctx)
{
  for (const GList *at = runtimes->by_age->head; at; at = at->next)
    {
      const entry_t *entry = at->data;
      double factor = decay_factor (entry, now_us);
      double weight = total_weight (entry) * factor;
      runtimes_known_t known
          = { .key = { .image = entry->image,
                       .queue = entry->queue,
                       .step = entry->step },
              .weight_milli = (uint32_t)(weight * 1000),
              .jobs_milli = (uint32_t)(entry->jobs * factor * 1000) };

      if (weight < WEIGHT_MIN)
        continue;
      known.median_milli = (uint32_t)(quantile_ratio (entry, 0.5) * 1000);
      known.p90_milli = (uint32_t)(quantile_ratio (entry, 0.9) * 1000);
      visit (&known, ctx);
    }
}

void
runtimes_restore (runtimes_t *runtimes, const runtimes_known_t *known,
                  int64_t now_us)
{
  float weight = (float)known->weight_milli / 1000;
  entry_t *entry;

  if (find (runtimes, &known->key))
    return;
  entry = touch (runtimes, &known->key, now_us);
  if (!entry)
    return;
  entry->jobs = (float)known->jobs_milli / 1000;
  entry->jobs_seen = RUNTIMES_JOBS_MIN;
  entry->weights[bucket_of (known->median_milli / 1000.0)]
      += weight * (1 - RESTORED_TAIL);
  entry->weights[bucket_of (known->p90_milli / 1000.0)]
      += weight * RESTORED_TAIL;
}

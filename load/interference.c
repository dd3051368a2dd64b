#include "interference.h"
#include "base.h"
#include <math.h>
#include <string.h>

/* Variances of unknown terms, in log2 of the ratio, squared.  A worker is
   more readily taken for slow than a pair for harmful, because a wrong pair
   affects all workers.  */
#define USUAL_VARIANCE 4.0F
#define WORKER_VARIANCE 1.0F
#define PAIR_VARIANCE 0.5F
/* Variance of a single figure: reports of workers are off by a third.  */
#define SAMPLE_VARIANCE 0.15F
/* A sample's error counts for this many standard deviations at most.  */
#define ERROR_DEVIATIONS_MAX 2.0F
/* Limits of log2 of a ratio: 16 times and a sixteenth.  */
#define RATIO_LOG2_MAX 4.0F

/* Time after which half of what is known of a term is forgotten.  Harm changes
   within seconds; a worker warms up within seconds.  What is usual for an
   image changes with its load.  */
#define PAIR_HALF_LIFE_US 10000000
#define WORKER_HALF_LIFE_US 5000000
#define USUAL_HALF_LIFE_US 10000000
/* Workers without samples for this time are removed: six half-lives.  */
#define WORKER_KEPT_US 30000000
#define REFRESH_INTERVAL_US 500000
/* Log lines in one refresh; the counters have all changes.  */
#define LINES_MAX 10

/* A pair is kept apart while its harm, less DEVIATIONS of it, is at
   least this much: 15 %, half of the error of a report.  To be released it has
   to fall below the second one, so that it doesn't alternate.  */
#define DEVIATIONS 1.5F
#define APART_HARM_LOG2 0.2F
#define RELEASE_HARM_LOG2 0.05F

/* A pair that was seen on one worker only counts as known when its shares
   there differed by this much: otherwise the worker may be slow.  */
#define SHARE_RANGE_PERCENT 50

#define PAIR_WAYS 8
#define PAIR_SETS (INTERFERENCE_PAIRS_MAX / PAIR_WAYS)

typedef struct term
{
  float mean;
  float variance;
  int64_t updated_us;
} term_t;

/* What is known of an image, at the image's place.  */
typedef struct victim
{
  uint32_t image;
  term_t usual;
} victim_t;

typedef struct pair
{
  uint32_t victim; /* 0: unused */
  uint32_t other;
  term_t harm;
  const char *worker; /* interned; that it was seen on first */
  uint8_t share_min_percent;
  uint8_t share_max_percent;
  bool on_several_workers;
  bool apart;
} pair_t;

struct interference
{
  images_t *images;
  victim_t victims[IMAGES_MAX];
  partner_table_t *partners;
  GHashTable *workers; /* interned name -> term_t */
  pair_t pairs[INTERFERENCE_PAIRS_MAX];
  int64_t refreshed_us;
};

interference_t *
interference_new (void)
{
  interference_t *model = g_new0 (interference_t, 1);

  model->images = images_new ();
  model->partners = partner_table_new ();
  model->workers
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  return model;
}

void
interference_free (interference_t *model)
{
  if (!model)
    return;
  partner_table_free (model->partners);
  images_free (model->images);
  g_hash_table_destroy (model->workers);
  g_free (model);
}

/* Terms.  */

/* What is left of something known after AGE_US.  */
static float
fraction_left (int64_t age_us, int64_t half_life_us)
{
  return age_us <= 0 ? 1.0F : exp2f (-(float)age_us / (float)half_life_us);
}

/* TERM as of NOW_US.  Its mean falls to 0 if FADES.  */
static term_t
term_at (const term_t *term, float prior, int64_t half_life_us, bool fades,
         int64_t now_us)
{
  float left = fraction_left (now_us - term->updated_us, half_life_us);

  return (term_t){ .mean = fades ? term->mean * left : term->mean,
                   .variance = prior - (prior - term->variance) * left,
                   .updated_us = now_us };
}

static term_t
harm_at (const pair_t *pair, int64_t now_us)
{
  return term_at (&pair->harm, PAIR_VARIANCE, PAIR_HALF_LIFE_US, true, now_us);
}

/* What is known of the image NUMBER, which is added if it is new; NULL if it
   is unknown.  */
static victim_t *
obtain_victim (interference_t *model, uint32_t number, int64_t now_us)
{
  victim_t *victim = &model->victims[images_place (number)];

  if (!images_know (model->images, number))
    return NULL;
  if (victim->image != number)
    {
      *victim = (victim_t){ .image = number,
                            .usual = { .variance = USUAL_VARIANCE,
                                       .updated_us = now_us } };
    }
  return victim;
}

uint32_t
interference_image (interference_t *model, const char *name, int64_t now_us)
{
  return images_number (model->images, name, now_us);
}

uint32_t
interference_find_image (const interference_t *model, const char *name)
{
  return images_find (model->images, name);
}

bool
interference_knows (const interference_t *model, uint32_t image)
{
  return images_know (model->images, image);
}

const char *
interference_name (const interference_t *model, uint32_t image)
{
  return images_label (model->images, image);
}

/* Pairs.  A pair is in one of the PAIR_WAYS places of its set.  */

static uint32_t
first_place (uint32_t victim, uint32_t other)
{
  /* Multipliers of Knuth and of xxhash spread consecutive numbers.  */
  uint32_t hash
      = victim * UINT32_C (2654435761) ^ other * UINT32_C (2246822519);

  return (hash >> 8) % PAIR_SETS * PAIR_WAYS;
}

static const pair_t *
find_pair (const interference_t *model, uint32_t victim, uint32_t other)
{
  const pair_t *set = &model->pairs[first_place (victim, other)];

  for (uint32_t i = 0; i < PAIR_WAYS; i++)
    if (set[i].victim == victim && set[i].other == other)
      return &set[i];
  return NULL;
}

static uint32_t
pair_confidence_percent (const pair_t *pair, const term_t *harm)
{
  bool is_attributable = pair->on_several_workers
                         || pair->share_max_percent - pair->share_min_percent
                                >= SHARE_RANGE_PERCENT;

  return is_attributable
             ? (uint32_t)(100 * (1 - harm->variance / PAIR_VARIANCE))
             : 0;
}

/* The pair, added in place of the one of its set that was seen least recently
   if it is new.  */
static pair_t *
obtain_pair (interference_t *model, uint32_t victim, uint32_t other,
             const char *worker, int64_t now_us)
{
  pair_t *set = &model->pairs[first_place (victim, other)];
  pair_t *chosen = &set[0];

  for (uint32_t i = 0; i < PAIR_WAYS; i++)
    {
      if (set[i].victim == victim && set[i].other == other)
        return &set[i];
      if (set[i].harm.updated_us < chosen->harm.updated_us)
        chosen = &set[i];
    }
  *chosen
      = (pair_t){ .victim = victim,
                  .other = other,
                  .harm = { .variance = PAIR_VARIANCE, .updated_us = now_us },
                  .worker = worker,
                  .share_min_percent = UINT8_MAX };
  return chosen;
}

static uint32_t
harm_percent (float harm_log2)
{
  return (uint32_t)lroundf ((exp2f (harm_log2) - 1) * 100);
}

static interference_harm_t
pair_harm (const pair_t *pair, int64_t now_us)
{
  term_t harm = harm_at (pair, now_us);

  return (interference_harm_t){ .harm_percent = harm_percent (harm.mean),
                                .confidence_percent
                                = pair_confidence_percent (pair, &harm) };
}

interference_harm_t
interference_harm (const interference_t *model, uint32_t victim,
                   uint32_t other, int64_t now_us)
{
  const pair_t *pair = NULL;

  if (interference_knows (model, victim) && interference_knows (model, other))
    pair = find_pair (model, victim, other);
  return pair ? pair_harm (pair, now_us) : (interference_harm_t){ 0 };
}

/* Learning.  */

/* The terms that a sample corrects, as of its time.  */
typedef struct equation
{
  term_t *usual;
  term_t *worker;
  pair_t *pairs[INTERFERENCE_NEIGHBOURS_MAX];
  float shares[INTERFERENCE_NEIGHBOURS_MAX];
  uint32_t pairs_count;
} equation_t;

static term_t *
obtain_worker (interference_t *model, const char *name, int64_t now_us)
{
  term_t *worker = g_hash_table_lookup (model->workers, name);

  if (!worker)
    {
      if (g_hash_table_size (model->workers) >= INTERFERENCE_WORKERS_MAX)
        return NULL;
      worker = g_new0 (term_t, 1);
      *worker = (term_t){ .variance = WORKER_VARIANCE, .updated_us = now_us };
      g_hash_table_insert (model->workers, (gpointer)name, worker);
    }
  *worker
      = term_at (worker, WORKER_VARIANCE, WORKER_HALF_LIFE_US, true, now_us);
  return worker;
}

/* Adds SHARE_PERCENT of OTHER to EQUATION; several tasks of one image count
   together.  */
static void
add_neighbour (interference_t *model, equation_t *equation,
               const interference_sample_t *sample,
               const interference_neighbour_t *neighbour, int64_t now_us)
{
  uint8_t share_percent = (uint8_t)MIN (neighbour->share_percent, 100);
  pair_t *pair;
  uint32_t i = 0;

  if (!images_touch (model->images, neighbour->image, now_us))
    return;
  pair = obtain_pair (model, sample->victim, neighbour->image, sample->worker,
                      now_us);
  while (i < equation->pairs_count && equation->pairs[i] != pair)
    i++;
  if (i == INTERFERENCE_NEIGHBOURS_MAX)
    return;
  if (i == equation->pairs_count)
    {
      equation->pairs[equation->pairs_count++] = pair;
      equation->shares[i] = 0;
      pair->harm = harm_at (pair, now_us);
    }
  equation->shares[i] += (float)share_percent / 100;
  pair->on_several_workers |= pair->worker != sample->worker;
  pair->share_min_percent = MIN (pair->share_min_percent, share_percent);
  pair->share_max_percent = MAX (pair->share_max_percent, share_percent);
}

/* Corrects TERM, which counts SHARE, by its part of ERROR.  */
static void
correct_term (term_t *term, float share, float error, float variance)
{
  float gain = term->variance * share / variance;

  term->mean += gain * error;
  term->variance *= 1 - gain * share;
}

static void
solve (const equation_t *equation, float figure)
{
  float expected = equation->usual->mean + equation->worker->mean;
  float variance = SAMPLE_VARIANCE + equation->usual->variance
                   + equation->worker->variance;
  float error_max;
  float error;

  for (uint32_t i = 0; i < equation->pairs_count; i++)
    {
      const term_t *harm = &equation->pairs[i]->harm;
      float share = equation->shares[i];

      expected += share * harm->mean;
      variance += share * share * harm->variance;
    }
  error_max = ERROR_DEVIATIONS_MAX * sqrtf (variance);
  error = CLAMP (figure - expected, -error_max, error_max);
  correct_term (equation->usual, 1, error, variance);
  correct_term (equation->worker, 1, error, variance);
  /* Workers are slow, or as usual.  Were the others allowed to be fast, the
     harm of a pair that is seen most on a slow worker would be half of its
     slowness.  */
  equation->worker->mean = MAX (equation->worker->mean, 0);
  for (uint32_t i = 0; i < equation->pairs_count; i++)
    {
      term_t *harm = &equation->pairs[i]->harm;

      correct_term (harm, equation->shares[i], error, variance);
      /* No task speeds others up.  The upper limit keeps exp2f finite after
         many samples with a small share.  */
      harm->mean = CLAMP (harm->mean, 0, RATIO_LOG2_MAX);
    }
}

void
interference_observe (interference_t *model,
                      const interference_sample_t *sample, int64_t now_us)
{
  victim_t *victim = obtain_victim (model, sample->victim, now_us);
  equation_t equation = { 0 };
  float figure;

  if (!victim)
    return;
  equation.worker = obtain_worker (model, sample->worker, now_us);
  if (!equation.worker)
    return;
  images_touch (model->images, sample->victim, now_us);
  victim->usual = term_at (&victim->usual, USUAL_VARIANCE, USUAL_HALF_LIFE_US,
                           false, now_us);
  equation.usual = &victim->usual;
  for (uint32_t i = 0; i < sample->neighbours_count; i++)
    add_neighbour (model, &equation, sample, &sample->neighbours[i], now_us);
  figure = log2f ((float)MAX (sample->ratio_percent, 1) / 100);
  solve (&equation, CLAMP (figure, -RATIO_LOG2_MAX, RATIO_LOG2_MAX));
  counter_add (COUNT_INTERFERENCE_SAMPLES, 1);
}

/* Partners.  */

/* The least harm of PAIR that is likely; 0 if it may be due to its worker.  */
static float
likely_harm_log2 (const pair_t *pair, int64_t now_us)
{
  term_t harm = harm_at (pair, now_us);

  return pair_confidence_percent (pair, &harm) > 0
             ? harm.mean - DEVIATIONS * sqrtf (harm.variance)
             : 0;
}

/* Decides whether PAIR is kept apart from now on.  Returns whether that has
   changed.  */
static bool
update_apart (pair_t *pair, int64_t now_us)
{
  float likely = likely_harm_log2 (pair, now_us);
  bool was_apart = pair->apart;

  pair->apart = likely >= (was_apart ? RELEASE_HARM_LOG2 : APART_HARM_LOG2);
  return pair->apart != was_apart;
}

/* Counts that PAIR is kept apart, or no longer, and logs it unless *LINES
   lines were logged.  */
static void
note_change (const interference_t *model, const pair_t *pair, uint32_t *lines,
             int64_t now_us)
{
  interference_harm_t harm = pair_harm (pair, now_us);

  counter_add (pair->apart ? COUNT_INTERFERENCE_FOUND
                           : COUNT_INTERFERENCE_FORGOTTEN,
               1);
  if (*lines == 0)
    return;
  --*lines;
  event_log (pair->apart ? EV_INTERFERENCE_FOUND : EV_INTERFERENCE_FORGOTTEN,
             "victim=%s other=%s harm_percent=%u confidence_percent=%u "
             "several_workers=%d share_min_percent=%u share_max_percent=%u",
             interference_name (model, pair->victim),
             interference_name (model, pair->other), harm.harm_percent,
             harm.confidence_percent, pair->on_several_workers,
             pair->share_min_percent, pair->share_max_percent);
}

static gboolean
worker_is_old (gpointer name, gpointer value, gpointer now_us)
{
  (void)name;
  return *(const int64_t *)now_us - ((const term_t *)value)->updated_us
         > WORKER_KEPT_US;
}

void
interference_refresh (interference_t *model, int64_t now_us)
{
  uint32_t lines = LINES_MAX;

  if (now_us - model->refreshed_us < REFRESH_INTERVAL_US)
    return;
  model->refreshed_us = now_us;
  g_hash_table_foreach_remove (model->workers, worker_is_old, &now_us);
  partner_table_clear (model->partners);
  for (uint32_t i = 0; i < INTERFERENCE_PAIRS_MAX; i++)
    {
      pair_t *pair = &model->pairs[i];
      uint32_t percent;

      if (!interference_knows (model, pair->victim)
          || !interference_knows (model, pair->other))
        continue;
      if (update_apart (pair, now_us))
        note_change (model, pair, &lines, now_us);
      if (!pair->apart)
        continue;
      percent = pair_harm (pair, now_us).harm_percent;
      partner_table_add (model->partners, pair->victim, pair->other, percent);
      partner_table_add (model->partners, pair->other, pair->victim, percent);
    }
}

const partners_t *
interference_partners (const interference_t *model, uint32_t image)
{
  return partner_table_find (model->partners, image);
}

const partners_t *
interference_partner_list (interference_t *model, uint32_t image)
{
  return partner_table_list (model->partners, image);
}

void
interference_each (const interference_t *model, interference_visit_t visit,
                   void *ctx, int64_t now_us)
{
  for (uint32_t i = 0; i < INTERFERENCE_PAIRS_MAX; i++)
    {
      const pair_t *pair = &model->pairs[i];
      interference_row_t row = { .kept_apart = pair->apart };

      if (!interference_knows (model, pair->victim)
          || !interference_knows (model, pair->other))
        continue;
      row.victim = interference_name (model, pair->victim);
      row.other = interference_name (model, pair->other);
      row.harm = pair_harm (pair, now_us);
      if (row.harm.confidence_percent > 0)
        visit (ctx, &row);
    }
}

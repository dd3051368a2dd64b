#include "base.h"

/* Buckets up to 1, 2, 4, ... 32768 ms; one more counts larger values.  */
#define BUCKET_BOUNDS 16

typedef struct histogram
{
  atomic_uint_fast64_t count[BUCKET_BOUNDS + 1];
  atomic_uint_fast64_t sum_us;
} histogram_t;

static histogram_t histograms[HISTOGRAM_COUNT];

static const char *const names[HISTOGRAM_COUNT] = {
  [HIST_ACCEPT] = "job_accept_seconds", [HIST_START] = "job_start_seconds",
  [HIST_FINISH] = "job_finish_seconds", [HIST_APPEND] = "store_append_seconds",
  [HIST_EVACUATE] = "evacuate_seconds",
};

void
histogram_add (histogram_id_t id, int64_t time_us)
{
  histogram_t *histogram = &histograms[id];
  int64_t us = MAX (time_us, 0);
  uint32_t bound = 0;

  while (bound < BUCKET_BOUNDS && us > INT64_C (1000) << bound)
    bound++;
  atomic_fetch_add_explicit (&histogram->count[bound], 1,
                             memory_order_relaxed);
  atomic_fetch_add_explicit (&histogram->sum_us, (uint64_t)us,
                             memory_order_relaxed);
}

static void
write_histogram (GString *out, const char *prefix, histogram_id_t id)
{
  const histogram_t *histogram = &histograms[id];
  uint64_t total = 0;

  g_string_append_printf (out, "# TYPE %s%s histogram\n", prefix, names[id]);
  for (uint32_t i = 0; i <= BUCKET_BOUNDS; i++)
    {
      total
          += atomic_load_explicit (&histogram->count[i], memory_order_relaxed);
      if (i < BUCKET_BOUNDS)
        g_string_append_printf (out, "%s%s_bucket{le=\"%.3f\"} %" PRIu64 "\n",
                                prefix, names[id], 0.001 * (1u << i), total);
      else
        g_string_append_printf (out, "%s%s_bucket{le=\"+Inf\"} %" PRIu64 "\n",
                                prefix, names[id], total);
    }
  g_string_append_printf (
      out, "%s%s_sum %.6f\n%s%s_count %" PRIu64 "\n", prefix, names[id],
      (double)atomic_load_explicit (&histogram->sum_us, memory_order_relaxed)
          / 1e6,
      prefix, names[id], total);
}

char *
metrics_text (const char *prefix)
{
  GString *out = g_string_new (NULL);

  for (counter_id_t id = 0; id < COUNTER_COUNT; id++)
    g_string_append_printf (
        out, "# TYPE %s%s_total counter\n%s%s_total %" PRIu64 "\n", prefix,
        counter_name (id), prefix, counter_name (id), counter_read (id));
  for (histogram_id_t id = 0; id < HISTOGRAM_COUNT; id++)
    write_histogram (out, prefix, id);
  return g_string_free (out, FALSE);
}

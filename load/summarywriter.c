#include "summarywriter.h"

/* Rounding of decayed weights, in percent, that is no difference.  */
#define WEIGHT_TOLERANCE_PERCENT 2
/* Times of the end of a burst are computed from two clocks, one of which may
   be adjusted; smaller differences are no change.  */
#define TIME_TOLERANCE_MS 1000

/* Changes.  */

static summary_pool_t
find_pool (const summary_t *summary, const char *name)
{
  for (uint32_t i = 0; i < summary->pools->len; i++)
    {
      const summary_pool_t *pool
          = &g_array_index (summary->pools, summary_pool_t, i);

      if (pool->name == name)
        return *pool;
    }
  return (summary_pool_t){ .name = name };
}

static bool
pools_differ (const summary_pool_t *a, const summary_pool_t *b)
{
  return a->host_room.cpu_milli != b->host_room.cpu_milli
         || a->host_room.mem_mib != b->host_room.mem_mib
         || a->host_room.accels != b->host_room.accels
         || a->base_hosts != b->base_hosts
         || a->rate_fast_millihosts != b->rate_fast_millihosts
         || a->rate_slow_millihosts != b->rate_slow_millihosts
         || a->burst_peak_millihosts != b->burst_peak_millihosts
         || ABS (a->burst_ended_ms - b->burst_ended_ms) > TIME_TOLERANCE_MS
         || a->in_burst != b->in_burst || a->scaled_down != b->scaled_down
         || a->burst_predecessor != b->burst_predecessor;
}

/* Whether a pool of A is not the same in B.  */
static bool
some_pool_differs (const summary_t *a, const summary_t *b)
{
  for (uint32_t i = 0; i < a->pools->len; i++)
    {
      const summary_pool_t *pool
          = &g_array_index (a->pools, summary_pool_t, i);
      summary_pool_t other = find_pool (b, pool->name);

      if (pools_differ (pool, &other))
        return true;
    }
  return false;
}

static bool
weights_differ (uint32_t a, uint32_t b)
{
  uint32_t larger = MAX (a, b);

  return larger - MIN (a, b) > 1 + larger * WEIGHT_TOLERANCE_PERCENT / 100;
}

static const summary_runtime_t *
find_runtime (const summary_t *summary, const summary_runtime_t *key)
{
  for (uint32_t i = 0; i < summary->runtimes->len; i++)
    {
      const summary_runtime_t *row
          = &g_array_index (summary->runtimes, summary_runtime_t, i);

      if (row->image == key->image && row->queue == key->queue
          && row->step == key->step)
        return row;
    }
  return NULL;
}

/* Whether FRESH has run times that WRITTEN lacks.  Rows that are missing in
   FRESH are no difference: their weight has decayed, here as in WRITTEN.  */
static bool
has_new_runtimes (const summary_t *written, const summary_t *fresh)
{
  for (uint32_t i = 0; i < fresh->runtimes->len; i++)
    {
      const summary_runtime_t *row
          = &g_array_index (fresh->runtimes, summary_runtime_t, i);
      const summary_runtime_t *old = find_runtime (written, row);

      if (!old || old->median_milli != row->median_milli
          || old->p90_milli != row->p90_milli
          || weights_differ (old->weight_milli, row->weight_milli)
          || weights_differ (old->jobs_milli, row->jobs_milli))
        return true;
    }
  return false;
}

bool
summary_differs (const summary_t *written, const summary_t *fresh)
{
  int64_t read_ms = fresh->time_ms + SUMMARY_TAKE_OVER_MS;
  g_autoptr (summary_t) old
      = written ? summary_copy (written) : summary_new (0, 0);
  g_autoptr (summary_t) new = summary_copy (fresh);

  summary_trim (old, read_ms);
  summary_trim (new, read_ms);
  return old->last_burst_pool != new->last_burst_pool
         || some_pool_differs (old, new) || some_pool_differs (new, old)
         || has_new_runtimes (old, new);
}

/* Writer.  */

void
summary_writer_reset (summary_writer_t *writer, int64_t now_us)
{
  summary_writer_clear (writer);
  writer->due_us = now_us + SUMMARY_INTERVAL_US;
}

void
summary_writer_clear (summary_writer_t *writer)
{
  g_clear_pointer (&writer->written, summary_free);
  g_clear_pointer (&writer->pending, summary_free);
}

bool
summary_writer_is_due (const summary_writer_t *writer, int64_t now_us)
{
  return !writer->pending && writer->due_us <= now_us;
}

GBytes *
summary_writer_offer (summary_writer_t *writer, summary_t *fresh,
                      int64_t now_us)
{
  GBytes *data;

  writer->due_us = now_us + SUMMARY_INTERVAL_US;
  if (!fresh)
    return NULL;
  data = summary_encode (fresh);
  if (summary_differs (writer->written, fresh))
    {
      writer->pending = fresh;
      return data;
    }
  summary_free (fresh);
  g_bytes_unref (data);
  return NULL;
}

void
summary_writer_done (summary_writer_t *writer, bool stored)
{
  if (stored)
    {
      summary_free (writer->written);
      writer->written = g_steal_pointer (&writer->pending);
    }
  else
    g_clear_pointer (&writer->pending, summary_free);
}

#include "core.h"
#include "learned.h"

/* A summary that the store has not taken by then is replaced by the next
   one.  */
#define WRITE_TIMEOUT_MS 1500

G_STATIC_ASSERT (WRITE_TIMEOUT_MS * 1000 < SUMMARY_INTERVAL_US);

typedef struct summary_write
{
  core_t *core;
  uint64_t epoch;
  size_t bytes;
} summary_write_t;

void
summaries_start_owner (core_t *core, int64_t now_us)
{
  summary_writer_reset (&core->summary_writer, now_us);
}

static void
log_ignored (const char *why, const summary_t *summary, sched_now_t now)
{
  counter_add (COUNT_SUMMARIES_IGNORED, 1);
  event_log (EV_SUMMARY_IGNORED, "why=%s epoch=%" PRIu64 " age_ms=%" PRId64,
             why, summary->epoch, now.wall_ms - summary->time_ms);
}

/* Counts the pools of SUMMARY with rates, and those whose bursts are known. */
static void
log_applied (const summary_t *summary)
{
  uint32_t rates = 0;
  uint32_t bursts = 0;

  for (uint32_t i = 0; i < summary->pools->len; i++)
    {
      const summary_pool_t *pool
          = &g_array_index (summary->pools, summary_pool_t, i);

      rates += pool->rate_fast_millihosts > 0;
      bursts += pool->in_burst || pool->burst_ended_ms > 0;
    }
  counter_add (COUNT_SUMMARIES_APPLIED, 1);
  event_log (
      EV_SUMMARY_APPLIED,
      "epoch=%" PRIu64 " age_ms=%" PRId64 " rates=%u bursts=%u runtimes=%u",
      summary->epoch, summary->age_ms, rates, bursts, summary->runtimes->len);
}

void
summaries_apply (core_t *core, const void *data, size_t len)
{
  sched_now_t now = core_now ();
  g_autoptr (GError) error = NULL;
  g_autoptr (summary_t) summary = NULL;

  if (!entry_setting_is_on (core->settings->owner_summary))
    return;
  summary = summary_decode (data, len, &error);
  if (!summary)
    {
      counter_add (COUNT_SUMMARIES_IGNORED, 1);
      event_log (EV_SUMMARY_IGNORED, "why=unreadable error=\"%s\"",
                 error->message);
      return;
    }
  switch (summary_trim (summary, now.wall_ms))
    {
    case SUMMARY_TOO_OLD:
      log_ignored ("too-old", summary, now);
      return;
    case SUMMARY_FROM_THE_FUTURE:
      log_ignored ("from-the-future", summary, now);
      return;
    case SUMMARY_USED:
      sched_apply_summary (core->sched, summary, now);
      log_applied (summary);
      return;
    }
}

static void
on_written (void *ctx, const call_result_t *result)
{
  summary_write_t *write = ctx;
  core_t *core = write->core;
  bool stored = platform_append_reply (result->status) == STORE_OK;

  /* A summary of an earlier ownership is not the one that is pending.  */
  if (core->sched && write->epoch == core->tab->owner.epoch)
    summary_writer_done (&core->summary_writer, stored);
  if (stored)
    counter_add (COUNT_SUMMARIES_WRITTEN, 1);
  event_log (EV_SUMMARY_WRITTEN, "epoch=%" PRIu64 " bytes=%zu stored=%d",
             write->epoch, write->bytes, stored);
  g_free (write);
}

static void
store_summary (core_t *core, uint64_t epoch, GBytes *data)
{
  g_autoptr (GPtrArray) records
      = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  summary_write_t *write = g_new0 (summary_write_t, 1);
  gsize len;
  const void *bytes = g_bytes_get_data (data, &len);
  platform_req_t req;

  *write = (summary_write_t){ core, epoch, len };
  g_ptr_array_add (records,
                   platform_keyed_record (PLATFORM_KEY_SUMMARY, bytes, len));
  req = platform_append_req (PLATFORM_TOPIC_FLEET, records);
  calls_send (core->calls, core->settings->store, &req, WRITE_TIMEOUT_MS,
              on_written, write);
}

void
summaries_run (core_t *core, int64_t now_us)
{
  summary_t *summary;
  g_autoptr (GBytes) data = NULL;

  if (!entry_setting_is_on (core->settings->owner_summary)
      || !summary_writer_is_due (&core->summary_writer, now_us))
    return;
  summary = sched_summarize (core->sched, core_now ());
  data = summary_writer_offer (&core->summary_writer, summary, now_us);
  if (data)
    store_summary (core, core->tab->owner.epoch, data);
}

void
summaries_close (core_t *core)
{
  summary_writer_clear (&core->summary_writer);
}

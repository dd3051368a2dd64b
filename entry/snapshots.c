#include "core.h"
#include "snapset.h"

/* A part is larger than other records, so it gets as much time as a long
   poll.  */
#define WRITE_TIMEOUT_MS 2500

/* A snapshot that is being written, a part with each append.  */
struct snapshot_write
{
  GPtrArray *records; /* GBytes, in order */
  uint32_t sent;      /* records that were sent */
  uint32_t set;
};

void
snapshots_open (core_t *core)
{
  core->snapshot_items = feed_items_new ();
}

static void
end_write (core_t *core, bool stored)
{
  if (stored)
    core->snapshot_set = core->snapshot_write->set;
  g_ptr_array_unref (core->snapshot_write->records);
  g_clear_pointer (&core->snapshot_write, g_free);
  history_end_snapshot (&core->history, stored);
}

void
snapshots_close (core_t *core)
{
  if (core->snapshot_write)
    end_write (core, false);
  g_array_unref (core->snapshot_items);
}

/* Replaces the table by the newest snapshot that was read, if that holds more;
   whether it did.  */
static bool
load_snapshot (core_t *core)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (GByteArray) snapshot = NULL;
  uint64_t next = 0;
  jobtab_t *tab;

  if (core->snapshot_items->len == 0)
    return false;
  snapshot = snapset_join (core->snapshot_items, &next, &core->snapshot_set);
  if (!snapshot)
    {
      event_log (EV_SNAPSHOT_REJECTED, "reason=\"missing or mixed parts\"");
      return false;
    }
  if (next <= core->tab->next
      && (history_is_complete (&core->history)
          || !history_covers (&core->history, next)))
    return false;
  tab = jobtab_unpack (snapshot->data, snapshot->len, &error);
  if (!tab)
    {
      event_log (EV_SNAPSHOT_REJECTED, "reason=\"%s\"", error->message);
      return false;
    }
  core_replace_table (core, tab);
  return true;
}

/* All pages were read.  */
static void
apply_snapshot (feed_t *feed)
{
  core_t *core = feed->core;
  bool loaded = load_snapshot (core);

  g_array_set_size (core->snapshot_items, 0);
  if (loaded && history_covers (&core->history, core->tab->next))
    core_fill_gap (core);
  if (core->tab->next < feed->next_offset)
    {
      core_note_gap (core, feed->next_offset);
      core->tab->next = feed->next_offset;
    }
  core_publish_position (core);
  feed->loaded = true;
}

void
on_snapshot (void *ctx, const call_result_t *result)
{
  feed_t *feed = ctx;
  core_t *core = feed->core;
  int64_t now_us = clock_boot_us ();
  bool more = false;
  uint64_t end = 0;
  store_reply_t reply = platform_newest_reply (
      result->status, result->body, core->snapshot_items, &more, &end);

  feed->in_flight = false;
  /* Status 404: no snapshot was written yet.  */
  if (reply != STORE_OK && result->status != 404)
    {
      g_array_set_size (core->snapshot_items, 0);
      g_clear_pointer (&feed->page_after, g_free);
      feed_failed (feed, now_us);
      return;
    }
  feed->due_us = now_us;
  g_clear_pointer (&feed->page_after, g_free);
  if (more && core->snapshot_items->len > 0)
    feed->page_after
        = g_strdup (g_array_index (core->snapshot_items, platform_item_t,
                                   core->snapshot_items->len - 1)
                        .key);
  else
    apply_snapshot (feed);
}

static void send_part (core_t *core);

static void
on_part_written (void *ctx, const call_result_t *result)
{
  core_t *core = ctx;

  if (platform_append_reply (result->status) != STORE_OK)
    end_write (core, false);
  else if (core->snapshot_write->sent < core->snapshot_write->records->len)
    send_part (core);
  else
    end_write (core, true);
}

/* Appends the next part.  */
static void
send_part (core_t *core)
{
  struct snapshot_write *write = core->snapshot_write;
  g_autoptr (GPtrArray) records = g_ptr_array_new ();
  platform_req_t req;

  g_ptr_array_add (records, g_ptr_array_index (write->records, write->sent));
  write->sent++;
  counter_add (COUNT_STORE_CALLS, 1);
  req = platform_append_req (PLATFORM_TOPIC_SNAPSHOT, records);
  calls_send (core->calls, core->settings->store, &req, WRITE_TIMEOUT_MS,
              on_part_written, core);
}

void
snapshot_write (core_t *core, int64_t now_us)
{
  GBytes *snapshot = jobtab_pack (core->tab);
  GPtrArray *parts
      = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  uint32_t set = snapset_other (core->snapshot_set);

  snapset_split (snapshot, core->tab->next, set, parts);
  core->snapshot_write = g_new0 (struct snapshot_write, 1);
  core->snapshot_write->records = parts;
  core->snapshot_write->set = set;
  event_log (EV_SNAPSHOT_WRITTEN, "next=%" PRIu64 " bytes=%zu parts=%u",
             core->tab->next, g_bytes_get_size (snapshot), parts->len);
  history_begin_snapshot (&core->history, g_bytes_get_size (snapshot), now_us);
  g_bytes_unref (snapshot);
  send_part (core);
}

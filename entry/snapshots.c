#include "core.h"
#include <string.h>

/* A snapshot consists of a few large records, so it gets as much time as a
   long poll.  */
#define WRITE_TIMEOUT_MS 2500
/* A snapshot is split into records of at most this size.  Each starts with a
   snapshot_head_t in big-endian byte order.  */
#define SNAPSHOT_PART_BYTES (200 * 1024)
#define SNAPSHOT_BYTES_MAX (2 * 1024 * 1024)

typedef struct snapshot_head
{
  uint64_t next;  /* first offset of the job log after the snapshot */
  uint32_t part;  /* index of this part */
  uint32_t parts; /* number of parts */
} snapshot_head_t;

/* Joins the parts; NULL if the first or the last is missing, or if one belongs
   to another snapshot.  */
static GByteArray *
join_parts (const GArray *items, snapshot_head_t *head)
{
  GByteArray *snapshot = g_byte_array_new ();

  memset (head, 0, sizeof *head);
  for (uint32_t i = 0; i < items->len; i++)
    {
      const platform_item_t *item = &g_array_index (items, platform_item_t, i);
      snapshot_head_t part;

      if (item->len < sizeof part)
        continue;
      memcpy (&part, item->value, sizeof part);
      part.next = GUINT64_FROM_BE (part.next);
      part.part = GUINT32_FROM_BE (part.part);
      part.parts = GUINT32_FROM_BE (part.parts);
      if (part.part == 0)
        *head = part;
      if (part.part >= head->parts)
        continue; /* left over from a longer snapshot */
      if (part.next != head->next)
        break;
      g_byte_array_append (snapshot, item->value + sizeof part,
                           (guint)(item->len - sizeof part));
      if (part.part + 1 == head->parts)
        return snapshot;
    }
  g_byte_array_unref (snapshot);
  return NULL;
}

static void
load_snapshot (core_t *core, const GArray *items)
{
  g_autoptr (GError) error = NULL;
  snapshot_head_t head;
  GByteArray *snapshot;
  jobtab_t *tab;

  if (items->len == 0)
    return;
  snapshot = join_parts (items, &head);
  if (!snapshot)
    {
      event_log (EV_SNAPSHOT_REJECTED, "reason=\"missing or mixed parts\"");
      return;
    }
  if (head.next <= core->tab->next)
    {
      g_byte_array_unref (snapshot);
      return;
    }
  tab = jobtab_unpack (snapshot->data, snapshot->len, &error);
  g_byte_array_unref (snapshot);
  if (tab)
    core_replace_table (core, tab);
  else
    event_log (EV_SNAPSHOT_REJECTED, "reason=\"%s\"", error->message);
}

void
on_snapshot (void *ctx, const call_result_t *result)
{
  feed_t *feed = ctx;
  core_t *core = feed->core;
  int64_t now_us = clock_boot_us ();
  g_autoptr (GArray) items = feed_items_new ();
  bool more = false;
  uint64_t end = 0;
  store_reply_t reply = platform_newest_reply (result->status, result->body,
                                               items, &more, &end);

  feed->in_flight = false;
  /* Status 404: no snapshot was written yet.  */
  if (reply != STORE_OK && result->status != 404)
    {
      feed_failed (feed, now_us);
      return;
    }
  if (reply == STORE_OK)
    load_snapshot (core, items);
  if (core->tab->next < feed->next_offset)
    core->tab->next = feed->next_offset; /* the records between were deleted */
  feed->loaded = true;
  feed->due_us = now_us;
}

static void
on_snapshot_written (void *ctx, const call_result_t *result)
{
  core_t *core = ctx;

  core->snapshot_in_flight = false;
  if (platform_append_reply (result->status) != STORE_OK)
    core->tab_changed = true;
}

void
snapshot_write (core_t *core, int64_t now_us)
{
  g_autoptr (GPtrArray) records
      = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  GBytes *snapshot = jobtab_pack (core->tab);
  gsize len;
  const uint8_t *data = g_bytes_get_data (snapshot, &len);
  uint32_t parts = (uint32_t)(len / SNAPSHOT_PART_BYTES) + 1;
  platform_req_t req;

  core->snapshot_us = now_us;
  if (len > SNAPSHOT_BYTES_MAX)
    {
      event_log (EV_SNAPSHOT_REJECTED, "reason=\"too large\" bytes=%zu", len);
      g_bytes_unref (snapshot);
      return;
    }
  for (uint32_t i = 0; i < parts; i++)
    {
      snapshot_head_t head = { GUINT64_TO_BE (core->tab->next),
                               GUINT32_TO_BE (i), GUINT32_TO_BE (parts) };
      g_autoptr (GByteArray) value = g_byte_array_new ();
      g_autofree char *key = g_strdup_printf ("%04u", i);
      size_t at = (size_t)i * SNAPSHOT_PART_BYTES;

      g_byte_array_append (value, (const guint8 *)&head, sizeof head);
      g_byte_array_append (value, data + at,
                           (guint)MIN (len - at, SNAPSHOT_PART_BYTES));
      g_ptr_array_add (records,
                       platform_keyed_record (key, value->data, value->len));
    }
  g_bytes_unref (snapshot);
  core->snapshot_in_flight = true;
  core->tab_changed = false;
  req = platform_append_req (PLATFORM_TOPIC_SNAPSHOT, records);
  calls_send (core->calls, core->settings->store, &req, WRITE_TIMEOUT_MS,
              on_snapshot_written, core);
}

#include "core.h"
#include <string.h>

/* How long the store holds a read open.  Short for the rules, as the age of
   the last answer bounds for how long a daemon goes by them.  */
#define RULES_WAIT_MS 700
#define LOG_WAIT_MS 1000
/* Beyond the wait: a store that is 75 times slower answers inside it, behind a
   few others.  */
#define READ_SLACK_MS 1500
#define READ_RETRY_US 100000
/* Pause between two reads of the job log by a daemon that only shows states:
   it adds to what callers wait for, and each read is paid for.  The owner
   starts jobs by what it reads.  */
#define SHOW_PAUSE_US 60000
#define OWNER_PAUSE_US 4000
/* Reports come every second or so from each worker; what changes in them may
   be known a little later.  */
#define WORKERS_PAUSE_US 200000

/* A snapshot is cut into records of at most this, each with a head: offset of
   the first record that is not in it, place and number of its parts.  */
#define SNAPSHOT_PART_BYTES (200 * 1024)
#define SNAPSHOT_CALL_BYTES_MAX (2 * 1024 * 1024)

typedef struct snapshot_head
{
  uint64_t next;
  uint32_t part;
  uint32_t parts;
} snapshot_head_t;

typedef void (*feed_reply_t) (void *ctx, const call_result_t *result);

static void
feed_send (core_t *core, feed_t *feed, site_req_t req, uint32_t wait_ms,
           feed_reply_t done)
{
  feed->out = true;
  counter_add (COUNT_STORE_CALLS, 1);
  calls_send (core->calls, core->settings->store, &req,
              wait_ms + READ_SLACK_MS, done, core);
}

static void
feed_failed (feed_t *feed, int64_t now_us)
{
  feed->due_us = now_us + READ_RETRY_US;
}

static void
feed_restart (feed_t *feed, int64_t now_us)
{
  feed->primed = false;
  feed->due_us = now_us;
  g_clear_pointer (&feed->after, g_free);
}

/* Pages of newest records: the key after which the next one begins.  */
static void
feed_next_page (feed_t *feed, const GArray *items, bool more, uint64_t end)
{
  if (!feed->after)
    feed->from = end;
  g_clear_pointer (&feed->after, g_free);
  if (more && items->len > 0)
    feed->after
        = g_strdup (g_array_index (items, site_item_t, items->len - 1).key);
  else
    feed->primed = true;
}

static GArray *
new_items (void)
{
  GArray *items = g_array_new (FALSE, TRUE, sizeof (site_item_t));

  g_array_set_clear_func (items, site_item_clear);
  return items;
}

/* The rules.  */

static void
take_rules (core_t *core, const void *data, size_t len)
{
  g_autoptr (GError) error = NULL;
  rules_t *rules = site_rules (data, len, &error);

  if (!rules)
    {
      event_log (EV_RECORD_REJECTED, "topic=%s error=\"%s\"", SITE_TOPIC_RULES,
                 error->message);
      return;
    }
  if (core->rules && rules->version <= core->rules->version)
    {
      rules_free (rules);
      return;
    }
  core_set_rules (core, rules);
}

static void
take_operator_record (core_t *core, const char *key, size_t key_len,
                      const void *data, size_t len)
{
  if (key_len == strlen (SITE_KEY_RULES)
      && memcmp (key, SITE_KEY_RULES, key_len) == 0)
    take_rules (core, data, len);
  else if (key_len > strlen (SITE_KEY_WAVE)
           && memcmp (key, SITE_KEY_WAVE, strlen (SITE_KEY_WAVE)) == 0)
    hostcalls_add_wave (core, data, len);
}

static void
on_newest_rules (void *ctx, const call_result_t *result)
{
  core_t *core = ctx;
  feed_t *feed = &core->rules_feed;
  int64_t now_us = clock_boot_us ();
  g_autoptr (GArray) items = new_items ();
  bool more = false;
  uint64_t end = 0;
  store_reply_t reply
      = site_newest_reply (result->status, result->body, items, &more, &end);

  feed->out = false;
  core_store_state (core, reply == STORE_OK, "rules");
  if (reply != STORE_OK)
    {
      feed_failed (feed, now_us);
      return;
    }
  for (uint32_t i = 0; i < items->len; i++)
    {
      const site_item_t *item = &g_array_index (items, site_item_t, i);

      if (item->value)
        take_operator_record (core, item->key, strlen (item->key), item->value,
                              item->len);
    }
  feed_next_page (feed, items, more, end);
  feed->due_us = now_us;
  if (feed->primed)
    atomic_store (&core->board->rules_known_us, result->sent_us);
}

static void
on_rules (void *ctx, const call_result_t *result)
{
  core_t *core = ctx;
  feed_t *feed = &core->rules_feed;
  int64_t now_us = clock_boot_us ();
  g_autoptr (GArray) records
      = g_array_new (FALSE, TRUE, sizeof (site_record_t));
  uint64_t end = 0;
  uint64_t first = 0;
  store_reply_t reply = site_read_reply (result->status, result->body, true,
                                         records, &end, &first);

  feed->out = false;
  core_store_state (core, reply == STORE_OK, "rules");
  if (reply == STORE_EXPIRED)
    {
      feed_restart (feed, now_us);
      return;
    }
  if (reply != STORE_OK)
    {
      feed_failed (feed, now_us);
      return;
    }
  for (uint32_t i = 0; i < records->len; i++)
    {
      const site_record_t *record = &g_array_index (records, site_record_t, i);

      if (record->len > 0)
        take_operator_record (core, record->key, record->key_len, record->data,
                              record->len);
    }
  feed->from += records->len;
  feed->due_us = now_us;
  if (feed->from >= end)
    atomic_store (&core->board->rules_known_us, result->sent_us);
}

/* The workers' reports.  */

static void
take_worker (core_t *core, const char *id, const void *data, size_t len)
{
  sched_now_t now = core_now ();
  site_worker_t worker;
  g_autoptr (GError) error = NULL;

  if (!data || len == 0)
    {
      sched_drop_worker (core->sched, id, now);
      return;
    }
  if (!site_worker (id, data, len, &worker, &error))
    {
      event_log (EV_WORKER_REJECTED, "worker=%s error=\"%s\"", id,
                 error->message);
      return;
    }
  sched_set_worker (core->sched, &worker.info, now);
  site_worker_clear (&worker);
}

static void
on_newest_workers (void *ctx, const call_result_t *result)
{
  core_t *core = ctx;
  feed_t *feed = &core->workers_feed;
  int64_t now_us = clock_boot_us ();
  g_autoptr (GArray) items = new_items ();
  bool more = false;
  uint64_t end = 0;
  store_reply_t reply
      = site_newest_reply (result->status, result->body, items, &more, &end);

  feed->out = false;
  if (!core->sched)
    return;
  if (reply != STORE_OK)
    {
      feed_failed (feed, now_us);
      return;
    }
  for (uint32_t i = 0; i < items->len; i++)
    {
      const site_item_t *item = &g_array_index (items, site_item_t, i);

      if (item->value)
        g_hash_table_add (core->seen_workers, g_strdup (item->key));
      take_worker (core, item->key, item->value, item->len);
    }
  feed_next_page (feed, items, more, end);
  feed->due_us = now_us;
  if (!feed->primed)
    return;
  sched_keep_workers (core->sched, core->seen_workers, core_now ());
  g_hash_table_remove_all (core->seen_workers);
}

static void
on_workers (void *ctx, const call_result_t *result)
{
  core_t *core = ctx;
  feed_t *feed = &core->workers_feed;
  int64_t now_us = clock_boot_us ();
  g_autoptr (GArray) records
      = g_array_new (FALSE, TRUE, sizeof (site_record_t));
  uint64_t end = 0;
  uint64_t first = 0;
  store_reply_t reply = site_read_reply (result->status, result->body, true,
                                         records, &end, &first);

  feed->out = false;
  if (!core->sched)
    return;
  if (reply == STORE_EXPIRED)
    {
      feed_restart (feed, now_us);
      return;
    }
  if (reply != STORE_OK)
    {
      feed_failed (feed, now_us);
      return;
    }
  for (uint32_t i = 0; i < records->len; i++)
    {
      const site_record_t *record = &g_array_index (records, site_record_t, i);
      g_autofree char *id
          = record->key ? g_strndup (record->key, record->key_len) : NULL;

      if (id)
        take_worker (core, id, record->data, record->len);
    }
  feed->from += records->len;
  feed->due_us = now_us + WORKERS_PAUSE_US;
}

void
feeds_watch_workers (core_t *core, int64_t now_us)
{
  g_hash_table_remove_all (core->seen_workers);
  feed_restart (&core->workers_feed, now_us);
}

/* The job log.  */

static void
take_record (core_t *core, const site_record_t *record, int64_t now_us)
{
  g_autoptr (GError) error = NULL;
  folded_t folded = { FOLD_NOTHING, NULL };
  job_rec_t rec;

  core->tab->next++;
  if (!job_rec_unpack (record->data, record->len, &rec, &error))
    {
      event_log (EV_RECORD_MALFORMED,
                 "topic=%s offset=%" PRIu64 " error=\"%s\"", SITE_TOPIC_JOBS,
                 core->tab->next - 1, error->message);
      return;
    }
  /* The table takes over the description.  */
  if (rec.kind == JREC_SUBMIT)
    appends_seen (core, &rec);
  folded = jobtab_fold (core->tab, &rec, clock_wall_ms ());
  core_folded (core, &rec, folded, now_us);
  if (rec.kind == JREC_CANCEL)
    appends_seen (core, &rec);
  job_rec_clear (&rec);
}

static void
on_jobs (void *ctx, const call_result_t *result)
{
  core_t *core = ctx;
  feed_t *feed = &core->jobs_feed;
  int64_t now_us = clock_boot_us ();
  g_autoptr (GArray) records
      = g_array_new (FALSE, TRUE, sizeof (site_record_t));
  uint64_t end = 0;
  uint64_t first = 0;
  store_reply_t reply = site_read_reply (result->status, result->body, false,
                                         records, &end, &first);

  feed->out = false;
  if (reply == STORE_EXPIRED)
    {
      event_log (EV_LOG_GAP, "next=%" PRIu64 " first=%" PRIu64,
                 core->tab->next, first);
      feed->from = first;
      feed_restart (feed, now_us);
      return;
    }
  if (reply != STORE_OK)
    {
      feed_failed (feed, now_us);
      return;
    }
  for (uint32_t i = 0; i < records->len; i++)
    take_record (core, &g_array_index (records, site_record_t, i), now_us);
  if (core->tab->next >= end)
    core_caught_up (core, result->sent_us, now_us);
  feed->due_us = core->tab->next < end ? now_us
                 : core->sched || core->cancels->len > 0
                     ? now_us + OWNER_PAUSE_US
                     : now_us + SHOW_PAUSE_US;
}

/* Puts the parts together; NULL when they are not all of one snapshot.  */
static GByteArray *
join_parts (const GArray *items, snapshot_head_t *head)
{
  GByteArray *whole = g_byte_array_new ();

  memset (head, 0, sizeof *head);
  for (uint32_t i = 0; i < items->len; i++)
    {
      const site_item_t *item = &g_array_index (items, site_item_t, i);
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
        continue; /* of a longer snapshot before */
      if (part.next != head->next)
        break;
      g_byte_array_append (whole, item->value + sizeof part,
                           (guint)(item->len - sizeof part));
      if (part.part + 1 == head->parts)
        return whole;
    }
  g_byte_array_unref (whole);
  return NULL;
}

static void
take_snapshot (core_t *core, const GArray *items)
{
  g_autoptr (GError) error = NULL;
  snapshot_head_t head;
  GByteArray *whole;
  jobtab_t *tab;

  if (items->len == 0)
    return;
  whole = join_parts (items, &head);
  if (!whole)
    {
      event_log (EV_SNAPSHOT_REJECTED, "reason=\"parts don't fit together\"");
      return;
    }
  if (head.next <= core->tab->next)
    {
      g_byte_array_unref (whole);
      return;
    }
  tab = jobtab_unpack (whole->data, whole->len, &error);
  g_byte_array_unref (whole);
  if (tab)
    core_replace_table (core, tab);
  else
    event_log (EV_SNAPSHOT_REJECTED, "reason=\"%s\"", error->message);
}

static void
on_snapshot (void *ctx, const call_result_t *result)
{
  core_t *core = ctx;
  feed_t *feed = &core->jobs_feed;
  int64_t now_us = clock_boot_us ();
  g_autoptr (GArray) items = new_items ();
  bool more = false;
  uint64_t end = 0;
  store_reply_t reply
      = site_newest_reply (result->status, result->body, items, &more, &end);

  feed->out = false;
  /* A topic that nobody has used yet is not found.  */
  if (reply != STORE_OK && result->status != 404)
    {
      feed_failed (feed, now_us);
      return;
    }
  if (reply == STORE_OK)
    take_snapshot (core, items);
  if (core->tab->next < feed->from)
    core->tab->next = feed->from; /* what lies between is lost */
  feed->primed = true;
  feed->due_us = now_us;
}

static void
on_snapshot_written (void *ctx, const call_result_t *result)
{
  core_t *core = ctx;

  core->snapshot_out = false;
  if (site_append_reply (result->status, result->body) != STORE_OK)
    core->tab_changed = true;
}

void
feeds_write_snapshot (core_t *core, int64_t now_us)
{
  g_autoptr (GPtrArray) records
      = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  GBytes *whole = jobtab_pack (core->tab);
  gsize len;
  const uint8_t *data = g_bytes_get_data (whole, &len);
  uint32_t parts = (uint32_t)(len / SNAPSHOT_PART_BYTES) + 1;
  site_req_t req;

  core->snapshot_us = now_us;
  if (len > SNAPSHOT_CALL_BYTES_MAX)
    {
      event_log (EV_SNAPSHOT_REJECTED, "reason=\"too large\" bytes=%zu", len);
      g_bytes_unref (whole);
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
      g_ptr_array_add (records, site_keyed (key, value->data, value->len));
    }
  g_bytes_unref (whole);
  core->snapshot_out = true;
  core->tab_changed = false;
  req = site_append (SITE_TOPIC_SNAPSHOT, records);
  calls_send (core->calls, core->settings->store, &req,
              LOG_WAIT_MS + READ_SLACK_MS, on_snapshot_written, core);
}

void
feeds_open (core_t *core, int64_t now_us)
{
  core->jobs_feed.due_us = now_us;
  core->rules_feed.due_us = now_us;
  core->seen_workers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

void
feeds_close (core_t *core)
{
  g_free (core->jobs_feed.after);
  g_free (core->rules_feed.after);
  g_free (core->workers_feed.after);
  g_hash_table_destroy (core->seen_workers);
}

static void
run_keyed (core_t *core, feed_t *feed, const char *topic, uint32_t wait_ms,
           feed_reply_t on_newest, feed_reply_t on_records, int64_t now_us)
{
  if (feed->out || feed->due_us > now_us)
    return;
  if (feed->primed)
    feed_send (core, feed, site_read (topic, feed->from, wait_ms), wait_ms,
               on_records);
  else
    feed_send (core, feed, site_newest (topic, feed->after), 0, on_newest);
}

static void
run_jobs (core_t *core, int64_t now_us)
{
  feed_t *feed = &core->jobs_feed;
  uint32_t wait_ms = core->unsure_since_pause ? 0 : LOG_WAIT_MS;

  if (feed->out || feed->due_us > now_us)
    return;
  if (feed->primed)
    feed_send (core, feed,
               site_read (SITE_TOPIC_JOBS, core->tab->next, wait_ms), wait_ms,
               on_jobs);
  else
    feed_send (core, feed, site_newest (SITE_TOPIC_SNAPSHOT, NULL), 0,
               on_snapshot);
}

void
feeds_run (core_t *core, int64_t now_us)
{
  run_jobs (core, now_us);
  run_keyed (core, &core->rules_feed, SITE_TOPIC_RULES, RULES_WAIT_MS,
             on_newest_rules, on_rules, now_us);
  if (core->sched)
    run_keyed (core, &core->workers_feed, SITE_TOPIC_WORKERS, LOG_WAIT_MS,
               on_newest_workers, on_workers, now_us);
}

int64_t
feeds_due_us (const core_t *core)
{
  int64_t due_us = INT64_MAX;

  if (!core->jobs_feed.out)
    due_us = MIN (due_us, core->jobs_feed.due_us);
  if (!core->rules_feed.out)
    due_us = MIN (due_us, core->rules_feed.due_us);
  if (core->sched && !core->workers_feed.out)
    due_us = MIN (due_us, core->workers_feed.due_us);
  return due_us;
}

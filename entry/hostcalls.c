#include "core.h"
#include <string.h>

/* The host service may be slow or unavailable; orders are repeated.  */
#define CALL_TIMEOUT_MS 1500
#define RETRY_US 300000

typedef struct host_order_call
{
  core_t *core;
  host_order_t order;
} host_order_call_t;

/* Waves.  */

/* An operator's record of a wave and when it was first read.  */
typedef struct wave_record
{
  GBytes *record;
  int64_t known_us;
} wave_record_t;

static void
clear_wave_record (gpointer data)
{
  g_bytes_unref (((wave_record_t *)data)->record);
}

/* Without a host service waves have no effect.  */
static void
apply_wave (core_t *core, const wave_record_t *entry)
{
  g_autoptr (GError) error = NULL;
  gsize len;
  const void *data = g_bytes_get_data (entry->record, &len);
  wave_info_t wave;

  if (!core->settings->hosts_api[0])
    return;
  if (platform_parse_wave (data, len, &wave, &error))
    hosts_set_wave (core->sched, &wave, entry->known_us, core_now ());
  else
    event_log (EV_RECORD_REJECTED, "topic=%s error=\"%s\"",
               PLATFORM_TOPIC_RULES, error->message);
}

void
hostcalls_add_wave (core_t *core, const void *data, size_t len)
{
  wave_record_t entry = { g_bytes_new (data, len), clock_boot_us () };

  for (uint32_t i = 0; i < core->waves->len; i++)
    if (g_bytes_equal (g_array_index (core->waves, wave_record_t, i).record,
                       entry.record))
      {
        g_bytes_unref (entry.record);
        /* Already known: the feed was read again because the store had deleted
           the history that it was to read next.  */
        return;
      }
  g_array_append_val (core->waves, entry);
  if (core->sched && core->fleet_feed.loaded)
    apply_wave (core, &entry);
}

/* Records of earlier owners.  */

static void
apply_fleet_update (sched_t *sched, const fleet_update_t *update)
{
  switch (update->kind)
    {
    case FLEET_UPDATE_POOL_BASE:
      hosts_set_base_size (sched, update->name, (uint32_t)update->number);
      return;
    case FLEET_UPDATE_HOST_BEGUN:
      hosts_set_begun (sched, update->number, update->name);
      return;
    case FLEET_UPDATE_HOST_ORDERED:
      hosts_set_ordered (sched, update->number, update->name);
      return;
    case FLEET_UPDATE_WAVE_RUNNING:
    case FLEET_UPDATE_WAVE_COMPLETE:
      return; /* not stored there */
    }
}

static void
on_fleet_records (void *ctx, const call_result_t *result)
{
  feed_t *feed = ctx;
  core_t *core = feed->core;
  g_autoptr (GArray) items = feed_items_new ();
  bool more = false;
  uint64_t end = 0;
  store_reply_t reply = platform_newest_reply (result->status, result->body,
                                               items, &more, &end);

  feed->in_flight = false;
  /* Status 404: nothing was written to the topic yet.  */
  if (!core->sched || (reply != STORE_OK && result->status != 404))
    {
      feed->due_us = clock_boot_us () + RETRY_US;
      return;
    }
  for (uint32_t i = 0; i < items->len; i++)
    {
      const platform_item_t *item = &g_array_index (items, platform_item_t, i);
      fleet_update_t update;

      if (item->value && strcmp (item->key, PLATFORM_KEY_SUMMARY) == 0)
        summaries_apply (core, item->value, item->len);
      if (!item->value
          || !platform_parse_fleet_record (item->key, item->value, item->len,
                                           &update))
        continue;
      apply_fleet_update (core->sched, &update);
    }
  feed_next_page (feed, items, more, end);
  if (!feed->loaded)
    return;
  for (uint32_t i = 0; i < core->waves->len; i++)
    apply_wave (core, &g_array_index (core->waves, wave_record_t, i));
}

static void
read_fleet_records (feed_t *feed)
{
  platform_req_t req
      = platform_newest_req (PLATFORM_TOPIC_FLEET, feed->page_after);

  feed->in_flight = true;
  calls_send (feed->core->calls, feed->core->settings->store, &req,
              CALL_TIMEOUT_MS, on_fleet_records, feed);
}

/* List of hosts.  */

static void read_hosts (core_t *core, const char *page);

static void
on_hosts (void *ctx, const call_result_t *result)
{
  core_t *core = ctx;
  g_autoptr (GError) error = NULL;
  platform_hosts_t page;

  core->hosts_in_flight = false;
  core->hosts_due_us = 0;
  if (!core->sched)
    return;
  if (!platform_hosts_reply (result->status, result->body, &page, &error))
    {
      core->hosts_due_us = clock_boot_us () + RETRY_US;
      event_log (EV_LIVE_LIST_FAILED, "%s", error->message);
      return;
    }
  for (uint32_t i = 0; i < page.hosts->len; i++)
    {
      host_info_t *info = &g_array_index (page.hosts, host_info_t, i);

      /* All pages are joined, so the names must outlive their page.  */
      info->host = g_intern_string (info->host);
      info->pool = g_intern_string (info->pool);
      info->worker = g_intern_string (info->worker);
      info->data_centre
          = info->data_centre ? g_intern_string (info->data_centre) : NULL;
      g_array_append_val (core->hosts_read, *info);
    }
  if (page.next)
    read_hosts (core, page.next);
  else
    hosts_set (core->sched, core->hosts_read, core->hosts_sent_us,
               core_now ());
  platform_hosts_clear (&page);
}

static void
read_hosts (core_t *core, const char *page)
{
  platform_req_t req = platform_hosts_req (page);

  if (!page)
    {
      g_array_set_size (core->hosts_read, 0);
      core->hosts_sent_us = clock_boot_us ();
    }
  core->hosts_in_flight = true;
  calls_send (core->calls, core->settings->hosts_api, &req, CALL_TIMEOUT_MS,
              on_hosts, core);
}

/* Host orders.  */

static void
on_host_order (void *ctx, const call_result_t *result)
{
  host_order_call_t *call = ctx;
  core_t *core = call->core;
  host_reply_t reply
      = result->not_sent
            ? HOST_REPLY_REFUSED
            : platform_host_order_reply (result->status, result->body);

  if (core->sched && call->order.token == core->tab->owner.epoch
      && !hosts_reply (core->sched, &call->order, reply, core_now ()))
    core_lose_ownership (core, call->order.host);
  g_free (call);
}

static void
send_orders (core_t *core, GArray *orders)
{
  for (uint32_t i = 0; i < orders->len; i++)
    {
      host_order_call_t *call = g_new0 (host_order_call_t, 1);
      platform_req_t req;

      counter_add (COUNT_HOST_ORDERS, 1);
      call->core = core;
      call->order = g_array_index (orders, host_order_t, i);
      call->order.holder = core->settings->name;
      req = platform_host_order_req (&call->order);
      calls_send (core->calls, core->settings->hosts_api, &req,
                  CALL_TIMEOUT_MS, on_host_order, call);
    }
  g_array_set_size (orders, 0);
}

/* Records of waves and pools.  */

typedef struct fleet_write
{
  core_t *core;
  GBytes *record;
  const char *topic;
  fleet_update_t update; /* that RECORD holds */
} fleet_write_t;

static void
on_fleet_written (void *ctx, const call_result_t *result)
{
  fleet_write_t *call = ctx;
  sched_t *sched = call->core->sched;
  bool stored = platform_append_reply (result->status) == STORE_OK;

  if (stored && sched && call->update.kind == FLEET_UPDATE_HOST_ORDERED)
    hosts_set_recorded (sched, call->update.number, call->update.name,
                        core_now ());
  if (stored || !sched)
    g_bytes_unref (call->record);
  else
    g_array_append_val (call->core->fleet_retries, *call);
  g_free (call);
}

static void
write_fleet_record (core_t *core, const char *topic, GBytes *record,
                    const fleet_update_t *update)
{
  g_autoptr (GPtrArray) records = g_ptr_array_new ();
  fleet_write_t *call = g_new0 (fleet_write_t, 1);
  platform_req_t req;

  g_ptr_array_add (records, record);
  *call = (fleet_write_t){ core, record, topic, *update };
  req = platform_append_req (topic, records);
  calls_send (core->calls, core->settings->store, &req, CALL_TIMEOUT_MS,
              on_fleet_written, call);
}

static void
write_fleet_updates (core_t *core, GArray *updates, int64_t now_us)
{
  if (core->fleet_retries->len > 0 && core->fleet_retry_us <= now_us)
    {
      g_autoptr (GArray) retries = core->fleet_retries;

      core->fleet_retries = g_array_new (FALSE, FALSE, sizeof (fleet_write_t));
      core->fleet_retry_us = now_us + RETRY_US;
      for (uint32_t i = 0; i < retries->len; i++)
        {
          const fleet_write_t *call
              = &g_array_index (retries, fleet_write_t, i);

          write_fleet_record (core, call->topic, call->record, &call->update);
        }
    }
  for (uint32_t i = 0; i < updates->len; i++)
    {
      const fleet_update_t *row = &g_array_index (updates, fleet_update_t, i);

      switch (row->kind)
        {
        case FLEET_UPDATE_WAVE_RUNNING:
        case FLEET_UPDATE_WAVE_COMPLETE:
          write_fleet_record (
              core, PLATFORM_TOPIC_STATUS,
              platform_wave_status_record (
                  row->number, row->kind == FLEET_UPDATE_WAVE_COMPLETE),
              row);
          break;
        case FLEET_UPDATE_HOST_ORDERED:
        case FLEET_UPDATE_HOST_BEGUN:
        case FLEET_UPDATE_POOL_BASE:
          write_fleet_record (core, PLATFORM_TOPIC_FLEET,
                              platform_fleet_record (row), row);
          break;
        }
    }
  g_array_set_size (updates, 0);
}

void
hostcalls_open (core_t *core)
{
  core->waves = g_array_new (FALSE, FALSE, sizeof (wave_record_t));
  g_array_set_clear_func (core->waves, clear_wave_record);
  core->hosts_read = g_array_new (FALSE, TRUE, sizeof (host_info_t));
  core->fleet_retries = g_array_new (FALSE, FALSE, sizeof (fleet_write_t));
}

void
hostcalls_close (core_t *core)
{
  for (uint32_t i = 0; i < core->fleet_retries->len; i++)
    g_bytes_unref (
        g_array_index (core->fleet_retries, fleet_write_t, i).record);
  g_array_free (core->fleet_retries, TRUE);
  g_array_free (core->waves, TRUE);
  g_array_free (core->hosts_read, TRUE);
}

void
hostcalls_start_owner (core_t *core)
{
  core->hosts_due_us = 0;
  feed_restart (&core->fleet_feed, 0);
  summaries_start_owner (core, clock_boot_us ());
}

static void
run_hosts (core_t *core, int64_t now_us)
{
  sched_now_t now = core_now ();

  if (!core->hosts_in_flight && core->hosts_due_us <= now_us
      && hosts_list_is_due (core->sched, now))
    read_hosts (core, NULL);
  send_orders (core, hosts_plan (core->sched, now));
  write_fleet_updates (core, hosts_updates (core->sched), now_us);
}

void
hostcalls_run (core_t *core, int64_t now_us)
{
  feed_t *feed = &core->fleet_feed;
  bool has_hosts = core->settings->hosts_api[0] != '\0';

  if (!has_hosts && !entry_setting_is_on (core->settings->owner_summary))
    return;
  if (!feed->loaded)
    {
      if (!feed->in_flight && feed->due_us <= now_us)
        read_fleet_records (feed);
      return;
    }
  if (has_hosts)
    run_hosts (core, now_us);
  summaries_run (core, now_us);
}

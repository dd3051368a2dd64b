#include "core.h"
#include <string.h>

/* The service that knows hosts may be slow or down; orders are repeated.  */
#define CALL_TIMEOUT_MS 1500
#define RETRY_US 300000

typedef struct sent_host_order
{
  core_t *core;
  host_order_t order;
} sent_host_order_t;

/* Waves of the operators.  */

/* A wave's record, and since when it is known here.  */
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

static void
hand_over_wave (core_t *core, const wave_record_t *known)
{
  g_autoptr (GError) error = NULL;
  gsize len;
  const void *data = g_bytes_get_data (known->record, &len);
  wave_info_t wave;

  if (platform_parse_wave (data, len, &wave, &error))
    hosts_set_wave (core->sched, &wave, known->known_us, core_now ());
  else
    event_log (EV_RECORD_REJECTED, "topic=%s error=\"%s\"",
               PLATFORM_TOPIC_RULES, error->message);
}

void
hostcalls_add_wave (core_t *core, const void *data, size_t len)
{
  wave_record_t known = { g_bytes_new (data, len), clock_boot_us () };

  for (uint32_t i = 0; i < core->waves->len; i++)
    if (g_bytes_equal (g_array_index (core->waves, wave_record_t, i).record,
                       known.record))
      {
        g_bytes_unref (known.record);
        return; /* read again after the store forgot its history */
      }
  g_array_append_val (core->waves, known);
  if (core->sched && core->marks_feed.primed)
    hand_over_wave (core, &known);
}

/* What earlier owners recorded.  */

static void
on_marks (void *ctx, const call_result_t *result)
{
  feed_t *feed = ctx;
  core_t *core = feed->core;
  g_autoptr (GArray) items = newest_items ();
  bool more = false;
  uint64_t end = 0;
  store_reply_t reply = platform_newest_reply (result->status, result->body,
                                               items, &more, &end);

  feed->out = false;
  /* A topic that nobody has used yet is not found.  */
  if (!core->sched || (reply != STORE_OK && result->status != 404))
    {
      feed->due_us = clock_boot_us () + RETRY_US;
      return;
    }
  for (uint32_t i = 0; i < items->len; i++)
    {
      const platform_item_t *item = &g_array_index (items, platform_item_t, i);
      fleet_update_t news;

      if (!item->value
          || !platform_parse_fleet_record (item->key, item->value, item->len,
                                           &news))
        continue;
      if (news.kind == FLEET_UPDATE_POOL_BASE)
        hosts_set_base_size (core->sched, news.name, (uint32_t)news.number);
      else
        hosts_set_begun (core->sched, news.number, news.name);
    }
  feed_next_page (feed, items, more, end);
  if (!feed->primed)
    return;
  for (uint32_t i = 0; i < core->waves->len; i++)
    hand_over_wave (core, &g_array_index (core->waves, wave_record_t, i));
}

static void
read_marks (feed_t *feed)
{
  platform_req_t req = platform_newest_req (PLATFORM_TOPIC_FLEET, feed->after);

  feed->out = true;
  calls_send (feed->core->calls, feed->core->settings->store, &req,
              CALL_TIMEOUT_MS, on_marks, feed);
}

/* The list of hosts.  */

static void read_hosts (core_t *core, const char *page);

static void
on_hosts (void *ctx, const call_result_t *result)
{
  core_t *core = ctx;
  g_autoptr (GError) error = NULL;
  platform_hosts_t page;

  core->hosts_out = false;
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

      /* The pages of one reading are joined, so names outlast their page.  */
      info->host = g_intern_string (info->host);
      info->pool = g_intern_string (info->pool);
      info->worker = g_intern_string (info->worker);
      g_array_append_val (core->hosts_page, *info);
    }
  if (page.next)
    read_hosts (core, page.next);
  else
    hosts_set (core->sched, core->hosts_page, core->hosts_sent_us,
               core_now ());
  platform_hosts_clear (&page);
}

static void
read_hosts (core_t *core, const char *page)
{
  platform_req_t req = platform_hosts_req (page);

  if (!page)
    {
      g_array_set_size (core->hosts_page, 0);
      core->hosts_sent_us = clock_boot_us ();
    }
  core->hosts_out = true;
  calls_send (core->calls, core->settings->hosts_api, &req, CALL_TIMEOUT_MS,
              on_hosts, core);
}

/* Orders.  */

static void
on_host_order (void *ctx, const call_result_t *result)
{
  sent_host_order_t *sent = ctx;
  core_t *core = sent->core;
  host_reply_t reply
      = result->refused
            ? HOST_REPLY_REFUSED
            : platform_host_order_reply (result->status, result->body);

  if (core->sched && sent->order.token == core->tab->owner.epoch
      && !hosts_reply (core->sched, &sent->order, reply, core_now ()))
    core_depose (core, sent->order.host);
  g_free (sent);
}

static void
send_orders (core_t *core, GArray *orders)
{
  for (uint32_t i = 0; i < orders->len; i++)
    {
      sent_host_order_t *sent = g_new0 (sent_host_order_t, 1);
      platform_req_t req;

      counter_add (COUNT_HOST_ORDERS, 1);
      sent->core = core;
      sent->order = g_array_index (orders, host_order_t, i);
      sent->order.holder = core->settings->name;
      req = platform_host_order_req (&sent->order);
      calls_send (core->calls, core->settings->hosts_api, &req,
                  CALL_TIMEOUT_MS, on_host_order, sent);
    }
  g_array_set_size (orders, 0);
}

/* Records about waves and pools.  */

typedef struct sent_news
{
  core_t *core;
  GBytes *record;
  const char *topic;
} sent_news_t;

static void
on_news (void *ctx, const call_result_t *result)
{
  sent_news_t *sent = ctx;

  if (platform_append_reply (result->status) == STORE_OK || !sent->core->sched)
    g_bytes_unref (sent->record);
  else
    g_array_append_val (sent->core->news_again, *sent);
  g_free (sent);
}

static void
send_news (core_t *core, const char *topic, GBytes *record)
{
  g_autoptr (GPtrArray) records = g_ptr_array_new ();
  sent_news_t *sent = g_new0 (sent_news_t, 1);
  platform_req_t req;

  g_ptr_array_add (records, record);
  *sent = (sent_news_t){ core, record, topic };
  req = platform_append_req (topic, records);
  calls_send (core->calls, core->settings->store, &req, CALL_TIMEOUT_MS,
              on_news, sent);
}

static void
record_news (core_t *core, GArray *news, int64_t now_us)
{
  if (core->news_again->len > 0 && core->news_due_us <= now_us)
    {
      g_autoptr (GArray) again = core->news_again;

      core->news_again = g_array_new (FALSE, FALSE, sizeof (sent_news_t));
      core->news_due_us = now_us + RETRY_US;
      for (uint32_t i = 0; i < again->len; i++)
        {
          const sent_news_t *sent = &g_array_index (again, sent_news_t, i);

          send_news (core, sent->topic, sent->record);
        }
    }
  for (uint32_t i = 0; i < news->len; i++)
    {
      const fleet_update_t *row = &g_array_index (news, fleet_update_t, i);

      switch (row->kind)
        {
        case FLEET_UPDATE_WAVE_RUNNING:
        case FLEET_UPDATE_WAVE_COMPLETE:
          send_news (
              core, PLATFORM_TOPIC_STATUS,
              platform_wave_status_record (
                  row->number, row->kind == FLEET_UPDATE_WAVE_COMPLETE));
          break;
        case FLEET_UPDATE_HOST_BEGUN:
        case FLEET_UPDATE_POOL_BASE:
          send_news (core, PLATFORM_TOPIC_FLEET, platform_fleet_record (row));
          break;
        }
    }
  g_array_set_size (news, 0);
}

void
hostcalls_open (core_t *core)
{
  core->waves = g_array_new (FALSE, FALSE, sizeof (wave_record_t));
  g_array_set_clear_func (core->waves, clear_wave_record);
  core->hosts_page = g_array_new (FALSE, TRUE, sizeof (host_info_t));
  core->news_again = g_array_new (FALSE, FALSE, sizeof (sent_news_t));
}

void
hostcalls_close (core_t *core)
{
  for (uint32_t i = 0; i < core->news_again->len; i++)
    g_bytes_unref (g_array_index (core->news_again, sent_news_t, i).record);
  g_array_free (core->news_again, TRUE);
  g_array_free (core->waves, TRUE);
  g_array_free (core->hosts_page, TRUE);
}

void
hostcalls_restart (core_t *core)
{
  core->hosts_due_us = 0;
  feed_restart (&core->marks_feed, 0);
}

void
hostcalls_run (core_t *core, int64_t now_us)
{
  sched_now_t now = core_now ();
  feed_t *marks = &core->marks_feed;

  if (!core->settings->hosts_api[0])
    return;
  if (!marks->primed)
    {
      if (!marks->out && marks->due_us <= now_us)
        read_marks (marks);
      return;
    }
  if (!core->hosts_out && core->hosts_due_us <= now_us
      && hosts_list_is_due (core->sched, now))
    read_hosts (core, NULL);
  send_orders (core, hosts_plan (core->sched, now));
  record_news (core, hosts_updates (core->sched), now_us);
}

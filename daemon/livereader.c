#include "control.h"
#include <string.h>

#define POLL_MS 1000
#define READ_TIMEOUT_MS 2000

struct livereader
{
  platform_t *platform;
  maintenance_t *maintenance;
  waiter_t waiter;
  pthread_t thread;
  bool failing;
};

static void
mark_leaving (const view_t *view, const char *host, int64_t now_us)
{
  for (uint32_t i = 0; i < view->services_count; i++)
    for (uint32_t j = 0; j < view->services[i].upstreams_count; j++)
      {
        const view_upstream_t *upstream = &view->services[i].upstreams[j];

        if (strcmp (upstream->rule->host, host) == 0
            && health_mark_leaving (&upstream->runtime->health, now_us))
          event_log (EV_UPSTREAM_LEAVING, "upstream=%s sign=list",
                     upstream->runtime->name);
      }
}

static void
mark_leaving_hosts (const live_list_t *list, int64_t now_us)
{
  const view_t *view;

  rcu_read_lock ();
  view = view_get ();
  for (uint32_t i = 0; view && i < list->count; i++)
    if (list->hosts[i].state == LIVE_LEAVING)
      mark_leaving (view, list->hosts[i].host, now_us);
  rcu_read_unlock ();
}

static uint32_t
find_slow (const view_service_t *service)
{
  uint32_t *latencies_us = g_new (uint32_t, service->upstreams_count + 1);
  uint32_t index;

  for (uint32_t i = 0; i < service->upstreams_count; i++)
    latencies_us[i]
        = health_latency_us (&service->upstreams[i].runtime->health);
  index = outlier_find (latencies_us, service->upstreams_count);
  g_free (latencies_us);
  return index;
}

/* Ejects the slowest upstream of SERVICE if it is an outlier.  */
static void
eject_slow (const view_service_t *service, int64_t now_us)
{
  uint32_t index = find_slow (service);
  upstream_runtime_t *slowest;

  if (index == OUTLIER_NONE)
    return;
  slowest = service->upstreams[index].runtime;
  if (!health_eject (&slowest->health, now_us))
    return;
  counter_add (COUNT_UPSTREAM_EJECTED, 1);
  event_log (EV_UPSTREAM_EJECTED, "upstream=%s result=slow latency_us=%u",
             slowest->name, health_latency_us (&slowest->health));
}

static void
eject_all_slow (int64_t now_us)
{
  const view_t *view;

  rcu_read_lock ();
  view = view_get ();
  for (uint32_t i = 0; view && i < view->services_count; i++)
    eject_slow (&view->services[i], now_us);
  rcu_read_unlock ();
}

static void *
run (void *arg)
{
  livereader_t *reader = arg;

  rcu_register_thread ();
  while (waiter_wait (&reader->waiter, POLL_MS))
    {
      live_list_t list = { 0 };
      log_status_t status
          = live_read (reader->platform, READ_TIMEOUT_MS, &list);
      bool failing = status != LOG_OK;

      if (failing && !reader->failing)
        event_log (EV_LIVE_LIST_FAILED, "status=%s", log_status_name (status));
      reader->failing = failing;
      mark_leaving_hosts (&list, clock_mono_us ());
      eject_all_slow (clock_mono_us ());
      if (!failing)
        maintenance_step (reader->maintenance, &list);
      live_list_clear (&list);
    }
  rcu_unregister_thread ();
  return NULL;
}

livereader_t *
livereader_start (const settings_t *settings, const char *platform_url,
                  exchange_t *exchange, planner_t *planner)
{
  livereader_t *reader = g_new0 (livereader_t, 1);

  waiter_init (&reader->waiter);
  reader->platform = platform_open (platform_url);
  reader->maintenance
      = maintenance_new (settings, exchange, planner, reader->platform);
  if (!reader->platform
      || pthread_create (&reader->thread, NULL, run, reader) != 0)
    return NULL;
  return reader;
}

void
livereader_stop (livereader_t *reader)
{
  waiter_stop (&reader->waiter);
  platform_interrupt (reader->platform);
  pthread_join (reader->thread, NULL);
  maintenance_free (reader->maintenance);
  platform_close (reader->platform);
  waiter_destroy (&reader->waiter);
  g_free (reader);
}

#include "planner.h"
#include <arpa/inet.h>
#include <jansson.h>
#include <string.h>

struct admin
{
  const settings_t *settings;
  loop_config_t *config;
  planner_t *planner;
  struct MHD_Daemon *server;
};

static json_t *
dump_counters (void)
{
  json_t *object = json_object ();

  for (counter_id_t id = 0; id < COUNTER_COUNT; id++)
    json_object_set_new (object, counter_name (id),
                         json_integer ((json_int_t)counter_read (id)));
  return object;
}

static json_t *
dump_config (const admin_t *admin, const view_t *view)
{
  freshness_t freshness
      = view ? view_freshness (view, clock_mono_us (), 0) : STALE;
  uint64_t version = view ? state_config_version (view->state) : 0;
  uint64_t offset = view ? view->state->offset : 0;

  return json_pack ("{s:s, s:I, s:I, s:s}", "daemon", admin->settings->name,
                    "version", (json_int_t)version, "offset",
                    (json_int_t)offset, "freshness",
                    freshness_name (freshness));
}

static json_t *
dump_permits (const escrow_t *escrow)
{
  return json_pack ("{s:I, s:I, s:I}", "share",
                    (json_int_t)escrow_share (escrow), "in_use",
                    (json_int_t)escrow_in_use (escrow), "free",
                    (json_int_t)escrow_free_count (escrow));
}

static json_t *
dump_service (const view_service_t *service)
{
  json_t *upstreams = json_object ();

  for (uint32_t i = 0; i < service->upstreams_count; i++)
    json_object_set_new (upstreams, service->upstreams[i].runtime->name,
                         dump_permits (service->upstreams[i].runtime->slots));
  return json_pack ("{s:i, s:o}", "queued",
                    (int)atomic_load (&service->runtime->queued), "upstreams",
                    upstreams);
}

static json_t *
dump_view (const view_t *view)
{
  json_t *services = json_object ();
  json_t *teams = json_object ();
  json_t *hosts = json_object ();

  for (uint32_t i = 0; view && i < view->services_count; i++)
    json_object_set_new (services, view->services[i].runtime->name,
                         dump_service (&view->services[i]));
  for (uint32_t i = 0; view && i < view->teams_count; i++)
    json_object_set_new (teams, view->teams[i].runtime->name,
                         dump_permits (view->teams[i].runtime->permits));
  for (uint32_t i = 0; view && i < view->state->hosts.count; i++)
    {
      const host_state_t *host = table_at (&view->state->hosts, i);

      json_object_set_new (hosts, host->name,
                           json_pack ("{s:s, s:s}", "pool", host->pool,
                                      "phase", host_phase_name (host->phase)));
    }
  return json_pack ("{s:o, s:o, s:o}", "services", services, "teams", teams,
                    "hosts", hosts);
}

static json_t *
dump_pools (const plan_report_t *report)
{
  json_t *pools = json_array ();

  for (uint32_t i = 0; i < report->pools_count; i++)
    {
      const plan_pool_t *pool = &report->pools[i];

      json_array_append_new (
          pools, json_pack ("{s:s, s:b, s:I, s:I, s:I, s:I, s:I, s:I, s:I}",
                            "pool", pool->load.pool, "spare", pool->spare,
                            "hosts", (json_int_t)pool->hosts, "in_service",
                            (json_int_t)pool->in_service, "home",
                            (json_int_t)pool->home, "in_use",
                            (json_int_t)pool->load.in_use, "queued",
                            (json_int_t)pool->load.queued, "demand_milli",
                            (json_int_t)pool->load.milli, "burst_milli",
                            (json_int_t)pool->burst_milli));
    }
  return pools;
}

static json_t *
dump_moves (const plan_report_t *report)
{
  json_t *moves = json_array ();

  for (uint32_t i = 0; i < report->moves_count; i++)
    {
      const host_move_t *move = &report->moves[i];

      json_array_append_new (
          moves, json_pack ("{s:s, s:s, s:s, s:b, s:s}", "host", move->host,
                            "from", move->from, "to", move->to, "under_way",
                            move->under_way, "reason", move->reason));
    }
  return moves;
}

static json_t *
dump_plan (const admin_t *admin)
{
  plan_report_t *report = planner_report (admin->planner);
  json_t *plan = json_pack (
      "{s:b, s:b, s:b, s:s?, s:I, s:o, s:o}", "known", report->known, "fresh",
      report->fresh, "move_hosts", admin->settings->move_hosts, "actor",
      report->actor, "buffer_hosts", (json_int_t)report->buffer_hosts, "pools",
      dump_pools (report), "moves", dump_moves (report));

  plan_report_free (report);
  return plan;
}

static json_t *
make_page (const admin_t *admin, const char *url)
{
  const view_t *view;
  json_t *object = NULL;

  rcu_read_lock ();
  view = view_get ();
  if (strcmp (url, "/counters") == 0)
    object = dump_counters ();
  else if (strcmp (url, "/config") == 0)
    object = dump_config (admin, view);
  else if (strcmp (url, "/plan") == 0)
    object = dump_plan (admin);
  else if (strcmp (url, "/dump") == 0)
    object
        = json_pack ("{s:o, s:o, s:o}", "config", dump_config (admin, view),
                     "view", dump_view (view), "counters", dump_counters ());
  rcu_read_unlock ();
  return object;
}

static enum MHD_Result
reply_text (struct MHD_Connection *conn, unsigned status, char *text)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (text), text, MHD_RESPMEM_MUST_FREE);
  enum MHD_Result result;

  MHD_add_response_header (response, "Content-Type", "application/json");
  result = MHD_queue_response (conn, status, response);
  MHD_destroy_response (response);
  return result;
}

/* The load balancer stops sending requests to an unhealthy daemon.  */
static bool
is_healthy (const admin_t *admin)
{
  bool has_view;

  rcu_read_lock ();
  has_view = view_get () != NULL;
  rcu_read_unlock ();
  return has_view && !atomic_load (&admin->config->stopping);
}

static enum MHD_Result
on_access (void *cls, struct MHD_Connection *conn, const char *url,
           const char *method, const char *version, const char *data,
           size_t *len, void **ctx) /* NOLINT: callback type of MHD */
{
  admin_t *admin = cls;
  json_t *object;
  char *text;
  bool healthy;

  (void)version;
  (void)data;
  (void)len;
  (void)ctx;
  if (strcmp (method, "GET") != 0)
    return reply_text (conn, 405, strdup ("{\"error\":\"expected GET\"}\n"));
  if (strcmp (url, "/health") == 0)
    {
      healthy = is_healthy (admin);
      return reply_text (
          conn, healthy ? 200 : 503,
          strdup (healthy ? "{\"healthy\":true}\n" : "{\"healthy\":false}\n"));
    }
  object = make_page (admin, url);
  if (!object)
    return reply_text (conn, 404, strdup ("{\"error\":\"no such page\"}\n"));
  text = json_dumps (object, JSON_INDENT (2));
  json_decref (object);
  return reply_text (conn, 200, text);
}

admin_t *
admin_start (const settings_t *settings, loop_config_t *config,
             planner_t *planner)
{
  admin_t *admin = g_new0 (admin_t, 1);
  struct sockaddr_in address = { .sin_family = AF_INET };

  admin->settings = settings;
  admin->config = config;
  admin->planner = planner;
  address.sin_port = htons (settings->admin_port);
  inet_pton (AF_INET, settings->address, &address.sin_addr);
  admin->server = MHD_start_daemon (
      MHD_USE_EPOLL_INTERNAL_THREAD, settings->admin_port, NULL, NULL,
      on_access, admin, MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&address,
      MHD_OPTION_CONNECTION_LIMIT, 64u, MHD_OPTION_CONNECTION_TIMEOUT, 30u,
      MHD_OPTION_END);
  if (admin->server)
    return admin;
  g_free (admin);
  return NULL;
}

uint16_t
admin_port (const admin_t *admin)
{
  return MHD_get_daemon_info (admin->server, MHD_DAEMON_INFO_BIND_PORT)->port;
}

void
admin_stop (admin_t *admin)
{
  MHD_stop_daemon (admin->server);
  g_free (admin);
}

#include "explaincalls.h"
#include <string.h>

/* The load balancer and the operators' tools hold a few connections.  A dump
   that is not read yet keeps its memory, up to about a megabyte.  */
#define CONNECTIONS_MAX 32
#define CONNECTIONS_SPARE 8

/* Bodies of requests to explain a job: as many of the largest as may wait, at
   twice their size, as buffers double.  This is in addition to the clients'
   budget.  */
#define BODIES_BYTES_MAX (UINT64_C (4) * 2 * EXPLAIN_BODY_BYTES_MAX)

struct operators
{
  const entry_settings_t *settings;
  readmodel_t *model;
  core_t *core;
  conns_t *conns;
  bool strict; /* ambiguous requests are refused */
};

/* Whether the load balancer should send new connections.  */
static bool
is_ready (operators_t *operators)
{
  const readmodel_t *model = operators->model;
  int64_t now_us = clock_boot_us ();

  return !atomic_load (&model->stopping)
         && readmodel_rules_are_fresh (model, operators->settings->revoke_ms,
                                       now_us)
         && !readmodel_store_is_failing (model, now_us);
}

static enum MHD_Result
send_text (struct MHD_Connection *conn, uint32_t status, const char *text)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (text), (void *)text, MHD_RESPMEM_MUST_COPY);
  enum MHD_Result result = MHD_queue_response (conn, status, response);

  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
on_request (void *cls, struct MHD_Connection *conn, const char *path,
            const char *method, const char *version, const char *data,
            size_t *len, void **ctx)
{
  operators_t *operators = cls;
  g_autofree char *text = NULL;

  if (conns_is_closed (conns_get (conn)))
    return MHD_NO;
  if (strcmp (path, "/explain") == 0 && strcmp (method, "POST") == 0)
    return explaincalls_request (operators->core, operators->model,
                                 operators->strict, conn, method, version,
                                 data, len, ctx);
  *len = 0;
  if (strcmp (method, "GET") != 0)
    return send_text (conn, MHD_HTTP_METHOD_NOT_ALLOWED, "");
  if (strcmp (path, "/readyz") == 0)
    return send_text (conn, is_ready (operators) ? 200 : 503, "");
  if (strcmp (path, "/metrics") == 0)
    text = metrics_text ("cuminpin_");
  else if (strcmp (path, "/dump") == 0)
    text = core_dump (operators->core);
  else
    return send_text (conn, MHD_HTTP_NOT_FOUND, "");
  return send_text (conn, MHD_HTTP_OK, text);
}

/* Moves the connection to the end of the idle ones, so that one in use, such
   as the load balancer's, is not closed as the oldest.  */
static void
on_completed (void *cls, struct MHD_Connection *conn, void **ctx,
              enum MHD_RequestTerminationCode code)
{
  (void)cls;
  (void)code;
  explaincalls_completed (*ctx);
  *ctx = NULL;
  conns_end (conns_get (conn));
}

operators_t *
operators_start (const entry_settings_t *settings, readmodel_t *model,
                 core_t *core)
{
  operators_t *operators = g_new0 (operators_t, 1);
  entry_limits_t limits;

  entry_settings_limits (settings, &limits);
  if (limits.bodies.connections_max > 0)
    {
      limits.connections = CONNECTIONS_MAX;
      limits.bodies.connections_max = CONNECTIONS_MAX - CONNECTIONS_SPARE;
    }
  limits.bodies.budget_bytes = BODIES_BYTES_MAX;
  limits.bodies.reserve_bytes = 0;
  operators->strict = limits.strict;
  operators->settings = settings;
  operators->model = model;
  operators->core = core;
  operators->conns = conns_start ("ready", settings->ready, &limits,
                                  on_request, on_completed, operators);
  if (operators->conns)
    return operators;
  g_free (operators);
  return NULL;
}

void
operators_stop (operators_t *operators)
{
  conns_stop (operators->conns);
  g_free (operators);
}

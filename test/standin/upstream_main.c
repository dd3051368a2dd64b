/* standin_upstream - an upstream that responds with the request's id, counts
   the requests that it ran and injects faults.

   GET /_runs and /_ids report the requests that ran; PUT /_faults sets the
   faults (faults_set).  */

#include "standin.h"
#include "support.h"
#include <argtable2.h>
#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define THREADS 4
#define CONNECTIONS_MAX 20000
#define ID_BYTES 128
#define CONTROL_BYTES_MAX 4096

typedef enum stage
{
  STAGE_READING,
  STAGE_RUNNING, /* suspended until hold releases it */
} stage_t;

typedef struct request
{
  struct MHD_Connection *connection;
  stage_t stage;
  fault_t fault;
  gauge_t *team;
  char id[ID_BYTES];
  GString *control; /* body of a control request */
} request_t;

/* The body of a truncated response.  */
typedef struct truncated_body
{
  size_t size;
  size_t sent;
} truncated_body_t;

static int32_t slots = 8;
static size_t body_bytes = 1024;
static const char *upstream_name = "upstream";

static char last_id[ID_BYTES] = "no-other-request";
static GMutex last_id_mutex;

/* Stores ID as the last id and copies the previous one to OTHER.  */
static void
exchange_last_id (const char *id, char other[ID_BYTES])
{
  g_mutex_lock (&last_id_mutex);
  g_strlcpy (other, last_id, ID_BYTES);
  g_strlcpy (last_id, id, sizeof last_id);
  g_mutex_unlock (&last_id_mutex);
}

static enum MHD_Result
queue_response (request_t *req, unsigned status, struct MHD_Response *response)
{
  enum MHD_Result result;

  MHD_add_response_header (response, "X-Upstream", upstream_name);
  if (faults_leaving ())
    MHD_add_response_header (response, "X-Leaving", "1");
  result = MHD_queue_response (req->connection, status, response);
  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
respond_text (request_t *req, unsigned status, const char *text, bool not_run)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (text), (void *)text, MHD_RESPMEM_MUST_COPY);

  if (req->id[0])
    MHD_add_response_header (response, "X-Request-Id", req->id);
  if (not_run)
    MHD_add_response_header (response, "X-Not-Run", "1");
  return queue_response (req, status, response);
}

static ssize_t
read_half_body (void *cls, uint64_t pos, char *to, size_t max)
{
  truncated_body_t *body = cls;
  size_t half = body->size / 2;
  size_t len = MIN (max, half - MIN (half, body->sent));

  if (len == 0)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  memset (to, '.', len);
  body->sent += len;
  return (ssize_t)len;
}

static enum MHD_Result
respond_truncated (request_t *req)
{
  truncated_body_t *body = g_new0 (truncated_body_t, 1);
  struct MHD_Response *response;

  body->size = MAX (body_bytes, 2);
  response = MHD_create_response_from_callback (body->size, 1024,
                                                read_half_body, body, g_free);
  MHD_add_response_header (response, "X-Request-Id", req->id);
  return queue_response (req, MHD_HTTP_OK, response);
}

static enum MHD_Result
respond_with_id (request_t *req, const char *id)
{
  size_t size = MAX (body_bytes, strlen (id) + 1);
  char *body = malloc (size);
  struct MHD_Response *response;

  memset (body, '.', size);
  *stpcpy (body, id) = '\n';
  response
      = MHD_create_response_from_buffer (size, body, MHD_RESPMEM_MUST_FREE);
  if (id[0])
    MHD_add_response_header (response, "X-Request-Id", id);
  return queue_response (req, MHD_HTTP_OK, response);
}

static enum MHD_Result
respond_to_run (request_t *req)
{
  char other[ID_BYTES];

  switch (req->fault)
    {
    case FAULT_FAIL:
      return respond_text (req, MHD_HTTP_INTERNAL_SERVER_ERROR, "failed\n",
                           false);
    case FAULT_TRUNCATE:
      return respond_truncated (req);
    case FAULT_CROSS:
      exchange_last_id (req->id, other);
      return respond_with_id (req, other);
    case FAULT_SILENT:
    case FAULT_REFUSE:
    case FAULT_NONE:
      break;
    }
  return respond_with_id (req, req->id);
}

static enum MHD_Result
end_run (request_t *req)
{
  runs_end (req->team);
  req->team = NULL;
  return respond_to_run (req);
}

static enum MHD_Result
begin_run (request_t *req)
{
  const char *id = MHD_lookup_connection_value (
      req->connection, MHD_HEADER_KIND, "X-Request-Id");
  const char *team = MHD_lookup_connection_value (req->connection,
                                                  MHD_HEADER_KIND, "X-Team");
  uint32_t delay_ms = faults_delay_ms ();
  int64_t due_us = clock_mono_us () + (int64_t)delay_ms * 1000;

  g_strlcpy (req->id, id ? id : "", sizeof req->id);
  runs_note_request ();
  req->fault = faults_choose ();
  if (faults_leaving () || req->fault == FAULT_REFUSE
      || !runs_begin (req->id, team ? team : "", slots, &req->team))
    return respond_text (req, MHD_HTTP_SERVICE_UNAVAILABLE, "not run\n", true);
  if (delay_ms == 0 && req->fault != FAULT_SILENT)
    return end_run (req);
  req->stage = STAGE_RUNNING;
  if (req->fault == FAULT_SILENT)
    due_us = HOLD_UNTIL_FAULT_ENDS;
  /* Suspend first: the hold thread may resume the connection at once.  */
  MHD_suspend_connection (req->connection);
  if (!hold_put (req, due_us))
    MHD_resume_connection (req->connection);
  return MHD_YES;
}

static void
release_request (void *request)
{
  request_t *req = request;

  MHD_resume_connection (req->connection);
}

static enum MHD_Result
respond_json (request_t *req, json_t *json)
{
  char *text = json_dumps (json, JSON_COMPACT);
  enum MHD_Result result = respond_text (req, MHD_HTTP_OK, text, false);

  free (text);
  json_decref (json);
  return result;
}

static enum MHD_Result
handle_faults (request_t *req)
{
  const char *text = req->control ? req->control->str : "";

  if (!faults_set (text, strlen (text)))
    return respond_text (req, MHD_HTTP_BAD_REQUEST, "unknown fault\n", false);
  if (!faults_silent ())
    hold_release_faults ();
  return respond_text (req, MHD_HTTP_OK, "ok\n", false);
}

static enum MHD_Result
handle_request (void *cls, struct MHD_Connection *connection, const char *url,
                const char *method, const char *version, const char *data,
                size_t *data_len, void **con_cls)
{
  request_t *req = *con_cls;
  bool control = strncmp (url, "/_", 2) == 0;

  if (!req)
    {
      req = g_new0 (request_t, 1);
      req->connection = connection;
      *con_cls = req;
      return MHD_YES;
    }
  if (*data_len > 0)
    {
      if (control && !req->control)
        req->control = g_string_new (NULL);
      if (control && req->control->len < CONTROL_BYTES_MAX)
        g_string_append_len (req->control, data, (gssize)*data_len);
      *data_len = 0;
      return MHD_YES;
    }
  if (strcmp (url, "/_runs") == 0)
    return respond_json (req, runs_json ());
  if (strcmp (url, "/_ids") == 0)
    return respond_json (req, runs_ids ());
  if (strcmp (url, "/_faults") == 0)
    return handle_faults (req);
  switch (req->stage)
    {
    case STAGE_READING:
      return begin_run (req);
    case STAGE_RUNNING:
      return end_run (req);
    }
  return MHD_NO;
}

static void
request_completed (void *cls, struct MHD_Connection *connection,
                   void **con_cls, enum MHD_RequestTerminationCode code)
{
  request_t *req = *con_cls;

  if (!req)
    return;
  if (req->team)
    runs_end (req->team);
  if (req->control)
    g_string_free (req->control, TRUE);
  g_free (req);
  *con_cls = NULL;
}

static void
connection_changed (void *cls, struct MHD_Connection *connection,
                    void **socket_cls,
                    enum MHD_ConnectionNotificationCode code)
{
  switch (code)
    {
    case MHD_CONNECTION_NOTIFY_STARTED:
      gauge_enter (runs_connections ());
      break;
    case MHD_CONNECTION_NOTIFY_CLOSED:
      gauge_leave (runs_connections ());
      break;
    }
}

static void
serve (const char *address, uint16_t port, const char *ready)
{
  int fd = support_listen (address, &port);
  g_autofree char *text = g_strdup_printf ("port %u\n", port);
  struct MHD_Daemon *daemon;

  hold_start (release_request);
  daemon = MHD_start_daemon (
      MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME
          | MHD_USE_SUPPRESS_DATE_NO_CLOCK,
      0, NULL, NULL, handle_request, NULL, MHD_OPTION_LISTEN_SOCKET, fd,
      MHD_OPTION_THREAD_POOL_SIZE, THREADS, MHD_OPTION_CONNECTION_LIMIT,
      CONNECTIONS_MAX, MHD_OPTION_NOTIFY_COMPLETED, request_completed, NULL,
      MHD_OPTION_NOTIFY_CONNECTION, connection_changed, NULL, MHD_OPTION_END);
  if (!daemon)
    support_fatal ("MHD_start_daemon");
  support_write_ready_file (ready, text);
  support_wait_signal ();
  hold_stop ();
  MHD_stop_daemon (daemon);
}

int
main (int argc, char **argv)
{
  struct arg_str *address
      = arg_str0 (NULL, "address", "A", "IP address to listen on");
  struct arg_int *port = arg_int0 (NULL, "port", "P", "port (0: any)");
  struct arg_str *ready
      = arg_str0 (NULL, "ready", "FILE", "gets \"port N\" when serving");
  struct arg_int *slot_count
      = arg_int0 (NULL, "slots", "N", "concurrent requests (8)");
  struct arg_int *bytes = arg_int0 (NULL, "bytes", "N", "body size (1024)");
  struct arg_int *current_delay_ms
      = arg_int0 (NULL, "delay-ms", "N", "time a request takes");
  struct arg_str *name
      = arg_str0 (NULL, "name", "NAME", "value of X-Upstream");
  struct arg_end *end = arg_end (10);
  void *table[] = { address,          port, ready, slot_count, bytes,
                    current_delay_ms, name, end };

  if (arg_parse (argc, argv, table) > 0)
    {
      arg_print_errors (stderr, end, argv[0]);
      return EXIT_FAILURE;
    }
  support_block_signals ();
  if (slot_count->count)
    slots = slot_count->ival[0];
  if (bytes->count)
    body_bytes = (size_t)bytes->ival[0];
  if (name->count)
    upstream_name = name->sval[0];
  faults_init (current_delay_ms->count ? (uint32_t)current_delay_ms->ival[0]
                                       : 0);
  serve (address->count ? address->sval[0] : "127.0.0.1",
         port->count ? (uint16_t)port->ival[0] : 0,
         ready->count ? ready->sval[0] : NULL);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return EXIT_SUCCESS;
}

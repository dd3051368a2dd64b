/* The HTTP server of test/soak on a loopback address, and without a bound on
   the numbers of its descriptors.  */
#include "../../test/soak/standins.h"
#include <arpa/inet.h>
#include <microhttpd.h>
#include <string.h>
#include <sys/socket.h>

struct http_server
{
  struct MHD_Daemon *daemon;
  http_handler_t handler;
  void *ctx;
};

typedef struct request
{
  GByteArray *body;
  bool handled;
} request_t;

static enum MHD_Result
on_request (void *cls, struct MHD_Connection *conn, const char *path,
            const char *method, const char *version, const char *data,
            size_t *len, void **ctx)
{
  http_server_t *server = cls;
  request_t *request = *ctx;

  (void)version;
  if (!request)
    {
      request = g_new0 (request_t, 1);
      request->body = g_byte_array_new ();
      *ctx = request;
      return MHD_YES;
    }
  if (*len > 0)
    {
      g_byte_array_append (request->body, (const guint8 *)data, (guint)*len);
      *len = 0;
      return MHD_YES;
    }
  /* libmicrohttpd calls again for a request without a response.  */
  if (request->handled)
    return MHD_NO;
  request->handled = true;
  server->handler (server->ctx, conn, method, path, request->body);
  return MHD_YES;
}

static void
on_completed (void *cls, struct MHD_Connection *conn, void **ctx,
              enum MHD_RequestTerminationCode code)
{
  request_t *request = *ctx;

  (void)cls;
  (void)conn;
  (void)code;
  if (request)
    {
      g_byte_array_unref (request->body);
      g_free (request);
    }
  *ctx = NULL;
}

http_server_t *
http_server_start (http_handler_t handler, void *ctx)
{
  http_server_t *server = g_new0 (http_server_t, 1);
  struct sockaddr_in address = { .sin_family = AF_INET };

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  server->handler = handler;
  server->ctx = ctx;
  server->daemon = MHD_start_daemon (
      MHD_USE_THREAD_PER_CONNECTION | MHD_USE_POLL_INTERNAL_THREAD, 0, NULL,
      NULL, on_request, server, MHD_OPTION_SOCK_ADDR,
      (struct sockaddr *)&address, MHD_OPTION_NOTIFY_COMPLETED, on_completed,
      NULL, MHD_OPTION_END);
  return server;
}

uint16_t
http_server_port (const http_server_t *server)
{
  return MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

void
http_server_stop (http_server_t *server)
{
  MHD_stop_daemon (server->daemon);
  g_free (server);
}

void
http_reply (struct MHD_Connection *conn, uint32_t status, const void *data,
            size_t len)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      len, (void *)data, MHD_RESPMEM_MUST_COPY);

  MHD_queue_response (conn, status, response);
  MHD_destroy_response (response);
}

void
http_close_unanswered (struct MHD_Connection *conn)
{
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info (conn, MHD_CONNECTION_INFO_CONNECTION_FD);

  shutdown (info->connect_fd, SHUT_RDWR);
}

uint64_t
http_query_number (struct MHD_Connection *conn, const char *name)
{
  const char *text
      = MHD_lookup_connection_value (conn, MHD_GET_ARGUMENT_KIND, name);

  return text ? g_ascii_strtoull (text, NULL, 10) : 0;
}

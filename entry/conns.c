#include "conns.h"
#include "closings.h"
#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>

/* Callers keep idle connections for up to a minute.  */
#define IDLE_TIMEOUT_S 75

struct conns
{
  bool strict;
  bodies_t *bodies;
  struct MHD_Daemon *server;
  closings_t closings;
};

/* Threads of HTTP servers that are registered with RCU.  A thread that ends
   without being unregistered blocks all grace periods after that.  */
static pthread_once_t thread_key_once = PTHREAD_ONCE_INIT;
static pthread_key_t thread_key;

static void
unregister_thread (void *registered)
{
  (void)registered;
  rcu_unregister_thread ();
}

static void
create_thread_key (void)
{
  pthread_key_create (&thread_key, unregister_thread);
}

void
conns_register_thread (void)
{
  pthread_once (&thread_key_once, create_thread_key);
  if (pthread_getspecific (thread_key))
    return;
  rcu_register_thread ();
  pthread_setspecific (thread_key, &thread_key);
}

/* Shuts down the connections that are to be closed.  */
static void
close_decided (conns_t *conns, int64_t now_us)
{
  body_t *body;

  while ((body = bodies_next_closed (conns->bodies)))
    {
      conn_t *conn = (conn_t *)body;

      g_clear_pointer (&conn->data, g_byte_array_unref);
      shutdown (conn->fd, SHUT_RDWR);
      closings_note (&conns->closings, body->why, COUNT_CLIENTS_CLOSED);
    }
  closings_report (&conns->closings, conns->bodies, now_us);
}

static body_verdict_t
note_verdict (conns_t *conns, body_verdict_t verdict, int64_t now_us)
{
  if (verdict != BODY_ACCEPTED)
    closings_note (&conns->closings, verdict, COUNT_BODIES_REFUSED);
  close_decided (conns, now_us);
  return verdict;
}

static void
on_connection (void *cls, struct MHD_Connection *connection, void **ctx,
               enum MHD_ConnectionNotificationCode code)
{
  conns_t *conns = cls;
  int64_t now_us = clock_mono_us ();
  conn_t *conn = *ctx;

  switch (code)
    {
    case MHD_CONNECTION_NOTIFY_STARTED:
      conn = g_new0 (conn_t, 1);
      conn->conns = conns;
      conn->fd = MHD_get_connection_info (connection,
                                          MHD_CONNECTION_INFO_CONNECTION_FD)
                     ->connect_fd;
      bodies_connect (conns->bodies, &conn->body, now_us);
      *ctx = conn;
      close_decided (conns, now_us);
      return;
    case MHD_CONNECTION_NOTIFY_CLOSED:
      bodies_disconnect (conns->bodies, &conn->body);
      g_clear_pointer (&conn->data, g_byte_array_unref);
      g_free (conn);
      *ctx = NULL;
      return;
    }
}

conns_t *
conns_start (const char *name, const char *endpoint,
             const entry_limits_t *limits, MHD_AccessHandlerCallback handler,
             MHD_RequestCompletedCallback completed, void *ctx)
{
  const char *colon = strrchr (endpoint, ':');
  g_autofree char *ip = g_strndup (endpoint, (gsize)(colon - endpoint));
  struct sockaddr_in address = { .sin_family = AF_INET };
  conns_t *conns = g_new0 (conns_t, 1);

  address.sin_port = htons ((uint16_t)strtoul (colon + 1, NULL, 10));
  inet_pton (AF_INET, ip, &address.sin_addr);
  conns->closings.listener = name;
  conns->closings.connections_max = limits->connections;
  conns->strict = limits->strict;
  conns->bodies = bodies_new (&limits->bodies);
  errno = 0;
  conns->server = MHD_start_daemon (
      MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL,
      handler, ctx, MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&address,
      MHD_OPTION_NOTIFY_COMPLETED, completed, ctx,
      MHD_OPTION_NOTIFY_CONNECTION, on_connection, conns,
      MHD_OPTION_CONNECTION_LIMIT, (unsigned int)limits->connections,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)limits->pool_bytes,
      MHD_OPTION_CONNECTION_TIMEOUT, (unsigned int)IDLE_TIMEOUT_S,
      MHD_OPTION_STRICT_FOR_CLIENT, (int)limits->strict,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_END);
  if (conns->server)
    return conns;
  event_log (EV_LISTEN_FAILED, "listener=%s address=%s error=%s", name,
             endpoint, g_strerror (errno));
  conns_stop (conns);
  return NULL;
}

void
conns_stop (conns_t *conns)
{
  if (conns->server)
    MHD_stop_daemon (conns->server);
  bodies_free (conns->bodies);
  g_free (conns);
}

conn_t *
conns_get (struct MHD_Connection *connection)
{
  return MHD_get_connection_info (connection,
                                  MHD_CONNECTION_INFO_SOCKET_CONTEXT)
      ->socket_context;
}

bool
conns_is_closed (const conn_t *conn)
{
  return conn->body.phase == BODY_CLOSED;
}

body_verdict_t
conns_begin (conn_t *conn, uint64_t announced_bytes)
{
  int64_t now_us = clock_mono_us ();

  conn->too_large = false;
  return note_verdict (
      conn->conns,
      bodies_begin (conn->conns->bodies, &conn->body, announced_bytes, now_us),
      now_us);
}

static bool
skip (conn_t *conn, size_t len, int64_t now_us)
{
  body_verdict_t verdict
      = bodies_skip (conn->conns->bodies, &conn->body, len, now_us);

  close_decided (conn->conns, now_us);
  return verdict == BODY_ACCEPTED;
}

bool
conns_read (conn_t *conn, const char *data, size_t len)
{
  int64_t now_us = clock_mono_us ();

  if (conn->too_large)
    return !conn->conns->strict || skip (conn, len, now_us);
  switch (note_verdict (
      conn->conns,
      bodies_add (conn->conns->bodies, &conn->body, (uint32_t)len, now_us),
      now_us))
    {
    case BODY_ACCEPTED:
      if (!conn->data)
        conn->data = g_byte_array_new ();
      g_byte_array_append (conn->data, (const guint8 *)data, (guint)len);
      return true;
    case BODY_TOO_LARGE:
      conn->too_large = true;
      g_clear_pointer (&conn->data, g_byte_array_unref);
      return !conn->conns->strict || skip (conn, len, now_us);
    case BODY_NO_ROOM:
    case BODY_TOO_SLOW:
      return false;
    }
  return false;
}

void
conns_complete (conn_t *conn)
{
  bodies_complete (conn->conns->bodies, &conn->body, conn->body.held_bytes);
}

void
conns_replace_body (conn_t *conn, uint64_t record_bytes)
{
  g_clear_pointer (&conn->data, g_byte_array_unref);
  bodies_complete (conn->conns->bodies, &conn->body, record_bytes);
}

void
conns_end (conn_t *conn)
{
  g_clear_pointer (&conn->data, g_byte_array_unref);
  bodies_end (conn->conns->bodies, &conn->body, clock_mono_us ());
}

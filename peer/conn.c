#include "conn.h"
#include <apr_portable.h>
#include <arpa/inet.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#define READ_BYTES (64 * 1024)

GBytes *
frame_new (const msg_t *msg)
{
  g_autoptr (GBytes) body = wire_encode_msg (msg);
  const void *data;
  uint8_t *frame;
  uint32_t header;
  gsize len;

  if (!body)
    return NULL;
  data = g_bytes_get_data (body, &len);
  frame = g_malloc (FRAME_HEADER_BYTES + len);
  header = htonl ((uint32_t)len);
  memcpy (frame, &header, FRAME_HEADER_BYTES);
  memcpy (frame + FRAME_HEADER_BYTES, data, len);
  return g_bytes_new_take (frame, FRAME_HEADER_BYTES + len);
}

static void
set_events (conn_t *conn, uint32_t events)
{
  struct epoll_event event
      = { .events = events, .data = { .ptr = &conn->source } };

  if (conn->events == events)
    return;
  epoll_ctl (conn->transport->epoll_fd,
             conn->events ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, conn->fd, &event);
  conn->events = events;
}

conn_t *
conn_new (transport_t *transport, apr_pool_t *pool, apr_socket_t *sock,
          target_t *target, int64_t now_us)
{
  conn_t *conn = g_new0 (conn_t, 1);

  conn->source = (source_t){ SOURCE_CONN, { conn } };
  conn->transport = transport;
  conn->pool = pool;
  conn->sock = sock;
  conn->target = target;
  conn->outgoing = target != NULL;
  conn->input = g_byte_array_new ();
  conn->opened_us = now_us;
  conn->last_read_us = now_us;
  g_queue_init (&conn->output);
  apr_os_sock_get (&conn->fd, sock);
  apr_socket_opt_set (sock, APR_SO_NONBLOCK, 1);
  apr_socket_timeout_set (sock, 0);
  apr_socket_opt_set (sock, APR_TCP_NODELAY, 1);
  g_ptr_array_add (transport->conns, conn);
  return conn;
}

bool
conn_connect (transport_t *transport, target_t *target, int64_t now_us)
{
  apr_sockaddr_t *address;
  apr_socket_t *sock;
  apr_pool_t *pool;
  apr_status_t status;
  conn_t *conn;

  if (apr_pool_create (&pool, transport->pool) != APR_SUCCESS)
    return false;
  if (apr_sockaddr_info_get (&address, target->address, APR_UNSPEC,
                             target->port, 0, pool)
          != APR_SUCCESS
      || apr_socket_create (&sock, address->family, SOCK_STREAM, APR_PROTO_TCP,
                            pool)
             != APR_SUCCESS)
    {
      apr_pool_destroy (pool);
      return false;
    }
  conn = conn_new (transport, pool, sock, target, now_us);
  target->conn = conn;
  status = apr_socket_connect (sock, address);
  if (status == APR_SUCCESS)
    handshake_begin (conn);
  else if (APR_STATUS_IS_EINPROGRESS (status))
    set_events (conn, EPOLLOUT);
  else
    conn_close (conn, "connect");
  return true;
}

void
conn_close (conn_t *conn, const char *reason)
{
  if (conn->phase == CONN_CLOSED)
    return;
  if (conn->phase == CONN_UP)
    event_log (EV_PEER_DOWN, "peer=%s reason=%s", conn->peer->name, reason);
  conn->phase = CONN_CLOSED;
  apr_socket_close (conn->sock);
  transport_conn_closed (conn->transport, conn);
}

void
conn_free (conn_t *conn)
{
  if (conn->peer)
    atomic_fetch_sub (&conn->peer->queued_bytes, (unsigned)conn->out_bytes);
  g_queue_clear_full (&conn->output, (GDestroyNotify)g_bytes_unref);
  g_byte_array_unref (conn->input);
  apr_pool_destroy (conn->pool);
  g_free (conn);
}

static void
finish_frame (conn_t *conn)
{
  GBytes *frame = g_queue_pop_head (&conn->output);
  gsize len = g_bytes_get_size (frame);

  conn->out_written = 0;
  conn->out_bytes -= len;
  if (conn->peer)
    atomic_fetch_sub (&conn->peer->queued_bytes, (unsigned)len);
  counter_add (COUNT_PEER_MESSAGES_OUT, 1);
  counter_add (COUNT_PEER_BYTES_OUT, len);
  g_bytes_unref (frame);
}

static void
flush_output (conn_t *conn)
{
  while (!g_queue_is_empty (&conn->output))
    {
      gsize len;
      const char *data
          = g_bytes_get_data (g_queue_peek_head (&conn->output), &len);
      apr_size_t count = len - conn->out_written;
      apr_status_t status
          = apr_socket_send (conn->sock, data + conn->out_written, &count);

      if (status != APR_SUCCESS && !APR_STATUS_IS_EAGAIN (status))
        {
          conn_close (conn, "write");
          return;
        }
      conn->out_written += count;
      if (conn->out_written < len)
        {
          set_events (conn, EPOLLIN | EPOLLOUT);
          return;
        }
      finish_frame (conn);
    }
  set_events (conn, EPOLLIN);
}

void
conn_enqueue (conn_t *conn, GBytes *frame)
{
  if (conn->phase == CONN_CLOSED)
    return;
  conn->out_bytes += g_bytes_get_size (frame);
  if (conn->peer)
    atomic_fetch_add (&conn->peer->queued_bytes,
                      (unsigned)g_bytes_get_size (frame));
  g_queue_push_tail (&conn->output, g_bytes_ref (frame));
  /* If other frames were queued already, the socket buffer is full and
     flush_output runs again on EPOLLOUT.  */
  if (conn->output.length == 1)
    flush_output (conn);
}

static void
handle_frame (conn_t *conn, GBytes *body, int64_t now_us)
{
  g_autoptr (GError) error = NULL;
  msg_t msg;

  counter_add (COUNT_PEER_MESSAGES_IN, 1);
  if (!wire_decode_msg (body, &msg, &error))
    {
      conn_close (conn, "malformed");
      return;
    }
  if (conn->phase == CONN_UP)
    transport_handle_msg (conn->transport, conn, &msg, now_us);
  else
    handshake_handle_msg (conn, &msg, now_us);
  msg_clear (&msg);
}

/* Handles and removes all complete frames in the input.  */
static void
handle_frames (conn_t *conn, int64_t now_us)
{
  guint at = 0;

  while (conn->phase != CONN_CLOSED
         && conn->input->len - at >= FRAME_HEADER_BYTES)
    {
      g_autoptr (GBytes) body = NULL;
      uint32_t len;

      memcpy (&len, conn->input->data + at, FRAME_HEADER_BYTES);
      len = ntohl (len);
      if (len > (conn->phase == CONN_UP ? MSG_BYTES_MAX : HANDSHAKE_BYTES_MAX))
        {
          conn_close (conn, "oversized");
          return;
        }
      if (conn->input->len - at - FRAME_HEADER_BYTES < len)
        break;
      body = g_bytes_new (conn->input->data + at + FRAME_HEADER_BYTES, len);
      at += FRAME_HEADER_BYTES + len;
      handle_frame (conn, body, now_us);
    }
  if (at)
    g_byte_array_remove_range (conn->input, 0, at);
}

static void
read_input (conn_t *conn, int64_t now_us)
{
  char data[READ_BYTES];
  apr_size_t len = sizeof data;
  apr_status_t status = apr_socket_recv (conn->sock, data, &len);

  if (APR_STATUS_IS_EAGAIN (status))
    return;
  if (len == 0 || (status != APR_SUCCESS && !APR_STATUS_IS_EOF (status)))
    {
      conn_close (conn, "closed");
      return;
    }
  conn->last_read_us = now_us;
  counter_add (COUNT_PEER_BYTES_IN, len);
  g_byte_array_append (conn->input, (const guint8 *)data, (guint)len);
  handle_frames (conn, now_us);
}

static void
finish_connect (conn_t *conn)
{
  int error = 0;
  socklen_t len = sizeof error;

  if (getsockopt (conn->fd, SOL_SOCKET, SO_ERROR, &error, &len) < 0 || error)
    conn_close (conn, "connect");
  else
    handshake_begin (conn);
}

void
conn_handle_events (conn_t *conn, uint32_t events, int64_t now_us)
{
  if (conn->phase == CONN_CONNECTING)
    {
      finish_connect (conn);
      return;
    }
  if (conn->phase != CONN_CLOSED && (events & (EPOLLIN | EPOLLHUP | EPOLLERR)))
    read_input (conn, now_us);
  if (conn->phase != CONN_CLOSED && (events & EPOLLOUT))
    flush_output (conn);
}

void
conn_send_heartbeat (conn_t *conn, int64_t now_us)
{
  g_autoptr (GBytes) frame = NULL;
  msg_t msg = { .kind = MSG_HEARTBEAT };
  heartbeat_info_t info;

  conn->next_heartbeat_us = now_us + HEARTBEAT_INTERVAL_US;
  if (conn->out_bytes > HEARTBEAT_QUEUE_BYTES_MAX)
    return;
  pthread_mutex_lock (&conn->transport->lock);
  info = conn->transport->heartbeat;
  pthread_mutex_unlock (&conn->transport->lock);
  msg.u.heartbeat = (msg_heartbeat_t){ .config_version = info.config_version,
                                       .settled_version = info.settled_version,
                                       .offset = info.offset,
                                       .log_age_ms = LOG_AGE_NEVER_READ,
                                       .sent_us = now_us,
                                       .echo_us = conn->peer_sent_us };
  /* Rounded up, so that the receiver never assumes a later read of the log. */
  if (info.log_read_us > 0)
    msg.u.heartbeat.log_age_ms
        = (uint64_t)MAX (0, now_us - info.log_read_us) / 1000 + 1;
  frame = frame_new (&msg);
  conn_enqueue (conn, frame);
}

void
conn_run_timers (conn_t *conn, int64_t now_us)
{
  switch (conn->phase)
    {
    case CONN_CONNECTING:
    case CONN_HELLO:
    case CONN_PROOF:
      if (now_us - conn->opened_us >= HANDSHAKE_TIMEOUT_US)
        conn_close (conn, "handshake");
      break;
    case CONN_UP:
      if (now_us - conn->last_read_us >= GONE_AFTER_US)
        conn_close (conn, "silent");
      else if (now_us >= conn->next_heartbeat_us)
        conn_send_heartbeat (conn, now_us);
      break;
    case CONN_CLOSED:
      break;
    }
}

int64_t
conn_next_timer_us (const conn_t *conn)
{
  if (conn->phase == CONN_UP)
    return MIN (conn->next_heartbeat_us, conn->last_read_us + GONE_AFTER_US);
  return conn->opened_us + HANDSHAKE_TIMEOUT_US;
}

#include "support.h"
#include "worker.h"
#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#define BUFFER_BYTES 16384

/* Delay before reopening a connection that failed to connect or was closed
   before it sent a request.  */
#define RECONNECT_DELAY_US 100000

void
connection_open (connection_t *conn)
{
  worker_t *worker = conn->worker;
  struct epoll_event event
      = { .events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET,
          .data.ptr = conn };

  conn->fd = support_connect (worker->options->address, worker->options->port);
  if (conn->fd < 0
      || epoll_ctl (worker->epoll_fd, EPOLL_CTL_ADD, conn->fd, &event) != 0)
    support_fatal ("connect");
  conn->state = CONNECTION_CONNECTING;
  conn->request_sent = false;
  conn->buffer_len = 0;
  worker->connecting++;
}

static void
schedule_reconnect (connection_t *conn)
{
  worker_t *worker = conn->worker;
  int64_t reconnect_us
      = clock_mono_us () + (conn->request_sent ? 0 : RECONNECT_DELAY_US);

  close (conn->fd);
  conn->fd = -1;
  conn->state = CONNECTION_CLOSED;
  if (worker->reconnect_us == 0 || worker->reconnect_us > reconnect_us)
    worker->reconnect_us = reconnect_us;
}

void
connection_close (connection_t *conn)
{
  worker_t *worker = conn->worker;

  switch (conn->state)
    {
    case CONNECTION_CLOSED:
      return;
    case CONNECTION_CONNECTING:
      worker->connecting--;
      worker->tally.connect_failures++;
      break;
    case CONNECTION_IDLE:
      break;
    case CONNECTION_BUSY:
      worker->busy--;
      worker->tally.lost++;
      break;
    }
  schedule_reconnect (conn);
}

/* Closes a connection after bytes that cannot be parsed or that no request
   asked for.  A request in flight counts as answered wrongly.  */
static void
reject_response (connection_t *conn)
{
  worker_t *worker = conn->worker;

  if (conn->state == CONNECTION_BUSY)
    {
      worker->busy--;
      tally_malformed (&worker->tally);
    }
  else
    worker->tally.wrong++;
  conn->state = CONNECTION_IDLE;
  connection_close (conn);
}

static void
set_idle (connection_t *conn)
{
  conn->state = CONNECTION_IDLE;
  worker_push_idle (conn->worker, conn);
}

static void
finish_connect (connection_t *conn)
{
  int error = 0;
  socklen_t len = sizeof error;

  if (getsockopt (conn->fd, SOL_SOCKET, SO_ERROR, &error, &len) != 0
      || error != 0)
    {
      connection_close (conn);
      return;
    }
  conn->worker->connecting--;
  set_idle (conn);
}

static void
write_request (connection_t *conn)
{
  const load_options_t *options = conn->worker->options;
  ssize_t len;

  while (conn->sent_len < options->request_len)
    {
      len = send (conn->fd, conn->request + conn->sent_len,
                  options->request_len - conn->sent_len, MSG_NOSIGNAL);
      if (len > 0)
        conn->sent_len += (size_t)len;
      else if (errno != EINTR)
        break;
    }
  /* Errors other than a full socket buffer are reported by the next read.  */
}

void
connection_send (connection_t *conn, int64_t intended_us)
{
  worker_t *worker = conn->worker;

  request_id_write (conn->request + worker->options->id_offset,
                    clock_wall_ms (), worker->random, worker->serial++);
  conn->sent_len = 0;
  conn->buffer_len = 0;
  conn->intended_us = intended_us;
  conn->state = CONNECTION_BUSY;
  conn->request_sent = true;
  worker->busy++;
  worker->tally.sent++;
  write_request (conn);
}

/* Handles a complete response.  */
static void
handle_response (connection_t *conn, const response_t *response)
{
  worker_t *worker = conn->worker;
  const load_options_t *options = worker->options;
  bool extra = conn->buffer_len > response->head_len + response->body_len;
  bool wrong = extra
               || (options->check_id
                   && !response_matches (response, conn->buffer,
                                         conn->request + options->id_offset));

  tally_response (&worker->tally, response, wrong, conn->intended_us,
                  clock_mono_us ());
  worker->busy--;
  conn->buffer_len = 0;
  set_idle (conn);
  if (extra || response->closing)
    connection_close (conn);
}

/* Parses the received bytes; returns false once the connection is closed.  */
static bool
handle_bytes (connection_t *conn)
{
  response_t response;

  if (conn->state != CONNECTION_BUSY)
    {
      reject_response (conn);
      return false;
    }
  switch (response_parse (conn->buffer, conn->buffer_len, &response))
    {
    case RESPONSE_PARTIAL:
      return true;
    case RESPONSE_COMPLETE:
      handle_response (conn, &response);
      return conn->state != CONNECTION_CLOSED;
    case RESPONSE_MALFORMED:
      reject_response (conn);
      return false;
    }
  return false;
}

static void
read_response (connection_t *conn)
{
  size_t space;
  ssize_t len;

  do
    {
      if (conn->buffer_size - conn->buffer_len < BUFFER_BYTES / 2)
        {
          conn->buffer_size = MAX (BUFFER_BYTES, 2 * conn->buffer_size);
          conn->buffer = g_realloc (conn->buffer, conn->buffer_size);
        }
      space = conn->buffer_size - conn->buffer_len;
      len = recv (conn->fd, conn->buffer + conn->buffer_len, space, 0);
      if (len < 0 && (errno == EAGAIN || errno == EINTR))
        return;
      if (len <= 0)
        {
          connection_close (conn);
          return;
        }
      conn->buffer_len += (size_t)len;
      if (!handle_bytes (conn))
        return;
    }
  while ((size_t)len == space); /* a short read means the socket is drained */
}

void
connection_handle_events (connection_t *conn, uint32_t events)
{
  if (conn->state == CONNECTION_CONNECTING)
    finish_connect (conn);
  if (conn->state == CONNECTION_BUSY && (events & EPOLLOUT))
    write_request (conn);
  if (conn->state != CONNECTION_CLOSED && (events & EPOLLIN))
    read_response (conn);
  if (conn->state != CONNECTION_CLOSED
      && (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)))
    connection_close (conn);
}

#include "bed.h"
#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define REQUEST_BYTES_MAX (4 * 1024 * 1024)

typedef struct server
{
  http_handler_t handler;
  uint32_t index;
  int fd;
} server_t;

typedef struct conn
{
  const server_t *server;
  int fd;
} conn_t;

/* Below the range from which the system takes ports for outgoing channels.  */
#define PORT_MIN 12000
#define PORT_MAX 32000
#define PORT_TRIES 1000

static int
bind_loopback (uint16_t *port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  for (uint32_t i = 0; i < PORT_TRIES; i++)
    {
      int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

      *port = (uint16_t)g_random_int_range (PORT_MIN, PORT_MAX);
      address.sin_port = htons (*port);
      if (fd >= 0
          && bind (fd, (struct sockaddr *)&address, sizeof address) == 0)
        return fd;
      close (fd);
    }
  give_up ("no free port");
}

uint16_t
free_port (void)
{
  uint16_t port;

  close (bind_loopback (&port));
  return port;
}

static bool
write_all (int fd, const char *data, size_t len)
{
  while (len > 0)
    {
      ssize_t count = send (fd, data, len, MSG_NOSIGNAL);

      if (count <= 0)
        return false;
      data += count;
      len -= (size_t)count;
    }
  return true;
}

void
http_reply (http_req_t *req, int status, const void *body, size_t len)
{
  g_autofree char *head = g_strdup_printf (
      "HTTP/1.1 %d X\r\nContent-Length: %zu\r\n\r\n", status, len);
  g_autoptr (GByteArray) out = g_byte_array_new ();

  g_byte_array_append (out, (const guint8 *)head, (guint)strlen (head));
  if (len > 0)
    g_byte_array_append (out, body, (guint)len);
  if (req->fd >= 0)
    write_all (req->fd, (const char *)out->data, out->len);
}

void
http_reply_json (http_req_t *req, int status, json_t *value)
{
  char *text = json_dumps (value, JSON_COMPACT);

  http_reply (req, status, text, strlen (text));
  free (text);
  json_decref (value);
}

void
http_reset (http_req_t *req)
{
  struct linger now = { 1, 0 };

  setsockopt (req->fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  close (req->fd);
  req->fd = -1;
}

void
http_hang (http_req_t *req)
{
  req->fd = -1; /* stays open until this process ends */
}

/* Reads one request into REQ; false at the end of the channel.  */
static bool
read_request (int fd, http_req_t *req, GByteArray *in)
{
  for (;;)
    {
      const char *end = in->len > 0 ? g_strstr_len ((const char *)in->data,
                                                    in->len, "\r\n\r\n")
                                    : NULL;
      char buffer[16384];
      ssize_t count;

      if (end)
        {
          size_t head = (size_t)(end - (const char *)in->data) + 4;
          g_autofree char *text = g_strndup ((const char *)in->data, head);
          g_autofree char *lower = g_ascii_strdown (text, -1);
          const char *at = strstr (lower, "\r\ncontent-length:");
          size_t len = at ? strtoul (at + 17, NULL, 10) : 0;

          if (len > REQUEST_BYTES_MAX
              || sscanf (text, "%7s %1023s", req->method, req->path) != 2)
            return false;
          if (in->len >= head + len)
            {
              req->body = g_malloc0 (len + 1);
              memcpy (req->body, in->data + head, len);
              req->len = len;
              g_byte_array_remove_range (in, 0, (guint)(head + len));
              return true;
            }
        }
      count = recv (fd, buffer, sizeof buffer, 0);
      if (count <= 0)
        return false;
      g_byte_array_append (in, (const guint8 *)buffer, (guint)count);
    }
}

static void *
serve (void *arg)
{
  conn_t *conn = arg;
  GByteArray *in = g_byte_array_new ();
  int on = 1;
  int fd = conn->fd;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  while (fd >= 0)
    {
      http_req_t req = { .fd = fd };

      if (!read_request (fd, &req, in))
        {
          close (fd);
          break;
        }
      conn->server->handler (conn->server->index, &req);
      fd = req.fd;
      g_free (req.body);
    }
  g_byte_array_unref (in);
  g_free (conn);
  return NULL;
}

static void *
accept_all (void *arg)
{
  server_t *server = arg;

  for (;;)
    {
      conn_t *conn = g_new0 (conn_t, 1);
      pthread_t thread;

      conn->server = server;
      conn->fd = accept (server->fd, NULL, NULL);
      if (conn->fd < 0)
        {
          g_free (conn);
          continue;
        }
      if (pthread_create (&thread, NULL, serve, conn) == 0)
        pthread_detach (thread);
    }
  return NULL;
}

uint16_t
http_listen (http_handler_t handler, uint32_t index)
{
  server_t *server = g_new0 (server_t, 1);
  pthread_t thread;
  uint16_t port;

  server->handler = handler;
  server->index = index;
  server->fd = bind_loopback (&port);
  if (listen (server->fd, 256) != 0
      || pthread_create (&thread, NULL, accept_all, server) != 0)
    give_up ("can't listen");
  pthread_detach (thread);
  return port;
}

uint32_t
http_call (uint16_t port, const char *request, size_t len, int64_t limit_ms,
           char *body, size_t body_size)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  int64_t end_ms = now_ms () + limit_ms;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  g_autoptr (GString) in = g_string_new (NULL);
  uint32_t status = 0;

  body[0] = '\0';
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  address.sin_port = htons (port);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) == 0
      && write_all (fd, request, len))
    for (;;)
      {
        struct pollfd wait = { fd, POLLIN, 0 };
        char buffer[4096];
        ssize_t count;
        char *end;

        if (poll (&wait, 1, (int)MAX (end_ms - now_ms (), 0)) <= 0)
          break;
        count = recv (fd, buffer, sizeof buffer, 0);
        if (count <= 0)
          break;
        g_string_append_len (in, buffer, count);
        end = strstr (in->str, "\r\n\r\n");
        if (end)
          {
            g_autofree char *lower = g_ascii_strdown (in->str, -1);
            const char *at = strstr (lower, "content-length:");
            size_t size = at ? strtoul (at + 15, NULL, 10) : 0;

            if (strlen (end + 4) < size)
              continue;
            sscanf (in->str, "HTTP/1.1 %u", &status);
            g_strlcpy (body, end + 4, body_size);
            break;
          }
      }
  close (fd);
  return status;
}

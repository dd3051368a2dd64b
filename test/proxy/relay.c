#include "proxy.h"
#include "support.h"
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#define EVENTS 128
#define CONTROL_BYTES 128
#define BACKLOG 4096

typedef enum watch_kind
{
  WATCH_SIGNAL,
  WATCH_LISTENER,
  WATCH_CONTROL_LISTENER,
  WATCH_CONTROL,
  WATCH_SESSION
} watch_kind_t;

typedef struct session session_t;

/* A descriptor to watch with epoll.  It is not in the epoll set while INTEREST
   is 0: epoll reports EPOLLERR and EPOLLHUP whatever the interest, so a broken
   connection would make the proxy spin.  */
typedef struct watch
{
  watch_kind_t kind;
  int fd;
  uint32_t interest;
  session_t *session; /* for WATCH_SESSION */
} watch_t;

typedef struct control
{
  watch_t watch;
  char line[CONTROL_BYTES];
  size_t len;
} control_t;

/* A client connection and the connection to the server that it is forwarded
   to.  */
struct session
{
  watch_t client;
  watch_t server;
  stream_t up;
  stream_t down;
  bool connecting;
  bool closed;
};

static int epoll_fd;
static rule_t rule;
static watch_t listener = { .kind = WATCH_LISTENER };
static GPtrArray *sessions;
static GPtrArray *controls;
static const char *server_address;
static uint16_t server_port;

static void
watch_set (watch_t *watch, uint32_t interest)
{
  struct epoll_event event = { .events = interest, .data.ptr = watch };
  int op = EPOLL_CTL_MOD;

  if (watch->interest == interest)
    return;
  if (watch->interest == 0)
    op = EPOLL_CTL_ADD;
  else if (interest == 0)
    op = EPOLL_CTL_DEL;
  if (epoll_ctl (epoll_fd, op, watch->fd, &event) != 0)
    support_fatal ("epoll_ctl");
  watch->interest = interest;
}

static void
close_watch (watch_t *watch, bool reset)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  watch_set (watch, 0);
  if (reset)
    setsockopt (watch->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  close (watch->fd);
}

/* Closes both sides.  The session is freed after the current batch of events,
   which may still refer to it.  The server's side is reset only on
   RESET_SERVER: a reset could make the server discard a request that it has
   not read yet.  */
static void
session_close (session_t *session, bool reset_client, bool reset_server)
{
  if (session->closed)
    return;
  close_watch (&session->client, reset_client);
  close_watch (&session->server, reset_server);
  session->closed = true;
}

static void
session_update_interest (session_t *session, int64_t now_us)
{
  bool up = rule_allows (&rule, UP) && !session->connecting;
  bool down = rule_allows (&rule, DOWN) && !session->connecting;
  uint32_t client = 0;
  uint32_t server = session->connecting ? EPOLLOUT : 0;

  if (up && stream_has_space (&session->up))
    client |= EPOLLIN;
  if (up && stream_due (&session->up, &rule, now_us) > 0)
    server |= EPOLLOUT;
  if (down && stream_has_space (&session->down))
    server |= EPOLLIN;
  if (down && stream_due (&session->down, &rule, now_us) > 0)
    client |= EPOLLOUT;
  watch_set (&session->client, client);
  watch_set (&session->server, server);
}

static bool
finish_connecting (session_t *session)
{
  int error = 0;
  socklen_t len = sizeof error;
  struct sockaddr_storage peer;
  socklen_t peer_len = sizeof peer;

  getsockopt (session->server.fd, SOL_SOCKET, SO_ERROR, &error, &len);
  if (error != 0)
    return false;
  if (getpeername (session->server.fd, (struct sockaddr *)&peer, &peer_len)
      == 0)
    session->connecting = false;
  return true;
}

/* Forwards bytes in one direction until it would block.  False when the
   connection failed or the rule wants it reset.  */
static bool
forward (stream_t *stream, direction_t direction, int from, int to,
         int64_t now_us)
{
  uint64_t before = stream->bytes_read;

  if (!rule_allows (&rule, direction))
    return true;
  if (!stream_read (stream, from, now_us))
    return false;
  if (rule.kind == RULE_CUT_ANSWER && direction == DOWN
      && stream->bytes_read > before)
    return false;
  return stream_write (stream, to, &rule, now_us);
}

static void
session_forward (session_t *session, int64_t now_us)
{
  uint64_t up_before = session->up.bytes_written;

  if (session->connecting && !finish_connecting (session))
    {
      session_close (session, true, false);
      return;
    }
  if (!session->connecting)
    {
      if (!forward (&session->up, UP, session->client.fd, session->server.fd,
                    now_us))
        {
          session_close (session, true, true);
          return;
        }
      if (rule.kind == RULE_CUT_AFTER_REQUEST
          && session->up.bytes_written > up_before
          && session->up.bytes_written == session->up.bytes_read)
        {
          session_close (session, true, false);
          return;
        }
      if (!forward (&session->down, DOWN, session->server.fd,
                    session->client.fd, now_us))
        {
          session_close (session, true, true);
          return;
        }
      if (session->up.shutdown_sent && session->down.shutdown_sent)
        {
          session_close (session, false, false);
          return;
        }
    }
  session_update_interest (session, now_us);
}

static void
accept_session (void)
{
  int client = accept4 (listener.fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  int server;
  int on = 1;
  session_t *session;

  if (client < 0)
    return;
  setsockopt (client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  server = support_connect (server_address, server_port);
  if (server < 0)
    {
      watch_t refused = { .fd = client };

      close_watch (&refused, true);
      return;
    }
  session = g_new0 (session_t, 1);
  session->client
      = (watch_t){ .kind = WATCH_SESSION, .fd = client, .session = session };
  session->server
      = (watch_t){ .kind = WATCH_SESSION, .fd = server, .session = session };
  session->connecting = true;
  g_ptr_array_add (sessions, session);
  session_update_interest (session, clock_mono_us ());
}

/* For RULE_CUT the listening socket is shut down: it refuses connections and
   keeps its port.  */
static void
apply_rule (const rule_t *next)
{
  bool was_cut = rule.kind == RULE_CUT;
  int64_t now_us = clock_mono_us ();

  rule = *next;
  if (rule.kind == RULE_CUT)
    {
      watch_set (&listener, 0);
      shutdown (listener.fd, SHUT_RDWR);
    }
  else if (was_cut && listen (listener.fd, BACKLOG) != 0)
    support_fatal ("listen");
  if (rule.kind != RULE_CUT)
    watch_set (&listener, rule.kind == RULE_DROP ? 0 : EPOLLIN);
  for (guint i = 0; i < sessions->len; i++)
    {
      session_t *session = g_ptr_array_index (sessions, i);

      if (session->closed)
        continue;
      if (rule.kind == RULE_CUT)
        session_close (session, true, true);
      else
        session_forward (session, now_us);
    }
}

static void
read_control (control_t *control)
{
  ssize_t got = read (control->watch.fd, control->line + control->len,
                      sizeof control->line - control->len - 1);
  const char *answer;
  char *end;
  rule_t next = { .kind = RULE_PASS };

  if (got <= 0 && (got == 0 || errno != EAGAIN))
    {
      close_watch (&control->watch, false);
      g_ptr_array_remove_fast (controls, control);
      return;
    }
  control->len += (size_t)MAX (got, 0);
  control->line[control->len] = '\0';
  end = strchr (control->line, '\n');
  if (!end && control->len < sizeof control->line - 1)
    return;
  if (end)
    *end = '\0';
  answer = "error: unknown command\n";
  if (end && rule_parse (control->line, &next))
    {
      apply_rule (&next);
      answer = "ok\n";
    }
  control->len = 0;
  if (write (control->watch.fd, answer, strlen (answer)) < 0)
    return; /* the next read reports the closed connection */
}

static void
accept_control (int fd)
{
  int client = accept4 (fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  control_t *control;

  if (client < 0)
    return;
  control = g_new0 (control_t, 1);
  control->watch = (watch_t){ .kind = WATCH_CONTROL, .fd = client };
  g_ptr_array_add (controls, control);
  watch_set (&control->watch, EPOLLIN);
}

/* Returns false when the proxy has to stop.  */
static bool
handle (watch_t *watch)
{
  switch (watch->kind)
    {
    case WATCH_SIGNAL:
      return false;
    case WATCH_LISTENER:
      accept_session ();
      break;
    case WATCH_CONTROL_LISTENER:
      accept_control (watch->fd);
      break;
    case WATCH_CONTROL:
      read_control ((control_t *)watch);
      break;
    case WATCH_SESSION:
      if (!watch->session->closed)
        session_forward (watch->session, clock_mono_us ());
      break;
    }
  return true;
}

static void
free_closed (void)
{
  for (guint i = sessions->len; i > 0; i--)
    {
      session_t *session = g_ptr_array_index (sessions, i - 1);

      if (session->closed)
        g_ptr_array_remove_index_fast (sessions, i - 1);
    }
}

/* Forwards delayed bytes that are due.  Returns the milliseconds until the
   next bytes are due, or -1 for none.  */
static int
forward_due (void)
{
  int64_t now_us = clock_mono_us ();
  int64_t first_us = INT64_MAX;

  if (rule.kind != RULE_DELAY)
    return -1;
  for (guint i = 0; i < sessions->len; i++)
    {
      session_t *session = g_ptr_array_index (sessions, i);
      int64_t next_us[2];

      if (session->closed)
        continue;
      next_us[0] = stream_next_us (&session->up, &rule);
      next_us[1] = stream_next_us (&session->down, &rule);
      if ((next_us[0] && next_us[0] <= now_us)
          || (next_us[1] && next_us[1] <= now_us))
        session_forward (session, now_us);
      for (size_t j = 0; j < 2; j++)
        if (next_us[j] > now_us)
          first_us = MIN (first_us, next_us[j]);
    }
  return first_us == INT64_MAX ? -1 : (int)((first_us - now_us) / 1000) + 1;
}

void
relay_run (int listen_fd, int control_fd, const char *address, uint16_t port)
{
  struct epoll_event events[EVENTS];
  watch_t signals = { .kind = WATCH_SIGNAL, .fd = support_signal_fd () };
  watch_t control = { .kind = WATCH_CONTROL_LISTENER, .fd = control_fd };
  bool running = true;

  epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  sessions = g_ptr_array_new_with_free_func (g_free);
  controls = g_ptr_array_new_with_free_func (g_free);
  server_address = address;
  server_port = port;
  listener.fd = listen_fd;
  watch_set (&signals, EPOLLIN);
  watch_set (&control, EPOLLIN);
  watch_set (&listener, EPOLLIN);
  while (running)
    {
      int count = epoll_wait (epoll_fd, events, EVENTS, forward_due ());

      for (int i = 0; i < count && running; i++)
        running = handle (events[i].data.ptr);
      free_closed ();
    }
  g_ptr_array_free (sessions, TRUE);
  g_ptr_array_free (controls, TRUE);
}

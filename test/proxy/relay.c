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
  WATCH_LINK
} watch_kind_t;

typedef struct link link_t;

/* A descriptor in the epoll set; not in it while INTEREST is 0, because a
   broken connection is reported whatever the interest and would make the
   proxy spin.  */
typedef struct watch
{
  watch_kind_t kind;
  int fd;
  uint32_t interest;
  link_t *link; /* LINK */
} watch_t;

typedef struct control
{
  watch_t watch;
  char line[CONTROL_BYTES];
  size_t len;
} control_t;

struct link
{
  watch_t client;
  watch_t server;
  stream_t up;
  stream_t down;
  bool connecting;
  bool dead;
};

static int epoll_fd;
static rule_t rule;
static watch_t listener = { .kind = WATCH_LISTENER };
static GPtrArray *links;
static GPtrArray *controls;
static const char *to_address;
static uint16_t to_port;

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

/* Closes both sides; the link is freed after the events at hand, which may
   name it.  The server's side is reset only on RESET_SERVER: a reset could
   make it discard a request that it has not read yet.  */
static void
link_close (link_t *link, bool reset_client, bool reset_server)
{
  if (link->dead)
    return;
  close_watch (&link->client, reset_client);
  close_watch (&link->server, reset_server);
  link->dead = true;
}

static void
link_update_interest (link_t *link, int64_t now_us)
{
  bool up = rule_lets_pass (&rule, UP) && !link->connecting;
  bool down = rule_lets_pass (&rule, DOWN) && !link->connecting;
  uint32_t client = 0;
  uint32_t server = link->connecting ? EPOLLOUT : 0;

  if (up && stream_has_room (&link->up))
    client |= EPOLLIN;
  if (up && stream_due (&link->up, &rule, now_us) > 0)
    server |= EPOLLOUT;
  if (down && stream_has_room (&link->down))
    server |= EPOLLIN;
  if (down && stream_due (&link->down, &rule, now_us) > 0)
    client |= EPOLLOUT;
  watch_set (&link->client, client);
  watch_set (&link->server, server);
}

static bool
finish_connecting (link_t *link)
{
  int error = 0;
  socklen_t len = sizeof error;
  struct sockaddr_storage peer;
  socklen_t peer_len = sizeof peer;

  getsockopt (link->server.fd, SOL_SOCKET, SO_ERROR, &error, &len);
  if (error != 0)
    return false;
  if (getpeername (link->server.fd, (struct sockaddr *)&peer, &peer_len) == 0)
    link->connecting = false;
  return true;
}

/* Moves bytes in one direction as far as it goes.  False when the connection
   broke or is to be reset.  */
static bool
pump (stream_t *stream, direction_t direction, int from, int to,
      int64_t now_us)
{
  uint64_t before = stream->in;

  if (!rule_lets_pass (&rule, direction))
    return true;
  if (!stream_read (stream, from, now_us))
    return false;
  if (rule.kind == RULE_CUT_ANSWER && direction == DOWN && stream->in > before)
    return false;
  return stream_write (stream, to, &rule, now_us);
}

static void
link_pump (link_t *link, int64_t now_us)
{
  uint64_t up_before = link->up.out;

  if (link->connecting && !finish_connecting (link))
    {
      link_close (link, true, false);
      return;
    }
  if (!link->connecting)
    {
      if (!pump (&link->up, UP, link->client.fd, link->server.fd, now_us))
        {
          link_close (link, true, true);
          return;
        }
      if (rule.kind == RULE_CUT_AFTER_REQUEST && link->up.out > up_before
          && link->up.out == link->up.in)
        {
          link_close (link, true, false);
          return;
        }
      if (!pump (&link->down, DOWN, link->server.fd, link->client.fd, now_us))
        {
          link_close (link, true, true);
          return;
        }
      if (link->up.shut && link->down.shut)
        {
          link_close (link, false, false);
          return;
        }
    }
  link_update_interest (link, now_us);
}

static void
accept_link (void)
{
  int client = accept4 (listener.fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  int server;
  int on = 1;
  link_t *link;

  if (client < 0)
    return;
  setsockopt (client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  server = support_connect (to_address, to_port);
  if (server < 0)
    {
      watch_t refused = { .fd = client };

      close_watch (&refused, true);
      return;
    }
  link = g_new0 (link_t, 1);
  link->client = (watch_t){ .kind = WATCH_LINK, .fd = client, .link = link };
  link->server = (watch_t){ .kind = WATCH_LINK, .fd = server, .link = link };
  link->connecting = true;
  g_ptr_array_add (links, link);
  link_update_interest (link, clock_mono_us ());
}

/* A listening socket that is shut down refuses connections and keeps its
   port.  */
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
  for (guint i = 0; i < links->len; i++)
    {
      link_t *link = g_ptr_array_index (links, i);

      if (link->dead)
        continue;
      if (rule.kind == RULE_CUT)
        link_close (link, true, true);
      else
        link_pump (link, now_us);
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
    return; /* the next read finds the connection closed */
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

/* False when the proxy is to end.  */
static bool
handle (watch_t *watch)
{
  switch (watch->kind)
    {
    case WATCH_SIGNAL:
      return false;
    case WATCH_LISTENER:
      accept_link ();
      break;
    case WATCH_CONTROL_LISTENER:
      accept_control (watch->fd);
      break;
    case WATCH_CONTROL:
      read_control ((control_t *)watch);
      break;
    case WATCH_LINK:
      if (!watch->link->dead)
        link_pump (watch->link, clock_mono_us ());
      break;
    }
  return true;
}

static void
free_dead (void)
{
  for (guint i = links->len; i > 0; i--)
    {
      link_t *link = g_ptr_array_index (links, i - 1);

      if (link->dead)
        g_ptr_array_remove_index_fast (links, i - 1);
    }
}

/* Pumps links whose bytes have become due; milliseconds until the next become
   so, or -1.  */
static int
pump_due (void)
{
  int64_t now_us = clock_mono_us ();
  int64_t first_us = INT64_MAX;

  if (rule.kind != RULE_DELAY)
    return -1;
  for (guint i = 0; i < links->len; i++)
    {
      link_t *link = g_ptr_array_index (links, i);
      int64_t next_us[2];

      if (link->dead)
        continue;
      next_us[0] = stream_next_us (&link->up, &rule);
      next_us[1] = stream_next_us (&link->down, &rule);
      if ((next_us[0] && next_us[0] <= now_us)
          || (next_us[1] && next_us[1] <= now_us))
        link_pump (link, now_us);
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
  links = g_ptr_array_new_with_free_func (g_free);
  controls = g_ptr_array_new_with_free_func (g_free);
  to_address = address;
  to_port = port;
  listener.fd = listen_fd;
  watch_set (&signals, EPOLLIN);
  watch_set (&control, EPOLLIN);
  watch_set (&listener, EPOLLIN);
  while (running)
    {
      int count = epoll_wait (epoll_fd, events, EVENTS, pump_due ());

      for (int i = 0; i < count && running; i++)
        running = handle (events[i].data.ptr);
      free_dead ();
    }
  g_ptr_array_free (links, TRUE);
  g_ptr_array_free (controls, TRUE);
}

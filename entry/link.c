#include "base.h"
#include "linkint.h"
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#define HEADER_BYTES 4
#define READ_BYTES (64 * 1024)
#define LISTEN_BACKLOG 256
#define REFUSED_REPORT_US 1000000

links_t *
links_open (int epoll_fd)
{
  links_t *links = g_new0 (links_t, 1);

  links->epoll_fd = epoll_fd;
  links->listen_fd = -1;
  links->spare_fd = open ("/dev/null", O_RDONLY | O_CLOEXEC);
  links->by_fd = g_hash_table_new (g_direct_hash, g_direct_equal);
  links->dirty = g_ptr_array_new ();
  links->buffer = g_malloc (READ_BYTES);
  return links;
}

static void
free_link (link_t *link)
{
  if (link->accepted)
    link->links->accepted--;
  close (link->fd);
  linkbuf_close (&link->input);
  linkbuf_close (&link->output);
  g_free (link);
}

void
links_close (links_t *links)
{
  GHashTableIter iter;
  gpointer link;

  g_hash_table_iter_init (&iter, links->by_fd);
  while (g_hash_table_iter_next (&iter, NULL, &link))
    free_link (link);
  if (links->listen_fd >= 0)
    close (links->listen_fd);
  if (links->spare_fd >= 0)
    close (links->spare_fd);
  g_hash_table_unref (links->by_fd);
  g_ptr_array_unref (links->dirty);
  g_free (links->buffer);
  g_free (links);
}

static bool
parse_address (const char *text, struct sockaddr_in *address)
{
  const char *colon = strrchr (text, ':');
  g_autofree char *ip = colon ? g_strndup (text, (gsize)(colon - text)) : NULL;
  guint64 port;

  memset (address, 0, sizeof *address);
  address->sin_family = AF_INET;
  if (!colon || inet_pton (AF_INET, ip, &address->sin_addr) != 1
      || !g_ascii_string_to_unsigned (colon + 1, 10, 0, UINT16_MAX, &port,
                                      NULL))
    return false;
  address->sin_port = htons ((uint16_t)port);
  return true;
}

/* Sets the options of a link's socket.  Failures leave the defaults, with
   which the link works, if slower.  */
static void
set_options (int fd)
{
  int on = 1;
  unsigned int timeout_ms = LINK_SILENCE_US / 1000;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
              sizeof timeout_ms);
}

static void
watch (link_t *link, uint32_t events, int op)
{
  struct epoll_event event = { .events = events, .data.fd = link->fd };

  if (link->events == events && op == EPOLL_CTL_MOD)
    return;
  link->events = events;
  epoll_ctl (link->links->epoll_fd, op, link->fd, &event);
}

static link_t *
add_link (links_t *links, int fd, const link_handler_t *handler,
          bool connecting, int64_t now_us)
{
  link_t *link = g_new0 (link_t, 1);

  link->links = links;
  link->handler = *handler;
  link->fd = fd;
  link->connecting = connecting;
  linkbuf_open (&link->input, &links->input_bytes);
  linkbuf_open (&link->output, &links->output_bytes);
  link->opened_us = link->heard_us = now_us;
  set_options (fd);
  g_hash_table_insert (links->by_fd, GINT_TO_POINTER (fd), link);
  watch (link, EPOLLIN | (connecting ? EPOLLOUT : 0), EPOLL_CTL_ADD);
  return link;
}

static void
watch_listener (links_t *links)
{
  struct epoll_event event
      = { .events = EPOLLIN, .data.fd = links->listen_fd };

  links->listener_paused
      = epoll_ctl (links->epoll_fd, EPOLL_CTL_ADD, links->listen_fd, &event)
        != 0;
}

bool
links_listen (links_t *links, const char *address,
              const link_handler_t *handler)
{
  struct sockaddr_in self;
  socklen_t len = sizeof self;
  int on = 1;
  int fd;

  if (!parse_address (address, &self))
    return false;
  fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return false;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *)&self, sizeof self) != 0
      || listen (fd, LISTEN_BACKLOG) != 0
      || getsockname (fd, (struct sockaddr *)&self, &len) != 0)
    {
      event_log (EV_LISTEN_FAILED, "listener=peer address=%s error=%s",
                 address, g_strerror (errno));
      close (fd);
      return false;
    }
  links->listen_fd = fd;
  watch_listener (links);
  links->port = ntohs (self.sin_port);
  links->accept_handler = *handler;
  return true;
}

uint16_t
links_port (const links_t *links)
{
  return links->port;
}

link_t *
links_connect (links_t *links, const char *address,
               const link_handler_t *handler, int64_t now_us)
{
  struct sockaddr_in peer;
  int fd;

  if (!parse_address (address, &peer))
    return NULL;
  fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return NULL;
  if (connect (fd, (struct sockaddr *)&peer, sizeof peer) != 0
      && errno != EINPROGRESS)
    {
      close (fd);
      return NULL;
    }
  return add_link (links, fd, handler, true, now_us);
}

static void
mark_dirty (link_t *link)
{
  if (link->dirty)
    return;
  link->dirty = true;
  g_ptr_array_add (link->links->dirty, link);
}

void
link_close (link_t *link, const char *why)
{
  if (link->closed)
    return;
  link->closed = why;
  mark_dirty (link);
}

void
link_send (link_t *link, const void *data, size_t len)
{
  uint32_t header = GUINT32_TO_BE ((uint32_t)len);

  if (link->closed)
    return;
  if (linkbuf_len (&link->output) + len > LINK_QUEUE_MAX)
    {
      link_close (link, "peer-does-not-read");
      return;
    }
  linkbuf_append (&link->output, &header, sizeof header);
  if (len > 0)
    linkbuf_append (&link->output, data, (guint)len);
  mark_dirty (link);
  links_bound_output (link->links);
}

int64_t
link_received_us (const link_t *link)
{
  return link->received_us;
}

void *
link_data (const link_t *link)
{
  return link->data;
}

void
link_set_data (link_t *link, void *data)
{
  link->data = data;
}

static uint32_t
frame_max (const link_t *link)
{
  return link->accepted && !link->greeted ? LINK_FIRST_FRAME_MAX
                                          : LINK_FRAME_MAX;
}

/* Passes the complete frames of LINK's input on.  */
static void
handle_frames (link_t *link)
{
  while (!link->closed && linkbuf_len (&link->input) >= HEADER_BYTES)
    {
      uint32_t len;

      memcpy (&len, linkbuf_data (&link->input), HEADER_BYTES);
      len = GUINT32_FROM_BE (len);
      if (len > frame_max (link))
        {
          link_close (link, "frame-too-long");
          break;
        }
      if (linkbuf_len (&link->input) - HEADER_BYTES < len)
        break;
      link->greeted |= len > 0;
      if (len > 0)
        link->handler.on_frame (link->handler.ctx, link,
                                linkbuf_data (&link->input) + HEADER_BYTES,
                                len);
      linkbuf_consume (&link->input, HEADER_BYTES + len);
      link->frame_serial = 0;
    }
  if (link->frame_serial == 0 && linkbuf_len (&link->input) > 0)
    link->frame_serial = ++link->links->frame_serial;
}

static void
read_link (link_t *link, int64_t now_us)
{
  uint8_t *buffer = link->links->buffer;
  ssize_t count;

  do
    {
      count = recv (link->fd, buffer, READ_BYTES, 0);
      if (count <= 0)
        break;
      link->heard_us = link->received_us = now_us;
      linkbuf_append (&link->input, buffer, (guint)count);
    }
  /* The rest is read in the next iteration, once these frames are checked.  */
  while (count == READ_BYTES
         && linkbuf_len (&link->input) < HEADER_BYTES + frame_max (link));
  if (count == 0)
    link_close (link, LINK_CLOSED_BY_PEER);
  else if (count < 0 && errno != EAGAIN && errno != EINTR)
    link_close (link, g_strerror (errno));
  /* A link that was closed by its peer has its last frames handled.  */
  if (linkbuf_len (&link->input) > 0)
    {
      const char *closed = link->closed;

      link->closed = NULL;
      handle_frames (link);
      link->closed = closed ? closed : link->closed;
    }
  links_bound_input (link->links);
}

static void
write_link (link_t *link)
{
  guint left = linkbuf_len (&link->output);
  ssize_t count = 0;

  if (link->connecting)
    return;
  if (left > 0)
    count = send (link->fd, linkbuf_data (&link->output), left, MSG_NOSIGNAL);
  if (count < 0 && errno != EAGAIN && errno != EINTR)
    {
      link_close (link, g_strerror (errno));
      return;
    }
  linkbuf_consume (&link->output, (guint)MAX (count, 0));
  watch (link, EPOLLIN | (linkbuf_len (&link->output) > 0 ? EPOLLOUT : 0),
         EPOLL_CTL_MOD);
}

static void
finish_connect (link_t *link)
{
  int error = 0;
  socklen_t len = sizeof error;

  getsockopt (link->fd, SOL_SOCKET, SO_ERROR, &error, &len);
  if (error != 0)
    link_close (link, g_strerror (error));
  link->connecting = false;
}

static void
report_refused (links_t *links, int64_t now_us)
{
  links->refused++;
  if (links->refused_reported_us > 0
      && now_us - links->refused_reported_us < REFUSED_REPORT_US)
    return;
  event_log (EV_LINKS_REFUSED, "refused=%u links=%u max=%u", links->refused,
             links->accepted, LINKS_ACCEPTED_MAX);
  links->refused = 0;
  links->refused_reported_us = now_us;
}

static bool
is_shortage (int error)
{
  return error == EMFILE || error == ENFILE || error == ENOBUFS
         || error == ENOMEM;
}

/* Accepts a connection and closes it, when there is no descriptor for it: left
   in the queue, it would wake the event loop again and again.  If that fails
   as well, the listener is not watched until the next run of the timers.  */
static void
refuse_without_descriptor (links_t *links, int64_t now_us)
{
  int fd;

  if (links->spare_fd >= 0)
    close (links->spare_fd);
  fd = accept4 (links->listen_fd, NULL, NULL, SOCK_CLOEXEC);
  if (fd >= 0)
    close (fd);
  else if (is_shortage (errno))
    links->listener_paused
        = epoll_ctl (links->epoll_fd, EPOLL_CTL_DEL, links->listen_fd, NULL)
          == 0;
  links->spare_fd = open ("/dev/null", O_RDONLY | O_CLOEXEC);
  report_refused (links, now_us);
}

static void
accept_links (links_t *links, int64_t now_us)
{
  for (uint32_t i = 0; i < LINKS_ACCEPTS_MAX; i++)
    {
      int fd = accept4 (links->listen_fd, NULL, NULL,
                        SOCK_NONBLOCK | SOCK_CLOEXEC);

      if (fd < 0)
        {
          if (is_shortage (errno))
            refuse_without_descriptor (links, now_us);
          return;
        }
      if (links->accepted >= LINKS_ACCEPTED_MAX)
        {
          close (fd);
          report_refused (links, now_us);
          continue;
        }
      links->accepted++;
      add_link (links, fd, &links->accept_handler, false, now_us)->accepted
          = true;
    }
}

bool
links_handle_event (links_t *links, int fd, uint32_t ready, int64_t now_us)
{
  link_t *link = g_hash_table_lookup (links->by_fd, GINT_TO_POINTER (fd));

  if (fd == links->listen_fd)
    {
      accept_links (links, now_us);
      return true;
    }
  if (!link)
    return false;
  if (link->closed)
    return true;
  if (link->connecting && (ready & (EPOLLOUT | EPOLLERR | EPOLLHUP)))
    finish_connect (link);
  if (!link->closed && (ready & (EPOLLIN | EPOLLERR | EPOLLHUP)))
    read_link (link, now_us);
  if (!link->closed && (ready & EPOLLOUT))
    mark_dirty (link);
  return true;
}

static void
run_timers (links_t *links, int64_t read_us, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, links->by_fd);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      link_t *link = value;

      if (read_us - link->heard_us >= LINK_SILENCE_US)
        link_close (link, "silent");
      else if (link->accepted && !link->greeted
               && read_us - link->opened_us >= LINK_FIRST_FRAME_US)
        link_close (link, "no-first-frame");
      else if (!link->connecting)
        link_send (link, NULL, 0);
    }
  if (links->listener_paused)
    watch_listener (links);
  links->timer_us = now_us + LINK_PING_US;
}

void
links_run (links_t *links, int64_t read_us, int64_t now_us)
{
  if (links->timer_us <= now_us)
    run_timers (links, MIN (read_us, now_us), now_us);
  /* Closing a link may close others or send on them.  */
  while (links->dirty->len > 0)
    {
      link_t *link
          = g_ptr_array_steal_index_fast (links->dirty, links->dirty->len - 1);

      link->dirty = false;
      if (!link->closed)
        write_link (link);
      if (!link->closed)
        continue;
      if (link->dirty)
        g_ptr_array_remove_fast (links->dirty, link);
      g_hash_table_remove (links->by_fd, GINT_TO_POINTER (link->fd));
      link->handler.on_closed (link->handler.ctx, link, link->closed);
      free_link (link);
    }
}

int64_t
links_due_us (const links_t *links)
{
  if (links->dirty->len > 0)
    return 0;
  return g_hash_table_size (links->by_fd) > 0 || links->listener_paused
             ? links->timer_us
             : INT64_MAX;
}

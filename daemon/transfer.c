#include "loop.h"
#include <sys/epoll.h>
#include <unistd.h>

/* libcurl asks to watch a socket at the start of each transfer and to stop
   watching it at the end.  The socket stays in the epoll set between transfers
   instead, which saves two system calls per request; it is removed if it
   becomes ready meanwhile because the upstream closed it.  */
typedef enum watch
{
  WATCH_NONE, /* not in the epoll set */
  WATCH_IDLE, /* in it, but libcurl does not wait for it */
  WATCH_ACTIVE
} watch_t;

struct socket_watch
{
  source_t source;
  watch_t watch;
  uint32_t events;
};

static socket_watch_t *
get_watch (loop_t *loop, int fd)
{
  socket_watch_t *socket;

  if ((guint)fd >= loop->sockets->len)
    g_ptr_array_set_size (loop->sockets, fd + 1);
  socket = g_ptr_array_index (loop->sockets, fd);
  if (socket)
    return socket;
  socket = g_new0 (socket_watch_t, 1);
  socket->source.kind = SOURCE_UPSTREAM;
  socket->source.fd = fd;
  socket->source.u.socket = socket;
  loop->sockets->pdata[fd] = socket;
  return socket;
}

static int
on_socket (CURL *easy, curl_socket_t fd, int what, void *cls, void *ctx)
{
  loop_t *loop = cls;
  socket_watch_t *socket = get_watch (loop, fd);
  struct epoll_event event = { .data.ptr = &socket->source };

  (void)easy;
  (void)ctx;
  if (what == CURL_POLL_REMOVE)
    {
      if (socket->watch == WATCH_ACTIVE)
        socket->watch = WATCH_IDLE;
      return 0;
    }
  if (what & CURL_POLL_IN)
    event.events |= EPOLLIN;
  if (what & CURL_POLL_OUT)
    event.events |= EPOLLOUT;
  if (socket->watch == WATCH_NONE)
    epoll_ctl (loop->epoll_fd, EPOLL_CTL_ADD, fd, &event);
  else if (socket->events != event.events)
    epoll_ctl (loop->epoll_fd, EPOLL_CTL_MOD, fd, &event);
  socket->watch = WATCH_ACTIVE;
  socket->events = event.events;
  return 0;
}

static int
on_close (void *cls, curl_socket_t fd)
{
  loop_t *loop = cls;

  /* Closing removes it from the epoll set.  */
  get_watch (loop, fd)->watch = WATCH_NONE;
  return close (fd);
}

static int
on_timer (CURLM *multi, long timeout_ms, void *cls)
{
  loop_t *loop = cls;

  (void)multi;
  loop->curl_due_us = timeout_ms < 0
                          ? INT64_MAX
                          : clock_mono_us () + (int64_t)timeout_ms * 1000;
  return 0;
}

static void
collect_finished (loop_t *loop, int64_t now_us)
{
  CURLMsg *message;
  int left;

  while ((message = curl_multi_info_read (loop->multi, &left)))
    {
      char *private = NULL;

      if (message->msg != CURLMSG_DONE)
        continue;
      curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, &private);
      flow_transfer_done (loop, (req_t *)(void *)private, message->data.result,
                          now_us);
    }
}

static void
socket_action (loop_t *loop, curl_socket_t fd, int events, int64_t now_us)
{
  int running;

  curl_multi_socket_action (loop->multi, fd, events, &running);
  collect_finished (loop, now_us);
}

void
transfer_run_due (loop_t *loop, int64_t now_us)
{
  if (loop->curl_due_us > now_us)
    return;
  loop->curl_due_us = INT64_MAX;
  socket_action (loop, CURL_SOCKET_TIMEOUT, 0, now_us);
}

void
transfer_run_socket (loop_t *loop, socket_watch_t *socket, uint32_t ready,
                     int64_t now_us)
{
  int events = 0;

  if (socket->watch == WATCH_NONE)
    return; /* closed earlier on this iteration */
  if (socket->watch == WATCH_IDLE)
    {
      epoll_ctl (loop->epoll_fd, EPOLL_CTL_DEL, socket->source.fd, NULL);
      socket->watch = WATCH_NONE;
      return;
    }
  if (ready & EPOLLIN)
    events |= CURL_CSELECT_IN;
  if (ready & EPOLLOUT)
    events |= CURL_CSELECT_OUT;
  if (ready & (EPOLLERR | EPOLLHUP))
    events |= CURL_CSELECT_ERR;
  socket_action (loop, socket->source.fd, events, now_us);
}

/* A new handle with the options that all transfers share.  */
static CURL *
new_easy (loop_t *loop)
{
  CURL *easy = curl_easy_init ();

  curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt (easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_CLOSESOCKETFUNCTION, on_close);
  curl_easy_setopt (easy, CURLOPT_CLOSESOCKETDATA, loop);
  return easy;
}

CURL *
transfer_acquire_easy (loop_t *loop)
{
  GPtrArray *idle = loop->easy_idle;

  if (idle->len == 0)
    return new_easy (loop);
  return g_ptr_array_steal_index_fast (idle, idle->len - 1);
}

void
transfer_release_easy (loop_t *loop, CURL *easy)
{
  curl_multi_remove_handle (loop->multi, easy);
  if (loop->easy_idle->len < EASY_IDLE_MAX)
    g_ptr_array_add (loop->easy_idle, easy);
  else
    curl_easy_cleanup (easy);
}

void
transfer_open (loop_t *loop)
{
  loop->curl_due_us = INT64_MAX;
  loop->easy_idle = g_ptr_array_new_with_free_func (curl_easy_cleanup);
  loop->sockets = g_ptr_array_new_with_free_func (g_free);
  loop->multi = curl_multi_init ();
  curl_multi_setopt (loop->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
  curl_multi_setopt (loop->multi, CURLMOPT_SOCKETDATA, loop);
  curl_multi_setopt (loop->multi, CURLMOPT_TIMERFUNCTION, on_timer);
  curl_multi_setopt (loop->multi, CURLMOPT_TIMERDATA, loop);
}

void
transfer_close (loop_t *loop)
{
  g_ptr_array_unref (loop->easy_idle);
  curl_multi_cleanup (loop->multi);
  g_ptr_array_unref (loop->sockets);
}

#include "entry.h"
#include <curl/curl.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

/* A connection within a data centre or to a neighbouring one takes 2 ms; TCP
   retransmits a lost SYN after one second.  */
#define CONNECT_TIMEOUT_MS 1300
#define CACHED_CONNECTIONS_MAX 4096
#define IDLE_HANDLES_MAX 64
#define WATCHED_GROWTH 64
#define REPLY_BYTES_MAX (16 * 1024 * 1024)
/* A call whose reply arrives goes on until nothing has arrived for this time,
   and for CALL_MAX_US in all.  */
#define PROGRESS_TIMEOUT_US 700000
#define CALL_MAX_US 30000000

struct call
{
  CURL *easy;
  struct curl_slist *headers;
  GBytes *body; /* of a POST; NULL: GET */
  call_result_t result;
  call_done_t done;
  void *ctx;
  int64_t deadline_us;
  int64_t send_by_us;   /* the request is not sent after this time */
  GSequenceIter *place; /* in calls->by_deadline */
  /* Data may have been sent, perhaps on a connection that was lost.  */
  bool request_started;
};

struct calls
{
  CURLM *multi;
  int epoll_fd;
  int64_t due_us;         /* of libcurl's timers */
  GSequence *by_deadline; /* calls under way */
  GPtrArray *idle;        /* CURL handles without a call */
  GByteArray *watched;    /* by descriptor: whether it is in the epoll set */
};

static void
set_watched (calls_t *calls, int fd, bool on)
{
  if ((guint)fd >= calls->watched->len)
    {
      guint old = calls->watched->len;

      g_byte_array_set_size (calls->watched, (guint)fd + WATCHED_GROWTH);
      memset (calls->watched->data + old, 0, calls->watched->len - old);
    }
  calls->watched->data[fd] = on;
}

static bool
is_watched (const calls_t *calls, int fd)
{
  return (guint)fd < calls->watched->len && calls->watched->data[fd];
}

static int
on_socket (CURL *easy, curl_socket_t fd, int what, void *cls, void *ctx)
{
  calls_t *calls = cls;
  struct epoll_event event = { .data.fd = fd };

  (void)easy;
  (void)ctx;
  if (what == CURL_POLL_REMOVE)
    {
      if (is_watched (calls, fd))
        epoll_ctl (calls->epoll_fd, EPOLL_CTL_DEL, fd, NULL);
      set_watched (calls, fd, false);
      return 0;
    }
  if (what & CURL_POLL_IN)
    event.events |= EPOLLIN;
  if (what & CURL_POLL_OUT)
    event.events |= EPOLLOUT;
  epoll_ctl (calls->epoll_fd,
             is_watched (calls, fd) ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, fd,
             &event);
  set_watched (calls, fd, true);
  return 0;
}

static int
on_timer (CURLM *multi, long timeout_ms, void *cls)
{
  calls_t *calls = cls;

  (void)multi;
  calls->due_us = timeout_ms < 0
                      ? INT64_MAX
                      : clock_boot_us () + (int64_t)timeout_ms * 1000;
  return 0;
}

calls_t *
calls_open (int epoll_fd, uint32_t address_connections,
            uint32_t connections_max)
{
  uint32_t cached_max
      = connections_max > 0 ? connections_max : CACHED_CONNECTIONS_MAX;

  calls_t *calls = g_new0 (calls_t, 1);

  calls->epoll_fd = epoll_fd;
  calls->due_us = INT64_MAX;
  calls->by_deadline = g_sequence_new (NULL);
  calls->idle = g_ptr_array_new_with_free_func (curl_easy_cleanup);
  calls->watched = g_byte_array_new ();
  calls->multi = curl_multi_init ();
  curl_multi_setopt (calls->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
  curl_multi_setopt (calls->multi, CURLMOPT_SOCKETDATA, calls);
  curl_multi_setopt (calls->multi, CURLMOPT_TIMERFUNCTION, on_timer);
  curl_multi_setopt (calls->multi, CURLMOPT_TIMERDATA, calls);
  curl_multi_setopt (calls->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                     (long)address_connections);
  curl_multi_setopt (calls->multi, CURLMOPT_MAXCONNECTS, (long)cached_max);
  curl_multi_setopt (calls->multi, CURLMOPT_MAX_TOTAL_CONNECTIONS,
                     (long)connections_max);
  return calls;
}

void
calls_close (calls_t *calls)
{
  g_ptr_array_unref (calls->idle);
  curl_multi_cleanup (calls->multi);
  g_byte_array_unref (calls->watched);
  g_sequence_free (calls->by_deadline);
  g_free (calls);
}

static gint
compare_deadlines (gconstpointer a, gconstpointer b, gpointer ctx)
{
  const call_t *l = a;
  const call_t *r = b;

  (void)ctx;
  return l->deadline_us < r->deadline_us ? -1
                                         : l->deadline_us > r->deadline_us;
}

/* Gives a call more time while its reply arrives: a page of a log takes
   seconds on a slow link, and would take as long when it is requested again.
 */
static void
extend_deadline (call_t *call)
{
  int64_t until_us = clock_boot_us () + PROGRESS_TIMEOUT_US;

  if (until_us <= call->deadline_us
      || until_us - call->result.sent_us > CALL_MAX_US)
    return;
  call->deadline_us = until_us;
  g_sequence_sort_changed (call->place, compare_deadlines, NULL);
}

static size_t
append_body (char *data, size_t size, size_t count, void *to)
{
  call_t *call = to;
  GByteArray *body = call->result.body;

  if (body->len + size * count > REPLY_BYTES_MAX)
    return 0;
  g_byte_array_append (body, (const guint8 *)data, (guint)(size * count));
  extend_deadline (call);
  return size * count;
}

/* Called before each request that libcurl sends for a call, once it has a
   connection.  A call may have waited for that longer than its limit, and
   beyond its deadline, as events are handled before deadlines.  libcurl sends
   a request again by itself when a reused connection ends before the reply.  A
   POST is not repeated: the server may have carried out the first request, and
   a rejection of the second one would hide that.  libcurl
   defines the signature.  */
/* NOLINTBEGIN(readability-non-const-parameter) */
static int
on_pre_request (void *cls, char *peer, char *self, int peer_port,
                int self_port)
{
  call_t *call = cls;

  (void)peer;
  (void)self;
  (void)peer_port;
  (void)self_port;
  if ((call->request_started && call->body)
      || clock_boot_us () > call->send_by_us)
    return CURL_PREREQFUNC_ABORT;
  call->request_started = true;
  return CURL_PREREQFUNC_OK;
}
/* NOLINTEND(readability-non-const-parameter) */

static CURL *
acquire_handle (calls_t *calls)
{
  CURL *easy;

  if (calls->idle->len > 0)
    return g_ptr_array_steal_index_fast (calls->idle, calls->idle->len - 1);
  easy = curl_easy_init ();
  curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_TIMEOUT_MS);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, append_body);
  curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, on_pre_request);
  return easy;
}

static struct curl_slist *
build_headers (const platform_req_t *req)
{
  /* libcurl would wait for 100-continue, which the server may not support.  */
  struct curl_slist *list = curl_slist_append (NULL, "Expect:");

  for (uint32_t i = 0; i < PLATFORM_HEADERS_MAX && req->headers[i]; i++)
    list = curl_slist_append (list, req->headers[i]);
  return list;
}

call_t *
calls_send (calls_t *calls, const char *address, platform_req_t *req,
            uint32_t timeout_ms, call_done_t done, void *ctx)
{
  g_autofree char *url = g_strdup_printf ("http://%s%s", address, req->path);
  call_t *call = g_new0 (call_t, 1);
  gsize len = 0;
  const void *data;

  call->easy = acquire_handle (calls);
  call->headers = build_headers (req);
  call->done = done;
  call->ctx = ctx;
  call->result.sent_us = clock_boot_us ();
  call->result.body = g_byte_array_new ();
  call->deadline_us = call->result.sent_us + (int64_t)timeout_ms * 1000;
  call->send_by_us = INT64_MAX;
  call->place = g_sequence_insert_sorted (calls->by_deadline, call,
                                          compare_deadlines, NULL);
  curl_easy_setopt (call->easy, CURLOPT_URL, url);
  curl_easy_setopt (call->easy, CURLOPT_HTTPHEADER, call->headers);
  curl_easy_setopt (call->easy, CURLOPT_WRITEDATA, call);
  curl_easy_setopt (call->easy, CURLOPT_PRIVATE, call);
  curl_easy_setopt (call->easy, CURLOPT_PREREQDATA, call);
  if (req->post)
    {
      call->body = req->body ? g_bytes_ref (req->body) : g_bytes_new (NULL, 0);
      data = g_bytes_get_data (call->body, &len);
      curl_easy_setopt (call->easy, CURLOPT_POST, 1L);
      curl_easy_setopt (call->easy, CURLOPT_POSTFIELDS, data ? data : "");
      curl_easy_setopt (call->easy, CURLOPT_POSTFIELDSIZE_LARGE,
                        (curl_off_t)len);
    }
  else
    curl_easy_setopt (call->easy, CURLOPT_HTTPGET, 1L);
  platform_req_clear (req);
  curl_multi_add_handle (calls->multi, call->easy);
  return call;
}

void
calls_limit_delay (call_t *call, uint32_t delay_ms)
{
  call->send_by_us = call->result.sent_us + (int64_t)delay_ms * 1000;
}

/* Takes CALL out of the calls under way and keeps its handle.  */
static void
remove_call (calls_t *calls, call_t *call)
{
  g_sequence_remove (call->place);
  curl_multi_remove_handle (calls->multi, call->easy);
  if (calls->idle->len < IDLE_HANDLES_MAX)
    g_ptr_array_add (calls->idle, call->easy);
  else
    curl_easy_cleanup (call->easy);
}

static void
free_call (call_t *call)
{
  curl_slist_free_all (call->headers);
  if (call->body)
    g_bytes_unref (call->body);
  g_byte_array_unref (call->result.body);
  g_free (call);
}

static void
complete_call (calls_t *calls, call_t *call, CURLcode code)
{
  long status = 0;

  curl_easy_getinfo (call->easy, CURLINFO_RESPONSE_CODE, &status);
  if (code == CURLE_OK)
    call->result.status = (uint32_t)status;
  call->result.not_sent = code != CURLE_OK && !call->request_started;
  remove_call (calls, call);
  call->done (call->ctx, &call->result);
  free_call (call);
}

void
calls_cancel (calls_t *calls, call_t *call)
{
  remove_call (calls, call);
  free_call (call);
}

static void
process_socket (calls_t *calls, curl_socket_t fd, int events)
{
  CURLMsg *message;
  int left;

  curl_multi_socket_action (calls->multi, fd, events, &left);
  while ((message = curl_multi_info_read (calls->multi, &left)))
    {
      CURLcode code = message->data.result;
      char *private = NULL;

      if (message->msg != CURLMSG_DONE)
        continue;
      curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, &private);
      complete_call (calls, (call_t *)(void *)private, code);
    }
}

void
calls_handle_event (calls_t *calls, int fd, uint32_t ready)
{
  int events = 0;

  if (!is_watched (calls, fd))
    return; /* closed earlier in this iteration */
  if (ready & EPOLLIN)
    events |= CURL_CSELECT_IN;
  if (ready & EPOLLOUT)
    events |= CURL_CSELECT_OUT;
  if (ready & (EPOLLERR | EPOLLHUP))
    events |= CURL_CSELECT_ERR;
  process_socket (calls, fd, events);
}

/* The call with the earliest deadline, or NULL.  */
static call_t *
first_call (const calls_t *calls)
{
  GSequenceIter *first = g_sequence_get_begin_iter (calls->by_deadline);

  return g_sequence_iter_is_end (first) ? NULL : g_sequence_get (first);
}

/* libcurl's own timeout is not used: it ends a call whose reply has arrived in
   time but was not read yet.  */
static void
end_expired_calls (calls_t *calls, int64_t read_us)
{
  call_t *call;

  while ((call = first_call (calls)) && call->deadline_us <= read_us)
    complete_call (calls, call, CURLE_OPERATION_TIMEDOUT);
}

void
calls_run_due (calls_t *calls, int64_t read_us, int64_t now_us)
{
  end_expired_calls (calls, MIN (read_us, now_us));
  if (calls->due_us > now_us)
    return;
  calls->due_us = INT64_MAX;
  process_socket (calls, CURL_SOCKET_TIMEOUT, 0);
}

int64_t
calls_due_us (const calls_t *calls)
{
  const call_t *call = first_call (calls);

  return call ? MIN (calls->due_us, call->deadline_us) : calls->due_us;
}

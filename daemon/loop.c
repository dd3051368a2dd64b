#include "intake.h"
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#define EVENTS_AT_ONCE 128
#define PIPE_ENTRIES 65536
/* Interval at which a loop with queued requests checks for slots that became
   free by time alone, by the end of an ejection or of a loan.  */
#define QUEUE_CHECK_MS 50
#define IDLE_CONNECTION_S 65
#define STOP_CHECK_MS 20
/* Beyond connections_max, for new connections while closed ones end.  */
#define CONNECTIONS_PER_SPARE 8

static void
on_connection (void *cls, struct MHD_Connection *connection, void **ctx,
               enum MHD_ConnectionNotificationCode code)
{
  loop_t *loop = cls;
  const union MHD_ConnectionInfo *info;
  struct epoll_event event = { .events = EPOLLRDHUP | EPOLLET };
  conn_t *conn;

  if (code == MHD_CONNECTION_NOTIFY_CLOSED)
    {
      /* At its limit the server watches the listening socket again only when
         it is run once more.  */
      if (atomic_fetch_sub (&loop->connections, 1)
          > loop->closings.connections_max)
        loop->resumed = true;
      intake_disconnect (loop, *ctx);
      g_slice_free (conn_t, *ctx);
      return;
    }
  atomic_fetch_add (&loop->connections, 1);
  conn = g_slice_new0 (conn_t);
  info = MHD_get_connection_info (connection,
                                  MHD_CONNECTION_INFO_CONNECTION_FD);
  conn->source.kind = SOURCE_CLIENT;
  conn->source.fd = info->connect_fd;
  conn->source.u.conn = conn;
  event.data.ptr = &conn->source;
  /* The server does not poll suspended connections; this event tells when
     their client closes.  */
  epoll_ctl (loop->epoll_fd, EPOLL_CTL_ADD, conn->source.fd, &event);
  intake_connect (loop, conn, clock_mono_us ());
  *ctx = conn;
}

static void *
on_uri (void *cls, const char *uri, struct MHD_Connection *conn)
{
  (void)conn;
  return parse_begin (cls, uri);
}

static conn_t *
get_conn (struct MHD_Connection *connection)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

  return info->socket_context;
}

static void
on_completed (void *cls, struct MHD_Connection *connection, void **ctx,
              enum MHD_RequestTerminationCode code)
{
  loop_t *loop = cls;
  req_t *req = *ctx;
  conn_t *conn = get_conn (connection);

  (void)code;
  if (!req)
    return;
  if (req->stage != REQ_READING && req->stage != REQ_ANSWERED)
    flow_client_gone (loop, req, clock_mono_us ());
  conn->req = NULL;
  if (req->conn)
    atomic_fetch_sub (&loop->in_flight, 1);
  parse_free (req);
  *ctx = NULL;
  intake_end (loop, conn, clock_mono_us ());
}

static enum MHD_Result
send_response (loop_t *loop, req_t *req, struct MHD_Connection *connection)
{
  return response_queue (req, connection,
                         atomic_load (&loop->config->stopping));
}

/* Refuses a request whose body is not to be read, so that its connection can't
   be reused; one with another error is answered at the end of its body.  */
static enum MHD_Result
begin_request (loop_t *loop, req_t *req, struct MHD_Connection *connection,
               const char *method, const char *version)
{
  conn_t *conn = get_conn (connection);
  err_kind_t error;
  err_kind_t refusal;

  counter_add (COUNT_REQUESTS, 1);
  atomic_fetch_add (&loop->in_flight, 1);
  loop->last_request_us = clock_mono_us ();
  conn->req = req;
  error = parse_headers (req, connection, method,
                         loop->config->settings->body_max_kib,
                         loop->last_request_us);
  refusal = intake_begin (loop, conn, connection, method, version,
                          loop->last_request_us);
  if (error == ERR_NONE && refusal == ERR_NONE)
    return MHD_YES;
  req->error = refusal == ERR_NONE ? error : refusal;
  req->stage = REQ_ANSWERED;
  counter_add (COUNT_REFUSED_NOT_RUN, 1);
  if (refusal != ERR_NONE)
    return response_queue (req, connection, true);
  return MHD_YES;
}

static enum MHD_Result
on_access (void *cls, struct MHD_Connection *connection, const char *url,
           const char *method, const char *version, const char *data,
           size_t *len, void **ctx)
{
  loop_t *loop = cls;
  conn_t *conn = get_conn (connection);
  req_t *req = *ctx;
  bool reads_on;

  (void)url;
  if (intake_is_closed (conn))
    return MHD_NO;
  if (!req->conn)
    return begin_request (loop, req, connection, method, version);
  if (*len > 0)
    {
      reads_on = intake_read (loop, conn, data, *len, clock_mono_us ());
      *len = 0;
      return reads_on ? MHD_YES : MHD_NO;
    }
  intake_complete (loop, conn);
  if (req->stage == REQ_READING)
    flow_start (loop, req, clock_mono_us ());
  if (req->stage == REQ_ANSWERED)
    return send_response (loop, req, connection);
  req->suspended = true;
  MHD_suspend_connection (connection);
  return MHD_YES;
}

static void
handle_msg (loop_t *loop, loop_msg_t *msg, int64_t now_us)
{
  switch (msg->kind)
    {
    case LOOP_MSG_GRANTED:
      flow_granted (loop, msg->u.granted, now_us);
      return;
    case LOOP_MSG_CLAIM:
      flow_claimed (loop, msg->u.claimed.number, msg->u.claimed.result,
                    now_us);
      g_free (msg);
      return;
    }
}

static void
run_pipe (loop_t *loop, int64_t now_us)
{
  pipe_node_t *node;

  pipe_clear_wakeup (&loop->pipe);
  while ((node = pipe_get (&loop->pipe)))
    handle_msg (loop, caa_container_of (node, loop_msg_t, node), now_us);
}

static void
on_half_closed (loop_t *loop, conn_t *conn, int64_t now_us)
{
  intake_half_closed (loop, conn);
  if (conn->req)
    flow_client_gone (loop, conn->req, now_us);
}

static void
run_source (loop_t *loop, const struct epoll_event *event, int64_t now_us)
{
  source_t *source = event->data.ptr;

  switch (source->kind)
    {
    case SOURCE_SERVER:
      return; /* MHD_run is called on each iteration */
    case SOURCE_PIPE:
      run_pipe (loop, now_us);
      return;
    case SOURCE_UPSTREAM:
      transfer_run_socket (loop, source->u.socket, event->events, now_us);
      return;
    case SOURCE_CLIENT:
      on_half_closed (loop, source->u.conn, now_us);
      return;
    }
}

static int
wait_ms (loop_t *loop, int64_t now_us)
{
  int64_t due_us = MIN (timers_next_us (loop), loop->curl_due_us);
  MHD_UNSIGNED_LONG_LONG server_ms;
  int64_t wait = 60000;

  if (loop->resumed)
    return 0;
  if (due_us != INT64_MAX)
    wait = MAX (0, (due_us - now_us + 999) / 1000);
  if (loop->queued)
    wait = MIN (wait, QUEUE_CHECK_MS);
  if (atomic_load (&loop->stop_begun))
    wait = MIN (wait, STOP_CHECK_MS);
  if (intake_is_closing (loop))
    wait = MIN (wait, INTAKE_CLOSE_MS);
  if (MHD_get_timeout (loop->server, &server_ms) == MHD_YES)
    wait = MIN (wait, (int64_t)server_ms);
  return (int)wait;
}

static void
stop_accepting (loop_t *loop)
{
  MHD_socket fd = MHD_quiesce_daemon (loop->server);

  loop->accepting = false;
  if (fd != MHD_INVALID_SOCKET)
    close (fd);
}

/* Whether a stopping loop is done: all requests are answered, and idle
   connections have sent no new one for the drain time.  */
static bool
is_drained (loop_t *loop, int64_t now_us)
{
  int64_t drain_us = (int64_t)loop->config->settings->drain_ms * 1000;

  if (atomic_load (&loop->in_flight) > 0)
    return false;
  return atomic_load (&loop->connections) == 0
         || now_us - loop->last_request_us > drain_us;
}

static bool
should_stop (loop_t *loop, int64_t now_us, int64_t *stop_us)
{
  const settings_t *settings = loop->config->settings;

  if (!atomic_load (&loop->stop_begun))
    return false;
  if (*stop_us == 0)
    {
      *stop_us = now_us;
      loop->last_request_us = now_us;
    }
  if (loop->accepting
      && now_us - *stop_us >= (int64_t)settings->drain_ms * 1000)
    stop_accepting (loop);
  if (!loop->accepting && is_drained (loop, now_us))
    return true;
  if (now_us - *stop_us < (int64_t)settings->stop_ms * 1000)
    return false;
  event_log (EV_STOP_FORCED, "in_flight=%u",
             (unsigned)atomic_load (&loop->in_flight));
  /* The HTTP server can't be stopped cleanly while requests are suspended.  */
  _exit (EXIT_FAILURE);
}

static void
run_timers (loop_t *loop, int64_t now_us)
{
  timer_entry_t entry;

  while (timers_take_due (loop, now_us, &entry))
    flow_timer (loop, &entry, now_us);
}

/* Applies a new view to this loop, and dispatches requests to slots that
   became free by time alone.  */
static void
apply_view (loop_t *loop, int64_t now_us)
{
  const view_t *view;

  rcu_read_lock ();
  view = view_get ();
  if (view && view->connections != loop->host_connections)
    {
      loop->host_connections = view->connections;
      curl_multi_setopt (loop->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                         (long)MIN (view->connections, INT32_MAX));
    }
  if (view && loop->queued)
    admission_dispatch_all (view, now_us);
  rcu_read_unlock ();
}

static void *
run (void *arg)
{
  loop_t *loop = arg;
  struct epoll_event events[EVENTS_AT_ONCE];
  int64_t now_us = clock_mono_us ();
  int64_t stop_us = 0;
  int count;

  rcu_register_thread ();
  while (!should_stop (loop, now_us, &stop_us))
    {
      count = epoll_wait (loop->epoll_fd, events, EVENTS_AT_ONCE,
                          wait_ms (loop, now_us));
      now_us = clock_mono_us ();
      for (int i = 0; i < count; i++)
        run_source (loop, &events[i], now_us);
      run_timers (loop, now_us);
      apply_view (loop, now_us);
      transfer_run_due (loop, now_us);
      loop->resumed = false;
      MHD_run (loop->server);
      now_us = clock_mono_us ();
      intake_shut_down (loop, now_us);
      /* Start the transfers of requests that just arrived on this
         iteration.  */
      transfer_run_due (loop, now_us);
    }
  rcu_unregister_thread ();
  return NULL;
}

static bool
open_server (loop_t *loop)
{
  const settings_t *settings = loop->config->settings;
  const union MHD_DaemonInfo *info;
  struct epoll_event event = { .events = EPOLLIN };
  uint32_t connections
      = MAX (1, settings->connections_max / settings->threads);

  connections += connections / CONNECTIONS_PER_SPARE + 1;
  loop->server = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, on_access, loop,
      MHD_OPTION_LISTEN_SOCKET, loop->listen_fd, MHD_OPTION_NOTIFY_CONNECTION,
      on_connection, loop, MHD_OPTION_NOTIFY_COMPLETED, on_completed, loop,
      MHD_OPTION_URI_LOG_CALLBACK, on_uri, loop, MHD_OPTION_CONNECTION_LIMIT,
      connections, MHD_OPTION_CONNECTION_TIMEOUT, IDLE_CONNECTION_S,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)HEADER_BYTES_MAX,
      MHD_OPTION_END);
  if (!loop->server)
    return false;
  info = MHD_get_daemon_info (loop->server, MHD_DAEMON_INFO_EPOLL_FD);
  loop->server_source = (source_t){ SOURCE_SERVER, info->epoll_fd, { NULL } };
  event.data.ptr = &loop->server_source;
  return epoll_ctl (loop->epoll_fd, EPOLL_CTL_ADD, info->epoll_fd, &event)
         == 0;
}

static bool
open_pipe (loop_t *loop)
{
  struct epoll_event event = { .events = EPOLLIN };

  if (!pipe_open (&loop->pipe, PIPE_ENTRIES))
    return false;
  loop->pipe_source = (source_t){ SOURCE_PIPE, loop->pipe.event_fd, { NULL } };
  event.data.ptr = &loop->pipe_source;
  return epoll_ctl (loop->epoll_fd, EPOLL_CTL_ADD, loop->pipe.event_fd, &event)
         == 0;
}

loop_t *
loop_start (loop_config_t *config, int listen_fd)
{
  loop_t *loop = g_new0 (loop_t, 1);

  loop->config = config;
  loop->accepting = true;
  loop->timers = g_sequence_new (NULL);
  loop->claiming = g_hash_table_new (g_int64_hash, g_int64_equal);
  loop->index = config->loops_count;
  loop->epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  loop->listen_fd = dup (listen_fd);
  transfer_open (loop);
  intake_open (loop);
  if (loop->epoll_fd < 0 || loop->listen_fd < 0 || !open_server (loop)
      || !open_pipe (loop)
      || pthread_create (&loop->thread, NULL, run, loop) != 0)
    return NULL;
  config->loops[config->loops_count++] = loop;
  return loop;
}

void
loop_stop_begin (loop_t *loop)
{
  atomic_store (&loop->stop_begun, true);
  eventfd_write (loop->pipe.event_fd, 1);
}

void
loop_join (loop_t *loop)
{
  pthread_join (loop->thread, NULL);
  MHD_stop_daemon (loop->server);
  transfer_close (loop);
  intake_close (loop);
  g_sequence_free (loop->timers);
  g_hash_table_destroy (loop->claiming);
  pipe_close (&loop->pipe);
  close (loop->epoll_fd);
  g_free (loop);
}

uint32_t
loop_in_flight (const loop_t *loop)
{
  return atomic_load (&loop->in_flight);
}

static void
post_msg (loop_t *loop, loop_msg_t *msg)
{
  /* The pipe has more entries than a loop may have connections, and each
     request has at most one message pending.  */
  if (!pipe_put (&loop->pipe, &msg->node))
    abort ();
}

void
loop_post_granted (req_t *req)
{
  req->msg.kind = LOOP_MSG_GRANTED;
  req->msg.u.granted = req;
  post_msg (req->loop, &req->msg);
}

/* The bits above these hold the loop's index.  */
#define CLAIM_NUMBER_BITS 48

uint64_t
loop_next_claim_number (loop_t *loop)
{
  loop->next_claim_number = (loop->next_claim_number + 1)
                            & ((UINT64_C (1) << CLAIM_NUMBER_BITS) - 1);
  return ((uint64_t)loop->index << CLAIM_NUMBER_BITS)
         | loop->next_claim_number;
}

void
loop_post_claim (loop_config_t *config, uint64_t number, err_kind_t result)
{
  uint64_t index = number >> CLAIM_NUMBER_BITS;
  loop_msg_t *msg;

  if (index >= config->loops_count)
    return; /* not a claim of this daemon */
  msg = g_new0 (loop_msg_t, 1);
  msg->kind = LOOP_MSG_CLAIM;
  msg->u.claimed.number = number;
  msg->u.claimed.result = result;
  /* Dropping the reply is safe: the request times out and is refused as not
     run.  */
  if (!pipe_put (&config->loops[index]->pipe, &msg->node))
    g_free (msg);
}

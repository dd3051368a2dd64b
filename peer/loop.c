#include "conn.h"
#include <apr_portable.h>
#include <signal.h>
#include <string.h>
#include <sys/epoll.h>

#define EVENTS_MAX 32

static void
free_member_list (struct rcu_head *head)
{
  member_list_t *list = caa_container_of (head, member_list_t, rcu);

  g_free (list->heartbeats);
  g_free (list);
}

void
transport_publish_members (transport_t *transport)
{
  uint32_t count = members_count (transport->members);
  member_list_t *list
      = g_malloc0 (sizeof *list + count * sizeof list->members[0]);
  member_list_t *old;

  list->count = count;
  list->heartbeats = g_new (peer_heartbeat_t, count);
  for (uint32_t i = 0; i < count; i++)
    {
      list->members[i] = *members_at (transport->members, i);
      list->heartbeats[i] = member_heartbeat (&list->members[i]);
    }
  old = rcu_xchg_pointer (&transport->member_list, list);
  if (old)
    call_rcu (&old->rcu, free_member_list);
}

void
transport_unpublish_members (transport_t *transport)
{
  call_rcu (&transport->member_list->rcu, free_member_list);
  rcu_barrier ();
}

const member_list_t *
transport_members (const transport_t *transport)
{
  return rcu_dereference (transport->member_list);
}

peer_t *
transport_find_peer (transport_t *transport, const char *name, bool create)
{
  peer_t *peer;

  pthread_mutex_lock (&transport->lock);
  peer = g_hash_table_lookup (transport->peers_by_name, name);
  if (!peer && create)
    {
      peer = g_new0 (peer_t, 1);
      peer->name = g_intern_string (name);
      g_hash_table_insert (transport->peers_by_name, (gpointer)peer->name,
                           peer);
    }
  pthread_mutex_unlock (&transport->lock);
  return peer;
}

static void
notify_connection (transport_t *transport, const peer_t *peer, bool connected)
{
  members_set_connected (transport->members, peer->name, connected);
  transport_publish_members (transport);
  if (transport->config.on_peer)
    transport->config.on_peer (transport->config.ctx, peer->name, connected);
}

/* Whether CONN was opened by the daemon with the smaller name.  */
static bool
is_preferred (const conn_t *conn)
{
  return conn->outgoing
         == (strcmp (conn->own_hello.name, conn->peer_hello.name) < 0);
}

void
transport_conn_authenticated (transport_t *transport, conn_t *conn,
                              int64_t now_us)
{
  const msg_hello_t *peer_hello = &conn->peer_hello;
  peer_t *peer;

  if (!members_register (transport->members, peer_hello->name,
                         peer_hello->data_centre, peer_hello->incarnation))
    {
      counter_add (COUNT_PEER_REFUSED, 1);
      event_log (EV_PEER_REFUSED, "peer=%s reason=replaced", peer_hello->name);
      conn_close (conn, "replaced");
      return;
    }
  peer = transport_find_peer (transport, peer_hello->name, true);
  if (conn->target && !conn->target->name)
    conn->target->name = peer->name;
  if (peer->conn
      && peer->conn->peer_hello.incarnation == peer_hello->incarnation
      && is_preferred (peer->conn) && !is_preferred (conn))
    {
      conn_close (conn, "duplicate");
      return;
    }
  if (peer->conn)
    conn_close (peer->conn, "replaced");
  if (conn->target)
    conn->target->failures = 0;
  conn->peer = peer;
  conn->phase = CONN_UP;
  peer->conn = conn;
  atomic_fetch_add (&peer->queued_bytes, (unsigned)conn->out_bytes);
  atomic_store (&peer->connected, true);
  event_log (EV_PEER_UP, "peer=%s data_centre=%s incarnation=%" PRIu64,
             peer->name, peer_hello->data_centre, peer_hello->incarnation);
  conn_send_heartbeat (conn, now_us);
  if (conn->phase != CONN_UP)
    return;
  notify_connection (transport, peer, true);
}

void
transport_conn_closed (transport_t *transport, conn_t *conn)
{
  peer_t *peer = conn->peer;

  if (conn->target)
    target_schedule_retry (conn->target, transport->now_us);
  conn->target = NULL;
  if (!peer || peer->conn != conn)
    return;
  peer->conn = NULL;
  atomic_store (&peer->connected, false);
  notify_connection (transport, peer, false);
}

static void
handle_heartbeat (transport_t *transport, conn_t *conn,
                  const msg_heartbeat_t *heartbeat, int64_t now_us)
{
  bool first = conn->peer_sent_us == 0;

  conn->peer_sent_us = heartbeat->sent_us;
  /* A new version at a peer can change the shares that this daemon may hold,
     so on_tick is called at once.  */
  if (members_update (transport->members, conn->peer->name,
                      conn->peer_hello.incarnation, heartbeat, now_us))
    transport->next_tick_us = now_us;
  transport_publish_members (transport);
  /* The peer counts this daemon as heard only after its own heartbeat has been
     echoed, so the first one is answered at once.  */
  if (first)
    conn_send_heartbeat (conn, now_us);
}

void
transport_handle_msg (transport_t *transport, conn_t *conn, const msg_t *msg,
                      int64_t now_us)
{
  switch (msg->kind)
    {
    case MSG_HELLO:
    case MSG_PROOF:
      conn_close (conn, "unexpected");
      break;
    case MSG_HEARTBEAT:
      handle_heartbeat (transport, conn, &msg->u.heartbeat, now_us);
      break;
    case MSG_RELAY:
    case MSG_FETCH:
    case MSG_CLAIM:
    case MSG_CLAIM_REPLY:
    case MSG_LOAN_REQUEST:
    case MSG_LOAN:
    case MSG_TOTALS:
      transport->config.on_message (transport->config.ctx, conn->peer->name,
                                    conn->peer_hello.incarnation, msg);
      break;
    case MSG_UNKNOWN:
      break;
    }
}

static void
set_listening (transport_t *transport, bool listening)
{
  struct epoll_event event = { .events = listening ? EPOLLIN : 0,
                               .data = { .ptr = &transport->listen_source } };
  apr_os_sock_t fd;

  apr_os_sock_get (&fd, transport->listener);
  epoll_ctl (transport->epoll_fd, EPOLL_CTL_MOD, fd, &event);
}

static void
accept_connections (transport_t *transport)
{
  for (;;)
    {
      apr_socket_t *sock;
      apr_pool_t *pool;
      apr_status_t status;

      if (apr_pool_create (&pool, transport->pool) != APR_SUCCESS)
        return;
      status = apr_socket_accept (&sock, transport->listener, pool);
      if (status == APR_SUCCESS && transport->conns->len < CONNS_MAX)
        {
          handshake_begin (
              conn_new (transport, pool, sock, NULL, transport->now_us));
          continue;
        }
      if (status == APR_SUCCESS)
        apr_socket_close (sock);
      apr_pool_destroy (pool);
      if (status == APR_SUCCESS)
        continue;
      /* Out of descriptors.  The listener would stay readable and epoll_wait
         would not block, so it is disabled until the next tick.  */
      if (!APR_STATUS_IS_EAGAIN (status))
        set_listening (transport, false);
      return;
    }
}

static void
run_commands (transport_t *transport)
{
  pipe_node_t *node;

  pipe_clear_wakeup (&transport->pipe);
  while ((node = pipe_get (&transport->pipe)))
    {
      command_t *command = caa_container_of (node, command_t, node);
      peer_t *peer = command->peer;

      atomic_fetch_sub (&peer->queued_bytes,
                        (unsigned)g_bytes_get_size (command->frame));
      if (peer->conn)
        conn_enqueue (peer->conn, command->frame);
      g_bytes_unref (command->frame);
      g_free (command);
    }
  if (atomic_exchange (&transport->targets_changed, false))
    targets_update (transport, transport->now_us);
  if (atomic_exchange (&transport->heartbeat_requested, false))
    {
      transport->next_tick_us = transport->now_us;
      transport->heartbeats_due = true;
    }
}

static void
send_heartbeats (transport_t *transport)
{
  for (guint i = 0; i < transport->conns->len; i++)
    {
      conn_t *conn = g_ptr_array_index (transport->conns, i);

      if (conn->phase == CONN_UP)
        conn_send_heartbeat (conn, transport->now_us);
    }
}

static void
handle_event (transport_t *transport, const struct epoll_event *event)
{
  source_t *source = event->data.ptr;

  switch (source->kind)
    {
    case SOURCE_LISTEN:
      accept_connections (transport);
      break;
    case SOURCE_PIPE:
      run_commands (transport);
      break;
    case SOURCE_CONN:
      conn_handle_events (source->u.conn, event->events, transport->now_us);
      break;
    }
}

static void
tick (transport_t *transport)
{
  const member_t *suspect;

  if (transport->now_us < transport->next_tick_us)
    return;
  transport->next_tick_us = transport->now_us + HEARTBEAT_INTERVAL_US;
  set_listening (transport, true);
  while (
      (suspect = members_next_suspect (transport->members, transport->now_us)))
    event_log (EV_PEER_SUSPECT, "peer=%s silent_ms=%" PRId64, suspect->name,
               (transport->now_us - suspect->heard_us) / 1000);
  if (transport->config.on_tick)
    transport->config.on_tick (transport->config.ctx, transport->now_us);
  if (transport->heartbeats_due)
    send_heartbeats (transport);
  transport->heartbeats_due = false;
}

/* Runs all timers that are due, then frees the closed connections.  */
static void
run_timers (transport_t *transport)
{
  tick (transport);
  for (guint i = 0; i < transport->conns->len; i++)
    conn_run_timers (g_ptr_array_index (transport->conns, i),
                     transport->now_us);
  targets_connect (transport, transport->now_us);
  for (guint i = transport->conns->len; i-- > 0;)
    {
      conn_t *conn = g_ptr_array_index (transport->conns, i);

      if (conn->phase != CONN_CLOSED)
        continue;
      g_ptr_array_remove_index_fast (transport->conns, i);
      conn_free (conn);
    }
}

static int
epoll_timeout_ms (const transport_t *transport)
{
  int64_t due_us
      = MIN (transport->next_tick_us, targets_next_retry_us (transport));
  int64_t wait_us;

  for (guint i = 0; i < transport->conns->len; i++)
    due_us = MIN (
        due_us, conn_next_timer_us (g_ptr_array_index (transport->conns, i)));
  wait_us = due_us - clock_mono_us ();
  /* Rounded up: a timeout that ends before the timer is due would cause
     another wait of 0 ms.  */
  return (int)((MAX (wait_us, 0) + 999) / 1000);
}

void *APR_THREAD_FUNC
transport_run (apr_thread_t *thread, void *data)
{
  transport_t *transport = data;
  struct epoll_event events[EVENTS_MAX];
  sigset_t signals;

  (void)thread;
  /* apr_socket_send raises SIGPIPE on a closed connection.  */
  sigemptyset (&signals);
  sigaddset (&signals, SIGPIPE);
  pthread_sigmask (SIG_BLOCK, &signals, NULL);
  rcu_register_thread ();
  while (!atomic_load (&transport->stopping))
    {
      int count = epoll_wait (transport->epoll_fd, events, EVENTS_MAX,
                              epoll_timeout_ms (transport));

      transport->now_us = clock_mono_us ();
      for (int i = 0; i < count; i++)
        handle_event (transport, &events[i]);
      run_timers (transport);
    }
  rcu_unregister_thread ();
  return NULL;
}

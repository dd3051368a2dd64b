#include "conn.h"
#include <apr_portable.h>
#include <signal.h>
#include <string.h>
#include <sys/epoll.h>

#define EVENTS_MAX 32

static void
free_list (struct rcu_head *head)
{
  member_list_t *list = caa_container_of (head, member_list_t, rcu);

  g_free (list->views);
  g_free (list);
}

void
link_publish (transport_t *transport)
{
  uint32_t count = members_count (transport->members);
  member_list_t *list
      = g_malloc0 (sizeof *list + count * sizeof list->members[0]);
  member_list_t *old;

  list->count = count;
  list->views = g_new (peer_view_t, count);
  for (uint32_t i = 0; i < count; i++)
    {
      list->members[i] = *members_at (transport->members, i);
      list->views[i] = member_view (&list->members[i]);
    }
  old = rcu_xchg_pointer (&transport->list, list);
  if (old)
    call_rcu (&old->rcu, free_list);
}

void
link_unpublish (transport_t *transport)
{
  call_rcu (&transport->list->rcu, free_list);
  rcu_barrier ();
}

const member_list_t *
transport_members (const transport_t *transport)
{
  return rcu_dereference (transport->list);
}

slot_t *
link_slot (transport_t *transport, const char *name, bool make)
{
  slot_t *slot;

  pthread_mutex_lock (&transport->lock);
  slot = g_hash_table_lookup (transport->slots, name);
  if (!slot && make)
    {
      slot = g_new0 (slot_t, 1);
      slot->name = g_intern_string (name);
      g_hash_table_insert (transport->slots, (gpointer)slot->name, slot);
    }
  pthread_mutex_unlock (&transport->lock);
  return slot;
}

static void
tell_peer (transport_t *transport, const slot_t *slot, bool connected)
{
  members_set_connected (transport->members, slot->name, connected);
  link_publish (transport);
  if (transport->config.on_peer)
    transport->config.on_peer (transport->config.ctx, slot->name, connected);
}

/* Whether CONN was opened by the daemon with the smaller name.  */
static bool
is_preferred (const conn_t *conn)
{
  return conn->outgoing == (strcmp (conn->own.name, conn->theirs.name) < 0);
}

void
link_adopt (transport_t *transport, conn_t *conn, int64_t now_us)
{
  const msg_hello_t *theirs = &conn->theirs;
  slot_t *slot;

  if (!members_register (transport->members, theirs->name, theirs->data_centre,
                         theirs->incarnation))
    {
      counter_add (COUNT_PEER_REFUSED, 1);
      event_log (EV_PEER_REFUSED, "peer=%s reason=replaced", theirs->name);
      conn_close (conn, "replaced");
      return;
    }
  slot = link_slot (transport, theirs->name, true);
  if (conn->target && !conn->target->name)
    conn->target->name = slot->name;
  if (slot->conn && slot->conn->theirs.incarnation == theirs->incarnation
      && is_preferred (slot->conn) && !is_preferred (conn))
    {
      conn_close (conn, "duplicate");
      return;
    }
  if (slot->conn)
    conn_close (slot->conn, "replaced");
  if (conn->target)
    conn->target->failures = 0;
  conn->slot = slot;
  conn->phase = CONN_UP;
  slot->conn = conn;
  atomic_fetch_add (&slot->queued, (unsigned)conn->out_bytes);
  atomic_store (&slot->up, true);
  event_log (EV_PEER_UP, "peer=%s data_centre=%s incarnation=%" PRIu64,
             slot->name, theirs->data_centre, theirs->incarnation);
  conn_send_beat (conn, now_us);
  if (conn->phase != CONN_UP)
    return;
  tell_peer (transport, slot, true);
}

void
link_dropped (transport_t *transport, conn_t *conn)
{
  slot_t *slot = conn->slot;

  if (conn->target)
    target_failed (conn->target, transport->now_us);
  conn->target = NULL;
  if (!slot || slot->conn != conn)
    return;
  slot->conn = NULL;
  atomic_store (&slot->up, false);
  tell_peer (transport, slot, false);
}

static void
take_beat (transport_t *transport, conn_t *conn, const msg_heartbeat_t *beat,
           int64_t now_us)
{
  bool first = conn->peer_sent_us == 0;

  conn->peer_sent_us = beat->sent_us;
  /* What this daemon may hold can depend on the versions of its peers.  */
  if (members_update (transport->members, conn->slot->name,
                      conn->theirs.incarnation, beat, now_us))
    transport->tick_us = now_us;
  link_publish (transport);
  /* Until it is echoed, the other side can't tell that it is heard.  */
  if (first)
    conn_send_beat (conn, now_us);
}

void
link_take (transport_t *transport, conn_t *conn, const msg_t *msg,
           int64_t now_us)
{
  switch (msg->kind)
    {
    case MSG_HELLO:
    case MSG_PROOF:
      conn_close (conn, "unexpected");
      break;
    case MSG_HEARTBEAT:
      take_beat (transport, conn, &msg->u.heartbeat, now_us);
      break;
    case MSG_RELAY:
    case MSG_FETCH:
    case MSG_CLAIM:
    case MSG_CLAIM_REPLY:
    case MSG_LOAN_REQUEST:
    case MSG_LOAN:
    case MSG_TOTALS:
      transport->config.on_message (transport->config.ctx, conn->slot->name,
                                    conn->theirs.incarnation, msg);
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
accept_all (transport_t *transport)
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
      /* Out of descriptors: the listener would stay ready.  Try again at the
         next tick.  */
      if (!APR_STATUS_IS_EAGAIN (status))
        set_listening (transport, false);
      return;
    }
}

static void
take_commands (transport_t *transport)
{
  pipe_node_t *node;

  pipe_rest (&transport->pipe);
  while ((node = pipe_get (&transport->pipe)))
    {
      command_t *command = caa_container_of (node, command_t, node);
      slot_t *slot = command->slot;

      atomic_fetch_sub (&slot->queued,
                        (unsigned)g_bytes_get_size (command->frame));
      if (slot->conn)
        conn_queue (slot->conn, command->frame);
      g_bytes_unref (command->frame);
      g_free (command);
    }
  if (atomic_exchange (&transport->targets_changed, false))
    targets_update (transport, transport->now_us);
  if (atomic_exchange (&transport->beat_now, false))
    {
      transport->tick_us = transport->now_us;
      transport->beats_due = true;
    }
}

static void
send_beats (transport_t *transport)
{
  for (guint i = 0; i < transport->conns->len; i++)
    {
      conn_t *conn = g_ptr_array_index (transport->conns, i);

      if (conn->phase == CONN_UP)
        conn_send_beat (conn, transport->now_us);
    }
}

static void
handle (transport_t *transport, const struct epoll_event *event)
{
  source_t *source = event->data.ptr;

  switch (source->kind)
    {
    case SOURCE_LISTEN:
      accept_all (transport);
      break;
    case SOURCE_PIPE:
      take_commands (transport);
      break;
    case SOURCE_CONN:
      conn_ready (source->u.conn, event->events, transport->now_us);
      break;
    }
}

static void
tick (transport_t *transport)
{
  const member_t *suspect;

  if (transport->now_us < transport->tick_us)
    return;
  transport->tick_us = transport->now_us + HEARTBEAT_INTERVAL_US;
  set_listening (transport, true);
  while (
      (suspect = members_next_suspect (transport->members, transport->now_us)))
    event_log (EV_PEER_SUSPECT, "peer=%s silent_ms=%" PRId64, suspect->name,
               (transport->now_us - suspect->heard_us) / 1000);
  if (transport->config.on_tick)
    transport->config.on_tick (transport->config.ctx, transport->now_us);
  if (transport->beats_due)
    send_beats (transport);
  transport->beats_due = false;
}

/* What is due by time, then frees the closed connections.  */
static void
run_timers (transport_t *transport)
{
  tick (transport);
  for (guint i = 0; i < transport->conns->len; i++)
    conn_timer (g_ptr_array_index (transport->conns, i), transport->now_us);
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
wait_ms (const transport_t *transport)
{
  int64_t due_us = MIN (transport->tick_us, targets_due_us (transport));
  int64_t left_us;

  for (guint i = 0; i < transport->conns->len; i++)
    due_us
        = MIN (due_us, conn_due_us (g_ptr_array_index (transport->conns, i)));
  left_us = due_us - clock_mono_us ();
  /* Rounded up: a wait that ends too early would be repeated at once.  */
  return (int)((MAX (left_us, 0) + 999) / 1000);
}

void *APR_THREAD_FUNC
link_run (apr_thread_t *thread, void *data)
{
  transport_t *transport = data;
  struct epoll_event events[EVENTS_MAX];
  sigset_t signals;

  (void)thread;
  /* apr_socket_send raises SIGPIPE for a closed connection.  */
  sigemptyset (&signals);
  sigaddset (&signals, SIGPIPE);
  pthread_sigmask (SIG_BLOCK, &signals, NULL);
  rcu_register_thread ();
  while (!atomic_load (&transport->stopping))
    {
      int count = epoll_wait (transport->epoll_fd, events, EVENTS_MAX,
                              wait_ms (transport));

      transport->now_us = clock_mono_us ();
      for (int i = 0; i < count; i++)
        handle (transport, &events[i]);
      run_timers (transport);
    }
  rcu_unregister_thread ();
  return NULL;
}

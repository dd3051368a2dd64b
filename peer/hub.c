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
link_publish (link_t *link)
{
  uint32_t count = members_count (link->members);
  member_list_t *list
      = g_malloc0 (sizeof *list + count * sizeof list->members[0]);
  member_list_t *old;

  list->count = count;
  list->views = g_new (peer_heartbeat_t, count);
  for (uint32_t i = 0; i < count; i++)
    {
      list->members[i] = *members_at (link->members, i);
      list->views[i] = member_view (&list->members[i]);
    }
  old = rcu_xchg_pointer (&link->list, list);
  if (old)
    call_rcu (&old->rcu, free_list);
}

void
link_unpublish (link_t *link)
{
  call_rcu (&link->list->rcu, free_list);
  rcu_barrier ();
}

const member_list_t *
link_members (const link_t *link)
{
  return rcu_dereference (link->list);
}

slot_t *
link_slot (link_t *link, const char *name, bool make)
{
  slot_t *slot;

  pthread_mutex_lock (&link->lock);
  slot = g_hash_table_lookup (link->slots, name);
  if (!slot && make)
    {
      slot = g_new0 (slot_t, 1);
      slot->name = g_intern_string (name);
      g_hash_table_insert (link->slots, (gpointer)slot->name, slot);
    }
  pthread_mutex_unlock (&link->lock);
  return slot;
}

static void
tell_peer (link_t *link, const slot_t *slot, bool connected)
{
  members_set_connected (link->members, slot->name, connected);
  link_publish (link);
  if (link->config.on_peer)
    link->config.on_peer (link->config.ctx, slot->name, connected);
}

/* Whether CONN was opened by the daemon with the smaller name.  */
static bool
is_preferred (const conn_t *conn)
{
  return conn->outgoing == (strcmp (conn->own.name, conn->theirs.name) < 0);
}

void
link_adopt (link_t *link, conn_t *conn, int64_t now_us)
{
  const msg_hello_t *theirs = &conn->theirs;
  slot_t *slot;

  if (!members_hello (link->members, theirs->name, theirs->data_centre,
                      theirs->incarnation))
    {
      counter_add (COUNT_PEER_REFUSED, 1);
      event_log (EV_PEER_REFUSED, "peer=%s reason=replaced", theirs->name);
      conn_close (conn, "replaced");
      return;
    }
  slot = link_slot (link, theirs->name, true);
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
  tell_peer (link, slot, true);
}

void
link_dropped (link_t *link, conn_t *conn)
{
  slot_t *slot = conn->slot;

  if (conn->target)
    target_failed (conn->target, link->now_us);
  conn->target = NULL;
  if (!slot || slot->conn != conn)
    return;
  slot->conn = NULL;
  atomic_store (&slot->up, false);
  tell_peer (link, slot, false);
}

static void
take_beat (link_t *link, conn_t *conn, const msg_beat_t *beat, int64_t now_us)
{
  bool first = conn->peer_sent_us == 0;

  conn->peer_sent_us = beat->sent_us;
  /* What this daemon may hold can depend on the versions of its peers.  */
  if (members_beat (link->members, conn->slot->name, conn->theirs.incarnation,
                    beat, now_us))
    link->tick_us = now_us;
  link_publish (link);
  /* Until it is echoed, the other side can't tell that it is heard.  */
  if (first)
    conn_send_beat (conn, now_us);
}

void
link_take (link_t *link, conn_t *conn, const msg_t *msg, int64_t now_us)
{
  switch (msg->kind)
    {
    case MSG_HELLO:
    case MSG_PROOF:
      conn_close (conn, "unexpected");
      break;
    case MSG_BEAT:
      take_beat (link, conn, &msg->u.beat, now_us);
      break;
    case MSG_RELAY:
    case MSG_FETCH:
    case MSG_CLAIM:
    case MSG_CLAIMED:
    case MSG_LOAN_ASK:
    case MSG_LOAN:
    case MSG_TOTALS:
      link->config.on_message (link->config.ctx, conn->slot->name,
                               conn->theirs.incarnation, msg);
      break;
    case MSG_UNKNOWN:
      break;
    }
}

static void
set_listening (link_t *link, bool listening)
{
  struct epoll_event event = { .events = listening ? EPOLLIN : 0,
                               .data = { .ptr = &link->listen_source } };
  apr_os_sock_t fd;

  apr_os_sock_get (&fd, link->listener);
  epoll_ctl (link->epoll_fd, EPOLL_CTL_MOD, fd, &event);
}

static void
accept_all (link_t *link)
{
  for (;;)
    {
      apr_socket_t *sock;
      apr_pool_t *pool;
      apr_status_t status;

      if (apr_pool_create (&pool, link->pool) != APR_SUCCESS)
        return;
      status = apr_socket_accept (&sock, link->listener, pool);
      if (status == APR_SUCCESS && link->conns->len < CONNS_MAX)
        {
          handshake_begin (conn_new (link, pool, sock, NULL, link->now_us));
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
        set_listening (link, false);
      return;
    }
}

static void
take_commands (link_t *link)
{
  pipe_node_t *node;

  pipe_clear_wakeup (&link->pipe);
  while ((node = pipe_get (&link->pipe)))
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
  if (atomic_exchange (&link->targets_changed, false))
    targets_update (link, link->now_us);
  if (atomic_exchange (&link->beat_now, false))
    {
      link->tick_us = link->now_us;
      link->beats_due = true;
    }
}

static void
send_beats (link_t *link)
{
  for (guint i = 0; i < link->conns->len; i++)
    {
      conn_t *conn = g_ptr_array_index (link->conns, i);

      if (conn->phase == CONN_UP)
        conn_send_beat (conn, link->now_us);
    }
}

static void
handle (link_t *link, const struct epoll_event *event)
{
  source_t *source = event->data.ptr;

  switch (source->kind)
    {
    case SOURCE_LISTEN:
      accept_all (link);
      break;
    case SOURCE_PIPE:
      take_commands (link);
      break;
    case SOURCE_CONN:
      conn_ready (source->u.conn, event->events, link->now_us);
      break;
    }
}

static void
tick (link_t *link)
{
  const member_t *suspect;

  if (link->now_us < link->tick_us)
    return;
  link->tick_us = link->now_us + BEAT_EVERY_US;
  set_listening (link, true);
  while ((suspect = members_next_suspect (link->members, link->now_us)))
    event_log (EV_PEER_SUSPECT, "peer=%s silent_ms=%" PRId64, suspect->name,
               (link->now_us - suspect->heard_us) / 1000);
  if (link->config.on_tick)
    link->config.on_tick (link->config.ctx, link->now_us);
  if (link->beats_due)
    send_beats (link);
  link->beats_due = false;
}

/* What is due by time, then frees the closed connections.  */
static void
run_timers (link_t *link)
{
  tick (link);
  for (guint i = 0; i < link->conns->len; i++)
    conn_timer (g_ptr_array_index (link->conns, i), link->now_us);
  targets_connect (link, link->now_us);
  for (guint i = link->conns->len; i-- > 0;)
    {
      conn_t *conn = g_ptr_array_index (link->conns, i);

      if (conn->phase != CONN_CLOSED)
        continue;
      g_ptr_array_remove_index_fast (link->conns, i);
      conn_free (conn);
    }
}

static int
wait_ms (const link_t *link)
{
  int64_t due_us = MIN (link->tick_us, targets_due_us (link));
  int64_t left_us;

  for (guint i = 0; i < link->conns->len; i++)
    due_us = MIN (due_us, conn_due_us (g_ptr_array_index (link->conns, i)));
  left_us = due_us - clock_mono_us ();
  /* Rounded up: a wait that ends too early would be repeated at once.  */
  return (int)((MAX (left_us, 0) + 999) / 1000);
}

void *APR_THREAD_FUNC
link_run (apr_thread_t *thread, void *data)
{
  link_t *link = data;
  struct epoll_event events[EVENTS_MAX];
  sigset_t signals;

  (void)thread;
  /* apr_socket_send raises SIGPIPE for a closed connection.  */
  sigemptyset (&signals);
  sigaddset (&signals, SIGPIPE);
  pthread_sigmask (SIG_BLOCK, &signals, NULL);
  rcu_register_thread ();
  while (!atomic_load (&link->stopping))
    {
      int count
          = epoll_wait (link->epoll_fd, events, EVENTS_MAX, wait_ms (link));

      link->now_us = clock_mono_us ();
      for (int i = 0; i < count; i++)
        handle (link, &events[i]);
      run_timers (link);
    }
  rcu_unregister_thread ();
  return NULL;
}

#include "conn.h"
#include <apr_portable.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#define COMMANDS_MAX 8192
#define LISTEN_BACKLOG 64

static bool
open_listener (transport_t *transport)
{
  const transport_config_t *config = &transport->config;
  struct epoll_event event
      = { .events = EPOLLIN, .data = { .ptr = &transport->listen_source } };
  apr_sockaddr_t *address;
  apr_os_sock_t fd;

  if (apr_sockaddr_info_get (&address, config->address, APR_UNSPEC,
                             config->port, 0, transport->pool)
          != APR_SUCCESS
      || apr_socket_create (&transport->listener, address->family, SOCK_STREAM,
                            APR_PROTO_TCP, transport->pool)
             != APR_SUCCESS)
    return false;
  apr_socket_opt_set (transport->listener, APR_SO_REUSEADDR, 1);
  apr_socket_opt_set (transport->listener, APR_SO_NONBLOCK, 1);
  apr_socket_timeout_set (transport->listener, 0);
  if (apr_socket_bind (transport->listener, address) != APR_SUCCESS
      || apr_socket_listen (transport->listener, LISTEN_BACKLOG) != APR_SUCCESS
      || apr_socket_addr_get (&address, APR_LOCAL, transport->listener)
             != APR_SUCCESS)
    return false;
  transport->port = address->port;
  apr_os_sock_get (&fd, transport->listener);
  return epoll_ctl (transport->epoll_fd, EPOLL_CTL_ADD, fd, &event) == 0;
}

static bool
open_pipe (transport_t *transport)
{
  struct epoll_event event
      = { .events = EPOLLIN, .data = { .ptr = &transport->pipe_source } };

  return pipe_open (&transport->pipe, COMMANDS_MAX)
         && epoll_ctl (transport->epoll_fd, EPOLL_CTL_ADD,
                       transport->pipe.event_fd, &event)
                == 0;
}

static void
transport_free (transport_t *transport)
{
  g_ptr_array_free (transport->targets, TRUE);
  for (guint i = 0; i < transport->conns->len; i++)
    conn_free (g_ptr_array_index (transport->conns, i));
  g_ptr_array_free (transport->conns, TRUE);
  g_ptr_array_free (transport->host_targets, TRUE);
  g_ptr_array_free (transport->seed_targets, TRUE);
  g_hash_table_destroy (transport->peers_by_name);
  members_free (transport->members);
  pthread_mutex_destroy (&transport->lock);
  apr_pool_destroy (transport->pool);
  apr_terminate ();
  g_free (transport);
}

transport_t *
transport_start (const transport_config_t *config)
{
  transport_t *transport = g_new0 (transport_t, 1);

  apr_initialize ();
  apr_pool_create (&transport->pool, NULL);
  transport->config = *config;
  transport->listen_source.kind = SOURCE_LISTEN;
  transport->pipe_source.kind = SOURCE_PIPE;
  transport->peers_by_name
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  transport->conns = g_ptr_array_new ();
  transport->targets
      = g_ptr_array_new_with_free_func ((GDestroyNotify)target_free);
  transport->host_targets
      = g_ptr_array_new_with_free_func ((GDestroyNotify)target_free);
  transport->seed_targets
      = g_ptr_array_new_with_free_func ((GDestroyNotify)target_free);
  transport->members = members_new ();
  pthread_mutex_init (&transport->lock, NULL);
  transport->epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  transport_publish_members (transport);
  if (sodium_init () < 0 || !open_pipe (transport)
      || !open_listener (transport))
    {
      event_log (EV_LISTEN_FAILED, "address=%s port=%u", config->address,
                 config->port);
      transport_stop (transport);
      return NULL;
    }
  crypto_generichash (transport->key, sizeof transport->key,
                      (const uint8_t *)config->secret, strlen (config->secret),
                      NULL, 0);
  transport->now_us = clock_mono_us ();
  if (apr_thread_create (&transport->thread, NULL, transport_run, transport,
                         transport->pool)
      != APR_SUCCESS)
    {
      transport->thread = NULL;
      transport_stop (transport);
      return NULL;
    }
  return transport;
}

static void
wake (transport_t *transport)
{
  eventfd_write (transport->pipe.event_fd, 1);
}

void
transport_stop (transport_t *transport)
{
  apr_status_t status;
  pipe_node_t *node;

  if (transport->thread)
    {
      atomic_store (&transport->stopping, true);
      wake (transport);
      apr_thread_join (&status, transport->thread);
    }
  while (transport->pipe.event_fd > 0 && (node = pipe_get (&transport->pipe)))
    {
      command_t *command = caa_container_of (node, command_t, node);

      g_bytes_unref (command->frame);
      g_free (command);
    }
  if (transport->pipe.event_fd > 0)
    pipe_close (&transport->pipe);
  if (transport->listener)
    apr_socket_close (transport->listener);
  close (transport->epoll_fd);
  transport_unpublish_members (transport);
  transport_free (transport);
}

uint16_t
transport_port (const transport_t *transport)
{
  return transport->port;
}

/* Replaces *TARGETS by LIST, which it takes ownership of.  */
static void
replace_targets (transport_t *transport, GPtrArray **targets, GPtrArray *list)
{
  GPtrArray *old;

  pthread_mutex_lock (&transport->lock);
  old = *targets;
  *targets = list;
  pthread_mutex_unlock (&transport->lock);
  g_ptr_array_free (old, TRUE);
  atomic_store (&transport->targets_changed, true);
  wake (transport);
}

void
transport_set_peers (transport_t *transport, const entry_host_t *hosts,
                     uint32_t count)
{
  GPtrArray *list
      = g_ptr_array_new_with_free_func ((GDestroyNotify)target_free);

  for (uint32_t i = 0; i < count; i++)
    g_ptr_array_add (list, target_new (hosts[i].name, hosts[i].address,
                                       hosts[i].peer_port));
  replace_targets (transport, &transport->host_targets, list);
}

void
transport_set_seeds (transport_t *transport, const char *const *seeds,
                     uint32_t count)
{
  GPtrArray *list
      = g_ptr_array_new_with_free_func ((GDestroyNotify)target_free);

  for (uint32_t i = 0; i < count; i++)
    {
      const char *colon = strrchr (seeds[i], ':');
      g_autofree char *address = NULL;
      guint64 port;

      if (!colon
          || !g_ascii_string_to_unsigned (colon + 1, 10, 1, UINT16_MAX, &port,
                                          NULL))
        continue;
      address = g_strndup (seeds[i], (gsize)(colon - seeds[i]));
      g_ptr_array_add (list, target_new (NULL, address, (uint16_t)port));
    }
  replace_targets (transport, &transport->seed_targets, list);
}

void
transport_set_heartbeat (transport_t *transport,
                         const heartbeat_info_t *heartbeat)
{
  pthread_mutex_lock (&transport->lock);
  transport->heartbeat = *heartbeat;
  pthread_mutex_unlock (&transport->lock);
}

void
transport_send_heartbeats (transport_t *transport)
{
  atomic_store (&transport->heartbeat_requested, true);
  wake (transport);
}

static bool
enqueue_frame (transport_t *transport, peer_t *peer, GBytes *frame)
{
  unsigned len = (unsigned)g_bytes_get_size (frame);
  command_t *command;

  if (!atomic_load (&peer->connected))
    return false;
  if (atomic_fetch_add (&peer->queued_bytes, len) + len > QUEUE_BYTES_MAX)
    {
      atomic_fetch_sub (&peer->queued_bytes, len);
      return false;
    }
  command = g_new0 (command_t, 1);
  command->peer = peer;
  command->frame = g_bytes_ref (frame);
  if (pipe_put (&transport->pipe, &command->node))
    return true;
  atomic_fetch_sub (&peer->queued_bytes, len);
  g_bytes_unref (frame);
  g_free (command);
  return false;
}

bool
transport_send (transport_t *transport, const char *name, const msg_t *msg)
{
  peer_t *peer = transport_find_peer (transport, name, false);
  g_autoptr (GBytes) frame = peer ? frame_new (msg) : NULL;

  return frame && enqueue_frame (transport, peer, frame);
}

uint32_t
transport_send_all (transport_t *transport, const msg_t *msg)
{
  g_autoptr (GBytes) frame = frame_new (msg);
  GHashTableIter iter;
  gpointer peer;
  uint32_t count = 0;

  if (!frame)
    return 0;
  pthread_mutex_lock (&transport->lock);
  g_hash_table_iter_init (&iter, transport->peers_by_name);
  while (g_hash_table_iter_next (&iter, NULL, &peer))
    if (enqueue_frame (transport, peer, frame))
      count++;
  pthread_mutex_unlock (&transport->lock);
  return count;
}

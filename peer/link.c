#include "conn.h"
#include <apr_portable.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#define COMMANDS_MAX 8192
#define BACKLOG 64

static bool
listen_on (link_t *link)
{
  const link_config_t *config = &link->config;
  struct epoll_event event
      = { .events = EPOLLIN, .data = { .ptr = &link->listen_source } };
  apr_sockaddr_t *address;
  apr_os_sock_t fd;

  if (apr_sockaddr_info_get (&address, config->address, APR_UNSPEC,
                             config->port, 0, link->pool)
          != APR_SUCCESS
      || apr_socket_create (&link->listener, address->family, SOCK_STREAM,
                            APR_PROTO_TCP, link->pool)
             != APR_SUCCESS)
    return false;
  apr_socket_opt_set (link->listener, APR_SO_REUSEADDR, 1);
  apr_socket_opt_set (link->listener, APR_SO_NONBLOCK, 1);
  apr_socket_timeout_set (link->listener, 0);
  if (apr_socket_bind (link->listener, address) != APR_SUCCESS
      || apr_socket_listen (link->listener, BACKLOG) != APR_SUCCESS
      || apr_socket_addr_get (&address, APR_LOCAL, link->listener)
             != APR_SUCCESS)
    return false;
  link->port = address->port;
  apr_os_sock_get (&fd, link->listener);
  return epoll_ctl (link->epoll_fd, EPOLL_CTL_ADD, fd, &event) == 0;
}

static bool
open_pipe (link_t *link)
{
  struct epoll_event event
      = { .events = EPOLLIN, .data = { .ptr = &link->pipe_source } };

  return pipe_open (&link->pipe, COMMANDS_MAX)
         && epoll_ctl (link->epoll_fd, EPOLL_CTL_ADD, link->pipe.event_fd,
                       &event)
                == 0;
}

static void
link_free (link_t *link)
{
  g_ptr_array_free (link->targets, TRUE);
  for (guint i = 0; i < link->conns->len; i++)
    conn_free (g_ptr_array_index (link->conns, i));
  g_ptr_array_free (link->conns, TRUE);
  g_ptr_array_free (link->wanted, TRUE);
  g_ptr_array_free (link->seeds, TRUE);
  g_hash_table_destroy (link->slots);
  members_free (link->members);
  pthread_mutex_destroy (&link->lock);
  apr_pool_destroy (link->pool);
  apr_terminate ();
  g_free (link);
}

link_t *
link_start (const link_config_t *config)
{
  link_t *link = g_new0 (link_t, 1);

  apr_initialize ();
  apr_pool_create (&link->pool, NULL);
  link->config = *config;
  link->listen_source.kind = SOURCE_LISTEN;
  link->pipe_source.kind = SOURCE_PIPE;
  link->slots = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  link->conns = g_ptr_array_new ();
  link->targets = g_ptr_array_new_with_free_func ((GDestroyNotify)target_free);
  link->wanted = g_ptr_array_new_with_free_func ((GDestroyNotify)target_free);
  link->seeds = g_ptr_array_new_with_free_func ((GDestroyNotify)target_free);
  link->members = members_new ();
  pthread_mutex_init (&link->lock, NULL);
  link->epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  link_publish (link);
  if (sodium_init () < 0 || !open_pipe (link) || !listen_on (link))
    {
      event_log (EV_LISTEN_FAILED, "address=%s port=%u", config->address,
                 config->port);
      link_stop (link);
      return NULL;
    }
  crypto_generichash (link->key, sizeof link->key,
                      (const uint8_t *)config->secret, strlen (config->secret),
                      NULL, 0);
  link->now_us = clock_mono_us ();
  if (apr_thread_create (&link->thread, NULL, link_run, link, link->pool)
      != APR_SUCCESS)
    {
      link->thread = NULL;
      link_stop (link);
      return NULL;
    }
  return link;
}

static void
wake (link_t *link)
{
  eventfd_write (link->pipe.event_fd, 1);
}

void
link_stop (link_t *link)
{
  apr_status_t status;
  pipe_node_t *node;

  if (link->thread)
    {
      atomic_store (&link->stopping, true);
      wake (link);
      apr_thread_join (&status, link->thread);
    }
  while (link->pipe.event_fd > 0 && (node = pipe_get (&link->pipe)))
    {
      command_t *command = caa_container_of (node, command_t, node);

      g_bytes_unref (command->frame);
      g_free (command);
    }
  if (link->pipe.event_fd > 0)
    pipe_close (&link->pipe);
  if (link->listener)
    apr_socket_close (link->listener);
  close (link->epoll_fd);
  link_unpublish (link);
  link_free (link);
}

uint16_t
link_port (const link_t *link)
{
  return link->port;
}

/* Puts LIST, which it takes over, in place of *PLACE.  */
static void
set_targets (link_t *link, GPtrArray **place, GPtrArray *list)
{
  GPtrArray *old;

  pthread_mutex_lock (&link->lock);
  old = *place;
  *place = list;
  pthread_mutex_unlock (&link->lock);
  g_ptr_array_free (old, TRUE);
  atomic_store (&link->targets_changed, true);
  wake (link);
}

void
link_set_peers (link_t *link, const entry_host_t *hosts, uint32_t count)
{
  GPtrArray *list
      = g_ptr_array_new_with_free_func ((GDestroyNotify)target_free);

  for (uint32_t i = 0; i < count; i++)
    g_ptr_array_add (list, target_new (hosts[i].name, hosts[i].address,
                                       hosts[i].peer_port));
  set_targets (link, &link->wanted, list);
}

void
link_set_seeds (link_t *link, const char *const *seeds, uint32_t count)
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
  set_targets (link, &link->seeds, list);
}

void
link_set_beat (link_t *link, const own_beat_t *beat)
{
  pthread_mutex_lock (&link->lock);
  link->beat = *beat;
  pthread_mutex_unlock (&link->lock);
}

void
link_beat_now (link_t *link)
{
  atomic_store (&link->beat_now, true);
  wake (link);
}

static bool
send_frame (link_t *link, slot_t *slot, GBytes *frame)
{
  unsigned len = (unsigned)g_bytes_get_size (frame);
  command_t *command;

  if (!atomic_load (&slot->up))
    return false;
  if (atomic_fetch_add (&slot->queued, len) + len > QUEUE_BYTES_MAX)
    {
      atomic_fetch_sub (&slot->queued, len);
      return false;
    }
  command = g_new0 (command_t, 1);
  command->slot = slot;
  command->frame = g_bytes_ref (frame);
  if (pipe_put (&link->pipe, &command->node))
    return true;
  atomic_fetch_sub (&slot->queued, len);
  g_bytes_unref (frame);
  g_free (command);
  return false;
}

bool
link_send (link_t *link, const char *peer, const msg_t *msg)
{
  slot_t *slot = link_slot (link, peer, false);
  g_autoptr (GBytes) frame = slot ? frame_new (msg) : NULL;

  return frame && send_frame (link, slot, frame);
}

uint32_t
link_send_all (link_t *link, const msg_t *msg)
{
  g_autoptr (GBytes) frame = frame_new (msg);
  GHashTableIter iter;
  gpointer slot;
  uint32_t count = 0;

  if (!frame)
    return 0;
  pthread_mutex_lock (&link->lock);
  g_hash_table_iter_init (&iter, link->slots);
  while (g_hash_table_iter_next (&iter, NULL, &slot))
    if (send_frame (link, slot, frame))
      count++;
  pthread_mutex_unlock (&link->lock);
  return count;
}

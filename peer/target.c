#include "conn.h"
#include <string.h>

#define RETRY_MIN_US 100000
#define RETRY_MAX_US 5000000
#define RETRY_DOUBLINGS_MAX 6
/* The daemon with the larger name delays its first attempt, so that two
   daemons seldom connect to each other at the same time.  */
#define CONNECT_DELAY_US 500000

target_t *
target_new (const char *name, const char *address, uint16_t port)
{
  target_t *target = g_new0 (target_t, 1);

  target->name = name ? g_intern_string (name) : NULL;
  target->address = g_strdup (address);
  target->port = port;
  return target;
}

void
target_free (target_t *target)
{
  if (target->conn)
    target->conn->target = NULL;
  g_free (target->address);
  g_free (target);
}

static target_t *
find_target (const transport_t *transport, const target_t *wanted)
{
  for (guint i = 0; i < transport->targets->len; i++)
    {
      target_t *target = g_ptr_array_index (transport->targets, i);

      if (target->port == wanted->port
          && strcmp (target->address, wanted->address) == 0
          && (!wanted->name || wanted->name == target->name))
        return target;
    }
  return NULL;
}

static void
add_targets (transport_t *transport, const GPtrArray *list, int64_t now_us)
{
  for (guint i = 0; i < list->len; i++)
    {
      const target_t *wanted = g_ptr_array_index (list, i);
      target_t *target = find_target (transport, wanted);

      if (wanted->name && strcmp (wanted->name, transport->config.name) == 0)
        continue;
      if (!target)
        {
          target = target_new (wanted->name, wanted->address, wanted->port);
          target->retry_us = now_us;
          if (wanted->name
              && strcmp (transport->config.name, wanted->name) > 0)
            target->retry_us += CONNECT_DELAY_US;
          g_ptr_array_add (transport->targets, target);
        }
      target->wanted = true;
    }
}

void
targets_update (transport_t *transport, int64_t now_us)
{
  for (guint i = 0; i < transport->targets->len; i++)
    ((target_t *)g_ptr_array_index (transport->targets, i))->wanted = false;
  pthread_mutex_lock (&transport->lock);
  add_targets (transport, transport->host_targets, now_us);
  add_targets (transport, transport->seed_targets, now_us);
  pthread_mutex_unlock (&transport->lock);
  for (guint i = transport->targets->len; i-- > 0;)
    if (!((target_t *)g_ptr_array_index (transport->targets, i))->wanted)
      g_ptr_array_remove_index_fast (transport->targets, i);
}

/* Whether a connection to TARGET exists or is being opened.  */
static bool
has_connection (const transport_t *transport, const target_t *target)
{
  const peer_t *peer;

  if (target->conn)
    return true;
  peer = target->name
             ? g_hash_table_lookup (transport->peers_by_name, target->name)
             : NULL;
  return peer && peer->conn;
}

void
targets_connect (transport_t *transport, int64_t now_us)
{
  for (guint i = 0; i < transport->targets->len; i++)
    {
      target_t *target = g_ptr_array_index (transport->targets, i);

      if (!has_connection (transport, target) && target->retry_us <= now_us
          && !conn_connect (transport, target, now_us))
        target_schedule_retry (target, now_us);
    }
}

int64_t
targets_next_retry_us (const transport_t *transport)
{
  int64_t due_us = INT64_MAX;

  for (guint i = 0; i < transport->targets->len; i++)
    {
      const target_t *target = g_ptr_array_index (transport->targets, i);

      if (!has_connection (transport, target))
        due_us = MIN (due_us, target->retry_us);
    }
  return due_us;
}

void
target_schedule_retry (target_t *target, int64_t now_us)
{
  int64_t delay_us
      = MIN (RETRY_MAX_US, (int64_t)RETRY_MIN_US << target->failures);

  target->conn = NULL;
  if (target->failures < RETRY_DOUBLINGS_MAX)
    target->failures++;
  /* Half of the delay is random, so that daemons that lost their connections
     at the same time do not retry simultaneously.  */
  target->retry_us
      = now_us + delay_us / 2 + randombytes_uniform ((uint32_t)delay_us / 2);
}

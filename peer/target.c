#include "conn.h"
#include <string.h>

#define RETRY_MIN_US 100000
#define RETRY_MAX_US 5000000
#define RETRY_DOUBLINGS_MAX 6
/* The daemon with the larger name lets the other one connect first, so that
   they seldom open two connections.  */
#define YIELD_US 500000

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
find (const transport_t *transport, const target_t *wanted)
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
want (transport_t *transport, const GPtrArray *list, int64_t now_us)
{
  for (guint i = 0; i < list->len; i++)
    {
      const target_t *wanted = g_ptr_array_index (list, i);
      target_t *target = find (transport, wanted);

      if (wanted->name && strcmp (wanted->name, transport->config.name) == 0)
        continue;
      if (!target)
        {
          target = target_new (wanted->name, wanted->address, wanted->port);
          target->retry_us = now_us;
          if (wanted->name
              && strcmp (transport->config.name, wanted->name) > 0)
            target->retry_us += YIELD_US;
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
  want (transport, transport->wanted, now_us);
  want (transport, transport->seeds, now_us);
  pthread_mutex_unlock (&transport->lock);
  for (guint i = transport->targets->len; i-- > 0;)
    if (!((target_t *)g_ptr_array_index (transport->targets, i))->wanted)
      g_ptr_array_remove_index_fast (transport->targets, i);
}

/* Whether TARGET needs no connection now.  */
static bool
is_served (const transport_t *transport, const target_t *target)
{
  const slot_t *slot;

  if (target->conn)
    return true;
  slot = target->name ? g_hash_table_lookup (transport->slots, target->name)
                      : NULL;
  return slot && slot->conn;
}

void
targets_connect (transport_t *transport, int64_t now_us)
{
  for (guint i = 0; i < transport->targets->len; i++)
    {
      target_t *target = g_ptr_array_index (transport->targets, i);

      if (!is_served (transport, target) && target->retry_us <= now_us
          && !conn_open (transport, target, now_us))
        target_failed (target, now_us);
    }
}

int64_t
targets_due_us (const transport_t *transport)
{
  int64_t due_us = INT64_MAX;

  for (guint i = 0; i < transport->targets->len; i++)
    {
      const target_t *target = g_ptr_array_index (transport->targets, i);

      if (!is_served (transport, target))
        due_us = MIN (due_us, target->retry_us);
    }
  return due_us;
}

void
target_failed (target_t *target, int64_t now_us)
{
  int64_t delay_us
      = MIN (RETRY_MAX_US, (int64_t)RETRY_MIN_US << target->failures);

  target->conn = NULL;
  if (target->failures < RETRY_DOUBLINGS_MAX)
    target->failures++;
  /* Half of it at random: daemons that lost each other at the same time don't
     come back in step.  */
  target->retry_us
      = now_us + delay_us / 2 + randombytes_uniform ((uint32_t)delay_us / 2);
}

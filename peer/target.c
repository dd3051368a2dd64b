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
find (const link_t *link, const target_t *wanted)
{
  for (guint i = 0; i < link->targets->len; i++)
    {
      target_t *target = g_ptr_array_index (link->targets, i);

      if (target->port == wanted->port
          && strcmp (target->address, wanted->address) == 0
          && (!wanted->name || wanted->name == target->name))
        return target;
    }
  return NULL;
}

static void
want (link_t *link, const GPtrArray *list, int64_t now_us)
{
  for (guint i = 0; i < list->len; i++)
    {
      const target_t *wanted = g_ptr_array_index (list, i);
      target_t *target = find (link, wanted);

      if (wanted->name && strcmp (wanted->name, link->config.name) == 0)
        continue;
      if (!target)
        {
          target = target_new (wanted->name, wanted->address, wanted->port);
          target->retry_us = now_us;
          if (wanted->name && strcmp (link->config.name, wanted->name) > 0)
            target->retry_us += YIELD_US;
          g_ptr_array_add (link->targets, target);
        }
      target->wanted = true;
    }
}

void
targets_update (link_t *link, int64_t now_us)
{
  for (guint i = 0; i < link->targets->len; i++)
    ((target_t *)g_ptr_array_index (link->targets, i))->wanted = false;
  pthread_mutex_lock (&link->lock);
  want (link, link->wanted, now_us);
  want (link, link->seeds, now_us);
  pthread_mutex_unlock (&link->lock);
  for (guint i = link->targets->len; i-- > 0;)
    if (!((target_t *)g_ptr_array_index (link->targets, i))->wanted)
      g_ptr_array_remove_index_fast (link->targets, i);
}

/* Whether TARGET needs no connection now.  */
static bool
is_served (const link_t *link, const target_t *target)
{
  const slot_t *slot;

  if (target->conn)
    return true;
  slot = target->name ? g_hash_table_lookup (link->slots, target->name) : NULL;
  return slot && slot->conn;
}

void
targets_connect (link_t *link, int64_t now_us)
{
  for (guint i = 0; i < link->targets->len; i++)
    {
      target_t *target = g_ptr_array_index (link->targets, i);

      if (!is_served (link, target) && target->retry_us <= now_us
          && !conn_open (link, target, now_us))
        target_failed (target, now_us);
    }
}

int64_t
targets_due_us (const link_t *link)
{
  int64_t due_us = INT64_MAX;

  for (guint i = 0; i < link->targets->len; i++)
    {
      const target_t *target = g_ptr_array_index (link->targets, i);

      if (!is_served (link, target))
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

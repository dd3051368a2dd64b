#include "rules.h"
#include <sodium.h>
#include <string.h>

#define DIGEST_BYTES 32
#define DIGEST_TEXT_BYTES (DIGEST_BYTES * 2 + 1)

rules_t *
rules_new (uint64_t version)
{
  rules_t *rules = g_new0 (rules_t, 1);

  rules->version = version;
  rules->queues = g_array_new (FALSE, TRUE, sizeof (rules_queue_t));
  rules->services = g_array_new (FALSE, TRUE, sizeof (rules_service_t));
  rules->workspaces = g_array_new (FALSE, TRUE, sizeof (rules_workspace_t));
  rules->keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return rules;
}

void
rules_free (rules_t *rules)
{
  if (!rules)
    return;
  g_array_free (rules->queues, TRUE);
  g_array_free (rules->services, TRUE);
  g_array_free (rules->workspaces, TRUE);
  g_hash_table_destroy (rules->keys);
  g_free (rules);
}

static void
digest_of (const char *key, char text[DIGEST_TEXT_BYTES])
{
  uint8_t digest[DIGEST_BYTES];

  crypto_generichash (digest, sizeof digest, (const uint8_t *)key,
                      strlen (key), NULL, 0);
  sodium_bin2hex (text, DIGEST_TEXT_BYTES, digest, sizeof digest);
}

void
rules_add_key (rules_t *rules, const char *key, const char *workspace)
{
  char text[DIGEST_TEXT_BYTES];

  digest_of (key, text);
  g_hash_table_insert (rules->keys, g_strdup (text), (gpointer)workspace);
}

/* Keys are looked up by digest, so the time of a lookup reveals nothing about
   other keys.  */
const char *
rules_workspace_for_key (const rules_t *rules, const char *key)
{
  char text[DIGEST_TEXT_BYTES];

  digest_of (key, text);
  return g_hash_table_lookup (rules->keys, text);
}

const rules_queue_t *
rules_match_queue (const rules_t *rules, const char *host, const char *path)
{
  const rules_queue_t *best = NULL;
  size_t best_len = 0;

  for (uint32_t i = 0; i < rules->queues->len; i++)
    {
      const rules_queue_t *queue
          = &g_array_index (rules->queues, rules_queue_t, i);
      size_t len = strlen (queue->path_prefix);

      if ((best && len <= best_len)
          || strncmp (path, queue->path_prefix, len) != 0
          || g_ascii_strcasecmp (host, queue->host) != 0)
        continue;
      best = queue;
      best_len = len;
    }
  return best;
}

const rules_queue_t *
rules_queue (const rules_t *rules, const char *name)
{
  for (uint32_t i = 0; rules && i < rules->queues->len; i++)
    {
      const rules_queue_t *queue
          = &g_array_index (rules->queues, rules_queue_t, i);

      if (queue->name == name)
        return queue;
    }
  return NULL;
}

const rules_queue_t *
rules_find_queue (const rules_t *rules, const char *text)
{
  for (uint32_t i = 0; rules && i < rules->queues->len; i++)
    {
      const rules_queue_t *queue
          = &g_array_index (rules->queues, rules_queue_t, i);

      if (strcmp (queue->name, text) == 0)
        return queue;
    }
  return NULL;
}

const rules_workspace_t *
rules_find_workspace (const rules_t *rules, const char *text)
{
  for (uint32_t i = 0; rules && i < rules->workspaces->len; i++)
    {
      const rules_workspace_t *workspace
          = &g_array_index (rules->workspaces, rules_workspace_t, i);

      if (strcmp (workspace->name, text) == 0)
        return workspace;
    }
  return NULL;
}

const rules_service_t *
rules_service (const rules_t *rules, const char *name)
{
  for (uint32_t i = 0; rules && i < rules->services->len; i++)
    {
      const rules_service_t *service
          = &g_array_index (rules->services, rules_service_t, i);

      if (service->name == name)
        return service;
    }
  return NULL;
}

const rules_workspace_t *
rules_workspace (const rules_t *rules, const char *name)
{
  for (uint32_t i = 0; rules && i < rules->workspaces->len; i++)
    {
      const rules_workspace_t *workspace
          = &g_array_index (rules->workspaces, rules_workspace_t, i);

      if (workspace->name == name)
        return workspace;
    }
  return NULL;
}

#include "yamlload.h"
#include <arpa/inet.h>
#include <stdarg.h>
#include <string.h>

/* The fleet under check, its text and the names found so far.  */
typedef struct checker
{
  const fleet_t *fleet;
  const char *file;
  const char *text;
  size_t len;
  GError **error;
  GHashTable *racks; /* each table maps names to entries */
  GHashTable *pools;
  GHashTable *hosts;
  GHashTable *services;
  GHashTable *teams;
  GHashTable *data_centres;
} checker_t;

static bool G_GNUC_PRINTF (5, 6)
    reject (const checker_t *c, const char *list, uint32_t index,
            const char *field, const char *format, ...)
{
  g_autofree char *message = NULL;
  va_list args;

  va_start (args, format);
  message = g_strdup_vprintf (format, args);
  va_end (args);
  g_set_error (c->error, CONF_ERROR, CONF_ERROR_CHECK, "%s:%u: %s[%u].%s: %s",
               c->file, yaml_line (c->text, c->len, list, index, field), list,
               index, field, yaml_mask_controls (message));
  return false;
}

static bool
name_is_valid (const char *name)
{
  for (const char *c = name; *c; c++)
    if (!g_ascii_isalnum (*c) && !strchr ("-_.", *c))
      return false;
  return name[0] != '\0';
}

/* Adds the name of entry INDEX to NAMES.  Rejects duplicates and names that
   are unsafe in a URL or a log line.  */
static bool
add_name (const checker_t *c, GHashTable *names, const char *list,
          uint32_t index, const char *field, const char *name,
          const void *entry)
{
  if (!name_is_valid (name))
    return reject (c, list, index, field,
                   "expected letters, digits, \"-\", \"_\" or \".\", found "
                   "\"%s\"",
                   name);
  if (!g_hash_table_insert (names, (gpointer)name, (gpointer)entry))
    return reject (c, list, index, field,
                   "expected a unique name, found \"%s\" again", name);
  return true;
}

static bool
is_known (const checker_t *c, GHashTable *names, const char *list,
          uint32_t index, const char *field, const char *name)
{
  if (g_hash_table_contains (names, name))
    return true;
  return reject (c, list, index, field, "expected a known %s, found \"%s\"",
                 field, name);
}

static bool
in_range (const checker_t *c, const char *list, uint32_t index,
          const char *field, uint32_t value, uint32_t low, uint32_t high)
{
  if (value >= low && value <= high)
    return true;
  return reject (c, list, index, field,
                 "expected a number from %u to %u, found %u", low, high,
                 value);
}

static bool
is_ip (const checker_t *c, const char *list, uint32_t index,
       const char *address)
{
  struct in6_addr addr;

  if (inet_pton (AF_INET, address, &addr) == 1
      || inet_pton (AF_INET6, address, &addr) == 1)
    return true;
  return reject (c, list, index, "address",
                 "expected an IP address, found \"%s\"", address);
}

static bool
check_locations (const checker_t *c)
{
  const fleet_t *f = c->fleet;

  for (uint32_t i = 0; i < f->data_centres_count; i++)
    if (!add_name (c, c->data_centres, "data_centres", i, "name",
                   f->data_centres[i].name, &f->data_centres[i]))
      return false;
  for (uint32_t i = 0; i < f->racks_count; i++)
    if (!add_name (c, c->racks, "racks", i, "name", f->racks[i].name,
                   &f->racks[i])
        || !is_known (c, c->data_centres, "racks", i, "data_centre",
                      f->racks[i].data_centre))
      return false;
  return true;
}

static bool
check_hosts (const checker_t *c)
{
  const fleet_t *f = c->fleet;

  for (uint32_t i = 0; i < f->pools_count; i++)
    if (!add_name (c, c->pools, "pools", i, "name", f->pools[i].name,
                   &f->pools[i]))
      return false;
  for (uint32_t i = 0; i < f->hosts_count; i++)
    {
      const host_t *host = &f->hosts[i];
      const host_t *other = g_hash_table_lookup (c->hosts, host->name);

      if (other && strcmp (other->pool, host->pool) != 0)
        return reject (c, "hosts", i, "pool",
                       "expected host \"%s\" in one pool, found it in \"%s\" "
                       "and \"%s\"",
                       host->name, other->pool, host->pool);
      if (!add_name (c, c->hosts, "hosts", i, "name", host->name, host)
          || !is_known (c, c->racks, "hosts", i, "rack", host->rack)
          || !is_known (c, c->pools, "hosts", i, "pool", host->pool))
        return false;
    }
  return true;
}

static bool
check_budgets (const checker_t *c)
{
  const fleet_t *f = c->fleet;
  g_autoptr (GHashTable) sizes = g_hash_table_new (g_str_hash, g_str_equal);

  for (uint32_t i = 0; i < f->hosts_count; i++)
    {
      const char *pool = f->hosts[i].pool;
      uint32_t size = GPOINTER_TO_UINT (g_hash_table_lookup (sizes, pool));

      g_hash_table_insert (sizes, (gpointer)pool, GUINT_TO_POINTER (size + 1));
    }
  for (uint32_t i = 0; i < f->pools_count; i++)
    {
      const pool_t *pool = &f->pools[i];
      uint32_t size
          = GPOINTER_TO_UINT (g_hash_table_lookup (sizes, pool->name));

      if (pool->budget_hosts > size)
        return reject (c, "pools", i, "budget_hosts",
                       "expected at most the pool's %u hosts, found %u", size,
                       pool->budget_hosts);
      if (pool->budget_rack_hosts > pool->budget_hosts)
        return reject (c, "pools", i, "budget_rack_hosts",
                       "expected at most budget_hosts (%u), found %u",
                       pool->budget_hosts, pool->budget_rack_hosts);
    }
  return true;
}

static bool
check_services (const checker_t *c)
{
  const fleet_t *f = c->fleet;
  g_autoptr (GHashTable) upstreams
      = g_hash_table_new (g_str_hash, g_str_equal);

  for (uint32_t i = 0; i < f->services_count; i++)
    {
      const service_t *s = &f->services[i];

      if (!add_name (c, c->services, "services", i, "name", s->name, s)
          || !is_known (c, c->pools, "services", i, "pool", s->pool)
          || !in_range (c, "services", i, "deadline_max_ms",
                        s->deadline_max_ms, 1, 3600000)
          || !in_range (c, "services", i, "deadline_ms", s->deadline_ms, 1,
                        s->deadline_max_ms)
          || !in_range (c, "services", i, "overrun_ms", s->overrun_ms, 1,
                        3600000)
          || !in_range (c, "services", i, "stale_grace_ms", s->stale_grace_ms,
                        0, 600000)
          || !in_range (c, "services", i, "queue_max", s->queue_max, 1,
                        100000))
        return false;
    }
  for (uint32_t i = 0; i < f->upstreams_count; i++)
    {
      const upstream_t *u = &f->upstreams[i];

      if (!add_name (c, upstreams, "upstreams", i, "name", u->name, u)
          || !is_known (c, c->services, "upstreams", i, "service", u->service)
          || !is_known (c, c->hosts, "upstreams", i, "host", u->host)
          || !is_ip (c, "upstreams", i, u->address)
          || !in_range (c, "upstreams", i, "port", u->port, 1, 65535)
          || !in_range (c, "upstreams", i, "slots", u->slots, 1, 10000)
          || !in_range (c, "upstreams", i, "connections", u->connections,
                        u->slots, 100000))
        return false;
    }
  return true;
}

static bool
check_teams (const checker_t *c)
{
  const fleet_t *f = c->fleet;
  g_autoptr (GHashTable) ids = g_hash_table_new (g_str_hash, g_str_equal);
  g_autoptr (GHashTable) digests = g_hash_table_new (g_str_hash, g_str_equal);

  for (uint32_t i = 0; i < f->teams_count; i++)
    {
      const team_t *team = &f->teams[i];

      if (!add_name (c, c->teams, "teams", i, "name", team->name, team)
          || !in_range (c, "teams", i, "share", team->share, 1, 1000000)
          || !in_range (c, "teams", i, "limit", team->limit, 1, 1000000))
        return false;
    }
  for (uint32_t i = 0; i < f->keys_count; i++)
    {
      const team_key_t *key = &f->keys[i];

      if (!add_name (c, ids, "keys", i, "id", key->id, key)
          || !is_known (c, c->teams, "keys", i, "team", key->team))
        return false;
      if (strspn (key->digest, "0123456789abcdef") != KEY_DIGEST_HEX)
        return reject (c, "keys", i, "digest",
                       "expected %d lower-case hexadecimal digits",
                       KEY_DIGEST_HEX);
      if (!g_hash_table_add (digests, key->digest))
        return reject (c, "keys", i, "digest",
                       "expected a unique digest, found a duplicate");
    }
  return true;
}

static bool
check_entry_hosts (const checker_t *c)
{
  const fleet_t *f = c->fleet;
  g_autoptr (GHashTable) names = g_hash_table_new (g_str_hash, g_str_equal);

  for (uint32_t i = 0; i < f->entry_hosts_count; i++)
    {
      const entry_host_t *entry = &f->entry_hosts[i];

      if (!add_name (c, names, "entry_hosts", i, "name", entry->name, entry)
          || !is_known (c, c->data_centres, "entry_hosts", i, "data_centre",
                        entry->data_centre)
          || !is_ip (c, "entry_hosts", i, entry->address)
          || !in_range (c, "entry_hosts", i, "peer_port", entry->peer_port, 1,
                        65535))
        return false;
    }
  return true;
}

static bool
check_waves (const checker_t *c)
{
  const fleet_t *f = c->fleet;
  g_autoptr (GHashTable) names = g_hash_table_new (g_str_hash, g_str_equal);

  for (uint32_t i = 0; i < f->waves_count; i++)
    {
      const wave_t *wave = &f->waves[i];

      if (!add_name (c, names, "waves", i, "name", wave->name, wave))
        return false;
      for (uint32_t j = 0; j < wave->pools_count; j++)
        if (!g_hash_table_contains (c->pools, wave->pools[j]))
          return reject (c, "waves", i, "pools",
                         "expected known pools, found \"%s\"", wave->pools[j]);
    }
  return true;
}

bool
fleet_check (const fleet_t *fleet, const char *file, const char *text,
             size_t len, GError **error)
{
  g_autoptr (GHashTable) data_centres
      = g_hash_table_new (g_str_hash, g_str_equal);
  g_autoptr (GHashTable) racks = g_hash_table_new (g_str_hash, g_str_equal);
  g_autoptr (GHashTable) pools = g_hash_table_new (g_str_hash, g_str_equal);
  g_autoptr (GHashTable) hosts = g_hash_table_new (g_str_hash, g_str_equal);
  g_autoptr (GHashTable) services = g_hash_table_new (g_str_hash, g_str_equal);
  g_autoptr (GHashTable) teams = g_hash_table_new (g_str_hash, g_str_equal);
  checker_t c = {
    .fleet = fleet,
    .file = file,
    .text = text,
    .len = len,
    .error = error,
    .data_centres = data_centres,
    .racks = racks,
    .pools = pools,
    .hosts = hosts,
    .services = services,
    .teams = teams,
  };

  if (fleet->format != FLEET_FORMAT)
    {
      g_set_error (error, CONF_ERROR, CONF_ERROR_CHECK,
                   "%s:%u: format: expected %d, found %u", file,
                   yaml_line (text, len, "format", 0, NULL), FLEET_FORMAT,
                   fleet->format);
      return false;
    }
  return check_locations (&c) && check_hosts (&c) && check_budgets (&c)
         && check_services (&c) && check_teams (&c) && check_entry_hosts (&c)
         && check_waves (&c);
}

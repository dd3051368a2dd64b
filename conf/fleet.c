#include "yamlload.h"
#include <sodium.h>
#include <string.h>

#define DEADLINE_DEFAULT_MS 2000
#define DEADLINE_MAX_DEFAULT_MS 30000
#define OVERRUN_DEFAULT_MS 1000
#define QUEUE_MAX_DEFAULT 256
#define SLOTS_DEFAULT 8
#define CONNECTIONS_DEFAULT 64
#define ENTRIES_MAX 100000

#define NAME_FIELD(field, type)                                               \
  CYAML_FIELD_STRING_PTR (#field, CYAML_FLAG_POINTER, type, field, 1,         \
                          NAME_BYTES_MAX)
#define UINT_FIELD(field, type)                                               \
  CYAML_FIELD_UINT (#field, CYAML_FLAG_OPTIONAL, type, field)
#define BOOL_FIELD(field, type)                                               \
  CYAML_FIELD_BOOL (#field, CYAML_FLAG_OPTIONAL, type, field)
#define LIST_FIELD(field, schema)                                             \
  CYAML_FIELD_SEQUENCE (#field, CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,     \
                        fleet_t, field, &(schema), 0, ENTRIES_MAX)
#define MAPPING(name, type, fields)                                           \
  static const cyaml_schema_value_t name                                      \
      = { CYAML_VALUE_MAPPING (CYAML_FLAG_DEFAULT, type, fields) }

static const cyaml_schema_field_t data_centre_fields[] = {
  NAME_FIELD (name, data_centre_t),
  NAME_FIELD (region, data_centre_t),
  CYAML_FIELD_END,
};
MAPPING (data_centre_schema, data_centre_t, data_centre_fields);

static const cyaml_schema_field_t rack_fields[] = {
  NAME_FIELD (name, rack_t),
  NAME_FIELD (data_centre, rack_t),
  CYAML_FIELD_END,
};
MAPPING (rack_schema, rack_t, rack_fields);

static const cyaml_schema_field_t pool_fields[] = {
  NAME_FIELD (name, pool_t),
  UINT_FIELD (budget_hosts, pool_t),
  UINT_FIELD (budget_rack_hosts, pool_t),
  BOOL_FIELD (spare, pool_t),
  CYAML_FIELD_END,
};
MAPPING (pool_schema, pool_t, pool_fields);

static const cyaml_schema_field_t host_fields[] = {
  NAME_FIELD (name, host_t),
  NAME_FIELD (rack, host_t),
  NAME_FIELD (pool, host_t),
  UINT_FIELD (cpu_milli, host_t),
  UINT_FIELD (mem_mib, host_t),
  UINT_FIELD (accels, host_t),
  CYAML_FIELD_END,
};
MAPPING (host_schema, host_t, host_fields);

static const cyaml_schema_field_t service_fields[] = {
  NAME_FIELD (name, service_t),
  NAME_FIELD (pool, service_t),
  BOOL_FIELD (open, service_t),
  BOOL_FIELD (skip_id_match, service_t),
  BOOL_FIELD (cancel_on_close, service_t),
  UINT_FIELD (deadline_ms, service_t),
  UINT_FIELD (deadline_max_ms, service_t),
  UINT_FIELD (overrun_ms, service_t),
  UINT_FIELD (stale_grace_ms, service_t),
  UINT_FIELD (queue_max, service_t),
  CYAML_FIELD_END,
};
MAPPING (service_schema, service_t, service_fields);

static const cyaml_schema_field_t upstream_fields[] = {
  NAME_FIELD (name, upstream_t),
  NAME_FIELD (service, upstream_t),
  NAME_FIELD (host, upstream_t),
  NAME_FIELD (address, upstream_t),
  CYAML_FIELD_UINT ("port", CYAML_FLAG_DEFAULT, upstream_t, port),
  UINT_FIELD (slots, upstream_t),
  UINT_FIELD (connections, upstream_t),
  CYAML_FIELD_END,
};
MAPPING (upstream_schema, upstream_t, upstream_fields);

static const cyaml_schema_field_t team_fields[] = {
  NAME_FIELD (name, team_t),
  CYAML_FIELD_UINT ("share", CYAML_FLAG_DEFAULT, team_t, share),
  CYAML_FIELD_UINT ("limit", CYAML_FLAG_DEFAULT, team_t, limit),
  CYAML_FIELD_END,
};
MAPPING (team_schema, team_t, team_fields);

static const cyaml_schema_field_t key_fields[] = {
  NAME_FIELD (id, team_key_t),
  NAME_FIELD (team, team_key_t),
  CYAML_FIELD_STRING_PTR ("digest", CYAML_FLAG_POINTER, team_key_t, digest,
                          KEY_DIGEST_HEX, KEY_DIGEST_HEX),
  CYAML_FIELD_END,
};
MAPPING (key_schema, team_key_t, key_fields);

static const cyaml_schema_field_t entry_host_fields[] = {
  NAME_FIELD (name, entry_host_t),
  NAME_FIELD (data_centre, entry_host_t),
  NAME_FIELD (address, entry_host_t),
  CYAML_FIELD_UINT ("peer_port", CYAML_FLAG_DEFAULT, entry_host_t, peer_port),
  CYAML_FIELD_END,
};
MAPPING (entry_host_schema, entry_host_t, entry_host_fields);

static const cyaml_schema_value_t pool_name_schema
    = { CYAML_VALUE_STRING (CYAML_FLAG_POINTER, char, 1, NAME_BYTES_MAX) };

static const cyaml_schema_field_t wave_fields[] = {
  NAME_FIELD (name, wave_t),
  CYAML_FIELD_SEQUENCE ("pools", CYAML_FLAG_POINTER, wave_t, pools,
                        &pool_name_schema, 1, ENTRIES_MAX),
  UINT_FIELD (at_once, wave_t),
  CYAML_FIELD_END,
};
MAPPING (wave_schema, wave_t, wave_fields);

static const cyaml_schema_field_t fleet_fields[] = {
  CYAML_FIELD_UINT ("format", CYAML_FLAG_DEFAULT, fleet_t, format),
  LIST_FIELD (data_centres, data_centre_schema),
  LIST_FIELD (racks, rack_schema),
  LIST_FIELD (pools, pool_schema),
  LIST_FIELD (hosts, host_schema),
  LIST_FIELD (services, service_schema),
  LIST_FIELD (upstreams, upstream_schema),
  LIST_FIELD (teams, team_schema),
  LIST_FIELD (keys, key_schema),
  LIST_FIELD (entry_hosts, entry_host_schema),
  LIST_FIELD (waves, wave_schema),
  CYAML_FIELD_END,
};

static const cyaml_schema_value_t fleet_schema
    = { CYAML_VALUE_MAPPING (CYAML_FLAG_POINTER, fleet_t, fleet_fields) };

static void
set_default (uint32_t *value, uint32_t fallback)
{
  if (*value == 0)
    *value = fallback;
}

static void
fill_defaults (fleet_t *fleet)
{
  for (uint32_t i = 0; i < fleet->services_count; i++)
    {
      service_t *service = &fleet->services[i];

      set_default (&service->deadline_max_ms, DEADLINE_MAX_DEFAULT_MS);
      set_default (&service->deadline_ms,
                   MIN (DEADLINE_DEFAULT_MS, service->deadline_max_ms));
      set_default (&service->overrun_ms, OVERRUN_DEFAULT_MS);
      set_default (&service->queue_max, QUEUE_MAX_DEFAULT);
    }
  for (uint32_t i = 0; i < fleet->upstreams_count; i++)
    {
      set_default (&fleet->upstreams[i].slots, SLOTS_DEFAULT);
      set_default (&fleet->upstreams[i].connections, CONNECTIONS_DEFAULT);
    }
}

fleet_t *
fleet_load (const char *file, const char *text, size_t len, GError **error)
{
  fleet_t *fleet;

  if (len > FLEET_TEXT_BYTES_MAX)
    {
      g_set_error (error, CONF_ERROR, CONF_ERROR_CHECK,
                   "%s:1: expected at most %d bytes, found %zu", file,
                   FLEET_TEXT_BYTES_MAX, len);
      return NULL;
    }
  fleet = yaml_load (&fleet_schema, file, text, len, error);
  if (!fleet)
    return NULL;
  fill_defaults (fleet);
  if (fleet_check (fleet, file, text, len, error))
    return fleet;
  fleet_free (fleet);
  return NULL;
}

fleet_t *
fleet_read (const char *path, char **text, size_t *len, GError **error)
{
  g_autofree char *contents = NULL;
  g_autoptr (GError) cause = NULL;
  gsize size = 0;
  fleet_t *fleet;

  if (!g_file_get_contents (path, &contents, &size, &cause))
    {
      g_set_error (error, CONF_ERROR, CONF_ERROR_READ, "%s", cause->message);
      return NULL;
    }
  fleet = fleet_load (path, contents, size, error);
  if (fleet && text)
    {
      *text = g_steal_pointer (&contents);
      *len = size;
    }
  return fleet;
}

void
fleet_free (fleet_t *fleet)
{
  if (fleet)
    yaml_unload (&fleet_schema, fleet);
}

#define FIND_BY_NAME(type, list)                                              \
  const type##_t *fleet_find_##type (const fleet_t *fleet, const char *name)  \
  {                                                                           \
    for (uint32_t i = 0; i < fleet->list##_count; i++)                        \
      if (strcmp (fleet->list[i].name, name) == 0)                            \
        return &fleet->list[i];                                               \
    return NULL;                                                              \
  }

FIND_BY_NAME (service, services)
FIND_BY_NAME (team, teams)
FIND_BY_NAME (host, hosts)
FIND_BY_NAME (pool, pools)
FIND_BY_NAME (rack, racks)
FIND_BY_NAME (wave, waves)
FIND_BY_NAME (entry_host, entry_hosts)

const char *
fleet_upstream_data_centre (const fleet_t *fleet, const upstream_t *upstream)
{
  const host_t *host = fleet_find_host (fleet, upstream->host);
  const rack_t *rack = host ? fleet_find_rack (fleet, host->rack) : NULL;

  return rack ? rack->data_centre : "";
}

void
key_digest (const char *key, size_t len, char hex[KEY_DIGEST_HEX + 1])
{
  unsigned char digest[KEY_DIGEST_BYTES];

  crypto_generichash (digest, sizeof digest, (const unsigned char *)key, len,
                      NULL, 0);
  sodium_bin2hex (hex, KEY_DIGEST_HEX + 1, digest, sizeof digest);
}

bool
wave_covers_pool (const wave_t *wave, const char *pool)
{
  for (uint32_t i = 0; i < wave->pools_count; i++)
    if (strcmp (wave->pools[i], pool) == 0)
      return true;
  return false;
}

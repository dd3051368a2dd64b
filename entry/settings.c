#include "entry.h"
#include "yamlload.h"
#include <arpa/inet.h>
#include <string.h>

#define TEXT_LEN_MAX 256

#define TEXT_FIELD(field, low)                                                \
  CYAML_FIELD_STRING_PTR (#field, CYAML_FLAG_POINTER, entry_settings_t,       \
                          field, low, TEXT_LEN_MAX)
#define UINT_FIELD(field)                                                     \
  CYAML_FIELD_UINT (#field, CYAML_FLAG_OPTIONAL, entry_settings_t, field)

static const cyaml_schema_field_t fields[] = {
  TEXT_FIELD (name, 1),
  TEXT_FIELD (data_centre, 1),
  TEXT_FIELD (front, 1),
  TEXT_FIELD (ready, 1),
  TEXT_FIELD (store, 1),
  TEXT_FIELD (hosts_api, 0),
  CYAML_FIELD_STRING_PTR ("peer", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
                          entry_settings_t, peer, 0, TEXT_LEN_MAX),
  CYAML_FIELD_STRING_PTR ("advice", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
                          entry_settings_t, advice, 0, TEXT_LEN_MAX),
  CYAML_FIELD_FLOAT ("cpu_share", CYAML_FLAG_OPTIONAL, entry_settings_t,
                     cpu_share),
  UINT_FIELD (revoke_ms),
  UINT_FIELD (evacuate_ms),
  UINT_FIELD (hold_max_ms),
  UINT_FIELD (stop_grace_ms),
  UINT_FIELD (notice_ms),
  UINT_FIELD (host_lease_ms),
  UINT_FIELD (status_s),
  UINT_FIELD (grace_s),
  UINT_FIELD (keep_s),
  CYAML_FIELD_STRING_PTR ("admission",
                          CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
                          entry_settings_t, admission, 0, TEXT_LEN_MAX),
  CYAML_FIELD_STRING_PTR ("run_times",
                          CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
                          entry_settings_t, run_times, 0, TEXT_LEN_MAX),
  CYAML_FIELD_STRING_PTR ("owner_summary",
                          CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
                          entry_settings_t, owner_summary, 0, TEXT_LEN_MAX),
  CYAML_FIELD_STRING_PTR ("interference",
                          CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
                          entry_settings_t, interference, 0, TEXT_LEN_MAX),
  CYAML_FIELD_STRING_PTR ("shares", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
                          entry_settings_t, shares, 0, TEXT_LEN_MAX),
  UINT_FIELD (memory_mb),
  UINT_FIELD (max_fds),
  CYAML_FIELD_END,
};

static const cyaml_schema_value_t schema
    = { CYAML_VALUE_MAPPING (CYAML_FLAG_POINTER, entry_settings_t, fields) };

#define CPU_SHARE_DEFAULT 1.0 /* one core */
/* The budgets that are derived from smaller limits hold less than a few
   requests of legal size.  */
#define MEMORY_MIN_MB 32
#define FDS_MIN 400

/* Defaults of integer settings; 0 in the file also selects the default.  */
static const struct
{
  size_t offset;
  uint32_t value;
} defaults[] = {
  { offsetof (entry_settings_t, revoke_ms), 5000 },
  { offsetof (entry_settings_t, hold_max_ms), 3000 },
  { offsetof (entry_settings_t, stop_grace_ms), 500 },
  { offsetof (entry_settings_t, notice_ms), 4500 },
  { offsetof (entry_settings_t, host_lease_ms), 3000 },
  { offsetof (entry_settings_t, status_s), 120 },
  { offsetof (entry_settings_t, grace_s), 6 },
  { offsetof (entry_settings_t, keep_s), 300 },
};

static void
set_defaults (entry_settings_t *settings)
{
  if (settings->cpu_share == 0)
    settings->cpu_share = CPU_SHARE_DEFAULT;
  for (uint32_t i = 0; i < G_N_ELEMENTS (defaults); i++)
    {
      uint32_t *value
          = (uint32_t *)(void *)((char *)settings + defaults[i].offset);

      if (*value == 0)
        *value = defaults[i].value;
    }
  settings->admission_by_objective
      = g_strcmp0 (settings->admission, "objective") == 0;
  settings->learn_run_times = g_strcmp0 (settings->run_times, "learn") == 0;
}

/* Whether VALUE is ON, "off" or omitted.  */
static bool
is_either (const char *value, const char *on)
{
  return !value || !value[0] || strcmp (value, "off") == 0
         || strcmp (value, on) == 0;
}

static bool
is_endpoint (const char *text)
{
  const char *colon = strrchr (text, ':');
  g_autofree char *address
      = colon ? g_strndup (text, (gsize)(colon - text)) : NULL;
  struct in_addr addr;

  return colon && inet_pton (AF_INET, address, &addr) == 1
         && g_ascii_string_to_unsigned (colon + 1, 10, 1, 65535, NULL, NULL);
}

static bool
is_switch (const char *value)
{
  return !value || strcmp (value, "on") == 0 || strcmp (value, "off") == 0;
}

bool
entry_setting_is_on (const char *value)
{
  return value && strcmp (value, "on") == 0;
}

static bool
validate (const entry_settings_t *s, const char *file, const char *text,
          size_t len, GError **error)
{
  const char *field = NULL;
  const char *expected = "IP:PORT";

  if (!is_endpoint (s->front))
    field = "front";
  else if (!is_endpoint (s->ready))
    field = "ready";
  else if (!is_endpoint (s->store))
    field = "store";
  else if (s->hosts_api[0] && !is_endpoint (s->hosts_api))
    field = "hosts_api", expected = "IP:PORT, or nothing";
  else if (s->advice && s->advice[0] && !is_endpoint (s->advice))
    field = "advice", expected = "IP:PORT, or nothing";
  else if (s->peer && s->peer[0] && !is_endpoint (s->peer))
    field = "peer", expected = "IP:PORT, or nothing";
  else if (s->cpu_share <= 0)
    field = "cpu_share", expected = "a number above 0";
  else if (s->revoke_ms < 1000)
    field = "revoke_ms", expected = "a number from 1000";
  else if (s->evacuate_ms > 0 && s->evacuate_ms < 1000)
    field = "evacuate_ms", expected = "0, or a number from 1000";
  else if (s->hold_max_ms < 500)
    field = "hold_max_ms", expected = "a number from 500";
  else if (s->grace_s == 0)
    field = "grace_s", expected = "a number from 1";
  else if (s->keep_s == 0)
    field = "keep_s", expected = "a number from 1";
  else if (!is_either (s->admission, "objective"))
    field = "admission", expected = "objective or off";
  else if (!is_either (s->run_times, "learn"))
    field = "run_times", expected = "learn or off";
  else if (!is_switch (s->owner_summary))
    field = "owner_summary", expected = "on or off";
  else if (s->interference && strcmp (s->interference, "off") != 0
           && strcmp (s->interference, "avoid") != 0)
    field = "interference", expected = "off or avoid";
  else if (!is_either (s->shares, "window"))
    field = "shares", expected = "window or off";
  else if (s->memory_mb != 0 && s->memory_mb < MEMORY_MIN_MB)
    field = "memory_mb", expected = "0, or a number from 32";
  else if (s->max_fds != 0 && s->max_fds < FDS_MIN)
    field = "max_fds", expected = "0, or a number from 400";
  if (!field)
    return true;
  g_set_error (error, CONF_ERROR, CONF_ERROR_CHECK, "%s:%u: %s: expected %s",
               file, yaml_line (text, len, field, 0, NULL), field, expected);
  return false;
}

entry_settings_t *
entry_settings_load (const char *file, const char *text, size_t len,
                     GError **error)
{
  entry_settings_t *settings = yaml_load (&schema, file, text, len, error);

  if (settings)
    set_defaults (settings);
  if (!settings || validate (settings, file, text, len, error))
    return settings;
  entry_settings_free (settings);
  return NULL;
}

entry_settings_t *
entry_settings_read (const char *path, GError **error)
{
  g_autofree char *text = NULL;
  g_autoptr (GError) cause = NULL;
  gsize len = 0;

  if (g_file_get_contents (path, &text, &len, &cause))
    return entry_settings_load (path, text, len, error);
  g_set_error (error, CONF_ERROR, CONF_ERROR_READ, "%s", cause->message);
  return NULL;
}

void
entry_settings_free (entry_settings_t *settings)
{
  if (settings)
    yaml_unload (&schema, settings);
}

/* Of one request, without limits in the settings: larger than the largest
   valid job.  */
#define BODY_UNLIMITED_BYTES (512 * 1024)
/* The platform's max_body_bytes.  */
#define BODY_MAX_BYTES (256 * 1024)
/* The rest of the memory is for the tables, which grow with workers and jobs,
   the records that are being appended, and the connections.  Of a host of
   160 MB the budget holds 80 bodies of the largest size.  */
#define MEMORY_PER_BUDGET 8
/* A quarter of the budget is for bodies that are not larger than ordinary
   ones.  */
#define BUDGET_PER_RESERVE 4
#define SMALL_BODY_BYTES (16 * 1024)
/* The longest deadline of a client.  */
#define REQUEST_MAX_US 60000000
#define CONNECTIONS_MAX 2500
/* Descriptors that are reserved for files.  */
#define FILES_RESERVED 200
/* Of the other descriptors clients get five eighths; the rest is for links and
   for connections to the platform and to workers.  Of 4,100 descriptors that
   makes 2,437 connections.  */
#define CLIENTS_SHARE_NUM 5
#define CLIENTS_SHARE_DEN 8
/* Of what clients leave: of 1,463 descriptors, 1,005 connections to workers,
   of which the owner needs 600, and 91 to the services, of which it needs 24.
   The other 367 are for 250 links and the ready address.  */
#define CALLS_SHARE_DEN 16
#define WORKERS_SHARE_NUM 11
#define STORE_SHARE_NUM 1
/* Appends, reads and other calls at once, with one connection each.  */
#define STORE_CONNECTIONS_MIN 8
/* Of the connections that may be accepted one in eight is kept for new ones
   while closed ones end.  */
#define CONNECTIONS_PER_SPARE 8
/* The memory of all connections together is at most a quarter of the
   process's.  Below the minimum ordinary headers don't fit.  */
#define MEMORY_PER_POOLS 4
#define POOL_MIN_BYTES (8 * 1024)
#define POOL_MAX_BYTES (32 * 1024)

static void
limit_memory (uint32_t memory_mb, entry_limits_t *limits)
{
  uint64_t bytes = (uint64_t)memory_mb * 1024 * 1024;
  uint64_t pool = bytes / MEMORY_PER_POOLS / limits->connections;

  limits->pool_bytes = (uint32_t)CLAMP (pool, POOL_MIN_BYTES, POOL_MAX_BYTES);
  limits->bodies.budget_bytes = bytes / MEMORY_PER_BUDGET;
  limits->bodies.reserve_bytes
      = limits->bodies.budget_bytes / BUDGET_PER_RESERVE;
  limits->bodies.small_max_bytes = SMALL_BODY_BYTES;
}

static void
limit_connections (uint32_t max_fds, entry_limits_t *limits)
{
  uint32_t fds = max_fds - FILES_RESERVED;
  uint32_t left;

  limits->connections
      = MIN (CONNECTIONS_MAX, fds * CLIENTS_SHARE_NUM / CLIENTS_SHARE_DEN);
  left = fds - limits->connections;
  limits->worker_connections = left * WORKERS_SHARE_NUM / CALLS_SHARE_DEN;
  limits->store_connections
      = MAX (STORE_CONNECTIONS_MIN, left * STORE_SHARE_NUM / CALLS_SHARE_DEN);
}

void
entry_settings_limits (const entry_settings_t *settings,
                       entry_limits_t *limits)
{
  *limits = (entry_limits_t){
    .bodies.body_max_bytes = BODY_UNLIMITED_BYTES,
    .connections = CONNECTIONS_MAX,
    .pool_bytes = POOL_MAX_BYTES,
    .strict = settings->memory_mb > 0 || settings->max_fds > 0,
  };
  if (!limits->strict)
    return;
  if (settings->max_fds > 0)
    limit_connections (settings->max_fds, limits);
  limits->bodies.body_max_bytes = BODY_MAX_BYTES;
  limits->bodies.request_max_us = REQUEST_MAX_US;
  limits->bodies.connections_max
      = limits->connections - limits->connections / CONNECTIONS_PER_SPARE;
  if (settings->memory_mb > 0)
    limit_memory (settings->memory_mb, limits);
}

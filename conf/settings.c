#include "yamlload.h"
#include <arpa/inet.h>
#include <string.h>

#define THREADS_DEFAULT 2
#define BODY_MAX_DEFAULT_KIB 1024
#define CONNECTIONS_MAX_DEFAULT 10000
/* A quarter of the largest entry host, 512 MB.  */
#define BODY_BUDGET_DEFAULT_KIB (128 * 1024)
/* Buffers are up to twice as large as bodies, and a quarter of a thread's
   budget is kept for small bodies.  With less a body of the largest size might
   not fit.  */
#define BUDGET_BODIES_PER_THREAD 3
/* stop_ms exceeds the longest deadline, after which a request is refused
   anyway.  */
#define REQUEST_MAX_DEFAULT_MS 60000
#define REQUEST_MIN_MS 1000
#define DRAIN_DEFAULT_MS 1000
#define STOP_DEFAULT_MS 35000
#define HOST_SETTLE_DEFAULT_MS 10000
#define HOST_QUIET_DEFAULT_MS 5000
#define CONNECTIONS_MAX_LIMIT 1000000
#define TIME_MAX_MS 3600000
#define SECRET_BYTES_MIN 16
#define SECRET_BYTES_MAX 256
#define PATH_BYTES_MAX 1024

#define TEXT_FIELD(field, flags, low, high)                                   \
  CYAML_FIELD_STRING_PTR (#field, CYAML_FLAG_POINTER | (flags), settings_t,   \
                          field, low, high)
#define UINT_FIELD(field)                                                     \
  CYAML_FIELD_UINT (#field, CYAML_FLAG_OPTIONAL, settings_t, field)

static const cyaml_schema_value_t seed_schema
    = { CYAML_VALUE_STRING (CYAML_FLAG_POINTER, char, 1, NAME_BYTES_MAX) };

static const cyaml_schema_field_t fields[] = {
  TEXT_FIELD (name, 0, 1, NAME_BYTES_MAX),
  TEXT_FIELD (data_centre, 0, 1, NAME_BYTES_MAX),
  TEXT_FIELD (address, 0, 1, NAME_BYTES_MAX),
  UINT_FIELD (port),
  UINT_FIELD (admin_port),
  UINT_FIELD (peer_port),
  TEXT_FIELD (platform, 0, 1, PATH_BYTES_MAX),
  TEXT_FIELD (secret, 0, SECRET_BYTES_MIN, SECRET_BYTES_MAX),
  TEXT_FIELD (ready_file, CYAML_FLAG_OPTIONAL, 1, PATH_BYTES_MAX),
  UINT_FIELD (threads),
  UINT_FIELD (body_max_kib),
  UINT_FIELD (connections_max),
  UINT_FIELD (body_budget_kib),
  UINT_FIELD (request_max_ms),
  UINT_FIELD (drain_ms),
  UINT_FIELD (stop_ms),
  UINT_FIELD (host_settle_ms),
  UINT_FIELD (host_quiet_ms),
  CYAML_FIELD_BOOL ("move_hosts", CYAML_FLAG_OPTIONAL, settings_t, move_hosts),
  CYAML_FIELD_SEQUENCE ("seed_peers", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
                        settings_t, seed_peers, &seed_schema, 0, 64),
  CYAML_FIELD_END,
};

static const cyaml_schema_value_t settings_schema
    = { CYAML_VALUE_MAPPING (CYAML_FLAG_POINTER, settings_t, fields) };

static void
set_default (uint32_t *value, uint32_t fallback)
{
  if (*value == 0)
    *value = fallback;
}

static bool
is_endpoint (const char *text)
{
  const char *colon = strrchr (text, ':');
  g_autofree char *address = colon ? g_strndup (text, colon - text) : NULL;
  struct in_addr addr;

  return colon && inet_pton (AF_INET, address, &addr) == 1
         && g_ascii_string_to_unsigned (colon + 1, 10, 1, 65535, NULL, NULL);
}

static bool
seed_peers_are_endpoints (const settings_t *s)
{
  for (uint32_t i = 0; i < s->seed_peers_count; i++)
    if (!is_endpoint (s->seed_peers[i]))
      return false;
  return true;
}

/* The least body_budget_kib with which each thread can serve a request.  */
static uint32_t
budget_min_kib (const settings_t *s)
{
  return BUDGET_BODIES_PER_THREAD * s->threads * s->body_max_kib;
}

static void
set_defaults (settings_t *s)
{
  set_default (&s->threads, THREADS_DEFAULT);
  set_default (&s->body_max_kib, BODY_MAX_DEFAULT_KIB);
  set_default (&s->connections_max, CONNECTIONS_MAX_DEFAULT);
  set_default (&s->drain_ms, DRAIN_DEFAULT_MS);
  set_default (&s->stop_ms, STOP_DEFAULT_MS);
  set_default (&s->host_settle_ms, HOST_SETTLE_DEFAULT_MS);
  set_default (&s->host_quiet_ms, HOST_QUIET_DEFAULT_MS);
  set_default (&s->body_budget_kib,
               MAX (BODY_BUDGET_DEFAULT_KIB, budget_min_kib (s)));
  set_default (&s->request_max_ms, MAX (REQUEST_MAX_DEFAULT_MS, s->stop_ms));
}

static bool
check_settings (const settings_t *s, const char *file, const char *text,
                size_t len, GError **error)
{
  struct in6_addr addr;
  const char *field = NULL;
  const char *expected = NULL;

  if (inet_pton (AF_INET, s->address, &addr) != 1)
    field = "address", expected = "an IPv4 address";
  else if (s->threads > 64)
    field = "threads", expected = "a number from 1 to 64";
  else if (s->body_max_kib > 65536)
    field = "body_max_kib", expected = "a number from 1 to 65536";
  else if (s->connections_max > CONNECTIONS_MAX_LIMIT)
    field = "connections_max", expected = "a number from 1 to 1000000";
  else if (s->body_budget_kib < budget_min_kib (s))
    field = "body_budget_kib",
    expected = "at least three times threads times body_max_kib";
  else if (s->drain_ms > TIME_MAX_MS)
    field = "drain_ms", expected = "a number from 0 to 3600000";
  else if (s->stop_ms > TIME_MAX_MS)
    field = "stop_ms", expected = "a number from 1 to 3600000";
  else if (s->request_max_ms < REQUEST_MIN_MS
           || s->request_max_ms > TIME_MAX_MS)
    field = "request_max_ms", expected = "a number from 1000 to 3600000";
  else if (!seed_peers_are_endpoints (s))
    field = "seed_peers", expected = "IP:PORT for each";
  else if (!g_str_has_prefix (s->platform, "http://")
           && !g_str_has_prefix (s->platform, "https://"))
    field = "platform", expected = "an http or https URL";
  if (!field)
    return true;
  g_set_error (error, CONF_ERROR, CONF_ERROR_CHECK, "%s:%u: %s: expected %s",
               file, yaml_line (text, len, field, 0, NULL), field, expected);
  return false;
}

settings_t *
settings_load (const char *file, const char *text, size_t len, GError **error)
{
  settings_t *settings = yaml_load (&settings_schema, file, text, len, error);

  if (!settings)
    return NULL;
  set_defaults (settings);
  if (check_settings (settings, file, text, len, error))
    return settings;
  settings_free (settings);
  return NULL;
}

settings_t *
settings_read (const char *path, GError **error)
{
  g_autofree char *text = NULL;
  g_autoptr (GError) cause = NULL;
  gsize len = 0;

  if (g_file_get_contents (path, &text, &len, &cause))
    return settings_load (path, text, len, error);
  g_set_error (error, CONF_ERROR, CONF_ERROR_READ, "%s", cause->message);
  return NULL;
}

void
settings_free (settings_t *settings)
{
  if (settings)
    yaml_unload (&settings_schema, settings);
}

#include "commands.h"
#include <inttypes.h>
#include <string.h>

static char *
service_url (const cmd_t *cmd, uint32_t index, GError **error)
{
  g_autofree char *path
      = g_strdup_printf ("/v1/%s/path", cmd->args[index + 1]);

  return command_url (cmd->args[index], "port", path, error);
}

/* Whether VALUE is one of the alternatives in "A|B".  */
static bool
is_expected (const char *expected, const char *value)
{
  g_auto (GStrv) parts = g_strsplit (expected, "|", -1);

  return g_strv_contains ((const char *const *)parts, value);
}

static bool
check_expectations (const cmd_t *cmd, const response_t *response,
                    GError **error)
{
  g_autofree char *status = response->status
                                ? g_strdup_printf ("%ld", response->status)
                                : g_strdup ("none");
  const struct
  {
    const char *name;
    const char *value;
  } expectations[] = { { "expect", status },
                       { "outcome", response->outcome },
                       { "error", response->error } };

  for (size_t i = 0; i < G_N_ELEMENTS (expectations); i++)
    {
      const char *expected = script_option (cmd, expectations[i].name, NULL);

      if (expected && !is_expected (expected, expectations[i].value))
        return scenario_fail (error,
                              "expected %s=%s, found status %s, outcome "
                              "\"%s\", error \"%s\" (%s)",
                              expectations[i].name, expected, status,
                              response->outcome, response->error,
                              curl_easy_strerror (response->code));
    }
  return true;
}

/* Checks that a response is complete and belongs to the request.  A wrong
   response can't be retried, so it fails a wait at once.  */
static bool
check_response (const response_t *response, const char *id, GError **error)
{
  if (response->code == CURLE_PARTIAL_FILE)
    return scenario_fail (error, "the client got a truncated response");
  if (response->status == 200 && !http_response_matches (response, id))
    return scenario_fail (error, "the response to %s is for %s", id,
                          response->id);
  return true;
}

/* The value of id=; @NAME stands for one generated id in the whole script.  */
static const char *
read_id (const cmd_t *cmd)
{
  const char *id = script_option (cmd, "id", NULL);
  char new_id[37];

  if (!id || id[0] != '@')
    return id;
  if (!script_get ("id", id))
    {
      http_new_id (new_id);
      script_set ("id", id, new_id);
    }
  return script_get ("id", id);
}

static http_request_t
read_request (const cmd_t *cmd, const char *url)
{
  const char *idempotent = script_option (cmd, "idempotent", "yes");

  return (http_request_t){ .method = "GET",
                           .url = url,
                           .key = script_option (cmd, "key", NULL),
                           .id = read_id (cmd),
                           .deadline_ms
                           = script_number (cmd, "deadline_ms", 0),
                           .idempotent = strcmp (idempotent, "no") != 0 };
}

bool
verify_request (const cmd_t *cmd, bool *fatal, GError **error)
{
  g_autofree char *url = service_url (cmd, 0, error);
  http_request_t request = read_request (cmd, url);
  uint32_t max_duration_ms = script_number (cmd, "took_ms", UINT32_MAX);
  int64_t start_us = clock_mono_us ();
  char new_id[37];
  response_t response;
  CURL *handle;
  bool holds;

  if (!url)
    return false;
  http_new_id (new_id);
  if (!request.id)
    request.id = new_id;
  handle = curl_easy_init ();
  http_run (handle, &request, &response);
  curl_easy_cleanup (handle);
  holds = check_response (&response, request.id, error);
  *fatal = !holds;
  holds = holds && check_expectations (cmd, &response, error);
  response_clear (&response);
  if (holds && (clock_mono_us () - start_us) / 1000 > max_duration_ms)
    return scenario_fail (error, "took longer than %u ms", max_duration_ms);
  return holds;
}

bool
verify_send (const cmd_t *cmd, bool once, GError **error)
{
  g_autofree char *url = service_url (cmd, 1, error);
  background_config_t config
      = { .name = cmd->args[0],
          .request = read_request (cmd, url),
          .count = script_number (cmd, once ? "count" : "connections", 1),
          .once = once };

  if (!url)
    return false;
  background_start (&config);
  return true;
}

static bool
end_background (const char *name, response_counts_t *counts, GError **error)
{
  background_t *bg = background_find (name, error);

  if (!bg)
    return false;
  *counts = background_end (bg);
  printf ("   %s: sent %" PRIu64 " answered %" PRIu64 " not-run %" PRIu64
          " unknown %" PRIu64 " lost %" PRIu64 " wrong %" PRIu64
          " other %" PRIu64 "\n",
          name, counts->sent, counts->answered, counts->not_run,
          counts->unknown, counts->lost, counts->wrong, counts->other);
  return true;
}

bool
verify_answers (const cmd_t *cmd, GError **error)
{
  response_counts_t counts;

  if (!end_background (cmd->args[0], &counts, error))
    return false;
  if (counts.answered == counts.sent && counts.sent > 0)
    return true;
  return scenario_fail (error, "expected all requests to be answered");
}

bool
verify_refused (const cmd_t *cmd, GError **error)
{
  response_counts_t counts;

  if (!end_background (cmd->args[0], &counts, error))
    return false;
  if (counts.not_run == counts.sent && counts.sent > 0)
    return true;
  return scenario_fail (error,
                        "expected all requests to be refused as not run");
}

/* Checks that sent = answered + refused.  Requests with an unknown outcome
   count as refused only with unknown=allowed, requests without a response only
   with lost=allowed.  */
bool
verify_endload (const cmd_t *cmd, GError **error)
{
  bool unknown = strcmp (script_option (cmd, "unknown", ""), "allowed") == 0;
  bool lost = strcmp (script_option (cmd, "lost", ""), "allowed") == 0;
  response_counts_t counts;

  if (!end_background (cmd->args[0], &counts, error))
    return false;
  if (counts.answered < script_number (cmd, "answered_min", 1))
    return scenario_fail (error, "too few requests were answered");
  if (counts.wrong > 0)
    return scenario_fail (error, "a client got a wrong response");
  if (counts.answered + counts.not_run + (unknown ? counts.unknown : 0)
          + (lost ? counts.lost : 0)
      == counts.sent)
    return true;
  return scenario_fail (error, "sent requests != answered + refused");
}

static json_t *
read_fields (const proc_t *proc, GError **error)
{
  bool is_daemon = proc->kind == PROC_DAEMON;
  const char *port = is_daemon ? "admin_port" : "port";
  const char *path = proc->kind == PROC_LOG ? "/reboots" : "/_runs";
  g_autofree char *url
      = command_url (proc->name, port, is_daemon ? "/config" : path, error);
  g_autofree char *counters_url
      = command_url (proc->name, port, "/counters", error);
  json_t *fields = url ? http_json (url, error) : NULL;
  json_t *counters;

  if (!fields || !is_daemon)
    return fields;
  counters = http_json (counters_url, error);
  if (!counters)
    {
      json_decref (fields);
      return NULL;
    }
  json_object_update (fields, counters);
  json_decref (counters);
  return fields;
}

static const json_t *
find_field (const json_t *fields, const char *path)
{
  g_auto (GStrv) parts = g_strsplit (path, ".", -1);
  const json_t *value = fields;

  for (char **part = parts; *part && value; part++)
    value = json_object_get (value, *part);
  return value;
}

static bool
number_holds (json_int_t found, const char *op, json_int_t wanted)
{
  if (strcmp (op, "<=") == 0)
    return found <= wanted;
  if (strcmp (op, ">=") == 0)
    return found >= wanted;
  return found == wanted;
}

/* EXPRESSION is FIELD<=N, FIELD>=N or FIELD==VALUE.  */
static bool
field_holds (const json_t *fields, const char *expression, GError **error)
{
  size_t len = strcspn (expression, "<>=");
  g_autofree char *field = g_strndup (expression, len);
  g_autofree char *op = g_strndup (expression + len, 2);
  const char *wanted = expression + len + strlen (op);
  const json_t *value = find_field (fields, field);

  if (strlen (op) != 2 || op[1] != '=')
    return scenario_fail (error, "%s: expected <=, >= or ==", expression);
  if (!value)
    return scenario_fail (error, "there is no field %s", field);
  if (json_is_string (value))
    return strcmp (json_string_value (value), wanted) == 0
           || scenario_fail (error, "expected %s, found %s", expression,
                             json_string_value (value));
  return number_holds (json_integer_value (value), op,
                       g_ascii_strtoll (wanted, NULL, 10))
         || scenario_fail (error, "expected %s, found %" JSON_INTEGER_FORMAT,
                           expression, json_integer_value (value));
}

bool
verify_fields (const cmd_t *cmd, uint32_t index, const json_t *fields,
               GError **error)
{
  bool holds = true;

  for (uint32_t i = index; i < cmd->args_count && holds; i++)
    holds = field_holds (fields, cmd->args[i], error);
  return holds;
}

bool
verify_check (const cmd_t *cmd, GError **error)
{
  const proc_t *proc = proc_find (cmd->args[0], error);
  json_t *fields = proc ? read_fields (proc, error) : NULL;
  bool holds = fields && verify_fields (cmd, 1, fields, error);

  json_decref (fields);
  return holds;
}

/* Checks that no request id ran twice, at one upstream or at two.  */
bool
verify_no_double_runs (const cmd_t *cmd, GError **error)
{
  g_autoptr (GHashTable) seen
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  const proc_t *proc;
  bool holds = true;

  for (uint32_t i = 0; holds && (proc = proc_nth (PROC_UPSTREAM, i)); i++)
    {
      g_autofree char *url = command_url (proc->name, "port", "/_ids", error);
      json_t *ids = url ? http_json (url, error) : NULL;
      json_t *id;
      size_t index;

      holds = ids != NULL;
      json_array_foreach (ids, index, id)
      {
        const char *text = json_string_value (id);

        if (holds && !g_hash_table_add (seen, g_strdup (text)))
          holds = scenario_fail (error, "%s: request ran a second time: %s",
                                 proc->name, text);
      }
      json_decref (ids);
    }
  return holds;
}

#include "words.h"
#include <inttypes.h>
#include <string.h>

static char *
service_url (const cmd_t *cmd, uint32_t index, GError **error)
{
  g_autofree char *path
      = g_strdup_printf ("/v1/%s/path", cmd->args[index + 1]);

  return words_url (cmd->args[index], "port", path, error);
}

/* Whether VALUE is one of the alternatives in "A|B".  */
static bool
is_expected (const char *expected, const char *value)
{
  g_auto (GStrv) parts = g_strsplit (expected, "|", -1);

  return g_strv_contains ((const char *const *)parts, value);
}

static bool
compare (const cmd_t *cmd, const answer_t *answer, GError **error)
{
  g_autofree char *status = answer->status
                                ? g_strdup_printf ("%ld", answer->status)
                                : g_strdup ("none");
  const struct
  {
    const char *name;
    const char *value;
  } rows[] = { { "expect", status },
               { "outcome", answer->outcome },
               { "error", answer->error } };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      const char *expected = script_option (cmd, rows[i].name, NULL);

      if (expected && !is_expected (expected, rows[i].value))
        return scenario_fail (error,
                              "expected %s=%s, found status %s, outcome "
                              "\"%s\", error \"%s\" (%s)",
                              rows[i].name, expected, status, answer->outcome,
                              answer->error,
                              curl_easy_strerror (answer->code));
    }
  return true;
}

/* A wrong answer is never right later: it is fatal in any wait.  */
static bool
is_sound (const answer_t *answer, const char *id, GError **error)
{
  if (answer->code == CURLE_PARTIAL_FILE)
    return scenario_fail (error, "a client got an answer that is cut short");
  if (answer->status == 200 && !http_answer_is_own (answer, id))
    return scenario_fail (error, "the answer to %s is another's: %s", id,
                          answer->id);
  return true;
}

/* The id that the line names; @NAME is one id for the whole script.  */
static const char *
read_id (const cmd_t *cmd)
{
  const char *id = script_option (cmd, "id", NULL);
  char new_id[37];

  if (!id || id[0] != '@')
    return id;
  if (!script_get ("id", id))
    {
      http_id (new_id);
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
  uint32_t took_max_ms = script_number (cmd, "took_ms", UINT32_MAX);
  int64_t began_us = clock_mono_us ();
  char new_id[37];
  answer_t answer;
  CURL *handle;
  bool holds;

  if (!url)
    return false;
  http_id (new_id);
  if (!request.id)
    request.id = new_id;
  handle = curl_easy_init ();
  http_run (handle, &request, &answer);
  curl_easy_cleanup (handle);
  holds = is_sound (&answer, request.id, error);
  *fatal = !holds;
  holds = holds && compare (cmd, &answer, error);
  answer_clear (&answer);
  if (holds && (clock_mono_us () - began_us) / 1000 > took_max_ms)
    return scenario_fail (error, "took longer than %u ms", took_max_ms);
  return holds;
}

bool
verify_send (const cmd_t *cmd, bool once, GError **error)
{
  g_autofree char *url = service_url (cmd, 1, error);
  background_plan_t plan
      = { .name = cmd->args[0],
          .request = read_request (cmd, url),
          .count = script_number (cmd, once ? "count" : "connections", 1),
          .once = once };

  if (!url)
    return false;
  background_start (&plan);
  return true;
}

static bool
end_background (const char *name, tally_t *tally, GError **error)
{
  background_t *bg = background_find (name, error);

  if (!bg)
    return false;
  *tally = background_end (bg);
  printf ("   %s: sent %" PRIu64 " answered %" PRIu64 " not-run %" PRIu64
          " unknown %" PRIu64 " lost %" PRIu64 " wrong %" PRIu64
          " other %" PRIu64 "\n",
          name, tally->sent, tally->answered, tally->not_run, tally->unknown,
          tally->lost, tally->wrong, tally->other);
  return true;
}

bool
verify_answers (const cmd_t *cmd, GError **error)
{
  tally_t tally;

  if (!end_background (cmd->args[0], &tally, error))
    return false;
  if (tally.answered == tally.sent && tally.sent > 0)
    return true;
  return scenario_fail (error, "expected all to be answered");
}

bool
verify_refused (const cmd_t *cmd, GError **error)
{
  tally_t tally;

  if (!end_background (cmd->args[0], &tally, error))
    return false;
  if (tally.not_run == tally.sent && tally.sent > 0)
    return true;
  return scenario_fail (error, "expected all to be refused as not run");
}

/* Sent = answered + refused.  Outcomes that are unknown count as refused only
   with unknown=allowed, requests without any answer with lost=allowed.  */
bool
verify_endload (const cmd_t *cmd, GError **error)
{
  bool unknown = strcmp (script_option (cmd, "unknown", ""), "allowed") == 0;
  bool lost = strcmp (script_option (cmd, "lost", ""), "allowed") == 0;
  tally_t tally;

  if (!end_background (cmd->args[0], &tally, error))
    return false;
  if (tally.answered < script_number (cmd, "answered_min", 1))
    return scenario_fail (error, "too few requests were answered");
  if (tally.wrong > 0)
    return scenario_fail (error, "a client got a wrong answer");
  if (tally.answered + tally.not_run + (unknown ? tally.unknown : 0)
          + (lost ? tally.lost : 0)
      == tally.sent)
    return true;
  return scenario_fail (error, "sent is not answered + refused");
}

static json_t *
read_facts (const proc_t *proc, GError **error)
{
  bool is_daemon = proc->kind == PROC_DAEMON;
  const char *port = is_daemon ? "admin_port" : "port";
  const char *path = proc->kind == PROC_LOG ? "/reboots" : "/_runs";
  g_autofree char *url
      = words_url (proc->name, port, is_daemon ? "/config" : path, error);
  g_autofree char *more = words_url (proc->name, port, "/counters", error);
  json_t *facts = url ? http_json (url, error) : NULL;
  json_t *counters;

  if (!facts || !is_daemon)
    return facts;
  counters = http_json (more, error);
  if (!counters)
    {
      json_decref (facts);
      return NULL;
    }
  json_object_update (facts, counters);
  json_decref (counters);
  return facts;
}

static const json_t *
find_fact (const json_t *facts, const char *path)
{
  g_auto (GStrv) parts = g_strsplit (path, ".", -1);
  const json_t *fact = facts;

  for (char **part = parts; *part && fact; part++)
    fact = json_object_get (fact, *part);
  return fact;
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
fact_holds (const json_t *facts, const char *expression, GError **error)
{
  size_t len = strcspn (expression, "<>=");
  g_autofree char *field = g_strndup (expression, len);
  g_autofree char *op = g_strndup (expression + len, 2);
  const char *wanted = expression + len + strlen (op);
  const json_t *fact = find_fact (facts, field);

  if (strlen (op) != 2 || op[1] != '=')
    return scenario_fail (error, "%s: expected <=, >= or ==", expression);
  if (!fact)
    return scenario_fail (error, "there is no %s", field);
  if (json_is_string (fact))
    return strcmp (json_string_value (fact), wanted) == 0
           || scenario_fail (error, "expected %s, found %s", expression,
                             json_string_value (fact));
  return number_holds (json_integer_value (fact), op,
                       g_ascii_strtoll (wanted, NULL, 10))
         || scenario_fail (error, "expected %s, found %" JSON_INTEGER_FORMAT,
                           expression, json_integer_value (fact));
}

bool
verify_facts (const cmd_t *cmd, uint32_t index, const json_t *facts,
              GError **error)
{
  bool holds = true;

  for (uint32_t i = index; i < cmd->args_count && holds; i++)
    holds = fact_holds (facts, cmd->args[i], error);
  return holds;
}

bool
verify_check (const cmd_t *cmd, GError **error)
{
  const proc_t *proc = proc_find (cmd->args[0], error);
  json_t *facts = proc ? read_facts (proc, error) : NULL;
  bool holds = facts && verify_facts (cmd, 1, facts, error);

  json_decref (facts);
  return holds;
}

/* No id ran twice, at one upstream or at two.  */
bool
verify_no_double_runs (const cmd_t *cmd, GError **error)
{
  g_autoptr (GHashTable) seen
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  const proc_t *proc;
  bool holds = true;

  for (uint32_t i = 0; holds && (proc = proc_at (PROC_UPSTREAM, i)); i++)
    {
      g_autofree char *url = words_url (proc->name, "port", "/_ids", error);
      json_t *ids = url ? http_json (url, error) : NULL;
      json_t *id;
      size_t index;

      holds = ids != NULL;
      json_array_foreach (ids, index, id)
      {
        const char *text = json_string_value (id);

        if (holds && !g_hash_table_add (seen, g_strdup (text)))
          holds = scenario_fail (error, "%s: ran a second time: %s",
                                 proc->name, text);
      }
      json_decref (ids);
    }
  return holds;
}

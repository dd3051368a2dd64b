#include "explain.h"
#include <inttypes.h>
#include <string.h>

#define HTTP_OK 200
#define HTTP_CONFLICT 409

static const char *
get_text (const json_t *object, const char *field)
{
  const char *text = json_string_value (json_object_get (object, field));

  return text ? text : "";
}

static int64_t
get_number (const json_t *object, const char *field)
{
  return json_integer_value (json_object_get (object, field));
}

static void
add_argument (GString *path, const char *name, const char *value)
{
  g_autofree char *escaped
      = value ? g_uri_escape_string (value, NULL, FALSE) : NULL;

  if (escaped)
    g_string_append_printf (
        path, "%c%s=%s", strchr (path->str, '?') ? '&' : '?', name, escaped);
}

char *
explain_path (const char *id, const char *queue, const char *workspace)
{
  GString *path = g_string_new ("/explain");

  add_argument (path, "id", id);
  add_argument (path, "queue", queue);
  add_argument (path, "workspace", workspace);
  return g_string_free (path, FALSE);
}

cli_status_t
explain_exit_status (long status, const json_t *answer)
{
  const char *result = get_text (answer, "result");

  if (status != HTTP_OK || result[0] == '\0')
    return CLI_USAGE;
  if (strcmp (result, "placed") == 0)
    return CLI_OK;
  if (strcmp (result, "ended") == 0
      && strcmp (get_text (answer, "state"), "complete") == 0)
    return CLI_OK;
  return CLI_REFUSED;
}

char *
explain_error (long status, const json_t *answer)
{
  const char *error = get_text (answer, "error");
  const char *result = get_text (answer, "result");

  if (status == HTTP_CONFLICT)
    return g_strdup_printf ("this daemon is not the owner: ask %s",
                            get_text (answer, "owner"));
  if (error[0] || result[0])
    return g_strdup (error[0] ? error : result);
  return g_strdup_printf ("HTTP status %ld without an explanation", status);
}

/* What each reason says to an operator.  */
static const char *
describe_reason (const char *why)
{
  static const char *const texts[][2] = {
    { "no-room", "no worker has room for it" },
    { "workspace-cap", "the cap of its workspace is reached" },
    { "workers-draining", "all workers that could run it are draining, or in "
                          "data centres that are withdrawn from use" },
    { "jobs-ahead", "jobs ahead of it take the room" },
    { "no-worker", "its service has no workers" },
    { "no-label", "no worker has the label that it requires" },
    { "workers-unavailable", "no worker that could run it accepts tasks" },
    { "no-ticket", "its queue's policy has not allowed a worker" },
    { "step-limit", "each worker has as many of its tasks as allowed" },
    { "failed-there", "it failed on the only worker a moment ago" },
    { "unanswered-starts", "too many starts are unanswered" },
    { "retry-pause", "the pause after its failure is not over" },
    { "earlier-run", "an earlier run of it has not ended" },
    { "ownership-unconfirmed",
      "the owner has not confirmed its ownership in time" },
    { "not-due", "its next occurrence is not due" },
    { "undecided", "the search was ended before all workers were judged" },
    { "pool-busy", "by the forecast it would end too late to be of value" },
    { "turn-not-come", "it was refused before, and its time to return has not "
                       "come" },
  };

  for (uint32_t i = 0; i < G_N_ELEMENTS (texts); i++)
    if (strcmp (texts[i][0], why) == 0)
      return texts[i][1];
  return why;
}

static void
print_result (FILE *out, const json_t *answer)
{
  const char *result = get_text (answer, "result");
  const char *why = get_text (answer, "why");

  fprintf (out, "%s", result);
  if (strcmp (result, "ended") == 0)
    fprintf (out, ": %s", get_text (answer, "state"));
  if (why[0])
    fprintf (out, ": %s (%s)", describe_reason (why), why);
  if (strcmp (result, "refused") == 0)
    fprintf (out, "; retry after %" PRId64 " s",
             get_number (answer, "retry_after_s"));
  fprintf (out, "\n%s\n",
           json_is_true (json_object_get (answer, "accepted"))
               ? "the job was accepted"
               : "the job was not submitted");
}

static void
print_time (FILE *out, const json_t *answer, const char *field,
            const char *label)
{
  const json_t *value = json_object_get (answer, field);

  if (json_is_integer (value))
    fprintf (out, "%s in %" PRId64 " ms", label,
             (int64_t)json_integer_value (value));
  else
    fprintf (out, "%s: unknown", label);
}

static void
print_amounts (FILE *out, const char *label, const json_t *amounts)
{
  fprintf (out,
           "%s %" PRId64 " milli-cores, %" PRId64 " MiB, %" PRId64
           " accelerators",
           label, get_number (amounts, "cpu_milli"),
           get_number (amounts, "mem_mib"), get_number (amounts, "accels"));
}

static void
print_counts (FILE *out, const json_t *counts)
{
  const char *separator = "";
  const char *name;
  json_t *value;

  json_object_foreach ((json_t *)counts, name, value)
  {
    fprintf (out, "%s%s %" PRId64, separator, name,
             (int64_t)json_integer_value (value));
    separator = ", ";
  }
}

static void
print_order (FILE *out, const json_t *answer)
{
  const json_t *ahead = json_object_get (answer, "ahead");
  const json_t *workspace = json_object_get (answer, "workspace");
  const char *rank = get_text (answer, "rank");

  fprintf (out, "queue %s, service %s, priority %" PRId64 ", rank %s\n",
           get_text (answer, "queue"), get_text (answer, "service"),
           get_number (answer, "priority"), rank[0] ? rank : "unknown");
  fprintf (out, "ahead of it: %" PRId64 " steps", get_number (ahead, "steps"));
  if (get_number (ahead, "steps") > 0)
    {
      fprintf (out, "; tasks: ");
      print_counts (out, json_object_get (ahead, "tasks"));
      if (json_is_integer (json_object_get (ahead, "pool_ms")))
        fprintf (out, "; %" PRId64 " ms of all workers",
                 get_number (ahead, "pool_ms"));
    }
  fprintf (out,
           "\nunanswered starts: %" PRId64
           "\nworkspace \"%s\", weight %" PRId64 "%s\n",
           get_number (answer, "starts_unanswered"),
           get_text (workspace, "name"), get_number (workspace, "weight"),
           json_is_true (json_object_get (workspace, "over_share"))
               ? ", beyond its share"
               : "");
  print_amounts (out, "  uses", json_object_get (workspace, "used"));
  print_amounts (out, "\n  cap (0: none)", json_object_get (workspace, "cap"));
  fprintf (out, "\n");
  print_time (out, answer, "start_ms", "starts");
  print_time (out, answer, "end_ms", "; ends");
  fprintf (out, "; objective %" PRId64 " ms\n",
           get_number (answer, "objective_ms"));
}

static void
print_workers (FILE *out, const json_t *step)
{
  const json_t *passed_over = json_object_get (step, "passed_over");
  json_t *best;
  size_t i;

  if (!json_object_get (step, "workers"))
    return;
  fprintf (out, "  workers: %" PRId64 ", suitable %" PRId64,
           get_number (step, "workers"), get_number (step, "suitable"));
  if (json_object_size (passed_over) > 0)
    {
      fprintf (out, "; passed over: ");
      print_counts (out, passed_over);
    }
  fprintf (out, "\n");
  json_array_foreach (json_object_get (step, "best"), i, best)
      fprintf (out, "  %s score %.3f\n", get_text (best, "worker"),
               json_real_value (json_object_get (best, "score")));
}

static void
print_step (FILE *out, const json_t *step)
{
  const char *why = get_text (step, "why");

  fprintf (out,
           "step %" PRId64 " of occurrence %" PRId64 ": %s, %" PRId64
           " tasks, %" PRId64 " done, %" PRId64 " waiting, %" PRId64
           " would start",
           get_number (step, "step"), get_number (step, "occurrence"),
           get_text (step, "state"), get_number (step, "tasks"),
           get_number (step, "done"), get_number (step, "waiting"),
           get_number (step, "starting"));
  if (why[0])
    fprintf (out, ": %s (%s)", describe_reason (why), why);
  fprintf (out, "\n");
  print_workers (out, step);
}

void
explain_print (FILE *out, const json_t *answer)
{
  const json_t *steps = json_object_get (answer, "steps");
  int64_t more
      = get_number (answer, "steps_count") - (int64_t)json_array_size (steps);
  json_t *step;
  size_t i;

  print_result (out, answer);
  if (!steps)
    return;
  print_order (out, answer);
  json_array_foreach (steps, i, step) print_step (out, step);
  if (more > 0)
    fprintf (out, "%" PRId64 " more steps\n", more);
}

#include "explainjson.h"
#include <jansson.h>
#include <stdlib.h>

static json_t *
text_json (const char *text)
{
  json_t *json = json_string (text ? text : "");

  return json ? json : json_string ("?");
}

/* -1 stands for an unknown time.  */
static json_t *
time_json (int64_t ms)
{
  return ms < 0 ? json_null () : json_integer (ms);
}

static json_t *
amounts_json (const amounts_t *amounts)
{
  return json_pack (
      "{s:I,s:I,s:I}", "cpu_milli", (json_int_t)amounts->cpu_milli, "mem_mib",
      (json_int_t)amounts->mem_mib, "accels", (json_int_t)amounts->accels);
}

static json_t *
passed_over_json (const explain_step_t *step)
{
  json_t *object = json_object ();

  for (uint32_t i = 0; i < JUDGEMENTS_COUNT; i++)
    if (i != JUDGED_SUITABLE && step->judgements[i] > 0)
      json_object_set_new (object, judgement_name ((judgement_t)i),
                           json_integer (step->judgements[i]));
  return object;
}

static json_t *
best_json (const explain_step_t *step)
{
  json_t *array = json_array ();

  for (uint32_t i = 0; i < step->best_count; i++)
    json_array_append_new (array, json_pack ("{s:o,s:f}", "worker",
                                             text_json (step->best[i].worker),
                                             "score", step->best[i].score));
  return array;
}

static json_t *
step_json (const explain_step_t *step)
{
  json_t *object = json_pack (
      "{s:i,s:i,s:s,s:I,s:I,s:I,s:I}", "occurrence", (int)step->occurrence,
      "step", (int)step->step, "state", explain_step_state_name (step->state),
      "tasks", (json_int_t)step->tasks, "done", (json_int_t)step->done,
      "waiting", (json_int_t)step->waiting, "starting",
      (json_int_t)step->starting);

  if (step->state == EXPLAIN_STEP_WAITS)
    json_object_set_new (object, "why",
                         json_string (explain_wait_name (step->wait)));
  if (!step->judged)
    return object;
  json_object_set_new (object, "workers", json_integer (step->workers));
  json_object_set_new (object, "suitable",
                       json_integer (step->judgements[JUDGED_SUITABLE]));
  json_object_set_new (object, "passed_over", passed_over_json (step));
  json_object_set_new (object, "best", best_json (step));
  return object;
}

static json_t *
steps_json (const explanation_t *explanation)
{
  json_t *array = json_array ();

  for (uint32_t i = 0; i < explanation->steps->len; i++)
    json_array_append_new (array, step_json (&g_array_index (
                                      explanation->steps, explain_step_t, i)));
  return array;
}

static json_t *
ahead_json (const explain_ahead_t *ahead)
{
  json_t *tasks = json_object ();

  for (uint32_t i = 0; i < RANK_COUNT; i++)
    if (ahead->tasks[i] > 0)
      json_object_set_new (tasks, rank_name ((rank_t)i),
                           json_integer (ahead->tasks[i]));
  return json_pack ("{s:I,s:o,s:o}", "steps", (json_int_t)ahead->steps,
                    "tasks", tasks, "pool_ms", time_json (ahead->pool_ms));
}

static json_t *
workspace_json (const explain_workspace_t *workspace)
{
  return json_pack (
      "{s:o,s:I,s:b,s:o,s:o}", "name", text_json (workspace->name), "weight",
      (json_int_t)workspace->weight, "over_share", (int)workspace->over_share,
      "cap", amounts_json (&workspace->cap), "used",
      amounts_json (&workspace->used));
}

static const char *
state_name (job_state_t state)
{
  switch (state)
    {
    case JOB_STATE_QUEUED:
      return "queued";
    case JOB_STATE_RUNNING:
      return "running";
    case JOB_STATE_COMPLETE:
      return "complete";
    case JOB_STATE_FAILED:
      return "failed";
    case JOB_STATE_CANCELLED:
      return "cancelled";
    }
  return "unknown";
}

static json_t *
rank_json (const explanation_t *explanation)
{
  return explanation->has_rank ? json_string (rank_name (explanation->rank))
                               : json_null ();
}

static json_t *
starts_max_json (const explanation_t *explanation)
{
  if (!explanation->has_rank)
    return json_null ();
  return json_integer (
      (json_int_t)MIN (explanation->starts_max, (uint64_t)INT64_MAX));
}

/* Adds what is only known of a job that has not ended.  */
static void
add_details (json_t *object, const explanation_t *explanation)
{
  json_t *details = json_pack (
      "{s:o,s:o,s:I,s:o,s:I,s:o,s:o,s:o,s:b,s:o,s:o,s:I,s:I,s:o}", "queue",
      text_json (explanation->queue), "service", text_json (explanation->pool),
      "priority", (json_int_t)explanation->priority, "rank",
      rank_json (explanation), "starts_unanswered",
      (json_int_t)explanation->starts_pending, "starts_unanswered_max",
      starts_max_json (explanation), "ahead", ahead_json (&explanation->ahead),
      "workspace", workspace_json (&explanation->workspace), "admission",
      (int)explanation->admission, "start_ms",
      time_json (explanation->start_ms), "end_ms",
      time_json (explanation->end_ms), "objective_ms",
      (json_int_t)explanation->objective_ms, "steps_count",
      (json_int_t)explanation->steps_count, "steps", steps_json (explanation));

  json_object_update (object, details);
  json_decref (details);
}

char *
explain_json (const explanation_t *explanation)
{
  json_t *object = json_pack (
      "{s:s,s:o,s:b}", "result", explain_kind_name (explanation->kind), "id",
      text_json (explanation->id), "accepted", (int)explanation->accepted);
  char *text;

  switch (explanation->kind)
    {
    case EXPLAIN_WAITS:
      json_object_set_new (
          object, "why",
          json_string (explain_wait_name (explanation->u.wait)));
      break;
    case EXPLAIN_REFUSED:
      json_object_set_new (
          object, "why",
          json_string (admission_reason_name (explanation->u.refused.reason)));
      json_object_set_new (
          object, "retry_after_s",
          json_integer (explanation->u.refused.retry_after_s));
      break;
    case EXPLAIN_ENDED:
      json_object_set_new (object, "state",
                           json_string (state_name (explanation->u.ended)));
      break;
    case EXPLAIN_PLACED:
    case EXPLAIN_UNKNOWN_QUEUE:
    case EXPLAIN_UNKNOWN_WORKSPACE:
    case EXPLAIN_UNKNOWN_JOB:
      break;
    }
  if (explanation->steps)
    add_details (object, explanation);
  text = json_dumps (object, JSON_COMPACT);
  json_decref (object);
  return text;
}

char *
explain_error_json (const char *what, const char *owner)
{
  g_autofree char *valid = g_utf8_make_valid (what, -1);
  json_t *object = json_pack ("{s:s}", "error", valid);
  char *text;

  if (owner)
    json_object_set_new (object, "owner", text_json (owner));
  text = json_dumps (object, JSON_COMPACT);
  json_decref (object);
  return text;
}

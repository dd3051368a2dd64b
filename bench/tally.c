#include "load.h"
#include <jansson.h>
#include <stdio.h>
#include <string.h>

static uint32_t
error_index (const answer_t *answer)
{
  for (int kind = 0; kind < ERR_KIND_COUNT; kind++)
    {
      const char *name = err_response ((err_kind_t)kind)->name;

      if (strlen (name) == answer->error_len
          && memcmp (name, answer->error, answer->error_len) == 0)
        return (uint32_t)kind;
    }
  return ERR_KIND_COUNT;
}

void
tally_answer (tally_t *tally, const answer_t *answer, bool wrong,
              int64_t from_us, int64_t now_us)
{
  tally->by_status[answer->status]++;
  tally->last_us = now_us;
  if (answer->error)
    tally->by_error[error_index (answer)]++;
  if (wrong)
    tally->wrong++;
  if (answer_is_refusal (answer))
    {
      tally->refused++;
      return;
    }
  tally->answered++;
  latency_add (&tally->latency, now_us - from_us);
}

void
tally_malformed (tally_t *tally)
{
  tally->answered++;
  tally->wrong++;
}

void
tally_merge (tally_t *sum, const tally_t *part)
{
  sum->sent += part->sent;
  sum->answered += part->answered;
  sum->refused += part->refused;
  sum->lost += part->lost;
  sum->wrong += part->wrong;
  sum->not_sent += part->not_sent;
  sum->connect_failures += part->connect_failures;
  for (size_t i = 0; i < STATUS_MAX; i++)
    sum->by_status[i] += part->by_status[i];
  for (size_t i = 0; i <= ERR_KIND_COUNT; i++)
    sum->by_error[i] += part->by_error[i];
  if (part->first_us && (!sum->first_us || part->first_us < sum->first_us))
    sum->first_us = part->first_us;
  sum->last_us = MAX (sum->last_us, part->last_us);
  latency_merge (&sum->latency, &part->latency);
}

bool
tally_balances (const tally_t *tally)
{
  return tally->sent == tally->answered + tally->refused + tally->lost;
}

bool
tally_is_good (const tally_t *tally)
{
  return tally_balances (tally) && tally->wrong == 0 && tally->lost == 0;
}

static double
per_second (const tally_t *tally)
{
  double seconds = (double)(tally->last_us - tally->first_us) / 1e6;

  return seconds > 0 ? (double)tally->latency.count / seconds : 0;
}

static json_t *
by_status_json (const tally_t *tally)
{
  json_t *object = json_object ();
  char name[8];

  for (unsigned i = 0; i < STATUS_MAX; i++)
    if (tally->by_status[i])
      {
        g_snprintf (name, sizeof name, "%u", i);
        json_object_set_new (object, name,
                             json_integer ((json_int_t)tally->by_status[i]));
      }
  return object;
}

static json_t *
by_error_json (const tally_t *tally)
{
  json_t *object = json_object ();

  for (int i = 0; i <= ERR_KIND_COUNT; i++)
    if (tally->by_error[i])
      json_object_set_new (
          object,
          i < ERR_KIND_COUNT ? err_response ((err_kind_t)i)->name : "other",
          json_integer ((json_int_t)tally->by_error[i]));
  return object;
}

static json_t *
tally_json (const tally_t *tally)
{
  const latency_t *latency = &tally->latency;

  return json_pack (
      "{sI sI sI sI sI sI sI sI sI sI sI so so sb}", "requests_per_s",
      (json_int_t)per_second (tally), "median_us",
      (json_int_t)latency_quantile (latency, 0.5), "p99_us",
      (json_int_t)latency_quantile (latency, 0.99), "p999_us",
      (json_int_t)latency_quantile (latency, 0.999), "sent",
      (json_int_t)tally->sent, "answered", (json_int_t)tally->answered,
      "refused", (json_int_t)tally->refused, "lost", (json_int_t)tally->lost,
      "wrong", (json_int_t)tally->wrong, "not_sent",
      (json_int_t)tally->not_sent, "connect_failures",
      (json_int_t)tally->connect_failures, "by_status", by_status_json (tally),
      "by_error", by_error_json (tally), "balanced", tally_balances (tally));
}

static void
print_lines (const char *prefix, const json_t *object)
{
  const char *name;
  json_t *value;

  json_object_foreach ((json_t *)object, name, value)
  {
    if (json_is_object (value))
      {
        g_autofree char *inner = g_strdup_printf ("%s ", name);

        print_lines (inner, value);
      }
    else if (json_is_boolean (value))
      printf ("%s%s %s\n", prefix, name, json_is_true (value) ? "yes" : "no");
    else
      printf ("%s%s %" JSON_INTEGER_FORMAT "\n", prefix, name,
              json_integer_value (value));
  }
}

void
tally_print (const tally_t *tally, bool json)
{
  json_t *object = tally_json (tally);

  if (json)
    {
      json_dumpf (object, stdout, JSON_COMPACT);
      putchar ('\n');
    }
  else
    print_lines ("", object);
  json_decref (object);
}

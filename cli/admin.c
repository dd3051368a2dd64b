#include "admin.h"
#include <curl/curl.h>
#include <string.h>

#define ASK_TIMEOUT_MS 2000
#define ANSWER_BYTES_MAX (64 * 1024 * 1024)

/* Time between two rounds of questions while a version comes into force.  */
#define ROUND_MS 100

static size_t
keep_answer (char *data, size_t size, size_t count, void *to)
{
  GString *text = to;

  if (text->len + size * count > ANSWER_BYTES_MAX)
    return 0;
  g_string_append_len (text, data, (gssize)(size * count));
  return size * count;
}

static CURL *
open_question (const char *address, const char *path, GString *text)
{
  CURL *easy = curl_easy_init ();
  g_autofree char *url = g_strdup_printf ("http://%s%s", address, path);

  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long)ASK_TIMEOUT_MS);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, keep_answer);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, text);
  return easy;
}

static void
run_all (CURLM *multi)
{
  int running = 1;

  while (curl_multi_perform (multi, &running) == CURLM_OK && running > 0)
    curl_multi_poll (multi, NULL, 0, ASK_TIMEOUT_MS, NULL);
}

static void
read_results (CURLM *multi, CURL **easy, CURLcode *results, uint32_t count)
{
  CURLMsg *message;
  int left;

  while ((message = curl_multi_info_read (multi, &left)))
    for (uint32_t i = 0; i < count; i++)
      if (easy[i] == message->easy_handle)
        results[i] = message->data.result;
}

static void
judge (admin_answer_t *answer, CURL *easy, CURLcode result,
       const GString *text)
{
  long status = 0;

  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
  if (result != CURLE_OK)
    answer->problem = g_strdup (curl_easy_strerror (result));
  else if (status != 200)
    answer->problem = g_strdup_printf ("HTTP status %ld", status);
  else if (!(answer->json = json_loadb (text->str, text->len, 0, NULL)))
    answer->problem = g_strdup ("its answer is not JSON");
}

void
admin_ask (const char *const *addresses, uint32_t count, const char *path,
           admin_answer_t *answers)
{
  CURLM *multi = curl_multi_init ();
  CURL **easy = g_new0 (CURL *, count);
  GString **texts = g_new0 (GString *, count);
  CURLcode *results = g_new0 (CURLcode, count);

  for (uint32_t i = 0; i < count; i++)
    {
      answers[i] = (admin_answer_t){ .address = addresses[i] };
      results[i] = CURLE_OPERATION_TIMEDOUT;
      texts[i] = g_string_new (NULL);
      easy[i] = open_question (addresses[i], path, texts[i]);
      curl_multi_add_handle (multi, easy[i]);
    }
  run_all (multi);
  read_results (multi, easy, results, count);
  for (uint32_t i = 0; i < count; i++)
    {
      judge (&answers[i], easy[i], results[i], texts[i]);
      curl_multi_remove_handle (multi, easy[i]);
      curl_easy_cleanup (easy[i]);
      g_string_free (texts[i], TRUE);
    }
  curl_multi_cleanup (multi);
  g_free (easy);
  g_free (texts);
  g_free (results);
}

void
admin_clear (admin_answer_t *answers, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      json_decref (answers[i].json);
      g_free (answers[i].problem);
      answers[i] = (admin_answer_t){ .address = answers[i].address };
    }
}

uint64_t
admin_version (const admin_answer_t *answer)
{
  json_int_t version
      = json_integer_value (json_object_get (answer->json, "version"));

  return version > 0 ? (uint64_t)version : 0;
}

static bool
all_have (const admin_answer_t *answers, uint32_t count, uint64_t version)
{
  for (uint32_t i = 0; i < count; i++)
    if (admin_version (&answers[i]) < version)
      return false;
  return true;
}

bool
admin_wait_version (const char *const *addresses, uint32_t count,
                    uint64_t version, uint32_t wait_ms,
                    admin_answer_t *answers)
{
  int64_t end_us = clock_mono_us () + (int64_t)wait_ms * 1000;
  CURLM *timer = curl_multi_init ();
  bool all;

  admin_ask (addresses, count, "/config", answers);
  while (!(all = all_have (answers, count, version))
         && clock_mono_us () < end_us)
    {
      curl_multi_poll (timer, NULL, 0, ROUND_MS, NULL);
      admin_clear (answers, count);
      admin_ask (addresses, count, "/config", answers);
    }
  curl_multi_cleanup (timer);
  return all;
}

json_t *
admin_report (const admin_answer_t *answers, uint32_t count)
{
  json_t *rows = json_array ();

  for (uint32_t i = 0; i < count; i++)
    {
      json_t *row = json_pack ("{s:s}", "address", answers[i].address);

      if (answers[i].json)
        json_object_update (row, answers[i].json);
      else
        json_object_set_new (row, "problem", json_string (answers[i].problem));
      json_array_append_new (rows, row);
    }
  return rows;
}

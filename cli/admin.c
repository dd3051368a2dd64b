#include "admin.h"
#include <curl/curl.h>
#include <string.h>

#define REQUEST_TIMEOUT_MS 2000
/* A request to explain a job may wait for four others, 0.25 s each.  */
#define POST_TIMEOUT_MS 4000
#define RESPONSE_BYTES_MAX (64 * 1024 * 1024)

/* Delay between two polls of /config while a version takes effect.  */
#define POLL_INTERVAL_MS 100

static size_t
append_body (char *data, size_t size, size_t count, void *body)
{
  GString *text = body;

  if (text->len + size * count > RESPONSE_BYTES_MAX)
    return 0;
  g_string_append_len (text, data, (gssize)(size * count));
  return size * count;
}

static CURL *
new_request (const char *address, const char *path, GString *text)
{
  CURL *easy = curl_easy_init ();
  g_autofree char *url = g_strdup_printf ("http://%s%s", address, path);

  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long)REQUEST_TIMEOUT_MS);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, append_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, text);
  return easy;
}

static void
run_transfers (CURLM *multi)
{
  int running = 1;

  while (curl_multi_perform (multi, &running) == CURLM_OK && running > 0)
    curl_multi_poll (multi, NULL, 0, REQUEST_TIMEOUT_MS, NULL);
}

static void
read_results (CURLM *multi, CURL **easy, CURLcode *results, uint32_t count)
{
  CURLMsg *message;
  int remaining;

  while ((message = curl_multi_info_read (multi, &remaining)))
    for (uint32_t i = 0; i < count; i++)
      if (easy[i] == message->easy_handle)
        results[i] = message->data.result;
}

static void
set_response (admin_response_t *response, CURL *easy, CURLcode result,
              const GString *text)
{
  long status = 0;

  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
  if (result != CURLE_OK)
    response->error = g_strdup (curl_easy_strerror (result));
  else if (status != 200)
    response->error = g_strdup_printf ("HTTP status %ld", status);
  else if (!(response->json = json_loadb (text->str, text->len, 0, NULL)))
    response->error = g_strdup ("the response is not JSON");
}

void
admin_get (const char *const *addresses, uint32_t count, const char *path,
           admin_response_t *responses)
{
  CURLM *multi = curl_multi_init ();
  CURL **easy = g_new0 (CURL *, count);
  GString **texts = g_new0 (GString *, count);
  CURLcode *results = g_new0 (CURLcode, count);

  for (uint32_t i = 0; i < count; i++)
    {
      responses[i] = (admin_response_t){ .address = addresses[i] };
      results[i] = CURLE_OPERATION_TIMEDOUT;
      texts[i] = g_string_new (NULL);
      easy[i] = new_request (addresses[i], path, texts[i]);
      curl_multi_add_handle (multi, easy[i]);
    }
  run_transfers (multi);
  read_results (multi, easy, results, count);
  for (uint32_t i = 0; i < count; i++)
    {
      set_response (&responses[i], easy[i], results[i], texts[i]);
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
admin_post (const char *path, const void *body, size_t len,
            admin_response_t *response)
{
  GString *text = g_string_new (NULL);
  CURL *easy = new_request (response->address, path, text);
  /* Without this libcurl waits for 100-continue before a large body.  */
  struct curl_slist *headers = curl_slist_append (NULL, "Expect:");
  CURLcode result;

  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (easy, CURLOPT_POST, 1L);
  curl_easy_setopt (easy, CURLOPT_POSTFIELDS, len > 0 ? body : "");
  curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)len);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long)POST_TIMEOUT_MS);
  result = curl_easy_perform (easy);
  if (result == CURLE_OK)
    curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &response->status);
  else
    response->error = g_strdup (curl_easy_strerror (result));
  response->json = json_loadb (text->str, text->len, 0, NULL);
  curl_easy_cleanup (easy);
  curl_slist_free_all (headers);
  g_string_free (text, TRUE);
}

void
admin_clear (admin_response_t *responses, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      json_decref (responses[i].json);
      g_free (responses[i].error);
      responses[i] = (admin_response_t){ .address = responses[i].address };
    }
}

uint64_t
admin_response_version (const admin_response_t *response)
{
  json_int_t version
      = json_integer_value (json_object_get (response->json, "version"));

  return version > 0 ? (uint64_t)version : 0;
}

static bool
all_report_version (const admin_response_t *responses, uint32_t count,
                    uint64_t version)
{
  for (uint32_t i = 0; i < count; i++)
    if (admin_response_version (&responses[i]) < version)
      return false;
  return true;
}

bool
admin_wait_version (const char *const *addresses, uint32_t count,
                    uint64_t version, uint32_t wait_ms,
                    admin_response_t *responses)
{
  int64_t end_us = clock_mono_us () + (int64_t)wait_ms * 1000;
  CURLM *timer = curl_multi_init ();
  bool reached;

  admin_get (addresses, count, "/config", responses);
  while (!(reached = all_report_version (responses, count, version))
         && clock_mono_us () < end_us)
    {
      curl_multi_poll (timer, NULL, 0, POLL_INTERVAL_MS, NULL);
      admin_clear (responses, count);
      admin_get (addresses, count, "/config", responses);
    }
  curl_multi_cleanup (timer);
  return reached;
}

json_t *
admin_responses_json (const admin_response_t *responses, uint32_t count)
{
  json_t *array = json_array ();

  for (uint32_t i = 0; i < count; i++)
    {
      json_t *object = json_pack ("{s:s}", "address", responses[i].address);

      if (responses[i].json)
        json_object_update (object, responses[i].json);
      else
        json_object_set_new (object, "problem",
                             json_string (responses[i].error));
      json_array_append_new (array, object);
    }
  return array;
}

#include "scenario.h"
#include <string.h>
#include <strings.h>

#define DEADLINE_DEFAULT_MS 10000
#define GRACE_MS 5000
#define CONNECT_MS 2000

void
answer_clear (answer_t *answer)
{
  if (answer->body)
    g_byte_array_unref (answer->body);
  memset (answer, 0, sizeof *answer);
}

void
http_id (char id[37])
{
  uint64_t ms = (uint64_t)clock_wall_ms ();

  g_snprintf (id, 37, "%08x-%04x-7%03x-%04x-%08x%04x", (unsigned)(ms >> 16),
              (unsigned)(ms & 0xffff), g_random_int () & 0xfff,
              0x8000 | (g_random_int () & 0x3fff), g_random_int (),
              g_random_int () & 0xffff);
}

static size_t
keep_body (char *data, size_t size, size_t count, void *to)
{
  answer_t *answer = to;

  g_byte_array_append (answer->body, (const guint8 *)data,
                       (guint)(size * count));
  return size * count;
}

static void
keep_value (const char *line, size_t len, const char *name, char *to,
            size_t room)
{
  size_t name_len = strlen (name);
  g_autofree char *value = NULL;

  if (len <= name_len || strncasecmp (line, name, name_len) != 0)
    return;
  value = g_strndup (line + name_len, len - name_len);
  g_strlcpy (to, g_strstrip (value), room);
}

static size_t
keep_header (char *data, size_t size, size_t count, void *to)
{
  answer_t *answer = to;
  size_t len = size * count;

  keep_value (data, len, "X-Outcome:", answer->outcome,
              sizeof answer->outcome);
  keep_value (data, len, "X-Error:", answer->error, sizeof answer->error);
  keep_value (data, len, "X-Request-Id:", answer->id, sizeof answer->id);
  return len;
}

static struct curl_slist *
add_header (struct curl_slist *list, const char *name, const char *value)
{
  g_autofree char *line = g_strdup_printf ("%s: %s", name, value);

  return curl_slist_append (list, line);
}

static struct curl_slist *
make_headers (const http_request_t *request)
{
  struct curl_slist *list = NULL;
  g_autofree char *bearer = g_strdup_printf ("Bearer %s", request->key);
  g_autofree char *deadline = g_strdup_printf ("%u", request->deadline_ms);

  if (request->key)
    list = add_header (list, "Authorization", bearer);
  if (request->id)
    list = add_header (list, "X-Request-Id", request->id);
  if (request->deadline_ms)
    list = add_header (list, "X-Deadline-Ms", deadline);
  if (!request->idempotent)
    list = add_header (list, "X-Idempotent", "no");
  return list;
}

void
http_run (CURL *handle, const http_request_t *request, answer_t *answer)
{
  struct curl_slist *headers = make_headers (request);
  uint32_t deadline_ms
      = request->deadline_ms ? request->deadline_ms : DEADLINE_DEFAULT_MS;

  memset (answer, 0, sizeof *answer);
  answer->body = g_byte_array_new ();
  curl_easy_reset (handle);
  curl_easy_setopt (handle, CURLOPT_URL, request->url);
  curl_easy_setopt (handle, CURLOPT_CUSTOMREQUEST, request->method);
  curl_easy_setopt (handle, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (handle, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (handle, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_MS);
  curl_easy_setopt (handle, CURLOPT_TIMEOUT_MS, (long)deadline_ms + GRACE_MS);
  curl_easy_setopt (handle, CURLOPT_WRITEFUNCTION, keep_body);
  curl_easy_setopt (handle, CURLOPT_WRITEDATA, answer);
  curl_easy_setopt (handle, CURLOPT_HEADERFUNCTION, keep_header);
  curl_easy_setopt (handle, CURLOPT_HEADERDATA, answer);
  if (request->body)
    curl_easy_setopt (handle, CURLOPT_POSTFIELDS, request->body);
  answer->code = curl_easy_perform (handle);
  if (answer->code == CURLE_OK)
    curl_easy_getinfo (handle, CURLINFO_RESPONSE_CODE, &answer->status);
  curl_slist_free_all (headers);
}

bool
http_answer_is_own (const answer_t *answer, const char *id)
{
  size_t len = strlen (id);

  return strcmp (answer->id, id) == 0 && answer->body->len > len
         && memcmp (answer->body->data, id, len) == 0
         && answer->body->data[len] == '\n';
}

static bool
call (const char *method, const char *url, const char *body, answer_t *answer,
      GError **error)
{
  CURL *handle = curl_easy_init ();
  http_request_t request
      = { .method = method, .url = url, .body = body, .idempotent = true };

  http_run (handle, &request, answer);
  curl_easy_cleanup (handle);
  if (answer->code != CURLE_OK)
    return scenario_fail (error, "%s: %s", url,
                          curl_easy_strerror (answer->code));
  if (answer->status != 200)
    return scenario_fail (error, "%s: status %ld", url, answer->status);
  return true;
}

json_t *
http_json (const char *url, GError **error)
{
  answer_t answer;
  json_t *json = NULL;

  if (call ("GET", url, NULL, &answer, error))
    {
      json = json_loadb ((char *)answer.body->data, answer.body->len, 0, NULL);
      if (!json)
        scenario_fail (error, "%s: not JSON", url);
    }
  answer_clear (&answer);
  return json;
}

bool
http_send (const char *method, const char *url, const char *body,
           GError **error)
{
  answer_t answer;
  bool done = call (method, url, body, &answer, error);

  answer_clear (&answer);
  return done;
}

#include "scenario.h"
#include <string.h>
#include <strings.h>

#define DEFAULT_DEADLINE_MS 10000
#define TIMEOUT_MARGIN_MS 5000
#define CONNECT_TIMEOUT_MS 2000

void
response_clear (response_t *response)
{
  if (response->body)
    g_byte_array_unref (response->body);
  memset (response, 0, sizeof *response);
}

void
http_new_id (char id[37])
{
  uint64_t ms = (uint64_t)clock_wall_ms ();

  g_snprintf (id, 37, "%08x-%04x-7%03x-%04x-%08x%04x", (unsigned)(ms >> 16),
              (unsigned)(ms & 0xffff), g_random_int () & 0xfff,
              0x8000 | (g_random_int () & 0x3fff), g_random_int (),
              g_random_int () & 0xffff);
}

static size_t
append_body (char *data, size_t size, size_t count, void *to)
{
  response_t *response = to;

  g_byte_array_append (response->body, (const guint8 *)data,
                       (guint)(size * count));
  return size * count;
}

static void
store_header (const char *line, size_t len, const char *name, char *to,
              size_t size)
{
  size_t name_len = strlen (name);
  g_autofree char *value = NULL;

  if (len <= name_len || strncasecmp (line, name, name_len) != 0)
    return;
  value = g_strndup (line + name_len, len - name_len);
  g_strlcpy (to, g_strstrip (value), size);
}

static size_t
parse_header (char *data, size_t size, size_t count, void *to)
{
  response_t *response = to;
  size_t len = size * count;

  store_header (data, len, "X-Outcome:", response->outcome,
                sizeof response->outcome);
  store_header (data, len, "X-Error:", response->error,
                sizeof response->error);
  store_header (data, len, "X-Request-Id:", response->id, sizeof response->id);
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
http_run (CURL *handle, const http_request_t *request, response_t *response)
{
  struct curl_slist *headers = make_headers (request);
  uint32_t deadline_ms
      = request->deadline_ms ? request->deadline_ms : DEFAULT_DEADLINE_MS;

  memset (response, 0, sizeof *response);
  response->body = g_byte_array_new ();
  curl_easy_reset (handle);
  curl_easy_setopt (handle, CURLOPT_URL, request->url);
  curl_easy_setopt (handle, CURLOPT_CUSTOMREQUEST, request->method);
  curl_easy_setopt (handle, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (handle, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (handle, CURLOPT_CONNECTTIMEOUT_MS,
                    (long)CONNECT_TIMEOUT_MS);
  curl_easy_setopt (handle, CURLOPT_TIMEOUT_MS,
                    (long)deadline_ms + TIMEOUT_MARGIN_MS);
  curl_easy_setopt (handle, CURLOPT_WRITEFUNCTION, append_body);
  curl_easy_setopt (handle, CURLOPT_WRITEDATA, response);
  curl_easy_setopt (handle, CURLOPT_HEADERFUNCTION, parse_header);
  curl_easy_setopt (handle, CURLOPT_HEADERDATA, response);
  if (request->body)
    curl_easy_setopt (handle, CURLOPT_POSTFIELDS, request->body);
  response->code = curl_easy_perform (handle);
  if (response->code == CURLE_OK)
    curl_easy_getinfo (handle, CURLINFO_RESPONSE_CODE, &response->status);
  curl_slist_free_all (headers);
}

bool
http_response_matches (const response_t *response, const char *id)
{
  size_t len = strlen (id);

  return strcmp (response->id, id) == 0 && response->body->len > len
         && memcmp (response->body->data, id, len) == 0
         && response->body->data[len] == '\n';
}

static bool
send_expect_ok (const char *method, const char *url, const char *body,
                response_t *response, GError **error)
{
  CURL *handle = curl_easy_init ();
  http_request_t request
      = { .method = method, .url = url, .body = body, .idempotent = true };

  http_run (handle, &request, response);
  curl_easy_cleanup (handle);
  if (response->code != CURLE_OK)
    return scenario_fail (error, "%s: %s", url,
                          curl_easy_strerror (response->code));
  if (response->status != 200)
    return scenario_fail (error, "%s: status %ld", url, response->status);
  return true;
}

json_t *
http_json (const char *url, GError **error)
{
  response_t response;
  json_t *json = NULL;

  if (send_expect_ok ("GET", url, NULL, &response, error))
    {
      json = json_loadb ((char *)response.body->data, response.body->len, 0,
                         NULL);
      if (!json)
        scenario_fail (error, "%s: not JSON", url);
    }
  response_clear (&response);
  return json;
}

bool
http_send (const char *method, const char *url, const char *body,
           GError **error)
{
  response_t response;
  bool done = send_expect_ok (method, url, body, &response, error);

  response_clear (&response);
  return done;
}

#include "logstore.h"
#include <curl/curl.h>
#include <inttypes.h>
#include <jansson.h>
#include <msgpack.h>
#include <string.h>

#define RESPONSE_BYTES_MAX (64 * 1024 * 1024)

/* Upper bound of a single curl_multi_poll; a wake-up and libcurl's timers end
   it earlier.  */
#define POLL_MAX_MS 60000

struct platform
{
  char *url;
  CURLM *multi;
  CURL *easy;
  struct curl_slist *headers;
  atomic_bool interrupted;
};

/* A request and its response.  */
typedef struct exchange
{
  const void *body; /* NULL: GET */
  size_t len;
  uint32_t timeout_ms;
  GByteArray *response;
  long status; /* 0: no complete response */
  bool sent;   /* the service may have received bytes of the request */
} exchange_t;

const char *
log_status_name (log_status_t status)
{
  switch (status)
    {
    case LOG_OK:
      return "ok";
    case LOG_UNREACHABLE:
      return "unreachable";
    case LOG_UNCERTAIN:
      return "uncertain";
    case LOG_EXPIRED:
      return "expired";
    case LOG_BAD_ANSWER:
      return "bad-answer";
    }
  return "bad-answer";
}

void
log_batch_clear (log_batch_t *batch)
{
  for (uint32_t i = 0; i < batch->count; i++)
    g_bytes_unref (batch->entries[i].data);
  g_free (batch->entries);
  memset (batch, 0, sizeof *batch);
}

void
live_list_clear (live_list_t *list)
{
  for (uint32_t i = 0; i < list->count; i++)
    g_free (list->hosts[i].host);
  g_free (list->hosts);
  memset (list, 0, sizeof *list);
}

platform_t *
platform_open (const char *url)
{
  platform_t *platform = g_new0 (platform_t, 1);
  size_t len = strlen (url);

  curl_global_init (CURL_GLOBAL_DEFAULT);
  while (len > 0 && url[len - 1] == '/')
    len--;
  platform->url = g_strndup (url, len);
  platform->multi = curl_multi_init ();
  platform->easy = curl_easy_init ();
  /* The service may not support 100-continue, for which libcurl waits a
     second.  */
  platform->headers = curl_slist_append (NULL, "Expect:");
  atomic_init (&platform->interrupted, false);
  curl_multi_setopt (platform->multi, CURLMOPT_MAXCONNECTS, 2L);
  return platform;
}

void
platform_close (platform_t *platform)
{
  if (!platform)
    return;
  curl_easy_cleanup (platform->easy);
  curl_multi_cleanup (platform->multi);
  curl_slist_free_all (platform->headers);
  g_free (platform->url);
  g_free (platform);
}

void
platform_interrupt (platform_t *platform)
{
  atomic_store (&platform->interrupted, true);
  curl_multi_wakeup (platform->multi);
}

static size_t
append_response (char *data, size_t size, size_t count, void *context)
{
  GByteArray *response = context;

  if (response->len + size * count > RESPONSE_BYTES_MAX)
    return 0;
  g_byte_array_append (response, (const guint8 *)data, (guint)(size * count));
  return size * count;
}

static void
prepare_transfer (platform_t *platform, const char *url, exchange_t *x)
{
  CURL *easy = platform->easy;

  curl_easy_reset (easy);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, platform->headers);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long)x->timeout_ms);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, append_response);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, x->response);
  if (!x->body)
    return;
  curl_easy_setopt (easy, CURLOPT_POST, 1L);
  curl_easy_setopt (easy, CURLOPT_POSTFIELDS, x->body);
  curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)x->len);
  /* libcurl resends a request by itself when a reused connection was closed by
     the server, which could append twice.  A fresh connection prevents it.  */
  curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT, 1L);
}

/* Runs the prepared transfer until it completes.  False when it failed or was
   interrupted.  */
static bool
run_transfer (platform_t *platform)
{
  CURLMsg *message = NULL;
  CURLcode result = CURLE_ABORTED_BY_CALLBACK;
  int running = 1;
  int left;

  if (curl_multi_add_handle (platform->multi, platform->easy) != CURLM_OK)
    return false;
  while (!atomic_load (&platform->interrupted)
         && curl_multi_perform (platform->multi, &running) == CURLM_OK
         && running > 0)
    curl_multi_poll (platform->multi, NULL, 0, POLL_MAX_MS, NULL);
  while ((message = curl_multi_info_read (platform->multi, &left)))
    if (message->msg == CURLMSG_DONE)
      result = message->data.result;
  curl_multi_remove_handle (platform->multi, platform->easy);
  return result == CURLE_OK;
}

/* Counts the HTTP bytes in both directions including headers, but without
   TCP/IP overhead.  A truncated response counts as far as it was read.  */
static void
count_bytes (platform_t *platform, long sent_bytes, const exchange_t *x)
{
  curl_off_t uploaded = 0;
  long header_bytes = 0;

  curl_easy_getinfo (platform->easy, CURLINFO_SIZE_UPLOAD_T, &uploaded);
  curl_easy_getinfo (platform->easy, CURLINFO_HEADER_SIZE, &header_bytes);
  counter_add (COUNT_LOG_BYTES_OUT, (uint64_t)sent_bytes + (uint64_t)uploaded);
  counter_add (COUNT_LOG_BYTES_IN, (uint64_t)header_bytes + x->response->len);
}

static void
exchange (platform_t *platform, const char *url, exchange_t *x)
{
  long sent_bytes = 0;

  x->status = 0;
  x->response = g_byte_array_new ();
  if (atomic_load (&platform->interrupted))
    return;
  prepare_transfer (platform, url, x);
  if (run_transfer (platform))
    curl_easy_getinfo (platform->easy, CURLINFO_RESPONSE_CODE, &x->status);
  curl_easy_getinfo (platform->easy, CURLINFO_REQUEST_SIZE, &sent_bytes);
  x->sent = sent_bytes > 0;
  count_bytes (platform, sent_bytes, x);
}

static bool
read_number_header (platform_t *platform, const char *name, uint64_t *value)
{
  struct curl_header *header;
  guint64 number;

  if (curl_easy_header (platform->easy, name, 0, CURLH_HEADER, -1, &header)
          != CURLHE_OK
      || !g_ascii_string_to_unsigned (header->value, 10, 0, UINT64_MAX,
                                      &number, NULL))
    return false;
  *value = number;
  return true;
}

static bool
decode_entry (const msgpack_object *object, log_entry_t *entry)
{
  const msgpack_object *field = object->via.array.ptr;

  if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size < 3
      || field[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER
      || field[1].type != MSGPACK_OBJECT_POSITIVE_INTEGER
      || field[1].via.u64 > INT64_MAX || field[2].type != MSGPACK_OBJECT_BIN)
    return false;
  entry->offset = field[0].via.u64;
  entry->time_ms = (int64_t)field[1].via.u64;
  entry->data = g_bytes_new (field[2].via.bin.ptr, field[2].via.bin.size);
  return true;
}

/* Offsets must be consecutive from FROM; a gap would be a lost record.  */
static bool
decode_entries (const msgpack_object *array, uint64_t from, uint32_t max,
                log_batch_t *batch)
{
  uint32_t count;

  if (array->type != MSGPACK_OBJECT_ARRAY || array->via.array.size > max)
    return false;
  count = array->via.array.size;
  batch->entries = g_new0 (log_entry_t, count);
  for (uint32_t i = 0; i < count; i++)
    {
      log_entry_t *entry = &batch->entries[i];

      if (!decode_entry (&array->via.array.ptr[i], entry))
        return false;
      batch->count++;
      if (entry->offset != from + i || entry->offset >= batch->next)
        return false;
    }
  return true;
}

static bool
decode_batch (const GByteArray *response, uint64_t from, uint32_t max,
              log_batch_t *batch)
{
  msgpack_unpacked msg;
  size_t pos = 0;
  bool ok;

  if (!pack_is_bounded (response->data, response->len))
    return false;
  msgpack_unpacked_init (&msg);
  ok = msgpack_unpack_next (&msg, (const char *)response->data, response->len,
                            &pos)
           == MSGPACK_UNPACK_SUCCESS
       && decode_entries (&msg.data, from, max, batch);
  msgpack_unpacked_destroy (&msg);
  return ok;
}

static log_status_t
classify_read (platform_t *platform, const exchange_t *x, uint64_t from,
               uint32_t max, log_batch_t *batch)
{
  bool has_bounds;

  if (x->status == 0 || x->status >= 500)
    return LOG_UNREACHABLE;
  has_bounds = read_number_header (platform, "X-Log-First", &batch->first_kept)
               && read_number_header (platform, "X-Log-Next", &batch->next);
  if (x->status == 410)
    return LOG_EXPIRED;
  if (x->status != 200 || !has_bounds || batch->first_kept > batch->next
      || !decode_batch (x->response, from, max, batch))
    return LOG_BAD_ANSWER;
  return LOG_OK;
}

log_status_t
log_read (platform_t *platform, const char *stream, uint64_t from,
          uint32_t max, uint32_t wait_ms, uint32_t timeout_ms,
          log_batch_t *batch)
{
  g_autofree char *url
      = g_strdup_printf ("%s/log/%s?from=%" PRIu64 "&max=%u&wait_ms=%u",
                         platform->url, stream, from, max, wait_ms);
  exchange_t x = { .timeout_ms = timeout_ms };
  log_status_t status;

  memset (batch, 0, sizeof *batch);
  exchange (platform, url, &x);
  status = classify_read (platform, &x, from, max, batch);
  if (status != LOG_OK && batch->entries)
    log_batch_clear (batch);
  g_byte_array_unref (x.response);
  return status;
}

static bool
decode_offset (const GByteArray *response, uint64_t *offset)
{
  json_t *json
      = json_loadb ((const char *)response->data, response->len, 0, NULL);
  const json_t *value = json_object_get (json, "offset");
  bool ok = json_is_integer (value) && json_integer_value (value) >= 0;

  if (ok)
    *offset = (uint64_t)json_integer_value (value);
  json_decref (json);
  return ok;
}

/* An append that may have reached the service and was neither confirmed nor
   refused may have taken effect, even after a 5xx status, which a proxy may
   have sent.  */
static log_status_t
classify_append (const exchange_t *x, uint64_t *offset)
{
  if (x->status == 0)
    return x->sent ? LOG_UNCERTAIN : LOG_UNREACHABLE;
  if (x->status == 200 && decode_offset (x->response, offset))
    return LOG_OK;
  if (x->status >= 400 && x->status < 500)
    return LOG_BAD_ANSWER;
  return LOG_UNCERTAIN;
}

log_status_t
log_append (platform_t *platform, const char *stream, const void *data,
            size_t len, uint32_t timeout_ms, uint64_t *offset)
{
  g_autofree char *url = g_strdup_printf ("%s/log/%s", platform->url, stream);
  exchange_t x = { .body = data, .len = len, .timeout_ms = timeout_ms };
  log_status_t status;

  exchange (platform, url, &x);
  status = classify_append (&x, offset);
  g_byte_array_unref (x.response);
  return status;
}

static bool
decode_host (const json_t *json, live_host_t *host)
{
  const char *name = json_string_value (json_object_get (json, "host"));
  const char *state = json_string_value (json_object_get (json, "state"));

  if (!name || !state)
    return false;
  if (strcmp (state, "live") == 0)
    host->state = LIVE_LIVE;
  else if (strcmp (state, "leaving") == 0)
    host->state = LIVE_LEAVING;
  else
    return false;
  host->host = g_strdup (name);
  return true;
}

static bool
decode_live (const GByteArray *response, live_list_t *list)
{
  json_t *json
      = json_loadb ((const char *)response->data, response->len, 0, NULL);
  size_t count = json_array_size (json);
  bool ok = json_is_array (json);

  list->hosts = g_new0 (live_host_t, count);
  for (size_t i = 0; ok && i < count; i++)
    {
      ok = decode_host (json_array_get (json, i), &list->hosts[i]);
      list->count += ok;
    }
  json_decref (json);
  if (!ok)
    live_list_clear (list);
  return ok;
}

log_status_t
host_reboot (platform_t *platform, const char *host, uint64_t token,
             uint32_t timeout_ms)
{
  g_autofree char *url = g_strdup_printf ("%s/hosts/%s/reboot?token=%" PRIu64,
                                          platform->url, host, token);
  exchange_t x = { .body = "", .timeout_ms = timeout_ms };
  log_status_t status;

  exchange (platform, url, &x);
  if (x.status == 200)
    status = LOG_OK;
  else
    status = x.status == 0 || x.status >= 500 ? LOG_UNCERTAIN : LOG_BAD_ANSWER;
  g_byte_array_unref (x.response);
  return status;
}

log_status_t
live_read (platform_t *platform, uint32_t timeout_ms, live_list_t *list)
{
  g_autofree char *url = g_strdup_printf ("%s/live", platform->url);
  exchange_t x = { .timeout_ms = timeout_ms };
  log_status_t status = LOG_OK;

  memset (list, 0, sizeof *list);
  exchange (platform, url, &x);
  if (x.status == 0 || x.status >= 500)
    status = LOG_UNREACHABLE;
  else if (x.status != 200 || !decode_live (x.response, list))
    status = LOG_BAD_ANSWER;
  g_byte_array_unref (x.response);
  return status;
}

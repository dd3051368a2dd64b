#include "devstore.h"
#include <arpa/inet.h>
#include <inttypes.h>
#include <jansson.h>
#include <microhttpd.h>
#include <msgpack.h>
#include <string.h>

#define BODY_BYTES_MAX (8 * 1024 * 1024)
#define WAIT_MAX_MS 60000
#define BATCH_MAX 10000

struct devlog
{
  struct MHD_Daemon *http;
  devstore_t *store;
};

/* An HTTP request.  */
typedef struct request
{
  devlog_t *devlog;
  struct MHD_Connection *connection;
  const char *method;
  const char *path;
  GByteArray *body;
} request_t;

static enum MHD_Result
send_response (const request_t *request, unsigned int status,
               struct MHD_Response *response)
{
  enum MHD_Result result
      = MHD_queue_response (request->connection, status, response);

  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
send_text (const request_t *request, unsigned int status, const char *text)
{
  return send_response (
      request, status,
      MHD_create_response_from_buffer (strlen (text), (void *)text,
                                       MHD_RESPMEM_MUST_COPY));
}

static enum MHD_Result
send_json (const request_t *request, json_t *json)
{
  char *text = json_dumps (json, JSON_COMPACT);
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (text), text, MHD_RESPMEM_MUST_FREE);

  json_decref (json);
  MHD_add_response_header (response, "Content-Type", "application/json");
  return send_response (request, MHD_HTTP_OK, response);
}

/* Reads the query argument NAME, at most MAX; FALLBACK when it is absent.
   False when it is not a number.  */
static bool
get_uint_argument (const request_t *request, const char *name, uint64_t max,
                   uint64_t fallback, uint64_t *value)
{
  const char *text = MHD_lookup_connection_value (request->connection,
                                                  MHD_GET_ARGUMENT_KIND, name);
  guint64 number;

  *value = fallback;
  if (!text)
    return true;
  if (!g_ascii_string_to_unsigned (text, 10, 0, UINT64_MAX, &number, NULL))
    return false;
  *value = MIN (number, max);
  return true;
}

static struct MHD_Response *
encode_batch (const log_batch_t *batch)
{
  msgpack_sbuffer buf;
  msgpack_packer pk;
  size_t len;

  msgpack_sbuffer_init (&buf);
  msgpack_packer_init (&pk, &buf, msgpack_sbuffer_write);
  msgpack_pack_array (&pk, batch->count);
  for (uint32_t i = 0; i < batch->count; i++)
    {
      gsize size;
      const void *data = g_bytes_get_data (batch->entries[i].data, &size);

      msgpack_pack_array (&pk, 3);
      msgpack_pack_uint64 (&pk, batch->entries[i].offset);
      msgpack_pack_int64 (&pk, batch->entries[i].time_ms);
      msgpack_pack_bin_with_body (&pk, data, size);
    }
  len = buf.size;
  return MHD_create_response_from_buffer (len, msgpack_sbuffer_release (&buf),
                                          MHD_RESPMEM_MUST_FREE);
}

static void
add_number_header (struct MHD_Response *response, const char *name,
                   uint64_t value)
{
  char text[24];

  g_snprintf (text, sizeof text, "%" PRIu64, value);
  MHD_add_response_header (response, name, text);
}

static enum MHD_Result
serve_read (const request_t *request, const char *stream)
{
  struct MHD_Response *response;
  log_batch_t batch;
  uint64_t from;
  uint64_t max;
  uint64_t wait_ms;
  log_status_t status;
  unsigned int code;

  if (!get_uint_argument (request, "from", UINT64_MAX, 0, &from)
      || !get_uint_argument (request, "max", BATCH_MAX, BATCH_MAX, &max)
      || !get_uint_argument (request, "wait_ms", WAIT_MAX_MS, 0, &wait_ms))
    return send_text (request, MHD_HTTP_BAD_REQUEST, "expected numbers\n");
  status = devstore_read (request->devlog->store, stream, from, (uint32_t)max,
                          (uint32_t)wait_ms, &batch);
  if (status == LOG_UNREACHABLE || !devstore_delay (request->devlog->store))
    {
      log_batch_clear (&batch);
      return send_text (request, MHD_HTTP_SERVICE_UNAVAILABLE, "down\n");
    }
  response = encode_batch (&batch);
  add_number_header (response, "X-Log-First", batch.first_kept);
  add_number_header (response, "X-Log-Next", batch.next);
  log_batch_clear (&batch);
  code = status == LOG_EXPIRED ? MHD_HTTP_GONE : MHD_HTTP_OK;
  return send_response (request, code, response);
}

static enum MHD_Result
serve_append (const request_t *request, const char *stream)
{
  g_autoptr (GBytes) data
      = g_bytes_new (request->body->data, request->body->len);
  uint64_t offset = 0;

  /* MHD_NO closes the connection without a response.  */
  if (devstore_append (request->devlog->store, stream, data, &offset)
          == APPEND_UNANSWERED
      || !devstore_delay (request->devlog->store))
    return MHD_NO;
  return send_json (request,
                    json_pack ("{s:I}", "offset", (json_int_t)offset));
}

static enum MHD_Result
serve_live (const request_t *request)
{
  json_t *array = json_array ();
  live_list_t list;

  if (!devstore_delay (request->devlog->store))
    {
      json_decref (array);
      return send_text (request, MHD_HTTP_SERVICE_UNAVAILABLE, "down\n");
    }
  devstore_live (request->devlog->store, &list);
  for (uint32_t i = 0; i < list.count; i++)
    json_array_append_new (
        array,
        json_pack ("{s:s,s:s}", "host", list.hosts[i].host, "state",
                   list.hosts[i].state == LIVE_LEAVING ? "leaving" : "live"));
  live_list_clear (&list);
  return send_json (request, array);
}

static uint32_t
get_uint_field (const json_t *json, const char *name)
{
  json_int_t value = json_integer_value (json_object_get (json, name));

  return (uint32_t)CLAMP (value, 0, UINT32_MAX);
}

static enum MHD_Result
serve_faults (const request_t *request)
{
  json_t *json = json_loadb ((const char *)request->body->data,
                             request->body->len, JSON_REJECT_DUPLICATES, NULL);
  devlog_faults_t faults = { 0 };

  if (!json_is_object (json))
    {
      json_decref (json);
      return send_text (request, MHD_HTTP_BAD_REQUEST, "expected an object\n");
    }
  faults.down = json_is_true (json_object_get (json, "down"));
  faults.delay_ms = get_uint_field (json, "delay_ms");
  faults.lose_answers = get_uint_field (json, "lose_answers");
  faults.drop_appends = get_uint_field (json, "drop_appends");
  faults.retain = get_uint_field (json, "retain");
  faults.reboot_ms = get_uint_field (json, "reboot_ms");
  faults.live_lag_ms = get_uint_field (json, "live_lag_ms");
  json_decref (json);
  devstore_set_faults (request->devlog->store, &faults);
  return send_text (request, MHD_HTTP_OK, "ok\n");
}

static enum MHD_Result
serve_host_change (const request_t *request, const char *host)
{
  static const char *const names[] = { [CHANGE_LIVE] = "live",
                                       [CHANGE_LEAVING] = "leaving",
                                       [CHANGE_GONE] = "gone" };

  for (live_change_t change = CHANGE_LIVE; change <= CHANGE_GONE; change++)
    if (request->body->len == strlen (names[change])
        && memcmp (request->body->data, names[change], request->body->len)
               == 0)
      {
        devstore_change_host (request->devlog->store, host, change);
        return send_text (request, MHD_HTTP_OK, "ok\n");
      }
  return send_text (request, MHD_HTTP_BAD_REQUEST,
                    "expected live, leaving or gone\n");
}

/* The rest of PATH after PREFIX, or NULL if it is not a single segment.  */
static const char *
segment_after (const char *path, const char *prefix)
{
  const char *name;

  if (!g_str_has_prefix (path, prefix))
    return NULL;
  name = path + strlen (prefix);
  return name[0] && !strchr (name, '/') ? name : NULL;
}

/* POST /hosts/HOST/reboot?token=N  */
static enum MHD_Result
serve_reboot (const request_t *request)
{
  const char *token = MHD_lookup_connection_value (
      request->connection, MHD_GET_ARGUMENT_KIND, "token");
  g_auto (GStrv) parts = g_strsplit (request->path, "/", 0);
  uint64_t number;

  if (g_strv_length (parts) != 4 || strcmp (parts[3], "reboot") != 0 || !token
      || !g_ascii_string_to_unsigned (token, 10, 0, UINT64_MAX, &number, NULL))
    return send_text (request, MHD_HTTP_BAD_REQUEST,
                      "expected /hosts/HOST/reboot?token=N\n");
  devstore_reboot (request->devlog->store, parts[2], number);
  return send_text (request, MHD_HTTP_OK, "rebooting\n");
}

static void
add_reboots (const char *host, uint32_t count, void *context)
{
  json_object_set_new (context, host, json_integer (count));
}

static enum MHD_Result
serve_reboots (const request_t *request)
{
  json_t *hosts = json_object ();

  devstore_reboots (request->devlog->store, add_reboots, hosts);
  return send_json (request, json_pack ("{s:i,s:o}", "rebooted",
                                        (int)json_object_size (hosts),
                                        "reboots", hosts));
}

static enum MHD_Result
dispatch (const request_t *request)
{
  const char *stream = segment_after (request->path, "/log/");
  const char *host = segment_after (request->path, "/live/");

  if (strcmp (request->method, "PUT") == 0)
    {
      if (strcmp (request->path, "/faults") == 0)
        return serve_faults (request);
      if (host)
        return serve_host_change (request, host);
    }
  if (strcmp (request->method, "GET") == 0
      && strcmp (request->path, "/reboots") == 0)
    return serve_reboots (request);
  if (!devstore_is_up (request->devlog->store))
    return send_text (request, MHD_HTTP_SERVICE_UNAVAILABLE, "down\n");
  if (strcmp (request->method, "POST") == 0 && stream)
    return serve_append (request, stream);
  if (strcmp (request->method, "GET") == 0 && stream)
    return serve_read (request, stream);
  if (strcmp (request->method, "GET") == 0
      && strcmp (request->path, "/live") == 0)
    return serve_live (request);
  if (strcmp (request->method, "POST") == 0
      && g_str_has_prefix (request->path, "/hosts/"))
    return serve_reboot (request);
  return send_text (request, MHD_HTTP_NOT_FOUND, "no such call\n");
}

static enum MHD_Result
handle_request (void *context, struct MHD_Connection *connection,
                const char *path, const char *method, const char *version,
                const char *data, size_t *len, void **con_cls)
{
  request_t *request = *con_cls;

  (void)version;
  if (!request)
    {
      request = g_new0 (request_t, 1);
      request->devlog = context;
      request->connection = connection;
      request->body = g_byte_array_new ();
      *con_cls = request;
      return MHD_YES;
    }
  if (*len > 0)
    {
      if (request->body->len + *len > BODY_BYTES_MAX)
        return MHD_NO;
      g_byte_array_append (request->body, (const guint8 *)data, (guint)*len);
      *len = 0;
      return MHD_YES;
    }
  request->path = path;
  request->method = method;
  return dispatch (request);
}

static void
request_completed (void *context, struct MHD_Connection *connection,
                   void **con_cls, enum MHD_RequestTerminationCode reason)
{
  request_t *request = *con_cls;

  (void)context;
  (void)connection;
  (void)reason;
  if (!request)
    return;
  g_byte_array_unref (request->body);
  g_free (request);
  *con_cls = NULL;
}

devlog_t *
devlog_start (const char *address, uint16_t port)
{
  struct sockaddr_in addr
      = { .sin_family = AF_INET, .sin_port = htons (port) };
  devlog_t *devlog;

  if (inet_pton (AF_INET, address, &addr.sin_addr) != 1)
    return NULL;
  devlog = g_new0 (devlog_t, 1);
  devlog->store = devstore_new ();
  devlog->http = MHD_start_daemon (
      MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD
          | MHD_USE_POLL,
      port, NULL, NULL, handle_request, devlog, MHD_OPTION_SOCK_ADDR, &addr,
      MHD_OPTION_NOTIFY_COMPLETED, request_completed, NULL, MHD_OPTION_END);
  if (devlog->http)
    return devlog;
  devstore_free (devlog->store);
  g_free (devlog);
  return NULL;
}

uint16_t
devlog_port (const devlog_t *devlog)
{
  const union MHD_DaemonInfo *info
      = MHD_get_daemon_info (devlog->http, MHD_DAEMON_INFO_BIND_PORT);

  return info ? info->port : 0;
}

void
devlog_set_faults (devlog_t *devlog, const devlog_faults_t *faults)
{
  devstore_set_faults (devlog->store, faults);
}

void
devlog_stop (devlog_t *devlog)
{
  if (!devlog)
    return;
  devstore_stop (devlog->store);
  MHD_stop_daemon (devlog->http);
  devstore_free (devlog->store);
  g_free (devlog);
}

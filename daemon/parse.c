#include "daemon.h"
#include <sodium.h>
#include <string.h>

#define PREFIX "/v1/"
#define DEADLINE_MS_MAX 3600000

/* Not forwarded to upstreams: hop-by-hop headers, and those that cuminpin
   itself reads or sets.  */
static const char *const unforwarded_headers[] = {
  "Authorization", "Connection",        "Content-Length",   "Expect",
  "Host",          "Keep-Alive",        "Proxy-Connection", "TE",
  "Trailer",       "Transfer-Encoding", "Upgrade",          "X-Deadline-Ms",
  "X-Idempotent",  "X-Request-Id",      "X-Team",
};

req_t *
parse_begin (loop_t *loop, const char *uri)
{
  req_t *req = g_slice_new0 (req_t);

  req->loop = loop;
  req->uri = g_strdup (uri);
  return req;
}

void
parse_free (req_t *req)
{
  reply_clear (&req->reply);
  curl_slist_free_all (req->headers);
  if (req->body)
    g_byte_array_unref (req->body);
  g_free (req->key);
  g_free (req->method);
  g_free (req->uri);
  g_slice_free (req_t, req);
}

static bool
is_unforwarded_header (const char *name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (unforwarded_headers); i++)
    if (g_ascii_strcasecmp (unforwarded_headers[i], name) == 0)
      return true;
  return false;
}

static enum MHD_Result
collect_header (void *cls, enum MHD_ValueKind kind, const char *name,
                const char *value)
{
  req_t *req = cls;
  char line[HEADER_BYTES_MAX];

  (void)kind;
  if (!value || is_unforwarded_header (name))
    return MHD_YES;
  /* libcurl sends a header without a value only if the line ends in ";".  */
  g_snprintf (line, sizeof line, value[0] ? "%s: %s" : "%s;", name, value);
  req->headers = curl_slist_append (req->headers, line);
  return MHD_YES;
}

static bool
parse_service (req_t *req)
{
  const char *name = req->uri + strlen (PREFIX);
  size_t len;

  if (!g_str_has_prefix (req->uri, PREFIX))
    return false;
  len = strcspn (name, "/?");
  if (len == 0 || len >= sizeof req->service_name)
    return false;
  memcpy (req->service_name, name, len);
  req->path = name + len;
  return true;
}

static bool
id_is_valid (const char *id)
{
  size_t len = strlen (id);

  if (len == 0 || len >= ID_BYTES)
    return false;
  for (const char *c = id; *c; c++)
    if (!g_ascii_isalnum (*c) && !strchr ("-_.:", *c))
      return false;
  return true;
}

static err_kind_t
parse_id (req_t *req, const char *text)
{
  uint8_t random[16];

  if (text && !id_is_valid (text))
    return ERR_BAD_REQUEST;
  if (text)
    {
      g_strlcpy (req->id, text, sizeof req->id);
      return ERR_NONE;
    }
  randombytes_buf (random, sizeof random);
  sodium_bin2hex (req->id, sizeof req->id, random, sizeof random);
  return ERR_NONE;
}

static bool
parse_deadline (req_t *req, const char *text)
{
  uint64_t value;

  if (!text)
    return true;
  if (!g_ascii_string_to_unsigned (text, 10, 1, DEADLINE_MS_MAX, &value, NULL))
    return false;
  req->deadline_ms = (uint32_t)value;
  return true;
}

/* Any other value than yes and no is refused: taken for yes, it could run a
   request twice that its client meant to run once.  */
static bool
parse_idempotent (req_t *req, const char *text)
{
  req->idempotent = !text || g_ascii_strcasecmp (text, "yes") == 0;
  return req->idempotent || g_ascii_strcasecmp (text, "no") == 0;
}

/* The key in "Bearer KEY"; NULL when there is none.  */
static char *
parse_key (const char *text)
{
  if (!text || g_ascii_strncasecmp (text, "Bearer ", 7) != 0)
    return NULL;
  return g_strstrip (g_strdup (text + 7));
}

err_kind_t
parse_headers (req_t *req, struct MHD_Connection *conn, const char *method,
               uint32_t body_max_kib, int64_t now_us)
{
  const char *length
      = MHD_lookup_connection_value (conn, MHD_HEADER_KIND, "Content-Length");
  const char *id
      = MHD_lookup_connection_value (conn, MHD_HEADER_KIND, "X-Request-Id");
  err_kind_t error;

  req->conn = conn;
  req->method = g_strdup (method);
  req->arrived_us = now_us;
  if (!parse_service (req))
    return ERR_NO_SERVICE;
  error = parse_id (req, id);
  if (error != ERR_NONE)
    return error;
  if (!parse_idempotent (req, MHD_lookup_connection_value (
                                  conn, MHD_HEADER_KIND, "X-Idempotent")))
    return ERR_BAD_REQUEST;
  if (!req->idempotent && (!id || !dedup_parse (id, &req->dedup_id)))
    return ERR_ID_INVALID;
  if (!parse_deadline (req, MHD_lookup_connection_value (conn, MHD_HEADER_KIND,
                                                         "X-Deadline-Ms")))
    return ERR_BAD_REQUEST;
  if (length
      && g_ascii_strtoull (length, NULL, 10) > (uint64_t)body_max_kib * 1024)
    return ERR_BODY_TOO_LARGE;
  req->key = parse_key (
      MHD_lookup_connection_value (conn, MHD_HEADER_KIND, "Authorization"));
  MHD_get_connection_values (conn, MHD_HEADER_KIND, collect_header, req);
  return ERR_NONE;
}

err_kind_t
parse_body (req_t *req, const char *data, size_t len, uint32_t body_max_kib)
{
  if (!req->body)
    req->body = g_byte_array_new ();
  if (req->body->len + len > (size_t)body_max_kib * 1024)
    {
      /* The server reads the rest before the response.  */
      g_clear_pointer (&req->body, g_byte_array_unref);
      return ERR_BODY_TOO_LARGE;
    }
  g_byte_array_append (req->body, (const uint8_t *)data, (guint)len);
  return ERR_NONE;
}

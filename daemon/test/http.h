/* http - a server on a loopback port that runs the parse and response stages,
   and a client for it.  One request at a time.  */

#ifndef CUMINPIN_TEST_HTTP_H
#define CUMINPIN_TEST_HTTP_H

#include "../../test/run_suite.h"
#include "daemon.h"
#include <arpa/inet.h>
#include <string.h>

#define HTTP_BODY_KIB 1

/* The response as received by the client.  */
typedef struct http_reply
{
  long status;
  GString *head; /* header lines as received */
  GString *body;
} http_reply_t;

typedef struct http
{
  struct MHD_Daemon *server;
  uint16_t port;
  req_t *req; /* the last request; freed by the next call */
  err_kind_t parsed;
  /* Fills in the response to a parsed request; NULL: an empty one.  */
  void (*fill) (req_t *req);
  bool closing;
} http_t;

static http_t http;

static inline void *
http_begin (void *cls, const char *uri, struct MHD_Connection *conn)
{
  (void)cls;
  (void)conn;
  http.req = parse_begin (NULL, uri);
  return http.req;
}

static inline enum MHD_Result
http_access (void *cls, struct MHD_Connection *conn, const char *url,
             const char *method, const char *version, const char *data,
             size_t *len, void **ctx)
{
  req_t *req = *ctx;

  (void)cls;
  (void)url;
  (void)version;
  if (!req->conn)
    {
      http.parsed = parse_headers (req, conn, method, HTTP_BODY_KIB, 1000);
      if (http.parsed == ERR_NONE)
        return MHD_YES;
    }
  else if (*len > 0)
    {
      if (http.parsed == ERR_NONE)
        http.parsed = parse_body (req, data, *len, HTTP_BODY_KIB);
      *len = 0;
      return MHD_YES;
    }
  req->error = http.parsed;
  req->reply.status = 200;
  if (http.fill)
    http.fill (req);
  return response_queue (req, conn, http.closing);
}

static inline void
http_start (void)
{
  struct sockaddr_in addr
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  const union MHD_DaemonInfo *info;

  curl_global_init (CURL_GLOBAL_DEFAULT);
  http.server = MHD_start_daemon (
      MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL, NULL, http_access, NULL,
      MHD_OPTION_SOCK_ADDR, &addr, MHD_OPTION_URI_LOG_CALLBACK, http_begin,
      NULL, MHD_OPTION_END);
  ck_assert_ptr_nonnull (http.server);
  info = MHD_get_daemon_info (http.server, MHD_DAEMON_INFO_BIND_PORT);
  http.port = info->port;
}

static inline void
http_stop (void)
{
  MHD_stop_daemon (http.server);
  g_clear_pointer (&http.req, parse_free);
}

static inline size_t
http_append (char *data, size_t size, size_t count, void *ctx)
{
  g_string_append_len (ctx, data, (gssize)(size * count));
  return size * count;
}

/* Sends METHOD for PATH with the NULL-terminated HEADERS and BODY, if any.  */
static inline http_reply_t
http_request (const char *method, const char *path, const char *const *headers,
              const char *body)
{
  g_autofree char *url
      = g_strdup_printf ("http://127.0.0.1:%u%s", http.port, path);
  http_reply_t reply = { 0, g_string_new (NULL), g_string_new (NULL) };
  struct curl_slist *list = NULL;
  CURL *easy = curl_easy_init ();

  g_clear_pointer (&http.req, parse_free);
  for (; headers && *headers; headers++)
    list = curl_slist_append (list, *headers);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_PATH_AS_IS, 1L);
  if (body)
    curl_easy_setopt (easy, CURLOPT_POSTFIELDS, body);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, method);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, list);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, 10000L);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, http_append);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, reply.head);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, http_append);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, reply.body);
  ck_assert_int_eq (curl_easy_perform (easy), CURLE_OK);
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &reply.status);
  curl_easy_cleanup (easy);
  curl_slist_free_all (list);
  return reply;
}

/* Whether REPLY has the header LINE, given without its line end.  */
static inline bool
http_has_header (const http_reply_t *reply, const char *line)
{
  g_autofree char *full_line = g_strdup_printf ("\r\n%s\r\n", line);

  return strstr (reply->head->str, full_line) != NULL;
}

static inline void
http_reply_clear (http_reply_t *reply)
{
  g_string_free (reply->head, TRUE);
  g_string_free (reply->body, TRUE);
}

G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (http_reply_t, http_reply_clear)

#endif

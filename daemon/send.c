#include "loop.h"
#include <string.h>

#define CONNECT_TIMEOUT_MS 1000

/* Not forwarded to clients: hop-by-hop headers of the upstream, and those that
   the HTTP server sets itself.  */
static const char *const hop_headers[] = {
  "Connection", "Content-Length",    "Date",
  "Keep-Alive", "Proxy-Connection",  "TE",
  "Trailer",    "Transfer-Encoding", "Upgrade",
};

void
reply_clear (reply_t *reply)
{
  curl_slist_free_all (reply->headers);
  if (reply->body)
    g_byte_array_unref (reply->body);
  memset (reply, 0, sizeof *reply);
}

static bool
is_hop_header (const char *name, size_t len)
{
  for (size_t i = 0; i < G_N_ELEMENTS (hop_headers); i++)
    if (strlen (hop_headers[i]) == len
        && g_ascii_strncasecmp (hop_headers[i], name, len) == 0)
      return true;
  return false;
}

static bool
header_is (const char *name, size_t len, const char *wanted)
{
  return strlen (wanted) == len
         && g_ascii_strncasecmp (name, wanted, len) == 0;
}

static void
parse_header (reply_t *reply, const char *line, size_t name_len,
              const char *value)
{
  if (header_is (line, name_len, "X-Request-Id"))
    g_strlcpy (reply->id, value, sizeof reply->id);
  else if (header_is (line, name_len, "X-Not-Run"))
    reply->not_run = strcmp (value, "1") == 0;
  else if (header_is (line, name_len, "X-Leaving"))
    reply->leaving = strcmp (value, "1") == 0;
  else if (header_is (line, name_len, "Content-Length")
           || header_is (line, name_len, "Transfer-Encoding"))
    reply->has_length = true;
}

static size_t
on_header (char *data, size_t size, size_t count, void *ctx)
{
  reply_t *reply = ctx;
  size_t len = size * count;
  char line[HEADER_BYTES_MAX];
  char *colon;
  char *value;

  if (len >= sizeof line)
    return 0;
  memcpy (line, data, len);
  line[len] = '\0';
  g_strchomp (line);
  if (g_str_has_prefix (line, "HTTP/"))
    {
      /* Discards the header of an interim response (1xx).  */
      reply_clear (reply);
      return len;
    }
  colon = strchr (line, ':');
  if (!colon)
    return len;
  value = colon + 1;
  value += strspn (value, " \t");
  parse_header (reply, line, (size_t)(colon - line), value);
  if (!is_hop_header (line, (size_t)(colon - line)))
    reply->headers = curl_slist_append (reply->headers, line);
  return len;
}

static size_t
on_body (char *data, size_t size, size_t count, void *ctx)
{
  reply_t *reply = ctx;
  size_t len = size * count;

  if (!reply->body)
    reply->body = g_byte_array_sized_new ((guint)len);
  if (reply->body->len + len > RESPONSE_BYTES_MAX)
    return 0;
  g_byte_array_append (reply->body, (const uint8_t *)data, (guint)len);
  return len;
}

/* A handle keeps its options between transfers, so each option is set for each
   transfer.  */
static void
set_method (CURL *easy, const req_t *req)
{
  bool head = strcmp (req->method, "HEAD") == 0;
  bool get = strcmp (req->method, "GET") == 0;

  curl_easy_setopt (easy, CURLOPT_HTTPGET, 1L);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, NULL);
  if (head)
    curl_easy_setopt (easy, CURLOPT_NOBODY, 1L);
  else if (req->body)
    {
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE, (long)req->body->len);
      curl_easy_setopt (easy, CURLOPT_POSTFIELDS, req->body->data);
    }
  if (!head && (!get || req->body))
    curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, req->method);
}

/* From the first try on, the headers set by cuminpin stand first in
   req->headers; a later try only replaces the remaining time.  */
static void
set_headers (req_t *req, int64_t left_ms)
{
  struct curl_slist *own = NULL;
  struct curl_slist *last;
  char line[ID_BYTES + 32];

  g_snprintf (line, sizeof line, "X-Deadline-Ms: %" PRId64, left_ms);
  if (req->tries > 0)
    {
      own = req->headers;
      free (own->data);
      own->data = strdup (line);
      return;
    }
  own = curl_slist_append (NULL, line);
  g_snprintf (line, sizeof line, "X-Request-Id: %s", req->id);
  curl_slist_append (own, line);
  curl_slist_append (own, "Expect:");
  if (req->team)
    {
      g_snprintf (line, sizeof line, "X-Team: %s", req->team->name);
      curl_slist_append (own, line);
    }
  if (req->body && !req->headers)
    curl_slist_append (own, "Content-Type:");
  for (last = own; last->next; last = last->next)
    ;
  last->next = req->headers;
  req->headers = own;
}

/* Called before libcurl sends a request.  It sends it again by itself when a
   reused connection ends before the response.  That is left to the retries of
   the request: the first upstream may have run it, and a rejection of the
   second request would be taken for proof that it did not run.  libcurl
   defines the signature.  */
/* NOLINTBEGIN(readability-non-const-parameter) */
static int
on_pre_request (void *cls, char *peer, char *self, int peer_port,
                int self_port)
{
  req_t *req = cls;

  (void)peer;
  (void)self;
  (void)peer_port;
  (void)self_port;
  if (req->try_begun)
    return CURL_PREREQFUNC_ABORT;
  req->try_begun = true;
  return CURL_PREREQFUNC_OK;
}
/* NOLINTEND(readability-non-const-parameter) */

void
send_start (loop_t *loop, req_t *req, int64_t now_us)
{
  int64_t left_ms = MAX (1, (req->deadline_us - now_us) / 1000);
  g_autofree char *url = g_strconcat (
      req->base_url, req->path[0] == '/' ? "" : "/", req->path, NULL);
  CURL *easy = transfer_acquire_easy (loop);

  req->easy = easy;
  req->stage = REQ_SENT;
  req->sent_us = now_us;
  req->try_begun = false;
  reply_clear (&req->reply);
  set_headers (req, left_ms);
  req->tried[req->tries++] = req->upstream;
  curl_easy_setopt (easy, CURLOPT_PRIVATE, req);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, req->headers);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, &req->reply);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, &req->reply);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long)left_ms);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS,
                    (long)MIN (left_ms, CONNECT_TIMEOUT_MS));
  curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, on_pre_request);
  curl_easy_setopt (easy, CURLOPT_PREREQDATA, req);
  set_method (easy, req);
  /* A reused connection may turn out to be closed; a request that is not
     idempotent could then not be sent again.  */
  curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT, req->idempotent ? 0L : 1L);
  counter_add (COUNT_SENT, 1);
  curl_multi_add_handle (loop->multi, easy);
}

void
send_cancel (loop_t *loop, req_t *req)
{
  if (req->easy)
    transfer_release_easy (loop, g_steal_pointer (&req->easy));
}

/* Whether the transfer ended before a byte of the request was sent.  */
static bool
nothing_sent (const req_t *req, CURLcode code)
{
  return !req->try_begun
         && (code == CURLE_COULDNT_CONNECT
             || code == CURLE_OPERATION_TIMEDOUT);
}

static try_result_t
check_reply (req_t *req)
{
  const reply_t *reply = &req->reply;
  bool bodyless = reply->status == 204 || reply->status == 304
                  || strcmp (req->method, "HEAD") == 0;

  if (!req->skip_id_match && strcmp (reply->id, req->id) != 0)
    {
      req->error = ERR_ANSWER_MISMATCHED;
      return TRY_BAD_ANSWER;
    }
  if (!reply->has_length && !bodyless)
    {
      req->error = ERR_ANSWER_TRUNCATED;
      return TRY_BAD_ANSWER;
    }
  if (reply->status == 503 && reply->not_run)
    {
      req->error = ERR_UPSTREAM_REFUSED;
      return TRY_REFUSED;
    }
  req->error = ERR_NONE;
  return reply->status >= 500 ? TRY_FAILED : TRY_ANSWERED;
}

try_result_t
send_result (req_t *req, CURLcode code)
{
  long status = 0;
  try_result_t result;

  curl_easy_getinfo (req->easy, CURLINFO_RESPONSE_CODE, &status);
  req->reply.status = (uint32_t)status;
  if (code == CURLE_OK)
    return check_reply (req);
  if (nothing_sent (req, code))
    result = TRY_CONNECT_FAILED;
  else if (code == CURLE_OPERATION_TIMEDOUT)
    result = TRY_TIMED_OUT;
  else if (code == CURLE_PARTIAL_FILE || code == CURLE_WRITE_ERROR
           || code == CURLE_WEIRD_SERVER_REPLY)
    result = TRY_BAD_ANSWER;
  else
    result = TRY_CONNECTION_LOST;
  req->error
      = result == TRY_BAD_ANSWER ? ERR_ANSWER_TRUNCATED : try_error (result);
  return result;
}

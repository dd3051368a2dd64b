/* Guards against refusals without the status and headers that tell the outcome
   of the request, and against responses that differ from the upstream's.  */

#include "http.h"
#include <jansson.h>

static err_kind_t kind;

static void
refuse (req_t *req)
{
  req->error = kind;
}

static void
assert_refusal (const http_reply_t *reply,
                const err_response_t *error_response)
{
  g_autofree char *error
      = g_strdup_printf ("X-Error: %s", error_response->name);
  g_autofree char *outcome = g_strdup_printf (
      "X-Outcome: %s", outcome_name (error_response->outcome));
  g_autofree char *retry
      = g_strdup_printf ("Retry-After: %u", error_response->retry_after_s);
  json_t *body = json_loads (reply->body->str, 0, NULL);
  const char *fields[4] = { NULL };

  ck_assert_msg (reply->status == error_response->status, "%s: status %ld",
                 error_response->name, reply->status);
  ck_assert_msg (http_has_header (reply, error), "%s: X-Error",
                 error_response->name);
  ck_assert_msg (http_has_header (reply, outcome), "%s: X-Outcome",
                 error_response->name);
  ck_assert (http_has_header (reply, "X-Request-Id: r1"));
  ck_assert (http_has_header (reply, "Content-Type: application/json"));
  if (error_response->retry_after_s)
    ck_assert_msg (http_has_header (reply, retry), "%s: Retry-After",
                   error_response->name);
  else
    ck_assert_msg (!strstr (reply->head->str, "Retry-After"), "%s",
                   error_response->name);
  ck_assert_int_eq (json_unpack (body, "{s:s, s:s, s:s, s:s}", "error",
                                 &fields[0], "outcome", &fields[1], "text",
                                 &fields[2], "request_id", &fields[3]),
                    0);
  ck_assert_str_eq (fields[0], error_response->name);
  ck_assert_str_eq (fields[1], outcome_name (error_response->outcome));
  ck_assert_str_eq (fields[2], error_response->text);
  ck_assert_str_eq (fields[3], "r1");
  json_decref (body);
}

START_TEST (error_kinds_map_to_status_and_headers)
{
  static const char *const headers[] = { "X-Request-Id: r1", NULL };

  http.fill = refuse;
  for (kind = ERR_NONE + 1; kind < ERR_KIND_COUNT; kind++)
    {
      g_auto (http_reply_t) reply
          = http_request ("GET", "/v1/s", headers, NULL);

      assert_refusal (&reply, err_response (kind));
    }
}
END_TEST

static void
fill_response (req_t *req)
{
  req->reply.status = 418;
  req->reply.headers = curl_slist_append (NULL, "X-One: a: b");
  req->reply.headers
      = curl_slist_append (req->reply.headers, "X-Request-Id:r1");
  req->reply.headers = curl_slist_append (req->reply.headers, "X-One: c");
  req->reply.body = g_byte_array_new ();
  g_byte_array_append (req->reply.body, (const uint8_t *)"a\0b", 3);
}

static http_reply_t
request_with (void (*fill) (req_t *req))
{
  http.fill = fill;
  return http_request ("GET", "/v1/s", NULL, NULL);
}

START_TEST (upstream_response_is_forwarded_unchanged)
{
  g_auto (http_reply_t) reply = request_with (fill_response);

  ck_assert_int_eq (reply.status, 418);
  ck_assert (http_has_header (&reply, "X-One: a: b"));
  ck_assert (http_has_header (&reply, "X-One: c"));
  ck_assert (http_has_header (&reply, "X-Request-Id: r1"));
  ck_assert (http_has_header (&reply, "Content-Length: 3"));
  ck_assert (!strstr (reply.head->str, "X-Outcome"));
  ck_assert_uint_eq (reply.body->len, 3);
  ck_assert_mem_eq (reply.body->str, "a\0b", 3);
}
END_TEST

/* Guards against clients that keep connections which a stopping daemon is
   about to close.  */
START_TEST (closing_connection_is_announced)
{
  for (int closing = 0; closing < 2; closing++)
    {
      g_auto (http_reply_t) reply = { 0 };

      http.closing = closing;
      reply = request_with (NULL);
      ck_assert_int_eq (reply.status, 200);
      ck_assert_int_eq (http_has_header (&reply, "Connection: close"),
                        closing);
    }
}
END_TEST

TEST_PROGRAM_WITH ("response", http_start, http_stop,
                   error_kinds_map_to_status_and_headers,
                   upstream_response_is_forwarded_unchanged,
                   closing_connection_is_announced)

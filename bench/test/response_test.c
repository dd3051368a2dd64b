/* Guards against responses that are accepted as complete or correct although
   they are truncated, have no known length or belong to another request.  */

#include "../../test/run_suite.h"
#include "load.h"
#include <string.h>

#define ID "01890a5d-ac96-774b-bcce-b302099a8057"
#define OTHER "01890a5d-ac96-774b-bcce-b302099a8058"
#define OK "HTTP/1.1 200 OK\r\n"
#define ID_LINE "X-Request-Id: " ID "\r\n"

static response_state_t
parse (const char *text, response_t *response)
{
  return response_parse (text, strlen (text), response);
}

START_TEST (malformed_responses)
{
  static const char *const texts[] = {
    "garbage",
    "HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 20 OK\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n",
    OK "\r\n",
    OK "Content-Length: 2\r\nContent-Length: 2\r\n\r\nab",
    OK "Content-Length: -1\r\n\r\n",
    OK "Content-Length:\r\n\r\n",
    OK "Content-Length: 99999999999999999999999\r\n\r\n",
    OK "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\na",
    OK "no colon\r\nContent-Length: 0\r\n\r\n",
  };
  response_t response;

  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    ck_assert_msg (parse (texts[i], &response) == RESPONSE_MALFORMED,
                   "accepted: %s", texts[i]);
}
END_TEST

START_TEST (every_prefix_is_partial)
{
  static const char text[] = OK ID_LINE "content-length:  3 \r\n"
                                        "Connection: close\r\n"
                                        "X-Error: queue-full\r\n\r\nabc";
  response_t response;

  for (size_t len = 0; len < strlen (text); len++)
    ck_assert_msg (response_parse (text, len, &response) == RESPONSE_PARTIAL,
                   "%zu bytes", len);
  ck_assert_int_eq (parse (text, &response), RESPONSE_COMPLETE);
  ck_assert_uint_eq (response.status, 200);
  ck_assert_uint_eq (response.head_len + response.body_len, strlen (text));
  ck_assert_uint_eq (response.id_len, LOAD_ID_BYTES);
  ck_assert (response.closing);
  ck_assert_uint_eq (response.error_len, strlen ("queue-full"));
}
END_TEST

START_TEST (endless_head_is_malformed)
{
  g_autofree char *filler = g_strnfill (40000, 'a');
  g_autofree char *text = g_strconcat (OK, filler, NULL);
  response_t response;

  ck_assert_int_eq (parse (text, &response), RESPONSE_MALFORMED);
}
END_TEST

START_TEST (ids_of_header_and_body)
{
  static const struct
  {
    const char *text;
    bool matches;
  } cases[] = {
    { OK ID_LINE "Content-Length: 37\r\n\r\n" ID "\n", true },
    { OK ID_LINE "Content-Length: 37\r\n\r\n" OTHER "\n", false },
    { OK "X-Request-Id: " OTHER "\r\nContent-Length: 37\r\n\r\n" ID "\n",
      false },
    { OK "Content-Length: 37\r\n\r\n" ID "\n", false },
    { OK ID_LINE "Content-Length: 3\r\n\r\n019", false },
    { "HTTP/1.1 503 Busy\r\n" ID_LINE "Content-Length: 0\r\n\r\n", true },
    { "HTTP/1.1 503 Busy\r\nX-Request-Id: " OTHER
      "\r\nContent-Length: 0\r\n\r\n",
      false },
  };
  response_t response;

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      ck_assert_int_eq (parse (cases[i].text, &response), RESPONSE_COMPLETE);
      ck_assert_msg (response_matches (&response, cases[i].text, ID)
                         == cases[i].matches,
                     "%s", cases[i].text);
    }
}
END_TEST

int
main (void)
{
  const TTest *const tests[]
      = { malformed_responses, every_prefix_is_partial,
          endless_head_is_malformed, ids_of_header_and_body, NULL };

  return run_suite ("response", tests);
}

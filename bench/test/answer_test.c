/* Guards against answers that are taken for whole or correct when they are
   cut, of unknown length, or another request's.  */

#include "../../test/run_suite.h"
#include "load.h"
#include <string.h>

#define ID "01890a5d-ac96-774b-bcce-b302099a8057"
#define OTHER "01890a5d-ac96-774b-bcce-b302099a8058"
#define OK "HTTP/1.1 200 OK\r\n"
#define ID_LINE "X-Request-Id: " ID "\r\n"

static answer_state_t
parse (const char *text, answer_t *answer)
{
  return answer_parse (text, strlen (text), answer);
}

START_TEST (malformed_answers)
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
  answer_t answer;

  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    ck_assert_msg (parse (texts[i], &answer) == ANSWER_MALFORMED,
                   "accepted: %s", texts[i]);
}
END_TEST

START_TEST (every_prefix_is_partial)
{
  static const char text[] = OK ID_LINE "content-length:  3 \r\n"
                                        "Connection: close\r\n"
                                        "X-Error: queue-full\r\n\r\nabc";
  answer_t answer;

  for (size_t len = 0; len < strlen (text); len++)
    ck_assert_msg (answer_parse (text, len, &answer) == ANSWER_PARTIAL,
                   "%zu bytes", len);
  ck_assert_int_eq (parse (text, &answer), ANSWER_WHOLE);
  ck_assert_uint_eq (answer.status, 200);
  ck_assert_uint_eq (answer.head_len + answer.body_len, strlen (text));
  ck_assert_uint_eq (answer.id_len, LOAD_ID_BYTES);
  ck_assert (answer.closing);
  ck_assert_uint_eq (answer.error_len, strlen ("queue-full"));
}
END_TEST

START_TEST (endless_head_is_malformed)
{
  g_autofree char *filler = g_strnfill (40000, 'a');
  g_autofree char *text = g_strconcat (OK, filler, NULL);
  answer_t answer;

  ck_assert_int_eq (parse (text, &answer), ANSWER_MALFORMED);
}
END_TEST

START_TEST (ids_of_header_and_body)
{
  static const struct
  {
    const char *text;
    bool fits;
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
  answer_t answer;

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      ck_assert_int_eq (parse (cases[i].text, &answer), ANSWER_WHOLE);
      ck_assert_msg (answer_fits (&answer, cases[i].text, ID) == cases[i].fits,
                     "%s", cases[i].text);
    }
}
END_TEST

int
main (void)
{
  const TTest *const tests[]
      = { malformed_answers, every_prefix_is_partial,
          endless_head_is_malformed, ids_of_header_and_body, NULL };

  return run_suite ("answer", tests);
}

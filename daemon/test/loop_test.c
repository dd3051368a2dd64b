/* Guards against a crash, a hang or an unclear response when a client sends a
   malformed request.  */

#include "fixture.h"
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#define HEADER_BYTES (3 * HEADER_BYTES_MAX)

static loop_config_t config;
static settings_t settings = { .name = "e1",
                               .data_centre = "dc1",
                               .threads = 1,
                               .body_max_kib = 4,
                               .connections_max = 16,
                               .stop_ms = 1000 };
static struct sockaddr_in address;

static bool
start_loop (void)
{
  socklen_t len = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  config.settings = &settings;
  config.name = settings.name;
  return bind (fd, (struct sockaddr *)&address, len) == 0
         && listen (fd, 16) == 0
         && getsockname (fd, (struct sockaddr *)&address, &len) == 0
         && loop_start (&config, fd);
}

/* Returns the response to TEXT, up to the end of the connection.  */
static char *
send_raw (const char *text)
{
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  char *response = g_malloc0 (4096);
  size_t have = 0;
  ssize_t got;

  ck_assert_int_eq (connect (fd, (struct sockaddr *)&address, sizeof address),
                    0);
  /* The daemon may close while the rest of an oversized request is still being
     sent.  */
  if (send (fd, text, strlen (text), MSG_NOSIGNAL) >= 0)
    shutdown (fd, SHUT_WR);
  while (have < 4095 && (got = recv (fd, response + have, 4095 - have, 0)) > 0)
    have += (size_t)got;
  close (fd);
  return response;
}

static const struct
{
  const char *request;
  uint32_t filler; /* bytes that follow it */
  const char *status;
  const char *error;
} rows[] = {
  { "GET /v1/quote HTTP/1.1\r\nHost: x\r\n\r\n", 0, " 404 ", "no-service" },
  { "GET / HTTP/1.1\r\nHost: x\r\n\r\n", 0, " 404 ", "no-service" },
  { "GET /v1/quote HTTP/1.1\r\nHost: x\r\nX-Deadline-Ms: soon\r\n\r\n", 0,
    " 400 ", "bad-request" },
  { "GET /v1/quote HTTP/1.1\r\nHost: x\r\nX-Idempotent: no\r\n\r\n", 0,
    " 400 ", "id-invalid" },
  { "POST /v1/quote HTTP/1.1\r\nHost: x\r\nContent-Length: 4097\r\n\r\n", 4097,
    " 413 ", "body-too-large" },
  { "GET /v1/quote HTTP/1.1\r\nHost: x\r\nX-Filler: ", HEADER_BYTES, " 431 ",
    "" },
  { "no request at all\r\n\r\n", 0, "", "" },
};

START_TEST (malformed_requests_get_a_clear_response)
{
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      g_autofree char *filler = g_strnfill (rows[i].filler, 'a');
      g_autofree char *text = g_strconcat (rows[i].request, filler, NULL);
      g_autofree char *response = send_raw (text);

      ck_assert_msg (strstr (response, rows[i].status) != NULL,
                     "row %zu: expected%sfound: %s", i, rows[i].status,
                     response);
      ck_assert_msg (strstr (response, rows[i].error) != NULL,
                     "row %zu: expected %s, found: %s", i, rows[i].error,
                     response);
    }
  ck_assert_uint_eq (loop_in_flight (config.loops[0]), 0);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("loop");
  int status;

  if (!start_loop ())
    return EXIT_FAILURE;
  tcase_add_test (tests, malformed_requests_get_a_clear_response);
  status = fixture_run (tests);
  loop_stop_begin (config.loops[0]);
  loop_join (config.loops[0]);
  return status;
}

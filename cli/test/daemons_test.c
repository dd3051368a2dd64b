/* Guards against a plan that is printed without its moves, without their
   reasons, or without the reason why none is made.  */

#include "fixture.h"
#include <microhttpd.h>

#define POOLS                                                                 \
  "\"pools\":[{\"pool\":\"web\",\"spare\":false,\"hosts\":3,"                 \
  "\"in_service\":2,\"home\":1,\"in_use\":9,\"queued\":4,"                    \
  "\"demand_milli\":2050,\"burst_milli\":1007}]"
#define MOVES                                                                 \
  "\"moves\":[{\"host\":\"h2\",\"from\":\"s\",\"to\":\"web\","                \
  "\"under_way\":true,\"reason\":\"because\"}]"

static const struct
{
  const char *plan;
  const char *printed[4];
} rows[] = {
  { "{\"known\":true,\"fresh\":true,\"move_hosts\":true,\"actor\":\"e2\","
    "\"buffer_hosts\":5," POOLS "," MOVES "}",
    { "daemon that makes moves: e2\nthe spare should hold 5 idle hosts\n",
      "POOL  HOSTS  IN-SERVICE  HOME  IN-USE  QUEUED  DEMAND  BURST\n"
      "web   3      2           1     9       4       2.050   1.007\n",
      "HOST  FROM  TO   UNDER-WAY  REASON\n"
      "h2    s     web  yes        because\n" } },
  { "{\"known\":true,\"fresh\":true,\"move_hosts\":false,\"actor\":null,"
    "\"moves\":[]}",
    { "moves are not allowed", "daemon that makes moves: nobody\n",
      "\nno moves\n" } },
  { "{\"known\":true,\"fresh\":false,\"move_hosts\":true}", { "not fresh" } },
  { "{}", { "no plan was made yet" } },
};

static enum MHD_Result
on_access (void *cls, struct MHD_Connection *conn, const char *path,
           const char *method, const char *version, const char *data,
           size_t *len, void **ctx) /* NOLINT: libmicrohttpd's type */
{
  const char *const *body = cls;
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (*body), (void *)*body, MHD_RESPMEM_MUST_COPY);
  unsigned status = strcmp (path, "/plan") == 0 ? 200 : 404;
  enum MHD_Result result = MHD_queue_response (conn, status, response);

  (void)method;
  (void)version;
  (void)data;
  (void)len;
  (void)ctx;
  MHD_destroy_response (response);
  return result;
}

START_TEST (plan_shows_moves_and_why_none_is_made)
{
  const char *body;
  struct MHD_Daemon *server
      = MHD_start_daemon (MHD_USE_EPOLL_INTERNAL_THREAD, 0, NULL, NULL,
                          on_access, &body, MHD_OPTION_END);
  g_autofree char *address = NULL;

  ck_assert_ptr_nonnull (server);
  address = g_strdup_printf (
      "127.0.0.1:%u",
      MHD_get_daemon_info (server, MHD_DAEMON_INFO_BIND_PORT)->port);
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      body = rows[i].plan;
      ck_assert_int_eq (call ("plan", address), CLI_OK);
      for (size_t j = 0; j < 4 && rows[i].printed[j]; j++)
        ck_assert_msg (strstr (out, rows[i].printed[j]) != NULL,
                       "row %zu, text %zu:\n%s", i, j, out);
    }
  MHD_stop_daemon (server);
  ck_assert_int_eq (call ("plan", address), CLI_REFUSED);
  ck_assert_int_eq (call ("plan", address, "x"), CLI_USAGE);
}
END_TEST

int
main (void)
{
  const TTest *const tests[] = { plan_shows_moves_and_why_none_is_made, NULL };

  return run_suite_with ("daemons", tests, set_up, tear_down);
}

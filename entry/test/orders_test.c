#include "../../test/run_suite.h"
#include "../core.h"
#include "schedint.h"
#include <arpa/inet.h>
#include <poll.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#define WAIT_MAX_US 5000000
#define REQUEST_BYTES_MAX 4096
#define EPOCH 3
/* Longer than a start may wait for a connection.  */
#define LATE_US 600000

static const char response[]
    = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";

static core_t core;
static entry_settings_t settings;
static readmodel_t model;
static int listen_fd;
static int server_fd;
static char address[32];
/* Age of the replies that are read.  */
static int64_t read_lag_us;

static void
set_up (void)
{
  struct sockaddr_in self = { .sin_family = AF_INET };
  socklen_t len = sizeof self;
  const sched_limits_t limits = { .lease_ms = 3000, .hold_max_ms = 6000 };

  self.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  listen_fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  ck_assert_int_eq (bind (listen_fd, (struct sockaddr *)&self, sizeof self),
                    0);
  ck_assert_int_eq (listen (listen_fd, 1), 0);
  ck_assert_int_eq (getsockname (listen_fd, (struct sockaddr *)&self, &len),
                    0);
  g_snprintf (address, sizeof address, "127.0.0.1:%u", ntohs (self.sin_port));
  server_fd = -1;
  read_lag_us = 0;
  settings = (entry_settings_t){ .name = "e1", .cpu_share = 1 };
  memset (&core, 0, sizeof core);
  core.settings = &settings;
  core.model = &model;
  owner_init (&core.owner, settings.name, settings.cpu_share, 0);
  core.epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  core.worker_calls = calls_open (core.epoll_fd, 1, 0);
  core.tab = jobtab_new ();
  core.tab->owner.epoch = EPOCH;
  core.sched = sched_new (core.tab, EPOCH, &limits, NULL, core_now ());
  orders_open (&core);
  ck_assert (hub_open (&core));
}

static void
tear_down (void)
{
  orders_close (&core);
  hub_close (&core);
  calls_close (core.worker_calls);
  sched_free (core.sched);
  jobtab_free (core.tab);
  close (core.epoll_fd);
  close (server_fd);
  close (listen_fd);
}

/* A stop, which is due as its run is not known.  */
static order_t
stop_order (void)
{
  return (order_t){ .kind = ORDER_STOP,
                    .worker = g_intern_static_string ("w1"),
                    .address = address,
                    .token = EPOCH,
                    .task = { .id = "5c0e7a21d94b36f8" },
                    .attempt = 1 };
}

static void
send_stop (void)
{
  g_autoptr (GArray) orders = g_array_new (FALSE, FALSE, sizeof (order_t));
  order_t stop = stop_order ();

  g_array_append_val (orders, stop);
  orders_send (&core, orders);
}

static bool
is_readable (int fd)
{
  struct pollfd poll_fd = { .fd = fd, .events = POLLIN };

  return poll (&poll_fd, 1, 0) > 0;
}

static void
iterate (void)
{
  struct epoll_event event;

  if (epoll_wait (core.epoll_fd, &event, 1, 1) > 0)
    calls_handle_event (core.worker_calls, event.data.fd, event.events);
  calls_run_due (core.worker_calls, clock_boot_us () - read_lag_us,
                 clock_boot_us ());
}

/* Iterates until FD can be read.  */
static void
iterate_until_readable (int fd)
{
  for (int64_t end_us = clock_boot_us () + WAIT_MAX_US;
       !is_readable (fd) && clock_boot_us () < end_us;)
    iterate ();
  ck_assert (is_readable (fd));
}

static void
read_request (void)
{
  char request[REQUEST_BYTES_MAX];

  iterate_until_readable (server_fd);
  ck_assert_int_gt (recv (server_fd, request, sizeof request, 0), 0);
}

/* Has the log read: first by a request that was sent before the suspension
   was noticed, which proves nothing, then by one that was sent afterwards.  */
static void
read_log (void)
{
  core.pause_detected_us = clock_boot_us ();
  core_caught_up (&core, core.pause_detected_us - 1, clock_boot_us ());
  ck_assert (core.resync_needed);
  core_caught_up (&core, core.pause_detected_us, clock_boot_us ());
  ck_assert (!core.resync_needed);
}

/* Guards against orders that were queued before this daemon was suspended and
   are sent when it wakes, before it has read the log: the worker may have
   restarted, and another daemon may be the owner (issue 38).  */
START_TEST (test_queued_order_waits_until_the_log_was_read)
{
  uint32_t in_flight;

  send_stop ();
  iterate_until_readable (listen_fd);
  server_fd = accept (listen_fd, NULL, NULL);
  read_request ();
  while (core.orders->length == 0)
    send_stop ();
  in_flight = core.orders_in_flight;
  core.resync_needed = true;
  ck_assert_int_eq (send (server_fd, response, strlen (response), 0),
                    (ssize_t)strlen (response));
  for (int64_t end_us = clock_boot_us () + WAIT_MAX_US;
       core.orders_in_flight == in_flight && core.orders->length > 0
       && clock_boot_us () < end_us;)
    iterate ();
  ck_assert_uint_eq (core.orders->length, 1);
  ck_assert_uint_lt (core.orders_in_flight, in_flight);
  read_log ();
  ck_assert_uint_eq (core.orders->length, 0);
}
END_TEST

/* Guards against the same for orders that wait for a relay.  */
START_TEST (test_order_queued_for_a_relay_waits_until_the_log_was_read)
{
  link_handler_t handler = { .ctx = &core };
  hub_peer_t *peer = g_new0 (hub_peer_t, 1);
  relay_t relay = { .name = "e2", .link = peer };
  order_t stop = stop_order ();

  peer->id = 1;
  peer->link = links_connect (core.links, address, &handler, clock_boot_us ());
  peer->orders = g_queue_new ();
  peer->payloads
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_hash_table_insert (core.hub_peers, &peer->id, peer);
  core.resync_needed = true;
  hub_send_order (&core, &relay, &stop, clock_boot_us ());
  ck_assert_uint_eq (peer->orders->length, 1);
  read_log ();
  ck_assert_uint_eq (peer->orders->length, 0);
  ck_assert_uint_eq (peer->orders_in_flight, 1);
}
END_TEST

/* Guards against a fixed number of orders in flight, which bounds the starts a
   second where workers leave orders unanswered, though the owner has time.  */
START_TEST (test_owner_with_time_has_more_orders_in_flight)
{
  uint32_t busy;

  for (uint32_t i = 0; i < 200; i++)
    send_stop ();
  busy = core.orders_in_flight;
  ck_assert_uint_lt (busy, 100);
  ck_assert_uint_gt (core.orders->length, 0);
  core.sched->start_window.size = 150;
  send_stop ();
  ck_assert_uint_eq (core.orders_in_flight, 150);
}
END_TEST

static void
on_done (void *ctx, const call_result_t *result)
{
  if (ctx)
    *(call_result_t *)ctx = *result;
}

/* Sends an order of KIND, a start not after SEND_BY_US.  */
static void
call_worker_by (order_kind_t kind, int64_t send_by_us, call_result_t *result)
{
  order_t order = stop_order ();
  platform_req_t req;

  order.kind = kind;
  order.wait_ms = 2 * LATE_US / 1000;
  order.payload = "text";
  req = platform_order_req (&order);
  orders_call_worker (&core, &order, &req, send_by_us, on_done, result);
}

static void
call_worker (order_kind_t kind, call_result_t *result)
{
  call_worker_by (kind, INT64_MAX, result);
}

/* Has an order of KIND wait for the only connection to its worker, while this
   daemon is too busy to read all replies, so that no call times out.  Returns
   what was read on the connection when it became free: 0 if it was closed.  */
static ssize_t
delay_order (order_kind_t kind, call_result_t *result)
{
  char request[REQUEST_BYTES_MAX];
  int64_t late_us;

  read_lag_us = 2 * LATE_US;
  call_worker (ORDER_HOLD, NULL);
  iterate_until_readable (listen_fd);
  server_fd = accept (listen_fd, NULL, NULL);
  read_request ();
  call_worker (kind, result);
  late_us = clock_boot_us () + LATE_US;
  while (clock_boot_us () < late_us)
    iterate ();
  ck_assert_int_eq (send (server_fd, response, strlen (response), 0),
                    (ssize_t)strlen (response));
  iterate_until_readable (server_fd);
  return recv (server_fd, request, sizeof request, 0);
}

/* Guards against starts that reach the next boot of a worker, which may be of
   another kind, as the daemon or relay that sends them was late (issue 38). */
START_TEST (test_delayed_start_is_not_sent)
{
  call_result_t result = { .status = 1 };

  ck_assert_int_eq (delay_order (ORDER_START, &result), 0);
  ck_assert (result.not_sent);
  ck_assert_uint_eq (result.status, 0);
}
END_TEST

/* Guards against a start whose deadline passes before it has a connection: a
   later boot of the worker would not refuse it.  */
START_TEST (test_start_is_not_sent_after_its_deadline)
{
  call_result_t result = { .status = 1 };

  call_worker_by (ORDER_START, clock_boot_us () - 1, &result);
  for (int64_t end_us = clock_boot_us () + LATE_US;
       result.status != 0 && clock_boot_us () < end_us;)
    iterate ();
  ck_assert (result.not_sent);
  ck_assert_uint_eq (result.status, 0);
}
END_TEST

/* Guards against stops that a busy daemon does not send.  */
START_TEST (test_delayed_stop_is_sent)
{
  call_result_t result = { .status = 1 };

  ck_assert_int_gt (delay_order (ORDER_STOP, &result), 0);
}
END_TEST

TEST_PROGRAM_WITH ("entry/orders", set_up, tear_down,
                   test_queued_order_waits_until_the_log_was_read,
                   test_owner_with_time_has_more_orders_in_flight,
                   test_order_queued_for_a_relay_waits_until_the_log_was_read,
                   test_delayed_start_is_not_sent,
                   test_start_is_not_sent_after_its_deadline,
                   test_delayed_stop_is_sent)

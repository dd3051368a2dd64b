/* Guards against an append that is made twice or whose status is wrong, a long
   poll that delays a stop, and responses that crash the client.  */

#include "../../test/run_suite.h"
#include "logstore.h"
#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define TIMEOUT_MS 2000

static devlog_t *devlog;
static platform_t *client;

static platform_t *
open_port (uint16_t port)
{
  g_autofree char *url = g_strdup_printf ("http://127.0.0.1:%u/", port);

  return platform_open (url);
}

static void
set_up (void)
{
  devlog = devlog_start ("127.0.0.1", 0);
  ck_assert_ptr_nonnull (devlog);
  client = open_port (devlog_port (devlog));
}

static void
tear_down (void)
{
  platform_close (client);
  devlog_stop (devlog);
}

static log_status_t
append (const char *text)
{
  uint64_t offset;

  return log_append (client, "s", text, strlen (text), TIMEOUT_MS, &offset);
}

static uint64_t
count_records (void)
{
  log_batch_t batch;
  uint64_t next;

  ck_assert_int_eq (log_read (client, "s", 0, 100, 0, TIMEOUT_MS, &batch),
                    LOG_OK);
  next = batch.next;
  log_batch_clear (&batch);
  return next;
}

START_TEST (records_come_back_in_order)
{
  log_batch_t batch;

  ck_assert_int_eq (append ("a"), LOG_OK);
  ck_assert_int_eq (append (""), LOG_OK);
  ck_assert_int_eq (append ("ccc"), LOG_OK);
  ck_assert_int_eq (log_read (client, "s", 1, 1, 0, TIMEOUT_MS, &batch),
                    LOG_OK);
  ck_assert_uint_eq (batch.count, 1);
  ck_assert_uint_eq (batch.entries[0].offset, 1);
  ck_assert_uint_eq (g_bytes_get_size (batch.entries[0].data), 0);
  ck_assert_uint_eq (batch.next, 3);
  log_batch_clear (&batch);
}
END_TEST

static const struct
{
  devlog_faults_t faults;
  log_status_t expected;
  uint64_t records;
} append_cases[] = {
  { { .lose_answers = 1 }, LOG_UNCERTAIN, 1 },
  { { .drop_appends = 1 }, LOG_UNCERTAIN, 0 },
  { { .down = true }, LOG_UNCERTAIN, 0 },
  { { .delay_ms = 3 * TIMEOUT_MS }, LOG_UNCERTAIN, 1 },
  { { .delay_ms = 20 }, LOG_OK, 1 },
};

START_TEST (append_status_matches_effect)
{
  devlog_faults_t none = { 0 };

  for (size_t i = 0; i < G_N_ELEMENTS (append_cases); i++)
    {
      /* The read leaves a reusable connection, on which libcurl could resend
         the append by itself.  */
      uint64_t before = count_records ();

      devlog_set_faults (devlog, &append_cases[i].faults);
      ck_assert_int_eq (append ("x"), append_cases[i].expected);
      devlog_set_faults (devlog, &none);
      ck_assert_uint_eq (count_records () - before, append_cases[i].records);
    }
}
END_TEST

START_TEST (refused_connection_is_unreachable)
{
  platform_t *unreachable;
  uint64_t offset;
  uint16_t port = devlog_port (devlog);

  devlog_stop (devlog);
  unreachable = open_port (port);
  ck_assert_int_eq (log_append (unreachable, "s", "x", 1, TIMEOUT_MS, &offset),
                    LOG_UNREACHABLE);
  platform_close (unreachable);
  devlog = devlog_start ("127.0.0.1", 0);
}
END_TEST

START_TEST (old_records_expire)
{
  devlog_faults_t faults = { .retain = 2 };
  log_batch_t batch;

  for (int i = 0; i < 5; i++)
    append ("x");
  devlog_set_faults (devlog, &faults);
  ck_assert_int_eq (log_read (client, "s", 2, 9, 0, TIMEOUT_MS, &batch),
                    LOG_EXPIRED);
  ck_assert_uint_eq (batch.first_kept, 3);
  ck_assert_uint_eq (batch.next, 5);
  ck_assert_int_eq (log_read (client, "s", 3, 9, 0, TIMEOUT_MS, &batch),
                    LOG_OK);
  ck_assert_uint_eq (batch.count, 2);
  log_batch_clear (&batch);
}
END_TEST

/* A long poll on another thread, its result and the time of its end.  */
typedef struct poll
{
  platform_t *client;
  atomic_bool started;
  log_status_t status;
  uint32_t count;
  int64_t ended_us;
} poll_t;

static gpointer
run_poll (gpointer data)
{
  poll_t *poll = data;
  log_batch_t batch;

  atomic_store (&poll->started, true);
  poll->status = log_read (poll->client, "s", 0, 9, 10000, 20000, &batch);
  poll->count = batch.count;
  poll->ended_us = clock_mono_us ();
  log_batch_clear (&batch);
  return NULL;
}

typedef enum ending
{
  END_BY_APPEND,
  END_BY_INTERRUPT,
  END_BY_DOWN,
  END_COUNT
} ending_t;

/* A graceful stop requires that a long poll ends within 100 ms.  The CPU time
   of a waiting poll shows that no thread spins.  */
static void
check_ending (ending_t ending)
{
  poll_t poll = { .client = open_port (devlog_port (devlog)) };
  GThread *thread = g_thread_new ("poll", run_poll, &poll);
  devlog_faults_t down = { .down = true };
  GMutex lock;
  GCond never;
  int64_t start_us;
  clock_t cpu = clock ();

  g_mutex_init (&lock);
  g_cond_init (&never);
  g_mutex_lock (&lock);
  g_cond_wait_until (&never, &lock, g_get_monotonic_time () + 300000);
  g_mutex_unlock (&lock);
  ck_assert (atomic_load (&poll.started));
  ck_assert_int_lt (clock () - cpu, CLOCKS_PER_SEC / 10);
  start_us = clock_mono_us ();
  if (ending == END_BY_APPEND)
    append ("x");
  else if (ending == END_BY_INTERRUPT)
    platform_interrupt (poll.client);
  else
    devlog_set_faults (devlog, &down);
  g_thread_join (thread);
  ck_assert_int_lt (poll.ended_us - start_us, 100000);
  ck_assert_int_eq (poll.status,
                    ending == END_BY_APPEND ? LOG_OK : LOG_UNREACHABLE);
  ck_assert_uint_eq (poll.count, ending == END_BY_APPEND);
  if (ending == END_BY_INTERRUPT)
    {
      log_batch_t batch;

      ck_assert_int_eq (
          log_read (poll.client, "s", 0, 9, 0, TIMEOUT_MS, &batch),
          LOG_UNREACHABLE);
    }
  platform_close (poll.client);
}

START_TEST (long_poll_ends_promptly_without_spinning)
{
  for (ending_t ending = END_BY_APPEND; ending < END_COUNT; ending++)
    {
      check_ending (ending);
      tear_down ();
      set_up ();
    }
}
END_TEST

static const struct
{
  const char *head; /* status and headers except Content-Length */
  const char *body;
  size_t len;
  size_t content_length;
  log_status_t expected;
} responses[] = {
  { "200 OK\r\nX-Log-First: 0\r\nX-Log-Next: 0", "\x90", 1, 1, LOG_OK },
  { "200 OK\r\nX-Log-First: 0\r\nX-Log-Next: 0", "\x90", 1, 9,
    LOG_UNREACHABLE },
  { "200 OK", "\x90", 1, 1, LOG_BAD_ANSWER },
  { "200 OK\r\nX-Log-First: 2\r\nX-Log-Next: 1", "\x90", 1, 1,
    LOG_BAD_ANSWER },
  { "200 OK\r\nX-Log-First: 0\r\nX-Log-Next: 9", "\xdd\xff\xff\xff\xff", 5, 5,
    LOG_BAD_ANSWER },
  { "200 OK\r\nX-Log-First: 0\r\nX-Log-Next: 9", "\x91\x93\x01\x01\xc4\x01x",
    7, 7, LOG_BAD_ANSWER },
  { "200 OK\r\nX-Log-First: 0\r\nX-Log-Next: 9", "\x91\x93\x00\x01\x05", 5, 5,
    LOG_BAD_ANSWER },
  { "200 OK\r\nX-Log-First: 0\r\nX-Log-Next: 9", "\x91\x93\x00\x01\xc4\x01x",
    7, 7, LOG_OK },
  { "200 OK\r\nX-Log-First: 0\r\nX-Log-Next: 9", "hello", 5, 5,
    LOG_BAD_ANSWER },
  { "404 Not Found", "", 0, 0, LOG_BAD_ANSWER },
  { "500 Oops", "", 0, 0, LOG_UNREACHABLE },
};

typedef struct response_server
{
  int fd;
  int response;
} response_server_t;

static gpointer
serve_response (gpointer data)
{
  const response_server_t *server = data;
  char request[2048];
  int fd = accept (server->fd, NULL, NULL);
  g_autofree char *head
      = g_strdup_printf ("HTTP/1.1 %s\r\nContent-Length: %zu\r\n\r\n",
                         responses[server->response].head,
                         responses[server->response].content_length);

  ck_assert_int_gt (read (fd, request, sizeof request), 0);
  ck_assert_int_gt (write (fd, head, strlen (head)), 0);
  ck_assert_int_ge (write (fd, responses[server->response].body,
                           responses[server->response].len),
                    0);
  close (fd);
  return NULL;
}

static void
check_response (int i)
{
  struct sockaddr_in addr = { .sin_family = AF_INET };
  socklen_t len = sizeof addr;
  response_server_t server = { socket (AF_INET, SOCK_STREAM, 0), i };
  GThread *thread;
  platform_t *platform;
  log_batch_t batch;

  inet_pton (AF_INET, "127.0.0.1", &addr.sin_addr);
  ck_assert_int_eq (bind (server.fd, (struct sockaddr *)&addr, len), 0);
  ck_assert_int_eq (listen (server.fd, 1), 0);
  getsockname (server.fd, (struct sockaddr *)&addr, &len);
  thread = g_thread_new ("server", serve_response, &server);
  platform = open_port (ntohs (addr.sin_port));
  ck_assert_int_eq (log_read (platform, "s", 0, 9, 0, TIMEOUT_MS, &batch),
                    responses[i].expected);
  log_batch_clear (&batch);
  g_thread_join (thread);
  platform_close (platform);
  close (server.fd);
}

START_TEST (invalid_responses_are_reported)
{
  for (int i = 0; i < (int)G_N_ELEMENTS (responses); i++)
    check_response (i);
}
END_TEST

TEST_PROGRAM_WITH ("logclient", set_up, tear_down, records_come_back_in_order,
                   append_status_matches_effect,
                   refused_connection_is_unreachable, old_records_expire,
                   long_poll_ends_promptly_without_spinning,
                   invalid_responses_are_reported)

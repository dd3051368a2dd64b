#include "../../test/run_suite.h"
#include "../core.h"
#include <arpa/inet.h>
#include <string.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <unistd.h>

#define LOG_BYTES_MAX 4096
#define JOB_ID "5c0e7a21d94b36f8"

static entry_settings_t settings;
static readmodel_t model;
static front_t *front;
static uint16_t front_port;
static int log_fd;
static char log_text[LOG_BYTES_MAX];
static char response[LOG_BYTES_MAX];

/* A TCP port of 127.0.0.1 that was free.  */
static uint16_t
find_port (void)
{
  struct sockaddr_in self = { .sin_family = AF_INET };
  socklen_t len = sizeof self;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  self.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  ck_assert_int_eq (bind (fd, (struct sockaddr *)&self, sizeof self), 0);
  ck_assert_int_eq (getsockname (fd, (struct sockaddr *)&self, &len), 0);
  close (fd);
  return ntohs (self.sin_port);
}

/* The rules are never confirmed, so requests for the queue are refused.  */
static void
publish_rules (void)
{
  rules_queue_t queue
      = { .name = g_intern_string ("q"), .host = "h", .path_prefix = "/q/" };
  rules_queue_t public_queue = { .name = g_intern_string ("p"),
                                 .host = "h",
                                 .path_prefix = "/p/",
                                 .is_public = true };
  rules_t *rules = rules_new (1);

  g_array_append_val (rules->queues, queue);
  g_array_append_val (rules->queues, public_queue);
  readmodel_publish_rules (&model, rules);
}

static void
set_up (void)
{
  front_port = find_port ();
  settings = (entry_settings_t){ .revoke_ms = 2000 };
  settings.front = g_strdup_printf ("127.0.0.1:%u", front_port);
  settings.ready = g_strdup_printf ("127.0.0.1:%u", find_port ());
  log_fd = memfd_create ("events", MFD_CLOEXEC);
  ck_assert_int_ge (log_fd, 0);
  event_set_fd (log_fd);
  rcu_register_thread ();
  readmodel_open (&model);
  publish_rules ();
  front = front_start (&settings, &model, NULL);
  ck_assert_ptr_nonnull (front);
}

static void
tear_down (void)
{
  front_stop (front);
  readmodel_close (&model);
  rcu_unregister_thread ();
  event_set_fd (STDERR_FILENO);
  close (log_fd);
  g_free (settings.front);
  g_free (settings.ready);
}

/* Requests PATH, reads the response to its end and then the log.  */
static void
request (const char *method, const char *path)
{
  struct sockaddr_in peer = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  g_autofree char *text = g_strdup_printf (
      "%s %s HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", method, path);
  size_t read_len = 0;
  ssize_t len;

  peer.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  peer.sin_port = htons (front_port);
  ck_assert_int_eq (connect (fd, (struct sockaddr *)&peer, sizeof peer), 0);
  ck_assert_int_eq (send (fd, text, strlen (text), MSG_NOSIGNAL),
                    (ssize_t)strlen (text));
  memset (response, 0, sizeof response);
  while (
      (len = recv (fd, response + read_len, sizeof response - 1 - read_len, 0))
      > 0)
    read_len += (size_t)len;
  close (fd);
  len = pread (log_fd, log_text, sizeof log_text - 1, 0);
  ck_assert_int_ge (len, 0);
  log_text[len] = '\0';
}

/* Guards against clients that write lines of their own into the log.  */
START_TEST (test_malformed_id_is_not_logged)
{
  request ("GET", "/q/1%20kind=none%0Aforged%20line");
  ck_assert_ptr_nonnull (strstr (log_text, "id=- kind=not-ready"));
  ck_assert_ptr_null (strstr (log_text, "forged"));
}
END_TEST

/* Guards against refusals that can't be traced to their job.  */
START_TEST (test_valid_id_is_logged)
{
  request ("GET", "/q/" JOB_ID);
  ck_assert_ptr_nonnull (strstr (log_text, "id=" JOB_ID " kind=not-ready"));
}
END_TEST

/* Guards against a job of a queue that needs a key which is read, cancelled or
   taken for accepted by a call at a public one, whose caller has no key or a
   withdrawn one (CONFIG), and against a 410 by rules that are out of date.  */
START_TEST (test_job_is_at_its_own_queue_only)
{
  job_desc_t desc = { .id = JOB_ID,
                      .queue = g_intern_string ("q"),
                      .workspace = g_intern_string ("acme") };
  job_entry_t entry = { .desc = &desc, .state = JOB_STATE_COMPLETE };

  readmodel_put_job (&model, &entry);
  request ("GET", "/p/" JOB_ID);
  ck_assert_ptr_nonnull (strstr (response, "HTTP/1.1 503 "));
  atomic_store (&model.rules_known_us, clock_boot_us ());
  request ("GET", "/p/" JOB_ID);
  ck_assert_ptr_nonnull (strstr (response, "HTTP/1.1 410 "));
  request ("DELETE", "/p/" JOB_ID);
  ck_assert_ptr_nonnull (strstr (response, "HTTP/1.1 410 "));
  request ("POST", "/p/" JOB_ID);
  ck_assert_ptr_nonnull (strstr (response, "HTTP/1.1 409 "));
  desc.queue = g_intern_string ("p");
  readmodel_remove_job (&model, JOB_ID);
  readmodel_put_job (&model, &entry);
  request ("GET", "/p/" JOB_ID);
  ck_assert_ptr_nonnull (strstr (response, "HTTP/1.1 200 "));
}
END_TEST

/* Guards against a daemon that has not counted the jobs yet and says that none
   waits (MIXED).  */
START_TEST (test_pending_is_refused_before_the_first_count)
{
  readmodel_pending_t *rows = g_new0 (readmodel_pending_t, 1);

  rows->queue = g_intern_string ("p");
  rows->jobs = 20;
  request ("GET", "/p/");
  ck_assert_ptr_nonnull (strstr (response, "HTTP/1.1 503 "));
  readmodel_publish_pending (&model, rows, 1);
  request ("GET", "/p/");
  ck_assert_ptr_nonnull (strstr (response, "{\"pending\":20}"));
}
END_TEST

TEST_PROGRAM_WITH ("entry/front", set_up, tear_down,
                   test_malformed_id_is_not_logged, test_valid_id_is_logged,
                   test_job_is_at_its_own_queue_only,
                   test_pending_is_refused_before_the_first_count)

#include "../../test/run_suite.h"
#include "link.h"
#include <arpa/inet.h>
#include <errno.h>
#include <inttypes.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#define EVENTS_MAX 16
#define ROUNDS_MAX 2000
#define FRAMES 300
#define HANG_MS 10000

static int epoll_fd;
static links_t *links;
static int64_t now_us;
static GByteArray *received;
static uint32_t frames;
static uint32_t closed;
static char close_reason[64];
static link_t *accepted;

static void
on_frame (void *ctx, link_t *link, const uint8_t *data, size_t len)
{
  (void)ctx;
  accepted = link;
  frames++;
  g_byte_array_append (received, data, (guint)len);
}

static void
on_closed (void *ctx, link_t *link, const char *why)
{
  (void)ctx;
  (void)link;
  closed++;
  g_strlcpy (close_reason, why, sizeof close_reason);
}

static const link_handler_t handler
    = { .on_frame = on_frame, .on_closed = on_closed };

static void
set_up (void)
{
  epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  links = links_open (epoll_fd);
  now_us = 1000000000;
  received = g_byte_array_new ();
  frames = closed = 0;
  accepted = NULL;
  ck_assert (links_listen (links, "127.0.0.1:0", &handler));
}

static void
tear_down (void)
{
  links_close (links);
  close (epoll_fd);
  g_byte_array_unref (received);
}

/* One iteration of the event loop.  */
static void
run_once (void)
{
  struct epoll_event events[EVENTS_MAX];
  int count;

  links_run (links, now_us, now_us);
  count = epoll_wait (epoll_fd, events, EVENTS_MAX, 5);
  for (int i = 0; i < count; i++)
    links_handle_event (links, events[i].data.fd, events[i].events, now_us);
}

static link_t *
connect_self (void)
{
  g_autofree char *address
      = g_strdup_printf ("127.0.0.1:%u", links_port (links));
  link_t *link = links_connect (links, address, &handler, now_us);

  ck_assert_ptr_nonnull (link);
  return link;
}

/* A socket that is connected to the listener but speaks no frames.  */
static int
connect_raw (void)
{
  struct sockaddr_in peer = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  peer.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  peer.sin_port = htons (links_port (links));
  ck_assert_int_eq (connect (fd, (struct sockaddr *)&peer, sizeof peer), 0);
  return fd;
}

/* Guards against frames that are lost, split or out of order, also when they
   are sent before the connection is there and exceed the socket's buffer.  */
START_TEST (test_frames_arrive_in_order)
{
  link_t *link = connect_self ();
  g_autoptr (GByteArray) sent = g_byte_array_new ();

  for (uint32_t i = 0; i < FRAMES; i++)
    {
      g_autofree uint8_t *data = g_malloc0 (1 + i * 100);

      memset (data, (int)i, 1 + i * 100);
      g_byte_array_append (sent, data, 1 + i * 100);
      link_send (link, data, 1 + i * 100);
    }
  for (uint32_t i = 0; i < ROUNDS_MAX && frames < FRAMES; i++)
    run_once ();
  ck_assert_uint_eq (frames, FRAMES);
  ck_assert_uint_eq (received->len, sent->len);
  ck_assert_mem_eq (received->data, sent->data, sent->len);
  ck_assert_uint_eq (closed, 0);
}
END_TEST

/* Guards against a link to a lost process that is not noticed.  */
START_TEST (test_silent_link_is_closed)
{
  int fd = connect_raw ();

  run_once ();
  for (int64_t us = 0; us < LINK_SILENCE_US - LINK_PING_US;
       us += LINK_PING_US / 2)
    {
      now_us += LINK_PING_US / 2;
      run_once ();
    }
  ck_assert_uint_eq (closed, 0);
  now_us += 2 * LINK_PING_US;
  run_once ();
  ck_assert_uint_eq (closed, 1);
  ck_assert_str_eq (close_reason, "silent");
  close (fd);
}
END_TEST

/* Guards against links that are kept for good by peers that are no daemons:
   one sends pings or parts of a frame, and never says who it is.  */
START_TEST (test_link_without_a_first_frame_is_closed)
{
  static const uint8_t ping[4] = { 0 };
  int fd = connect_raw ();

  run_once ();
  for (int64_t us = 0; us < LINK_FIRST_FRAME_US && closed == 0;
       us += LINK_PING_US)
    {
      ck_assert_int_eq (send (fd, ping, sizeof ping, 0), sizeof ping);
      now_us += LINK_PING_US;
      run_once ();
      run_once ();
    }
  now_us += LINK_PING_US;
  run_once ();
  ck_assert_uint_eq (closed, 1);
  ck_assert_str_eq (close_reason, "no-first-frame");
  close (fd);
}
END_TEST

/* Guards against closing a link because this daemon had no time to read.  */
START_TEST (test_unread_link_is_not_silent)
{
  connect_self ();
  run_once ();
  run_once ();
  links_run (links, now_us, now_us + 2 * LINK_SILENCE_US);
  ck_assert_uint_eq (closed, 0);
}
END_TEST

/* Guards against a link to a host without power that counts as heard of.  */
START_TEST (test_new_link_has_received_nothing)
{
  link_t *link = connect_self ();

  ck_assert_int_eq (link_received_us (link), 0);
  for (uint32_t i = 0; i < 10; i++)
    {
      now_us += LINK_PING_US / 2;
      run_once ();
    }
  ck_assert_int_gt (link_received_us (link), 0);
}
END_TEST

/* Guards against idle links that are taken for silent.  */
START_TEST (test_idle_link_stays_open)
{
  connect_self ();
  for (uint32_t i = 0; i < 30; i++)
    {
      now_us += LINK_PING_US / 2;
      run_once ();
      run_once ();
    }
  ck_assert_uint_eq (closed, 0);
}
END_TEST

/* Guards against a length that makes the process allocate without bound.  */
START_TEST (test_long_frame_is_refused)
{
  int fd = connect_raw ();
  uint32_t header = htonl (LINK_FRAME_MAX + 1);

  ck_assert_int_eq (send (fd, &header, sizeof header, 0), sizeof header);
  for (uint32_t i = 0; i < 10; i++)
    run_once ();
  ck_assert_uint_eq (closed, 1);
  ck_assert_str_eq (close_reason, "frame-too-long");
  close (fd);
}
END_TEST

/* Guards against the loss of what a peer sent just before it ended.  */
START_TEST (test_last_frames_of_a_closed_link_are_handled)
{
  int fd = connect_raw ();
  const uint8_t data[] = { 0, 0, 0, 1, 'x' };

  ck_assert_int_eq (send (fd, data, sizeof data, 0), sizeof data);
  close (fd);
  for (uint32_t i = 0; i < 10; i++)
    run_once ();
  ck_assert_uint_eq (frames, 1);
  ck_assert_uint_eq (closed, 1);
}
END_TEST

START_TEST (test_refused_connection_is_reported)
{
  ck_assert_ptr_null (links_connect (links, "host:1", &handler, now_us));
  ck_assert_ptr_null (
      links_connect (links, "127.0.0.1:65536", &handler, now_us));
  if (links_connect (links, "127.0.0.1:1", &handler, now_us))
    {
      for (uint32_t i = 0; i < 10; i++)
        run_once ();
      ck_assert_uint_eq (closed, 1);
    }
}
END_TEST

/* Guards against a peer that does not read and takes all memory.  */
START_TEST (test_full_queue_closes_the_link)
{
  static uint8_t data[LINK_FRAME_MAX];
  link_t *link = connect_self ();

  for (uint32_t i = 0; i < 2 * LINK_QUEUE_MAX / LINK_FRAME_MAX; i++)
    link_send (link, data, sizeof data);
  links_run (links, now_us, now_us);
  ck_assert_uint_eq (closed, 1);
}
END_TEST

/* Whether the other side of FD has closed the connection; waits for it.  */
static bool
is_closed (int fd)
{
  struct pollfd wait = { .fd = fd, .events = POLLIN };
  uint8_t byte;

  return poll (&wait, 1, HANG_MS) == 1
         && recv (fd, &byte, 1, MSG_DONTWAIT) == 0;
}

/* Guards against connections without a daemon behind them that hold as much
   memory as those of daemons.  */
START_TEST (test_first_frame_is_short)
{
  int fd = connect_raw ();
  uint32_t header = htonl (LINK_FIRST_FRAME_MAX + 1);

  ck_assert_int_eq (send (fd, &header, sizeof header, 0), sizeof header);
  for (uint32_t i = 0; i < 10; i++)
    run_once ();
  ck_assert_uint_eq (closed, 1);
  ck_assert_str_eq (close_reason, "frame-too-long");
  close (fd);
}
END_TEST

#define GREEDY 24
#define GREEDY_BYTES (1024 * 1024)

/* Sends LEN bytes of DATA on FD while the loop runs; stops if it is closed. */
static void
send_all (int fd, const void *data, size_t len)
{
  const uint8_t *at = data;

  for (uint32_t i = 0; len > 0 && i < ROUNDS_MAX; i++)
    {
      ssize_t count = send (fd, at, len, MSG_DONTWAIT | MSG_NOSIGNAL);

      if (count < 0 && errno != EAGAIN)
        return;
      at += MAX (count, 0);
      len -= (size_t)MAX (count, 0);
      run_once ();
    }
}

/* Sends a first frame, and LEN bytes of a frame of the largest size.  */
static void
begin_long_frame (int fd, size_t len)
{
  static const uint8_t first[] = { 0, 0, 0, 1, 'x' };
  static uint8_t data[LINK_FRAME_MAX];
  uint32_t header = htonl (LINK_FRAME_MAX);

  send_all (fd, first, sizeof first);
  send_all (fd, &header, sizeof header);
  send_all (fd, data, len);
}

/* Guards against peers that begin long frames and don't end them, and together
   take more memory than a host has; and against closing those that do.  */
START_TEST (test_unfinished_frames_of_all_links_are_bounded)
{
  int fds[GREEDY];
  int honest;

  for (uint32_t i = 0; i < GREEDY; i++)
    {
      fds[i] = connect_raw ();
      begin_long_frame (fds[i], GREEDY_BYTES);
    }
  /* What was sent last may still be in the sockets.  */
  for (uint32_t i = 0;
       i < ROUNDS_MAX && closed < GREEDY - LINKS_INPUT_MAX / GREEDY_BYTES; i++)
    run_once ();
  printf ("links closed of %d with %d bytes each: %u\n", GREEDY, GREEDY_BYTES,
          closed);
  ck_assert_uint_ge (closed, GREEDY - LINKS_INPUT_MAX / GREEDY_BYTES);
  ck_assert (is_closed (fds[0])); /* the oldest first */
  honest = connect_raw ();
  begin_long_frame (honest, LINK_FRAME_MAX);
  for (uint32_t i = 0; i < ROUNDS_MAX && frames < GREEDY + 2; i++)
    run_once ();
  ck_assert_uint_eq (frames, GREEDY + 2);
  for (uint32_t i = 0; i < GREEDY; i++)
    close (fds[i]);
  close (honest);
}
END_TEST

/* With the sanitizer freed memory stays resident while it is in the
   quarantine, by default up to 256 MB of it.  Called by its run time.  */
const char *__asan_default_options (void);

const char *
__asan_default_options (void)
{
  return "quarantine_size_mb=1";
}

static uint64_t
resident_bytes (void)
{
  g_autofree char *text = NULL;
  g_auto (GStrv) fields = NULL;

  ck_assert (g_file_get_contents ("/proc/self/statm", &text, NULL, NULL));
  fields = g_strsplit (text, " ", 3);
  return g_ascii_strtoull (fields[1], NULL, 10) * (uint64_t)getpagesize ();
}

/* A raw connection with a small receive buffer; its link is ACCEPTED.  */
static int
connect_slow (void)
{
  static const uint8_t first[] = { 0, 0, 0, 1, 'x' };
  int fd = connect_raw ();
  int size = 16384;

  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
  accepted = NULL;
  send_all (fd, first, sizeof first);
  for (uint32_t i = 0; i < ROUNDS_MAX && !accepted; i++)
    run_once ();
  ck_assert_ptr_nonnull (accepted);
  return fd;
}

/* Guards against a peer that reads slowly, so that the queue is never empty,
   and whose sent frames stay in memory.  */
START_TEST (test_sent_frames_of_a_slow_reader_are_freed)
{
  static uint8_t data[64 * 1024];
  int fd = connect_slow ();
  uint64_t before;

  for (uint32_t i = 0; i < 100; i++)
    link_send (accepted, data, sizeof data);
  run_once ();
  before = resident_bytes ();
  for (uint32_t i = 0; i < 1000; i++)
    {
      link_send (accepted, data, sizeof data);
      for (uint32_t left = sizeof data; left > 0;)
        {
          ssize_t count = recv (fd, data, left, MSG_DONTWAIT);

          left -= (uint32_t)MAX (count, 0);
          run_once ();
        }
    }
  printf ("growth after 62 MiB: %" PRId64 " KiB\n",
          (int64_t)(resident_bytes () - before) / 1024);
  ck_assert_uint_eq (closed, 0);
  ck_assert_int_le ((int64_t)(resident_bytes () - before), 2 * LINK_QUEUE_MAX);
  close (fd);
}
END_TEST

/* Guards against many peers that don't read and together take more memory than
   a host has.  */
START_TEST (test_queues_of_all_links_are_bounded)
{
  static uint8_t data[1024 * 1024];
  int fds[GREEDY];

  for (uint32_t i = 0; i < GREEDY; i++)
    {
      link_t *link;

      fds[i] = connect_slow ();
      link = accepted;
      for (uint32_t j = 0; j < 7; j++)
        link_send (link, data, sizeof data);
      run_once ();
    }
  printf ("links closed of %d with 7 MiB queued each: %u\n", GREEDY, closed);
  ck_assert_uint_gt (closed, 0);
  ck_assert_uint_lt (closed, GREEDY);
  ck_assert_str_eq (close_reason, "peers-do-not-read");
  for (uint32_t i = 0; i < GREEDY; i++)
    close (fds[i]);
}
END_TEST

/* Guards against connections to the listener that use up all descriptors.  */
START_TEST (test_links_are_bounded)
{
  int fds[LINKS_ACCEPTED_MAX + 2];

  for (uint32_t i = 0; i < G_N_ELEMENTS (fds); i++)
    {
      fds[i] = connect_raw ();
      run_once ();
    }
  ck_assert (is_closed (fds[LINKS_ACCEPTED_MAX]));
  ck_assert (is_closed (fds[LINKS_ACCEPTED_MAX + 1]));
  ck_assert_uint_eq (closed, 0);
  /* A link that ends makes room.  */
  close (fds[0]);
  for (uint32_t i = 0; i < 10 && closed == 0; i++)
    run_once ();
  fds[0] = connect_raw ();
  for (uint32_t i = 0; i < 10; i++)
    run_once ();
  ck_assert_int_eq (recv (fds[0], close_reason, 1, MSG_DONTWAIT), -1);
  for (uint32_t i = 0; i < G_N_ELEMENTS (fds); i++)
    close (fds[i]);
}
END_TEST

/* Guards against an event loop that spins on a connection for which there is
   no descriptor.  */
START_TEST (test_connection_without_descriptor_is_closed)
{
  int fd = connect_raw ();
  struct rlimit old;
  struct rlimit none;
  struct epoll_event event;

  getrlimit (RLIMIT_NOFILE, &old);
  none = (struct rlimit){ .rlim_cur = 0, .rlim_max = old.rlim_max };
  none.rlim_cur = (rlim_t)fd + 1;
  setrlimit (RLIMIT_NOFILE, &none);
  run_once ();
  setrlimit (RLIMIT_NOFILE, &old);
  ck_assert (is_closed (fd));
  ck_assert_int_eq (epoll_wait (epoll_fd, &event, 1, 0), 0);
  close (fd);
}
END_TEST

/* Guards against an event loop that spins while connections wait and even the
   spare descriptor was taken by another thread.  */
START_TEST (test_listener_rests_without_descriptors)
{
  const uint8_t data[] = { 0, 0, 0, 1, 'x' };
  int fd = connect_raw ();
  struct rlimit old;
  struct rlimit none;
  struct epoll_event event;

  ck_assert_int_eq (send (fd, data, sizeof data, 0), sizeof data);
  getrlimit (RLIMIT_NOFILE, &old);
  none = (struct rlimit){ .rlim_cur = 0, .rlim_max = old.rlim_max };
  setrlimit (RLIMIT_NOFILE, &none);
  run_once ();
  ck_assert_int_eq (epoll_wait (epoll_fd, &event, 1, 0), 0);
  ck_assert_int_le (links_due_us (links), now_us + LINK_PING_US);
  now_us += LINK_PING_US;
  run_once ();
  ck_assert_int_eq (epoll_wait (epoll_fd, &event, 1, 0), 0);
  setrlimit (RLIMIT_NOFILE, &old);
  now_us += LINK_PING_US;
  for (uint32_t i = 0; i < 10; i++)
    run_once ();
  ck_assert_uint_eq (frames, 1);
  close (fd);
}
END_TEST

/* Guards against connections that come faster than they are accepted and keep
   the event loop from all else.  */
START_TEST (test_connections_are_accepted_in_parts)
{
  int fds[LINKS_ACCEPTS_MAX + 1];
  struct epoll_event event;

  for (uint32_t i = 0; i < G_N_ELEMENTS (fds); i++)
    fds[i] = connect_raw ();
  run_once ();
  ck_assert_int_eq (epoll_wait (epoll_fd, &event, 1, 0), 1);
  run_once ();
  ck_assert_int_eq (epoll_wait (epoll_fd, &event, 1, 0), 0);
  for (uint32_t i = 0; i < G_N_ELEMENTS (fds); i++)
    close (fds[i]);
}
END_TEST

TEST_PROGRAM_WITH ("entry/link", set_up, tear_down,
                   test_frames_arrive_in_order, test_silent_link_is_closed,
                   test_link_without_a_first_frame_is_closed,
                   test_unread_link_is_not_silent,
                   test_new_link_has_received_nothing,
                   test_idle_link_stays_open, test_long_frame_is_refused,
                   test_last_frames_of_a_closed_link_are_handled,
                   test_refused_connection_is_reported,
                   test_full_queue_closes_the_link, test_first_frame_is_short,
                   test_links_are_bounded,
                   test_unfinished_frames_of_all_links_are_bounded,
                   test_sent_frames_of_a_slow_reader_are_freed,
                   test_queues_of_all_links_are_bounded,
                   test_connection_without_descriptor_is_closed,
                   test_listener_rests_without_descriptors,
                   test_connections_are_accepted_in_parts)

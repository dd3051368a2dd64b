/* Guards against daemons that don't find each other again, that listen to
   strangers, and that hang or grow on a peer that is malicious, silent or
   paused.  Each test runs links of one process over loopback.  */

#include "../../test/run_suite.h"
#include "peer.h"
#include "wait.h"
#include <arpa/inet.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define NODES 3

typedef struct node
{
  char name[8];
  link_t *link;
  uint32_t up;       /* connected peers */
  uint64_t claims;   /* received */
  uint64_t verdicts; /* received */
  bool hold;         /* its peer thread stops in the next claim */
} node_t;

static node_t nodes[NODES];

static void
on_message (void *ctx, const char *peer, uint64_t incarnation,
            const msg_t *msg)
{
  node_t *node = ctx;
  msg_t answer = { .kind = MSG_CLAIMED, .u.claimed = { 1, CLAIM_GRANTED } };

  ck_assert_uint_gt (incarnation, 0);
  pthread_mutex_lock (&lock);
  if (msg->kind == MSG_CLAIM)
    {
      node->claims++;
      pthread_cond_broadcast (&changed);
      while (node->hold)
        pthread_cond_wait (&changed, &lock);
      ck_assert (link_send (node->link, peer, &answer));
    }
  if (msg->kind == MSG_CLAIMED)
    node->verdicts++;
  pthread_cond_broadcast (&changed);
  pthread_mutex_unlock (&lock);
}

static void
on_peer (void *ctx, const char *peer, bool connected)
{
  node_t *node = ctx;

  (void)peer;
  pthread_mutex_lock (&lock);
  node->up += connected ? 1 : (uint32_t)-1;
  pthread_cond_broadcast (&changed);
  pthread_mutex_unlock (&lock);
}

static void
on_tick (void *ctx, int64_t now_us)
{
  (void)ctx;
  (void)now_us;
  pthread_mutex_lock (&lock);
  pthread_cond_broadcast (&changed);
  pthread_mutex_unlock (&lock);
}

static link_t *
start (int i, uint64_t incarnation, const char *secret)
{
  node_t *node = &nodes[i];
  link_config_t config = { .name = node->name,
                           .data_centre = "north",
                           .incarnation = incarnation,
                           .secret = secret,
                           .address = "127.0.0.1",
                           .on_message = on_message,
                           .on_peer = on_peer,
                           .on_tick = on_tick,
                           .ctx = node };

  *node = (node_t){ 0 };
  g_snprintf (node->name, sizeof node->name, "e%d", i + 1);
  node->link = link_start (&config);
  ck_assert_ptr_nonnull (node->link);
  return node->link;
}

/* Tells the first COUNT nodes of each other.  */
static void
introduce (uint32_t count)
{
  entry_host_t hosts[NODES];

  for (uint32_t i = 0; i < count; i++)
    hosts[i] = (entry_host_t){ nodes[i].name, "north", "127.0.0.1",
                               link_port (nodes[i].link) };
  for (uint32_t i = 0; i < count; i++)
    link_set_peers (nodes[i].link, hosts, count);
}

static void
stop (int i)
{
  link_stop (nodes[i].link);
  nodes[i].link = NULL;
}

static void
stop_all (void)
{
  for (int i = 0; i < NODES; i++)
    if (nodes[i].link)
      stop (i);
}

static void
tear_down (void)
{
  stop_all ();
  rcu_unregister_thread ();
}

/* What node I knows of PEER.  */
static member_t
member_of (int i, const char *peer)
{
  const member_list_t *list;
  member_t member = { 0 };

  rcu_read_lock ();
  list = link_members (nodes[i].link);
  for (uint32_t n = 0; n < list->count; n++)
    if (strcmp (list->members[n].name, peer) == 0)
      member = list->members[n];
  rcu_read_unlock ();
  return member;
}

static int
raw_connect (int i)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons (link_port (nodes[i].link)),
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  ck_assert_int_eq (connect (fd, (struct sockaddr *)&address, sizeof address),
                    0);
  return fd;
}

/* Waits until the other side closes FD.  */
static void
expect_close (int fd, const char *what)
{
  struct pollfd poll_fd = { .fd = fd, .events = POLLIN };
  char data[4096];

  do
    ck_assert_msg (poll (&poll_fd, 1, WAIT_S * 1000) == 1, "%s: still open",
                   what);
  while (read (fd, data, sizeof data) > 0);
  close (fd);
}

START_TEST (two_daemons_exchange_beats_and_messages)
{
  own_beat_t beat = { 5, 4, 9, 0 };
  msg_t claim = { .kind = MSG_CLAIM };
  peer_heartbeat_t view;

  start (0, 7, "secret");
  start (1, 8, "secret");
  beat.log_read_us = clock_mono_us ();
  link_set_beat (nodes[1].link, &beat);
  ck_assert (!link_send (nodes[0].link, "e2", &claim));
  introduce (2);
  wait_until (nodes[0].up == 1 && nodes[1].up == 1);
  wait_until (member_of (0, "e2").log_read_us > 0);
  view = member_view (&(member_t[]){ member_of (0, "e2") }[0]);
  ck_assert_int_le (view.log_read_us, beat.log_read_us);
  ck_assert_int_ge (view.log_read_us, beat.log_read_us - 2 * BEAT_EVERY_US);
  ck_assert_uint_eq (view.offset, 9);
  ck_assert_str_eq (view.data_centre, "north");
  ck_assert_uint_eq (member_of (0, "e2").settled_version, 4);
  ck_assert (link_send (nodes[0].link, "e2", &claim));
  ck_assert_uint_eq (link_send_all (nodes[0].link, &claim), 1);
  wait_until (nodes[1].claims == 2 && nodes[0].verdicts == 2);
}
END_TEST

START_TEST (daemons_find_each_other_again)
{
  start (0, 1, "secret");
  start (1, 1, "secret");
  start (2, 5, "secret");
  introduce (3);
  wait_until (nodes[0].up == 2 && nodes[1].up == 2 && nodes[2].up == 2);
  stop (2);
  wait_until (nodes[0].up == 1 && nodes[1].up == 1);
  start (2, 6, "secret");
  introduce (3);
  wait_until (nodes[0].up == 2 && nodes[1].up == 2 && nodes[2].up == 2);
  ck_assert_uint_eq (member_of (0, "e3").incarnation, 6);
}
END_TEST

START_TEST (replaced_daemon_is_refused)
{
  uint64_t refused = counter_read (COUNT_PEER_REFUSED);

  start (0, 1, "secret");
  start (1, 5, "secret");
  introduce (2);
  wait_until (nodes[0].up == 1);
  stop (1);
  wait_until (nodes[0].up == 0);
  start (1, 4, "secret");
  introduce (2);
  wait_until (counter_read (COUNT_PEER_REFUSED) > refused);
  ck_assert_uint_eq (nodes[0].up, 0);
}
END_TEST

START_TEST (wrong_secret_is_refused)
{
  uint64_t refused = counter_read (COUNT_PEER_REFUSED);

  start (0, 1, "secret");
  start (1, 1, "other");
  introduce (2);
  wait_until (counter_read (COUNT_PEER_REFUSED) > refused);
  ck_assert_uint_eq (nodes[0].up + nodes[1].up, 0);
  ck_assert (!link_send (nodes[0].link, "e2", &(msg_t){ MSG_FETCH }));
}
END_TEST

START_TEST (seed_is_enough_to_connect)
{
  g_autofree char *seed = NULL;
  g_autofree char *self = NULL;

  start (0, 1, "secret");
  start (1, 1, "secret");
  seed = g_strdup_printf ("127.0.0.1:%u", link_port (nodes[0].link));
  self = g_strdup_printf ("127.0.0.1:%u", link_port (nodes[1].link));
  link_set_seeds (nodes[1].link, (const char *[]){ self, seed, "bad" }, 3);
  wait_until (nodes[0].up == 1 && nodes[1].up == 1);
}
END_TEST

/* Both must keep the same one of the two connections.  */
START_TEST (daemons_that_connect_at_once_keep_one_connection)
{
  msg_t claim = { .kind = MSG_CLAIM };

  for (int round = 0; round < 4; round++)
    {
      char seeds[2][32];
      int64_t up_us;

      for (int i = 0; i < 2; i++)
        g_snprintf (seeds[i], sizeof seeds[i], "127.0.0.1:%u",
                    link_port (start (i, 1, "secret")));
      for (int i = 0; i < 2; i++)
        link_set_seeds (nodes[i].link, (const char *[]){ seeds[1 - i] }, 1);
      wait_until (nodes[0].up == 1 && nodes[1].up == 1);
      up_us = clock_mono_us ();
      wait_until (member_of (0, "e2").heard_us > up_us
                  && member_of (1, "e1").heard_us > up_us);
      ck_assert_uint_eq (link_send_all (nodes[0].link, &claim), 1);
      ck_assert_uint_eq (link_send_all (nodes[1].link, &claim), 1);
      wait_until (nodes[0].verdicts == 1 && nodes[1].verdicts == 1);
      wait_until (nodes[0].up == 1 && nodes[1].up == 1);
      stop_all ();
    }
}
END_TEST

/* Each input must end the connection, and nothing else.  */
START_TEST (strangers_are_turned_away)
{
  static const struct
  {
    const char *what;
    const char *bytes;
    size_t len;
    bool end;     /* close the sending side */
    bool refused; /* shows in the counter */
  } rows[] = {
    { "silence", "", 0, false },
    { "truncated frame", "\0\0\0\x09\x92", 5, true },
    { "oversized length", "\xff\xff\xff\xff", 4, false },
    { "long frame before the proof", "\0\0\x04\x01", 4, false },
    { "malformed", "\0\0\0\x01\xc1", 5, false },
    { "empty frame", "\0\0\0\0", 4, false },
    { "fetch before the proof", "\0\0\0\x03\x92\x05\x01", 7, false, true },
    { "other protocol",
      "\0\0\0\x2a\x96\x01\x02\xa1x\xa1y\x01\xc4\x20"
      "01234567890123456789012345678901",
      46, false, true },
    { "name with a line feed",
      "\0\0\0\x2a\x96\x01\x01\xa1\n\xa1y\x01\xc4\x20"
      "01234567890123456789012345678901",
      46, false, true },
  };

  start (0, 1, "secret");
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      uint64_t refused = counter_read (COUNT_PEER_REFUSED);
      int fd = raw_connect (0);

      ck_assert_int_eq (write (fd, rows[i].bytes, rows[i].len), rows[i].len);
      if (rows[i].end)
        shutdown (fd, SHUT_WR);
      expect_close (fd, rows[i].what);
      ck_assert_msg (counter_read (COUNT_PEER_REFUSED) - refused
                         == rows[i].refused,
                     "%s: refused", rows[i].what);
    }
  start (1, 1, "secret");
  introduce (2);
  wait_until (nodes[0].up == 1);
}
END_TEST

/* The connection to a paused daemon stays open; its silence must show, the
   queue to it must not grow, and it must not take what it finds in its
   buffers for new.  */
START_TEST (paused_daemon_is_given_up_and_comes_back)
{
  static uint8_t data[MSG_BYTES_MAX / 2];
  msg_record_t record = { 1, data, sizeof data };
  msg_t relay = { .kind = MSG_RELAY, .u.relay = { 1, false, 1, &record } };
  msg_t claim = { .kind = MSG_CLAIM };
  uint32_t sent = 0;
  int64_t held_us;

  start (0, 1, "secret");
  start (1, 1, "secret");
  introduce (2);
  wait_until (nodes[0].up == 1 && member_of (1, "e1").heard_us > 0);
  nodes[1].hold = true;
  held_us = clock_mono_us ();
  ck_assert (link_send (nodes[0].link, "e2", &claim));
  wait_until (nodes[1].claims == 1);
  while (sent < 1000 && link_send (nodes[0].link, "e2", &relay))
    sent++;
  ck_assert_uint_lt (sent, 1000);
  wait_until (nodes[0].up == 0);
  ck_assert_int_ge (clock_mono_us () - held_us, GONE_US - BEAT_EVERY_US);
  pthread_mutex_lock (&lock);
  nodes[1].hold = false;
  pthread_cond_broadcast (&changed);
  pthread_mutex_unlock (&lock);
  wait_until (nodes[0].up == 1 && nodes[1].up == 1);
  wait_until (member_of (1, "e1").heard_us > held_us + GONE_US);
}
END_TEST

TEST_PROGRAM_WITH ("link", rcu_register_thread, tear_down,
                   two_daemons_exchange_beats_and_messages,
                   daemons_find_each_other_again, replaced_daemon_is_refused,
                   wrong_secret_is_refused, seed_is_enough_to_connect,
                   daemons_that_connect_at_once_keep_one_connection,
                   strangers_are_turned_away,
                   paused_daemon_is_given_up_and_comes_back)

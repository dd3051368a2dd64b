/* Guards against daemons that don't reconnect, that accept messages from
   unauthenticated peers, or that hang or use unbounded memory because of a
   malicious, silent or paused peer.  Each test runs several transports in one
   process and connects them over loopback.  */

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
  transport_t *transport;
  uint32_t connected_peers;
  uint64_t claims;        /* received */
  uint64_t claim_replies; /* received */
  bool blocked;           /* its peer thread blocks in the next claim */
} node_t;

static node_t nodes[NODES];

static void
on_message (void *ctx, const char *peer, uint64_t incarnation,
            const msg_t *msg)
{
  node_t *node = ctx;
  msg_t answer
      = { .kind = MSG_CLAIM_REPLY, .u.claim_reply = { 1, CLAIM_GRANTED } };

  ck_assert_uint_gt (incarnation, 0);
  pthread_mutex_lock (&lock);
  if (msg->kind == MSG_CLAIM)
    {
      node->claims++;
      pthread_cond_broadcast (&changed);
      while (node->blocked)
        pthread_cond_wait (&changed, &lock);
      ck_assert (transport_send (node->transport, peer, &answer));
    }
  if (msg->kind == MSG_CLAIM_REPLY)
    node->claim_replies++;
  pthread_cond_broadcast (&changed);
  pthread_mutex_unlock (&lock);
}

static void
on_peer (void *ctx, const char *peer, bool connected)
{
  node_t *node = ctx;

  (void)peer;
  pthread_mutex_lock (&lock);
  node->connected_peers += connected ? 1 : (uint32_t)-1;
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

static transport_t *
start (int i, uint64_t incarnation, const char *secret)
{
  node_t *node = &nodes[i];
  transport_config_t config = { .name = node->name,
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
  node->transport = transport_start (&config);
  ck_assert_ptr_nonnull (node->transport);
  return node->transport;
}

/* Configures the first COUNT nodes as peers of each other.  */
static void
connect_nodes (uint32_t count)
{
  entry_host_t hosts[NODES];

  for (uint32_t i = 0; i < count; i++)
    hosts[i] = (entry_host_t){ nodes[i].name, "north", "127.0.0.1",
                               transport_port (nodes[i].transport) };
  for (uint32_t i = 0; i < count; i++)
    transport_set_peers (nodes[i].transport, hosts, count);
}

static void
stop (int i)
{
  transport_stop (nodes[i].transport);
  nodes[i].transport = NULL;
}

static void
stop_all (void)
{
  for (int i = 0; i < NODES; i++)
    if (nodes[i].transport)
      stop (i);
}

static void
tear_down (void)
{
  /* A check that fails leaves a thread paused.  */
  pthread_mutex_lock (&lock);
  for (int i = 0; i < NODES; i++)
    nodes[i].blocked = false;
  pthread_cond_broadcast (&changed);
  pthread_mutex_unlock (&lock);
  stop_all ();
  rcu_unregister_thread ();
}

/* The member entry for PEER at node I.  */
static member_t
member_of (int i, const char *peer)
{
  const member_list_t *list;
  member_t member = { 0 };

  rcu_read_lock ();
  list = transport_members (nodes[i].transport);
  for (uint32_t n = 0; n < list->count; n++)
    if (strcmp (list->members[n].name, peer) == 0)
      member = list->members[n];
  rcu_read_unlock ();
  return member;
}

static int
connect_socket (int i)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET,
          .sin_port = htons (transport_port (nodes[i].transport)),
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

START_TEST (two_daemons_exchange_heartbeats_and_messages)
{
  heartbeat_info_t heartbeat = { 5, 4, 9, 0 };
  msg_t claim = { .kind = MSG_CLAIM };
  peer_heartbeat_t received;

  start (0, 7, "secret");
  start (1, 8, "secret");
  heartbeat.log_read_us = clock_mono_us ();
  transport_set_heartbeat (nodes[1].transport, &heartbeat);
  ck_assert (!transport_send (nodes[0].transport, "e2", &claim));
  connect_nodes (2);
  wait_until (nodes[0].connected_peers == 1 && nodes[1].connected_peers == 1);
  wait_until (member_of (0, "e2").log_read_us > 0);
  received = member_heartbeat (&(member_t[]){ member_of (0, "e2") }[0]);
  ck_assert_int_le (received.log_read_us, heartbeat.log_read_us);
  ck_assert_int_ge (received.log_read_us,
                    heartbeat.log_read_us - 2 * HEARTBEAT_INTERVAL_US);
  ck_assert_uint_eq (received.offset, 9);
  ck_assert_str_eq (received.data_centre, "north");
  ck_assert_uint_eq (member_of (0, "e2").settled_version, 4);
  ck_assert (transport_send (nodes[0].transport, "e2", &claim));
  ck_assert_uint_eq (transport_send_all (nodes[0].transport, &claim), 1);
  wait_until (nodes[1].claims == 2 && nodes[0].claim_replies == 2);
}
END_TEST

START_TEST (daemons_reconnect_after_a_restart)
{
  start (0, 1, "secret");
  start (1, 1, "secret");
  start (2, 5, "secret");
  connect_nodes (3);
  wait_until (nodes[0].connected_peers == 2 && nodes[1].connected_peers == 2
              && nodes[2].connected_peers == 2);
  stop (2);
  wait_until (nodes[0].connected_peers == 1 && nodes[1].connected_peers == 1);
  start (2, 6, "secret");
  connect_nodes (3);
  wait_until (nodes[0].connected_peers == 2 && nodes[1].connected_peers == 2
              && nodes[2].connected_peers == 2);
  ck_assert_uint_eq (member_of (0, "e3").incarnation, 6);
}
END_TEST

START_TEST (replaced_daemon_is_refused)
{
  uint64_t refused = counter_read (COUNT_PEER_REFUSED);

  start (0, 1, "secret");
  start (1, 5, "secret");
  connect_nodes (2);
  wait_until (nodes[0].connected_peers == 1);
  stop (1);
  wait_until (nodes[0].connected_peers == 0);
  start (1, 4, "secret");
  connect_nodes (2);
  wait_until (counter_read (COUNT_PEER_REFUSED) > refused);
  ck_assert_uint_eq (nodes[0].connected_peers, 0);
}
END_TEST

START_TEST (wrong_secret_is_refused)
{
  uint64_t refused = counter_read (COUNT_PEER_REFUSED);

  start (0, 1, "secret");
  start (1, 1, "other");
  connect_nodes (2);
  wait_until (counter_read (COUNT_PEER_REFUSED) > refused);
  ck_assert_uint_eq (nodes[0].connected_peers + nodes[1].connected_peers, 0);
  ck_assert (
      !transport_send (nodes[0].transport, "e2", &(msg_t){ MSG_FETCH }));
}
END_TEST

START_TEST (seed_is_enough_to_connect)
{
  g_autofree char *seed = NULL;
  g_autofree char *self = NULL;

  start (0, 1, "secret");
  start (1, 1, "secret");
  seed = g_strdup_printf ("127.0.0.1:%u", transport_port (nodes[0].transport));
  self = g_strdup_printf ("127.0.0.1:%u", transport_port (nodes[1].transport));
  transport_set_seeds (nodes[1].transport,
                       (const char *[]){ self, seed, "bad" }, 3);
  wait_until (nodes[0].connected_peers == 1 && nodes[1].connected_peers == 1);
}
END_TEST

/* Both daemons must keep the same one of the two connections.  */
START_TEST (simultaneous_connects_leave_one_connection)
{
  msg_t claim = { .kind = MSG_CLAIM };

  for (int round = 0; round < 4; round++)
    {
      char seeds[2][32];
      int64_t up_us;

      for (int i = 0; i < 2; i++)
        g_snprintf (seeds[i], sizeof seeds[i], "127.0.0.1:%u",
                    transport_port (start (i, 1, "secret")));
      for (int i = 0; i < 2; i++)
        transport_set_seeds (nodes[i].transport,
                             (const char *[]){ seeds[1 - i] }, 1);
      wait_until (nodes[0].connected_peers == 1
                  && nodes[1].connected_peers == 1);
      up_us = clock_mono_us ();
      wait_until (member_of (0, "e2").heard_us > up_us
                  && member_of (1, "e1").heard_us > up_us);
      ck_assert_uint_eq (transport_send_all (nodes[0].transport, &claim), 1);
      ck_assert_uint_eq (transport_send_all (nodes[1].transport, &claim), 1);
      wait_until (nodes[0].claim_replies == 1 && nodes[1].claim_replies == 1);
      wait_until (nodes[0].connected_peers == 1
                  && nodes[1].connected_peers == 1);
      stop_all ();
    }
}
END_TEST

/* Each input must close its own connection and have no other effect.  */
START_TEST (invalid_input_closes_the_connection)
{
  static const struct
  {
    const char *what;
    const char *bytes;
    size_t len;
    bool end;     /* close the sending side */
    bool refused; /* increments COUNT_PEER_REFUSED */
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
      int fd = connect_socket (0);

      ck_assert_int_eq (write (fd, rows[i].bytes, rows[i].len), rows[i].len);
      if (rows[i].end)
        shutdown (fd, SHUT_WR);
      expect_close (fd, rows[i].what);
      ck_assert_msg (counter_read (COUNT_PEER_REFUSED) - refused
                         == rows[i].refused,
                     "%s: refused", rows[i].what);
    }
  start (1, 1, "secret");
  connect_nodes (2);
  wait_until (nodes[0].connected_peers == 1);
}
END_TEST

/* The kernel keeps the connection to a paused daemon open.  The other daemon
   must detect its silence and limit the queue to it.  After the pause, the
   paused daemon must not treat old heartbeats in its socket buffers as new. */
START_TEST (paused_daemon_is_disconnected_and_reconnects)
{
  static uint8_t data[MSG_BYTES_MAX / 2];
  msg_record_t record = { 1, data, sizeof data };
  msg_t relay = { .kind = MSG_RELAY, .u.relay = { 1, false, 1, &record } };
  msg_t claim = { .kind = MSG_CLAIM };
  uint32_t sent = 0;
  int64_t blocked_us;

  start (0, 1, "secret");
  start (1, 1, "secret");
  connect_nodes (2);
  /* The time from the last heartbeat of e2 until it is paused is less than the
     interval only if e1 has just had one.  */
  wait_until (nodes[0].connected_peers == 1 && member_of (1, "e1").heard_us > 0
              && member_of (0, "e2").heard_us > 0);
  nodes[1].blocked = true;
  blocked_us = clock_mono_us ();
  ck_assert (transport_send (nodes[0].transport, "e2", &claim));
  wait_until (nodes[1].claims == 1);
  while (sent < 1000 && transport_send (nodes[0].transport, "e2", &relay))
    sent++;
  ck_assert_uint_lt (sent, 1000);
  wait_until (nodes[0].connected_peers == 0);
  ck_assert_int_ge (clock_mono_us () - blocked_us,
                    GONE_AFTER_US - HEARTBEAT_INTERVAL_US);
  pthread_mutex_lock (&lock);
  nodes[1].blocked = false;
  pthread_cond_broadcast (&changed);
  pthread_mutex_unlock (&lock);
  wait_until (nodes[0].connected_peers == 1 && nodes[1].connected_peers == 1);
  wait_until (member_of (1, "e1").heard_us > blocked_us + GONE_AFTER_US);
}
END_TEST

TEST_PROGRAM_WITH ("transport", rcu_register_thread, tear_down,
                   two_daemons_exchange_heartbeats_and_messages,
                   daemons_reconnect_after_a_restart,
                   replaced_daemon_is_refused, wrong_secret_is_refused,
                   seed_is_enough_to_connect,
                   simultaneous_connects_leave_one_connection,
                   invalid_input_closes_the_connection,
                   paused_daemon_is_disconnected_and_reconnects)

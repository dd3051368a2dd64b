/* conn - types and functions shared by the modules of the transport

   Private to the package.  Members belong to the peer thread unless marked
   otherwise.  */

#ifndef CUMINPIN_CONN_H
#define CUMINPIN_CONN_H

#include "peer.h"
#include <apr_network_io.h>
#include <apr_thread_proc.h>
#include <pthread.h>
#include <sodium.h>

#define CONNS_MAX 64
#define HANDSHAKE_TIMEOUT_US 2000000
#define HANDSHAKE_BYTES_MAX 1024 /* longest frame before authentication */
#define QUEUE_BYTES_MAX (4 * 1024 * 1024) /* per peer */
/* While more than this is queued for a peer, heartbeats to it are skipped.  */
#define HEARTBEAT_QUEUE_BYTES_MAX (64 * 1024)
#define FRAME_HEADER_BYTES 4

/* The kind of descriptor that an epoll event is for.  */
typedef enum source_kind
{
  SOURCE_LISTEN,
  SOURCE_PIPE,
  SOURCE_CONN
} source_kind_t;

typedef struct conn conn_t;

typedef struct source
{
  source_kind_t kind;
  union
  {
    conn_t *conn; /* CONN */
  } u;
} source_t;

/* A daemon that has completed a handshake at least once; lives as long as the
   transport.  */
typedef struct peer
{
  const char *name;         /* interned */
  atomic_bool connected;    /* any thread */
  atomic_uint queued_bytes; /* not yet written to the socket; any thread */
  conn_t *conn;
} peer_t;

/* An address to keep a connection to.  */
typedef struct target
{
  const char *name; /* interned; NULL: a seed that has not answered yet */
  char *address;
  uint16_t port;
  conn_t *conn;
  uint32_t failures; /* consecutive */
  int64_t retry_us;
  bool wanted; /* still configured; set by targets_update */
} target_t;

typedef enum conn_phase
{
  CONN_CONNECTING,
  CONN_HELLO, /* waiting for HELLO */
  CONN_PROOF, /* waiting for PROOF */
  CONN_UP,
  CONN_CLOSED /* freed after all events of this epoll round are handled */
} conn_phase_t;

struct conn
{
  source_t source;
  transport_t *transport;
  apr_pool_t *pool;
  apr_socket_t *sock;
  int fd;
  uint32_t events; /* epoll events registered for */
  conn_phase_t phase;
  target_t *target; /* NULL: opened by the other side */
  bool outgoing;
  peer_t *peer;
  msg_hello_t own_hello;
  msg_hello_t peer_hello;
  GByteArray *input;
  GQueue output;      /* frames, GBytes */
  size_t out_written; /* bytes of the first frame that are written */
  size_t out_bytes;
  int64_t opened_us;
  int64_t last_read_us; /* when bytes were last received */
  int64_t next_heartbeat_us;
  int64_t
      peer_sent_us; /* sent_us of the last heartbeat received, to be echoed */
};

struct transport
{
  transport_config_t config;
  uint8_t key[crypto_generichash_KEYBYTES];
  apr_pool_t *pool;
  apr_thread_t *thread;
  apr_socket_t *listener;
  uint16_t port;
  int epoll_fd;
  source_t listen_source;
  source_t pipe_source;
  pipe_t pipe; /* of command_t */
  atomic_bool stopping;
  atomic_bool heartbeat_requested;
  atomic_bool targets_changed;
  pthread_mutex_t lock; /* guards peers_by_name, heartbeat, host_targets and
                           seed_targets */
  GHashTable *peers_by_name;
  heartbeat_info_t heartbeat;
  GPtrArray *host_targets; /* target_t, as set by transport_set_peers */
  GPtrArray *seed_targets; /* target_t, as set by transport_set_seeds */
  GPtrArray *conns;
  GPtrArray *targets; /* target_t, those in use by the peer thread */
  members_t *members;
  member_list_t *member_list; /* published by RCU */
  int64_t now_us;             /* start of this epoll round */
  int64_t next_tick_us;
  bool heartbeats_due; /* to be sent with the next tick */
};

/* A frame passed from another thread to the peer thread.  */
typedef struct command
{
  pipe_node_t node;
  peer_t *peer;
  GBytes *frame;
} command_t;

/* frame_new - encode MSG with its length in front; NULL if it is too long.  */
GBytes *frame_new (const msg_t *msg);

/* conn_new - create a connection on SOCK, which was allocated in POOL, and
   take ownership of both.  */
conn_t *conn_new (transport_t *transport, apr_pool_t *pool, apr_socket_t *sock,
                  target_t *target, int64_t now_us);

/* conn_connect - start connecting to TARGET.  False if that fails at once.  */
bool conn_connect (transport_t *transport, target_t *target, int64_t now_us);

/* conn_handle_events - handle the epoll EVENTS of CONN.  */
void conn_handle_events (conn_t *conn, uint32_t events, int64_t now_us);

/* conn_enqueue - append FRAME to the output queue.  */
void conn_enqueue (conn_t *conn, GBytes *frame);

/* conn_send_heartbeat - enqueue a heartbeat unless the queue exceeds
   HEARTBEAT_QUEUE_BYTES_MAX.  */
void conn_send_heartbeat (conn_t *conn, int64_t now_us);

/* conn_run_timers - close CONN if its handshake or its peer's silence has
   lasted too long; send a heartbeat if one is due.  */
void conn_run_timers (conn_t *conn, int64_t now_us);

/* conn_next_timer_us - when conn_run_timers must be called next.  */
int64_t conn_next_timer_us (const conn_t *conn);

/* conn_close - close CONN; REASON is for the log.  */
void conn_close (conn_t *conn, const char *reason);

void conn_free (conn_t *conn);

/* handshake_begin - send HELLO.  */
void handshake_begin (conn_t *conn);

/* handshake_handle_msg - handle a message received before CONN is up; anything
   but the expected HELLO or PROOF closes it.  */
void handshake_handle_msg (conn_t *conn, const msg_t *msg, int64_t now_us);

/* transport_conn_authenticated - the peer of CONN has proved that it has the
   secret: make CONN its connection, or close it as a duplicate.  */
void transport_conn_authenticated (transport_t *transport, conn_t *conn,
                                   int64_t now_us);

/* transport_conn_closed - CONN was closed: schedule a retry and report the
   disconnection to on_peer.  */
void transport_conn_closed (transport_t *transport, conn_t *conn);

/* transport_handle_msg - handle MSG from an authenticated CONN.  */
void transport_handle_msg (transport_t *transport, conn_t *conn,
                           const msg_t *msg, int64_t now_us);

/* transport_run - main function of the peer thread.  */
void *APR_THREAD_FUNC transport_run (apr_thread_t *thread, void *data);

/* transport_publish_members - replace the list of members that other threads
   see.  */
void transport_publish_members (transport_t *transport);

/* transport_unpublish_members - free the published list after its last reader
   has finished.  */
void transport_unpublish_members (transport_t *transport);

/* transport_find_peer - the peer called NAME, or NULL.  With CREATE, which
   only the peer thread may set, it is created if missing.  Any thread.  */
peer_t *transport_find_peer (transport_t *transport, const char *name,
                             bool create);

target_t *target_new (const char *name, const char *address, uint16_t port);
void target_free (target_t *target);

/* targets_update - replace the targets by the configured hosts and seeds;
   those in both sets keep their connection.  */
void targets_update (transport_t *transport, int64_t now_us);

/* targets_connect - connect to the targets whose retry time has come.  */
void targets_connect (transport_t *transport, int64_t now_us);

/* targets_next_retry_us - when targets_connect must be called next.  */
int64_t targets_next_retry_us (const transport_t *transport);

/* target_schedule_retry - set the time of the next attempt after the
   connection to TARGET ended or could not be opened.  */
void target_schedule_retry (target_t *target, int64_t now_us);

#endif

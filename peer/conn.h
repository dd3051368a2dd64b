/* conn - what the modules of the transport share

   Private to the package; all but the marked members belong to the peer
   thread.  */

#ifndef CUMINPIN_CONN_H
#define CUMINPIN_CONN_H

#include "peer.h"
#include <apr_network_io.h>
#include <apr_thread_proc.h>
#include <pthread.h>
#include <sodium.h>

#define CONNS_MAX 64
#define HANDSHAKE_US 2000000
#define HANDSHAKE_BYTES_MAX 1024          /* longest frame before the proof */
#define QUEUE_BYTES_MAX (4 * 1024 * 1024) /* for one peer */
#define QUEUE_BEAT_BYTES (64 * 1024)      /* beats are left out above this */
#define HEAD_BYTES 4

/* What became ready; the tag of each descriptor in the epoll set.  */
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

/* A daemon that proved itself once; lives as long as the transport.  */
typedef struct slot
{
  const char *name;   /* interned */
  atomic_bool up;     /* any thread */
  atomic_uint queued; /* bytes on their way to the socket; any thread */
  conn_t *conn;
} slot_t;

/* An address to keep a connection to.  */
typedef struct target
{
  const char *name; /* interned; NULL: a seed that has not answered yet */
  char *address;
  uint16_t port;
  conn_t *conn;
  uint32_t failures; /* in a row */
  int64_t retry_us;
  bool wanted;
} target_t;

typedef enum conn_phase
{
  CONN_CONNECTING,
  CONN_HELLO, /* waits for HELLO */
  CONN_PROOF, /* waits for PROOF */
  CONN_UP,
  CONN_CLOSED /* to be freed when all events of a round are handled */
} conn_phase_t;

struct conn
{
  source_t source;
  transport_t *transport;
  apr_pool_t *pool;
  apr_socket_t *sock;
  int fd;
  uint32_t events; /* waited for */
  conn_phase_t phase;
  target_t *target; /* NULL: opened by the other side */
  bool outgoing;
  slot_t *slot;
  msg_hello_t own;
  msg_hello_t theirs;
  GByteArray *in;
  GQueue out;      /* frames, GBytes */
  size_t out_done; /* bytes of the first one that are written */
  size_t out_bytes;
  int64_t opened_us;
  int64_t read_us;      /* last time that bytes came */
  int64_t beat_us;      /* when the next beat is due */
  int64_t peer_sent_us; /* of the last beat received, to be echoed */
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
  atomic_bool beat_now;
  atomic_bool targets_changed;
  pthread_mutex_t lock; /* guards slots, beat, wanted and seeds */
  GHashTable *slots;    /* by name */
  heartbeat_info_t beat;
  GPtrArray *wanted; /* target_t */
  GPtrArray *seeds;  /* target_t */
  GPtrArray *conns;
  GPtrArray *targets;
  members_t *members;
  member_list_t *list; /* under RCU */
  int64_t now_us;      /* of this round of events */
  int64_t tick_us;
  bool beats_due; /* with the next tick */
};

/* A frame on its way from another thread.  */
typedef struct command
{
  pipe_node_t node;
  slot_t *slot;
  GBytes *frame;
} command_t;

/* frame_new - the bytes of MSG with their length in front; NULL when it is too
   long.  */
GBytes *frame_new (const msg_t *msg);

/* conn_new - wait for SOCK, which is in POOL; they belong to the result.  */
conn_t *conn_new (transport_t *transport, apr_pool_t *pool, apr_socket_t *sock,
                  target_t *target, int64_t now_us);

/* conn_open - start to connect to TARGET.  False when that fails at once.  */
bool conn_open (transport_t *transport, target_t *target, int64_t now_us);

/* conn_ready - EVENTS came for CONN.  */
void conn_ready (conn_t *conn, uint32_t events, int64_t now_us);

/* conn_queue - send FRAME behind what is queued.  */
void conn_queue (conn_t *conn, GBytes *frame);

/* conn_send_beat - unless the queue is long.  */
void conn_send_beat (conn_t *conn, int64_t now_us);

/* conn_timer - end CONN if it is silent; send a beat if one is due.  */
void conn_timer (conn_t *conn, int64_t now_us);

/* conn_due_us - when conn_timer is to be called next.  */
int64_t conn_due_us (const conn_t *conn);

/* conn_close - end CONN because of REASON.  */
void conn_close (conn_t *conn, const char *reason);

void conn_free (conn_t *conn);

/* handshake_begin - send HELLO.  */
void handshake_begin (conn_t *conn);

/* handshake_take - MSG is the other side's HELLO or PROOF.  */
void handshake_take (conn_t *conn, const msg_t *msg, int64_t now_us);

/* link_adopt - the other side of CONN has proved itself.  */
void link_adopt (transport_t *transport, conn_t *conn, int64_t now_us);

/* link_dropped - CONN is closed.  */
void link_dropped (transport_t *transport, conn_t *conn);

/* link_take - MSG came from an adopted CONN.  */
void link_take (transport_t *transport, conn_t *conn, const msg_t *msg,
                int64_t now_us);

/* link_run - the peer thread.  */
void *APR_THREAD_FUNC link_run (apr_thread_t *thread, void *data);

/* link_publish - make the members as they are now visible to all threads.  */
void link_publish (transport_t *transport);

/* link_unpublish - release the published list when no reader is left.  */
void link_unpublish (transport_t *transport);

/* link_slot - the slot of NAME, made if MAKE; any thread, but only the peer
   thread makes them.  */
slot_t *link_slot (transport_t *transport, const char *name, bool make);

target_t *target_new (const char *name, const char *address, uint16_t port);
void target_free (target_t *target);

/* targets_update - go over to the hosts and seeds wanted now.  */
void targets_update (transport_t *transport, int64_t now_us);

/* targets_connect - open the connections that are due.  */
void targets_connect (transport_t *transport, int64_t now_us);

/* targets_due_us - when targets_connect is to be called next.  */
int64_t targets_due_us (const transport_t *transport);

/* target_failed - the connection to TARGET ended or could not be opened.  */
void target_failed (target_t *target, int64_t now_us);

#endif

/* peer - connections between daemons, failure detection and permit loans

   NAME
     member, transport, loans

   DESCRIPTION
     member     state of the other daemons as reported by their heartbeats; no
                I/O and no clock
     transport  one thread that keeps a TCP connection to each other daemon,
                sends and receives frames, and publishes the list of members
     loans      borrows permits from other daemons when this daemon has none
                left, and lends permits to them

     Before any other message, two daemons prove to each other that they have
     the shared secret.  Of two connections between the same daemons, the one
     opened by the daemon with the smaller name is kept.

     A frame consists of a length in 4 bytes, big endian, and one message of
     that length (wire.h).  */

#ifndef CUMINPIN_PEER_H
#define CUMINPIN_PEER_H

#include "admit.h"
#include "wire.h"
#include <pthread.h>
#include <urcu.h>

#define PEER_PROTOCOL 1
#define HEARTBEAT_INTERVAL_US 500000
/* Tolerates one lost heartbeat and its echo.  */
#define SUSPECT_AFTER_US 2000000
#define GONE_AFTER_US FRESH_MAX_AGE_US

typedef enum member_phase
{
  MEMBER_ALIVE,
  MEMBER_SUSPECT,
  MEMBER_GONE
} member_phase_t;

const char *member_phase_name (member_phase_t phase);

/* The state of another daemon.  Names are interned.  */
typedef struct member
{
  const char *name;
  const char *data_centre;
  uint64_t incarnation;
  int64_t heard_us;    /* its last heartbeat was sent at or after this time; 0:
                          none yet */
  int64_t log_read_us; /* it last read the log to its end at or after this
                          time; 0: never */
  uint64_t config_version;
  uint64_t settled_version;
  uint64_t offset;
  bool connected;
  bool suspect; /* already returned by members_next_suspect */
} member_t;

typedef struct members members_t;

members_t *members_new (void);
void members_free (members_t *members);

/* members_register - add or update the member NAME after a successful
   handshake.  False if a later incarnation of it is known: the daemon has been
   replaced and must be ignored.  */
bool members_register (members_t *members, const char *name,
                       const char *data_centre, uint64_t incarnation);

/* members_update - apply a heartbeat of that incarnation of NAME.  True if it
   raises one of the member's versions.  The time of a heartbeat is the time at
   which the heartbeat that it echoes was sent, so that heartbeats which waited
   in a socket buffer while this process was paused count as old.  */
bool members_update (members_t *members, const char *name,
                     uint64_t incarnation, const msg_heartbeat_t *heartbeat,
                     int64_t now_us);

void members_set_connected (members_t *members, const char *name,
                            bool connected);

uint32_t members_count (const members_t *members);
const member_t *members_at (const members_t *members, uint32_t index);

/* members_next_suspect - a member that is no longer alive and was not returned
   before, or NULL.  */
const member_t *members_next_suspect (members_t *members, int64_t now_us);

member_phase_t member_phase_at (const member_t *member, int64_t now_us);

/* member_heartbeat - the last heartbeat of MEMBER for freshness_evaluate.  */
peer_heartbeat_t member_heartbeat (const member_t *member);

/* member_report - the versions of MEMBER for share_gate_is_open.  */
share_report_t member_report (const member_t *member, bool listed);

/* The list of members that the transport publishes; immutable.  */
typedef struct member_list
{
  struct rcu_head rcu;
  uint32_t count;
  peer_heartbeat_t *heartbeats;
  member_t members[];
} member_list_t;

/* The contents of this daemon's heartbeats.  */
typedef struct heartbeat_info
{
  uint64_t config_version;
  uint64_t settled_version;
  uint64_t offset;
  int64_t log_read_us; /* 0: never */
} heartbeat_info_t;

typedef struct transport transport_t;

typedef struct transport_config
{
  const char *name;
  const char *data_centre;
  uint64_t incarnation;
  const char *secret;
  const char *address; /* IP address to listen on */
  uint16_t port;       /* 0: chosen by the kernel */

  /* Called for each message from an authenticated peer except heartbeats, on
     the peer thread, which is registered with RCU.  PEER is interned.  MSG is
     cleared after the call; to keep the records of a RELAY, take a reference
     to msg->bytes.  May call transport_send.  */
  void (*on_message) (void *ctx, const char *peer, uint64_t incarnation,
                      const msg_t *msg);
  /* Called on the peer thread when PEER is connected or disconnected, after
     the list of members was published; may be NULL.  */
  void (*on_peer) (void *ctx, const char *peer, bool connected);
  /* Called on the peer thread at least every HEARTBEAT_INTERVAL_US.  May be
     NULL.  */
  void (*on_tick) (void *ctx, int64_t now_us);
  void *ctx;
} transport_config_t;

/* transport_start - listen and start the peer thread.  The strings of CONFIG
   must outlive the transport.  NULL if listening or starting the thread
   fails.  */
transport_t *transport_start (const transport_config_t *config);

/* transport_stop - close all connections and end the thread.  */
void transport_stop (transport_t *transport);

uint16_t transport_port (const transport_t *transport);

/* transport_set_peers - keep connections to these entry hosts from now
   on, except to this daemon itself.  Any thread.  */
void transport_set_peers (transport_t *transport, const entry_host_t *hosts,
                          uint32_t count);

/* transport_set_seeds - also connect to these addresses, IP:PORT, whatever the
   name of the daemon there.  Any thread.  */
void transport_set_seeds (transport_t *transport, const char *const *seeds,
                          uint32_t count);

/* transport_set_heartbeat - set the contents of later heartbeats.  Any
   thread.  */
void transport_set_heartbeat (transport_t *transport,
                              const heartbeat_info_t *heartbeat);

/* transport_send_heartbeats - call on_tick and send a heartbeat to all peers
   now instead of at the next interval.  Any thread.  */
void transport_send_heartbeats (transport_t *transport);

/* transport_send - queue MSG for the peer NAME.  False if it is not connected
   or its queue is full.  Delivery is not guaranteed.  Any thread.  */
bool transport_send (transport_t *transport, const char *name,
                     const msg_t *msg);

/* transport_send_all - queue MSG for all connected peers; returns for how many
   it was queued.  Any thread.  */
uint32_t transport_send_all (transport_t *transport, const msg_t *msg);

/* transport_members - the current list of members.  To be called and used
   between rcu_read_lock and rcu_read_unlock.  */
const member_list_t *transport_members (const transport_t *transport);

#define LOAN_REQUEST_TIMEOUT_US 500000
#define LOAN_RETRY_DELAY_US 1000000 /* after all peers were asked */

typedef struct loans loans_t;

typedef struct loans_config
{
  /* As transport_send.  */
  bool (*send) (void *ctx, const char *peer, const msg_t *msg);
  /* Returns the permits of a resource, or NULL; they must outlive the loans.
     Any thread.  */
  escrow_t *(*find_escrow) (void *ctx, loan_kind_t kind, const char *name);
  /* Whether lending is allowed: the view is not stale and the daemon is not
     stopping.  Peer thread.  */
  bool (*may_lend) (void *ctx);
  /* Whether requests are queued at this daemon.  Peer thread.  */
  bool (*has_queue) (void *ctx);
  /* Called when permits of a resource were borrowed.  Peer thread.  */
  void (*on_borrowed) (void *ctx, loan_kind_t kind, const char *name);
  void *ctx;
} loans_config_t;

loans_t *loans_new (const loans_config_t *config);
void loans_free (loans_t *loans);

/* loans_request - borrow COUNT permits of a resource.  Asks PEERS one at a
   time until enough are borrowed.  No effect while a request for the resource
   is pending or within LOAN_RETRY_DELAY_US after the last one ended.  Any
   thread.  */
void loans_request (loans_t *loans, loan_kind_t kind, const char *name,
                    uint32_t count, const char *const *peers,
                    uint32_t peers_count, int64_t now_us);

/* loans_receive - handle a LOAN_REQUEST or LOAN from PEER.  Peer thread.  */
void loans_receive (loans_t *loans, const char *peer, const msg_t *msg,
                    int64_t now_us, int64_t now_ms);

/* loans_tick - end expired loans and time out requests.  Peer thread.  */
void loans_tick (loans_t *loans, int64_t now_us);

#endif

/* peer - connections between daemons, and who of them is alive

   NAME
     member, link, loans

   DESCRIPTION
     member  what heartbeats say of the other daemons; pure
     link    one thread that keeps a TCP connection to each other daemon, sends
             and receives frames, and publishes the list of members
     loans   asks other daemons for permits when there are none left here, and
             lends to them

     Two daemons prove to each other that they have the shared secret before
     anything else is exchanged.  Of two connections between the same daemons
     the one that the daemon with the smaller name opened is kept.

     A frame is a length of 4 bytes, big endian, and that many bytes of one
     message (wire.h).  */

#ifndef CUMINPIN_PEER_H
#define CUMINPIN_PEER_H

#include "admit.h"
#include "wire.h"
#include <pthread.h>
#include <urcu.h>

#define PEER_PROTOCOL 1
#define BEAT_EVERY_US 500000
#define SUSPECT_US 2000000 /* one lost beat and its echo */
#define GONE_US FRESH_MAX_AGE_US

typedef enum member_phase
{
  MEMBER_ALIVE,
  MEMBER_SUSPECT,
  MEMBER_GONE
} member_phase_t;

const char *member_phase_name (member_phase_t phase);

/* What is known of another daemon.  Names are interned.  */
typedef struct member
{
  const char *name;
  const char *data_centre;
  uint64_t incarnation;
  int64_t heard_us;    /* its last beat was sent no earlier; 0: none */
  int64_t log_read_us; /* it read the log to its end no earlier; 0: never */
  uint64_t config_version;
  uint64_t settled_version;
  uint64_t offset;
  bool connected;
  bool suspect; /* as last told by members_next_suspect */
} member_t;

typedef struct members members_t;

members_t *members_new (void);
void members_free (members_t *members);

/* members_hello - a daemon proved to be NAME.  False when a later incarnation
   of it is known: it was replaced and must not be heard.  */
bool members_hello (members_t *members, const char *name,
                    const char *data_centre, uint64_t incarnation);

/* members_beat - take in a beat of that incarnation of NAME; true when it
   tells of other versions than the one before.  A beat counts as heard when
   the beat of this daemon that it echoes was sent, so that one which waited in
   a buffer while this process was paused is known to be old.
 */
bool members_beat (members_t *members, const char *name, uint64_t incarnation,
                   const msg_beat_t *beat, int64_t now_us);

void members_set_connected (members_t *members, const char *name,
                            bool connected);

uint32_t members_count (const members_t *members);
const member_t *members_at (const members_t *members, uint32_t index);

/* members_next_suspect - a member that is no longer alive and was not told
   before, or NULL.  */
const member_t *members_next_suspect (members_t *members, int64_t now_us);

member_phase_t member_judge (const member_t *member, int64_t now_us);

/* member_view - MEMBER as freshness_evaluate needs it.  */
peer_heartbeat_t member_view (const member_t *member);

/* member_report - MEMBER as share_gate_is_open needs it.  */
share_report_t member_report (const member_t *member, bool listed);

/* The members as published by the link; immutable.  */
typedef struct member_list
{
  struct rcu_head rcu;
  uint32_t count;
  peer_heartbeat_t *views;
  member_t members[];
} member_list_t;

/* What this daemon's beats say.  */
typedef struct own_beat
{
  uint64_t config_version;
  uint64_t settled_version;
  uint64_t offset;
  int64_t log_read_us; /* 0: never */
} own_beat_t;

typedef struct link link_t;

typedef struct link_config
{
  const char *name;
  const char *data_centre;
  uint64_t incarnation;
  const char *secret;
  const char *address; /* IP number to listen on */
  uint16_t port;       /* 0: chosen by the kernel */

  /* Called on the peer thread, which is registered with RCU, for each message
     of an accepted peer but beats.  PEER is interned.  MSG is cleared
     afterwards; keep a reference of msg->bytes to use a RELAY's records
     longer.  May call link_send.  */
  void (*on_message) (void *ctx, const char *peer, uint64_t incarnation,
                      const msg_t *msg);
  /* Called on the peer thread when PEER is connected, and when it is not any
     more, after the list of members says so; may be NULL.  */
  void (*on_peer) (void *ctx, const char *peer, bool connected);
  /* Called on the peer thread at least each BEAT_EVERY_US; may be NULL.  */
  void (*on_tick) (void *ctx, int64_t now_us);
  void *ctx;
} link_config_t;

/* link_start - listen and start the peer thread.  The strings of CONFIG must
   outlive the link.  NULL when the address or port can't be had.  */
link_t *link_start (const link_config_t *config);

/* link_stop - close all connections and end the thread.  */
void link_stop (link_t *link);

uint16_t link_port (const link_t *link);

/* link_set_peers - keep connections to these entry hosts from now on; this
   daemon's own name is left out.  Any thread.  */
void link_set_peers (link_t *link, const entry_host_t *hosts, uint32_t count);

/* link_set_seeds - also connect to these addresses, IP:PORT, whoever is there.
   Any thread.  */
void link_set_seeds (link_t *link, const char *const *seeds, uint32_t count);

/* link_set_beat - what beats say from now on.  Any thread.  */
void link_set_beat (link_t *link, const own_beat_t *beat);

/* link_beat_now - call on_tick and send a beat to all peers without waiting
   for their time.  Any thread.  */
void link_beat_now (link_t *link);

/* link_send - queue MSG for PEER.  False when it is not connected or its queue
   is full; true is no promise that it arrives.  Any thread.  */
bool link_send (link_t *link, const char *peer, const msg_t *msg);

/* link_send_all - queue MSG for all connected peers; for how many.  Any
   thread.  */
uint32_t link_send_all (link_t *link, const msg_t *msg);

/* link_members - the members now.  Between rcu_read_lock and
   rcu_read_unlock.  */
const member_list_t *link_members (const link_t *link);

#define LOAN_ASK_TIMEOUT_US 500000
#define LOAN_PAUSE_US 1000000 /* after all peers were asked */

typedef struct loans loans_t;

typedef struct loans_config
{
  /* As link_send.  */
  bool (*send) (void *ctx, const char *peer, const msg_t *msg);
  /* The permits of a resource, or NULL; they live as long as the loans.  Any
     thread.  */
  escrow_t *(*find) (void *ctx, loan_kind_t kind, const char *name);
  /* On the peer thread: whether lending is allowed: the view is not stale, the
     daemon does not stop.  */
  bool (*may_lend) (void *ctx);
  /* On the peer thread: whether requests of this daemon are queued.  */
  bool (*has_queue) (void *ctx);
  /* On the peer thread: permits of a resource have come.  */
  void (*arrived) (void *ctx, loan_kind_t kind, const char *name);
  void *ctx;
} loans_config_t;

loans_t *loans_new (const loans_config_t *config);
void loans_free (loans_t *loans);

/* loans_want - COUNT more permits of a resource are wanted.  Asks one of PEERS
   after the other until they are there, then not again for LOAN_PAUSE_US.  Any
   thread.  */
void loans_want (loans_t *loans, loan_kind_t kind, const char *name,
                 uint32_t count, const char *const *peers,
                 uint32_t peers_count, int64_t now_us);

/* loans_take - MSG is a LOAN_ASK or LOAN from PEER.  Peer thread.  */
void loans_take (loans_t *loans, const char *peer, const msg_t *msg,
                 int64_t now_us, int64_t now_ms);

/* loans_tick - end loans and questions whose time is over.  Peer thread.  */
void loans_tick (loans_t *loans, int64_t now_us);

#endif

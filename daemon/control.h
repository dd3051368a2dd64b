/* control - what a daemon does beside the path of a request

   NAME
     waiter, replica, logreader, livereader, maintenance, planner, hostload,
     demand, exchange, gate, lending, admin

   DESCRIPTION
     A record passes through

       read -> check -> fold -> publish

     on the log thread, or on the peer thread when a peer relays it. Publishing
     replaces the view under RCU.

     thread  modules
     log     logreader, replica
     peer    exchange, gate, lending, replica
     live    livereader, maintenance, planner
     admin   admin  */

#ifndef CUMINPIN_CONTROL_H
#define CUMINPIN_CONTROL_H

#include "daemon.h"

/* Lets a thread sleep until a time or until it is told to stop.  */
typedef struct waiter
{
  pthread_mutex_t lock;
  pthread_cond_t wake;
  bool stopping;
} waiter_t;

void waiter_init (waiter_t *waiter);
void waiter_destroy (waiter_t *waiter);

/* waiter_wait - sleep for WAIT_MS; false once waiter_stop was called.  */
bool waiter_wait (waiter_t *waiter, uint32_t wait_ms);
void waiter_stop (waiter_t *waiter);

/* planner - plans moves of hosts between pools; see planner.h.  */
typedef struct planner planner_t;

/* livereader_start - a thread that reads the platform's list of hosts each
   second and marks upstreams on leaving hosts.  */
typedef struct livereader livereader_t;

livereader_t *livereader_start (const settings_t *settings,
                                const char *platform_url, exchange_t *exchange,
                                planner_t *planner);
void livereader_stop (livereader_t *reader);

/* hostload - requests on draining hosts, as each daemon tells the others.  Any
   thread.  */
typedef struct hostload hostload_t;

hostload_t *hostload_new (void);
void hostload_free (hostload_t *loads);

/* hostload_list - what this daemon has to tell: up to MAX TOTALS; their
   number.  */
uint32_t hostload_list (const view_t *view, msg_total_t *totals, uint32_t max);

/* hostload_record - PEER has told TOTALS.  */
void hostload_record (hostload_t *loads, const char *peer,
                      const msg_totals_t *totals, int64_t now_us);

/* hostload_sum - requests on HOST of all entry hosts, SELF included.  False
   while HOST is not draining or one of them has not told lately: it may still
   send to HOST.  */
bool hostload_sum (hostload_t *loads, const view_t *view, const char *self,
                   const char *host, int64_t now_us, uint32_t *load);

/* demand - requests at the services of each pool, as each daemon tells the
   others.  demand_list on the peer thread only, the others on any.  */
typedef struct demand demand_t;

typedef struct pool_load
{
  const char *pool; /* interned */
  uint32_t in_use;  /* slots, of all daemons */
  uint32_t queued;  /* requests, of all daemons */
  uint32_t milli;   /* both in thousandths of a host */
  bool serves;      /* it has services with upstreams */
} pool_load_t;

demand_t *demand_new (void);
void demand_free (demand_t *demand);

/* demand_list - what this daemon has to tell: up to MAX TOTALS; their number.
   A pool is told when it has changed, and every few seconds while it is in
   use.  */
uint32_t demand_list (demand_t *demand, const view_t *view,
                      msg_total_t *totals, uint32_t max, int64_t now_us);

/* demand_record - PEER has told TOTALS.  */
void demand_record (demand_t *demand, const char *peer,
                    const msg_totals_t *totals, int64_t now_us);

/* demand_sum - the demand on POOL at all entry hosts, SELF included.  One that
   has not told lately counts as having none.  */
void demand_sum (demand_t *demand, const view_t *view, const char *self,
                 const char *pool, int64_t now_us, pool_load_t *load);

/* maintenance - takes hosts through waves and moves: decides by the state, the
   platform's list, the demand and the load of draining hosts, and appends the
   records.  The live thread only.  */
typedef struct maintenance maintenance_t;

maintenance_t *maintenance_new (const settings_t *settings,
                                exchange_t *exchange, planner_t *planner,
                                platform_t *platform);
void maintenance_free (maintenance_t *maintenance);
void maintenance_step (maintenance_t *maintenance, const live_list_t *list);

/* replica - this daemon's fold of the log: takes records from the log thread
   and from peers, and publishes views.  Any thread.  */
typedef struct replica replica_t;

replica_t *replica_open (const settings_t *settings, claims_t *claims,
                         uint64_t incarnation);

/* replica_set_exchange - tell EXCHANGE of each new view.  Before
   logreader_start.  */
void replica_set_exchange (replica_t *replica, exchange_t *exchange);
void replica_close (replica_t *replica);

/* replica_apply - fold and publish what was read.  False when this daemon must
   fold no further.  */
bool replica_apply (replica_t *replica, const log_batch_t *batch);

/* replica_load_snapshot - start from the snapshot in DATA, if it is ahead;
 *OFFSET is where it stands.  False when it is malformed.  */
bool replica_load_snapshot (replica_t *replica, const void *data, size_t len,
                            uint64_t *offset);

/* replica_snapshot - a snapshot of the state at *OFFSET.  */
GBytes *replica_snapshot (replica_t *replica, uint64_t *offset);

/* replica_quarantine_us - how long after its start this daemon may hold no
   share; INT64_MAX until that is known.  */
int64_t replica_quarantine_us (replica_t *replica, int64_t run_us);

/* replica_fill_relay - fill RELAY, to be sent to a peer that has folded up to
   FROM, with the records behind it, or a snapshot; release it with
   relay_clear. False when there is nothing to send.  */
bool replica_fill_relay (replica_t *replica, uint64_t from,
                         msg_relay_t *relay);
void relay_clear (msg_relay_t *relay);

/* replica_apply_relay - fold what a peer relayed and publish it.  */
void replica_apply_relay (replica_t *replica, const msg_relay_t *relay);

/* logreader_start - the log thread: reads the platform's log into REPLICA and
   appends JOIN, LEAVE and snapshots, until logreader_halt.  */
typedef struct logreader logreader_t;

/* What was read since the newest snapshot.  */
typedef struct tail
{
  uint64_t records;
  uint64_t bytes;
  int64_t since_us;
} tail_t;

#define SNAPSHOT_RECORDS 512
#define SNAPSHOT_BYTES (4 * 1024 * 1024)
#define SNAPSHOT_AGE_US INT64_C (3600000000)

/* snapshot_is_due - whether the daemon with RANK among the entry hosts is to
   write a snapshot.  Whoever starts from the newest one reads the tail behind
   it, so TAIL is bounded in records, bytes and age.  Each later rank waits a
   quarter longer, so that one daemon writes and the others find it.  */
bool snapshot_is_due (const tail_t *tail, uint32_t rank, int64_t now_us);

logreader_t *logreader_start (const settings_t *settings, replica_t *replica,
                              const char *platform_url, uint64_t incarnation);

/* append_record - append REC to the fleet's stream; one client, one thread. */
log_status_t append_record (platform_t *platform, const rec_t *rec);

/* logreader_halt - end the thread; logreader_close - append LEAVE if LEAVES.
 */
void logreader_halt (logreader_t *reader);
void logreader_close (logreader_t *reader, bool leaves);

/* exchange_start - what daemons owe each other: heartbeats, relay, claims,
   shares and loans, all on the peer thread.  */
exchange_t *exchange_start (const settings_t *settings, loop_config_t *config,
                            replica_t *replica, uint64_t incarnation);
uint16_t exchange_port (const exchange_t *exchange);

/* exchange_stop - end the peer thread.  True when nothing that this daemon
   granted can still be running or lent, so that it may leave.  After the loops
   have ended.  */
bool exchange_stop (exchange_t *exchange);

/* exchange_view_changed - a new view is in effect; any thread.  */
void exchange_view_changed (exchange_t *exchange);

/* exchange_live_hosts - interned names of the entry hosts with current
   heartbeats, this one included, up to MAX; their number.  Any thread.  */
uint32_t exchange_live_hosts (const exchange_t *exchange, const char **names,
                              uint32_t max, int64_t now_us);

/* exchange_host_load - requests in flight on HOST of all daemons.  False while
   the host is not draining or some entry host has not told lately: it may
   still send to HOST.  Any thread.  */
bool exchange_host_load (exchange_t *exchange, const view_t *view,
                         const char *host, int64_t now_us, uint32_t *load);

/* exchange_demand - what the daemons have told of the demand on pools.  */
demand_t *exchange_demand (const exchange_t *exchange);

/* exchange_request_claim - ask OWNER for ID; loop_post_claim brings the answer
   to question NUMBER.  False when OWNER can't be reached.  Any thread.  */
bool exchange_request_claim (exchange_t *exchange, const char *owner,
                             uint64_t number, const dedup_id_t *id);

/* admin_start - the operators' HTTP server: /counters, /dump, /config, /plan,
   /health.  */
typedef struct admin admin_t;

admin_t *admin_start (const settings_t *settings, loop_config_t *config,
                      planner_t *planner);
uint16_t admin_port (const admin_t *admin);
void admin_stop (admin_t *admin);

#endif

/* control - the modules of a daemon besides the stages of a request

   NAME
     waiter, replica, logreader, livereader, maintenance, planner, hostload,
     demand, peer_totals, exchange, gate, lending, admin

   DESCRIPTION
     A record passes through

       read -> check -> fold -> publish

     on the log thread, or on the peer thread when a peer relays it.
     Publishing replaces the view under RCU.

     thread  modules
     log     logreader, replica
     peer    exchange, gate, lending, replica
     live    livereader, maintenance, planner
     admin   admin  */

#ifndef CUMINPIN_CONTROL_H
#define CUMINPIN_CONTROL_H

#include "daemon.h"

/* An interruptible sleep for a thread.  */
typedef struct waiter
{
  pthread_mutex_t lock;
  pthread_cond_t wake;
  bool stopping;
} waiter_t;

void waiter_init (waiter_t *waiter);
void waiter_destroy (waiter_t *waiter);

/* waiter_wait - sleeps for WAIT_MS; returns false once waiter_stop has been
   called.  */
bool waiter_wait (waiter_t *waiter, uint32_t wait_ms);
void waiter_stop (waiter_t *waiter);

/* planner - plans moves of hosts between pools; see planner.h.  */
typedef struct planner planner_t;

/* livereader_start - starts a thread that reads the platform's list of live
   hosts each second and marks the upstreams on leaving hosts.  */
typedef struct livereader livereader_t;

livereader_t *livereader_start (const settings_t *settings,
                                const char *platform_url, exchange_t *exchange,
                                planner_t *planner);
void livereader_stop (livereader_t *reader);

/* hostload - requests on draining hosts, as reported by each daemon.
   Thread-safe.  */
typedef struct hostload hostload_t;

hostload_t *hostload_new (void);
void hostload_free (hostload_t *loads);

/* hostload_list - fills TOTALS with up to MAX totals to send to the peers and
   returns their number.  */
uint32_t hostload_list (const view_t *view, msg_total_t *totals, uint32_t max);

/* hostload_record - records the TOTALS received from PEER.  */
void hostload_record (hostload_t *loads, const char *peer,
                      const msg_totals_t *totals, int64_t now_us);

/* hostload_sum - adds up the requests on HOST of all entry hosts, SELF
   included.  Returns false if HOST is not draining or an entry host has sent
   no recent total, because that host may still send requests to HOST.  */
bool hostload_sum (hostload_t *loads, const view_t *view, const char *self,
                   const char *host, int64_t now_us, uint32_t *load);

/* demand - requests at the services of each pool, as reported by each daemon.
   demand_list is for the peer thread only; the other functions are
   thread-safe.  */
typedef struct demand demand_t;

typedef struct pool_load
{
  const char *pool; /* interned */
  uint32_t in_use;  /* slots in use, all daemons */
  uint32_t queued;  /* queued requests, all daemons */
  uint32_t milli;   /* in_use and queued, in thousandths of a host */
  bool serves;      /* it has services with upstreams */
} pool_load_t;

demand_t *demand_new (void);
void demand_free (demand_t *demand);

/* demand_list - fills TOTALS with up to MAX totals to send to the peers and
   returns their number.  A pool is included when its total has changed, and
   every few seconds while it is in use.  */
uint32_t demand_list (demand_t *demand, const view_t *view,
                      msg_total_t *totals, uint32_t max, int64_t now_us);

/* demand_record - records the TOTALS received from PEER.  */
void demand_record (demand_t *demand, const char *peer,
                    const msg_totals_t *totals, int64_t now_us);

/* demand_sum - computes the demand on POOL at all entry hosts, SELF included.
   An entry host without a recent total counts as having no demand.  */
void demand_sum (demand_t *demand, const view_t *view, const char *self,
                 const char *pool, int64_t now_us, pool_load_t *load);

/* maintenance - takes hosts through maintenance waves and moves between pools:
   decides from the state, the platform's host list, the demand and the load of
   draining hosts, and appends the records.  Live thread only.  */
typedef struct maintenance maintenance_t;

maintenance_t *maintenance_new (const settings_t *settings,
                                exchange_t *exchange, planner_t *planner,
                                platform_t *platform);
void maintenance_free (maintenance_t *maintenance);
void maintenance_step (maintenance_t *maintenance, const live_list_t *list);

/* replica - this daemon's replica of the replicated state: applies records
   from the log thread and from peers, and publishes views.  Thread-safe.  */
typedef struct replica replica_t;

replica_t *replica_open (const settings_t *settings, claims_t *claims,
                         uint64_t incarnation);

/* replica_set_exchange - sets the EXCHANGE to notify of each new view.  Call
   before logreader_start.  */
void replica_set_exchange (replica_t *replica, exchange_t *exchange);
void replica_close (replica_t *replica);

/* replica_apply - folds a batch read from the log and publishes the result.
   Returns false when the log holds a record that this version can't fold.  */
bool replica_apply (replica_t *replica, const log_batch_t *batch);

/* replica_load_snapshot - replaces the state by the snapshot in DATA if that
   is newer, and sets *OFFSET to the snapshot's offset.  Returns false if it is
   malformed.  */
bool replica_load_snapshot (replica_t *replica, const void *data, size_t len,
                            uint64_t *offset);

/* replica_snapshot - encodes a snapshot of the state and sets *OFFSET to its
   offset.  */
GBytes *replica_snapshot (replica_t *replica, uint64_t *offset);

/* replica_quarantine_us - time after its start during which this daemon may
   hold no share; INT64_MAX while that is unknown.  */
int64_t replica_quarantine_us (replica_t *replica, int64_t run_us);

/* replica_fill_relay - fills RELAY with the records from offset FROM on, or
   with a snapshot, for a peer that has folded the log up to FROM.  Release it
   with relay_clear.  Returns false if there is nothing to send.  */
bool replica_fill_relay (replica_t *replica, uint64_t from,
                         msg_relay_t *relay);
void relay_clear (msg_relay_t *relay);

/* replica_apply_relay - folds what a peer relayed and publishes the
   result.  */
void replica_apply_relay (replica_t *replica, const msg_relay_t *relay);

/* logreader_start - starts the log thread, which reads the platform's log into
   REPLICA and appends JOIN and snapshots until logreader_halt.  */
typedef struct logreader logreader_t;

/* Log entries read since the newest snapshot.  */
typedef struct tail
{
  uint64_t records;
  uint64_t bytes;
  int64_t since_us;
} tail_t;

#define SNAPSHOT_RECORDS 512
#define SNAPSHOT_BYTES (4 * 1024 * 1024)
#define SNAPSHOT_AGE_US INT64_C (3600000000)

/* snapshot_is_due - whether the daemon with RANK among the entry hosts should
   write a snapshot now.  A starting daemon has to read the tail behind the
   newest snapshot, so TAIL is bounded in records, bytes and age.  Each higher
   rank allows a quarter more, so that normally one daemon writes and the
   others see its snapshot.  */
bool snapshot_is_due (const tail_t *tail, uint32_t rank, int64_t now_us);

logreader_t *logreader_start (const settings_t *settings, replica_t *replica,
                              const char *platform_url, uint64_t incarnation);

/* append_record - appends REC to the fleet stream.  A platform handle is for
   one thread only.  */
log_status_t append_record (platform_t *platform, const rec_t *rec);

/* logreader_halt - ends the thread.
   logreader_close - frees READER; appends LEAVE first if LEAVES is true.  */
void logreader_halt (logreader_t *reader);
void logreader_close (logreader_t *reader, bool leaves);

/* exchange_start - starts the peer thread, which handles everything that
   daemons exchange: heartbeats, relayed records, claims, totals and loans; it
   also applies this daemon's shares.  */
exchange_t *exchange_start (const settings_t *settings, loop_config_t *config,
                            replica_t *replica, uint64_t incarnation);
uint16_t exchange_port (const exchange_t *exchange);

/* exchange_stop - ends the peer thread.  Call after the loops have ended.
   Returns true if nothing that this daemon granted can still be running or
   lent, so that it may leave.  */
bool exchange_stop (exchange_t *exchange);

/* exchange_view_changed - tells the peers that a new view is in effect.
   Thread-safe.  */
void exchange_view_changed (exchange_t *exchange);

/* exchange_live_hosts - fills NAMES with the interned names of up to MAX entry
   hosts with current heartbeats, this one included, and returns their number.
   Thread-safe.  */
uint32_t exchange_live_hosts (const exchange_t *exchange, const char **names,
                              uint32_t max, int64_t now_us);

/* exchange_host_load - requests in flight on HOST of all daemons; see
   hostload_sum.  Thread-safe.  */
bool exchange_host_load (exchange_t *exchange, const view_t *view,
                         const char *host, int64_t now_us, uint32_t *load);

/* exchange_demand - the demand on pools, as reported by all daemons.  */
demand_t *exchange_demand (const exchange_t *exchange);

/* exchange_request_claim - sends OWNER a claim request for ID; the reply
   arrives through loop_post_claim with the same NUMBER.  Returns false if
   OWNER is unreachable.  Thread-safe.  */
bool exchange_request_claim (exchange_t *exchange, const char *owner,
                             uint64_t number, const dedup_id_t *id);

/* admin_start - starts the operators' HTTP server: /counters, /dump, /config,
   /plan, /health.  */
typedef struct admin admin_t;

admin_t *admin_start (const settings_t *settings, loop_config_t *config,
                      planner_t *planner);
uint16_t admin_port (const admin_t *admin);
void admin_stop (admin_t *admin);

#endif

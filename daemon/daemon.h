/* daemon - cuminpind: the stages of a request and of a record, and the threads
   that run them

   NAME
     live, view, shares, parse, authenticate, claims, admission, routing, send,
     answer, loop, replica, logreader, livereader, maintenance, planner,
     hostload, demand, gate, lending, exchange, waiter, admin

   DESCRIPTION
     A request passes through

       parse -> authenticate -> admission -> routing -> send -> answer

     on the event loop that accepted it.  Only a request that had to wait in a
     service's queue may be granted by another loop; it comes back through its
     own loop's pipe.

     A record passes through

       read -> check -> fold -> publish

     on the log thread.  Publishing replaces the view under RCU.

   LIFETIMES
     live objects  as long as the process: counts in use outlast views
     view          until no reader of an older view is left
     request       from its first header to its answer's last byte  */

#ifndef CUMINPIN_DAEMON_H
#define CUMINPIN_DAEMON_H

#include "admit.h"
#include "peer.h"
#include "platform.h"
#include "route.h"
#include <curl/curl.h>
#include <microhttpd.h>
#include <pthread.h>

#define ID_BYTES 64
#define TRIES_MAX (RETRY_MAX + 1)
#define HEADER_BYTES_MAX (16 * 1024)
#define ANSWER_BYTES_MAX (16 * 1024 * 1024)

/* Counts that outlast views, found by name.  */
typedef struct team_live
{
  const char *name;
  escrow_t *permits;
  uint32_t part;      /* keeper only: of the limit, for this daemon */
  atomic_uint wanted; /* permits missed since the peer thread looked last */
} team_live_t;

typedef struct upstream_live
{
  const char *name;
  escrow_t *slots;
  uint32_t part; /* keeper only: of the slots, for this daemon */
  health_t health;
} upstream_live_t;

typedef struct service_live
{
  const char *name;
  pthread_mutex_t lock; /* guards queue and the stage of queued requests */
  fair_queue_t *queue;
  atomic_uint queued;       /* length of queue, read without the lock */
  atomic_bool slots_wanted; /* missed since the peer thread looked last */
  retry_budget_t retries;
  estimate_t run_time;
} service_live_t;

team_live_t *live_team (const char *name);
upstream_live_t *live_upstream (const char *name);
service_live_t *live_service (const char *name);

/* live_permits - permits of team NAME or slots of upstream NAME; NULL when
   there are none by that name.  Any thread.  */
escrow_t *live_permits (loan_kind_t kind, const char *name);

/* live_teams, live_upstreams - call VISIT for each there is.  */
void live_teams (void (*visit) (team_live_t *team, void *ctx), void *ctx);
void live_upstreams (void (*visit) (upstream_live_t *upstream, void *ctx),
                     void *ctx);

typedef struct view_upstream
{
  upstream_live_t *live;
  const upstream_t *rule;
  uint32_t part;   /* of its slots, for this daemon */
  bool local;      /* in this daemon's data centre */
  bool in_service; /* its host is in the service's pool, and not being drained
                      or in maintenance */
} view_upstream_t;

typedef struct view_service
{
  const service_t *rule;
  service_live_t *live;
  view_upstream_t *upstreams;
  uint32_t upstreams_count;
} view_service_t;

typedef struct view_team
{
  const team_t *rule;
  team_live_t *live;
  uint32_t part; /* of its limit, for this daemon */
} view_team_t;

/* What is in force, immutable.  */
typedef struct view
{
  struct rcu_head rcu;
  state_t *state;
  key_index_t *keys;
  view_service_t *services; /* ordered by name */
  uint32_t services_count;
  view_team_t *teams; /* ordered by name */
  uint32_t teams_count;
  const char **data_centres; /* of entry hosts */
  uint32_t data_centres_count;
  const char **entry_hosts;
  uint32_t entry_hosts_count;
  int64_t grace_max_ms; /* longest stale_grace_ms of any service */
  int64_t run_max_ms;   /* longest deadline and overrun of any service */
  uint32_t connections; /* to one upstream from one event loop */
} view_t;

/* view_get - the view in force; NULL before the first.  Between
   rcu_read_lock and rcu_read_unlock.  */
const view_t *view_get (void);

/* view_new - a view of STATE, which it takes over, as the daemon with SETTINGS
   sees it.  */
view_t *view_new (state_t *state, const settings_t *settings);

/* view_publish - put VIEW in force.  One thread.  */
void view_publish (view_t *view);

const view_service_t *view_service (const view_t *view, const char *name);
const view_team_t *view_team (const view_t *view, const char *name);

/* shares_apply - hold the parts that VIEW gives to this daemon: lower ones at
   once, higher ones if the GATE_OPEN.  Keeper only.  */
void shares_apply (const view_t *view, bool gate_open);

/* shares_are_settled - whether nothing in use or lent exceeds the shares.  */
bool shares_are_settled (void);

/* How current the view is; written by the log and peer threads.  */
typedef struct currency
{
  atomic_int_fast64_t log_read_us;
  atomic_int_fast64_t log_failed_us;
  atomic_uint_fast64_t offset;
  atomic_bool behind;      /* the log holds what this daemon can't fold */
  const link_t *link;      /* set before the first request */
  const char *data_centre; /* of this daemon */
} currency_t;

extern currency_t currency;

/* currency_judge - freshness of VIEW at NOW_US, for a service that allows
   GRACE_US more.  */
freshness_t currency_judge (const view_t *view, int64_t now_us,
                            int64_t grace_us);

typedef enum req_stage
{
  REQ_READING,  /* its header or body comes in */
  REQ_CLAIMING, /* waits for the owner of its id */
  REQ_QUEUED,   /* in its service's queue */
  REQ_GRANTED,  /* has permit and slot; on its way to its loop */
  REQ_SENT,     /* an upstream has it */
  REQ_BACKOFF,  /* waits for its next try */
  REQ_ANSWERED  /* answer or refusal is set */
} req_stage_t;

typedef struct loop loop_t;

/* What an upstream has answered so far.  */
typedef struct reply
{
  uint32_t status;
  char id[ID_BYTES];
  bool has_length; /* end of the body can be told */
  bool not_run;
  bool leaving;
  struct curl_slist *headers; /* to pass on */
  GByteArray *body;
} reply_t;

/* A turn that a service's queue has counted.  */
typedef struct turn
{
  queue_team_t *team; /* NULL: none */
  int64_t since_us;
} turn_t;

/* What other threads tell an event loop, through its pipe.  */
typedef enum note_kind
{
  NOTE_GRANTED, /* a queued request has permit and slot */
  NOTE_CLAIMED  /* the owner of an id has answered */
} note_kind_t;

typedef struct note_claimed
{
  uint64_t number;
  err_kind_t verdict;
} note_claimed_t;

typedef struct note
{
  pipe_node_t node;
  note_kind_t kind;
  union
  {
    struct req *granted;    /* GRANTED: holds this note itself */
    note_claimed_t claimed; /* CLAIMED: on the heap */
  } u;
} note_t;

typedef struct req
{
  queue_entry_t queue_entry;
  note_t note;
  GSequenceIter *timer;
  loop_t *loop;
  struct MHD_Connection *conn;
  req_stage_t stage;
  bool suspended;
  bool client_gone;

  /* Set by parse.  */
  const char *method; /* interned */
  char *uri;          /* as the client sent it */
  const char *path;   /* behind the service, in uri */
  char service_name[REC_NAME_BYTES];
  char id[ID_BYTES];
  char *key;
  once_id_t once_id;
  uint64_t claim_number; /* of the question to the owner of the id */
  bool idempotent;
  GByteArray *body;
  struct curl_slist *headers; /* to the upstream */
  int64_t arrived_us;
  int64_t deadline_us;
  uint32_t deadline_ms; /* as asked for; 0: none */

  /* Set by authenticate.  */
  service_live_t *service;
  team_live_t *team; /* NULL: service is open */
  uint32_t share;
  uint32_t overrun_ms;
  bool skip_id_match;
  bool cancel_on_close;

  /* Set by admission and routing.  */
  permit_t permit;
  permit_t slot;
  turn_t turn; /* that the queue counted for it */
  upstream_live_t *upstream;
  char base_url[REC_NAME_BYTES + 16];
  upstream_live_t *tried[TRIES_MAX];
  uint32_t tries;

  /* Set by send.  */
  CURL *easy;
  int64_t sent_us;
  reply_t reply;

  err_kind_t error;      /* ERR_NONE: reply is to be passed on */
  err_kind_t past_error; /* of a try that may have run; ERR_NONE: none */
} req_t;

/* parse - from the HTTP server to a request.  */
req_t *parse_begin (loop_t *loop, const char *uri);
err_kind_t parse_headers (req_t *req, struct MHD_Connection *conn,
                          const char *method, uint32_t body_max_kib,
                          int64_t now_us);
err_kind_t parse_body (req_t *req, const char *data, size_t len,
                       uint32_t body_max_kib);
void parse_free (req_t *req);

/* authenticate - finds service and team, and refuses what must not run here
   now.  */
err_kind_t authenticate (req_t *req, const view_t *view,
                         freshness_t (*judge) (const view_t *view,
                                               int64_t now_us,
                                               int64_t grace_us),
                         int64_t now_us);

typedef enum admission
{
  ADMIT_RUN, /* permit and slot taken: send it */
  ADMIT_QUEUED,
  ADMIT_REFUSED /* req->error says why */
} admission_t;

/* admission_latest_us - when REQ has to be sent at the latest, so that it can
   be expected to be answered by its deadline.  */
int64_t admission_latest_us (const req_t *req);

/* admission_enter - run REQ now, queue it, or refuse it.  */
admission_t admission_enter (req_t *req, const view_t *view, int64_t now_us);

/* admission_pump - grant queued requests of SERVICE while there are slots and
   permits; each goes to its loop's pipe.  */
void admission_pump (const view_service_t *service, int64_t now_us);

/* admission_pump_all - admission_pump for every service with a queue.  */
void admission_pump_all (const view_t *view, int64_t now_us);

/* admission_settle - tell the queue of SERVICE that the slot of TURN is free
   again.  */
void admission_settle (service_live_t *service, turn_t *turn, int64_t now_us);

/* admission_leave - take REQ out of its queue; false when another loop has
   granted it meanwhile.  */
bool admission_leave (req_t *req);

/* routing_take - choose an upstream of SERVICE for REQ and take a slot there
   until END_US.  ERR_NONE; ERR_QUEUE_FULL when all are full for now;
   ERR_NO_UPSTREAM when none can take it at all.  */
err_kind_t routing_take (req_t *req, const view_service_t *service,
                         int64_t now_us, int64_t end_us);

/* send_start - hand REQ to its upstream.  */
void send_start (loop_t *loop, req_t *req, int64_t now_us);

/* send_cancel - stop the transfer under way and close its connection.  */
void send_cancel (loop_t *loop, req_t *req);

/* send_result - how the transfer of REQ ended with CODE; also sets the error
   kind that goes with it.  */
try_result_t send_result (req_t *req, CURLcode code);

void reply_clear (reply_t *reply);

/* answer_queue - give the HTTP server REQ's answer or refusal; CLOSING adds
   Connection: close.  */
enum MHD_Result answer_queue (req_t *req, struct MHD_Connection *conn,
                              bool closing);

/* Claims of ids that this daemon owns; any thread.  */
typedef struct claims
{
  pthread_mutex_t lock;
  once_table_t *table;
  uint64_t hosts_hash; /* of the list of entry hosts that gave the ids */
} claims_t;

void claims_open (claims_t *claims, int64_t now_ms);
void claims_close (claims_t *claims);

/* claims_follow - VIEW may list other entry hosts than before, so that ids
   have become this daemon's.  */
void claims_follow (claims_t *claims, const view_t *view, int64_t now_ms);

/* claims_owner - name of the entry host that owns ID; NULL: none.  */
const char *claims_owner (const view_t *view, const once_id_t *id);

/* claims_grant - grant ID if this daemon, called NAME, owns it and its view is
   not stale.  */
err_kind_t claims_grant (claims_t *claims, const view_t *view,
                         const char *name, const once_id_t *id, int64_t now_us,
                         int64_t now_ms);

typedef struct exchange exchange_t;

#define LOOPS_MAX 64

/* What the event loops share.  */
typedef struct loop_config
{
  const settings_t *settings;
  const char *name;
  claims_t claims;
  exchange_t *exchange;
  loop_t *loops[LOOPS_MAX];
  uint32_t loops_count;
  atomic_bool stopping; /* finish what is there, accept nothing new */
} loop_config_t;

/* loop_start - an event loop on a thread of its own that accepts from a copy
   of LISTEN_FD.  NULL when the system lacks something.  */
loop_t *loop_start (loop_config_t *config, int listen_fd);

/* loop_stop_begin - stop accepting; loop_join returns when all requests are
   answered or STOP_MS has passed.  */
void loop_stop_begin (loop_t *loop);
void loop_join (loop_t *loop);

uint32_t loop_in_flight (const loop_t *loop);

/* loop_pass - hand a granted REQ to its loop; any thread.  */
void loop_pass (req_t *req);

/* loop_tell_claimed - the owner of an id has answered question NUMBER, which
   names the loop; any thread.  */
void loop_tell_claimed (loop_config_t *config, uint64_t number,
                        err_kind_t verdict);

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

/* hostload_note - PEER has told TOTALS.  */
void hostload_note (hostload_t *loads, const char *peer,
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

/* demand_note - PEER has told TOTALS.  */
void demand_note (demand_t *demand, const char *peer,
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

/* replica_take - fold and publish what was read.  False when this daemon must
   fold no further.  */
bool replica_take (replica_t *replica, const log_batch_t *batch);

/* replica_take_snapshot - start from the snapshot in DATA, if it is ahead;
 *OFFSET is where it stands.  False when it is malformed.  */
bool replica_take_snapshot (replica_t *replica, const void *data, size_t len,
                            uint64_t *offset);

/* replica_snapshot - a snapshot of the state at *OFFSET.  */
GBytes *replica_snapshot (replica_t *replica, uint64_t *offset);

/* replica_quarantine_us - how long after its start this daemon may hold no
   share; INT64_MAX until that is known.  */
int64_t replica_quarantine_us (replica_t *replica, int64_t run_us);

/* replica_relay - fill RELAY, to be sent to a peer that has folded up to FROM,
   with the records behind it, or a snapshot; release it with relay_release.
   False when there is nothing to send.  */
bool replica_relay (replica_t *replica, uint64_t from, msg_relay_t *relay);
void relay_release (msg_relay_t *relay);

/* replica_accept - fold what a peer relayed and publish it.  */
void replica_accept (replica_t *replica, const msg_relay_t *relay);

/* logreader_start - the log thread: reads the platform's log into REPLICA and
   appends JOIN, LEAVE and snapshots, until logreader_halt.  */
typedef struct logreader logreader_t;

logreader_t *logreader_start (const settings_t *settings, replica_t *replica,
                              const char *platform_url, uint64_t incarnation);

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

/* exchange_follow - a new view is in force; any thread.  */
void exchange_follow (exchange_t *exchange);

/* exchange_alive - interned names of the entry hosts with current heartbeats,
   this one included, up to MAX; their number.  Any thread.  */
uint32_t exchange_alive (const exchange_t *exchange, const char **names,
                         uint32_t max, int64_t now_us);

/* exchange_host_load - requests in flight on HOST of all daemons.  False while
   the host is not draining or some entry host has not told lately: it may
   still send to HOST.  Any thread.  */
bool exchange_host_load (exchange_t *exchange, const view_t *view,
                         const char *host, int64_t now_us, uint32_t *load);

/* exchange_demand - what the daemons have told of the demand on pools.  */
demand_t *exchange_demand (const exchange_t *exchange);

/* exchange_ask_claim - ask OWNER for ID; loop_tell_claimed brings the answer
   to question NUMBER.  False when OWNER can't be reached.  Any thread.  */
bool exchange_ask_claim (exchange_t *exchange, const char *owner,
                         uint64_t number, const once_id_t *id);

/* admin_start - the operators' HTTP server: /counters, /dump, /config, /plan,
   /health.  */
typedef struct admin admin_t;

admin_t *admin_start (const settings_t *settings, loop_config_t *config,
                      planner_t *planner);
uint16_t admin_port (const admin_t *admin);
void admin_stop (admin_t *admin);

#endif

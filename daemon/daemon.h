/* daemon - cuminpind: the stages of a request and the event loops that run
   them

   NAME
     runtime, view, shares, parse, authenticate, claims, admission, routing,
     send, response, loop

   DESCRIPTION
     A request passes through

       parse -> authenticate -> admission -> routing -> send -> response

     on the event loop that accepted it.  Only a request that waits in a
     service's queue may be granted by another loop; it returns to its own loop
     through that loop's pipe.

     The other modules of a daemon are in control.h.

   LIFETIMES
     runtime objects  as long as the process: counts in use outlast views
     view             until its last reader has finished
     request          from its first header to the last byte of its response */

#ifndef CUMINPIN_DAEMON_H
#define CUMINPIN_DAEMON_H

#include "admit.h"
#include "logstore.h"
#include "peer.h"
#include "route.h"
#include <curl/curl.h>
#include <microhttpd.h>
#include <pthread.h>

#define ID_BYTES 64
#define TRIES_MAX (RETRY_MAX + 1)
#define HEADER_BYTES_MAX (16 * 1024)
#define RESPONSE_BYTES_MAX (16 * 1024 * 1024)

/* Runtime state that outlives views, found by name.  */
typedef struct team_runtime
{
  const char *name;
  escrow_t *permits;
  uint32_t assigned_share;    /* of the limit; peer thread only */
  atomic_uint permits_wanted; /* permits missed since the peer thread last
                                 requested loans */
} team_runtime_t;

typedef struct upstream_runtime
{
  const char *name;
  escrow_t *slots;
  uint32_t assigned_share; /* of the slots; peer thread only */
  health_t health;
} upstream_runtime_t;

typedef struct service_runtime
{
  const char *name;
  pthread_mutex_t lock; /* guards queue and the stage of queued requests */
  fair_queue_t *queue;
  atomic_uint queued;       /* length of queue, readable without the lock */
  atomic_bool slots_wanted; /* a slot was missed since the peer thread last
                               requested loans */
  retry_budget_t retries;
  estimate_t run_time;
} service_runtime_t;

team_runtime_t *runtime_team (const char *name);
upstream_runtime_t *runtime_upstream (const char *name);
service_runtime_t *runtime_service (const char *name);

/* runtime_permits - the permits of team NAME or the slots of upstream NAME;
   NULL if there is none by that name.  Thread-safe.  */
escrow_t *runtime_permits (loan_kind_t kind, const char *name);

/* runtime_visit_teams, runtime_visit_upstreams - call VISIT for each team or
   upstream.  */
void runtime_visit_teams (void (*visit) (team_runtime_t *team, void *ctx),
                          void *ctx);
void runtime_visit_upstreams (void (*visit) (upstream_runtime_t *upstream,
                                             void *ctx),
                              void *ctx);

typedef struct view_upstream
{
  upstream_runtime_t *runtime;
  const upstream_t *rule;
  uint32_t assigned_share; /* this daemon's share of its slots */
  bool local;              /* in this daemon's data centre */
  bool in_service; /* its host belongs to the service's pool and is neither
                      draining nor in maintenance */
} view_upstream_t;

typedef struct view_service
{
  const service_t *rule;
  service_runtime_t *runtime;
  view_upstream_t *upstreams;
  uint32_t upstreams_count;
} view_service_t;

typedef struct view_team
{
  const team_t *rule;
  team_runtime_t *runtime;
  uint32_t assigned_share; /* this daemon's share of its limit */
} view_team_t;

/* The configuration and state in effect; immutable.  */
typedef struct view
{
  struct rcu_head rcu;
  state_t *state;
  key_index_t *keys;
  view_service_t *services; /* sorted by name */
  uint32_t services_count;
  view_team_t *teams; /* sorted by name */
  uint32_t teams_count;
  const char **data_centres; /* distinct data centres of the entry hosts */
  uint32_t data_centres_count;
  const char **entry_hosts;
  uint32_t entry_hosts_count;
  int64_t grace_max_ms; /* longest stale_grace_ms of any service */
  int64_t run_max_ms;   /* longest deadline plus overrun of any service */
  uint32_t connections; /* limit of one event loop to one upstream */
} view_t;

/* view_get - the view in effect; NULL before the first.  Call between
   rcu_read_lock and rcu_read_unlock.  */
const view_t *view_get (void);

/* view_new - builds the view of STATE for the daemon with SETTINGS; takes
   ownership of STATE.  */
view_t *view_new (state_t *state, const settings_t *settings);

/* view_publish - puts VIEW into effect and frees the previous one after a
   grace period.  Callers must be serialized.  */
void view_publish (view_t *view);

const view_service_t *view_find_service (const view_t *view, const char *name);
const view_team_t *view_find_team (const view_t *view, const char *name);

/* shares_apply - applies the shares that VIEW assigns to this daemon: lower
   ones at once, higher ones only if GATE_OPEN.  Peer thread only.  */
void shares_apply (const view_t *view, bool gate_open);

/* shares_are_settled - whether permits in use and lent are within the
   shares.  */
bool shares_are_settled (void);

/* How current the view is; written by the log and peer threads.  */
typedef struct sync_status
{
  atomic_int_fast64_t log_read_us;
  atomic_int_fast64_t log_failed_us;
  atomic_uint_fast64_t offset;
  atomic_bool behind; /* the log holds a record that this version can't fold */
  const transport_t *transport; /* set before the first request */
  const char *data_centre;      /* this daemon's */
} sync_status_t;

extern sync_status_t sync_status;

/* view_freshness - the freshness of VIEW at NOW_US, for a service that allows
   an additional GRACE_US.  */
freshness_t view_freshness (const view_t *view, int64_t now_us,
                            int64_t grace_us);

typedef enum req_stage
{
  REQ_READING,  /* receiving header or body */
  REQ_CLAIMING, /* waiting for the owner of its id */
  REQ_QUEUED,   /* in its service's queue */
  REQ_GRANTED,  /* has permit and slot; on its way to its loop */
  REQ_SENT,     /* sent to an upstream */
  REQ_BACKOFF,  /* waiting for the next try */
  REQ_ANSWERED  /* response or refusal is set */
} req_stage_t;

typedef struct loop loop_t;

/* An upstream's response so far.  */
typedef struct reply
{
  uint32_t status;
  char id[ID_BYTES];
  bool has_length; /* the end of the body can be detected */
  bool not_run;
  bool leaving;
  struct curl_slist *headers; /* to forward */
  GByteArray *body;
} reply_t;

/* A dispatched request that its service's queue still accounts for.  */
typedef struct dispatch
{
  queue_team_t *team; /* NULL: none */
  int64_t started_us;
} dispatch_t;

/* A message to an event loop, sent through its pipe.  */
typedef enum loop_msg_kind
{
  LOOP_MSG_GRANTED, /* a queued request has permit and slot */
  LOOP_MSG_CLAIM    /* the owner of an id has replied */
} loop_msg_kind_t;

typedef struct loop_msg_claim
{
  uint64_t number;
  err_kind_t result;
} loop_msg_claim_t;

typedef struct loop_msg
{
  pipe_node_t node;
  loop_msg_kind_t kind;
  union
  {
    struct req *granted; /* GRANTED: the request that embeds this message */
    loop_msg_claim_t claimed; /* CLAIM: allocated on the heap */
  } u;
} loop_msg_t;

typedef struct req
{
  queue_entry_t queue_entry;
  loop_msg_t msg;
  GSequenceIter *timer;
  loop_t *loop;
  struct MHD_Connection *conn;
  req_stage_t stage;
  bool suspended;
  bool client_gone;

  /* Set by parse.  */
  char *method;
  char *uri;        /* as sent by the client */
  const char *path; /* the part of uri after the service */
  char service_name[REC_NAME_BYTES];
  char id[ID_BYTES];
  char *key;
  dedup_id_t dedup_id;
  uint64_t claim_number; /* of the request to its owner */
  bool idempotent;
  GByteArray *body;
  struct curl_slist *headers; /* to be sent to the upstream */
  int64_t arrived_us;
  int64_t deadline_us;
  uint32_t deadline_ms; /* as requested; 0: none */

  /* Set by authenticate.  */
  service_runtime_t *service;
  team_runtime_t *team; /* NULL: the service is open */
  uint32_t share;
  uint32_t overrun_ms;
  bool skip_id_match;
  bool cancel_on_close;

  /* Set by admission and routing.  */
  permit_t permit;
  permit_t slot;
  dispatch_t dispatch; /* charged to the queue for it */
  upstream_runtime_t *upstream;
  char base_url[REC_NAME_BYTES + 16];
  upstream_runtime_t *tried[TRIES_MAX];
  uint32_t tries;

  /* Set by send.  */
  CURL *easy;
  int64_t sent_us;
  bool try_begun; /* the upstream may have received data of this try */
  reply_t reply;

  err_kind_t error;      /* ERR_NONE: forward reply */
  err_kind_t past_error; /* of a try that may have run; ERR_NONE: none */
} req_t;

/* parse - builds a request from what the HTTP server receives.  */
req_t *parse_begin (loop_t *loop, const char *uri);
err_kind_t parse_headers (req_t *req, struct MHD_Connection *conn,
                          const char *method, uint32_t body_max_kib,
                          int64_t now_us);
err_kind_t parse_body (req_t *req, const char *data, size_t len,
                       uint32_t body_max_kib);
void parse_free (req_t *req);

/* authenticate - finds service and team, and refuses a request that may not
   run on this view.  */
err_kind_t authenticate (req_t *req, const view_t *view,
                         freshness_t (*evaluate) (const view_t *view,
                                                  int64_t now_us,
                                                  int64_t grace_us),
                         int64_t now_us);

typedef enum enter_result
{
  ADMIT_RUN, /* permit and slot acquired; send it */
  ADMIT_QUEUED,
  ADMIT_REFUSED /* req->error holds the reason */
} enter_result_t;

/* admission_end_us - the time by which work that REQ starts now must have
   ended.  */
int64_t admission_end_us (const req_t *req);

/* admission_latest_send_us - the latest time to send REQ so that a response
   can be expected before its deadline.  */
int64_t admission_latest_send_us (const req_t *req);

/* admission_enter - admits REQ now, queues it, or refuses it.  */
enter_result_t admission_enter (req_t *req, const view_t *view,
                                int64_t now_us);

/* admission_dispatch - grants queued requests of SERVICE while slots and
   permits are free; each goes to its loop's pipe.  */
void admission_dispatch (const view_service_t *service, int64_t now_us);

/* admission_dispatch_all - calls admission_dispatch for every service.  */
void admission_dispatch_all (const view_t *view, int64_t now_us);

/* admission_complete - tells the queue of SERVICE that the request of DISPATCH
   has ended.  */
void admission_complete (service_runtime_t *service, dispatch_t *dispatch,
                         int64_t now_us);

/* admission_dequeue - removes REQ from its queue; returns false if another
   loop has granted it meanwhile.  */
bool admission_dequeue (req_t *req);

/* routing_acquire - chooses an upstream of SERVICE for REQ and acquires a slot
   there until END_US.  Returns ERR_NONE, ERR_QUEUE_FULL if no slot is free
   now, or ERR_NO_UPSTREAM if no upstream can serve REQ at all.  */
err_kind_t routing_acquire (req_t *req, const view_service_t *service,
                            int64_t now_us, int64_t end_us);

/* send_start - starts the transfer of REQ to its upstream.  */
void send_start (loop_t *loop, req_t *req, int64_t now_us);

/* send_cancel - stops the transfer under way and closes its connection.  */
void send_cancel (loop_t *loop, req_t *req);

/* send_result - classifies the end of REQ's transfer with CODE and sets
   req->error.  */
try_result_t send_result (req_t *req, CURLcode code);

void reply_clear (reply_t *reply);

/* response_queue - queues REQ's response or refusal at the HTTP server;
   CLOSING adds Connection: close.  */
enum MHD_Result response_queue (req_t *req, struct MHD_Connection *conn,
                                bool closing);

/* Claims of the ids that this daemon owns.  Thread-safe.  */
typedef struct claims
{
  pthread_mutex_t lock;
  dedup_table_t *table;
  uint64_t hosts_hash; /* of the list of entry hosts */
} claims_t;

void claims_open (claims_t *claims, int64_t now_ms);
void claims_close (claims_t *claims);

/* claims_update - call for each new view.  A changed list of entry hosts in
   VIEW makes this daemon the owner of further ids.  */
void claims_update (claims_t *claims, const view_t *view, int64_t now_ms);

/* claims_owner - the name of the entry host that owns ID; NULL: none.  */
const char *claims_owner (const view_t *view, const dedup_id_t *id);

/* claims_grant - grants ID if this daemon, called NAME, owns it and its view
   is not stale.  */
err_kind_t claims_grant (claims_t *claims, const view_t *view,
                         const char *name, const dedup_id_t *id,
                         int64_t now_us, int64_t now_ms);

typedef struct exchange exchange_t;

#define LOOPS_MAX 64

/* State shared by the event loops.  */
typedef struct loop_config
{
  const settings_t *settings;
  const char *name;
  claims_t claims;
  exchange_t *exchange;
  loop_t *loops[LOOPS_MAX];
  uint32_t loops_count;
  atomic_bool stopping; /* finish open requests, accept no new ones */
} loop_config_t;

/* loop_start - starts an event loop on its own thread that accepts from a
   duplicate of LISTEN_FD.  Returns NULL if a system resource is missing.  */
loop_t *loop_start (loop_config_t *config, int listen_fd);

/* loop_stop_begin - makes the loop drain and then stop accepting.
   loop_join - returns when all requests are answered; the process exits if
   that takes longer than stop_ms.  */
void loop_stop_begin (loop_t *loop);
void loop_join (loop_t *loop);

uint32_t loop_in_flight (const loop_t *loop);

/* loop_post_granted - passes a granted REQ to its loop.  Thread-safe.  */
void loop_post_granted (req_t *req);

/* loop_post_claim - passes the reply to claim request NUMBER, which identifies
   the loop, to that loop.  Thread-safe.  */
void loop_post_claim (loop_config_t *config, uint64_t number,
                      err_kind_t result);

#endif

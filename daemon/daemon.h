/* daemon - cuminpind: the stages of a request and the event loops that run
   them

   NAME
     live, view, shares, parse, authenticate, claims, admission, routing, send,
     answer, loop

   DESCRIPTION
     A request passes through

       parse -> authenticate -> admission -> routing -> send -> answer

     on the event loop that accepted it.  Only a request that had to wait in a
     service's queue may be granted by another loop; it comes back through its
     own loop's pipe.

     What a daemon does beside that is in control.h.

   LIFETIMES
     live objects  as long as the process: counts in use outlast views
     view          until no reader of an older view is left
     request       from its first header to its answer's last byte  */

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

/* Counts that outlast views, found by name.  */
typedef struct team_runtime
{
  const char *name;
  escrow_t *permits;
  uint32_t assigned_share; /* keeper only: of the limit, for this daemon */
  atomic_uint
      permits_wanted; /* permits missed since the peer thread looked last */
} team_runtime_t;

typedef struct upstream_runtime
{
  const char *name;
  escrow_t *slots;
  uint32_t assigned_share; /* keeper only: of the slots, for this daemon */
  health_t health;
} upstream_runtime_t;

typedef struct service_runtime
{
  const char *name;
  pthread_mutex_t lock; /* guards queue and the stage of queued requests */
  fair_queue_t *queue;
  atomic_uint queued;       /* length of queue, read without the lock */
  atomic_bool slots_wanted; /* missed since the peer thread looked last */
  retry_budget_t retries;
  estimate_t run_time;
} service_runtime_t;

team_runtime_t *runtime_team (const char *name);
upstream_runtime_t *runtime_upstream (const char *name);
service_runtime_t *runtime_service (const char *name);

/* runtime_permits - permits of team NAME or slots of upstream NAME; NULL when
   there are none by that name.  Any thread.  */
escrow_t *runtime_permits (loan_kind_t kind, const char *name);

/* runtime_visit_teams, runtime_visit_upstreams - call VISIT for each there is.
 */
void runtime_visit_teams (void (*visit) (team_runtime_t *team, void *ctx),
                          void *ctx);
void runtime_visit_upstreams (void (*visit) (upstream_runtime_t *upstream,
                                             void *ctx),
                              void *ctx);

typedef struct view_upstream
{
  upstream_runtime_t *runtime;
  const upstream_t *rule;
  uint32_t assigned_share; /* of its slots, for this daemon */
  bool local;              /* in this daemon's data centre */
  bool in_service; /* its host is in the service's pool, and not being drained
                      or in maintenance */
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
  uint32_t assigned_share; /* of its limit, for this daemon */
} view_team_t;

/* What is in effect, immutable.  */
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

/* view_get - the view in effect; NULL before the first.  Between
   rcu_read_lock and rcu_read_unlock.  */
const view_t *view_get (void);

/* view_new - a view of STATE, which it takes over, as the daemon with SETTINGS
   sees it.  */
view_t *view_new (state_t *state, const settings_t *settings);

/* view_publish - put VIEW in effect.  One thread.  */
void view_publish (view_t *view);

const view_service_t *view_find_service (const view_t *view, const char *name);
const view_team_t *view_find_team (const view_t *view, const char *name);

/* shares_apply - hold the parts that VIEW gives to this daemon: lower ones at
   once, higher ones if the GATE_OPEN.  Keeper only.  */
void shares_apply (const view_t *view, bool gate_open);

/* shares_are_settled - whether nothing in use or lent exceeds the shares.  */
bool shares_are_settled (void);

/* How current the view is; written by the log and peer threads.  */
typedef struct sync_status
{
  atomic_int_fast64_t log_read_us;
  atomic_int_fast64_t log_failed_us;
  atomic_uint_fast64_t offset;
  atomic_bool behind;           /* the log holds what this daemon can't fold */
  const transport_t *transport; /* set before the first request */
  const char *data_centre;      /* of this daemon */
} sync_status_t;

extern sync_status_t sync_status;

/* view_freshness - freshness of VIEW at NOW_US, for a service that allows
   GRACE_US more.  */
freshness_t view_freshness (const view_t *view, int64_t now_us,
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
typedef struct dispatch
{
  queue_team_t *team; /* NULL: none */
  int64_t started_us;
} dispatch_t;

/* What other threads tell an event loop, through its pipe.  */
typedef enum loop_msg_kind
{
  LOOP_MSG_GRANTED, /* a queued request has permit and slot */
  LOOP_MSG_CLAIM    /* the owner of an id has answered */
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
    struct req *granted;      /* GRANTED: holds this note itself */
    loop_msg_claim_t claimed; /* CLAIMED: on the heap */
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
  const char *method; /* interned */
  char *uri;          /* as the client sent it */
  const char *path;   /* behind the service, in uri */
  char service_name[REC_NAME_BYTES];
  char id[ID_BYTES];
  char *key;
  dedup_id_t dedup_id;
  uint64_t claim_number; /* of the question to the owner of the id */
  bool idempotent;
  GByteArray *body;
  struct curl_slist *headers; /* to the upstream */
  int64_t arrived_us;
  int64_t deadline_us;
  uint32_t deadline_ms; /* as asked for; 0: none */

  /* Set by authenticate.  */
  service_runtime_t *service;
  team_runtime_t *team; /* NULL: service is open */
  uint32_t share;
  uint32_t overrun_ms;
  bool skip_id_match;
  bool cancel_on_close;

  /* Set by admission and routing.  */
  permit_t permit;
  permit_t slot;
  dispatch_t dispatch; /* that the queue counted for it */
  upstream_runtime_t *upstream;
  char base_url[REC_NAME_BYTES + 16];
  upstream_runtime_t *tried[TRIES_MAX];
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

/* admission_end_us - when work that REQ starts now has surely ended.  */
int64_t admission_end_us (const req_t *req);

/* admission_latest_send_us - when REQ has to be sent at the latest, so that it
   can be expected to be answered by its deadline.  */
int64_t admission_latest_send_us (const req_t *req);

/* admission_enter - run REQ now, queue it, or refuse it.  */
admission_t admission_enter (req_t *req, const view_t *view, int64_t now_us);

/* admission_dispatch - grant queued requests of SERVICE while there are slots
   and permits; each goes to its loop's pipe.  */
void admission_dispatch (const view_service_t *service, int64_t now_us);

/* admission_dispatch_all - admission_dispatch for every service with a queue.
 */
void admission_dispatch_all (const view_t *view, int64_t now_us);

/* admission_complete - tell the queue of SERVICE that the slot of TURN is free
   again.  */
void admission_complete (service_runtime_t *service, dispatch_t *dispatch,
                         int64_t now_us);

/* admission_dequeue - take REQ out of its queue; false when another loop has
   granted it meanwhile.  */
bool admission_dequeue (req_t *req);

/* routing_acquire - choose an upstream of SERVICE for REQ and take a slot
   there until END_US.  ERR_NONE; ERR_QUEUE_FULL when all are full for now;
   ERR_NO_UPSTREAM when none can take it at all.  */
err_kind_t routing_acquire (req_t *req, const view_service_t *service,
                            int64_t now_us, int64_t end_us);

/* send_start - hand REQ to its upstream.  */
void send_start (loop_t *loop, req_t *req, int64_t now_us);

/* send_cancel - stop the transfer under way and close its connection.  */
void send_cancel (loop_t *loop, req_t *req);

/* send_result - how the transfer of REQ ended with CODE; also sets the error
   kind that goes with it.  */
try_result_t send_result (req_t *req, CURLcode code);

void reply_clear (reply_t *reply);

/* response_queue - give the HTTP server REQ's answer or refusal; CLOSING adds
   Connection: close.  */
enum MHD_Result response_queue (req_t *req, struct MHD_Connection *conn,
                                bool closing);

/* Claims of ids that this daemon owns; any thread.  */
typedef struct claims
{
  pthread_mutex_t lock;
  dedup_table_t *table;
  uint64_t hosts_hash; /* of the list of entry hosts that gave the ids */
} claims_t;

void claims_open (claims_t *claims, int64_t now_ms);
void claims_close (claims_t *claims);

/* claims_update - VIEW may list other entry hosts than before, so that ids
   have become this daemon's.  */
void claims_update (claims_t *claims, const view_t *view, int64_t now_ms);

/* claims_owner - name of the entry host that owns ID; NULL: none.  */
const char *claims_owner (const view_t *view, const dedup_id_t *id);

/* claims_grant - grant ID if this daemon, called NAME, owns it and its view is
   not stale.  */
err_kind_t claims_grant (claims_t *claims, const view_t *view,
                         const char *name, const dedup_id_t *id,
                         int64_t now_us, int64_t now_ms);

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

/* loop_post_granted - hand a granted REQ to its loop; any thread.  */
void loop_post_granted (req_t *req);

/* loop_post_claim - the owner of an id has answered question NUMBER, which
   names the loop; any thread.  */
void loop_post_claim (loop_config_t *config, uint64_t number,
                      err_kind_t verdict);

#endif

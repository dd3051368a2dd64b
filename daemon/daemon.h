/* daemon - cuminpind: the stages of a request and of a record, and the threads
   that run them

   NAME
     live, view, parse, authenticate, admission, routing, send, answer, loop,
     logreader, livereader, waiter, admin

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
#include "platform.h"
#include "route.h"
#include <curl/curl.h>
#include <microhttpd.h>
#include <pthread.h>
#include <urcu.h>

#define ID_BYTES 64
#define TRIES_MAX (RETRY_MAX + 1)
#define HEADER_BYTES_MAX (16 * 1024)
#define ANSWER_BYTES_MAX (16 * 1024 * 1024)

/* Counts that outlast views, found by name.  */
typedef struct team_live
{
  const char *name;
  escrow_t *permits;
} team_live_t;

typedef struct upstream_live
{
  const char *name;
  escrow_t *slots;
  health_t health;
} upstream_live_t;

typedef struct service_live
{
  const char *name;
  pthread_mutex_t lock; /* guards queue and the stage of queued requests */
  fair_queue_t *queue;
  atomic_uint queued; /* length of queue, read without the lock */
  retry_budget_t retries;
} service_live_t;

team_live_t *live_team (const char *name);
upstream_live_t *live_upstream (const char *name);
service_live_t *live_service (const char *name);

typedef struct view_upstream
{
  upstream_live_t *live;
  const upstream_t *rule;
  bool local; /* in this daemon's data centre */
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
  int64_t run_max_ms;   /* longest deadline and overrun of any service */
  uint32_t connections; /* to one upstream from one event loop */
} view_t;

/* view_get - the view in force; NULL before the first.  Between
   rcu_read_lock and rcu_read_unlock.  */
const view_t *view_get (void);

/* view_new - a view of STATE, which it takes over, as the daemon with SETTINGS
   sees it.  Sets the shares of all live objects.  */
view_t *view_new (state_t *state, const settings_t *settings);

/* view_publish - put VIEW in force.  One thread.  */
void view_publish (view_t *view);

const view_service_t *view_service (const view_t *view, const char *name);
const view_team_t *view_team (const view_t *view, const char *name);

/* How current the view is; written by the log and peer threads.  */
typedef struct currency
{
  atomic_int_fast64_t log_read_us;
  atomic_uint_fast64_t offset;
  atomic_bool behind; /* the log holds what this daemon can't fold */
} currency_t;

extern currency_t currency;

/* currency_judge - freshness of VIEW at NOW_US, for a service that allows
   GRACE_US more.  */
freshness_t currency_judge (const view_t *view, int64_t now_us,
                            int64_t grace_us);

typedef enum req_stage
{
  REQ_READING, /* its header or body comes in */
  REQ_QUEUED,  /* in its service's queue */
  REQ_GRANTED, /* has permit and slot; on its way to its loop */
  REQ_SENT,    /* an upstream has it */
  REQ_BACKOFF, /* waits for its next try */
  REQ_ANSWERED /* answer or refusal is set */
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

typedef struct req
{
  queue_entry_t queue_entry;
  pipe_node_t pipe_node;
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

/* admission_enter - run REQ now, queue it, or refuse it.  */
admission_t admission_enter (req_t *req, const view_t *view, int64_t now_us);

/* admission_pump - grant queued requests of SERVICE while there are slots and
   permits; each goes to its loop's pipe.  */
void admission_pump (const view_service_t *service, int64_t now_us);

/* admission_pump_all - admission_pump for every service with a queue.  */
void admission_pump_all (const view_t *view, int64_t now_us);

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

/* Settings of the loops and what they share.  */
typedef struct loop_config
{
  const settings_t *settings;
  const char *name;
  once_table_t *once; /* guarded by once_lock */
  pthread_mutex_t once_lock;
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

/* livereader_start - a thread that reads the platform's list of hosts each
   second and marks upstreams on leaving hosts.  */
typedef struct livereader livereader_t;

livereader_t *livereader_start (const char *platform_url);
void livereader_stop (livereader_t *reader);

/* logreader_start - the log thread: follows the platform's log and publishes
   views, until logreader_stop.  */
typedef struct logreader logreader_t;

logreader_t *logreader_start (const settings_t *settings,
                              const char *platform_url, uint64_t incarnation);

/* logreader_stop - append LEAVE, then end the thread.  */
void logreader_stop (logreader_t *reader);

/* admin_start - the operators' HTTP server: /counters, /dump, /config,
   /health.  */
typedef struct admin admin_t;

admin_t *admin_start (const settings_t *settings, loop_config_t *config);
uint16_t admin_port (const admin_t *admin);
void admin_stop (admin_t *admin);

#endif

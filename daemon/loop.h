/* loop - what the stages of a request share with the event loop they run on

   Private to the package.  */

#ifndef CUMINPIN_LOOP_H
#define CUMINPIN_LOOP_H

#include "daemon.h"

/* Who woke the loop; the tag of each descriptor in its epoll set.  */
typedef enum source_kind
{
  SOURCE_SERVER,   /* the HTTP server's own epoll set */
  SOURCE_PIPE,     /* granted requests */
  SOURCE_UPSTREAM, /* a socket of libcurl */
  SOURCE_CLIENT    /* a client's connection was closed */
} source_kind_t;

typedef struct socket_watch socket_watch_t;

typedef struct source
{
  source_kind_t kind;
  int fd;
  union
  {
    struct conn *conn;      /* CLIENT */
    socket_watch_t *socket; /* UPSTREAM */
  } u;
} source_t;

/* A client's connection and its request under way.  */
typedef struct conn
{
  source_t source;
  req_t *req;
  bool half_closed; /* the client has closed its side */
} conn_t;

typedef enum timer_kind
{
  TIMER_CLAIM,   /* the owner of an id has not answered */
  TIMER_QUEUED,  /* the deadline of a queued request */
  TIMER_BACKOFF, /* the next try of a request */
  TIMER_HOLD     /* permit and slot of a try whose outcome is unknown */
} timer_kind_t;

/* Permit and slot that stay taken until the upstream has surely ended.  */
typedef struct hold
{
  team_runtime_t *team;
  upstream_runtime_t *upstream;
  service_runtime_t *service;
  permit_t permit;
  permit_t slot;
  dispatch_t dispatch;
} hold_t;

typedef struct timer
{
  timer_kind_t kind;
  int64_t at_us;
  union
  {
    req_t *req;  /* CLAIM, QUEUED, BACKOFF */
    hold_t hold; /* HOLD */
  } u;
} timer_entry_t;

struct loop
{
  loop_config_t *config;
  struct MHD_Daemon *server;
  CURLM *multi;
  pthread_t thread;
  int epoll_fd;
  int listen_fd;
  source_t server_source;
  source_t pipe_source;
  pipe_t pipe;
  GHashTable *claiming; /* requests that wait for a claim, by number */
  uint64_t next_claim_number;
  uint32_t index;       /* in config->loops */
  GSequence *timers;    /* timer_entry_t, by time */
  GPtrArray *easy_idle; /* CURL handles between transfers */
  GPtrArray *sockets;   /* socket_watch_t of upstreams, by descriptor */
  int64_t curl_due_us;  /* INT64_MAX: none */
  int64_t last_request_us;
  uint32_t host_connections; /* as libcurl was told last */
  uint32_t queued;           /* own requests in services' queues */
  atomic_uint in_flight;     /* requests not answered yet */
  atomic_uint connections;
  atomic_bool stop_begun;
  bool accepting;
  bool resumed; /* the server has to run before the loop sleeps */
};

/* loop_next_claim_number - a number for a question, which names this loop too.
 */
uint64_t loop_next_claim_number (loop_t *loop);

/* timers_add - at the entry's time, loop_run_timer is called with it.  */
GSequenceIter *timers_add (loop_t *loop, const timer_entry_t *entry);
void timers_remove (GSequenceIter *timer);

/* timers_take_due - remove the first entry that is due and copy it to ENTRY.
 */
bool timers_take_due (loop_t *loop, int64_t now_us, timer_entry_t *entry);

/* timers_next_us - when the first entry is due; INT64_MAX: none.  */
int64_t timers_next_us (const loop_t *loop);

#define EASY_IDLE_MAX 256

/* Transfers to upstreams: libcurl in the loop's epoll set.  */
void transfer_open (loop_t *loop);
void transfer_close (loop_t *loop);

/* transfer_run_due - start transfers that were added, end overdue ones.  */
void transfer_run_due (loop_t *loop, int64_t now_us);

/* transfer_run_socket - SOCKET is READY, a set of epoll's flags.  */
void transfer_run_socket (loop_t *loop, socket_watch_t *socket, uint32_t ready,
                          int64_t now_us);

/* transfer_acquire_easy - a handle with all that transfers have in common set;
   to be given back with transfer_release_easy.  */
CURL *transfer_acquire_easy (loop_t *loop);
void transfer_release_easy (loop_t *loop, CURL *easy);

/* flow_start - a request whose header and body are here: authenticate it and
   start it on its way.  */
void flow_start (loop_t *loop, req_t *req, int64_t now_us);

/* flow_claimed - the owner of an id has answered question NUMBER.  */
void flow_claimed (loop_t *loop, uint64_t number, err_kind_t verdict,
                   int64_t now_us);

/* flow_granted - a queued request got permit and slot.  */
void flow_granted (loop_t *loop, req_t *req, int64_t now_us);

/* flow_transfer_done - the transfer of REQ ended with CODE.  */
void flow_transfer_done (loop_t *loop, req_t *req, CURLcode code,
                         int64_t now_us);

/* flow_timer - ENTRY is due.  */
void flow_timer (loop_t *loop, const timer_entry_t *entry, int64_t now_us);

/* flow_client_gone - the client of REQ has closed its connection.  */
void flow_client_gone (loop_t *loop, req_t *req, int64_t now_us);

#endif

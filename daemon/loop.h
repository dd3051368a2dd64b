/* loop - interface between the stages of a request and their event loop

   Private to the package.  */

#ifndef CUMINPIN_LOOP_H
#define CUMINPIN_LOOP_H

#include "closings.h"
#include "daemon.h"

/* Kind of a descriptor in the loop's epoll set.  */
typedef enum source_kind
{
  SOURCE_SERVER,   /* the HTTP server's own epoll set */
  SOURCE_PIPE,     /* messages from other threads */
  SOURCE_UPSTREAM, /* a socket of libcurl */
  SOURCE_CLIENT    /* a client's socket: end of stream */
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

/* A client's connection and its current request.  */
typedef struct conn
{
  source_t source;
  req_t *req;
  body_t body;
  GList by_closing; /* in loop->closing */
  bool closing;     /* in loop->closing */
  bool at_end;      /* as of the last iteration */
  int64_t shut_down_us;
} conn_t;

typedef enum timer_kind
{
  TIMER_CLAIM,   /* no reply from the owner of an id */
  TIMER_QUEUED,  /* latest send time of a queued request */
  TIMER_BACKOFF, /* next try of a request */
  TIMER_HOLD     /* end of the permit and slot of a try with unknown outcome */
} timer_kind_t;

/* Permit and slot that stay acquired until the upstream must have ended.  */
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
  bodies_t *bodies; /* of this loop's connections */
  closings_t closings;
  GQueue closing; /* conn_t to be shut down, at once or at their end */
  CURLM *multi;
  pthread_t thread;
  int epoll_fd;
  int listen_fd;
  source_t server_source;
  source_t pipe_source;
  pipe_t pipe;
  GHashTable *claiming; /* requests waiting for a claim, by number */
  uint64_t next_claim_number;
  uint32_t index;       /* in config->loops */
  GSequence *timers;    /* timer_entry_t, sorted by time */
  GPtrArray *easy_idle; /* CURL handles between transfers */
  GPtrArray *sockets;   /* socket_watch_t of upstreams, by descriptor */
  int64_t curl_due_us;  /* INT64_MAX: none */
  int64_t last_request_us;
  uint32_t host_connections; /* limit last set at libcurl */
  uint32_t queued;           /* this loop's requests in services' queues */
  atomic_uint in_flight;     /* unanswered requests */
  atomic_uint connections;
  atomic_bool stop_begun;
  bool accepting;
  bool resumed; /* run the server before waiting again */
};

/* loop_next_claim_number - a number for a claim request that also identifies
   this loop.  */
uint64_t loop_next_claim_number (loop_t *loop);

/* timers_add - adds a timer; flow_timer is called with a copy of ENTRY when it
   is due.  */
GSequenceIter *timers_add (loop_t *loop, const timer_entry_t *entry);
void timers_remove (GSequenceIter *timer);

/* timers_take_due - removes the first due timer and copies it to ENTRY;
   returns false if none is due.  */
bool timers_take_due (loop_t *loop, int64_t now_us, timer_entry_t *entry);

/* timers_next_us - time of the first timer; INT64_MAX: none.  */
int64_t timers_next_us (const loop_t *loop);

#define EASY_IDLE_MAX 256

/* Transfers to upstreams, with libcurl's sockets in the loop's epoll set.  */
void transfer_open (loop_t *loop);
void transfer_close (loop_t *loop);

/* transfer_run_due - starts added transfers and ends overdue ones.  */
void transfer_run_due (loop_t *loop, int64_t now_us);

/* transfer_run_socket - processes SOCKET, whose epoll events are READY.  */
void transfer_run_socket (loop_t *loop, socket_watch_t *socket, uint32_t ready,
                          int64_t now_us);

/* transfer_acquire_easy - a handle with the options set that all transfers
   share; return it with transfer_release_easy.  */
CURL *transfer_acquire_easy (loop_t *loop);
void transfer_release_easy (loop_t *loop, CURL *easy);

/* flow_start - authenticates and admits a request whose header and body have
   been received.  */
void flow_start (loop_t *loop, req_t *req, int64_t now_us);

/* flow_claimed - handles the reply to claim request NUMBER.  */
void flow_claimed (loop_t *loop, uint64_t number, err_kind_t result,
                   int64_t now_us);

/* flow_granted - sends a queued request that has got permit and slot.  */
void flow_granted (loop_t *loop, req_t *req, int64_t now_us);

/* flow_transfer_done - handles the end of REQ's transfer with CODE.  */
void flow_transfer_done (loop_t *loop, req_t *req, CURLcode code,
                         int64_t now_us);

/* flow_timer - handles the due timer ENTRY.  */
void flow_timer (loop_t *loop, const timer_entry_t *entry, int64_t now_us);

/* flow_client_gone - handles the close of REQ's client connection.  */
void flow_client_gone (loop_t *loop, req_t *req, int64_t now_us);

#endif

/* worker - state and calls shared by a worker's loop and its connections

   Private to the load generator.  */

#ifndef CUMINPIN_LOAD_WORKER_H
#define CUMINPIN_LOAD_WORKER_H

#include "load.h"

typedef enum connection_state
{
  CONNECTION_CLOSED, /* reopened by the loop after a delay */
  CONNECTION_CONNECTING,
  CONNECTION_IDLE,
  CONNECTION_BUSY /* one request in flight */
} connection_state_t;

typedef struct conn
{
  worker_t *worker;
  connection_state_t state;
  int fd;
  bool in_idle_ring;
  bool request_sent;   /* sent a request since it was opened */
  int64_t intended_us; /* intended send time of the request in flight */
  char *request;       /* private copy with the id of the last request */
  size_t sent_len;     /* bytes of the request already sent */
  char *buffer;        /* received part of the response */
  size_t buffer_len;
  size_t buffer_size;
} connection_t;

struct worker
{
  const load_options_t *options;
  tally_t tally;
  GThread *thread;
  int epoll_fd;
  connection_t *connections;
  uint32_t count;
  connection_t **idle; /* ring of idle connections, oldest first */
  uint32_t idle_head;
  uint32_t idle_count;
  uint32_t connecting;
  uint32_t busy;
  uint16_t random; /* part of request ids */
  uint64_t serial;
  double interval_us; /* open loop: interval between requests of this thread */
  uint64_t next_index;  /* open loop: index of the next request */
  int64_t start_us;     /* 0 until all connections are open */
  int64_t end_us;       /* when sending ends */
  int64_t reconnect_us; /* when closed connections are reopened; 0: never */
  bool draining;
};

/* connection_open - starts a non-blocking connect.  */
void connection_open (connection_t *conn);

/* connection_send - sends a request that was intended for INTENDED_US on an
   idle connection.  */
void connection_send (connection_t *conn, int64_t intended_us);

/* connection_handle_events - handles the epoll EVENTS of the connection.  */
void connection_handle_events (connection_t *conn, uint32_t events);

/* connection_close - closes the connection; a request in flight counts as
   lost.  */
void connection_close (connection_t *conn);

/* worker_push_idle - appends CONN, which became idle, to the ring.  */
void worker_push_idle (worker_t *worker, connection_t *conn);

#endif

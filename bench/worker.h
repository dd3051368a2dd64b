/* worker - what the connections and the loop of a worker share

   Private to the load generator.  */

#ifndef CUMINPIN_LOAD_WORKER_H
#define CUMINPIN_LOAD_WORKER_H

#include "load.h"

typedef enum connection_state
{
  CONNECTION_CLOSED,     /* opened again by the loop after a time */
  CONNECTION_CONNECTING, /* connecting */
  CONNECTION_IDLE,       /* open, no request in flight */
  CONNECTION_BUSY        /* a request in flight */
} connection_state_t;

/* One connection.  */
typedef struct conn
{
  worker_t *worker;
  connection_state_t state;
  int fd;
  bool in_idle_ring;   /* in the worker's list of idle connections */
  bool request_sent;   /* carried a request */
  int64_t intended_us; /* intended time of the request in flight */
  char *request;       /* own copy, with the id of the last request */
  size_t sent_len;     /* bytes of it that are sent */
  char *buffer;        /* answer so far */
  size_t buffer_len;
  size_t buffer_size;
} connection_t;

struct worker
{
  const load_options_t *options;
  tally_t tally;
  GThread *thread;
  int epoll_fd;
  connection_t *clients;
  uint32_t count;
  connection_t **idle; /* ring of idle connections, longest idle first */
  uint32_t idle_head;
  uint32_t idle_count;
  uint32_t connecting;
  uint32_t busy;
  uint16_t random; /* for ids */
  uint64_t serial;
  double interval_us;   /* open loop: between requests of this thread */
  uint64_t next_index;  /* open loop: requests whose time was taken */
  int64_t start_us;     /* 0 until all connections are open */
  int64_t end_us;       /* end of sending */
  int64_t reconnect_us; /* when connections that are down are opened again */
  bool draining;
};

/* client_open - begin to connect.  */
void connection_open (connection_t *conn);

/* client_send - send a request that was intended for FROM_US on an idle
   connection.  */
void connection_send (connection_t *conn, int64_t intended_us);

/* client_event - handle the epoll EVENTS of the connection.  */
void connection_handle_events (connection_t *conn, uint32_t events);

/* client_close - close the connection; a request in flight is lost.  */
void connection_close (connection_t *conn);

/* worker_add_idle - CLIENT became idle.  */
void worker_push_idle (worker_t *worker, connection_t *conn);

#endif

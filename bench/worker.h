/* worker - what the connections and the loop of a worker share

   Private to the load generator.  */

#ifndef CUMINPIN_LOAD_WORKER_H
#define CUMINPIN_LOAD_WORKER_H

#include "load.h"

typedef enum client_state
{
  CLIENT_DOWN,    /* opened again by the loop after a time */
  CLIENT_OPENING, /* connecting */
  CLIENT_IDLE,    /* open, no request in flight */
  CLIENT_BUSY     /* a request in flight */
} client_state_t;

/* One connection.  */
typedef struct client
{
  worker_t *worker;
  client_state_t state;
  int fd;
  bool listed;     /* in the worker's list of idle connections */
  bool used;       /* carried a request */
  int64_t from_us; /* intended time of the request in flight */
  char *request;   /* own copy, with the id of the last request */
  size_t out_len;  /* bytes of it that are sent */
  char *in;        /* answer so far */
  size_t in_len;
  size_t in_max;
} client_t;

struct worker
{
  const plan_t *plan;
  tally_t tally;
  GThread *thread;
  int epoll_fd;
  client_t *clients;
  uint32_t count;
  client_t **idle; /* ring of idle connections, longest idle first */
  uint32_t idle_head;
  uint32_t idle_count;
  uint32_t opening;
  uint32_t busy;
  uint16_t random; /* for ids */
  uint64_t serial;
  double interval_us; /* open loop: between requests of this thread */
  uint64_t due_index; /* open loop: requests whose time was taken */
  int64_t start_us;   /* 0 until all connections are open */
  int64_t end_us;     /* end of sending */
  int64_t reopen_us;  /* when connections that are down are opened again */
  bool ending;
};

/* client_open - begin to connect.  */
void client_open (client_t *client);

/* client_send - send a request that was intended for FROM_US on an idle
   connection.  */
void client_send (client_t *client, int64_t from_us);

/* client_event - handle the epoll EVENTS of the connection.  */
void client_event (client_t *client, uint32_t events);

/* client_close - close the connection; a request in flight is lost.  */
void client_close (client_t *client);

/* worker_add_idle - CLIENT became idle.  */
void worker_add_idle (worker_t *worker, client_t *client);

#endif

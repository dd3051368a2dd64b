/* proxy - parts of the fault proxy

   NAME
     rule, stream, relay

   DESCRIPTION
     rule    how the proxy treats connections; set over the control port
     stream  one direction of a connection: a bounded buffer that records when
             its bytes arrived
     relay   the connections, served by one thread with epoll  */

#ifndef CUMINPIN_PROXY_H
#define CUMINPIN_PROXY_H

#include "base.h"

typedef enum rule_kind
{
  RULE_PASS,
  RULE_DELAY,             /* forwards bytes delay_ms after they arrived */
  RULE_DROP,              /* forwards nothing and keeps connections open;
                             buffered bytes are forwarded when the rule ends,
                             as TCP retransmits them after a partition */
  RULE_CUT,               /* resets all connections and refuses new ones */
  RULE_CUT_AFTER_REQUEST, /* forwards the client's bytes, then resets */
  RULE_CUT_ANSWER,        /* resets at the first byte of a response */
  RULE_ONE_WAY_UP,        /* forwards from client to server only */
  RULE_ONE_WAY_DOWN       /* forwards from server to client only */
} rule_kind_t;

typedef struct rule
{
  rule_kind_t kind;
  uint32_t delay_ms; /* for RULE_DELAY */
} rule_t;

/* rule_parse - parse a control command: "pass", "delay MS", "drop", "cut",
   "cut-after-request", "cut-answer", "one-way up" or "one-way down".  */
bool rule_parse (const char *line, rule_t *rule);

typedef enum direction
{
  UP,  /* client to server */
  DOWN /* server to client */
} direction_t;

/* rule_allows - whether RULE forwards bytes in DIRECTION.  */
bool rule_allows (const rule_t *rule, direction_t direction);

#define STREAM_BYTES 65536
#define STREAM_ARRIVALS_MAX 64

/* The bytes before stream position END arrived at RECEIVED_US.  */
typedef struct arrival
{
  uint64_t end;
  int64_t received_us;
} arrival_t;

typedef struct stream
{
  uint64_t bytes_read;
  uint64_t bytes_written; /* the buffer holds [bytes_written, bytes_read) */
  uint32_t first_arrival;
  uint32_t arrivals_count;
  bool eof;           /* the sender has closed its side */
  bool shutdown_sent; /* the receiver's socket was shut down for writing */
  arrival_t arrivals[STREAM_ARRIVALS_MAX];
  uint8_t ring[STREAM_BYTES];
} stream_t;

bool stream_has_space (const stream_t *stream);

/* stream_read - read from FD until it would block or the buffer is full.
   False on a connection error.  */
bool stream_read (stream_t *stream, int fd, int64_t now_us);

/* stream_due - number of buffered bytes that RULE lets through at NOW_US.  */
uint32_t stream_due (const stream_t *stream, const rule_t *rule,
                     int64_t now_us);

/* stream_next_us - time at which the next delayed bytes are due, or 0.  */
int64_t stream_next_us (const stream_t *stream, const rule_t *rule);

/* stream_write - write the due bytes to FD.  False on a connection error.  */
bool stream_write (stream_t *stream, int fd, const rule_t *rule,
                   int64_t now_us);

/* relay_run - forward connections accepted on LISTEN_FD to ADDRESS and PORT
   until SIGTERM or SIGINT; CONTROL_FD listens for control commands.  */
void relay_run (int listen_fd, int control_fd, const char *address,
                uint16_t port);

#endif

/* proxy - parts of the fault proxy

   NAME
     rule, stream, relay

   DESCRIPTION
     rule    what the proxy does now, as told over the control port
     stream  one direction of a connection: a bounded buffer with the times at
             which its bytes came
     relay   the connections, in one thread around an epoll set  */

#ifndef CUMINPIN_PROXY_H
#define CUMINPIN_PROXY_H

#include "base.h"

typedef enum rule_kind
{
  RULE_PASS,
  RULE_DELAY,             /* passes bytes on so much later */
  RULE_DROP,              /* nothing passes, connections stay half-open; what
                             was held passes when the rule ends, as with TCP
                             after a partition */
  RULE_CUT,               /* resets all connections and refuses new ones */
  RULE_CUT_AFTER_REQUEST, /* passes the client's bytes on, then resets */
  RULE_CUT_ANSWER,        /* resets when the first byte of an answer came */
  RULE_ONE_WAY_UP,        /* only client to server */
  RULE_ONE_WAY_DOWN       /* only server to client */
} rule_kind_t;

typedef struct rule
{
  rule_kind_t kind;
  uint32_t delay_ms; /* DELAY */
} rule_t;

/* rule_parse - the rule in a control line: "pass", "delay MS", "drop", "cut",
   "cut-after-request", "cut-answer", "one-way up", "one-way down".  */
bool rule_parse (const char *line, rule_t *rule);

typedef enum direction
{
  UP,  /* client to server */
  DOWN /* server to client */
} direction_t;

/* rule_lets_pass - whether bytes may flow in DIRECTION.  */
bool rule_lets_pass (const rule_t *rule, direction_t direction);

#define STREAM_BYTES 65536
#define STREAM_MARKS 64

/* Bytes up to the position UNTIL came at CAME_US.  */
typedef struct mark
{
  uint64_t until;
  int64_t came_us;
} mark_t;

typedef struct stream
{
  uint64_t in;  /* bytes taken */
  uint64_t out; /* bytes passed on; the buffer holds those from here to in */
  uint32_t first_mark;
  uint32_t marks_count;
  bool ended; /* no more bytes will come */
  bool shut;  /* the end was passed on */
  mark_t marks[STREAM_MARKS];
  uint8_t ring[STREAM_BYTES];
} stream_t;

bool stream_has_room (const stream_t *stream);

/* stream_read - take what FD has, as far as there is room.  False when the
   connection broke.  */
bool stream_read (stream_t *stream, int fd, int64_t now_us);

/* stream_due - how many bytes may be passed on at NOW_US under RULE.  */
uint32_t stream_due (const stream_t *stream, const rule_t *rule,
                     int64_t now_us);

/* stream_next_us - when the next bytes are due; 0 when there are none.  */
int64_t stream_next_us (const stream_t *stream, const rule_t *rule);

/* stream_write - pass on the bytes that are due.  False when the connection
   broke.  */
bool stream_write (stream_t *stream, int fd, const rule_t *rule,
                   int64_t now_us);

/* relay_run - pass connections from LISTEN_FD on to ADDRESS and PORT until a
   signal; CONTROL_FD is the listening socket for control lines.  */
void relay_run (int listen_fd, int control_fd, const char *address,
                uint16_t port);

#endif

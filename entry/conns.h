/* conns - HTTP servers whose connections are within limits

   NAME
     conns_start, conns_stop, conns_get, conns_is_closed, conns_begin,
     conns_read, conns_complete, conns_replace_body, conns_end

   DESCRIPTION
     Starts libmicrohttpd with the limits that it has itself (connections,
     memory of one connection, idle time, strict checks) and carries out what
     http/bodies decides on top of them: request bodies are collected here,
   and connections that are to be closed are shut down, which the server
   notices as their end.

     What is closed or refused is counted and reported by event 1740, at most
     once a second for each server.

   THREADS
     The functions other than conns_start and conns_stop are called from the
     callbacks of the server, which has one thread.  */

#ifndef CUMINPIN_CONNS_H
#define CUMINPIN_CONNS_H

#include "entry.h"
#include "headers.h"
#include <microhttpd.h>

typedef struct conns conns_t;

/* A connection.  */
typedef struct conn
{
  body_t body; /* first: http/bodies knows only this */
  conns_t *conns;
  GByteArray *data; /* body of the present request */
  bool too_large;   /* the body; it is no longer collected */
  int fd;
} conn_t;

/* conns_start - serve HTTP at ENDPOINT, IP:PORT, as HANDLER and COMPLETED say;
   NAME stands in events.  NULL if the address can't be used.  */
conns_t *conns_start (const char *name, const char *endpoint,
                      const entry_limits_t *limits,
                      MHD_AccessHandlerCallback handler,
                      MHD_RequestCompletedCallback completed, void *ctx);
void conns_stop (conns_t *conns);

/* conns_register_thread - register the calling thread of a server with RCU,
   unless it is.  Precedes calls of the core.  */
void conns_register_thread (void);

/* conns_get - the connection of CONNECTION.  */
conn_t *conns_get (struct MHD_Connection *connection);

/* conns_is_closed - whether it was decided to close CONN; the callback then
   returns MHD_NO, and the request is not run.  */
bool conns_is_closed (const conn_t *conn);

/* conns_begin, conns_complete, conns_end - as the functions of http/bodies.
   conns_read - LEN bytes of DATA of CONN's body have arrived.  False if the
   connection is to be closed.  A body that turns out to be too large is read
   on for a while, as the server sends no response before its end; without
   limits in the settings, to its end.
   conns_replace_body - free the body of a complete request, which holds
   RECORD_BYTES instead.  */
body_verdict_t conns_begin (conn_t *conn, uint64_t announced_bytes);
bool conns_read (conn_t *conn, const char *data, size_t len);
void conns_complete (conn_t *conn);
void conns_replace_body (conn_t *conn, uint64_t record_bytes);
void conns_end (conn_t *conn);

#endif

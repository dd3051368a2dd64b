/* intake - the connections and request bodies of one event loop, within limits

   NAME
     intake_limits, intake_open, intake_close, intake_connect,
     intake_disconnect, intake_half_closed, intake_shut_down, intake_begin,
   intake_read, intake_complete, intake_end

   DESCRIPTION
     Carries out what http/bodies decides around the HTTP server: bodies are
     collected in their requests, and connections that are to be closed are
     shut down, which the server notices as their end.  Each loop has an equal
     part of the limits in the settings, so that no loop waits for another.

   THREADS
     The functions other than intake_limits are called by the loop's thread, or
     before and after it.  */

#ifndef CUMINPIN_INTAKE_H
#define CUMINPIN_INTAKE_H

#include "loop.h"

/* intake_limits - the part of the limits in SETTINGS that a loop has.  */
void intake_limits (const settings_t *settings, bodies_limits_t *limits);

/* intake_open, intake_close - set up and release the intake of LOOP.  */
void intake_open (loop_t *loop);
void intake_close (loop_t *loop);

void intake_connect (loop_t *loop, conn_t *conn, int64_t now_us);
void intake_disconnect (loop_t *loop, conn_t *conn);

/* Interval at which a connection is shut down again.  */
#define INTAKE_CLOSE_MS 10

/* intake_half_closed - the client has closed its sending side of CONN.
   intake_shut_down - shut down the connections that are to be closed, and
   those from which no complete request can come any more.  The server misses
   an end of stream that arrives together with data, and would keep the
   connection until the idle timeout; so it is told until it has noticed.  Call
   it on each iteration, after the server was run.
   intake_is_closing - whether there is such a connection.  */
void intake_half_closed (loop_t *loop, conn_t *conn);
void intake_shut_down (loop_t *loop, int64_t now_us);
bool intake_is_closing (const loop_t *loop);

/* intake_is_closed - whether it was decided to close CONN; its request is not
   run.  */
bool intake_is_closed (const conn_t *conn);

/* intake_begin - the headers of a request on CONN are complete; the server has
   passed METHOD and VERSION on.  ERR_NONE if
   its body is to be read; otherwise the request is refused now, and its
   connection can't be reused.  */
err_kind_t intake_begin (loop_t *loop, conn_t *conn,
                         struct MHD_Connection *connection, const char *method,
                         const char *version, int64_t now_us);

/* intake_read - LEN bytes of DATA of CONN's request, which is refused if they
   exceed a limit; the rest of its body is then read so that the refusal can be
   sent.  False if the connection is to be closed instead.  */
bool intake_read (loop_t *loop, conn_t *conn, const char *data, size_t len,
                  int64_t now_us);

/* intake_complete - the body of CONN's request is complete.
   intake_end - the request has its response.  */
void intake_complete (loop_t *loop, conn_t *conn);
void intake_end (loop_t *loop, conn_t *conn, int64_t now_us);

#endif

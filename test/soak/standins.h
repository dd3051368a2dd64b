/* standins - stand-ins of the users' platform for tests with real daemons

   NAME
     store, workers, evacuate, http_server

   DESCRIPTION
     The store and the workers speak the platform's published protocol over
     HTTP on loopback, with a thread per connection, and inject faults on
     request.  The workers check the platform's rules: no task runs twice at
     once and none starts again after its completion was acknowledged, where
     its step allows no copies; and no start brings more tasks of a step onto a
     worker than the step allows; and none is in a zone that was withdrawn
   longer ago than its bound.  */

#ifndef CUMINPIN_STANDINS_H
#define CUMINPIN_STANDINS_H

#include "base.h"

typedef struct store store_t;

/* Appends that would wait longer for those before them are refused.  */
#define STORE_QUEUE_MAX_MS 2000

/* Faults of the store, until they are replaced.  */
typedef struct store_faults
{
  bool down;                   /* every request fails with 503 */
  uint32_t lost_reply_percent; /* of appends, which are stored */
  uint32_t delay_ms;           /* before each reply */
  uint32_t append_ms;          /* a topic takes this long for an append, one
                                  after another; 503 if more than
                                  STORE_QUEUE_MAX_MS are waiting */
  uint32_t late_percent;       /* of appends, which get no reply and are
                                  carried out LATE_MS later */
  uint32_t late_ms;
} store_faults_t;

store_t *store_start (void);
void store_stop (store_t *store);
uint16_t store_port (const store_t *store);

/* store_add_port - another port of STORE, for one daemon; it is closed with
   the store. store_cut_port - requests at PORT are closed without a reply
   while CUT.  */
uint16_t store_add_port (store_t *store);
void store_cut_port (store_t *store, uint16_t port, bool cut);
void store_set_faults (store_t *store, const store_faults_t *faults);

/* store_delay_port - appends at PORT get no reply, and are carried out MS
   later; 0: at once.
   store_await_delayed - wait until all such appends are carried out.  */
void store_delay_port (store_t *store, uint16_t port, uint32_t ms);
void store_await_delayed (store_t *store);

/* store_put - write VALUE under KEY of the keyed TOPIC, as operators and
   workers do; NULL deletes the key.  */
void store_put (store_t *store, const char *topic, const char *key,
                const char *value);

/* store_truncate - drop all records of TOPIC but the newest KEEP.  */
void store_truncate (store_t *store, const char *topic, uint32_t keep);

typedef struct workers workers_t;

/* workers_start - start COUNT workers of SERVICE with CORES each, which
   register with STORE, worker N in zone dc-(N modulo ZONES).  The spec of a
   task is "DURATION_MS [TASKS_MAX [SPECULATIVE]]": how long it runs, how many
   tasks of its step may run on one worker (0: any number), and whether copies
   of it may run in parallel.  */
workers_t *workers_start (store_t *store, const char *service, uint32_t count,
                          uint32_t cores, uint32_t zones);
void workers_stop (workers_t *workers);

/* Longest lease that workers accept.  */
#define WORKERS_HOLD_MAX_MS 6000

/* workers_keep_ids - workers that restart keep their ids from now on, each
   boot with a clock and numbers of its own.  A hold in progress is not ended
   by a crash, and every other crash is followed by a cut.
   workers_crash - worker INDEX loses its tasks and restarts under a new id.
   workers_fail_runs - the first attempts that worker INDEX runs fail.  Later
   ones go on, so that no task runs out of attempts.
   workers_set_silent - worker INDEX closes connections without a reply for MS.
   workers_set_slow - tasks that worker INDEX has or starts within MS take
   several times as long.
   workers_delay_orders - PERCENT of the orders get no reply and are carried
   out MS later.  */
void workers_keep_ids (workers_t *workers);
void workers_crash (workers_t *workers, uint32_t index);
void workers_fail_runs (workers_t *workers, uint32_t index);
void workers_set_silent (workers_t *workers, uint32_t index, uint32_t ms);
void workers_set_slow (workers_t *workers, uint32_t index, uint32_t ms);
void workers_delay_orders (workers_t *workers, uint32_t percent, uint32_t ms);

/* workers_running - number of running tasks.
   workers_violations - number of rule violations so far; each is printed when
   it is detected.
   workers_copies - number of starts of a task of which another run went on, as
   its step allows.  */
uint32_t workers_running (workers_t *workers);
uint32_t workers_violations (workers_t *workers);
uint32_t workers_copies (workers_t *workers);

/* workers_evacuate - starts in zone dc-ZONE are violations from BOUND_MS after
   this call on.
   workers_take_back - they are none any more.
   workers_await_starts - wait until COUNT tasks have started in that zone
   since the beginning, or DEADLINE_US on the monotonic clock; whether they
   have. workers_starts - number of starts there so far. workers_stops - number
   of runs there that were ordered to stop. The ZONE of workers_await_starts
   and workers_starts may be WORKERS_ALL_ZONES.  */
#define WORKERS_ALL_ZONES UINT32_MAX
void workers_evacuate (workers_t *workers, uint32_t zone, uint32_t bound_ms);
void workers_take_back (workers_t *workers, uint32_t zone);
bool workers_await_starts (workers_t *workers, uint32_t zone, uint32_t count,
                           int64_t deadline_us);
uint32_t workers_starts (workers_t *workers, uint32_t zone);
/* workers_await_delayed - wait until COUNT orders wait to be carried out late,
   or DEADLINE_US; whether they do.  */
bool workers_await_delayed (workers_t *workers, uint32_t count,
                            int64_t deadline_us);
uint32_t workers_stops (workers_t *workers, uint32_t zone);

/* EVACUATOR_BOUND_MS - the evacuate_ms of the daemons.
   evacuator_run - withdraw zone dc-1 or take it back, when that is due.  */
#define EVACUATOR_BOUND_MS 5000
typedef struct evacuator
{
  int64_t due_us; /* 0: not yet known */
  bool withdrawn;
  uint32_t count; /* of withdrawals */
} evacuator_t;

void evacuator_run (evacuator_t *evacuator, store_t *store, workers_t *workers,
                    int64_t now_us);

/* http_server_start - start an HTTP server on a port that the kernel chooses;
   it calls HANDLER for each request.  */
struct MHD_Connection;
typedef void (*http_handler_t) (void *ctx, struct MHD_Connection *conn,
                                const char *method, const char *path,
                                const GByteArray *body);

typedef struct http_server http_server_t;

http_server_t *http_server_start (http_handler_t handler, void *ctx);
uint16_t http_server_port (const http_server_t *server);
void http_server_stop (http_server_t *server);

/* http_reply - reply with STATUS and a body of LEN bytes.  */
void http_reply (struct MHD_Connection *conn, uint32_t status,
                 const void *data, size_t len);

/* http_close_unanswered - close the connection without a reply.  */
void http_close_unanswered (struct MHD_Connection *conn);

/* http_query_number - the query argument NAME as a number, or 0.  */
uint64_t http_query_number (struct MHD_Connection *conn, const char *name);

#endif

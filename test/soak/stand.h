/* stand - stand-ins of the users' platform for tests with real daemons

   NAME
     store, workers

   DESCRIPTION
     Both speak the platform's published protocol over HTTP on loopback, a
     thread for each connection, and bring about its failures on request.  The
     workers watch the promises of the platform's rules: no task runs twice at
     once, none starts again after an end that was taken note of.  */

#ifndef CUMINPIN_STAND_H
#define CUMINPIN_STAND_H

#include "base.h"

typedef struct store store_t;

/* Failures until told otherwise.  */
typedef struct store_faults
{
  bool down;             /* 503 to everything */
  uint32_t lose_percent; /* appends that are done and not answered */
  uint32_t delay_ms;     /* before each answer */
} store_faults_t;

store_t *store_start (void);
void store_stop (store_t *store);
uint16_t store_port (const store_t *store);
void store_set_faults (store_t *store, const store_faults_t *faults);

/* store_put - write VALUE under KEY of the keyed TOPIC, as operators and
   workers do; NULL drops it.  */
void store_put (store_t *store, const char *topic, const char *key,
                const char *value);

/* store_forget - drop the oldest records of TOPIC but for KEEP.  */
void store_forget (store_t *store, const char *topic, uint32_t keep);

typedef struct workers workers_t;

/* workers_start - COUNT workers of SERVICE with CORES each, which report
   themselves to STORE.  A task takes as many ms as its payload says.  */
workers_t *workers_start (store_t *store, const char *service, uint32_t count,
                          uint32_t cores);
void workers_stop (workers_t *workers);

/* workers_crash - worker INDEX loses what it runs and is another boot.
   workers_mute - it does not answer for MS.  workers_late - PERCENT of the
   orders get no answer and are carried out MS later.  */
void workers_crash (workers_t *workers, uint32_t index);
void workers_mute (workers_t *workers, uint32_t index, uint32_t ms);
void workers_late (workers_t *workers, uint32_t percent, uint32_t ms);

/* workers_running - tasks at work.  workers_faults - promises broken so far;
   each is printed when it is seen.  */
uint32_t workers_running (workers_t *workers);
uint32_t workers_faults (workers_t *workers);

/* stand_serve - an HTTP server on a port that the kernel chooses.  stand_reply
   - answer with STATUS and LEN bytes.  stand_number - a number of the query.
 */
struct MHD_Connection;
typedef void (*stand_handler_t) (void *ctx, struct MHD_Connection *conn,
                                 const char *method, const char *path,
                                 const GByteArray *body);

typedef struct stand_server stand_server_t;

stand_server_t *stand_serve (stand_handler_t handler, void *ctx);
uint16_t stand_port (const stand_server_t *server);
void stand_close (stand_server_t *server);
void stand_reply (struct MHD_Connection *conn, uint32_t status,
                  const void *data, size_t len);
/* stand_cut - close the connection without an answer.  */
void stand_cut (struct MHD_Connection *conn);
uint64_t stand_number (struct MHD_Connection *conn, const char *name);

#endif

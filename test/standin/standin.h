/* standin - parts of the stand-in upstream

   NAME
     runs, faults, hold

   DESCRIPTION
     runs    counts the requests that ran, their ids, and how many ran at once,
             in total and per team
     faults  the faults to inject, until they are replaced
     hold    suspended requests, released after a delay or when a fault ends */

#ifndef CUMINPIN_STANDIN_H
#define CUMINPIN_STANDIN_H

#include "base.h"
#include <jansson.h>

typedef struct gauge
{
  atomic_int_fast32_t now;
  atomic_int_fast32_t max;
} gauge_t;

/* gauge_enter - add one and update the maximum; the new value.  */
int32_t gauge_enter (gauge_t *gauge);
void gauge_leave (gauge_t *gauge);

/* runs_note_request - record the arrival of a request, whether it runs or
   not.  */
void runs_note_request (void);

/* runs_begin - record that ID of TEAM starts to run.  False, with nothing
   recorded, when SLOTS requests are running.  Pass *TEAM_GAUGE to runs_end.
 */
bool runs_begin (const char *id, const char *team, int32_t slots,
                 gauge_t **team_gauge);
void runs_end (gauge_t *team_gauge);

/* runs_connections - the gauge of open connections.  */
gauge_t *runs_connections (void);

/* runs_json - the counts so far.  */
json_t *runs_json (void);

/* runs_ids - hashes of the ids that ran.  An id that ran more than once is
   listed as text too, twice, so that a search for duplicates finds it.  */
json_t *runs_ids (void);

typedef enum fault
{
  FAULT_FAIL,     /* responds with 500 */
  FAULT_TRUNCATE, /* sends half of the announced Content-Length and closes */
  FAULT_CROSS,    /* responds with another request's id */
  FAULT_SILENT,   /* runs the request, responds when the fault has ended */
  FAULT_REFUSE,   /* responds with 503 and X-Not-Run */
  FAULT_COUNT,
  FAULT_NONE = FAULT_COUNT
} fault_t;

/* faults_init - set the delay of requests while no fault sets another.  */
void faults_init (uint32_t delay_ms);

/* faults_set - replace all faults by those in the LEN bytes of JSON at TEXT:
     {"delay_ms": N, "fail": R, "truncate": R, "cross": R, "silent": R,
      "refuse_rate": R, "leaving": true|false}
   where R is true, false or a percentage of requests.  Faults that are not
   named are off.  False, with nothing changed, when TEXT is malformed.  */
bool faults_set (const char *text, size_t len);

/* faults_choose - the fault for the next request, or FAULT_NONE.  */
fault_t faults_choose (void);
uint32_t faults_delay_ms (void);
bool faults_leaving (void);
bool faults_silent (void);

typedef void hold_release_fn (void *request);

/* hold_start - start the thread that calls RELEASE for each held request that
   is due.  */
void hold_start (hold_release_fn *release);

/* hold_put - hold REQUEST until DUE_US, or with HOLD_UNTIL_FAULT_ENDS until
   the next hold_release_faults.  False when the stand-in is stopping.  */
#define HOLD_UNTIL_FAULT_ENDS INT64_MAX
bool hold_put (void *request, int64_t due_us);

/* hold_release_faults - release all requests held by a fault.  */
void hold_release_faults (void);

/* hold_stop - release all requests and join the thread.  */
void hold_stop (void);

#endif

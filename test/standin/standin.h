/* standin - parts of the stand-in upstream

   NAME
     runs, faults, hold

   DESCRIPTION
     runs    what ran: ids, and how many at once, in total and for each team
     faults  the failures that the stand-in brings about until told otherwise
     hold    requests that wait for their time or for a fault to end  */

#ifndef CUMINPIN_STANDIN_H
#define CUMINPIN_STANDIN_H

#include "base.h"
#include <jansson.h>

typedef struct gauge
{
  atomic_int_fast32_t now;
  atomic_int_fast32_t max;
} gauge_t;

/* gauge_enter - add one and raise the maximum; the value reached.  */
int32_t gauge_enter (gauge_t *gauge);
void gauge_leave (gauge_t *gauge);

/* runs_asked - note that a request came, whatever becomes of it.  */
void runs_asked (void);

/* runs_begin - count a run of ID by TEAM.  False, with nothing counted, when
   SLOTS runs are under way.  *TEAM_GAUGE goes to runs_end.  */
bool runs_begin (const char *id, const char *team, int32_t slots,
                 gauge_t **team_gauge);
void runs_end (gauge_t *team_gauge);

/* runs_connections - the gauge of open connections.  */
gauge_t *runs_connections (void);

/* runs_json - the counts so far.  */
json_t *runs_json (void);

/* runs_ids - hashes of the ids that ran; an id that ran twice is there as
   text too, twice.  */
json_t *runs_ids (void);

typedef enum fault
{
  FAULT_FAIL,     /* answers 500 */
  FAULT_TRUNCATE, /* announces a length, sends half of it, closes */
  FAULT_CROSS,    /* answers with another request's id */
  FAULT_SILENT,   /* runs the request, answers when the fault has ended */
  FAULT_REFUSE,   /* answers 503 "not run" */
  FAULT_COUNT,
  FAULT_NONE = FAULT_COUNT
} fault_t;

/* faults_init - DELAY_MS holds while no faults are set.  */
void faults_init (uint32_t delay_ms);

/* faults_put - replace all faults by those of the LEN bytes of TEXT:
     {"delay_ms": N, "fail": R, "truncate": R, "cross": R, "silent": R,
      "refuse_rate": R, "leaving": true|false}
   where R is true, false or a percentage of requests.  What is not named is
   off.  False when TEXT is something else.  */
bool faults_put (const char *text, size_t len);

/* faults_choose - the fault for the next request, or FAULT_NONE.  */
fault_t faults_choose (void);
uint32_t faults_delay_ms (void);
bool faults_leaving (void);
bool faults_silent (void);

typedef void hold_release_fn (void *request);

/* hold_start - start the thread that calls RELEASE for each request that was
   held, when its time has come.  */
void hold_start (hold_release_fn *release);

/* hold_put - keep REQUEST until DUE_US; for HOLD_FOR_FAULT, until the next
   hold_end_fault.  False when the stand-in is stopping.  */
#define HOLD_FOR_FAULT INT64_MAX
bool hold_put (void *request, int64_t due_us);

/* hold_end_fault - release all requests held for a fault.  */
void hold_end_fault (void);

/* hold_stop - release everything and end the thread.  */
void hold_stop (void);

#endif

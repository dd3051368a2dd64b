/* site - daemons as processes, beside the stand-ins of test/soak

   NAME
     site

   DESCRIPTION
     A store, two workers, one in zone dc-0 and one in dc-1, and daemons, each
     with a port of its own at the store.  The log lines of the daemons are
   read as they come, so that a test can wait for an event.

   ERRORS
     A check that fails ends the program, and the daemons with it.  */

#ifndef CUMINPIN_SITE_H
#define CUMINPIN_SITE_H

#include "standins.h"
#include <sys/types.h>

/* Cores of each worker, and tasks of each job, so that a job fills both.  */
#define SITE_CORES 4
#define SITE_JOB_TASKS (2 * SITE_CORES)
/* Longest wait for a condition.  */
#define SITE_WAIT_US INT64_C (30000000)

typedef struct site_daemon
{
  char *settings;
  char *address; /* loopback address of its own, so that no other process
                    has its ports */
  uint16_t store_port;
  pid_t pid; /* 0: it does not run */
  GThread *reader;
  int log_fd;
  GString *log; /* since its last start; guarded by site->lock */
  struct site *site;
} site_daemon_t;

typedef struct site
{
  const char *program;
  char *dir;
  store_t *store;
  workers_t *workers;
  site_daemon_t *daemons;
  uint32_t count;
  uint32_t jobs;
  uint32_t evacuate_ms;
  bool relayed;
  GMutex lock;
  GCond changed; /* a line was logged */
} site_t;

/* site_open - a site with COUNT daemons of PROGRAM, none of which runs yet.
   If RELAYED, the owner has another daemon carry its starts out.  */
site_t *site_open (const char *program, uint32_t count, uint32_t evacuate_ms,
                   bool relayed);
/* site_add_settings - add lines to the settings of all daemons, before they
   start.  */
void site_add_settings (site_t *site, const char *lines);
/* site_close - stop the daemons; fails if the workers saw a violation.  */
void site_close (site_t *site);

void site_start (site_t *site, uint32_t index);
/* site_ready - IP:PORT of a daemon's ready address; the caller frees it.  */
char *site_ready (const site_t *site, uint32_t index);
/* site_signal - send SIGNAL to a daemon; wait for its end with SIGKILL, and
   until it is suspended with SIGSTOP.  */
void site_signal (site_t *site, uint32_t index, int signal);

/* site_stop - send SIGTERM to a daemon, and wait for its end; fails unless it
   ends with exit status 0.  */
void site_stop (site_t *site, uint32_t index);

/* site_await - wait until a daemon has logged TEXT since its last start.  */
void site_await (site_t *site, uint32_t index, const char *text);
bool site_has_logged (site_t *site, uint32_t index, const char *text);

/* site_call - send METHOD for job ID to a daemon, and wait for MS; the status,
   or 0 without a response.
   site_job_body - the body of a job of COUNT tasks of MS; the caller frees
   it.  */
long site_call (const site_t *site, uint32_t index, const char *method,
                const char *id, const char *body, long ms);
char *site_job_body (uint32_t count, uint32_t ms);

/* site_submit_job - submit a job of COUNT tasks of MS through a daemon.
   site_run_job - the same with SITE_JOB_TASKS tasks, and wait until all have
   started.  */
void site_submit_job (site_t *site, uint32_t index, uint32_t count,
                      uint32_t ms);
void site_run_job (site_t *site, uint32_t index, uint32_t ms);

/* site_await_end - wait until the owner, a daemon, has logged the end of the
   last job.  */
void site_await_end (site_t *site, uint32_t index);

/* site_count_calls - requests that a daemon has sent to workers since its
   start, for itself or as a relay.  */
uint64_t site_count_calls (const site_t *site, uint32_t index);

/* site_run_jobs - run one job after another until END_US on the monotonic
   clock.  */
void site_run_jobs (site_t *site, uint32_t index, int64_t end_us);

/* site_evacuate - the operator withdraws dc-1; the status that the store
   answers.  From the acknowledgement on, late starts count as violations.
   site_take_back - the operator removes the record.  */
long site_evacuate (site_t *site);
void site_take_back (site_t *site);

/* site_require - end the program with TEXT unless OK.  */
void site_require (bool ok, const char *text);

#endif

/* bed2 - a small deployment for the cases of the second review

   Starts the daemons with the command of deploy/system.toml, each with a
   settings file of the fields of deploy/entry.yaml, on loopback addresses of
   its own.  The workers are the project's stand-ins of test/soak; the store
   and its HTTP server are copies of those, changed as their heads say.  */

#ifndef BED2_H
#define BED2_H

#include "../../test/soak/standins.h"
#include <sys/types.h>

#define BED_FRONT 8340
#define BED_READY 8343
#define BED_PEER 7000
#define BED_HOST "review.example"
#define BED_PREFIX "/jobs/"
/* Bounds of sites/valtel-sched.toml.  */
#define BED_GRACE_MS 6000
#define BED_LOSS_SLACK_MS 200
#define BED_CANCEL_MS 3000
#define BED_CONTACT_MS 3000
#define BED_WAIT_MS 20000
#define BED_MEMORY_MB 260
#define BED_RESTART_MS 1000

typedef struct bed_daemon
{
  char *address;
  char *settings;
  char *log;
  uint16_t store_port;
  pid_t pid; /* 0: not running */
  /* Kept by bed_run.  */
  int64_t restart_ms;
  long peak_mb;
  uint32_t over;    /* how often it was over its memory */
  uint32_t crashed; /* how often it ended by itself */
} bed_daemon_t;

typedef struct bed
{
  char *dir;
  store_t *store;
  workers_t *workers; /* NULL: the case has its own */
  bed_daemon_t *daemons;
  uint32_t count;
  const char *hosts_api;
} bed_t;

/* bed_trouble - false if TROUBLE=0.  */
bool bed_trouble (void);
/* bed_note - write a line with the time since the start to the file that
   RECORD names.  */
void bed_note (const char *format, ...) G_GNUC_PRINTF (1, 2);
int64_t bed_ms (void);

bed_t *bed_new (uint32_t count);
void bed_publish_config (bed_t *bed);
void bed_start (bed_t *bed, uint32_t index);
/* bed_start_all - start all daemons and wait until each is ready and one of
   them is the owner.  */
void bed_start_all (bed_t *bed);
bool bed_is_ready (const bed_t *bed, uint32_t index);
void bed_await_ready (bed_t *bed, uint32_t index);
/* bed_owner - the daemon that takes itself for the owner, or UINT32_MAX.  */
uint32_t bed_owner (const bed_t *bed);
/* bed_wait - wait up to MS for the end of the daemon; false: it runs on.  */
bool bed_wait (bed_t *bed, uint32_t index, int64_t ms, int *status);
/* bed_run - pass MS as the platform does: a process that exceeds memory_mb is
   killed, and one that has ended starts again after a short delay.  */
void bed_run (bed_t *bed, int64_t ms);
/* bed_submit - hand JOB in at one daemon after another until it is answered
   with 200 or MS are over; the last status.
   bed_get - ask one daemon after another for the state of the job ID, until an
   answer contains WANTED or MS are over; whether one did.  */
int bed_submit (bed_t *bed, const char *id, const char *job, int64_t ms);
bool bed_get (bed_t *bed, const char *id, const char *wanted, int64_t ms);
/* bed_end - kill what runs and exit with STATUS.  */
void bed_end (bed_t *bed, int status) G_GNUC_NORETURN;
void bed_require (bed_t *bed, bool ok, const char *what);

/* bed_call - one request on a connection of its own.  The HTTP status, or 0;
   the body is put into ANSWER if that is not NULL.  */
int bed_call (const char *ip, uint16_t port, const char *method,
              const char *path, const char *body, int timeout_ms,
              GString *answer);
/* bed_call_as - the same with the API key KEY.  */
int bed_call_as (const char *key, const char *ip, uint16_t port,
                 const char *method, const char *path, const char *body,
                 int timeout_ms, GString *answer);
int bed_connect (const char *ip, uint16_t port);

#endif

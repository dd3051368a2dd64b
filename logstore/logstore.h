/* logstore - client of the platform's log and of its list of live hosts, and a
   stand-in for both

   NAME
     logclient, devlog, devstore

   DESCRIPTION
     The log is read and written over HTTP (docs/design.md, section 4.1).  The
     offsets in a stream are consecutive.  A client may be used by one thread
     at a time, except that platform_interrupt may be called from any thread.
     Each call returns within its timeout.

     devlog is the stand-in that `cuminpind --dev` and the tests use.  It keeps
     streams in memory and simulates failures of the platform on request.  */

#ifndef CUMINPIN_LOGSTORE_H
#define CUMINPIN_LOGSTORE_H

#include "base.h"

#define STREAM_FLEET "fleet"
#define STREAM_SNAPSHOT "fleet-snapshot"

typedef struct platform platform_t;

typedef enum log_status
{
  LOG_OK,
  LOG_UNREACHABLE, /* the call had no effect on the service */
  LOG_UNCERTAIN,   /* an append may have taken effect */
  LOG_EXPIRED,     /* the offset precedes the oldest retained record */
  LOG_BAD_ANSWER   /* invalid or unexpected response */
} log_status_t;

const char *log_status_name (log_status_t status);

typedef struct log_entry
{
  uint64_t offset;
  int64_t time_ms;
  GBytes *data;
} log_entry_t;

/* The result of a read.  */
typedef struct log_batch
{
  log_entry_t *entries;
  uint32_t count;
  uint64_t first_kept; /* offset of the oldest retained record */
  uint64_t next;       /* offset after the newest record */
} log_batch_t;

void log_batch_clear (log_batch_t *batch);

typedef enum live_state
{
  LIVE_LIVE,
  LIVE_LEAVING
} live_state_t;

typedef struct live_host
{
  char *host;
  live_state_t state;
} live_host_t;

typedef struct live_list
{
  live_host_t *hosts;
  uint32_t count;
} live_list_t;

void live_list_clear (live_list_t *list);

/* platform_open - create a client of the platform at URL.  */
platform_t *platform_open (const char *url);

void platform_close (platform_t *platform);

/* platform_interrupt - make the current call and all later calls return
   immediately.  Reads return LOG_UNREACHABLE.  */
void platform_interrupt (platform_t *platform);

/* log_read - read up to MAX records of STREAM from offset FROM.  When there
   are none, the service waits up to WAIT_MS for one.  */
log_status_t log_read (platform_t *platform, const char *stream, uint64_t from,
                       uint32_t max, uint32_t wait_ms, uint32_t timeout_ms,
                       log_batch_t *batch);

/* log_append - append a record of LEN bytes to STREAM; *OFFSET is its offset.
   LOG_BAD_ANSWER: the service refused it with a 4xx status.  */
log_status_t log_append (platform_t *platform, const char *stream,
                         const void *data, size_t len, uint32_t timeout_ms,
                         uint64_t *offset);

/* live_read - read the list of live and leaving hosts, which may be out of
   date.  */
log_status_t live_read (platform_t *platform, uint32_t timeout_ms,
                        live_list_t *list);

/* host_reboot - request a reboot of HOST; repeated requests with the same
   TOKEN cause a single reboot.  */
log_status_t host_reboot (platform_t *platform, const char *host,
                          uint64_t token, uint32_t timeout_ms);

typedef struct devlog devlog_t;

/* Failures that the stand-in simulates until they are set again.  */
typedef struct devlog_faults
{
  bool down;             /* respond to platform calls with 503 */
  uint32_t delay_ms;     /* delay of responses; appends aren't delayed */
  uint32_t lose_answers; /* next N appends take effect without a response */
  uint32_t drop_appends; /* next N appends are lost without a response */
  uint32_t retain;       /* records retained in each stream; 0: all */
  uint32_t live_lag_ms;  /* delay of changes in the list of hosts */
  uint32_t reboot_ms;    /* time a rebooted host is gone; 0: 500 */
} devlog_faults_t;

/* devlog_start - serve on ADDRESS and PORT (0: chosen by the kernel) in
   threads of its own.  NULL when it can't listen there.  Besides the
   platform's calls it handles, also while it is down:

     PUT /faults     JSON object with the fields of devlog_faults_t
     PUT /live/HOST  body "live", "leaving" or "gone"
     GET /reboots    JSON object: number of rebooted hosts, and of reboots of
                     each host  */
devlog_t *devlog_start (const char *address, uint16_t port);

uint16_t devlog_port (const devlog_t *devlog);

void devlog_set_faults (devlog_t *devlog, const devlog_faults_t *faults);

void devlog_stop (devlog_t *devlog);

#endif

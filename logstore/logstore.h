/* logstore - client of the platform's log and of its list of hosts, and a
   stand-in of both

   NAME
     logclient, devlog, devstore

   DESCRIPTION
     The log is read and written over HTTP (docs/design.md, section 4.1).
     Offsets count the records of a stream, without gaps.  A
     client may be used by one thread at a time; platform_interrupt may be
     called from any.  Each call ends within its timeout.

     devlog is the stand-in that `cuminpind --dev` and the tests use.  It keeps
     streams in memory and brings about the platform's failures on request.  */

#ifndef CUMINPIN_PLATFORM_H
#define CUMINPIN_PLATFORM_H

#include "base.h"

#define STREAM_FLEET "fleet"
#define STREAM_SNAPSHOT "fleet-snapshot"

typedef struct platform platform_t;

typedef enum log_status
{
  LOG_OK,
  LOG_UNREACHABLE, /* nothing was done, or only a read */
  LOG_UNCERTAIN,   /* an append may have taken effect */
  LOG_EXPIRED,     /* the offset is older than the oldest record kept */
  LOG_BAD_ANSWER   /* the service broke its protocol */
} log_status_t;

const char *log_status_name (log_status_t status);

typedef struct log_entry
{
  uint64_t offset;
  int64_t time_ms;
  GBytes *data;
} log_entry_t;

/* What one read brought.  */
typedef struct log_batch
{
  log_entry_t *entries;
  uint32_t count;
  uint64_t first_kept; /* offset of the oldest record kept */
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

/* platform_open - a client of the platform at URL.  */
platform_t *platform_open (const char *url);

void platform_close (platform_t *platform);

/* platform_interrupt - end the call under way with LOG_UNREACHABLE, and all
   later ones at once.  */
void platform_interrupt (platform_t *platform);

/* log_read - up to MAX records of STREAM from offset FROM on; when there are
   none, wait up to WAIT_MS for one.  */
log_status_t log_read (platform_t *platform, const char *stream, uint64_t from,
                       uint32_t max, uint32_t wait_ms, uint32_t timeout_ms,
                       log_batch_t *batch);

/* log_append - append LEN bytes to STREAM; *OFFSET is where they stand.
   LOG_BAD_ANSWER: the service refused them with a 4xx status.  */
log_status_t log_append (platform_t *platform, const char *stream,
                         const void *data, size_t len, uint32_t timeout_ms,
                         uint64_t *offset);

/* live_read - the list of live and leaving hosts; it lags.  */
log_status_t live_read (platform_t *platform, uint32_t timeout_ms,
                        live_list_t *list);

/* host_reboot - have the platform reboot HOST, once for each TOKEN.  */
log_status_t host_reboot (platform_t *platform, const char *host,
                          uint64_t token, uint32_t timeout_ms);

typedef struct devlog devlog_t;

/* Failures that the stand-in brings about until told otherwise.  */
typedef struct devlog_faults
{
  bool down;             /* answers 503 to everything */
  uint32_t delay_ms;     /* answers late; appends take effect at once */
  uint32_t lose_answers; /* the next N appends take effect, unanswered */
  uint32_t drop_appends; /* the next N appends do nothing, unanswered */
  uint32_t retain;       /* keeps so many records of a stream; 0: all */
  uint32_t live_lag_ms;  /* the list of hosts shows changes so late */
  uint32_t reboot_ms;    /* a rebooted host is gone for so long; 0: 500 */
} devlog_faults_t;

/* devlog_start - serve on ADDRESS and PORT (0: chosen by the kernel), in
   threads of its own.  NULL when the port can't be had.  Besides the
   platform's calls it answers PUT /faults (JSON with the fields of
   devlog_faults_t), PUT /live/HOST (body "live", "leaving" or "gone") and GET
   /reboots (JSON: how many hosts were rebooted, and how often each), also
   while it is down.  */
devlog_t *devlog_start (const char *address, uint16_t port);

uint16_t devlog_port (const devlog_t *devlog);

void devlog_set_faults (devlog_t *devlog, const devlog_faults_t *faults);

void devlog_stop (devlog_t *devlog);

#endif

/* devstore - what the stand-in log keeps: streams, the list of hosts, and the
   failures to bring about

   Private to the package.  Independent of HTTP; safe from any thread.  */

#ifndef CUMINPIN_DEVSTORE_H
#define CUMINPIN_DEVSTORE_H

#include "logstore.h"

typedef struct devstore devstore_t;

devstore_t *devstore_new (void);

void devstore_free (devstore_t *store);

/* devstore_stop - end all waits, now and later.  */
void devstore_stop (devstore_t *store);

void devstore_set_faults (devstore_t *store, const devlog_faults_t *faults);

/* devstore_is_up - whether calls are answered.  */
bool devstore_is_up (devstore_t *store);

/* devstore_delay - hold back an answer for the delay that is set.  False when
   the service is down or stopping by then.  */
bool devstore_delay (devstore_t *store);

/* What becomes of an append.  */
typedef enum append_fate
{
  APPEND_ANSWERED,
  APPEND_UNANSWERED /* it may have been made */
} append_fate_t;

/* devstore_append - append DATA to STREAM; *OFFSET is where it stands.  */
append_fate_t devstore_append (devstore_t *store, const char *stream,
                               GBytes *data, uint64_t *offset);

/* devstore_read - up to MAX records of STREAM from FROM on into BATCH, to be
   released with log_batch_clear; waits up to WAIT_MS while there are none.  */
log_status_t devstore_read (devstore_t *store, const char *stream,
                            uint64_t from, uint32_t max, uint32_t wait_ms,
                            log_batch_t *batch);

typedef enum live_change
{
  CHANGE_LIVE,
  CHANGE_LEAVING,
  CHANGE_GONE
} live_change_t;

/* devstore_change_host - will show in the list after the lag that is set.  */
void devstore_change_host (devstore_t *store, const char *host,
                           live_change_t change);

/* devstore_reboot - HOST is gone and back a moment later, unless TOKEN is that
   of its last reboot.  */
void devstore_reboot (devstore_t *store, const char *host, uint64_t token);

/* Called for each host that was rebooted, with how often.  */
typedef void (*reboots_fn) (const char *host, uint32_t count, void *to);

void devstore_reboots (devstore_t *store, reboots_fn call, void *to);

/* devstore_live - the list as it shows now, in order of names; release with
   live_list_clear.  */
void devstore_live (devstore_t *store, live_list_t *list);

#endif

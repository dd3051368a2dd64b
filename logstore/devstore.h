/* devstore - state of the stand-in log: streams, the list of hosts and the
   simulated failures

   Private to the package.  Independent of HTTP; thread-safe.  */

#ifndef CUMINPIN_DEVSTORE_H
#define CUMINPIN_DEVSTORE_H

#include "logstore.h"

typedef struct devstore devstore_t;

devstore_t *devstore_new (void);

void devstore_free (devstore_t *store);

/* devstore_stop - make all current and later waits return.  */
void devstore_stop (devstore_t *store);

void devstore_set_faults (devstore_t *store, const devlog_faults_t *faults);

/* devstore_is_up - whether the service is neither down nor stopping.  */
bool devstore_is_up (devstore_t *store);

/* devstore_delay - wait for the simulated response delay.  False when the
   service is down or stopping afterwards.  */
bool devstore_delay (devstore_t *store);

/* Whether an append receives a response.  */
typedef enum append_result
{
  APPEND_ANSWERED,
  APPEND_UNANSWERED /* it may have taken effect */
} append_result_t;

/* devstore_append - append DATA to STREAM; *OFFSET is its offset.  */
append_result_t devstore_append (devstore_t *store, const char *stream,
                                 GBytes *data, uint64_t *offset);

/* devstore_read - read up to MAX records of STREAM from offset FROM; waits up
   to WAIT_MS while there are none.  Release BATCH with log_batch_clear.  */
log_status_t devstore_read (devstore_t *store, const char *stream,
                            uint64_t from, uint32_t max, uint32_t wait_ms,
                            log_batch_t *batch);

typedef enum live_change
{
  CHANGE_LIVE,
  CHANGE_LEAVING,
  CHANGE_GONE
} live_change_t;

/* devstore_change_host - change HOST in the list after the simulated lag.  */
void devstore_change_host (devstore_t *store, const char *host,
                           live_change_t change);

/* devstore_reboot - simulate a reboot: HOST is gone and then live again.  No
   effect when TOKEN is that of its last reboot.  */
void devstore_reboot (devstore_t *store, const char *host, uint64_t token);

/* Called for each rebooted host with the number of its reboots.  */
typedef void (*reboot_visitor_t) (const char *host, uint32_t count,
                                  void *context);

/* devstore_reboots - call VISIT with CONTEXT for each rebooted host.  */
void devstore_reboots (devstore_t *store, reboot_visitor_t visit,
                       void *context);

/* devstore_live - the current list, sorted by name.  Release with
   live_list_clear.  */
void devstore_live (devstore_t *store, live_list_t *list);

#endif

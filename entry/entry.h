/* entry - the daemon of an entry host on the platform: the stages of a job and
   the threads that run them

   NAME
     model, calls, feed, core, front, entry

   DESCRIPTION
     A request passes

       parse -> authenticate -> accept          front: threads of the server
         | pipe
       append -> fold -> place -> order -> follow    core: one thread
         | model, read under RCU
       show                                      front

     front  reads requests, decides what needs no record, hands the rest to the
            core and answers
     core   appends records, folds the job log and, while this daemon owns the
            decisions, runs the scheduler and calls workers and hosts
     model  what the core publishes for the front: rules, states of jobs,
            pending counts; immutable or atomic, read under RCU
     calls  HTTP requests to the platform, on the core's event loop
     feed   reading a topic of the store by long poll

   LIFETIMES
     rules     until no reader of older ones is left
     ask       from its request until that is answered  */

#ifndef CUMINPIN_ENTRY_H
#define CUMINPIN_ENTRY_H

#include "platformapi.h"
#include <urcu.h>
#include <urcu/rculfhash.h>

typedef struct entry_settings
{
  char *name;
  char *data_centre;
  char *front;            /* IP:PORT for clients */
  char *ready;            /* IP:PORT for the load balancer and operators */
  char *store;            /* IP:PORT */
  char *hosts_api;        /* IP:PORT; "": none */
  char *advice;           /* IP:PORT of the advice service; "": none */
  double cpu_share;       /* of a core */
  uint32_t revoke_ms;     /* a withdrawn key has to stop working after */
  uint32_t hold_max_ms;   /* longest lease that workers grant */
  uint32_t stop_grace_ms; /* a stop of a task takes no longer */
  uint32_t notice_ms;     /* a lasting task not at work so long is away */
  uint32_t host_lease_ms; /* pause between owners' orders on one host */
  uint32_t status_s;      /* final jobs are shown for so long */
  uint32_t grace_s;       /* between SIGTERM and SIGKILL */
  uint32_t keep_s;        /* the store keeps records for so long */
} entry_settings_t;

/* entry_settings_read - the settings in the YAML file PATH, with defaults for
   those it does not have, or NULL and *ERROR.  */
entry_settings_t *entry_settings_read (const char *path, GError **error);
entry_settings_t *entry_settings_load (const char *file, const char *text,
                                       size_t len, GError **error);
void entry_settings_free (entry_settings_t *settings);

/* entry_run - serve until SIGTERM; the exit status.  */
int entry_run (const char *path);

/* Board.  */

typedef struct readmodel_job
{
  struct cds_lfht_node node;
  struct rcu_head rcu;
  char id[JOB_ID_BYTES];
  const char *queue;     /* interned */
  const char *workspace; /* interned */
  atomic_int state;      /* job_state_t */
} readmodel_job_t;

typedef struct readmodel_pending
{
  const char *queue;
  uint32_t jobs;
} readmodel_pending_t;

/* Rules and pending counts in effect, immutable.  */
typedef struct readmodel_view
{
  struct rcu_head rcu;
  rules_t *rules;
  readmodel_pending_t *pending;
  uint32_t pending_count;
} readmodel_view_t;

typedef struct model
{
  struct cds_lfht *jobs;
  readmodel_view_t *view;             /* RCU; NULL: no rules yet */
  atomic_int_fast64_t rules_known_us; /* rules were current then */
  atomic_int_fast64_t log_known_us;   /* all records of then are folded */
  atomic_int_fast64_t
      store_failing_since_us; /* appends fail since; 0: they don't */
  atomic_bool stopping;
} readmodel_t;

void readmodel_open (readmodel_t *model);
void readmodel_close (readmodel_t *model);

/* readmodel_put_job - show ENTRY's state.  Core only.  */
void readmodel_put_job (readmodel_t *model, const job_entry_t *entry);
void readmodel_remove_job (readmodel_t *model, const char *id);

/* readmodel_publish - put RULES, or those in effect when NULL, and COUNT
   PENDING in effect; takes both.  Core only.  */
void readmodel_publish (readmodel_t *model, rules_t *rules,
                        readmodel_pending_t *pending, uint32_t count);

/* readmodel_view, readmodel_find_job - between rcu_read_lock and
 * rcu_read_unlock.  */
const readmodel_view_t *readmodel_view (const readmodel_t *model);
readmodel_job_t *readmodel_find_job (readmodel_t *model, const char *id);

/* How long after its confirmation this daemon goes by its rules for requests
   with keys: less than the bound by which a withdrawn key has to stop working,
   by the time that a request may take.  */
bool readmodel_rules_are_fresh (const readmodel_t *model, uint32_t revoke_ms,
                                int64_t now_us);

/* A daemon that has not read the job log for so long can't say that a job does
   not exist: jobs become visible everywhere within the platform's bound of 3 s
   (`visible_ms`).  */
#define READMODEL_LOG_AGE_MAX_US 2500000

/* Asks: what the front hands to the core.  */

typedef enum append_outcome
{
  APPEND_PENDING,
  APPEND_STORED,     /* the record is in the log */
  APPEND_NOT_STORED, /* it is not, and won't be */
  APPEND_UNKNOWN     /* it may be */
} append_outcome_t;

typedef struct append_req
{
  pipe_node_t node;
  GBytes *record;
  char id[JOB_ID_BYTES];
  bool is_cancel;
  int64_t deadline_us;
  atomic_int outcome; /* append_outcome_t; set once, by the core */
  bool existed;       /* CANCEL: the job was there */
  void (*done) (struct append_req
                    *request); /* called by the core; may be the last use */
  void *ctx;
} append_req_t;

/* Calls.  */

typedef struct calls calls_t;

/* How a call ended.  STATUS is 0 when no whole answer came.  */
typedef struct call_result
{
  uint32_t status;
  bool not_sent; /* no connection was made, so nothing was sent */
  GByteArray *body;
  int64_t sent_us;
} call_result_t;

typedef void (*call_done_t) (void *ctx, const call_result_t *result);

/* calls_open - calls whose events come from EPOLL_FD, on up to
   ADDRESS_CONNECTIONS connections to one address.  */
calls_t *calls_open (int epoll_fd, uint32_t address_connections);
void calls_close (calls_t *calls);

/* calls_send - send REQ, which is released, to ADDRESS; DONE is called later,
   never from here.  */
void calls_send (calls_t *calls, const char *address, platform_req_t *req,
                 uint32_t timeout_ms, call_done_t done, void *ctx);

/* calls_handle_event - descriptor FD, in calls' events, is READY.
   calls_run_due - what time brings about.  calls_due_us - when that is.  */
void calls_handle_event (calls_t *calls, int fd, uint32_t ready);
void calls_run_due (calls_t *calls, int64_t now_us);
int64_t calls_due_us (const calls_t *calls);

/* Core.  */

typedef struct core core_t;

core_t *core_start (const entry_settings_t *settings, readmodel_t *model);

/* core_append - hand ASK over; false when the core takes no more.  */
bool core_append (core_t *core, append_req_t *request);

/* core_release_ownership - hand the decisions over, if this daemon owns them.
 */
void core_release_ownership (core_t *core);
void core_stop (core_t *core);

/* core_dump - the core's state as text, at most a second old; the first call
   after a while gets an older one.  */
char *core_dump (core_t *core);

/* Front.  */

typedef struct front front_t;

front_t *front_start (const entry_settings_t *settings, readmodel_t *model,
                      core_t *core);

/* front_in_flight - requests that are not answered yet.  */
uint32_t front_in_flight (const front_t *front);
void front_stop (front_t *front);

#endif

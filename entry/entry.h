/* entry - the daemon of an entry host on the platform

   NAME
     settings, readmodel, outcome, calls, core, bodies, conns, front,
     operators, explaincalls, explainjson, entry

   DESCRIPTION
     A request passes these stages:

       parse -> authenticate -> accept          front: HTTP server threads
         | pipe
       append -> fold -> place -> order -> follow    core: one thread
         | readmodel, read under RCU
       show                                      front

     front      parses requests, answers those that need no record, passes the
                others to the core and sends the responses
     bodies     decides which request bodies are read and which connections
                are closed, so that memory and descriptors are not used up
     conns      HTTP server whose connections are within these limits
     operators  answers the load balancer and operators; explaincalls reads
                requests to explain a job, explainjson encodes the answers
     core       appends records and folds the job log; while this daemon is the
                owner, it also runs the scheduler and sends orders to workers
                and hosts
     readmodel  rules, job states and pending counts as the core publishes them
                for the front; immutable or atomic, read under RCU
     calls      HTTP client for the platform, driven by the core's event loop

   LIFETIMES
     rules         until the last reader of the previous rules has finished
     append_req_t  from its request until the response  */

#ifndef CUMINPIN_ENTRY_H
#define CUMINPIN_ENTRY_H

#include "bodies.h"
#include "explain.h"
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
  char *peer;             /* IP:PORT for links of other daemons; "": none */
  char *advice;           /* IP:PORT of the advice service; "": none */
  double cpu_share;       /* CPU limit, in cores */
  uint32_t revoke_ms;     /* time in which a withdrawn key must stop working */
  uint32_t evacuate_ms;   /* time in which starts in a withdrawn data centre
                             must end; 0: no bound */
  uint32_t hold_max_ms;   /* longest lease that workers accept */
  uint32_t stop_grace_ms; /* upper bound for stopping a task */
  uint32_t notice_ms;     /* a long-running task that hasn't run for this long
                             is unavailable */
  uint32_t host_lease_ms; /* minimum interval between orders of different
                             owners on one host */
  uint32_t status_s;      /* how long final jobs are shown */
  uint32_t grace_s;       /* time between SIGTERM and SIGKILL */
  uint32_t keep_s;        /* retention of records in the store */
  char *owner_summary;    /* "on": owners keep a summary of what they have
                             learned for the next one; NULL or "off": not */
  char *interference;     /* "avoid": learn which tasks slow each other down,
                             and keep them apart; "off" or NULL: don't */
  char *shares;           /* "window": prefer workspaces that have used less;
                             "off" or NULL: don't */
  uint32_t memory_mb;     /* memory limit of the process; 0: none known */
  uint32_t max_fds;       /* limit on descriptors; 0: none known */
  char *admission;        /* "objective" or "off"; NULL: off */
  char *run_times;        /* "learn" or "off"; NULL: off */
  bool admission_by_objective; /* set from the texts above */
  bool learn_run_times;        /* the same */
} entry_settings_t;

/* entry_settings_read - read the settings from the YAML file PATH; those that
   it omits get defaults.  NULL with *ERROR set on failure.
   entry_settings_load - the same from LEN bytes of TEXT; FILE is the name for
   error messages.  */
entry_settings_t *entry_settings_read (const char *path, GError **error);
entry_settings_t *entry_settings_load (const char *file, const char *text,
                                       size_t len, GError **error);
void entry_settings_free (entry_settings_t *settings);

/* entry_setting_is_on - whether VALUE, a setting that is "on", "off" or NULL,
   is on.  */
bool entry_setting_is_on (const char *value);
/* Limits on what clients may use of the process.  */
typedef struct entry_limits
{
  bodies_limits_t bodies;
  uint32_t connections;        /* accepted at once */
  uint32_t worker_connections; /* to workers; 0: unlimited */
  uint32_t store_connections;  /* to the store, the hosts' and the advice
                                  service; 0: unlimited */
  uint32_t pool_bytes; /* memory of one connection, for headers and reading */
  bool strict;         /* the settings state a limit: ambiguous requests are
                          refused */
} entry_limits_t;

/* entry_settings_limits - the limits that follow from memory_mb and max_fds of
   SETTINGS; without them, only those on one connection.  */
void entry_settings_limits (const entry_settings_t *settings,
                            entry_limits_t *limits);

/* entry_run - run the daemon with the settings in PATH until SIGTERM or
   SIGINT; returns the exit status.  */
int entry_run (const char *path);

/* Read model.  */

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

/* Rules and pending counts; immutable once published.  A view that replaces
   one of them holds the other as it was.  */
typedef struct readmodel_view
{
  struct rcu_head rcu;
  rules_t *rules;               /* NULL: none were read */
  readmodel_pending_t *pending; /* queues that aren't listed have none */
  uint32_t pending_count;
  bool is_counted; /* the jobs were counted with all records of the log */
} readmodel_view_t;

typedef struct readmodel
{
  struct cds_lfht *jobs;
  readmodel_view_t *view; /* RCU; NULL: no rules yet */
  /* The rules were last confirmed as current at this time.  */
  atomic_int_fast64_t rules_known_us;
  /* All records that the job log had at this time are folded.  */
  atomic_int_fast64_t log_known_us;
  /* Number of records of the job log that are read.  */
  atomic_uint_fast64_t log_position;
  /* Requests to the store have been failing since; 0: they succeed.  */
  atomic_int_fast64_t store_failing_since_us;
  atomic_bool stopping;
} readmodel_t;

void readmodel_open (readmodel_t *model);
void readmodel_close (readmodel_t *model);

/* readmodel_put_job - add the job of ENTRY or update its state.  Core only. */
void readmodel_put_job (readmodel_t *model, const job_entry_t *entry);
void readmodel_remove_job (readmodel_t *model, const char *id);

/* readmodel_publish_rules - publish RULES with the counts of the view before.
   readmodel_publish_pending - publish COUNT rows of PENDING, which were
   counted with all records of the log, with the rules of the view before. Both
   take ownership, and are for the core only.  */
void readmodel_publish_rules (readmodel_t *model, rules_t *rules);
void readmodel_publish_pending (readmodel_t *model,
                                readmodel_pending_t *pending, uint32_t count);

/* readmodel_view, readmodel_find_job - call under rcu_read_lock; the result is
   valid until rcu_read_unlock.  */
const readmodel_view_t *readmodel_view (const readmodel_t *model);
readmodel_job_t *readmodel_find_job (readmodel_t *model, const char *id);

/* readmodel_rules_are_fresh - whether the rules are recent enough to accept
   keys.  The limit is below REVOKE_MS, in which a withdrawn key must stop
   working, to leave time for the request itself.  */
bool readmodel_rules_are_fresh (const readmodel_t *model, uint32_t revoke_ms,
                                int64_t now_us);

/* If the job log was last read longer ago, the daemon does not report that a
   job does not exist: the platform requires that a job is visible at every
   daemon within 3 s.  */
#define READMODEL_LOG_AGE_MAX_US 2500000

/* readmodel_store_is_failing - whether requests to the store have been failing
   for so long that new jobs are refused immediately.  */
bool readmodel_store_is_failing (const readmodel_t *model, int64_t now_us);

/* Requests of the front to append a record to the job log.  */

typedef enum append_outcome
{
  APPEND_PENDING,
  APPEND_STORED,     /* the record is in the log; if a client waits, it has
                        taken effect */
  APPEND_NOT_STORED, /* the record is not in the log and never will be */
  APPEND_UNKNOWN,    /* the record may be in the log */
  APPEND_REFUSED,    /* the owner refused the job: the same as NOT_STORED, with
                        a time to return */
  APPEND_NO_JOB,     /* a cancelling: there is no such job at its queue */
  APPEND_FORBIDDEN,  /* the job is of another workspace */
  APPEND_ID_IN_USE,  /* a submission: the id is that of a job elsewhere */
  APPEND_VOID        /* the record has no effect and never will: the id was
                        cancelled, or submitted, since the request came */
} append_outcome_t;

typedef enum append_kind
{
  APPEND_FORWARD, /* a record of another daemon */
  APPEND_SUBMIT,
  APPEND_CANCEL
} append_kind_t;

/* outcome_add - the outcome of a batch after that of one more RECORD; a batch
   without records is APPEND_PENDING.  Refused records are left out.  If its
   records differ, it is APPEND_UNKNOWN: some of them are in the log.  */
append_outcome_t outcome_add (append_outcome_t batch, append_outcome_t record);

typedef struct append_req
{
  pipe_node_t node;
  GBytes *record;
  char id[JOB_ID_BYTES];
  append_kind_t kind;
  access_call_t call; /* SUBMIT, CANCEL */
  uint64_t position;  /* of the record; see job_rec_t */
  int64_t deadline_us;
  atomic_int outcome; /* append_outcome_t; set once, by the core */
  bool effective; /* FORWARD, stored: no submission, or its job is accepted */
  uint32_t retry_after_s; /* APPEND_REFUSED: when to return */
  /* Called by the core, which does not use the request afterwards.  */
  void (*done) (struct append_req *request);
  void *ctx;
} append_req_t;

/* Calls.  */

typedef struct calls calls_t;

/* Result of a call.  STATUS is 0 if there was no complete reply.  */
typedef struct call_result
{
  uint32_t status;
  bool not_sent; /* no connection was established in time; nothing was sent */
  GByteArray *body;
  int64_t sent_us;
} call_result_t;

typedef struct call call_t;
typedef void (*call_done_t) (void *ctx, const call_result_t *result);

/* calls_open - an HTTP client that registers its sockets with EPOLL_FD and
   opens up to ADDRESS_CONNECTIONS connections to each address, and up to
   CONNECTIONS_MAX in all, idle ones included; 0: unlimited.  Beyond it, idle
   connections are closed, and calls wait if there is none.  */
calls_t *calls_open (int epoll_fd, uint32_t address_connections,
                     uint32_t connections_max);
void calls_close (calls_t *calls);

/* calls_send - send REQ to ADDRESS and clear it.  DONE is called later, never
   from calls_send itself.  The call is valid until then.  A POST is sent once
   at most; a GET may be sent again if its connection was lost.
   calls_limit_delay - end CALL as not sent if it has no connection DELAY_MS
   after calls_send.  Without a limit it may be sent any time before its
   timeout, and after it if this thread is late.
   calls_cancel - end CALL without a result.  It may have had an effect.  */
call_t *calls_send (calls_t *calls, const char *address, platform_req_t *req,
                    uint32_t timeout_ms, call_done_t done, void *ctx);
void calls_limit_delay (call_t *call, uint32_t delay_ms);
void calls_cancel (calls_t *calls, call_t *call);

/* calls_handle_event - handle the epoll events READY of FD, if it is one of
   CALLS.  */
void calls_handle_event (calls_t *calls, int fd, uint32_t ready);

/* calls_run_due - handle expired timers.  All replies that had arrived by
   READ_US were handled; a call whose time was over later may have its reply
   waiting and goes on.
   calls_due_us - when the next timer expires.  */
void calls_run_due (calls_t *calls, int64_t read_us, int64_t now_us);
int64_t calls_due_us (const calls_t *calls);

/* Core.  */

typedef struct core core_t;

core_t *core_start (const entry_settings_t *settings, readmodel_t *model);

/* core_append - pass REQUEST to the core; false if its queue is full, or it
   has halted.  The thread is registered with RCU.  */
bool core_append (core_t *core, append_req_t *request);

/* core_release_ownership - resign if this daemon is the owner, and claim no
   more.  */
void core_release_ownership (core_t *core);

/* core_halt - refuse further requests, finish all that wait, and end the
   core's thread.  The servers whose requests these are go on until they
   have answered.
   core_free - free a core that has halted, once nothing calls it any more.  */
void core_halt (core_t *core);
void core_free (core_t *core);

/* core_dump - the core's state as text.  Requests an update and returns the
   result of the last request, so the first call after a while returns an old
   state.  */
char *core_dump (core_t *core);

/* Requests of operators to explain a job.  */

typedef enum explain_outcome
{
  EXPLAIN_REQ_PENDING,
  EXPLAIN_REQ_ANSWERED,
  EXPLAIN_REQ_NOT_OWNER, /* another daemon decides */
  EXPLAIN_REQ_NO_OWNER,  /* no daemon is known to decide */
  EXPLAIN_REQ_BUSY       /* too many requests wait */
} explain_outcome_t;

typedef struct explain_req
{
  pipe_node_t node;
  char id[JOB_ID_BYTES];      /* "": none was given */
  char *queue;                /* name; NULL: none was given */
  char *workspace;            /* the same */
  job_desc_t *desc;           /* NULL: only an accepted job is asked for */
  atomic_int outcome;         /* explain_outcome_t; set once, by the core */
  explanation_t *explanation; /* ANSWERED */
  char *owner;                /* NOT_OWNER: its name */
  /* Called by the core, which does not use the request afterwards.  */
  void (*done) (struct explain_req *request);
  void *ctx;
} explain_req_t;

/* core_explain - pass REQUEST to the core; false if too many are waiting, or
   it has halted.  The thread is registered with RCU.  */
bool core_explain (core_t *core, explain_req_t *request);

/* Front.  */

typedef struct front front_t;

front_t *front_start (const entry_settings_t *settings, readmodel_t *model,
                      core_t *core);

/* front_in_flight - number of requests without a response.  */
uint32_t front_in_flight (const front_t *front);
void front_stop (front_t *front);

/* Operators: /readyz, /metrics, /dump and /explain.  */

typedef struct operators operators_t;

/* operators_start - serve the address READY of SETTINGS; NULL if it can't be
   used.  */
operators_t *operators_start (const entry_settings_t *settings,
                              readmodel_t *model, core_t *core);
void operators_stop (operators_t *operators);

#endif

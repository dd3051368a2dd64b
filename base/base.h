/* base - types and functions that all packages use

   NAME
     err, event, counter, metrics, pipe, hash, pack, clock

   DESCRIPTION
     err      error kinds on the path of a request and the HTTP response for
              each
     event    the event log; docs/events.md lists the events
     counter  process-wide counters, striped over threads
     metrics  latency histograms, and the text of all metrics
     pipe     bounded queue between pipeline stages on different threads
     hash     rendezvous hashing
     pack     validation of msgpack input before it is decoded
     clock    the only module that reads the time; functions that decide take
              the time as an argument  */

#ifndef CUMINPIN_BASE_H
#define CUMINPIN_BASE_H

#include <glib.h>
#include <inttypes.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <urcu/wfcqueue.h>

/* Whether a failed request was executed.  */
typedef enum outcome
{
  OUTCOME_NOT_RUN, /* no upstream can have run it */
  OUTCOME_UNKNOWN, /* an upstream may have run it */
  OUTCOME_RAN      /* an upstream ran it */
} outcome_t;

/* Error kinds on the path of a request.  The list is closed: err_response has
   a row for each.  */
typedef enum err_kind
{
  ERR_NONE,
  ERR_BAD_REQUEST,       /* malformed header, id or deadline */
  ERR_HEADER_TOO_LARGE,  /* header block exceeds the limit */
  ERR_BODY_TOO_LARGE,    /* body exceeds the limit */
  ERR_KEY_MISSING,       /* service needs a key, none given */
  ERR_KEY_REJECTED,      /* key unknown or withdrawn */
  ERR_NO_SERVICE,        /* no such service in the configuration */
  ERR_STALE_VIEW,        /* keys and rules may be out of date */
  ERR_ID_INVALID,        /* non-idempotent without a usable request id */
  ERR_ID_REPEATED,       /* id was accepted before and may have run */
  ERR_ID_OWNER_AWAY,     /* the owner of the id is unreachable */
  ERR_QUEUE_FULL,        /* the team's queue is full */
  ERR_WOULD_BE_LATE,     /* response not possible before the deadline */
  ERR_EXPIRED_QUEUED,    /* deadline passed while queued */
  ERR_NO_UPSTREAM,       /* no upstream available */
  ERR_UPSTREAM_REFUSED,  /* upstream refused before running it */
  ERR_CONNECT_FAILED,    /* no connection to an upstream */
  ERR_UPSTREAM_FAILED,   /* upstream ran it and failed; no retry ran */
  ERR_UPSTREAM_TIMEOUT,  /* deadline passed after sending */
  ERR_UPSTREAM_CUT,      /* connection lost after sending */
  ERR_ANSWER_MISMATCHED, /* response carries another request's id */
  ERR_ANSWER_TRUNCATED,  /* response ended before its announced length */
  ERR_NO_ROOM,           /* no memory for the body */
  ERR_STOPPING,          /* this daemon is shutting down */
  ERR_INTERNAL,          /* internal error before sending */
  ERR_KIND_COUNT
} err_kind_t;

/* The response for an error kind.  */
typedef struct err_response
{
  err_kind_t kind;
  uint16_t status;        /* HTTP status */
  outcome_t outcome;      /* reported to the client */
  uint16_t retry_after_s; /* 0: no Retry-After header */
  const char *name;       /* stable identifier for scripts: "queue-full" */
  const char *text;       /* human-readable message */
} err_response_t;

/* err_response - the response for KIND; never NULL.  */
const err_response_t *err_response (err_kind_t kind);

/* err_is_not_run - whether KIND guarantees that the request did not run.  */
bool err_is_not_run (err_kind_t kind);

/* outcome_name - "not-run", "unknown" or "ran".  */
const char *outcome_name (outcome_t outcome);

typedef enum event_level
{
  LEVEL_DEBUG,
  LEVEL_INFO,
  LEVEL_WARN,
  LEVEL_ERROR
} event_level_t;

/* Event numbers never change their meaning and are never reused.
   1000 process, 1100 requests, 1200 configuration and log, 1300 peers,
   1400 upstreams, 1500 fleet, 1600 jobs, 1700 ownership and workers.  */
typedef enum event_id
{
  EV_STARTED = 1000,
  EV_STOPPING = 1001,
  EV_STOPPED = 1002,
  EV_SETTINGS_REJECTED = 1003,
  EV_LISTEN_FAILED = 1004,
  EV_STOP_FORCED = 1005,
  EV_SETTINGS_READ = 1006,
  EV_REQUEST_REFUSED = 1100,
  EV_REQUEST_UNKNOWN = 1101,
  EV_CONFIG_IN_EFFECT = 1200,
  EV_RECORD_REJECTED = 1201,
  EV_LOG_UNREACHABLE = 1202,
  EV_LOG_REACHED = 1203,
  EV_VIEW_BEHIND = 1204,
  EV_RECORD_MALFORMED = 1205,
  EV_SNAPSHOT_WRITTEN = 1206,
  EV_SNAPSHOT_LOADED = 1207,
  EV_SNAPSHOT_REJECTED = 1208,
  EV_LOG_GAP = 1209,
  EV_VIEW_STALE = 1210,
  EV_VIEW_FRESH = 1211,
  EV_APPEND_UNCERTAIN = 1212,
  EV_TABLE_INCOMPLETE = 1213,
  EV_TABLE_COMPLETE = 1214,
  EV_HISTORY_AT_RISK = 1215,
  EV_HISTORY_SAFE = 1216,
  EV_APPEND_FAILED = 1217,
  EV_APPEND_OUTLIVES_REQUEST = 1218,
  EV_PEER_UP = 1300,
  EV_PEER_DOWN = 1301,
  EV_PEER_REFUSED = 1302,
  EV_PEER_SUSPECT = 1303,
  EV_LOAN_GIVEN = 1304,
  EV_QUARANTINE_BEGAN = 1305,
  EV_QUARANTINE_ENDED = 1306,
  EV_UPSTREAM_EJECTED = 1400,
  EV_UPSTREAM_RETURNED = 1401,
  EV_UPSTREAM_LEAVING = 1402,
  EV_ANSWER_DROPPED = 1403,
  EV_LIVE_LIST_FAILED = 1404,
  EV_HOST_DRAINING = 1500,
  EV_HOST_MOVED = 1501,
  EV_HOST_FAILED = 1502,
  EV_HOST_RETURNED = 1503,
  EV_WAVE_STARTED = 1504,
  EV_WAVE_WAITING = 1505,
  EV_WAVE_DONE = 1506,
  EV_WAVE_ABANDONED = 1507,
  EV_HOST_PUT_BACK = 1508,
  EV_WAVE_LIMITED = 1509,
  EV_JOB_ACCEPTED = 1600,
  EV_JOB_REFUSED = 1601,
  EV_JOB_FINAL = 1602,
  EV_JOB_CANCELLED = 1603,
  EV_TASK_STARTED = 1604,
  EV_TASK_ENDED = 1605,
  EV_TASK_RETURNED = 1606,
  EV_TASK_INTERRUPTED = 1607,
  EV_RUN_UNEXPECTED = 1608,
  EV_TASKS_WAITING = 1609,
  EV_STARTS_LIMITED = 1610,
  EV_SUBMISSION_LATE = 1611,
  EV_RECORD_VOID = 1612,
  EV_OWNER_GAINED = 1700,
  EV_OWNER_LOST = 1701,
  EV_OWNER_RELEASED = 1702,
  EV_OWNER_PROBED = 1703,
  EV_PROCESS_PAUSED = 1704,
  EV_WORKER_LISTED = 1705,
  EV_WORKER_GONE = 1706,
  EV_WORKER_SUSPECT = 1707,
  EV_WORKER_REJECTED = 1708,
  EV_HOST_ORDERED = 1709,
  EV_LINES_DROPPED = 1710,
  EV_POOL_SIZED = 1711,
  EV_ADVICE_TAKEN = 1712,
  EV_WORKER_UNREACHABLE = 1713,
  EV_WORKER_RESTARTED = 1714,
  EV_HOST_ANSWERED = 1715,
  EV_ADVICE_TIMED_OUT = 1716,
  EV_WORKER_DOUBTED = 1717,
  EV_PROGRESS_SUPERSEDED = 1718,
  EV_WORKER_SILENT = 1719,
  EV_OWNER_CLAIMED = 1720,
  EV_EVACUATION_BEGUN = 1730,
  EV_EVACUATION_PROGRESS = 1731,
  EV_EVACUATION_EMPTIED = 1732,
  EV_EVACUATION_ENDED = 1733,
  EV_EVACUATION_UNKNOWN = 1734,
  EV_STARTS_HELD = 1735,
  EV_STARTS_RESUMED = 1736,
  EV_EVACUATION_READ = 1737,
  EV_EVACUATION_GANG_STAYS = 1738,
  EV_CLIENTS_CLOSED = 1740,
  EV_LINKS_REFUSED = 1741,
  EV_ADMISSION_REFUSED = 1745,
  EV_ADMISSION_BEGAN = 1746,
  EV_ADMISSION_ENDED = 1747,
  EV_INTERFERENCE_FOUND = 1750,
  EV_INTERFERENCE_FORGOTTEN = 1751,
  EV_FILLERS_SLOWED = 1752,
  EV_FILLERS_STOPPED = 1753,
  EV_FILLERS_RELEASED = 1754,
  EV_SUMMARY_APPLIED = 1755,
  EV_SUMMARY_IGNORED = 1756,
  EV_SUMMARY_WRITTEN = 1757,
  EV_SHARE_EXCEEDED = 1760,
  EV_SHARE_KEPT = 1761
} event_id_t;

/* Number, level and name of an event.  */
typedef struct event_row
{
  event_id_t id;
  event_level_t level;
  const char *name;
} event_row_t;

/* event_table - all events, ordered by number; *COUNT rows.  */
const event_row_t *event_table (size_t *count);

/* event_open - set the process name in log lines and the lowest LEVEL that is
   written.  NAME is not copied and must outlive the last event.  */
void event_open (const char *name, event_level_t level);

/* event_set_fd - write to FD instead of standard error.  FD becomes
   non-blocking; lines that would block are dropped and counted.  */
void event_set_fd (int fd);

/* event_log - write one line:
   TIME PROCESS NUMBER LEVEL NAME text
   FORMAT gives the text as KEY=VALUE pairs.  Thread-safe.  */
void event_log (event_id_t id, const char *format, ...) G_GNUC_PRINTF (2, 3);

typedef enum counter_id
{
  COUNT_REQUESTS,
  COUNT_ANSWERED,
  COUNT_REFUSED_NOT_RUN,
  COUNT_REFUSED_UNKNOWN,
  COUNT_CLIENT_GONE,
  COUNT_SENT,
  COUNT_RETRIES,
  COUNT_RETRY_BUDGET_SPENT,
  COUNT_QUEUED,
  COUNT_QUEUE_CONTENDED,
  COUNT_KEY_REJECTED,
  COUNT_ANSWER_MISMATCHED,
  COUNT_ANSWER_TRUNCATED,
  COUNT_UPSTREAM_EJECTED,
  COUNT_RECORDS_APPLIED,
  COUNT_RECORDS_REJECTED,
  COUNT_VIEWS_PUBLISHED,
  COUNT_LOG_READS,
  COUNT_LOG_READ_FAILURES,
  COUNT_LOG_APPENDS,
  COUNT_LOG_BYTES_IN,
  COUNT_LOG_BYTES_OUT,
  COUNT_PEER_MESSAGES_IN,
  COUNT_PEER_MESSAGES_OUT,
  COUNT_PEER_BYTES_IN,
  COUNT_PEER_BYTES_OUT,
  COUNT_PEER_REFUSED,
  COUNT_LOANS_GIVEN,
  COUNT_LOANS_TAKEN,
  COUNT_CLAIMS_GRANTED,
  COUNT_CLAIMS_REFUSED,
  COUNT_JOBS_ACCEPTED,
  COUNT_JOBS_REFUSED,
  COUNT_ADMISSION_REFUSED,
  COUNT_ADMISSION_REPEATED,
  COUNT_EXPLANATIONS,
  COUNT_JOBS_COMPLETE,
  COUNT_JOBS_FAILED,
  COUNT_TASKS_STARTED,
  COUNT_TASKS_DONE,
  COUNT_TASKS_FAILED,
  COUNT_TASKS_RETURNED,
  COUNT_STORE_CALLS,
  COUNT_WORKER_CALLS,
  COUNT_RELAYED_ORDERS,
  COUNT_LATE_RELAYED_STARTS, /* refused, as the link was slow */
  COUNT_HOST_ORDERS,
  COUNT_OWNERSHIPS,
  COUNT_SUMMARIES_WRITTEN,
  COUNT_SUMMARIES_APPLIED,
  COUNT_SUMMARIES_IGNORED,
  COUNT_EVACUATIONS,
  COUNT_EVACUATED_STARTS,
  COUNT_EVACUATED_MOVES,
  COUNT_HOSTS_PUT_BACK,
  COUNT_INTERFERENCE_SAMPLES,
  COUNT_INTERFERENCE_FOUND,
  COUNT_INTERFERENCE_FORGOTTEN,
  COUNT_STARTS_BESIDE_HARM,
  COUNT_FILLERS_SLOWED,
  COUNT_FILLERS_STOPPED,
  COUNT_SHARES_EXCEEDED,
  COUNT_STARTS_BEYOND_SHARE,
  COUNT_CLIENTS_CLOSED,
  COUNT_BODIES_REFUSED,
  COUNTER_COUNT
} counter_id_t;

/* counter_add - add N to counter ID with one relaxed atomic addition.  */
void counter_add (counter_id_t id, uint64_t n);

/* counter_read - the sum of counter ID over all threads.  */
uint64_t counter_read (counter_id_t id);

/* counter_name - the name of counter ID in the admin server's /counters.  */
const char *counter_name (counter_id_t id);

typedef enum histogram_id
{
  HIST_ACCEPT,   /* from a job's request until its record is in the log */
  HIST_START,    /* from a job's acceptance until its first task starts */
  HIST_FINISH,   /* from a job's acceptance until its last task ends */
  HIST_APPEND,   /* from an append until the store's response */
  HIST_EVACUATE, /* from the begin of an evacuation until no run is left */
  HISTOGRAM_COUNT
} histogram_id_t;

/* histogram_add - record an observation of TIME_US with relaxed atomic
   additions.  */
void histogram_add (histogram_id_t id, int64_t time_us);

/* metrics_text - all counters and histograms in the Prometheus text format,
   with PREFIX before each name.  Histograms are in seconds; their bucket
   bounds double from 1 ms to 32.768 s.  Release with g_free.  */
char *metrics_text (const char *prefix);

/* A bounded queue with many writers and one reader.  The reader waits until
   event_fd is readable.  Entries embed a pipe_node_t.  */
typedef struct pipe_node
{
  struct cds_wfcq_node link;
} pipe_node_t;

typedef struct pipe
{
  struct cds_wfcq_head head;
  struct cds_wfcq_tail tail;
  atomic_uint_fast32_t count;
  atomic_bool wakeup_pending; /* avoids repeated writes to event_fd */
  uint32_t max;
  int event_fd;
} pipe_t;

/* pipe_open - initialise PIPE for at most MAX entries.  False when no eventfd
   can be created.  */
bool pipe_open (pipe_t *pipe, uint32_t max);

/* pipe_close - release PIPE, which must be empty and without writers.  */
void pipe_close (pipe_t *pipe);

/* pipe_put - append NODE and wake the reader.  False when full: the caller
   still owns NODE.  */
bool pipe_put (pipe_t *pipe, pipe_node_t *node);

/* pipe_clear_wakeup - clear the wake-up; entries put after this wake the
   reader again.  Reader only, before it takes entries.  */
void pipe_clear_wakeup (pipe_t *pipe);

/* pipe_get - remove the oldest entry; NULL when there is none.  Reader
   only.  */
pipe_node_t *pipe_get (pipe_t *pipe);

/* hash_bytes - xxHash64 of LEN bytes.  */
uint64_t hash_bytes (const void *data, size_t len, uint64_t seed);

/* hash_score - rendezvous score of OWNER for KEY.  The candidate with the
   highest score owns the key (Thaler and Ravishankar 1998).  */
uint64_t hash_score (const void *key, size_t key_len, const char *owner);

/* hash_rank - the number of the COUNT OWNERS, which may include SELF, that
   precede SELF in the rendezvous order for KEY.  Equal scores are ordered by
   name, so that the result doesn't depend on the order of OWNERS.  */
uint32_t hash_rank (const void *key, size_t key_len, const char *const *owners,
                    uint32_t count, const char *self);

/* hash_owner - the index of the first of the COUNT OWNERS in the rendezvous
   order for KEY; COUNT must not be 0.  */
uint32_t hash_owner (const void *key, size_t key_len,
                     const char *const *owners, uint32_t count);

/* Maximum nesting depth that pack_is_bounded accepts.  */
#define PACK_DEPTH_MAX 8

/* pack_is_bounded - whether the LEN bytes of DATA are exactly one complete
   msgpack value.  msgpack-c allocates memory for the element counts in the
   input before it reads the elements; for a value that passes this check it
   allocates less than 32 bytes for each byte of input.  */
bool pack_is_bounded (const void *data, size_t len);

/* clock_mono_us - monotonic time in microseconds, from an unspecified
   origin.  */
int64_t clock_mono_us (void);

/* clock_boot_us - monotonic time that also advances while the machine is
   suspended, for intervals that other machines measure too, such as
   leases.  */
int64_t clock_boot_us (void);

/* clock_wall_ms - milliseconds since the Unix epoch, for times that different
   processes compare.  */
int64_t clock_wall_ms (void);

/* CLOCK_ERROR_MS - the largest assumed difference between the wall clocks of
   two hosts.  */
#define CLOCK_ERROR_MS 500

#endif

#include "base.h"
#include <fcntl.h>
#include <stdio.h>
#include <time.h>
#include <unistd.h>

#define LINE_BYTES_MAX 2048

static const event_row_t rows[] = {
  { EV_STARTED, LEVEL_INFO, "started" },
  { EV_STOPPING, LEVEL_INFO, "stopping" },
  { EV_STOPPED, LEVEL_INFO, "stopped" },
  { EV_SETTINGS_REJECTED, LEVEL_ERROR, "settings-rejected" },
  { EV_LISTEN_FAILED, LEVEL_ERROR, "listen-failed" },
  { EV_STOP_FORCED, LEVEL_WARN, "stop-forced" },
  { EV_SETTINGS_READ, LEVEL_INFO, "settings-read" },
  { EV_REQUEST_REFUSED, LEVEL_DEBUG, "request-refused" },
  { EV_REQUEST_UNKNOWN, LEVEL_WARN, "request-unknown" },
  { EV_CONFIG_IN_EFFECT, LEVEL_INFO, "config-in-effect" },
  { EV_RECORD_REJECTED, LEVEL_WARN, "record-rejected" },
  { EV_LOG_UNREACHABLE, LEVEL_WARN, "log-unreachable" },
  { EV_LOG_REACHED, LEVEL_INFO, "log-reached" },
  { EV_VIEW_BEHIND, LEVEL_ERROR, "view-behind" },
  { EV_RECORD_MALFORMED, LEVEL_ERROR, "record-malformed" },
  { EV_SNAPSHOT_WRITTEN, LEVEL_INFO, "snapshot-written" },
  { EV_SNAPSHOT_LOADED, LEVEL_INFO, "snapshot-loaded" },
  { EV_SNAPSHOT_REJECTED, LEVEL_ERROR, "snapshot-rejected" },
  { EV_LOG_GAP, LEVEL_ERROR, "log-gap" },
  { EV_VIEW_STALE, LEVEL_WARN, "view-stale" },
  { EV_VIEW_FRESH, LEVEL_INFO, "view-fresh" },
  { EV_APPEND_UNCERTAIN, LEVEL_WARN, "append-uncertain" },
  { EV_TABLE_INCOMPLETE, LEVEL_ERROR, "table-incomplete" },
  { EV_TABLE_COMPLETE, LEVEL_INFO, "table-complete" },
  { EV_HISTORY_AT_RISK, LEVEL_ERROR, "history-at-risk" },
  { EV_HISTORY_SAFE, LEVEL_INFO, "history-safe" },
  { EV_APPEND_FAILED, LEVEL_WARN, "append-failed" },
  { EV_APPEND_OUTLIVES_REQUEST, LEVEL_WARN, "append-outlives-request" },
  { EV_PEER_UP, LEVEL_INFO, "peer-up" },
  { EV_PEER_DOWN, LEVEL_WARN, "peer-down" },
  { EV_PEER_REFUSED, LEVEL_ERROR, "peer-refused" },
  { EV_PEER_SUSPECT, LEVEL_WARN, "peer-suspect" },
  { EV_LOAN_GIVEN, LEVEL_DEBUG, "loan-given" },
  { EV_QUARANTINE_BEGAN, LEVEL_INFO, "quarantine-began" },
  { EV_QUARANTINE_ENDED, LEVEL_INFO, "quarantine-ended" },
  { EV_UPSTREAM_EJECTED, LEVEL_WARN, "upstream-ejected" },
  { EV_UPSTREAM_RETURNED, LEVEL_INFO, "upstream-returned" },
  { EV_UPSTREAM_LEAVING, LEVEL_INFO, "upstream-leaving" },
  { EV_ANSWER_DROPPED, LEVEL_WARN, "answer-dropped" },
  { EV_LIVE_LIST_FAILED, LEVEL_WARN, "live-list-failed" },
  { EV_HOST_DRAINING, LEVEL_INFO, "host-draining" },
  { EV_HOST_MOVED, LEVEL_INFO, "host-moved" },
  { EV_HOST_FAILED, LEVEL_WARN, "host-failed" },
  { EV_HOST_RETURNED, LEVEL_INFO, "host-returned" },
  { EV_WAVE_STARTED, LEVEL_INFO, "wave-started" },
  { EV_WAVE_WAITING, LEVEL_WARN, "wave-waiting" },
  { EV_WAVE_DONE, LEVEL_INFO, "wave-done" },
  { EV_WAVE_ABANDONED, LEVEL_WARN, "wave-abandoned" },
  { EV_HOST_PUT_BACK, LEVEL_INFO, "host-put-back" },
  { EV_WAVE_LIMITED, LEVEL_INFO, "wave-limited" },
  { EV_JOB_ACCEPTED, LEVEL_INFO, "job-accepted" },
  { EV_JOB_REFUSED, LEVEL_INFO, "job-refused" },
  { EV_JOB_FINAL, LEVEL_INFO, "job-final" },
  { EV_JOB_CANCELLED, LEVEL_INFO, "job-cancelled" },
  { EV_TASK_STARTED, LEVEL_INFO, "task-started" },
  { EV_TASK_ENDED, LEVEL_INFO, "task-ended" },
  { EV_TASK_RETURNED, LEVEL_WARN, "task-returned" },
  { EV_TASK_INTERRUPTED, LEVEL_INFO, "task-interrupted" },
  { EV_RUN_UNEXPECTED, LEVEL_INFO, "run-unexpected" },
  { EV_TASKS_WAITING, LEVEL_INFO, "tasks-waiting" },
  { EV_STARTS_LIMITED, LEVEL_INFO, "starts-limited" },
  { EV_SUBMISSION_LATE, LEVEL_INFO, "submission-late" },
  { EV_RECORD_VOID, LEVEL_INFO, "record-void" },
  { EV_OWNER_GAINED, LEVEL_INFO, "owner-gained" },
  { EV_OWNER_LOST, LEVEL_WARN, "owner-lost" },
  { EV_OWNER_RELEASED, LEVEL_INFO, "owner-released" },
  { EV_OWNER_PROBED, LEVEL_INFO, "owner-probed" },
  { EV_PROCESS_PAUSED, LEVEL_WARN, "process-paused" },
  { EV_WORKER_LISTED, LEVEL_INFO, "worker-listed" },
  { EV_WORKER_GONE, LEVEL_INFO, "worker-gone" },
  { EV_WORKER_SUSPECT, LEVEL_WARN, "worker-suspect" },
  { EV_WORKER_REJECTED, LEVEL_WARN, "worker-rejected" },
  { EV_HOST_ORDERED, LEVEL_INFO, "host-ordered" },
  { EV_LINES_DROPPED, LEVEL_WARN, "lines-dropped" },
  { EV_POOL_SIZED, LEVEL_INFO, "pool-sized" },
  { EV_ADVICE_TAKEN, LEVEL_INFO, "advice-taken" },
  { EV_WORKER_UNREACHABLE, LEVEL_WARN, "worker-unreachable" },
  { EV_WORKER_RESTARTED, LEVEL_INFO, "worker-restarted" },
  { EV_HOST_ANSWERED, LEVEL_INFO, "host-answered" },
  { EV_ADVICE_TIMED_OUT, LEVEL_WARN, "advice-timed-out" },
  { EV_WORKER_DOUBTED, LEVEL_INFO, "worker-doubted" },
  { EV_PROGRESS_SUPERSEDED, LEVEL_INFO, "progress-superseded" },
  { EV_WORKER_SILENT, LEVEL_INFO, "worker-silent" },
  { EV_OWNER_CLAIMED, LEVEL_INFO, "owner-claimed" },
  { EV_EVACUATION_BEGUN, LEVEL_INFO, "evacuation-begun" },
  { EV_EVACUATION_PROGRESS, LEVEL_INFO, "evacuation-progress" },
  { EV_EVACUATION_EMPTIED, LEVEL_INFO, "evacuation-emptied" },
  { EV_EVACUATION_ENDED, LEVEL_INFO, "evacuation-ended" },
  { EV_EVACUATION_UNKNOWN, LEVEL_WARN, "evacuation-unknown" },
  { EV_STARTS_HELD, LEVEL_WARN, "starts-held" },
  { EV_STARTS_RESUMED, LEVEL_INFO, "starts-resumed" },
  { EV_EVACUATION_READ, LEVEL_INFO, "evacuation-read" },
  { EV_EVACUATION_GANG_STAYS, LEVEL_WARN, "evacuation-gang-stays" },
  { EV_CLIENTS_CLOSED, LEVEL_WARN, "clients-closed" },
  { EV_LINKS_REFUSED, LEVEL_WARN, "links-refused" },
  { EV_ADMISSION_REFUSED, LEVEL_INFO, "admission-refused" },
  { EV_ADMISSION_BEGAN, LEVEL_WARN, "admission-began" },
  { EV_ADMISSION_ENDED, LEVEL_INFO, "admission-ended" },
  { EV_INTERFERENCE_FOUND, LEVEL_INFO, "interference-found" },
  { EV_INTERFERENCE_FORGOTTEN, LEVEL_INFO, "interference-forgotten" },
  { EV_FILLERS_SLOWED, LEVEL_INFO, "fillers-slowed" },
  { EV_FILLERS_STOPPED, LEVEL_INFO, "fillers-stopped" },
  { EV_FILLERS_RELEASED, LEVEL_INFO, "fillers-released" },
  { EV_SUMMARY_APPLIED, LEVEL_INFO, "summary-applied" },
  { EV_SUMMARY_IGNORED, LEVEL_WARN, "summary-ignored" },
  { EV_SUMMARY_WRITTEN, LEVEL_DEBUG, "summary-written" },
  { EV_SHARE_EXCEEDED, LEVEL_INFO, "share-exceeded" },
  { EV_SHARE_KEPT, LEVEL_INFO, "share-kept" },
};

static const char *const level_names[] = { "debug", "info", "warn", "error" };

static const char *process_name = "cuminpin";
static event_level_t min_level = LEVEL_INFO;
static int log_fd = STDERR_FILENO;
static atomic_uint_fast64_t dropped_lines; /* since the last line written */

const event_row_t *
event_table (size_t *count)
{
  *count = sizeof rows / sizeof rows[0];
  return rows;
}

void
event_open (const char *name, event_level_t level)
{
  process_name = name;
  min_level = level;
}

void
event_set_fd (int fd)
{
  int flags = fcntl (fd, F_GETFL);

  if (flags >= 0)
    fcntl (fd, F_SETFL, flags | O_NONBLOCK);
  log_fd = fd;
}

static const event_row_t *
find_row (event_id_t id)
{
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    if (rows[i].id == id)
      return &rows[i];
  return NULL;
}

void
event_log (event_id_t id, const char *format, ...)
{
  const event_row_t *row = find_row (id);
  char line[LINE_BYTES_MAX];
  char timestamp[32];
  struct tm utc;
  int64_t now_ms;
  time_t now_s;
  va_list args;
  int len;

  if (!row || row->level < min_level)
    return;
  now_ms = clock_wall_ms ();
  now_s = (time_t)(now_ms / 1000);
  gmtime_r (&now_s, &utc);
  strftime (timestamp, sizeof timestamp, "%Y-%m-%dT%H:%M:%S", &utc);
  len = snprintf (line, sizeof line, "%s.%03dZ %s %d %s %s ", timestamp,
                  (int)(now_ms % 1000), process_name, (int)id,
                  level_names[row->level], row->name);
  va_start (args, format);
  len += vsnprintf (line + len, sizeof line - (size_t)len, format, args);
  va_end (args);
  if (len > (int)sizeof line - 2)
    len = (int)sizeof line - 2;
  line[len++] = '\n';
  /* A single write for each line, so that threads' lines don't interleave.  */
  if (write (log_fd, line, (size_t)len) < 0)
    {
      atomic_fetch_add (&dropped_lines, 1);
      return;
    }
  if (id != EV_LINES_DROPPED && atomic_load (&dropped_lines) > 0)
    event_log (EV_LINES_DROPPED, "lines=%" PRIu64,
               (uint64_t)atomic_exchange (&dropped_lines, 0));
}

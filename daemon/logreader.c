#include "control.h"
#include <string.h>

#define READ_MAX 512
/* Two failing reads in a row must fit into FRESH_MAX_AGE_US; otherwise a
   daemon would become stale between them while the log is down.  */
#define POLL_WAIT_MS 500
#define READ_TIMEOUT_MS 2000
#define READ_SLACK_US 500000
#define APPEND_TIMEOUT_MS 2000
#define BACKOFF_MIN_MS 100
#define BACKOFF_MAX_MS 500
#define LEAVE_TRIES 3

struct logreader
{
  const settings_t *settings;
  replica_t *replica;
  platform_t *platform; /* log thread only */
  platform_t *writer;   /* stopping thread only */
  uint64_t incarnation;
  tail_t tail;
  uint64_t snapshots; /* last known end of the snapshot stream */
  rec_t join;
  bool joined; /* JOIN is in the log */
  bool reachable;
  atomic_bool halting;
  pthread_t thread;
  waiter_t waiter;
};

static void
report_reachability (logreader_t *reader, log_status_t status)
{
  bool reachable = status == LOG_OK;

  counter_add (reachable ? COUNT_LOG_READS : COUNT_LOG_READ_FAILURES, 1);
  if (reachable == reader->reachable)
    return;
  reader->reachable = reachable;
  if (reachable)
    event_log (EV_LOG_REACHED, "offset=%" PRIu64,
               (uint64_t)atomic_load (&sync_status.offset));
  else
    event_log (EV_LOG_UNREACHABLE, "status=%s", log_status_name (status));
}

/* A read that took longer than its timeout was delayed by a pause of this
   process, so its failure says nothing about the log.  */
static void
record_failure (int64_t requested_us, int64_t now_us)
{
  if (now_us - requested_us
      <= READ_TIMEOUT_MS * INT64_C (1000) + READ_SLACK_US)
    atomic_store (&sync_status.log_failed_us, now_us);
}

static log_status_t
append (platform_t *platform, const char *stream, GBytes *bytes)
{
  uint64_t offset;
  gsize len;
  const void *data = g_bytes_get_data (bytes, &len);

  counter_add (COUNT_LOG_APPENDS, 1);
  return log_append (platform, stream, data, len, APPEND_TIMEOUT_MS, &offset);
}

log_status_t
append_record (platform_t *platform, const rec_t *rec)
{
  g_autoptr (GBytes) bytes = wire_encode_rec (rec);

  return append (platform, STREAM_FLEET, bytes);
}

/* JOIN and LEAVE are retried with the same record id until they are in the
   log.  */
static bool
append_membership (platform_t *platform, const rec_t *rec)
{
  log_status_t status = append_record (platform, rec);

  if (status == LOG_UNCERTAIN)
    event_log (EV_APPEND_UNCERTAIN, "kind=%s", rec_kind_name (rec->kind));
  return status == LOG_OK;
}

/* Number of entry hosts that precede this one as writers of snapshots.  */
static uint32_t
snapshot_rank (const logreader_t *reader)
{
  const view_t *view;
  uint32_t rank = 0;

  rcu_read_lock ();
  view = view_get ();
  if (view)
    rank = hash_rank (STREAM_SNAPSHOT, strlen (STREAM_SNAPSHOT),
                      view->entry_hosts, view->entry_hosts_count,
                      reader->settings->name);
  rcu_read_unlock ();
  return rank;
}

bool
snapshot_is_due (const tail_t *tail, uint32_t rank, int64_t now_us)
{
  uint64_t quarters = 4 + rank;

  if (tail->records == 0)
    return false;
  return tail->records * 4 >= SNAPSHOT_RECORDS * quarters
         || tail->bytes * 4 >= SNAPSHOT_BYTES * quarters
         || (now_us - tail->since_us) * 4
                >= SNAPSHOT_AGE_US * (int64_t)quarters;
}

static void
reset_tail (logreader_t *reader, uint64_t snapshots)
{
  reader->tail = (tail_t){ .since_us = clock_mono_us () };
  reader->snapshots = snapshots;
}

/* The end of the snapshot stream; the last known one if it can't be read.  */
static uint64_t
count_snapshots (logreader_t *reader)
{
  log_batch_t batch = { 0 };
  uint64_t next = reader->snapshots;

  if (log_read (reader->platform, STREAM_SNAPSHOT, reader->snapshots, 0, 0,
                READ_TIMEOUT_MS, &batch)
      == LOG_OK)
    next = batch.next;
  log_batch_clear (&batch);
  return next;
}

static void
write_snapshot (logreader_t *reader)
{
  g_autoptr (GBytes) bytes = NULL;
  uint64_t snapshots;
  uint64_t offset;

  if (!snapshot_is_due (&reader->tail, snapshot_rank (reader),
                        clock_mono_us ()))
    return;
  snapshots = count_snapshots (reader);
  if (snapshots > reader->snapshots)
    {
      reset_tail (reader, snapshots); /* another daemon has written one */
      return;
    }
  bytes = replica_snapshot (reader->replica, &offset);
  if (append (reader->platform, STREAM_SNAPSHOT, bytes) != LOG_OK)
    return;
  reset_tail (reader, snapshots + 1);
  event_log (EV_SNAPSHOT_WRITTEN, "offset=%" PRIu64 " bytes=%zu", offset,
             g_bytes_get_size (bytes));
}

/* Loads the newest readable one of the last two snapshots.  Returns false if
   the log can't be read.  */
static bool
load_snapshot (logreader_t *reader)
{
  log_batch_t batch = { 0 };
  uint64_t from;
  uint64_t offset;
  bool loaded = false;

  if (log_read (reader->platform, STREAM_SNAPSHOT, 0, 0, 0, READ_TIMEOUT_MS,
                &batch)
      == LOG_UNREACHABLE)
    return false;
  from = batch.next > 2 ? MAX (batch.first_kept, batch.next - 2)
                        : batch.first_kept;
  reset_tail (reader, batch.next);
  log_batch_clear (&batch);
  if (log_read (reader->platform, STREAM_SNAPSHOT, from, 2, 0, READ_TIMEOUT_MS,
                &batch)
      != LOG_OK)
    return false;
  for (uint32_t i = batch.count; i > 0 && !loaded; i--)
    {
      gsize len;
      const void *data = g_bytes_get_data (batch.entries[i - 1].data, &len);

      loaded = replica_load_snapshot (reader->replica, data, len, &offset);
    }
  log_batch_clear (&batch);
  return true;
}

static void
extend_tail (logreader_t *reader, const log_batch_t *batch)
{
  reader->tail.records += batch->count;
  for (uint32_t i = 0; i < batch->count; i++)
    reader->tail.bytes += g_bytes_get_size (batch->entries[i].data);
}

/* Reads once from the end of what has been folded.  */
static log_status_t
read_tail (logreader_t *reader)
{
  uint64_t offset = atomic_load (&sync_status.offset);
  int64_t requested_us = clock_mono_us ();
  log_batch_t batch = { 0 };
  log_status_t status
      = log_read (reader->platform, STREAM_FLEET, offset, READ_MAX,
                  POLL_WAIT_MS, READ_TIMEOUT_MS, &batch);
  bool at_end;
  bool applied;

  if (status == LOG_EXPIRED)
    {
      event_log (EV_LOG_GAP, "offset=%" PRIu64, offset);
      return load_snapshot (reader)
                     && atomic_load (&sync_status.offset) > offset
                 ? LOG_OK
                 : LOG_EXPIRED;
    }
  if (status != LOG_OK)
    {
      record_failure (requested_us, clock_mono_us ());
      return status;
    }
  applied = replica_apply (reader->replica, &batch);
  extend_tail (reader, &batch);
  at_end = applied && atomic_load (&sync_status.offset) >= batch.next;
  log_batch_clear (&batch);
  /* Use the time of the request: the response may have been delayed.  */
  if (at_end)
    atomic_store (&sync_status.log_read_us, requested_us);
  if (at_end && !reader->joined)
    reader->joined = append_membership (reader->platform, &reader->join);
  return applied ? LOG_OK : LOG_BAD_ANSWER;
}

static uint32_t
next_wait_ms (log_status_t status, uint32_t last_ms)
{
  if (status == LOG_OK)
    return 0;
  return CLAMP (last_ms * 2, BACKOFF_MIN_MS, BACKOFF_MAX_MS);
}

static void *
run (void *arg)
{
  logreader_t *reader = arg;
  uint32_t wait_ms = 0;
  bool loaded = false;

  rcu_register_thread ();
  while (waiter_wait (&reader->waiter, wait_ms))
    {
      log_status_t status = LOG_UNREACHABLE;

      if (!loaded)
        loaded = load_snapshot (reader);
      if (loaded)
        status = read_tail (reader);
      if (reader->halting)
        break; /* the read was interrupted, which says nothing about the log */
      report_reachability (reader, status);
      if (status == LOG_OK)
        write_snapshot (reader);
      wait_ms = next_wait_ms (status, wait_ms);
    }
  rcu_unregister_thread ();
  return NULL;
}

/* Prepares this host's own JOIN or LEAVE record.  */
static void
init_entry_rec (const logreader_t *reader, rec_t *rec, rec_kind_t kind)
{
  rec_init (rec, kind, reader->settings->name, clock_wall_ms ());
  g_strlcpy (rec->u.entry.name, reader->settings->name, REC_NAME_BYTES);
  rec->u.entry.incarnation = reader->incarnation;
}

logreader_t *
logreader_start (const settings_t *settings, replica_t *replica,
                 const char *platform_url, uint64_t incarnation)
{
  logreader_t *reader = g_new0 (logreader_t, 1);

  reader->settings = settings;
  reader->replica = replica;
  reader->incarnation = incarnation;
  reader->platform = platform_open (platform_url);
  reader->writer = platform_open (platform_url);
  reader->reachable = true;
  init_entry_rec (reader, &reader->join, REC_JOIN);
  waiter_init (&reader->waiter);
  if (!reader->platform || !reader->writer
      || pthread_create (&reader->thread, NULL, run, reader) != 0)
    return NULL;
  return reader;
}

static void
append_leave (logreader_t *reader)
{
  rec_t leave;

  init_entry_rec (reader, &leave, REC_LEAVE);
  for (uint32_t i = 0; i < LEAVE_TRIES; i++)
    if (append_membership (reader->writer, &leave))
      return;
}

void
logreader_halt (logreader_t *reader)
{
  atomic_store (&reader->halting, true);
  waiter_stop (&reader->waiter);
  platform_interrupt (reader->platform);
  pthread_join (reader->thread, NULL);
}

void
logreader_close (logreader_t *reader, bool leaves)
{
  if (leaves && reader->joined)
    append_leave (reader);
  platform_close (reader->platform);
  platform_close (reader->writer);
  waiter_destroy (&reader->waiter);
  g_free (reader);
}

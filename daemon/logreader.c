#include "daemon.h"
#include "wire.h"
#include <string.h>

#define READ_MAX 512
#define POLL_WAIT_MS 1000
#define READ_TIMEOUT_MS 4000
#define APPEND_TIMEOUT_MS 2000
#define BACKOFF_MIN_MS 100
#define BACKOFF_MAX_MS 2000
#define SNAPSHOT_RECORDS 512
#define LEAVE_TRIES 3

struct logreader
{
  const settings_t *settings;
  platform_t *platform; /* log thread only */
  platform_t *writer;   /* stopping thread only */
  state_t *state;       /* what is folded; never published itself */
  uint64_t incarnation;
  uint64_t snapshot_offset; /* of the newest snapshot */
  rec_t join;
  bool reachable;
  bool joined;
  pthread_t thread;
  waiter_t waiter;
};

static void
note_reachable (logreader_t *reader, log_status_t status)
{
  bool reachable = status == LOG_OK;

  counter_add (reachable ? COUNT_LOG_READS : COUNT_LOG_READ_FAILURES, 1);
  if (reachable == reader->reachable)
    return;
  reader->reachable = reachable;
  if (reachable)
    event_log (EV_LOG_REACHED, "offset=%" PRIu64, reader->state->offset);
  else
    event_log (EV_LOG_UNREACHABLE, "status=%s", log_status_name (status));
}

/* publish: the last stage of a record.  */
static void
publish (logreader_t *reader, uint64_t old_version)
{
  uint64_t version = state_config_version (reader->state);

  view_publish (view_new (state_copy (reader->state), reader->settings));
  if (version != old_version)
    event_log (EV_CONFIG_IN_FORCE, "version=%" PRIu64 " offset=%" PRIu64,
               version, reader->state->offset);
}

/* check and fold: one record.  False when this daemon must fold no further. */
static bool
take_record (logreader_t *reader, const log_entry_t *entry)
{
  g_autoptr (GError) error = NULL;
  gsize len;
  const void *data = g_bytes_get_data (entry->data, &len);
  verdict_t verdict
      = wire_fold (reader->state, data, len, entry->offset, NULL, &error);

  if (verdict == VERDICT_APPLIED)
    {
      counter_add (COUNT_RECORDS_APPLIED, 1);
      return true;
    }
  counter_add (COUNT_RECORDS_REJECTED, 1);
  if (verdict == VERDICT_BEHIND)
    event_log (EV_VIEW_BEHIND, "offset=%" PRIu64, entry->offset);
  else if (error && g_error_matches (error, WIRE_ERROR, WIRE_ERROR_FORM))
    event_log (EV_RECORD_MALFORMED, "offset=%" PRIu64 " reason=\"%s\"",
               entry->offset, error->message);
  else
    event_log (EV_RECORD_REJECTED,
               "offset=%" PRIu64 " verdict=%s reason=\"%s\"", entry->offset,
               verdict_name (verdict), error ? error->message : "condition");
  return verdict != VERDICT_BEHIND;
}

static void
write_snapshot (logreader_t *reader)
{
  g_autoptr (GBytes) bytes = NULL;
  uint64_t offset;
  gsize len;
  const void *data;

  if (reader->state->offset < reader->snapshot_offset + SNAPSHOT_RECORDS)
    return;
  bytes = wire_put_snapshot (reader->state);
  data = g_bytes_get_data (bytes, &len);
  counter_add (COUNT_LOG_APPENDS, 1);
  if (log_append (reader->platform, STREAM_SNAPSHOT, data, len,
                  APPEND_TIMEOUT_MS, &offset)
      != LOG_OK)
    return;
  reader->snapshot_offset = reader->state->offset;
  event_log (EV_SNAPSHOT_WRITTEN, "offset=%" PRIu64 " bytes=%zu",
             reader->state->offset, len);
}

/* Takes the newest snapshot that can be read, if it is ahead of the state.  */
static bool
load_snapshot (logreader_t *reader)
{
  log_batch_t batch = { 0 };
  state_t *newest = NULL;
  uint64_t from;

  if (log_read (reader->platform, STREAM_SNAPSHOT, 0, 0, 0, READ_TIMEOUT_MS,
                &batch)
      == LOG_UNREACHABLE)
    return false;
  from = batch.next > 2 ? MAX (batch.first_kept, batch.next - 2)
                        : batch.first_kept;
  log_batch_clear (&batch);
  if (log_read (reader->platform, STREAM_SNAPSHOT, from, 2, 0, READ_TIMEOUT_MS,
                &batch)
      != LOG_OK)
    return false;
  for (uint32_t i = batch.count; i > 0 && !newest; i--)
    {
      g_autoptr (GError) error = NULL;
      gsize len;
      const void *data = g_bytes_get_data (batch.entries[i - 1].data, &len);

      newest = wire_get_snapshot (data, len, &error);
      if (!newest)
        event_log (EV_SNAPSHOT_REJECTED, "offset=%" PRIu64 " reason=\"%s\"",
                   batch.entries[i - 1].offset, error->message);
    }
  log_batch_clear (&batch);
  if (!newest)
    return true;
  reader->snapshot_offset = newest->offset;
  if (newest->offset <= reader->state->offset)
    {
      state_free (newest);
      return true;
    }
  state_free (reader->state);
  reader->state = newest;
  event_log (EV_SNAPSHOT_LOADED, "offset=%" PRIu64, newest->offset);
  return true;
}

static void
append_join (logreader_t *reader)
{
  g_autoptr (GBytes) bytes = wire_put_rec (&reader->join);
  uint64_t offset;
  gsize len;
  const void *data = g_bytes_get_data (bytes, &len);
  log_status_t status;

  counter_add (COUNT_LOG_APPENDS, 1);
  status = log_append (reader->platform, STREAM_FLEET, data, len,
                       APPEND_TIMEOUT_MS, &offset);
  reader->joined = status == LOG_OK;
  if (status == LOG_UNCERTAIN)
    event_log (EV_APPEND_UNCERTAIN, "kind=join");
}

/* One read of the tail: read, check, fold, publish.  */
static log_status_t
follow (logreader_t *reader)
{
  uint64_t old_offset = reader->state->offset;
  uint64_t old_version = state_config_version (reader->state);
  int64_t asked_us = clock_mono_us ();
  log_batch_t batch = { 0 };
  log_status_t status
      = log_read (reader->platform, STREAM_FLEET, old_offset, READ_MAX,
                  POLL_WAIT_MS, READ_TIMEOUT_MS, &batch);
  bool behind = false;

  if (status == LOG_EXPIRED)
    {
      event_log (EV_LOG_GAP, "offset=%" PRIu64, old_offset);
      return load_snapshot (reader) && reader->state->offset > old_offset
                 ? LOG_OK
                 : LOG_EXPIRED;
    }
  if (status != LOG_OK)
    return status;
  for (uint32_t i = 0; i < batch.count && !behind; i++)
    behind = !take_record (reader, &batch.entries[i]);
  atomic_store (&currency.behind, behind);
  if (reader->state->offset != old_offset || !reader->joined)
    publish (reader, old_version);
  atomic_store (&currency.offset, reader->state->offset);
  /* The time of asking, since the answer may have been long on its way.  */
  if (reader->state->offset >= batch.next)
    atomic_store (&currency.log_read_us, asked_us);
  if (!reader->joined && reader->state->offset >= batch.next)
    append_join (reader);
  log_batch_clear (&batch);
  return behind ? LOG_BAD_ANSWER : LOG_OK;
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
        status = follow (reader);
      note_reachable (reader, status);
      if (status == LOG_OK)
        write_snapshot (reader);
      wait_ms = next_wait_ms (status, wait_ms);
    }
  rcu_unregister_thread ();
  return NULL;
}

logreader_t *
logreader_start (const settings_t *settings, const char *platform_url,
                 uint64_t incarnation)
{
  logreader_t *reader = g_new0 (logreader_t, 1);

  reader->settings = settings;
  reader->incarnation = incarnation;
  reader->platform = platform_open (platform_url);
  reader->writer = platform_open (platform_url);
  reader->state = state_new ();
  reader->reachable = true;
  rec_init (&reader->join, REC_JOIN, settings->name, clock_wall_ms ());
  g_strlcpy (reader->join.u.entry.name, settings->name, REC_NAME_BYTES);
  reader->join.u.entry.incarnation = incarnation;
  waiter_init (&reader->waiter);
  if (!reader->platform || !reader->writer
      || pthread_create (&reader->thread, NULL, run, reader) != 0)
    return NULL;
  return reader;
}

static void
append_leave (logreader_t *reader)
{
  g_autoptr (GBytes) bytes = NULL;
  uint64_t offset;
  rec_t leave;
  gsize len;
  const void *data;

  rec_init (&leave, REC_LEAVE, reader->settings->name, clock_wall_ms ());
  g_strlcpy (leave.u.entry.name, reader->settings->name, REC_NAME_BYTES);
  leave.u.entry.incarnation = reader->incarnation;
  bytes = wire_put_rec (&leave);
  data = g_bytes_get_data (bytes, &len);
  for (uint32_t i = 0; i < LEAVE_TRIES; i++)
    if (log_append (reader->writer, STREAM_FLEET, data, len, APPEND_TIMEOUT_MS,
                    &offset)
        == LOG_OK)
      return;
}

void
logreader_stop (logreader_t *reader)
{
  if (reader->joined)
    append_leave (reader);
  waiter_stop (&reader->waiter);
  platform_interrupt (reader->platform);
  pthread_join (reader->thread, NULL);
  platform_close (reader->platform);
  platform_close (reader->writer);
  state_free (reader->state);
  waiter_destroy (&reader->waiter);
  g_free (reader);
}

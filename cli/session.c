#include "session.h"
#include <string.h>

#define CALL_TIMEOUT_MS 5000
#define BATCH_RECORDS_MAX 256

/* Time to look for an unconfirmed append in the log before retrying it.  */
#define CONFIRM_WAIT_MS 200
#define APPEND_ATTEMPTS_MAX 5
#define SNAPSHOTS_TRIED_MAX 8

/* The appended record whose verdict is awaited.  */
typedef struct pending
{
  const uint8_t *id;
  bool found;
  verdict_t verdict;
} pending_record_t;

G_DEFINE_QUARK (session - error, session_error)

static bool
set_read_error (log_status_t status, GError **error)
{
  if (status == LOG_EXPIRED)
    g_set_error (error, SESSION_ERROR, SESSION_ERROR_GAP,
                 "the platform's log no longer holds the records after the "
                 "newest snapshot");
  else
    g_set_error (error, SESSION_ERROR, SESSION_ERROR_LOG,
                 "the platform's log cannot be read: %s",
                 log_status_name (status));
  return false;
}

/* Returns the state in the newest readable snapshot, or an empty state.  Any
   snapshot will do: all agree on the state at their offset.  */
static state_t *
load_snapshot (platform_t *platform, GError **error)
{
  log_batch_t batch;
  log_status_t status = log_read (platform, STREAM_SNAPSHOT, INT64_MAX, 1, 0,
                                  CALL_TIMEOUT_MS, &batch);
  uint64_t first = batch.first_kept;
  uint64_t at = batch.next;

  log_batch_clear (&batch);
  if (status != LOG_OK)
    {
      set_read_error (status, error);
      return NULL;
    }
  for (int attempt = 0; at > first && attempt < SNAPSHOTS_TRIED_MAX; attempt++)
    {
      state_t *state = NULL;

      at--;
      status = log_read (platform, STREAM_SNAPSHOT, at, 1, 0, CALL_TIMEOUT_MS,
                         &batch);
      if (status == LOG_OK && batch.count == 1)
        {
          gsize len;
          const void *data = g_bytes_get_data (batch.entries[0].data, &len);

          state = wire_decode_snapshot (data, len, NULL);
        }
      log_batch_clear (&batch);
      if (state)
        return state;
    }
  return state_new ();
}

static void
retain_config (session_t *session)
{
  if (!session->retained_config && session->retain_version > 0
      && state_config_version (session->state) == session->retain_version)
    session->retained_config = config_ref (session->state->config);
}

static bool
fold_batch (session_t *session, const log_batch_t *batch,
            pending_record_t *pending, GError **error)
{
  for (uint32_t i = 0; i < batch->count; i++)
    {
      const log_entry_t *entry = &batch->entries[i];
      uint8_t id[REC_ID_BYTES];
      gsize len;
      const void *data = g_bytes_get_data (entry->data, &len);
      verdict_t verdict
          = wire_fold (session->state, data, len, entry->offset, id, NULL);

      if (verdict == VERDICT_BEHIND)
        {
          g_set_error (error, SESSION_ERROR, SESSION_ERROR_BEHIND,
                       "the log holds a record of a newer cuminpin at offset "
                       "%" G_GUINT64_FORMAT ": upgrade this command",
                       entry->offset);
          return false;
        }
      retain_config (session);
      if (pending && !pending->found
          && memcmp (id, pending->id, sizeof id) == 0)
        {
          pending->found = true;
          pending->verdict = verdict;
        }
    }
  return true;
}

/* Folds records up to the end of the log.  At the end, waits up to WAIT_MS for
   new records.  */
static bool
read_to_end (session_t *session, uint32_t wait_ms, pending_record_t *pending,
             GError **error)
{
  for (;;)
    {
      log_batch_t batch;
      log_status_t status = log_read (
          session->platform, STREAM_FLEET, session->state->offset,
          BATCH_RECORDS_MAX, wait_ms, CALL_TIMEOUT_MS + wait_ms, &batch);
      bool ok;
      bool at_end;

      if (status != LOG_OK)
        return set_read_error (status, error);
      ok = fold_batch (session, &batch, pending, error);
      at_end = batch.count == 0 || session->state->offset >= batch.next;
      if (ok && session->state->offset > batch.next)
        ok = set_read_error (LOG_BAD_ANSWER, error);
      log_batch_clear (&batch);
      if (!ok || at_end)
        return ok;
      wait_ms = 0;
    }
}

session_t *
session_open (const char *url, uint64_t retain_version, GError **error)
{
  session_t *session = g_new0 (session_t, 1);

  session->retain_version = retain_version;
  session->platform = platform_open (url);
  session->state = load_snapshot (session->platform, error);
  if (session->state)
    {
      retain_config (session);
      if (read_to_end (session, 0, NULL, error))
        return session;
    }
  session_close (session);
  return NULL;
}

void
session_close (session_t *session)
{
  if (!session)
    return;
  config_unref (session->retained_config);
  state_free (session->state);
  platform_close (session->platform);
  g_free (session);
}

static void
set_commit_error (bool sent, GError **error)
{
  if (sent)
    g_set_error (error, SESSION_ERROR, SESSION_ERROR_UNKNOWN,
                 "the log did not confirm the record: it may have taken "
                 "effect or may still do so; check the state before a retry");
  else
    g_set_error (error, SESSION_ERROR, SESSION_ERROR_LOG,
                 "the platform's log is unreachable; nothing was changed");
}

bool
session_commit (session_t *session, const rec_t *rec, verdict_t *verdict,
                GError **error)
{
  g_autoptr (GBytes) bytes = wire_encode_rec (rec);
  gsize len;
  const void *data = g_bytes_get_data (bytes, &len);
  pending_record_t pending = { .id = rec->id };
  bool sent = false;

  for (int attempt = 0; attempt < APPEND_ATTEMPTS_MAX && !pending.found;
       attempt++)
    {
      uint64_t offset;
      g_autoptr (GError) cause = NULL;
      log_status_t status = log_append (session->platform, STREAM_FLEET, data,
                                        len, CALL_TIMEOUT_MS, &offset);

      if (status == LOG_BAD_ANSWER)
        {
          g_set_error (error, SESSION_ERROR, SESSION_ERROR_REFUSED,
                       "the platform's log refused the record");
          return false;
        }
      sent = sent || status != LOG_UNREACHABLE;
      if (!read_to_end (session, CONFIRM_WAIT_MS, &pending, &cause)
          && cause->code != SESSION_ERROR_LOG)
        {
          g_propagate_error (error, g_steal_pointer (&cause));
          return false;
        }
    }
  if (!pending.found)
    {
      set_commit_error (sent, error);
      return false;
    }
  *verdict = pending.verdict;
  return true;
}

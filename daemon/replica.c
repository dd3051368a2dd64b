#include "control.h"
#include <string.h>

/* Number of recent records kept for peers that can't read the log; a peer that
   is further behind gets a snapshot.  */
#define RECENT_MAX 1024
#define RELAY_BYTES_MAX (512 * 1024)

struct replica
{
  const settings_t *settings;
  claims_t *claims;
  exchange_t *exchange;
  uint64_t incarnation;
  pthread_mutex_t lock;  /* guards all fields below */
  state_t *state;        /* the folded state; views get copies */
  GQueue recent_records; /* GBytes; the last has offset state->offset - 1 */
  entry_state_t prior_entry; /* this host's entry before its JOIN */
  bool has_prior_entry;
  bool join_folded;
};

replica_t *
replica_open (const settings_t *settings, claims_t *claims,
              uint64_t incarnation)
{
  replica_t *replica = g_new0 (replica_t, 1);

  replica->settings = settings;
  replica->claims = claims;
  replica->incarnation = incarnation;
  replica->state = state_new ();
  pthread_mutex_init (&replica->lock, NULL);
  g_queue_init (&replica->recent_records);
  return replica;
}

void
replica_set_exchange (replica_t *replica, exchange_t *exchange)
{
  replica->exchange = exchange;
}

static void
clear_recent (replica_t *replica)
{
  g_queue_clear_full (&replica->recent_records, (GDestroyNotify)g_bytes_unref);
}

void
replica_close (replica_t *replica)
{
  clear_recent (replica);
  state_free (replica->state);
  pthread_mutex_destroy (&replica->lock);
  g_free (replica);
}

/* Publishes a new view: the last stage of a record.  */
static void
publish (replica_t *replica, uint64_t old_version)
{
  uint64_t version = state_config_version (replica->state);
  view_t *view = view_new (state_copy (replica->state), replica->settings);

  claims_update (replica->claims, view, clock_wall_ms ());
  view_publish (view);
  atomic_store (&sync_status.offset, replica->state->offset);
  exchange_view_changed (replica->exchange);
  if (version != old_version)
    event_log (EV_CONFIG_IN_EFFECT, "version=%" PRIu64 " offset=%" PRIu64,
               version, replica->state->offset);
}

/* Remembers this host's entry as it was just before its JOIN.  */
static void
record_join (replica_t *replica, const entry_state_t *prior,
             bool has_prior_entry)
{
  const entry_state_t *now
      = table_find (&replica->state->entries, replica->settings->name);

  if (replica->join_folded || !now || now->incarnation != replica->incarnation)
    return;
  replica->join_folded = true;
  replica->has_prior_entry = has_prior_entry;
  replica->prior_entry = *prior;
}

/* Checks and folds one record.  */
static verdict_t
fold (replica_t *replica, GBytes *bytes, uint64_t offset, GError **error)
{
  const entry_state_t *entry
      = table_find (&replica->state->entries, replica->settings->name);
  entry_state_t prior = { 0 };
  verdict_t verdict;
  gsize len;
  const void *data = g_bytes_get_data (bytes, &len);

  if (entry)
    prior = *entry;
  verdict = wire_fold (replica->state, data, len, offset, NULL, error);
  if (verdict == VERDICT_BEHIND)
    return verdict;
  record_join (replica, &prior, entry != NULL);
  g_queue_push_tail (&replica->recent_records, g_bytes_ref (bytes));
  if (replica->recent_records.length > RECENT_MAX)
    g_bytes_unref (g_queue_pop_head (&replica->recent_records));
  return verdict;
}

static void
log_verdict (verdict_t verdict, uint64_t offset, const GError *error)
{
  if (verdict == VERDICT_APPLIED)
    {
      counter_add (COUNT_RECORDS_APPLIED, 1);
      return;
    }
  /* A repeated append, after a lost response.  */
  if (verdict == VERDICT_REPEATED)
    return;
  counter_add (COUNT_RECORDS_REJECTED, 1);
  if (verdict == VERDICT_BEHIND)
    event_log (EV_VIEW_BEHIND, "offset=%" PRIu64, offset);
  else if (g_error_matches (error, WIRE_ERROR, WIRE_ERROR_FORM))
    event_log (EV_RECORD_MALFORMED, "offset=%" PRIu64 " reason=\"%s\"", offset,
               error->message);
  else
    event_log (EV_RECORD_REJECTED,
               "offset=%" PRIu64 " verdict=%s reason=\"%s\"", offset,
               verdict_name (verdict), error ? error->message : "condition");
}

/* Returns false if this daemon must not fold further.  Records already folded
   are skipped: the same ones come from the log and from peers.  */
static bool
apply_record (replica_t *replica, GBytes *bytes, uint64_t offset)
{
  g_autoptr (GError) error = NULL;
  verdict_t verdict;

  if (offset < replica->state->offset)
    return true;
  verdict = fold (replica, bytes, offset, &error);
  log_verdict (verdict, offset, error);
  return verdict != VERDICT_BEHIND;
}

bool
replica_apply (replica_t *replica, const log_batch_t *batch)
{
  uint64_t old_offset;
  uint64_t old_version;
  bool behind = false;
  bool first;

  pthread_mutex_lock (&replica->lock);
  old_offset = replica->state->offset;
  old_version = state_config_version (replica->state);
  for (uint32_t i = 0; i < batch->count && !behind; i++)
    behind = !apply_record (replica, batch->entries[i].data,
                            batch->entries[i].offset);
  rcu_read_lock ();
  first = view_get () == NULL;
  rcu_read_unlock ();
  if (replica->state->offset != old_offset || first)
    publish (replica, old_version);
  pthread_mutex_unlock (&replica->lock);
  atomic_store (&sync_status.behind, behind);
  return !behind;
}

/* Replaces the state by NEWEST, and takes ownership of it, if it is newer.  */
static bool
replace_state (replica_t *replica, state_t *newest)
{
  const entry_state_t unknown = { .left = false };
  uint64_t old_version = state_config_version (replica->state);

  if (newest->offset <= replica->state->offset)
    {
      state_free (newest);
      return false;
    }
  state_free (replica->state);
  replica->state = newest;
  clear_recent (replica);
  /* A snapshot that includes this JOIN doesn't tell the entry before it:
     assume a predecessor whose work may still run.  */
  record_join (replica, &unknown, true);
  event_log (EV_SNAPSHOT_LOADED, "offset=%" PRIu64, newest->offset);
  publish (replica, old_version);
  return true;
}

bool
replica_load_snapshot (replica_t *replica, const void *data, size_t len,
                       uint64_t *offset)
{
  g_autoptr (GError) error = NULL;
  state_t *newest = wire_decode_snapshot (data, len, &error);

  if (!newest)
    {
      event_log (EV_SNAPSHOT_REJECTED, "reason=\"%s\"", error->message);
      return false;
    }
  *offset = newest->offset;
  pthread_mutex_lock (&replica->lock);
  replace_state (replica, newest);
  pthread_mutex_unlock (&replica->lock);
  return true;
}

GBytes *
replica_snapshot (replica_t *replica, uint64_t *offset)
{
  GBytes *bytes;

  pthread_mutex_lock (&replica->lock);
  *offset = replica->state->offset;
  bytes = wire_encode_snapshot (replica->state);
  pthread_mutex_unlock (&replica->lock);
  return bytes;
}

int64_t
replica_quarantine_us (replica_t *replica, int64_t run_us)
{
  const entry_state_t *entry;
  int64_t wait_us;

  pthread_mutex_lock (&replica->lock);
  if (replica->join_folded)
    entry = replica->has_prior_entry ? &replica->prior_entry : NULL;
  else
    entry = table_find (&replica->state->entries, replica->settings->name);
  wait_us = share_quarantine_us (entry, replica->join_folded, run_us);
  pthread_mutex_unlock (&replica->lock);
  return wait_us;
}

static void
relay_snapshot (const replica_t *replica, msg_relay_t *relay)
{
  gsize len;

  relay->snapshot = true;
  relay->count = 1;
  relay->records = g_new0 (msg_record_t, 1);
  relay->records[0].offset = replica->state->offset;
  relay->records[0].data
      = g_bytes_unref_to_data (wire_encode_snapshot (replica->state), &len);
  relay->records[0].len = len;
}

/* Copies the records from FROM on, as many as fit into a message.  */
static void
relay_records (replica_t *replica, uint64_t from, msg_relay_t *relay)
{
  uint64_t oldest = replica->state->offset - replica->recent_records.length;
  GList *link = g_queue_peek_nth_link (&replica->recent_records,
                                       (guint)(from - oldest));
  size_t bytes = 0;

  relay->records = g_new0 (msg_record_t, replica->recent_records.length);
  for (; link; link = link->next, from++)
    {
      gsize len;
      const void *data = g_bytes_get_data (link->data, &len);

      bytes += len;
      if (bytes > RELAY_BYTES_MAX && relay->count > 0)
        return;
      relay->records[relay->count++]
          = (msg_record_t){ from, g_memdup2 (data, len), len };
    }
}

bool
replica_fill_relay (replica_t *replica, uint64_t from, msg_relay_t *relay)
{
  memset (relay, 0, sizeof *relay);
  pthread_mutex_lock (&replica->lock);
  relay->next = replica->state->offset;
  if (replica->state->offset > from)
    {
      if (replica->state->offset - from > replica->recent_records.length)
        relay_snapshot (replica, relay);
      else
        relay_records (replica, from, relay);
    }
  pthread_mutex_unlock (&replica->lock);
  return relay->count > 0;
}

void
relay_clear (msg_relay_t *relay)
{
  for (uint32_t i = 0; i < relay->count; i++)
    g_free ((gpointer)relay->records[i].data);
  g_free (relay->records);
}

void
replica_apply_relay (replica_t *replica, const msg_relay_t *relay)
{
  uint64_t old_offset;
  uint64_t old_version;
  uint64_t offset;

  if (relay->snapshot)
    {
      for (uint32_t i = 0; i < relay->count; i++)
        replica_load_snapshot (replica, relay->records[i].data,
                               relay->records[i].len, &offset);
      return;
    }
  pthread_mutex_lock (&replica->lock);
  old_offset = replica->state->offset;
  old_version = state_config_version (replica->state);
  for (uint32_t i = 0; i < relay->count; i++)
    {
      const msg_record_t *record = &relay->records[i];
      g_autoptr (GBytes) bytes = NULL;

      if (record->offset > replica->state->offset)
        break;
      bytes = g_bytes_new (record->data, record->len);
      if (!apply_record (replica, bytes, record->offset))
        break;
    }
  if (replica->state->offset != old_offset)
    publish (replica, old_version);
  pthread_mutex_unlock (&replica->lock);
}

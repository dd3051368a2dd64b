#include "devstore.h"
#include <pthread.h>
#include <string.h>
#include <time.h>

#define REBOOT_DEFAULT_MS 500

/* Limit for the records in a response, below the client's response limit.  */
#define BATCH_BYTES_MAX (16 * 1024 * 1024)

typedef struct record
{
  int64_t time_ms;
  GBytes *data;
} record_t;

typedef struct stream
{
  GArray *records; /* record_t */
  uint64_t first;  /* offset of records[0] */
} stream_t;

typedef struct pending_change
{
  char *host;
  live_change_t change;
  int64_t due_us;
} pending_change_t;

typedef struct reboots
{
  uint64_t token; /* of the last reboot */
  uint32_t count;
} reboots_t;

struct devstore
{
  pthread_mutex_t lock;
  pthread_cond_t changed; /* new record, new faults, or stopping */
  GHashTable *streams;
  GTree *live;         /* host name to live_change_t */
  GHashTable *reboots; /* host name to reboots_t */
  GArray *pending;     /* pending_change_t */
  devlog_faults_t faults;
  bool stopping;
};

static void
clear_record (gpointer record)
{
  g_bytes_unref (((record_t *)record)->data);
}

static void
free_stream (gpointer data)
{
  stream_t *stream = data;

  g_array_unref (stream->records);
  g_free (stream);
}

static void
clear_pending (gpointer change)
{
  g_free (((pending_change_t *)change)->host);
}

static int
compare_names (gconstpointer a, gconstpointer b, gpointer context)
{
  (void)context;
  return strcmp (a, b);
}

devstore_t *
devstore_new (void)
{
  devstore_t *store = g_new0 (devstore_t, 1);
  pthread_condattr_t attr;

  pthread_mutex_init (&store->lock, NULL);
  pthread_condattr_init (&attr);
  pthread_condattr_setclock (&attr, CLOCK_MONOTONIC);
  pthread_cond_init (&store->changed, &attr);
  pthread_condattr_destroy (&attr);
  store->streams
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_stream);
  store->live = g_tree_new_full (compare_names, NULL, g_free, NULL);
  store->reboots
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  store->pending = g_array_new (FALSE, FALSE, sizeof (pending_change_t));
  g_array_set_clear_func (store->pending, clear_pending);
  return store;
}

void
devstore_free (devstore_t *store)
{
  g_hash_table_destroy (store->streams);
  g_tree_destroy (store->live);
  g_hash_table_destroy (store->reboots);
  g_array_unref (store->pending);
  pthread_cond_destroy (&store->changed);
  pthread_mutex_destroy (&store->lock);
  g_free (store);
}

/* Waits for a change until DEADLINE_US of the monotonic clock.  */
static void
wait_for_change (devstore_t *store, int64_t deadline_us)
{
  struct timespec deadline = { (time_t)(deadline_us / 1000000),
                               (long)(deadline_us % 1000000) * 1000 };

  pthread_cond_timedwait (&store->changed, &store->lock, &deadline);
}

void
devstore_stop (devstore_t *store)
{
  pthread_mutex_lock (&store->lock);
  store->stopping = true;
  pthread_cond_broadcast (&store->changed);
  pthread_mutex_unlock (&store->lock);
}

static void
apply_retention (const devstore_t *store, stream_t *stream)
{
  uint32_t retain = store->faults.retain;
  guint excess;

  if (retain == 0 || stream->records->len <= retain)
    return;
  excess = stream->records->len - retain;
  g_array_remove_range (stream->records, 0, excess);
  stream->first += excess;
}

void
devstore_set_faults (devstore_t *store, const devlog_faults_t *faults)
{
  GHashTableIter iter;
  gpointer stream;

  pthread_mutex_lock (&store->lock);
  store->faults = *faults;
  g_hash_table_iter_init (&iter, store->streams);
  while (g_hash_table_iter_next (&iter, NULL, &stream))
    apply_retention (store, stream);
  pthread_cond_broadcast (&store->changed);
  pthread_mutex_unlock (&store->lock);
}

bool
devstore_is_up (devstore_t *store)
{
  bool up;

  pthread_mutex_lock (&store->lock);
  up = !store->stopping && !store->faults.down;
  pthread_mutex_unlock (&store->lock);
  return up;
}

bool
devstore_delay (devstore_t *store)
{
  int64_t start_us = clock_mono_us ();
  bool up;

  pthread_mutex_lock (&store->lock);
  while (!store->stopping && !store->faults.down
         && clock_mono_us () - start_us
                < (int64_t)store->faults.delay_ms * 1000)
    wait_for_change (store, start_us + (int64_t)store->faults.delay_ms * 1000);
  up = !store->stopping && !store->faults.down;
  pthread_mutex_unlock (&store->lock);
  return up;
}

static stream_t *
get_stream (devstore_t *store, const char *name)
{
  stream_t *stream = g_hash_table_lookup (store->streams, name);

  if (stream)
    return stream;
  stream = g_new0 (stream_t, 1);
  stream->records = g_array_new (FALSE, FALSE, sizeof (record_t));
  g_array_set_clear_func (stream->records, clear_record);
  g_hash_table_insert (store->streams, g_strdup (name), stream);
  return stream;
}

append_result_t
devstore_append (devstore_t *store, const char *name, GBytes *data,
                 uint64_t *offset)
{
  append_result_t result = APPEND_ANSWERED;
  record_t record = { clock_wall_ms (), NULL };
  stream_t *stream;

  pthread_mutex_lock (&store->lock);
  if (store->faults.drop_appends > 0)
    {
      store->faults.drop_appends--;
      pthread_mutex_unlock (&store->lock);
      return APPEND_UNANSWERED;
    }
  if (store->faults.lose_answers > 0)
    {
      store->faults.lose_answers--;
      result = APPEND_UNANSWERED;
    }
  stream = get_stream (store, name);
  record.data = g_bytes_ref (data);
  *offset = stream->first + stream->records->len;
  g_array_append_val (stream->records, record);
  apply_retention (store, stream);
  pthread_cond_broadcast (&store->changed);
  pthread_mutex_unlock (&store->lock);
  return result;
}

static void
copy_records (const stream_t *stream, uint64_t from, uint32_t max,
              log_batch_t *batch)
{
  uint64_t available = stream->first + stream->records->len - from;
  uint32_t count = (uint32_t)MIN (available, max);
  size_t bytes = 0;

  batch->entries = g_new0 (log_entry_t, count);
  for (uint32_t i = 0; i < count; i++)
    {
      const record_t *record = &g_array_index (stream->records, record_t,
                                               from - stream->first + i);

      bytes += g_bytes_get_size (record->data);
      if (i > 0 && bytes > BATCH_BYTES_MAX)
        return;
      batch->entries[i] = (log_entry_t){ from + i, record->time_ms,
                                         g_bytes_ref (record->data) };
      batch->count = i + 1;
    }
}

log_status_t
devstore_read (devstore_t *store, const char *name, uint64_t from,
               uint32_t max, uint32_t wait_ms, log_batch_t *batch)
{
  int64_t deadline_us = clock_mono_us () + (int64_t)wait_ms * 1000;
  log_status_t status = LOG_OK;
  stream_t *stream;

  memset (batch, 0, sizeof *batch);
  pthread_mutex_lock (&store->lock);
  stream = get_stream (store, name);
  while (!store->stopping && !store->faults.down
         && from >= stream->first + stream->records->len
         && clock_mono_us () < deadline_us)
    wait_for_change (store, deadline_us);
  batch->first_kept = stream->first;
  batch->next = stream->first + stream->records->len;
  if (store->stopping || store->faults.down)
    status = LOG_UNREACHABLE;
  else if (from < stream->first)
    status = LOG_EXPIRED;
  else if (from < batch->next)
    copy_records (stream, from, max, batch);
  pthread_mutex_unlock (&store->lock);
  return status;
}

static void
schedule_change (devstore_t *store, const char *host, live_change_t change,
                 int64_t after_ms)
{
  pending_change_t pending = { g_strdup (host), change, 0 };

  pending.due_us = clock_mono_us () + after_ms * 1000;
  g_array_append_val (store->pending, pending);
}

void
devstore_change_host (devstore_t *store, const char *host,
                      live_change_t change)
{
  pthread_mutex_lock (&store->lock);
  schedule_change (store, host, change, store->faults.live_lag_ms);
  pthread_mutex_unlock (&store->lock);
}

void
devstore_reboot (devstore_t *store, const char *host, uint64_t token)
{
  int64_t lag_ms = store->faults.live_lag_ms;
  int64_t downtime_ms;
  reboots_t *reboots;

  pthread_mutex_lock (&store->lock);
  downtime_ms
      = store->faults.reboot_ms ? store->faults.reboot_ms : REBOOT_DEFAULT_MS;
  reboots = g_hash_table_lookup (store->reboots, host);
  if (!reboots)
    {
      reboots = g_new0 (reboots_t, 1);
      g_hash_table_insert (store->reboots, g_strdup (host), reboots);
    }
  if (reboots->count == 0 || reboots->token != token)
    {
      reboots->token = token;
      reboots->count++;
      schedule_change (store, host, CHANGE_GONE, lag_ms);
      schedule_change (store, host, CHANGE_LIVE, lag_ms + downtime_ms);
    }
  pthread_mutex_unlock (&store->lock);
}

void
devstore_reboots (devstore_t *store, reboot_visitor_t visit, void *context)
{
  GHashTableIter iter;
  gpointer host;
  gpointer reboots;

  pthread_mutex_lock (&store->lock);
  g_hash_table_iter_init (&iter, store->reboots);
  while (g_hash_table_iter_next (&iter, &host, &reboots))
    visit (host, ((const reboots_t *)reboots)->count, context);
  pthread_mutex_unlock (&store->lock);
}

static void
apply_due_changes (devstore_t *store)
{
  int64_t now_us = clock_mono_us ();

  for (guint i = 0; i < store->pending->len;)
    {
      pending_change_t *pending
          = &g_array_index (store->pending, pending_change_t, i);

      if (pending->due_us > now_us)
        {
          i++;
          continue;
        }
      if (pending->change == CHANGE_GONE)
        g_tree_remove (store->live, pending->host);
      else
        g_tree_insert (store->live, g_strdup (pending->host),
                       GINT_TO_POINTER (pending->change));
      g_array_remove_index (store->pending, i);
    }
}

static gboolean
add_host (gpointer host, gpointer change, gpointer context)
{
  live_list_t *list = context;

  list->hosts[list->count].host = g_strdup (host);
  list->hosts[list->count].state
      = GPOINTER_TO_INT (change) == CHANGE_LEAVING ? LIVE_LEAVING : LIVE_LIVE;
  list->count++;
  return FALSE;
}

void
devstore_live (devstore_t *store, live_list_t *list)
{
  memset (list, 0, sizeof *list);
  pthread_mutex_lock (&store->lock);
  apply_due_changes (store);
  list->hosts = g_new0 (live_host_t, (gsize)g_tree_nnodes (store->live));
  g_tree_foreach (store->live, add_host, list);
  pthread_mutex_unlock (&store->lock);
}

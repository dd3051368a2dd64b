#include "standins.h"
#include <jansson.h>
#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>

#define KEYED_PREFIX "keyed."
#define READ_BYTES_MAX (1024 * 1024)

typedef struct topic
{
  GPtrArray *records;        /* GBytes */
  uint64_t first_offset;     /* offset of the oldest record */
  GHashTable *latest_values; /* key -> GBytes */
  int64_t busy_until_us;     /* with the appends taken so far */
} topic_t;

/* A port of the store.  */
typedef struct door
{
  store_t *store;
  http_server_t *server;
  bool cut;
  uint32_t late_ms; /* appends are carried out so much later; 0: at once */
} door_t;

/* An append that is carried out late.  */
typedef struct late_append
{
  store_t *store;
  char *topic;
  GByteArray *body;
  uint32_t delay_ms;
} late_append_t;

struct store
{
  GPtrArray *doors; /* door_t; the first is for all */
  GMutex lock;
  GCond changed;
  GHashTable *topics;
  store_faults_t faults;
  bool stopping;
  uint32_t appends;
  GPtrArray *late; /* GThread of late_append_t */
};

static void
topic_free (gpointer data)
{
  topic_t *topic = data;

  g_ptr_array_unref (topic->records);
  g_hash_table_unref (topic->latest_values);
  g_free (topic);
}

static topic_t *
get_topic (store_t *store, const char *name)
{
  topic_t *topic = g_hash_table_lookup (store->topics, name);

  if (topic)
    return topic;
  topic = g_new0 (topic_t, 1);
  topic->records
      = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  topic->latest_values = g_hash_table_new_full (
      g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_bytes_unref);
  g_hash_table_insert (store->topics, g_strdup (name), topic);
  return topic;
}

static void
add_record (topic_t *topic, const char *name, const uint8_t *data, size_t len)
{
  g_ptr_array_add (topic->records, g_bytes_new (data, len));
  if (!g_str_has_prefix (name, KEYED_PREFIX) || len == 0 || len < 1u + data[0])
    return;
  g_hash_table_insert (topic->latest_values,
                       g_strndup ((const char *)data + 1, data[0]),
                       g_bytes_new (data + 1 + data[0], len - 1 - data[0]));
}

/* Adds the records of BODY to the topic NAME.  */
static void
add_records (store_t *store, const char *name, const GByteArray *body)
{
  topic_t *topic = get_topic (store, name);
  size_t offset = 0;

  while (offset + 4 <= body->len)
    {
      uint32_t len;

      memcpy (&len, body->data + offset, 4);
      len = GUINT32_FROM_BE (len);
      add_record (topic, name, body->data + offset + 4, len);
      offset += 4 + len;
    }
  g_cond_broadcast (&store->changed);
}

static gpointer
run_late_append (gpointer data)
{
  late_append_t *late = data;

  g_usleep ((gulong)late->delay_ms * 1000);
  g_mutex_lock (&late->store->lock);
  add_records (late->store, late->topic, late->body);
  g_mutex_unlock (&late->store->lock);
  g_byte_array_unref (late->body);
  g_free (late->topic);
  g_free (late);
  return NULL;
}

static void
append_late (store_t *store, const char *name, const GByteArray *body,
             uint32_t delay_ms)
{
  late_append_t *late = g_new0 (late_append_t, 1);

  late->store = store;
  late->topic = g_strdup (name);
  late->body
      = g_byte_array_append (g_byte_array_new (), body->data, body->len);
  late->delay_ms = delay_ms;
  g_ptr_array_add (store->late, g_thread_new ("late", run_late_append, late));
}

/* Whether the next of the appends, of which PERCENT are, is one of those.
   They are spread evenly and not drawn at random, so that a run is
   reproducible.  */
static bool
is_one_of (const store_t *store, uint32_t percent)
{
  return store->appends * percent / 100
         != (store->appends - 1) * percent / 100;
}

static void
append_records (const door_t *door, struct MHD_Connection *conn,
                const char *name, const GByteArray *body)
{
  store_t *store = door->store;
  uint32_t late_ms = door->late_ms;

  store->appends++;
  if (late_ms == 0 && is_one_of (store, store->faults.late_percent))
    late_ms = store->faults.late_ms;
  if (late_ms > 0)
    append_late (store, name, body, late_ms);
  else
    add_records (store, name, body);
  if (late_ms > 0 || is_one_of (store, store->faults.lost_reply_percent))
    http_close_unanswered (conn);
  else
    http_reply (conn, 200, "{\"offset\":0,\"end\":0}", 20);
}

/* Waits until the topic NAME has processed the appends before this one, and
   this one.  False if too many wait.  */
static bool
await_turn (store_t *store, const char *name)
{
  topic_t *topic = get_topic (store, name);
  int64_t now_us = g_get_monotonic_time ();
  int64_t turn_us = MAX (topic->busy_until_us, now_us);

  if (store->faults.append_ms == 0)
    return true;
  if (turn_us - now_us > STORE_QUEUE_MAX_MS * 1000)
    return false;
  turn_us += (int64_t)store->faults.append_ms * 1000;
  topic->busy_until_us = turn_us;
  g_mutex_unlock (&store->lock);
  g_usleep ((gulong)(turn_us - now_us));
  g_mutex_lock (&store->lock);
  return true;
}

static void
append_u64 (GByteArray *out, uint64_t value)
{
  value = GUINT64_TO_BE (value);
  g_byte_array_append (out, (const guint8 *)&value, sizeof value);
}

static void
read_records (const door_t *door, struct MHD_Connection *conn,
              const char *name)
{
  store_t *store = door->store;
  topic_t *topic = get_topic (store, name);
  uint64_t from = http_query_number (conn, "from");
  int64_t end_us = g_get_monotonic_time ()
                   + (int64_t)http_query_number (conn, "wait_ms") * 1000;
  g_autoptr (GByteArray) out = g_byte_array_new ();

  while (from >= topic->first_offset + topic->records->len && !store->stopping
         && g_cond_wait_until (&store->changed, &store->lock, end_us))
    ;
  if (door->cut)
    {
      http_close_unanswered (conn);
      return;
    }
  if (from < topic->first_offset)
    {
      g_autofree char *text
          = g_strdup_printf ("{\"first\":%" PRIu64 "}", topic->first_offset);

      http_reply (conn, 410, text, strlen (text));
      return;
    }
  append_u64 (out, topic->first_offset + topic->records->len);
  append_u64 (out, topic->first_offset);
  for (uint64_t i = from - topic->first_offset;
       i < topic->records->len && out->len < READ_BYTES_MAX; i++)
    {
      gsize len;
      const void *data
          = g_bytes_get_data (g_ptr_array_index (topic->records, i), &len);
      uint32_t frame = GUINT32_TO_BE ((uint32_t)len);

      g_byte_array_append (out, (const guint8 *)&frame, 4);
      g_byte_array_append (out, data, (guint)len);
    }
  http_reply (conn, 200, out->data, out->len);
}

static void
read_latest (store_t *store, struct MHD_Connection *conn, const char *name)
{
  topic_t *topic = get_topic (store, name);
  json_t *items = json_array ();
  g_autoptr (GList) keys = g_list_sort (
      g_hash_table_get_keys (topic->latest_values), (GCompareFunc)strcmp);
  json_t *root;
  char *text;

  for (GList *key = keys; key; key = key->next)
    {
      gsize len;
      const void *data = g_bytes_get_data (
          g_hash_table_lookup (topic->latest_values, key->data), &len);
      g_autofree char *value = g_base64_encode (data, len);

      if (len > 0)
        json_array_append_new (
            items, json_pack ("{s:s,s:s}", "key", key->data, "value", value));
    }
  root = json_pack ("{s:o,s:b,s:I}", "items", items, "truncated", 0, "end",
                    (json_int_t)topic->first_offset + topic->records->len);
  text = json_dumps (root, JSON_COMPACT);
  http_reply (conn, 200, text, strlen (text));
  free (text);
  json_decref (root);
}

static void
handle_request (void *ctx, struct MHD_Connection *conn, const char *method,
                const char *path, const GByteArray *body)
{
  const door_t *door = ctx;
  store_t *store = door->store;
  const char *topic
      = MHD_lookup_connection_value (conn, MHD_GET_ARGUMENT_KIND, "topic");
  bool appends = strcmp (path, "/log-append") == 0;
  uint32_t delay_ms;

  (void)method;
  g_mutex_lock (&store->lock);
  delay_ms = store->faults.delay_ms;
  g_mutex_unlock (&store->lock);
  g_usleep (delay_ms * 1000);
  g_mutex_lock (&store->lock);
  if (door->cut)
    http_close_unanswered (conn);
  else if (store->faults.down || !topic
           || (appends && !await_turn (store, topic)))
    http_reply (conn, 503, "", 0);
  else if (appends)
    append_records (door, conn, topic, body);
  else if (strcmp (path, "/log-read") == 0)
    read_records (door, conn, topic);
  else if (strcmp (path, "/log-newest") == 0)
    read_latest (store, conn, topic);
  else
    http_reply (conn, 404, "", 0);
  g_mutex_unlock (&store->lock);
}

uint16_t
store_add_port (store_t *store)
{
  door_t *door = g_new0 (door_t, 1);

  door->store = store;
  door->server = http_server_start (handle_request, door);
  g_ptr_array_add (store->doors, door);
  return http_server_port (door->server);
}

static door_t *
find_door (const store_t *store, uint16_t port)
{
  for (uint32_t i = 0; i < store->doors->len; i++)
    {
      door_t *door = g_ptr_array_index (store->doors, i);

      if (http_server_port (door->server) == port)
        return door;
    }
  return NULL;
}

void
store_cut_port (store_t *store, uint16_t port, bool cut)
{
  g_mutex_lock (&store->lock);
  find_door (store, port)->cut = cut;
  g_mutex_unlock (&store->lock);
}

void
store_delay_port (store_t *store, uint16_t port, uint32_t ms)
{
  g_mutex_lock (&store->lock);
  find_door (store, port)->late_ms = ms;
  g_mutex_unlock (&store->lock);
}

void
store_await_delayed (store_t *store)
{
  GThread *thread;

  do
    {
      g_mutex_lock (&store->lock);
      thread = store->late->len > 0 ? g_ptr_array_steal_index (store->late, 0)
                                    : NULL;
      g_mutex_unlock (&store->lock);
      if (thread)
        g_thread_join (thread);
    }
  while (thread);
}

store_t *
store_start (void)
{
  store_t *store = g_new0 (store_t, 1);

  g_mutex_init (&store->lock);
  g_cond_init (&store->changed);
  store->topics
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, topic_free);
  store->doors = g_ptr_array_new_with_free_func (g_free);
  store->late = g_ptr_array_new ();
  store_add_port (store);
  return store;
}

void
store_stop (store_t *store)
{
  g_mutex_lock (&store->lock);
  store->stopping = true;
  g_cond_broadcast (&store->changed);
  g_mutex_unlock (&store->lock);
  for (uint32_t i = 0; i < store->doors->len; i++)
    http_server_stop (((door_t *)g_ptr_array_index (store->doors, i))->server);
  store_await_delayed (store);
  g_ptr_array_unref (store->late);
  g_ptr_array_unref (store->doors);
  g_hash_table_destroy (store->topics);
  g_mutex_clear (&store->lock);
  g_cond_clear (&store->changed);
  g_free (store);
}

uint16_t
store_port (const store_t *store)
{
  return http_server_port (
      ((door_t *)g_ptr_array_index (store->doors, 0))->server);
}

void
store_set_faults (store_t *store, const store_faults_t *faults)
{
  g_mutex_lock (&store->lock);
  store->faults = *faults;
  g_mutex_unlock (&store->lock);
}

void
store_put (store_t *store, const char *name, const char *key,
           const char *value)
{
  g_autoptr (GByteArray) record = g_byte_array_new ();
  uint8_t key_len = (uint8_t)strlen (key);

  g_byte_array_append (record, &key_len, 1);
  g_byte_array_append (record, (const guint8 *)key, key_len);
  if (value)
    g_byte_array_append (record, (const guint8 *)value, (guint)strlen (value));
  g_mutex_lock (&store->lock);
  add_record (get_topic (store, name), name, record->data, record->len);
  g_cond_broadcast (&store->changed);
  g_mutex_unlock (&store->lock);
}

void
store_truncate (store_t *store, const char *name, uint32_t keep)
{
  topic_t *topic;

  g_mutex_lock (&store->lock);
  topic = get_topic (store, name);
  if (topic->records->len > keep)
    {
      uint32_t drop = topic->records->len - keep;

      g_ptr_array_remove_range (topic->records, 0, drop);
      topic->first_offset += drop;
    }
  g_mutex_unlock (&store->lock);
}

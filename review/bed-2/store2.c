/* The store of test/soak with what the pages say beyond it: records expire
   after STORE_KEEP_MS, and a page of the newest records has a limit.  */
#include "../../test/soak/standins.h"
#include <jansson.h>
#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>

#define KEYED_PREFIX "keyed."
#define READ_BYTES_MAX (1024 * 1024)
#define NEWEST_ITEMS_MAX 500
#define NEWEST_BYTES_MAX (1024 * 1024)
/* The sheet: 20 s of history.  */
#define STORE_KEEP_US 20000000

typedef struct topic
{
  GPtrArray *records;        /* GBytes */
  uint64_t first_offset;     /* offset of the oldest record */
  GHashTable *latest_values; /* key -> GBytes */
  int64_t busy_until_us;     /* with the appends taken so far */
  GArray *times_us;          /* int64_t: when RECORDS were appended */
} topic_t;

/* A port of the store.  */
typedef struct door
{
  store_t *store;
  http_server_t *server;
  bool cut;
} door_t;

struct store
{
  GPtrArray *doors; /* door_t; the first is for all */
  GMutex lock;
  GCond changed;
  GHashTable *topics;
  store_faults_t faults;
  bool stopping;
  uint32_t appends;
};

static void
topic_free (gpointer data)
{
  topic_t *topic = data;

  g_ptr_array_unref (topic->records);
  g_hash_table_unref (topic->latest_values);
  g_array_unref (topic->times_us);
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
  topic->times_us = g_array_new (FALSE, FALSE, sizeof (int64_t));
  g_hash_table_insert (store->topics, g_strdup (name), topic);
  return topic;
}

static void
add_record (topic_t *topic, const char *name, const uint8_t *data, size_t len)
{
  int64_t now_us = g_get_monotonic_time ();

  g_ptr_array_add (topic->records, g_bytes_new (data, len));
  g_array_append_val (topic->times_us, now_us);
  if (!g_str_has_prefix (name, KEYED_PREFIX) || len == 0 || len < 1u + data[0])
    return;
  g_hash_table_insert (topic->latest_values,
                       g_strndup ((const char *)data + 1, data[0]),
                       g_bytes_new (data + 1 + data[0], len - 1 - data[0]));
}

static void
drop_oldest (topic_t *topic, uint32_t count)
{
  if (count == 0)
    return;
  g_ptr_array_remove_range (topic->records, 0, count);
  g_array_remove_range (topic->times_us, 0, count);
  topic->first_offset += count;
}

static void
expire (topic_t *topic)
{
  int64_t until_us = g_get_monotonic_time () - STORE_KEEP_US;
  uint32_t count = 0;

  while (count < topic->records->len
         && g_array_index (topic->times_us, int64_t, count) < until_us)
    count++;
  drop_oldest (topic, count);
}

static void
append_records (store_t *store, struct MHD_Connection *conn, const char *name,
                const GByteArray *body)
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
  /* Lost replies are spread evenly and not drawn at random, so that a run is
     reproducible.  */
  store->appends++;
  if (store->appends * store->faults.lost_reply_percent / 100
      != (store->appends - 1) * store->faults.lost_reply_percent / 100)
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

  expire (topic);
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
  const char *after
      = MHD_lookup_connection_value (conn, MHD_GET_ARGUMENT_KIND, "after");
  size_t bytes = 0;
  bool truncated = false;
  json_t *root;
  char *text;

  for (GList *key = keys; key; key = key->next)
    {
      gsize len;
      const void *data = g_bytes_get_data (
          g_hash_table_lookup (topic->latest_values, key->data), &len);
      g_autofree char *value = NULL;

      if (len == 0 || (after && strcmp (key->data, after) <= 0))
        continue;
      truncated = json_array_size (items) >= NEWEST_ITEMS_MAX
                  || (bytes > 0 && bytes + len > NEWEST_BYTES_MAX);
      if (truncated)
        break;
      bytes += len;
      value = g_base64_encode (data, len);
      json_array_append_new (
          items, json_pack ("{s:s,s:s}", "key", key->data, "value", value));
    }
  root = json_pack ("{s:o,s:b,s:I}", "items", items, "truncated",
                    (int)truncated, "end",
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
    append_records (store, conn, topic, body);
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

void
store_cut_port (store_t *store, uint16_t port, bool cut)
{
  g_mutex_lock (&store->lock);
  for (uint32_t i = 0; i < store->doors->len; i++)
    {
      door_t *door = g_ptr_array_index (store->doors, i);

      if (http_server_port (door->server) == port)
        door->cut = cut;
    }
  g_mutex_unlock (&store->lock);
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
    drop_oldest (topic, topic->records->len - keep);
  g_mutex_unlock (&store->lock);
}

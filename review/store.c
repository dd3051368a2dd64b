/* Stand-in of the platform's store.  */

#include "bed.h"
#include <inttypes.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#define APPEND_MS 4

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static GHashTable *topics; /* name -> GPtrArray of GBytes */
static store_mode_t modes[DAEMONS];
static char *break_text;
static int64_t break_ms;
static int64_t broke_at;
static uint32_t breaks; /* channels that were open at a break are reset */

static GPtrArray *
topic_get (const char *name)
{
  GPtrArray *topic;

  if (!topics)
    topics = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  topic = g_hash_table_lookup (topics, name);
  if (!topic)
    {
      topic = g_ptr_array_new ();
      g_hash_table_insert (topics, g_strdup (name), topic);
    }
  return topic;
}

static char *
query (const char *path, const char *name)
{
  g_autofree char *key = g_strdup_printf ("%s=", name);
  const char *at = strchr (path, '?');

  while (at)
    {
      at++;
      if (g_str_has_prefix (at, key))
        {
          g_autofree char *raw = g_strndup (at + strlen (key),
                                            strcspn (at + strlen (key), "&"));

          return g_uri_unescape_string (raw, NULL);
        }
      at = strchr (at, '&');
    }
  return NULL;
}

static int64_t
query_number (const char *path, const char *name, int64_t fallback)
{
  g_autofree char *text = query (path, name);

  return text ? g_ascii_strtoll (text, NULL, 10) : fallback;
}

void
store_put (const char *topic, const char *key, const char *value)
{
  GByteArray *record = g_byte_array_new ();
  guint8 len = (guint8)strlen (key);

  g_byte_array_append (record, &len, 1);
  g_byte_array_append (record, (const guint8 *)key, len);
  if (value)
    g_byte_array_append (record, (const guint8 *)value, (guint)strlen (value));
  pthread_mutex_lock (&lock);
  g_ptr_array_add (topic_get (topic), g_byte_array_free_to_bytes (record));
  pthread_cond_broadcast (&changed);
  pthread_mutex_unlock (&lock);
}

void
store_set_mode (uint32_t daemon, store_mode_t mode)
{
  pthread_mutex_lock (&lock);
  modes[daemon] = mode;
  pthread_cond_broadcast (&changed);
  pthread_mutex_unlock (&lock);
  note ("store: mode %d for daemon %u", mode, daemon);
}

void
store_break_at (const char *text, int64_t ms)
{
  pthread_mutex_lock (&lock);
  break_text = g_strdup (text);
  break_ms = ms;
  pthread_mutex_unlock (&lock);
}

int64_t
store_broke_at (void)
{
  int64_t at;

  pthread_mutex_lock (&lock);
  at = broke_at;
  pthread_mutex_unlock (&lock);
  return at;
}

static bool
contains (const char *data, size_t len, const char *text)
{
  return memmem (data, len, text, strlen (text)) != NULL;
}

static store_mode_t
mode_of (uint32_t daemon)
{
  if (broke_at != 0 && now_ms () < broke_at + break_ms)
    return STORE_BUSY;
  return modes[daemon];
}

static void
append (http_req_t *req)
{
  g_autofree char *name = query (req->path, "topic");
  GPtrArray *topic = topic_get (name);
  size_t at = 0;
  uint32_t offset = topic->len;
  bool too_large = false;

  for (size_t i = 0; i + 4 <= req->len;)
    {
      uint32_t len = GUINT32_FROM_BE (*(uint32_t *)(void *)(req->body + i));

      too_large |= len > 262144;
      i += 4 + len;
    }
  if (too_large || req->len > 2097152 || g_strcmp0 (name, "keyed.op") == 0
      || g_strcmp0 (name, "keyed.servers") == 0)
    {
      http_reply (req, too_large || req->len > 2097152 ? 400 : 403, "", 0);
      return;
    }
  while (at + 4 <= req->len)
    {
      uint32_t len;

      memcpy (&len, req->body + at, 4);
      len = GUINT32_FROM_BE (len);
      g_ptr_array_add (topic, g_bytes_new (req->body + at + 4, len));
      at += 4 + len;
    }
  pthread_cond_broadcast (&changed);
  if (break_text && broke_at == 0
      && contains (req->body, req->len, break_text))
    {
      broke_at = now_ms ();
      breaks++;
      pthread_cond_broadcast (&changed);
      note ("store: append with %s stored, channel reset; 503 for %" PRId64
            " ms",
            break_text, break_ms);
      http_reset (req);
      return;
    }
  http_reply_json (
      req, 200,
      json_pack ("{s:i,s:i}", "offset", (int)offset, "end", (int)topic->len));
}

static void
wait_until (int64_t end_ms)
{
  struct timespec until;

  clock_gettime (CLOCK_REALTIME, &until);
  until.tv_nsec += MIN (MAX (end_ms - now_ms (), 1), 100) * 1000000;
  if (until.tv_nsec >= 1000000000)
    {
      until.tv_sec++;
      until.tv_nsec -= 1000000000;
    }
  pthread_cond_timedwait (&changed, &lock, &until);
}

static void
read_log (uint32_t daemon, http_req_t *req)
{
  g_autofree char *name = query (req->path, "topic");
  GPtrArray *topic = topic_get (name);
  int64_t from = query_number (req->path, "from", 0);
  int64_t max = query_number (req->path, "max_kb", 1024) * 1024;
  int64_t end_ms = now_ms () + query_number (req->path, "wait_ms", 0);
  g_autoptr (GByteArray) out = g_byte_array_new ();
  uint64_t head[2] = { 0, 0 };
  uint32_t breaks_before = breaks;
  store_mode_t mode = mode_of (daemon);

  while ((int64_t)topic->len <= from && now_ms () < end_ms
         && breaks == breaks_before && mode_of (daemon) == mode)
    wait_until (end_ms);
  if (breaks != breaks_before || mode_of (daemon) != mode)
    {
      http_reset (req);
      return;
    }
  head[0] = GUINT64_TO_BE ((uint64_t)topic->len);
  g_byte_array_append (out, (const guint8 *)head, sizeof head);
  for (int64_t i = from; i < (int64_t)topic->len; i++)
    {
      gsize len;
      const void *data = g_bytes_get_data (g_ptr_array_index (topic, i), &len);
      uint32_t frame = GUINT32_TO_BE ((uint32_t)len);

      if (i > from && (int64_t)(out->len + len) > max)
        break;
      g_byte_array_append (out, (const guint8 *)&frame, 4);
      g_byte_array_append (out, data, (guint)len);
    }
  http_reply (req, 200, out->data, out->len);
}

static gint
compare_keys (gconstpointer a, gconstpointer b, gpointer ctx)
{
  (void)ctx;
  return strcmp (a, b);
}

static void
read_newest (http_req_t *req)
{
  g_autofree char *name = query (req->path, "topic");
  g_autofree char *after = query (req->path, "after");
  GPtrArray *topic = topic_get (name);
  GTree *newest = g_tree_new_full (compare_keys, NULL, g_free, NULL);
  json_t *items = json_array ();
  size_t bytes = 0;
  bool truncated = false;
  GTreeNode *node;

  for (guint i = 0; i < topic->len; i++)
    {
      const guint8 *data
          = g_bytes_get_data (g_ptr_array_index (topic, i), NULL);

      g_tree_replace (newest, g_strndup ((const char *)data + 1, data[0]),
                      GUINT_TO_POINTER (i));
    }
  for (node = g_tree_node_first (newest); node; node = g_tree_node_next (node))
    {
      guint i = GPOINTER_TO_UINT (g_tree_node_value (node));
      const char *key = g_tree_node_key (node);
      gsize len;
      const guint8 *data
          = g_bytes_get_data (g_ptr_array_index (topic, i), &len);
      g_autofree char *value = NULL;

      if ((after && strcmp (key, after) <= 0) || len <= 1U + data[0])
        continue;
      if (json_array_size (items) >= 500 || bytes > 1000000)
        {
          truncated = true;
          break;
        }
      value = g_base64_encode (data + 1 + data[0], len - 1 - data[0]);
      bytes += strlen (value);
      json_array_append_new (items,
                             json_pack ("{s:s,s:s,s:i}", "key", key, "value",
                                        value, "offset", (int)i));
    }
  g_tree_unref (newest);
  http_reply_json (req, 200,
                   json_pack ("{s:o,s:b,s:i}", "items", items, "truncated",
                              truncated, "end", (int)topic->len));
}

static void
handle (uint32_t daemon, http_req_t *req)
{
  bool is_append = g_str_has_prefix (req->path, "/log-append");

  if (is_append)
    sleep_ms (APPEND_MS);
  pthread_mutex_lock (&lock);
  if (mode_of (daemon) == STORE_BUSY)
    {
      if (is_append && break_text
          && contains (req->body, req->len, break_text))
        note ("store: 503 to an append with %s of daemon %u", break_text,
              daemon);
      http_reply (req, 503, "", 0);
    }
  else if (mode_of (daemon) == STORE_SILENT)
    http_hang (req);
  else if (is_append)
    append (req);
  else if (g_str_has_prefix (req->path, "/log-read"))
    read_log (daemon, req);
  else if (g_str_has_prefix (req->path, "/log-newest"))
    read_newest (req);
  else
    http_reply (req, 404, "", 0);
  pthread_mutex_unlock (&lock);
}

void
store_open (uint16_t ports[DAEMONS])
{
  for (uint32_t i = 0; i < DAEMONS; i++)
    ports[i] = http_listen (handle, i);
}

#include "minions.h"
#include <jansson.h>
#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>

#define TICK_US 5000
#define REPORT_MS 1500
#define STARTUP_MS 900
#define STOP_MS 50
#define HOLD_MAX_MS 6000
#define WAIT_MAX_MS 2000

typedef struct item
{
  char *name;
  uint32_t attempt;
  bool serves;
  int64_t cpu;    /* counted against the room */
  double need_ms; /* of a filler */
  double worked_ms;
  uint32_t pace;
  int64_t started_ms;
  int64_t stop_at_ms; /* 0: it isn't being stopped */
} item_t;

typedef struct item_end
{
  uint64_t number;
  char *name;
  uint32_t attempt;
  const char *how;
} item_end_t;

typedef struct minion
{
  minions_t *all;
  http_server_t *server;
  char *id;
  uint32_t index;
  uint32_t lives;
  bool down; /* its machine is */
  int64_t born_ms;
  int64_t base_ms; /* its clock began then */
  uint64_t token;
  int64_t lease_end_ms; /* on its clock */
  uint64_t ends_count;
  GPtrArray *items;
  GPtrArray *ends;
  GHashTable *highest; /* name -> attempt that was stopped or has ended */
} minion_t;

struct minions
{
  bed_t *bed;
  store_t *store;
  char *service;
  uint32_t cpu;
  GPtrArray *list;
  GMutex lock;
  GCond changed;
  GThread *thread;
  uint32_t users_ms;
  uint32_t harm_ms;
  uint32_t done;
  GHashTable *done_names; /* of work items */
  uint32_t late_paces;    /* so many more are carried out late */
  uint32_t late_ms;
  GPtrArray *late; /* of late_pace_t */
  bool stopping;
};

/* An order that gets no answer and is carried out later.  */
typedef struct late_pace
{
  minion_t *minion;
  json_t *body;
  int64_t at_ms;
} late_pace_t;

static int64_t
now_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

static int64_t
minion_clock_ms (const minion_t *minion)
{
  return now_ms () - minion->base_ms;
}

static void
item_free (gpointer data)
{
  g_free (((item_t *)data)->name);
  g_free (data);
}

static void
end_free (gpointer data)
{
  g_free (((item_end_t *)data)->name);
  g_free (data);
}

static void
register_minion (minion_t *minion)
{
  g_autofree char *text = g_strdup_printf (
      "{\"service\":\"%s\",\"address\":\"127.0.0.1:%u\",\"zone\":\"dc-0\","
      "\"version\":\"1\",\"capacity\":8,\"state\":\"ready\","
      "\"warmup_left_ms\":0,\"sequence\":1,\"room\":{\"cpu\":%u,"
      "\"mem_mb\":65536,\"gpu\":0},\"labels\":[\"a\",\"r1\"],\"born\":%" PRId64
      ",\"machine\":\"machine-%u\"}",
      minion->all->service, http_server_port (minion->server),
      minion->all->cpu, minion->born_ms, minion->index);

  if (minion->down)
    return;
  store_put (minion->all->store, "keyed.servers", minion->id, text);
}

static void
note_highest (minion_t *minion, const char *name, uint32_t attempt)
{
  uint32_t highest
      = GPOINTER_TO_UINT (g_hash_table_lookup (minion->highest, name));

  g_hash_table_insert (minion->highest, g_strdup (name),
                       GUINT_TO_POINTER (MAX (highest, attempt)));
}

static void
end_item (minion_t *minion, uint32_t index, const char *how)
{
  item_t *item = g_ptr_array_index (minion->items, index);
  item_end_t *end = g_new0 (item_end_t, 1);

  *end = (item_end_t){ ++minion->ends_count, g_strdup (item->name),
                       item->attempt, how };
  note_highest (minion, item->name, item->attempt);
  if (!item->serves && strcmp (how, "done") == 0)
    {
      minion->all->done++;
      g_hash_table_add (minion->all->done_names, g_strdup (item->name));
    }
  bed_note (minion->all->bed, "%s: %s, run %u, ends as %s", minion->id,
            item->name, item->attempt, how);
  g_ptr_array_add (minion->ends, end);
  g_ptr_array_remove_index (minion->items, index);
  g_cond_broadcast (&minion->all->changed);
}

/* The tail latency of what serves on MINION.  */
static uint32_t
tail_ms (const minion_t *minion)
{
  double tail = minion->all->users_ms;

  for (uint32_t i = 0; i < minion->items->len; i++)
    {
      const item_t *item = g_ptr_array_index (minion->items, i);

      if (!item->serves)
        tail += minion->all->harm_ms * (double)item->pace / 100;
    }
  return (uint32_t)tail;
}

static void
advance (minion_t *minion, int64_t passed_ms)
{
  int64_t clock_ms = minion_clock_ms (minion);

  for (uint32_t i = minion->items->len; i-- > 0;)
    {
      item_t *item = g_ptr_array_index (minion->items, i);

      if (!item->serves && item->stop_at_ms == 0)
        item->worked_ms += (double)passed_ms * item->pace / 100;
      if (item->stop_at_ms != 0 && item->stop_at_ms <= clock_ms)
        end_item (minion, i, "stopped");
      else if (minion->lease_end_ms <= clock_ms)
        end_item (minion, i, "lapsed");
      else if (!item->serves && item->worked_ms >= item->need_ms)
        end_item (minion, i, "done");
    }
}

static item_t *
find_item (const minion_t *minion, const char *name, uint32_t attempt)
{
  for (uint32_t i = 0; i < minion->items->len; i++)
    {
      item_t *item = g_ptr_array_index (minion->items, i);

      if (item->attempt == attempt && strcmp (item->name, name) == 0)
        return item;
    }
  return NULL;
}

static void
pace (minion_t *minion, const json_t *body, const char *name, uint32_t attempt)
{
  item_t *item = find_item (minion, name, attempt);
  uint32_t percent
      = (uint32_t)json_integer_value (json_object_get (body, "percent"));

  if (!item || item->pace == percent)
    return;
  item->pace = percent;
  bed_note (minion->all->bed, "%s: %s, run %u, is paced to %u%% by token %u",
            minion->id, name, attempt, percent, (unsigned)minion->token);
}

/* Carries out the paces whose time has come.  */
static void
carry_out_late (minions_t *all)
{
  for (uint32_t i = all->late->len; i-- > 0;)
    {
      late_pace_t *late = g_ptr_array_index (all->late, i);
      const char *name
          = json_string_value (json_object_get (late->body, "task"));

      if (late->at_ms > now_ms ())
        continue;
      bed_note (all->bed, "%s: an order of before is carried out now",
                late->minion->id);
      pace (late->minion, late->body, name,
            (uint32_t)json_integer_value (
                json_object_get (late->body, "attempt")));
      json_decref (late->body);
      g_free (late);
      g_ptr_array_remove_index (all->late, i);
    }
}

static gpointer
run_minions (gpointer data)
{
  minions_t *all = data;
  int64_t last_ms = now_ms ();
  int64_t report_ms = last_ms;

  g_mutex_lock (&all->lock);
  while (!all->stopping)
    {
      int64_t at_ms = now_ms ();

      for (uint32_t i = 0; i < all->list->len; i++)
        {
          advance (g_ptr_array_index (all->list, i), at_ms - last_ms);
          if (report_ms <= at_ms)
            register_minion (g_ptr_array_index (all->list, i));
        }
      carry_out_late (all);
      if (report_ms <= at_ms)
        report_ms = at_ms + REPORT_MS;
      last_ms = at_ms;
      g_mutex_unlock (&all->lock);
      g_usleep (TICK_US);
      g_mutex_lock (&all->lock);
    }
  g_mutex_unlock (&all->lock);
  return NULL;
}

static void
reply (struct MHD_Connection *conn, uint32_t status, json_t *root)
{
  char *text = json_dumps (root, JSON_COMPACT);

  http_reply (conn, status, text, strlen (text));
  free (text);
  json_decref (root);
}

static void
reply_plain (const minion_t *minion, struct MHD_Connection *conn,
             const char *reason)
{
  json_t *root
      = json_pack ("{s:I}", "clock_ms", (json_int_t)minion_clock_ms (minion));

  if (reason)
    json_object_set_new (root, "reason", json_string (reason));
  reply (conn, reason ? 409 : 200, root);
}

static void
extend_lease (minion_t *minion, int64_t deadline_ms)
{
  int64_t longest_ms = minion_clock_ms (minion) + HOLD_MAX_MS;

  minion->lease_end_ms
      = MAX (minion->lease_end_ms, MIN (deadline_ms, longest_ms));
}

/* Carries out a start; the reason why it is refused, or NULL.  */
static const char *
start (minion_t *minion, const json_t *body, const char *name,
       uint32_t attempt)
{
  const char *spec = json_string_value (json_object_get (body, "spec"));
  int64_t deadline_ms
      = json_integer_value (json_object_get (body, "deadline_ms"));
  item_t *item;

  if (find_item (minion, name, attempt))
    return NULL;
  if (deadline_ms <= minion_clock_ms (minion))
    return "late";
  extend_lease (minion, deadline_ms);
  if (attempt
      <= GPOINTER_TO_UINT (g_hash_table_lookup (minion->highest, name)))
    return "old";
  item = g_new0 (item_t, 1);
  item->name = g_strdup (name);
  item->attempt = attempt;
  item->serves = strcmp (spec, "serve") == 0;
  item->need_ms = item->serves ? 0 : strtod (spec + strlen ("fill "), NULL);
  item->pace = 100;
  item->started_ms = now_ms ();
  g_ptr_array_add (minion->items, item);
  bed_note (minion->all->bed, "%s: %s, run %u, is started (%s)", minion->id,
            name, attempt, spec);
  return NULL;
}

static void
stop (minion_t *minion, const char *name, uint32_t attempt)
{
  item_t *item = find_item (minion, name, attempt);

  note_highest (minion, name, attempt);
  if (item && item->stop_at_ms == 0)
    item->stop_at_ms = minion_clock_ms (minion) + STOP_MS;
}

static json_t *
lists (const minion_t *minion)
{
  json_t *running = json_array ();
  json_t *finished = json_array ();
  uint32_t tail = tail_ms (minion);

  for (uint32_t i = 0; i < minion->items->len; i++)
    {
      const item_t *item = g_ptr_array_index (minion->items, i);
      double percent = item->serves ? (double)(now_ms () - item->started_ms)
                                          * 100 / STARTUP_MS
                                    : item->worked_ms * 100 / item->need_ms;

      if (item->stop_at_ms == 0)
        json_array_append_new (
            running,
            json_pack ("[s,i,s,i,i]", item->name, (int)item->attempt, "",
                       (int)MIN (percent, 100),
                       item->serves ? (int)tail : (int)(item->pace * 10)));
    }
  for (uint32_t i = 0; i < minion->ends->len; i++)
    {
      const item_end_t *end = g_ptr_array_index (minion->ends, i);

      json_array_append_new (
          finished, json_pack ("[I,s,i,s,s]", (json_int_t)end->number,
                               end->name, (int)end->attempt, end->how, ""));
    }
  return json_pack ("{s:I,s:I,s:o,s:o}", "clock_ms",
                    (json_int_t)minion_clock_ms (minion), "born",
                    (json_int_t)minion->born_ms, "running", running,
                    "finished", finished);
}

static void
hold (minion_t *minion, struct MHD_Connection *conn, const json_t *body)
{
  uint64_t seen
      = (uint64_t)json_integer_value (json_object_get (body, "last_seen"));
  int64_t wait_ms = MIN (
      json_integer_value (json_object_get (body, "wait_ms")), WAIT_MAX_MS);
  int64_t end_us = g_get_monotonic_time () + wait_ms * 1000;

  extend_lease (minion,
                json_integer_value (json_object_get (body, "deadline_ms")));
  for (uint32_t i = minion->ends->len; i-- > 0;)
    if (((item_end_t *)g_ptr_array_index (minion->ends, i))->number <= seen)
      g_ptr_array_remove_index (minion->ends, i);
  while (
      minion->ends->len == 0 && !minion->all->stopping
      && g_cond_wait_until (&minion->all->changed, &minion->all->lock, end_us))
    if (minion->down)
      break;
  if (minion->down)
    http_close_unanswered (conn);
  else
    reply (conn, 200, lists (minion));
}

/* Keeps a pace for later and leaves it unanswered, if one more is due.  */
static bool
delay_pace (minion_t *minion, struct MHD_Connection *conn, const json_t *body)
{
  minions_t *all = minion->all;
  late_pace_t *late;

  if (all->late_paces == 0)
    return false;
  all->late_paces--;
  late = g_new0 (late_pace_t, 1);
  *late = (late_pace_t){ minion, json_deep_copy (body),
                         now_ms () + all->late_ms };
  g_ptr_array_add (all->late, late);
  bed_note (all->bed,
            "%s: the pace of %s to %d%% gets no answer and will be carried "
            "out in %u ms",
            minion->id, json_string_value (json_object_get (body, "task")),
            (int)json_integer_value (json_object_get (body, "percent")),
            all->late_ms);
  http_close_unanswered (conn);
  return true;
}

static void
carry_out (minion_t *minion, struct MHD_Connection *conn, const char *path,
           const json_t *body)
{
  const char *name = json_string_value (json_object_get (body, "task"));
  uint32_t attempt
      = (uint32_t)json_integer_value (json_object_get (body, "attempt"));
  uint64_t token
      = (uint64_t)json_integer_value (json_object_get (body, "fencing_token"));

  if (token < minion->token)
    {
      reply_plain (minion, conn, "fence");
      return;
    }
  minion->token = token;
  if (strcmp (path, "/hold") == 0)
    {
      hold (minion, conn, body);
      return;
    }
  if (!name)
    {
      http_reply (conn, 400, "", 0);
      return;
    }
  if (strcmp (path, "/run-start") == 0)
    {
      reply_plain (minion, conn, start (minion, body, name, attempt));
      return;
    }
  if (strcmp (path, "/pace") == 0 && delay_pace (minion, conn, body))
    return;
  if (strcmp (path, "/run-stop") == 0)
    stop (minion, name, attempt);
  else if (strcmp (path, "/pace") == 0)
    pace (minion, body, name, attempt);
  reply_plain (minion, conn, NULL);
}

static void
handle (void *ctx, struct MHD_Connection *conn, const char *method,
        const char *path, const GByteArray *body)
{
  minion_t *minion = ctx;
  const char *expected = MHD_lookup_connection_value (conn, MHD_HEADER_KIND,
                                                      "X-Expect-Instance");
  json_t *root = json_loadb ((const char *)body->data, body->len, 0, NULL);

  (void)method;
  g_mutex_lock (&minion->all->lock);
  if (minion->down)
    http_close_unanswered (conn);
  else if (expected && strcmp (expected, minion->id) != 0)
    http_reply (conn, 421, "", 0);
  else if (root)
    carry_out (minion, conn, path, root);
  else
    http_reply (conn, 400, "", 0);
  g_mutex_unlock (&minion->all->lock);
  json_decref (root);
}

static void
begin_life (minion_t *minion)
{
  g_free (minion->id);
  minion->id
      = g_strdup_printf ("minion-%u-%u", minion->index, minion->lives++);
  minion->born_ms = g_get_real_time () / 1000;
  minion->base_ms = now_ms () - 1000;
  minion->token = 0;
  minion->lease_end_ms = 0;
  minion->ends_count = 0;
}

void
minions_take_down (minions_t *all, uint32_t index)
{
  minion_t *minion = g_ptr_array_index (all->list, index);

  g_mutex_lock (&all->lock);
  minion->down = true;
  g_ptr_array_set_size (minion->items, 0);
  g_ptr_array_set_size (minion->ends, 0);
  g_hash_table_remove_all (minion->highest);
  store_put (all->store, "keyed.servers", minion->id, NULL);
  g_cond_broadcast (&all->changed);
  g_mutex_unlock (&all->lock);
}

void
minions_bring_up (minions_t *all, uint32_t index)
{
  minion_t *minion = g_ptr_array_index (all->list, index);

  g_mutex_lock (&all->lock);
  begin_life (minion);
  minion->down = false;
  register_minion (minion);
  g_mutex_unlock (&all->lock);
}

char *
minions_id (minions_t *all, uint32_t index)
{
  const minion_t *minion = g_ptr_array_index (all->list, index);
  char *id;

  g_mutex_lock (&all->lock);
  id = g_strdup (minion->down ? "" : minion->id);
  g_mutex_unlock (&all->lock);
  return id;
}

uint32_t
minions_items (minions_t *all, uint32_t index)
{
  const minion_t *minion = g_ptr_array_index (all->list, index);
  uint32_t count;

  g_mutex_lock (&all->lock);
  count = minion->items->len;
  g_mutex_unlock (&all->lock);
  return count;
}

minions_t *
minions_start (bed_t *bed, store_t *store, const char *service, uint32_t count,
               uint32_t cpu)
{
  minions_t *all = g_new0 (minions_t, 1);

  all->bed = bed;
  all->store = store;
  all->service = g_strdup (service);
  all->cpu = cpu;
  all->list = g_ptr_array_new ();
  all->late = g_ptr_array_new ();
  all->done_names
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_mutex_init (&all->lock);
  g_cond_init (&all->changed);
  for (uint32_t i = 0; i < count; i++)
    {
      minion_t *minion = g_new0 (minion_t, 1);

      minion->all = all;
      minion->index = i;
      begin_life (minion);
      minion->items = g_ptr_array_new_with_free_func (item_free);
      minion->ends = g_ptr_array_new_with_free_func (end_free);
      minion->highest
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      minion->server = http_server_start (handle, minion);
      g_ptr_array_add (all->list, minion);
    }
  all->thread = g_thread_new ("minions", run_minions, all);
  return all;
}

void
minions_stop (minions_t *all)
{
  g_mutex_lock (&all->lock);
  all->stopping = true;
  g_cond_broadcast (&all->changed);
  g_mutex_unlock (&all->lock);
  g_thread_join (all->thread);
  for (uint32_t i = 0; i < all->list->len; i++)
    http_server_stop (((minion_t *)g_ptr_array_index (all->list, i))->server);
}

void
minions_delay_paces (minions_t *all, uint32_t count, uint32_t ms)
{
  g_mutex_lock (&all->lock);
  all->late_paces = count;
  all->late_ms = ms;
  g_mutex_unlock (&all->lock);
}

void
minions_set_users (minions_t *all, uint32_t tail, uint32_t harm)
{
  g_mutex_lock (&all->lock);
  all->users_ms = tail;
  all->harm_ms = harm;
  g_mutex_unlock (&all->lock);
}

minions_count_t
minions_count (minions_t *all)
{
  minions_count_t count = { 0 };

  g_mutex_lock (&all->lock);
  count.done = all->done;
  for (uint32_t i = 0; i < all->list->len; i++)
    {
      const minion_t *minion = g_ptr_array_index (all->list, i);

      count.token = MAX (count.token, minion->token);
      for (uint32_t j = 0; j < minion->items->len; j++)
        {
          const item_t *item = g_ptr_array_index (minion->items, j);

          count.serving
              += item->serves && now_ms () - item->started_ms >= STARTUP_MS;
          count.filling += !item->serves;
          count.paused += !item->serves && item->pace == 0;
          count.working_ms += item->serves ? 0 : (uint32_t)item->worked_ms;
        }
    }
  g_mutex_unlock (&all->lock);
  return count;
}

bool
minions_runs (minions_t *all, const char *job)
{
  bool runs = false;

  g_mutex_lock (&all->lock);
  for (uint32_t i = 0; i < all->list->len; i++)
    {
      const minion_t *minion = g_ptr_array_index (all->list, i);

      for (uint32_t j = 0; j < minion->items->len; j++)
        runs |= g_str_has_prefix (
            ((item_t *)g_ptr_array_index (minion->items, j))->name, job);
    }
  g_mutex_unlock (&all->lock);
  return runs;
}

bool
minions_ended (minions_t *all, const char *job)
{
  GHashTableIter iter;
  gpointer name;
  bool ended = false;

  g_mutex_lock (&all->lock);
  g_hash_table_iter_init (&iter, all->done_names);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    ended |= g_str_has_prefix (name, job);
  g_mutex_unlock (&all->lock);
  return ended;
}

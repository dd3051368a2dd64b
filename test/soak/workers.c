#include "stand.h"
#include <jansson.h>
#include <microhttpd.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define REPORT_US 500000
#define TICK_US 5000
#define STOP_GRACE_MS 50

typedef struct task_run
{
  char *name;
  uint32_t attempt;
  int64_t start_ms;
  int64_t end_ms;
  bool stopping;
} task_run_t;

typedef struct task_end
{
  uint64_t number;
  char *name;
  uint32_t attempt;
  const char *how;
} task_end_t;

typedef struct late_order
{
  int64_t at_ms;
  char *path;
  json_t *body;
} late_order_t;

typedef struct worker
{
  workers_t *all;
  stand_server_t *server;
  uint32_t boot;
  char *id;
  int64_t born_ms;
  uint64_t token;
  int64_t lease_ms; /* clock of the worker */
  uint64_t ends_count;
  GPtrArray *runs;
  GPtrArray *ends;
  GPtrArray *late;
  GHashTable *barred; /* name -> highest attempt stopped or ended */
  int64_t mute_until_ms;
  uint32_t orders;
} worker_t;

struct workers
{
  store_t *store;
  char *service;
  GPtrArray *list;
  GMutex lock;
  GCond changed;
  GThread *thread;
  GHashTable *noted; /* names of tasks whose end as done was taken note of */
  uint32_t cores;
  uint32_t late_percent;
  uint32_t late_ms;
  uint32_t faults;
  bool stopping;
};

static int64_t
clock_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

static void
run_free (gpointer data)
{
  g_free (((task_run_t *)data)->name);
  g_free (data);
}

static void
end_free (gpointer data)
{
  g_free (((task_end_t *)data)->name);
  g_free (data);
}

static void
late_free (gpointer data)
{
  late_order_t *late = data;

  g_free (late->path);
  json_decref (late->body);
  g_free (late);
}

static void
broken (workers_t *all, const char *what, const char *name)
{
  all->faults++;
  printf ("broken: %s %s\n", what, name);
  fflush (stdout);
}

static void
end_run (worker_t *worker, uint32_t index, const char *how)
{
  task_run_t *run = g_ptr_array_index (worker->runs, index);
  task_end_t *end = g_new0 (task_end_t, 1);
  uint32_t barred
      = GPOINTER_TO_UINT (g_hash_table_lookup (worker->barred, run->name));

  *end = (task_end_t){ ++worker->ends_count, g_strdup (run->name),
                       run->attempt, how };
  g_hash_table_insert (worker->barred, g_strdup (run->name),
                       GUINT_TO_POINTER (MAX (barred, run->attempt)));
  g_ptr_array_add (worker->ends, end);
  g_ptr_array_remove_index (worker->runs, index);
  g_cond_broadcast (&worker->all->changed);
}

static void
report (worker_t *worker)
{
  g_autofree char *text = g_strdup_printf (
      "{\"service\":\"%s\",\"address\":\"127.0.0.1:%u\",\"zone\":\"dc\","
      "\"state\":\"ready\",\"room\":{\"cpu\":%u,\"mem_mb\":65536,\"gpu\":0},"
      "\"labels\":[\"a\",\"r1\"],\"born\":%" PRId64 "}",
      worker->all->service, stand_port (worker->server),
      worker->all->cores * 1000, worker->born_ms);

  store_put (worker->all->store, "keyed.servers", worker->id, text);
}

static void
boot (worker_t *worker)
{
  worker->boot++;
  g_free (worker->id);
  worker->id
      = g_strdup_printf ("w-%u-%u", stand_port (worker->server), worker->boot);
  worker->born_ms = g_get_real_time () / 1000;
  worker->token = worker->ends_count = 0;
  worker->lease_ms = 0;
  g_ptr_array_set_size (worker->runs, 0);
  g_ptr_array_set_size (worker->ends, 0);
  /* Orders name the boot they are for.  */
  g_ptr_array_set_size (worker->late, 0);
  g_hash_table_remove_all (worker->barred);
}

static bool
runs_elsewhere (const worker_t *worker, const char *name)
{
  for (uint32_t w = 0; w < worker->all->list->len; w++)
    {
      const worker_t *other = g_ptr_array_index (worker->all->list, w);

      for (uint32_t i = 0; i < other->runs->len; i++)
        if (strcmp (((task_run_t *)g_ptr_array_index (other->runs, i))->name,
                    name)
            == 0)
          return true;
    }
  return false;
}

static task_run_t *
find_run (const worker_t *worker, const char *name, uint32_t attempt)
{
  for (uint32_t i = 0; i < worker->runs->len; i++)
    {
      task_run_t *run = g_ptr_array_index (worker->runs, i);

      if (run->attempt == attempt && strcmp (run->name, name) == 0)
        return run;
    }
  return NULL;
}

static const char *
start_run (worker_t *worker, json_t *body)
{
  const char *name = json_string_value (json_object_get (body, "task"));
  uint32_t attempt
      = (uint32_t)json_integer_value (json_object_get (body, "attempt"));
  int64_t deadline_ms
      = json_integer_value (json_object_get (body, "deadline_ms"));
  const char *payload = json_string_value (json_object_get (body, "spec"));
  task_run_t *run;

  if (find_run (worker, name, attempt))
    return NULL;
  if (attempt <= GPOINTER_TO_UINT (g_hash_table_lookup (worker->barred, name)))
    return "old";
  if (deadline_ms <= clock_ms ())
    return "late";
  if (worker->runs->len >= worker->all->cores)
    return "room";
  if (runs_elsewhere (worker, name))
    broken (worker->all, "two runs at once of", name);
  if (g_hash_table_contains (worker->all->noted, name))
    broken (worker->all, "started again after its end was taken note of",
            name);
  run = g_new0 (task_run_t, 1);
  run->name = g_strdup (name);
  run->attempt = attempt;
  run->start_ms = clock_ms ();
  run->end_ms = run->start_ms + (int64_t)g_ascii_strtoull (payload, NULL, 10);
  worker->lease_ms = MAX (worker->lease_ms, deadline_ms);
  g_ptr_array_add (worker->runs, run);
  return NULL;
}

static void
stop_run (worker_t *worker, json_t *body)
{
  const char *name = json_string_value (json_object_get (body, "task"));
  uint32_t attempt
      = (uint32_t)json_integer_value (json_object_get (body, "attempt"));
  task_run_t *run = find_run (worker, name, attempt);
  uint32_t barred
      = GPOINTER_TO_UINT (g_hash_table_lookup (worker->barred, name));

  g_hash_table_insert (worker->barred, g_strdup (name),
                       GUINT_TO_POINTER (MAX (barred, attempt)));
  if (!run || run->stopping)
    return;
  run->stopping = true;
  run->end_ms = clock_ms () + STOP_GRACE_MS;
}

static void
take_note (worker_t *worker, uint64_t last_seen)
{
  for (uint32_t i = worker->ends->len; i-- > 0;)
    {
      task_end_t *end = g_ptr_array_index (worker->ends, i);

      if (end->number > last_seen)
        continue;
      if (strcmp (end->how, "done") == 0)
        g_hash_table_add (worker->all->noted, g_strdup (end->name));
      g_ptr_array_remove_index (worker->ends, i);
    }
}

static json_t *
lists_of (const worker_t *worker)
{
  json_t *runs = json_array ();
  json_t *ends = json_array ();

  for (uint32_t i = 0; i < worker->runs->len; i++)
    {
      const task_run_t *run = g_ptr_array_index (worker->runs, i);
      int64_t all_ms = MAX (run->end_ms - run->start_ms, 1);

      if (!run->stopping)
        json_array_append_new (
            runs,
            json_pack (
                "[s,i,s,i,i]", run->name, (int)run->attempt, "",
                (int)MIN ((clock_ms () - run->start_ms) * 100 / all_ms, 100),
                0));
    }
  for (uint32_t i = 0; i < worker->ends->len; i++)
    {
      const task_end_t *end = g_ptr_array_index (worker->ends, i);

      json_array_append_new (
          ends, json_pack ("[I,s,i,s,s]", (json_int_t)end->number, end->name,
                           (int)end->attempt, end->how, ""));
    }
  return json_pack ("{s:I,s:I,s:o,s:o}", "clock_ms", (json_int_t)clock_ms (),
                    "born", (json_int_t)worker->born_ms, "running", runs,
                    "finished", ends);
}

static void
reply_json (struct MHD_Connection *conn, uint32_t status, json_t *root)
{
  char *text = json_dumps (root, JSON_COMPACT);

  stand_reply (conn, status, text, strlen (text));
  free (text);
  json_decref (root);
}

static void
hold (worker_t *worker, struct MHD_Connection *conn, json_t *body)
{
  int64_t wait_ms = json_integer_value (json_object_get (body, "wait_ms"));
  uint32_t boot_before = worker->boot;

  take_note (worker, (uint64_t)json_integer_value (
                         json_object_get (body, "last_seen")));
  worker->lease_ms
      = MAX (worker->lease_ms,
             json_integer_value (json_object_get (body, "deadline_ms")));
  while (worker->ends->len == 0 && !worker->all->stopping
         && boot_before == worker->boot
         && g_cond_wait_until (&worker->all->changed, &worker->all->lock,
                               g_get_monotonic_time () + wait_ms * 1000))
    wait_ms = MAX (wait_ms - 20, 0);
  if (boot_before == worker->boot)
    reply_json (conn, 200, lists_of (worker));
  else
    stand_cut (conn);
}

static bool
is_late (worker_t *worker, const char *path, json_t *body)
{
  const workers_t *all = worker->all;
  late_order_t *late;
  uint32_t n = ++worker->orders;

  if (n * all->late_percent / 100 == (n - 1) * all->late_percent / 100)
    return false;
  late = g_new0 (late_order_t, 1);
  *late = (late_order_t){ clock_ms () + all->late_ms, g_strdup (path),
                          json_incref (body) };
  g_ptr_array_add (worker->late, late);
  return true;
}

static void
order (worker_t *worker, struct MHD_Connection *conn, const char *path,
       json_t *body)
{
  const char *reason = NULL;

  if (is_late (worker, path, body))
    {
      stand_cut (conn);
      return;
    }
  if (strcmp (path, "/run-start") == 0)
    reason = start_run (worker, body);
  else
    stop_run (worker, body);
  reply_json (conn, reason ? 409 : 200,
              reason
                  ? json_pack ("{s:I,s:s}", "clock_ms",
                               (json_int_t)clock_ms (), "reason", reason)
                  : json_pack ("{s:I}", "clock_ms", (json_int_t)clock_ms ()));
}

static void
on_call (void *ctx, struct MHD_Connection *conn, const char *method,
         const char *path, const GByteArray *bytes)
{
  worker_t *worker = ctx;
  const char *expected = MHD_lookup_connection_value (conn, MHD_HEADER_KIND,
                                                      "X-Expect-Instance");
  json_t *body = json_loadb ((const char *)bytes->data, bytes->len, 0, NULL);
  uint64_t token
      = (uint64_t)json_integer_value (json_object_get (body, "fencing_token"));

  (void)method;
  g_mutex_lock (&worker->all->lock);
  if (worker->mute_until_ms > clock_ms ())
    stand_cut (conn);
  else if (g_strcmp0 (expected, worker->id) != 0)
    stand_reply (conn, 421, "", 0);
  else if (token < worker->token)
    reply_json (conn, 409,
                json_pack ("{s:I,s:s}", "clock_ms", (json_int_t)clock_ms (),
                           "reason", "fence"));
  else
    {
      worker->token = token;
      if (strcmp (path, "/hold") == 0)
        hold (worker, conn, body);
      else
        order (worker, conn, path, body);
    }
  g_mutex_unlock (&worker->all->lock);
  json_decref (body);
}

/* What time brings about on WORKER.  */
static void
advance (worker_t *worker, int64_t now_ms)
{
  for (uint32_t i = worker->late->len; i-- > 0;)
    {
      late_order_t *late = g_ptr_array_index (worker->late, i);

      if (late->at_ms > now_ms)
        continue;
      if (strcmp (late->path, "/run-start") == 0)
        start_run (worker, late->body);
      else
        stop_run (worker, late->body);
      g_ptr_array_remove_index (worker->late, i);
    }
  for (uint32_t i = worker->runs->len; i-- > 0;)
    {
      const task_run_t *run = g_ptr_array_index (worker->runs, i);

      if (worker->lease_ms <= now_ms)
        end_run (worker, i, "lapsed");
      else if (run->end_ms <= now_ms)
        end_run (worker, i, run->stopping ? "stopped" : "done");
    }
}

static gpointer
tick (gpointer data)
{
  workers_t *all = data;
  int64_t report_us = 0;

  g_mutex_lock (&all->lock);
  while (!all->stopping)
    {
      bool due = g_get_monotonic_time () >= report_us;

      for (uint32_t i = 0; i < all->list->len; i++)
        {
          advance (g_ptr_array_index (all->list, i), clock_ms ());
          if (due)
            report (g_ptr_array_index (all->list, i));
        }
      if (due)
        report_us = g_get_monotonic_time () + REPORT_US;
      g_mutex_unlock (&all->lock);
      g_usleep (TICK_US);
      g_mutex_lock (&all->lock);
    }
  g_mutex_unlock (&all->lock);
  return NULL;
}

workers_t *
workers_start (store_t *store, const char *service, uint32_t count,
               uint32_t cores)
{
  workers_t *all = g_new0 (workers_t, 1);

  all->store = store;
  all->service = g_strdup (service);
  all->cores = cores;
  all->list = g_ptr_array_new ();
  all->noted = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_mutex_init (&all->lock);
  g_cond_init (&all->changed);
  for (uint32_t i = 0; i < count; i++)
    {
      worker_t *worker = g_new0 (worker_t, 1);

      worker->all = all;
      worker->runs = g_ptr_array_new_with_free_func (run_free);
      worker->ends = g_ptr_array_new_with_free_func (end_free);
      worker->late = g_ptr_array_new_with_free_func (late_free);
      worker->barred
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      worker->server = stand_serve (on_call, worker);
      boot (worker);
      g_ptr_array_add (all->list, worker);
    }
  all->thread = g_thread_new ("workers", tick, all);
  return all;
}

void
workers_stop (workers_t *all)
{
  g_mutex_lock (&all->lock);
  all->stopping = true;
  g_cond_broadcast (&all->changed);
  g_mutex_unlock (&all->lock);
  g_thread_join (all->thread);
  for (uint32_t i = 0; i < all->list->len; i++)
    {
      worker_t *worker = g_ptr_array_index (all->list, i);

      stand_close (worker->server);
      g_ptr_array_unref (worker->runs);
      g_ptr_array_unref (worker->ends);
      g_ptr_array_unref (worker->late);
      g_hash_table_unref (worker->barred);
      g_free (worker->id);
      g_free (worker);
    }
  g_ptr_array_unref (all->list);
  g_hash_table_unref (all->noted);
  g_mutex_clear (&all->lock);
  g_cond_clear (&all->changed);
  g_free (all->service);
  g_free (all);
}

void
workers_crash (workers_t *all, uint32_t index)
{
  worker_t *worker;

  g_mutex_lock (&all->lock);
  worker = g_ptr_array_index (all->list, index % all->list->len);
  store_put (all->store, "keyed.servers", worker->id, NULL);
  boot (worker);
  g_cond_broadcast (&all->changed);
  g_mutex_unlock (&all->lock);
}

void
workers_mute (workers_t *all, uint32_t index, uint32_t ms)
{
  g_mutex_lock (&all->lock);
  ((worker_t *)g_ptr_array_index (all->list, index % all->list->len))
      ->mute_until_ms
      = clock_ms () + ms;
  g_mutex_unlock (&all->lock);
}

void
workers_late (workers_t *all, uint32_t percent, uint32_t ms)
{
  g_mutex_lock (&all->lock);
  all->late_percent = percent;
  all->late_ms = ms;
  g_mutex_unlock (&all->lock);
}

uint32_t
workers_running (workers_t *all)
{
  uint32_t count = 0;

  g_mutex_lock (&all->lock);
  for (uint32_t i = 0; i < all->list->len; i++)
    count += ((worker_t *)g_ptr_array_index (all->list, i))->runs->len;
  g_mutex_unlock (&all->lock);
  return count;
}

uint32_t
workers_faults (workers_t *all)
{
  uint32_t faults;

  g_mutex_lock (&all->lock);
  faults = all->faults;
  g_mutex_unlock (&all->lock);
  return faults;
}

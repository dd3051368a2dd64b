/* Stand-ins of minions and of the machine service.

   A work item's `spec` says what it does: "work=MS fail=N cpu=N": it works for
   MS, or until it is stopped if MS is 0, and its runs with a number up to
   `fail` end `failed`.  */

#include "bed.h"
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#define HOLD_MAX_MS 10000
#define STOP_MS 50
#define HEARTBEAT_MS 1500
#define TICK_MS 10

typedef struct run
{
  char task[64];
  uint32_t attempt;
  int64_t began_ms;
  int64_t work_ms;
  uint32_t fail;
  int64_t cpu;
  int64_t stop_ms; /* 0: not being stopped */
} run_t;

typedef struct end
{
  uint64_t number;
  char task[64];
  uint32_t attempt;
  const char *how;
} end_t;

typedef struct minion
{
  char id[16];
  const char *service;
  const char *kind;
  uint16_t port;
  int64_t cpu;
  int64_t born_wall_ms;
  int64_t born_ms;
  bool down;
  uint64_t fence;
  int64_t lease_ms; /* on its own clock */
  GArray *runs;     /* run_t */
  GArray *ends;     /* end_t that are not taken note of */
  uint64_t ends_number;
  GHashTable *over; /* task -> highest run that was stopped or ended */
  int64_t heartbeat_ms;
  uint32_t sequence;
  int64_t busy_until_ms; /* it is unhealthy until then */
} minion_t;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t ended = PTHREAD_COND_INITIALIZER;
static minion_t minions[MINIONS_MAX];
static uint32_t minions_count;
static GArray *starts;   /* start_t */
static GArray *all_ends; /* end_t */
static char *break_id;
static int64_t break_ms;
static bool broken;
static uint32_t doubled;

static int64_t
clock_of (const minion_t *m)
{
  return now_ms () - m->born_ms + 1000;
}

static void
register_minion (minion_t *m, bool removed)
{
  g_autofree char *address = g_strdup_printf ("127.0.0.1:%u", m->port);
  g_autofree char *machine = g_strdup_printf ("m-%s", m->id);
  json_t *entry;
  char *text;

  m->heartbeat_ms = now_ms ();
  if (removed)
    {
      store_put ("keyed.servers", m->id, NULL);
      return;
    }
  entry = json_pack (
      "{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:{s:I,s:i,s:i},s:[s,s],s:I,s:i,s:I,s:s}",
      "service", m->service, "address", address, "zone", "zone-a", "version",
      "v1", "capacity", 8, "state", "ready", "warmup_left_ms", 0, "room",
      "cpu", (json_int_t)m->cpu, "mem_mb", 64000, "gpu", 0, "labels", m->kind,
      "r1-1", "clock_ms", (json_int_t)clock_of (m), "sequence",
      (int)++m->sequence, "born", (json_int_t)m->born_wall_ms, "machine",
      machine);
  text = json_dumps (entry, JSON_COMPACT);
  store_put ("keyed.servers", m->id, text);
  free (text);
  json_decref (entry);
}

static int64_t
spec_number (const char *spec, const char *name, int64_t fallback)
{
  const char *at = strstr (spec, name);

  return at ? g_ascii_strtoll (at + strlen (name), NULL, 10) : fallback;
}

static void
add_end (minion_t *m, const run_t *run, const char *how)
{
  end_t end
      = { .number = ++m->ends_number, .attempt = run->attempt, .how = how };
  uint32_t *over = g_hash_table_lookup (m->over, run->task);

  g_strlcpy (end.task, run->task, sizeof end.task);
  g_array_append_val (m->ends, end);
  g_array_append_val (all_ends, end);
  if (!over)
    {
      over = g_new0 (uint32_t, 1);
      g_hash_table_insert (m->over, g_strdup (run->task), over);
    }
  *over = MAX (*over, run->attempt);
  note ("end %s run %u on %s: %s", run->task, run->attempt, m->id, how);
  pthread_cond_broadcast (&ended);
}

static void
tick (minion_t *m)
{
  int64_t at_ms = now_ms ();

  if (m->down)
    return;
  for (guint i = m->runs->len; i-- > 0;)
    {
      run_t run = g_array_index (m->runs, run_t, i);
      const char *how = NULL;

      if (clock_of (m) > m->lease_ms)
        how = "lapsed";
      else if (run.stop_ms != 0 && at_ms >= run.stop_ms)
        how = "stopped";
      else if (run.work_ms > 0 && at_ms - run.began_ms >= run.work_ms)
        how = run.attempt <= run.fail ? "failed" : "done";
      if (!how)
        continue;
      g_array_remove_index (m->runs, i);
      add_end (m, &run, how);
    }
  if (at_ms - m->heartbeat_ms >= HEARTBEAT_MS)
    register_minion (m, false);
}

static void *
run_minions (void *arg)
{
  (void)arg;
  for (;;)
    {
      pthread_mutex_lock (&lock);
      for (uint32_t i = 0; i < minions_count; i++)
        tick (&minions[i]);
      pthread_mutex_unlock (&lock);
      sleep_ms (TICK_MS);
    }
  return NULL;
}

static run_t *
find_run (const minion_t *m, const char *task)
{
  for (guint i = 0; i < m->runs->len; i++)
    if (strcmp (g_array_index (m->runs, run_t, i).task, task) == 0)
      return &g_array_index (m->runs, run_t, i);
  return NULL;
}

/* Counts a start of TASK on M if another run of it is running, or one is
   done.  */
static void
check_doubled (const minion_t *m, const char *task, uint32_t attempt)
{
  bool done = false;

  for (guint i = 0; i < all_ends->len; i++)
    done |= strcmp (g_array_index (all_ends, end_t, i).task, task) == 0
            && strcmp (g_array_index (all_ends, end_t, i).how, "done") == 0;
  for (uint32_t i = 0; i < minions_count; i++)
    {
      const run_t *other = find_run (&minions[i], task);

      if (&minions[i] == m || minions[i].down || !other)
        continue;
      doubled++;
      note ("two runs at once of %s: run %u on %s, run %u on %s", task,
            other->attempt, minions[i].id, attempt, m->id);
    }
  if (!done)
    return;
  doubled++;
  note ("start after done: %s run %u", task, attempt);
}

static void
reply (const minion_t *m, http_req_t *req, int status, const char *reason)
{
  json_t *body = json_pack ("{s:I,s:I}", "clock_ms", (json_int_t)clock_of (m),
                            "born", (json_int_t)m->born_wall_ms);

  if (reason)
    json_object_set_new (body, "reason", json_string (reason));
  http_reply_json (req, status, body);
}

static void
extend_lease (minion_t *m, const json_t *body)
{
  int64_t until = json_integer_value (json_object_get (body, "deadline_ms"));

  m->lease_ms = MAX (m->lease_ms, MIN (until, clock_of (m) + HOLD_MAX_MS));
}

static void
start_run (minion_t *m, http_req_t *req, const json_t *body)
{
  const char *task = json_string_value (json_object_get (body, "task"));
  const char *spec = json_string_value (json_object_get (body, "spec"));
  uint32_t attempt
      = (uint32_t)json_integer_value (json_object_get (body, "attempt"));
  const uint32_t *over = g_hash_table_lookup (m->over, task);
  const run_t *present = find_run (m, task);
  run_t run = { .attempt = attempt, .began_ms = now_ms () };
  start_t start = { .attempt = attempt,
                    .minion = (uint32_t)(m - minions),
                    .at_ms = now_ms () };
  int64_t used = 0;

  if (json_integer_value (json_object_get (body, "deadline_ms"))
      <= clock_of (m))
    {
      reply (m, req, 409, "late");
      return;
    }
  extend_lease (m, body);
  if (present && present->attempt == attempt)
    {
      reply (m, req, 200, NULL);
      return;
    }
  if (present || (over && attempt <= *over))
    {
      reply (m, req, 409, "old");
      return;
    }
  run.work_ms = spec_number (spec, "work=", 500);
  run.fail = (uint32_t)spec_number (spec, "fail=", 0);
  run.cpu = spec_number (spec, "cpu=", 100);
  for (guint i = 0; i < m->runs->len; i++)
    used += g_array_index (m->runs, run_t, i).cpu;
  if (used + run.cpu > m->cpu)
    {
      reply (m, req, 409, "room");
      return;
    }
  g_strlcpy (run.task, task, sizeof run.task);
  g_strlcpy (start.task, task, sizeof start.task);
  g_array_append_val (m->runs, run);
  g_array_append_val (starts, start);
  check_doubled (m, task, attempt);
  note ("start %s run %u on %s of kind %s", task, attempt, m->id, m->kind);
  reply (m, req, 200, NULL);
}

static void
stop_run (minion_t *m, http_req_t *req, const json_t *body)
{
  const char *task = json_string_value (json_object_get (body, "task"));
  uint32_t attempt
      = (uint32_t)json_integer_value (json_object_get (body, "attempt"));
  run_t *run = find_run (m, task);
  uint32_t *over = g_hash_table_lookup (m->over, task);

  if (run && run->attempt <= attempt)
    {
      if (run->stop_ms == 0)
        run->stop_ms = now_ms () + STOP_MS;
    }
  else if (!run)
    {
      if (!over)
        {
          over = g_new0 (uint32_t, 1);
          g_hash_table_insert (m->over, g_strdup (task), over);
        }
      *over = MAX (*over, attempt);
    }
  reply (m, req, 200, NULL);
}

static void
hold (minion_t *m, http_req_t *req, const json_t *body)
{
  uint64_t seen
      = (uint64_t)json_integer_value (json_object_get (body, "last_seen"));
  int64_t end_ms
      = now_ms () + json_integer_value (json_object_get (body, "wait_ms"));
  int64_t born = m->born_wall_ms;
  json_t *running = json_array ();
  json_t *finished = json_array ();

  if (json_object_get (body, "deadline_ms"))
    extend_lease (m, body);
  while (m->ends->len > 0 && g_array_index (m->ends, end_t, 0).number <= seen)
    g_array_remove_index (m->ends, 0);
  while (m->ends->len == 0 && now_ms () < end_ms && !m->down
         && m->born_wall_ms == born)
    {
      pthread_mutex_unlock (&lock);
      sleep_ms (5);
      pthread_mutex_lock (&lock);
    }
  if (m->down || m->born_wall_ms != born)
    {
      json_decref (running);
      json_decref (finished);
      http_reset (req);
      return;
    }
  for (guint i = 0; i < m->runs->len; i++)
    {
      const run_t *run = &g_array_index (m->runs, run_t, i);
      int64_t ran_ms = now_ms () - run->began_ms;

      if (run->stop_ms == 0)
        json_array_append_new (
            running,
            json_pack ("[s,i,s,i,i]", run->task, (int)run->attempt, "",
                       run->work_ms
                           ? (int)MIN (ran_ms * 100 / run->work_ms, 100)
                           : 100,
                       (int)run->cpu));
    }
  for (guint i = 0; i < MIN (m->ends->len, 500); i++)
    {
      const end_t *end = &g_array_index (m->ends, end_t, i);

      json_array_append_new (
          finished, json_pack ("[I,s,i,s,s]", (json_int_t)end->number,
                               end->task, (int)end->attempt, end->how, ""));
    }
  http_reply_json (req, 200,
                   json_pack ("{s:I,s:I,s:o,s:o}", "clock_ms",
                              (json_int_t)clock_of (m), "born",
                              (json_int_t)m->born_wall_ms, "running", running,
                              "finished", finished));
}

static bool
breaks_at (const json_t *body)
{
  const char *task = json_string_value (json_object_get (body, "task"));

  return break_id && !broken && g_str_has_prefix (task, break_id);
}

static void
handle (uint32_t index, http_req_t *req)
{
  minion_t *m = &minions[index];
  json_t *body = json_loadb (req->body, req->len, 0, NULL);
  uint64_t token
      = (uint64_t)json_integer_value (json_object_get (body, "fencing_token"));

  pthread_mutex_lock (&lock);
  if (m->down)
    http_reset (req);
  else if (now_ms () < m->busy_until_ms)
    {
      if (strcmp (req->path, "/run-start") == 0)
        note ("%s answers 503 to a start: %s", m->id, req->body);
      http_reply (req, 503, "", 0);
    }
  else if (!body)
    http_reply (req, 400, "", 0);
  else if (token < m->fence)
    reply (m, req, 409, "fence");
  else
    {
      m->fence = token;
      if (strcmp (req->path, "/hold") == 0)
        hold (m, req, body);
      else if (strcmp (req->path, "/run-start") == 0 && breaks_at (body))
        {
          http_req_t unanswered = *req;

          unanswered.fd = -1;
          start_run (m, &unanswered, body);
          broken = true;
          m->busy_until_ms = now_ms () + break_ms;
          note ("%s resets the channel; 503 from now on", m->id);
          http_reset (req);
        }
      else if (strcmp (req->path, "/run-start") == 0)
        start_run (m, req, body);
      else if (strcmp (req->path, "/run-stop") == 0)
        stop_run (m, req, body);
      else
        reply (m, req, 200, NULL);
    }
  pthread_mutex_unlock (&lock);
  json_decref (body);
}

static void
boot (minion_t *m, const char *kind)
{
  m->kind = kind;
  m->born_ms = now_ms ();
  m->born_wall_ms = g_get_real_time () / 1000;
  m->fence = 0;
  m->lease_ms = 0;
  m->ends_number = 0;
  m->sequence = 0;
  g_array_set_size (m->runs, 0);
  g_array_set_size (m->ends, 0);
  g_hash_table_remove_all (m->over);
  m->down = false;
  register_minion (m, false);
}

void
minions_open (const char *service, uint32_t count, const char *kind,
              int64_t cpu)
{
  pthread_t thread;

  starts = g_array_new (FALSE, TRUE, sizeof (start_t));
  all_ends = g_array_new (FALSE, TRUE, sizeof (end_t));
  for (uint32_t i = 0; i < count; i++)
    {
      minion_t *m = &minions[i];

      g_snprintf (m->id, sizeof m->id, "i-%u", i + 1);
      m->service = service;
      m->cpu = cpu;
      m->runs = g_array_new (FALSE, TRUE, sizeof (run_t));
      m->ends = g_array_new (FALSE, TRUE, sizeof (end_t));
      m->over
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
      m->port = http_listen (handle, i);
      boot (m, kind);
    }
  minions_count = count;
  if (pthread_create (&thread, NULL, run_minions, NULL) != 0)
    give_up ("no thread");
  pthread_detach (thread);
}

void
minions_restart (uint32_t count, int64_t down_ms, const char *kind)
{
  pthread_mutex_lock (&lock);
  for (uint32_t i = 0; i < count; i++)
    {
      minions[i].down = true;
      note ("minion %s crashes", minions[i].id);
    }
  pthread_mutex_unlock (&lock);
  sleep_ms (down_ms);
  pthread_mutex_lock (&lock);
  for (uint32_t i = 0; i < count; i++)
    {
      boot (&minions[i], kind);
      note ("minion %s is back, kind %s", minions[i].id, kind);
    }
  pthread_mutex_unlock (&lock);
}

void
minion_break_at (const char *id, int64_t ms)
{
  pthread_mutex_lock (&lock);
  break_id = g_strdup (id);
  break_ms = ms;
  pthread_mutex_unlock (&lock);
}

bool
minion_broke (void)
{
  bool yes;

  pthread_mutex_lock (&lock);
  yes = broken;
  pthread_mutex_unlock (&lock);
  return yes;
}

uint32_t
doubled_starts (void)
{
  uint32_t count;

  pthread_mutex_lock (&lock);
  count = doubled;
  pthread_mutex_unlock (&lock);
  return count;
}

const char *
minion_kind (uint32_t index)
{
  return minions[index].kind;
}

GArray *
starts_of (const char *id)
{
  GArray *found = g_array_new (FALSE, TRUE, sizeof (start_t));

  pthread_mutex_lock (&lock);
  for (guint i = 0; i < starts->len; i++)
    if (g_str_has_prefix (g_array_index (starts, start_t, i).task, id))
      g_array_append_val (found, g_array_index (starts, start_t, i));
  pthread_mutex_unlock (&lock);
  return found;
}

int64_t
ends_of (const char *id, const char *how)
{
  int64_t count = 0;

  pthread_mutex_lock (&lock);
  for (guint i = 0; i < all_ends->len; i++)
    count += g_str_has_prefix (g_array_index (all_ends, end_t, i).task, id)
             && strcmp (g_array_index (all_ends, end_t, i).how, how) == 0;
  pthread_mutex_unlock (&lock);
  return count;
}

static void
handle_machines (uint32_t index, http_req_t *req)
{
  json_t *rows = json_array ();

  (void)index;
  if (strcmp (req->method, "GET") != 0)
    {
      json_decref (rows);
      note ("order to the machine service: %s %s", req->path, req->body);
      http_reply_json (req, 409, json_pack ("{s:s}", "reason", "busy"));
      return;
    }
  pthread_mutex_lock (&lock);
  for (uint32_t i = 0; i < minions_count; i++)
    {
      const minion_t *m = &minions[i];
      g_autofree char *machine = g_strdup_printf ("m-%s", m->id);

      json_array_append_new (
          rows, json_pack ("{s:s,s:s,s:s,s:s,s:[s,s],s:{s:I,s:i,s:i},s:s}",
                           "machine", machine, "pool", m->service, "state",
                           m->down ? "down" : "up", "zone", "zone-a", "labels",
                           m->kind, "r1-1", "room", "cpu", (json_int_t)m->cpu,
                           "mem_mb", 64000, "gpu", 0, "id", m->id));
    }
  pthread_mutex_unlock (&lock);
  http_reply_json (req, 200,
                   json_pack ("{s:o,s:n}", "machines", rows, "next_token"));
}

uint16_t
machines_open (void)
{
  return http_listen (handle_machines, 0);
}

static void
handle_advice (uint32_t index, http_req_t *req)
{
  static pthread_mutex_t turn = PTHREAD_MUTEX_INITIALIZER;
  static uint32_t waiting;
  static uint32_t ticket;
  json_t *body = json_loadb (req->body, req->len, 0, NULL);
  const json_t *workers = json_object_get (body, "workers");
  json_t *allowed = json_array ();
  uint32_t before = __atomic_fetch_add (&waiting, 1, __ATOMIC_SEQ_CST);

  (void)index;
  note ("advice asked for %s, %zu minions, %u calls wait",
        json_string_value (json_object_get (body, "step")),
        json_array_size (workers), before);
  if (before >= 32)
    {
      http_reply (req, 429, "", 0);
      json_decref (allowed);
    }
  else
    {
      pthread_mutex_lock (&turn);
      sleep_ms (advice_decide_ms
                + (int64_t)advice_period_ms * json_array_size (workers));
      for (size_t i = 0; i < json_array_size (workers); i++)
        {
          g_autofree char *text = g_strdup_printf ("t-%u", ++ticket);

          json_array_append_new (
              allowed,
              json_pack ("[s,s]",
                         json_string_value (json_array_get (workers, i)),
                         text));
        }
      http_reply_json (
          req, 200,
          json_pack ("{s:o,s:i}", "allowed", allowed, "valid_ms", 5000));
      pthread_mutex_unlock (&turn);
    }
  __atomic_fetch_sub (&waiting, 1, __ATOMIC_SEQ_CST);
  json_decref (body);
}

uint16_t
advice_open (void)
{
  return http_listen (handle_advice, 0);
}

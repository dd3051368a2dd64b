/* gang - a minion crashes while gangs that save their progress run

   The workers are stand-ins of this file.  A gang's work items work from the
   moment when all of one run are present; as PROTOCOL.md says that "all must
   carry the same value" of checkpoint, a work item that carries another value
   isn't present in the others' run.  One that waits for gang_timeout_ms ends
   `alone`.  The value says how much work is done, for the whole gang.  */

#include "bed2.h"
#include <jansson.h>
#include <microhttpd.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DAEMONS 3
#define WORKERS 20
#define CORES 16
#define JOBS 40
#define MEMBERS 4
#define WORK_MS 10000
/* Bounds of sites/valtel-sched.toml.  */
#define HOLD_MAX_MS 6000
#define STOP_GRACE_MS 150 /* at most 200 */
#define GANG_TIMEOUT_MS 3000
#define CHECKPOINT_MS 500
#define RESTORE_MS 600
#define BEAT_MS 1500
/* `srv_crash`, how dark: share 0.05, for_s 3.6.  One of 20 is that share.  */
#define CRASH_MS 3600
#define CRASH_AT_MS 5000
/* Ends `alone` count from then on, after the minion is back.  */
#define CALM_MS 9000
#define OBSERVED_MS 45000

typedef struct run
{
  char task[64];
  char gang[64]; /* the name without the index, and the attempt */
  uint32_t attempt;
  char start_value[32];
  int64_t started_ms;
  int64_t work_from_ms; /* 0: waits for the others */
  int64_t done_before_ms;
  int64_t stopping_ms; /* 0: not */
} run_t;

typedef struct end
{
  uint64_t number;
  char task[64];
  uint32_t attempt;
  const char *how;
  char saved[32];
} end_t;

typedef struct minion
{
  http_server_t *server;
  char id[32];
  uint32_t index;
  uint32_t boots;
  int64_t born_ms;
  int64_t clock_base_ms;
  uint64_t fence;
  int64_t lease_ms; /* on its clock */
  uint64_t ends_count;
  GArray *runs; /* run_t */
  GArray *ends; /* end_t */
  GHashTable *highest;
  int64_t dark_until_ms; /* 0: up */
  int64_t beat_ms;
} minion_t;

static bed_t *bed;
static minion_t minions[WORKERS];
static GMutex lock;
static GCond changed;
static int64_t crash_ms; /* when the crash began; 0: not yet */
static uint32_t alone_calm;
static uint32_t mixed;
static bool closing;

static int64_t
clock_of (const minion_t *m)
{
  return bed_ms () - m->clock_base_ms;
}

static void
make_value (const run_t *run, int64_t now, char value[32])
{
  int64_t work = run->done_before_ms;

  if (run->work_from_ms && now > run->work_from_ms)
    work += now - run->work_from_ms;
  work = MIN (work, WORK_MS) / CHECKPOINT_MS * CHECKPOINT_MS;
  if (work == 0)
    value[0] = '\0';
  else
    snprintf (value, 32, "%08x%.8s", (unsigned)work, run->task + 4);
}

static void
end_run (minion_t *m, guint at, const char *how)
{
  run_t *run = &g_array_index (m->runs, run_t, at);
  end_t end
      = { .number = ++m->ends_count, .attempt = run->attempt, .how = how };
  int64_t now = bed_ms ();

  g_strlcpy (end.task, run->task, sizeof end.task);
  make_value (run, now, end.saved);
  bed_note ("%s: run %u of %s ends %s, saved \"%s\"", m->id, run->attempt,
            run->task, how, end.saved);
  if (strcmp (how, "alone") == 0 && crash_ms && now - crash_ms > CALM_MS)
    alone_calm++;
  g_hash_table_insert (
      m->highest, g_strdup (run->task),
      GUINT_TO_POINTER (MAX (
          run->attempt,
          GPOINTER_TO_UINT (g_hash_table_lookup (m->highest, run->task)))));
  g_array_append_val (m->ends, end);
  g_array_remove_index (m->runs, at);
  g_cond_broadcast (&changed);
}

/* Ends the other members of GANG as broken.  */
static void
break_gang (const char *gang)
{
  char name[64];

  g_strlcpy (name, gang, sizeof name);
  for (uint32_t w = 0; w < WORKERS; w++)
    for (guint i = minions[w].runs->len; i-- > 0;)
      {
        run_t *run = &g_array_index (minions[w].runs, run_t, i);

        if (strcmp (run->gang, name) == 0 && run->work_from_ms)
          end_run (&minions[w], i, "broken");
      }
}

/* The members of RUN's run that are present with the same value.  */
static uint32_t
count_present (const run_t *run)
{
  uint32_t count = 0;

  for (uint32_t w = 0; w < WORKERS; w++)
    for (guint i = 0; i < minions[w].runs->len; i++)
      {
        const run_t *other = &g_array_index (minions[w].runs, run_t, i);

        count += strcmp (other->gang, run->gang) == 0
                 && strcmp (other->start_value, run->start_value) == 0
                 && !other->stopping_ms;
      }
  return count;
}

static void
begin_work (const run_t *run)
{
  char gang[64];
  char value[32];
  int64_t now = bed_ms ();

  g_strlcpy (gang, run->gang, sizeof gang);
  g_strlcpy (value, run->start_value, sizeof value);
  bed_note ("gang %s works from \"%s\"", gang, value);
  for (uint32_t w = 0; w < WORKERS; w++)
    for (guint i = 0; i < minions[w].runs->len; i++)
      {
        run_t *other = &g_array_index (minions[w].runs, run_t, i);

        if (strcmp (other->gang, gang) == 0)
          other->work_from_ms = now + (value[0] ? RESTORE_MS : 0);
      }
}

/* Notes if the members of RUN's run carry different values.  */
static void
check_values (const run_t *run)
{
  for (uint32_t w = 0; w < WORKERS; w++)
    for (guint i = 0; i < minions[w].runs->len; i++)
      {
        const run_t *other = &g_array_index (minions[w].runs, run_t, i);

        if (strcmp (other->gang, run->gang) != 0
            || strcmp (other->start_value, run->start_value) == 0)
          continue;
        mixed++;
        bed_note ("the members %s and %s of run %u carry different values: "
                  "\"%s\" and \"%s\"",
                  run->task, other->task, run->attempt, run->start_value,
                  other->start_value);
        return;
      }
}

static const char *
start (minion_t *m, json_t *body)
{
  const char *task = json_string_value (json_object_get (body, "task"));
  const char *value = json_string_value (json_object_get (body, "checkpoint"));
  uint32_t attempt
      = (uint32_t)json_integer_value (json_object_get (body, "attempt"));
  int64_t deadline
      = json_integer_value (json_object_get (body, "deadline_ms"));
  run_t run = { .attempt = attempt, .started_ms = bed_ms () };

  for (guint i = 0; i < m->runs->len; i++)
    {
      const run_t *old = &g_array_index (m->runs, run_t, i);

      if (old->attempt == attempt && strcmp (old->task, task) == 0)
        return NULL;
    }
  if (attempt <= GPOINTER_TO_UINT (g_hash_table_lookup (m->highest, task)))
    return "old";
  if (deadline <= clock_of (m))
    return "late";
  if (m->runs->len >= CORES)
    return "room";
  m->lease_ms = MAX (m->lease_ms, MIN (deadline, clock_of (m) + HOLD_MAX_MS));
  g_strlcpy (run.task, task, sizeof run.task);
  g_strlcpy (run.start_value, value ? value : "", sizeof run.start_value);
  snprintf (run.gang, sizeof run.gang, "%.*s/%u",
            (int)(strrchr (task, '.') - task), task, attempt);
  if (value)
    {
      char work[9] = { 0 };

      g_strlcpy (work, value, sizeof work);
      run.done_before_ms = strtol (work, NULL, 16);
    }
  bed_note ("%s: start of run %u of %s with checkpoint \"%s\"", m->id, attempt,
            task, run.start_value);
  g_array_append_val (m->runs, run);
  check_values (&run);
  if (count_present (&run) == MEMBERS)
    begin_work (&run);
  return NULL;
}

static void
stop (minion_t *m, json_t *body)
{
  const char *task = json_string_value (json_object_get (body, "task"));
  uint32_t attempt
      = (uint32_t)json_integer_value (json_object_get (body, "attempt"));
  uint32_t highest = GPOINTER_TO_UINT (g_hash_table_lookup (m->highest, task));

  g_hash_table_insert (m->highest, g_strdup (task),
                       GUINT_TO_POINTER (MAX (highest, attempt)));
  for (guint i = 0; i < m->runs->len; i++)
    {
      run_t *run = &g_array_index (m->runs, run_t, i);

      if (run->attempt == attempt && strcmp (run->task, task) == 0
          && !run->stopping_ms)
        run->stopping_ms = bed_ms ();
    }
}

static json_t *
lists (const minion_t *m)
{
  json_t *running = json_array ();
  json_t *finished = json_array ();
  int64_t now = bed_ms ();

  for (guint i = 0; i < m->runs->len; i++)
    {
      const run_t *run = &g_array_index (m->runs, run_t, i);
      char value[32];
      int64_t work
          = run->done_before_ms
            + (run->work_from_ms ? MAX (now - run->work_from_ms, 0) : 0);

      if (run->stopping_ms)
        continue;
      make_value (run, now, value);
      json_array_append_new (
          running,
          json_pack ("[s,i,s,i,i]", run->task, (int)run->attempt, value,
                     (int)(MIN (work, WORK_MS) * 100 / WORK_MS),
                     run->work_from_ms ? 1000 : 0));
    }
  for (guint i = 0; i < m->ends->len && i < 500; i++)
    {
      const end_t *end = &g_array_index (m->ends, end_t, i);

      json_array_append_new (finished,
                             json_pack ("[I,s,i,s,s]", (json_int_t)end->number,
                                        end->task, (int)end->attempt, end->how,
                                        end->saved));
    }
  return json_pack ("{s:I,s:I,s:o,s:o}", "clock_ms", (json_int_t)clock_of (m),
                    "born", (json_int_t)m->born_ms, "running", running,
                    "finished", finished);
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
hold (minion_t *m, struct MHD_Connection *conn, json_t *body)
{
  uint64_t seen
      = (uint64_t)json_integer_value (json_object_get (body, "last_seen"));
  int64_t deadline
      = json_integer_value (json_object_get (body, "deadline_ms"));
  int64_t end_us
      = g_get_monotonic_time ()
        + json_integer_value (json_object_get (body, "wait_ms")) * 1000;
  uint32_t boots = m->boots;

  while (m->ends->len > 0 && g_array_index (m->ends, end_t, 0).number <= seen)
    g_array_remove_index (m->ends, 0);
  if (deadline > 0)
    m->lease_ms
        = MAX (m->lease_ms, MIN (deadline, clock_of (m) + HOLD_MAX_MS));
  while (m->ends->len == 0 && boots == m->boots && !closing
         && !m->dark_until_ms && g_cond_wait_until (&changed, &lock, end_us))
    ;
  if (boots != m->boots || m->dark_until_ms)
    http_close_unanswered (conn);
  else
    reply (conn, 200, lists (m));
}

static void
handle (void *ctx, struct MHD_Connection *conn, const char *method,
        const char *path, const GByteArray *bytes)
{
  minion_t *m = ctx;
  const char *expected = MHD_lookup_connection_value (conn, MHD_HEADER_KIND,
                                                      "X-Expect-Instance");
  json_t *body = json_loadb ((const char *)bytes->data, bytes->len, 0, NULL);
  uint64_t fence
      = (uint64_t)json_integer_value (json_object_get (body, "fencing_token"));
  const char *reason = NULL;

  (void)method;
  g_mutex_lock (&lock);
  if (m->dark_until_ms)
    http_close_unanswered (conn);
  else if (g_strcmp0 (expected, m->id) != 0)
    http_reply (conn, 421, "", 0);
  else
    {
      if (fence < m->fence)
        reason = "fence";
      m->fence = MAX (m->fence, fence);
      if (!reason && strcmp (path, "/hold") == 0)
        hold (m, conn, body);
      else
        {
          if (!reason && strcmp (path, "/run-start") == 0)
            reason = start (m, body);
          else if (!reason && strcmp (path, "/run-stop") == 0)
            stop (m, body);
          reply (
              conn, reason ? 409 : 200,
              reason
                  ? json_pack ("{s:I,s:s}", "clock_ms",
                               (json_int_t)clock_of (m), "reason", reason)
                  : json_pack ("{s:I}", "clock_ms", (json_int_t)clock_of (m)));
        }
    }
  g_mutex_unlock (&lock);
  json_decref (body);
}

static void
publish (minion_t *m)
{
  g_autofree char *text = g_strdup_printf (
      "{\"service\":\"s\",\"address\":\"127.0.0.1:%u\",\"zone\":\"dc-0\","
      "\"version\":\"1\",\"capacity\":8,\"state\":\"ready\","
      "\"warmup_left_ms\":0,\"sequence\":%" PRId64 ",\"machine\":\"m%u\","
      "\"room\":{\"cpu\":%u,\"mem_mb\":65536,\"gpu\":0},"
      "\"labels\":[\"a\",\"r%u\"],\"born\":%" PRId64 "}",
      http_server_port (m->server), bed_ms (), m->index, CORES * 1000,
      m->index / 4, m->born_ms);

  store_put (bed->store, "keyed.servers", m->id, text);
  m->beat_ms = bed_ms () + BEAT_MS;
}

static void
boot (minion_t *m)
{
  m->boots++;
  snprintf (m->id, sizeof m->id, "w%u-%u", m->index, m->boots);
  m->born_ms = g_get_real_time () / 1000;
  m->clock_base_ms = bed_ms () - 1000;
  m->fence = 0;
  m->lease_ms = 0;
  m->ends_count = 0;
  g_array_set_size (m->runs, 0);
  g_array_set_size (m->ends, 0);
  g_hash_table_remove_all (m->highest);
  m->dark_until_ms = 0;
  publish (m);
}

static void
crash (minion_t *m)
{
  g_autoptr (GPtrArray) gangs = g_ptr_array_new_with_free_func (g_free);

  bed_note ("%s crashes, for %d ms", m->id, CRASH_MS);
  crash_ms = bed_ms ();
  for (guint i = 0; i < m->runs->len; i++)
    g_ptr_array_add (gangs, g_strdup (g_array_index (m->runs, run_t, i).gang));
  g_array_set_size (m->runs, 0);
  m->dark_until_ms = bed_ms () + CRASH_MS;
  for (guint i = 0; i < gangs->len; i++)
    break_gang (g_ptr_array_index (gangs, i));
  g_cond_broadcast (&changed);
}

/* Ends what is due on M.  */
static void
advance (minion_t *m)
{
  int64_t now = bed_ms ();

  for (guint i = m->runs->len; i-- > 0;)
    {
      run_t *run = &g_array_index (m->runs, run_t, i);
      char gang[64];
      const char *how = NULL;

      if (m->lease_ms <= clock_of (m))
        how = "lapsed";
      else if (run->stopping_ms && now - run->stopping_ms >= STOP_GRACE_MS)
        how = "stopped";
      else if (run->work_from_ms
               && now - run->work_from_ms + run->done_before_ms >= WORK_MS)
        how = "done";
      else if (!run->work_from_ms && !run->stopping_ms
               && now - run->started_ms >= GANG_TIMEOUT_MS)
        how = "alone";
      if (!how)
        continue;
      g_strlcpy (gang, run->gang, sizeof gang);
      end_run (m, i, how);
      if (strcmp (how, "done") != 0)
        {
          break_gang (gang);
          return; /* the list has changed */
        }
    }
}

static gpointer
run_minions (gpointer data)
{
  g_mutex_lock (&lock);
  while (!closing)
    {
      for (uint32_t w = 0; w < WORKERS; w++)
        {
          minion_t *m = &minions[w];

          if (m->dark_until_ms && bed_ms () < m->dark_until_ms)
            continue;
          if (m->dark_until_ms)
            {
              store_put (bed->store, "keyed.servers", m->id, NULL);
              boot (m);
              bed_note ("%s is up", m->id);
            }
          advance (m);
          if (bed_ms () >= m->beat_ms)
            publish (m);
        }
      g_mutex_unlock (&lock);
      g_usleep (5000);
      g_mutex_lock (&lock);
    }
  g_mutex_unlock (&lock);
  return data;
}

int
main (void)
{
  bool trouble = bed_trouble ();
  uint32_t complete = 0;
  int64_t from_ms;

  bed = bed_new (DAEMONS);
  bed_publish_config (bed);
  for (uint32_t w = 0; w < WORKERS; w++)
    {
      minion_t *m = &minions[w];

      m->index = w;
      m->runs = g_array_new (FALSE, TRUE, sizeof (run_t));
      m->ends = g_array_new (FALSE, TRUE, sizeof (end_t));
      m->highest
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      m->server = http_server_start (handle, m);
      boot (m);
    }
  g_thread_new ("minions", run_minions, NULL);
  bed_start_all (bed);
  bed_run (bed, 1500);
  from_ms = bed_ms ();
  for (uint32_t i = 0; i < JOBS; i++)
    {
      g_autofree char *id = g_strdup_printf ("%016x", 0xa0 + i);
      g_autofree char *job = g_strdup_printf (
          "{\"spec\":\"gang\",\"steps\":[{\"count\":%d,\"cpu\":1000,"
          "\"mem_mb\":64,\"estimate_ms\":%d,\"gang\":true,"
          "\"checkpointing\":true,\"anti_affinity\":1}]}",
          MEMBERS, WORK_MS);

      bed_require (bed, bed_submit (bed, id, job, 3000) == 200,
                   "a job is not accepted");
      bed_run (bed, 30);
    }
  bed_run (bed, CRASH_AT_MS - (bed_ms () - from_ms));
  g_mutex_lock (&lock);
  if (trouble)
    {
      uint32_t most = 0;

      for (uint32_t w = 1; w < WORKERS; w++)
        if (minions[w].runs->len > minions[most].runs->len)
          most = w;
      crash (&minions[most]);
    }
  else
    crash_ms = bed_ms ();
  g_mutex_unlock (&lock);
  bed_run (bed, OBSERVED_MS);
  for (uint32_t i = 0; i < JOBS; i++)
    {
      g_autofree char *id = g_strdup_printf ("%016x", 0xa0 + i);
      bool done = bed_get (bed, id, "complete", 0);

      complete += done;
    }
  g_mutex_lock (&lock);
  bed_note ("%u of %d jobs are complete %d ms after the crash; each takes %d "
            "ms",
            complete, JOBS, OBSERVED_MS, WORK_MS);
  bed_note ("%u runs ended alone later than %d ms after the crash; %u starts "
            "carried another value than a member of their run",
            alone_calm, CALM_MS, mixed);
  printf ("complete %u alone %u mixed %u\n", complete, alone_calm, mixed);
  closing = true;
  g_mutex_unlock (&lock);
  bed_end (bed, alone_calm > 0 || complete < JOBS);
}

#include "standin.h"
#include <inttypes.h>
#include <string.h>

#define STRIPES 64
#define TEAMS_MAX 128
#define TEAM_BYTES 64

/* Ids are stored as 64-bit hashes, because a benchmark runs millions of them.
   Among ten million ids the probability of a collision is 1 in 300,000.  */
typedef struct stripe
{
  GMutex mutex;
  GHashTable *ids;
} stripe_t;

typedef struct team
{
  char name[TEAM_BYTES];
  gauge_t running;
} team_t;

static stripe_t stripes[STRIPES];
static atomic_uint_fast64_t runs;
static atomic_int_fast64_t last_request_us;
static gauge_t running;
static gauge_t connections;

/* Teams are only appended, so readers need no lock.  */
static team_t teams[TEAMS_MAX];
static atomic_uint teams_count;
static GMutex teams_mutex;

static GMutex duplicate_ids_mutex;
static json_t *duplicate_ids;

static void
update_max (gauge_t *gauge, int_fast32_t value)
{
  int_fast32_t max = atomic_load (&gauge->max);

  while (value > max
         && !atomic_compare_exchange_weak (&gauge->max, &max, value))
    continue;
}

int32_t
gauge_enter (gauge_t *gauge)
{
  int_fast32_t value = atomic_fetch_add (&gauge->now, 1) + 1;

  update_max (gauge, value);
  return (int32_t)value;
}

void
gauge_leave (gauge_t *gauge)
{
  atomic_fetch_sub (&gauge->now, 1);
}

static team_t *
find_team (const char *name)
{
  unsigned count = atomic_load (&teams_count);

  for (unsigned i = 0; i < count; i++)
    if (strcmp (teams[i].name, name) == 0)
      return &teams[i];
  return NULL;
}

static team_t *
get_team (const char *name)
{
  team_t *team = find_team (name);
  unsigned count;

  if (team)
    return team;
  g_mutex_lock (&teams_mutex);
  team = find_team (name);
  count = atomic_load (&teams_count);
  if (!team && count < TEAMS_MAX)
    {
      team = &teams[count];
      g_strlcpy (team->name, name, sizeof team->name);
      atomic_store (&teams_count, count + 1);
    }
  g_mutex_unlock (&teams_mutex);
  return team ? team : &teams[TEAMS_MAX - 1];
}

static void
record_run_id (const char *id)
{
  uint64_t hash = hash_bytes (id, strlen (id), 0);
  stripe_t *stripe = &stripes[hash % STRIPES];
  bool is_new;

  g_mutex_lock (&stripe->mutex);
  if (!stripe->ids)
    stripe->ids = g_hash_table_new (NULL, NULL);
  is_new = g_hash_table_add (stripe->ids, (gpointer)(uintptr_t)hash);
  g_mutex_unlock (&stripe->mutex);
  if (is_new)
    return;
  g_mutex_lock (&duplicate_ids_mutex);
  if (!duplicate_ids)
    duplicate_ids = json_array ();
  json_array_append_new (duplicate_ids, json_string (id));
  g_mutex_unlock (&duplicate_ids_mutex);
}

void
runs_note_request (void)
{
  atomic_store (&last_request_us, clock_mono_us ());
}

bool
runs_begin (const char *id, const char *team, int32_t slots,
            gauge_t **team_gauge)
{
  int_fast32_t value = atomic_fetch_add (&running.now, 1) + 1;

  if (value > slots)
    {
      atomic_fetch_sub (&running.now, 1);
      return false;
    }
  update_max (&running, value);
  *team_gauge = &get_team (team)->running;
  gauge_enter (*team_gauge);
  atomic_fetch_add (&runs, 1);
  if (id[0])
    record_run_id (id);
  return true;
}

void
runs_end (gauge_t *team_gauge)
{
  gauge_leave (team_gauge);
  gauge_leave (&running);
}

gauge_t *
runs_connections (void)
{
  return &connections;
}

json_t *
runs_json (void)
{
  json_t *by_team = json_object ();
  json_t *duplicates;
  unsigned count = atomic_load (&teams_count);
  json_int_t ids = 0;

  for (unsigned i = 0; i < count; i++)
    json_object_set_new (by_team, teams[i].name,
                         json_integer (atomic_load (&teams[i].running.max)));
  for (size_t i = 0; i < STRIPES; i++)
    {
      g_mutex_lock (&stripes[i].mutex);
      if (stripes[i].ids)
        ids += g_hash_table_size (stripes[i].ids);
      g_mutex_unlock (&stripes[i].mutex);
    }
  g_mutex_lock (&duplicate_ids_mutex);
  duplicates = duplicate_ids ? json_deep_copy (duplicate_ids) : json_array ();
  g_mutex_unlock (&duplicate_ids_mutex);
  return json_pack (
      "{sI sI sI so sI so sI sI}", "runs", (json_int_t)atomic_load (&runs),
      "running", (json_int_t)atomic_load (&running.now), "max_running",
      (json_int_t)atomic_load (&running.max), "max_running_by_team", by_team,
      "max_connections", (json_int_t)atomic_load (&connections.max),
      "ids_run_twice", duplicates, "ids", ids, "idle_ms",
      (json_int_t)((clock_mono_us () - atomic_load (&last_request_us))
                   / 1000));
}

json_t *
runs_ids (void)
{
  json_t *ids = json_array ();
  GHashTableIter iter;
  gpointer id;
  char text[32];

  for (size_t i = 0; i < STRIPES; i++)
    {
      g_mutex_lock (&stripes[i].mutex);
      if (stripes[i].ids)
        {
          g_hash_table_iter_init (&iter, stripes[i].ids);
          while (g_hash_table_iter_next (&iter, &id, NULL))
            {
              g_snprintf (text, sizeof text, "%016" PRIxPTR, (uintptr_t)id);
              json_array_append_new (ids, json_string (text));
            }
        }
      g_mutex_unlock (&stripes[i].mutex);
    }
  g_mutex_lock (&duplicate_ids_mutex);
  if (duplicate_ids)
    json_array_extend (ids, duplicate_ids);
  if (duplicate_ids)
    json_array_extend (ids, duplicate_ids);
  g_mutex_unlock (&duplicate_ids_mutex);
  return ids;
}

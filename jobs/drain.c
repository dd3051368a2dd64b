#include "drain.h"
#include "judge.h"
#include "trial.h"

/* Short tasks that end within this time count as gone: a drained host waits
   as long for its own.  */
#define ENDS_SOON_US 3000000
/* A task that has had no worker for this time gets a drained host.  It is to
   run again well within 6 s of its last run, and short tasks, which it goes
   before, end in less.  */
#define RELEASE_DELAY_US 2000000
/* A host is drained for this time at least: a trial may fail for a moment.  */
#define DRAIN_MIN_US 1000000
/* Workers that are judged for a pool in one plan; bounds its time.  */
#define JUDGED_MAX 200000

/* What is planned for a pool.  */
typedef struct drain_pool
{
  trial_t *trial; /* with the room of short tasks that end soon */
  trial_t *now;   /* with the room that is free now; NULL: not needed yet */
  bool without_place; /* tasks of a host that is drained or down have none */
  bool blocked;       /* a drained host can't go down */
} drain_pool_t;

struct drain
{
  sched_t *sched;
  sched_now_t now;
  GHashTable *pools; /* pool_t -> drain_pool_t */
  GHashTable *stuck; /* host_t that are drained and can't go down */
};

static void
free_pool (gpointer data)
{
  drain_pool_t *pool = data;

  trial_free (pool->trial);
  if (pool->now)
    trial_free (pool->now);
  g_free (pool);
}

static bool
host_is_drained (const host_t *host)
{
  return host->listed && host->cordoned && !host->move_to;
}

static bool
any_host_is_maintained (const sched_t *sched, const pool_t *pool)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, sched->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const host_t *host = value;

      if (host->listed && host->pool == pool->name
          && (host_order_is_open (&host->order)
              || host->state == HOST_STATUS_MAINTENANCE))
        return true;
    }
  return false;
}

/* Counts the tasks of POOL that have to leave their workers for other reasons
   than a drained host.  */
static void
vacate_leaving (trial_t *trial, const pool_t *pool)
{
  for (uint32_t i = 0; i < pool->workers->len; i++)
    {
      const worker_t *worker = g_ptr_array_index (pool->workers, i);

      if (!worker->cordoned
          && (worker->state == WORKER_DRAINING
              || worker_is_evacuated (worker)))
        trial_vacate (trial, worker, VACATE_POSSIBLE);
    }
}

static drain_pool_t *
open_pool (drain_t *drain, const pool_t *pool)
{
  drain_pool_t *planned = g_hash_table_lookup (drain->pools, pool);

  if (planned)
    return planned;
  planned = g_new0 (drain_pool_t, 1);
  planned->trial = trial_new (drain->sched, pool, JUDGED_MAX, drain->now);
  trial_expect_ends (planned->trial, ENDS_SOON_US);
  planned->without_place = !trial_place_waiting (planned->trial)
                           && any_host_is_maintained (drain->sched, pool);
  vacate_leaving (planned->trial, pool);
  g_hash_table_insert (drain->pools, (gpointer)pool, planned);
  return planned;
}

static bool
has_waiting_long_running (const pool_t *pool)
{
  for (uint32_t i = 0; i < pool->stages->len; i++)
    {
      const stage_t *stage = g_ptr_array_index (pool->stages, i);

      if (stage->spec->long_running && stage->unstarted > 0)
        return true;
    }
  return false;
}

/* The plan of the pool of WORKER; NULL: it isn't needed to drain WORKER.  */
static drain_pool_t *
pool_of (drain_t *drain, const worker_t *worker)
{
  if (!g_hash_table_contains (drain->pools, worker->pool)
      && !worker_has_long_running (worker)
      && !has_waiting_long_running (worker->pool))
    return NULL;
  return open_pool (drain, worker->pool);
}

/* Takes WORKER out of use as far as RULE allows.  */
static vacated_t
vacate (drain_t *drain, const worker_t *worker, vacate_rule_t rule)
{
  drain_pool_t *pool = pool_of (drain, worker);
  vacated_t vacated;

  if (!pool)
    return VACATED_ALL;
  if (rule == VACATE_ALL_BUT_ONE && pool->without_place)
    rule = VACATE_ALL;
  vacated = trial_vacate (pool->trial, worker, rule);
  pool->without_place |= vacated == VACATED_PART;
  return vacated;
}

/* Takes the workers of HOST out of use as far as RULE allows.  If one of
   several can't be, the others count as out of use for the rest of the plan.
 */
static bool
vacate_host (drain_t *drain, const host_t *host, vacate_rule_t rule)
{
  g_autoptr (GPtrArray) workers = host_workers (drain->sched, host);

  for (uint32_t i = 0; i < workers->len; i++)
    if (vacate (drain, g_ptr_array_index (workers, i), rule) == VACATED_NONE)
      return false;
  return true;
}

bool
drain_take (drain_t *drain, const host_t *host)
{
  g_autoptr (GPtrArray) workers = host_workers (drain->sched, host);

  for (uint32_t i = 0; i < workers->len; i++)
    {
      const worker_t *worker = g_ptr_array_index (workers, i);
      const drain_pool_t *pool
          = g_hash_table_lookup (drain->pools, worker->pool);

      if (pool && pool->blocked)
        return false;
    }
  return vacate_host (drain, host, VACATE_ALL_BUT_ONE);
}

/* Hosts that are down first, then those that have been drained longest.  */
static int
compare_drained (gconstpointer a, gconstpointer b)
{
  const host_t *l = *(const host_t *const *)a;
  const host_t *r = *(const host_t *const *)b;

  bool l_is_down = host_order_is_open (&l->order);

  if (l_is_down != host_order_is_open (&r->order))
    return l_is_down ? -1 : 1;
  if (l->cordoned_us != r->cordoned_us)
    return l->cordoned_us < r->cordoned_us ? -1 : 1;
  return strcmp (l->name, r->name);
}

static GPtrArray *
collect_drained (const sched_t *sched)
{
  GPtrArray *hosts = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, sched->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (host_is_drained (value))
      g_ptr_array_add (hosts, value);
  g_ptr_array_sort (hosts, compare_drained);
  return hosts;
}

static void
put_back (sched_t *sched, host_t *host, const char *why, int64_t now_us)
{
  event_log (EV_HOST_PUT_BACK,
             "host=%s worker=%s for=%s drained_ms=%" PRId64 " why=%s",
             host->name, host->worker[0] ? host->worker : "-",
             host->move_to ? "move" : "wave",
             (now_us - host->cordoned_us) / 1000, why);
  counter_add (COUNT_HOSTS_PUT_BACK, 1);
  host_uncordon (sched, host);
}

/* No more hosts of the pools of HOST, which can't go down, are drained.  */
static void
block_pools (drain_t *drain, host_t *host)
{
  g_autoptr (GPtrArray) workers = host_workers (drain->sched, host);

  g_hash_table_add (drain->stuck, host);
  for (uint32_t i = 0; i < workers->len; i++)
    {
      const worker_t *worker = g_ptr_array_index (workers, i);

      open_pool (drain, worker->pool)->blocked = true;
    }
}

static bool
any_trial_is_spent (const drain_t *drain)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, drain->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (trial_is_spent (((const drain_pool_t *)value)->trial))
      return true;
  return false;
}

drain_t *
drain_new (sched_t *sched, sched_now_t now)
{
  drain_t *drain = g_new0 (drain_t, 1);
  g_autoptr (GPtrArray) hosts = collect_drained (sched);
  host_t *last_stuck = NULL;

  drain->sched = sched;
  drain->now = now;
  drain->pools = g_hash_table_new_full (NULL, NULL, NULL, free_pool);
  drain->stuck = g_hash_table_new (NULL, NULL);
  for (uint32_t i = 0; i < hosts->len; i++)
    {
      host_t *host = g_ptr_array_index (hosts, i);

      if (host_order_is_open (&host->order))
        vacate_host (drain, host, VACATE_POSSIBLE);
      else if (!vacate_host (drain, host, VACATE_ALL_BUT_ONE))
        {
          vacate_host (drain, host, VACATE_POSSIBLE);
          block_pools (drain, host);
          if (now.us - host->cordoned_us >= DRAIN_MIN_US)
            last_stuck = host;
        }
    }
  /* With this host in use, the others may have places again.  */
  if (last_stuck && !any_trial_is_spent (drain))
    put_back (sched, last_stuck, "no-place", now.us);
  return drain;
}

void
drain_free (drain_t *drain)
{
  g_hash_table_unref (drain->pools);
  g_hash_table_unref (drain->stuck);
  g_free (drain);
}

/* The trial with the room of POOL that is free now, beside tasks that wait or
   are being stopped.  */
static trial_t *
trial_now (drain_t *drain, const pool_t *pool)
{
  drain_pool_t *planned = open_pool (drain, pool);

  if (planned->now)
    return planned->now;
  planned->now = trial_new (drain->sched, pool, JUDGED_MAX, drain->now);
  trial_place_waiting (planned->now);
  for (uint32_t i = 0; i < pool->workers->len; i++)
    {
      const worker_t *worker = g_ptr_array_index (pool->workers, i);

      for (uint32_t j = 0; j < worker->runs->len; j++)
        {
          const run_t *run = g_ptr_array_index (worker->runs, j);

          if (run->phase == RUN_STOPPING && run->task->run == run
              && run->task->stage->spec->long_running
              && !run->task->stage->job->ended)
            trial_move_run (planned->now, run);
        }
    }
  return planned->now;
}

bool
drain_is_stuck (const drain_t *drain, const host_t *host)
{
  return g_hash_table_contains (drain->stuck, host);
}

bool
drain_may_stop (drain_t *drain, const host_t *host, const run_t *run)
{
  const pool_t *pool = run->worker->pool;

  if (drain_is_stuck (drain, host))
    return false;
  return trial_move_run (trial_now (drain, pool), run)
         || (drain->now.us - host->cordoned_us >= ENDS_SOON_US
             && trial_has_placed (open_pool (drain, pool)->trial, run->task));
}

/* Whether the next task of STAGE could start on HOST if it weren't drained. */
static bool
could_start_on (const sched_t *sched, const stage_t *stage, const host_t *host,
                int64_t now_us)
{
  g_autoptr (GPtrArray) workers = host_workers (sched, host);
  const task_t *next = NULL;
  judge_task_t judged;

  for (uint32_t i = 0; !next && i < stage->spec->count; i++)
    if (!stage->tasks[i].done && !stage->tasks[i].run)
      next = &stage->tasks[i];
  if (!next)
    return false;
  judged = judge_task (stage, next);
  judged.needs_ticket = false;
  for (uint32_t i = 0; i < workers->len; i++)
    {
      worker_t worker = *(const worker_t *)g_ptr_array_index (workers, i);

      worker.cordoned = false;
      if (worker.pool == stage->job->pool
          && judge_worker (&judged, &worker, now_us) == JUDGED_SUITABLE)
        return true;
    }
  return false;
}

/* The host that was cordoned last, by a wave or a move, among those on which
   the next task of STAGE could start; NULL: there is none.  */
static host_t *
find_drained_for (const sched_t *sched, const stage_t *stage, int64_t now_us)
{
  host_t *best = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, sched->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      host_t *host = value;

      if (host->cordoned && !host_order_is_open (&host->order)
          && (!best || host->cordoned_us > best->cordoned_us)
          && could_start_on (sched, stage, host, now_us))
        best = host;
    }
  return best;
}

void
drain_release (sched_t *sched, sched_now_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, sched->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const pool_t *pool = value;

      for (uint32_t i = 0; i < pool->stages->len; i++)
        {
          const stage_t *stage = g_ptr_array_index (pool->stages, i);
          host_t *host;

          if (!stage->spec->long_running || stage->lacks_worker_us == 0
              || now.us - stage->lacks_worker_us < RELEASE_DELAY_US)
            continue;
          host = find_drained_for (sched, stage, now.us);
          if (!host)
            continue;
          put_back (sched, host, "task-waits", now.us);
          return; /* the task starts before another host is put back */
        }
    }
}

#include "advice.h"
#include "schedint.h"

/* Rows in a progress record.  With worker ids of 255 bytes, the longest key in
   the store, it stays below the 256 KiB that the store takes; a larger one
   would be refused for good and hold up all records behind it.  */
#define PROGRESS_ROWS_MAX 800

G_STATIC_ASSERT (JOBTAB_RUNS_KEPT_MS >= 2 * SCHED_LEASE_HORIZON_MS);

static void
pool_free (gpointer data)
{
  pool_t *pool = data;

  g_ptr_array_free (pool->workers, TRUE);
  g_ptr_array_free (pool->stages, TRUE);
  g_free (pool);
}

pool_t *
sched_pool (sched_t *sched, const char *name)
{
  pool_t *pool = g_hash_table_lookup (sched->pools, name);

  if (pool)
    return pool;
  pool = g_new0 (pool_t, 1);
  pool->name = g_intern_string (name);
  pool->workers = g_ptr_array_new ();
  pool->stages = g_ptr_array_new ();
  pool->shares = sched->shares;
  g_hash_table_insert (sched->pools, (gpointer)pool->name, pool);
  return pool;
}

/* Keeps the limits of a WORKSPACE that the rules lack.  */
static void
update_workspace (workspace_t *workspace, const rules_t *rules)
{
  const rules_workspace_t *rule = rules_workspace (rules, workspace->name);

  if (rule)
    workspace->rule = *rule;
}

workspace_t *
sched_workspace (sched_t *sched, const char *name)
{
  workspace_t *workspace = g_hash_table_lookup (sched->workspaces, name);

  if (workspace)
    return workspace;
  workspace = g_new0 (workspace_t, 1);
  workspace->name = name;
  update_workspace (workspace, sched->rules);
  g_hash_table_insert (sched->workspaces, (gpointer)name, workspace);
  return workspace;
}

static int
compare_accepted (const void *a, const void *b)
{
  const job_entry_t *l = *(const job_entry_t *const *)a;
  const job_entry_t *r = *(const job_entry_t *const *)b;

  return l->desc->accepted_ms < r->desc->accepted_ms
             ? -1
             : l->desc->accepted_ms > r->desc->accepted_ms;
}

/* Adds the jobs of TABLE in order of acceptance, because the workspaces'
   allowances depend on it.  */
static void
add_inherited_jobs (sched_t *sched, const jobtab_t *table, sched_now_t now)
{
  g_autoptr (GPtrArray) entries = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer entry;

  g_hash_table_iter_init (&iter, table->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &entry))
    if (((job_entry_t *)entry)->tasks)
      g_ptr_array_add (entries, entry);
  g_ptr_array_sort (entries, compare_accepted);
  for (uint32_t i = 0; i < entries->len; i++)
    sched_add_job (sched, g_ptr_array_index (entries, i), now);
}

sched_t *
sched_new (const jobtab_t *table, uint64_t epoch, const sched_limits_t *limits,
           const rules_t *rules, sched_now_t now)
{
  sched_t *sched = g_new0 (sched_t, 1);

  sched->epoch = epoch;
  sched->limits = *limits;
  sched->rules = rules;
  sched->started_us = now.us;
  sched->next_us = now.us;
  sched->batch = 1;
  sched->jobs
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, sched_job_free);
  sched->workers
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, worker_free);
  sched->pools
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, pool_free);
  sched->workspaces
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  sched->wakeups = g_sequence_new (NULL);
  sched->batch_waiters = g_ptr_array_new ();
  sched->recurring_jobs = g_ptr_array_new ();
  sched->orders = g_array_new (FALSE, TRUE, sizeof (order_t));
  sched->placed = g_array_new (FALSE, TRUE, sizeof (task_placed_t));
  sched->ends = g_array_new (FALSE, TRUE, sizeof (task_end_t));
  sched->over = g_array_new (FALSE, TRUE, sizeof (run_over_t));
  sched->silences = g_array_new (FALSE, TRUE, sizeof (worker_silence_t));
  sched->values = gang_values_new ();
  sched->changes = g_array_new (FALSE, TRUE, sizeof (job_change_t));
  sched->hosts
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, host_free);
  sched->workers_by_host = g_hash_table_new_full (
      g_direct_hash, g_direct_equal, NULL, (GDestroyNotify)g_ptr_array_unref);
  sched->advice_requests
      = g_array_new (FALSE, TRUE, sizeof (advice_request_t));
  sched->waves = g_ptr_array_new_with_free_func (wave_free);
  sched->host_orders = g_array_new (FALSE, TRUE, sizeof (host_order_t));
  sched->fleet_updates = g_array_new (FALSE, TRUE, sizeof (fleet_update_t));
  sched->lease_limit_us = now.us;
  if (limits->avoid_interference)
    sched->interference = interference_new ();
  if (limits->learn_run_times)
    sched->runtimes = runtimes_new ();
  if (limits->admit_by_objective)
    sched->admit = admit_new ();
  if (limits->keep_shares)
    sched->shares = shares_new ();
  silences_inherit (sched, table);
  add_inherited_jobs (sched, table, now);
  return sched;
}

void
sched_free (sched_t *sched)
{
  GHashTableIter iter;
  gpointer worker;

  if (!sched)
    return;
  g_hash_table_iter_init (&iter, sched->workers);
  while (g_hash_table_iter_next (&iter, NULL, &worker))
    g_ptr_array_set_free_func (((worker_t *)worker)->runs, g_free);
  g_hash_table_destroy (sched->jobs);
  g_hash_table_destroy (sched->workers);
  g_sequence_free (sched->wakeups);
  g_ptr_array_unref (sched->batch_waiters);
  g_hash_table_destroy (sched->pools);
  g_hash_table_destroy (sched->workspaces);
  g_ptr_array_free (sched->recurring_jobs, TRUE);
  g_hash_table_destroy (sched->hosts);
  g_hash_table_destroy (sched->workers_by_host);
  g_ptr_array_free (sched->waves, TRUE);
  for (uint32_t i = 0; i < sched->advice_requests->len; i++)
    g_ptr_array_free (
        g_array_index (sched->advice_requests, advice_request_t, i).workers,
        TRUE);
  evacuation_clear (sched);
  g_array_free (sched->advice_requests, TRUE);
  g_array_free (sched->host_orders, TRUE);
  g_array_free (sched->fleet_updates, TRUE);
  g_array_free (sched->orders, TRUE);
  g_array_free (sched->placed, TRUE);
  g_array_free (sched->ends, TRUE);
  g_array_free (sched->over, TRUE);
  g_array_free (sched->silences, TRUE);
  g_array_free (sched->values, TRUE);
  g_hash_table_destroy (sched->silent);
  g_array_free (sched->changes, TRUE);
  interference_free (sched->interference);
  runtimes_free (sched->runtimes);
  admit_free (sched->admit);
  shares_free (sched->shares);
  g_free (sched);
}

void
sched_confirm_ownership (sched_t *sched, int64_t confirmed_us)
{
  sched->confirmed_us = MAX (sched->confirmed_us, confirmed_us);
  sched->lease_limit_us
      = MAX (sched->lease_limit_us,
             confirmed_us + (int64_t)SCHED_LEASE_HORIZON_MS * 1000);
}

/* Requeues all stages, because a queue may now lead to another service and
   stages are kept in the pool of their queue's service.  */
void
sched_set_rules (sched_t *sched, const rules_t *rules)
{
  g_autoptr (GPtrArray) all = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  sched->rules = rules;
  g_hash_table_iter_init (&iter, sched->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      pool_t *pool = value;

      for (uint32_t i = 0; i < pool->stages->len; i++)
        g_ptr_array_add (all, g_ptr_array_index (pool->stages, i));
      g_ptr_array_set_size (pool->stages, 0);
    }
  g_hash_table_iter_init (&iter, sched->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    job_update_settings (sched, value);
  g_hash_table_iter_init (&iter, sched->workspaces);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    update_workspace (value, rules);
  for (uint32_t i = 0; i < all->len; i++)
    {
      stage_t *stage = g_ptr_array_index (all, i);

      stage->queued = false;
      stage_enqueue (sched, stage);
    }
  sched->place_needed = true;
}

/* Ends that need no record become durable with the batch before.  */
static void
skip_batch (sched_t *sched)
{
  for (uint32_t i = 0; i < sched->batch_waiters->len; i++)
    {
      worker_t *worker = g_ptr_array_index (sched->batch_waiters, i);

      if (worker->ends_batch == sched->batch)
        worker->ends_batch = sched->batch - 1;
    }
  sched_set_durable (sched, sched->durable_batch);
}

/* Moves the first rows of FROM, COUNT at most, to a new array.  */
static GArray *
take_rows (GArray *from, uint32_t count)
{
  GArray *rows
      = g_array_new (FALSE, TRUE, (guint)g_array_get_element_size (from));

  count = MIN (count, from->len);
  g_array_append_vals (rows, from->data, count);
  g_array_remove_range (from, 0, count);
  return rows;
}

/* The same for the values of gangs, which the new array owns.  */
static GArray *
take_values (GArray *from, uint32_t count)
{
  GArray *values = gang_values_new ();

  count = MIN (count, from->len);
  g_array_append_vals (values, from->data, count);
  for (uint32_t i = 0; i < count; i++)
    g_array_index (from, gang_value_t, i).value = NULL;
  g_array_remove_range (from, 0, count);
  return values;
}

static bool
has_rows (const sched_t *sched)
{
  return sched->placed->len > 0 || sched->ends->len > 0
         || sched->changes->len > 0 || sched->over->len > 0
         || sched->silences->len > 0 || sched->values->len > 0;
}

bool
sched_has_progress (const sched_t *sched)
{
  return has_rows (sched) || sched->has_unwritten_ends;
}

job_rec_t *
sched_progress (sched_t *sched)
{
  job_rec_t *rec;
  uint32_t left = PROGRESS_ROWS_MAX;

  sched->has_unwritten_ends = false;
  if (!has_rows (sched))
    {
      skip_batch (sched);
      return NULL;
    }
  rec = g_new0 (job_rec_t, 1);
  rec->kind = JREC_PROGRESS;
  rec->u.progress.epoch = sched->epoch;
  rec->u.progress.values = take_values (sched->values, left);
  left -= rec->u.progress.values->len;
  rec->u.progress.placed = take_rows (sched->placed, left);
  left -= rec->u.progress.placed->len;
  rec->u.progress.ends = take_rows (sched->ends, left);
  left -= rec->u.progress.ends->len;
  rec->u.progress.changes = take_rows (sched->changes, left);
  left -= rec->u.progress.changes->len;
  rec->u.progress.over = take_rows (sched->over, left);
  left -= rec->u.progress.over->len;
  rec->u.progress.silences = take_rows (sched->silences, left);
  rec->u.progress.batch = has_rows (sched) ? sched->batch - 1 : sched->batch++;
  return rec;
}

/* Whether WORKER has planned starts or ends of a batch that is not durable. */
static bool
awaits_batch (const sched_t *sched, const worker_t *worker)
{
  if (worker->ends_durable != worker->ends_seen)
    return true;
  for (uint32_t i = 0; i < worker->runs->len; i++)
    {
      const run_t *run = g_ptr_array_index (worker->runs, i);

      if (run->phase == RUN_PLANNED && run->batch > sched->durable_batch)
        return true;
    }
  return false;
}

void
sched_set_durable (sched_t *sched, uint64_t batch)
{
  sched->durable_batch = MAX (sched->durable_batch, batch);
  silences_set_durable (sched);
  for (uint32_t i = sched->batch_waiters->len; i-- > 0;)
    {
      worker_t *worker = g_ptr_array_index (sched->batch_waiters, i);

      if (worker->ends_durable != worker->ends_seen
          && worker->ends_batch <= batch)
        {
          worker->ends_durable = worker->ends_seen;
          worker->hold_due_us = worker->answered_us + sched->hold_pause_us;
        }
      worker_wake_at (sched, worker, 0); /* starts may now be sent */
      if (awaits_batch (sched, worker))
        continue;
      worker->awaits_batch = false;
      g_ptr_array_remove_index_fast (sched->batch_waiters, i);
    }
}

void
sched_wake_at (sched_t *sched, int64_t at_us)
{
  sched->next_us = MIN (sched->next_us, at_us);
}

int64_t
sched_next_us (const sched_t *sched)
{
  return sched->place_needed ? MIN (sched->next_us, sched->place_pause_us)
                             : sched->next_us;
}

GArray *
sched_plan (sched_t *sched, sched_now_t now)
{
  g_autoptr (GPtrArray) due = g_ptr_array_new ();

  sched->next_us = INT64_MAX;
  for (uint32_t i = sched->recurring_jobs->len; i-- > 0;)
    {
      sched_job_t *job = g_ptr_array_index (sched->recurring_jobs, i);

      job_open_due_occurrences (sched, job, now);
      if (job->next_occurrence == job_occurrences (job->desc))
        g_ptr_array_remove_index_fast (sched->recurring_jobs, i);
    }
  wakeups_take (sched, due, now.us);
  workers_check_timeouts (sched, due, now);
  if ((sched->place_needed && sched->place_pause_us <= now.us)
      || sched->next_place_us <= now.us)
    {
      sched->place_needed = false;
      evacuation_place (sched, now);
    }
  sched_wake_at (sched, sched->next_place_us);
  evacuation_plan (sched, now);
  wakeups_take (sched, due, now.us);
  for (uint32_t i = 0; i < due->len; i++)
    {
      worker_t *worker = g_ptr_array_index (due, i);

      worker->taken = false;
      worker_plan_orders (sched, worker, now);
    }
  sched_wake_at (sched, wakeups_next_us (sched));
  return sched->orders;
}

static void
count_worker (const worker_t *worker, GArray *centres)
{
  dispatch_centre_t centre
      = { .data_centre = worker->data_centre, .workers = 1 };

  for (uint32_t i = 0; i < centres->len; i++)
    {
      dispatch_centre_t *known
          = &g_array_index (centres, dispatch_centre_t, i);

      if (known->data_centre != centre.data_centre)
        continue;
      known->workers++;
      return;
    }
  g_array_append_val (centres, centre);
}

void
sched_count_workers (const sched_t *sched, GArray *centres)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, sched->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((const worker_t *)value)->listed)
      count_worker (value, centres);
}

void
sched_dump (const sched_t *sched, GString *out, sched_now_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_string_append_printf (out, "epoch %" PRIu64 "\njobs %u\n", sched->epoch,
                          g_hash_table_size (sched->jobs));
  evacuation_dump (sched, out, now);
  admit_dump (sched, out);
  expected_dump (sched, out, now.us);
  fairness_dump (sched, out, now);
  g_hash_table_iter_init (&iter, sched->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const pool_t *pool = value;

      g_string_append_printf (out, "pool %s workers %u waiting-stages %u\n",
                              pool->name, pool->workers->len,
                              pool->stages->len);
    }
  g_hash_table_iter_init (&iter, sched->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const worker_t *worker = value;

      g_string_append_printf (
          out,
          "worker %s pool %s runs %u cpu-used %" G_GINT64_FORMAT
          " cpu %" G_GINT64_FORMAT " answered-ms-ago %" G_GINT64_FORMAT
          "%s%s%s%s\n",
          worker->id, worker->pool->name, worker->runs->len,
          worker->allocated.cpu_milli, worker->capacity.cpu_milli,
          (now.us - worker->answered_us) / 1000,
          worker->listed ? "" : " unlisted",
          worker->state == WORKER_DRAINING ? " draining" : "",
          worker_is_evacuated (worker) ? " evacuated" : "",
          worker_registration_is_current (worker) ? "" : " unregistered-boot");
    }
  neighbours_dump (sched, out, now);
}

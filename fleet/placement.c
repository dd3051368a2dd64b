#include "placement_internal.h"
#include <string.h>

static amounts_t
amounts_of (resources_t r)
{
  return (amounts_t){ r.cpu_milli, r.mem_mib, r.accels };
}

static void
free_team (gpointer data)
{
  team_jobs_t *team = data;

  g_free (team->name);
  g_free (team);
}

static void
free_worker (gpointer data)
{
  worker_t *worker = data;

  g_free (worker->name);
  g_free (worker);
}

placement_t *
placement_new (uint64_t last_run)
{
  placement_t *placement = g_new0 (placement_t, 1);

  placement->last_run = last_run;
  placement->jobs = g_hash_table_new (g_str_hash, g_str_equal);
  placement->teams
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_team);
  placement->team_list = g_ptr_array_new ();
  placement->workers
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_worker);
  placement->worker_list = g_ptr_array_new ();
  placement->leases = g_sequence_new (NULL);
  placement->pending_stops = g_ptr_array_new ();
  placement->reserved_jobs = g_ptr_array_new ();
  placement->throttled = g_ptr_array_new ();
  placement->usage = usage_history_new ();
  return placement;
}

void
placement_free (placement_t *placement)
{
  GHashTableIter iter;
  gpointer job;

  if (!placement)
    return;
  while (!g_sequence_is_empty (placement->leases))
    run_free (placement,
              g_sequence_get (g_sequence_get_begin_iter (placement->leases)));
  g_hash_table_iter_init (&iter, placement->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &job))
    {
      g_hash_table_iter_steal (&iter);
      job_free (placement, job);
    }
  g_hash_table_destroy (placement->jobs);
  g_hash_table_destroy (placement->teams);
  g_ptr_array_free (placement->team_list, TRUE);
  g_hash_table_destroy (placement->workers);
  g_ptr_array_free (placement->worker_list, TRUE);
  g_sequence_free (placement->leases);
  g_ptr_array_free (placement->pending_stops, TRUE);
  g_ptr_array_free (placement->reserved_jobs, TRUE);
  g_ptr_array_free (placement->throttled, TRUE);
  capacity_index_clear (&placement->free_index);
  capacity_index_clear (&placement->capacity_index);
  usage_history_free (placement->usage);
  g_free (placement);
}

void
placement_set_team (placement_t *placement, const char *name, uint32_t share,
                    uint32_t limit)
{
  team_jobs_t *team = g_hash_table_lookup (placement->teams, name);

  if (!team)
    {
      team = g_new0 (team_jobs_t, 1);
      team->name = g_strdup (name);
      g_hash_table_insert (placement->teams, team->name, team);
      g_ptr_array_add (placement->team_list, team);
    }
  share = MAX (share, 1);
  placement->total_shares += share;
  placement->total_shares -= team->share;
  team->share = share;
  team->limit = limit;
}

/* Updates the free resources of WORKER in the index.  Workers that are
   reserved, unusable or excluded have nothing free.  */
void
worker_update_index (placement_t *placement, worker_t *worker)
{
  static const amounts_t no_capacity = { -1, -1, -1 };
  bool available
      = worker->usable && !worker->excluded && !worker->reserved_for;

  if (!placement->workers_changed)
    capacity_index_set (&placement->free_index, worker->index,
                        available ? &worker->free : &no_capacity);
}

void
placement_set_worker (placement_t *placement, const char *name,
                      resources_t capacity, bool usable)
{
  worker_t *worker = g_hash_table_lookup (placement->workers, name);
  amounts_t amounts = amounts_of (capacity);

  if (!worker)
    {
      worker = g_new0 (worker_t, 1);
      worker->name = g_strdup (name);
      g_hash_table_insert (placement->workers, worker->name, worker);
      g_ptr_array_add (placement->worker_list, worker);
    }
  amounts_subtract (&worker->free, &worker->capacity);
  amounts_add (&worker->free, &amounts);
  worker->capacity = amounts;
  worker->usable = usable;
  placement->workers_changed = true;
}

void
placement_reinstate_worker (placement_t *placement, const char *name)
{
  worker_t *worker = g_hash_table_lookup (placement->workers, name);

  if (!worker || !worker->excluded)
    return;
  worker->excluded = false;
  worker->failures_count = 0;
  placement->excluded_count--;
  placement->workers_changed = true;
}

bool
placement_is_excluded (const placement_t *placement, const char *name)
{
  const worker_t *worker = g_hash_table_lookup (placement->workers, name);

  return worker && worker->excluded;
}

void
job_enqueue (job_t *job, bool at_head)
{
  team_jobs_t *team = job->team;
  GQueue *queue = &team->queues[job->urgent][job->need.accels > 0];

  job->phase = JOB_QUEUED;
  job->blocked_since_us = 0;
  job->queue_link.data = job;
  if (at_head)
    g_queue_push_head_link (queue, &job->queue_link);
  else
    g_queue_push_tail_link (queue, &job->queue_link);
  team->queued++;
}

void
job_dequeue (job_t *job)
{
  team_jobs_t *team = job->team;

  g_queue_unlink (&team->queues[job->urgent][job->need.accels > 0],
                  &job->queue_link);
  team->queued--;
}

void
job_reserve_worker (placement_t *placement, job_t *job, worker_t *worker,
                    int64_t now_us)
{
  job->reserved_worker = worker;
  job->reserved_since_us = now_us;
  worker->reserved_for = job;
  g_ptr_array_add (placement->reserved_jobs, job);
  worker_update_index (placement, worker);
}

void
job_release_worker (placement_t *placement, job_t *job)
{
  worker_t *worker = job->reserved_worker;

  if (!worker)
    return;
  job->reserved_worker = NULL;
  worker->reserved_for = NULL;
  g_ptr_array_remove_fast (placement->reserved_jobs, job);
  worker_update_index (placement, worker);
}

/* Removes JOB, which must have no run and be in no queue.  */
void
job_free (placement_t *placement, job_t *job)
{
  job_release_worker (placement, job);
  g_ptr_array_remove_fast (placement->pending_stops, job);
  g_hash_table_remove (placement->jobs, job->id);
  g_free (job->id);
  g_free (job->kind);
  g_free (job->reason);
  g_free (job);
}

static gint
compare_leases (gconstpointer a, gconstpointer b, G_GNUC_UNUSED gpointer data)
{
  const run_t *l = a;
  const run_t *r = b;

  return l->lease_end_us < r->lease_end_us   ? -1
         : l->lease_end_us > r->lease_end_us ? 1
                                             : 0;
}

void
job_start (placement_t *placement, job_t *job, worker_t *worker,
           command_list_t *out)
{
  run_t *run = g_new0 (run_t, 1);

  job_dequeue (job);
  job_release_worker (placement, job);
  job->phase = JOB_RUNNING;
  job->peak = (amounts_t){ 0 };
  job->run = run;
  run->number = ++placement->last_run;
  run->job = job;
  run->team = job->team;
  run->worker = worker;
  run->allocated = job->need;
  run->lease_end_us = out->now_us + PLACEMENT_LEASE_US;
  run->lease_iter = g_sequence_insert_sorted (placement->leases, run,
                                              compare_leases, NULL);
  run->worker_link.data = run;
  run->team_link.data = run;
  g_queue_push_tail_link (&worker->runs, &run->worker_link);
  g_queue_push_tail_link (&run->team->runs, &run->team_link);
  run->team->running++;
  amounts_add (&run->team->allocated, &run->allocated);
  amounts_subtract (&worker->free, &run->allocated);
  worker_update_index (placement, worker);
  command_list_add (out, COMMAND_START, run);
}

/* Removes RUN and frees its resources.  It must have ended, or its lease must
   have expired.  */
void
run_free (placement_t *placement, run_t *run)
{
  team_jobs_t *team = run->team;
  worker_t *worker = run->worker;

  if (run->job)
    run->job->run = NULL;
  if (run->cpu_cut)
    g_ptr_array_remove_fast (placement->throttled, run);
  if (run->reclaim != RECLAIM_NONE)
    amounts_subtract (&team->being_reclaimed, &run->allocated);
  team->running--;
  amounts_subtract (&team->allocated, &run->allocated);
  amounts_add (&worker->free, &run->allocated);
  g_queue_unlink (&worker->runs, &run->worker_link);
  g_queue_unlink (&team->runs, &run->team_link);
  g_sequence_remove (run->lease_iter);
  worker_update_index (placement, worker);
  g_free (run);
}

static void
explain_too_large (const placement_t *placement, const amounts_t *need,
                   char *reason)
{
  const amounts_t *largest = &placement->capacity_index.nodes[1];

  g_snprintf (reason, PLACEMENT_REASON_BYTES,
              "needs %" G_GINT64_FORMAT " milli-CPU, %" G_GINT64_FORMAT
              " MiB and %" G_GINT64_FORMAT
              " accelerators on one worker; the maxima of all workers are "
              "%" G_GINT64_FORMAT ", %" G_GINT64_FORMAT
              " and %" G_GINT64_FORMAT ", not all on one worker",
              need->cpu_milli, need->mem_mib, need->accels,
              MAX (largest->cpu_milli, 0), MAX (largest->mem_mib, 0),
              MAX (largest->accels, 0));
}

static char *
kind_key (const job_spec_t *spec)
{
  const char *kind = spec->kind && spec->kind[0] ? spec->kind : NULL;

  return g_strconcat (spec->team, kind ? "/" : "#", kind ? kind : spec->id,
                      NULL);
}

submit_result_t
placement_submit (placement_t *placement, const job_spec_t *spec,
                  char reason[PLACEMENT_REASON_BYTES])
{
  team_jobs_t *team = g_hash_table_lookup (placement->teams, spec->team);
  amounts_t declared = amounts_of (spec->declared);
  g_autofree char *kind = kind_key (spec);
  amounts_t need = usage_history_estimate (placement->usage, kind, &declared);
  job_t *job;

  reason[0] = '\0';
  workers_rebuild_index (placement);
  if (!team)
    {
      g_snprintf (reason, PLACEMENT_REASON_BYTES, "team %s does not exist",
                  spec->team);
      return SUBMIT_UNKNOWN_TEAM;
    }
  if (g_hash_table_contains (placement->jobs, spec->id))
    {
      g_snprintf (reason, PLACEMENT_REASON_BYTES, "job %s already exists",
                  spec->id);
      return SUBMIT_DUPLICATE;
    }
  if (capacity_index_find (&placement->capacity_index, &need, NULL, 0)
      == CAPACITY_INDEX_NONE)
    {
      explain_too_large (placement, &need, reason);
      return SUBMIT_TOO_LARGE;
    }
  job = g_new0 (job_t, 1);
  job->id = g_strdup (spec->id);
  job->kind = g_steal_pointer (&kind);
  job->kind_hash = hash_bytes (job->kind, strlen (job->kind), 0);
  job->number = ++placement->last_job;
  job->team = team;
  job->declared = declared;
  job->need = need;
  job->urgent = spec->urgent;
  job->idempotent = spec->idempotent;
  job->can_checkpoint = spec->can_checkpoint;
  g_hash_table_insert (placement->jobs, job->id, job);
  job_enqueue (job, false);
  return SUBMIT_ACCEPTED;
}

bool
placement_cancel (placement_t *placement, const char *id)
{
  job_t *job = g_hash_table_lookup (placement->jobs, id);

  if (!job || job->cancelled)
    return false;
  if (job->phase == JOB_QUEUED)
    job_dequeue (job);
  if (!job->run)
    {
      job_free (placement, job);
      return true;
    }
  job->cancelled = true;
  g_ptr_array_add (placement->pending_stops, job);
  return true;
}

void
placement_worker_lost (placement_t *placement, const char *name)
{
  worker_t *worker = g_hash_table_lookup (placement->workers, name);

  if (!worker)
    return;
  worker->usable = false;
  if (worker->reserved_for)
    job_release_worker (placement, worker->reserved_for);
  placement->workers_changed = true;
  for (GList *link = worker->runs.head; link; link = link->next)
    {
      run_t *run = link->data;
      job_t *job = run->job;

      if (!job)
        continue;
      if (!job->idempotent || job->cancelled)
        {
          job->phase = JOB_LOST;
          continue;
        }
      run->job = NULL;
      job->run = NULL;
      job_enqueue (job, true);
    }
}

job_t *
find_job_by_run (const placement_t *placement, const char *id, uint64_t run)
{
  job_t *job = g_hash_table_lookup (placement->jobs, id);

  return job && job->run && job->run->number == run ? job : NULL;
}

bool
placement_renew_lease (placement_t *placement, const char *id, uint64_t run,
                       int64_t lease_end_us)
{
  job_t *job = find_job_by_run (placement, id, run);

  if (!job || job->run->lease_end_us > lease_end_us)
    return false;
  job->phase = JOB_RUNNING;
  job->run->lease_end_us = lease_end_us;
  g_sequence_sort_changed (job->run->lease_iter, compare_leases, NULL);
  return true;
}

bool
placement_report_usage (placement_t *placement, const char *id, uint64_t run,
                        resources_t used)
{
  job_t *job = find_job_by_run (placement, id, run);
  amounts_t reported = amounts_of (used);
  amounts_t increase;

  if (!job)
    return false;
  job->peak.cpu_milli = MAX (job->peak.cpu_milli, reported.cpu_milli);
  job->peak.mem_mib = MAX (job->peak.mem_mib, reported.mem_mib);
  increase.cpu_milli
      = MIN (job->peak.cpu_milli, job->declared.cpu_milli) - job->run->cpu_cut;
  increase.cpu_milli
      = MAX (increase.cpu_milli - job->run->allocated.cpu_milli, 0);
  increase.mem_mib = MIN (job->peak.mem_mib, job->declared.mem_mib);
  increase.mem_mib = MAX (increase.mem_mib - job->run->allocated.mem_mib, 0);
  increase.accels = 0;
  amounts_add (&job->run->allocated, &increase);
  amounts_add (&job->team->allocated, &increase);
  if (job->run->reclaim != RECLAIM_NONE)
    amounts_add (&job->team->being_reclaimed, &increase);
  amounts_subtract (&job->run->worker->free, &increase);
  worker_update_index (placement, job->run->worker);
  return true;
}

bool
placement_job_info (const placement_t *placement, const char *id,
                    job_info_t *info)
{
  const job_t *job = g_hash_table_lookup (placement->jobs, id);

  if (!job)
    return false;
  info->phase = job->phase;
  info->worker = job->run ? job->run->worker->name : NULL;
  info->run = job->run ? job->run->number : 0;
  info->reason = job->reason;
  return true;
}

bool
placement_team_info (const placement_t *placement, const char *name,
                     team_info_t *info)
{
  const team_jobs_t *team = g_hash_table_lookup (placement->teams, name);

  if (!team)
    return false;
  info->running = team->running;
  info->queued = team->queued;
  info->dominant_share = dominant_share_of (placement, &team->allocated);
  return true;
}

#include "jobs.h"
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
  placement_t *place = g_new0 (placement_t, 1);

  place->last_run = last_run;
  place->jobs = g_hash_table_new (g_str_hash, g_str_equal);
  place->teams
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_team);
  place->team_list = g_ptr_array_new ();
  place->workers
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_worker);
  place->worker_list = g_ptr_array_new ();
  place->leases = g_sequence_new (NULL);
  place->stops = g_ptr_array_new ();
  place->holds = g_ptr_array_new ();
  place->throttled = g_ptr_array_new ();
  place->learn = learn_new ();
  return place;
}

void
placement_free (placement_t *place)
{
  GHashTableIter iter;
  gpointer job;

  if (!place)
    return;
  while (!g_sequence_is_empty (place->leases))
    run_free (place,
              g_sequence_get (g_sequence_get_begin_iter (place->leases)));
  g_hash_table_iter_init (&iter, place->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &job))
    {
      g_hash_table_iter_steal (&iter);
      job_free (place, job);
    }
  g_hash_table_destroy (place->jobs);
  g_hash_table_destroy (place->teams);
  g_ptr_array_free (place->team_list, TRUE);
  g_hash_table_destroy (place->workers);
  g_ptr_array_free (place->worker_list, TRUE);
  g_sequence_free (place->leases);
  g_ptr_array_free (place->stops, TRUE);
  g_ptr_array_free (place->holds, TRUE);
  g_ptr_array_free (place->throttled, TRUE);
  capacity_index_clear (&place->free);
  capacity_index_clear (&place->capacity);
  learn_free (place->learn);
  g_free (place);
}

void
placement_set_team (placement_t *place, const char *name, uint32_t share,
                    uint32_t limit)
{
  team_jobs_t *team = g_hash_table_lookup (place->teams, name);

  if (!team)
    {
      team = g_new0 (team_jobs_t, 1);
      team->name = g_strdup (name);
      g_hash_table_insert (place->teams, team->name, team);
      g_ptr_array_add (place->team_list, team);
    }
  share = MAX (share, 1);
  place->shares_total += share;
  place->shares_total -= team->share;
  team->share = share;
  team->limit = limit;
}

/* Workers kept free for a job, and those that get nothing, have nothing free
   for others.  */
void
worker_index (placement_t *place, worker_t *worker)
{
  static const amounts_t nothing = { -1, -1, -1 };
  bool open = worker->usable && !worker->bad && !worker->held_for;

  if (!place->workers_changed)
    capacity_index_set (&place->free, worker->index,
                        open ? &worker->free : &nothing);
}

void
placement_set_worker (placement_t *place, const char *name,
                      resources_t capacity, bool usable)
{
  worker_t *worker = g_hash_table_lookup (place->workers, name);
  amounts_t amounts = amounts_of (capacity);

  if (!worker)
    {
      worker = g_new0 (worker_t, 1);
      worker->name = g_strdup (name);
      g_hash_table_insert (place->workers, worker->name, worker);
      g_ptr_array_add (place->worker_list, worker);
    }
  amounts_subtract (&worker->free, &worker->capacity);
  amounts_add (&worker->free, &amounts);
  worker->capacity = amounts;
  worker->usable = usable;
  place->workers_changed = true;
}

void
place_trust_worker (placement_t *place, const char *name)
{
  worker_t *worker = g_hash_table_lookup (place->workers, name);

  if (!worker || !worker->bad)
    return;
  worker->bad = false;
  worker->marks_count = 0;
  place->bad_count--;
  place->workers_changed = true;
}

bool
place_is_bad (const placement_t *place, const char *name)
{
  const worker_t *worker = g_hash_table_lookup (place->workers, name);

  return worker && worker->bad;
}

void
job_enqueue (job_t *job, bool first)
{
  team_jobs_t *team = job->team;
  GQueue *queue = &team->queues[job->urgent][job->need.accels > 0];

  job->phase = JOB_QUEUED;
  job->blocked_since_us = 0;
  job->link.data = job;
  if (first)
    g_queue_push_head_link (queue, &job->link);
  else
    g_queue_push_tail_link (queue, &job->link);
  team->queued++;
}

void
job_dequeue (job_t *job)
{
  team_jobs_t *team = job->team;

  g_queue_unlink (&team->queues[job->urgent][job->need.accels > 0],
                  &job->link);
  team->queued--;
}

void
job_hold (placement_t *place, job_t *job, worker_t *worker, int64_t now_us)
{
  job->hold = worker;
  job->hold_since_us = now_us;
  worker->held_for = job;
  g_ptr_array_add (place->holds, job);
  worker_index (place, worker);
}

void
job_unhold (placement_t *place, job_t *job)
{
  worker_t *worker = job->hold;

  if (!worker)
    return;
  job->hold = NULL;
  worker->held_for = NULL;
  g_ptr_array_remove_fast (place->holds, job);
  worker_index (place, worker);
}

/* Forget JOB, which has no run and stands in no queue.  */
void
job_free (placement_t *place, job_t *job)
{
  job_unhold (place, job);
  g_ptr_array_remove_fast (place->stops, job);
  g_hash_table_remove (place->jobs, job->id);
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
job_start (placement_t *place, job_t *job, worker_t *worker, steps_t *out)
{
  run_t *run = g_new0 (run_t, 1);

  job_dequeue (job);
  job_unhold (place, job);
  job->phase = JOB_RUNNING;
  job->peak = (amounts_t){ 0 };
  job->run = run;
  run->number = ++place->last_run;
  run->job = job;
  run->team = job->team;
  run->worker = worker;
  run->holds = job->need;
  run->lease_end_us = out->now_us + PLACEMENT_LEASE_US;
  run->lease
      = g_sequence_insert_sorted (place->leases, run, compare_leases, NULL);
  run->on_worker.data = run;
  run->of_team.data = run;
  g_queue_push_tail_link (&worker->runs, &run->on_worker);
  g_queue_push_tail_link (&run->team->runs, &run->of_team);
  run->team->running++;
  amounts_add (&run->team->holds, &run->holds);
  amounts_subtract (&worker->free, &run->holds);
  worker_index (place, worker);
  steps_add (out, COMMAND_START, run);
}

/* RUN has surely ended.  */
void
run_free (placement_t *place, run_t *run)
{
  team_jobs_t *team = run->team;
  worker_t *worker = run->worker;

  if (run->job)
    run->job->run = NULL;
  if (run->cpu_cut)
    g_ptr_array_remove_fast (place->throttled, run);
  if (run->reclaim != RECLAIM_NONE)
    amounts_subtract (&team->leaving, &run->holds);
  team->running--;
  amounts_subtract (&team->holds, &run->holds);
  amounts_add (&worker->free, &run->holds);
  g_queue_unlink (&worker->runs, &run->on_worker);
  g_queue_unlink (&team->runs, &run->of_team);
  g_sequence_remove (run->lease);
  worker_index (place, worker);
  g_free (run);
}

static void
explain_too_large (const placement_t *place, const amounts_t *need,
                   char *reason)
{
  const amounts_t *most = &place->capacity.nodes[1];

  g_snprintf (reason, PLACEMENT_REASON_BYTES,
              "needs %" G_GINT64_FORMAT " milli-CPU, %" G_GINT64_FORMAT
              " MiB and %" G_GINT64_FORMAT
              " accelerators on one worker; the most that workers have is "
              "%" G_GINT64_FORMAT ", %" G_GINT64_FORMAT
              " and %" G_GINT64_FORMAT ", not all on one",
              need->cpu_milli, need->mem_mib, need->accels,
              MAX (most->cpu_milli, 0), MAX (most->mem_mib, 0),
              MAX (most->accels, 0));
}

static char *
kind_of (const job_spec_t *spec)
{
  const char *kind = spec->kind && spec->kind[0] ? spec->kind : NULL;

  return g_strconcat (spec->team, kind ? "/" : "#", kind ? kind : spec->id,
                      NULL);
}

place_verdict_t
placement_submit (placement_t *place, const job_spec_t *spec,
                  char reason[PLACEMENT_REASON_BYTES])
{
  team_jobs_t *team = g_hash_table_lookup (place->teams, spec->team);
  amounts_t declared = amounts_of (spec->declared);
  g_autofree char *kind = kind_of (spec);
  amounts_t need = learn_estimate (place->learn, kind, &declared);
  job_t *job;

  reason[0] = '\0';
  workers_sort (place);
  if (!team)
    {
      g_snprintf (reason, PLACEMENT_REASON_BYTES, "there is no team %s",
                  spec->team);
      return PLACE_NO_TEAM;
    }
  if (g_hash_table_contains (place->jobs, spec->id))
    {
      g_snprintf (reason, PLACEMENT_REASON_BYTES, "job %s is here already",
                  spec->id);
      return PLACE_KNOWN;
    }
  if (capacity_index_find (&place->capacity, &need, NULL, 0)
      == CAPACITY_INDEX_NONE)
    {
      explain_too_large (place, &need, reason);
      return PLACE_TOO_LARGE;
    }
  job = g_new0 (job_t, 1);
  job->id = g_strdup (spec->id);
  job->kind = g_steal_pointer (&kind);
  job->kind_hash = hash_bytes (job->kind, strlen (job->kind), 0);
  job->number = ++place->last_job;
  job->team = team;
  job->declared = declared;
  job->need = need;
  job->urgent = spec->urgent;
  job->idempotent = spec->idempotent;
  job->can_checkpoint = spec->can_checkpoint;
  g_hash_table_insert (place->jobs, job->id, job);
  job_enqueue (job, false);
  return PLACE_ACCEPTED;
}

bool
place_cancel (placement_t *place, const char *id)
{
  job_t *job = g_hash_table_lookup (place->jobs, id);

  if (!job || job->cancelled)
    return false;
  if (job->phase == JOB_QUEUED)
    job_dequeue (job);
  if (!job->run)
    {
      job_free (place, job);
      return true;
    }
  job->cancelled = true;
  g_ptr_array_add (place->stops, job);
  return true;
}

void
place_lose_worker (placement_t *place, const char *name)
{
  worker_t *worker = g_hash_table_lookup (place->workers, name);

  if (!worker)
    return;
  worker->usable = false;
  if (worker->held_for)
    job_unhold (place, worker->held_for);
  place->workers_changed = true;
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
find_run (const placement_t *place, const char *id, uint64_t run)
{
  job_t *job = g_hash_table_lookup (place->jobs, id);

  return job && job->run && job->run->number == run ? job : NULL;
}

bool
placement_renew_lease (placement_t *place, const char *id, uint64_t run,
                       int64_t lease_end_us)
{
  job_t *job = find_run (place, id, run);

  if (!job || job->run->lease_end_us > lease_end_us)
    return false;
  job->phase = JOB_RUNNING;
  job->run->lease_end_us = lease_end_us;
  g_sequence_sort_changed (job->run->lease, compare_leases, NULL);
  return true;
}

bool
place_use (placement_t *place, const char *id, uint64_t run, resources_t used)
{
  job_t *job = find_run (place, id, run);
  amounts_t seen = amounts_of (used);
  amounts_t more;

  if (!job)
    return false;
  job->peak.cpu_milli = MAX (job->peak.cpu_milli, seen.cpu_milli);
  job->peak.mem_mib = MAX (job->peak.mem_mib, seen.mem_mib);
  more.cpu_milli
      = MIN (job->peak.cpu_milli, job->declared.cpu_milli) - job->run->cpu_cut;
  more.cpu_milli = MAX (more.cpu_milli - job->run->holds.cpu_milli, 0);
  more.mem_mib = MIN (job->peak.mem_mib, job->declared.mem_mib);
  more.mem_mib = MAX (more.mem_mib - job->run->holds.mem_mib, 0);
  more.accels = 0;
  amounts_add (&job->run->holds, &more);
  amounts_add (&job->team->holds, &more);
  if (job->run->reclaim != RECLAIM_NONE)
    amounts_add (&job->team->leaving, &more);
  amounts_subtract (&job->run->worker->free, &more);
  worker_index (place, job->run->worker);
  return true;
}

bool
place_job (const placement_t *place, const char *id, job_info_t *info)
{
  const job_t *job = g_hash_table_lookup (place->jobs, id);

  if (!job)
    return false;
  info->phase = job->phase;
  info->worker = job->run ? job->run->worker->name : NULL;
  info->run = job->run ? job->run->number : 0;
  info->reason = job->reason;
  return true;
}

bool
place_team (const placement_t *place, const char *name, team_info_t *info)
{
  const team_jobs_t *team = g_hash_table_lookup (place->teams, name);

  if (!team)
    return false;
  info->running = team->running;
  info->queued = team->queued;
  info->dominant = team_part (place, &team->holds);
  return true;
}

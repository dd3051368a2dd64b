#include "placement_internal.h"
#include <math.h>
#include <string.h>

/* Most urgent jobs of a queue for which one call reclaims capacity.  */
#define RECLAIM_DEPTH 64

void
command_list_add (command_list_t *out, command_kind_t kind, const run_t *run)
{
  worker_command_t *command = &out->commands[out->count++];

  *command = (worker_command_t){
    .kind = kind,
    .job = run->job->id,
    .worker = run->worker->name,
    .run = run->number,
    .resources = { .cpu_milli = (uint32_t)run->allocated.cpu_milli,
                   .mem_mib = (uint32_t)run->allocated.mem_mib,
                   .accels = (uint32_t)run->allocated.accels },
    .lease_end_us = kind == COMMAND_START ? run->lease_end_us : 0,
  };
}

static int
compare_workers (gconstpointer a, gconstpointer b)
{
  const worker_t *const *l = a;
  const worker_t *const *r = b;

  if ((*l)->capacity.accels != (*r)->capacity.accels)
    return (*l)->capacity.accels < (*r)->capacity.accels ? -1 : 1;
  return strcmp ((*l)->name, (*r)->name);
}

/* Sorts the workers and fills both indexes, if a worker has changed.  Workers
   without accelerators come first, so that jobs that need none leave the
   others free.  */
void
workers_rebuild_index (placement_t *placement)
{
  GPtrArray *list = placement->worker_list;

  if (!placement->workers_changed)
    return;
  placement->workers_changed = false;
  g_ptr_array_sort (list, compare_workers);
  capacity_index_reset (&placement->free_index, list->len);
  capacity_index_reset (&placement->capacity_index, list->len);
  placement->total_capacity = (amounts_t){ 0 };
  for (uint32_t i = 0; i < list->len; i++)
    {
      worker_t *worker = g_ptr_array_index (list, i);

      worker->index = i;
      capacity_index_set (&placement->capacity_index, i, &worker->capacity);
      worker_update_index (placement, worker);
      if (worker->usable && !worker->excluded)
        amounts_add (&placement->total_capacity, &worker->capacity);
    }
}

static double
fraction (int64_t amount, int64_t total)
{
  return total > 0 ? (double)amount / (double)total : 0;
}

/* The dominant share of AMOUNTS: the largest fraction of the fleet's capacity,
   over the resources.  */
double
dominant_share_of (const placement_t *placement, const amounts_t *amounts)
{
  double cpu
      = fraction (amounts->cpu_milli, placement->total_capacity.cpu_milli);
  double mem = fraction (amounts->mem_mib, placement->total_capacity.mem_mib);
  double accels = fraction (amounts->accels, placement->total_capacity.accels);

  return MAX (cpu, MAX (mem, accels));
}

/* Ends runs whose leases have expired.  CLOCK_ERROR_MS is added, so that they
   have expired by the clock of the worker too.  */
static void
expire_leases (placement_t *placement, int64_t now_us)
{
  while (!g_sequence_is_empty (placement->leases))
    {
      run_t *run
          = g_sequence_get (g_sequence_get_begin_iter (placement->leases));
      job_t *job = run->job;

      if (run->lease_end_us + CLOCK_ERROR_MS * INT64_C (1000) >= now_us)
        return;
      run_free (placement, run);
      if (job && job->cancelled)
        job_free (placement, job);
      else if (job)
        job_enqueue (job, true);
    }
}

static void
send_stops (placement_t *placement, command_list_t *out)
{
  while (placement->pending_stops->len > 0 && out->count < out->max)
    {
      job_t *job = g_ptr_array_index (placement->pending_stops, 0);

      g_ptr_array_remove_index_fast (placement->pending_stops, 0);
      command_list_add (out, COMMAND_STOP, job->run);
    }
}

static bool
is_schedulable (const worker_t *worker)
{
  return worker->usable && !worker->excluded;
}

static void
advance_reservations (placement_t *placement, command_list_t *out)
{
  for (uint32_t i = placement->reserved_jobs->len;
       i-- > 0 && out->count < out->max;)
    {
      job_t *job = g_ptr_array_index (placement->reserved_jobs, i);
      worker_t *worker = job->reserved_worker;

      reclaim_stop_overdue (worker, out);
      if (out->count == out->max)
        return;
      if (is_schedulable (worker) && amounts_cover (&worker->free, &job->need)
          && job->team->running < job->team->limit)
        job_start (placement, job, worker, out);
      else if (!is_schedulable (worker)
               || (job->urgent
                   && out->now_us - job->reserved_since_us
                          > PLACEMENT_RESERVATION_US))
        job_release_worker (placement, job);
    }
}

static worker_t *
find_worker (const placement_t *placement, const job_t *job)
{
  uint32_t skip[PLACEMENT_FAILED_WORKERS_MAX] = { 0 };
  uint32_t n = job->failed_on_count;
  uint32_t at;

  for (uint32_t i = 0; i < n; i++)
    skip[i] = job->failed_on[i]->index;
  at = capacity_index_find (&placement->free_index, &job->need, skip, n);
  if (at == CAPACITY_INDEX_NONE && n > 0
      && capacity_index_find (&placement->capacity_index, &job->need, skip, n)
             == CAPACITY_INDEX_NONE)
    at = capacity_index_find (&placement->free_index, &job->need, NULL, 0);
  return at == CAPACITY_INDEX_NONE
             ? NULL
             : g_ptr_array_index (placement->worker_list, at);
}

static bool
has_startable_job (const team_jobs_t *team, bool urgent, uint32_t accels)
{
  return !team->blocked[urgent][accels]
         && team->queues[urgent][accels].length > 0;
}

/* The team with the lowest weighted dominant share, of those that have a job
   to start and are below their limits; NULL when its share is above CEILING.
 */
static team_jobs_t *
next_team (const placement_t *placement, bool urgent, double ceiling)
{
  team_jobs_t *best = NULL;
  double best_share = 0;

  for (uint32_t i = 0; i < placement->team_list->len; i++)
    {
      team_jobs_t *team = g_ptr_array_index (placement->team_list, i);
      double own;

      if (team->running >= team->limit
          || (!has_startable_job (team, urgent, 0)
              && !has_startable_job (team, urgent, 1)))
        continue;
      own = dominant_share_of (placement, &team->allocated) / team->share;
      if (best && own >= best_share)
        continue;
      best = team;
      best_share = own;
    }
  return best_share <= ceiling ? best : NULL;
}

/* The job of TEAM that was submitted first; *ACCELS is set to the index of its
   queue.  */
static job_t *
next_job (team_jobs_t *team, bool urgent, uint32_t *accels)
{
  job_t *best = NULL;

  for (uint32_t i = 0; i < 2; i++)
    {
      job_t *job;

      if (!has_startable_job (team, urgent, i))
        continue;
      job = g_queue_peek_head (&team->queues[urgent][i]);
      if (best && best->number < job->number)
        continue;
      best = job;
      *accels = i;
    }
  return best;
}

static void
reclaim_for_queue (placement_t *placement, const team_jobs_t *team,
                   GQueue *queue, command_list_t *out)
{
  uint32_t depth = RECLAIM_DEPTH;
  GList *link = queue->head;

  while (link && depth-- && team->running < team->limit
         && out->count < out->max)
    {
      job_t *job = link->data;

      link = link->next; /* JOB may be started and leave the queue */
      if (!job->reserved_worker && !reclaim_for_job (placement, job, out))
        return;
    }
}

static uint32_t
count_starvation_reservations (const placement_t *placement)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < placement->reserved_jobs->len; i++)
    if (!((const job_t *)g_ptr_array_index (placement->reserved_jobs, i))
             ->urgent)
      count++;
  return count;
}

/* Reserves a worker for JOB when it has waited too long.  Without that, a
   large job never starts while small jobs take all capacity that becomes free.
 */
static void
reserve_for_starving (placement_t *placement, job_t *job, int64_t now_us)
{
  uint32_t allowed
      = MAX (placement->worker_list->len / PLACEMENT_RESERVED_DIVISOR, 1);
  worker_t *best = NULL;

  if (job->blocked_since_us == 0)
    job->blocked_since_us = now_us;
  if (job->reserved_worker
      || now_us - job->blocked_since_us < PLACEMENT_STARVATION_US
      || count_starvation_reservations (placement) >= allowed)
    return;
  for (uint32_t i = 0; i < placement->worker_list->len; i++)
    {
      worker_t *worker = g_ptr_array_index (placement->worker_list, i);

      if (is_schedulable (worker) && !worker->reserved_for
          && amounts_cover (&worker->capacity, &job->need)
          && (!best || worker->runs.length < best->runs.length))
        best = worker;
    }
  if (best)
    job_reserve_worker (placement, job, best, now_us);
}

/* The weighted dominant share above which teams start nothing while JOB of
   TEAM waits for room.  Without it, small jobs of teams above their shares
   take all capacity that becomes free.  A job that waits for an accelerator
   sets no ceiling: other teams do not free one by leaving processors idle.  */
static double
share_ceiling (const placement_t *placement, const team_jobs_t *team,
               const job_t *job, int64_t now_us)
{
  double own = dominant_share_of (placement, &team->allocated) / team->share;

  if (job->need.accels > 0
      || now_us - job->blocked_since_us >= PLACEMENT_YIELD_US)
    return HUGE_VAL;
  return own + own / PLACEMENT_YIELD_DIVISOR;
}

static void
start_jobs (placement_t *placement, bool urgent, command_list_t *out)
{
  double ceiling = HUGE_VAL;
  team_jobs_t *team;

  for (uint32_t i = 0; i < placement->team_list->len; i++)
    {
      team = g_ptr_array_index (placement->team_list, i);
      team->blocked[urgent][0] = team->blocked[urgent][1] = false;
    }
  while (out->count < out->max
         && (team = next_team (placement, urgent, ceiling)))
    {
      uint32_t accels = 0;
      job_t *job = next_job (team, urgent, &accels);
      worker_t *worker = find_worker (placement, job);

      if (worker)
        {
          job_start (placement, job, worker, out);
          continue;
        }
      team->blocked[urgent][accels] = true;
      if (urgent)
        {
          reclaim_for_queue (placement, team, &team->queues[urgent][accels],
                             out);
          continue;
        }
      reserve_for_starving (placement, job, out->now_us);
      ceiling
          = MIN (ceiling, share_ceiling (placement, team, job, out->now_us));
    }
}

uint32_t
placement_next (placement_t *placement, int64_t now_us,
                worker_command_t *commands, uint32_t max)
{
  command_list_t out = { .commands = commands, .max = max, .now_us = now_us };

  workers_rebuild_index (placement);
  expire_leases (placement, now_us);
  send_stops (placement, &out);
  advance_reservations (placement, &out);
  start_jobs (placement, true, &out);
  start_jobs (placement, false, &out);
  reclaim_restore_throttled (placement, &out);
  return out.count;
}

#include "jobs.h"
#include <math.h>
#include <string.h>

/* Urgent jobs of a queue for which capacity is taken back in one call.  */
#define RECLAIM_DEPTH 64

void
steps_add (steps_t *out, command_kind_t kind, const run_t *run)
{
  worker_command_t *step = &out->steps[out->count++];

  *step = (worker_command_t){
    .kind = kind,
    .job = run->job->id,
    .worker = run->worker->name,
    .run = run->number,
    .resources = { .cpu_milli = (uint32_t)run->holds.cpu_milli,
                   .mem_mib = (uint32_t)run->holds.mem_mib,
                   .accels = (uint32_t)run->holds.accels },
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

/* Workers without accelerators come first, so that jobs that need none leave
   the others free.  */
void
workers_sort (placement_t *place)
{
  GPtrArray *list = place->worker_list;

  if (!place->workers_changed)
    return;
  place->workers_changed = false;
  g_ptr_array_sort (list, compare_workers);
  capacity_index_reset (&place->free, list->len);
  capacity_index_reset (&place->capacity, list->len);
  place->total = (amounts_t){ 0 };
  for (uint32_t i = 0; i < list->len; i++)
    {
      worker_t *worker = g_ptr_array_index (list, i);

      worker->index = i;
      capacity_index_set (&place->capacity, i, &worker->capacity);
      worker_index (place, worker);
      if (worker->usable && !worker->bad)
        amounts_add (&place->total, &worker->capacity);
    }
}

static double
part (int64_t amount, int64_t total)
{
  return total > 0 ? (double)amount / (double)total : 0;
}

/* The dominant share: the part of the fleet, of the resource it is largest
   for.  */
double
team_part (const placement_t *place, const amounts_t *amounts)
{
  double cpu = part (amounts->cpu_milli, place->total.cpu_milli);
  double mem = part (amounts->mem_mib, place->total.mem_mib);
  double accels = part (amounts->accels, place->total.accels);

  return MAX (cpu, MAX (mem, accels));
}

/* A lease has surely ended when the clock error has passed too.  */
static void
end_leases (placement_t *place, int64_t now_us)
{
  while (!g_sequence_is_empty (place->leases))
    {
      run_t *run = g_sequence_get (g_sequence_get_begin_iter (place->leases));
      job_t *job = run->job;

      if (run->lease_end_us + CLOCK_ERROR_MS * INT64_C (1000) >= now_us)
        return;
      run_free (place, run);
      if (job && job->cancelled)
        job_free (place, job);
      else if (job)
        job_enqueue (job, true);
    }
}

static void
send_stops (placement_t *place, steps_t *out)
{
  while (place->stops->len > 0 && out->count < out->max)
    {
      job_t *job = g_ptr_array_index (place->stops, 0);

      g_ptr_array_remove_index_fast (place->stops, 0);
      steps_add (out, COMMAND_STOP, job->run);
    }
}

static bool
is_open (const worker_t *worker)
{
  return worker->usable && !worker->bad;
}

static void
advance_holds (placement_t *place, steps_t *out)
{
  for (uint32_t i = place->holds->len; i-- > 0 && out->count < out->max;)
    {
      job_t *job = g_ptr_array_index (place->holds, i);
      worker_t *worker = job->hold;

      reclaim_advance (worker, out);
      if (out->count == out->max)
        return;
      if (is_open (worker) && amounts_cover (&worker->free, &job->need)
          && job->team->running < job->team->limit)
        job_start (place, job, worker, out);
      else if (!is_open (worker)
               || (job->urgent
                   && out->now_us - job->hold_since_us > PLACE_HOLD_US))
        job_unhold (place, job);
    }
}

static worker_t *
find_worker (const placement_t *place, const job_t *job)
{
  uint32_t skip[PLACE_FAIL_WORKERS];
  uint32_t n = job->failed_on_count;
  uint32_t at;

  for (uint32_t i = 0; i < n; i++)
    skip[i] = job->failed_on[i]->index;
  at = capacity_index_find (&place->free, &job->need, skip, n);
  if (at == CAPACITY_INDEX_NONE && n > 0
      && capacity_index_find (&place->capacity, &job->need, skip, n)
             == CAPACITY_INDEX_NONE)
    at = capacity_index_find (&place->free, &job->need, NULL, 0);
  return at == CAPACITY_INDEX_NONE
             ? NULL
             : g_ptr_array_index (place->worker_list, at);
}

static bool
has_turn (const team_jobs_t *team, bool urgent, uint32_t accels)
{
  return !team->blocked[urgent][accels]
         && team->queues[urgent][accels].length > 0;
}

/* The team whose dominant share is least for its weight, of those that have a
   job to start and are below their limits; NULL when that is above CEILING. */
static team_jobs_t *
next_team (const placement_t *place, bool urgent, double ceiling)
{
  team_jobs_t *best = NULL;
  double best_part = 0;

  for (uint32_t i = 0; i < place->team_list->len; i++)
    {
      team_jobs_t *team = g_ptr_array_index (place->team_list, i);
      double own;

      if (team->running >= team->limit
          || (!has_turn (team, urgent, 0) && !has_turn (team, urgent, 1)))
        continue;
      own = team_part (place, &team->holds) / team->share;
      if (best && own >= best_part)
        continue;
      best = team;
      best_part = own;
    }
  return best_part <= ceiling ? best : NULL;
}

/* The first of TEAM's jobs; *ACCELS says in which of its queues.  */
static job_t *
next_job (team_jobs_t *team, bool urgent, uint32_t *accels)
{
  job_t *best = NULL;

  for (uint32_t i = 0; i < 2; i++)
    {
      job_t *job;

      if (!has_turn (team, urgent, i))
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
reclaim_for_queue (placement_t *place, const team_jobs_t *team, GQueue *queue,
                   steps_t *out)
{
  uint32_t depth = RECLAIM_DEPTH;
  GList *link = queue->head;

  while (link && depth-- && team->running < team->limit
         && out->count < out->max)
    {
      job_t *job = link->data;

      link = link->next; /* JOB may be started */
      if (!job->hold && !reclaim_for (place, job, out))
        return;
    }
}

static uint32_t
count_starving_holds (const placement_t *place)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < place->holds->len; i++)
    if (!((const job_t *)g_ptr_array_index (place->holds, i))->urgent)
      count++;
  return count;
}

/* A large job would wait for ever while small ones fill every gap.  */
static void
help_starving (placement_t *place, job_t *job, int64_t now_us)
{
  uint32_t allowed = MAX (place->worker_list->len / PLACE_STARVE_PART, 1);
  worker_t *best = NULL;

  if (job->blocked_since_us == 0)
    job->blocked_since_us = now_us;
  if (job->hold || now_us - job->blocked_since_us < PLACE_STARVE_US
      || count_starving_holds (place) >= allowed)
    return;
  for (uint32_t i = 0; i < place->worker_list->len; i++)
    {
      worker_t *worker = g_ptr_array_index (place->worker_list, i);

      if (is_open (worker) && !worker->held_for
          && amounts_cover (&worker->capacity, &job->need)
          && (!best || worker->runs.length < best->runs.length))
        best = worker;
    }
  if (best)
    job_hold (place, job, best, now_us);
}

/* How much a team may hold while JOB of TEAM, which holds less, waits for
   room: else small jobs of teams above their shares would fill every gap.
   Waiting for an accelerator keeps nobody back: others don't free one by
   leaving processors idle.  */
static double
ceiling_for (const placement_t *place, const team_jobs_t *team,
             const job_t *job, int64_t now_us)
{
  double own = team_part (place, &team->holds) / team->share;

  if (job->need.accels > 0 || now_us - job->blocked_since_us >= PLACE_YIELD_US)
    return HUGE_VAL;
  return own + own / PLACE_YIELD_PART;
}

static void
start_jobs (placement_t *place, bool urgent, steps_t *out)
{
  double ceiling = HUGE_VAL;
  team_jobs_t *team;

  for (uint32_t i = 0; i < place->team_list->len; i++)
    {
      team = g_ptr_array_index (place->team_list, i);
      team->blocked[urgent][0] = team->blocked[urgent][1] = false;
    }
  while (out->count < out->max && (team = next_team (place, urgent, ceiling)))
    {
      uint32_t accels = 0;
      job_t *job = next_job (team, urgent, &accels);
      worker_t *worker = find_worker (place, job);

      if (worker)
        {
          job_start (place, job, worker, out);
          continue;
        }
      team->blocked[urgent][accels] = true;
      if (urgent)
        {
          reclaim_for_queue (place, team, &team->queues[urgent][accels], out);
          continue;
        }
      help_starving (place, job, out->now_us);
      ceiling = MIN (ceiling, ceiling_for (place, team, job, out->now_us));
    }
}

uint32_t
placement_next (placement_t *place, int64_t now_us, worker_command_t *steps,
                uint32_t max)
{
  steps_t out = { .steps = steps, .max = max, .now_us = now_us };

  workers_sort (place);
  end_leases (place, now_us);
  send_stops (place, &out);
  advance_holds (place, &out);
  start_jobs (place, true, &out);
  start_jobs (place, false, &out);
  reclaim_restore (place, &out);
  return out.count;
}

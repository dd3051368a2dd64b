#include "capacity_index.h"
#include "fleet_bench.h"
#include <stdlib.h>

#define TEAMS_MAX 96
#define COMMANDS_MAX 8192
#define BACKLOG_JOBS 64 /* waiting jobs of a team, times 1 to 4 */
#define WARM_UP_S 100
#define RUN_S 600
#define JOB_MIN_S 20
#define LEASE_RENEWAL_S 4
#define JOB_SPREAD_S 100

typedef struct bench_job
{
  uint32_t team;
  uint32_t worker;
  uint64_t run;
  resources_t size;
  int64_t end_s;
} bench_job_t;

typedef struct sim
{
  const bench_case_t *c;
  bool fair;
  placement_t *placement;
  capacity_index_t capacity; /* of the baseline */
  amounts_t *free;
  GQueue waiting;      /* baseline: job ids in order of arrival */
  GHashTable *running; /* id -> bench_job_t */
  GHashTable *queued;  /* id -> bench_job_t */
  uint32_t backlog[TEAMS_MAX];
  uint32_t shares[TEAMS_MAX];
  amounts_t held[TEAMS_MAX];
  amounts_t total;
  uint64_t seed;
  uint64_t next_id;
  int64_t now_s;
  share_result_t result;
  uint64_t samples;
} sim_t;

static resources_t
worker_size (const bench_case_t *c, uint32_t worker)
{
  resources_t size = { c->fleet.cpu_milli, c->fleet.mem_mib, 0 };

  if (worker < c->accels / 2)
    size.accels = 2;
  return size;
}

/* A third of the teams needs mostly processors, a third mostly memory, the
   rest both.  */
static resources_t
job_size (sim_t *sim, uint32_t team)
{
  uint32_t n = 1 + fixture_random_below (&sim->seed, 2);

  switch (team % 3)
    {
    case 0:
      return (resources_t){ n * 1000, n * 1024, 0 };
    case 1:
      return (resources_t){ n * 250, n * 4096, 0 };
    default:
      return (resources_t){ n * 500, n * 2048, 0 };
    }
}

static amounts_t
amounts_of (resources_t r)
{
  return (amounts_t){ r.cpu_milli, r.mem_mib, r.accels };
}

static void
open_sim (sim_t *sim)
{
  uint32_t hosts = sim->c->fleet.hosts;

  sim->placement = placement_new (0);
  sim->free = g_new0 (amounts_t, hosts);
  sim->running
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  sim->queued
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  capacity_index_reset (&sim->capacity, hosts);
  for (uint32_t i = 0; i < hosts; i++)
    {
      g_autofree char *name = g_strdup_printf ("h%04u", i);
      amounts_t size = amounts_of (worker_size (sim->c, i));

      placement_set_worker (sim->placement, name, worker_size (sim->c, i),
                            true);
      sim->free[i] = size;
      capacity_index_set (&sim->capacity, i, &size);
      amounts_add (&sim->total, &size);
    }
  for (uint32_t i = 0; i < sim->c->teams; i++)
    {
      g_autofree char *name = g_strdup_printf ("t%u", i);

      sim->shares[i] = 1 + i % 3;
      placement_set_team (sim->placement, name, sim->shares[i], 1000000);
    }
}

/* Teams submit at different rates: the number of waiting jobs depends on the
   team's number.  Arrival order is the order of refilling.  */
static void
refill (sim_t *sim)
{
  char reason[PLACEMENT_REASON_BYTES];

  for (uint32_t t = 0; t < sim->c->teams; t++)
    while (sim->backlog[t] < BACKLOG_JOBS * (1 + t % 4))
      {
        bench_job_t *job = g_new0 (bench_job_t, 1);
        char *id = g_strdup_printf ("j%" G_GUINT64_FORMAT, sim->next_id++);
        g_autofree char *team = g_strdup_printf ("t%u", t);
        job_spec_t spec = { .id = id, .team = team, .idempotent = true };

        job->team = t;
        job->size = spec.declared = job_size (sim, t);
        if (sim->fair)
          placement_submit (sim->placement, &spec, reason);
        else
          g_queue_push_tail (&sim->waiting, id);
        g_hash_table_insert (sim->queued, id, job);
        sim->backlog[t]++;
      }
}

static void
start_job (sim_t *sim, const char *id, uint32_t worker, uint64_t run)
{
  char *key = NULL;
  bench_job_t *job = NULL;
  amounts_t size;

  g_hash_table_steal_extended (sim->queued, id, (gpointer *)&key,
                               (gpointer *)&job);
  size = amounts_of (job->size);
  job->worker = worker;
  job->run = run;
  job->end_s = sim->now_s + JOB_MIN_S
               + fixture_random_below (&sim->seed, JOB_SPREAD_S);
  sim->backlog[job->team]--;
  amounts_add (&sim->held[job->team], &size);
  amounts_subtract (&sim->free[worker], &size);
  capacity_index_set (&sim->capacity, worker, &sim->free[worker]);
  g_hash_table_insert (sim->running, key, job);
}

static void
end_jobs (sim_t *sim)
{
  GHashTableIter iter;
  gpointer id;
  gpointer value;

  g_hash_table_iter_init (&iter, sim->running);
  while (g_hash_table_iter_next (&iter, &id, &value))
    {
      bench_job_t *job = value;
      amounts_t size = amounts_of (job->size);

      if (sim->fair && sim->now_s % LEASE_RENEWAL_S == 0)
        placement_renew_lease (sim->placement, id, job->run,
                               sim->now_s * SECOND + PLACEMENT_LEASE_US);
      if (job->end_s > sim->now_s)
        continue;
      if (sim->fair)
        placement_end_run (sim->placement, id, job->run, JOB_END_DONE);
      amounts_subtract (&sim->held[job->team], &size);
      amounts_add (&sim->free[job->worker], &size);
      capacity_index_set (&sim->capacity, job->worker,
                          &sim->free[job->worker]);
      g_hash_table_iter_remove (&iter);
    }
}

static void
start_placed (sim_t *sim)
{
  static worker_command_t commands[COMMANDS_MAX];
  uint32_t count;

  while ((count = placement_next (sim->placement, sim->now_s * SECOND,
                                  commands, COMMANDS_MAX))
         > 0)
    for (uint32_t i = 0; i < count; i++)
      start_job (sim, commands[i].job,
                 (uint32_t)strtoul (commands[i].worker + 1, NULL, 10),
                 commands[i].run);
}

static void
start_first_fit (sim_t *sim)
{
  GList *link = sim->waiting.head;

  while (link)
    {
      GList *next = link->next;
      const bench_job_t *job = g_hash_table_lookup (sim->queued, link->data);
      amounts_t size = amounts_of (job->size);
      uint32_t worker = capacity_index_find (&sim->capacity, &size, NULL, 0);

      if (worker != CAPACITY_INDEX_NONE)
        {
          start_job (sim, link->data, worker, 0);
          g_queue_delete_link (&sim->waiting, link);
        }
      link = next;
    }
}

static void
sample_shares (sim_t *sim)
{
  double dominant[TEAMS_MAX];
  double sum = 0;
  double shares = 0;
  amounts_t held = { 0 };

  for (uint32_t i = 0; i < sim->c->teams; i++)
    {
      dominant[i] = MAX ((double)sim->held[i].cpu_milli / sim->total.cpu_milli,
                         (double)sim->held[i].mem_mib / sim->total.mem_mib);
      sum += dominant[i];
      shares += sim->shares[i];
      amounts_add (&held, &sim->held[i]);
    }
  for (uint32_t i = 0; i < sim->c->teams; i++)
    {
      double deviation = 100 * (dominant[i] / sum - sim->shares[i] / shares);

      deviation = deviation < 0 ? -deviation : deviation;
      sim->result.mean += deviation;
      sim->result.max = MAX (sim->result.max, deviation);
      sim->samples++;
    }
  sim->result.utilisation
      += MAX ((double)held.cpu_milli / sim->total.cpu_milli,
              (double)held.mem_mib / sim->total.mem_mib);
}

share_result_t
share_run (const bench_case_t *c, bool fair, uint64_t seed)
{
  sim_t *sim = g_new0 (sim_t, 1);
  share_result_t result;

  sim->c = c;
  sim->fair = fair;
  sim->seed = seed;
  open_sim (sim);
  for (; sim->now_s < WARM_UP_S + RUN_S; sim->now_s++)
    {
      end_jobs (sim);
      refill (sim);
      if (fair)
        start_placed (sim);
      else
        start_first_fit (sim);
      if (sim->now_s >= WARM_UP_S)
        sample_shares (sim);
    }
  result = sim->result;
  result.mean /= (double)sim->samples;
  result.utilisation /= RUN_S;
  g_hash_table_destroy (sim->running);
  g_queue_clear (&sim->waiting);
  g_hash_table_destroy (sim->queued);
  capacity_index_clear (&sim->capacity);
  g_free (sim->free);
  placement_free (sim->placement);
  g_free (sim);
  return result;
}

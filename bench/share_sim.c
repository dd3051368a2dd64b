#include "share_sim.h"
#include <math.h>

#define QUEUE_MAX 256

/* Run times are exponential, shifted and cut off to lie between these
   multiples of the mean, so that a request started early enough always meets
   its deadline.  */
#define RUN_TIME_MIN_MEANS 0.4
#define RUN_TIME_MAX_MEANS 2.8

const uint32_t sim_shares[TEAMS] = { 7, 5, 4, 3, 2, 1 };

static const char *const team_names[TEAMS] = { "a", "b", "c", "d", "e", "f" };

typedef struct request
{
  queue_entry_t entry;
  uint32_t team;
  int64_t arrived_us;
  int64_t started_us;
  int64_t ends_us;
} request_t;

typedef struct sim
{
  const load_t *load;
  result_t *result;
  GRand *rand;
  fair_queue_t *queue;
  queue_team_t *teams[TEAMS];
  uint32_t limits[TEAMS];
  uint32_t in_use[TEAMS];
  uint32_t waiting[TEAMS];
  int64_t next_us[TEAMS]; /* next arrival */
  request_t *running[SLOTS];
  uint32_t running_count;
  int64_t now_us;
  window_t window;
  bool measuring;
} sim_t;

static double
exponential (sim_t *sim)
{
  return -log (1.0 - g_rand_double (sim->rand));
}

static bool
in_interval (const sim_t *sim, int64_t from_us, int64_t len_us)
{
  int64_t at_us = sim->now_us % sim->load->period_us;

  return at_us >= from_us && at_us < from_us + len_us;
}

/* Draws the next arrival.  It is drawn again at each change of rate, which is
   valid because the exponential distribution is memoryless.  */
static void
schedule_arrival (sim_t *sim, uint32_t team)
{
  const load_t *load = sim->load;
  bool burst = in_interval (sim, load->burst_us, load->burst_len_us);
  double rate = load->rate[team] * (burst ? 1 : 0.01);

  sim->next_us[team]
      = rate > 0
            ? sim->now_us + (int64_t)(exponential (sim) * SECOND_US / rate)
            : INT64_MAX;
}

static bool
can_start (void *ctx, queue_entry_t *entry)
{
  const sim_t *sim = ctx;
  uint32_t team = ((request_t *)entry)->team;

  if (sim->running_count == SLOTS)
    return false;
  switch (sim->load->policy)
    {
    case POLICY_FAIR:
    case POLICY_FCFS:
      return true;
    case POLICY_SPLIT:
      return sim->in_use[team] < sim->limits[team];
    }
  return false;
}

static void
start_request (sim_t *sim, request_t *request)
{
  const load_t *load = sim->load;
  double run
      = RUN_TIME_MIN_MEANS + (1 - RUN_TIME_MIN_MEANS) * exponential (sim);

  request->started_us = sim->now_us;
  request->ends_us
      = sim->now_us
        + (int64_t)(load->run_mean_us * load->run_factor[request->team]
                    * MIN (run, RUN_TIME_MAX_MEANS));
  sim->running[sim->running_count++] = request;
  sim->in_use[request->team]++;
}

static void
start_queued (sim_t *sim)
{
  queue_entry_t *entry;

  while ((entry = queue_take_expired (sim->queue, sim->now_us)))
    {
      sim->waiting[((request_t *)entry)->team]--;
      sim->result->expired += sim->measuring;
      g_free (entry);
    }
  while (sim->running_count < SLOTS
         && (entry = queue_take (sim->queue, sim->now_us, can_start, sim)))
    {
      sim->waiting[((request_t *)entry)->team]--;
      start_request (sim, (request_t *)entry);
    }
}

static void
handle_arrival (sim_t *sim, uint32_t team)
{
  const load_t *load = sim->load;
  request_t *request = g_new0 (request_t, 1);
  int64_t run_max_us = (int64_t)(load->run_mean_us * load->run_factor[team]
                                 * RUN_TIME_MAX_MEANS)
                       + 1;

  request->team = team;
  request->arrived_us = sim->now_us;
  sim->result->arrived += sim->measuring;
  schedule_arrival (sim, team);
  if (queue_length (sim->queue) == 0 && can_start (sim, &request->entry))
    {
      queue_charge (sim->queue, sim->teams[team], sim->now_us);
      start_request (sim, request);
      return;
    }
  if (queue_put (sim->queue, sim->teams[team], &request->entry, sim->now_us,
                 sim->now_us + load->deadline_us - run_max_us)
      != ERR_NONE)
    {
      sim->result->rejected_early += sim->measuring;
      g_free (request);
      return;
    }
  sim->waiting[team]++;
  start_queued (sim);
}

static void
complete_request (sim_t *sim, uint32_t slot)
{
  request_t *request = sim->running[slot];
  int64_t latency_us = sim->now_us - request->arrived_us;
  result_t *result = sim->result;

  sim->running[slot] = sim->running[--sim->running_count];
  sim->in_use[request->team]--;
  queue_complete (sim->queue, sim->teams[request->team], request->started_us,
                  sim->now_us);
  if (sim->measuring && latency_us > sim->load->deadline_us)
    result->late++;
  else if (sim->measuring)
    {
      result->answered++;
      result->goodput_us += (double)(sim->now_us - request->started_us);
      if (request->team == 0)
        g_array_append_val (result->latency_us, latency_us);
    }
  g_free (request);
  start_queued (sim);
}

/* Advances the time to NEXT_US, the time of the next event.  */
static void
advance (sim_t *sim, int64_t next_us)
{
  const load_t *load = sim->load;
  bool measuring;

  for (uint32_t i = 0; i < TEAMS && sim->measuring; i++)
    {
      sim->window.slot_us[i]
          += (double)sim->in_use[i] * (double)(next_us - sim->now_us);
      sim->window.all_backlogged &= sim->waiting[i] > 0;
    }
  sim->now_us = next_us;
  measuring = in_interval (sim, load->window_us, WINDOW_US);
  if (sim->measuring && !measuring)
    g_array_append_val (sim->result->windows, sim->window);
  if (!sim->measuring && measuring)
    sim->window = (window_t){ .all_backlogged = true };
  sim->measuring = measuring;
}

/* Returns the next time at which the rates or the measuring change.  */
static int64_t
next_boundary (const sim_t *sim)
{
  const load_t *load = sim->load;
  const int64_t at_us[]
      = { load->burst_us, load->burst_us + load->burst_len_us, load->window_us,
          load->window_us + WINDOW_US };
  int64_t base_us = sim->now_us - sim->now_us % load->period_us;
  int64_t next_us = INT64_MAX;

  for (size_t i = 0; i < G_N_ELEMENTS (at_us); i++)
    {
      int64_t time_us = base_us + at_us[i];

      if (time_us <= sim->now_us)
        time_us += load->period_us;
      next_us = MIN (next_us, time_us);
    }
  return next_us;
}

static void
step (sim_t *sim, int64_t boundary_us)
{
  uint32_t team = 0;
  uint32_t slot = 0;

  for (uint32_t i = 1; i < TEAMS; i++)
    if (sim->next_us[i] < sim->next_us[team])
      team = i;
  for (uint32_t i = 1; i < sim->running_count; i++)
    if (sim->running[i]->ends_us < sim->running[slot]->ends_us)
      slot = i;
  if (sim->running_count > 0 && sim->running[slot]->ends_us < boundary_us
      && sim->running[slot]->ends_us <= sim->next_us[team])
    {
      advance (sim, sim->running[slot]->ends_us);
      complete_request (sim, slot);
    }
  else if (sim->next_us[team] < boundary_us)
    {
      advance (sim, sim->next_us[team]);
      handle_arrival (sim, team);
    }
  else
    {
      advance (sim, boundary_us);
      for (uint32_t i = 0; i < TEAMS; i++)
        schedule_arrival (sim, i);
    }
}

/* Sets the limits of the fixed split; slots left over by rounding go to the
   first teams.  */
static void
split_slots (sim_t *sim)
{
  uint32_t sum = 0;
  uint32_t left = SLOTS;

  for (uint32_t i = 0; i < TEAMS; i++)
    sum += sim_shares[i];
  for (uint32_t i = 0; i < TEAMS; i++)
    left -= sim->limits[i] = SLOTS * sim_shares[i] / sum;
  for (uint32_t i = 0; left > 0; i = (i + 1) % TEAMS, left--)
    sim->limits[i]++;
}

static void
clear_sim (sim_t *sim)
{
  queue_entry_t *entry;

  while ((entry = queue_take_expired (sim->queue, INT64_MAX)))
    g_free (entry);
  while (sim->running_count > 0)
    g_free (sim->running[--sim->running_count]);
  queue_free (sim->queue);
  g_rand_free (sim->rand);
}

void
sim_run (const load_t *load, result_t *result)
{
  bool one_queue = load->policy == POLICY_FCFS;
  sim_t sim = { .load = load, .result = result };
  int64_t end_us = load->periods * load->period_us;

  sim.rand = g_rand_new_with_seed (load->seed);
  sim.queue = queue_new (one_queue ? TEAMS * QUEUE_MAX : QUEUE_MAX);
  for (uint32_t i = 0; i < TEAMS; i++)
    sim.teams[i] = one_queue
                       ? queue_team (sim.queue, "all", 1)
                       : queue_team (sim.queue, team_names[i], sim_shares[i]);
  split_slots (&sim);
  for (uint32_t i = 0; i < TEAMS; i++)
    schedule_arrival (&sim, i);
  for (int64_t boundary_us = next_boundary (&sim); sim.now_us < end_us;
       boundary_us = next_boundary (&sim))
    step (&sim, boundary_us);
  clear_sim (&sim);
}

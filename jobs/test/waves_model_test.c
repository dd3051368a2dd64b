/* waves_model - drawn waves, orders that are lost or late, old lists, and
   changes of the owner

   Each seed is a run of the owner's decisions against hosts and a platform of
   its own (fleetrig).  WAVES_MODEL_SEEDS is the number of seeds,
   WAVES_MODEL_FIRST the first one.  */

#include "fleetrig.h"
#include <stdlib.h>

#define SEEDS 60
#define HOSTS_MIN 3
#define HOSTS_MAX 8
#define FAULTS_MS 40000
/* For what is left after the faults: each host once for each wave, one at a
   time, and orders that are carried out late.  */
#define REST_MS 240000
/* RULES.md gives a task that lasts this time without a run, from its last one,
   before it counts as lost.  */
#define AWAY_MAX_MS 6000
#define LATE_MIN_MS 2000
#define LATE_MAX_MS 12000
/* A step in which something is asked for, or fails, of this many.  */
#define WAVE_STEPS 60
#define RESTART_STEPS 300
#define CHANGE_STEPS 150

static GRand *source;
static uint32_t fault_percent; /* of the orders */
static bool owner_dies;        /* with an order that is carried out late */

static fleet_fate_t
draw_fate (int64_t *late_ms)
{
  static const fleet_fate_t fates[]
      = { FATE_REFUSED, FATE_LOST, FATE_UNANSWERED, FATE_LATE };

  fleet_fate_t fate;

  *late_ms = g_rand_int_range (source, LATE_MIN_MS, LATE_MAX_MS);
  if ((uint32_t)g_rand_int_range (source, 0, 100) >= fault_percent)
    return FATE_ANSWERED;
  fate = fates[g_rand_int_range (source, 0, G_N_ELEMENTS (fates))];
  owner_dies |= fate == FATE_LATE && g_rand_boolean (source);
  return fate;
}

static void
draw_wave (uint64_t number)
{
  g_autoptr (GString) hosts = g_string_new (NULL);
  uint32_t first = (uint32_t)g_rand_int_range (source, 0, (int)fleet.count);
  uint32_t count
      = (uint32_t)g_rand_int_range (source, 1, (int)fleet.count + 1);
  /* The smallest limit is the one that is exceeded most easily.  */
  uint32_t at_once
      = g_rand_boolean (source)
            ? 1
            : (uint32_t)g_rand_int_range (source, 1, (int)count + 1);

  for (uint32_t i = 0; i < count; i++)
    g_string_append_printf (hosts, "%sh%u", i > 0 ? " " : "",
                            (first + i) % fleet.count);
  fleet_set_wave (number, hosts->str,
                  (uint32_t)g_rand_int_range (source, 5, 30), at_once);
}

static void
serve (uint32_t number)
{
  job_step_t step
      = rig_step ((uint32_t)g_rand_int_range (source, 1, (int)fleet.count));

  step.max_unavailable = (uint32_t)g_rand_int_range (source, 1, 3);
  fleet_serve (number, step);
}

static bool
all_complete (uint64_t waves)
{
  for (uint64_t i = 1; i <= waves; i++)
    if (!fleet.waves[i].complete)
      return false;
  return true;
}

/* QUIET: no order is lost, no worker restarts and the owner stays.  */
static void
check (uint32_t seed, bool quiet)
{
  ck_assert_msg (fleet.over_limit == 0, "seed %u: LIMIT %u", seed,
                 fleet.over_limit);
  ck_assert_msg (fleet.mixed == 0, "seed %u: MIXED %u", seed, fleet.mixed);
  ck_assert_msg (fleet.over_unavailable == 0, "seed %u: AVAIL %u", seed,
                 fleet.over_unavailable);
  ck_assert_msg (!quiet || fleet.away_most_ms < AWAY_MAX_MS,
                 "seed %u: a task has had no run for %" G_GINT64_FORMAT " ms",
                 seed, fleet.away_most_ms);
}

static void
play_seed (uint32_t seed)
{
  uint64_t waves = 0;
  bool restarts;
  bool quiet;
  bool changes; /* of the owner */

  source = g_rand_new_with_seed (seed);
  fault_percent = g_rand_boolean (source)
                      ? (uint32_t)g_rand_int_range (source, 0, 70)
                      : 0;
  restarts = g_rand_boolean (source);
  fleet_open ((uint32_t)g_rand_int_range (source, HOSTS_MIN, HOSTS_MAX + 1),
              8);
  fleet.fate = draw_fate;
  fleet.list_age_ms = g_rand_int_range (source, 0, 700);
  fleet.record_ms = g_rand_int_range (source, 0, 400);
  changes = g_rand_boolean (source);
  quiet = fault_percent == 0 && !restarts && !changes;
  for (uint32_t job = 1; job <= 2; job++)
    serve (job);
  for (int64_t ms = 0; ms < FAULTS_MS; ms += FLEET_STEP_MS)
    {
      if (waves + 1 < FLEET_WAVES_MAX
          && g_rand_int_range (source, 0, WAVE_STEPS) == 0)
        draw_wave (++waves);
      if (changes
          && (owner_dies || g_rand_int_range (source, 0, CHANGE_STEPS) == 0))
        fleet_change_owner ();
      owner_dies = false;
      if (restarts && g_rand_int_range (source, 0, RESTART_STEPS) == 0)
        {
          uint32_t index
              = (uint32_t)g_rand_int_range (source, 0, (int)fleet.count);

          if (fleet.hosts[index].up_us == 0)
            fleet_restart (index);
        }
      fleet_step ();
      check (seed, quiet);
    }
  fault_percent = 0;
  for (int64_t ms = 0; ms < REST_MS && !all_complete (waves);
       ms += FLEET_STEP_MS)
    {
      fleet_step ();
      check (seed, quiet);
    }
  ck_assert_msg (all_complete (waves), "seed %u: a wave isn't complete", seed);
  g_rand_free (source);
}

static uint32_t
number_of (const char *name, uint32_t value)
{
  const char *text = getenv (name);

  return text ? (uint32_t)strtoul (text, NULL, 10) : value;
}

/* Guards against waves that share hosts, follow each other, or whose orders
   get no answer, and that take too many hosts down at a time (LIMIT), end too
   many tasks of a step (AVAIL), count as complete too early (MIXED), or are
   never complete.  */
START_TEST (test_drawn_waves)
{
  uint32_t first = number_of ("WAVES_MODEL_FIRST", 1);
  uint32_t seeds = number_of ("WAVES_MODEL_SEEDS", SEEDS);

  for (uint32_t seed = first; seed < first + seeds; seed++)
    {
      rig_reset ();
      play_seed (seed);
      rig_tear_down ();
    }
}
END_TEST

TEST_PROGRAM_WITH ("jobs/waves_model", NULL, NULL, test_drawn_waves)

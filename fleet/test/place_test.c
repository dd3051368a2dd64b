/* Guards against jobs that are lost, run twice, wait although they can never
   run, or run beyond their team's limit.  */

#include "farm.h"
#include "fixture.h"

#define WORKERS 6
#define RUNS_MAX 4096
#define LEASE_US (PLACEMENT_LEASE_US + CLOCK_ERROR_MS * 1000)

START_TEST (refuses_at_once_what_no_worker_can_hold)
{
  g_autoptr (farm_t) farm = farm_open (4, 0);
  job_spec_t spec = { .id = "j", .team = "a", .declared = { 17000, 1, 0 } };
  char reason[PLACEMENT_REASON_BYTES];

  ck_assert_int_eq (placement_submit (farm->place, &spec, reason),
                    PLACE_TOO_LARGE);
  ck_assert_ptr_nonnull (strstr (reason, "needs 17000 milli-CPU"));
  ck_assert_ptr_nonnull (strstr (reason, "16000, 65536 and 0"));
  spec.declared = (resources_t){ 1000, 1, 1 };
  ck_assert_int_eq (placement_submit (farm->place, &spec, reason),
                    PLACE_TOO_LARGE);
  spec.declared = (resources_t){ 16000, 65536, 0 };
  spec.team = "nobody";
  ck_assert_int_eq (placement_submit (farm->place, &spec, reason),
                    PLACE_NO_TEAM);
  spec.team = "a";
  ck_assert_int_eq (placement_submit (farm->place, &spec, reason),
                    PLACE_ACCEPTED);
  ck_assert_int_eq (placement_submit (farm->place, &spec, reason),
                    PLACE_KNOWN);
}
END_TEST

/* Jobs on a lost worker may still run, so they count.  */
START_TEST (limit_holds_through_the_loss_of_a_worker)
{
  g_autoptr (farm_t) farm = farm_open (2, 0);

  placement_set_team (farm->place, "a", 1, 4);
  farm_submit_many (farm, "a", 0, 9, 1, "i");
  ck_assert_uint_eq (farm_next (farm), 4);
  place_lose_worker (farm->place, "w0000");
  ck_assert_uint_eq (farm_team (farm, "a").queued, 9);
  farm->now_us += PLACEMENT_LEASE_US;
  ck_assert_uint_eq (farm_next (farm), 0);
  farm->now_us += CLOCK_ERROR_MS * 1000 + 1;
  ck_assert_uint_eq (farm_next (farm), 4);
  ck_assert_str_eq (farm->steps[0].worker, "w0001");
  placement_set_team (farm->place, "a", 1, 2);
  ck_assert (farm_end (farm, farm->steps[0].job, JOB_END_DONE));
  ck_assert_uint_eq (farm_next (farm), 0);
}
END_TEST

START_TEST (restarts_a_non_idempotent_job_only_after_its_lease)
{
  g_autoptr (farm_t) farm = farm_open (2, 0);

  farm_submit (farm, "once", "a", 1, "");
  farm_submit (farm, "often", "a", 1, "i");
  ck_assert_uint_eq (farm_next (farm), 2);
  farm->now_us += 5 * SECOND;
  ck_assert (placement_renew_lease (farm->place, "once", 1,
                                    farm->now_us + PLACEMENT_LEASE_US));
  place_lose_worker (farm->place, "w0000");
  ck_assert_uint_eq (farm_next (farm), 1);
  ck_assert_str_eq (farm->steps[0].job, "often");
  ck_assert_int_eq (farm_phase (farm, "once"), JOB_LOST);
  /* A late report of the first run changes nothing.  */
  ck_assert (!placement_end_run (farm->place, "often", 2, JOB_END_FAILED));
  farm->now_us += PLACEMENT_LEASE_US + CLOCK_ERROR_MS * 1000;
  ck_assert (placement_renew_lease (farm->place, "often", 3,
                                    farm->now_us + PLACEMENT_LEASE_US));
  ck_assert_uint_eq (farm_next (farm), 0);
  farm->now_us += 1;
  ck_assert_uint_eq (farm_next (farm), 1);
  ck_assert_str_eq (farm->steps[0].job, "once");
}
END_TEST

START_TEST (cancelled_jobs_are_stopped_and_forgotten)
{
  g_autoptr (farm_t) farm = farm_open (1, 0);
  job_info_t info;

  farm_submit_many (farm, "a", 0, 20, 1, "i");
  ck_assert_uint_eq (farm_next (farm), 16);
  for (uint32_t i = 0; i < 20; i++)
    {
      char id[8];

      g_snprintf (id, sizeof id, "a%u", i);
      ck_assert (place_cancel (farm->place, id));
    }
  ck_assert_uint_eq (farm_team (farm, "a").queued, 0);
  ck_assert_uint_eq (farm_next (farm), 16);
  ck_assert_int_eq (farm->steps[3].kind, COMMAND_STOP);
  ck_assert (farm_end (farm, "a3", JOB_END_STOPPED));
  ck_assert (!place_job (farm->place, "a3", &info));
  ck_assert (!place_cancel (farm->place, "a3"));
}
END_TEST

START_TEST (learned_use_is_bounded_by_the_declaration)
{
  g_autoptr (farm_t) farm = farm_open (1, 0);

  for (uint32_t i = 0; i < 3; i++)
    {
      farm_submit (farm, "j", "a", 16, "");
      ck_assert_uint_eq (farm_next (farm), 1);
      ck_assert (place_use (farm->place, "j", farm_run (farm, "j"),
                            (resources_t){ 900, 400, 0 }));
      ck_assert (farm_end (farm, "j", JOB_END_DONE));
    }
  farm_submit_many (farm, "a", 0, 20, 16, "");
  ck_assert_uint_eq (farm_next (farm), 15); /* of 1013 milli-CPU each */
  ck_assert_uint_eq (farm->steps[0].resources.cpu_milli, 1013);
  ck_assert (place_use (farm->place, "a0", farm_run (farm, "a0"),
                        (resources_t){ 90000, 400, 0 }));
  ck_assert (farm_end (farm, "a1", JOB_END_DONE));
  ck_assert_uint_eq (farm_next (farm), 0); /* a0 now holds what it declared */
}
END_TEST

/* What may be running for all the test knows: a run that was reported as
   ended, or whose lease ended long enough ago, is not.  */
typedef struct seen_run
{
  char job[8];
  char worker[8];
  uint64_t number;
  resources_t size;
  int64_t lease_end_us;
  bool ended;
} seen_run_t;

typedef struct chaos
{
  farm_t *farm;
  seen_run_t runs[RUNS_MAX];
  uint32_t count;
  uint32_t next_id;
  uint64_t seed;
} chaos_t;

static bool
may_run (const chaos_t *c, const seen_run_t *run)
{
  return !run->ended
         && run->lease_end_us + CLOCK_ERROR_MS * 1000 >= c->farm->now_us;
}

/* Jobs with even numbers are not idempotent; their teams' limit is 12.  */
static void
check_start (const chaos_t *c, const worker_command_t *step)
{
  uint32_t running = 1;
  uint32_t cpu_milli = step->resources.cpu_milli;

  for (uint32_t i = 0; i < c->count; i++)
    {
      const seen_run_t *run = &c->runs[i];

      if (!may_run (c, run))
        continue;
      running += run->job[0] == step->job[0];
      if (strcmp (run->worker, step->worker) == 0)
        cpu_milli += run->size.cpu_milli;
      ck_assert_msg (strcmp (run->job, step->job) != 0
                         || strtoul (run->job + 1, NULL, 10) % 2,
                     "%s runs twice", run->job);
    }
  ck_assert_uint_le (running, 12);
  ck_assert_uint_le (cpu_milli, 16000);
}

static void
take_steps (chaos_t *c)
{
  farm_next (c->farm);
  for (uint32_t i = 0; i < c->farm->count; i++)
    {
      const worker_command_t *step = &c->farm->steps[i];
      seen_run_t *run = &c->runs[c->count];

      if (step->kind == COMMAND_START)
        {
          check_start (c, step);
          ck_assert_uint_lt (++c->count, RUNS_MAX);
          g_strlcpy (run->job, step->job, sizeof run->job);
          g_strlcpy (run->worker, step->worker, sizeof run->worker);
          run->number = step->run;
          run->lease_end_us = step->lease_end_us;
        }
      for (run = &c->runs[c->count - 1]; run->number != step->run;)
        run--;
      if (step->kind != COMMAND_STOP && step->kind != COMMAND_CHECKPOINT)
        run->size = step->resources;
    }
}

static void
report (chaos_t *c, seen_run_t *run)
{
  job_end_t how = (job_end_t)fixture_random_below (&c->seed, 4);

  if (fixture_random_below (&c->seed, 2))
    {
      int64_t end_us = c->farm->now_us + PLACEMENT_LEASE_US;

      if (placement_renew_lease (c->farm->place, run->job, run->number,
                                 end_us))
        run->lease_end_us = end_us;
      return;
    }
  if (placement_end_run (c->farm->place, run->job, run->number, how))
    run->ended = true;
}

static void
disturb (chaos_t *c)
{
  static const char *const flags[] = { "io", "ic", "iu", "iom" };
  static const char *const once[] = { "o", "c", "u", "m" };
  uint32_t id = c->next_id;
  char name[8];

  switch (fixture_random_below (&c->seed, 8))
    {
    case 0:
      g_snprintf (name, sizeof name, "w%04u",
                  fixture_random_below (&c->seed, WORKERS));
      place_lose_worker (c->farm->place, name);
      break;
    case 1:
      g_snprintf (name, sizeof name, "w%04u",
                  fixture_random_below (&c->seed, WORKERS));
      placement_set_worker (c->farm->place, name,
                            (resources_t){ 16000, 65536, 0 }, true);
      break;
    case 2:
      g_snprintf (name, sizeof name, "%c%u", id % 3 ? 'a' : 'b',
                  id - MIN (id, fixture_random_below (&c->seed, 30)));
      place_cancel (c->farm->place, name);
      break;
    default:
      g_snprintf (name, sizeof name, "%c%u", id % 3 ? 'a' : 'b', id);
      farm_submit (
          c->farm, name, id % 3 ? "a" : "b",
          1 + fixture_random_below (&c->seed, 8),
          (id % 2 ? flags : once)[fixture_random_below (&c->seed, 4)]);
      c->next_id++;
    }
}

static void
run_chaos (uint64_t seed)
{
  chaos_t *c = g_new0 (chaos_t, 1);

  c->seed = seed;
  c->farm = farm_open (WORKERS, 0);
  placement_set_team (c->farm->place, "a", 2, 12);
  placement_set_team (c->farm->place, "b", 1, 12);
  printf ("seed %" G_GUINT64_FORMAT, seed);
  fflush (stdout);
  for (uint32_t i = 0; i < 2000; i++)
    {
      disturb (c);
      for (uint32_t j = 0; j < 3 && c->count > 0; j++)
        report (
            c,
            &c->runs[c->count - 1
                     - fixture_random_below (&c->seed, MIN (c->count, 30))]);
      c->farm->now_us += fixture_random_below (&c->seed, 20) == 0
                             ? LEASE_US
                             : fixture_random_below (&c->seed, SECOND);
      take_steps (c);
    }
  printf (": %u runs of %u jobs\n", c->count, c->next_id);
  ck_assert_uint_gt (c->count, 500);
  farm_close (c->farm);
  g_free (c);
}

/* A report of an earlier run on the same worker ended the present one.
   CUMINPIN_SEED gives the seed of one sequence.  */
START_TEST (random_sequences_hold_the_invariants)
{
  const char *seed = getenv ("CUMINPIN_SEED");

  if (seed)
    run_chaos (strtoull (seed, NULL, 10));
  for (uint64_t i = 1; !seed && i <= 20; i++)
    run_chaos (i);
}
END_TEST

TEST_PROGRAM ("place", refuses_at_once_what_no_worker_can_hold,
              limit_holds_through_the_loss_of_a_worker,
              restarts_a_non_idempotent_job_only_after_its_lease,
              cancelled_jobs_are_stopped_and_forgotten,
              learned_use_is_bounded_by_the_declaration,
              random_sequences_hold_the_invariants)

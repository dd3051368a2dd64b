/* Guards against jobs that are lost, run twice, are queued although no worker
   can hold them, or exceed the limit of their team.  */

#include "cluster.h"
#include "fixture.h"

#define WORKERS 6
#define RUNS_MAX 4096
#define LEASE_US (PLACEMENT_LEASE_US + CLOCK_ERROR_MS * 1000)

START_TEST (rejects_jobs_that_no_worker_can_hold)
{
  g_autoptr (cluster_t) cluster = cluster_open (4, 0);
  job_spec_t spec = { .id = "j", .team = "a", .declared = { 17000, 1, 0 } };
  char reason[PLACEMENT_REASON_BYTES];

  ck_assert_int_eq (placement_submit (cluster->placement, &spec, reason),
                    SUBMIT_TOO_LARGE);
  ck_assert_ptr_nonnull (strstr (reason, "needs 17000 milli-CPU"));
  ck_assert_ptr_nonnull (strstr (reason, "16000, 65536 and 0"));
  spec.declared = (resources_t){ 1000, 1, 1 };
  ck_assert_int_eq (placement_submit (cluster->placement, &spec, reason),
                    SUBMIT_TOO_LARGE);
  spec.declared = (resources_t){ 16000, 65536, 0 };
  spec.team = "nobody";
  ck_assert_int_eq (placement_submit (cluster->placement, &spec, reason),
                    SUBMIT_UNKNOWN_TEAM);
  spec.team = "a";
  ck_assert_int_eq (placement_submit (cluster->placement, &spec, reason),
                    SUBMIT_ACCEPTED);
  ck_assert_int_eq (placement_submit (cluster->placement, &spec, reason),
                    SUBMIT_DUPLICATE);
}
END_TEST

/* Runs on a lost worker may still go on, so they count towards the limit.  */
START_TEST (counts_runs_on_lost_workers_towards_the_limit)
{
  g_autoptr (cluster_t) cluster = cluster_open (2, 0);

  placement_set_team (cluster->placement, "a", 1, 4);
  cluster_submit_many (cluster, "a", 0, 9, 1, "i");
  ck_assert_uint_eq (cluster_next (cluster), 4);
  placement_worker_lost (cluster->placement, "w0000");
  ck_assert_uint_eq (cluster_team (cluster, "a").queued, 9);
  cluster->now_us += PLACEMENT_LEASE_US;
  ck_assert_uint_eq (cluster_next (cluster), 0);
  cluster->now_us += CLOCK_ERROR_MS * 1000 + 1;
  ck_assert_uint_eq (cluster_next (cluster), 4);
  ck_assert_str_eq (cluster->commands[0].worker, "w0001");
  placement_set_team (cluster->placement, "a", 1, 2);
  ck_assert (
      cluster_end_run (cluster, cluster->commands[0].job, JOB_END_DONE));
  ck_assert_uint_eq (cluster_next (cluster), 0);
}
END_TEST

START_TEST (restarts_a_non_idempotent_job_only_after_its_lease)
{
  g_autoptr (cluster_t) cluster = cluster_open (2, 0);

  cluster_submit (cluster, "once", "a", 1, "");
  cluster_submit (cluster, "often", "a", 1, "i");
  ck_assert_uint_eq (cluster_next (cluster), 2);
  cluster->now_us += 5 * SECOND;
  ck_assert (placement_renew_lease (cluster->placement, "once", 1,
                                    cluster->now_us + PLACEMENT_LEASE_US));
  placement_worker_lost (cluster->placement, "w0000");
  ck_assert_uint_eq (cluster_next (cluster), 1);
  ck_assert_str_eq (cluster->commands[0].job, "often");
  ck_assert_int_eq (cluster_phase_of (cluster, "once"), JOB_LOST);
  /* A late report of the first run changes nothing.  */
  ck_assert (
      !placement_end_run (cluster->placement, "often", 2, JOB_END_FAILED));
  cluster->now_us += PLACEMENT_LEASE_US + CLOCK_ERROR_MS * 1000;
  ck_assert (placement_renew_lease (cluster->placement, "often", 3,
                                    cluster->now_us + PLACEMENT_LEASE_US));
  ck_assert_uint_eq (cluster_next (cluster), 0);
  cluster->now_us += 1;
  ck_assert_uint_eq (cluster_next (cluster), 1);
  ck_assert_str_eq (cluster->commands[0].job, "once");
}
END_TEST

START_TEST (stops_and_removes_cancelled_jobs)
{
  g_autoptr (cluster_t) cluster = cluster_open (1, 0);
  job_info_t info;

  cluster_submit_many (cluster, "a", 0, 20, 1, "i");
  ck_assert_uint_eq (cluster_next (cluster), 16);
  for (uint32_t i = 0; i < 20; i++)
    {
      char id[8];

      g_snprintf (id, sizeof id, "a%u", i);
      ck_assert (placement_cancel (cluster->placement, id));
    }
  ck_assert_uint_eq (cluster_team (cluster, "a").queued, 0);
  ck_assert_uint_eq (cluster_next (cluster), 16);
  ck_assert_int_eq (cluster->commands[3].kind, COMMAND_STOP);
  ck_assert (cluster_end_run (cluster, "a3", JOB_END_STOPPED));
  ck_assert (!placement_job_info (cluster->placement, "a3", &info));
  ck_assert (!placement_cancel (cluster->placement, "a3"));
}
END_TEST

START_TEST (bounds_measured_use_by_the_declaration)
{
  g_autoptr (cluster_t) cluster = cluster_open (1, 0);

  for (uint32_t i = 0; i < 3; i++)
    {
      cluster_submit (cluster, "j", "a", 16, "");
      ck_assert_uint_eq (cluster_next (cluster), 1);
      ck_assert (placement_report_usage (cluster->placement, "j",
                                         cluster_run_of (cluster, "j"),
                                         (resources_t){ 900, 400, 0 }));
      ck_assert (cluster_end_run (cluster, "j", JOB_END_DONE));
    }
  cluster_submit_many (cluster, "a", 0, 20, 16, "");
  ck_assert_uint_eq (cluster_next (cluster), 15); /* of 1013 milli-CPU each */
  ck_assert_uint_eq (cluster->commands[0].resources.cpu_milli, 1013);
  ck_assert (placement_report_usage (cluster->placement, "a0",
                                     cluster_run_of (cluster, "a0"),
                                     (resources_t){ 90000, 400, 0 }));
  ck_assert (cluster_end_run (cluster, "a1", JOB_END_DONE));
  /* a0 is now allocated what it declared.  */
  ck_assert_uint_eq (cluster_next (cluster), 0);
}
END_TEST

/* A run that the test has seen start.  It may be going on unless its end was
   reported or its lease has expired.  */
typedef struct seen_run
{
  char job[8];
  char worker[8];
  uint64_t number;
  resources_t size;
  int64_t lease_end_us;
  bool ended;
} seen_run_t;

typedef struct fuzz
{
  cluster_t *cluster;
  seen_run_t runs[RUNS_MAX];
  uint32_t count;
  uint32_t next_id;
  uint64_t seed;
} fuzz_t;

static bool
may_run (const fuzz_t *fuzz, const seen_run_t *run)
{
  return !run->ended
         && run->lease_end_us + CLOCK_ERROR_MS * 1000 >= fuzz->cluster->now_us;
}

/* Checks a start against the runs that may be going on: the limit of 12 runs
   of each team, the capacity of the worker, and that a job with an even
   number, which is not idempotent, does not run twice.  */
static void
check_start (const fuzz_t *fuzz, const worker_command_t *command)
{
  uint32_t running = 1;
  uint32_t cpu_milli = command->resources.cpu_milli;

  for (uint32_t i = 0; i < fuzz->count; i++)
    {
      const seen_run_t *run = &fuzz->runs[i];

      if (!may_run (fuzz, run))
        continue;
      running += run->job[0] == command->job[0];
      if (strcmp (run->worker, command->worker) == 0)
        cpu_milli += run->size.cpu_milli;
      ck_assert_msg (strcmp (run->job, command->job) != 0
                         || strtoul (run->job + 1, NULL, 10) % 2,
                     "%s runs twice", run->job);
    }
  ck_assert_uint_le (running, 12);
  ck_assert_uint_le (cpu_milli, 16000);
}

static void
take_commands (fuzz_t *fuzz)
{
  cluster_next (fuzz->cluster);
  for (uint32_t i = 0; i < fuzz->cluster->count; i++)
    {
      const worker_command_t *command = &fuzz->cluster->commands[i];
      seen_run_t *run = &fuzz->runs[fuzz->count];

      if (command->kind == COMMAND_START)
        {
          check_start (fuzz, command);
          ck_assert_uint_lt (++fuzz->count, RUNS_MAX);
          g_strlcpy (run->job, command->job, sizeof run->job);
          g_strlcpy (run->worker, command->worker, sizeof run->worker);
          run->number = command->run;
          run->lease_end_us = command->lease_end_us;
        }
      for (run = &fuzz->runs[fuzz->count - 1]; run->number != command->run;)
        run--;
      if (command->kind != COMMAND_STOP && command->kind != COMMAND_CHECKPOINT)
        run->size = command->resources;
    }
}

static void
report (fuzz_t *fuzz, seen_run_t *run)
{
  job_end_t end = (job_end_t)fixture_random_below (&fuzz->seed, 4);

  if (fixture_random_below (&fuzz->seed, 2))
    {
      int64_t end_us = fuzz->cluster->now_us + PLACEMENT_LEASE_US;

      if (placement_renew_lease (fuzz->cluster->placement, run->job,
                                 run->number, end_us))
        run->lease_end_us = end_us;
      return;
    }
  if (placement_end_run (fuzz->cluster->placement, run->job, run->number, end))
    run->ended = true;
}

static void
change_cluster (fuzz_t *fuzz)
{
  static const char *const flags[] = { "io", "ic", "iu", "iom" };
  static const char *const once[] = { "o", "c", "u", "m" };
  uint32_t id = fuzz->next_id;
  char name[8];

  switch (fixture_random_below (&fuzz->seed, 8))
    {
    case 0:
      g_snprintf (name, sizeof name, "w%04u",
                  fixture_random_below (&fuzz->seed, WORKERS));
      placement_worker_lost (fuzz->cluster->placement, name);
      break;
    case 1:
      g_snprintf (name, sizeof name, "w%04u",
                  fixture_random_below (&fuzz->seed, WORKERS));
      placement_set_worker (fuzz->cluster->placement, name,
                            (resources_t){ 16000, 65536, 0 }, true);
      break;
    case 2:
      g_snprintf (name, sizeof name, "%c%u", id % 3 ? 'a' : 'b',
                  id - MIN (id, fixture_random_below (&fuzz->seed, 30)));
      placement_cancel (fuzz->cluster->placement, name);
      break;
    default:
      g_snprintf (name, sizeof name, "%c%u", id % 3 ? 'a' : 'b', id);
      cluster_submit (
          fuzz->cluster, name, id % 3 ? "a" : "b",
          1 + fixture_random_below (&fuzz->seed, 8),
          (id % 2 ? flags : once)[fixture_random_below (&fuzz->seed, 4)]);
      fuzz->next_id++;
    }
}

static void
run_fuzz (uint64_t seed)
{
  fuzz_t *fuzz = g_new0 (fuzz_t, 1);

  fuzz->seed = seed;
  fuzz->cluster = cluster_open (WORKERS, 0);
  placement_set_team (fuzz->cluster->placement, "a", 2, 12);
  placement_set_team (fuzz->cluster->placement, "b", 1, 12);
  printf ("seed %" G_GUINT64_FORMAT, seed);
  fflush (stdout);
  for (uint32_t i = 0; i < 2000; i++)
    {
      change_cluster (fuzz);
      for (uint32_t j = 0; j < 3 && fuzz->count > 0; j++)
        report (fuzz, &fuzz->runs[fuzz->count - 1
                                  - fixture_random_below (
                                      &fuzz->seed, MIN (fuzz->count, 30))]);
      fuzz->cluster->now_us
          += fixture_random_below (&fuzz->seed, 20) == 0
                 ? LEASE_US
                 : fixture_random_below (&fuzz->seed, SECOND);
      take_commands (fuzz);
    }
  printf (": %u runs of %u jobs\n", fuzz->count, fuzz->next_id);
  ck_assert_uint_gt (fuzz->count, 500);
  cluster_close (fuzz->cluster);
  g_free (fuzz);
}

/* Guards, among others, against a late report of an earlier run on the same
   worker that ends the current run.  CUMINPIN_SEED selects the seed of one
   sequence.  */
START_TEST (random_sequences_hold_the_invariants)
{
  const char *seed = getenv ("CUMINPIN_SEED");

  if (seed)
    run_fuzz (strtoull (seed, NULL, 10));
  for (uint64_t i = 1; !seed && i <= 20; i++)
    run_fuzz (i);
}
END_TEST

TEST_PROGRAM ("placement", rejects_jobs_that_no_worker_can_hold,
              counts_runs_on_lost_workers_towards_the_limit,
              restarts_a_non_idempotent_job_only_after_its_lease,
              stops_and_removes_cancelled_jobs,
              bounds_measured_use_by_the_declaration,
              random_sequences_hold_the_invariants)

/* Guards against runs that the owner doesn't count: the scheduler runs beside
   workers in memory, over many changes of the owner, and each start that a
   worker carries out is held to the rules (model.h).

   CUMINPIN_SEED is the first seed, CUMINPIN_MODEL_RUNS the number of seeds;
   CUMINPIN_MODEL_TRACE=1 prints what happens.  */

#include "model.h"
#include "schedint.h"

#define RUNS_DEFAULT 32
#define TICK_US 5000
#define FAULTS_INTERVAL_US 100000
/* Faults for the first part; then each job has to end.  */
#define TROUBLE_US 15000000
#define QUIET_MAX_US 120000000
/* A restart that no hold notices, as they come every 0.4 s.  */
#define RESTART_FAST_MAX_US 400000
#define ENTRY_SILENCE_US 1500000

model_t model;

bool
model_chance (uint32_t permille)
{
  return !model.quiet
         && g_rand_int_range (model.rand, 0, 1000) < (int32_t)permille;
}

int64_t
model_between (int64_t low, int64_t high)
{
  return g_rand_int_range (model.rand, (int32_t)low, (int32_t)high + 1);
}

static char *
time_text (void)
{
  return g_strdup_printf ("%.3f", (double)(rig.now.us - 1000000000) / 1e6);
}

void
model_trace (const char *format, ...)
{
  g_autofree char *text = NULL;
  g_autofree char *at = NULL;
  va_list args;

  if (!model.trace)
    return;
  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  at = time_text ();
  fprintf (stderr, "%s %s\n", at, text);
}

void
model_fail (const char *format, ...)
{
  g_autofree char *text = NULL;
  g_autofree char *at = NULL;
  va_list args;

  if (model.failure)
    return;
  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  at = time_text ();
  model.failure = g_strdup_printf ("%s %s", at, text);
  model_trace ("VIOLATION %s", text);
}

/* The present owner reads the registrations that have changed.  */
static void
read_entry (model_worker_t *worker)
{
  const model_entry_t *entry = &worker->entry;
  const char *const labels[] = { entry->label, NULL };
  worker_info_t info = { .id = worker->id,
                         .service = worker->service,
                         .address = "10.0.0.1:80",
                         .data_centre = "dc-1",
                         .labels = labels,
                         .capacity = worker->capacity,
                         .boot_ms = entry->boot_ms,
                         .state = entry->state };

  if (worker->version_read == entry->version
      || worker->read_due_us > rig.now.us || model_owner_is_paused ())
    return;
  worker->version_read = entry->version;
  if (!entry->listed)
    {
      sched_unlist_worker (rig.sched, worker->id, rig.now);
      return;
    }
  worker->shown_boot_ms = MAX (worker->shown_boot_ms, entry->boot_ms);
  sched_set_worker (rig.sched, &info, rig.now);
}

static void
change_entry (model_worker_t *worker, bool listed)
{
  worker->entry.listed = listed;
  worker->entry.boot_ms = worker->boot_ms;
  worker->entry.label = worker->label;
  worker->entry.state
      = worker->leaves_us != 0 ? WORKER_DRAINING : WORKER_READY;
  worker->entry.version++;
  if (worker->read_due_us <= rig.now.us)
    worker->read_due_us = rig.now.us + model_between (10000, 300000);
}

static void
restart (model_worker_t *worker)
{
  model_worker_kill (worker);
  worker->leaves_us = 0;
  worker->up_again_us
      = rig.now.us
        + (model_chance (500) ? model_between (50000, RESTART_FAST_MAX_US)
                              : model_between (900000, 4000000));
  worker->registers_us = 0;
  worker->removed_us = rig.now.us + ENTRY_SILENCE_US;
}

/* WORKER drains, and shuts down later.  */
static void
drain (model_worker_t *worker)
{
  worker->leaves_us = rig.now.us + model_between (1000000, 4000000);
  change_entry (worker, true);
  model_trace ("%s drains", worker->id);
}

static const char *
next_label (const model_worker_t *worker)
{
  if (worker->keeps_label || model_between (0, 1) == 0)
    return worker->label;
  return worker->label[0] == 'a' ? "b" : "a";
}

/* Restarts and registrations of WORKER that are due.  */
static void
run_life (model_worker_t *worker)
{
  if (worker->leaves_us != 0 && worker->leaves_us <= rig.now.us)
    restart (worker);
  if (!worker->up && worker->up_again_us <= rig.now.us)
    {
      model_worker_boot (worker, next_label (worker));
      worker->registers_us = rig.now.us + model_between (20000, 1200000);
    }
  if (worker->registers_us != 0 && worker->registers_us <= rig.now.us)
    {
      worker->registers_us = worker->removed_us = 0;
      change_entry (worker, true);
    }
  if (worker->removed_us != 0 && worker->removed_us <= rig.now.us)
    {
      worker->removed_us = 0;
      change_entry (worker, false);
    }
}

static void
cancel (model_job_t *job)
{
  job_rec_t rec = { .kind = JREC_CANCEL };

  if (job->cancelled_us != 0)
    return;
  job->cancelled_us = rig.now.us;
  memcpy (rec.u.cancel.id, rig_id (job->number), JOB_ID_BYTES);
  if (jobtab_fold (rig.tab, &rec, rig.now.wall_ms, rig.now.us).kind
      == FOLD_CANCELLED)
    sched_cancel_job (rig.sched, rig_id (job->number));
  model_trace ("job %04x is cancelled", job->number);
}

static void
trouble_worker (model_worker_t *worker)
{
  if (worker->up && model_chance (model.faults.restarts))
    restart (worker);
  else if (worker->up && worker->leaves_us == 0 && worker->registers_us == 0
           && model_chance (model.faults.drains))
    drain (worker);
  if (worker->cut_until_us > rig.now.us || !model_chance (model.faults.cuts))
    return;
  worker->cut_until_us = rig.now.us + model_between (300000, 7000000);
  model_trace ("%s is cut off for %" PRId64 " us", worker->id,
               worker->cut_until_us - rig.now.us);
}

static void
start_faults (void)
{
  for (uint32_t i = 0; i < MODEL_WORKERS; i++)
    trouble_worker (&model.workers[i]);
  model_trouble_owner ();
  if (model_store_is_down () || model_owner_is_paused ())
    return;
  for (int64_t n = model_between (0, 2); n > 0; n--)
    if (model_chance (model.faults.jobs))
      model_submit ();
  if (model.jobs_count > 0 && model_chance (model.faults.cancels))
    cancel (&model.jobs[model_between (0, model.jobs_count - 1)]);
}

/* From now on nothing goes wrong, and what lasts is cancelled.  */
static void
end_faults (void)
{
  model.quiet = true;
  model_owners_calm ();
  for (uint32_t i = 0; i < MODEL_WORKERS; i++)
    {
      model.workers[i].cut_until_us = 0;
      model.workers[i].slow_factor = 1;
    }
  for (uint32_t i = 0; i < model.jobs_count; i++)
    for (uint32_t s = 0; s < model.jobs[i].steps_count; s++)
      if (model.jobs[i].steps[s].long_running)
        cancel (&model.jobs[i]);
}

/* Where the present owner counts RUN of WORKER.  */
static const char *
counted_where (const model_worker_t *worker, const model_run_t *run)
{
  const worker_t *known = g_hash_table_lookup (rig.sched->workers, worker->id);
  const task_t *task = sched_task (rig.sched, &run->task);

  if (!known)
    return "nowhere";
  if (task && run_find (known, task, run->attempt))
    return NULL;
  for (uint32_t i = 0; i < known->orphans->len; i++)
    if (task_ref_equal (&g_array_index (known->orphans, orphan_t, i).task,
                        &run->task))
      return "on its worker only";
  return "nowhere";
}

/* Appends to OUT the runs that the present owner doesn't count as those of
   their tasks.  */
static void
list_uncounted (GString *out)
{
  for (uint32_t w = 0; w < MODEL_WORKERS; w++)
    for (uint32_t i = 0; i < model.workers[w].runs->len; i++)
      {
        const model_run_t *run
            = &g_array_index (model.workers[w].runs, model_run_t, i);
        g_autofree char *name = model_task_name (&run->task);
        const char *where = counted_where (&model.workers[w], run);

        if (where)
          g_string_append_printf (
              out, "; %s has %s/%u, counted %s (job state %d%s%s)",
              model.workers[w].id, name, run->attempt, where,
              rig_job_state (run->job->number),
              model_step (run->job, &run->task)->speculative ? ", copy" : "",
              run->stopping ? ", being stopped" : "");
      }
}

static bool
all_is_over (void)
{
  for (uint32_t i = 0; i < model.jobs_count; i++)
    if (!job_state_is_final (rig_job_state (i)))
      return false;
  for (uint32_t w = 0; w < MODEL_WORKERS; w++)
    if (model.workers[w].runs->len > 0)
      return false;
  return true;
}

static void
tick (void)
{
  rig.now.us += TICK_US;
  rig.now.wall_ms += TICK_US / 1000;
  if (rig.now.us % FAULTS_INTERVAL_US == 0 && !model.quiet)
    start_faults ();
  model_claims_run ();
  model_gangs_run ();
  for (uint32_t i = 0; i < MODEL_WORKERS; i++)
    {
      model_worker_run (&model.workers[i]);
      run_life (&model.workers[i]);
      read_entry (&model.workers[i]);
    }
  model_log_run ();
  model_net_run ();
  model_owners_run ();
}

static void
set_up (uint32_t seed)
{
  rig_reset ();
  /* With half of the seeds, so that the rules are kept with and without.  */
  rig.avoid_interference = seed % 2 == 1;
  rig.keeps_shares = seed % 4 >= 2;
  memset (&model, 0, sizeof model);
  model.rand = g_rand_new_with_seed (seed);
  model.trace = g_getenv ("CUMINPIN_MODEL_TRACE") != NULL;
  model.faults
      = (model_faults_t){ .lost = (uint32_t)model_between (0, 100),
                          .late = (uint32_t)model_between (0, 80),
                          .slow_boots = (uint32_t)model_between (0, 400),
                          .restarts = (uint32_t)model_between (0, 15),
                          .drains = (uint32_t)model_between (0, 6),
                          .cuts = (uint32_t)model_between (0, 12),
                          .outages = (uint32_t)model_between (0, 15),
                          .claims = (uint32_t)model_between (10, 80),
                          .pauses = (uint32_t)model_between (0, 10),
                          .jobs = (uint32_t)model_between (100, 500),
                          .cancels = (uint32_t)model_between (0, 100) };
  model_net_open ();
  rig.rules = model_rules ();
  rig.now = (sched_now_t){ .us = 1000000000, .wall_ms = 1700000000000 };
  for (uint32_t i = 0; i < MODEL_WORKERS; i++)
    {
      model_worker_init (&model.workers[i], i);
      change_entry (&model.workers[i], true);
    }
  model_owners_open ();
}

static void
tear_down (void)
{
  model_owners_close ();
  for (uint32_t i = 0; i < MODEL_WORKERS; i++)
    model_worker_clear (&model.workers[i]);
  model_net_close ();
  g_rand_free (model.rand);
  g_free (model.failure);
  rig_tear_down ();
}

/* Plays SEED; false if a rule was broken.  */
static bool
play (uint32_t seed)
{
  int64_t began_us;
  g_autoptr (GString) uncounted = g_string_new (NULL);
  bool kept;

  set_up (seed);
  began_us = rig.now.us;
  while (!model.failure && rig.now.us < began_us + TROUBLE_US)
    tick ();
  end_faults ();
  while (!model.failure && !all_is_over ()
         && rig.now.us < began_us + TROUBLE_US + QUIET_MAX_US)
    tick ();
  if (!model.failure)
    model_check_final ();
  kept = !model.failure;
  if (!kept)
    list_uncounted (uncounted);
  printf ("seed %u: %u jobs, %u starts, %u owners: %s%s\n", seed,
          model.jobs_count, model.starts, model.owners->len,
          kept ? "ok" : model.failure, uncounted->str);
  tear_down ();
  return kept;
}

START_TEST (test_starts_keep_the_rules)
{
  const char *given = g_getenv ("CUMINPIN_MODEL_RUNS");
  uint32_t runs = given ? (uint32_t)strtoul (given, NULL, 10) : RUNS_DEFAULT;
  uint32_t seed = run_seed ("jobs/model");
  uint32_t failed = 0;

  for (uint32_t i = 0; i < runs; i++)
    failed += !play (seed + i);
  ck_assert_uint_eq (failed, 0);
}
END_TEST

TEST_PROGRAM ("jobs/model", test_starts_keep_the_rules)

/* Guards against runs that the owner doesn't count: the scheduler runs beside
   workers in memory, over many changes of the owner, and each start that a
   worker carries out is held to the rules (model.h).

   CUMINPIN_SEED is the first seed, CUMINPIN_MODEL_RUNS the number of seeds;
   CUMINPIN_MODEL_TRACE=1 prints what happens.  */

#include "model.h"

#define RUNS_DEFAULT 8
#define TICK_US 5000
#define FAULTS_INTERVAL_US 100000
/* Faults for the first part; then each job has to end.  */
#define TROUBLE_US 15000000
#define QUIET_MAX_US 45000000
#define PROGRESS_INTERVAL_US 10000
#define ENTRY_SILENCE_US 1500000

model_t model;

/* A record on its way through the log.  */
typedef struct log_item
{
  job_rec_t *rec;
  uint64_t epoch;
  int64_t folds_us;
  int64_t read_us; /* by its owner, after it was folded */
  bool folded;
} log_item_t;

/* What goes wrong in a run, each 0.1 s, in thousandths.  */
typedef struct faults
{
  uint32_t restarts;
  uint32_t cuts;
  uint32_t outages;
  uint32_t claims;
  uint32_t jobs;
} faults_t;

static GArray *log_items; /* of log_item_t */
static faults_t faults;
static int64_t outage_until_us; /* of the store */
static int64_t claim_us;        /* the next claim is folded; 0: none is due */

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

model_owner_t *
model_find_owner (uint64_t epoch)
{
  for (uint32_t i = 0; i < model.owners->len; i++)
    {
      model_owner_t *owner = &g_array_index (model.owners, model_owner_t, i);

      if (owner->epoch == epoch && owner->sched)
        return owner;
    }
  return NULL;
}

bool
model_is_present (const model_owner_t *owner)
{
  return owner->epoch == rig.tab->owner.epoch;
}

void
model_drop_owner (model_owner_t *owner)
{
  if (model_is_present (owner))
    {
      model_fail ("the owner of epoch %" PRIu64 " is refused", owner->epoch);
      return;
    }
  model_trace ("the former owner of epoch %" PRIu64 " stops", owner->epoch);
  g_clear_pointer (&owner->sched, sched_free);
}

static void
claim (void)
{
  model_owner_t added = { .epoch = model.owners->len + 1 };

  if (model.owners->len > 0)
    {
      model_owner_t *former = &g_array_index (model.owners, model_owner_t,
                                              model.owners->len - 1);

      former->stops_us
          = rig.now.us + (model_chance (500) ? model_between (0, 3000000) : 0);
    }
  claim_us = 0;
  rig_open_sched (added.epoch);
  added.sched = rig.sched;
  g_array_append_val (model.owners, added);
  for (uint32_t i = 0; i < MODEL_WORKERS; i++)
    {
      model.workers[i].version_read = 0;
      model.workers[i].shown_boot_ms = 0;
      model.workers[i].read_due_us
          = rig.now.us + model_between (10000, 200000);
    }
  model_trace ("an owner of epoch %" PRIu64, added.epoch);
}

/* Folds the records that are due.  A claim may have come before them.  */
static void
run_log (void)
{
  for (uint32_t i = 0; i < log_items->len;)
    {
      log_item_t *item = &g_array_index (log_items, log_item_t, i);
      model_owner_t *owner = model_find_owner (item->epoch);

      if (!item->folded && item->folds_us <= rig.now.us
          && outage_until_us <= rig.now.us)
        {
          item->folded = true;
          if (jobtab_fold (rig.tab, item->rec, rig.now.wall_ms).kind
              != FOLD_PROGRESS)
            item->read_us = INT64_MAX;
          else
            item->read_us = rig.now.us + model_between (0, 30000);
        }
      if (!item->folded
          || (item->read_us > rig.now.us && item->read_us != INT64_MAX))
        {
          i++;
          continue;
        }
      if (owner && item->read_us != INT64_MAX)
        sched_set_durable (owner->sched, item->rec->u.progress.batch);
      job_rec_clear (item->rec);
      g_free (item->rec);
      g_array_remove_index (log_items, i);
    }
}

static void
append_progress (model_owner_t *owner)
{
  job_rec_t *rec = sched_progress (owner->sched);
  log_item_t item = { .rec = rec, .epoch = owner->epoch };

  if (!rec)
    return;
  item.folds_us = rig.now.us + model_between (3000, 40000);
  for (uint32_t i = 0; i < log_items->len; i++)
    item.folds_us = MAX (item.folds_us,
                         g_array_index (log_items, log_item_t, i).folds_us);
  g_array_append_val (log_items, item);
  owner->progress_due_us = rig.now.us + PROGRESS_INTERVAL_US;
}

static void
run_owner (model_owner_t *owner)
{
  bool is_present = model_is_present (owner);

  if (!is_present && owner->stops_us <= rig.now.us)
    {
      model_drop_owner (owner);
      return;
    }
  /* From the time on at which the next claim is on its way, it doesn't read
     the log any more.  */
  if (is_present && claim_us == 0 && outage_until_us <= rig.now.us)
    sched_confirm_ownership (owner->sched,
                             rig.now.us - model_between (0, 20000));
  if (sched_next_us (owner->sched) <= rig.now.us)
    model_net_send (owner, sched_plan (owner->sched, rig.now));
  if (owner->progress_due_us <= rig.now.us)
    append_progress (owner);
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
                         .state = WORKER_READY };

  if (worker->version_read == entry->version
      || worker->read_due_us > rig.now.us)
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
  worker->entry.version++;
  if (worker->read_due_us <= rig.now.us)
    worker->read_due_us = rig.now.us + model_between (10000, 300000);
}

static void
restart (model_worker_t *worker)
{
  model_worker_kill (worker);
  worker->up_again_us = rig.now.us + model_between (900000, 4000000);
  worker->registers_us = 0;
  worker->removed_us = rig.now.us + ENTRY_SILENCE_US;
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
  memcpy (rec.u.cancel, rig_id (job->number), JOB_ID_BYTES);
  if (jobtab_fold (rig.tab, &rec, rig.now.wall_ms).kind == FOLD_CANCELLED)
    sched_cancel_job (rig.sched, rig_id (job->number));
  model_trace ("job %04x is cancelled", job->number);
}

static void
start_faults (void)
{
  for (uint32_t i = 0; i < MODEL_WORKERS; i++)
    {
      model_worker_t *worker = &model.workers[i];

      if (worker->up && model_chance (faults.restarts))
        restart (worker);
      if (worker->cut_until_us <= rig.now.us && model_chance (faults.cuts))
        {
          worker->cut_until_us = rig.now.us + model_between (300000, 7000000);
          model_trace ("%s is cut off until %.3f", worker->id,
                       (double)(worker->cut_until_us - 1000000000) / 1e6);
        }
    }
  if (outage_until_us <= rig.now.us && model_chance (faults.outages))
    outage_until_us = rig.now.us + model_between (200000, 2500000);
  if (claim_us == 0 && model_chance (faults.claims))
    claim_us = rig.now.us + model_between (0, 1500000);
  if (outage_until_us > rig.now.us)
    return;
  for (int64_t n = model_between (0, 2); n > 0; n--)
    if (model_chance (faults.jobs))
      model_submit ();
  if (model.jobs_count > 0 && model_chance (60))
    cancel (&model.jobs[model_between (0, model.jobs_count - 1)]);
}

/* From now on nothing goes wrong, and what lasts is cancelled.  */
static void
end_faults (void)
{
  model.quiet = true;
  outage_until_us = 0;
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
  if (claim_us != 0 && claim_us <= rig.now.us && outage_until_us <= rig.now.us)
    claim ();
  model_gangs_run ();
  for (uint32_t i = 0; i < MODEL_WORKERS; i++)
    {
      model_worker_run (&model.workers[i]);
      run_life (&model.workers[i]);
      read_entry (&model.workers[i]);
    }
  run_log ();
  model_net_run ();
  for (uint32_t i = 0; i < model.owners->len; i++)
    if (g_array_index (model.owners, model_owner_t, i).sched)
      run_owner (&g_array_index (model.owners, model_owner_t, i));
}

static void
set_up (uint32_t seed)
{
  rig_reset ();
  memset (&model, 0, sizeof model);
  model.rand = g_rand_new_with_seed (seed);
  model.trace = g_getenv ("CUMINPIN_MODEL_TRACE") != NULL;
  model.owners = g_array_new (FALSE, TRUE, sizeof (model_owner_t));
  log_items = g_array_new (FALSE, TRUE, sizeof (log_item_t));
  outage_until_us = claim_us = 0;
  faults = (faults_t){ .restarts = (uint32_t)model_between (0, 8),
                       .cuts = (uint32_t)model_between (0, 12),
                       .outages = (uint32_t)model_between (0, 15),
                       .claims = (uint32_t)model_between (10, 60),
                       .jobs = (uint32_t)model_between (100, 500) };
  model_net_open ();
  rig.rules = model_rules ();
  rig.now = (sched_now_t){ .us = 1000000000, .wall_ms = 1700000000000 };
  for (uint32_t i = 0; i < MODEL_WORKERS; i++)
    {
      model_worker_init (&model.workers[i], i);
      change_entry (&model.workers[i], true);
    }
  claim ();
}

static void
tear_down (void)
{
  for (uint32_t i = 0; i < model.owners->len; i++)
    sched_free (g_array_index (model.owners, model_owner_t, i).sched);
  rig.sched = NULL;
  for (uint32_t i = 0; i < log_items->len; i++)
    {
      job_rec_t *rec = g_array_index (log_items, log_item_t, i).rec;

      job_rec_clear (rec);
      g_free (rec);
    }
  for (uint32_t i = 0; i < MODEL_WORKERS; i++)
    model_worker_clear (&model.workers[i]);
  model_net_close ();
  g_array_free (model.owners, TRUE);
  g_array_free (log_items, TRUE);
  g_rand_free (model.rand);
  g_free (model.failure);
  rig_tear_down ();
}

/* Plays SEED; false if a rule was broken.  */
static bool
play (uint32_t seed)
{
  int64_t began_us;
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
  printf ("seed %u: %u jobs, %u starts, %u owners: %s\n", seed,
          model.jobs_count, model.starts, model.owners->len,
          kept ? "ok" : model.failure);
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

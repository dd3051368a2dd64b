#include "model.h"

#define US_PER_MS 1000
/* A gang ends `alone` when it isn't complete after this time.  */
#define GANG_TIMEOUT_US 1500000
/* A boot has run nothing to its end before this time (as jobs/holds.c has it,
   FORGET_REPORT_AGE_MAX_US): an owner that has not noticed the restart may
   name ends of the former boot until then.  */
#define FIRST_END_US 1100000
/* A run that lasts is at full speed after this time.  */
#define STARTUP_US 400000
/* Members of a gang save their work this often.  */
#define CHECKPOINT_US 200000

void
model_worker_init (model_worker_t *worker, uint32_t number)
{
  bool guards = number < MODEL_WORKERS / 2;
  uint32_t in_service = number % (MODEL_WORKERS / 2);

  memset (worker, 0, sizeof *worker);
  g_snprintf (worker->id, sizeof worker->id, "w%u", number);
  worker->service = guards ? "guarded" : "open";
  worker->checks_capacity = guards;
  /* Each service keeps a worker of each label, so that each job can end.  */
  worker->keeps_label = in_service < 2;
  worker->capacity = (amounts_t){ .cpu_milli = 1000 * model_between (3, 6),
                                  .mem_mib = 65536 };
  worker->runs = g_array_new (FALSE, TRUE, sizeof (model_run_t));
  worker->ends = g_array_new (FALSE, TRUE, sizeof (model_end_t));
  worker->stopped
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  worker->clock_slow_permille = (uint32_t)model_between (0, 20);
  worker->slow_factor = 1;
  model_worker_boot (worker, in_service % 2 == 0 ? "a" : "b");
}

void
model_worker_clear (model_worker_t *worker)
{
  g_array_free (worker->runs, TRUE);
  g_array_free (worker->ends, TRUE);
  g_hash_table_destroy (worker->stopped);
}

int64_t
model_clock_ms (const model_worker_t *worker)
{
  int64_t passed_us = rig.now.us - worker->boot_us;

  return 1 + passed_us * (1000 - worker->clock_slow_permille) / 1000000;
}

void
model_worker_boot (model_worker_t *worker, const char *label)
{
  worker->up = true;
  worker->boot_us = rig.now.us;
  worker->boot_ms = rig.now.wall_ms;
  worker->label = label;
  worker->token = 0;
  worker->lease_end_ms = 0;
  worker->sequence = 0;
  worker->slow_factor = model_chance (model.faults.slow_boots) ? 6 : 1;
  model_trace ("%s boots as %s", worker->id, label);
}

void
model_worker_kill (model_worker_t *worker)
{
  worker->up = false;
  g_array_set_size (worker->runs, 0);
  g_array_set_size (worker->ends, 0);
  g_hash_table_remove_all (worker->stopped);
  model_trace ("%s is killed", worker->id);
}

static uint32_t
highest_stopped (const model_worker_t *worker, const task_ref_t *task)
{
  g_autofree char *name = model_task_name (task);

  return GPOINTER_TO_UINT (g_hash_table_lookup (worker->stopped, name));
}

static void
set_stopped (model_worker_t *worker, const task_ref_t *task, uint32_t attempt)
{
  uint32_t highest = MAX (highest_stopped (worker, task), attempt);

  g_hash_table_insert (worker->stopped, model_task_name (task),
                       GUINT_TO_POINTER (highest));
}

static model_run_t *
find_run (const model_worker_t *worker, const task_ref_t *task,
          uint32_t attempt)
{
  for (uint32_t i = 0; i < worker->runs->len; i++)
    {
      model_run_t *run = &g_array_index (worker->runs, model_run_t, i);

      if (run->attempt == attempt && task_ref_equal (&run->task, task))
        return run;
    }
  return NULL;
}

const char *
model_run_value (const model_run_t *run)
{
  model_job_t *job = run->job;
  uint32_t step = run->task.step;
  uint32_t saved = run->saved;
  g_autofree char *text = NULL;

  if (!job->steps[step].gang)
    return "";
  if (run->work_from_us != 0)
    saved += (uint32_t)((rig.now.us - run->work_from_us) / CHECKPOINT_US);
  job->gang_saved[step] = MAX (job->gang_saved[step], saved);
  if (saved == 0)
    return "";
  text = g_strdup_printf ("%u.%u.%u", job->number, step, saved);
  return g_intern_string (text);
}

/* Ends run INDEX of WORKER, which is listed as ended from now on.  */
static void
end_run (model_worker_t *worker, uint32_t index, run_end_kind_t kind)
{
  model_run_t run = g_array_index (worker->runs, model_run_t, index);
  model_task_t *task = model_task (run.job, &run.task);
  model_end_t end = { .job = run.job,
                      .end = { .sequence = ++worker->sequence,
                               .task = run.task,
                               .attempt = run.attempt,
                               .kind = kind,
                               .checkpoint = model_run_value (&run) } };
  g_autofree char *name = model_task_name (&run.task);

  task->done |= kind == RUN_DONE;
  task->failed += kind == RUN_FAILED;
  set_stopped (worker, &run.task, run.attempt);
  g_array_append_val (worker->ends, end);
  g_array_remove_index (worker->runs, index);
  model_trace ("%s: %s/%u ends, kind %d", worker->id, name, run.attempt, kind);
}

static void
lapse (model_worker_t *worker)
{
  for (uint32_t i = worker->runs->len; i-- > 0;)
    end_run (worker, i, RUN_LAPSED);
  for (uint32_t i = 0; i < worker->ends->len; i++)
    g_array_index (worker->ends, model_end_t, i).lapsed = true;
}

void
model_worker_run (model_worker_t *worker)
{
  if (!worker->up)
    return;
  for (uint32_t i = worker->runs->len; i-- > 0;)
    {
      const model_run_t *run = &g_array_index (worker->runs, model_run_t, i);

      if (run->ends_us <= rig.now.us)
        end_run (worker, i, run->ends_as);
    }
  if (worker->lease_end_ms <= model_clock_ms (worker))
    lapse (worker);
}

/* A deadline never shortens a lease, and applies to all runs.  */
static void
extend_lease (model_worker_t *worker, int64_t deadline_ms)
{
  int64_t longest_ms = model_clock_ms (worker) + RIG_HOLD_MAX_MS;

  worker->lease_end_ms
      = MAX (worker->lease_end_ms, MIN (deadline_ms, longest_ms));
}

static bool
has_room (const model_worker_t *worker, const amounts_t *need)
{
  amounts_t left = worker->capacity;

  for (uint32_t i = 0; i < worker->runs->len; i++)
    {
      const model_run_t *run = &g_array_index (worker->runs, model_run_t, i);

      amounts_subtract (&left, &model_step (run->job, &run->task)->need);
    }
  return amounts_cover (&left, need);
}

/* Whether WORKER has this or a later run of TASK, or had it.  */
static bool
is_old (const model_worker_t *worker, const task_ref_t *task, uint32_t attempt)
{
  if (attempt <= highest_stopped (worker, task))
    return true;
  for (uint32_t i = 0; i < worker->runs->len; i++)
    {
      const model_run_t *run = &g_array_index (worker->runs, model_run_t, i);

      if (run->attempt > attempt && task_ref_equal (&run->task, task))
        return true;
    }
  return false;
}

static void
begin_run (model_worker_t *worker, model_job_t *job, const order_t *order,
           const model_origin_t *origin)
{
  const job_step_t *step = model_step (job, &order->task);
  model_run_t run = { .task = order->task,
                      .attempt = order->attempt,
                      .job = job,
                      .begun_us = rig.now.us,
                      .ends_us = INT64_MAX };
  g_autofree char *name = model_task_name (&run.task);

  run.takes_us = (int64_t)step->estimate_ms * model_between (500, 1500)
                 * worker->slow_factor;
  run.ends_as = model_chance (80) ? RUN_FAILED : RUN_DONE;
  if (!step->gang && (!step->long_running || model_chance (100)))
    run.ends_us = rig.now.us + run.takes_us;
  if (run.ends_us != INT64_MAX)
    run.ends_us = MAX (run.ends_us, worker->boot_us + FIRST_END_US);
  if (step->long_running)
    run.ends_as = RUN_FAILED;
  if (step->gang)
    run.saved = model_check_value (&run, order->checkpoint);
  model_trace ("%s: %s/%u begins, token %" PRIu64 " sent_us=%" PRId64,
               worker->id, name, run.attempt, order->token, origin->sent_us);
  g_array_append_val (worker->runs, run);
  model_check_start (
      worker,
      &g_array_index (worker->runs, model_run_t, worker->runs->len - 1),
      origin);
}

static reply_kind_t
start (model_worker_t *worker, const order_t *order,
       const model_origin_t *origin)
{
  model_job_t *job = model_find_job (&order->task);
  bool is_there = find_run (worker, &order->task, order->attempt) != NULL;

  if (order->deadline_ms <= model_clock_ms (worker))
    return REPLY_LATE_ORDER;
  extend_lease (worker, order->deadline_ms);
  if (is_there)
    return REPLY_OK;
  if (is_old (worker, &order->task, order->attempt))
    return REPLY_OLD_ATTEMPT;
  if (worker->checks_capacity
      && !has_room (worker, &model_step (job, &order->task)->need))
    return REPLY_NO_ROOM;
  begin_run (worker, job, order, origin);
  return REPLY_OK;
}

static void
stop (model_worker_t *worker, const order_t *order)
{
  model_run_t *run = find_run (worker, &order->task, order->attempt);
  g_autofree char *name = model_task_name (&order->task);

  model_trace ("%s: %s/%u stop%s", worker->id, name, order->attempt,
               run ? "" : ", not there");
  set_stopped (worker, &order->task, order->attempt);
  if (!run || run->stopping)
    return;
  run->stopping = true;
  run->ends_as = RUN_STOPPED;
  run->ends_us
      = rig.now.us + model_between (0, MODEL_STOP_GRACE_MS) * US_PER_MS;
}

static void
hold (model_worker_t *worker, const order_t *order)
{
  while (worker->ends->len > 0)
    {
      const model_end_t *end = &g_array_index (worker->ends, model_end_t, 0);

      if (end->end.sequence > order->ends_durable)
        break;
      model_note_end (end);
      g_array_remove_index (worker->ends, 0);
    }
  if (order->deadline_ms > 0)
    extend_lease (worker, order->deadline_ms);
}

reply_kind_t
model_worker_order (model_worker_t *worker, const order_t *order,
                    const model_origin_t *origin)
{
  if (!origin->token_compared)
    {
      if (order->token < worker->token)
        return REPLY_FENCED;
      worker->token = order->token;
    }
  switch (order->kind)
    {
    case ORDER_START:
      return start (worker, order, origin);
    case ORDER_STOP:
      stop (worker, order);
      return REPLY_OK;
    case ORDER_HOLD:
      hold (worker, order);
      return REPLY_OK;
    case ORDER_PACE:
      return REPLY_OK;
    }
  return REPLY_OK;
}

static uint32_t
percent_of (const model_run_t *run)
{
  int64_t passed_us = rig.now.us - run->begun_us;

  if (model_step (run->job, &run->task)->long_running)
    return passed_us >= STARTUP_US ? 100 : 0;
  if (run->ends_us == INT64_MAX)
    return 0;
  return (uint32_t)CLAMP (
      100 - (run->ends_us - rig.now.us) * 100 / MAX (run->takes_us, 1), 0, 99);
}

worker_report_t
model_worker_report (const model_worker_t *worker)
{
  worker_report_t report = { .boot_ms = worker->boot_ms };

  report.runs = g_new0 (run_status_t, worker->runs->len + 1);
  report.ends = g_new0 (run_end_t, worker->ends->len + 1);
  for (uint32_t i = 0; i < worker->runs->len; i++)
    {
      const model_run_t *run = &g_array_index (worker->runs, model_run_t, i);

      if (!run->stopping)
        report.runs[report.runs_count++]
            = (run_status_t){ .task = run->task,
                              .attempt = run->attempt,
                              .checkpoint = model_run_value (run),
                              .percent = percent_of (run),
                              .load
                              = MODEL_TARGET_MS / 4 * worker->runs->len };
    }
  for (uint32_t i = 0; i < worker->ends->len; i++)
    report.ends[report.ends_count++]
        = g_array_index (worker->ends, model_end_t, i).end;
  return report;
}

/* The number of members of RUN's gang that work.  Unless ENDS_US is 0, they
   end then, as ENDS_AS.  */
static uint32_t
visit_gang (const model_run_t *run, int64_t ends_us, run_end_kind_t ends_as)
{
  uint32_t count = 0;

  for (uint32_t w = 0; w < MODEL_WORKERS; w++)
    for (uint32_t i = 0; i < model.workers[w].runs->len; i++)
      {
        model_run_t *other
            = &g_array_index (model.workers[w].runs, model_run_t, i);

        if (other->job != run->job || other->task.step != run->task.step
            || other->attempt != run->attempt || other->stopping)
          continue;
        count++;
        if (ends_us == 0)
          continue;
        other->ends_us = ends_us;
        other->ends_as = ends_as;
        if (other->work_from_us == 0)
          other->work_from_us = rig.now.us;
      }
  return count;
}

static void
run_gang (const model_run_t *run)
{
  bool complete = visit_gang (run, 0, RUN_DONE)
                  == model_step (run->job, &run->task)->count;
  int64_t waited_us = rig.now.us - run->begun_us;

  if (complete && run->ends_us == INT64_MAX)
    visit_gang (run, rig.now.us + run->takes_us, RUN_DONE);
  else if (!complete && run->ends_us != INT64_MAX && run->ends_us > rig.now.us)
    visit_gang (run, rig.now.us, RUN_BROKEN);
  else if (!complete && run->ends_us == INT64_MAX
           && waited_us > GANG_TIMEOUT_US)
    visit_gang (run, rig.now.us, RUN_ALONE);
}

void
model_gangs_run (void)
{
  for (uint32_t w = 0; w < MODEL_WORKERS; w++)
    for (uint32_t i = 0; i < model.workers[w].runs->len; i++)
      {
        model_run_t *run
            = &g_array_index (model.workers[w].runs, model_run_t, i);

        if (model_step (run->job, &run->task)->gang && !run->stopping)
          run_gang (run);
      }
}

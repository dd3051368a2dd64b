#include "model.h"

/* RULES.md, QUOTA: a workspace may exceed its cap by this much and one task.
 */
#define QUOTA_OVERAGE_PERCENT 10
/* A start of a task that is done, or of a cancelled job, is a violation this
   long after that was known; RULES.md has a second for the former.  */
#define KNOWN_US 1000000

/* The workspaces and their caps; 0: none.  */
static const struct
{
  const char *name;
  int64_t cap_cpu_milli;
} workspaces[] = { { "small", 4000 }, { "large", 9000 }, { "free", 0 } };

rules_t *
model_rules (void)
{
  rules_t *rules = rules_new (1);

  for (uint32_t i = 0; i < G_N_ELEMENTS (workspaces); i++)
    {
      rules_workspace_t space
          = { .name = g_intern_string (workspaces[i].name),
              .weight = 20,
              .cap = { .cpu_milli = workspaces[i].cap_cpu_milli } };

      g_array_append_val (rules->workspaces, space);
    }
  return rules;
}

model_job_t *
model_find_job (const task_ref_t *task)
{
  uint64_t number = g_ascii_strtoull (task->id, NULL, 16);

  g_assert (number < model.jobs_count);
  return &model.jobs[number];
}

model_task_t *
model_task (model_job_t *job, const task_ref_t *task)
{
  return &job->tasks[task->step][task->index];
}

const job_step_t *
model_step (const model_job_t *job, const task_ref_t *task)
{
  return &job->steps[task->step];
}

char *
model_task_name (const task_ref_t *task)
{
  return g_strdup_printf ("%s.%u.%u.%u", task->id + 12, task->occurrence,
                          task->step, task->index);
}

/* A kind of step at random: long-running, speculative, a gang or none.  */
static job_step_t
random_step (bool may_last)
{
  job_step_t step = rig_step ((uint32_t)model_between (1, MODEL_TASKS_MAX));
  int64_t kind = model_between (0, 99);

  step.need.cpu_milli = 500 * model_between (1, 3);
  step.estimate_ms = (uint32_t)model_between (300, 1500);
  if (model_between (0, 2) == 0)
    step.spread_max = (uint32_t)model_between (1, 2);
  if (kind < 10 && may_last)
    {
      step.long_running = true;
      step.max_unavailable = (uint32_t)model_between (1, 2);
    }
  else if (kind < 35)
    step.speculative = true;
  else if (kind < 42)
    {
      step.gang = true;
      step.checkpoints = true;
      step.count = 2;
      step.spread_max = 0;
      step.need.cpu_milli = 500;
    }
  return step;
}

void
model_submit (void)
{
  model_job_t *job = &model.jobs[model.jobs_count];
  job_step_t steps[MODEL_STEPS_MAX];

  if (model.jobs_count == MODEL_JOBS_MAX)
    return;
  job->number = model.jobs_count++;
  job->steps_count = (uint32_t)model_between (1, MODEL_STEPS_MAX);
  job->is_chain = model_between (0, 1) == 0;
  job->workspace = (uint32_t)model_between (0, G_N_ELEMENTS (workspaces) - 1);
  for (uint32_t i = 0; i < job->steps_count; i++)
    {
      job->steps[i] = random_step (!job->is_chain);
      if (model_between (0, 3) == 0)
        job->labels[i] = model_between (0, 1) ? "a" : "b";
      steps[i] = job->steps[i];
      steps[i].label = g_strdup (job->labels[i]);
      steps[i].image
          = g_strdup_printf ("image-%u", (job->number + i) % MODEL_IMAGES);
      if (steps[i].long_running)
        steps[i].target_ms = MODEL_TARGET_MS;
      if (!job->is_chain || i == 0)
        continue;
      steps[i].after = g_new0 (uint32_t, 1);
      steps[i].after[0] = i - 1;
      steps[i].after_count = 1;
    }
  rig.workspace = workspaces[job->workspace].name;
  rig.service = model_between (0, 2) == 0 ? "guarded" : "open";
  rig_submit (job->number, steps, job->steps_count);
  model_trace ("job %04x: %u steps, %s, %s", job->number, job->steps_count,
               rig.workspace, rig.service);
}

static bool
is_same_step (const model_run_t *a, const model_run_t *b)
{
  return a->job == b->job && a->task.step == b->task.step;
}

/* ROUTE: the limit per worker, and the label.  A start that was sent before
   the owner could know of the worker's restart may reach one of another kind;
   nothing can avoid that.  */
static void
check_route (const model_worker_t *worker, const model_run_t *run,
             const model_origin_t *origin)
{
  const job_step_t *step = model_step (run->job, &run->task);
  const char *label = run->job->labels[run->task.step];
  g_autofree char *name = model_task_name (&run->task);
  uint32_t count = 0;

  for (uint32_t i = 0; i < worker->runs->len; i++)
    count += is_same_step (&g_array_index (worker->runs, model_run_t, i), run);
  if (step->spread_max > 0 && count > step->spread_max)
    model_fail ("ROUTE %s/%u on %s: %u of its step there, %u allowed", name,
                run->attempt, worker->id, count, step->spread_max);
  if (label && strcmp (label, worker->label) != 0 && origin->boot_shown)
    model_fail ("ROUTE %s/%u on %s: requires %s", name, run->attempt,
                worker->id, label);
}

static void
check_room (const model_worker_t *worker, const model_run_t *run)
{
  g_autofree char *name = model_task_name (&run->task);
  int64_t used = 0;

  for (uint32_t i = 0; i < worker->runs->len; i++)
    {
      const model_run_t *other = &g_array_index (worker->runs, model_run_t, i);

      used += model_step (other->job, &other->task)->need.cpu_milli;
    }
  if (!worker->checks_capacity && used > worker->capacity.cpu_milli)
    model_fail ("LIMIT %s/%u on %s: %" PRId64 " of %" PRId64, name,
                run->attempt, worker->id, used, worker->capacity.cpu_milli);
}

static void
check_quota (const model_run_t *run)
{
  int64_t cap = workspaces[run->job->workspace].cap_cpu_milli;
  int64_t need = model_step (run->job, &run->task)->need.cpu_milli;
  g_autofree char *name = model_task_name (&run->task);
  int64_t used = 0;

  for (uint32_t w = 0; w < MODEL_WORKERS; w++)
    for (uint32_t i = 0; i < model.workers[w].runs->len; i++)
      {
        const model_run_t *other
            = &g_array_index (model.workers[w].runs, model_run_t, i);

        if (other->job->workspace == run->job->workspace)
          used += model_step (other->job, &other->task)->need.cpu_milli;
      }
  if (cap > 0 && used > cap + cap * QUOTA_OVERAGE_PERCENT / 100 + need)
    model_fail ("QUOTA %s/%u: %" PRId64 " of %" PRId64, name, run->attempt,
                used, cap);
}

/* TWICE, its first part: a second run at the same time.  */
static void
check_second_run (const model_worker_t *worker, const model_run_t *run)
{
  g_autofree char *name = model_task_name (&run->task);

  for (uint32_t w = 0; w < MODEL_WORKERS; w++)
    for (uint32_t i = 0; i < model.workers[w].runs->len; i++)
      {
        const model_run_t *other
            = &g_array_index (model.workers[w].runs, model_run_t, i);

        if (other != run && task_ref_equal (&other->task, &run->task))
          model_fail ("TWICE %s/%u on %s: /%u%s on %s", name, run->attempt,
                      worker->id, other->attempt,
                      other->stopping ? " is being stopped" : " runs",
                      model.workers[w].id);
      }
}

/* TWICE, its second part: a start after an end `done` that is taken note of
   then or later.  */
static void
check_done (const model_run_t *run)
{
  g_autofree char *name = model_task_name (&run->task);

  if (model_task (run->job, &run->task)->done_noted)
    model_fail ("TWICE %s/%u: it is done", name, run->attempt);
  for (uint32_t w = 0; w < MODEL_WORKERS; w++)
    for (uint32_t i = 0; i < model.workers[w].ends->len; i++)
      {
        model_end_t *end
            = &g_array_index (model.workers[w].ends, model_end_t, i);

        if (end->end.kind == RUN_DONE
            && task_ref_equal (&end->end.task, &run->task))
          end->restarted = true;
      }
}

/* ORDER: steps before this one.  One end stands for a whole gang.  */
static void
check_order (const model_run_t *run)
{
  const model_job_t *job = run->job;
  uint32_t done = 0;
  uint32_t before;
  g_autofree char *name = model_task_name (&run->task);

  if (!job->is_chain || run->task.step == 0)
    return;
  before = run->task.step - 1;
  for (uint32_t i = 0; i < job->steps[before].count; i++)
    done += job->tasks[before][i].done;
  if (job->steps[before].gang ? done == 0 : done < job->steps[before].count)
    model_fail ("ORDER %s/%u: %u of the step before are done", name,
                run->attempt, done);
}

/* The rules with a time bound: they hold for starts of the present owner that
   the worker did not carry out late.  */
static void
check_timely (const model_run_t *run, const model_origin_t *origin)
{
  const model_task_t *task = model_task (run->job, &run->task);
  int64_t cancelled_us = run->job->cancelled_us;
  g_autofree char *name = model_task_name (&run->task);

  if (!origin->is_present || origin->carried_late)
    return;
  if (cancelled_us != 0 && origin->sent_us > cancelled_us + KNOWN_US)
    model_fail ("UNASKED %s/%u: its job is cancelled", name, run->attempt);
  if (task->done_noted && origin->sent_us > task->done_noted_us + KNOWN_US)
    model_fail ("TWICE %s/%u: it has been done for long", name, run->attempt);
}

void
model_check_start (const model_worker_t *worker, const model_run_t *run,
                   const model_origin_t *origin)
{
  const job_step_t *step = model_step (run->job, &run->task);
  g_autofree char *name = model_task_name (&run->task);

  model.starts++;
  check_route (worker, run, origin);
  check_room (worker, run);
  check_quota (run);
  check_order (run);
  check_timely (run, origin);
  if (!step->speculative)
    {
      check_second_run (worker, run);
      if (!step->long_running)
        check_done (run);
    }
  if (!step->speculative && !step->long_running && !step->gang
      && model_task (run->job, &run->task)->failed_noted >= MODEL_MAX_ATTEMPTS)
    model_fail ("BUDGET %s/%u", name, run->attempt);
}

/* GANG: all members of an attempt carry one value, which a member has saved.
   Otherwise they would not come together.  */
uint32_t
model_check_value (const model_run_t *run, const char *value)
{
  model_job_t *job = run->job;
  uint32_t step = run->task.step;
  g_autofree char *name = model_task_name (&run->task);
  uint32_t of_job = job->number;
  uint32_t of_step = step;
  uint32_t saved = 0;

  if (run->attempt > job->gang_attempt[step])
    {
      job->gang_attempt[step] = run->attempt;
      job->gang_value[step] = value;
    }
  else if (run->attempt == job->gang_attempt[step]
           && value != job->gang_value[step])
    model_fail ("GANG %s/%u carries %s, another member %s", name, run->attempt,
                value, job->gang_value[step]);
  if (value
      && (sscanf (value, "%u.%u.%u", &of_job, &of_step, &saved) != 3
          || of_job != job->number || of_step != step
          || saved > job->gang_saved[step]))
    model_fail ("UNASKED %s/%u carries %s, which no member saved", name,
                run->attempt, value);
  return saved;
}

void
model_note_end (const model_end_t *end)
{
  model_task_t *task = model_task (end->job, &end->end.task);
  const job_step_t *step = model_step (end->job, &end->end.task);
  g_autofree char *name = model_task_name (&end->end.task);

  if (end->lapsed)
    return;
  task->failed_noted += end->end.kind == RUN_FAILED;
  if (end->end.kind != RUN_DONE || task->done_noted)
    return;
  task->done_noted = true;
  task->done_noted_us = rig.now.us;
  if (end->restarted && !step->speculative)
    model_fail ("TWICE %s/%u: was started again after it was done", name,
                end->end.attempt);
}

/* MIXED and LOST: a job is shown as `complete` or `failed` with cause only. */
static void
check_state (const model_job_t *job, job_state_t state)
{
  bool has_failed = false;

  for (uint32_t s = 0; s < job->steps_count; s++)
    {
      uint32_t failed = 0;
      uint32_t done = 0;

      for (uint32_t i = 0; i < job->steps[s].count; i++)
        {
          failed += job->tasks[s][i].failed;
          done += job->tasks[s][i].done;
          has_failed |= job->tasks[s][i].failed >= MODEL_MAX_ATTEMPTS;
        }
      has_failed |= job->steps[s].gang && failed >= MODEL_MAX_ATTEMPTS;
      if (state == JOB_STATE_COMPLETE
          && (job->steps[s].gang ? done == 0 : done < job->steps[s].count))
        model_fail ("MIXED job %04x is complete: step %u is not", job->number,
                    s);
    }
  if (state == JOB_STATE_FAILED && !has_failed)
    model_fail ("LOST job %04x has failed: no task has", job->number);
}

void
model_check_final (void)
{
  for (uint32_t i = 0; i < model.jobs_count; i++)
    {
      job_state_t state = rig_job_state (i);

      if (!job_state_is_final (state))
        model_fail ("LOST job %04x is in state %d", i, state);
      check_state (&model.jobs[i], state);
    }
  for (uint32_t w = 0; w < MODEL_WORKERS; w++)
    for (uint32_t i = 0; i < model.workers[w].runs->len; i++)
      {
        const model_run_t *run
            = &g_array_index (model.workers[w].runs, model_run_t, i);
        g_autofree char *name = model_task_name (&run->task);

        model_fail ("UNASKED %s/%u still runs on %s", name, run->attempt,
                    model.workers[w].id);
      }
}

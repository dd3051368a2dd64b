#include "explainjob.h"
#include "judge.h"
#include "trial.h"

/* Parts of EXPLAIN_JUDGED_MAX: for placing the tasks ahead of the job, and its
   own, and for the reasons and scores of its steps.  */
#define AHEAD_JUDGED_MAX (EXPLAIN_JUDGED_MAX / 2)
#define OWN_JUDGED_MAX (EXPLAIN_JUDGED_MAX / 4)
#define STEPS_JUDGED_MAX (EXPLAIN_JUDGED_MAX / 4)

static void
add_best (explain_step_t *step, const worker_t *worker, double score)
{
  uint32_t place = step->best_count;

  while (place > 0 && step->best[place - 1].score < score)
    place--;
  if (place == EXPLAIN_BEST_MAX)
    return;
  step->best_count = MIN (step->best_count + 1, EXPLAIN_BEST_MAX);
  for (uint32_t i = step->best_count - 1; i > place; i--)
    step->best[i] = step->best[i - 1];
  step->best[place]
      = (explain_best_t){ .worker = worker->interned, .score = score };
}

/* The task of STAGE that starts next.  */
static const task_t *
next_task (const stage_t *stage)
{
  for (uint32_t i = 0; i < stage->spec->count; i++)
    if (!stage->tasks[i].done && !stage->tasks[i].run)
      return &stage->tasks[i];
  return &stage->tasks[0];
}

/* Judges all workers for the next task of STAGE.  A worker without the label
   counts as such, whatever else it lacks.  */
static void
judge_workers (explain_step_t *step, const stage_t *stage, sched_now_t now)
{
  const GPtrArray *workers = stage->job->pool->workers;
  judge_task_t task = judge_task (stage, next_task (stage));

  step->judged = true;
  step->workers = workers->len;
  for (uint32_t i = 0; i < workers->len; i++)
    {
      const worker_t *worker = g_ptr_array_index (workers, i);
      judgement_t judgement = judge_label (worker, stage)
                                  ? judge_worker (&task, worker, now.us)
                                  : JUDGED_NO_LABEL;

      step->judgements[judgement]++;
      if (judgement == JUDGED_SUITABLE)
        add_best (step, worker, judge_score (&task, worker));
    }
}

/* Why no worker of STEP, all of which were judged, may run it.  */
static explain_wait_t
no_worker_reason (const explain_step_t *step)
{
  const uint32_t *count = step->judgements;
  uint32_t labelled = step->workers - count[JUDGED_NO_LABEL];

  if (step->workers == 0)
    return EXPLAIN_WAIT_NO_WORKER;
  if (labelled == 0)
    return EXPLAIN_WAIT_NO_LABEL;
  if (count[JUDGED_DRAINING] + count[JUDGED_EVACUATED] == labelled)
    return EXPLAIN_WAIT_DRAINING;
  if (count[JUDGED_NO_ROOM] > 0)
    return EXPLAIN_WAIT_NO_ROOM;
  if (count[JUDGED_NO_TICKET] > 0)
    return EXPLAIN_WAIT_TICKET;
  if (count[JUDGED_STEP_LIMIT] > 0)
    return EXPLAIN_WAIT_STEP_LIMIT;
  return count[JUDGED_AVOIDED] > 0 ? EXPLAIN_WAIT_AVOIDED
                                   : EXPLAIN_WAIT_UNAVAILABLE;
}

/* An explanation that is being made.  */
typedef struct work
{
  const sched_t *sched;
  sched_now_t now;
  explanation_t *to;
  trial_t *trial;
  bool ahead_starts;    /* tasks ahead of the job would start */
  bool ahead_undecided; /* not all of them were placed */
  uint64_t judged;      /* for the reasons of steps */
} work_t;

/* Why the tasks of STAGE wait after STOP in the trial; STEP has the judgements
   without it.  If STAGE would start without the tasks ahead, they are why.  */
static explain_wait_t
wait_reason (const work_t *work, const stage_t *stage,
             const explain_step_t *step, trial_stop_t stop)
{
  rank_t rank = start_rank (stage, work->now.us);
  bool ahead = work->ahead_starts;

  switch (stop)
    {
    case TRIAL_CAP:
      return ahead && quota_allows (stage->job, &stage->spec->need)
                 ? EXPLAIN_WAIT_AHEAD
                 : EXPLAIN_WAIT_CAP;
    case TRIAL_STARTS:
      return starts_are_limited (work->sched, rank, 0) ? EXPLAIN_WAIT_STARTS
                                                       : EXPLAIN_WAIT_AHEAD;
    case TRIAL_RETRY:
      return EXPLAIN_WAIT_RETRY;
    case TRIAL_EARLIER_RUN:
      return EXPLAIN_WAIT_EARLIER_RUN;
    case TRIAL_BUDGET:
      return EXPLAIN_WAIT_UNDECIDED;
    case TRIAL_ALL:
    case TRIAL_NO_WORKER:
      break;
    }
  if (!step->judged)
    return EXPLAIN_WAIT_UNDECIDED;
  if (step->judgements[JUDGED_SUITABLE] == 0)
    return no_worker_reason (step);
  return ahead ? EXPLAIN_WAIT_AHEAD : EXPLAIN_WAIT_NO_ROOM;
}

static explain_step_state_t
idle_state (const stage_t *stage)
{
  return stage->unstarted == 0 ? EXPLAIN_STEP_RUNS : EXPLAIN_STEP_BLOCKED;
}

static bool
is_open (const stage_t *stage)
{
  return stage->steps_pending == 0 && stage->unstarted > 0;
}

/* Places the tasks of STAGE, which is open, in the trial.  */
static void
place_stage (work_t *work, const stage_t *stage, explain_step_t *step)
{
  trial_result_t result;

  step->state = EXPLAIN_STEP_WAITS;
  step->wait = EXPLAIN_WAIT_OWNERSHIP;
  if (work->sched->lease_limit_us - work->now.us < START_LEASE_MIN_US)
    return;
  step->wait = EXPLAIN_WAIT_RULES;
  if (!evacuation_allows_starts (work->sched, work->now.us))
    return;
  result = trial_place (work->trial, stage, start_rank (stage, work->now.us));
  step->starting = result.started;
  step->wait = wait_reason (work, stage, step, result.stop);
  if (result.started > 0 && work->ahead_undecided)
    step->wait = EXPLAIN_WAIT_UNDECIDED;
  else if (result.started > 0)
    step->state = EXPLAIN_STEP_STARTS;
}

static void
add_step (work_t *work, const stage_t *stage)
{
  uint32_t workers = stage->job->pool->workers->len;
  explain_step_t step = { .occurrence = stage->occurrence,
                          .step = stage->step,
                          .state = idle_state (stage),
                          .tasks = stage->spec->count,
                          .done = stage->spec->count - stage->unfinished,
                          .waiting = stage->unstarted };

  work->to->steps_count++;
  if (work->to->steps->len == EXPLAIN_STEPS_MAX)
    return;
  if (stage->unstarted > 0 && work->judged + workers <= STEPS_JUDGED_MAX)
    {
      work->judged += workers;
      judge_workers (&step, stage, work->now);
    }
  if (is_open (stage))
    place_stage (work, stage, &step);
  g_array_append_val (work->to->steps, step);
}

/* Adds the unfinished steps of JOB that are open, or those that are not.  */
static void
add_steps (work_t *work, const sched_job_t *job, bool open)
{
  for (uint32_t k = 0; k < job->next_occurrence; k++)
    {
      const stage_t *stages = job->occurrences[k].stages;

      for (uint32_t i = 0; stages && i < job->desc->steps_count; i++)
        if (stages[i].unfinished > 0 && is_open (&stages[i]) == open)
          add_step (work, &stages[i]);
    }
}

/* The stage of JOB that starts first; NULL: none is open.  */
static stage_t *
first_open_stage (const sched_job_t *job)
{
  for (uint32_t k = 0; k < job->next_occurrence; k++)
    for (uint32_t i = 0;
         job->occurrences[k].stages && i < job->desc->steps_count; i++)
      if (is_open (&job->occurrences[k].stages[i]))
        return &job->occurrences[k].stages[i];
  return NULL;
}

/* The first stage of JOB with unfinished tasks; NULL: there is none.  */
static const stage_t *
first_unfinished_stage (const sched_job_t *job)
{
  for (uint32_t k = 0; k < job->next_occurrence; k++)
    for (uint32_t i = 0;
         job->occurrences[k].stages && i < job->desc->steps_count; i++)
      if (job->occurrences[k].stages[i].unfinished > 0)
        return &job->occurrences[k].stages[i];
  return NULL;
}

static void
set_rank (work_t *work, rank_t rank)
{
  work->to->has_rank = true;
  work->to->rank = rank;
  work->to->starts_pending = starts_pending (work->sched, rank);
  work->to->starts_max = start_limit (work->sched, rank);
}

/* The stages of JOB's pool, other than its own, that precede FIRST, in the
   order of starts.  */
static GArray *
collect_ahead (const sched_job_t *job, const candidate_t *first,
               double pool_cpu_milli, int64_t now_us)
{
  GArray *ahead = g_array_new (FALSE, FALSE, sizeof (candidate_t));
  const GPtrArray *stages = job->pool->stages;

  for (uint32_t i = 0; i < stages->len; i++)
    {
      stage_t *stage = g_ptr_array_index (stages, i);
      candidate_t candidate;

      if (stage->unstarted == 0 || stage->job == job)
        continue;
      candidate = start_candidate (stage, pool_cpu_milli, now_us);
      if (start_compare (&candidate, first) < 0)
        g_array_append_val (ahead, candidate);
    }
  g_array_sort (ahead, start_compare);
  return ahead;
}

/* Notes the stages AHEAD and places their tasks in the trial.  */
static void
place_ahead (work_t *work, const GArray *ahead, double pool_cpu_milli)
{
  explain_ahead_t *to = &work->to->ahead;
  double cpu_ms = 0;

  to->steps = ahead->len;
  for (uint32_t i = 0; i < ahead->len; i++)
    {
      const candidate_t *candidate = &g_array_index (ahead, candidate_t, i);
      const stage_t *stage = candidate->stage;
      trial_result_t result
          = trial_place (work->trial, stage, candidate->rank);

      work->ahead_starts |= result.started > 0;
      work->ahead_undecided |= result.stop == TRIAL_BUDGET;
      to->tasks[candidate->rank] += stage->unstarted;
      if (!stage->spec->long_running)
        cpu_ms += (double)stage->unstarted
                  * (double)stage->spec->need.cpu_milli
                  * step_expected_ms (work->sched, stage->job, stage->step,
                                      work->now.us);
    }
  /* 1 stands for no CPU (start_pool_cpu_milli).  */
  to->pool_ms = pool_cpu_milli > 1 ? (int64_t)(cpu_ms / pool_cpu_milli) : -1;
}

static void
explain_order (work_t *work, const sched_job_t *job)
{
  double pool_cpu_milli = start_pool_cpu_milli (job->pool);
  stage_t *stage = first_open_stage (job);
  const stage_t *unfinished = first_unfinished_stage (job);
  g_autoptr (GArray) ahead = NULL;
  candidate_t first;

  if (unfinished)
    set_rank (work, start_rank (unfinished, work->now.us));
  if (!stage)
    return;
  first = start_candidate (stage, pool_cpu_milli, work->now.us);
  set_rank (work, first.rank);
  ahead = collect_ahead (job, &first, pool_cpu_milli, work->now.us);
  place_ahead (work, ahead, pool_cpu_milli);
}

/* The longest chain of expected run times of JOB's unfinished steps; -1: one
   of them is long-running.  */
static int64_t
remaining_chain_ms (const sched_t *sched, const sched_job_t *job,
                    int64_t now_us)
{
  int64_t from_ms[JOB_STEPS_MAX] = { 0 };
  int64_t chain_ms = 0;
  const stage_t *stages = NULL;

  for (uint32_t k = 0; k < job->next_occurrence; k++)
    stages = job->occurrences[k].stages ? job->occurrences[k].stages : stages;
  for (uint32_t i = job->desc->steps_count; stages && i-- > 0;)
    {
      const job_step_t *spec = &job->desc->steps[i];

      if (spec->long_running)
        return -1;
      if (stages[i].unfinished > 0)
        from_ms[i] += step_expected_ms (sched, job, i, now_us);
      chain_ms = MAX (chain_ms, from_ms[i]);
      for (uint32_t a = 0; a < spec->after_count; a++)
        from_ms[spec->after[a]] = MAX (from_ms[spec->after[a]], from_ms[i]);
    }
  return chain_ms;
}

/* Whether JOB has no unfinished step until its next occurrence is due.  */
static bool
is_not_due (const explanation_t *to, const sched_job_t *job)
{
  return to->steps_count == 0
         && job->next_occurrence < job_occurrences (job->desc);
}

/* Sets kind and times of the explanation of JOB, which is not due.  */
static void
conclude_not_due (const work_t *work, const sched_job_t *job)
{
  int64_t due_ms = job_due_ms (job->desc, job->next_occurrence);

  work->to->kind = EXPLAIN_WAITS;
  work->to->u.wait = EXPLAIN_WAIT_NOT_DUE;
  work->to->start_ms = MAX (due_ms - work->now.wall_ms, 0);
  work->to->end_ms = -1;
}

/* Sets kind and times of the explanation from its steps.  */
static void
conclude (work_t *work, const sched_job_t *job)
{
  explanation_t *to = work->to;
  int64_t chain_ms = remaining_chain_ms (work->sched, job, work->now.us);
  bool waits = false;

  to->kind = EXPLAIN_PLACED;
  for (uint32_t i = 0; i < to->steps->len; i++)
    {
      const explain_step_t *step
          = &g_array_index (to->steps, explain_step_t, i);

      if (step->state == EXPLAIN_STEP_STARTS)
        {
          waits = false;
          break;
        }
      if (step->state == EXPLAIN_STEP_WAITS && !waits)
        to->u.wait = step->wait;
      waits |= step->state == EXPLAIN_STEP_WAITS;
    }
  if (waits)
    to->kind = EXPLAIN_WAITS;
  to->start_ms = waits ? MAX (to->ahead.pool_ms, 0) : 0;
  if (waits && to->ahead.pool_ms <= 0)
    to->start_ms = -1; /* when the room comes isn't known */
  to->end_ms = to->start_ms < 0 || chain_ms < 0 ? -1 : to->start_ms + chain_ms;
}

void
explain_job (explanation_t *to, const sched_t *sched, const sched_job_t *job,
             sched_now_t now)
{
  work_t work = { .sched = sched, .now = now, .to = to };

  to->queue = job->desc->queue;
  to->pool = job->pool->name;
  to->priority = job->settings.priority;
  to->objective_ms = job_objective_us (job) / 1000;
  to->admission = sched->limits.admit_by_objective;
  to->workspace = (explain_workspace_t){ .name = job->workspace->name,
                                         .weight = job->workspace->rule.weight,
                                         .over_share = job->over_share,
                                         .cap = job->workspace->rule.cap,
                                         .used = job->workspace->allocated };
  to->steps = g_array_new (FALSE, TRUE, sizeof (explain_step_t));
  work.trial = trial_new (sched, job->pool, AHEAD_JUDGED_MAX, now);
  explain_order (&work, job);
  trial_allow (work.trial, OWN_JUDGED_MAX);
  add_steps (&work, job, true);
  add_steps (&work, job, false);
  trial_free (work.trial);
  if (is_not_due (to, job))
    conclude_not_due (&work, job);
  else
    conclude (&work, job);
}

#include "schedint.h"

static void
stage_clear (stage_t *stage)
{
  checkpoints_clear (stage);
  g_free (stage->tasks);
  advice_free (stage->advice);
}

void
sched_job_free (gpointer data)
{
  sched_job_t *job = data;

  for (uint32_t k = 0; k < job_occurrences (job->desc); k++)
    {
      stage_t *stages = job->occurrences[k].stages;

      for (uint32_t i = 0; stages && i < job->desc->steps_count; i++)
        stage_clear (&stages[i]);
      g_free (stages);
    }
  g_free (job->occurrences);
  g_free (job->chain_from_ms);
  job_desc_unref (job->desc);
  g_free (job);
}

/* Computes the longest chain of estimates from each step on, from the last
   step backwards, and the total work.  */
static void
compute_chains (sched_job_t *job)
{
  const job_desc_t *desc = job->desc;

  job->chain_from_ms = g_new0 (int64_t, desc->steps_count);
  for (uint32_t i = desc->steps_count; i-- > 0;)
    {
      const job_step_t *step = &desc->steps[i];

      job->chain_from_ms[i] += step->estimate_ms;
      job->chain_ms = MAX (job->chain_ms, job->chain_from_ms[i]);
      for (uint32_t a = 0; a < step->after_count; a++)
        job->chain_from_ms[step->after[a]]
            = MAX (job->chain_from_ms[step->after[a]], job->chain_from_ms[i]);
      job->work_mcore_ms += (int64_t)step->count * step->need.cpu_milli
                            * MAX (step->estimate_ms, 1);
    }
}

sched_job_t *
job_build (job_desc_t *desc, workspace_t *workspace, sched_now_t now)
{
  uint32_t count = job_occurrences (desc);
  sched_job_t *job = g_new0 (sched_job_t, 1);

  job->desc = job_desc_ref (desc);
  job->workspace = workspace;
  job->settings = desc->settings;
  job->occurrences = g_new0 (occurrence_t, count);
  job->unfinished = count;
  job->accepted_us
      = now.us - CLAMP (now.wall_ms - desc->accepted_ms, 0, 60000) * 1000;
  compute_chains (job);
  return job;
}

void
job_build_stages (sched_job_t *job, uint32_t k)
{
  stage_t *stages = g_new0 (stage_t, job->desc->steps_count);

  for (uint32_t i = 0; i < job->desc->steps_count; i++)
    {
      const job_step_t *spec = &job->desc->steps[i];

      stages[i] = (stage_t){ .job = job,
                             .occurrence = k,
                             .step = i,
                             .spec = spec,
                             .tasks = g_new0 (task_t, spec->count),
                             .unfinished = spec->count,
                             .unstarted = spec->count,
                             .steps_pending = spec->after_count };
      for (uint32_t t = 0; t < spec->count; t++)
        {
          stages[i].tasks[t].stage = &stages[i];
          stages[i].tasks[t].index = t;
        }
    }
  job->occurrences[k].stages = stages;
}

#include "waiting.h"
#include "judge.h"

/* The task of STAGE that would start next; NULL: none.  */
static const task_t *
next_task (const stage_t *stage)
{
  for (uint32_t i = 0; i < stage->spec->count; i++)
    if (!stage->tasks[i].done && !stage->tasks[i].run)
      return &stage->tasks[i];
  return NULL;
}

/* Appends how many workers of STAGE's pool are judged how.  */
static void
append_judgements (GString *text, const stage_t *stage, int64_t now_us)
{
  const GPtrArray *workers = stage->job->pool->workers;
  uint32_t counts[JUDGEMENTS_COUNT] = { 0 };
  judge_task_t task = judge_task (stage, next_task (stage));

  for (uint32_t i = 0; i < workers->len; i++)
    counts[judge_worker (&task, g_ptr_array_index (workers, i), now_us)]++;
  for (uint32_t i = 0; i < JUDGEMENTS_COUNT; i++)
    if (counts[i] > 0)
      g_string_append_printf (text, " %s=%u", judgement_name ((judgement_t)i),
                              counts[i]);
}

static void
log_stage (const candidate_t *candidate, uint32_t stages, int64_t now_us)
{
  const stage_t *stage = candidate->stage;
  g_autoptr (GString) text = g_string_new (NULL);

  if (next_task (stage))
    append_judgements (text, stage, now_us);
  event_log (EV_TASKS_WAITING,
             "id=%s occurrence=%u step=%u pool=%s rank=%s waited_ms=%" PRId64
             " age_ms=%" PRId64 " tasks=%u steps=%u cap=%d%s",
             stage->job->desc->id, stage->occurrence, stage->step,
             stage->job->pool->name, rank_name (candidate->rank),
             (now_us - stage->waiting_us) / 1000,
             (now_us - stage->job->accepted_us) / 1000, stage->unstarted,
             stages, !quota_allows (stage->job, &stage->spec->need),
             text->str);
}

void
waiting_log (sched_t *sched, const GArray *candidates, int64_t now_us)
{
  const candidate_t *oldest = NULL;
  uint32_t stages = 0;

  if (now_us - sched->waiting_logged_us < WAITING_INTERVAL_US)
    return;
  for (uint32_t i = 0; i < candidates->len; i++)
    {
      const candidate_t *candidate
          = &g_array_index (candidates, candidate_t, i);

      if (candidate->stage->unstarted == 0
          || now_us - candidate->stage->waiting_us < WAITING_LOGGED_US)
        continue;
      stages++;
      if (!oldest || candidate->stage->waiting_us < oldest->stage->waiting_us)
        oldest = candidate;
    }
  if (!oldest)
    return;
  sched->waiting_logged_us = now_us;
  log_stage (oldest, stages, now_us);
}

void
waiting_log_limited (sched_t *sched, rank_t rank, int64_t now_us)
{
  sched->limited_plans++;
  if (now_us - sched->limited_logged_us < WAITING_INTERVAL_US)
    return;
  event_log (EV_STARTS_LIMITED,
             "rank=%s pending=%" PRIu64 " limit=%" PRIu64
             " plans=%u busy_percent=%u "
             "start_delay_ms=%" PRId64,
             rank_name (rank), starts_pending (sched, rank),
             start_limit (sched, rank), sched->limited_plans,
             sched->busy_percent, sched->start_delay_us / 1000);
  sched->limited_logged_us = now_us;
  sched->limited_plans = 0;
}

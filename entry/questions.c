#include "core.h"

/* Beyond the time that the service says it takes, for those of this daemon
   before it.  */
#define ANSWER_SLACK_MS 1500

/* A question on its way.  */
typedef struct sent_question
{
  core_t *core;
  advice_request_t question;
} sent_question_t;

static void
on_allowed (void *ctx, const call_result_t *result)
{
  sent_question_t *sent = ctx;
  core_t *core = sent->core;
  platform_advice_t allowed;

  if (core->sched && sent->question.token == core->tab->owner.epoch)
    {
      if (platform_advice_reply (result->status, result->body, &allowed))
        advice_answer (core->sched, &sent->question,
                       (const allowed_worker_t *)(void *)allowed.rows->data,
                       allowed.rows->len, core_now ());
      else
        advice_failed (core->sched, &sent->question, core_now ());
      platform_advice_clear (&allowed);
    }
  g_ptr_array_free (sent->question.workers, TRUE);
  g_free (sent);
}

static uint32_t
timeout_ms (const core_t *core, const advice_request_t *question)
{
  const job_entry_t *entry = jobtab_find (core->tab, question->id);
  const rules_queue_t *queue
      = entry ? rules_queue (core->rules, entry->desc->queue) : NULL;

  if (!queue)
    return ANSWER_SLACK_MS;
  return ANSWER_SLACK_MS + queue->advice.decide_ms
         + queue->advice.period_ms * question->workers->len;
}

void
questions_send (core_t *core, GArray *questions)
{
  for (uint32_t i = 0; i < questions->len; i++)
    {
      sent_question_t *sent = g_new0 (sent_question_t, 1);
      platform_req_t req;

      sent->core = core;
      sent->question = g_array_index (questions, advice_request_t, i);
      req = platform_advice_req (&sent->question);
      calls_send (core->calls, core->settings->advice, &req,
                  timeout_ms (core, &sent->question), on_allowed, sent);
    }
  g_array_set_size (questions, 0);
}

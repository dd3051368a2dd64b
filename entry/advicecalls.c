#include "core.h"

typedef struct advice_call
{
  core_t *core;
  advice_request_t request;
} advice_call_t;

static void
on_advice (void *ctx, const call_result_t *result)
{
  advice_call_t *call = ctx;
  core_t *core = call->core;
  platform_advice_t advice;

  if (core->sched && call->request.token == core->tab->owner.epoch)
    {
      if (platform_advice_reply (result->status, result->body, &advice))
        advice_answer (core->sched, &call->request,
                       (const allowed_worker_t *)(void *)advice.rows->data,
                       advice.rows->len, core_now ());
      else
        advice_failed (core->sched, &call->request, core_now ());
      platform_advice_clear (&advice);
    }
  g_ptr_array_free (call->request.workers, TRUE);
  g_free (call);
}

void
advice_calls_send (core_t *core, GArray *requests)
{
  for (uint32_t i = 0; i < requests->len; i++)
    {
      advice_call_t *call = g_new0 (advice_call_t, 1);
      platform_req_t req;

      call->core = core;
      call->request = g_array_index (requests, advice_request_t, i);
      req = platform_advice_req (&call->request);
      calls_send (core->calls, core->settings->advice, &req,
                  call->request.timeout_ms, on_advice, call);
    }
  g_array_set_size (requests, 0);
}

#include "core.h"
#include <string.h>

/* A sound worker answers in a few milliseconds.  Longer, so that a slow entry
   host does not take its own delay for the worker's.  */
#define ORDER_TIMEOUT_MS 700

/* An order on its way.  */
typedef struct sent_order
{
  core_t *core;
  order_t order;
  uint64_t epoch;
} sent_order_t;

static void
fill_reply (const call_result_t *result, worker_reply_t *reply)
{
  reply->sent_us = result->sent_us;
  if (result->refused)
    reply->kind = REPLY_REFUSED;
}

static void
on_answer (void *ctx, const call_result_t *result)
{
  sent_order_t *sent = ctx;
  core_t *core = sent->core;
  const order_t *order = &sent->order;
  site_answer_t answer;
  bool still_owner = true;

  if (core->sched && sent->epoch == core->tab->owner.epoch)
    {
      site_order_answer (order->kind, result->status, result->body, &answer);
      fill_reply (result, &answer.reply);
      still_owner
          = order->kind == ORDER_HOLD
                ? sched_hold_reply (core->sched, order->worker, &answer.reply,
                                    answer.has_lists ? &answer.lists : NULL,
                                    core_now ())
                : sched_order_reply (core->sched, order, &answer.reply,
                                     core_now ());
      site_answer_clear (&answer);
    }
  if (!still_owner)
    core_depose (core, order->worker);
  g_free (sent);
}

void
orders_send (core_t *core, GArray *orders)
{
  for (uint32_t i = 0; i < orders->len; i++)
    {
      const order_t *order = &g_array_index (orders, order_t, i);
      sent_order_t *sent = g_new0 (sent_order_t, 1);
      site_req_t req = site_order (order);
      uint32_t wait_ms = order->kind == ORDER_HOLD ? order->wait_ms : 0;

      sent->core = core;
      sent->order = *order;
      sent->order.payload = NULL; /* last only until the order is sent */
      sent->order.checkpoint = NULL;
      sent->order.ticket = NULL;
      sent->epoch = order->token;
      calls_send (core->calls, order->address, &req,
                  wait_ms + ORDER_TIMEOUT_MS, on_answer, sent);
    }
  g_array_set_size (orders, 0);
}

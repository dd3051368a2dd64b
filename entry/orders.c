#include "core.h"
#include <string.h>

/* A sound worker answers in a few milliseconds.  An order without an answer is
   taken back, so a short time is safe; it is long enough that a slow entry
   host seldom takes its own delay for the worker's.  */
#define ORDER_TIMEOUT_MS 250
/* Beyond the time for which a worker holds a look.  */
#define HOLD_SLACK_MS 300
/* Orders under way at a time, looks aside.  A daemon with a tenth of a core
   gets through so many well inside ORDER_TIMEOUT_MS; with more of them answers
   would wait here, and be taken for lost, until nothing is started any
   more.  */
#define ORDERS_IN_FLIGHT_MAX 48

static uint32_t
timeout_ms (const order_t *order)
{
  switch (order->kind)
    {
    case ORDER_HOLD:
      return order->wait_ms + HOLD_SLACK_MS;
    case ORDER_START:
    case ORDER_STOP:
    case ORDER_PACE:
      return ORDER_TIMEOUT_MS;
    }
  return ORDER_TIMEOUT_MS;
}

/* An order on its way, or waiting to be sent.  */
typedef struct order_call
{
  core_t *core;
  order_t order;
  platform_req_t req; /* cleared once it is sent */
} order_call_t;

void
orders_open (core_t *core)
{
  core->orders = g_queue_new ();
}

void
orders_clear (core_t *core)
{
  order_call_t *call;

  while ((call = g_queue_pop_head (core->orders)))
    {
      platform_req_clear (&call->req);
      g_free (call);
    }
}

void
orders_close (core_t *core)
{
  orders_clear (core);
  g_queue_free (core->orders);
}

static void on_order_reply (void *ctx, const call_result_t *result);

static void
send_order (order_call_t *call)
{
  const order_t *order = &call->order;

  counter_add (COUNT_WORKER_CALLS, 1);
  calls_send (call->core->worker_calls, order->address, &call->req,
              timeout_ms (order), on_order_reply, call);
}

static void
send_queued (core_t *core)
{
  while (core->orders_in_flight < ORDERS_IN_FLIGHT_MAX
         && core->orders->length > 0)
    {
      core->orders_in_flight++;
      send_order (g_queue_pop_head (core->orders));
    }
}

static void
on_order_reply (void *ctx, const call_result_t *result)
{
  order_call_t *call = ctx;
  core_t *core = call->core;
  const order_t *order = &call->order;
  platform_order_reply_t answer;
  bool still_owner = true;

  if (core->sched && order->token == core->tab->owner.epoch)
    {
      platform_order_reply (order->kind, result->status, result->body,
                            &answer);
      answer.reply.sent_us = result->sent_us;
      if (result->not_sent)
        answer.reply.kind = REPLY_REFUSED;
      still_owner
          = order->kind == ORDER_HOLD
                ? sched_hold_reply (core->sched, order->worker, &answer.reply,
                                    answer.has_report ? &answer.report : NULL,
                                    core_now ())
                : sched_order_reply (core->sched, order, &answer.reply,
                                     core_now ());
      platform_order_reply_clear (&answer);
    }
  if (order->kind != ORDER_HOLD)
    core->orders_in_flight--;
  if (!still_owner)
    core_lose_ownership (core, order->worker);
  g_free (call);
  send_queued (core);
}

void
orders_send (core_t *core, GArray *orders)
{
  for (uint32_t i = 0; i < orders->len; i++)
    {
      const order_t *order = &g_array_index (orders, order_t, i);
      order_call_t *call = g_new0 (order_call_t, 1);

      call->core = core;
      call->order = *order;
      call->req = platform_order_req (order);
      call->order.payload = NULL; /* last only until the order is sent */
      call->order.checkpoint = NULL;
      call->order.ticket = NULL;
      if (order->kind == ORDER_HOLD)
        send_order (call);
      else
        g_queue_push_tail (core->orders, call);
    }
  g_array_set_size (orders, 0);
  send_queued (core);
}

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
#define ORDERS_OUT_MAX 48

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
typedef struct sent_order
{
  core_t *core;
  order_t order;
  platform_req_t req; /* cleared once it is sent */
} sent_order_t;

void
orders_open (core_t *core)
{
  core->orders = g_queue_new ();
}

void
orders_clear (core_t *core)
{
  sent_order_t *sent;

  while ((sent = g_queue_pop_head (core->orders)))
    {
      platform_req_clear (&sent->req);
      g_free (sent);
    }
}

void
orders_close (core_t *core)
{
  orders_clear (core);
  g_queue_free (core->orders);
}

static void on_answer (void *ctx, const call_result_t *result);

static void
send_one (sent_order_t *sent)
{
  const order_t *order = &sent->order;

  counter_add (COUNT_WORKER_CALLS, 1);
  calls_send (sent->core->worker_calls, order->address, &sent->req,
              timeout_ms (order), on_answer, sent);
}

static void
send_waiting (core_t *core)
{
  while (core->orders_out < ORDERS_OUT_MAX && core->orders->length > 0)
    {
      core->orders_out++;
      send_one (g_queue_pop_head (core->orders));
    }
}

static void
on_answer (void *ctx, const call_result_t *result)
{
  sent_order_t *sent = ctx;
  core_t *core = sent->core;
  const order_t *order = &sent->order;
  platform_order_reply_t answer;
  bool still_owner = true;

  if (core->sched && order->token == core->tab->owner.epoch)
    {
      platform_order_reply (order->kind, result->status, result->body,
                            &answer);
      answer.reply.sent_us = result->sent_us;
      if (result->refused)
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
    core->orders_out--;
  if (!still_owner)
    core_depose (core, order->worker);
  g_free (sent);
  send_waiting (core);
}

void
orders_send (core_t *core, GArray *orders)
{
  for (uint32_t i = 0; i < orders->len; i++)
    {
      const order_t *order = &g_array_index (orders, order_t, i);
      sent_order_t *sent = g_new0 (sent_order_t, 1);

      sent->core = core;
      sent->order = *order;
      sent->req = platform_order_req (order);
      sent->order.payload = NULL; /* last only until the order is sent */
      sent->order.checkpoint = NULL;
      sent->order.ticket = NULL;
      if (order->kind == ORDER_HOLD)
        send_one (sent);
      else
        g_queue_push_tail (core->orders, sent);
    }
  g_array_set_size (orders, 0);
  send_waiting (core);
}

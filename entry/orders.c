#include "core.h"
#include <string.h>

/* A healthy worker replies in a few milliseconds.  An order without a reply is
   revoked, so a short timeout is safe; it is long enough that a slow entry
   host rarely mistakes its own delay for that of the worker.  */
#define ORDER_TIMEOUT_MS 250
/* Added to the time for which the worker holds the request open.  */
#define HOLD_SLACK_MS 300
/* Limit on orders in flight, not counting holds, of a busy owner.  A daemon
   with a tenth of a core processes this many well within ORDER_TIMEOUT_MS.
   With more, replies would wait here until they time out, and finally no task
   would start.  An owner that has time may have as many as unanswered starts:
   with workers that leave orders unanswered a fixed number would bound the
   starts a second.  */
#define ORDERS_IN_FLIGHT_MIN 48

uint32_t
orders_timeout_ms (const order_t *order)
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

void
orders_call_worker (core_t *core, const order_t *order, platform_req_t *req,
                    int64_t send_by_us, call_done_t done, void *ctx)
{
  int64_t now_us = clock_boot_us ();
  call_t *call = calls_send (core->worker_calls, order->address, req,
                             orders_timeout_ms (order), done, ctx);

  counter_add (COUNT_WORKER_CALLS, 1);
  switch (order->kind)
    {
    case ORDER_START:
      calls_limit_delay (call, (uint32_t)CLAMP ((send_by_us - now_us) / 1000,
                                                0, ORDERS_START_DELAY_MAX_MS));
      return;
    case ORDER_HOLD:
    case ORDER_STOP:
    case ORDER_PACE:
      return;
    }
}

/* An order that this daemon sends itself.  */
typedef struct direct_call
{
  core_t *core;
  order_t order;
  platform_req_t req; /* cleared when it is sent */
} direct_call_t;

void
orders_open (core_t *core)
{
  core->orders = g_queue_new ();
}

static void
free_direct_call (direct_call_t *call)
{
  platform_req_clear (&call->req);
  g_free (call);
}

void
orders_clear (core_t *core)
{
  direct_call_t *call;

  while ((call = g_queue_pop_head (core->orders)))
    free_direct_call (call);
  hub_clear_orders (core);
}

void
orders_close (core_t *core)
{
  orders_clear (core);
  g_queue_free (core->orders);
}

static void on_order_reply (void *ctx, const call_result_t *result);

static void
send_order (direct_call_t *call)
{
  orders_call_worker (call->core, &call->order, &call->req,
                      call->order.send_by_us, on_order_reply, call);
}

static bool
may_send (const core_t *core)
{
  return core->sched && !core->resync_needed
         && core->orders_in_flight
                < MAX (sched_start_window (core->sched), ORDERS_IN_FLIGHT_MIN);
}

static void
send_queued (core_t *core)
{
  while (may_send (core) && core->orders->length > 0)
    {
      direct_call_t *call = g_queue_pop_head (core->orders);

      if (sched_order_is_due (core->sched, &call->order, core_now ()))
        {
          core->orders_in_flight++;
          send_order (call);
        }
      else
        free_direct_call (call);
    }
}

void
orders_process_reply (core_t *core, const order_t *order,
                      const worker_reply_t *reply,
                      const worker_report_t *report)
{
  bool still_owner;

  if (!core->sched || order->token != core->tab->owner.epoch)
    return;
  still_owner
      = order->kind == ORDER_HOLD
            ? sched_hold_reply (core->sched, order, reply, report, core_now ())
            : sched_order_reply (core->sched, order, reply, core_now ());
  if (!still_owner)
    core_lose_ownership (core, order->worker);
}

static void
on_order_reply (void *ctx, const call_result_t *result)
{
  direct_call_t *call = ctx;
  core_t *core = call->core;
  order_t order = call->order;
  platform_order_reply_t answer;

  g_free (call);
  platform_order_reply (order.kind, result->status, result->body, &answer);
  answer.reply.sent_us = result->sent_us;
  if (result->not_sent)
    answer.reply.kind = REPLY_REFUSED;
  if (order.kind != ORDER_HOLD)
    core->orders_in_flight--;
  orders_process_reply (core, &order, &answer.reply,
                        answer.has_report ? &answer.report : NULL);
  platform_order_reply_clear (&answer);
  send_queued (core);
}

void
orders_forget_strings (order_t *order)
{
  order->payload = NULL;
  order->checkpoint = NULL;
  order->ticket = NULL;
}

void
orders_resume (core_t *core)
{
  send_queued (core);
  hub_resume_orders (core);
}

static void
send_direct (core_t *core, const order_t *order)
{
  direct_call_t *call = g_new0 (direct_call_t, 1);

  call->core = core;
  call->order = *order;
  call->req = platform_order_req (order);
  orders_forget_strings (&call->order);
  if (order->kind == ORDER_HOLD)
    send_order (call);
  else
    g_queue_push_tail (core->orders, call);
}

/* Whether a relay may carry ORDER out.  Stops and paces are few, and judged
   just before they are sent, so this daemon sends them itself.  */
static bool
may_be_relayed (const order_t *order)
{
  switch (order->kind)
    {
    case ORDER_HOLD:
    case ORDER_START:
      return true;
    case ORDER_STOP:
    case ORDER_PACE:
      return false;
    }
  return false;
}

void
orders_send (core_t *core, GArray *orders)
{
  int64_t now_us = clock_boot_us ();

  for (uint32_t i = 0; i < orders->len; i++)
    {
      const order_t *order = &g_array_index (orders, order_t, i);
      route_t route = { .kind = ROUTE_DIRECT };

      if (may_be_relayed (order))
        route = dispatch_route (core->dispatch, order->worker,
                                order->data_centre, now_us);
      switch (route.kind)
        {
        case ROUTE_DIRECT:
          send_direct (core, order);
          break;
        case ROUTE_RELAY:
          hub_send_order (core, route.u.relay, order, now_us);
          break;
        }
    }
  g_array_set_size (orders, 0);
  send_queued (core);
}

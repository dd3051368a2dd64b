#include "hostorder.h"

static bool
send (host_ordered_t *ordered, const host_event_t *event, int64_t now_us)
{
  bool repeated = host_order_may_repeat (ordered);

  /* The worker stays the one of the first order that has no answer, unless
     another one is known to run there.  */
  if (ordered->state != HOST_ORDER_UNANSWERED)
    ordered->worker = event->u.send.worker;
  ordered->order = event->u.send.order;
  ordered->us = now_us;
  ordered->state = repeated ? HOST_ORDER_REPEATED : HOST_ORDER_SENT;
  return false;
}

static bool
take_reply (host_ordered_t *ordered, host_reply_t reply, int64_t now_us)
{
  if (!host_order_awaits_reply (ordered))
    return false;
  switch (reply)
    {
    case HOST_REPLY_OK:
      ordered->us = now_us;
      ordered->state = HOST_ORDER_ACCEPTED;
      return false;
    case HOST_REPLY_NONE:
      ordered->state = HOST_ORDER_UNANSWERED;
      return false;
    case HOST_REPLY_BUSY:
    case HOST_REPLY_REFUSED:
      if (ordered->state == HOST_ORDER_REPEATED)
        {
          ordered->state = HOST_ORDER_UNANSWERED;
          return false;
        }
      ordered->state = HOST_ORDER_NONE;
      return true;
    case HOST_REPLY_FENCED:
      return false; /* the owner resigns */
    }
  return false;
}

static bool
take_list (host_ordered_t *ordered, const host_event_t *event)
{
  bool is_up = event->u.list.status == HOST_STATUS_UP;

  if (event->u.list.sent_us <= ordered->us)
    return false; /* it may be older than the order */
  switch (ordered->state)
    {
    case HOST_ORDER_ACCEPTED:
    case HOST_ORDER_SEEN:
      ordered->state = is_up ? HOST_ORDER_NONE : HOST_ORDER_SEEN;
      return is_up;
    case HOST_ORDER_UNANSWERED:
      if (!is_up || event->u.list.worker == ordered->worker)
        return false;
      /* A host that moves late harms no limit.  */
      ordered->state = ordered->order.kind == HOST_ORDER_MAINTENANCE
                           ? HOST_ORDER_DOUBTED
                           : HOST_ORDER_NONE;
      return true;
    case HOST_ORDER_NONE:
    case HOST_ORDER_SENT:
    case HOST_ORDER_REPEATED:
    case HOST_ORDER_DOUBTED:
      return false;
    }
  return false;
}

bool
host_order_apply (host_ordered_t *ordered, const host_event_t *event,
                  int64_t now_us)
{
  switch (event->kind)
    {
    case HOST_EVENT_SEND:
      return send (ordered, event, now_us);
    case HOST_EVENT_REPLY:
      return take_reply (ordered, event->u.reply, now_us);
    case HOST_EVENT_LIST:
      return take_list (ordered, event);
    }
  return false;
}

void
host_order_inherit (host_ordered_t *ordered, host_order_t order,
                    int64_t now_us)
{
  if (ordered->state != HOST_ORDER_NONE)
    return;
  ordered->state = HOST_ORDER_DOUBTED;
  ordered->order = order;
  ordered->us = now_us;
}

void
host_order_forget (host_ordered_t *ordered)
{
  if (ordered->state == HOST_ORDER_DOUBTED)
    ordered->state = HOST_ORDER_NONE;
}

bool
host_order_is_open (const host_ordered_t *ordered)
{
  return ordered->state != HOST_ORDER_NONE
         && ordered->state != HOST_ORDER_DOUBTED;
}

bool
host_order_awaits_reply (const host_ordered_t *ordered)
{
  return ordered->state == HOST_ORDER_SENT
         || ordered->state == HOST_ORDER_REPEATED;
}

bool
host_order_is_accepted (const host_ordered_t *ordered)
{
  return ordered->state == HOST_ORDER_ACCEPTED
         || ordered->state == HOST_ORDER_SEEN;
}

bool
host_order_may_repeat (const host_ordered_t *ordered)
{
  return ordered->state == HOST_ORDER_UNANSWERED
         || ordered->state == HOST_ORDER_DOUBTED;
}

bool
host_order_may_come (const host_ordered_t *ordered)
{
  return host_order_awaits_reply (ordered) || host_order_may_repeat (ordered);
}

bool
host_order_counts (const host_ordered_t *ordered, uint64_t wave)
{
  if (ordered->order.kind != HOST_ORDER_MAINTENANCE)
    return false;
  return host_order_is_open (ordered)
         || (ordered->state == HOST_ORDER_DOUBTED
             && ordered->order.wave == wave);
}

const char *
host_order_ended_worker (const host_ordered_t *ordered,
                         const host_event_t *event)
{
  if (!host_order_is_accepted (ordered) || event->u.list.sent_us <= ordered->us
      || (event->u.list.status == HOST_STATUS_UP
          && event->u.list.worker == ordered->worker))
    return NULL;
  return ordered->worker;
}

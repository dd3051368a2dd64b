/* hostorder - the order for a host that may be under way

   NAME
     hostorder

   DESCRIPTION
     An order moves a host to another pool or takes it down for the maintenance
     of a wave.  An order without an answer may have been carried out, or may
     be later, until a repeat of it is accepted: the platform accepts an order
     that was carried out already.  Until then it counts for its wave, whatever
     runs on the host.

     A host has one order at a time.  Another one for it is given only when the
     state is HOST_ORDER_NONE.

     The states and events are those of the table in docs/design/hostorders.md.
     Private to jobs/.  */

#ifndef CUMINPIN_HOSTORDER_H
#define CUMINPIN_HOSTORDER_H

#include "hosts.h"

typedef enum host_order_state
{
  HOST_ORDER_NONE,       /* none may be under way */
  HOST_ORDER_SENT,       /* sent for the first time; no answer yet */
  HOST_ORDER_UNANSWERED, /* may have been carried out, or may be later */
  HOST_ORDER_REPEATED,   /* sent again after one without an answer */
  HOST_ORDER_ACCEPTED,   /* carried out; not seen in a list yet */
  HOST_ORDER_SEEN,       /* carried out; a list has shown the host as not up */
  HOST_ORDER_DOUBTED     /* UNANSWERED, and another worker runs on the host, or
                            an owner before may have sent it */
} host_order_state_t;

typedef struct host_ordered
{
  host_order_state_t state;
  host_order_t order;
  const char *worker; /* on the host when it was ordered; interned */
  int64_t us;         /* last sent or accepted */
} host_ordered_t;

typedef enum host_event_kind
{
  HOST_EVENT_SEND, /* ORDER is sent while WORKER is listed on the host */
  HOST_EVENT_REPLY,
  HOST_EVENT_LIST /* a list that was requested at SENT_US */
} host_event_kind_t;

typedef struct host_event
{
  host_event_kind_t kind;
  union
  {
    struct
    {
      host_order_t order;
      const char *worker; /* interned */
    } send;
    host_reply_t reply;
    struct
    {
      host_status_t status;
      const char *worker; /* interned */
      int64_t sent_us;
    } list;
  } u;
} host_event_t;

/* host_order_apply - EVENT has happened.  True: the order is over, or was not
   carried out, so that the host is as before it, or may be used by its next
   worker.  */
bool host_order_apply (host_ordered_t *ordered, const host_event_t *event,
                       int64_t now_us);

/* host_order_inherit - an owner before may have sent ORDER.  */
void host_order_inherit (host_ordered_t *ordered, host_order_t order,
                         int64_t now_us);

/* host_order_forget - the order in doubt doesn't count any more.  */
void host_order_forget (host_ordered_t *ordered);

/* host_order_is_open - whether the host counts as down: the order has begun,
   or may begin any time.
   host_order_awaits_reply - whether the order was sent and has no answer yet.
   host_order_is_accepted - whether it was carried out.
   host_order_may_repeat - whether it has to be sent again.
   host_order_may_come - whether it may be carried out at any time.
   host_order_counts - whether the host counts as down for the maintenance of
   WAVE.  */
bool host_order_is_open (const host_ordered_t *ordered);
bool host_order_awaits_reply (const host_ordered_t *ordered);
bool host_order_is_accepted (const host_ordered_t *ordered);
bool host_order_may_repeat (const host_ordered_t *ordered);
bool host_order_may_come (const host_ordered_t *ordered);
bool host_order_counts (const host_ordered_t *ordered, uint64_t wave);

/* host_order_ended_worker - the worker that ORDERED has certainly ended,
   according to the list in EVENT; NULL: none.  */
const char *host_order_ended_worker (const host_ordered_t *ordered,
                                     const host_event_t *event);

#endif

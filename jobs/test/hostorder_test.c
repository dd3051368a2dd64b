#include "../../test/run_suite.h"
#include "hostorder.h"
#include <string.h>

/* Times of a list that was requested before and after an order.  */
#define ORDERED_US 1000
#define EARLY_US 900
#define LATE_US 2000
#define WAVE 7
#define OTHER_WAVE 8

/* What happens in a row of the table.  */
typedef enum step
{
  SEND,
  OK,
  NO_ANSWER,
  BUSY,
  REFUSED,
  OLD_LIST_UP,    /* requested before the order; the same worker */
  OLD_LIST_OTHER, /* the same, and another worker */
  LIST_UP,        /* the same worker is listed */
  LIST_OTHER,     /* another worker is listed */
  LIST_DOWN       /* in maintenance or moving */
} step_t;

static bool
apply (host_ordered_t *ordered, host_order_kind_t kind, step_t step)
{
  const char *worker = g_intern_static_string ("w0");
  const char *other = g_intern_static_string ("w1");
  host_event_t event = { .kind = HOST_EVENT_LIST };

  event.u.list.status = HOST_STATUS_UP;
  event.u.list.worker = worker;
  event.u.list.sent_us = LATE_US;
  switch (step)
    {
    case SEND:
      event.kind = HOST_EVENT_SEND;
      event.u.send.order = (host_order_t){ .kind = kind, .wave = WAVE };
      event.u.send.worker = worker;
      break;
    case OK:
    case NO_ANSWER:
    case BUSY:
    case REFUSED:
      event.kind = HOST_EVENT_REPLY;
      event.u.reply = step == OK          ? HOST_REPLY_OK
                      : step == NO_ANSWER ? HOST_REPLY_NONE
                      : step == BUSY      ? HOST_REPLY_BUSY
                                          : HOST_REPLY_REFUSED;
      break;
    case OLD_LIST_UP:
    case OLD_LIST_OTHER:
      event.u.list.sent_us = EARLY_US;
      event.u.list.worker = step == OLD_LIST_UP ? worker : other;
      break;
    case LIST_UP:
      break;
    case LIST_OTHER:
      event.u.list.worker = other;
      break;
    case LIST_DOWN:
      event.u.list.status = HOST_STATUS_MAINTENANCE;
      event.u.list.worker = g_intern_static_string ("");
      break;
    }
  return host_order_apply (ordered, &event, ORDERED_US);
}

#define STEPS_MAX 6

typedef struct row
{
  uint32_t count;
  step_t steps[STEPS_MAX];
  host_order_state_t state;
  bool over; /* as the last step says */
} row_t;

/* The table of docs/design/hostorders.md.  */
static const row_t rows[] = {
  { 1, { SEND }, HOST_ORDER_SENT, false },
  { 2, { SEND, OLD_LIST_OTHER }, HOST_ORDER_SENT, false },
  { 2, { SEND, LIST_UP }, HOST_ORDER_SENT, false },
  { 2, { SEND, LIST_OTHER }, HOST_ORDER_SENT, false },
  { 2, { SEND, LIST_DOWN }, HOST_ORDER_SENT, false },
  { 2, { SEND, BUSY }, HOST_ORDER_NONE, true },
  { 2, { SEND, REFUSED }, HOST_ORDER_NONE, true },
  { 2, { SEND, OK }, HOST_ORDER_ACCEPTED, false },
  { 3, { SEND, OK, OLD_LIST_UP }, HOST_ORDER_ACCEPTED, false },
  { 3, { SEND, OK, OLD_LIST_OTHER }, HOST_ORDER_ACCEPTED, false },
  { 3, { SEND, OK, LIST_DOWN }, HOST_ORDER_SEEN, false },
  { 3, { SEND, OK, LIST_UP }, HOST_ORDER_NONE, true },
  { 4, { SEND, OK, LIST_DOWN, LIST_OTHER }, HOST_ORDER_NONE, true },
  { 4, { SEND, OK, LIST_DOWN, LIST_DOWN }, HOST_ORDER_SEEN, false },
  { 2, { SEND, NO_ANSWER }, HOST_ORDER_UNANSWERED, false },
  { 3, { SEND, NO_ANSWER, LIST_UP }, HOST_ORDER_UNANSWERED, false },
  { 3, { SEND, NO_ANSWER, LIST_DOWN }, HOST_ORDER_UNANSWERED, false },
  { 3, { SEND, NO_ANSWER, OLD_LIST_OTHER }, HOST_ORDER_UNANSWERED, false },
  { 3, { SEND, NO_ANSWER, SEND }, HOST_ORDER_REPEATED, false },
  { 4, { SEND, NO_ANSWER, SEND, BUSY }, HOST_ORDER_UNANSWERED, false },
  { 4, { SEND, NO_ANSWER, SEND, REFUSED }, HOST_ORDER_UNANSWERED, false },
  { 4, { SEND, NO_ANSWER, SEND, NO_ANSWER }, HOST_ORDER_UNANSWERED, false },
  { 4, { SEND, NO_ANSWER, SEND, LIST_OTHER }, HOST_ORDER_REPEATED, false },
  { 4, { SEND, NO_ANSWER, SEND, OK }, HOST_ORDER_ACCEPTED, false },
  { 3, { SEND, NO_ANSWER, LIST_OTHER }, HOST_ORDER_DOUBTED, true },
  { 4, { SEND, NO_ANSWER, LIST_OTHER, LIST_UP }, HOST_ORDER_DOUBTED, false },
  { 4, { SEND, NO_ANSWER, LIST_OTHER, SEND }, HOST_ORDER_REPEATED, false },
  { 5,
    { SEND, NO_ANSWER, LIST_OTHER, SEND, REFUSED },
    HOST_ORDER_UNANSWERED,
    false },
  { 5, { SEND, NO_ANSWER, LIST_OTHER, SEND, OK }, HOST_ORDER_ACCEPTED, false },
};

/* Guards against an order that is taken for over, or for not carried out,
   while it may still be carried out, and against one that is never over.  */
START_TEST (test_table_of_transitions)
{
  for (uint32_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      host_ordered_t ordered = { 0 };
      bool over = false;

      for (uint32_t j = 0; j < rows[i].count; j++)
        over = apply (&ordered, HOST_ORDER_MAINTENANCE, rows[i].steps[j]);
      ck_assert_msg (ordered.state == rows[i].state && over == rows[i].over,
                     "row %u: state %d, over %d", i, (int)ordered.state, over);
    }
}
END_TEST

/* Guards against a host that counts for no wave although its order may still
   begin, or for other waves although it is in use.  */
START_TEST (test_orders_count_until_they_are_over)
{
  host_ordered_t ordered = { 0 };

  ck_assert (!host_order_counts (&ordered, WAVE));
  apply (&ordered, HOST_ORDER_MAINTENANCE, SEND);
  ck_assert (host_order_counts (&ordered, WAVE));
  ck_assert (host_order_counts (&ordered, OTHER_WAVE));
  apply (&ordered, HOST_ORDER_MAINTENANCE, NO_ANSWER);
  ck_assert (host_order_counts (&ordered, WAVE));
  apply (&ordered, HOST_ORDER_MAINTENANCE, LIST_OTHER);
  ck_assert (!host_order_is_open (&ordered));
  ck_assert (host_order_counts (&ordered, WAVE));
  ck_assert (!host_order_counts (&ordered, OTHER_WAVE));
  host_order_forget (&ordered);
  ck_assert (!host_order_counts (&ordered, WAVE));
}
END_TEST

/* Guards against a move without an answer that keeps a host from its next
   order for good, and against moves that count for waves.  */
START_TEST (test_moves_count_for_no_wave)
{
  host_ordered_t ordered = { 0 };

  apply (&ordered, HOST_ORDER_MOVE, SEND);
  apply (&ordered, HOST_ORDER_MOVE, NO_ANSWER);
  ck_assert (!host_order_counts (&ordered, WAVE));
  ck_assert (apply (&ordered, HOST_ORDER_MOVE, LIST_OTHER));
  ck_assert_int_eq (ordered.state, HOST_ORDER_NONE);
}
END_TEST

TEST_PROGRAM ("jobs/hostorder", test_table_of_transitions,
              test_orders_count_until_they_are_over,
              test_moves_count_for_no_wave)

#include "advice.h"
#include "rig.h"

/* The queue of the rig gets a policy.  */
static void
set_up (void)
{
  rig_set_up ();
  g_array_index (rig.rules->queues, rules_queue_t, 0).advice
      = (rules_advice_t){ .decide_ms = 50, .period_ms = 2, .valid_ms = 2000 };
}

/* The one question that is asked now; its workers are the caller's.  */
static advice_request_t
ask_one (void)
{
  GArray *requests;
  advice_request_t request;

  g_array_unref (rig_plan (false));
  requests = advice_requests (rig.sched);
  ck_assert_uint_eq (requests->len, 1);
  request = g_array_index (requests, advice_request_t, 0);
  g_array_set_size (requests, 0);
  return request;
}

static void
allow (const advice_request_t *request, const char *worker)
{
  allowed_worker_t allowed = { .worker = worker, .ticket = "ticket-1" };

  advice_answer (rig.sched, request, &allowed, worker ? 1 : 0, rig.now);
  g_ptr_array_free (request->workers, TRUE);
}

/* Guards against starts that a queue's policy does not allow: each is refused
   for want of a ticket.  */
START_TEST (test_step_starts_only_where_it_is_allowed)
{
  job_step_t step = rig_step (3);
  advice_request_t request;
  g_autoptr (GArray) orders = NULL;

  rig_worker ("w1", 8, false);
  rig_worker ("w2", 8, false);
  rig_submit (1, &step, 1);
  request = ask_one ();
  ck_assert_str_eq (request.id, rig_id (1));
  ck_assert_uint_eq (request.workers->len, 2);
  allow (&request, g_intern_string ("w2"));
  orders = rig_plan (false);
  ck_assert_uint_eq (rig_count_orders (orders, ORDER_START), 3);
  for (uint32_t i = 0; i < 3; i++)
    {
      const order_t *start = &g_array_index (orders, order_t, i);

      ck_assert_str_eq (start->worker, "w2");
      ck_assert_str_eq (start->ticket, "ticket-1");
    }
}
END_TEST

/* Guards against a stage that waits for ever because its question was lost or
   the workers asked about were not allowed.  */
START_TEST (test_question_is_repeated_and_goes_on_to_other_workers)
{
  job_step_t step = rig_step (1);
  advice_request_t request;

  rig_worker ("w1", 8, false);
  rig_submit (1, &step, 1);
  request = ask_one ();
  advice_failed (rig.sched, &request, rig.now);
  g_ptr_array_free (request.workers, TRUE);
  rig_advance_clock (250);
  request = ask_one ();
  allow (&request, NULL);
  g_array_unref (rig_plan (false));
  ck_assert_uint_eq (advice_requests (rig.sched)->len, 0);
  rig_worker ("w2", 8, false);
  request = ask_one ();
  ck_assert_uint_eq (request.workers->len, 1);
  ck_assert_str_eq (g_ptr_array_index (request.workers, 0), "w2");
  g_ptr_array_free (request.workers, TRUE);
}
END_TEST

/* Guards against starts with a ticket that has ended.  */
START_TEST (test_ended_ticket_is_asked_for_again)
{
  job_step_t step = rig_step (1);
  job_step_t large = rig_step (1);
  advice_request_t request;
  g_autoptr (GArray) first = NULL;
  g_autoptr (GArray) late = NULL;

  large.need.cpu_milli = 8000;
  rig_worker ("w1", 8, false);
  rig_submit (1, &step, 1);
  request = ask_one ();
  allow (&request, g_intern_string ("w1"));
  first = rig_plan (false);
  ck_assert_uint_eq (rig_count_orders (first, ORDER_START), 1);
  rig_submit (2, &large, 1);
  request = ask_one ();
  allow (&request, g_intern_string ("w1"));
  rig_advance_clock (2500);
  sched_cancel_job (rig.sched, rig_id (1));
  rig_worker ("w1", 16, false);
  late = rig_plan (false);
  ck_assert_uint_eq (rig_count_orders (late, ORDER_START), 0);
  request = ask_one ();
  ck_assert_str_eq (request.id, rig_id (2));
  g_ptr_array_free (request.workers, TRUE);
}
END_TEST

/* The service takes one question at a time for each daemon, so a burst of jobs
   must not fill its queue of 32.  */
START_TEST (test_burst_asks_few_questions_at_a_time)
{
  job_step_t step = rig_step (1);
  GArray *requests;

  rig_worker ("w1", 8, false);
  for (uint32_t i = 0; i < 10; i++)
    rig_submit (i, &step, 1);
  g_array_unref (rig_plan (false));
  requests = advice_requests (rig.sched);
  ck_assert_uint_eq (requests->len, 2);
}
END_TEST

TEST_PROGRAM_WITH ("jobs/advice", set_up, rig_tear_down,
                   test_step_starts_only_where_it_is_allowed,
                   test_question_is_repeated_and_goes_on_to_other_workers,
                   test_ended_ticket_is_asked_for_again,
                   test_burst_asks_few_questions_at_a_time)

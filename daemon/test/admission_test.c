/* Guards against work beyond a team's limit, requests that stay queued though
   they could run, and requests that are granted and expire at once.  */

#include "fixture.h"
#include "loop.h"

static loop_t test_loop;

static req_t *
keyed_request (const char *team, int64_t deadline_us)
{
  req_t *req = fixture_request ("closed", 0);

  req->loop = &test_loop;
  req->team = runtime_team (team);
  req->service = runtime_service ("closed");
  req->share = 1;
  req->deadline_us = deadline_us;
  return req;
}

static void
release_permits (req_t *req)
{
  escrow_release (req->team->permits, req->permit);
  escrow_release (req->upstream->slots, req->slot);
}

START_TEST (queued_request_is_granted_when_a_slot_comes_free)
{
  view_t *view = fixture_view ();
  const view_service_t *service = view_find_service (view, "closed");
  req_t *running[2];
  req_t *waiting;

  for (uint32_t i = 0; i < 2; i++)
    {
      running[i] = keyed_request ("a", 1000000);
      ck_assert_int_eq (admission_enter (running[i], view, 0), ADMIT_RUN);
    }
  waiting = keyed_request ("a", 1000000);
  ck_assert_int_eq (admission_enter (waiting, view, 0), ADMIT_QUEUED);
  ck_assert_ptr_null (pipe_get (&test_loop.pipe));
  release_permits (running[0]);
  admission_dispatch (service, 1);
  ck_assert_ptr_eq (pipe_get (&test_loop.pipe), &waiting->msg.node);
  ck_assert_int_eq (waiting->stage, REQ_GRANTED);
  ck_assert (!admission_dequeue (waiting));
  release_permits (running[1]);
  release_permits (waiting);
}
END_TEST

/* Team b's limit of 1 is split over two daemons and therefore held by one of
   them: at most one request of b runs here, though slots are free.  */
START_TEST (team_limit_holds_when_slots_are_free)
{
  view_t *view = fixture_view ();
  uint32_t running = 0;
  req_t *reqs[3];

  for (uint32_t i = 0; i < 3; i++)
    {
      reqs[i] = keyed_request ("b", 1000000);
      if (admission_enter (reqs[i], view, 0) == ADMIT_RUN)
        running++;
    }
  ck_assert_uint_le (running, 1);
  ck_assert_uint_eq (running, escrow_share (runtime_team ("b")->permits));
  ck_assert_uint_eq (escrow_in_use (runtime_upstream ("u1")->slots), running);
  for (uint32_t i = 0; i < 3; i++)
    {
      if (reqs[i]->stage == REQ_QUEUED)
        ck_assert (admission_dequeue (reqs[i]));
      else if (reqs[i]->upstream)
        release_permits (reqs[i]);
    }
}
END_TEST

START_TEST (full_queue_and_late_requests_are_refused)
{
  view_t *view = fixture_view ();
  req_t *reqs[5];

  for (uint32_t i = 0; i < 5; i++)
    {
      reqs[i] = keyed_request ("a", 1000000);
      admission_enter (reqs[i], view, 0);
    }
  ck_assert_int_eq (reqs[3]->stage, REQ_QUEUED);
  ck_assert_int_eq (reqs[4]->error, ERR_QUEUE_FULL);
  reqs[4] = keyed_request ("a", 10);
  ck_assert_int_eq (admission_enter (reqs[4], view, 10), ADMIT_REFUSED);
  ck_assert_int_eq (reqs[4]->error, ERR_EXPIRED_QUEUED);
}
END_TEST

/* Guards against queued requests that are sent so late that they time out at
   their upstream and occupy a slot for the overrun.  */
START_TEST (queued_request_is_sent_with_time_to_run)
{
  req_t *req = keyed_request ("a", 1000000);
  int64_t bound_us;

  estimate_add (&req->service->run_time, 10000);
  bound_us = estimate_bound_us (&req->service->run_time);
  ck_assert_int_gt (bound_us, 0);
  ck_assert_int_le (admission_latest_send_us (req), 1000000 - 2 * bound_us);
  ck_assert_int_ge (admission_latest_send_us (req), 500000);
  /* A request with less time than the usual run time may still be tried.  */
  req->deadline_us = 2000;
  ck_assert_int_eq (admission_latest_send_us (req), 1000);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("admission");

  if (!pipe_open (&test_loop.pipe, 16))
    return EXIT_FAILURE;
  /* The order matters: the third test leaves slots in use.  */
  tcase_add_test (tests, queued_request_is_granted_when_a_slot_comes_free);
  tcase_add_test (tests, team_limit_holds_when_slots_are_free);
  tcase_add_test (tests, full_queue_and_late_requests_are_refused);
  tcase_add_test (tests, queued_request_is_sent_with_time_to_run);
  return fixture_run (tests);
}

/* Guards against more requests at an upstream than this daemon holds slots
   for, and against requests to upstreams that can't serve them.  */

#include "fixture.h"

#define FAR_US INT64_C (1000000000)

START_TEST (service_without_upstreams_is_refused)
{
  view_t *view = fixture_view ();
  req_t *req = fixture_request ("open", 0);

  ck_assert_int_eq (
      routing_acquire (req, view_find_service (view, "open"), 0, FAR_US),
      ERR_NO_UPSTREAM);
}
END_TEST

START_TEST (tried_upstream_is_not_selected_again)
{
  view_t *view = fixture_view ();
  const view_service_t *service = view_find_service (view, "closed");
  req_t *req = fixture_request ("closed", 0);

  req->tried[req->tries++] = runtime_upstream ("u1");
  req->tried[req->tries++] = runtime_upstream ("u2");
  ck_assert_int_eq (routing_acquire (req, service, 0, FAR_US),
                    ERR_NO_UPSTREAM);
}
END_TEST

/* u1 has two slots here; all slots of u2 belong to the daemon of its own data
   centre.  */
START_TEST (slots_are_never_exceeded)
{
  view_t *view = fixture_view ();
  const view_service_t *service = view_find_service (view, "closed");
  req_t *req;

  for (uint32_t i = 0; i < 2; i++)
    {
      req = fixture_request ("closed", 0);
      ck_assert_int_eq (routing_acquire (req, service, 0, FAR_US), ERR_NONE);
      ck_assert_str_eq (req->upstream->name, "u1");
      ck_assert_str_eq (req->base_url, "http://127.0.0.1:1");
    }
  req = fixture_request ("closed", 0);
  ck_assert_int_eq (routing_acquire (req, service, 0, FAR_US), ERR_QUEUE_FULL);
}
END_TEST

/* A daemon without a share may run a request on a borrowed slot only if the
   request ends before the loan; until then the request waits.  */
START_TEST (borrowed_slots_serve_an_upstream_without_a_share)
{
  view_t *view = fixture_view ();
  const view_service_t *service = view_find_service (view, "closed");
  escrow_t *slots = runtime_upstream ("u2")->slots;
  req_t *req = fixture_request ("closed", 0);

  req->tried[req->tries++] = runtime_upstream ("u1");
  ck_assert_uint_eq (escrow_share (slots), 0);
  ck_assert_int_eq (routing_acquire (req, service, 0, 5), ERR_QUEUE_FULL);
  ck_assert (escrow_borrow (slots, 1, 10));
  ck_assert_int_eq (routing_acquire (req, service, 0, 11), ERR_QUEUE_FULL);
  ck_assert_int_eq (routing_acquire (req, service, 0, 10), ERR_NONE);
  ck_assert_str_eq (req->upstream->name, "u2");
  escrow_release (slots, req->slot);
  escrow_expire (slots, 10);
  ck_assert_int_eq (routing_acquire (req, service, 10, 10), ERR_QUEUE_FULL);
}
END_TEST

/* The order matters: the last test leaves the slots in use.  */
TEST_PROGRAM ("routing", service_without_upstreams_is_refused,
              tried_upstream_is_not_selected_again,
              borrowed_slots_serve_an_upstream_without_a_share,
              slots_are_never_exceeded)

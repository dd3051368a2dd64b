/* Guards against work that is accepted without a valid key, or on a view that
   may have missed the withdrawal of a key.  */

#include "fixture.h"

static freshness_t
always_fresh (const view_t *view, int64_t now_us, int64_t grace_us)
{
  (void)view;
  (void)now_us;
  (void)grace_us;
  return FRESH;
}

static freshness_t
always_stale (const view_t *view, int64_t now_us, int64_t grace_us)
{
  (void)view;
  (void)now_us;
  (void)grace_us;
  return STALE;
}

typedef struct auth_case
{
  const char *service;
  const char *key;
  bool stale;
  bool non_idempotent;
  err_kind_t expected;
} auth_case_t;

static const auth_case_t cases[] = {
  { "closed", KEY, false, false, ERR_NONE },
  { "closed", KEY, false, true, ERR_NONE },
  { "closed", NULL, false, false, ERR_KEY_MISSING },
  { "closed", "other-key", false, false, ERR_KEY_REJECTED },
  { "closed", KEY, true, false, ERR_STALE_VIEW },
  { "open", NULL, false, false, ERR_NONE },
  { "open", NULL, true, false, ERR_NONE },
  { "open", NULL, true, true, ERR_STALE_VIEW },
  { "none", KEY, false, false, ERR_NO_SERVICE },
};

START_TEST (unauthorized_and_stale_requests_are_refused)
{
  const auth_case_t *c = &cases[_i];
  view_t *view = fixture_view ();
  req_t *req = fixture_request (c->service, 1000);

  req->key = g_strdup (c->key);
  req->idempotent = !c->non_idempotent;
  ck_assert_int_eq (
      authenticate (req, view, c->stale ? always_stale : always_fresh, 1000),
      c->expected);
}
END_TEST

START_TEST (deadline_is_bounded_by_the_service)
{
  view_t *view = fixture_view ();
  req_t *req = fixture_request ("open", 1000);

  req->deadline_ms = 3000000;
  ck_assert_int_eq (authenticate (req, view, always_fresh, 1000), ERR_NONE);
  ck_assert_int_eq (req->deadline_us, 1000 + INT64_C (30000) * 1000);
}
END_TEST

START_TEST (missing_view_means_no_service)
{
  req_t *req = fixture_request ("open", 0);

  ck_assert_int_eq (authenticate (req, NULL, always_fresh, 0), ERR_NO_SERVICE);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("authenticate");

  tcase_add_loop_test (tests, unauthorized_and_stale_requests_are_refused, 0,
                       G_N_ELEMENTS (cases));
  tcase_add_test (tests, deadline_is_bounded_by_the_service);
  tcase_add_test (tests, missing_view_means_no_service);
  return fixture_run (tests);
}

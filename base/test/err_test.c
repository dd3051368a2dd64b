/* Guards against an error kind with another kind's response, and against a
   "not-run" outcome where an upstream may have run the request.  */

#include "../../test/run_suite.h"
#include "base.h"
#include <string.h>

/* Kinds that occur after bytes were sent, or for an id whose first request may
   have run.  ERR_UPSTREAM_REFUSED is not included: the upstream reported that
   it did not run the request.  */
static const err_kind_t may_have_run[]
    = { ERR_ID_REPEATED,  ERR_UPSTREAM_FAILED,   ERR_UPSTREAM_TIMEOUT,
        ERR_UPSTREAM_CUT, ERR_ANSWER_MISMATCHED, ERR_ANSWER_TRUNCATED };

START_TEST (each_kind_has_its_own_response)
{
  for (err_kind_t kind = ERR_NONE; kind < ERR_KIND_COUNT; kind++)
    {
      const err_response_t *row = err_response (kind);

      ck_assert_int_eq (row->kind, kind);
      ck_assert_msg (row->name && row->name[0], "kind %d has no name", kind);
      ck_assert_msg (row->text && row->text[0], "%s has no text", row->name);
      if (kind == ERR_NONE)
        ck_assert_uint_eq (row->status, 200);
      else
        ck_assert_msg (row->status >= 400 && row->status <= 599,
                       "%s has status %u", row->name, row->status);
      for (err_kind_t other = ERR_NONE; other < kind; other++)
        ck_assert_str_ne (row->name, err_response (other)->name);
    }
}
END_TEST

START_TEST (not_run_only_if_request_cannot_have_run)
{
  for (err_kind_t kind = ERR_NONE + 1; kind < ERR_KIND_COUNT; kind++)
    {
      const err_response_t *row = err_response (kind);
      bool unknown = false;

      for (size_t i = 0; i < G_N_ELEMENTS (may_have_run); i++)
        unknown = unknown || may_have_run[i] == kind;
      ck_assert_msg (err_is_not_run (kind) == !unknown, "%s", row->name);
      ck_assert_str_eq (outcome_name (row->outcome),
                        unknown ? "unknown" : "not-run");
      /* Retry-After would invite a retry that could run the request twice.  */
      ck_assert_msg (!unknown || row->retry_after_s == 0, "%s", row->name);
    }
  ck_assert (!err_is_not_run (ERR_NONE));
}
END_TEST

START_TEST (invalid_kind_is_internal)
{
  ck_assert_int_eq (err_response (ERR_KIND_COUNT)->kind, ERR_INTERNAL);
  ck_assert_int_eq (err_response ((err_kind_t)-1)->kind, ERR_INTERNAL);
}
END_TEST

TEST_PROGRAM ("err", each_kind_has_its_own_response,
              not_run_only_if_request_cannot_have_run,
              invalid_kind_is_internal)

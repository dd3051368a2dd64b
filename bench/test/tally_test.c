/* Guards against a run that passes although a response was lost, wrong or
   counted twice.  */

#include "../../test/run_suite.h"
#include "load.h"

START_TEST (what_makes_a_run_bad)
{
  static const struct
  {
    tally_t tally;
    bool good;
  } cases[] = {
    { { .sent = 3, .answered = 2, .refused = 1 }, true },
    { { .sent = 3, .answered = 2, .lost = 1 }, false },
    { { .sent = 3, .answered = 2 }, false },
    { { .sent = 3, .answered = 4 }, false },
    { { .sent = 3, .answered = 3, .wrong = 1 }, false },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    ck_assert_msg (tally_is_good (&cases[i].tally) == cases[i].good,
                   "case %zu", i);
}
END_TEST

START_TEST (refusals_are_counted_by_name)
{
  static tally_t part;
  static tally_t sum;
  response_t response
      = { .status = 429, .error = "queue-full", .error_len = 10 };

  part.sent = 3;
  tally_response (&part, &response, false, 10, 20);
  response = (response_t){ .status = 500, .error = "queue", .error_len = 5 };
  tally_response (&part, &response, false, 10, 30);
  response = (response_t){ .status = 200 };
  tally_response (&part, &response, false, 10, 50);
  tally_merge (&sum, &part);
  ck_assert_uint_eq (sum.by_error[ERR_QUEUE_FULL], 1);
  ck_assert_uint_eq (sum.by_error[ERR_KIND_COUNT], 1);
  ck_assert_uint_eq (sum.by_status[429], 1);
  ck_assert_uint_eq (sum.refused, 2);
  ck_assert_uint_eq (sum.answered, 1);
  ck_assert_int_eq (latency_quantile (&sum.latency, 0), 40);
  ck_assert (tally_is_good (&sum));
}
END_TEST

int
main (void)
{
  const TTest *const tests[]
      = { what_makes_a_run_bad, refusals_are_counted_by_name, NULL };

  return run_suite ("tally", tests);
}

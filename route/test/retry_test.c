#include "../../test/run_suite.h"
#include "route.h"

#define NO_DEADLINE_US ((int64_t)1 << 60)

/* Guards against running a non-idempotent request twice, against retrying a
   request that was answered or cancelled, and against too many attempts.  */
static const struct
{
  try_result_t result;
  uint32_t tries;
  bool idempotent;
  bool retried;
} rows[] = {
  { TRY_ANSWERED, 1, true, false },
  { TRY_CANCELLED, 1, true, false },
  { TRY_FAILED, 1, true, true },
  { TRY_FAILED, 1, false, false },
  { TRY_TIMED_OUT, 1, true, true },
  { TRY_TIMED_OUT, 1, false, false },
  { TRY_CONNECTION_LOST, 1, true, true },
  { TRY_CONNECTION_LOST, 1, false, false },
  { TRY_BAD_ANSWER, 1, true, true },
  { TRY_BAD_ANSWER, 1, false, false },
  { TRY_REFUSED, 1, false, true },
  { TRY_CONNECT_FAILED, 1, false, true },
  { TRY_REFUSED, RETRY_MAX, true, true },
  { TRY_REFUSED, RETRY_MAX + 1, true, false },
};

START_TEST (only_safe_requests_are_retried)
{
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      retry_budget_t budget = { .tenths = RETRY_TENTHS_MAX };
      retry_context_t c = { rows[i].result, rows[i].idempotent, rows[i].tries,
                            NO_DEADLINE_US };
      int64_t delay_us;

      ck_assert_msg (retry_decide (&budget, &c, 1, 7, &delay_us)
                         == rows[i].retried,
                     "row %zu", i);
      ck_assert_int_eq (atomic_load (&budget.tenths),
                        RETRY_TENTHS_MAX - (rows[i].retried ? 10 : 0));
    }
}
END_TEST

/* Guards against retry storms: if every request fails, retries add at most a
   tenth to the load, and unused tokens add up only to the maximum.  */
START_TEST (retries_add_at_most_a_tenth)
{
  retry_budget_t budget = { 0 };
  retry_context_t c = { TRY_REFUSED, true, 1, NO_DEADLINE_US };
  uint32_t retries = 0;
  int64_t delay_us;

  for (uint32_t i = 0; i < 10000; i++)
    {
      retry_budget_deposit (&budget);
      while (retry_decide (&budget, &c, 1, 0, &delay_us))
        retries++;
    }
  ck_assert_uint_eq (retries, 1000);
  for (uint32_t i = 0; i < 10000; i++)
    retry_budget_deposit (&budget);
  for (retries = 0; retry_decide (&budget, &c, 1, 0, &delay_us);)
    retries++;
  ck_assert_uint_eq (retries, RETRY_TENTHS_MAX / 10);
}
END_TEST

/* Guards against synchronised delays, delays above the ceiling or past the
   deadline, and against taking a token without a retry.  */
START_TEST (delays_are_jittered_and_end_before_deadline)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (run_seed ("retry"));

  for (uint32_t tries = 1; tries <= RETRY_MAX; tries++)
    {
      int64_t ceiling_us = RETRY_BASE_US << (tries - 1);
      int64_t sum_us = 0;

      for (uint32_t i = 0; i < 10000; i++)
        {
          retry_budget_t budget = { .tenths = 10 };
          retry_context_t c = { TRY_REFUSED, true, tries, NO_DEADLINE_US };
          uint64_t random = g_rand_int (rand);
          int64_t delay_us;

          ck_assert (retry_decide (&budget, &c, 1, random, &delay_us));
          ck_assert_int_le (delay_us, ceiling_us);
          sum_us += delay_us;
          atomic_store (&budget.tenths, 10);
          c.deadline_us = 1 + delay_us;
          ck_assert (!retry_decide (&budget, &c, 1, random, &delay_us));
          ck_assert_int_eq (atomic_load (&budget.tenths), 10);
        }
      ck_assert_double_eq_tol ((double)sum_us / 10000, (double)ceiling_us / 2,
                               (double)ceiling_us * 0.02);
    }
}
END_TEST

TEST_PROGRAM ("retry", only_safe_requests_are_retried,
              retries_add_at_most_a_tenth,
              delays_are_jittered_and_end_before_deadline)

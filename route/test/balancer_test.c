#include "../../test/run_suite.h"
#include "route.h"

#define OK HEALTH_OK
#define NONE BALANCER_NONE

/* Each row guards against picking an upstream that must not be picked, or not
   yet; it holds for any random number.  */
static const struct
{
  const char *fault;
  candidate_t c[3]; /* slots, in use, local, tried, status */
  uint32_t picked;
} rows[] = {
  { "full",
    { { 8, 8, 1, 0, OK }, { 8, 9, 1, 0, OK }, { 0, 0, 1, 0, OK } },
    NONE },
  { "tried",
    { { 8, 0, 1, 1, OK }, { 8, 7, 1, 0, OK }, { 8, 0, 1, 1, OK } },
    1 },
  { "ejected or leaving",
    { { 8, 0, 1, 0, HEALTH_EJECTED },
      { 8, 0, 1, 0, HEALTH_LEAVING },
      { 8, 7, 0, 0, OK } },
    2 },
  { "remote picked before local",
    { { 8, 0, 0, 0, OK }, { 8, 0, 0, 0, OK }, { 8, 7, 1, 0, OK } },
    2 },
  { "probe not picked first",
    { { 8, 0, 1, 0, OK }, { 8, 0, 0, 0, HEALTH_PROBE }, { 8, 0, 1, 0, OK } },
    1 },
  { "probe beyond slots",
    { { 8, 8, 1, 0, HEALTH_PROBE }, { 8, 7, 1, 0, OK }, { 8, 8, 1, 0, OK } },
    1 },
  { "load compared by requests instead of by used slots",
    { { 8, 8, 1, 0, OK }, { 16, 6, 1, 0, OK }, { 8, 4, 1, 0, OK } },
    1 },
};

START_TEST (only_a_permitted_upstream_is_picked)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (run_seed ("balancer"));

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    for (uint32_t n = 0; n < 1000; n++)
      {
        uint64_t random
            = (uint64_t)g_rand_int (rand) << 32 | g_rand_int (rand);

        ck_assert_msg (balancer_pick (rows[i].c, 3, random) == rows[i].picked,
                       "%s", rows[i].fault);
      }
}
END_TEST

/* Guards against uneven load: with 40 requests on 10 upstreams of 8 slots, the
   choice between two random upstreams keeps each of them near 4.  */
START_TEST (load_stays_even)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (run_seed ("even"));
  candidate_t c[10];

  for (size_t i = 0; i < 10; i++)
    c[i] = (candidate_t){ .slots = 8, .local = true };
  for (uint32_t n = 0; n < 40; n++)
    {
      uint64_t random = (uint64_t)g_rand_int (rand) << 32 | g_rand_int (rand);

      c[balancer_pick (c, 10, random)].in_use++;
    }
  for (size_t i = 0; i < 10; i++)
    ck_assert_uint_le (c[i].in_use, 7);
  ck_assert_uint_eq (balancer_pick (c, 0, 1), BALANCER_NONE);
}
END_TEST

TEST_PROGRAM ("balancer", only_a_permitted_upstream_is_picked, load_stays_even)

/* run_suite - the main function of test programs

   TEST_PROGRAM (NAME, TEST...) - define main, which runs the tests.
   TEST_PROGRAM_WITH - the same, with SET_UP before and TEAR_DOWN after each.
   run_suite, run_suite_with - the same for programs that define main
   themselves; TESTS is NULL-terminated.
   run_case - run a test case that the program has assembled itself.
   run_seed - print and return the seed for random tests: CUMINPIN_SEED, or a
   constant, so that the results of a run are reproducible.  */

#ifndef CUMINPIN_RUN_SUITE_H
#define CUMINPIN_RUN_SUITE_H

#include <check.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#define DEFAULT_SEED 20261204

#define TEST_PROGRAM(name, ...)                                               \
  TEST_PROGRAM_WITH (name, NULL, NULL, __VA_ARGS__)

#define TEST_PROGRAM_WITH(name, set_up, tear_down, ...)                       \
  int main (void)                                                             \
  {                                                                           \
    const TTest *const tests[] = { __VA_ARGS__, NULL };                       \
                                                                              \
    return run_suite_with (name, tests, set_up, tear_down);                   \
  }

static inline int
run_case (const char *name, TCase *tcase)
{
  Suite *suite = suite_create (name);
  SRunner *runner = srunner_create (suite);
  int failed;

  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

static inline int
run_suite_with (const char *name, const TTest *const *tests,
                void (*set_up) (void), void (*tear_down) (void))
{
  TCase *tcase = tcase_create (name);

  tcase_add_checked_fixture (tcase, set_up, tear_down);
  for (; *tests; tests++)
    tcase_add_test (tcase, *tests);
  return run_case (name, tcase);
}

static inline int
run_suite (const char *name, const TTest *const *tests)
{
  return run_suite_with (name, tests, NULL, NULL);
}

static inline uint32_t
run_seed (const char *test)
{
  const char *given = g_getenv ("CUMINPIN_SEED");
  uint32_t seed = given ? (uint32_t)strtoul (given, NULL, 10) : DEFAULT_SEED;

  printf ("%s: CUMINPIN_SEED=%u\n", test, seed);
  fflush (stdout);
  return seed;
}

#endif

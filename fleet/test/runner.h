/* runner - the main function of a test program  */

#ifndef CUMINPIN_FLEET_RUNNER_H
#define CUMINPIN_FLEET_RUNNER_H

#include <check.h>
#include <stdlib.h>

static inline int
run_tests (const char *name, const TTest *const *tests, size_t count)
{
  Suite *suite = suite_create (name);
  TCase *tc = tcase_create (name);
  SRunner *runner = srunner_create (suite);
  int failed;

  for (size_t i = 0; i < count; i++)
    tcase_add_test (tc, tests[i]);
  suite_add_tcase (suite, tc);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

#endif

/* Guards against readers that disagree on bytes in the log that are no valid
   record.  */

#include "wire.h"
#include <check.h>
#include <stdlib.h>
#include <string.h>

static const struct
{
  rec_kind_t kind;
  bool required;
  const char *name; /* NULL: bytes that are no record */
  verdict_t verdict;
  uint64_t offset; /* after folding at offset 7 */
  uint64_t seen;
  bool error;
} cases[] = {
  { REC_JOIN, true, "entry", VERDICT_APPLIED, 8, 1, false },
  { REC_JOIN, true, "", VERDICT_INVALID, 8, 0, true },
  { REC_JOIN, true, NULL, VERDICT_INVALID, 8, 0, true },
  { REC_UNKNOWN, false, "", VERDICT_UNKNOWN, 8, 1, false },
  { REC_UNKNOWN, true, "", VERDICT_BEHIND, 0, 0, false },
};

START_TEST (each_case_has_one_verdict)
{
  state_t *state = state_new ();
  g_autoptr (GError) error = NULL;
  g_autoptr (GBytes) bytes = NULL;
  rec_t rec;
  gsize len;
  const void *data;

  memset (&rec, 0, sizeof rec);
  rec.kind = cases[_i].kind;
  rec.required = cases[_i].required;
  rec.u.entry.incarnation = 1;
  if (cases[_i].name)
    g_strlcpy (rec.u.entry.name, cases[_i].name, REC_NAME_BYTES);
  bytes = wire_put_rec (&rec);
  data = g_bytes_get_data (bytes, &len);
  ck_assert_int_eq (
      wire_fold (state, data, cases[_i].name ? len : len - 1, 7, NULL, &error),
      cases[_i].verdict);
  ck_assert_uint_eq (state->offset, cases[_i].offset);
  ck_assert_uint_eq (state->seen_count, cases[_i].seen);
  ck_assert (cases[_i].error == (error != NULL));
  state_free (state);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("wirefold");
  TCase *tests = tcase_create ("wirefold");
  SRunner *runner;
  int failed;

  tcase_add_loop_test (tests, each_case_has_one_verdict, 0,
                       G_N_ELEMENTS (cases));
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

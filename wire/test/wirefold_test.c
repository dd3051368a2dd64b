/* Guards against readers of the log that disagree on how to treat an invalid
   or unknown record.  */

#include "../../test/run_suite.h"
#include "wire.h"
#include <string.h>

static const struct
{
  rec_kind_t kind;
  bool required;
  const char *name; /* NULL: truncated bytes */
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

static void
check_case (size_t i)
{
  state_t *state = state_new ();
  g_autoptr (GError) error = NULL;
  g_autoptr (GBytes) bytes = NULL;
  rec_t rec;
  gsize len;
  const void *data;

  memset (&rec, 0, sizeof rec);
  rec.kind = cases[i].kind;
  rec.required = cases[i].required;
  rec.u.entry.incarnation = 1;
  if (cases[i].name)
    g_strlcpy (rec.u.entry.name, cases[i].name, REC_NAME_BYTES);
  bytes = wire_encode_rec (&rec);
  data = g_bytes_get_data (bytes, &len);
  ck_assert_int_eq (
      wire_fold (state, data, cases[i].name ? len : len - 1, 7, NULL, &error),
      cases[i].verdict);
  ck_assert_uint_eq (state->offset, cases[i].offset);
  ck_assert_uint_eq (state->seen_count, cases[i].seen);
  ck_assert (cases[i].error == (error != NULL));
  state_free (state);
}

START_TEST (each_case_has_one_verdict)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    check_case (i);
}
END_TEST

TEST_PROGRAM ("wirefold", each_case_has_one_verdict)

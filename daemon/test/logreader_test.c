#include "../../test/run_suite.h"
#include "control.h"

static const struct
{
  const char *description;
  tail_t tail;
  uint32_t rank;
  bool due;
} rows[] = {
  { "nothing new, however old", { 0, 0, 0 }, 0, false },
  { "few small records", { 511, 4096, SNAPSHOT_AGE_US }, 0, false },
  { "many records", { 512, 4096, SNAPSHOT_AGE_US }, 0, true },
  { "a long tail of few records",
    { 20, SNAPSHOT_BYTES, SNAPSHOT_AGE_US },
    0,
    true },
  { "an old record that the log may drop", { 1, 40, 1 }, 0, true },
  { "all daemons write at once", { 512, 4096, SNAPSHOT_AGE_US }, 1, false },
  { "the first daemon has not written a due snapshot",
    { 640, 4096, SNAPSHOT_AGE_US },
    1,
    true },
};

/* Guards against a start that has to read a long tail, and against all daemons
   writing snapshots at once.  */
START_TEST (snapshots_bound_the_log_tail)
{
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    ck_assert_msg (
        snapshot_is_due (&rows[i].tail, rows[i].rank, SNAPSHOT_AGE_US + 1)
            == rows[i].due,
        "%s", rows[i].description);
}
END_TEST

TEST_PROGRAM ("logreader", snapshots_bound_the_log_tail)

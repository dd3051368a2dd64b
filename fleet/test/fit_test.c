/* Guards against an index that misses a worker with room, or finds one
   without.  */

#include "../../test/run_suite.h"
#include "fit.h"
#include "fixture.h"

#define WORKERS 50

START_TEST (finds_the_same_as_a_scan)
{
  uint64_t seed = 11;
  amounts_t have[WORKERS];
  fit_t fit = { 0 };

  fit_reset (&fit, WORKERS);
  for (uint32_t i = 0; i < WORKERS; i++)
    have[i] = (amounts_t){ -1, -1, -1 };
  for (uint32_t round = 0; round < 5000; round++)
    {
      uint32_t at = fixture_below (&seed, WORKERS);
      uint32_t skip = fixture_below (&seed, WORKERS);
      uint32_t expected = FIT_NONE;
      amounts_t need = { fixture_below (&seed, 12), fixture_below (&seed, 12),
                         fixture_below (&seed, 2) };

      have[at]
          = (amounts_t){ fixture_below (&seed, 10), fixture_below (&seed, 10),
                         fixture_below (&seed, 2) };
      fit_set (&fit, at, &have[at]);
      for (uint32_t i = 0; i < WORKERS && expected == FIT_NONE; i++)
        if (i != skip && amounts_cover (&have[i], &need))
          expected = i;
      ck_assert_uint_eq (fit_find (&fit, &need, &skip, 1), expected);
    }
  fit_clear (&fit);
}
END_TEST

TEST_PROGRAM ("fit", finds_the_same_as_a_scan)

/* Guards against an index that misses a worker with enough free resources, or
   returns one without.  */

#include "../../test/run_suite.h"
#include "capacity_index.h"
#include "fixture.h"

#define WORKERS 50

START_TEST (agrees_with_a_linear_scan)
{
  uint64_t seed = 11;
  amounts_t have[WORKERS];
  capacity_index_t tree = { 0 };

  capacity_index_reset (&tree, WORKERS);
  for (uint32_t i = 0; i < WORKERS; i++)
    have[i] = (amounts_t){ -1, -1, -1 };
  for (uint32_t round = 0; round < 5000; round++)
    {
      uint32_t index = fixture_random_below (&seed, WORKERS);
      uint32_t skip = fixture_random_below (&seed, WORKERS);
      uint32_t expected = CAPACITY_INDEX_NONE;
      amounts_t need = { fixture_random_below (&seed, 12),
                         fixture_random_below (&seed, 12),
                         fixture_random_below (&seed, 2) };

      have[index] = (amounts_t){ fixture_random_below (&seed, 10),
                                 fixture_random_below (&seed, 10),
                                 fixture_random_below (&seed, 2) };
      capacity_index_set (&tree, index, &have[index]);
      for (uint32_t i = 0; i < WORKERS && expected == CAPACITY_INDEX_NONE; i++)
        if (i != skip && amounts_cover (&have[i], &need))
          expected = i;
      ck_assert_uint_eq (capacity_index_find (&tree, &need, &skip, 1),
                         expected);
    }
  capacity_index_clear (&tree);
}
END_TEST

TEST_PROGRAM ("capacity_index", agrees_with_a_linear_scan)

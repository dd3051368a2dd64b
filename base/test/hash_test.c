/* Guards against an uneven distribution of keys over owners, and against keys
   that move between two remaining owners when another one is removed.  */

#include "../../test/run_suite.h"
#include "base.h"
#include <string.h>

#define KEYS 20000
#define OWNERS 9

/* The owner of KEY among all owners except EXCLUDED.  */
static uint32_t
owner_of (uint32_t key, uint32_t excluded)
{
  uint32_t best = OWNERS;
  uint64_t best_score = 0;

  for (uint32_t i = 0; i < OWNERS; i++)
    {
      char name[8];
      uint64_t score;

      g_snprintf (name, sizeof name, "e%u", i);
      score = hash_score (&key, sizeof key, name);
      if (i == excluded || (best < OWNERS && score <= best_score))
        continue;
      best = i;
      best_score = score;
    }
  return best;
}

START_TEST (removing_an_owner_moves_only_its_keys)
{
  for (uint32_t without = 0; without < OWNERS; without++)
    for (uint32_t key = 0; key < KEYS; key++)
      {
        uint32_t before = owner_of (key, OWNERS);
        uint32_t after = owner_of (key, without);

        ck_assert_uint_ne (after, without);
        if (before != without)
          ck_assert_uint_eq (after, before);
      }
}
END_TEST

/* The number of keys of one owner is binomially distributed with p = 1/n.  A
   deviation above five standard deviations for any of the nine owners has a
   probability below 1/100,000; the keys are fixed, so the test is
   deterministic.  The keys of a removed owner are distributed over the other
   eight in the same way.  */
static void
assert_even (const uint32_t *owned, int64_t owners, int64_t keys,
             uint32_t excluded)
{
  /* The deviation, owned - keys / n, is scaled by n and the variance,
     keys * (n - 1) / n^2, by n^2 to avoid fractions.  */
  int64_t variance = keys * (owners - 1);

  for (uint32_t i = 0; i < OWNERS; i++)
    {
      int64_t deviation = owned[i] * owners - keys;

      ck_assert_msg (i == excluded || deviation * deviation <= 25 * variance,
                     "owner %u has %u of %" PRId64 " keys", i, owned[i], keys);
    }
}

START_TEST (keys_are_distributed_evenly)
{
  uint32_t owned[OWNERS] = { 0 };
  uint32_t reassigned[OWNERS] = { 0 };

  for (uint32_t key = 0; key < KEYS; key++)
    {
      uint32_t owner = owner_of (key, OWNERS);

      owned[owner]++;
      if (owner == 0)
        reassigned[owner_of (key, 0)]++;
    }
  assert_even (owned, OWNERS, KEYS, OWNERS);
  assert_even (reassigned, OWNERS - 1, owned[0], 0);
}
END_TEST

/* Guards against a changed hash function: all versions of the program must
   compute the same owners.  The values are the published ones for XXH64.  */
START_TEST (hash_matches_published_values)
{
  ck_assert_uint_eq (hash_bytes ("", 0, 0), UINT64_C (0xef46db3751d8e999));
  ck_assert_uint_eq (hash_bytes ("a", 1, 0), UINT64_C (0xd24ec4f1a98c6e5b));
  ck_assert_uint_eq (hash_bytes ("abc", 3, 0), UINT64_C (0x44bc2cf5ad770999));
}
END_TEST

TEST_PROGRAM ("hash", removing_an_owner_moves_only_its_keys,
              keys_are_distributed_evenly, hash_matches_published_values)

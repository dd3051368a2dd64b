/* Guards against an owner that gets too many or too few keys, and against keys
   that move between owners which are both still there.  */

#include "../../test/run_suite.h"
#include "base.h"
#include <string.h>

#define KEYS 20000
#define OWNERS 9

/* The owner of KEY among all but the owner WITHOUT.  */
static uint32_t
owner_of (uint32_t key, uint32_t without)
{
  uint32_t best = OWNERS;
  uint64_t best_score = 0;

  for (uint32_t i = 0; i < OWNERS; i++)
    {
      char name[8];
      uint64_t score;

      g_snprintf (name, sizeof name, "e%u", i);
      score = hash_score (&key, sizeof key, name);
      if (i == without || (best < OWNERS && score <= best_score))
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

/* The keys of one owner are binomial with p = 1/n.  Five standard deviations
   are passed by chance in fewer than one of 100,000 draws for all nine owners;
   the keys are fixed, so a pass stays a pass.  The keys that a lost owner
   leaves spread over the eight others in the same way.  */
static void
assert_spread (const uint32_t *owned, int64_t owners, int64_t keys,
               uint32_t without)
{
  /* owned - keys / n, and keys * (n - 1) / n^2, both times n.  */
  int64_t variance = keys * (owners - 1);

  for (uint32_t i = 0; i < OWNERS; i++)
    {
      int64_t off = owned[i] * owners - keys;

      ck_assert_msg (i == without || off * off <= 25 * variance,
                     "owner %u has %u of %" PRId64 " keys", i, owned[i], keys);
    }
}

START_TEST (owners_share_keys_evenly)
{
  uint32_t owned[OWNERS] = { 0 };
  uint32_t inherited[OWNERS] = { 0 };

  for (uint32_t key = 0; key < KEYS; key++)
    {
      uint32_t owner = owner_of (key, OWNERS);

      owned[owner]++;
      if (owner == 0)
        inherited[owner_of (key, 0)]++;
    }
  assert_spread (owned, OWNERS, KEYS, OWNERS);
  assert_spread (inherited, OWNERS - 1, owned[0], 0);
}
END_TEST

/* All versions of the program must agree on owners: the values are those that
   xxHash's authors publish for XXH64.  */
START_TEST (hash_is_the_published_one)
{
  ck_assert_uint_eq (hash_bytes ("", 0, 0), UINT64_C (0xef46db3751d8e999));
  ck_assert_uint_eq (hash_bytes ("a", 1, 0), UINT64_C (0xd24ec4f1a98c6e5b));
  ck_assert_uint_eq (hash_bytes ("abc", 3, 0), UINT64_C (0x44bc2cf5ad770999));
}
END_TEST

TEST_PROGRAM ("hash", removing_an_owner_moves_only_its_keys,
              owners_share_keys_evenly, hash_is_the_published_one)

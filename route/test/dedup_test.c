#include "../../test/run_suite.h"
#include "route.h"
#include <string.h>

#define START_MS ((int64_t)1700000000000)

static dedup_id_t
make_id (int64_t time_ms, uint32_t random)
{
  dedup_id_t id = { .bytes = { [6] = 0x70, [8] = 0x80 } };

  for (size_t i = 0; i < 6; i++)
    id.bytes[i] = (uint8_t)(time_ms >> (40 - 8 * i));
  memcpy (&id.bytes[12], &random, sizeof random);
  return id;
}

/* Guards against accepting ids that contain no time of issue.  */
START_TEST (only_uuids_of_version_7_parse)
{
  static const struct
  {
    const char *text;
    bool valid;
  } rows[] = {
    { "018bcfe5-6800-7abc-8def-0123456789ab", true },
    { "018BCFE5-6800-7ABC-BDEF-0123456789AB", true },
    { "018bcfe5-6800-4abc-8def-0123456789ab", false },
    { "018bcfe5-6800-7abc-cdef-0123456789ab", false },
    { "018bcfe5-6800-7abc-8def-0123456789a", false },
    { "018bcfe5-6800-7abc-8def-0123456789abc", false },
    { "018bcfe5-6800-7abc-8def-0123456789ag", false },
    { "018bcfe568007abc8def0123456789ab", false },
    { "018bcfe5-6800-7abc-8def", false },
    { "", false },
  };
  dedup_id_t id;

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    ck_assert_msg (dedup_parse (rows[i].text, &id) == rows[i].valid, "%s",
                   rows[i].text);
  dedup_parse (rows[0].text, &id);
  ck_assert_int_eq (dedup_time_ms (&id), START_MS);
}
END_TEST

/* Guards against daemons that disagree on an owner because they list the entry
   hosts in different orders, and against uneven ownership.  */
START_TEST (owner_is_independent_of_order)
{
  const char *const hosts[] = { "e1", "e2", "e3" };
  const char *const reordered[] = { "e3", "e1", "e2" };
  uint32_t owned[3] = { 0 };

  for (uint32_t i = 0; i < 3000; i++)
    {
      dedup_id_t id = make_id (START_MS + i, i);
      uint32_t owner = dedup_owner (&id, hosts, 3);

      owned[owner]++;
      ck_assert_str_eq (hosts[owner],
                        reordered[dedup_owner (&id, reordered, 3)]);
    }
  for (size_t i = 0; i < 3; i++)
    ck_assert_uint_ge (owned[i], 900);
}
END_TEST

/* Guards against accepting ids outside the window, whose claims may have been
   dropped, and against memory use that grows with uptime.  */
START_TEST (window_bounds_ids_and_memory)
{
  dedup_table_t *table = dedup_new (START_MS - 10 * DEDUP_WINDOW_MS);
  int64_t now_ms = START_MS;
  dedup_id_t old = make_id (now_ms - DEDUP_WINDOW_MS - 1, 1);
  dedup_id_t oldest = make_id (now_ms - DEDUP_WINDOW_MS, 1);
  dedup_id_t newest = make_id (now_ms + CLOCK_ERROR_MS, 1);
  dedup_id_t early = make_id (now_ms + CLOCK_ERROR_MS + 1, 1);

  ck_assert_int_eq (dedup_claim (table, &old, now_ms), ERR_ID_INVALID);
  ck_assert_int_eq (dedup_claim (table, &early, now_ms), ERR_ID_INVALID);
  ck_assert_int_eq (dedup_claim (table, &oldest, now_ms), ERR_NONE);
  ck_assert_int_eq (dedup_claim (table, &newest, now_ms), ERR_NONE);
  ck_assert_int_eq (dedup_claim (table, &oldest, now_ms), ERR_ID_REPEATED);
  for (uint32_t i = 0; i < 200000; i++) /* 100 a second */
    {
      dedup_id_t id = make_id (now_ms += 10, i);

      ck_assert_int_eq (dedup_claim (table, &id, now_ms), ERR_NONE);
      ck_assert_uint_le (dedup_count (table), DEDUP_WINDOW_MS / 10 + 102);
    }
  /* Dropped ids are refused even after the clock is set back.  */
  ck_assert_int_eq (dedup_claim (table, &newest, START_MS), ERR_ID_INVALID);
  dedup_free (table);
}
END_TEST

/* Guards against granting an id twice, by one daemon or by a daemon and its
   predecessor on another host with a different clock, in any order of claims,
   restarts and clock steps.  */
START_TEST (no_id_is_granted_twice)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (run_seed ("dedup"));

  for (uint32_t round = 0; round < 2000; round++)
    {
      g_autoptr (GHashTable) granted
          = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
      dedup_table_t *table = dedup_new (START_MS);
      int64_t real_ms = START_MS;
      int64_t skew_ms = 0;

      for (uint32_t step = 0; step < 200; step++)
        {
          int64_t time_ms = real_ms + g_rand_int_range (rand, -1500, 1100);
          dedup_id_t id;

          time_ms -= time_ms % 50; /* makes ids repeat */
          id = make_id (time_ms, 0);
          real_ms += g_rand_int_range (rand, 0, 100);
          if (g_rand_int_range (rand, 0, 500) == 0)
            real_ms += DEDUP_WINDOW_MS;
          if (g_rand_int_range (rand, 0, 20) == 0)
            {
              dedup_free (table);
              skew_ms = g_rand_int_range (rand, -CLOCK_ERROR_MS / 2,
                                          CLOCK_ERROR_MS / 2 + 1);
              table = dedup_new (real_ms + skew_ms);
            }
          if (dedup_claim (table, &id, real_ms + skew_ms) == ERR_NONE)
            ck_assert (g_hash_table_add (
                granted, g_memdup2 (&time_ms, sizeof time_ms)));
        }
      dedup_free (table);
    }
}
END_TEST

/* Guards against granting, after a change of the list of entry hosts, an id
   that its former owner may have granted.  */
START_TEST (start_moves_forward_only)
{
  dedup_table_t *table = dedup_new (START_MS);
  dedup_id_t id = make_id (START_MS + 5000, 1);

  dedup_set_start (table, START_MS + 6000);
  dedup_set_start (table, START_MS);
  ck_assert_int_eq (dedup_claim (table, &id, START_MS + 5000),
                    ERR_ID_REPEATED);
  id = make_id (START_MS + 7000, 1);
  ck_assert_int_eq (dedup_claim (table, &id, START_MS + 7000), ERR_NONE);
  dedup_free (table);
}
END_TEST

TEST_PROGRAM ("dedup", only_uuids_of_version_7_parse,
              owner_is_independent_of_order, window_bounds_ids_and_memory,
              no_id_is_granted_twice, start_moves_forward_only)

#include "../../test/run_suite.h"
#include "snapset.h"
#include <string.h>

static GArray *items;

static void
set_up (void)
{
  items = g_array_new (FALSE, TRUE, sizeof (platform_item_t));
  g_array_set_clear_func (items, platform_item_clear);
}

static void
tear_down (void)
{
  g_array_unref (items);
}

/* Stores RECORD as the newest of its key.  */
static void
store_record (GBytes *record)
{
  gsize len;
  const uint8_t *data = g_bytes_get_data (record, &len);
  platform_item_t item
      = { .key = g_strndup ((const char *)data + 1, data[0]),
          .value = g_memdup2 (data + 1 + data[0], len - 1 - data[0]),
          .len = len - 1 - data[0] };

  for (uint32_t i = 0; i < items->len; i++)
    if (strcmp (g_array_index (items, platform_item_t, i).key, item.key) == 0)
      {
        g_array_remove_index (items, i);
        break;
      }
  g_array_append_val (items, item);
}

/* Stores the first COUNT parts of a snapshot of BYTES bytes of value FILL.  */
static uint32_t
store_parts (uint64_t next, uint32_t set, size_t bytes, uint8_t fill,
             uint32_t count)
{
  g_autoptr (GPtrArray) records
      = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  uint8_t *data = g_malloc (bytes + 1);
  g_autoptr (GBytes) snapshot = NULL;

  memset (data, fill, bytes);
  snapshot = g_bytes_new_take (data, bytes);
  snapset_split (snapshot, next, set, records);
  for (uint32_t i = 0; i < MIN (count, records->len); i++)
    store_record (g_ptr_array_index (records, i));
  return records->len;
}

static void
expect_snapshot (uint64_t next, uint32_t set, size_t bytes, uint8_t fill)
{
  uint64_t found_next = 0;
  uint32_t found_set = SNAPSET_SETS;
  g_autoptr (GByteArray) snapshot
      = snapset_join (items, &found_next, &found_set);
  g_autofree uint8_t *expected = NULL;

  ck_assert_ptr_nonnull (snapshot);
  ck_assert_uint_eq (found_next, next);
  ck_assert_uint_eq (found_set, set);
  ck_assert_uint_eq (snapshot->len, bytes);
  expected = g_malloc (bytes + 1);
  memset (expected, fill, bytes);
  if (bytes > 0)
    ck_assert_mem_eq (snapshot->data, expected, bytes);
}

static void
expect_none (void)
{
  uint64_t next = 0;
  uint32_t set = 0;

  ck_assert_ptr_null (snapset_join (items, &next, &set));
}

/* Guards against tables that are too large for one append: they were not
   written at all, so a daemon that started later lacked them.  */
START_TEST (test_large_snapshots_are_joined)
{
  static const size_t sizes[]
      = { 0, 1, SNAPSET_PART_BYTES, 5 * 1024 * 1024 + 7 };

  for (uint32_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      store_parts (10 + i, 0, sizes[i], 'x', UINT32_MAX);
      expect_snapshot (10 + i, 0, sizes[i], 'x');
    }
}
END_TEST

/* Guards against a reader that finds no snapshot while one is written.  */
START_TEST (test_unfinished_snapshot_leaves_the_one_before)
{
  uint32_t parts
      = store_parts (100, 0, 3 * SNAPSET_PART_BYTES, 'a', UINT32_MAX);

  for (uint32_t count = 0; count < parts; count++)
    {
      store_parts (200, snapset_other (0), 3 * SNAPSET_PART_BYTES, 'b', count);
      expect_snapshot (100, 0, 3 * SNAPSET_PART_BYTES, 'a');
    }
  store_parts (200, snapset_other (0), 3 * SNAPSET_PART_BYTES, 'b', parts);
  expect_snapshot (200, 1, 3 * SNAPSET_PART_BYTES, 'b');
}
END_TEST

/* Guards against parts of two snapshots that are joined to one.  */
START_TEST (test_parts_of_two_snapshots_are_not_joined)
{
  store_parts (100, 0, 3 * SNAPSET_PART_BYTES, 'a', UINT32_MAX);
  store_parts (200, 0, 3 * SNAPSET_PART_BYTES, 'b', 2);
  expect_none ();
}
END_TEST

/* Guards against parts of a longer snapshot that is left over.  */
START_TEST (test_left_over_parts_are_ignored)
{
  store_parts (100, 0, 5 * SNAPSET_PART_BYTES, 'a', UINT32_MAX);
  store_parts (200, 0, 10, 'b', UINT32_MAX);
  expect_snapshot (200, 0, 10, 'b');
}
END_TEST

/* Guards against a middle part that is missing unnoticed.  */
START_TEST (test_missing_part_is_noticed)
{
  store_parts (100, 0, 4 * SNAPSET_PART_BYTES, 'a', UINT32_MAX);
  g_array_remove_index (items, 2);
  expect_none ();
}
END_TEST

/* Guards against entries of another writer.  */
START_TEST (test_odd_entries_are_ignored)
{
  static const uint8_t bytes[]
      = { 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff,
          0,    0,    0,    0,    0xff, 0xff, 0xff, 0xff };
  platform_item_t odd[]
      = { { .key = g_strdup ("a0000"), .value = NULL, .len = 0 },
          { .key = g_strdup ("b0000"),
            .value = g_memdup2 (bytes, sizeof bytes),
            .len = sizeof bytes },
          { .key = g_strdup (""), .value = g_memdup2 (bytes, 3), .len = 3 } };

  g_array_append_vals (items, odd, G_N_ELEMENTS (odd));
  expect_none ();
}
END_TEST

TEST_PROGRAM_WITH ("entry/snapset", set_up, tear_down,
                   test_large_snapshots_are_joined,
                   test_unfinished_snapshot_leaves_the_one_before,
                   test_parts_of_two_snapshots_are_not_joined,
                   test_left_over_parts_are_ignored,
                   test_missing_part_is_noticed, test_odd_entries_are_ignored)

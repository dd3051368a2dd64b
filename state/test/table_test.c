/* Guards against entries that are lost, duplicated or out of order, and
   against a copy in a published view that changes with its original.  */

#include "../../test/run_suite.h"
#include "state.h"
#include <string.h>

#define NAMES 60
#define STEPS 1000

typedef struct item
{
  const char *name;
  uint64_t value;
} item_t;

/* Checks that TABLE has exactly the names with a nonzero value in VALUES, in
   order.  */
static void
assert_table_equals (const table_t *table, const uint64_t values[NAMES])
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < NAMES; i++)
    {
      char name[8];
      const item_t *item;

      g_snprintf (name, sizeof name, "n%u", i);
      item = table_find (table, name);
      ck_assert_msg ((item != NULL) == (values[i] != 0), "%s", name);
      if (!item)
        continue;
      count++;
      ck_assert_str_eq (item->name, name);
      ck_assert_uint_eq (item->value, values[i]);
    }
  ck_assert_uint_eq (table->count, count);
  for (uint32_t i = 1; i < table->count; i++)
    ck_assert_str_lt (((item_t *)table_at (table, i - 1))->name,
                      ((item_t *)table_at (table, i))->name);
}

START_TEST (random_changes_match_a_model)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (run_seed ("table"));
  uint64_t values[NAMES] = { 0 };
  uint64_t copied[NAMES];
  table_t table;
  table_t copy;

  table_init (&table, sizeof (item_t));
  table_copy (&copy, &table);
  memcpy (copied, values, sizeof values);
  for (uint64_t step = 1; step <= STEPS; step++)
    {
      uint32_t i = (uint32_t)g_rand_int_range (rand, 0, NAMES);
      char name[8];
      item_t *item;

      g_snprintf (name, sizeof name, "n%u", i);
      if (g_rand_boolean (rand))
        {
          item = table_add (&table, name);
          ck_assert_uint_eq (item->value, values[i]);
          item->value = values[i] = step;
        }
      else
        {
          table_remove (&table, name);
          values[i] = 0;
        }
      assert_table_equals (&table, values);
      if (step % 100 != 0)
        continue;
      assert_table_equals (&copy, copied);
      table_clear (&copy);
      table_copy (&copy, &table);
      memcpy (copied, values, sizeof values);
    }
  table_clear (&copy);
  table_clear (&table);
  ck_assert_ptr_null (table_find (&table, "n1"));
}
END_TEST

TEST_PROGRAM ("table", random_changes_match_a_model)

/* assert_state - compares the states of two readers  */

#ifndef CUMINPIN_STATE_ASSERT_STATE_H
#define CUMINPIN_STATE_ASSERT_STATE_H

#include "state.h"
#include <check.h>

static inline void
assert_same_table (const table_t *a, const table_t *b)
{
  ck_assert_uint_eq (a->count, b->count);
  if (a->count > 0)
    ck_assert_mem_eq (a->entries, b->entries,
                      (size_t)a->count * a->entry_bytes);
}

/* Names are interned, so equal entries have equal bytes.  */
static inline void
assert_same_tables (const state_t *a, const state_t *b)
{
  assert_same_table (&a->keys, &b->keys);
  assert_same_table (&a->entries, &b->entries);
  assert_same_table (&a->hosts, &b->hosts);
  assert_same_table (&a->waves, &b->waves);
  ck_assert_uint_eq (a->seen_count, b->seen_count);
}

#endif

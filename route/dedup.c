#include "route.h"
#include <string.h>

/* Claims are stored in buckets by the second in which their id was issued; a
   bucket is freed as soon as its whole second has left the window.  */
#define BUCKET_MS 1000
#define SET_CAPACITY_MIN 8

/* Buckets for the window, for the time that an id may be ahead of this clock,
   and for the partly covered seconds at both ends.  */
#define BUCKETS ((DEDUP_WINDOW_MS + CLOCK_ERROR_MS) / BUCKET_MS + 3)

/* A predecessor's clock may have been ahead of this one, and it granted ids
   issued ahead of its own clock.  */
#define START_MARGIN_MS (2 * CLOCK_ERROR_MS)

/* Set of ids with open addressing, at most half full.  A zero id marks a free
   slot; its time of issue is never inside the window.  */
typedef struct id_set
{
  dedup_id_t *ids;
  uint32_t count;
  uint32_t capacity;
} id_set_t;

struct dedup_table
{
  int64_t start_ms;
  int64_t floor_ms;      /* ids issued earlier are dropped or refused */
  int64_t oldest_bucket; /* number, not index, of the first bucket kept */
  uint32_t count;
  id_set_t buckets[BUCKETS];
};

static const dedup_id_t zero_id;

static bool
ids_equal (const dedup_id_t *a, const dedup_id_t *b)
{
  return memcmp (a, b, sizeof *a) == 0;
}

/* Returns the slot of ID, or the free slot where it belongs.  */
static dedup_id_t *
set_find (const id_set_t *set, const dedup_id_t *id)
{
  uint32_t mask = set->capacity - 1;
  uint32_t index = (uint32_t)hash_bytes (id, sizeof *id, 0) & mask;

  while (!ids_equal (&set->ids[index], id)
         && !ids_equal (&set->ids[index], &zero_id))
    index = (index + 1) & mask;
  return &set->ids[index];
}

static void
set_grow (id_set_t *set)
{
  id_set_t grown = { .count = set->count };

  grown.capacity = MAX (SET_CAPACITY_MIN, 2 * set->capacity);
  grown.ids = g_new0 (dedup_id_t, grown.capacity);
  for (uint32_t i = 0; i < set->capacity; i++)
    if (!ids_equal (&set->ids[i], &zero_id))
      *set_find (&grown, &set->ids[i]) = set->ids[i];
  g_free (set->ids);
  *set = grown;
}

/* Adds ID to SET; returns false if SET already contains it.  */
static bool
set_add (id_set_t *set, const dedup_id_t *id)
{
  dedup_id_t *slot;

  if (2 * set->count >= set->capacity)
    set_grow (set);
  slot = set_find (set, id);
  if (ids_equal (slot, id))
    return false;
  *slot = *id;
  set->count++;
  return true;
}

static void
set_clear (id_set_t *set)
{
  g_free (set->ids);
  memset (set, 0, sizeof *set);
}

static bool
parse_hex (const char *text, uint8_t *byte)
{
  int high = g_ascii_xdigit_value (text[0]);
  int low = high < 0 ? -1 : g_ascii_xdigit_value (text[1]);

  if (low < 0)
    return false;
  *byte = (uint8_t)(high * 16 + low);
  return true;
}

bool
dedup_parse (const char *text, dedup_id_t *id)
{
  for (size_t i = 0; i < DEDUP_ID_BYTES; i++)
    {
      if ((i == 4 || i == 6 || i == 8 || i == 10) && *text++ != '-')
        return false;
      if (!parse_hex (text, &id->bytes[i]))
        return false;
      text += 2;
    }
  return *text == '\0' && id->bytes[6] >> 4 == 7 && id->bytes[8] >> 6 == 2;
}

int64_t
dedup_time_ms (const dedup_id_t *id)
{
  int64_t time_ms = 0;

  for (size_t i = 0; i < 6; i++)
    time_ms = time_ms << 8 | id->bytes[i];
  return time_ms;
}

uint32_t
dedup_owner (const dedup_id_t *id, const char *const *entry_hosts,
             uint32_t count)
{
  return hash_owner (id, sizeof *id, entry_hosts, count);
}

dedup_table_t *
dedup_new (int64_t start_ms)
{
  dedup_table_t *table = g_new0 (dedup_table_t, 1);

  table->start_ms = start_ms;
  return table;
}

void
dedup_free (dedup_table_t *table)
{
  if (!table)
    return;
  for (size_t i = 0; i < BUCKETS; i++)
    set_clear (&table->buckets[i]);
  g_free (table);
}

void
dedup_set_start (dedup_table_t *table, int64_t start_ms)
{
  table->start_ms = MAX (table->start_ms, start_ms);
}

/* Drops ids that have left the window.  Ids issued before the floor are
   refused from then on, even if the wall clock is set back.  */
static void
drop_expired (dedup_table_t *table, int64_t now_ms)
{
  int64_t first;

  table->floor_ms = MAX (table->floor_ms, now_ms - DEDUP_WINDOW_MS);
  first = table->floor_ms / BUCKET_MS;
  if (first - table->oldest_bucket > BUCKETS)
    table->oldest_bucket = first - BUCKETS;
  for (; table->oldest_bucket < first; table->oldest_bucket++)
    {
      id_set_t *set = &table->buckets[table->oldest_bucket % BUCKETS];

      table->count -= set->count;
      set_clear (set);
    }
}

err_kind_t
dedup_claim (dedup_table_t *table, const dedup_id_t *id, int64_t now_ms)
{
  int64_t time_ms = dedup_time_ms (id);

  drop_expired (table, now_ms);
  if (time_ms < table->floor_ms || time_ms > now_ms + CLOCK_ERROR_MS)
    return ERR_ID_INVALID;
  if (time_ms < table->start_ms + START_MARGIN_MS)
    return ERR_ID_REPEATED;
  if (!set_add (&table->buckets[time_ms / BUCKET_MS % BUCKETS], id))
    return ERR_ID_REPEATED;
  table->count++;
  return ERR_NONE;
}

uint32_t
dedup_count (const dedup_table_t *table)
{
  return table->count;
}

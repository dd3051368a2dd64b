#include "snapset.h"
#include <string.h>

#define PARTS_MAX (SNAPSET_BYTES_MAX / SNAPSET_PART_BYTES + 1)

/* Stands before the data of each part, in big-endian byte order.  */
typedef struct part_head
{
  uint64_t next;  /* first offset of the job log after the snapshot */
  uint32_t part;  /* index of this part */
  uint32_t parts; /* number of parts */
} part_head_t;

static const char *const key_prefixes[SNAPSET_SETS] = { "a", "b" };

uint32_t
snapset_other (uint32_t set)
{
  return (set + 1) % SNAPSET_SETS;
}

void
snapset_split (GBytes *snapshot, uint64_t next, uint32_t set,
               GPtrArray *records)
{
  gsize len;
  const uint8_t *data = g_bytes_get_data (snapshot, &len);
  uint32_t parts = (uint32_t)(len / SNAPSET_PART_BYTES) + 1;

  for (uint32_t i = 0; i < parts; i++)
    {
      part_head_t head
          = { GUINT64_TO_BE (next), GUINT32_TO_BE (i), GUINT32_TO_BE (parts) };
      g_autoptr (GByteArray) value = g_byte_array_new ();
      g_autofree char *key = g_strdup_printf ("%s%04u", key_prefixes[set], i);
      size_t at = (size_t)i * SNAPSET_PART_BYTES;

      g_byte_array_append (value, (const guint8 *)&head, sizeof head);
      if (len > at)
        g_byte_array_append (value, data + at,
                             (guint)MIN (len - at, SNAPSET_PART_BYTES));
      g_ptr_array_add (records,
                       platform_keyed_record (key, value->data, value->len));
    }
}

/* Reads the head of ITEM if it is a part of SET.  */
static bool
read_head (const platform_item_t *item, uint32_t set, part_head_t *head)
{
  if (!g_str_has_prefix (item->key, key_prefixes[set])
      || item->len < sizeof *head || !item->value)
    return false;
  memcpy (head, item->value, sizeof *head);
  head->next = GUINT64_FROM_BE (head->next);
  head->part = GUINT32_FROM_BE (head->part);
  head->parts = GUINT32_FROM_BE (head->parts);
  return head->part < head->parts && head->parts <= PARTS_MAX;
}

/* The first part of SET says how many there are.  */
static bool
find_first (const GArray *items, uint32_t set, part_head_t *first)
{
  for (uint32_t i = 0; i < items->len; i++)
    if (read_head (&g_array_index (items, platform_item_t, i), set, first)
        && first->part == 0)
      return true;
  return false;
}

/* Joins the parts of SET; NULL unless all of one snapshot are there.  */
static GByteArray *
join_set (const GArray *items, uint32_t set, const part_head_t *first)
{
  g_autoptr (GPtrArray) parts = g_ptr_array_new ();
  GByteArray *snapshot;

  g_ptr_array_set_size (parts, (gint)first->parts);

  for (uint32_t i = 0; i < items->len; i++)
    {
      const platform_item_t *item = &g_array_index (items, platform_item_t, i);
      part_head_t head;

      if (read_head (item, set, &head) && head.next == first->next
          && head.parts == first->parts)
        parts->pdata[head.part] = (gpointer)item;
    }
  for (uint32_t i = 0; i < first->parts; i++)
    if (!parts->pdata[i])
      return NULL;
  snapshot = g_byte_array_new ();
  for (uint32_t i = 0; i < first->parts; i++)
    {
      const platform_item_t *item = parts->pdata[i];

      g_byte_array_append (snapshot, item->value + sizeof *first,
                           (guint)(item->len - sizeof *first));
    }
  return snapshot;
}

GByteArray *
snapset_join (const GArray *items, uint64_t *next, uint32_t *set)
{
  GByteArray *newest = NULL;

  for (uint32_t i = 0; i < SNAPSET_SETS; i++)
    {
      part_head_t first;
      GByteArray *snapshot;

      if (!find_first (items, i, &first) || (newest && first.next <= *next))
        continue;
      snapshot = join_set (items, i, &first);
      if (!snapshot)
        continue;
      if (newest)
        g_byte_array_unref (newest);
      newest = snapshot;
      *next = first.next;
      *set = i;
    }
  return newest;
}

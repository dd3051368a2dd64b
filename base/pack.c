#include "base.h"

/* The encoding that the first byte of a value announces.  */
typedef struct pack_head
{
  uint8_t count_bytes; /* width of the big-endian count field that follows */
  uint64_t bytes;      /* payload length after the count field */
  uint64_t values;     /* number of nested values */
  bool counts_bytes;   /* the count field gives payload bytes */
  bool counts_values;  /* the count field gives nested values, or pairs */
  bool pairs;
  bool valid;
} pack_head_t;

static pack_head_t
read_head (uint8_t first)
{
  pack_head_t head = { .valid = true };

  if (first <= 0x7f || first >= 0xe0)
    return head;
  if (first <= 0x8f)
    head.values = 2 * (uint64_t)(first & 0x0f);
  else if (first <= 0x9f)
    head.values = first & 0x0f;
  else if (first <= 0xbf)
    head.bytes = first & 0x1f;
  else if (first == 0xc1)
    head.valid = false;
  else if (first >= 0xc4 && first <= 0xc9)
    {
      /* bin 8, 16, 32, then ext 8, 16, 32 with a type byte.  */
      head.counts_bytes = true;
      head.count_bytes = (uint8_t)(1 << ((first - 0xc4) % 3));
      head.bytes = first >= 0xc7;
    }
  else if (first >= 0xca && first <= 0xcb)
    head.bytes = first == 0xca ? 4 : 8;
  else if (first >= 0xcc && first <= 0xd3)
    head.bytes = (uint64_t)1 << ((first - 0xcc) % 4);
  else if (first >= 0xd4 && first <= 0xd8)
    head.bytes = 1 + ((uint64_t)1 << (first - 0xd4));
  else if (first >= 0xd9 && first <= 0xdb)
    {
      head.counts_bytes = true;
      head.count_bytes = (uint8_t)(1 << (first - 0xd9));
    }
  else if (first >= 0xdc)
    {
      head.counts_values = true;
      head.count_bytes = (first - 0xdc) % 2 ? 4 : 2;
      head.pairs = first >= 0xde;
    }
  return head;
}

/* Reads the count field after the first byte.  False when the input ends
   before the end of the field or of the payload.  */
static bool
read_count (pack_head_t *head, const uint8_t **pos, const uint8_t *end)
{
  uint64_t count = 0;

  if ((size_t)(end - *pos) < head->count_bytes)
    return false;
  for (uint8_t i = 0; i < head->count_bytes; i++)
    count = count << 8 | *(*pos)++;
  if (head->counts_bytes)
    head->bytes += count;
  if (head->counts_values)
    head->values = head->pairs ? 2 * count : count;
  return head->bytes <= (uint64_t)(end - *pos);
}

/* Each value takes at least one byte, so the counts of a complete value add up
   to at most its length.  */
bool
pack_is_bounded (const void *data, size_t len)
{
  const uint8_t *pos = data;
  const uint8_t *end = pos + len;
  uint64_t remaining[PACK_DEPTH_MAX + 1]
      = { 1 }; /* values to read, by depth */
  uint32_t depth = 0;

  for (;;)
    {
      pack_head_t head;

      while (remaining[depth] == 0)
        if (depth-- == 0)
          return pos == end;
      if (pos == end)
        return false;
      remaining[depth]--;
      head = read_head (*pos++);
      if (!head.valid || !read_count (&head, &pos, end))
        return false;
      pos += head.bytes;
      if (head.values == 0)
        continue;
      if (depth == PACK_DEPTH_MAX)
        return false;
      remaining[++depth] = head.values;
    }
}

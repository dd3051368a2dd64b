#include "base.h"

/* What follows the first byte of a value.  */
typedef struct pack_head
{
  uint8_t count_bytes; /* width of a count that follows, big endian */
  uint64_t bytes;      /* further bytes, besides those that the count adds */
  uint64_t values;     /* values inside */
  bool counts_bytes;   /* the count is of bytes */
  bool counts_values;  /* the count is of values, or of pairs */
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

/* Reads the count behind the first byte.  False when the input ends in it or
   in the bytes that it announces.  */
static bool
read_count (pack_head_t *head, const uint8_t **at, const uint8_t *end)
{
  uint64_t count = 0;

  if ((size_t)(end - *at) < head->count_bytes)
    return false;
  for (uint8_t i = 0; i < head->count_bytes; i++)
    count = count << 8 | *(*at)++;
  if (head->counts_bytes)
    head->bytes += count;
  if (head->counts_values)
    head->values = head->pairs ? 2 * count : count;
  return head->bytes <= (uint64_t)(end - *at);
}

/* Each value takes a byte at least, so counts that are all met by the input
   add up to no more than its length.  */
bool
pack_is_bounded (const void *data, size_t len)
{
  const uint8_t *at = data;
  const uint8_t *end = at + len;
  uint64_t left[PACK_DEPTH_MAX + 1] = { 1 }; /* values to come, by depth */
  uint32_t depth = 0;

  for (;;)
    {
      pack_head_t head;

      while (left[depth] == 0)
        if (depth-- == 0)
          return at == end;
      if (at == end)
        return false;
      left[depth]--;
      head = read_head (*at++);
      if (!head.valid || !read_count (&head, &at, end))
        return false;
      at += head.bytes;
      if (head.values == 0)
        continue;
      if (depth == PACK_DEPTH_MAX)
        return false;
      left[++depth] = head.values;
    }
}

#include "linkbuf.h"

void
linkbuf_open (linkbuf_t *buf, uint64_t *total)
{
  buf->bytes = g_byte_array_new ();
  buf->consumed = 0;
  buf->total = total;
}

void
linkbuf_close (linkbuf_t *buf)
{
  *buf->total -= buf->bytes->len;
  g_byte_array_unref (buf->bytes);
  buf->bytes = NULL;
}

const uint8_t *
linkbuf_data (const linkbuf_t *buf)
{
  return buf->bytes->data + buf->consumed;
}

guint
linkbuf_len (const linkbuf_t *buf)
{
  return buf->bytes->len - buf->consumed;
}

void
linkbuf_append (linkbuf_t *buf, const void *data, guint len)
{
  g_byte_array_append (buf->bytes, data, len);
  *buf->total += len;
}

/* Moves what is left to an array of its size.  */
static void
replace_bytes (linkbuf_t *buf)
{
  GByteArray *left = g_byte_array_sized_new (linkbuf_len (buf));

  if (linkbuf_len (buf) > 0)
    g_byte_array_append (left, linkbuf_data (buf), linkbuf_len (buf));
  *buf->total -= buf->consumed;
  g_byte_array_unref (buf->bytes);
  buf->bytes = left;
  buf->consumed = 0;
}

void
linkbuf_consume (linkbuf_t *buf, guint len)
{
  buf->consumed += len;
  /* Waiting until half is consumed bounds the moves to one of each byte.  */
  if (buf->consumed < linkbuf_len (buf))
    return;
  if (buf->bytes->len > LINKBUF_KEPT_BYTES)
    {
      replace_bytes (buf);
      return;
    }
  *buf->total -= buf->consumed;
  g_byte_array_remove_range (buf->bytes, 0, buf->consumed);
  buf->consumed = 0;
}

void
linkbuf_clear (linkbuf_t *buf)
{
  linkbuf_consume (buf, linkbuf_len (buf));
}

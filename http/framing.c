#include "framing.h"
#include <glib.h>

void
framing_add_header (framing_t *framing, const char *name, const char *value)
{
  guint64 length = 0;

  if (g_ascii_strcasecmp (name, "Content-Length") == 0)
    {
      framing->lengths++;
      if (!value
          || !g_ascii_string_to_unsigned (value, 10, 0, INT64_MAX, &length,
                                          NULL))
        framing->malformed_length = true;
      framing->length_bytes = length;
    }
  if (g_ascii_strcasecmp (name, "Transfer-Encoding") != 0)
    return;
  framing->encodings++;
  if (!value || g_ascii_strcasecmp (value, "chunked") != 0)
    framing->other_encoding = true;
}

bool
framing_is_ambiguous (const framing_t *framing)
{
  return framing->lengths + framing->encodings > 1 || framing->other_encoding
         || framing->malformed_length;
}

uint64_t
framing_announced_bytes (const framing_t *framing)
{
  return framing->encodings > 0 ? UINT64_MAX : framing->length_bytes;
}

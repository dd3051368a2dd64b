#include "lines.h"
#include <string.h>

#define LINE_END_BYTES 2 /* CR LF */

static uintptr_t
after (const char *text)
{
  return (uintptr_t)text + strlen (text) + LINE_END_BYTES;
}

void
lines_begin (lines_t *lines, const char *method, const char *version)
{
  lines->start = (uintptr_t)method;
  lines->next = after (version);
  lines->malformed = false;
}

void
lines_add (lines_t *lines, const char *name, const char *value)
{
  if (!value || (uintptr_t)name != lines->next)
    lines->malformed = true;
  if (value)
    lines->next = after (value);
}

bool
lines_end (lines_t *lines, size_t header_bytes)
{
  return !lines->malformed
         && lines->next + LINE_END_BYTES == lines->start + header_bytes;
}

bool
lines_are_checked (const char *version)
{
  return strcmp (version, "0.9.75") == 0;
}

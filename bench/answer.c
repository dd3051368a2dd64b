#include "load.h"
#include <string.h>

#define HEAD_BYTES_MAX 32768
#define BODY_BYTES_MAX (64 * 1024 * 1024)

static const char version[] = "HTTP/1.1 ";

/* A header line without its line end.  */
typedef struct header
{
  const char *name;
  size_t name_len;
  const char *value;
  size_t value_len;
} header_t;

static bool
read_status (const char *line, size_t len, uint16_t *status)
{
  const char *digits = line + strlen (version);

  if (len < strlen (version) + 3
      || memcmp (line, version, strlen (version)) != 0)
    return false;
  for (int i = 0; i < 3; i++)
    if (!g_ascii_isdigit (digits[i]))
      return false;
  *status = (uint16_t)((digits[0] - '0') * 100 + (digits[1] - '0') * 10
                       + (digits[2] - '0'));
  return *status >= 200 && *status < STATUS_MAX
         && (len == strlen (version) + 3 || digits[3] == ' ');
}

static bool
read_header (const char *line, size_t len, header_t *header)
{
  const char *colon = memchr (line, ':', len);
  const char *end = line + len;

  if (!colon || colon == line)
    return false;
  header->name = line;
  header->name_len = (size_t)(colon - line);
  header->value = colon + 1;
  while (header->value < end
         && (*header->value == ' ' || *header->value == '\t'))
    header->value++;
  while (end > header->value && (end[-1] == ' ' || end[-1] == '\t'))
    end--;
  header->value_len = (size_t)(end - header->value);
  return true;
}

static bool
is_named (const header_t *header, const char *name)
{
  return header->name_len == strlen (name)
         && g_ascii_strncasecmp (header->name, name, header->name_len) == 0;
}

static bool
read_length (const header_t *header, size_t *length)
{
  *length = 0;
  for (size_t i = 0; i < header->value_len; i++)
    {
      if (!g_ascii_isdigit (header->value[i]))
        return false;
      *length = *length * 10 + (size_t)(header->value[i] - '0');
      if (*length > BODY_BYTES_MAX)
        return false;
    }
  return header->value_len > 0;
}

/* False when the header makes the answer malformed.  */
static bool
take_header (const header_t *header, answer_t *answer, bool *has_length)
{
  if (is_named (header, "Content-Length"))
    {
      if (*has_length)
        return false;
      *has_length = true;
      return read_length (header, &answer->body_len);
    }
  if (is_named (header, "Transfer-Encoding"))
    return false;
  if (is_named (header, "X-Request-Id"))
    {
      answer->id = header->value;
      answer->id_len = header->value_len;
    }
  else if (is_named (header, "X-Error"))
    {
      answer->error = header->value;
      answer->error_len = header->value_len;
    }
  else if (is_named (header, "Connection"))
    answer->closing = header->value_len == 5
                      && g_ascii_strncasecmp (header->value, "close", 5) == 0;
  return true;
}

/* Parses the head, LEN bytes with the empty line at its end.  */
static bool
read_head (const char *bytes, size_t len, answer_t *answer)
{
  const char *line = bytes;
  const char *end = bytes + len - 2;
  bool has_length = false;
  header_t header;

  while (line < end)
    {
      const char *line_end
          = memmem (line, (size_t)(bytes + len - line), "\r\n", 2);
      size_t line_len = (size_t)(line_end - line);

      if (line == bytes)
        {
          if (!read_status (line, line_len, &answer->status))
            return false;
        }
      else if (!read_header (line, line_len, &header)
               || !take_header (&header, answer, &has_length))
        return false;
      line = line_end + 2;
    }
  return has_length;
}

answer_state_t
answer_parse (const char *bytes, size_t len, answer_t *answer)
{
  const char *end;

  memset (answer, 0, sizeof *answer);
  /* Bytes that can't become an answer must not be waited on.  */
  if (memcmp (bytes, version, MIN (len, strlen (version))) != 0)
    return ANSWER_MALFORMED;
  end = memmem (bytes, MIN (len, HEAD_BYTES_MAX), "\r\n\r\n", 4);
  if (!end)
    return len < HEAD_BYTES_MAX ? ANSWER_PARTIAL : ANSWER_MALFORMED;
  answer->head_len = (size_t)(end - bytes) + 4;
  if (!read_head (bytes, answer->head_len, answer))
    return ANSWER_MALFORMED;
  return len - answer->head_len < answer->body_len ? ANSWER_PARTIAL
                                                   : ANSWER_WHOLE;
}

bool
answer_is_refusal (const answer_t *answer)
{
  return answer->error || answer->status >= 400;
}

bool
answer_fits (const answer_t *answer, const char *bytes, const char *id)
{
  if (answer->id_len != LOAD_ID_BYTES
      || memcmp (answer->id, id, LOAD_ID_BYTES) != 0)
    return false;
  if (answer_is_refusal (answer))
    return true;
  return answer->body_len >= LOAD_ID_BYTES
         && memcmp (bytes + answer->head_len, id, LOAD_ID_BYTES) == 0;
}

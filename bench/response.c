#include "load.h"
#include <string.h>

#define HEAD_BYTES_MAX 32768
#define BODY_BYTES_MAX (64 * 1024 * 1024)

static const char version[] = "HTTP/1.1 ";

/* A header line without the line terminator.  */
typedef struct header
{
  const char *name;
  size_t name_len;
  const char *value;
  size_t value_len;
} header_t;

static bool
parse_status (const char *line, size_t len, uint16_t *status)
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
parse_header (const char *line, size_t len, header_t *header)
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
parse_length (const header_t *header, size_t *length)
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

/* Returns false if the header makes the response malformed.  */
static bool
apply_header (const header_t *header, response_t *response, bool *has_length)
{
  if (is_named (header, "Content-Length"))
    {
      if (*has_length)
        return false;
      *has_length = true;
      return parse_length (header, &response->body_len);
    }
  if (is_named (header, "Transfer-Encoding"))
    return false;
  if (is_named (header, "X-Request-Id"))
    {
      response->id = header->value;
      response->id_len = header->value_len;
    }
  else if (is_named (header, "X-Error"))
    {
      response->error = header->value;
      response->error_len = header->value_len;
    }
  else if (is_named (header, "Connection"))
    response->closing
        = header->value_len == 5
          && g_ascii_strncasecmp (header->value, "close", 5) == 0;
  return true;
}

/* Parses the LEN bytes of the head, including the empty line at its end.  */
static bool
parse_head (const char *bytes, size_t len, response_t *response)
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
          if (!parse_status (line, line_len, &response->status))
            return false;
        }
      else if (!parse_header (line, line_len, &header)
               || !apply_header (&header, response, &has_length))
        return false;
      line = line_end + 2;
    }
  return has_length;
}

response_state_t
response_parse (const char *bytes, size_t len, response_t *response)
{
  const char *end;

  memset (response, 0, sizeof *response);
  /* Rejects at once what cannot become a response, instead of waiting for more
     bytes.  */
  if (memcmp (bytes, version, MIN (len, strlen (version))) != 0)
    return RESPONSE_MALFORMED;
  end = memmem (bytes, MIN (len, HEAD_BYTES_MAX), "\r\n\r\n", 4);
  if (!end)
    return len < HEAD_BYTES_MAX ? RESPONSE_PARTIAL : RESPONSE_MALFORMED;
  response->head_len = (size_t)(end - bytes) + 4;
  if (!parse_head (bytes, response->head_len, response))
    return RESPONSE_MALFORMED;
  return len - response->head_len < response->body_len ? RESPONSE_PARTIAL
                                                       : RESPONSE_COMPLETE;
}

bool
response_is_refusal (const response_t *response)
{
  return response->error || response->status >= 400;
}

bool
response_matches (const response_t *response, const char *bytes,
                  const char *id)
{
  if (response->id_len != LOAD_ID_BYTES
      || memcmp (response->id, id, LOAD_ID_BYTES) != 0)
    return false;
  if (response_is_refusal (response))
    return true;
  return response->body_len >= LOAD_ID_BYTES
         && memcmp (bytes + response->head_len, id, LOAD_ID_BYTES) == 0;
}

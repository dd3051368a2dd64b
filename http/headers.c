#include "headers.h"
#include "framing.h"
#include "lines.h"

typedef struct check
{
  framing_t framing;
  lines_t lines;
} check_t;

static enum MHD_Result
add_header (void *cls, enum MHD_ValueKind kind, const char *name,
            const char *value)
{
  check_t *check = cls;

  (void)kind;
  framing_add_header (&check->framing, name, value);
  lines_add (&check->lines, name, value);
  return MHD_YES;
}

headers_verdict_t
headers_check (struct MHD_Connection *connection, const char *method,
               const char *version, uint64_t *announced_bytes)
{
  check_t check = { 0 };
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);

  lines_begin (&check.lines, method, version);
  MHD_get_connection_values (connection, MHD_HEADER_KIND, add_header, &check);
  *announced_bytes = framing_announced_bytes (&check.framing);
  if (framing_is_ambiguous (&check.framing))
    return HEADERS_AMBIGUOUS_LENGTH;
  if (lines_are_checked (MHD_get_version ())
      && !lines_end (&check.lines, info->header_size))
    return HEADERS_MALFORMED_LINE;
  return HEADERS_ACCEPTED;
}

const char *
headers_text (headers_verdict_t verdict)
{
  switch (verdict)
    {
    case HEADERS_ACCEPTED:
      return "";
    case HEADERS_AMBIGUOUS_LENGTH:
      return "length: expected one Content-Length or chunked";
    case HEADERS_MALFORMED_LINE:
      return "headers: expected lines that end with CR LF";
    }
  return "";
}

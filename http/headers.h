/* headers - checks of a request's headers that the HTTP server does not make

   NAME
     headers_check, headers_text

   DESCRIPTION
     A request that a proxy on the way may read as another one is to be
     refused: one whose length is stated twice (framing) and one with a bare LF
     as the end of a line (lines).  */

#ifndef CUMINPIN_HEADERS_H
#define CUMINPIN_HEADERS_H

#include <microhttpd.h>
#include <stdint.h>

typedef enum headers_verdict
{
  HEADERS_ACCEPTED,
  HEADERS_AMBIGUOUS_LENGTH,
  HEADERS_MALFORMED_LINE
} headers_verdict_t;

/* headers_check - judges the headers of CONNECTION's request, of which the
   server has passed METHOD and VERSION on.  These must be the server's own
   pointers, not equal texts: addresses are compared (lines).
   *ANNOUNCED_BYTES becomes the length of the body, UINT64_MAX if it is not
   stated in advance.  */
headers_verdict_t headers_check (struct MHD_Connection *connection,
                                 const char *method, const char *version,
                                 uint64_t *announced_bytes);

/* headers_text - what was expected of headers with VERDICT, for a person.  */
const char *headers_text (headers_verdict_t verdict);

#endif

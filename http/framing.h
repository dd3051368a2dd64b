/* framing - how the headers of a request state the length of its body

   NAME
     framing_add_header, framing_is_ambiguous, framing_announced_bytes

   DESCRIPTION
     A request whose length is stated twice, or in a way that the server does
     not know, is ambiguous: a proxy on the way may take the other length, and
     the rest of the body for a request of its own (RFC 9112, 6.3 and 11.2). */

#ifndef CUMINPIN_FRAMING_H
#define CUMINPIN_FRAMING_H

#include <stdbool.h>
#include <stdint.h>

/* What the headers say.  Zeroed by the caller at first.  */
typedef struct framing
{
  uint32_t lengths;
  uint32_t encodings;
  bool other_encoding;
  bool malformed_length;
  uint64_t length_bytes;
} framing_t;

/* framing_add_header - note the header NAME with VALUE, which may be NULL.  */
void framing_add_header (framing_t *framing, const char *name,
                         const char *value);

bool framing_is_ambiguous (const framing_t *framing);

/* framing_announced_bytes - length of the body; 0 if there is none, UINT64_MAX
   if it is not stated in advance.  */
uint64_t framing_announced_bytes (const framing_t *framing);

#endif

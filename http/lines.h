/* lines - whether the lines of a request's headers end with CR LF

   NAME
     lines_begin, lines_add, lines_end, lines_are_checked

   DESCRIPTION
     libmicrohttpd 0.9.75 takes a bare LF for the end of a line, where a proxy
     on the way may not, and so may see another request (RFC 9112, 2.2 and
     11.2).  It has no option against that, but it parses headers in place: it
     overwrites the end of each line with zeros, and the texts that it passes
     on lie in the order of the lines.  So the distance from one text to the
     next shows how the line between them ended.  A folded line is moved
     elsewhere and counts as malformed too; it is obsolete (RFC 9112, 5.2).

     Only addresses are compared, nothing is read.  clients/bare-lf shows that
     well-formed requests pass.  */

#ifndef CUMINPIN_LINES_H
#define CUMINPIN_LINES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct lines
{
  uintptr_t start; /* of the request line */
  uintptr_t next; /* where the next line starts if the last ended with CR LF */
  bool malformed;
} lines_t;

/* lines_begin - the request line begins with METHOD and ends with VERSION.
   lines_add - the next header, NAME with VALUE, which may be NULL.
   lines_end - the headers have HEADER_BYTES with the request line and the
   empty line; whether all lines end with CR LF.  */
void lines_begin (lines_t *lines, const char *method, const char *version);
void lines_add (lines_t *lines, const char *name, const char *value);
bool lines_end (lines_t *lines, size_t header_bytes);

/* lines_are_checked - whether the server library VERSION parses as described.
   Requests to another one are not checked.  */
bool lines_are_checked (const char *version);

#endif

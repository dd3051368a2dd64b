/* linkbuf - bytes of a link that wait to be handled or sent

   NAME
     linkbuf_open, linkbuf_close, linkbuf_append, linkbuf_consume,
     linkbuf_clear

   DESCRIPTION
     Bytes are appended at the end and consumed from the start.  The memory of
     what was consumed is given back, so that a buffer that once was large, or
     that is never empty, does not keep it.  Buffers count their bytes in a
     total that they share.  */

#ifndef CUMINPIN_LINKBUF_H
#define CUMINPIN_LINKBUF_H

#include <glib.h>
#include <stdint.h>

/* Memory that an empty buffer may keep.  */
#define LINKBUF_KEPT_BYTES 4096

typedef struct linkbuf
{
  GByteArray *bytes;
  guint consumed; /* at the start of BYTES */
  uint64_t *total;
} linkbuf_t;

/* linkbuf_open - an empty buffer that counts in *TOTAL.
   linkbuf_close - free its memory.  */
void linkbuf_open (linkbuf_t *buf, uint64_t *total);
void linkbuf_close (linkbuf_t *buf);

/* linkbuf_data, linkbuf_len - the bytes that were not consumed.  */
const uint8_t *linkbuf_data (const linkbuf_t *buf);
guint linkbuf_len (const linkbuf_t *buf);

void linkbuf_append (linkbuf_t *buf, const void *data, guint len);
void linkbuf_consume (linkbuf_t *buf, guint len);

/* linkbuf_clear - drop all bytes.  */
void linkbuf_clear (linkbuf_t *buf);

#endif

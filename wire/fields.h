/* fields - read the fields of a msgpack array in order

   For the modules of wire and for the codecs of other packages.  After the
   first field that is missing or has the wrong type, all reads return zero, so
   that a caller checks for errors once, at the end, with fields_ok.  */

#ifndef CUMINPIN_FIELDS_H
#define CUMINPIN_FIELDS_H

#include "wire.h"
#include <msgpack.h>

typedef struct fields
{
  const msgpack_object *at;
  uint32_t left;   /* fields not yet read */
  const char *bad; /* name of the first invalid field, or NULL */
} fields_t;

/* fields_open - start reading ARRAY; WHAT is its name in error messages.  */
fields_t fields_open (const msgpack_object *array, const char *what);

/* fields_next - the next field, of any type, or NULL.  */
const msgpack_object *fields_next (fields_t *f, const char *name);

/* fields_u64 - read an integer from 0 to MAX.  */
uint64_t fields_u64 (fields_t *f, const char *name, uint64_t max);

int64_t fields_i64 (fields_t *f, const char *name);

bool fields_bool (fields_t *f, const char *name);

/* fields_name - read text of at most NAME_BYTES_MAX bytes without a NUL.  */
void fields_name (fields_t *f, const char *name, char to[REC_NAME_BYTES]);

/* fields_intern - read a non-empty name as an interned string.  */
const char *fields_intern (fields_t *f, const char *name);

/* fields_intern_or_nil - as fields_intern, but NULL for nil.  */
const char *fields_intern_or_nil (fields_t *f, const char *name);

/* fields_text - read text of at most MAX bytes; the result points into the
   input and is not terminated by a NUL.  */
const char *fields_text (fields_t *f, const char *name, size_t max,
                         size_t *len);

/* fields_bin - read a binary field; the result points into the input.  */
const uint8_t *fields_bin (fields_t *f, const char *name, size_t *len);

/* fields_ok - whether all reads succeeded; sets *ERROR if not.  WHAT is the
   name of the input in the message.  */
bool fields_ok (const fields_t *f, const char *what, GError **error);

/* pack_name - append TEXT, or nil for NULL.  */
void pack_name (msgpack_packer *pk, const char *text);

/* pack_bin - append LEN bytes as a binary field.  */
void pack_bin (msgpack_packer *pk, const void *data, size_t len);

/* pack_steal - move the contents of BUF into a GBytes; BUF is left empty.  */
GBytes *pack_steal (msgpack_sbuffer *buf);

/* unpack_value - decode the LEN bytes of DATA, at most MAX, into *MSG, which
   the caller releases with msgpack_unpacked_destroy.  WHAT is the name of the
   input in error messages.  */
bool unpack_value (const void *data, size_t len, size_t max, const char *what,
                   msgpack_unpacked *msg, GError **error);

#endif

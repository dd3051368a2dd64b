/* fields - reading the fields of a msgpack array in order

   Private to the package.  The first field that is missing or of another type
   is remembered and all later reads return zero, so a caller checks once, at
   the end.  */

#ifndef CUMINPIN_FIELDS_H
#define CUMINPIN_FIELDS_H

#include "wire.h"
#include <msgpack.h>

typedef struct fields
{
  const msgpack_object *at;
  uint32_t left;
  const char *bad; /* first faulty field, or NULL */
} fields_t;

/* fields_open - read ARRAY, which is called WHAT.  */
fields_t fields_open (const msgpack_object *array, const char *what);

/* fields_next - the next field whatever its type, or NULL.  */
const msgpack_object *fields_next (fields_t *f, const char *name);

/* fields_u64 - an integer from 0 to MAX.  */
uint64_t fields_u64 (fields_t *f, const char *name, uint64_t max);

int64_t fields_i64 (fields_t *f, const char *name);

bool fields_bool (fields_t *f, const char *name);

/* fields_name - text of at most NAME_BYTES_MAX bytes and no NUL.  */
void fields_name (fields_t *f, const char *name, char to[REC_NAME_BYTES]);

/* fields_intern - a name of at least one byte as an interned string.  */
const char *fields_intern (fields_t *f, const char *name);

/* fields_intern_or_nil - the same, or NULL for nil.  */
const char *fields_intern_or_nil (fields_t *f, const char *name);

/* fields_text - text of at most MAX bytes; points into the input.  */
const char *fields_text (fields_t *f, const char *name, size_t max,
                         size_t *len);

/* fields_bin - bytes; points into the input.  */
const uint8_t *fields_bin (fields_t *f, const char *name, size_t *len);

/* fields_ok - whether all reads succeeded; otherwise sets *ERROR.  */
bool fields_ok (const fields_t *f, const char *what, GError **error);

/* pack_name - write TEXT, or nil for NULL.  */
void pack_name (msgpack_packer *pk, const char *text);

/* pack_bin - write LEN bytes.  */
void pack_bin (msgpack_packer *pk, const void *data, size_t len);

/* pack_steal - the bytes of BUF, which is left empty.  */
GBytes *pack_steal (msgpack_sbuffer *buf);

/* unpack_value - decode the LEN bytes of DATA into *MSG, to be released with
   msgpack_unpacked_destroy.  WHAT and MAX name what is read and its longest
   encoding.  */
bool unpack_value (const void *data, size_t len, size_t max, const char *what,
                   msgpack_unpacked *msg, GError **error);

#endif

#include "fields.h"
#include <string.h>

G_DEFINE_QUARK (wire - error, wire_error)

fields_t
fields_open (const msgpack_object *array, const char *what)
{
  fields_t f = { 0 };

  if (!array || array->type != MSGPACK_OBJECT_ARRAY)
    {
      f.bad = what;
      return f;
    }
  f.at = array->via.array.ptr;
  f.left = array->via.array.size;
  return f;
}

const msgpack_object *
fields_next (fields_t *f, const char *name)
{
  if (f->bad)
    return NULL;
  if (f->left == 0)
    {
      f->bad = name;
      return NULL;
    }
  f->left--;
  return f->at++;
}

static const msgpack_object *
next_of_type (fields_t *f, const char *name, msgpack_object_type type)
{
  const msgpack_object *object = fields_next (f, name);

  if (object && object->type == type)
    return object;
  if (!f->bad)
    f->bad = name;
  return NULL;
}

uint64_t
fields_u64 (fields_t *f, const char *name, uint64_t max)
{
  const msgpack_object *object
      = next_of_type (f, name, MSGPACK_OBJECT_POSITIVE_INTEGER);

  if (object && object->via.u64 <= max)
    return object->via.u64;
  if (!f->bad)
    f->bad = name;
  return 0;
}

int64_t
fields_i64 (fields_t *f, const char *name)
{
  const msgpack_object *object = fields_next (f, name);

  if (object && object->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
    return object->via.i64;
  if (object && object->type == MSGPACK_OBJECT_POSITIVE_INTEGER
      && object->via.u64 <= INT64_MAX)
    return (int64_t)object->via.u64;
  if (!f->bad)
    f->bad = name;
  return 0;
}

bool
fields_bool (fields_t *f, const char *name)
{
  const msgpack_object *object
      = next_of_type (f, name, MSGPACK_OBJECT_BOOLEAN);

  return object && object->via.boolean;
}

const char *
fields_text (fields_t *f, const char *name, size_t max, size_t *len)
{
  const msgpack_object *object = next_of_type (f, name, MSGPACK_OBJECT_STR);

  *len = 0;
  if (object && object->via.str.size <= max)
    {
      *len = object->via.str.size;
      return object->via.str.ptr;
    }
  if (!f->bad)
    f->bad = name;
  return NULL;
}

void
fields_name (fields_t *f, const char *name, char to[REC_NAME_BYTES])
{
  size_t len;
  const char *text = fields_text (f, name, NAME_BYTES_MAX, &len);

  memset (to, 0, REC_NAME_BYTES);
  if (!text)
    return;
  if (memchr (text, '\0', len))
    f->bad = name;
  else
    memcpy (to, text, len);
}

const char *
fields_intern (fields_t *f, const char *name)
{
  char text[REC_NAME_BYTES];

  fields_name (f, name, text);
  if (!f->bad && !text[0])
    f->bad = name;
  return f->bad ? NULL : g_intern_string (text);
}

const char *
fields_intern_or_nil (fields_t *f, const char *name)
{
  if (f->bad || f->left == 0 || f->at->type != MSGPACK_OBJECT_NIL)
    return fields_intern (f, name);
  fields_next (f, name);
  return NULL;
}

const uint8_t *
fields_bin (fields_t *f, const char *name, size_t *len)
{
  const msgpack_object *object = next_of_type (f, name, MSGPACK_OBJECT_BIN);

  *len = object ? object->via.bin.size : 0;
  return object ? (const uint8_t *)object->via.bin.ptr : NULL;
}

bool
fields_ok (const fields_t *f, const char *what, GError **error)
{
  if (!f->bad)
    return true;
  g_set_error (
      error, WIRE_ERROR, WIRE_ERROR_FORM,
      "%s: field %s is missing, has the wrong type or is out of range", what,
      f->bad);
  return false;
}

void
pack_name (msgpack_packer *pk, const char *text)
{
  if (text)
    msgpack_pack_str_with_body (pk, text, strlen (text));
  else
    msgpack_pack_nil (pk);
}

void
pack_bin (msgpack_packer *pk, const void *data, size_t len)
{
  msgpack_pack_bin_with_body (pk, data, len);
}

GBytes *
pack_steal (msgpack_sbuffer *buf)
{
  size_t len = buf->size;
  char *data = msgpack_sbuffer_release (buf);

  return g_bytes_new_with_free_func (data, len, free, data);
}

bool
unpack_value (const void *data, size_t len, size_t max, const char *what,
              msgpack_unpacked *msg, GError **error)
{
  size_t at = 0;

  msgpack_unpacked_init (msg);
  if (len > max)
    {
      g_set_error (error, WIRE_ERROR, WIRE_ERROR_FORM,
                   "%s: expected at most %zu bytes, found %zu", what, max,
                   len);
      return false;
    }
  if (pack_is_bounded (data, len)
      && msgpack_unpack_next (msg, data, len, &at) == MSGPACK_UNPACK_SUCCESS)
    return true;
  g_set_error (error, WIRE_ERROR, WIRE_ERROR_FORM,
               "%s: expected one msgpack value", what);
  return false;
}

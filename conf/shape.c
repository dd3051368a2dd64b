#include "yamlload.h"
#include <stdarg.h>
#include <string.h>
#include <yaml.h>

/* A text under check against a schema.  libcyaml's own errors name neither the
   entry of a list nor what was expected, and it takes "1.5" for 1 and any word
   for true, so the text is checked here before it is loaded.  */
typedef struct shape
{
  const char *file;
  yaml_document_t doc;
  GError **error;
} shape_t;

/* The way from the top of the text to a value: a FIELD of UP, or the entry at
   INDEX of UP if FIELD is NULL.  */
typedef struct place
{
  const struct place *up;
  const char *field;
  uint32_t index;
} place_t;

static bool check_value (shape_t *shape, const cyaml_schema_value_t *schema,
                         yaml_node_t *node, const place_t *place);

static void
append_place (GString *text, const place_t *place)
{
  if (!place)
    return;
  append_place (text, place->up);
  if (place->field)
    g_string_append_printf (text, "%s%s", place->up ? "." : "", place->field);
  else
    g_string_append_printf (text, "[%u]", place->index);
}

char *
yaml_plain (char *text)
{
  for (char *c = text; *c; c++)
    if (g_ascii_iscntrl (*c))
      *c = '?';
  return text;
}

static bool
reject_text (const char *file, size_t line, const char *why, GError **error)
{
  g_autofree char *plain = g_strdup (why);

  g_set_error (error, CONF_ERROR, CONF_ERROR_SCHEMA, "%s:%zu: %s", file, line,
               yaml_plain (plain));
  return false;
}

static bool G_GNUC_PRINTF (4, 5)
    reject (const shape_t *shape, const yaml_node_t *node,
            const place_t *place, const char *format, ...)
{
  g_autoptr (GString) why = g_string_new (NULL);
  va_list args;

  append_place (why, place);
  g_string_append (why, place ? ": " : "");
  va_start (args, format);
  g_string_append_vprintf (why, format, args);
  va_end (args);
  return reject_text (shape->file, node->start_mark.line + 1, why->str,
                      shape->error);
}

/* What NODE holds, for an error.  */
static const char *
found (const yaml_node_t *node)
{
  switch (node->type)
    {
    case YAML_SCALAR_NODE:
      return node->data.scalar.length ? (const char *)node->data.scalar.value
                                      : "nothing";
    case YAML_SEQUENCE_NODE:
      return "a list";
    case YAML_MAPPING_NODE:
      return "a mapping";
    case YAML_NO_NODE:
      break;
    }
  return "nothing";
}

static bool
reject_kind (const shape_t *shape, const yaml_node_t *node,
             const place_t *place, const char *expected)
{
  const char *quote
      = node->type == YAML_SCALAR_NODE && node->data.scalar.length ? "\"" : "";

  return reject (shape, node, place, "expected %s, found %s%.80s%s", expected,
                 quote, found (node), quote);
}

static const cyaml_schema_field_t *
find_field (const cyaml_schema_field_t *fields, const yaml_node_t *name)
{
  if (name->type != YAML_SCALAR_NODE)
    return NULL;
  for (; fields->key; fields++)
    if (strlen (fields->key) == name->data.scalar.length
        && strcmp (fields->key, (const char *)name->data.scalar.value) == 0)
      return fields;
  return NULL;
}

static bool
reject_field (const shape_t *shape, const cyaml_schema_field_t *fields,
              const yaml_node_t *name, const place_t *place)
{
  g_autoptr (GString) names = g_string_new (NULL);
  place_t here = { .up = place, .field = found (name) };

  for (; fields->key; fields++)
    g_string_append_printf (names, "%s%s", names->len ? ", " : "",
                            fields->key);
  return reject (shape, name, &here, "unknown field, expected one of %s",
                 names->str);
}

/* Whether MAP has all that it must have, and nothing twice.  */
static bool
check_fields (const shape_t *shape, const cyaml_schema_field_t *fields,
              yaml_node_t *map, const place_t *place)
{
  for (; fields->key; fields++)
    {
      place_t here = { .up = place, .field = fields->key };
      uint32_t count = 0;

      for (yaml_node_pair_t *pair = map->data.mapping.pairs.start;
           pair < map->data.mapping.pairs.top; pair++)
        {
          yaml_node_t *name = yaml_document_get_node (
              (yaml_document_t *)&shape->doc, pair->key);

          if (strcmp ((const char *)name->data.scalar.value, fields->key) == 0
              && ++count > 1)
            return reject (shape, name, &here,
                           "expected the field once, found it again");
        }
      if (count == 0 && !(fields->value.flags & CYAML_FLAG_OPTIONAL))
        return reject (shape, map, &here, "expected this field, found none");
    }
  return true;
}

static bool
check_mapping (shape_t *shape, const cyaml_schema_value_t *schema,
               yaml_node_t *map, const place_t *place)
{
  const cyaml_schema_field_t *fields = schema->mapping.fields;

  if (map->type != YAML_MAPPING_NODE)
    return reject_kind (shape, map, place, "a mapping");
  for (yaml_node_pair_t *pair = map->data.mapping.pairs.start;
       pair < map->data.mapping.pairs.top; pair++)
    {
      yaml_node_t *name = yaml_document_get_node (&shape->doc, pair->key);
      yaml_node_t *value = yaml_document_get_node (&shape->doc, pair->value);
      const cyaml_schema_field_t *field = find_field (fields, name);
      place_t here = { .up = place };

      if (!field)
        return reject_field (shape, fields, name, place);
      here.field = field->key;
      if (!check_value (shape, &field->value, value, &here))
        return false;
    }
  return check_fields (shape, fields, map, place);
}

static bool
check_sequence (shape_t *shape, const cyaml_schema_value_t *schema,
                yaml_node_t *list, const place_t *place)
{
  size_t count;

  if (list->type != YAML_SEQUENCE_NODE)
    return reject_kind (shape, list, place, "a list");
  count = (size_t)(list->data.sequence.items.top
                   - list->data.sequence.items.start);
  if (count < schema->sequence.min || count > schema->sequence.max)
    return reject (shape, list, place, "expected %u to %u entries, found %zu",
                   schema->sequence.min, schema->sequence.max, count);
  for (uint32_t i = 0; i < count; i++)
    {
      yaml_node_t *entry = yaml_document_get_node (
          &shape->doc, list->data.sequence.items.start[i]);
      place_t here = { .up = place, .index = i };

      if (!check_value (shape, schema->sequence.entry, entry, &here))
        return false;
    }
  return true;
}

static bool
check_number (const shape_t *shape, uint32_t bytes, const yaml_node_t *node,
              const place_t *place)
{
  uint64_t max = bytes < 8 ? (UINT64_C (1) << (8 * bytes)) - 1 : UINT64_MAX;
  g_autofree char *expected
      = g_strdup_printf ("a whole number from 0 to %" PRIu64, max);

  if (node->type == YAML_SCALAR_NODE
      && g_ascii_string_to_unsigned ((const char *)node->data.scalar.value, 10,
                                     0, max, NULL, NULL))
    return true;
  return reject_kind (shape, node, place, expected);
}

static bool
check_bool (const shape_t *shape, const yaml_node_t *node,
            const place_t *place)
{
  if (node->type == YAML_SCALAR_NODE
      && (strcmp ((const char *)node->data.scalar.value, "true") == 0
          || strcmp ((const char *)node->data.scalar.value, "false") == 0))
    return true;
  return reject_kind (shape, node, place, "true or false");
}

static bool
check_float (const shape_t *shape, const yaml_node_t *node,
             const place_t *place)
{
  const char *text = (const char *)node->data.scalar.value;
  char *rest = NULL;

  if (node->type == YAML_SCALAR_NODE && text[0] != '\0')
    {
      g_ascii_strtod (text, &rest);
      if (*rest == '\0')
        return true;
    }
  return reject_kind (shape, node, place, "a number");
}

static bool
check_string (const shape_t *shape, const cyaml_schema_value_t *schema,
              const yaml_node_t *node, const place_t *place)
{
  if (node->type != YAML_SCALAR_NODE)
    return reject_kind (shape, node, place, "text");
  if (strlen ((const char *)node->data.scalar.value)
      != node->data.scalar.length)
    return reject (shape, node, place, "expected text, found a NUL byte");
  if (node->data.scalar.length >= schema->string.min
      && node->data.scalar.length <= schema->string.max)
    return true;
  if (schema->string.min == schema->string.max)
    return reject (shape, node, place, "expected %u bytes, found %zu",
                   schema->string.min, node->data.scalar.length);
  return reject (shape, node, place, "expected %u to %u bytes, found %zu",
                 schema->string.min, schema->string.max,
                 node->data.scalar.length);
}

static bool
check_value (shape_t *shape, const cyaml_schema_value_t *schema,
             yaml_node_t *node, const place_t *place)
{
  switch (schema->type)
    {
    case CYAML_MAPPING:
      return check_mapping (shape, schema, node, place);
    case CYAML_SEQUENCE:
      return check_sequence (shape, schema, node, place);
    case CYAML_UINT:
      return check_number (shape, schema->data_size, node, place);
    case CYAML_BOOL:
      return check_bool (shape, node, place);
    case CYAML_FLOAT:
      return check_float (shape, node, place);
    case CYAML_STRING:
      return check_string (shape, schema, node, place);
    case CYAML_INT:
    case CYAML_ENUM:
    case CYAML_FLAGS:
    case CYAML_BITFIELD:
    case CYAML_SEQUENCE_FIXED:
    case CYAML_IGNORE:
    case CYAML__TYPE_COUNT:
      break; /* no schema of this package has them */
    }
  return reject (shape, node, place, "expected no such field");
}

/* Whether TEXT has only tokens that libcyaml knows: no aliases.  */
static bool
check_tokens (const char *file, const char *text, size_t len, GError **error)
{
  yaml_parser_t parser;
  yaml_token_t token;
  yaml_token_type_t type = YAML_NO_TOKEN;
  const char *why = NULL;
  size_t line = 0;

  if (!yaml_parser_initialize (&parser))
    return reject_text (file, 1, "out of memory", error);
  yaml_parser_set_input_string (&parser, (const unsigned char *)text, len);
  while (!why && type != YAML_STREAM_END_TOKEN
         && yaml_parser_scan (&parser, &token))
    {
      type = token.type;
      line = token.start_mark.line + 1;
      if (type == YAML_ALIAS_TOKEN || type == YAML_ANCHOR_TOKEN
          || type == YAML_TAG_TOKEN)
        why = "expected plain YAML, found an alias, an anchor or a tag";
      yaml_token_delete (&token);
    }
  yaml_parser_delete (&parser);
  /* What the scanner can't read is reported by the parser.  */
  return why ? reject_text (file, line, why, error) : true;
}

/* Rejects what PARSER could not read.  A byte that is no character has an
   offset, all else has a line.  */
static bool
reject_parser (const yaml_parser_t *parser, const char *file, const char *text,
               size_t len, GError **error)
{
  size_t line = parser->problem_mark.line + 1;
  g_autofree char *why
      = g_strdup_printf ("expected YAML text: %s",
                         parser->problem ? parser->problem : "unreadable");

  if (parser->error == YAML_READER_ERROR)
    for (size_t i = 0; i < len && i < parser->problem_offset; i++)
      line += text[i] == '\n';
  return reject_text (file, line, why, error);
}

/* libcyaml ignores all but the first document.  */
static bool
check_end (yaml_parser_t *parser, const char *file, const char *text,
           size_t len, GError **error)
{
  yaml_document_t doc;
  yaml_node_t *root;
  size_t line = 0;

  if (!yaml_parser_load (parser, &doc))
    return reject_parser (parser, file, text, len, error);
  root = yaml_document_get_root_node (&doc);
  if (root)
    line = root->start_mark.line + 1;
  yaml_document_delete (&doc);
  if (!line)
    return true;
  return reject_text (file, line, "expected one document, found another",
                      error);
}

static bool
check_document (yaml_parser_t *parser, const cyaml_schema_value_t *schema,
                const char *file, const char *text, size_t len, GError **error)
{
  shape_t shape = { .file = file, .error = error };
  yaml_node_t *root;
  bool ok;

  if (!yaml_parser_load (parser, &shape.doc))
    return reject_parser (parser, file, text, len, error);
  root = yaml_document_get_root_node (&shape.doc);
  if (root)
    ok = check_value (&shape, schema, root, NULL)
         && check_end (parser, file, text, len, error);
  else
    ok = reject_text (file, 1, "expected YAML text, found only comments",
                      error);
  yaml_document_delete (&shape.doc);
  return ok;
}

bool
yaml_check (const cyaml_schema_value_t *schema, const char *file,
            const char *text, size_t len, GError **error)
{
  yaml_parser_t parser;
  bool ok;

  if (len == 0)
    return reject_text (file, 1, "expected YAML text, found an empty file",
                        error);
  if (memchr (text, '\0', len))
    return reject_text (file, 1, "expected YAML text, found a NUL byte",
                        error);
  if (!check_tokens (file, text, len, error))
    return false;
  if (!yaml_parser_initialize (&parser))
    return reject_text (file, 1, "out of memory", error);
  yaml_parser_set_input_string (&parser, (const unsigned char *)text, len);
  ok = check_document (&parser, schema, file, text, len, error);
  yaml_parser_delete (&parser);
  return ok;
}

#include "yamlload.h"
#include <stdarg.h>
#include <string.h>
#include <yaml.h>

/* A document that is validated against a schema.  libcyaml's errors name
   neither the list entry nor what was expected, and it reads "1.5" as 1 and
   any word as true.  So the text is validated here before it is loaded.  */
typedef struct validation
{
  const char *file;
  yaml_document_t doc;
  GError **error;
} validation_t;

/* The path of a value in the document: FIELD of PARENT, or the entry at INDEX
   of PARENT if FIELD is NULL.  */
typedef struct node_path
{
  const struct node_path *parent;
  const char *field;
  uint32_t index;
} node_path_t;

static bool check_value (validation_t *ctx, const cyaml_schema_value_t *schema,
                         yaml_node_t *node, const node_path_t *path);

static void
append_path (GString *text, const node_path_t *path)
{
  if (!path)
    return;
  append_path (text, path->parent);
  if (path->field)
    g_string_append_printf (text, "%s%s", path->parent ? "." : "",
                            path->field);
  else
    g_string_append_printf (text, "[%u]", path->index);
}

char *
yaml_mask_controls (char *text)
{
  for (char *c = text; *c; c++)
    if (g_ascii_iscntrl (*c))
      *c = '?';
  return text;
}

static bool
reject_text (const char *file, size_t line, const char *message,
             GError **error)
{
  g_autofree char *masked = g_strdup (message);

  g_set_error (error, CONF_ERROR, CONF_ERROR_SCHEMA, "%s:%zu: %s", file, line,
               yaml_mask_controls (masked));
  return false;
}

static bool G_GNUC_PRINTF (4, 5)
    reject (const validation_t *ctx, const yaml_node_t *node,
            const node_path_t *path, const char *format, ...)
{
  g_autoptr (GString) message = g_string_new (NULL);
  va_list args;

  append_path (message, path);
  g_string_append (message, path ? ": " : "");
  va_start (args, format);
  g_string_append_vprintf (message, format, args);
  va_end (args);
  return reject_text (ctx->file, node->start_mark.line + 1, message->str,
                      ctx->error);
}

/* The content of NODE for an error message.  */
static const char *
describe_node (const yaml_node_t *node)
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
reject_type (const validation_t *ctx, const yaml_node_t *node,
             const node_path_t *path, const char *expected)
{
  const char *quote
      = node->type == YAML_SCALAR_NODE && node->data.scalar.length ? "\"" : "";

  return reject (ctx, node, path, "expected %s, found %s%.80s%s", expected,
                 quote, describe_node (node), quote);
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
reject_unknown_field (const validation_t *ctx,
                      const cyaml_schema_field_t *fields,
                      const yaml_node_t *name, const node_path_t *path)
{
  g_autoptr (GString) names = g_string_new (NULL);
  node_path_t child = { .parent = path, .field = describe_node (name) };

  for (; fields->key; fields++)
    g_string_append_printf (names, "%s%s", names->len ? ", " : "",
                            fields->key);
  return reject (ctx, name, &child, "unknown field, expected one of %s",
                 names->str);
}

/* Whether MAP has all required fields and no duplicates.  */
static bool
check_fields (const validation_t *ctx, const cyaml_schema_field_t *fields,
              yaml_node_t *map, const node_path_t *path)
{
  for (; fields->key; fields++)
    {
      node_path_t child = { .parent = path, .field = fields->key };
      uint32_t count = 0;

      for (yaml_node_pair_t *pair = map->data.mapping.pairs.start;
           pair < map->data.mapping.pairs.top; pair++)
        {
          yaml_node_t *name = yaml_document_get_node (
              (yaml_document_t *)&ctx->doc, pair->key);

          if (strcmp ((const char *)name->data.scalar.value, fields->key) == 0
              && ++count > 1)
            return reject (ctx, name, &child,
                           "expected the field once, found it again");
        }
      if (count == 0 && !(fields->value.flags & CYAML_FLAG_OPTIONAL))
        return reject (ctx, map, &child, "expected this field, found none");
    }
  return true;
}

static bool
check_mapping (validation_t *ctx, const cyaml_schema_value_t *schema,
               yaml_node_t *map, const node_path_t *path)
{
  const cyaml_schema_field_t *fields = schema->mapping.fields;

  if (map->type != YAML_MAPPING_NODE)
    return reject_type (ctx, map, path, "a mapping");
  for (yaml_node_pair_t *pair = map->data.mapping.pairs.start;
       pair < map->data.mapping.pairs.top; pair++)
    {
      yaml_node_t *name = yaml_document_get_node (&ctx->doc, pair->key);
      yaml_node_t *value = yaml_document_get_node (&ctx->doc, pair->value);
      const cyaml_schema_field_t *field = find_field (fields, name);
      node_path_t child = { .parent = path };

      if (!field)
        return reject_unknown_field (ctx, fields, name, path);
      child.field = field->key;
      if (!check_value (ctx, &field->value, value, &child))
        return false;
    }
  return check_fields (ctx, fields, map, path);
}

static bool
check_sequence (validation_t *ctx, const cyaml_schema_value_t *schema,
                yaml_node_t *list, const node_path_t *path)
{
  size_t count;

  if (list->type != YAML_SEQUENCE_NODE)
    return reject_type (ctx, list, path, "a list");
  count = (size_t)(list->data.sequence.items.top
                   - list->data.sequence.items.start);
  if (count < schema->sequence.min || count > schema->sequence.max)
    return reject (ctx, list, path, "expected %u to %u entries, found %zu",
                   schema->sequence.min, schema->sequence.max, count);
  for (uint32_t i = 0; i < count; i++)
    {
      yaml_node_t *entry = yaml_document_get_node (
          &ctx->doc, list->data.sequence.items.start[i]);
      node_path_t child = { .parent = path, .index = i };

      if (!check_value (ctx, schema->sequence.entry, entry, &child))
        return false;
    }
  return true;
}

static bool
check_uint (const validation_t *ctx, uint32_t bytes, const yaml_node_t *node,
            const node_path_t *path)
{
  uint64_t max = bytes < 8 ? (UINT64_C (1) << (8 * bytes)) - 1 : UINT64_MAX;
  g_autofree char *expected
      = g_strdup_printf ("a whole number from 0 to %" PRIu64, max);

  if (node->type == YAML_SCALAR_NODE
      && g_ascii_string_to_unsigned ((const char *)node->data.scalar.value, 10,
                                     0, max, NULL, NULL))
    return true;
  return reject_type (ctx, node, path, expected);
}

static bool
check_bool (const validation_t *ctx, const yaml_node_t *node,
            const node_path_t *path)
{
  if (node->type == YAML_SCALAR_NODE
      && (strcmp ((const char *)node->data.scalar.value, "true") == 0
          || strcmp ((const char *)node->data.scalar.value, "false") == 0))
    return true;
  return reject_type (ctx, node, path, "true or false");
}

static bool
check_float (const validation_t *ctx, const yaml_node_t *node,
             const node_path_t *path)
{
  const char *text = (const char *)node->data.scalar.value;
  char *rest = NULL;

  if (node->type == YAML_SCALAR_NODE && text[0] != '\0')
    {
      g_ascii_strtod (text, &rest);
      if (*rest == '\0')
        return true;
    }
  return reject_type (ctx, node, path, "a number");
}

static bool
check_string (const validation_t *ctx, const cyaml_schema_value_t *schema,
              const yaml_node_t *node, const node_path_t *path)
{
  if (node->type != YAML_SCALAR_NODE)
    return reject_type (ctx, node, path, "text");
  if (strlen ((const char *)node->data.scalar.value)
      != node->data.scalar.length)
    return reject (ctx, node, path, "expected text, found a NUL byte");
  if (node->data.scalar.length >= schema->string.min
      && node->data.scalar.length <= schema->string.max)
    return true;
  if (schema->string.min == schema->string.max)
    return reject (ctx, node, path, "expected %u bytes, found %zu",
                   schema->string.min, node->data.scalar.length);
  return reject (ctx, node, path, "expected %u to %u bytes, found %zu",
                 schema->string.min, schema->string.max,
                 node->data.scalar.length);
}

static bool
check_value (validation_t *ctx, const cyaml_schema_value_t *schema,
             yaml_node_t *node, const node_path_t *path)
{
  switch (schema->type)
    {
    case CYAML_MAPPING:
      return check_mapping (ctx, schema, node, path);
    case CYAML_SEQUENCE:
      return check_sequence (ctx, schema, node, path);
    case CYAML_UINT:
      return check_uint (ctx, schema->data_size, node, path);
    case CYAML_BOOL:
      return check_bool (ctx, node, path);
    case CYAML_FLOAT:
      return check_float (ctx, node, path);
    case CYAML_STRING:
      return check_string (ctx, schema, node, path);
    case CYAML_INT:
    case CYAML_ENUM:
    case CYAML_FLAGS:
    case CYAML_BITFIELD:
    case CYAML_SEQUENCE_FIXED:
    case CYAML_IGNORE:
    case CYAML__TYPE_COUNT:
      break; /* not used in any schema */
    }
  return reject (ctx, node, path, "expected no such field");
}

/* Rejects aliases, anchors and tags, which yaml_load doesn't support.  */
static bool
check_tokens (const char *file, const char *text, size_t len, GError **error)
{
  yaml_parser_t parser;
  yaml_token_t token;
  yaml_token_type_t type = YAML_NO_TOKEN;
  const char *message = NULL;
  size_t line = 0;

  if (!yaml_parser_initialize (&parser))
    return reject_text (file, 1, "out of memory", error);
  yaml_parser_set_input_string (&parser, (const unsigned char *)text, len);
  while (!message && type != YAML_STREAM_END_TOKEN
         && yaml_parser_scan (&parser, &token))
    {
      type = token.type;
      line = token.start_mark.line + 1;
      if (type == YAML_ALIAS_TOKEN || type == YAML_ANCHOR_TOKEN
          || type == YAML_TAG_TOKEN)
        message = "expected plain YAML, found an alias, an anchor or a tag";
      yaml_token_delete (&token);
    }
  yaml_parser_delete (&parser);
  /* The parser reports scanner errors.  */
  return message ? reject_text (file, line, message, error) : true;
}

/* Reports the error of PARSER.  Reader errors, such as invalid UTF-8, have an
   offset instead of a line.  */
static bool
reject_parser (const yaml_parser_t *parser, const char *file, const char *text,
               size_t len, GError **error)
{
  size_t line = parser->problem_mark.line + 1;
  g_autofree char *message
      = g_strdup_printf ("expected YAML text: %s",
                         parser->problem ? parser->problem : "unreadable");

  if (parser->error == YAML_READER_ERROR)
    for (size_t i = 0; i < len && i < parser->problem_offset; i++)
      line += text[i] == '\n';
  return reject_text (file, line, message, error);
}

/* Rejects further documents, which libcyaml would ignore.  */
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
  validation_t ctx = { .file = file, .error = error };
  yaml_node_t *root;
  bool ok;

  if (!yaml_parser_load (parser, &ctx.doc))
    return reject_parser (parser, file, text, len, error);
  root = yaml_document_get_root_node (&ctx.doc);
  if (root)
    ok = check_value (&ctx, schema, root, NULL)
         && check_end (parser, file, text, len, error);
  else
    ok = reject_text (file, 1, "expected YAML text, found only comments",
                      error);
  yaml_document_delete (&ctx.doc);
  return ok;
}

bool
yaml_validate (const cyaml_schema_value_t *schema, const char *file,
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

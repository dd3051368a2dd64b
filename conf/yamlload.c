#include "yamlload.h"
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <yaml.h>

#define MESSAGE_BYTES 512

/* What libcyaml has logged about one load.  It logs the fault first and then
   a backtrace, innermost field first, with the line in the text.  */
typedef struct load_log
{
  char fault[MESSAGE_BYTES];
  char field[MESSAGE_BYTES];
  uint32_t line;
} load_log_t;

G_DEFINE_QUARK (conf - error, conf_error)

static void
keep_message (cyaml_log_t level, void *ctx, const char *format, va_list args)
{
  load_log_t *log = ctx;
  char text[MESSAGE_BYTES];
  const char *line;
  const char *part;

  if (level < CYAML_LOG_ERROR)
    return;
  vsnprintf (text, sizeof text, format, args);
  text[strcspn (text, "\n")] = '\0';
  line = strstr (text, "line: ");
  if (line)
    {
      if (log->line == 0)
        log->line = (uint32_t)strtoul (line + strlen ("line: "), NULL, 10);
      part = strstr (text, "in mapping field '");
      if (part && !log->field[0])
        {
          part += strlen ("in mapping field '");
          g_strlcpy (log->field, part, sizeof log->field);
          log->field[strcspn (log->field, "'")] = '\0';
        }
      return;
    }
  if (strstr (text, "Backtrace"))
    return;
  part = strstr (text, "Load: ");
  part = part ? part + strlen ("Load: ") : text;
  if (!log->fault[0])
    g_strlcpy (log->fault, part, sizeof log->fault);
}

void *
yaml_load (const cyaml_schema_value_t *schema, const char *file,
           const char *text, size_t len, GError **error)
{
  load_log_t log = { 0 };
  cyaml_config_t config = {
    .log_fn = keep_message,
    .log_ctx = &log,
    .log_level = CYAML_LOG_ERROR,
    .mem_fn = cyaml_mem,
    .flags = CYAML_CFG_NO_ALIAS,
  };
  cyaml_data_t *data = NULL;
  cyaml_err_t result;

  if (len == 0 || memchr (text, '\0', len))
    {
      g_set_error (error, CONF_ERROR, CONF_ERROR_SCHEMA,
                   "%s:1: expected YAML text, found %s", file,
                   len == 0 ? "an empty file" : "a NUL byte");
      return NULL;
    }
  result = cyaml_load_data ((const uint8_t *)text, len, &config, schema, &data,
                            NULL);
  if (result == CYAML_OK && data)
    return data;
  g_set_error (error, CONF_ERROR, CONF_ERROR_SCHEMA, "%s:%u: %s%s%s%s", file,
               log.line ? log.line : 1, log.field[0] ? "field \"" : "",
               log.field, log.field[0] ? "\": " : "",
               log.fault[0] ? log.fault : cyaml_strerror (result));
  return NULL;
}

void
yaml_unload (const cyaml_schema_value_t *schema, void *data)
{
  cyaml_config_t config = { .mem_fn = cyaml_mem };

  cyaml_free (&config, schema, data, 0);
}

static yaml_node_t *
map_get (yaml_document_t *doc, yaml_node_t *map, const char *field)
{
  if (!map || map->type != YAML_MAPPING_NODE)
    return NULL;
  for (yaml_node_pair_t *pair = map->data.mapping.pairs.start;
       pair < map->data.mapping.pairs.top; pair++)
    {
      yaml_node_t *name = yaml_document_get_node (doc, pair->key);

      if (name && name->type == YAML_SCALAR_NODE
          && strcmp ((const char *)name->data.scalar.value, field) == 0)
        return yaml_document_get_node (doc, pair->value);
    }
  return NULL;
}

static yaml_node_t *
seq_get (yaml_document_t *doc, yaml_node_t *seq, uint32_t index)
{
  if (!seq || seq->type != YAML_SEQUENCE_NODE
      || (ptrdiff_t)index
             >= seq->data.sequence.items.top - seq->data.sequence.items.start)
    return NULL;
  return yaml_document_get_node (doc, seq->data.sequence.items.start[index]);
}

uint32_t
yaml_line (const char *text, size_t len, const char *list, uint32_t index,
           const char *field)
{
  yaml_parser_t parser;
  yaml_document_t doc;
  yaml_node_t *node;
  uint32_t line = 1;

  if (!yaml_parser_initialize (&parser))
    return line;
  yaml_parser_set_input_string (&parser, (const unsigned char *)text, len);
  if (yaml_parser_load (&parser, &doc))
    {
      node = map_get (&doc, yaml_document_get_root_node (&doc), list);
      if (node)
        line = (uint32_t)node->start_mark.line + 1;
      node = seq_get (&doc, node, index);
      if (node)
        line = (uint32_t)node->start_mark.line + 1;
      node = field ? map_get (&doc, node, field) : NULL;
      if (node)
        line = (uint32_t)node->start_mark.line + 1;
      yaml_document_delete (&doc);
    }
  yaml_parser_delete (&parser);
  return line;
}

#include "yamlload.h"
#include <string.h>
#include <yaml.h>

G_DEFINE_QUARK (conf - error, conf_error)

void *
yaml_load (const cyaml_schema_value_t *schema, const char *file,
           const char *text, size_t len, GError **error)
{
  cyaml_config_t config = { .mem_fn = cyaml_mem, .flags = CYAML_CFG_NO_ALIAS };
  cyaml_data_t *data = NULL;
  cyaml_err_t result;

  if (!yaml_validate (schema, file, text, len, error))
    return NULL;
  result = cyaml_load_data ((const uint8_t *)text, len, &config, schema, &data,
                            NULL);
  if (result == CYAML_OK && data)
    return data;
  g_set_error (error, CONF_ERROR, CONF_ERROR_SCHEMA, "%s:1: %s", file,
               cyaml_strerror (result));
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

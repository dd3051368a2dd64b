/* yamlload - loading YAML through libcyaml
   shape - check of a text against its schema, with errors that name the line

   Private to the package.  */

#ifndef CUMINPIN_YAMLLOAD_H
#define CUMINPIN_YAMLLOAD_H

#include "conf.h"
#include <cyaml/cyaml.h>

/* yaml_check - whether TEXT is one YAML document that fits SCHEMA.  */
bool yaml_check (const cyaml_schema_value_t *schema, const char *file,
                 const char *text, size_t len, GError **error);

/* yaml_load - TEXT as SCHEMA's data, or NULL and *ERROR.  */
void *yaml_load (const cyaml_schema_value_t *schema, const char *file,
                 const char *text, size_t len, GError **error);

/* yaml_unload - release DATA.  Not named yaml_free: libyaml exports a function
   of that name, calls it by that name and would find this one.  */
void yaml_unload (const cyaml_schema_value_t *schema, void *data);

/* yaml_plain - TEXT with its control characters replaced: an error is one line
   in the log.  */
char *yaml_plain (char *text);

/* yaml_line - the line of entry INDEX of the top-level list LIST, or of its
   FIELD; of what is there of these.  1 when nothing is.  */
uint32_t yaml_line (const char *text, size_t len, const char *list,
                    uint32_t index, const char *field);

#endif

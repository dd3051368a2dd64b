/* yamlload - loads YAML with libcyaml
   schema - validates YAML against a schema, with line numbers in errors

   For the packages that define file formats: conf and entry.  */

#ifndef CUMINPIN_YAMLLOAD_H
#define CUMINPIN_YAMLLOAD_H

#include "conf.h"
#include <cyaml/cyaml.h>

/* yaml_validate - whether TEXT is a single YAML document that matches
   SCHEMA.  */
bool yaml_validate (const cyaml_schema_value_t *schema, const char *file,
                    const char *text, size_t len, GError **error);

/* yaml_load - parse TEXT into the data type of SCHEMA.  NULL and *ERROR when
   it is rejected.  Release with yaml_unload.  */
void *yaml_load (const cyaml_schema_value_t *schema, const char *file,
                 const char *text, size_t len, GError **error);

/* yaml_unload - release DATA.  Not named yaml_free, because libyaml exports
   and calls a function of that name, which this one would override.  */
void yaml_unload (const cyaml_schema_value_t *schema, void *data);

/* yaml_mask_controls - replace the control characters in TEXT, so that an
   error stays on one line of the log.  Returns TEXT.  */
char *yaml_mask_controls (char *text);

/* yaml_line - the line of FIELD in entry INDEX of the top-level list LIST.
   The line of the entry or of the list if the field or the entry doesn't
   exist, and 1 if the list doesn't either.  FIELD may be NULL.  */
uint32_t yaml_line (const char *text, size_t len, const char *list,
                    uint32_t index, const char *field);

#endif

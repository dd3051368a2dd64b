/* explainjson - encoding of explanations

   NAME
     explain_json, explain_error_json

   DESCRIPTION
     docs/design/explain.md lists the fields.  Names that aren't valid UTF-8
   are shown as "?".  */

#ifndef CUMINPIN_EXPLAINJSON_H
#define CUMINPIN_EXPLAINJSON_H

#include "explain.h"

/* explain_json - EXPLANATION as one JSON object; the caller frees it.  */
char *explain_json (const explanation_t *explanation);

/* explain_error_json - an object with the error WHAT, and with the name of the
   OWNER unless it is NULL; the caller frees it.  WHAT may quote a part of a
   request: bytes of it that aren't valid UTF-8 are replaced.  */
char *explain_error_json (const char *what, const char *owner);

#endif

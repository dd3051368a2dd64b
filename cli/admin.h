/* admin - questions to the daemons' admin servers

   Private to the package.  */

#ifndef CUMINPIN_ADMIN_H
#define CUMINPIN_ADMIN_H

#include "base.h"
#include <jansson.h>

/* What one daemon answered.  */
typedef struct admin_response
{
  const char *address;
  json_t *json; /* NULL when there is no usable answer */
  char *error;  /* why */
} admin_response_t;

/* admin_ask - GET PATH of all COUNT daemons at once; ANSWERS has an entry for
   each, to be released with admin_clear.  */
void admin_get (const char *const *addresses, uint32_t count, const char *path,
                admin_response_t *responses);

void admin_clear (admin_response_t *responses, uint32_t count);

/* admin_wait_version - ask for /config until all report VERSION or a later
   one, at most WAIT_MS.  ANSWERS are the last ones.  */
bool admin_wait_version (const char *const *addresses, uint32_t count,
                         uint64_t version, uint32_t wait_ms,
                         admin_response_t *responses);

/* admin_version - the version in an answer to /config; 0 without one.  */
uint64_t admin_response_version (const admin_response_t *response);

/* admin_report - the COUNT answers to /config as an array of objects.  */
json_t *admin_responses_json (const admin_response_t *responses,
                              uint32_t count);

#endif

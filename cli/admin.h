/* admin - HTTP client of the daemons' admin servers

   Private to the package.  */

#ifndef CUMINPIN_ADMIN_H
#define CUMINPIN_ADMIN_H

#include "base.h"
#include <jansson.h>

/* The response of one daemon.  */
typedef struct admin_response
{
  const char *address;
  long status;  /* of HTTP; 0: there was no response */
  json_t *json; /* NULL on failure */
  char *error;  /* why the request failed; NULL on success */
} admin_response_t;

/* admin_get - sends GET PATH to all COUNT daemons in parallel and stores one
   response for each in RESPONSES.  Release them with admin_clear.  */
void admin_get (const char *const *addresses, uint32_t count, const char *path,
                admin_response_t *responses);

/* admin_post - sends POST PATH with LEN bytes of BODY, which may be NULL, to
   the address of RESPONSE, and sets the rest of it.  A response with a status
   other than 200 may have JSON, too.  */
void admin_post (const char *path, const void *body, size_t len,
                 admin_response_t *response);

void admin_clear (admin_response_t *responses, uint32_t count);

/* admin_wait_version - polls /config until all daemons report VERSION or a
   later one, for at most WAIT_MS.  RESPONSES holds the last round.  Returns
   whether all reported it.  */
bool admin_wait_version (const char *const *addresses, uint32_t count,
                         uint64_t version, uint32_t wait_ms,
                         admin_response_t *responses);

/* admin_response_version - returns the configuration version in a response to
   /config; 0 without one.  */
uint64_t admin_response_version (const admin_response_t *response);

/* admin_responses_json - returns the COUNT responses to /config as an array of
   objects.  */
json_t *admin_responses_json (const admin_response_t *responses,
                              uint32_t count);

#endif

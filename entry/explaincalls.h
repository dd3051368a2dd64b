/* explaincalls - POST /explain on the ready address

   NAME
     explaincalls_request, explaincalls_completed

   DESCRIPTION
     Reads a request to explain a job, has the core answer it while the
     connection is suspended, and encodes the answer.

       POST /explain?id=ID                            an accepted job
       POST /explain?queue=QUEUE[&workspace=WS][&id=ID]   the job in the body

     200: an explanation.  400: malformed.  404: an explanation that says that
     the queue, the workspace or the job is unknown.  409: another daemon is
   the owner; its name is in the field "owner".  413: the body is too large.
   503 with Retry-After: no owner is known, or too many requests wait.

   THREADS
     Called from the callbacks of the operators' server.  */

#ifndef CUMINPIN_EXPLAINCALLS_H
#define CUMINPIN_EXPLAINCALLS_H

#include "conns.h"

/* Largest body: that of a legal job (max_body_bytes of the platform).  */
#define EXPLAIN_BODY_BYTES_MAX 262144

/* explaincalls_request - handle a part of a request, as the server's handler
   gets it; *CTX is NULL at first.  METHOD and VERSION are the server's own
   pointers (headers_check).  STRICT: ambiguous requests are refused.  */
enum MHD_Result explaincalls_request (core_t *core, const readmodel_t *model,
                                      bool strict, struct MHD_Connection *conn,
                                      const char *method, const char *version,
                                      const char *data, size_t *len,
                                      void **ctx);

/* explaincalls_completed - free what CTX holds.  */
void explaincalls_completed (void *ctx);

#endif

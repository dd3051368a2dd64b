/* session - the shared state as one call of the command sees it

   Private to the package.  */

#ifndef CUMINPIN_SESSION_H
#define CUMINPIN_SESSION_H

#include "logstore.h"
#include "wire.h"

#define SESSION_ERROR (session_error_quark ())
GQuark session_error_quark (void);

typedef enum session_error
{
  SESSION_ERROR_LOG,     /* the log does not answer; nothing was done */
  SESSION_ERROR_BEHIND,  /* the log holds a record of a newer cuminpin */
  SESSION_ERROR_GAP,     /* records expired and no snapshot covers them */
  SESSION_ERROR_REFUSED, /* the log refused the record */
  SESSION_ERROR_UNKNOWN  /* the record may have taken effect or may yet */
} session_error_t;

typedef struct session
{
  platform_t *platform;
  state_t *state;
  uint64_t retain_version; /* configuration to keep when the fold passes it */
  config_t *retained_config; /* NULL when it was not seen */
} session_t;

/* session_open - fold the newest snapshot and the tail of the log of the
   platform at URL.  Keeps the configuration KEEP_VERSION if it passes it.  */
session_t *session_open (const char *url, uint64_t retain_version,
                         GError **error);

void session_close (session_t *session);

/* session_commit - append REC, once whatever is lost on the way, and read the
   log until its *VERDICT is known.  */
bool session_commit (session_t *session, const rec_t *rec, verdict_t *verdict,
                     GError **error);

#endif

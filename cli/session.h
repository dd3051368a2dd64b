/* session - the shared state during one invocation of the command

   Private to the package.  */

#ifndef CUMINPIN_SESSION_H
#define CUMINPIN_SESSION_H

#include "logstore.h"
#include "wire.h"

#define SESSION_ERROR (session_error_quark ())
GQuark session_error_quark (void);

typedef enum session_error
{
  SESSION_ERROR_LOG,    /* the log is unreachable; nothing was changed */
  SESSION_ERROR_BEHIND, /* the log holds a record of a newer version of
                           cuminpin */
  SESSION_ERROR_GAP,    /* records expired that no snapshot covers */
  SESSION_ERROR_REFUSED,
  SESSION_ERROR_UNKNOWN /* the record may have taken effect, or still may */
} session_error_t;

typedef struct session
{
  platform_t *platform;
  state_t *state;
  uint64_t retain_version;   /* version to retain; 0: none */
  config_t *retained_config; /* NULL if the log did not hold it */
} session_t;

/* session_open - folds the newest snapshot and the records after it from the
   log of the platform at URL.  Retains the configuration RETAIN_VERSION if it
   is among them.  */
session_t *session_open (const char *url, uint64_t retain_version,
                         GError **error);

void session_close (session_t *session);

/* session_commit - appends REC, retrying lost appends under the same id, and
   reads the log until *VERDICT is known.  */
bool session_commit (session_t *session, const rec_t *rec, verdict_t *verdict,
                     GError **error);

#endif

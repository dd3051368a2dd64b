/* report - the shared state as tables

   Private to the package.  */

#ifndef CUMINPIN_REPORT_H
#define CUMINPIN_REPORT_H

#include "state.h"
#include <jansson.h>

/* report_state - returns an object with the version, the offset and the arrays
   pools, waves, teams and entry_hosts.  */
json_t *report_state (const state_t *state);

#endif

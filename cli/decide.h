/* decide - decisions of the verbs and the meaning of verdicts, without input
   or output

   Private to the package.  */

#ifndef CUMINPIN_DECIDE_H
#define CUMINPIN_DECIDE_H

#include "state.h"

typedef enum wave_action
{
  ACTION_START,
  ACTION_PAUSE,
  ACTION_RESUME,
  ACTION_ABANDON
} wave_action_t;

/* wave_action_parse - sets *ACTION to the action called NAME; false if there
   is none.  */
bool wave_action_parse (const char *name, wave_action_t *action);

/* wave_next_phase - sets *PHASE to the phase that WAVE enters on ACTION.
   Returns NULL, or the reason why the action is not allowed.  WAVE is NULL if
   the configuration has no such wave.  */
const char *wave_next_phase (const wave_state_t *wave, wave_action_t action,
                             wave_phase_t *phase);

/* refusal_message - returns why a record of KIND got VERDICT, for its author;
   NULL if it was applied.  */
const char *refusal_message (rec_kind_t kind, verdict_t verdict);

/* name_is_valid - whether NAME is accepted as a name in fleet files.  */
bool name_is_valid (const char *name);

#endif

/* decide - what a verb may do and what a verdict means; no input or output

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

/* decide_action - the action called NAME; false when there is none.  */
bool wave_action_parse (const char *name, wave_action_t *action);

/* decide_wave - the phase that WAVE enters on ACTION.  NULL, or the reason why
   it can't; WAVE may be NULL.  */
const char *wave_next_phase (const wave_state_t *wave, wave_action_t action,
                             wave_phase_t *phase);

/* decide_refusal - why a record of KIND got VERDICT, in words for its author;
   NULL when it was applied.  */
const char *refusal_message (rec_kind_t kind, verdict_t verdict);

/* decide_name - whether NAME may stand for an object: what fleet files
   accept.  */
bool name_is_valid (const char *name);

#endif

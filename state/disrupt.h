/* disrupt - fold of records about hosts and waves; private to this package  */

#ifndef CUMINPIN_DISRUPT_H
#define CUMINPIN_DISRUPT_H

#include "state.h"

verdict_t disrupt_drain (state_t *state, const rec_drain_t *rec);
verdict_t disrupt_host_state (state_t *state, const rec_host_state_t *rec);
verdict_t disrupt_host_move (state_t *state, const rec_host_move_t *rec);
verdict_t disrupt_wave (state_t *state, const rec_wave_t *rec);

#endif

/* machines - the platform's list of machines, and their upkeep

   NAME
     machines

   DESCRIPTION
     The `cloud_api` of PROTOCOL.md, for one pool of machines with a minion
     each: GET /machines, POST /machine-upkeep and POST /machine-move.  Fencing
     tokens are checked for each machine when an order is carried out.  An
     upkeep that begins while as many machines of the wave as its cap are down
     for theirs is counted.  */

#ifndef CUMINPIN_MACHINES_H
#define CUMINPIN_MACHINES_H

#include "minions.h"

typedef struct machines machines_t;

/* machines_start - COUNT machines of POOL, with the minions of MINIONS; a wave
   may have CAP of them down.
   machines_set_cap - the same of one WAVE, from 0 to 15.
   machines_is_back - whether MACHINE is up, and its last upkeep was for
   WAVE.  */
machines_t *machines_start (bed_t *bed, minions_t *minions, const char *pool,
                            uint32_t count, uint32_t cap);
void machines_stop (machines_t *machines);
uint16_t machines_port (machines_t *machines);
void machines_set_cap (machines_t *machines, uint32_t wave, uint32_t cap);
bool machines_is_back (machines_t *machines, uint32_t machine, uint32_t wave);

/* machines_delay_upkeep - the next order of an upkeep gets no answer, and is
   carried out 6 s later.
   machines_delayed - the machine of that order, or -1.  */
void machines_delay_upkeep (machines_t *machines);
int machines_delayed (machines_t *machines);

/* machines_begun - upkeeps that have begun.
   machines_over_cap - of those, the ones that began with the cap used up.  */
uint32_t machines_begun (machines_t *machines);
uint32_t machines_over_cap (machines_t *machines);

#endif

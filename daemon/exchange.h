/* exchange - the share gate and the loans of the peer thread

   Private to the package.  */

#ifndef CUMINPIN_EXCHANGE_H
#define CUMINPIN_EXCHANGE_H

#include "control.h"

/* Decides when raised shares may be applied.  */
typedef struct gate
{
  const settings_t *settings;
  replica_t *replica;
  const transport_t *transport;
  int64_t started_us;
  share_gate_t share;
  bool quarantined; /* as last logged */
} gate_t;

void gate_init (gate_t *gate, const settings_t *settings, replica_t *replica,
                const transport_t *transport);

/* gate_is_open - whether raised shares of VIEW may be applied.  Call between
   rcu_read_lock and rcu_read_unlock.  */
bool gate_is_open (gate_t *gate, const view_t *view, int64_t now_us);

/* Borrows and lends teams' permits and upstreams' slots.  */
typedef struct lending lending_t;

lending_t *lending_new (const settings_t *settings, loop_config_t *config,
                        transport_t *transport);
void lending_free (lending_t *lending);

/* lending_request - requests loans from live peers for the permits and
   slots missed since the last call.  Call between rcu_read_lock and
   rcu_read_unlock.  */
void lending_request (lending_t *lending, const view_t *view, int64_t now_us);

/* lending_receive - handles the LOAN_REQUEST or LOAN in MSG from PEER.  */
void lending_receive (lending_t *lending, const char *peer, const msg_t *msg);

/* lending_tick - ends expired loans.  */
void lending_tick (lending_t *lending, int64_t now_us);

#endif

/* exchange - parts of the peer thread's work

   Private to the package.  */

#ifndef CUMINPIN_EXCHANGE_H
#define CUMINPIN_EXCHANGE_H

#include "control.h"

/* When raised shares may be held.  */
typedef struct gate
{
  const settings_t *settings;
  replica_t *replica;
  const transport_t *transport;
  int64_t started_us;
  share_gate_t share;
  bool quarantined; /* as told by the last event */
} gate_t;

void gate_init (gate_t *gate, const settings_t *settings, replica_t *replica,
                const transport_t *transport);

/* gate_is_open - whether raised shares of VIEW may be held.  Between
   rcu_read_lock and rcu_read_unlock.  */
bool gate_is_open (gate_t *gate, const view_t *view, int64_t now_us);

/* Loans of teams' permits and of upstreams' slots, asked for and given.  */
typedef struct lending lending_t;

lending_t *lending_new (const settings_t *settings, loop_config_t *config,
                        transport_t *transport);
void lending_free (lending_t *lending);

/* lending_request - ask live peers for what requests have missed since the
   last call.  Between rcu_read_lock and rcu_read_unlock.  */
void lending_request (lending_t *lending, const view_t *view, int64_t now_us);

/* lending_receive - MSG is a LOAN_REQUEST or LOAN from PEER.  */
void lending_receive (lending_t *lending, const char *peer, const msg_t *msg);

/* lending_tick - end loans whose time is over.  */
void lending_tick (lending_t *lending, int64_t now_us);

#endif

/* dispatch - by which way orders reach a worker

   NAME
     dispatch

   DESCRIPTION
     An owner of a large fleet has no time for a call to each worker several
     times a second.  Other daemons connect to it as relays: they make its
   calls and return the replies.  All decisions stay with the owner, whose
   fencing token each order carries.

     As many relays are in use as the workers need, the strongest of each data
     centre first.  A worker is reached through one relay, in its own data
     centre if there is one, so that connections are kept: the highest random
     weight decides, so the same relays and workers give the same ways at every
     owner.

     A relay that does not answer is not used for a while, and neither is the
     relay of a worker that it reports as unreachable: silence on one way is
     no silence of the worker.

     Names are interned.  Times are in microseconds on the boot clock.  */

#ifndef CUMINPIN_DISPATCH_H
#define CUMINPIN_DISPATCH_H

#include <glib.h>
#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>

/* DISPATCH_DIRECT_PER_CORE - workers that an owner with a full core calls
   itself: with 2.5 holds and 2 starts a second at 0.28 ms of a core each they
   take it a quarter of its time.
   DISPATCH_WORKERS_PER_RELAY - workers of one relay; they take it 4 % of a
   core.  */
#define DISPATCH_DIRECT_PER_CORE 200
#define DISPATCH_WORKERS_PER_RELAY 32
/* DISPATCH_SUSPECT_US - a relay that did not answer is not used for this time.
   DISPATCH_DETOUR_US - a worker that its relay could not reach is called
   directly for this time.  */
#define DISPATCH_SUSPECT_US 3000000
#define DISPATCH_DETOUR_US 2000000

typedef struct relay
{
  const char *name;
  const char *data_centre;
  uint32_t share_percent; /* CPU share of its host */
  int64_t suspect_until_us;
  bool in_use;
  void *link; /* of the caller */
} relay_t;

typedef enum route_kind
{
  ROUTE_DIRECT,
  ROUTE_RELAY
} route_kind_t;

typedef struct route
{
  route_kind_t kind;
  union
  {
    relay_t *relay; /* RELAY */
  } u;
} route_t;

typedef struct dispatch dispatch_t;

/* dispatch_new - for an owner with CPU_SHARE of a core.  */
dispatch_t *dispatch_new (double cpu_share);
void dispatch_free (dispatch_t *dispatch);

/* dispatch_add_relay - a relay has connected; one of the same name is
   replaced, and the caller closes its link before.
   dispatch_remove_relay - RELAY has disconnected; it is freed.  */
relay_t *dispatch_add_relay (dispatch_t *dispatch, const char *name,
                             const char *data_centre, uint32_t share_percent,
                             void *link);
void dispatch_remove_relay (dispatch_t *dispatch, relay_t *relay);
relay_t *dispatch_find_relay (const dispatch_t *dispatch, const char *name);

/* dispatch_set_workers - the number of workers in each data centre: an array
   of COUNT names and numbers.  */
typedef struct dispatch_centre
{
  const char *data_centre;
  uint32_t workers;
} dispatch_centre_t;

void dispatch_set_workers (dispatch_t *dispatch,
                           const dispatch_centre_t *centres, uint32_t count);

/* dispatch_note_silence - RELAY did not answer in time.
   dispatch_note_unreachable - the relay of WORKER could not reach it.  */
void dispatch_note_silence (dispatch_t *dispatch, relay_t *relay,
                            int64_t now_us);
void dispatch_note_unreachable (dispatch_t *dispatch, const char *worker,
                                int64_t now_us);

/* dispatch_route - the way of an order to WORKER in DATA_CENTRE.  */
route_t dispatch_route (dispatch_t *dispatch, const char *worker,
                        const char *data_centre, int64_t now_us);

/* dispatch_relays_in_use - for operators.  */
uint32_t dispatch_relays_in_use (const dispatch_t *dispatch);

#endif

/* pair - two transports with loans, connected over loopback in the same way as
   in cuminpind  */

#ifndef CUMINPIN_PEER_PAIR_H
#define CUMINPIN_PEER_PAIR_H

#include "../../test/run_suite.h"
#include "peer.h"
#include "wait.h"
#include <string.h>

typedef struct side
{
  transport_t *transport;
  loans_t *loans;
  escrow_t *escrow;             /* of team "blue" */
  atomic_bool ignores_messages; /* handles no messages */
  atomic_bool refuses_loans;    /* may not lend */
  atomic_bool has_queue;        /* its own requests are queued */
  bool up;
  uint32_t loans_received;
} side_t;

static side_t sides[2];
static bool no_ticks; /* for tests that set the time; set before pair_open */

/* Increments *COUNT and wakes the test.  */
static void
count_event (uint32_t *count)
{
  pthread_mutex_lock (&lock);
  (*count)++;
  pthread_cond_broadcast (&changed);
  pthread_mutex_unlock (&lock);
}

static bool
side_send (void *ctx, const char *peer, const msg_t *msg)
{
  return transport_send (((side_t *)ctx)->transport, peer, msg);
}

static bool
side_may_lend (void *ctx)
{
  return !((side_t *)ctx)->refuses_loans;
}

static bool
side_has_queue (void *ctx)
{
  return ((side_t *)ctx)->has_queue;
}

static escrow_t *
side_find_escrow (void *ctx, loan_kind_t kind, const char *name)
{
  return kind == LOAN_TEAM && strcmp (name, "blue") == 0
             ? ((side_t *)ctx)->escrow
             : NULL;
}

static void
side_borrowed (void *ctx, loan_kind_t kind, const char *name)
{
  ck_assert_int_eq (kind, LOAN_TEAM);
  ck_assert_str_eq (name, "blue");
  count_event (&((side_t *)ctx)->loans_received);
}

static void
side_message (void *ctx, const char *peer, uint64_t incarnation,
              const msg_t *msg)
{
  side_t *side = ctx;

  (void)incarnation;
  if (side->ignores_messages)
    return;
  loans_receive (side->loans, peer, msg, clock_mono_us (), clock_wall_ms ());
}

static void
side_peer (void *ctx, const char *peer, bool connected)
{
  side_t *side = ctx;

  (void)peer;
  pthread_mutex_lock (&lock);
  side->up = connected;
  pthread_cond_broadcast (&changed);
  pthread_mutex_unlock (&lock);
}

static void
side_tick (void *ctx, int64_t now_us)
{
  side_t *side = ctx;

  if (no_ticks)
    return;
  loans_tick (side->loans, now_us);
}

static void
side_open (side_t *side, const char *name)
{
  loans_config_t loans = { .send = side_send,
                           .find_escrow = side_find_escrow,
                           .may_lend = side_may_lend,
                           .has_queue = side_has_queue,
                           .on_borrowed = side_borrowed,
                           .ctx = side };
  transport_config_t config = { .name = name,
                                .data_centre = "north",
                                .incarnation = 1,
                                .secret = "secret",
                                .address = "127.0.0.1",
                                .on_message = side_message,
                                .on_peer = side_peer,
                                .on_tick = side_tick,
                                .ctx = side };

  *side = (side_t){ .escrow = escrow_new () };
  side->loans = loans_new (&loans);
  side->transport = transport_start (&config);
  ck_assert_ptr_nonnull (side->transport);
}

static void
side_close (side_t *side)
{
  transport_stop (side->transport);
  loans_free (side->loans);
  escrow_free (side->escrow);
}

static void
pair_open (void)
{
  entry_host_t host = { (char *)"e2", (char *)"north", (char *)"127.0.0.1" };

  side_open (&sides[0], "e1");
  side_open (&sides[1], "e2");
  host.peer_port = transport_port (sides[1].transport);
  transport_set_peers (sides[0].transport, &host, 1);
  wait_until (sides[0].up && sides[1].up);
}

static void
pair_close (void)
{
  side_close (&sides[0]);
  side_close (&sides[1]);
}

#endif

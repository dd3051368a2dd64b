/* owner - which daemon owns the decisions

   NAME
     owner

   DESCRIPTION
     One daemon at a time decides where tasks run.  The first claim in the log
     that follows the present epoch wins, so ownership needs no other service.
     The epoch is the fencing token of all orders.

     An owner shows that it is there by its records.  A daemon that sees none
     for a time first appends a probe: a store that is down or slow can't be
     taken for a lost owner, since the probe comes back through the same log
     that brings the owner's answer.  */

#ifndef CUMINPIN_OWNER_H
#define CUMINPIN_OWNER_H

#include "jobtab.h"

/* OWNER_RENEW_US - an owner with nothing to say renews so often.
   OWNER_SILENCE_US - a daemon probes an owner that was silent for so long: two
   renewals were lost.
   OWNER_ANSWER_US - an owner has so long to answer a probe; it reads the log
   by long poll, so an answer takes a few round trips to the store.  With both,
   a killed owner is replaced well inside a lease of its workers.
   OWNER_RETRY_US - probes and claims are repeated after so long.  */
#define OWNER_RENEW_US 250000
#define OWNER_SILENCE_US 600000
#define OWNER_ANSWER_US 450000
#define OWNER_RETRY_US 1500000

/* OWNER_LAG_TIMES - to silence and answer so many times the store's delay is
   added: a probe and its answer go through a store that may be slow, behind
   the appends of others.  No more than OWNER_LAG_MAX_US, and only for
   OWNER_LAG_KEPT_US after it was seen: a daemon with nothing to append does
   not see the store get well again.  */
#define OWNER_LAG_TIMES 4
#define OWNER_LAG_MAX_US 1500000
#define OWNER_LAG_KEPT_US 3000000

/* OWNER_STAGGER_US - how long a daemon with a whole core waits before it
   claims decisions that nobody owns; one with a part of a core waits longer in
   proportion, so that stronger hosts win.  */
#define OWNER_STAGGER_US 40000
/* Daemons of equal strength differ by up to so much.  */
#define OWNER_JITTER_US 60000

/* OWNER_WEAKER_PERCENT - an owner with less than this part of a daemon's share
   of a core is replaced by that daemon: claims race while the store is slow,
   and the decisions of a large fleet need a strong host.
   OWNER_SETTLE_US - not before the store was quick for so long.  */
#define OWNER_WEAKER_PERCENT 60
#define OWNER_SETTLE_US 700000

typedef enum owner_action
{
  OWNER_NONE,
  OWNER_PROBE,
  OWNER_CLAIM,
  OWNER_RENEW
} owner_action_t;

typedef struct owner
{
  const char *self;       /* this life of this daemon, as in its claims */
  int64_t stagger_us;     /* before it claims what nobody owns */
  uint32_t share_percent; /* of a core */
  int64_t epoch_us;       /* the epoch below was seen first */
  uint64_t epoch;         /* the one that the times below belong to */
  int64_t last_record_us; /* the owner's last record was folded; 0: this daemon
                      has not read the log to its end yet */
  int64_t probed_us;      /* a probe was folded; 0: none in force */
  int64_t asked_us;       /* own probe or claim was appended last */
  int64_t lag_us;     /* the store's delay, as this daemon saw it last ... */
  int64_t lag_at_us;  /* ... at this time */
  int64_t renewed_us; /* own record as owner was appended last */
  bool superseded;    /* a worker knows of a later epoch than the log says */
  bool may_claim;     /* false while stopping: it claims nothing */
} owner_t;

void owner_init (owner_t *owner, const char *self, double cpu_share,
                 uint32_t jitter_us);

/* owner_caught_up - TABLE holds all records there were at NOW_US.  */
void owner_caught_up (owner_t *owner, const jobtab_t *table, int64_t now_us);

/* owner_note_record - a record, folded as KIND at NOW_US, is in TABLE now;
   HOLDER is the one it names, if any.  */
void owner_note_record (owner_t *owner, const jobtab_t *table,
                        fold_kind_t kind, int64_t now_us);

/* owner_is_self - whether this daemon owns the decisions.  */
bool owner_is_self (const owner_t *owner, const jobtab_t *table);

/* owner_decides - whether this daemon decides: it is the owner, or it has
   given the decisions up and nobody has claimed them yet.  A claim fences it
   as it fences any owner before it.  */
bool owner_decides (const owner_t *owner, const jobtab_t *table);

/* owner_next - what to append now.  Calling it again before the record is
   folded gives nothing until OWNER_RETRY_US have passed.  */
owner_action_t owner_next (owner_t *owner, const jobtab_t *table,
                           int64_t now_us);

/* owner_set_store_delay - an append took LAG_US.  */
void owner_set_store_delay (owner_t *owner, int64_t lag_us, int64_t now_us);

/* owner_note_pause - this process stood still; what it measured means nothing.
 */
void owner_note_pause (owner_t *owner, int64_t now_us);

#endif

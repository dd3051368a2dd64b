/* owner - which daemon owns the scheduling decisions

   NAME
     owner

   DESCRIPTION
     One daemon at a time, the owner, decides where tasks run.  The first claim
     in the log that follows the current epoch wins, so the election needs
     nothing but the log.  The epoch is the fencing token of all orders.

     The owner's records serve as its heartbeat.  A daemon that has seen none
     for a while appends a probe before it claims.  The probe and the owner's
     answer pass through the same log, so an unavailable or slow store is not
     mistaken for a lost owner.

     The log takes one append after another, so the probes and claims of many
     daemons would hold up the records of the owner that they are about.  Their
     waits are spread by exponentially distributed timers, so that few are sent
     before the first one is read, whatever the number of daemons
     (J. Nonnenmacher, E. W. Biersack: Scalable feedback for large groups,
     IEEE/ACM Transactions on Networking 7(3), 1999).  */

#ifndef CUMINPIN_OWNER_H
#define CUMINPIN_OWNER_H

#include "jobtab.h"

/* OWNER_RENEW_US - interval of heartbeats of an owner that appends nothing
   else.
   OWNER_SILENCE_US - a daemon probes an owner that was silent for this time,
   in which two heartbeats were due.
   OWNER_ANSWER_TIMEOUT_US - time in which an owner answers a probe.  It reads
   the log by long poll, so an answer takes a few round trips to the store.
   OWNER_SILENCE_US and this together keep the replacement of a killed owner
   well within the lease of its workers (SCHED_LEASE_MS).
   OWNER_RETRY_US - probes and claims are repeated after this time.  */
#define OWNER_RENEW_US 250000
#define OWNER_SILENCE_US 600000
#define OWNER_ANSWER_TIMEOUT_US 450000
#define OWNER_RETRY_US 1500000

/* OWNER_DELAY_FACTOR - the limits for silence and answers are extended by the
   store's delay times this factor, because a probe and its answer may wait in
   a slow store behind other appends.
   OWNER_DELAY_MAX_US - limit of that extension.
   OWNER_DELAY_KEPT_US - a measured delay is dropped after this time: a daemon
   with nothing to append does not notice that the store has recovered.  */
#define OWNER_DELAY_FACTOR 4
#define OWNER_DELAY_MAX_US 1500000
#define OWNER_DELAY_KEPT_US 3000000

/* OWNER_SEEN_FACTOR - other daemons have read a record this many delays of the
   store after it was sent.
   OWNER_SPREAD_FACTOR - waits before probes and claims are spread over the
   store's delay times this factor.
   OWNER_SPREAD_MAX_US - limit of that time.
   OWNER_SPREAD_LOG - parameter of the timers: logarithm of the number of
   daemons for which they are meant.  With fewer or more daemons somewhat more
   records are sent, or the first one is later.
   OWNER_REFUSED_RETRY_US - a probe or claim that the store has refused is sent
   again after this time, and the spread.  */
#define OWNER_SEEN_FACTOR 3
#define OWNER_SPREAD_FACTOR 16
#define OWNER_SPREAD_MAX_US 5000000
#define OWNER_SPREAD_LOG 5.0
#define OWNER_REFUSED_RETRY_US 400000

/* OWNER_STAGGER_US - how long a daemon with a full core waits before it claims
   while there is no owner.  The wait grows in inverse proportion to the CPU
   share, so that daemons on faster hosts claim first.  */
#define OWNER_STAGGER_US 40000
/* Upper bound of the random part of the wait, which separates daemons with
   equal CPU shares.  */
#define OWNER_JITTER_US 60000

/* OWNER_WEAKER_PERCENT - a daemon replaces an owner whose CPU share is below
   this part of its own.  Claims race while the store is slow, so a slow host
   may win, but the decisions for a large fleet need a fast one.
   OWNER_TAKEOVER_WAIT_US - age of an epoch before such a replacement.  An
   owner is replaced only while the store is fast, that is, while the extension
   for the store's delay is below half of this time: then the daemon with the
   largest CPU share claims first.  */
#define OWNER_WEAKER_PERCENT 60
#define OWNER_TAKEOVER_WAIT_US 700000

/* OWNER_LINK_AGE_US - a link to the owner on which something was received
   within this time shows that its process runs. OWNER_LINKED_SILENCE_US -
   limit for the silence of such an owner in the log. In a slow store its
   records take that long; probes of all daemons would fill the queue there,
   and the owner's answer would come too late.  */
#define OWNER_LINK_AGE_US 900000
#define OWNER_LINKED_SILENCE_US 3000000

/* OWNER_INCOMPLETE_WAIT_US - a daemon that lacks records of the log waits this
   long after the owner's last record before it probes or claims.  Any daemon
   that has all records replaces the owner earlier.  */
#define OWNER_INCOMPLETE_WAIT_US 3500000

typedef enum owner_action
{
  OWNER_NONE,
  OWNER_PROBE,
  OWNER_CLAIM,
  OWNER_RENEW
} owner_action_t;

typedef struct owner
{
  const char *self;          /* holder name of this process */
  int64_t stagger_us;        /* wait before a claim while there is no owner */
  uint32_t share_percent;    /* CPU share of this daemon */
  double weight;             /* the same, relative to the smallest one */
  uint64_t hash;             /* of its name */
  uint64_t requests;         /* number of its probes and claims */
  int64_t epoch_seen_us;     /* when this daemon first saw the epoch */
  uint64_t epoch;            /* newest epoch that was read from the log */
  int64_t last_record_us;    /* when the owner's last record was folded; 0:
                                the log was not read to its end yet */
  int64_t probed_us;         /* when a probe was folded; 0: none is pending */
  uint32_t probes_read;      /* since then */
  bool probed_by_self;       /* the first of them is this daemon's */
  int64_t probe_us;          /* no probe before this time */
  int64_t claim_us;          /* no claim before this time */
  int64_t store_delay_us;    /* duration of the last append ... */
  int64_t store_delay_at_us; /* ... and when it was measured */
  int64_t read_delay_us;     /* the same for a read, without waiting for
                                records */
  int64_t read_delay_at_us;
  int64_t linked_us;     /* when something was last received from the
                            owner; 0: it is not linked, or can't append */
  int64_t renewed_us;    /* when this daemon last appended as owner */
  uint64_t closed_epoch; /* the owner of this one has closed its link */
  bool superseded;       /* a worker knows a higher epoch than the log shows */
  bool may_claim;        /* false while the daemon is stopping */
  bool incomplete; /* the table lacks records that the store has deleted */
} owner_t;

void owner_init (owner_t *owner, const char *self, double cpu_share,
                 uint32_t jitter_us);

/* owner_caught_up - TABLE holds all records that the log had at NOW_US.  */
void owner_caught_up (owner_t *owner, const jobtab_t *table, int64_t now_us);

/* owner_note_record - a record was folded into TABLE at NOW_US, with the
   result KIND.  */
void owner_note_record (owner_t *owner, const jobtab_t *table,
                        fold_kind_t kind, int64_t now_us);

/* owner_is_self - whether this daemon is the owner.  */
bool owner_is_self (const owner_t *owner, const jobtab_t *table);

/* owner_decides - whether this daemon decides: it is the owner, or it has
   resigned and there is no claim yet.  That claim fences it like any previous
   owner.  */
bool owner_decides (const owner_t *owner, const jobtab_t *table);

/* owner_note_own_probe - the probe that was folded last is this daemon's.  The
   daemon whose probe is the first one claims first if there is no answer.  */
void owner_note_own_probe (owner_t *owner);

/* owner_next - the record to append now.  Until that record is folded, further
   calls return OWNER_NONE for OWNER_RETRY_US.
   owner_note_refused - the store has not taken a probe or claim.  */
owner_action_t owner_next (owner_t *owner, const jobtab_t *table,
                           int64_t now_us);

void owner_note_refused (owner_t *owner, int64_t now_us);

/* owner_set_store_delay - an append took DELAY_US.
   owner_set_read_delay - a read took DELAY_US, apart from the time for which
   the store held it open.
   owner_store_delay_us - the longer one, as measured last; 0: not lately.  */
void owner_set_store_delay (owner_t *owner, int64_t delay_us, int64_t now_us);
void owner_set_read_delay (owner_t *owner, int64_t delay_us, int64_t now_us);
int64_t owner_store_delay_us (const owner_t *owner, int64_t now_us);

/* owner_set_link - HEARD_US is when something was last received on the link to
   the owner; 0: there is none, or the owner can't append.  */
void owner_set_link (owner_t *owner, int64_t heard_us);

/* owner_note_link_closed - the owner's process has closed the link, or has
   ended.  Its silence in the log is then not put down to a slow store.  */
void owner_note_link_closed (owner_t *owner);

/* owner_note_pause - this process was suspended, so its measured times are
   invalid.  */
void owner_note_pause (owner_t *owner, int64_t now_us);

#endif

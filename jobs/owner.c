#include "owner.h"
#include <math.h>
#include <string.h>

/* Smaller CPU shares count as this one, which bounds the wait before a
   claim.  */
#define CPU_SHARE_MIN 0.1

void
owner_init (owner_t *owner, const char *self, double cpu_share,
            uint32_t jitter_us)
{
  double share = MAX (cpu_share, CPU_SHARE_MIN);

  memset (owner, 0, sizeof *owner);
  owner->self = self;
  owner->share_percent = (uint32_t)(share * 100);
  owner->weight = share / CPU_SHARE_MIN;
  owner->hash = hash_bytes (self, strlen (self), 0);
  owner->stagger_us = (int64_t)(OWNER_STAGGER_US / share) + jitter_us;
  owner->may_claim = true;
}

bool
owner_decides (const owner_t *owner, const jobtab_t *table)
{
  return table->owner.holder && !owner->superseded
         && strcmp (table->owner.holder, owner->self) == 0;
}

bool
owner_is_self (const owner_t *owner, const jobtab_t *table)
{
  return !table->owner.released && owner_decides (owner, table);
}

int64_t
owner_store_delay_us (const owner_t *owner, int64_t now_us)
{
  int64_t delay_us = 0;

  if (now_us - owner->read_delay_at_us <= OWNER_DELAY_KEPT_US)
    delay_us = owner->read_delay_us;
  if (now_us - owner->store_delay_at_us <= OWNER_DELAY_KEPT_US)
    delay_us = MAX (delay_us, owner->store_delay_us);
  return delay_us;
}

static int64_t
delay_allowance (const owner_t *owner, int64_t now_us)
{
  return MIN (OWNER_DELAY_FACTOR * owner_store_delay_us (owner, now_us),
              OWNER_DELAY_MAX_US);
}

void
owner_set_store_delay (owner_t *owner, int64_t delay_us, int64_t now_us)
{
  owner->store_delay_us = delay_us;
  owner->store_delay_at_us = now_us;
}

void
owner_set_read_delay (owner_t *owner, int64_t delay_us, int64_t now_us)
{
  owner->read_delay_us = delay_us;
  owner->read_delay_at_us = now_us;
}

/* How much longer than the others this daemon waits with its next request: a
   timer with truncated exponential distribution.  A daemon with more CPU draws
   the least of as many numbers as its share is larger.  */
static int64_t
spread_us (const owner_t *owner, int64_t now_us)
{
  int64_t range_us
      = MIN (OWNER_SPREAD_FACTOR * owner_store_delay_us (owner, now_us),
             OWNER_SPREAD_MAX_US);
  uint64_t draw[] = { owner->epoch, owner->requests };
  uint64_t hash = hash_bytes (draw, sizeof draw, owner->hash);
  double unit = (double)(hash >> 11) / 9007199254740992.0; /* 2^53 */
  double least = 1 - pow (1 - unit, 1 / owner->weight);

  return (int64_t)((double)range_us * log1p (least * expm1 (OWNER_SPREAD_LOG))
                   / OWNER_SPREAD_LOG);
}

void
owner_note_record (owner_t *owner, const jobtab_t *table, fold_kind_t kind,
                   int64_t now_us)
{
  if (owner->last_record_us == 0)
    return; /* the log was not read to its end yet */
  if (owner->epoch != table->owner.epoch)
    {
      owner->epoch = table->owner.epoch;
      owner->epoch_seen_us = now_us;
      owner->superseded = false;
      owner->probed_us = 0;
    }
  switch (kind)
    {
    case FOLD_CLAIMED:
    case FOLD_RENEWED:
    case FOLD_PROGRESS:
    case FOLD_RELEASED:
      owner->last_record_us = now_us;
      owner->probed_us = 0;
      return;
    case FOLD_PROBED:
      if (owner_is_self (owner, table))
        owner->renewed_us = 0; /* renew immediately */
      else if (owner->probed_us == 0)
        {
          owner->probed_us = now_us;
          owner->probes_read = 1;
          owner->probed_by_self = false;
          owner->claim_us = 0;
          /* No other probe is needed.  */
          owner->probe_us
              = now_us + OWNER_RETRY_US + delay_allowance (owner, now_us);
        }
      else
        owner->probes_read++;
      return;
    case FOLD_NOTHING:
    case FOLD_DENIED:
    case FOLD_VOID:
    case FOLD_SUPERSEDED:
    case FOLD_SUBMITTED:
    case FOLD_CANCELLED:
      return;
    }
}

/* Whether the owner has much less CPU than this daemon, and the store is fast
   enough for the daemon with the largest share to claim first.  */
static bool
owner_is_weak (const owner_t *owner, const jobtab_t *table, int64_t now_us)
{
  uint32_t share = holder_share_percent (table->owner.holder);

  if (share > 0)
    share = MAX (share, (uint32_t)(CPU_SHARE_MIN * 100));
  return share > 0 && share * 100 < owner->share_percent * OWNER_WEAKER_PERCENT
         && delay_allowance (owner, now_us) < OWNER_TAKEOVER_WAIT_US / 2
         && now_us - owner->epoch_seen_us
                >= OWNER_TAKEOVER_WAIT_US + owner->stagger_us;
}

void
owner_set_link (owner_t *owner, int64_t heard_us)
{
  owner->linked_us = heard_us;
}

void
owner_note_link_closed (owner_t *owner)
{
  owner->closed_epoch = owner->epoch;
}

void
owner_note_own_probe (owner_t *owner)
{
  owner->probed_by_self |= owner->probed_us != 0 && owner->probes_read == 1;
}

/* Until when the silence of the owner in the log means nothing.  */
static int64_t
silence_end_us (const owner_t *owner, int64_t now_us)
{
  int64_t end_us = owner->last_record_us + OWNER_SILENCE_US;
  int64_t linked_end_us
      = MIN (owner->linked_us + OWNER_LINK_AGE_US,
             owner->last_record_us + OWNER_LINKED_SILENCE_US);

  if (owner->closed_epoch != owner->epoch)
    end_us += delay_allowance (owner, now_us);
  return owner->linked_us == 0 ? end_us : MAX (end_us, linked_end_us);
}

/* Whether the owner is an earlier process of this daemon, which can't answer a
   probe.  An earlier process that still runs must not take the present one for
   that.  */
static bool
is_earlier_process (const owner_t *owner, const jobtab_t *table)
{
  const char *holder = table->owner.holder;

  return holder && strcmp (holder, owner->self) != 0
         && holder_is_same_daemon (holder, owner->self)
         && holder_start_ms (holder) < holder_start_ms (owner->self);
}

/* ACTION, unless it is too early for it by *RETRY_US.  */
static owner_action_t
request (owner_t *owner, owner_action_t action, int64_t *retry_us,
         int64_t now_us)
{
  if (now_us < *retry_us)
    return OWNER_NONE;
  owner->requests++;
  *retry_us = now_us + OWNER_RETRY_US + delay_allowance (owner, now_us)
              + spread_us (owner, now_us);
  return action;
}

static owner_action_t
claim (owner_t *owner, int64_t now_us)
{
  return request (owner, OWNER_CLAIM, &owner->claim_us, now_us);
}

void
owner_note_refused (owner_t *owner, int64_t now_us)
{
  owner->probe_us = owner->claim_us
      = now_us + OWNER_REFUSED_RETRY_US + spread_us (owner, now_us);
}

/* How long the owner may take to answer a probe.  The daemon that has probed
   goes first, as all others have read its probe.  */
static int64_t
answer_max_us (const owner_t *owner, int64_t now_us)
{
  int64_t max_us = OWNER_ANSWER_TIMEOUT_US + owner->stagger_us
                   + delay_allowance (owner, now_us);

  return owner->probed_by_self
             ? max_us
             : max_us
                   + OWNER_SEEN_FACTOR * owner_store_delay_us (owner, now_us)
                   + spread_us (owner, now_us);
}

owner_action_t
owner_next (owner_t *owner, const jobtab_t *table, int64_t now_us)
{
  if (owner_is_self (owner, table))
    {
      if (owner->renewed_us != 0
          && now_us - owner->renewed_us < OWNER_RENEW_US)
        return OWNER_NONE;
      owner->renewed_us = now_us;
      return OWNER_RENEW;
    }
  if (!owner->may_claim || owner->last_record_us == 0)
    return OWNER_NONE;
  if (owner->incomplete
      && now_us - owner->last_record_us < OWNER_INCOMPLETE_WAIT_US)
    return OWNER_NONE;
  if (table->owner.epoch == 0 || table->owner.released)
    return now_us - owner->last_record_us
                   >= owner->stagger_us + spread_us (owner, now_us)
               ? claim (owner, now_us)
               : OWNER_NONE;
  if (is_earlier_process (owner, table)
      || owner_is_weak (owner, table, now_us))
    return claim (owner, now_us);
  if (now_us < silence_end_us (owner, now_us) + spread_us (owner, now_us))
    return OWNER_NONE;
  if (owner->probed_us == 0)
    return request (owner, OWNER_PROBE, &owner->probe_us, now_us);
  return now_us - owner->probed_us >= answer_max_us (owner, now_us)
             ? claim (owner, now_us)
             : OWNER_NONE;
}

void
owner_caught_up (owner_t *owner, const jobtab_t *table, int64_t now_us)
{
  if (owner->last_record_us != 0)
    return;
  owner->epoch = table->owner.epoch;
  owner->epoch_seen_us = now_us;
  /* A daemon that has just started probes immediately: after the loss of all
     daemons there is no owner.  */
  owner->last_record_us = MAX (now_us - OWNER_SILENCE_US, 1);
}

void
owner_note_pause (owner_t *owner, int64_t now_us)
{
  owner->last_record_us = owner->last_record_us ? now_us : 0;
  owner->probed_us = 0;
  owner->probe_us = owner->claim_us = 0;
}

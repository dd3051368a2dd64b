/* waveint - data of waves that the modules waves and waveorders share. Private
   to jobs/.  */

#ifndef CUMINPIN_WAVEINT_H
#define CUMINPIN_WAVEINT_H

#include "drain.h"
#include "schedint.h"

/* Time for which a host that is being drained waits for its short tasks.  */
#define DRAIN_MAX_US 3000000

struct wave
{
  uint64_t number;
  GPtrArray *names;    /* interned */
  GHashTable *begun;   /* names of the hosts that have begun maintenance */
  GHashTable *ordered; /* names of those that owners before may have ordered */
  int64_t since_us;
  int64_t duration_us;
  int64_t next_mark_us; /* its workers are marked as due then */
  int64_t next_log_us;  /* 1509 isn't logged before */
  uint32_t at_once;
  bool complete;
};

/* Hosts of a wave.  Those in use are not in a withdrawn data centre.  */
typedef struct wave_count
{
  uint32_t listed;
  uint32_t left;     /* hosts that have not begun maintenance */
  uint32_t active;   /* being drained, or down for maintenance */
  uint32_t down;     /* down for maintenance, or may go down any time */
  uint32_t doubted;  /* of the latter, those that are in use */
  uint32_t reserved; /* about to be ordered down */
  uint32_t reserved_in_use;
  uint32_t listed_in_use;
  uint32_t active_in_use;
  uint32_t down_in_use;
} wave_count_t;

/* waveorders.c: orders for hosts of a wave that are drained */
/* wave_count - the hosts of WAVE.
   wave_limit_in_use - the number of hosts in use that WAVE may have down at a
   time: the same part of them as at_once is of all its hosts.  Hosts of
   withdrawn data centres give no room for the tasks of those that go down.
   wave_may_repeat - whether an order for HOST that may be under way is one of
   WAVE, which has to be repeated.  That of another wave is left to that one.
   wave_order_maintenance - order the maintenance of a host of WAVE that is
   ready for it, or order it again if there was no answer.  */
wave_count_t wave_count (const sched_t *sched, const wave_t *wave,
                         int64_t now_us);
uint32_t wave_limit_in_use (const wave_t *wave, const wave_count_t *count);
bool wave_may_repeat (const wave_t *wave, const host_t *host);
void wave_order_maintenance (sched_t *sched, drain_t *drain,
                             const wave_t *wave, const wave_count_t *count,
                             sched_now_t now);

#endif

#include "admit.h"
#include <string.h>

uint32_t
share_split (const char *resource, uint32_t limit, const char *const *hosts,
             uint32_t count, const char *self)
{
  uint32_t rank;
  bool listed = false;

  for (uint32_t i = 0; i < count && !listed; i++)
    listed = strcmp (hosts[i], self) == 0;
  if (!listed)
    return 0;
  rank = hash_rank (resource, strlen (resource), hosts, count, self);
  return limit / count + (rank < limit % count ? 1 : 0);
}

uint32_t
share_effective (uint32_t current, uint32_t assigned, bool gate_open)
{
  return assigned < current || gate_open ? assigned : current;
}

int64_t
share_outstanding_us (int64_t run_us)
{
  return MAX (run_us, LOAN_US) + CLOCK_ERROR_MS * INT64_C (1000);
}

int64_t
share_quarantine_us (const entry_state_t *before, bool join_folded,
                     int64_t run_us)
{
  if (before && !before->left)
    return share_outstanding_us (run_us);
  return join_folded ? 0 : INT64_MAX;
}

void
share_gate_set (share_gate_t *gate, uint64_t version, int64_t hold_from_us)
{
  if (version != gate->version)
    gate->agreed_since_us = 0;
  gate->version = version;
  gate->hold_from_us = hold_from_us;
}

/* How long the permits that REPORT's host held under earlier versions may
   still be in use, counted from when all listed hosts reported VERSION.  */
static int64_t
release_wait_us (const share_report_t *report, uint64_t version,
                 int64_t wait_us, int64_t grace_us)
{
  if (report->settled >= version)
    return 0;
  if (report->version >= version)
    return wait_us;
  return FRESH_MAX_AGE_US + grace_us + wait_us;
}

bool
share_gate_is_open (share_gate_t *gate, const share_report_t *reports,
                    uint32_t count, int64_t now_us, int64_t wait_us,
                    int64_t grace_us)
{
  int64_t wait_needed_us = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      const share_report_t *report = &reports[i];

      /* A daemon that started from an old state and is behind a later version
         must not use a share that others may have added to theirs.  A listed
         host at an earlier version may not have lowered its share yet.  */
      if (report->version > gate->version
          || (report->version < gate->version && report->listed))
        {
          gate->agreed_since_us = 0;
          return false;
        }
      wait_needed_us
          = MAX (wait_needed_us,
                 release_wait_us (report, gate->version, wait_us, grace_us));
    }
  if (gate->agreed_since_us == 0)
    gate->agreed_since_us = now_us;
  return now_us >= gate->hold_from_us
         && now_us - gate->agreed_since_us >= wait_needed_us;
}

bool
share_may_leave (const share_gate_t *gate, uint32_t in_use, uint32_t lent,
                 int64_t now_us)
{
  return in_use == 0 && lent == 0 && now_us >= gate->hold_from_us;
}

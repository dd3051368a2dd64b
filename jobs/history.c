#include "history.h"
#include <string.h>

void
history_init (history_t *history, int64_t keep_us)
{
  memset (history, 0, sizeof *history);
  history->keep_us = keep_us;
}

void
history_start_owner (history_t *history, int64_t now_us)
{
  history->uncovered_us = now_us;
  history->attempt_us = 0;
  history->failures = 0;
}

void
history_add_record (history_t *history, uint64_t bytes, bool changes,
                    int64_t now_us)
{
  history->log_bytes += bytes;
  if (changes && history->uncovered_us == 0)
    history->uncovered_us = now_us;
}

static bool
log_is_long (const history_t *history)
{
  uint64_t max = history->snapshot_bytes > HISTORY_LOG_BYTES_MIN
                     ? history->snapshot_bytes
                     : HISTORY_LOG_BYTES_MIN;

  return history->log_bytes >= max;
}

static int64_t
retry_pause_us (const history_t *history)
{
  int64_t pause_us = HISTORY_RETRY_US;

  for (uint32_t i = 1;
       i < history->failures && pause_us < HISTORY_RETRY_MAX_US; i++)
    pause_us *= 2;
  return pause_us;
}

bool
history_snapshot_is_due (const history_t *history, int64_t now_us)
{
  int64_t pause_us = history->keep_us / HISTORY_SNAPSHOTS_PER_RETENTION;

  if (history->failures > 0)
    pause_us = retry_pause_us (history);
  else if (log_is_long (history) && pause_us > HISTORY_PAUSE_US)
    pause_us = HISTORY_PAUSE_US;
  return history->uncovered_us != 0 && !history->in_flight
         && (history->attempt_us == 0
             || now_us - history->attempt_us >= pause_us);
}

void
history_begin_snapshot (history_t *history, uint64_t bytes, int64_t now_us)
{
  history->writing_us = history->uncovered_us;
  history->uncovered_us = 0;
  history->attempt_us = now_us;
  history->log_bytes = 0;
  history->snapshot_bytes = bytes;
  history->in_flight = true;
}

void
history_end_snapshot (history_t *history, bool stored)
{
  history->in_flight = false;
  history->failures = stored ? 0 : history->failures + 1;
  if (!stored && history->writing_us != 0)
    history->uncovered_us = history->writing_us;
  history->writing_us = 0;
}

bool
history_is_at_risk (const history_t *history, int64_t now_us)
{
  int64_t oldest_us
      = history->writing_us ? history->writing_us : history->uncovered_us;

  return oldest_us != 0
         && now_us - oldest_us
                >= history->keep_us / 100 * HISTORY_RISK_PERCENT;
}

void
history_note_gap (history_t *history, uint64_t end)
{
  if (end > history->missing_end)
    history->missing_end = end;
}

bool
history_covers (const history_t *history, uint64_t next)
{
  return next >= history->missing_end;
}

void
history_fill_gap (history_t *history)
{
  history->missing_end = 0;
}

bool
history_is_complete (const history_t *history)
{
  return history->missing_end == 0;
}

bool
history_reread_is_due (history_t *history, int64_t now_us)
{
  if (history_is_complete (history)
      || now_us - history->reread_us < HISTORY_REREAD_US)
    return false;
  history->reread_us = now_us;
  return true;
}

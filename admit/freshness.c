#include "admit.h"
#include <string.h>

const char *
freshness_name (freshness_t freshness)
{
  switch (freshness)
    {
    case FRESH:
      return "fresh";
    case BLIND:
      return "blind";
    case STALE:
      return "stale";
    }
  return "stale";
}

static bool
is_recent (int64_t time_us, int64_t now_us, int64_t limit_us)
{
  return time_us > 0 && now_us - time_us <= limit_us;
}

static bool
is_heard (const freshness_inputs_t *view, const char *data_centre,
          int64_t now_us, int64_t limit_us)
{
  for (uint32_t i = 0; i < view->peers_count; i++)
    if (g_strcmp0 (view->peers[i].data_centre, data_centre) == 0
        && is_recent (view->peers[i].heard_us, now_us, limit_us))
      return true;
  return false;
}

/* Whether somebody may have read a record that is not folded here: this daemon
   has not found the log down lately (it may have been paused), a peer says
   that it has one, or a data centre is silent.  */
static bool
may_lack_record (const freshness_inputs_t *view, int64_t now_us,
                 int64_t limit_us)
{
  if (!is_recent (view->log_failed_us, now_us, limit_us))
    return true;
  for (uint32_t i = 0; i < view->peers_count; i++)
    if (view->peers[i].heard_us > 0 && view->peers[i].offset > view->offset)
      return true;
  for (uint32_t i = 0; i < view->data_centres_count; i++)
    if (strcmp (view->data_centres[i], view->data_centre) != 0
        && !is_heard (view, view->data_centres[i], now_us, limit_us))
      return true;
  return false;
}

freshness_t
freshness_evaluate (const freshness_inputs_t *view, int64_t now_us,
                    int64_t grace_us)
{
  int64_t limit_us = FRESH_MAX_AGE_US + grace_us;

  if (is_recent (view->log_read_us, now_us, limit_us))
    return FRESH;
  /* A peer's read counts from the log's end at that time: its age is judged
     now, not when the heartbeat came, so that no gap opens between FRESH and
     BLIND when the log goes down.  */
  for (uint32_t i = 0; i < view->peers_count; i++)
    if (is_recent (view->peers[i].log_read_us, now_us, limit_us)
        && view->peers[i].offset <= view->offset)
      return FRESH;
  return may_lack_record (view, now_us, limit_us) ? STALE : BLIND;
}

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
has_recent_heartbeat (const freshness_inputs_t *inputs,
                      const char *data_centre, int64_t now_us,
                      int64_t limit_us)
{
  for (uint32_t i = 0; i < inputs->peers_count; i++)
    if (g_strcmp0 (inputs->peers[i].data_centre, data_centre) == 0
        && is_recent (inputs->peers[i].heard_us, now_us, limit_us))
      return true;
  return false;
}

/* Whether a record may exist that is not folded here: this daemon has not
   recently found the log unreachable (it may have been paused), a peer has
   folded further, or a data centre sends no heartbeats.  */
static bool
may_have_missed_record (const freshness_inputs_t *inputs, int64_t now_us,
                        int64_t limit_us)
{
  if (!is_recent (inputs->log_failed_us, now_us, limit_us))
    return true;
  for (uint32_t i = 0; i < inputs->peers_count; i++)
    if (inputs->peers[i].heard_us > 0
        && inputs->peers[i].offset > inputs->offset)
      return true;
  for (uint32_t i = 0; i < inputs->data_centres_count; i++)
    if (strcmp (inputs->data_centres[i], inputs->data_centre) != 0
        && !has_recent_heartbeat (inputs, inputs->data_centres[i], now_us,
                                  limit_us))
      return true;
  return false;
}

freshness_t
freshness_evaluate (const freshness_inputs_t *inputs, int64_t now_us,
                    int64_t grace_us)
{
  int64_t limit_us = FRESH_MAX_AGE_US + grace_us;

  if (is_recent (inputs->log_read_us, now_us, limit_us))
    return FRESH;
  /* The age of a peer's read is measured now, not when its heartbeat arrived,
     so that the state goes from FRESH to BLIND without a gap when the log
     becomes unreachable.  */
  for (uint32_t i = 0; i < inputs->peers_count; i++)
    if (is_recent (inputs->peers[i].log_read_us, now_us, limit_us)
        && inputs->peers[i].offset <= inputs->offset)
      return FRESH;
  return may_have_missed_record (inputs, now_us, limit_us) ? STALE : BLIND;
}

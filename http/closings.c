#include "closings.h"
#include <string.h>

#define REPORT_INTERVAL_US 1000000

void
closings_note (closings_t *closings, body_verdict_t why, counter_id_t counter)
{
  closings->ended[why]++;
  closings->unreported = true;
  counter_add (counter, 1);
}

void
closings_report (closings_t *closings, const bodies_t *bodies, int64_t now_us)
{
  if (!closings->unreported)
    return;
  if (closings->reported_us > 0
      && now_us - closings->reported_us < REPORT_INTERVAL_US)
    return;
  event_log (EV_CLIENTS_CLOSED,
             "listener=%s too_large=%u no_room=%u too_slow=%u connections=%u "
             "of=%u used_kib=%" PRIu64 " budget_kib=%" PRIu64,
             closings->listener, closings->ended[BODY_TOO_LARGE],
             closings->ended[BODY_NO_ROOM], closings->ended[BODY_TOO_SLOW],
             bodies_connections (bodies), closings->connections_max,
             bodies_used (bodies) / 1024, bodies_budget (bodies) / 1024);
  memset (closings->ended, 0, sizeof closings->ended);
  closings->unreported = false;
  closings->reported_us = now_us;
}

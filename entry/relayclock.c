#include "relayclock.h"

void
relayclock_note (relayclock_t *clock, int64_t relay_us, int64_t now_us)
{
  int64_t ahead_us = relay_us - now_us;

  if (clock->noted_us != 0 && ahead_us < clock->ahead_us
      && now_us - clock->noted_us < RELAYCLOCK_KEPT_US)
    return;
  clock->ahead_us = ahead_us;
  clock->noted_us = now_us;
}

int64_t
relayclock_limit (const relayclock_t *clock, int64_t now_us, int64_t delay_us)
{
  return clock->noted_us == 0 ? 0 : now_us + clock->ahead_us + delay_us;
}

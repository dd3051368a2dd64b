#include "meter.h"
#include "base.h"

static void
add_time (amounts_t *sum_us, const amounts_t *amounts, int64_t time_us)
{
  sum_us->cpu_milli += amounts->cpu_milli * time_us;
  sum_us->mem_mib += amounts->mem_mib * time_us;
  sum_us->accels += amounts->accels * time_us;
}

/* The periods of the window are NUMBER and the METER_PERIODS - 1 before.  */
static int64_t
window_start_us (int64_t now_us)
{
  return (now_us / METER_PERIOD_US - (METER_PERIODS - 1)) * METER_PERIOD_US;
}

void
meter_advance (meter_t *meter, int64_t now_us)
{
  int64_t from_us = MAX (meter->updated_us, window_start_us (now_us));

  if (meter->updated_us == 0)
    from_us = now_us;
  while (from_us < now_us)
    {
      int64_t number = from_us / METER_PERIOD_US;
      int64_t to_us = MIN ((number + 1) * METER_PERIOD_US, now_us);
      meter_period_t *period = &meter->periods[number % METER_PERIODS];

      if (period->number != number)
        *period = (meter_period_t){ .number = number };
      add_time (&period->sum_us, &meter->now, to_us - from_us);
      from_us = to_us;
    }
  meter->updated_us = MAX (meter->updated_us, now_us);
}

meter_average_t
meter_average (const meter_t *meter, int64_t since_us, int64_t now_us)
{
  int64_t last = now_us / METER_PERIOD_US;
  int64_t covered_us = now_us - MAX (since_us, window_start_us (now_us));
  amounts_t sum_us = { 0 };

  if (covered_us < METER_PERIOD_US)
    return (meter_average_t){ .cpu_milli = (double)meter->now.cpu_milli,
                              .mem_mib = (double)meter->now.mem_mib,
                              .accels = (double)meter->now.accels };
  for (uint32_t i = 0; i < METER_PERIODS; i++)
    if (meter->periods[i].number > last - METER_PERIODS)
      amounts_add (&sum_us, &meter->periods[i].sum_us);
  return (meter_average_t){
    .cpu_milli = (double)sum_us.cpu_milli / (double)covered_us,
    .mem_mib = (double)sum_us.mem_mib / (double)covered_us,
    .accels = (double)sum_us.accels / (double)covered_us
  };
}

#include "appendpace.h"
#include <glib.h>

void
appendpace_add (appendpace_t *pace, int64_t took_us, bool refused, double unit,
                int64_t now_us)
{
  int64_t refused_us = APPENDPACE_REFUSED_US;

  for (uint32_t i = 0;
       i < pace->refusals && refused_us < APPENDPACE_REFUSED_MAX_US; i++)
    refused_us *= 2;
  if (refused)
    took_us = MAX (took_us, refused_us);
  pace->refusals = refused ? pace->refusals + 1 : 0;
  took_us = MAX (took_us - APPENDPACE_FAST_US, 0);
  pace->due_us
      = now_us
        + (int64_t)((double)(took_us * APPENDPACE_FACTOR) * (0.5 + unit));
}

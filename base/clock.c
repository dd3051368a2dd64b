#include "base.h"
#include <time.h>

int64_t
clock_mono_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

int64_t
clock_wall_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_REALTIME, &now);
  return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

int64_t
clock_boot_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_BOOTTIME, &now);
  return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

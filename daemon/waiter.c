#include "control.h"

void
waiter_init (waiter_t *waiter)
{
  pthread_condattr_t attr;

  waiter->stopping = false;
  pthread_mutex_init (&waiter->lock, NULL);
  pthread_condattr_init (&attr);
  pthread_condattr_setclock (&attr, CLOCK_MONOTONIC);
  pthread_cond_init (&waiter->wake, &attr);
  pthread_condattr_destroy (&attr);
}

void
waiter_destroy (waiter_t *waiter)
{
  pthread_cond_destroy (&waiter->wake);
  pthread_mutex_destroy (&waiter->lock);
}

bool
waiter_wait (waiter_t *waiter, uint32_t wait_ms)
{
  struct timespec until;
  bool stopping;

  clock_gettime (CLOCK_MONOTONIC, &until);
  until.tv_sec += wait_ms / 1000;
  until.tv_nsec += (long)(wait_ms % 1000) * 1000000;
  if (until.tv_nsec >= 1000000000)
    {
      until.tv_sec++;
      until.tv_nsec -= 1000000000;
    }
  pthread_mutex_lock (&waiter->lock);
  while (!waiter->stopping && wait_ms > 0
         && pthread_cond_timedwait (&waiter->wake, &waiter->lock, &until) == 0)
    ;
  stopping = waiter->stopping;
  pthread_mutex_unlock (&waiter->lock);
  return !stopping;
}

void
waiter_stop (waiter_t *waiter)
{
  pthread_mutex_lock (&waiter->lock);
  waiter->stopping = true;
  pthread_cond_broadcast (&waiter->wake);
  pthread_mutex_unlock (&waiter->lock);
}

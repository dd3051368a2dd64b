/* wait - wait for the results of peer threads  */

#ifndef CUMINPIN_PEER_WAIT_H
#define CUMINPIN_PEER_WAIT_H

#include <check.h>
#include <pthread.h>
#include <time.h>

#define WAIT_S 20 /* the longest wait in a test takes 4 s */

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;

/* Waits until CONDITION holds; the transports' callbacks signal CHANGED.  */
#define wait_until(condition)                                                 \
  do                                                                          \
    {                                                                         \
      struct timespec end;                                                    \
      int timeout = 0;                                                        \
                                                                              \
      clock_gettime (CLOCK_REALTIME, &end);                                   \
      end.tv_sec += WAIT_S;                                                   \
      pthread_mutex_lock (&lock);                                             \
      while (!(condition) && timeout == 0)                                    \
        timeout = pthread_cond_timedwait (&changed, &lock, &end);             \
      pthread_mutex_unlock (&lock);                                           \
      ck_assert_msg (timeout == 0, "timeout: %s", #condition);                \
    }                                                                         \
  while (0)

#endif

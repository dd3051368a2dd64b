/* Guards against additions that are lost or counted twice when several threads
   share a stripe.  */

#include "../../test/run_suite.h"
#include "base.h"
#include <pthread.h>
#include <string.h>

#define THREADS 40 /* more than the 32 stripes of counter.c */
#define ADDITIONS 20000

static void *
add_repeatedly (void *arg)
{
  (void)arg;
  for (uint32_t i = 0; i < ADDITIONS; i++)
    {
      counter_add (COUNT_SENT, 1);
      counter_add (COUNT_PEER_BYTES_IN, 3);
    }
  return NULL;
}

START_TEST (sums_over_threads_are_exact)
{
  uint64_t sent = counter_read (COUNT_SENT);
  uint64_t bytes = counter_read (COUNT_PEER_BYTES_IN);
  uint64_t other = counter_read (COUNT_RETRIES);
  pthread_t threads[THREADS];

  for (uint32_t i = 0; i < THREADS; i++)
    ck_assert_int_eq (pthread_create (&threads[i], NULL, add_repeatedly, NULL),
                      0);
  for (uint32_t i = 0; i < THREADS; i++)
    pthread_join (threads[i], NULL);
  ck_assert_uint_eq (counter_read (COUNT_SENT) - sent, THREADS * ADDITIONS);
  ck_assert_uint_eq (counter_read (COUNT_PEER_BYTES_IN) - bytes,
                     3 * THREADS * ADDITIONS);
  ck_assert_uint_eq (counter_read (COUNT_RETRIES), other);
}
END_TEST

/* Guards against counters that the admin server's /counters would list without
   a name or under the same name.  */
START_TEST (counter_names_are_unique)
{
  for (uint32_t i = 0; i < COUNTER_COUNT; i++)
    {
      ck_assert_msg (counter_name (i) != NULL, "counter %u has no name", i);
      for (uint32_t j = 0; j < i; j++)
        ck_assert_str_ne (counter_name (i), counter_name (j));
    }
}
END_TEST

TEST_PROGRAM ("counter", sums_over_threads_are_exact, counter_names_are_unique)

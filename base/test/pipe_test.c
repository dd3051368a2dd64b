/* Guards against entries that are lost, duplicated or out of order, against a
   missed wake-up, and against a pipe that exceeds its bound.  */

#include "../../test/run_suite.h"
#include "base.h"
#include <poll.h>
#include <pthread.h>
#include <string.h>

#define WRITERS 6
#define ENTRIES 20000
#define BOUND 64
#define WAKEUP_TIMEOUT_MS 10000

typedef struct entry
{
  pipe_node_t node;
  uint32_t writer;
  uint32_t number;
} entry_t;

typedef struct writer
{
  pthread_t thread;
  uint32_t index;
  entry_t *entries;
} writer_t;

static pipe_t pipe_;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t drained = PTHREAD_COND_INITIALIZER;
static uint64_t drain_count;

/* Puts ENTRY.  While the pipe is full, waits until the reader has emptied
   it.  */
static void
put_or_wait (entry_t *entry)
{
  uint64_t seen;

  for (;;)
    {
      pthread_mutex_lock (&lock);
      seen = drain_count;
      pthread_mutex_unlock (&lock);
      if (pipe_put (&pipe_, &entry->node))
        return;
      pthread_mutex_lock (&lock);
      while (drain_count == seen)
        pthread_cond_wait (&drained, &lock);
      pthread_mutex_unlock (&lock);
    }
}

static void *
write_all (void *arg)
{
  writer_t *writer = arg;

  for (uint32_t i = 0; i < ENTRIES; i++)
    {
      writer->entries[i].writer = writer->index;
      writer->entries[i].number = i;
      put_or_wait (&writer->entries[i]);
    }
  return NULL;
}

static bool
has_wakeup (int timeout_ms)
{
  struct pollfd fd = { .fd = pipe_.event_fd, .events = POLLIN };

  return poll (&fd, 1, timeout_ms) == 1;
}

/* Takes all entries and returns their number.  */
static uint32_t
drain (uint32_t next[WRITERS])
{
  pipe_node_t *node;
  uint32_t count = 0;

  pipe_clear_wakeup (&pipe_);
  while ((node = pipe_get (&pipe_)))
    {
      entry_t *entry = caa_container_of (node, entry_t, node);

      ck_assert_uint_eq (entry->number, next[entry->writer]);
      next[entry->writer]++;
      count++;
    }
  pthread_mutex_lock (&lock);
  drain_count++;
  pthread_cond_broadcast (&drained);
  pthread_mutex_unlock (&lock);
  return count;
}

START_TEST (many_writers_one_sleeping_reader)
{
  writer_t writers[WRITERS];
  uint32_t next[WRITERS] = { 0 };
  uint32_t received = 0;

  ck_assert (pipe_open (&pipe_, BOUND));
  for (uint32_t i = 0; i < WRITERS; i++)
    {
      writers[i].index = i;
      writers[i].entries = g_new0 (entry_t, ENTRIES);
      pthread_create (&writers[i].thread, NULL, write_all, &writers[i]);
    }
  while (received < WRITERS * ENTRIES)
    {
      ck_assert_msg (has_wakeup (WAKEUP_TIMEOUT_MS),
                     "no wake-up after %u entries", received);
      received += drain (next);
    }
  for (uint32_t i = 0; i < WRITERS; i++)
    {
      pthread_join (writers[i].thread, NULL);
      ck_assert_uint_eq (next[i], ENTRIES);
      g_free (writers[i].entries);
    }
  ck_assert_ptr_null (pipe_get (&pipe_));
  pipe_close (&pipe_);
}
END_TEST

static void *
put_until_full (void *arg)
{
  writer_t *writer = arg;
  uint32_t put = 0;

  while (put < ENTRIES && pipe_put (&pipe_, &writer->entries[put].node))
    put++;
  writer->index = put;
  return NULL;
}

START_TEST (bound_holds_under_a_race)
{
  writer_t writers[WRITERS];
  uint32_t next[WRITERS] = { 0 };
  uint32_t put = 0;

  ck_assert (pipe_open (&pipe_, BOUND));
  for (uint32_t i = 0; i < WRITERS; i++)
    {
      writers[i].entries = g_new0 (entry_t, ENTRIES);
      pthread_create (&writers[i].thread, NULL, put_until_full, &writers[i]);
    }
  for (uint32_t i = 0; i < WRITERS; i++)
    {
      pthread_join (writers[i].thread, NULL);
      put += writers[i].index;
    }
  ck_assert_uint_eq (put, BOUND);
  pipe_clear_wakeup (&pipe_);
  for (uint32_t i = 0; i < BOUND; i++)
    ck_assert_ptr_nonnull (pipe_get (&pipe_));
  ck_assert_ptr_null (pipe_get (&pipe_));
  ck_assert (pipe_put (&pipe_, &writers[0].entries[0].node));
  ck_assert_uint_eq (drain (next), 1);
  for (uint32_t i = 0; i < WRITERS; i++)
    g_free (writers[i].entries);
  pipe_close (&pipe_);
}
END_TEST

/* One wake-up covers all entries put before the reader clears it; an entry put
   later wakes the reader again.  */
START_TEST (reader_is_woken_once_for_a_batch)
{
  entry_t entries[3] = { { .number = 0 }, { .number = 1 }, { .number = 2 } };
  uint32_t next[WRITERS] = { 0 };

  ck_assert (pipe_open (&pipe_, BOUND));
  ck_assert (!has_wakeup (0));
  pipe_put (&pipe_, &entries[0].node);
  pipe_put (&pipe_, &entries[1].node);
  ck_assert (has_wakeup (0));
  ck_assert_uint_eq (drain (next), 2);
  ck_assert (!has_wakeup (0));
  pipe_put (&pipe_, &entries[2].node);
  ck_assert (has_wakeup (0));
  ck_assert_uint_eq (drain (next), 1);
  pipe_close (&pipe_);
}
END_TEST

TEST_PROGRAM ("pipe", many_writers_one_sleeping_reader,
              bound_holds_under_a_race, reader_is_woken_once_for_a_batch)

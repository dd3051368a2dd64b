#include "standin.h"

typedef struct held
{
  void *request;
  int64_t due_us;
} held_t;

static GMutex mutex;
static GCond changed;
static GSequence *held_requests; /* held_t, ordered by due_us */
static hold_release_fn *release;
static GThread *thread;
static bool stopping;
static bool releasing_faults;

static int
compare_due (gconstpointer a, gconstpointer b, gpointer unused)
{
  const held_t *left = a;
  const held_t *right = b;

  return (left->due_us > right->due_us) - (left->due_us < right->due_us);
}

static bool
is_due (const held_t *held)
{
  return stopping || held->due_us <= clock_mono_us ()
         || (releasing_faults && held->due_us == HOLD_UNTIL_FAULT_ENDS);
}

/* Releases the due requests.  Returns the due time of the next one, or 0.  */
static int64_t
release_due (void)
{
  GSequenceIter *iter = g_sequence_get_begin_iter (held_requests);
  int64_t next_us = 0;

  while (!g_sequence_iter_is_end (iter))
    {
      GSequenceIter *following = g_sequence_iter_next (iter);
      held_t *held = g_sequence_get (iter);

      if (is_due (held))
        {
          release (held->request);
          g_sequence_remove (iter);
        }
      else
        {
          next_us = next_us ? next_us : held->due_us;
          if (!releasing_faults)
            break;
        }
      iter = following;
    }
  releasing_faults = false;
  return next_us;
}

static gpointer
run (gpointer unused)
{
  int64_t next_us;

  g_mutex_lock (&mutex);
  while (!stopping || !g_sequence_is_empty (held_requests))
    {
      next_us = release_due ();
      if (stopping)
        break;
      if (next_us == 0 || next_us == HOLD_UNTIL_FAULT_ENDS)
        g_cond_wait (&changed, &mutex);
      else
        g_cond_wait_until (&changed, &mutex, next_us);
    }
  g_mutex_unlock (&mutex);
  return NULL;
}

void
hold_start (hold_release_fn *fn)
{
  release = fn;
  held_requests = g_sequence_new (g_free);
  thread = g_thread_new ("hold", run, NULL);
}

bool
hold_put (void *request, int64_t due_us)
{
  held_t *held;
  GSequenceIter *iter;
  bool accepted;

  g_mutex_lock (&mutex);
  accepted = !stopping;
  if (accepted)
    {
      held = g_new (held_t, 1);
      held->request = request;
      held->due_us = due_us;
      iter = g_sequence_insert_sorted (held_requests, held, compare_due, NULL);
      if (iter == g_sequence_get_begin_iter (held_requests))
        g_cond_signal (&changed);
    }
  g_mutex_unlock (&mutex);
  return accepted;
}

void
hold_release_faults (void)
{
  g_mutex_lock (&mutex);
  releasing_faults = true;
  g_cond_signal (&changed);
  g_mutex_unlock (&mutex);
}

void
hold_stop (void)
{
  g_mutex_lock (&mutex);
  stopping = true;
  g_cond_signal (&changed);
  g_mutex_unlock (&mutex);
  g_thread_join (thread);
  g_sequence_free (held_requests);
}

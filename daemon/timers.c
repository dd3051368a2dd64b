#include "loop.h"

static gint
compare (gconstpointer a, gconstpointer b, gpointer data)
{
  const timer_entry_t *left = a;
  const timer_entry_t *right = b;

  (void)data;
  return (left->at_us > right->at_us) - (left->at_us < right->at_us);
}

GSequenceIter *
timers_add (loop_t *loop, const timer_entry_t *entry)
{
  timer_entry_t *copy = g_slice_dup (timer_entry_t, entry);

  return g_sequence_insert_sorted (loop->timers, copy, compare, NULL);
}

void
timers_remove (GSequenceIter *timer)
{
  g_slice_free (timer_entry_t, g_sequence_get (timer));
  g_sequence_remove (timer);
}

int64_t
timers_next_us (const loop_t *loop)
{
  const timer_entry_t *first;

  if (g_sequence_is_empty (loop->timers))
    return INT64_MAX;
  first = g_sequence_get (g_sequence_get_begin_iter (loop->timers));
  return first->at_us;
}

bool
timers_take_due (loop_t *loop, int64_t now_us, timer_entry_t *entry)
{
  GSequenceIter *first = g_sequence_get_begin_iter (loop->timers);

  if (timers_next_us (loop) > now_us)
    return false;
  *entry = *(const timer_entry_t *)g_sequence_get (first);
  timers_remove (first);
  return true;
}

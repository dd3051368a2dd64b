#include "schedint.h"

/* All workers are looked after at this interval even if nothing is known to be
   due.  */
#define SWEEP_INTERVAL_US 250000

static gint
compare_due (gconstpointer a, gconstpointer b, gpointer ctx)
{
  const worker_t *l = a;
  const worker_t *r = b;

  (void)ctx;
  return l->wake_us < r->wake_us ? -1 : l->wake_us > r->wake_us;
}

void
wakeups_add_worker (sched_t *sched, worker_t *worker, int64_t now_us)
{
  worker->wake_us = now_us;
  worker->wake_place
      = g_sequence_insert_sorted (sched->wakeups, worker, compare_due, NULL);
}

void
wakeups_remove_worker (sched_t *sched, worker_t *worker)
{
  g_sequence_remove (worker->wake_place);
  worker->wake_place = NULL;
  if (worker->awaits_batch)
    g_ptr_array_remove_fast (sched->batch_waiters, worker);
  worker->awaits_batch = false;
}

static void
set_wake (worker_t *worker, int64_t at_us)
{
  worker->wake_us = at_us;
  g_sequence_sort_changed (worker->wake_place, compare_due, NULL);
}

void
worker_wake_at (sched_t *sched, worker_t *worker, int64_t at_us)
{
  if (at_us < worker->wake_us)
    set_wake (worker, at_us);
  sched_wake_at (sched, at_us);
}

void
worker_await_batch (sched_t *sched, worker_t *worker)
{
  if (worker->awaits_batch)
    return;
  worker->awaits_batch = true;
  g_ptr_array_add (sched->batch_waiters, worker);
}

/* Sets all workers due.  */
static void
sweep (sched_t *sched, int64_t now_us)
{
  GHashTableIter iter;
  gpointer worker;

  g_hash_table_iter_init (&iter, sched->workers);
  while (g_hash_table_iter_next (&iter, NULL, &worker))
    worker_wake_at (sched, worker, now_us);
  sched->sweep_us = now_us + SWEEP_INTERVAL_US;
}

void
wakeups_take (sched_t *sched, GPtrArray *due, int64_t now_us)
{
  if (sched->sweep_us <= now_us)
    sweep (sched, now_us);
  while (!g_sequence_is_empty (sched->wakeups))
    {
      worker_t *worker
          = g_sequence_get (g_sequence_get_begin_iter (sched->wakeups));

      if (worker->wake_us > now_us)
        return;
      set_wake (worker, INT64_MAX);
      if (!worker->taken)
        g_ptr_array_add (due, worker);
      worker->taken = true;
    }
}

int64_t
wakeups_next_us (const sched_t *sched)
{
  GSequenceIter *first = g_sequence_get_begin_iter (sched->wakeups);
  int64_t next_us = sched->sweep_us;

  if (!g_sequence_iter_is_end (first))
    next_us = MIN (next_us, ((worker_t *)g_sequence_get (first))->wake_us);
  return next_us;
}

#include "schedint.h"

static silence_t *
add_silence (const sched_t *sched, const char *worker, int64_t until_us)
{
  silence_t *silence = g_new0 (silence_t, 1);

  silence->until_us = until_us;
  g_hash_table_insert (sched->silent, (gpointer)worker, silence);
  return silence;
}

void
silences_inherit (sched_t *sched, const jobtab_t *table)
{
  GHashTableIter iter;
  gpointer worker;
  gpointer until_us;

  sched->silent
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  g_hash_table_iter_init (&iter, table->silent);
  while (g_hash_table_iter_next (&iter, &worker, &until_us))
    add_silence (sched, worker, *(const int64_t *)until_us);
}

void
silence_attach (const sched_t *sched, worker_t *worker)
{
  worker->silence = g_hash_table_lookup (sched->silent, worker->interned);
}

/* Since when WORKER was asked, or known not to be registered; 0: neither.  */
static int64_t
silent_since_us (const sched_t *sched, const worker_t *worker)
{
  return worker->address ? worker->asked_us : sched->listed_us;
}

/* Whether SILENCE is recorded with its bound.  Once it is recorded that the
   worker answers, it isn't recorded anew: leases are granted as soon as that
   record is durable.  */
static bool
is_settled (const silence_t *silence)
{
  return silence
         && (silence->until_us != INT64_MAX || silence->answer_batch != 0);
}

static void
record (sched_t *sched, const char *worker, bool answers, uint32_t left_ms)
{
  worker_silence_t row
      = { .worker = worker, .answers = answers, .left_ms = left_ms };

  g_array_append_val (sched->silences, row);
}

/* Only long-running tasks have to run again soon after a worker is lost, and
   each row delays the leases of a worker that was taken for silent wrongly: an
   owner of 3,000 workers takes many for that after a take-over.  */
static bool
is_worth_a_record (const worker_t *worker)
{
  return !worker->has_reported && !worker->granted
         && worker_has_long_running (worker);
}

void
silence_check (sched_t *sched, worker_t *worker, int64_t now_us)
{
  int64_t since_us = silent_since_us (sched, worker);
  int64_t left_us;

  if (is_settled (worker->silence) || since_us == 0
      || !is_worth_a_record (worker))
    return;
  if (now_us - since_us < WORKER_SILENCE_MAX_US)
    {
      worker_wake_at (sched, worker, since_us + WORKER_SILENCE_MAX_US);
      return;
    }
  /* One that was asked fails its holds, unless this daemon is slow.  */
  if (worker->address && !worker->unreachable)
    return;
  left_us = MAX (worker_lease_end_us (sched, worker) - now_us, 0);
  left_us += left_us * CLOCK_DRIFT_MAX_PERCENT / 100; /* for the reader's */
  if (worker->silence)
    worker->silence->until_us = now_us + left_us;
  else
    worker->silence = add_silence (sched, worker->interned, now_us + left_us);
  record (sched, worker->interned, false, (uint32_t)((left_us + 999) / 1000));
  event_log (EV_WORKER_SILENT,
             "worker=%s registered=%d runs=%u lease_left_ms=%" PRId64,
             worker->id, worker->address != NULL, worker->runs->len,
             left_us / 1000);
}

static void
end_silence (sched_t *sched, const char *worker, silence_t *silence)
{
  if (silence->answer_batch != 0)
    return;
  silence->answer_batch = sched->batch;
  record (sched, worker, true, 0);
}

void
silence_end (sched_t *sched, const worker_t *worker)
{
  if (worker->silence)
    end_silence (sched, worker->interned, worker->silence);
}

void
silences_end_unknown (sched_t *sched)
{
  GHashTableIter iter;
  gpointer name;
  gpointer silence;

  g_hash_table_iter_init (&iter, sched->silent);
  while (g_hash_table_iter_next (&iter, &name, &silence))
    if (!g_hash_table_contains (sched->workers, name))
      end_silence (sched, name, silence);
}

void
silences_set_durable (sched_t *sched)
{
  GHashTableIter iter;
  gpointer name;
  gpointer value;

  g_hash_table_iter_init (&iter, sched->silent);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      const silence_t *silence = value;
      worker_t *worker;

      if (silence->answer_batch == 0
          || silence->answer_batch > sched->durable_batch)
        continue;
      worker = g_hash_table_lookup (sched->workers, name);
      if (worker)
        {
          worker->silence = NULL;
          worker->hold_due_us = 0; /* to grant it a lease */
          worker_wake_at (sched, worker, 0);
        }
      sched->place_needed = true;
      g_hash_table_iter_remove (&iter);
    }
}

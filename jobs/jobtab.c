#include "jobtab.h"
#include <string.h>

void
job_entry_free (gpointer data)
{
  job_entry_t *entry = data;

  job_desc_unref (entry->desc);
  g_free (entry->tasks);
  g_clear_pointer (&entry->values, g_hash_table_destroy);
  g_free (entry);
}

static void
value_free (gpointer data)
{
  g_free (((gang_value_t *)data)->value);
  g_free (data);
}

void
job_entry_set_value (job_entry_t *entry, uint32_t number, uint32_t attempt,
                     const char *value)
{
  gpointer key = GUINT_TO_POINTER (number);
  const gang_value_t *last;
  gang_value_t *row;

  if (!entry->values)
    entry->values = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL,
                                           value_free);
  last = g_hash_table_lookup (entry->values, key);
  if (last && last->attempt > attempt)
    return;
  row = g_new0 (gang_value_t, 1);
  row->attempt = attempt;
  row->value = g_strdup (value);
  g_hash_table_insert (entry->values, key, row);
}

jobtab_t *
jobtab_new (void)
{
  jobtab_t *table = g_new0 (jobtab_t, 1);

  table->jobs
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, job_entry_free);
  table->silent
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  cancels_init (&table->cancels);
  return table;
}

void
jobtab_free (jobtab_t *table)
{
  if (!table)
    return;
  g_hash_table_destroy (table->jobs);
  g_hash_table_destroy (table->silent);
  cancels_clear (&table->cancels);
  g_free (table->owner.holder);
  g_free (table);
}

job_entry_t *
jobtab_find (const jobtab_t *table, const char *id)
{
  return g_hash_table_lookup (table->jobs, id);
}

bool
job_entry_is_of (const job_entry_t *entry, const job_desc_t *desc)
{
  return entry->desc->queue == desc->queue
         && entry->desc->workspace == desc->workspace;
}

bool
task_may_run (const task_progress_t *progress)
{
  return progress->worker || progress->earlier_worker;
}

static bool
entry_may_have_runs (const job_entry_t *entry)
{
  for (uint32_t i = 0; i < entry->tasks_count; i++)
    if (task_may_run (&entry->tasks[i]))
      return true;
  return false;
}

/* Copies to SMALL what the runs of DESC need and how many there may be.  */
static void
copy_needs (job_desc_t *small, const job_desc_t *desc)
{
  small->limits = desc->limits;
  small->repeats = desc->repeats;
  small->steps_count = desc->steps_count;
  small->steps
      = g_memdup2 (desc->steps, desc->steps_count * sizeof *desc->steps);
  for (uint32_t i = 0; i < small->steps_count; i++)
    {
      job_step_t *step = &small->steps[i];

      step->after = NULL;
      step->after_count = 0;
      step->label = step->rack = step->image = NULL;
    }
}

/* Drops what ENTRY, which is final, has no use for: the payload, and, unless
   KEEP_RUNS, the steps and the progress.  */
static void
entry_strip (jobtab_t *table, job_entry_t *entry, bool keep_runs)
{
  job_desc_t *small = g_new0 (job_desc_t, 1);
  job_desc_t *desc = entry->desc;

  memcpy (small->id, desc->id, sizeof small->id);
  small->workspace = desc->workspace;
  small->queue = desc->queue;
  small->settings = desc->settings;
  small->accepted_ms = desc->accepted_ms;
  small->payload = g_strdup ("");
  g_clear_pointer (&entry->values, g_hash_table_destroy);
  if (keep_runs)
    copy_needs (small, desc);
  else
    {
      g_clear_pointer (&entry->tasks, g_free);
      entry->tasks_count = 0;
    }
  /* The key of the hash table is the id inside the description.  */
  g_hash_table_steal (table->jobs, desc->id);
  entry->desc = small;
  job_desc_unref (desc);
  g_hash_table_insert (table->jobs, small->id, entry);
}

static void
entry_set_state (jobtab_t *table, job_entry_t *entry, job_state_t state,
                 int64_t now_ms)
{
  if (entry->state == state || job_state_is_final (entry->state))
    return;
  entry->state = state;
  entry->since_ms = now_ms;
  if (job_state_is_final (state))
    entry_strip (table, entry, entry_may_have_runs (entry));
}

static fold_result_t
fold_submit (jobtab_t *table, job_rec_t *rec, int64_t now_ms)
{
  job_desc_t *desc = rec->u.submit;
  job_entry_t *entry;

  if (jobtab_find (table, desc->id))
    return (fold_result_t){ FOLD_NOTHING, NULL };
  if (rec->position
      < cancels_limit (&table->cancels, desc->id,
                       access_scope (desc->queue, desc->workspace)))
    return (fold_result_t){ FOLD_VOID, NULL };
  rec->u.submit = NULL;
  entry = g_new0 (job_entry_t, 1);
  entry->limit = table->next;
  entry->desc = desc;
  entry->state = JOB_STATE_QUEUED;
  entry->since_ms = now_ms;
  entry->tasks_count = job_tasks (desc);
  entry->tasks = g_new0 (task_progress_t, entry->tasks_count);
  g_hash_table_insert (table->jobs, desc->id, entry);
  return (fold_result_t){ FOLD_SUBMITTED, entry };
}

/* Whether the cancelling REC applies to jobs of DESC's queue and workspace.
   Its workspace is "" if its queue was public, and DESC's is if the queue was
   when it accepted the job.  */
static bool
cancel_applies (const job_rec_t *rec, const job_desc_t *desc)
{
  const char *workspace = rec->u.cancel.workspace;

  return !rec->u.cancel.queue
         || (rec->u.cancel.queue == desc->queue
             && (workspace[0] == '\0' || desc->workspace[0] == '\0'
                 || workspace == desc->workspace));
}

static fold_result_t
fold_cancel (jobtab_t *table, const job_rec_t *rec, int64_t now_ms,
             int64_t now_us)
{
  job_entry_t *entry = jobtab_find (table, rec->u.cancel.id);
  bool applies = entry && cancel_applies (rec, entry->desc);
  bool active = applies && !job_state_is_final (entry->state);

  if (active && rec->position < entry->limit)
    return (fold_result_t){ FOLD_VOID, NULL };
  cancels_add (&table->cancels, rec->u.cancel.id,
               rec->u.cancel.queue ? access_scope (rec->u.cancel.queue,
                                                   rec->u.cancel.workspace)
                                   : 0,
               table->next, now_us);
  if (!active)
    return (fold_result_t){ FOLD_DENIED, NULL };
  entry_set_state (table, entry, JOB_STATE_CANCELLED, now_ms);
  return (fold_result_t){ FOLD_CANCELLED, entry };
}

char *
holder_name (const char *daemon, int64_t start_ms, double cpu_share,
             const char *address)
{
  bool has_address = address && address[0];

  return g_strdup_printf ("%s#%" PRId64 "#%.0f%s%s", daemon, start_ms,
                          cpu_share * 100, has_address ? "#" : "",
                          has_address ? address : "");
}

const char *
holder_address (const char *holder)
{
  const char *at = holder;

  for (uint32_t i = 0; at && i < 3; i++)
    {
      at = strchr (at, '#');
      at = at ? at + 1 : NULL;
    }
  return at;
}

bool
holder_is_same_daemon (const char *a, const char *b)
{
  const char *separator = a ? strchr (a, '#') : NULL;

  return separator && b && strncmp (a, b, (size_t)(separator - a) + 1) == 0;
}

int64_t
holder_start_ms (const char *holder)
{
  const char *separator = holder ? strchr (holder, '#') : NULL;

  return separator ? g_ascii_strtoll (separator + 1, NULL, 10) : 0;
}

uint32_t
holder_share_percent (const char *holder)
{
  const char *first = holder ? strchr (holder, '#') : NULL;
  const char *second = first ? strchr (first + 1, '#') : NULL;

  return second ? (uint32_t)g_ascii_strtoull (second + 1, NULL, 10) : 0;
}

/* The first claim of the epoch after the current one wins.  */
static fold_result_t
fold_claim (jobtab_t *table, job_rec_t *rec)
{
  ownership_t *owner = &table->owner;

  if (rec->u.owner.epoch != owner->epoch + 1 || !rec->u.owner.holder)
    return (fold_result_t){ FOLD_NOTHING, NULL };
  owner->epoch = rec->u.owner.epoch;
  owner->same_daemon
      = holder_is_same_daemon (owner->holder, rec->u.owner.holder);
  g_free (owner->holder);
  owner->holder = g_steal_pointer (&rec->u.owner.holder);
  owner->released = false;
  if (!rec->u.owner.heeds_silences)
    g_hash_table_remove_all (table->silent);
  return (fold_result_t){ FOLD_CLAIMED, NULL };
}

/* The progress of TASK, with *ENTRY set to its job; NULL: there is none.  */
static task_progress_t *
find_task (jobtab_t *table, const task_ref_t *task, const job_entry_t **entry)
{
  uint32_t number;

  *entry = jobtab_find (table, task->id);
  if (!*entry || !(*entry)->tasks)
    return NULL;
  number = job_task_number ((*entry)->desc, task);
  return number == UINT32_MAX ? NULL : &(*entry)->tasks[number];
}

static void
fold_placed (jobtab_t *table, const task_placed_t *placed, uint64_t epoch)
{
  const job_entry_t *entry;
  task_progress_t *progress = find_task (table, &placed->task, &entry);

  /* A start that is read after the end of its job is not ordered any more.  */
  if (!progress || job_state_is_final (entry->state)
      || placed->attempt <= progress->placed)
    return;
  if (entry->desc->steps[placed->task.step].speculative && progress->worker)
    {
      progress->earlier = progress->placed;
      progress->earlier_worker = progress->worker;
    }
  progress->placed = placed->attempt;
  progress->worker = placed->worker;
  progress->placed_epoch = (uint32_t)epoch;
}

static void
fold_value (jobtab_t *table, const gang_value_t *row)
{
  job_entry_t *entry = jobtab_find (table, row->task.id);
  uint32_t number;

  if (!entry || job_state_is_final (entry->state) || !row->value)
    return;
  number = job_task_number (entry->desc, &row->task);
  if (number != UINT32_MAX)
    job_entry_set_value (entry, number, row->attempt, row->value);
}

/* Records that ATTEMPT of a task has ended.  */
static void
clear_run (task_progress_t *progress, uint32_t attempt)
{
  if (attempt == progress->placed)
    progress->worker = NULL;
  if (attempt == progress->earlier)
    progress->earlier_worker = NULL;
}

/* Clears the run OVER, which an owner of EPOCH has recorded.  A later owner
   that has not read of an attempt uses its number again, so the row of an
   attempt that was placed after EPOCH is about another run.  False: nothing
   has changed.  */
static bool
fold_over (jobtab_t *table, const run_over_t *over, uint64_t epoch)
{
  const job_entry_t *entry;
  task_progress_t *progress = find_task (table, &over->task, &entry);
  bool could_run;

  if (!progress || progress->placed_epoch > epoch)
    return false;
  could_run
      = (progress->worker && over->attempt == progress->placed)
        || (progress->earlier_worker && over->attempt == progress->earlier);
  clear_run (progress, over->attempt);
  return could_run;
}

/* Applies what REC, the progress of a replaced owner, says of runs that are
   over, and removes the other rows of them.  */
static void
fold_superseded (jobtab_t *table, const job_rec_t *rec)
{
  GArray *over = rec->u.progress.over;

  for (uint32_t i = over ? over->len : 0; i-- > 0;)
    if (!fold_over (table, &g_array_index (over, run_over_t, i),
                    rec->u.progress.epoch))
      g_array_remove_index_fast (over, i);
}

static void
fold_end (jobtab_t *table, const task_end_t *end)
{
  const job_entry_t *entry;
  task_progress_t *progress = find_task (table, &end->task, &entry);

  if (!progress)
    return;
  if (end->done)
    progress->done = true;
  else
    failures_add (&progress->failures, end->attempt);
  clear_run (progress, end->attempt);
}

void
jobtab_set_silent (jobtab_t *table, const char *worker, int64_t until_us)
{
  int64_t *until = g_new (int64_t, 1);

  *until = until_us;
  g_hash_table_insert (table->silent, (gpointer)worker, until);
}

/* The time is counted from when the row is read, which is later than when its
   owner has written it.  */
static void
fold_silence (jobtab_t *table, const worker_silence_t *row, int64_t now_us)
{
  if (row->answers)
    g_hash_table_remove (table->silent, row->worker);
  else
    jobtab_set_silent (table, row->worker,
                       now_us + (int64_t)row->left_ms * 1000);
}

static fold_result_t
fold_progress (jobtab_t *table, const job_rec_t *rec, int64_t now_ms,
               int64_t now_us)
{
  const GArray *placed = rec->u.progress.placed;
  const GArray *ends = rec->u.progress.ends;
  const GArray *changes = rec->u.progress.changes;
  const GArray *over = rec->u.progress.over;
  const GArray *silences = rec->u.progress.silences;
  const GArray *values = rec->u.progress.values;

  if (rec->u.progress.epoch < table->owner.epoch)
    {
      fold_superseded (table, rec);
      return (fold_result_t){ FOLD_SUPERSEDED, NULL };
    }
  if (rec->u.progress.epoch > table->owner.epoch)
    return (fold_result_t){ FOLD_NOTHING, NULL };
  for (uint32_t i = 0; values && i < values->len; i++)
    fold_value (table, &g_array_index (values, gang_value_t, i));
  for (uint32_t i = 0; i < placed->len; i++)
    fold_placed (table, &g_array_index (placed, task_placed_t, i),
                 rec->u.progress.epoch);
  for (uint32_t i = 0; i < ends->len; i++)
    fold_end (table, &g_array_index (ends, task_end_t, i));
  for (uint32_t i = 0; over && i < over->len; i++)
    fold_over (table, &g_array_index (over, run_over_t, i),
               rec->u.progress.epoch);
  for (uint32_t i = 0; silences && i < silences->len; i++)
    fold_silence (table, &g_array_index (silences, worker_silence_t, i),
                  now_us);
  for (uint32_t i = 0; i < changes->len; i++)
    {
      const job_change_t *change = &g_array_index (changes, job_change_t, i);
      job_entry_t *entry = jobtab_find (table, change->id);

      if (entry)
        entry_set_state (table, entry, change->state, now_ms);
    }
  return (fold_result_t){ FOLD_PROGRESS, NULL };
}

fold_result_t
jobtab_fold (jobtab_t *table, job_rec_t *rec, int64_t now_ms, int64_t now_us)
{
  bool present = rec->kind != JREC_SUBMIT && rec->kind != JREC_CANCEL
                 && rec->kind != JREC_PROGRESS
                 && rec->u.owner.epoch == table->owner.epoch;

  switch (rec->kind)
    {
    case JREC_SUBMIT:
      return fold_submit (table, rec, now_ms);
    case JREC_CANCEL:
      return fold_cancel (table, rec, now_ms, now_us);
    case JREC_CLAIM:
      return fold_claim (table, rec);
    case JREC_RENEW:
      return (fold_result_t){ present ? FOLD_RENEWED : FOLD_NOTHING, NULL };
    case JREC_PROBE:
      return (fold_result_t){ present ? FOLD_PROBED : FOLD_NOTHING, NULL };
    case JREC_RELEASE:
      table->owner.released |= present;
      return (fold_result_t){ present ? FOLD_RELEASED : FOLD_NOTHING, NULL };
    case JREC_PROGRESS:
      return fold_progress (table, rec, now_ms, now_us);
    }
  return (fold_result_t){ FOLD_NOTHING, NULL };
}

void
jobtab_purge (jobtab_t *table, int64_t now_ms, int64_t keep_ms,
              void (*drop) (const job_entry_t *entry, void *ctx), void *ctx)
{
  g_autoptr (GPtrArray) without_runs = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, table->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      job_entry_t *entry = value;
      int64_t age_ms = now_ms - entry->since_ms;

      if (!job_state_is_final (entry->state))
        continue;
      if (age_ms >= keep_ms)
        {
          drop (entry, ctx);
          g_hash_table_iter_remove (&iter);
        }
      else if (entry->tasks && age_ms >= JOBTAB_RUNS_KEPT_MS)
        g_ptr_array_add (without_runs, entry);
    }
  for (uint32_t i = 0; i < without_runs->len; i++)
    entry_strip (table, g_ptr_array_index (without_runs, i), false);
}

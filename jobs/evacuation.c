#include "evacuation.h"
#include "schedint.h"

/* Interval at which runs that are left are counted, and long-running tasks
   stopped.  A stop takes about as long.  */
#define PLAN_INTERVAL_US 100000
/* Two holds: a report that was requested after an unanswered start was sent
   arrives in this time.  */
#define START_SETTLE_US 1000000
/* A new owner knows most workers and their runs after this time.  */
#define WORKERS_KNOWN_US 2000000
#define PROGRESS_LOG_US 1000000
/* The shortest lease for a start, as part of evacuate_ms if that is short.  */
#define START_LEASE_PART 5

/* A data centre that is withdrawn, as this owner knows it.  */
typedef struct evacuation
{
  const char *name;  /* interned */
  int64_t began_us;  /* at this owner */
  int64_t logged_us; /* last progress */
  uint32_t logged_runs;
  bool emptied; /* logged that no run is left */
  bool unknown; /* logged that nothing is there */
} evacuation_t;

/* What is in a data centre.  */
typedef struct contents
{
  uint32_t workers;
  uint32_t hosts;
  uint32_t runs;
  uint32_t long_running; /* of the runs */
} contents_t;

bool
worker_is_evacuated (const worker_t *worker)
{
  return worker->evacuated;
}

bool
host_is_evacuated (const host_t *host)
{
  return host->evacuated;
}

static bool
is_cold (const worker_t *worker, int64_t now_us)
{
  return worker->cold_from_us != 0 && worker->warm_us > now_us
         && now_us - worker->cold_from_us < CENTRES_KEPT_US;
}

bool
worker_is_held_cold (const worker_t *worker, int64_t now_us)
{
  int64_t span_us = worker->warm_us - worker->cold_from_us;
  int64_t passed_us = now_us - worker->cold_from_us;

  if (!is_cold (worker, now_us))
    return false;
  /* The CPU in use may grow evenly until the worker is warm.  */
  return !worker->cold_open
         || (worker->runs->len > 0
             && (double)worker->allocated.cpu_milli * (double)span_us
                    > (double)worker->capacity.cpu_milli * (double)passed_us);
}

static const centre_t *
centre_of (const sched_t *sched, const char *data_centre)
{
  return sched->centres ? centres_find (sched->centres, data_centre) : NULL;
}

void
evacuation_update_worker (sched_t *sched, worker_t *worker)
{
  const centre_t *centre = centre_of (sched, worker->data_centre);
  int64_t from_us = 0;

  worker->evacuated = centre && centre->state == CENTRE_EVACUATED;
  if (centre && centre->state == CENTRE_TAKEN_BACK)
    from_us = centre->since_us;
  worker->cold_from_us = from_us;
  if (from_us != 0)
    sched->cold_until_us
        = MAX (sched->cold_until_us,
               MIN (worker->warm_us, from_us + CENTRES_KEPT_US));
}

void
evacuation_update_host (const sched_t *sched, host_t *host)
{
  const centre_t *centre = centre_of (sched, host->data_centre);
  const worker_t *worker = g_hash_table_lookup (sched->workers, host->worker);

  /* Without a data centre in the list, the registration of its worker tells.
   */
  if (host->data_centre || !worker)
    host->evacuated = centre && centre->state == CENTRE_EVACUATED;
  else
    host->evacuated = worker->evacuated;
}

static contents_t
count_contents (const sched_t *sched, const char *name)
{
  contents_t contents = { 0 };
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, sched->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const worker_t *worker = value;

      if (worker->data_centre != name)
        continue;
      contents.workers++;
      contents.runs += worker->runs->len;
      for (uint32_t i = 0; i < worker->runs->len; i++)
        {
          const run_t *run = g_ptr_array_index (worker->runs, i);

          contents.long_running += run->task->stage->spec->long_running;
        }
    }
  g_hash_table_iter_init (&iter, sched->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    contents.hosts += ((const host_t *)value)->data_centre == name;
  return contents;
}

static void
log_state (event_id_t id, const sched_t *sched, const evacuation_t *row,
           const contents_t *contents, int64_t now_us)
{
  g_autofree char *name = g_strescape (row->name, NULL);

  event_log (id,
             "data_centre=\"%s\" epoch=%" PRIu64
             " workers=%u hosts=%u runs=%u long_running=%u ms=%" PRId64,
             name, sched->epoch, contents->workers, contents->hosts,
             contents->runs, contents->long_running,
             (now_us - row->began_us) / 1000);
}

static evacuation_t *
find_evacuation (const sched_t *sched, const char *name)
{
  for (uint32_t i = 0; i < sched->evacuations->len; i++)
    {
      evacuation_t *row = &g_array_index (sched->evacuations, evacuation_t, i);

      if (row->name == name)
        return row;
    }
  return NULL;
}

static void
begin_evacuation (sched_t *sched, const char *name, int64_t now_us)
{
  contents_t contents = count_contents (sched, name);
  evacuation_t row = { .name = name,
                       .began_us = now_us,
                       .logged_us = now_us,
                       .logged_runs = contents.runs };

  g_array_append_val (sched->evacuations, row);
  sched->evacuations_begun++;
  counter_add (COUNT_EVACUATIONS, 1);
  log_state (EV_EVACUATION_BEGUN, sched, &row, &contents, now_us);
}

static void
end_missing_evacuations (sched_t *sched, int64_t now_us)
{
  for (uint32_t i = sched->evacuations->len; i-- > 0;)
    {
      const evacuation_t *row
          = &g_array_index (sched->evacuations, evacuation_t, i);
      const centre_t *centre = centre_of (sched, row->name);
      contents_t contents;

      if (centre && centre->state == CENTRE_EVACUATED)
        continue;
      contents = count_contents (sched, row->name);
      log_state (EV_EVACUATION_ENDED, sched, row, &contents, now_us);
      g_array_remove_index (sched->evacuations, i);
    }
}

void
sched_set_evacuated (sched_t *sched, const centres_t *centres, sched_now_t now)
{
  GHashTableIter iter;
  gpointer value;

  sched->centres = centres;
  if (!sched->evacuations)
    sched->evacuations = g_array_new (FALSE, TRUE, sizeof (evacuation_t));
  end_missing_evacuations (sched, now.us);
  for (uint32_t i = 0; i < centres->rows->len; i++)
    {
      const centre_t *centre = &g_array_index (centres->rows, centre_t, i);

      if (centre->state == CENTRE_EVACUATED
          && !find_evacuation (sched, centre->name))
        begin_evacuation (sched, centre->name, now.us);
    }
  g_hash_table_iter_init (&iter, sched->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    evacuation_update_worker (sched, value);
  g_hash_table_iter_init (&iter, sched->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    evacuation_update_host (sched, value);
  sched->next_evacuation_us = now.us;
  sched->place_needed = true;
  sched_wake_at (sched, now.us);
}

void
evacuation_clear (sched_t *sched)
{
  if (sched->evacuations)
    g_array_free (sched->evacuations, TRUE);
}

/* Age of the rules.  */

void
sched_confirm_rules (sched_t *sched, int64_t confirmed_us)
{
  sched->rules_confirmed_us = MAX (sched->rules_confirmed_us, confirmed_us);
}

/* The latest time at which a start that is sent now may be carried out.  */
static int64_t
start_limit_us (const sched_t *sched)
{
  if (sched->limits.evacuate_ms == 0)
    return INT64_MAX;
  return sched->rules_confirmed_us + (int64_t)sched->limits.evacuate_ms * 1000
         - LEASE_MARGIN_US;
}

bool
evacuation_allows_starts (const sched_t *sched, int64_t now_us)
{
  int64_t shortest_us
      = MIN (START_LEASE_MIN_US,
             (int64_t)sched->limits.evacuate_ms * 1000 / START_LEASE_PART);

  return sched->limits.evacuate_ms == 0
         || (sched->rules_confirmed_us != 0
             && start_limit_us (sched) - now_us >= shortest_us);
}

int64_t
evacuation_deadline_ms (const sched_t *sched, const worker_t *worker,
                        int64_t deadline_ms, int64_t now_us)
{
  int64_t left_us;
  int64_t limit_ms;

  if (sched->limits.evacuate_ms == 0)
    return deadline_ms;
  if (!evacuation_allows_starts (sched, now_us))
    return 0;
  /* The worker's clock may be slow, so it shows less when the time is over. */
  left_us = (start_limit_us (sched) - worker->clock_read_us) * 100
            / (100 + CLOCK_DRIFT_MAX_PERCENT);
  limit_ms = worker->clock_ms + left_us / 1000;
  if (limit_ms <= worker_clock_at (worker, now_us))
    return 0;
  return MIN (deadline_ms, limit_ms);
}

/* Starts.  */

static void
hold_starts (sched_t *sched, bool held, int64_t now_us)
{
  if (held == sched->starts_held)
    return;
  sched->starts_held = held;
  event_log (held ? EV_STARTS_HELD : EV_STARTS_RESUMED,
             "rules_age_ms=%" PRId64 " evacuate_ms=%u",
             sched->rules_confirmed_us
                 ? (now_us - sched->rules_confirmed_us) / 1000
                 : -1,
             sched->limits.evacuate_ms);
}

static void
open_cold_workers (sched_t *sched, bool open)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, sched->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((worker_t *)value)->cold_open = open;
}

void
evacuation_place (sched_t *sched, sched_now_t now)
{
  bool allowed = evacuation_allows_starts (sched, now.us);

  hold_starts (sched, !allowed, now.us);
  if (!allowed)
    {
      sched->next_place_us = now.us + PLACE_RETRY_US;
      return;
    }
  place_pools (sched, now);
  if (sched->cold_until_us <= now.us)
    return;
  open_cold_workers (sched, true);
  place_pools (sched, now);
  open_cold_workers (sched, false);
}

void
evacuation_settle_start (sched_t *sched, run_t *run, sched_now_t now)
{
  if (now.us - run->resend_us < START_SETTLE_US)
    {
      worker_wake_at (sched, run->worker, run->resend_us + START_SETTLE_US);
      return;
    }
  /* Without a report it may run, and a long-running task may serve.  The end
     of its lease bounds the wait.  */
  if (run->worker->report_sent_us <= run->resend_us)
    {
      worker_wake_at (sched, run->worker, now.us + PLACE_RETRY_US);
      return;
    }
  task_log_interrupted (run->task, run->attempt, run->worker, "stop",
                        "evacuated", now.us);
  run_stop (sched, run);
  gang_stop (sched, run);
}

/* Progress.  */

static void
log_progress (const sched_t *sched, evacuation_t *row, int64_t now_us)
{
  contents_t contents = count_contents (sched, row->name);
  bool settled = now_us - row->began_us >= WORKERS_KNOWN_US;

  if (settled && !row->unknown && contents.workers + contents.hosts == 0)
    log_state (EV_EVACUATION_UNKNOWN, sched, row, &contents, now_us);
  row->unknown |= settled && contents.workers + contents.hosts == 0;
  if (contents.runs != row->logged_runs
      && now_us - row->logged_us >= PROGRESS_LOG_US)
    {
      log_state (EV_EVACUATION_PROGRESS, sched, row, &contents, now_us);
      row->logged_us = now_us;
      row->logged_runs = contents.runs;
    }
  if (settled && !row->emptied && contents.runs == 0 && contents.workers > 0)
    {
      log_state (EV_EVACUATION_EMPTIED, sched, row, &contents, now_us);
      histogram_add (HIST_EVACUATE, now_us - row->began_us);
      row->emptied = true;
    }
}

void
evacuation_plan (sched_t *sched, sched_now_t now)
{
  if (!sched->evacuations || sched->evacuations->len == 0)
    return;
  if (sched->next_evacuation_us <= now.us)
    {
      sched->next_evacuation_us = now.us + PLAN_INTERVAL_US;
      evacmoves_plan (sched, now);
      for (uint32_t i = 0; i < sched->evacuations->len; i++)
        log_progress (sched,
                      &g_array_index (sched->evacuations, evacuation_t, i),
                      now.us);
    }
  sched_wake_at (sched, sched->next_evacuation_us);
}

void
evacuation_dump (const sched_t *sched, GString *out, sched_now_t now)
{
  if (sched->limits.evacuate_ms > 0)
    g_string_append_printf (
        out, "rules-age-ms %" PRId64 " starts %s\n",
        (now.us - sched->rules_confirmed_us) / 1000,
        evacuation_allows_starts (sched, now.us) ? "allowed" : "held");
  for (uint32_t i = 0; sched->evacuations && i < sched->evacuations->len; i++)
    {
      const evacuation_t *row
          = &g_array_index (sched->evacuations, evacuation_t, i);
      contents_t contents = count_contents (sched, row->name);
      g_autofree char *name = g_strescape (row->name, NULL);

      g_string_append_printf (
          out,
          "evacuating \"%s\" workers %u hosts %u runs %u long-running %u "
          "ms %" PRId64 "\n",
          name, contents.workers, contents.hosts, contents.runs,
          contents.long_running, (now.us - row->began_us) / 1000);
    }
}

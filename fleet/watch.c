#include "fleet.h"

struct watch
{
  GHashTable *hosts; /* interned name -> host_watch_t */
  uint64_t generation;
  int64_t updated_us;
  bool no_reports;
};

watch_t *
watch_new (void)
{
  watch_t *watch = g_new0 (watch_t, 1);

  watch->hosts = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  watch->no_reports = true;
  return watch;
}

void
watch_free (watch_t *watch)
{
  if (!watch)
    return;
  g_hash_table_destroy (watch->hosts);
  g_free (watch);
}

bool
watch_has_no_reports (const watch_t *watch)
{
  return watch->no_reports;
}

const host_watch_t *
watch_find (const watch_t *watch, const char *host)
{
  return g_hash_table_lookup (watch->hosts, host);
}

static void
restart_times (host_watch_t *host, int64_t now_us)
{
  host->phase_since_us = now_us;
  host->listing_since_us = now_us;
  host->empty_since_us = INT64_MAX;
}

/* Adds an entry for each new host of the state and removes the entries of
   hosts that are no longer in it.  */
static void
sync_hosts (watch_t *watch, const state_t *state, int64_t now_us)
{
  bool gap = now_us - watch->updated_us > WATCH_GAP_MAX_US;
  GHashTableIter iter;
  gpointer value;

  for (uint32_t i = 0; i < state->hosts.count; i++)
    {
      const host_state_t *known = table_at (&state->hosts, i);
      host_watch_t *host = g_hash_table_lookup (watch->hosts, known->name);

      if (!host)
        {
          host = g_new0 (host_watch_t, 1);
          g_hash_table_insert (watch->hosts, (gpointer)known->name, host);
          restart_times (host, now_us);
        }
      else if (gap)
        restart_times (host, now_us);
      if (host->version != known->version)
        {
          host->version = known->version;
          host->phase_since_us = now_us;
          host->empty_since_us = INT64_MAX;
          host->was_unlisted = false;
        }
      host->generation = watch->generation;
    }
  g_hash_table_iter_init (&iter, watch->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((const host_watch_t *)value)->generation != watch->generation)
      g_hash_table_iter_remove (&iter);
}

static void
apply_report (host_watch_t *host, const host_report_t *report, int64_t now_us)
{
  bool empty = report->load_known && report->load == 0;

  if (!host->listed || host->leaving != report->leaving
      || host->verified != report->verified)
    host->listing_since_us = now_us;
  host->listed = true;
  host->leaving = report->leaving;
  host->verified = report->verified;
  host->load = report->load;
  host->load_known = report->load_known;
  if (!empty)
    host->empty_since_us = INT64_MAX;
  else if (host->empty_since_us == INT64_MAX)
    host->empty_since_us = now_us;
  host->generation++;
}

static void
mark_unlisted (host_watch_t *host, int64_t now_us)
{
  if (host->listed)
    host->listing_since_us = now_us;
  host->listed = false;
  host->leaving = false;
  host->verified = false;
  host->load_known = false;
  host->empty_since_us = INT64_MAX;
  host->was_unlisted = true;
}

void
watch_update (watch_t *watch, const state_t *state,
              const host_report_t *reports, uint32_t count, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;

  watch->no_reports = count == 0;
  if (watch->no_reports)
    return;
  watch->generation += 2; /* a reported host is set to generation + 1 */
  sync_hosts (watch, state, now_us);
  watch->updated_us = now_us;
  for (uint32_t i = 0; i < count; i++)
    {
      host_watch_t *host = g_hash_table_lookup (watch->hosts, reports[i].host);

      if (host && host->generation == watch->generation)
        apply_report (host, &reports[i], now_us);
    }
  g_hash_table_iter_init (&iter, watch->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((const host_watch_t *)value)->generation == watch->generation)
      mark_unlisted (value, now_us);
}

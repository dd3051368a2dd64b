#include "fleet.h"
#include <stdlib.h>
#include <string.h>

static const wave_times_t default_times = {
  .settle_us = WAVE_SETTLE_US,
  .drain_idle_us = WAVE_DRAIN_IDLE_US,
  .unseen_restart_us = WAVE_UNSEEN_RESTART_US,
  .maintenance_timeout_us = WAVE_MAINTENANCE_TIMEOUT_US,
};

/* The records decided so far.  */
typedef struct output
{
  const wave_input_t *in;
  const wave_times_t *times;
  rec_t *records;
  uint32_t count;
  uint32_t max;
} output_t;

/* A host that a wave may drain next.  */
typedef struct candidate
{
  const host_state_t *host;
  uint64_t rack_load;
  uint32_t load;
  bool spare;
  bool rack_under_way;
} candidate_t;

typedef struct rack_totals
{
  uint64_t load;
  bool under_way; /* the wave has drained a host of it */
} rack_totals_t;

uint32_t
wave_owner (const char *key, const char *const *entries, uint32_t count)
{
  return hash_owner (key, strlen (key), entries, count);
}

static bool
is_owner (const wave_input_t *in, const char *key)
{
  uint32_t owner;

  if (in->entries_count == 0)
    return false;
  owner = wave_owner (key, in->entries, in->entries_count);
  return strcmp (in->entries[owner], in->self) == 0;
}

static bool
has_lasted (const wave_input_t *in, int64_t since_us, int64_t time_us)
{
  return since_us <= in->now_us - time_us;
}

static bool
has_returned (const output_t *out, const host_watch_t *watch)
{
  return watch->listed && !watch->leaving && watch->verified
         && has_lasted (out->in, watch->listing_since_us,
                        out->times->settle_us);
}

static bool
is_missing (const output_t *out, const host_watch_t *watch)
{
  return !watch->listed
         && has_lasted (out->in, watch->listing_since_us,
                        out->times->settle_us);
}

/* The phase that HOST should enter now; its current one if none.  */
static host_phase_t
next_phase (const output_t *out, const host_state_t *host,
            const host_watch_t *watch)
{
  const wave_input_t *in = out->in;
  bool restart_elapsed
      = has_lasted (in, watch->phase_since_us, out->times->unseen_restart_us);

  switch (host->phase)
    {
    case HOST_IN_SERVICE:
      return is_missing (out, watch) ? HOST_FAILED : host->phase;
    case HOST_DRAINING:
      if (is_missing (out, watch))
        return HOST_FAILED;
      return has_lasted (in, watch->empty_since_us, out->times->drain_idle_us)
                 ? HOST_DRAINED
                 : host->phase;
    case HOST_DRAINED:
      if (is_missing (out, watch))
        return HOST_FAILED;
      return host->wave ? HOST_MAINTENANCE : host->phase;
    case HOST_MAINTENANCE:
      if (has_returned (out, watch)
          && (watch->was_unlisted || restart_elapsed))
        return HOST_IN_SERVICE;
      return has_lasted (in, watch->phase_since_us,
                         out->times->maintenance_timeout_us)
                 ? HOST_FAILED
                 : host->phase;
    case HOST_FAILED:
      return has_returned (out, watch) ? HOST_IN_SERVICE : host->phase;
    }
  return host->phase;
}

static rec_t *
add_record (output_t *out, rec_kind_t kind)
{
  rec_t *rec;

  if (out->count == out->max)
    return NULL;
  rec = &out->records[out->count++];
  rec_init (rec, kind, out->in->self, out->in->now_ms);
  return rec;
}

static void
decide_phases (output_t *out)
{
  const state_t *state = out->in->state;

  for (uint32_t i = 0; i < state->hosts.count; i++)
    {
      const host_state_t *host = table_at (&state->hosts, i);
      const host_watch_t *watch = watch_find (out->in->watch, host->name);
      host_phase_t phase;
      rec_t *rec;

      if (!watch || watch->version != host->version)
        continue;
      phase = next_phase (out, host, watch);
      if (phase == host->phase || !is_owner (out->in, host->name))
        continue;
      rec = add_record (out, REC_HOST_STATE);
      if (!rec)
        return;
      g_strlcpy (rec->u.host_state.host, host->name, REC_NAME_BYTES);
      rec->u.host_state.host_version = host->version;
      rec->u.host_state.phase = phase;
    }
}

static bool
is_out_for (const host_state_t *host, const char *wave)
{
  return host->wave && host->phase != HOST_IN_SERVICE
         && strcmp (host->wave, wave) == 0;
}

static bool
may_be_drained (const host_state_t *host, const host_watch_t *watch)
{
  return host->phase == HOST_IN_SERVICE && watch && watch->listed
         && !watch->leaving;
}

static int
compare_candidates (const void *a, const void *b)
{
  const candidate_t *l = a;
  const candidate_t *r = b;

  if (l->spare != r->spare)
    return l->spare ? -1 : 1;
  if (l->rack_under_way != r->rack_under_way)
    return l->rack_under_way ? -1 : 1;
  if (l->rack_load != r->rack_load)
    return l->rack_load < r->rack_load ? -1 : 1;
  if (l->host->rack != r->host->rack)
    return strcmp (l->host->rack, r->host->rack);
  if (l->load != r->load)
    return l->load < r->load ? -1 : 1;
  return strcmp (l->host->name, r->host->name);
}

/* Totals of each rack over the hosts of the wave's pools: the load of the
   hosts still to be drained, and whether the wave has started on the rack.  */
static GHashTable *
total_racks (const output_t *out, const wave_t *config,
             const wave_state_t *wave)
{
  GHashTable *totals
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  const state_t *state = out->in->state;

  for (uint32_t i = 0; i < state->hosts.count; i++)
    {
      const host_state_t *host = table_at (&state->hosts, i);
      const host_watch_t *watch = watch_find (out->in->watch, host->name);
      rack_totals_t *rack;

      if (!wave_covers_pool (config, host->pool))
        continue;
      rack = g_hash_table_lookup (totals, host->rack);
      if (!rack)
        {
          rack = g_new0 (rack_totals_t, 1);
          g_hash_table_insert (totals, (gpointer)host->rack, rack);
        }
      if (state_wave_host_done (state, wave, host))
        rack->under_way = true;
      else if (watch)
        rack->load += watch->load;
    }
  return totals;
}

/* The hosts that WAVE may drain, in its order.  */
static GArray *
list_candidates (const output_t *out, const wave_t *config,
                 const wave_state_t *wave)
{
  GArray *list = g_array_new (FALSE, FALSE, sizeof (candidate_t));
  g_autoptr (GHashTable) totals = total_racks (out, config, wave);
  const state_t *state = out->in->state;

  for (uint32_t i = 0; i < state->hosts.count; i++)
    {
      const host_state_t *host = table_at (&state->hosts, i);
      const host_watch_t *watch = watch_find (out->in->watch, host->name);
      const rack_totals_t *rack = g_hash_table_lookup (totals, host->rack);
      candidate_t c = { .host = host };

      if (!rack || !wave_covers_pool (config, host->pool)
          || !may_be_drained (host, watch)
          || state_wave_host_done (state, wave, host))
        continue;
      c.load = watch->load_known ? watch->load : UINT32_MAX;
      c.rack_load = rack->load;
      c.rack_under_way = rack->under_way;
      c.spare = fleet_find_pool (state->config->fleet, host->pool)->spare;
      g_array_append_val (list, c);
    }
  g_array_sort (list, compare_candidates);
  return list;
}

static void
add_drain (output_t *out, const wave_state_t *wave, const host_state_t *host)
{
  rec_t *rec = add_record (out, REC_DRAIN);

  if (!rec)
    return;
  g_strlcpy (rec->u.drain.host, host->name, REC_NAME_BYTES);
  g_strlcpy (rec->u.drain.wave, wave->name, REC_NAME_BYTES);
  rec->u.drain.host_version = host->version;
  rec->u.drain.wave_run = wave->run;
}

static void
add_wave_done (output_t *out, const wave_state_t *wave)
{
  rec_t *rec = add_record (out, REC_WAVE);

  if (!rec)
    return;
  g_strlcpy (rec->u.wave.wave, wave->name, REC_NAME_BYTES);
  rec->u.wave.wave_version = wave->version;
  rec->u.wave.phase = WAVE_DONE;
}

static void
decide_wave (output_t *out, const wave_t *config, const wave_state_t *wave,
             budget_t *budget)
{
  wave_progress_t progress = wave_progress (out->in->state, wave->name);
  uint32_t at_once = config->at_once ? config->at_once : UINT32_MAX;
  g_autoptr (GArray) list = NULL;

  if (progress.taken == progress.hosts && progress.out == 0)
    {
      add_wave_done (out, wave);
      return;
    }
  if (progress.out >= at_once || progress.taken == progress.hosts)
    return;
  list = list_candidates (out, config, wave);
  for (uint32_t i = 0; i < list->len && progress.out < at_once; i++)
    {
      const host_state_t *host = g_array_index (list, candidate_t, i).host;

      if (budget_left (budget, host->pool, host->rack) == 0)
        continue;
      add_drain (out, wave, host);
      budget_take (budget, host->pool, host->rack);
      progress.out++;
    }
}

static void
decide_waves (output_t *out)
{
  const state_t *state = out->in->state;
  const fleet_t *fleet = state->config->fleet;
  budget_t *budget = budget_new (state);

  budget_take_missing (budget, state, out->in->watch);
  for (uint32_t i = 0; i < fleet->waves_count; i++)
    {
      const wave_state_t *wave
          = table_find (&state->waves, fleet->waves[i].name);

      if (wave && wave->phase == WAVE_RUNNING
          && is_owner (out->in, wave->name))
        decide_wave (out, &fleet->waves[i], wave, budget);
    }
  budget_free (budget);
}

uint32_t
wave_next (const wave_input_t *in, rec_t *records, uint32_t max)
{
  output_t out = {
    .in = in,
    .times = in->times ? in->times : &default_times,
    .records = records,
    .max = max,
  };

  if (!in->fresh || watch_has_no_reports (in->watch) || !in->state->config)
    return 0;
  decide_phases (&out);
  decide_waves (&out);
  return out.count;
}

wave_progress_t
wave_progress (const state_t *state, const char *wave)
{
  const wave_state_t *known = table_find (&state->waves, wave);
  const fleet_t *fleet = state->config ? state->config->fleet : NULL;
  wave_progress_t progress = { 0 };
  const wave_t *config = NULL;

  for (uint32_t i = 0; fleet && i < fleet->waves_count; i++)
    if (strcmp (fleet->waves[i].name, wave) == 0)
      config = &fleet->waves[i];
  for (uint32_t i = 0; config && known && i < state->hosts.count; i++)
    {
      const host_state_t *host = table_at (&state->hosts, i);

      if (is_out_for (host, wave))
        progress.out++;
      if (!wave_covers_pool (config, host->pool))
        continue;
      progress.hosts++;
      if (state_wave_host_done (state, known, host))
        progress.taken++;
    }
  return progress;
}

#include "disrupt.h"
#include <string.h>

uint32_t
state_budget_left (const state_t *state, const char *pool, const char *rack)
{
  const pool_t *rule
      = state->config ? fleet_find_pool (state->config->fleet, pool) : NULL;
  uint32_t out = 0;
  uint32_t out_in_rack = 0;
  uint32_t left;

  if (!rule)
    return 0;
  for (uint32_t i = 0; i < state->hosts.count; i++)
    {
      const host_state_t *host = table_at (&state->hosts, i);

      if (host->phase == HOST_IN_SERVICE || strcmp (host->pool, pool) != 0)
        continue;
      out++;
      if (strcmp (host->rack, rack) == 0)
        out_in_rack++;
    }
  left = rule->budget_hosts > out ? rule->budget_hosts - out : 0;
  if (rule->budget_rack_hosts == 0)
    return left;
  if (out_in_rack >= rule->budget_rack_hosts)
    return 0;
  return MIN (left, rule->budget_rack_hosts - out_in_rack);
}

static bool
wave_is_unfinished (const wave_state_t *wave)
{
  return wave->phase == WAVE_RUNNING || wave->phase == WAVE_PAUSED;
}

/* A host records only the last run that drained it.  While that run is
   unfinished another wave must not overwrite it, or the host would be drained
   twice in that run.  The other wave counts the host's maintenance as its own;
   if it waited for the first wave, two waves could wait for each other.  */
bool
state_wave_host_done (const state_t *state, const wave_state_t *wave,
                      const host_state_t *host)
{
  const wave_state_t *other;

  if (!host->done_wave)
    return false;
  if (strcmp (host->done_wave, wave->name) == 0)
    return host->done_run == wave->run;
  other = table_find (&state->waves, host->done_wave);
  return other && other->run == host->done_run && wave_is_unfinished (other);
}

static uint32_t
count_hosts_out_for_wave (const state_t *state, const char *wave)
{
  uint32_t out = 0;

  for (uint32_t i = 0; i < state->hosts.count; i++)
    {
      const host_state_t *host = table_at (&state->hosts, i);

      if (host->wave && host->phase != HOST_IN_SERVICE
          && strcmp (host->wave, wave) == 0)
        out++;
    }
  return out;
}

static verdict_t
check_wave_drain (const state_t *state, const host_state_t *host,
                  const rec_drain_t *rec)
{
  const wave_state_t *wave = table_find (&state->waves, rec->wave);
  const wave_t *rule
      = wave ? fleet_find_wave (state->config->fleet, rec->wave) : NULL;

  if (!rule)
    return VERDICT_INVALID;
  if (wave->phase != WAVE_RUNNING || wave->run != rec->wave_run)
    return VERDICT_STALE;
  if (!wave_covers_pool (rule, host->pool))
    return VERDICT_STALE;
  if (state_wave_host_done (state, wave, host))
    return VERDICT_STALE;
  if (rule->at_once
      && count_hosts_out_for_wave (state, rec->wave) >= rule->at_once)
    return VERDICT_STALE;
  return VERDICT_APPLIED;
}

verdict_t
disrupt_drain (state_t *state, const rec_drain_t *rec)
{
  host_state_t *host = table_find (&state->hosts, rec->host);

  if (!host)
    return VERDICT_INVALID;
  if (host->version != rec->host_version || host->phase != HOST_IN_SERVICE)
    return VERDICT_STALE;
  if (rec->wave[0])
    {
      verdict_t verdict = check_wave_drain (state, host, rec);

      if (verdict != VERDICT_APPLIED)
        return verdict;
    }
  if (state_budget_left (state, host->pool, host->rack) == 0)
    return VERDICT_STALE;
  host->phase = HOST_DRAINING;
  host->version++;
  host->wave = rec->wave[0] ? g_intern_string (rec->wave) : NULL;
  if (host->wave)
    {
      host->done_wave = host->wave;
      host->done_run = rec->wave_run;
    }
  return VERDICT_APPLIED;
}

static bool
host_may_enter (host_phase_t from, host_phase_t to)
{
  switch (to)
    {
    case HOST_IN_SERVICE:
      return from != HOST_IN_SERVICE;
    case HOST_DRAINING:
      return false; /* only by a DRAIN record, which checks the budget */
    case HOST_DRAINED:
      return from == HOST_DRAINING;
    case HOST_MAINTENANCE:
      return from == HOST_DRAINED;
    case HOST_FAILED:
      return from != HOST_FAILED;
    }
  return false;
}

verdict_t
disrupt_host_state (state_t *state, const rec_host_state_t *rec)
{
  host_state_t *host = table_find (&state->hosts, rec->host);

  if (!host)
    return VERDICT_INVALID;
  if (host->version != rec->host_version)
    return VERDICT_STALE;
  if (!host_may_enter (host->phase, rec->phase))
    return VERDICT_INVALID;
  host->phase = rec->phase;
  host->version++;
  if (rec->phase == HOST_IN_SERVICE)
    host->wave = NULL;
  return VERDICT_APPLIED;
}

/* A host drained for a wave is not moved: the move would return it to service
   without maintenance, while the wave counts it as done.  */
verdict_t
disrupt_host_move (state_t *state, const rec_host_move_t *rec)
{
  host_state_t *host = table_find (&state->hosts, rec->host);

  if (!host || !fleet_find_pool (state->config->fleet, rec->pool))
    return VERDICT_INVALID;
  if (host->version != rec->host_version || host->phase != HOST_DRAINED
      || host->wave)
    return VERDICT_STALE;
  host->pool = g_intern_string (rec->pool);
  host->phase = HOST_IN_SERVICE;
  host->version++;
  return VERDICT_APPLIED;
}

static bool
overlaps_unfinished_wave (const state_t *state, const char *name)
{
  const wave_t *rule = fleet_find_wave (state->config->fleet, name);

  for (uint32_t i = 0; rule && i < state->waves.count; i++)
    {
      const wave_state_t *other = table_at (&state->waves, i);
      const wave_t *other_rule
          = fleet_find_wave (state->config->fleet, other->name);

      if (!wave_is_unfinished (other) || !other_rule
          || strcmp (other->name, name) == 0)
        continue;
      for (uint32_t j = 0; j < rule->pools_count; j++)
        if (wave_covers_pool (other_rule, rule->pools[j]))
          return true;
    }
  return false;
}

/* Without this rule a finished wave could be paused and resumed, which would
   continue its old run, in which every host is already done.  */
static bool
wave_may_enter (wave_phase_t from, wave_phase_t to)
{
  switch (to)
    {
    case WAVE_IDLE:
      return false;
    case WAVE_RUNNING:
      return from != WAVE_RUNNING;
    case WAVE_PAUSED:
    case WAVE_DONE:
      return from == WAVE_RUNNING;
    case WAVE_ABANDONED:
      return from == WAVE_RUNNING || from == WAVE_PAUSED;
    }
  return false;
}

verdict_t
disrupt_wave (state_t *state, const rec_wave_t *rec)
{
  wave_state_t *wave = table_find (&state->waves, rec->wave);
  bool new_run;

  if (!wave)
    return VERDICT_INVALID;
  if (wave->version != rec->wave_version || wave->phase == rec->phase)
    return VERDICT_STALE;
  if (!wave_may_enter (wave->phase, rec->phase))
    return VERDICT_INVALID;
  new_run = rec->phase == WAVE_RUNNING && wave->phase != WAVE_PAUSED;
  if (new_run && overlaps_unfinished_wave (state, rec->wave))
    return VERDICT_STALE;
  if (new_run)
    wave->run++;
  wave->phase = rec->phase;
  wave->version++;
  return VERDICT_APPLIED;
}

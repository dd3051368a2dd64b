#include "report.h"
#include <string.h>

/* Returns how many hosts of one rack of POOL may be taken out of service now,
   for the rack that allows most: rack budgets may allow fewer in others.  */
static uint32_t
budget_left (const state_t *state, const char *pool)
{
  g_autoptr (GHashTable) racks = g_hash_table_new (g_str_hash, g_str_equal);
  uint32_t left = 0;

  for (uint32_t i = 0; i < state->hosts.count; i++)
    {
      const host_state_t *host = table_at (&state->hosts, i);

      if (strcmp (host->pool, pool) == 0
          && g_hash_table_add (racks, (gpointer)host->rack))
        left = MAX (left, state_budget_left (state, pool, host->rack));
    }
  return left;
}

static json_t *
report_pool (const state_t *state, const pool_t *pool)
{
  uint32_t phases[HOST_FAILED + 1] = { 0 };
  uint32_t hosts = 0;

  for (uint32_t i = 0; i < state->hosts.count; i++)
    {
      const host_state_t *host = table_at (&state->hosts, i);

      if (strcmp (host->pool, pool->name) != 0)
        continue;
      hosts++;
      phases[host->phase]++;
    }
  return json_pack (
      "{s:s,s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:i}", "pool", pool->name, "hosts",
      (int)hosts, "in_service", (int)phases[HOST_IN_SERVICE], "draining",
      (int)phases[HOST_DRAINING], "drained", (int)phases[HOST_DRAINED],
      "maintenance", (int)phases[HOST_MAINTENANCE], "failed",
      (int)phases[HOST_FAILED], "budget", (int)pool->budget_hosts, "left",
      (int)budget_left (state, pool->name));
}

static bool
covers_pool (const wave_t *config, const char *pool)
{
  for (uint32_t i = 0; i < config->pools_count; i++)
    if (strcmp (config->pools[i], pool) == 0)
      return true;
  return false;
}

static json_t *
report_wave (const state_t *state, const wave_t *config)
{
  const wave_state_t *wave = table_find (&state->waves, config->name);
  uint32_t hosts = 0;
  uint32_t done = 0;
  uint32_t out_of_service = 0;

  for (uint32_t i = 0; i < state->hosts.count; i++)
    {
      const host_state_t *host = table_at (&state->hosts, i);

      if (host->wave && strcmp (host->wave, config->name) == 0
          && host->phase != HOST_IN_SERVICE)
        out_of_service++;
      if (!covers_pool (config, host->pool))
        continue;
      hosts++;
      if (wave && wave->run > 0 && state_wave_host_done (state, wave, host))
        done++;
    }
  return json_pack ("{s:s,s:s,s:I,s:i,s:i,s:i}", "wave", config->name, "phase",
                    wave_phase_name (wave ? wave->phase : WAVE_IDLE), "run",
                    (json_int_t)(wave ? wave->run : 0), "hosts", (int)hosts,
                    "taken", (int)done, "out", (int)out_of_service);
}

static json_t *
report_team (const state_t *state, const team_t *team)
{
  uint32_t keys = 0;
  uint32_t withdrawn = 0;

  for (uint32_t i = 0; i < state->keys.count; i++)
    {
      const key_state_t *key = table_at (&state->keys, i);

      if (strcmp (key->team, team->name) != 0)
        continue;
      keys += !key->withdrawn;
      withdrawn += key->withdrawn;
    }
  return json_pack ("{s:s,s:I,s:I,s:i,s:i}", "team", team->name, "share",
                    (json_int_t)team->share, "limit", (json_int_t)team->limit,
                    "keys", (int)keys, "withdrawn", (int)withdrawn);
}

static json_t *
report_entry_host (const state_t *state, const entry_host_t *host)
{
  const entry_state_t *entry = table_find (&state->entries, host->name);
  const char *entry_status = "never";

  if (entry && entry->incarnation > 0)
    entry_status = entry->left ? "left" : "joined";
  return json_pack ("{s:s,s:s,s:s}", "entry_host", host->name, "data_centre",
                    host->data_centre, "state", entry_status);
}

json_t *
report_state (const state_t *state)
{
  const fleet_t *fleet = state->config ? state->config->fleet : NULL;
  json_t *pools = json_array ();
  json_t *waves = json_array ();
  json_t *teams = json_array ();
  json_t *entries = json_array ();

  for (uint32_t i = 0; fleet && i < fleet->pools_count; i++)
    json_array_append_new (pools, report_pool (state, &fleet->pools[i]));
  for (uint32_t i = 0; fleet && i < fleet->waves_count; i++)
    json_array_append_new (waves, report_wave (state, &fleet->waves[i]));
  for (uint32_t i = 0; fleet && i < fleet->teams_count; i++)
    json_array_append_new (teams, report_team (state, &fleet->teams[i]));
  for (uint32_t i = 0; fleet && i < fleet->entry_hosts_count; i++)
    json_array_append_new (entries,
                           report_entry_host (state, &fleet->entry_hosts[i]));
  return json_pack ("{s:I,s:I,s:o,s:o,s:o,s:o}", "version",
                    (json_int_t)state_config_version (state), "offset",
                    (json_int_t)state->offset, "pools", pools, "waves", waves,
                    "teams", teams, "entry_hosts", entries);
}

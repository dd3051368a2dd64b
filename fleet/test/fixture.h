/* fixture - generated fleets for tests and benchmarks  */

#ifndef CUMINPIN_FLEET_FIXTURE_H
#define CUMINPIN_FLEET_FIXTURE_H

#include "fleet.h"
#include <string.h>

/* Parameters of a generated fleet.  */
typedef struct fixture
{
  uint32_t hosts;
  uint32_t pools; /* p0 is the spare pool */
  uint32_t per_rack;
  uint32_t data_centres;
  uint32_t budget;       /* hosts of each pool */
  uint32_t spare_budget; /* of p0; 0: same as budget */
  uint32_t rack_budget;
  uint32_t at_once;
  uint32_t cpu_milli;
  uint32_t mem_mib;
  uint32_t accels;
  uint32_t moved_host; /* host that is in the next pool; 0: none */
} fixture_t;

/* xorshift64star; the state must not be 0.  */
static inline uint64_t
fixture_random (uint64_t *seed)
{
  *seed ^= *seed >> 12;
  *seed ^= *seed << 25;
  *seed ^= *seed >> 27;
  return *seed * 2685821657736338717ULL;
}

static inline uint32_t
fixture_random_below (uint64_t *seed, uint32_t bound)
{
  return (uint32_t)((fixture_random (seed) >> 33) % bound);
}

/* Returns the fleet file.  The hosts of a pool are spread over racks.  The
   wave "all" covers all pools, and "one" covers p1.  */
static inline char *
fixture_text (const fixture_t *f)
{
  GString *t = g_string_new ("format: 1\ndata_centres:\n");

  for (uint32_t i = 0; i < f->data_centres; i++)
    g_string_append_printf (t, "- {name: d%u, region: r}\n", i);
  g_string_append (t, "racks:\n");
  for (uint32_t i = 0; i < f->hosts; i += f->per_rack)
    g_string_append_printf (t, "- {name: k%u, data_centre: d%u}\n",
                            i / f->per_rack,
                            i / f->per_rack % MAX (f->data_centres, 1));
  g_string_append (t, "pools:\n");
  for (uint32_t i = 0; i < f->pools; i++)
    g_string_append_printf (
        t,
        "- {name: p%u, budget_hosts: %u, budget_rack_hosts: %u, spare: %s}\n",
        i, i == 0 && f->spare_budget ? f->spare_budget : f->budget,
        f->rack_budget, i == 0 ? "true" : "false");
  g_string_append (t, "hosts:\n");
  for (uint32_t i = 0; i < f->hosts; i++)
    g_string_append_printf (
        t,
        "- {name: h%04u, rack: k%u, pool: p%u, cpu_milli: %u, mem_mib: %u, "
        "accels: %u}\n",
        i, i / f->per_rack,
        (i + (i && i == f->moved_host)) % MAX (f->pools, 1), f->cpu_milli,
        f->mem_mib, f->accels);
  g_string_append_printf (t,
                          "waves:\n- {name: one, pools: [p1]}\n"
                          "- {name: all, at_once: %u, pools: [",
                          f->at_once);
  for (uint32_t i = 0; i < f->pools; i++)
    g_string_append_printf (t, "%sp%u", i ? ", " : "", i);
  g_string_append (t, "]}\n");
  return g_string_free (t, FALSE);
}

static inline verdict_t
fixture_fold (state_t *state, rec_t *rec)
{
  verdict_t verdict = VERDICT_INVALID;

  if (rec_check (rec, NULL))
    verdict = state_fold (state, rec, state->offset);
  rec_clear (rec);
  return verdict;
}

static inline verdict_t
fixture_publish (state_t *state, const fixture_t *f)
{
  rec_t rec;

  rec_init (&rec, REC_CONFIG, "t", 0);
  rec.u.config.format = FLEET_FORMAT;
  rec.u.config.base_version = state_config_version (state);
  rec.u.config.text = fixture_text (f);
  rec.u.config.len = strlen (rec.u.config.text);
  return fixture_fold (state, &rec);
}

static inline verdict_t
fixture_wave (state_t *state, const char *name, wave_phase_t phase)
{
  const wave_state_t *wave = table_find (&state->waves, name);
  rec_t rec;

  rec_init (&rec, REC_WAVE, "t", 0);
  g_strlcpy (rec.u.wave.wave, name, REC_NAME_BYTES);
  rec.u.wave.wave_version = wave->version;
  rec.u.wave.phase = phase;
  return fixture_fold (state, &rec);
}

static inline verdict_t
fixture_host (state_t *state, const char *name, host_phase_t phase)
{
  const host_state_t *host = table_find (&state->hosts, name);
  rec_t rec;

  rec_init (&rec, REC_HOST_STATE, "t", 0);
  g_strlcpy (rec.u.host_state.host, name, REC_NAME_BYTES);
  rec.u.host_state.host_version = host->version;
  rec.u.host_state.phase = phase;
  return fixture_fold (state, &rec);
}

#endif

/* records - helpers that make and fold records  */

#ifndef CUMINPIN_STATE_RECORDS_H
#define CUMINPIN_STATE_RECORDS_H

#include "../../test/run_suite.h"
#include "state.h"
#include <string.h>

/* A fleet with two hosts of pool a in rack r1 and one in r2.  The argument is
   the list of keys.  */
#define RECORDS_FLEET                                                         \
  "format: 1\n"                                                               \
  "data_centres: [{name: d, region: r}]\n"                                    \
  "racks: [{name: r1, data_centre: d}, {name: r2, data_centre: d}]\n"         \
  "pools:\n"                                                                  \
  "- {name: a, budget_hosts: 1}\n"                                            \
  "- {name: b, budget_hosts: 0}\n"                                            \
  "hosts:\n"                                                                  \
  "- {name: a1, rack: r1, pool: a}\n"                                         \
  "- {name: a2, rack: r1, pool: a}\n"                                         \
  "- {name: a3, rack: r2, pool: a}\n"                                         \
  "teams: [{name: t, share: 1, limit: 1}]\n"                                  \
  "waves: [{name: w, pools: [a]}]\n"                                          \
  "keys: [%s]\n"

static inline rec_t
rec_of (rec_kind_t kind)
{
  rec_t rec;

  rec_init (&rec, kind, "t", 7);
  return rec;
}

/* Returns a configuration record that takes ownership of TEXT.  */
static inline rec_t
rec_config (uint64_t base, char *text)
{
  rec_t rec = rec_of (REC_CONFIG);

  rec.u.config.format = FLEET_FORMAT;
  rec.u.config.base_version = base;
  rec.u.config.text = text;
  rec.u.config.len = strlen (text);
  return rec;
}

static inline rec_t
rec_publish (uint64_t base, const char *keys)
{
  return rec_config (base, g_strdup_printf (RECORDS_FLEET, keys));
}

static inline rec_t
rec_key (rec_kind_t kind, const char *id, const char *team, char digit)
{
  rec_t rec = rec_of (kind);

  g_strlcpy (rec.u.key.id, id, REC_NAME_BYTES);
  g_strlcpy (rec.u.key.team, team, REC_NAME_BYTES);
  memset (rec.u.key.digest, digit, KEY_DIGEST_HEX);
  return rec;
}

static inline rec_t
rec_entry (rec_kind_t kind, const char *name, uint64_t incarnation)
{
  rec_t rec = rec_of (kind);

  g_strlcpy (rec.u.entry.name, name, REC_NAME_BYTES);
  rec.u.entry.incarnation = incarnation;
  return rec;
}

static inline rec_t
rec_move (const char *host, uint64_t version, const char *pool)
{
  rec_t rec = rec_of (REC_HOST_MOVE);

  g_strlcpy (rec.u.host_move.host, host, REC_NAME_BYTES);
  g_strlcpy (rec.u.host_move.pool, pool, REC_NAME_BYTES);
  rec.u.host_move.host_version = version;
  return rec;
}

static inline rec_t
rec_drain (const char *host, uint64_t version)
{
  rec_t rec = rec_of (REC_DRAIN);

  g_strlcpy (rec.u.drain.host, host, REC_NAME_BYTES);
  rec.u.drain.host_version = version;
  return rec;
}

static inline rec_t
rec_host_state (const char *host, uint64_t version, host_phase_t phase)
{
  rec_t rec = rec_of (REC_HOST_STATE);

  g_strlcpy (rec.u.host_state.host, host, REC_NAME_BYTES);
  rec.u.host_state.host_version = version;
  rec.u.host_state.phase = phase;
  return rec;
}

static inline rec_t
rec_wave (const char *wave, uint64_t version, wave_phase_t phase)
{
  rec_t rec = rec_of (REC_WAVE);

  g_strlcpy (rec.u.wave.wave, wave, REC_NAME_BYTES);
  rec.u.wave.wave_version = version;
  rec.u.wave.phase = phase;
  return rec;
}

/* Folds REC, which must be well formed, as the next record of STATE's log.  */
static inline verdict_t
rec_fold (state_t *state, rec_t rec)
{
  verdict_t verdict;

  ck_assert (rec_check (&rec, NULL));
  verdict = state_fold (state, &rec, state->offset);
  rec_clear (&rec);
  return verdict;
}

G_DEFINE_AUTOPTR_CLEANUP_FUNC (state_t, state_free)

#endif

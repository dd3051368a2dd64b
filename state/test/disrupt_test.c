/* Guards against disruption that the fold lets through although a budget, a
   wave or a pool rules it out.  */

#include "../../test/run_suite.h"
#include "state.h"
#include <string.h>

static uint64_t offset;

static verdict_t
fold (state_t *state, rec_t *rec)
{
  verdict_t verdict;

  ck_assert (rec_check (rec, NULL));
  verdict = state_fold (state, rec, offset++);
  rec_clear (rec);
  return verdict;
}

/* Hosts a1 and a2 in rack r1 and a3 in rack r2; H3_POOL is the pool of a3, W2
   the pool of the wave w2.  */
static verdict_t
publish (state_t *state, const char *h3_pool, const char *w2)
{
  rec_t rec;

  rec_init (&rec, REC_CONFIG, "t", 0);
  rec.u.config.format = FLEET_FORMAT;
  rec.u.config.base_version = state_config_version (state);
  rec.u.config.text = g_strdup_printf (
      "format: 1\n"
      "data_centres: [{name: d, region: r}]\n"
      "racks: [{name: r1, data_centre: d}, {name: r2, data_centre: d}]\n"
      "pools:\n"
      "- {name: a, budget_hosts: 2, budget_rack_hosts: 1}\n"
      "- {name: b, budget_hosts: 0}\n"
      "hosts:\n"
      "- {name: a1, rack: r1, pool: a}\n"
      "- {name: a2, rack: r1, pool: a}\n"
      "- {name: a3, rack: r2, pool: %s}\n"
      "waves:\n"
      "- {name: w1, pools: [a], at_once: 1}\n"
      "- {name: w2, pools: [%s]}\n",
      h3_pool, w2);
  rec.u.config.len = strlen (rec.u.config.text);
  return fold (state, &rec);
}

static const host_state_t *
host (const state_t *state, const char *name)
{
  return table_find (&state->hosts, name);
}

static verdict_t
drain (state_t *state, const char *name, const char *wave)
{
  const wave_state_t *w = table_find (&state->waves, wave);
  rec_t rec;

  rec_init (&rec, REC_DRAIN, "t", 0);
  g_strlcpy (rec.u.drain.host, name, REC_NAME_BYTES);
  g_strlcpy (rec.u.drain.wave, wave, REC_NAME_BYTES);
  rec.u.drain.host_version = host (state, name)->version;
  rec.u.drain.wave_run = w ? w->run : 0;
  return fold (state, &rec);
}

static verdict_t
enter (state_t *state, const char *name, host_phase_t phase)
{
  rec_t rec;

  rec_init (&rec, REC_HOST_STATE, "t", 0);
  g_strlcpy (rec.u.host_state.host, name, REC_NAME_BYTES);
  rec.u.host_state.host_version = host (state, name)->version;
  rec.u.host_state.phase = phase;
  return fold (state, &rec);
}

static verdict_t
move (state_t *state, const char *name, const char *pool)
{
  rec_t rec;

  rec_init (&rec, REC_HOST_MOVE, "t", 0);
  g_strlcpy (rec.u.host_move.host, name, REC_NAME_BYTES);
  g_strlcpy (rec.u.host_move.pool, pool, REC_NAME_BYTES);
  rec.u.host_move.host_version = host (state, name)->version;
  return fold (state, &rec);
}

static verdict_t
set_wave (state_t *state, const char *name, wave_phase_t phase)
{
  const wave_state_t *wave = table_find (&state->waves, name);
  rec_t rec;

  rec_init (&rec, REC_WAVE, "t", 0);
  g_strlcpy (rec.u.wave.wave, name, REC_NAME_BYTES);
  rec.u.wave.wave_version = wave->version;
  rec.u.wave.phase = phase;
  return fold (state, &rec);
}

START_TEST (budgets_of_pool_and_rack_bound_drains)
{
  state_t *state = state_new ();

  ck_assert_int_eq (publish (state, "a", "b"), VERDICT_APPLIED);
  ck_assert_int_eq (drain (state, "a1", ""), VERDICT_APPLIED);
  ck_assert_int_eq (drain (state, "a2", ""), VERDICT_STALE);
  ck_assert_int_eq (enter (state, "a3", HOST_FAILED), VERDICT_APPLIED);
  ck_assert_int_eq (enter (state, "a1", HOST_IN_SERVICE), VERDICT_APPLIED);
  ck_assert_int_eq (drain (state, "a1", ""), VERDICT_APPLIED);
  ck_assert_int_eq (state_budget_left (state, "a", "r2"), 0);
  state_free (state);
}
END_TEST

/* A host in use left its pool at once, without a drain.  */
START_TEST (config_does_not_move_a_host_in_use)
{
  state_t *state = state_new ();

  publish (state, "a", "b");
  ck_assert_int_eq (publish (state, "b", "b"), VERDICT_APPLIED);
  ck_assert_str_eq (host (state, "a3")->pool, "a");
  ck_assert_str_eq (host (state, "a3")->home_pool, "b");
  ck_assert_int_eq (drain (state, "a3", ""), VERDICT_APPLIED);
  ck_assert_int_eq (move (state, "a3", "b"), VERDICT_STALE);
  enter (state, "a3", HOST_DRAINED);
  ck_assert_int_eq (move (state, "a3", "b"), VERDICT_APPLIED);
  ck_assert_str_eq (host (state, "a3")->pool, "b");
  state_free (state);
}
END_TEST

START_TEST (drain_for_a_wave_keeps_its_rules)
{
  state_t *state = state_new ();

  publish (state, "b", "b");
  ck_assert_int_eq (drain (state, "a1", "w1"), VERDICT_STALE); /* idle */
  set_wave (state, "w1", WAVE_RUNNING);
  ck_assert_int_eq (drain (state, "a3", "w1"), VERDICT_STALE); /* pool b */
  ck_assert_int_eq (drain (state, "a1", "w1"), VERDICT_APPLIED);
  ck_assert_int_eq (drain (state, "a2", "w1"), VERDICT_STALE); /* at_once */
  enter (state, "a1", HOST_DRAINED);
  ck_assert_int_eq (move (state, "a1", "b"), VERDICT_STALE);
  enter (state, "a1", HOST_MAINTENANCE);
  enter (state, "a1", HOST_IN_SERVICE);
  ck_assert_int_eq (drain (state, "a1", "w1"), VERDICT_STALE); /* twice */
  ck_assert_int_eq (drain (state, "a2", "w1"), VERDICT_APPLIED);
  state_free (state);
}
END_TEST

/* Two waves over one pool each forgot the hosts that the other had taken, and
   so drained them again.  */
START_TEST (unfinished_waves_do_not_share_hosts)
{
  state_t *state = state_new ();

  publish (state, "a", "a");
  ck_assert_int_eq (set_wave (state, "w1", WAVE_RUNNING), VERDICT_APPLIED);
  ck_assert_int_eq (set_wave (state, "w2", WAVE_RUNNING), VERDICT_STALE);
  publish (state, "a", "b");
  ck_assert_int_eq (set_wave (state, "w2", WAVE_RUNNING), VERDICT_APPLIED);
  drain (state, "a1", "w1");
  enter (state, "a1", HOST_IN_SERVICE);
  publish (state, "a", "a"); /* overlap made by the configuration */
  ck_assert_int_eq (drain (state, "a1", "w2"), VERDICT_STALE);
  ck_assert (state_wave_took (state, table_find (&state->waves, "w2"),
                              host (state, "a1")));
  ck_assert_int_eq (drain (state, "a2", "w2"), VERDICT_APPLIED);
  state_free (state);
}
END_TEST

/* Pausing a finished wave and resuming it continued the old run.  */
START_TEST (waves_enter_phases_in_order)
{
  static const struct
  {
    wave_phase_t phase;
    verdict_t verdict;
  } steps[] = {
    { WAVE_PAUSED, VERDICT_INVALID },    { WAVE_DONE, VERDICT_INVALID },
    { WAVE_RUNNING, VERDICT_APPLIED },   { WAVE_RUNNING, VERDICT_STALE },
    { WAVE_PAUSED, VERDICT_APPLIED },    { WAVE_DONE, VERDICT_INVALID },
    { WAVE_RUNNING, VERDICT_APPLIED },   { WAVE_DONE, VERDICT_APPLIED },
    { WAVE_ABANDONED, VERDICT_INVALID }, { WAVE_PAUSED, VERDICT_INVALID },
    { WAVE_IDLE, VERDICT_INVALID },      { WAVE_RUNNING, VERDICT_APPLIED },
    { WAVE_ABANDONED, VERDICT_APPLIED }, { WAVE_PAUSED, VERDICT_INVALID },
  };
  state_t *state = state_new ();
  const wave_state_t *wave;
  uint64_t first;

  publish (state, "a", "b");
  wave = table_find (&state->waves, "w1");
  first = wave->run;
  for (size_t i = 0; i < G_N_ELEMENTS (steps); i++)
    ck_assert_msg (set_wave (state, "w1", steps[i].phase) == steps[i].verdict,
                   "step %zu", i);
  ck_assert_uint_eq (wave->run, first + 2);
  state_free (state);
}
END_TEST

/* A host or wave that was taken off the file and listed again started from
   its first version, so that old records and old runs applied again.  */
START_TEST (listed_again_gets_a_new_version)
{
  state_t *state = state_new ();
  rec_t rec;
  uint64_t host_version;
  uint64_t run;

  publish (state, "a", "b");
  set_wave (state, "w1", WAVE_RUNNING);
  host_version = host (state, "a3")->version;
  run = ((const wave_state_t *)table_find (&state->waves, "w1"))->run;
  rec_init (&rec, REC_CONFIG, "t", 0);
  rec.u.config.format = FLEET_FORMAT;
  rec.u.config.base_version = state_config_version (state);
  rec.u.config.text = g_strdup ("format: 1\n");
  rec.u.config.len = strlen (rec.u.config.text);
  ck_assert_int_eq (fold (state, &rec), VERDICT_APPLIED);
  publish (state, "a", "b");
  ck_assert_uint_gt (host (state, "a3")->version, host_version);
  set_wave (state, "w1", WAVE_RUNNING);
  ck_assert_uint_gt (
      ((const wave_state_t *)table_find (&state->waves, "w1"))->run, run);
  state_free (state);
}
END_TEST

TEST_PROGRAM ("disrupt", budgets_of_pool_and_rack_bound_drains,
              config_does_not_move_a_host_in_use,
              drain_for_a_wave_keeps_its_rules,
              unfinished_waves_do_not_share_hosts, waves_enter_phases_in_order,
              listed_again_gets_a_new_version)

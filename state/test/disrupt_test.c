/* Guards against a fold that allows a disruption which a budget, a wave or a
   pool forbids.  */

#include "records.h"

static state_t *state;

static void
set_up (void)
{
  state = state_new ();
}

static void
tear_down (void)
{
  state_free (state);
}

/* Publishes a configuration with hosts a1 and a2 in rack r1 and a3 in rack r2.
   A3_POOL is the pool of a3, W2_POOL the pool of wave w2.  */
static verdict_t
publish (const char *a3_pool, const char *w2_pool)
{
  char *text = g_strdup_printf (
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
      a3_pool, w2_pool);

  return rec_fold (state, rec_config (state_config_version (state), text));
}

static const host_state_t *
host (const char *name)
{
  return table_find (&state->hosts, name);
}

static const wave_state_t *
wave (const char *name)
{
  return table_find (&state->waves, name);
}

static verdict_t
drain (const char *name, const char *for_wave)
{
  rec_t rec = rec_drain (name, host (name)->version);

  g_strlcpy (rec.u.drain.wave, for_wave, REC_NAME_BYTES);
  rec.u.drain.wave_run = wave (for_wave) ? wave (for_wave)->run : 0;
  return rec_fold (state, rec);
}

static verdict_t
set_phase (const char *name, host_phase_t phase)
{
  return rec_fold (state, rec_host_state (name, host (name)->version, phase));
}

static verdict_t
move (const char *name, const char *pool)
{
  return rec_fold (state, rec_move (name, host (name)->version, pool));
}

static verdict_t
set_wave (const char *name, wave_phase_t phase)
{
  return rec_fold (state, rec_wave (name, wave (name)->version, phase));
}

START_TEST (budgets_of_pool_and_rack_bound_drains)
{
  ck_assert_int_eq (publish ("a", "b"), VERDICT_APPLIED);
  ck_assert_int_eq (drain ("a1", ""), VERDICT_APPLIED);
  ck_assert_int_eq (drain ("a2", ""), VERDICT_STALE);
  ck_assert_int_eq (set_phase ("a3", HOST_FAILED), VERDICT_APPLIED);
  ck_assert_int_eq (set_phase ("a1", HOST_IN_SERVICE), VERDICT_APPLIED);
  ck_assert_int_eq (drain ("a1", ""), VERDICT_APPLIED);
  ck_assert_int_eq (state_budget_left (state, "a", "r2"), 0);
}
END_TEST

/* Guards against a configuration that moves a host in use to another pool at
   once, without a drain.  */
START_TEST (config_keeps_pool_of_host_in_use)
{
  publish ("a", "b");
  ck_assert_int_eq (publish ("b", "b"), VERDICT_APPLIED);
  ck_assert_str_eq (host ("a3")->pool, "a");
  ck_assert_str_eq (host ("a3")->home_pool, "b");
  ck_assert_int_eq (drain ("a3", ""), VERDICT_APPLIED);
  ck_assert_int_eq (move ("a3", "b"), VERDICT_STALE);
  set_phase ("a3", HOST_DRAINED);
  ck_assert_int_eq (move ("a3", "b"), VERDICT_APPLIED);
  ck_assert_str_eq (host ("a3")->pool, "b");
}
END_TEST

START_TEST (drain_for_a_wave_obeys_wave_and_pool)
{
  publish ("b", "b");
  ck_assert_int_eq (drain ("a1", "w1"), VERDICT_STALE); /* idle */
  set_wave ("w1", WAVE_RUNNING);
  ck_assert_int_eq (drain ("a3", "w1"), VERDICT_STALE); /* pool b */
  ck_assert_int_eq (drain ("a1", "w1"), VERDICT_APPLIED);
  ck_assert_int_eq (drain ("a2", "w1"), VERDICT_STALE); /* at_once */
  set_phase ("a1", HOST_DRAINED);
  ck_assert_int_eq (move ("a1", "b"), VERDICT_STALE);
  set_phase ("a1", HOST_MAINTENANCE);
  set_phase ("a1", HOST_IN_SERVICE);
  ck_assert_int_eq (drain ("a1", "w1"), VERDICT_STALE); /* twice */
  ck_assert_int_eq (drain ("a2", "w1"), VERDICT_APPLIED);
}
END_TEST

/* Guards against two waves over one pool that overwrite each other's record of
   drained hosts, and so drain the hosts again.  */
START_TEST (unfinished_waves_do_not_drain_the_same_host)
{
  publish ("a", "a");
  ck_assert_int_eq (set_wave ("w1", WAVE_RUNNING), VERDICT_APPLIED);
  ck_assert_int_eq (set_wave ("w2", WAVE_RUNNING), VERDICT_STALE);
  publish ("a", "b");
  ck_assert_int_eq (set_wave ("w2", WAVE_RUNNING), VERDICT_APPLIED);
  drain ("a1", "w1");
  set_phase ("a1", HOST_IN_SERVICE);
  publish ("a", "a"); /* the configuration makes the waves overlap */
  ck_assert_int_eq (drain ("a1", "w2"), VERDICT_STALE);
  ck_assert (state_wave_host_done (state, wave ("w2"), host ("a1")));
  ck_assert_int_eq (drain ("a2", "w2"), VERDICT_APPLIED);
}
END_TEST

/* Guards against continuing the old run of a finished wave by pausing and
   resuming it.  */
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
  uint64_t first;

  publish ("a", "b");
  first = wave ("w1")->run;
  for (size_t i = 0; i < G_N_ELEMENTS (steps); i++)
    ck_assert_msg (set_wave ("w1", steps[i].phase) == steps[i].verdict,
                   "step %zu", i);
  ck_assert_uint_eq (wave ("w1")->run, first + 2);
}
END_TEST

/* Guards against a host or wave starting from its first version when it is
   removed from the fleet file and listed again: old records and old runs would
   apply again.  */
START_TEST (listed_again_gets_a_new_version)
{
  uint64_t host_version;
  uint64_t run;

  publish ("a", "b");
  set_wave ("w1", WAVE_RUNNING);
  host_version = host ("a3")->version;
  run = wave ("w1")->run;
  ck_assert_int_eq (rec_fold (state, rec_config (state_config_version (state),
                                                 g_strdup ("format: 1\n"))),
                    VERDICT_APPLIED);
  publish ("a", "b");
  ck_assert_uint_gt (host ("a3")->version, host_version);
  set_wave ("w1", WAVE_RUNNING);
  ck_assert_uint_gt (wave ("w1")->run, run);
}
END_TEST

TEST_PROGRAM_WITH ("disrupt", set_up, tear_down,
                   budgets_of_pool_and_rack_bound_drains,
                   config_keeps_pool_of_host_in_use,
                   drain_for_a_wave_obeys_wave_and_pool,
                   unfinished_waves_do_not_drain_the_same_host,
                   waves_enter_phases_in_order,
                   listed_again_gets_a_new_version)

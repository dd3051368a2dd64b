/* Guards against maintenance that breaks a budget, loses a host or never ends.
   Tests single decisions, and random sequences of failures, delayed and
   repeated records, and concurrent operators.  CUMINPIN_SEED selects the seed
   of one sequence.  */

#include "../../test/run_suite.h"
#include "wave_sim.h"

static const char *const entries[] = { "e1", "e2", "e3" };
static const fixture_t small = { .hosts = 20,
                                 .pools = 5,
                                 .per_rack = 4,
                                 .data_centres = 3,
                                 .budget = 2,
                                 .rack_budget = 1 };

START_TEST (drains_spare_then_racks_then_emptiest)
{
  fixture_t f = small;
  sim_t s;

  f.at_once = 3;
  f.rack_budget = 0;
  sim_open (&s, &f);
  for (uint32_t i = 0; i < s.count; i++)
    s.reports[i].load = 10 + i;
  s.reports[11].load = 1; /* lightest rack: k2, hosts 8 to 11 */
  s.reports[9].load = 0;
  s.reports[10].load = 0; /* of p0, the spare pool */
  fixture_wave (s.state, "all", WAVE_RUNNING);
  ck_assert_uint_eq (sim_next (&s), 3);
  ck_assert_str_eq (s.records[0].u.drain.host, "h0010");
  ck_assert_str_eq (s.records[1].u.drain.host, "h0000");
  ck_assert_str_eq (s.records[2].u.drain.host, "h0009");
  sim_close (&s);
}
END_TEST

START_TEST (decides_nothing_without_a_fresh_view_and_reports)
{
  sim_t s;

  sim_open (&s, &small);
  fixture_wave (s.state, "all", WAVE_RUNNING);
  s.fresh = false;
  ck_assert_uint_eq (sim_next (&s), 0);
  s.fresh = true;
  s.count = 0; /* an empty list means that the platform failed */
  sim_run (&s, 60 * SECOND);
  ck_assert_int_eq (phase_of (&s, 0), HOST_IN_SERVICE);
  s.count = small.hosts;
  ck_assert_uint_eq (sim_next (&s), 10);
  sim_close (&s);
}
END_TEST

/* Requests were aborted when a host counted as empty before every daemon had
   stopped sending to it, or while the report of a daemon was missing.  */
START_TEST (drained_only_when_empty_for_all_daemons)
{
  fixture_t f = small;
  sim_t s;

  f.at_once = 1;
  sim_open (&s, &f);
  fixture_wave (s.state, "all", WAVE_RUNNING);
  sim_run (&s, SECOND);
  ck_assert_int_eq (phase_of (&s, 0), HOST_DRAINING);
  sim_run (&s, WAVE_DRAIN_IDLE_US - SECOND);
  s.reports[0].load = 1;
  sim_run (&s, SECOND);
  s.reports[0].load = 0;
  s.reports[0].load_known = false;
  sim_run (&s, 20 * SECOND);
  s.reports[0].load_known = true;
  sim_run (&s, WAVE_DRAIN_IDLE_US);
  ck_assert_int_eq (phase_of (&s, 0), HOST_DRAINING);
  sim_run (&s, 2 * SECOND);
  ck_assert_int_ge (phase_of (&s, 0), HOST_DRAINED);
  sim_close (&s);
}
END_TEST

/* Guards against a wave that ignores missing and failed hosts in the budget,
   or that ends before they are back.  */
START_TEST (a_missing_host_uses_the_budget_until_it_returns)
{
  fixture_t f = small;
  sim_t s;

  f.budget = 1;
  sim_open (&s, &f);
  sim_run (&s, SECOND);
  s.reports[1].host = "elsewhere"; /* h0001 of p1 */
  sim_run (&s, SECOND);
  fixture_wave (s.state, "one", WAVE_RUNNING);
  sim_run (&s, 3 * SECOND); /* missing, not failed yet: no drain */
  ck_assert_int_eq (phase_of (&s, 1), HOST_IN_SERVICE);
  ck_assert_uint_eq (wave_progress (s.state, "one").taken, 0);
  sim_run (&s, WAVE_SETTLE_US);
  ck_assert_int_eq (phase_of (&s, 1), HOST_FAILED);
  sim_run (&s, 600 * SECOND);
  ck_assert_uint_eq (wave_progress (s.state, "one").taken, 0);
  s.reports[1].host = s.names[1];
  sim_run (&s, WAVE_SETTLE_US + 2 * SECOND);
  ck_assert_uint_eq (wave_progress (s.state, "one").taken, 1);
  sim_run (&s, 600 * SECOND);
  ck_assert_int_eq (
      ((const wave_state_t *)table_find (&s.state->waves, "one"))->phase,
      WAVE_DONE);
  sim_close (&s);
}
END_TEST

START_TEST (fails_a_host_that_does_not_return)
{
  fixture_t f = small;
  sim_t s;

  f.at_once = 1;
  sim_open (&s, &f);
  fixture_wave (s.state, "all", WAVE_RUNNING);
  sim_run (&s, 8 * SECOND);
  ck_assert_int_eq (phase_of (&s, 0), HOST_MAINTENANCE);
  s.reports[0].verified = false;
  sim_run (&s, WAVE_MAINTENANCE_TIMEOUT_US - 5 * SECOND);
  ck_assert_int_eq (phase_of (&s, 0), HOST_MAINTENANCE);
  sim_run (&s, 10 * SECOND);
  ck_assert_int_eq (phase_of (&s, 0), HOST_FAILED);
  sim_close (&s);
}
END_TEST

START_TEST (one_daemon_decides_for_each_host)
{
  uint32_t owned[3] = { 0 };

  for (uint32_t i = 0; i < 300; i++)
    {
      char name[8];
      uint32_t three;
      uint32_t two;

      g_snprintf (name, sizeof name, "h%04u", i);
      three = wave_owner (name, entries, 3);
      two = wave_owner (name, entries, 2);
      owned[three]++;
      /* Only the hosts of the third daemon change their owner.  */
      ck_assert (three == 2 || two == three);
    }
  for (uint32_t i = 0; i < 3; i++)
    ck_assert_uint_gt (owned[i], 50);
}
END_TEST

/* A random sequence: three daemons, each with its own watch, decide on copies
   of the state that may be several steps old.  Their records are folded late,
   in random order and some of them twice.  */
static const wave_times_t short_times
    = { .settle_us = 4 * SECOND,
        .drain_idle_us = 2 * SECOND,
        .unseen_restart_us = 6 * SECOND,
        .maintenance_timeout_us = 40 * SECOND };

typedef struct fuzz
{
  sim_t s;
  fixture_t f;
  watch_t *watches[3];
  state_t *views[3];
  bool down[HOSTS_MAX];
  rec_t pending[RECORDS_MAX];
  uint32_t pending_count;
  GHashTable *drained; /* "wave/run/host" */
  uint64_t seed;
  uint32_t drains;
  uint32_t refused;
} fuzz_t;

static void
check_invariants (const fuzz_t *fuzz)
{
  const state_t *state = fuzz->s.state;

  ck_assert_uint_eq (state->hosts.count, fuzz->f.hosts);
  for (uint32_t i = 0; i < state->hosts.count; i++)
    {
      const host_state_t *host = table_at (&state->hosts, i);

      ck_assert (host->pool
                 && fleet_find_pool (state->config->fleet, host->pool));
    }
}

/* Checks a drain against the budgets by an independent count.  */
static void
check_drain (fuzz_t *fuzz, const rec_drain_t *rec)
{
  const host_state_t *host = table_find (&fuzz->s.state->hosts, rec->host);
  uint32_t out = 0;
  uint32_t out_rack = 0;
  char *key;

  for (uint32_t i = 0; i < fuzz->s.state->hosts.count; i++)
    {
      const host_state_t *h = table_at (&fuzz->s.state->hosts, i);

      if (h->pool != host->pool || h->phase == HOST_IN_SERVICE)
        continue;
      out++;
      out_rack += h->rack == host->rack;
    }
  ck_assert_uint_le (out, fuzz->f.budget);
  ck_assert_uint_le (out_rack, fuzz->f.rack_budget);
  fuzz->drains++;
  if (!rec->wave[0])
    return;
  key = g_strdup_printf ("%s/%" G_GUINT64_FORMAT "/%s", rec->wave,
                         rec->wave_run, rec->host);
  ck_assert_msg (g_hash_table_add (fuzz->drained, key), "drained twice: %s",
                 key);
}

static void
fuzz_fold (fuzz_t *fuzz, rec_t *rec)
{
  verdict_t verdict = fixture_fold (fuzz->s.state, rec);

  if (rec->kind != REC_DRAIN)
    return;
  if (verdict == VERDICT_APPLIED)
    check_drain (fuzz, &rec->u.drain);
  else
    fuzz->refused++;
}

static void
decide (fuzz_t *fuzz, uint32_t daemon)
{
  host_report_t reports[HOSTS_MAX];
  uint32_t count = 0;
  wave_input_t in = { .state = fuzz->views[daemon],
                      .watch = fuzz->watches[daemon],
                      .times = &short_times,
                      .self = entries[daemon],
                      .entries = entries,
                      .entries_count = 3,
                      .fresh = true,
                      .now_us = fuzz->s.now_us };

  for (uint32_t i = 0; i < fuzz->f.hosts; i++)
    if (!fuzz->down[i])
      reports[count++] = fuzz->s.reports[i];
  if (fixture_random_below (&fuzz->seed, 4) == 0)
    in.entries = &entries[daemon]; /* sees no other daemon */
  if (in.entries != entries)
    in.entries_count = 1;
  watch_update (fuzz->watches[daemon], in.state, reports, count,
                fuzz->s.now_us);
  fuzz->pending_count += wave_next (&in, &fuzz->pending[fuzz->pending_count],
                                    RECORDS_MAX - fuzz->pending_count);
  if (fixture_random_below (&fuzz->seed, 3) == 0)
    {
      state_free (fuzz->views[daemon]);
      fuzz->views[daemon] = state_copy (fuzz->s.state);
    }
}

static void
fold_some (fuzz_t *fuzz)
{
  uint32_t n = fixture_random_below (&fuzz->seed, fuzz->pending_count + 1);

  while (n--)
    {
      uint32_t at = fixture_random_below (&fuzz->seed, fuzz->pending_count);
      rec_t rec = fuzz->pending[at];

      fuzz_fold (fuzz, &rec);
      if (fixture_random_below (&fuzz->seed, 8) == 0)
        continue; /* response lost: appended again later */
      fuzz->pending[at] = fuzz->pending[--fuzz->pending_count];
    }
}

/* An action of an operator on the possibly outdated view of one daemon: a
   drain, a move, a wave, or a fleet file that assigns a host to another pool.
 */
static void
operator_action (fuzz_t *fuzz)
{
  uint32_t daemon = fixture_random_below (&fuzz->seed, 3);
  uint32_t index = fixture_random_below (&fuzz->seed, fuzz->f.hosts);
  const host_state_t *host = table_at (&fuzz->views[daemon]->hosts, index);
  const char *wave = fixture_random_below (&fuzz->seed, 2) ? "one" : "all";
  rec_t rec;

  for (uint32_t i = 0; i < fuzz->f.hosts && host->phase != HOST_DRAINED; i++)
    host = table_at (&fuzz->views[daemon]->hosts, (index + i) % fuzz->f.hosts);
  switch (fixture_random_below (&fuzz->seed, 8))
    {
    case 0:
      fixture_wave (fuzz->s.state, wave,
                    (wave_phase_t)fixture_random_below (&fuzz->seed, 4));
      break;
    case 1:
      fuzz->f.moved_host = index;
      ck_assert_int_eq (fixture_publish (fuzz->s.state, &fuzz->f),
                        VERDICT_APPLIED);
      break;
    case 2:
      fixture_wave (fuzz->s.state, wave, WAVE_RUNNING);
      break;
    case 3:
      host = table_at (&fuzz->views[daemon]->hosts, index);
      rec_init (&rec, REC_DRAIN, "op", 0);
      g_strlcpy (rec.u.drain.host, host->name, REC_NAME_BYTES);
      rec.u.drain.host_version = host->version;
      fuzz_fold (fuzz, &rec);
      break;
    default:
      rec_init (&rec, REC_HOST_MOVE, "op", 0);
      g_strlcpy (rec.u.host_move.host, host->name, REC_NAME_BYTES);
      g_snprintf (rec.u.host_move.pool, REC_NAME_BYTES, "p%u",
                  fixture_random_below (&fuzz->seed, fuzz->f.pools));
      rec.u.host_move.host_version = host->version;
      fuzz_fold (fuzz, &rec);
    }
}

static void
step (fuzz_t *fuzz, bool quiet)
{
  fuzz->s.now_us += SECOND;
  if (!quiet && fixture_random_below (&fuzz->seed, 4) == 0)
    operator_action (fuzz);
  for (uint32_t i = 0; !quiet && i < fuzz->f.hosts; i++)
    {
      if (fixture_random_below (&fuzz->seed, fuzz->down[i] ? 40 : 800) == 0)
        fuzz->down[i] = !fuzz->down[i];
      fuzz->s.reports[i].load = fixture_random_below (&fuzz->seed, 20) == 0;
    }
  for (uint32_t i = 0; i < 3; i++)
    decide (fuzz, i);
  fold_some (fuzz);
  check_invariants (fuzz);
}

/* Checks that both waves end after all hosts are repaired.  Hosts that an
   operator drained for a move return to service, since nothing moves them any
   more.  */
static void
finish (fuzz_t *fuzz)
{
  const char *const names[] = { "all", "one" };

  memset (fuzz->down, 0, sizeof fuzz->down);
  for (uint32_t i = 0; i < fuzz->f.hosts; i++)
    fuzz->s.reports[i].load = 0;
  for (uint32_t w = 0; w < 2; w++)
    {
      const wave_state_t *wave = table_find (&fuzz->s.state->waves, names[w]);
      uint32_t left = 5000;

      fixture_wave (fuzz->s.state, names[1 - w], WAVE_ABANDONED);
      fixture_wave (fuzz->s.state, names[w], WAVE_RUNNING);
      for (; left && wave->phase != WAVE_DONE; left--)
        {
          step (fuzz, true);
          wave = table_find (&fuzz->s.state->waves, names[w]);
          for (uint32_t i = 0; i < fuzz->f.hosts; i++)
            {
              const host_state_t *host = table_at (&fuzz->s.state->hosts, i);

              if (host->phase == HOST_DRAINED && !host->wave)
                fixture_host (fuzz->s.state, host->name, HOST_IN_SERVICE);
            }
        }
      ck_assert_msg (left > 0, "wave %s did not end", names[w]);
    }
}

static void
run_fuzz (uint64_t seed)
{
  fuzz_t *fuzz = g_new (fuzz_t, 1);

  memset (fuzz, 0, sizeof *fuzz);
  printf ("seed %" G_GUINT64_FORMAT, seed);
  fflush (stdout);
  fuzz->seed = seed;
  fuzz->f = small;
  fuzz->f.at_once = (uint32_t)(seed % 4);
  sim_open (&fuzz->s, &fuzz->f);
  ck_assert_ptr_nonnull (fuzz->s.state);
  fuzz->drained
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (uint32_t i = 0; i < 3; i++)
    {
      fuzz->watches[i] = watch_new ();
      fuzz->views[i] = state_copy (fuzz->s.state);
    }
  fixture_wave (fuzz->s.state, "all", WAVE_RUNNING);
  for (uint32_t i = 0; i < 1500; i++)
    step (fuzz, false);
  finish (fuzz);
  printf (": %u drains, %u refused\n", fuzz->drains, fuzz->refused);
  /* A sequence is meaningful only if hosts were drained three times on average
     and records were rejected because of races.  */
  ck_assert_uint_gt (fuzz->drains, 3 * fuzz->f.hosts);
  ck_assert_uint_gt (fuzz->refused, fuzz->f.hosts);
  for (uint32_t i = 0; i < 3; i++)
    {
      watch_free (fuzz->watches[i]);
      state_free (fuzz->views[i]);
    }
  g_hash_table_destroy (fuzz->drained);
  sim_close (&fuzz->s);
  g_free (fuzz);
}

START_TEST (random_sequences_hold_the_invariants)
{
  const char *seed = getenv ("CUMINPIN_SEED");

  if (seed)
    run_fuzz (strtoull (seed, NULL, 10));
  for (uint64_t i = 1; !seed && i <= 16; i++)
    run_fuzz (i);
}
END_TEST

TEST_PROGRAM ("wave", drains_spare_then_racks_then_emptiest,
              decides_nothing_without_a_fresh_view_and_reports,
              drained_only_when_empty_for_all_daemons,
              a_missing_host_uses_the_budget_until_it_returns,
              fails_a_host_that_does_not_return,
              one_daemon_decides_for_each_host,
              random_sequences_hold_the_invariants)

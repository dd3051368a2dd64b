/* Guards against moves that break a budget, move hosts back and forth, or
   ignore the fleet file.  */

#include "../../test/run_suite.h"
#include "fixture.h"

#define SECOND INT64_C (1000000)
#define MOVES_MAX 32

static const fixture_t fixture = { .hosts = 20,
                                   .pools = 5,
                                   .per_rack = 4,
                                   .data_centres = 3,
                                   .budget = 2,
                                   .rack_budget = 1 };

typedef struct sim
{
  state_t *state;
  plan_t *plan;
  pool_demand_t demands[5];
  host_move_t moves[MOVES_MAX];
  uint32_t count;
  uint32_t applied; /* HOST_MOVE records */
  int64_t now_us;
  bool fresh;
} sim_t;

static const char *const pools[] = { "p0", "p1", "p2", "p3", "p4" };

static void
open_sim (sim_t *s)
{
  memset (s, 0, sizeof *s);
  s->state = state_new ();
  s->plan = plan_new ();
  s->now_us = SECOND;
  s->fresh = true;
  ck_assert_int_eq (fixture_publish (s->state, &fixture), VERDICT_APPLIED);
  for (uint32_t i = 0; i < 5; i++)
    s->demands[i] = (pool_demand_t){ .pool = pools[i], .current_milli = 3000 };
  s->demands[0].current_milli = 0; /* the spare pool has no services */
}

static void
close_sim (sim_t *s)
{
  plan_free (s->plan);
  state_free (s->state);
}

static uint32_t
plan_once (sim_t *s)
{
  plan_input_t in
      = { .state = s->state, .fresh = s->fresh, .now_us = s->now_us };

  plan_update (s->plan, s->state, s->demands, 5, s->now_us);
  s->count = plan_moves (s->plan, &in, s->moves, MOVES_MAX);
  return s->count;
}

static void
step (sim_t *s)
{
  rec_t rec;

  plan_once (s);
  for (uint32_t i = 0; i < s->count; i++)
    if (plan_move_record (s->state, &s->moves[i], "t", 0, &rec))
      s->applied += fixture_fold (s->state, &rec) == VERDICT_APPLIED
                    && rec.kind == REC_HOST_MOVE;
  for (uint32_t i = 0; i < s->state->hosts.count; i++)
    {
      const host_state_t *host = table_at (&s->state->hosts, i);

      if (host->phase == HOST_DRAINING)
        fixture_host (s->state, host->name, HOST_DRAINED);
    }
  s->now_us += SECOND;
}

static void
run (sim_t *s, uint32_t seconds)
{
  while (seconds--)
    step (s);
}

static uint32_t
hosts_in (const sim_t *s, const char *pool)
{
  budget_t *budget = budget_new (s->state);
  uint32_t hosts = budget_hosts (budget, pool);

  budget_free (budget);
  return hosts;
}

START_TEST (a_short_pool_gets_spare_hosts_within_the_budget)
{
  sim_t s;

  open_sim (&s);
  s.demands[1].current_milli = 6500;
  run (&s, 5);
  ck_assert_uint_eq (s.count, 0); /* a short burst moves nothing */
  /* p1 is short of three hosts, but the budget allows two.  */
  ck_assert_uint_eq (plan_once (&s), 2);
  ck_assert_str_eq (s.moves[0].from, "p0");
  ck_assert_str_eq (s.moves[0].to, "p1");
  ck_assert_str_eq (s.moves[0].reason, "pool p1 needs 7 hosts and has 4");
  s.fresh = false;
  ck_assert_uint_eq (plan_once (&s), 0);
  s.fresh = true;
  run (&s, 10);
  ck_assert_uint_eq (hosts_in (&s, "p1"), 7);
  ck_assert_uint_eq (s.applied, 3);
  close_sim (&s);
}
END_TEST

/* Services of the spare pool lost all their hosts to another pool.  */
START_TEST (the_spare_pool_keeps_hosts_for_its_services)
{
  sim_t s;

  open_sim (&s);
  s.demands[0].current_milli = 2500;
  s.demands[1].current_milli = 9000;
  run (&s, 30);
  ck_assert_uint_eq (hosts_in (&s, "p0"), 3);
  ck_assert_uint_eq (hosts_in (&s, "p1"), 5);
  ck_assert_uint_eq (s.applied, 1);
  close_sim (&s);
}
END_TEST

/* Hosts moved back and forth with every burst.  */
START_TEST (alternating_bursts_do_not_move_hosts_back_and_forth)
{
  sim_t s;

  open_sim (&s);
  for (uint32_t i = 0; i < 40; i++)
    {
      s.demands[1].current_milli = i % 2 ? 1000 : 6000;
      run (&s, 8);
    }
  ck_assert_uint_eq (s.applied, 2);
  s.demands[1].current_milli = 1000;
  run (&s, (uint32_t)(PLAN_RETURN_DELAY_US / SECOND) + 10);
  ck_assert_uint_eq (hosts_in (&s, "p1"), 4);
  ck_assert_uint_eq (hosts_in (&s, "p0"), 4);
  close_sim (&s);
}
END_TEST

START_TEST (idle_lent_hosts_move_to_the_next_short_pool)
{
  sim_t s;

  open_sim (&s);
  s.demands[1].current_milli = 8000;
  run (&s, 20);
  ck_assert_uint_eq (hosts_in (&s, "p0"), 0);
  s.demands[1].current_milli = 1000;
  s.demands[2].current_milli = 7000;
  run (&s, (uint32_t)(PLAN_REASSIGN_DELAY_US / SECOND) + 20);
  ck_assert_uint_eq (hosts_in (&s, "p2"), 7);
  ck_assert_uint_eq (s.applied, 4 + 3);
  close_sim (&s);
}
END_TEST

START_TEST (a_host_follows_the_fleet_file)
{
  fixture_t f = fixture;
  const host_state_t *host;
  sim_t s;

  open_sim (&s);
  f.moved_host = 6; /* of p1, now p2 */
  ck_assert_int_eq (fixture_publish (s.state, &f), VERDICT_APPLIED);
  run (&s, 1);
  ck_assert_uint_eq (s.count, 1);
  ck_assert_str_eq (s.moves[0].reason, "the fleet file assigns it to pool p2");
  run (&s, 5);
  host = table_find (&s.state->hosts, "h0006");
  ck_assert_str_eq (host->pool, "p2");
  ck_assert_int_eq (host->phase, HOST_IN_SERVICE);
  close_sim (&s);
}
END_TEST

/* A host stayed drained when the move it was drained for was no longer needed.
 */
START_TEST (ends_a_move_that_is_no_longer_needed)
{
  sim_t s;

  open_sim (&s);
  s.demands[1].current_milli = 6000;
  run (&s, 6);
  s.demands[1].current_milli = 1000;
  run (&s, 2);
  ck_assert_uint_eq (hosts_in (&s, "p0"), 4);
  ck_assert_uint_eq (plan_once (&s), 0);
  close_sim (&s);
}
END_TEST

TEST_PROGRAM ("plan", a_short_pool_gets_spare_hosts_within_the_budget,
              the_spare_pool_keeps_hosts_for_its_services,
              alternating_bursts_do_not_move_hosts_back_and_forth,
              idle_lent_hosts_move_to_the_next_short_pool,
              a_host_follows_the_fleet_file,
              ends_a_move_that_is_no_longer_needed)

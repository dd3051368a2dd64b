/* Guards against loans that let two daemons use the same permit at once, and
   against permits that stay unused while another daemon needs them.  */

#include "pair.h"

static const char *const peers[] = { "e9", "e2" };

static void
borrow (uint32_t count)
{
  loans_request (sides[0].loans, LOAN_TEAM, "blue", count, peers, 2,
                 clock_mono_us ());
}

static uint32_t
take_all (escrow_t *escrow, int64_t end_us)
{
  uint32_t count = 0;
  permit_t permit;

  while (escrow_acquire (escrow, clock_mono_us (), end_us, &permit))
    count++;
  return count;
}

/* The first of the peers, e9, is not connected.  */
START_TEST (permits_are_borrowed_until_the_loan_ends)
{
  int64_t start_us;

  pair_open ();
  escrow_set_share (sides[1].escrow, 5);
  start_us = clock_mono_us ();
  borrow (9);
  wait_until (sides[0].loans_received == 1);
  ck_assert_int_eq (escrow_free_count (sides[1].escrow), 2);
  ck_assert_uint_eq (escrow_lent (sides[1].escrow), 3);
  ck_assert_uint_eq (take_all (sides[0].escrow, clock_mono_us () + LOAN_US),
                     0);
  ck_assert_uint_eq (take_all (sides[0].escrow, start_us + LOAN_US / 2), 3);
  pair_close ();
}
END_TEST

START_TEST (no_more_is_borrowed_than_wanted)
{
  pair_open ();
  escrow_set_share (sides[1].escrow, 100);
  borrow (2);
  borrow (2);
  wait_until (sides[0].loans_received == 1);
  ck_assert_uint_eq (escrow_lent (sides[1].escrow), 2);
  pair_close ();
}
END_TEST

START_TEST (stale_daemon_lends_nothing)
{
  msg_t request = { .kind = MSG_LOAN_REQUEST,
                    .u.loan_request = { 1, LOAN_TEAM, "blue", 3 } };

  pair_open ();
  escrow_set_share (sides[1].escrow, 5);
  sides[1].refuses_loans = true;
  loans_receive (sides[1].loans, "e1", &request, 0, 0);
  ck_assert_int_eq (escrow_free_count (sides[1].escrow), 5);
  pair_close ();
}
END_TEST

START_TEST (last_permit_is_kept_for_own_queue)
{
  msg_t request = { .kind = MSG_LOAN_REQUEST,
                    .u.loan_request = { 1, LOAN_TEAM, "blue", 3 } };

  no_ticks = true;
  pair_open ();
  escrow_set_share (sides[1].escrow, 1);
  sides[1].has_queue = true;
  loans_receive (sides[1].loans, "e1", &request, 0, 0);
  ck_assert_int_eq (escrow_free_count (sides[1].escrow), 1);
  sides[1].has_queue = false;
  loans_receive (sides[1].loans, "e1", &request, 0, 0);
  ck_assert_int_eq (escrow_free_count (sides[1].escrow), 0);
  pair_close ();
}
END_TEST

/* The borrower ends a loan by the lender's expiry time or by its own clock,
   whichever is earlier, so that clock errors never extend it.  */
START_TEST (loan_ends_by_the_earlier_clock)
{
  static const struct
  {
    int64_t expiry_ms; /* the borrower's wall clock shows 1000 */
    int64_t end_us;    /* asked at 0, answered at 2 s */
  } rows[] = {
    { 11000, LOAN_US },  /* clocks agree */
    { 900000, LOAN_US }, /* the lender's clock is ahead */
    { 4000, 5000000 },   /* the borrower's clock is ahead, or stopped */
    { 1000, 0 },         /* expired */
    { INT64_MIN / 2, 0 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      msg_t loan
          = { .kind = MSG_LOAN,
              .u.loan = { 1, LOAN_TEAM, "blue", 1, rows[i].expiry_ms } };
      const int64_t now_us = 2000000;
      permit_t permit;

      no_ticks = true;
      pair_open ();
      sides[1].ignores_messages = true;
      loans_request (sides[0].loans, LOAN_TEAM, "blue", 1, &peers[1], 1, 0);
      loans_receive (sides[0].loans, "e2", &loan, now_us, 1000);
      ck_assert_msg (!escrow_acquire (sides[0].escrow, now_us,
                                      rows[i].end_us + 1, &permit),
                     "row %zu: late", i);
      ck_assert_msg (
          escrow_acquire (sides[0].escrow, now_us, rows[i].end_us, &permit)
              == (rows[i].end_us > now_us),
          "row %zu", i);
      pair_close ();
    }
}
END_TEST

START_TEST (unrequested_and_duplicate_loans_are_discarded)
{
  msg_t loan
      = { .kind = MSG_LOAN, .u.loan = { 1, LOAN_TEAM, "blue", 2, 11000 } };
  static const struct
  {
    const char *peer;
    uint64_t number;
    uint32_t permits;
  } rows[]
      = { { "e3", 1, 0 }, { "e2", 2, 0 }, { "e2", 1, 2 }, { "e2", 1, 2 } };
  uint32_t taken = 0;

  no_ticks = true;
  pair_open ();
  sides[1].ignores_messages = true;
  loans_receive (sides[0].loans, "e2", &loan, 0, 1000);
  loans_request (sides[0].loans, LOAN_TEAM, "blue", 2, &peers[1], 1, 0);
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      permit_t permit;

      loan.u.loan.number = rows[i].number;
      loans_receive (sides[0].loans, rows[i].peer, &loan, 0, 1000);
      while (escrow_acquire (sides[0].escrow, 0, 1, &permit))
        taken++;
      ck_assert_msg (taken == rows[i].permits, "row %zu", i);
    }
  pair_close ();
}
END_TEST

/* Simulates daemons that lend each other permits of a team and slots of an
   upstream.  The network delays, loses and duplicates messages, the wall
   clocks differ, and daemons restart while their work is still running.  */

#define HOSTS 3
#define RUNS_MAX 256
#define PACKETS_MAX 256
#define STEP_US 50000
#define STEPS 2000
#define RUN_US 4000000
#define SEEDS 15

static const uint32_t limits[] = { [LOAN_TEAM] = 5, [LOAN_UPSTREAM] = 4 };
static const char *const names[] = { "m0", "m1", "m2" };

typedef struct node
{
  loans_t *loans;
  escrow_t *escrows[2];
  uint32_t index;
  uint32_t incarnation;
  int64_t share_from_us; /* when it may first hold its share */
  int64_t clock_offset_ms;
} node_t;

typedef struct packet
{
  msg_t msg;
  int64_t at_us; /* time of delivery; 0: unused */
  uint32_t from;
  uint32_t to;
} packet_t;

typedef struct run
{
  node_t *node;
  uint32_t incarnation;
  permit_t permits[2];
  int64_t end_us; /* 0: none */
} run_t;          /* an unset permit: it needs none of that kind */

static struct
{
  node_t nodes[HOSTS];
  packet_t packets[PACKETS_MAX];
  run_t runs[RUNS_MAX];
  GRand *rand;
  int64_t now_us;
} model;

static int32_t
random_below (int32_t below)
{
  return g_rand_int_range (model.rand, 0, below);
}

static bool
model_send (void *ctx, const char *peer, const msg_t *msg)
{
  node_t *node = ctx;
  int32_t copies = random_below (10) == 0 ? random_below (3) : 1;

  for (uint32_t i = 0; i < PACKETS_MAX && copies > 0; i++)
    if (model.packets[i].at_us == 0)
      {
        int64_t delay_us = random_below (10) == 0 ? random_below (15000000)
                                                  : random_below (200000);

        model.packets[i]
            = (packet_t){ *msg, model.now_us + delay_us + 1, node->index,
                          (uint32_t)(peer[1] - '0') };
        copies--;
      }
  return true;
}

static escrow_t *
model_find_escrow (void *ctx, loan_kind_t kind, const char *name)
{
  (void)name;
  return ((node_t *)ctx)->escrows[kind];
}

static bool
model_true (void *ctx)
{
  (void)ctx;
  return true;
}

static void
model_borrowed (void *ctx, loan_kind_t kind, const char *name)
{
  (void)ctx;
  (void)kind;
  (void)name;
}

static void
node_start (node_t *node, int64_t share_from_us)
{
  loans_config_t config = { .send = model_send,
                            .find_escrow = model_find_escrow,
                            .may_lend = model_true,
                            .has_queue = model_true,
                            .on_borrowed = model_borrowed,
                            .ctx = node };

  node->incarnation++;
  node->share_from_us = share_from_us;
  node->loans = loans_new (&config);
  for (uint32_t kind = 0; kind < 2; kind++)
    node->escrows[kind] = escrow_new ();
}

static void
node_end (node_t *node)
{
  loans_free (node->loans);
  for (uint32_t kind = 0; kind < 2; kind++)
    escrow_free (node->escrows[kind]);
}

static void
deliver_packets (void)
{
  for (uint32_t i = 0; i < PACKETS_MAX; i++)
    {
      packet_t packet = model.packets[i];
      node_t *node = &model.nodes[packet.to];

      if (packet.at_us == 0 || packet.at_us > model.now_us)
        continue;
      model.packets[i].at_us = 0;
      loans_receive (node->loans, names[packet.from], &packet.msg,
                     model.now_us,
                     model.now_us / 1000 + node->clock_offset_ms);
    }
}

static void
begin_run (node_t *node)
{
  int64_t end_us = model.now_us + 1 + random_below (RUN_US);
  run_t run = { node, node->incarnation, { { 0 } }, end_us };

  int32_t needs = 1 + random_below (3);

  for (uint32_t kind = 0; kind < 2; kind++)
    if (needs & 1 << kind
        && !escrow_acquire (node->escrows[kind], model.now_us, end_us,
                            &run.permits[kind]))
      {
        const char *const all[] = { names[(node->index + 1) % HOSTS],
                                    names[(node->index + 2) % HOSTS] };

        if (kind > 0)
          escrow_release (node->escrows[0], run.permits[0]);
        loans_request (node->loans, kind, "r", 2, all, 2, model.now_us);
        return;
      }
  for (uint32_t i = 0; i < RUNS_MAX; i++)
    if (model.runs[i].end_us == 0)
      {
        model.runs[i] = run;
        return;
      }
  ck_abort_msg ("too many runs");
}

/* Ends the runs that are due, including those of daemons that have restarted,
   and counts the others.  */
static void
end_runs (uint32_t running[2])
{
  running[LOAN_TEAM] = running[LOAN_UPSTREAM] = 0;

  for (uint32_t i = 0; i < RUNS_MAX; i++)
    {
      run_t *run = &model.runs[i];

      for (uint32_t kind = 0; kind < 2 && run->end_us > model.now_us; kind++)
        running[kind] += run->permits[kind].source != 0;
      if (run->end_us > model.now_us)
        continue;
      if (run->end_us > 0)
        {
          for (uint32_t kind = 0;
               kind < 2 && run->incarnation == run->node->incarnation; kind++)
            escrow_release (run->node->escrows[kind], run->permits[kind]);
          run->end_us = 0;
        }
    }
}

static void
step (void)
{
  uint32_t running[2];

  deliver_packets ();
  end_runs (running);
  for (uint32_t i = 0; i < HOSTS; i++)
    {
      node_t *node = &model.nodes[i];

      if (random_below (600) == 0)
        {
          node_end (node);
          node_start (node, model.now_us + share_outstanding_us (RUN_US));
        }
      for (uint32_t kind = 0; kind < 2 && model.now_us >= node->share_from_us;
           kind++)
        escrow_set_share (
            node->escrows[kind],
            share_split ("r", limits[kind], names, HOSTS, names[i]));
      loans_tick (node->loans, model.now_us);
      if (random_below (2) == 0)
        begin_run (node);
    }
}

START_TEST (loans_never_let_more_run_than_the_limits)
{
  uint32_t max_running[2] = { 0 };

  for (uint32_t seed = 0; seed < SEEDS; seed++)
    {
      memset (&model, 0, sizeof model);
      model.rand = g_rand_new_with_seed (seed);
      for (uint32_t i = 0; i < HOSTS; i++)
        {
          model.nodes[i].index = i;
          model.nodes[i].clock_offset_ms = random_below (CLOCK_ERROR_MS);
          node_start (&model.nodes[i], 0);
        }
      for (uint32_t i = 1; i <= STEPS; i++)
        {
          uint32_t running[2];

          model.now_us = (int64_t)i * STEP_US;
          step ();
          end_runs (running);
          for (uint32_t kind = 0; kind < 2; kind++)
            {
              max_running[kind] = MAX (max_running[kind], running[kind]);
              ck_assert_msg (running[kind] <= limits[kind],
                             "seed %u, step %u, kind %u: %u run", seed, i,
                             kind, running[kind]);
            }
        }
      for (uint32_t i = 0; i < HOSTS; i++)
        node_end (&model.nodes[i]);
      g_rand_free (model.rand);
    }
  /* The simulation must reach the limits to be meaningful.  */
  for (uint32_t kind = 0; kind < 2; kind++)
    ck_assert_uint_eq (max_running[kind], limits[kind]);
}
END_TEST

int
main (void)
{
  const TTest *const tests[] = { permits_are_borrowed_until_the_loan_ends,
                                 no_more_is_borrowed_than_wanted,
                                 stale_daemon_lends_nothing,
                                 last_permit_is_kept_for_own_queue,
                                 loan_ends_by_the_earlier_clock,
                                 unrequested_and_duplicate_loans_are_discarded,
                                 loans_never_let_more_run_than_the_limits,
                                 NULL };

  return run_suite ("loans", tests);
}

/* Guards against permits that two daemons hold at once through a loan, and
   against permits that lie idle while another daemon needs them.  */

#include "pair.h"

static const char *const peers[] = { "e9", "e2" };

static void
want (uint32_t count)
{
  loans_want (sides[0].loans, LOAN_TEAM, "blue", count, peers, 2,
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

/* The first of the peers is away.  */
START_TEST (permits_come_from_a_peer_for_a_time)
{
  int64_t start_us;

  pair_open ();
  escrow_set_share (sides[1].escrow, 5);
  start_us = clock_mono_us ();
  want (9);
  wait_until (sides[0].arrived == 1);
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
  want (2);
  want (2);
  wait_until (sides[0].arrived == 1);
  ck_assert_uint_eq (escrow_lent (sides[1].escrow), 2);
  pair_close ();
}
END_TEST

START_TEST (stale_daemon_lends_nothing)
{
  msg_t ask
      = { .kind = MSG_LOAN_ASK, .u.loan_ask = { 1, LOAN_TEAM, "blue", 3 } };

  pair_open ();
  escrow_set_share (sides[1].escrow, 5);
  sides[1].refuses = true;
  loans_take (sides[1].loans, "e1", &ask, 0, 0);
  ck_assert_int_eq (escrow_free_count (sides[1].escrow), 5);
  pair_close ();
}
END_TEST

START_TEST (last_permit_is_kept_for_own_queue)
{
  msg_t ask
      = { .kind = MSG_LOAN_ASK, .u.loan_ask = { 1, LOAN_TEAM, "blue", 3 } };

  no_ticks = true;
  pair_open ();
  escrow_set_share (sides[1].escrow, 1);
  sides[1].queued = true;
  loans_take (sides[1].loans, "e1", &ask, 0, 0);
  ck_assert_int_eq (escrow_free_count (sides[1].escrow), 1);
  sides[1].queued = false;
  loans_take (sides[1].loans, "e1", &ask, 0, 0);
  ck_assert_int_eq (escrow_free_count (sides[1].escrow), 0);
  pair_close ();
}
END_TEST

/* What the lender says, against the time by which the borrower must end.  */
START_TEST (loan_ends_by_the_earlier_clock)
{
  static const struct
  {
    int64_t expiry_ms; /* the borrower's wall clock shows 1000 */
    int64_t end_us;    /* asked at 0, answered at 2 s */
  } rows[] = {
    { 11000, LOAN_US },  /* clocks agree */
    { 900000, LOAN_US }, /* the lender's is ahead */
    { 4000, 5000000 },   /* the borrower's is ahead, or stood still */
    { 1000, 0 },         /* over */
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
      sides[1].mute = true;
      loans_want (sides[0].loans, LOAN_TEAM, "blue", 1, &peers[1], 1, 0);
      loans_take (sides[0].loans, "e2", &loan, now_us, 1000);
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

START_TEST (unasked_and_repeated_loans_are_not_used)
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
  sides[1].mute = true;
  loans_take (sides[0].loans, "e2", &loan, 0, 1000);
  loans_want (sides[0].loans, LOAN_TEAM, "blue", 2, &peers[1], 1, 0);
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      permit_t permit;

      loan.u.loan.number = rows[i].number;
      loans_take (sides[0].loans, rows[i].peer, &loan, 0, 1000);
      while (escrow_acquire (sides[0].escrow, 0, 1, &permit))
        taken++;
      ck_assert_msg (taken == rows[i].permits, "row %zu", i);
    }
  pair_close ();
}
END_TEST

/* A model: daemons that lend each other permits of a team and slots of an
   upstream over a network that delays, loses and repeats messages, with wall
   clocks that differ, and restarts that leave work running.  */

#define HOSTS 3
#define RUNS_MAX 256
#define MAILS_MAX 256
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
  int64_t hold_us; /* it has its share from then on */
  int64_t ahead_ms;
} node_t;

typedef struct mail
{
  msg_t msg;
  int64_t at_us; /* 0: none */
  uint32_t from;
  uint32_t to;
} mail_t;

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
  mail_t mails[MAILS_MAX];
  run_t runs[RUNS_MAX];
  GRand *rand;
  int64_t now_us;
} model;

static int32_t
pick (int32_t below)
{
  return g_rand_int_range (model.rand, 0, below);
}

static bool
model_send (void *ctx, const char *peer, const msg_t *msg)
{
  node_t *node = ctx;
  int32_t copies = pick (10) == 0 ? pick (3) : 1;

  for (uint32_t i = 0; i < MAILS_MAX && copies > 0; i++)
    if (model.mails[i].at_us == 0)
      {
        int64_t delay_us = pick (10) == 0 ? pick (15000000) : pick (200000);

        model.mails[i] = (mail_t){ *msg, model.now_us + delay_us + 1,
                                   node->index, (uint32_t)(peer[1] - '0') };
        copies--;
      }
  return true;
}

static escrow_t *
model_find (void *ctx, loan_kind_t kind, const char *name)
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
model_arrived (void *ctx, loan_kind_t kind, const char *name)
{
  (void)ctx;
  (void)kind;
  (void)name;
}

static void
node_start (node_t *node, int64_t hold_us)
{
  loans_config_t config = { .send = model_send,
                            .find = model_find,
                            .may_lend = model_true,
                            .has_queue = model_true,
                            .arrived = model_arrived,
                            .ctx = node };

  node->incarnation++;
  node->hold_us = hold_us;
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
deliver (void)
{
  for (uint32_t i = 0; i < MAILS_MAX; i++)
    {
      mail_t mail = model.mails[i];
      node_t *node = &model.nodes[mail.to];

      if (mail.at_us == 0 || mail.at_us > model.now_us)
        continue;
      model.mails[i].at_us = 0;
      loans_take (node->loans, names[mail.from], &mail.msg, model.now_us,
                  model.now_us / 1000 + node->ahead_ms);
    }
}

static void
begin_run (node_t *node)
{
  int64_t end_us = model.now_us + 1 + pick (RUN_US);
  run_t run = { node, node->incarnation, { { 0 } }, end_us };

  int32_t needs = 1 + pick (3);

  for (uint32_t kind = 0; kind < 2; kind++)
    if (needs & 1 << kind
        && !escrow_acquire (node->escrows[kind], model.now_us, end_us,
                            &run.permits[kind]))
      {
        const char *const all[] = { names[(node->index + 1) % HOSTS],
                                    names[(node->index + 2) % HOSTS] };

        if (kind > 0)
          escrow_release (node->escrows[0], run.permits[0]);
        loans_want (node->loans, kind, "r", 2, all, 2, model.now_us);
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

/* Work ends when it is due, also that of a daemon that is no more.  */
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

  deliver ();
  end_runs (running);
  for (uint32_t i = 0; i < HOSTS; i++)
    {
      node_t *node = &model.nodes[i];

      if (pick (600) == 0)
        {
          node_end (node);
          node_start (node, model.now_us + share_outstanding_us (RUN_US));
        }
      for (uint32_t kind = 0; kind < 2 && model.now_us >= node->hold_us;
           kind++)
        escrow_set_share (
            node->escrows[kind],
            share_split ("r", limits[kind], names, HOSTS, names[i]));
      loans_tick (node->loans, model.now_us);
      if (pick (2) == 0)
        begin_run (node);
    }
}

START_TEST (loans_never_let_more_run_than_the_limits)
{
  uint32_t most[2] = { 0 };

  for (uint32_t seed = 0; seed < SEEDS; seed++)
    {
      memset (&model, 0, sizeof model);
      model.rand = g_rand_new_with_seed (seed);
      for (uint32_t i = 0; i < HOSTS; i++)
        {
          model.nodes[i].index = i;
          model.nodes[i].ahead_ms = pick (CLOCK_ERROR_MS);
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
              most[kind] = MAX (most[kind], running[kind]);
              ck_assert_msg (running[kind] <= limits[kind],
                             "seed %u, step %u, kind %u: %u run", seed, i,
                             kind, running[kind]);
            }
        }
      for (uint32_t i = 0; i < HOSTS; i++)
        node_end (&model.nodes[i]);
      g_rand_free (model.rand);
    }
  /* The limits were reached, or the model would show little.  */
  for (uint32_t kind = 0; kind < 2; kind++)
    ck_assert_uint_eq (most[kind], limits[kind]);
}
END_TEST

int
main (void)
{
  const TTest *const tests[] = { permits_come_from_a_peer_for_a_time,
                                 no_more_is_borrowed_than_wanted,
                                 stale_daemon_lends_nothing,
                                 last_permit_is_kept_for_own_queue,
                                 loan_ends_by_the_earlier_clock,
                                 unasked_and_repeated_loans_are_not_used,
                                 loans_never_let_more_run_than_the_limits,
                                 NULL };

  return run_suite ("loans", tests);
}

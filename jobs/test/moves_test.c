#include "rig.h"

#define STANDBY "spare"

static void
set_up (void)
{
  rules_service_t own = { .name = g_intern_string (RIG_SERVICE) };
  rules_service_t spare
      = { .name = g_intern_string (STANDBY), .standby = true };

  rig_set_up ();
  g_array_append_val (rig.rules->services, own);
  g_array_append_val (rig.rules->services, spare);
}

/* HOSTS hosts of the service, h0 runs w0 and so on, then SPARES idle ones.  */
static void
list_hosts (uint32_t hosts, uint32_t spares)
{
  g_autoptr (GArray) infos = g_array_new (FALSE, TRUE, sizeof (host_info_t));

  for (uint32_t i = 0; i < hosts + spares; i++)
    {
      g_autofree char *host = g_strdup_printf ("h%u", i);
      g_autofree char *worker = g_strdup_printf ("w%u", i);
      host_info_t info = { .host = g_intern_string (host),
                           .pool = i < hosts ? RIG_SERVICE : STANDBY,
                           .worker = i < hosts ? g_intern_string (worker) : "",
                           .state = HOST_STATUS_UP };

      g_array_append_val (infos, info);
    }
  hosts_set (rig.sched, infos, rig.now.us, rig.now);
}

static GArray *
orders_after (int64_t ms)
{
  GArray *orders;
  GArray *copy = g_array_new (FALSE, TRUE, sizeof (host_order_t));

  rig_advance_clock (ms);
  orders = hosts_plan (rig.sched, rig.now);
  g_array_append_vals (copy, orders->data, orders->len);
  g_array_set_size (orders, 0);
  return copy;
}

/* Turn of a queue: it asks for more than its pool holds, and the spare pool is
   idle.  */
START_TEST (test_burst_brings_spare_hosts)
{
  job_step_t step = rig_step (40);
  g_autoptr (GArray) none = NULL;
  g_autoptr (GArray) starts = NULL;
  g_autoptr (GArray) first = NULL;
  g_autoptr (GArray) moves = NULL;

  rig_worker ("w0", 8, false);
  list_hosts (1, 3);
  none = orders_after (200);
  ck_assert_uint_eq (none->len, 0);
  rig_submit (1, &step, 1);
  starts = rig_plan (false);
  ck_assert_uint_eq (rig_count_orders (starts, ORDER_START), 8);
  first = orders_after (200);
  ck_assert_uint_eq (first->len, 0);
  moves = orders_after (200);
  ck_assert_uint_eq (moves->len, 3);
  for (uint32_t i = 0; i < moves->len; i++)
    {
      const host_order_t *move = &g_array_index (moves, host_order_t, i);

      ck_assert_int_eq (move->kind, HOST_ORDER_MOVE);
      ck_assert_str_eq (move->pool, RIG_SERVICE);
    }
}
END_TEST

/* A single short job is no reason to move anything.  */
START_TEST (test_no_burst_no_moves)
{
  job_step_t step = rig_step (4);
  g_autoptr (GArray) starts = NULL;

  rig_worker ("w0", 8, false);
  list_hosts (1, 3);
  rig_submit (1, &step, 1);
  starts = rig_plan (false);
  ck_assert_uint_eq (rig_count_orders (starts, ORDER_START), 4);
  for (uint32_t i = 0; i < 10; i++)
    {
      g_autoptr (GArray) moves = orders_after (200);

      ck_assert_uint_eq (moves->len, 0);
    }
}
END_TEST

/* Guards against moves for work that the workspace's cap keeps waiting.  */
START_TEST (test_capped_work_moves_nothing)
{
  job_step_t step = rig_step (40);
  g_autoptr (GArray) starts = NULL;

  g_array_index (rig.rules->workspaces, rules_workspace_t, 0).cap.cpu_milli
      = 2000;
  rig_worker ("w0", 8, false);
  list_hosts (1, 3);
  rig_submit (1, &step, 1);
  starts = rig_plan (false);
  ck_assert_uint_eq (rig_count_orders (starts, ORDER_START), 2);
  for (uint32_t i = 0; i < 5; i++)
    {
      g_autoptr (GArray) moves = orders_after (200);

      ck_assert_uint_eq (moves->len, 0);
    }
}
END_TEST

/* Hosts beyond a pool's first size go back when they are idle for a while, and
   never more than those.  */
START_TEST (test_surplus_goes_back)
{
  uint32_t back = 0;

  for (uint32_t i = 0; i < 6; i++)
    {
      g_autofree char *id = g_strdup_printf ("w%u", i);

      rig_worker (id, 8, false);
    }
  hosts_set_base_size (rig.sched, RIG_SERVICE, 4);
  list_hosts (6, 0);
  for (uint32_t i = 0; i < 30; i++)
    {
      g_autoptr (GArray) moves = NULL;

      for (uint32_t w = 0; w < 6; w++)
        {
          g_autofree char *id = g_strdup_printf ("w%u", w);

          rig_report (id, NULL, 0, NULL, 0);
        }
      moves = orders_after (200);
      for (uint32_t m = 0; m < moves->len; m++)
        ck_assert_str_eq (g_array_index (moves, host_order_t, m).pool,
                          STANDBY);
      ck_assert (i >= 5 || moves->len == 0);
      back += moves->len;
    }
  ck_assert_uint_eq (back, 2);
}
END_TEST

/* HOSTS[P] hosts of pool P, each with a worker of 8 cores, then SPARES idle
   ones.  */
#define POOLS 2
static const char *const pool_names[POOLS] = { RIG_SERVICE, "other" };

static void
list_pools (const uint32_t hosts[POOLS], uint32_t spares)
{
  g_autoptr (GArray) infos = g_array_new (FALSE, TRUE, sizeof (host_info_t));

  for (uint32_t p = 0; p <= POOLS; p++)
    for (uint32_t i = 0; i < (p < POOLS ? hosts[p] : spares); i++)
      {
        g_autofree char *host = g_strdup_printf ("p%uh%u", p, i);
        g_autofree char *worker = g_strdup_printf ("p%uw%u", p, i);
        host_info_t info
            = { .host = g_intern_string (host),
                .pool = p < POOLS ? pool_names[p] : STANDBY,
                .worker = p < POOLS ? g_intern_string (worker) : "",
                .state = HOST_STATUS_UP };

        g_array_append_val (infos, info);
        rig.service = p < POOLS ? pool_names[p] : NULL;
        if (p < POOLS)
          rig_worker (worker, 8, false);
      }
  rig.service = NULL;
  hosts_set (rig.sched, infos, rig.now.us, rig.now);
}

/* All workers answer that nothing runs there.  */
static void
answer_idle (const uint32_t hosts[POOLS])
{
  for (uint32_t p = 0; p < POOLS; p++)
    for (uint32_t i = 0; i < hosts[p]; i++)
      {
        g_autofree char *worker = g_strdup_printf ("p%uw%u", p, i);

        rig_report (worker, NULL, 0, NULL, 0);
      }
}

/* Moves to POOL in MS of no work.  */
static uint32_t
moves_while_idle (const uint32_t hosts[POOLS], const char *pool, int64_t ms)
{
  uint32_t count = 0;

  for (int64_t at = 0; at < ms; at += 200)
    {
      g_autoptr (GArray) moves = NULL;

      answer_idle (hosts);
      moves = orders_after (200);
      for (uint32_t i = 0; i < moves->len; i++)
        count
            += strcmp (g_array_index (moves, host_order_t, i).pool, pool) == 0;
    }
  return count;
}

/* Jobs that ask POOL for HOSTS hosts of 8 cores for two seconds; all are
   cancelled at the end of it.  Returns the moves to OTHER.  */
static uint32_t
burst (const char *pool, uint32_t hosts, const uint32_t listed[POOLS],
       const char *other)
{
  static uint32_t number;
  job_step_t step = rig_step (hosts * 8);
  uint32_t first = number;
  uint32_t count = 0;

  step.estimate_ms = 200;
  rig.service = pool;
  for (uint32_t i = 0; i < 10; i++)
    {
      g_autoptr (GArray) moves = NULL;

      rig_submit (number++, &step, 1);
      answer_idle (listed);
      moves = orders_after (200);
      for (uint32_t m = 0; m < moves->len; m++)
        {
          const host_order_t *move = &g_array_index (moves, host_order_t, m);

          count += strcmp (move->pool, other) == 0;
          hosts_reply (rig.sched, move, HOST_REPLY_OK, rig.now);
        }
    }
  rig.service = NULL;
  for (uint32_t i = first; i < number; i++)
    sched_cancel_job (rig.sched, rig_id (i));
  return count;
}

/* Turns of queues: a pool that has had its burst keeps 41 of 49 hosts busy
   with nothing until its next one.  */
START_TEST (test_turns_pool_rests_after_its_burst)
{
  static const uint32_t hosts[POOLS] = { 6, 6 };

  hosts_set_base_size (rig.sched, pool_names[0], 6);
  hosts_set_base_size (rig.sched, pool_names[1], 6);
  list_pools (hosts, 4);
  ck_assert_uint_eq (moves_while_idle (hosts, STANDBY, 4000), 0);
  burst (pool_names[0], 5, hosts, pool_names[1]);
  list_pools (hosts, 4);
  ck_assert_uint_gt (moves_while_idle (hosts, STANDBY, 8000), 0);
}
END_TEST

/* Turns of queues: the burst of the pool before it last time brings a resting
   pool back to its size, as a host takes one and a half seconds to come.  */
START_TEST (test_turns_burst_before_ends_the_rest)
{
  static const uint32_t hosts[POOLS] = { 6, 6 };
  static const uint32_t left[POOLS] = { 6, 2 };

  hosts_set_base_size (rig.sched, pool_names[0], 6);
  hosts_set_base_size (rig.sched, pool_names[1], 6);
  list_pools (hosts, 4);
  burst (pool_names[0], 5, hosts, pool_names[1]);
  burst (pool_names[1], 5, hosts, pool_names[0]);
  list_pools (hosts, 4);
  moves_while_idle (hosts, STANDBY, 8000);
  list_pools (left, 8);
  ck_assert_uint_eq (moves_while_idle (left, pool_names[1], 2000), 0);
  ck_assert_uint_gt (burst (pool_names[0], 4, left, pool_names[1]), 0);
}
END_TEST

/* platform_down, then a burst elsewhere: jobs that are past all use must not
   keep hosts from a pool whose jobs can still be in time.  */
START_TEST (test_hopeless_backlog_gives_hosts_to_a_burst)
{
  static const uint32_t hosts[POOLS] = { 8, 1 };
  job_step_t old = rig_step (400);
  job_step_t fresh = rig_step (30);
  uint32_t moved = 0;

  hosts_set_base_size (rig.sched, pool_names[0], 6);
  hosts_set_base_size (rig.sched, pool_names[1], 6);
  rig_submit (1, &old, 1);
  rig_advance_clock (60000);
  list_pools (hosts, 0);
  answer_idle (hosts);
  g_array_unref (orders_after (200));
  rig.service = pool_names[1];
  rig_submit (2, &fresh, 1);
  rig.service = NULL;
  for (uint32_t i = 0; i < 5; i++)
    {
      g_autoptr (GArray) moves = NULL;

      answer_idle (hosts);
      moves = orders_after (200);
      moved += moves->len;
    }
  ck_assert_uint_gt (moved, 0);
}
END_TEST

/* All that was started is done at once.  */
static void
finish (const GArray *starts)
{
  static uint64_t number;

  for (uint32_t i = 0; i < starts->len; i++)
    {
      const order_t *start = &g_array_index (starts, order_t, i);
      run_end_t end = rig_end (start, ++number, RUN_DONE);

      rig_confirm_start (start);
      rig_report (start->worker, NULL, 0, &end, 1);
    }
}

/* Ramp of a turn: hosts that are ordered when work waits come too late.  */
START_TEST (test_ramp_moves_hosts_ahead_of_the_work)
{
  static const uint32_t hosts[POOLS] = { 6, 0 };
  uint32_t moved = 0;

  hosts_set_base_size (rig.sched, pool_names[0], 6);
  list_pools (hosts, 6);
  for (uint32_t i = 0; i < 12; i++)
    {
      job_step_t step = rig_step (i * 4);
      g_autoptr (GArray) starts = NULL;
      g_autoptr (GArray) moves = NULL;

      step.estimate_ms = 200;
      if (i > 0)
        rig_submit (i, &step, 1);
      starts = rig_plan (false);
      ck_assert_uint_eq (rig_count_orders (starts, ORDER_START), i * 4);
      finish (starts);
      answer_idle (hosts);
      moves = orders_after (200);
      moved += moves->len;
    }
  ck_assert_uint_gt (moved, 0);
}
END_TEST

TEST_PROGRAM_WITH ("jobs/moves", set_up, rig_tear_down,
                   test_burst_brings_spare_hosts, test_no_burst_no_moves,
                   test_capped_work_moves_nothing, test_surplus_goes_back,
                   test_turns_pool_rests_after_its_burst,
                   test_turns_burst_before_ends_the_rest,
                   test_hopeless_backlog_gives_hosts_to_a_burst,
                   test_ramp_moves_hosts_ahead_of_the_work)

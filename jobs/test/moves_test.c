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
                           .state = HOST_SEEN_UP };

      g_array_append_val (infos, info);
    }
  hosts_set (rig.sched, infos, rig.now.us, rig.now);
}

static GArray *
orders_after (int64_t ms)
{
  GArray *orders;
  GArray *copy = g_array_new (FALSE, TRUE, sizeof (host_order_t));

  rig_pass (ms);
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
  ck_assert_uint_eq (rig_count (starts, ORDER_START), 8);
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
  ck_assert_uint_eq (rig_count (starts, ORDER_START), 4);
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
  ck_assert_uint_eq (rig_count (starts, ORDER_START), 2);
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
  hosts_set_base (rig.sched, RIG_SERVICE, 4);
  list_hosts (6, 0);
  for (uint32_t i = 0; i < 30; i++)
    {
      g_autoptr (GArray) moves = NULL;

      for (uint32_t w = 0; w < 6; w++)
        {
          g_autofree char *id = g_strdup_printf ("w%u", w);

          rig_answer (id, NULL, 0, NULL, 0);
        }
      moves = orders_after (200);
      for (uint32_t m = 0; m < moves->len; m++)
        ck_assert_str_eq (g_array_index (moves, host_order_t, m).pool,
                          STANDBY);
      ck_assert (i >= 10 || moves->len == 0);
      back += moves->len;
    }
  ck_assert_uint_eq (back, 2);
}
END_TEST

TEST_PROGRAM_WITH ("jobs/moves", set_up, rig_tear_down,
                   test_burst_brings_spare_hosts, test_no_burst_no_moves,
                   test_capped_work_moves_nothing, test_surplus_goes_back)

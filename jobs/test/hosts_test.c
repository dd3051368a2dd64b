#include "rig.h"

static rig_t rig;

static void
set_up (void)
{
  memset (&rig, 0, sizeof rig);
}

static void
tear_down (void)
{
  rig_close (&rig);
}

/* The list of hosts: host N runs worker IDS[N], all up but DOWN.  */
static void
list_hosts (const char *const *ids, uint32_t count, uint32_t down)
{
  g_autoptr (GArray) infos = g_array_new (FALSE, TRUE, sizeof (host_info_t));
  static const char *const names[] = { "h0", "h1", "h2", "h3" };

  for (uint32_t i = 0; i < count; i++)
    {
      host_info_t info
          = { .host = names[i],
              .pool = RIG_SERVICE,
              .worker = ids[i],
              .state = i == down ? HOST_SEEN_UPKEEP : HOST_SEEN_UP };

      g_array_append_val (infos, info);
    }
  hosts_set (rig.sched, infos, rig.now.us, rig.now);
}

static void
set_wave (const char *hosts, uint32_t at_once)
{
  wave_info_t wave = { .number = 1,
                       .hosts = g_strsplit (hosts, " ", 0),
                       .duration_s = 10,
                       .at_once = at_once };

  hosts_set_wave (rig.sched, &wave, rig.now.us, rig.now);
}

/* The order given after MS more, or false.  */
static bool
next_order (int64_t ms, host_order_t *order)
{
  GArray *orders;
  bool found;

  rig_pass (&rig, ms);
  orders = hosts_plan (rig.sched, rig.now);
  found = orders->len > 0;
  ck_assert_uint_le (orders->len, 1);
  if (found)
    *order = g_array_index (orders, host_order_t, 0);
  g_array_set_size (orders, 0);
  return found;
}

/* Guards against taking what runs on the next boot for ended when the answer
   to a repeated order comes late: its tasks would start twice.  */
START_TEST (test_late_answer_leaves_the_next_boot_alone)
{
  static const char *const before[] = { "w0" };
  static const char *const after[] = { "w1" };
  job_step_t step = rig_step (1);
  host_order_t order;
  order_t start;
  run_row_t row;
  g_autoptr (GArray) starts = NULL;
  g_autoptr (GArray) again = NULL;

  rig_open (&rig, 1);
  rig_worker (&rig, "w0", 8, false);
  list_hosts (before, 1, UINT32_MAX);
  set_wave ("h0", 1);
  ck_assert (next_order (200, &order));
  hosts_reply (rig.sched, &order, HOST_LOST, rig.now);
  sched_drop_worker (rig.sched, "w0", rig.now);
  rig_worker (&rig, "w1", 8, false);
  list_hosts (after, 1, 0);
  rig_submit (&rig, 1, &step, 1);
  starts = rig_plan (&rig, false);
  ck_assert_uint_eq (rig_count (starts, ORDER_START), 1);
  start = g_array_index (starts, order_t, 0);
  rig_started (&rig, &start);
  ck_assert (next_order (500, &order));
  hosts_reply (rig.sched, &order, HOST_OK, rig.now);
  row = rig_row (&start);
  rig_answer (&rig, "w1", &row, 1, NULL, 0);
  again = rig_plan (&rig, false);
  ck_assert_uint_eq (again->len, 0);
}
END_TEST

/* Guards against taking what runs on a host for ended because an order was
   answered with yes: it may have been carried out long before.  */
START_TEST (test_order_done_before_ends_nothing)
{
  const char *ids[] = { "w0" };
  job_step_t step = rig_step (1);
  host_order_t order;
  run_row_t row;
  g_autoptr (GArray) starts = NULL;
  g_autoptr (GArray) again = NULL;

  rig_open (&rig, 1);
  rig_worker (&rig, "w0", 8, false);
  rig_worker (&rig, "w9", 8, false);
  step.lasts = true;
  rig_submit (&rig, 1, &step, 1);
  starts = rig_plan (&rig, false);
  ck_assert_uint_eq (rig_count (starts, ORDER_START), 1);
  rig_started (&rig, &g_array_index (starts, order_t, 0));
  ids[0] = g_array_index (starts, order_t, 0).worker;
  list_hosts (ids, 1, UINT32_MAX);
  set_wave ("h0", 1);
  ck_assert (next_order (200, &order));
  hosts_reply (rig.sched, &order, HOST_OK, rig.now);
  rig_pass (&rig, 100);
  list_hosts (ids, 1, UINT32_MAX);
  row = rig_row (&g_array_index (starts, order_t, 0));
  rig_answer (&rig, ids[0], &row, 1, NULL, 0);
  again = rig_plan (&rig, false);
  ck_assert_uint_eq (again->len, 0);
}
END_TEST

TEST_PROGRAM_WITH ("jobs/hosts", set_up, tear_down,
                   test_late_answer_leaves_the_next_boot_alone,
                   test_order_done_before_ends_nothing)

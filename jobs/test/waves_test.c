#include "rig.h"

static bool
has_news (fleet_update_kind_t kind)
{
  const GArray *news = hosts_updates (rig.sched);

  for (uint32_t i = 0; i < news->len; i++)
    if (g_array_index (news, fleet_update_t, i).kind == kind)
      return true;
  return false;
}

/* Guards against an upkeep beside as many as the wave may have down.  */
START_TEST (test_wave_keeps_its_bound)
{
  static const char *const ids[] = { "w0", "w1", "w2" };
  host_order_t order;
  uint32_t repeats = 0;

  rig_open_sched (1);
  rig_list_hosts (ids, 3, UINT32_MAX);
  rig_set_wave ("h0 h1 h2", 1);
  ck_assert (rig_next_order (200, &order));
  ck_assert (!rig_next_order (200, &order));
  /* Without an answer it may be down.  */
  hosts_reply (rig.sched, &order, HOST_REPLY_NONE, rig.now);
  for (uint32_t i = 0; i < 20; i++)
    if (rig_next_order (100, &order))
      {
        ck_assert_str_eq (order.host, "h0");
        hosts_reply (rig.sched, &order, HOST_REPLY_NONE, rig.now);
        repeats++;
      }
  ck_assert_uint_ge (repeats, 2);
}
END_TEST

/* Guards against calling a wave complete before every host has begun.  */
START_TEST (test_wave_is_complete_when_all_have_begun)
{
  static const char *const ids[] = { "w0", "w1" };
  host_order_t order;

  rig_open_sched (1);
  rig_list_hosts (ids, 2, UINT32_MAX);
  rig_set_wave ("h0 h1", 1);
  for (uint32_t i = 0; i < 2; i++)
    {
      ck_assert (!has_news (FLEET_UPDATE_WAVE_COMPLETE));
      ck_assert (rig_next_order (200, &order));
      hosts_reply (rig.sched, &order, HOST_REPLY_OK, rig.now);
      rig_advance_clock (2500);
      rig_list_hosts (ids, 2, UINT32_MAX);
    }
  ck_assert (!rig_next_order (200, &order));
  ck_assert (has_news (FLEET_UPDATE_WAVE_COMPLETE));
}
END_TEST

/* Guards against an upkeep that leaves a lasting step with more tasks away
   than it may miss.  */
START_TEST (test_upkeep_waits_for_lasting_tasks)
{
  static const char *const ids[] = { "w0", "w1" };
  job_step_t step = rig_step (2);
  host_order_t order;
  g_autoptr (GArray) starts = NULL;
  run_status_t row;

  step.long_running = true;
  step.may_miss = 1;
  step.spread_max = 1;
  rig_open_sched (1);
  rig_worker ("w0", 8, false);
  rig_worker ("w1", 8, false);
  rig_submit (1, &step, 1);
  starts = rig_plan (false);
  ck_assert_uint_eq (rig_count_orders (starts, ORDER_START), 2);
  for (uint32_t i = 0; i < 2; i++)
    rig_confirm_start (&g_array_index (starts, order_t, i));
  rig_list_hosts (ids, 2, UINT32_MAX);
  rig_set_wave ("h0 h1", 2);
  /* Neither is known to be at work yet.  */
  ck_assert (!rig_next_order (200, &order));
  for (uint32_t i = 0; i < 2; i++)
    {
      const order_t *start = &g_array_index (starts, order_t, i);

      row = rig_status (start);
      rig_report (start->worker, &row, 1, NULL, 0);
    }
  ck_assert (rig_next_order (200, &order));
  /* One may be away from the order on, so the other stays.  */
  ck_assert (!rig_next_order (200, &order));
  hosts_reply (rig.sched, &order, HOST_REPLY_OK, rig.now);
  ck_assert (!rig_next_order (200, &order));
}
END_TEST

/* wave: hosts with lasting tasks go one after another, so a wave that leaves
   them for its end is late.  */
START_TEST (test_wave_begins_with_lasting_tasks)
{
  static const char *const ids[] = { "w0", "w1" };
  job_step_t step = rig_step (1);
  host_order_t order;
  order_t start;
  run_status_t row;

  step.long_running = true;
  step.may_miss = 1;
  rig_open_sched (1);
  rig_worker ("w0", 8, false);
  rig_worker ("w1", 8, false);
  rig_submit (1, &step, 1);
  start = rig_start_one ();
  rig_confirm_start (&start);
  row = rig_status (&start);
  rig_report (start.worker, &row, 1, NULL, 0);
  rig_list_hosts (ids, 2, UINT32_MAX);
  rig_set_wave ("h0 h1", 1);
  ck_assert (rig_next_order (200, &order));
  ck_assert_str_eq (order.host, strcmp (start.worker, "w0") ? "h1" : "h0");
}
END_TEST

/* wave beside a burst: a host of the wave that is on its way to another pool
   is not down for the wave, which is complete without it.  */
START_TEST (test_moving_host_does_not_hold_up_a_wave)
{
  static const char *const ids[] = { "w0", "w1" };
  job_step_t step = rig_step (200);
  rules_service_t spare
      = { .name = g_intern_string ("spare"), .standby = true };
  host_info_t info = { .host = "h9", .pool = "spare", .worker = "" };
  g_autoptr (GArray) infos = g_array_new (FALSE, TRUE, sizeof info);
  bool moved = false;

  rig_open_sched (1);
  g_array_append_val (rig.rules->services, spare);
  rig_worker ("w0", 8, false);
  rig_list_hosts (ids, 2, UINT32_MAX);
  g_array_append_val (infos, info);
  hosts_set (rig.sched, infos, rig.now.us, rig.now);
  rig_submit (1, &step, 1);
  for (uint32_t i = 0; i < 5; i++)
    {
      GArray *orders;

      rig_advance_clock (200);
      orders = hosts_plan (rig.sched, rig.now);
      moved |= orders->len > 0;
      g_array_set_size (orders, 0);
    }
  ck_assert (moved);
  hosts_set_begun (rig.sched, 1, "h9");
  rig_set_wave ("h9", 1);
  rig_advance_clock (200);
  g_array_set_size (hosts_plan (rig.sched, rig.now), 0);
  ck_assert (has_news (FLEET_UPDATE_WAVE_COMPLETE));
}
END_TEST

TEST_PROGRAM_WITH ("jobs/waves", rig_reset, rig_tear_down,
                   test_wave_keeps_its_bound,
                   test_wave_is_complete_when_all_have_begun,
                   test_upkeep_waits_for_lasting_tasks,
                   test_wave_begins_with_lasting_tasks,
                   test_moving_host_does_not_hold_up_a_wave)

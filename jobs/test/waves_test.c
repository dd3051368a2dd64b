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

static bool
has_news (fleet_news_kind_t kind)
{
  const GArray *news = hosts_news (rig.sched);

  for (uint32_t i = 0; i < news->len; i++)
    if (g_array_index (news, fleet_news_t, i).kind == kind)
      return true;
  return false;
}

/* Guards against an upkeep beside as many as the wave may have down.  */
START_TEST (test_wave_keeps_its_bound)
{
  static const char *const ids[] = { "w0", "w1", "w2" };
  host_order_t order;
  uint32_t repeats = 0;

  rig_open (&rig, 1);
  list_hosts (ids, 3, UINT32_MAX);
  set_wave ("h0 h1 h2", 1);
  ck_assert (next_order (200, &order));
  ck_assert (!next_order (200, &order));
  /* Without an answer it may be down.  */
  hosts_reply (rig.sched, &order, HOST_LOST, rig.now);
  for (uint32_t i = 0; i < 20; i++)
    if (next_order (100, &order))
      {
        ck_assert_str_eq (order.host, "h0");
        hosts_reply (rig.sched, &order, HOST_LOST, rig.now);
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

  rig_open (&rig, 1);
  list_hosts (ids, 2, UINT32_MAX);
  set_wave ("h0 h1", 1);
  for (uint32_t i = 0; i < 2; i++)
    {
      ck_assert (!has_news (NEWS_WAVE_COMPLETE));
      ck_assert (next_order (200, &order));
      hosts_reply (rig.sched, &order, HOST_OK, rig.now);
      rig_pass (&rig, 2500);
      list_hosts (ids, 2, UINT32_MAX);
    }
  ck_assert (!next_order (200, &order));
  ck_assert (has_news (NEWS_WAVE_COMPLETE));
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
  run_row_t row;

  step.lasts = true;
  step.may_miss = 1;
  step.spread_max = 1;
  rig_open (&rig, 1);
  rig_worker (&rig, "w0", 8, false);
  rig_worker (&rig, "w1", 8, false);
  rig_submit (&rig, 1, &step, 1);
  starts = rig_plan (&rig, false);
  ck_assert_uint_eq (rig_count (starts, ORDER_START), 2);
  for (uint32_t i = 0; i < 2; i++)
    rig_started (&rig, &g_array_index (starts, order_t, i));
  list_hosts (ids, 2, UINT32_MAX);
  set_wave ("h0 h1", 2);
  /* Neither is known to be at work yet.  */
  ck_assert (!next_order (200, &order));
  for (uint32_t i = 0; i < 2; i++)
    {
      const order_t *start = &g_array_index (starts, order_t, i);

      row = rig_row (start);
      rig_answer (&rig, start->worker, &row, 1, NULL, 0);
    }
  ck_assert (next_order (200, &order));
  /* One may be away from the order on, so the other stays.  */
  ck_assert (!next_order (200, &order));
  hosts_reply (rig.sched, &order, HOST_OK, rig.now);
  ck_assert (!next_order (200, &order));
}
END_TEST

TEST_PROGRAM_WITH ("jobs/waves", set_up, tear_down, test_wave_keeps_its_bound,
                   test_wave_is_complete_when_all_have_begun,
                   test_upkeep_waits_for_lasting_tasks)

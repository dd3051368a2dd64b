#include "rig.h"
#include "schedint.h"

static uint32_t
count_starts (const GArray *orders, uint32_t job)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < orders->len; i++)
    {
      const order_t *order = &g_array_index (orders, order_t, i);

      count += order->kind == ORDER_START
               && strcmp (order->task.id, rig_id (job)) == 0;
    }
  return count;
}

/* Guards against placing more on a worker than its capacity.  */
START_TEST (test_capacity_is_not_exceeded)
{
  job_step_t cpu = rig_step (9);
  job_step_t mem = rig_step (9);
  g_autoptr (GArray) first = NULL;
  g_autoptr (GArray) second = NULL;

  cpu.need = (amounts_t){ .cpu_milli = 3000, .mem_mib = 1 };
  mem.need = (amounts_t){ .cpu_milli = 1, .mem_mib = 30000 };
  rig_worker ("w1", 8, false);
  rig_worker ("w2", 8, false);
  rig_submit (1, &cpu, 1);
  first = rig_plan (false);
  ck_assert_uint_eq (count_starts (first, 1), 4);
  rig_submit (2, &mem, 1);
  second = rig_plan (false);
  ck_assert_uint_eq (count_starts (second, 2), 4);
}
END_TEST

/* Guards against skipping small tasks because a larger one before them did not
   fit.  */
START_TEST (test_small_task_starts_when_a_large_one_does_not_fit)
{
  job_step_t fill = rig_step (1);
  job_step_t large = rig_step (1);
  job_step_t small = rig_step (1);
  g_autoptr (GArray) first = NULL;
  g_autoptr (GArray) second = NULL;

  fill.need.cpu_milli = 6000;
  large.need.cpu_milli = 4000;
  large.estimate_ms = 100; /* first in the order of starts */
  rig_worker ("w1", 8, false);
  rig_submit (1, &fill, 1);
  first = rig_plan (false);
  ck_assert_uint_eq (count_starts (first, 1), 1);
  rig_submit (2, &large, 1);
  rig_submit (3, &small, 1);
  second = rig_plan (false);
  ck_assert_uint_eq (count_starts (second, 2), 0);
  ck_assert_uint_eq (count_starts (second, 3), 1);
}
END_TEST

/* Guards against a workspace that exceeds its cap when runs that are still
   stopping are not counted.  */
START_TEST (test_cap_covers_all_workers)
{
  job_step_t step = rig_step (9);
  rules_workspace_t *space
      = &g_array_index (rig.rules->workspaces, rules_workspace_t, 0);
  g_autoptr (GArray) first = NULL;
  g_autoptr (GArray) after = NULL;

  space->cap.cpu_milli = 3500;
  rig_worker ("w1", 8, false);
  rig_worker ("w2", 8, false);
  rig_submit (1, &step, 1);
  first = rig_plan (false);
  ck_assert_uint_eq (count_starts (first, 1), 3);
  for (uint32_t i = 0; i < 3; i++)
    rig_confirm_start (&g_array_index (first, order_t, i));
  sched_cancel_job (rig.sched, rig_id (1));
  rig_submit (2, &step, 1);
  after = rig_plan (false);
  ck_assert_uint_eq (count_starts (after, 2), 0);
}
END_TEST

/* Guards against a workspace without its cap at a new owner, which has read
   only rules that lack the workspace (QUOTA).  */
START_TEST (test_cap_outlives_its_workspace)
{
  job_step_t step = rig_step (9);
  g_autoptr (GArray) starts = NULL;

  g_array_index (rig.rules->workspaces, rules_workspace_t, 0).cap.cpu_milli
      = 3500;
  rig_submit (1, &step, 1);
  sched_free (rig.sched);
  g_array_set_size (rig.rules->workspaces, 0);
  rig_open_sched (2);
  rig_worker ("w1", 16, false);
  starts = rig_plan (false);
  ck_assert_uint_eq (count_starts (starts, 1), 3);
}
END_TEST

/* Guards against more tasks of a step on one worker than spread_max.  */
START_TEST (test_spread_max_is_not_exceeded)
{
  job_step_t step = rig_step (5);
  g_autoptr (GArray) orders = NULL;

  step.spread_max = 2;
  rig_worker ("w1", 8, false);
  rig_worker ("w2", 8, false);
  rig_submit (1, &step, 1);
  orders = rig_plan (false);
  ck_assert_uint_eq (count_starts (orders, 1), 4);
}
END_TEST

/* Guards against a task on a worker without the label of its step.  */
START_TEST (test_label_is_required)
{
  job_step_t step = rig_step (1);
  job_step_t kind = rig_step (1);
  g_autoptr (GArray) orders = NULL;

  step.label = g_strdup ("b");
  kind.label = g_strdup ("a");
  rig_worker ("w1", 8, false);
  rig_submit (1, &step, 1);
  rig_submit (2, &kind, 1);
  orders = rig_plan (false);
  ck_assert_uint_eq (count_starts (orders, 1), 0);
  ck_assert_uint_eq (count_starts (orders, 2), 1);
}
END_TEST

/* Guards against starting only a part of a gang, which would occupy workers
   while it waits for the rest.  */
START_TEST (test_gang_starts_completely_or_not)
{
  job_step_t step = rig_step (9);
  g_autoptr (GArray) orders = NULL;
  g_autoptr (GArray) more = NULL;

  step.gang = true;
  rig_worker ("w1", 8, false);
  rig_submit (1, &step, 1);
  orders = rig_plan (false);
  ck_assert_uint_eq (orders->len, 0);
  rig_worker ("w2", 8, false);
  more = rig_plan (false);
  ck_assert_uint_eq (count_starts (more, 1), 9);
}
END_TEST

/* Guards against small jobs of a burst that wait behind wide ones submitted
   with them.  */
START_TEST (test_burst_small_jobs_before_wide_ones)
{
  job_step_t wide = rig_step (40);
  job_step_t small = rig_step (2);
  g_autoptr (GArray) orders = NULL;

  rig_worker ("w1", 8, true);
  rig_submit (1, &wide, 1);
  for (uint32_t i = 2; i < 6; i++)
    rig_submit (i, &small, 1);
  rig_report ("w1", NULL, 0, NULL, 0);
  orders = rig_plan (false);
  for (uint32_t i = 2; i < 6; i++)
    ck_assert_uint_eq (count_starts (orders, i), 2);
}
END_TEST

/* Guards against starvation under sustained overload: a wide job that is about
   to miss its objective goes before small ones with slack.  */
START_TEST (test_overload_wide_jobs_do_not_starve)
{
  job_step_t wide = rig_step (24);
  job_step_t small = rig_step (10);
  g_autoptr (GArray) orders = NULL;

  rig_worker ("w1", 144, true);
  rig_submit (1, &wide, 1);
  rig_advance_clock (850);
  for (uint32_t i = 2; i < 16; i++)
    rig_submit (i, &small, 1);
  rig_report ("w1", NULL, 0, NULL, 0);
  orders = rig_plan (false);
  ck_assert_uint_eq (count_starts (orders, 1), 24);
}
END_TEST

/* Guards against jobs too late to earn anything that delay others under
   overload.  */
START_TEST (test_overload_expired_jobs_come_last)
{
  job_step_t step = rig_step (8);
  g_autoptr (GArray) orders = NULL;

  rig_worker ("w1", 8, true);
  rig_submit (1, &step, 1);
  rig_advance_clock (8000);
  rig_submit (2, &step, 1);
  rig_report ("w1", NULL, 0, NULL, 0);
  orders = rig_plan (false);
  ck_assert_uint_eq (count_starts (orders, 2), 8);
}
END_TEST

/* Guards against long-running tasks, which serve users all the time, that wait
   behind a burst.  */
START_TEST (test_burst_long_running_tasks_first)
{
  job_step_t burst = rig_step (8);
  job_step_t serving = rig_step (3);
  g_autoptr (GArray) orders = NULL;

  serving.long_running = true;
  rig_worker ("w1", 8, true);
  rig_submit (1, &burst, 1);
  rig_submit (2, &serving, 1);
  rig_report ("w1", NULL, 0, NULL, 0);
  orders = rig_plan (false);
  ck_assert_uint_eq (count_starts (orders, 2), 3);
}
END_TEST

/* Guards against a backlog after an outage whose starts, of jobs that are late
   anyway, delay those of newly submitted jobs.  */
START_TEST (test_backlog_after_outage_does_not_delay_new_jobs)
{
  job_step_t old = rig_step (400);
  job_step_t fresh = rig_step (60);
  uint32_t late;
  g_autoptr (GArray) first = NULL;
  g_autoptr (GArray) second = NULL;
  g_autoptr (GArray) third = NULL;

  rig_submit (1, &old, 1);
  rig_advance_clock (60000);
  rig_worker ("w1", 1000, false);
  first = rig_plan (false);
  late = count_starts (first, 1);
  ck_assert_uint_gt (late, 0);
  ck_assert_uint_lt (late, 200);
  rig_submit (2, &fresh, 1);
  second = rig_plan (false);
  ck_assert_uint_eq (count_starts (second, 2), 60);
  ck_assert_uint_eq (count_starts (second, 1), 0);
  for (uint32_t i = 0; i < first->len; i++)
    rig_confirm_start (&g_array_index (first, order_t, i));
  for (uint32_t i = 0; i < second->len; i++)
    rig_confirm_start (&g_array_index (second, order_t, i));
  rig_advance_clock (30);
  third = rig_plan (false);
  ck_assert_uint_gt (count_starts (third, 1), 0);
}
END_TEST

/* Guards against jobs that wait behind those of a workspace that submits many
   times its share (disruption hot_tenant).  */
START_TEST (test_hot_workspace_yields_beyond_its_share)
{
  job_step_t step = rig_step (1);
  rules_workspace_t hot = { .name = g_intern_string ("hot"), .weight = 2 };
  g_autoptr (GArray) starts = NULL;

  g_array_append_val (rig.rules->workspaces, hot);
  sched_set_rules (rig.sched, rig.rules);
  rig.workspace = "hot";
  for (uint32_t i = 0; i < 8; i++)
    rig_submit (i, &step, 1);
  rig.workspace = NULL;
  rig_advance_clock (100);
  rig_submit (9, &step, 1);
  rig_worker ("w1", 6, false);
  starts = rig_plan (false);
  ck_assert_uint_eq (rig_count_orders (starts, ORDER_START), 6);
  /* Four jobs of the hot workspace are within its share for two seconds.  */
  ck_assert_uint_eq (count_starts (starts, 9), 1);
}
END_TEST

/* Guards against spreading long-running tasks over all hosts of a pool, none
   of which could then move to another pool.  */
START_TEST (test_long_running_tasks_of_two_jobs_share_hosts)
{
  job_step_t step = rig_step (2);
  g_autoptr (GArray) first = NULL;
  g_autoptr (GArray) second = NULL;

  step.long_running = true;
  step.spread_max = 1;
  rig_worker ("w1", 8, false);
  rig_worker ("w2", 8, false);
  rig_worker ("w3", 8, false);
  rig_worker ("w4", 8, false);
  rig_submit (1, &step, 1);
  first = rig_plan (false);
  ck_assert_uint_eq (count_starts (first, 1), 2);
  rig_submit (2, &step, 1);
  second = rig_plan (false);
  ck_assert_uint_eq (count_starts (second, 2), 2);
  for (uint32_t i = 0; i < 2; i++)
    {
      const char *worker = g_array_index (second, order_t, i).worker;

      ck_assert (strcmp (worker, g_array_index (first, order_t, 0).worker) == 0
                 || strcmp (worker, g_array_index (first, order_t, 1).worker)
                        == 0);
    }
}
END_TEST

/* Guards against a long-running step that takes a host for each task, none of
   which could then move to another pool, although its limit allows two.  */
START_TEST (test_long_running_tasks_of_a_step_share_workers)
{
  job_step_t step = rig_step (4);
  g_autoptr (GArray) starts = NULL;
  uint32_t shared = 0;

  step.long_running = true;
  step.spread_max = 2;
  rig_worker ("w1", 8, false);
  rig_worker ("w2", 8, false);
  rig_worker ("w3", 8, false);
  rig_worker ("w4", 8, false);
  rig_submit (1, &step, 1);
  starts = rig_plan (false);
  ck_assert_uint_eq (count_starts (starts, 1), 4);
  for (uint32_t i = 0; i < 4; i++)
    for (uint32_t j = 0; j < i; j++)
      shared += strcmp (g_array_index (starts, order_t, i).worker,
                        g_array_index (starts, order_t, j).worker)
                == 0;
  ck_assert_uint_eq (shared, 2);
}
END_TEST

/* Guards against spreading each job over many workers: when a tenth of them is
   lost (disruptions srv_crash, zone_cut), a job on ten workers is almost sure
   to be late.  */
START_TEST (test_lost_workers_hit_few_jobs)
{
  job_step_t step = rig_step (6);
  g_autoptr (GArray) first = NULL;
  g_autoptr (GArray) second = NULL;

  rig_worker ("w1", 8, false);
  rig_worker ("w2", 8, false);
  rig_worker ("w3", 8, false);
  rig_submit (1, &step, 1);
  first = rig_plan (false);
  ck_assert_uint_eq (count_starts (first, 1), 6);
  rig_submit (2, &step, 1);
  second = rig_plan (false);
  ck_assert_uint_eq (count_starts (second, 2), 6);
  for (uint32_t i = 1; i < 6; i++)
    {
      ck_assert_str_eq (g_array_index (first, order_t, i).worker,
                        g_array_index (first, order_t, 0).worker);
      ck_assert_str_eq (g_array_index (second, order_t, i).worker,
                        g_array_index (second, order_t, 0).worker);
    }
  ck_assert_str_ne (g_array_index (first, order_t, 0).worker,
                    g_array_index (second, order_t, 0).worker);
}
END_TEST

/* Worker ID answers a hold that was sent before its runs started.  */
static void
answer_hold (const char *id)
{
  worker_reply_t reply
      = { .kind = REPLY_OK, .clock_ms = rig.now.us / 1000, .has_clock = true };
  worker_report_t report = { 0 };

  rig_hold_reply (id, &reply, &report);
}

/* Load: 2,000 tasks wait while the store is 75 times slower, so that a plan is
   in the log after 600 ms.  Guards against a limit of starts under way that
   counts those that wait for the log, and bounds the starts a second by it. */
START_TEST (test_slow_log_does_not_bound_the_starts)
{
  job_step_t step = rig_step (100);
  uint32_t started = 0;

  step.estimate_ms = 60000; /* none ends, and none is taken for stalled */
  for (uint32_t i = 0; i < 70; i++)
    {
      g_autofree char *id = g_strdup_printf ("w%u", i);

      rig_worker (id, 64, false);
    }
  for (uint32_t i = 0; i < 20; i++)
    rig_submit (i + 1, &step, 1);
  for (uint32_t cycle = 0; cycle < 3; cycle++)
    {
      GArray *orders;

      sched_plan (rig.sched, rig.now);
      rig_advance_clock (600);
      sched_confirm_ownership (rig.sched, rig.now.us);
      rig_commit ();
      orders = sched_plan (rig.sched, rig.now);
      for (uint32_t i = 0; i < orders->len; i++)
        {
          order_t order = g_array_index (orders, order_t, i);

          if (order.kind == ORDER_HOLD)
            answer_hold (order.worker);
          if (order.kind != ORDER_START)
            continue;
          started++;
          rig_confirm_start (&order);
        }
      g_array_set_size (orders, 0);
    }
  ck_assert_uint_eq (started, 2000);
}
END_TEST

/* Submits job 1, a gang that needs half as much again as w1 has.  */
static void
submit_large_gang (void)
{
  job_step_t step = rig_step (12);

  step.gang = true;
  rig_worker ("w1", 8, false);
  rig_submit (1, &step, 1);
}

/* Guards against an owner that plans without a pause while a gang fits in
   part: each plan gave back what it had taken for the gang, which counted as a
   reason for the next one.  */
START_TEST (test_gang_that_does_not_fit_waits)
{
  submit_large_gang ();
  sched_plan (rig.sched, rig.now); /* as the worker and the job are new */
  sched_plan (rig.sched, rig.now);
  ck_assert_int_gt (sched_next_us (rig.sched), rig.now.us);
}
END_TEST

/* Guards against tasks that wait beside free capacity (LOST), as a gang that
   does not fit had taken it for a moment.  */
START_TEST (test_gang_that_does_not_fit_leaves_its_room)
{
  job_step_t step = rig_step (1);
  g_autoptr (GArray) orders = NULL;

  submit_large_gang ();
  step.estimate_ms = 20000; /* after the gang in the order of starts */
  rig_submit (2, &step, 1);
  orders = rig_plan (false);
  ck_assert_uint_eq (rig_count_orders (orders, ORDER_START), 1);
}
END_TEST

/* Load: 600 jobs that wait for one worker.  Guards against a placement with
   each answer, which takes the time that the owner needs for the answers.  */
START_TEST (test_placements_of_a_backlog_keep_a_pause)
{
  job_step_t step = rig_step (1);
  int64_t pause_us = (600 - PLACE_STEPS_FREE) * PLACE_STEP_US;

  rig_worker ("w1", 1, true);
  for (uint32_t i = 1; i <= 600; i++)
    rig_submit (i, &step, 1);
  g_array_unref (rig_plan (false));
  rig.sched->place_needed = true;
  ck_assert_int_eq (rig.sched->place_pause_us, rig.now.us + pause_us);
  ck_assert_int_gt (sched_next_us (rig.sched), rig.now.us);
  sched_plan (rig.sched, rig.now);
  ck_assert (rig.sched->place_needed);
  rig_advance_clock (pause_us / 1000 + 1);
  sched_plan (rig.sched, rig.now);
  ck_assert (!rig.sched->place_needed);
}
END_TEST

TEST_PROGRAM_WITH (
    "jobs/place", rig_set_up, rig_tear_down, test_capacity_is_not_exceeded,
    test_small_task_starts_when_a_large_one_does_not_fit,
    test_cap_covers_all_workers, test_cap_outlives_its_workspace,
    test_spread_max_is_not_exceeded, test_label_is_required,
    test_gang_starts_completely_or_not, test_burst_small_jobs_before_wide_ones,
    test_overload_wide_jobs_do_not_starve,
    test_overload_expired_jobs_come_last, test_burst_long_running_tasks_first,
    test_backlog_after_outage_does_not_delay_new_jobs,
    test_hot_workspace_yields_beyond_its_share,
    test_long_running_tasks_of_two_jobs_share_hosts,
    test_long_running_tasks_of_a_step_share_workers,
    test_lost_workers_hit_few_jobs, test_slow_log_does_not_bound_the_starts,
    test_gang_that_does_not_fit_waits,
    test_gang_that_does_not_fit_leaves_its_room,
    test_placements_of_a_backlog_keep_a_pause)

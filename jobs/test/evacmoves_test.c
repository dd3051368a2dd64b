#include "evacrig.h"

/* Starts a long-running step on WORKER, while the other data centre is
   withdrawn, and reports it as serving.  */
static run_status_t
start_long_running (const job_step_t *step, const char *worker)
{
  const char *other = strcmp (worker, "near") == 0 ? "far-dc" : "near-dc";
  run_status_t row;
  order_t start;

  evacrig_evacuate (other);
  rig_submit (1, step, 1);
  start = rig_start_one ();
  ck_assert_str_eq (start.worker, worker);
  rig_confirm_start (&start);
  row = rig_status (&start);
  rig_advance_clock (10);
  rig_report (worker, &row, 1, NULL, 0);
  evacrig_take_back (other);
  return row;
}

static job_step_t
long_running_step (void)
{
  job_step_t step = rig_step (1);

  step.long_running = true;
  step.max_unavailable = 1;
  return step;
}

/* Guards against a long-running task that stays although another worker has
   room, and that is not started there.  */
START_TEST (test_long_running_task_moves_out)
{
  job_step_t step = long_running_step ();
  run_status_t row = start_long_running (&step, "far");
  g_autoptr (GArray) orders = NULL;
  run_end_t end = { .sequence = 1,
                    .task = row.task,
                    .attempt = row.attempt,
                    .kind = RUN_STOPPED,
                    .checkpoint = "" };

  evacrig_evacuate ("far-dc");
  evacrig_advance (100, NULL, 0, &row, 1);
  orders = rig_plan (false);
  ck_assert_uint_eq (rig_count_orders (orders, ORDER_STOP), 1);
  rig_advance_clock (10);
  rig_report ("far", NULL, 0, &end, 1);
  evacrig_expect_starts (1, 0);
}
END_TEST

/* Guards against a long-running task that is stopped while no worker elsewhere
   has room for it.  */
START_TEST (test_long_running_task_waits_for_room)
{
  job_step_t step = long_running_step ();
  job_step_t filling = rig_step (4);
  run_status_t row = start_long_running (&step, "far");
  run_status_t near_rows[4];

  evacrig_evacuate ("far-dc");
  rig_submit (2, &filling, 1);
  evacrig_expect_starts (4, 0);
  for (uint32_t i = 0; i < 4; i++)
    near_rows[i] = rig_row (2, i, 1);
  for (uint32_t i = 0; i < 10; i++)
    {
      evacrig_advance (100, near_rows, 4, &row, 1);
      ck_assert_uint_eq (rig_count_planned (ORDER_STOP), 0);
    }
}
END_TEST

/* Guards against long-running tasks of one step that are stopped together
   although the step allows one at a time.  */
START_TEST (test_moves_keep_max_unavailable)
{
  job_step_t step = long_running_step ();
  g_autoptr (GArray) starts = NULL;
  g_autoptr (GArray) orders = NULL;
  run_status_t rows[3];

  step.count = 3;
  evacrig_evacuate ("near-dc");
  rig_submit (1, &step, 1);
  starts = rig_plan (false);
  ck_assert_uint_eq (evacrig_count_starts (starts, "far"), 3);
  for (uint32_t i = 0; i < 3; i++)
    {
      rig_confirm_start (&g_array_index (starts, order_t, i));
      rows[i] = rig_status (&g_array_index (starts, order_t, i));
    }
  evacrig_advance (10, NULL, 0, rows, 3);
  evacrig_take_back ("near-dc");
  evacrig_evacuate ("far-dc");
  evacrig_advance (100, NULL, 0, rows, 3);
  orders = rig_plan (false);
  ck_assert_uint_eq (rig_count_orders (orders, ORDER_STOP), 1);
  for (uint32_t i = 0; i < 5; i++)
    {
      evacrig_advance (100, NULL, 0, rows, 3);
      /* Repeats of the first stop aside.  */
      ck_assert_uint_le (rig_count_planned (ORDER_STOP), 1);
    }
}
END_TEST

/* Guards against more tasks being stopped than there is room for: each of two
   steps alone would fit.  */
START_TEST (test_room_is_counted_once)
{
  job_step_t steps[2] = { long_running_step (), long_running_step () };
  g_autoptr (GArray) starts = NULL;
  g_autoptr (GArray) orders = NULL;
  run_status_t rows[2];

  evacrig_evacuate ("near-dc");
  for (uint32_t i = 0; i < 2; i++)
    {
      steps[i].need.cpu_milli = 2000;
      rig_submit (i + 1, &steps[i], 1);
    }
  starts = rig_plan (false);
  ck_assert_uint_eq (evacrig_count_starts (starts, "far"), 2);
  for (uint32_t i = 0; i < 2; i++)
    {
      rig_confirm_start (&g_array_index (starts, order_t, i));
      rows[i] = rig_status (&g_array_index (starts, order_t, i));
    }
  evacrig_advance (10, NULL, 0, rows, 2);
  evacrig_take_back ("near-dc");
  evacrig_evacuate ("far-dc");
  /* Three cores: room for one of the two.  */
  rig.data_centre = "near-dc";
  rig_worker ("near", 3, false);
  evacrig_advance (100, NULL, 0, rows, 2);
  orders = rig_plan (false);
  ck_assert_uint_eq (rig_count_orders (orders, ORDER_STOP), 1);
}
END_TEST

/* Guards against two tasks of a step being stopped because of the room on one
   worker, which may run only one of them.  */
START_TEST (test_room_keeps_the_limit_of_tasks_per_worker)
{
  job_step_t step = long_running_step ();
  g_autoptr (GArray) starts = NULL;
  run_status_t rows[2];

  step.count = 2;
  step.max_unavailable = 2;
  step.spread_max = 1;
  rig.data_centre = "far-dc";
  rig_worker ("far2", 4, false);
  evacrig_evacuate ("near-dc");
  rig_submit (1, &step, 1);
  starts = rig_plan (false);
  ck_assert_uint_eq (starts->len, 2);
  for (uint32_t i = 0; i < 2; i++)
    {
      const order_t *start = &g_array_index (starts, order_t, i);

      rig_confirm_start (start);
      rows[i] = rig_status (start);
      rig_advance_clock (10);
      rig_report (start->worker, &rows[i], 1, NULL, 0);
    }
  evacrig_take_back ("near-dc");
  evacrig_evacuate ("far-dc");
  rig_advance_clock (100);
  ck_assert_uint_eq (rig_count_planned (ORDER_STOP), 1);
}
END_TEST

/* Lists a host in each data centre; the one in far-dc is in the standby pool
   and runs WORKER.  */
static void
list_hosts (const char *worker)
{
  g_autoptr (GArray) infos = g_array_new (FALSE, TRUE, sizeof (host_info_t));
  host_info_t spare = { .host = "h-far",
                        .pool = "spare",
                        .worker = worker,
                        .data_centre = "far-dc",
                        .state = HOST_STATUS_UP };
  host_info_t own = { .host = "h-near",
                      .pool = RIG_SERVICE,
                      .worker = "near",
                      .data_centre = "near-dc",
                      .state = HOST_STATUS_UP };

  g_array_append_val (infos, spare);
  g_array_append_val (infos, own);
  hosts_set (rig.sched, infos, rig.now.us, rig.now);
}

/* Whether a host is moved to the pool under load within a second.  */
static bool
gets_host (void)
{
  host_order_t order;
  bool moved = false;

  for (uint32_t i = 0; i < 5; i++)
    moved |= rig_next_order (200, &order);
  return moved;
}

/* Guards against a host of a withdrawn data centre that is moved to a pool, or
   does not move after it is taken back.  */
START_TEST (test_hosts_there_are_no_donors)
{
  rules_service_t own = { .name = g_intern_string (RIG_SERVICE) };
  rules_service_t spare
      = { .name = g_intern_string ("spare"), .standby = true };
  job_step_t step = rig_step (40);

  g_array_append_val (rig.rules->services, own);
  g_array_append_val (rig.rules->services, spare);
  evacrig_evacuate ("far-dc");
  list_hosts ("");
  rig_submit (1, &step, 1);
  evacrig_expect_starts (4, 0);
  ck_assert (!gets_host ());
  evacrig_take_back ("far-dc");
  ck_assert (gets_host ());
}
END_TEST

/* Whether a host that is being drained for a move is moved when its runs have
   ended, after its data centre was withdrawn if EVACUATED.  */
static bool
moves_after_drain (bool evacuated)
{
  rules_service_t own = { .name = g_intern_string (RIG_SERVICE) };
  rules_service_t spare
      = { .name = g_intern_string ("spare"), .standby = true };
  job_step_t step = rig_step (40);
  g_autoptr (GArray) starts = NULL;
  run_status_t rows[4];
  run_end_t ends[4];
  uint32_t count = 0;
  host_order_t order;

  g_array_append_val (rig.rules->services, own);
  g_array_append_val (rig.rules->services, spare);
  list_hosts ("far");
  rig_submit (1, &step, 1);
  starts = rig_plan (false);
  for (uint32_t i = 0; i < starts->len; i++)
    {
      const order_t *start = &g_array_index (starts, order_t, i);

      rig_confirm_start (start);
      if (strcmp (start->worker, "far") != 0)
        continue;
      rows[count] = rig_status (start);
      ends[count] = rig_end (start, count + 1, RUN_DONE);
      count++;
    }
  ck_assert_uint_eq (count, 4);
  rig_report ("far", rows, count, NULL, 0);
  for (uint32_t i = 0; i < 3; i++)
    ck_assert (!rig_next_order (200, &order));
  if (evacuated)
    evacrig_evacuate ("far-dc");
  rig_report ("far", NULL, 0, ends, count);
  rig_commit ();
  return gets_host ();
}

/* Guards against a move that goes on to its order after its data centre was
   withdrawn.  */
START_TEST (test_move_that_is_not_ordered_is_cancelled)
{
  ck_assert (moves_after_drain (false));
  evacrig_tear_down ();
  evacrig_set_up ();
  ck_assert (!moves_after_drain (true));
}
END_TEST

TEST_PROGRAM_WITH ("jobs/evacmoves", evacrig_set_up, evacrig_tear_down,
                   test_long_running_task_moves_out,
                   test_long_running_task_waits_for_room,
                   test_moves_keep_max_unavailable, test_room_is_counted_once,
                   test_room_keeps_the_limit_of_tasks_per_worker,
                   test_hosts_there_are_no_donors,
                   test_move_that_is_not_ordered_is_cancelled)

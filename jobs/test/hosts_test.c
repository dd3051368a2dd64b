#include "rig.h"
#include "schedint.h"

/* Guards against tasks that run twice: a late answer to a repeated order must
   not end the runs of the worker that has started on the host since.  */
START_TEST (test_late_answer_ends_no_run_of_the_next_worker)
{
  static const char *const before[] = { "w0" };
  static const char *const after[] = { "w1" };
  job_step_t step = rig_step (1);
  host_order_t order;
  order_t start;
  run_status_t row;
  g_autoptr (GArray) starts = NULL;
  g_autoptr (GArray) later_orders = NULL;

  rig_open_sched (1);
  rig_worker ("w0", 8, false);
  rig_list_hosts (before, 1, UINT32_MAX);
  rig_set_wave ("h0", 1);
  ck_assert (rig_next_order (200, &order));
  hosts_reply (rig.sched, &order, HOST_REPLY_NONE, rig.now);
  sched_unlist_worker (rig.sched, "w0", rig.now);
  rig_worker ("w1", 8, false);
  rig_list_hosts (after, 1, 0);
  rig_submit (1, &step, 1);
  starts = rig_plan (false);
  ck_assert_uint_eq (rig_count_orders (starts, ORDER_START), 1);
  start = g_array_index (starts, order_t, 0);
  rig_confirm_start (&start);
  ck_assert (rig_next_order (500, &order));
  hosts_reply (rig.sched, &order, HOST_REPLY_OK, rig.now);
  row = rig_status (&start);
  rig_report ("w1", &row, 1, NULL, 0);
  later_orders = rig_plan (false);
  ck_assert_uint_eq (later_orders->len, 0);
}
END_TEST

/* Guards against taking the runs on a host for ended because an order was
   accepted: the order may have been carried out long before.  */
START_TEST (test_accepted_order_ends_no_run)
{
  const char *ids[] = { "w0" };
  job_step_t step = rig_step (1);
  host_order_t order;
  run_status_t row;
  g_autoptr (GArray) starts = NULL;
  g_autoptr (GArray) later_orders = NULL;

  rig_open_sched (1);
  rig_worker ("w0", 8, false);
  rig_worker ("w9", 8, false);
  step.long_running = true;
  rig_submit (1, &step, 1);
  starts = rig_plan (false);
  ck_assert_uint_eq (rig_count_orders (starts, ORDER_START), 1);
  rig_confirm_start (&g_array_index (starts, order_t, 0));
  ids[0] = g_array_index (starts, order_t, 0).worker;
  rig_list_hosts (ids, 1, UINT32_MAX);
  rig_set_wave ("h0", 1);
  ck_assert (rig_next_order (200, &order));
  hosts_reply (rig.sched, &order, HOST_REPLY_OK, rig.now);
  rig_advance_clock (100);
  rig_list_hosts (ids, 1, UINT32_MAX);
  row = rig_status (&g_array_index (starts, order_t, 0));
  rig_report (ids[0], &row, 1, NULL, 0);
  later_orders = rig_plan (false);
  ck_assert_uint_eq (later_orders->len, 0);
}
END_TEST

/* Guards against a worker that gets no more tasks because the host that it
   registered on before is being drained.  */
START_TEST (test_worker_leaves_the_cordon_of_its_former_host)
{
  static const char *const ids[] = { "w0" };
  job_step_t step = rig_step (1);
  host_order_t order;
  order_t start;

  rig_open_sched (1);
  rig.host = "h0";
  rig_worker ("w0", 8, false);
  rig_list_hosts (ids, 1, UINT32_MAX);
  rig_submit (1, &step, 1);
  start = rig_start_one ();
  rig_confirm_start (&start);
  rig_set_wave ("h0", 1);
  ck_assert (!rig_next_order (200, &order)); /* its task goes on */
  rig_submit (2, &step, 1);
  g_array_unref (rig_plan (false));
  rig.host = "h1";
  rig_worker ("w0", 8, false);
  start = rig_start_one ();
  ck_assert_str_eq (start.task.id, rig_id (2));
}
END_TEST

/* A task has ended on w0, the worker of the only host, and the end isn't in
   the log.  */
static void
end_task_unrecorded (void)
{
  static const char *const ids[] = { "w0" };
  job_step_t step = rig_step (1);
  g_autoptr (GArray) starts = NULL;
  run_end_t end;

  rig_open_sched (1);
  rig_worker ("w0", 8, false);
  rig_list_hosts (ids, 1, UINT32_MAX);
  rig_submit (1, &step, 1);
  starts = rig_plan (false);
  ck_assert_uint_eq (rig_count_orders (starts, ORDER_START), 1);
  rig_confirm_start (&g_array_index (starts, order_t, 0));
  end = rig_end (&g_array_index (starts, order_t, 0), 1, RUN_DONE);
  rig_report ("w0", NULL, 0, &end, 1);
}

/* Guards against a host that goes down with ends that no record holds: the
   next owner expects the runs there, waits for their leases, and runs tasks
   again that were done.  */
START_TEST (test_host_is_moved_only_when_its_ends_are_recorded)
{
  host_order_t order;
  host_t *host;

  end_task_unrecorded ();
  host = g_hash_table_lookup (rig.sched->hosts, g_intern_string ("h0"));
  host_cordon (rig.sched, host, rig.now.us);
  host->move_to = g_intern_string ("other");
  ck_assert (!rig_next_order (200, &order));
  rig_commit ();
  ck_assert (rig_next_order (200, &order));
  ck_assert_int_eq (order.kind, HOST_ORDER_MOVE);
}
END_TEST

/* The same for a host that is taken down for maintenance.  */
START_TEST (test_host_is_maintained_only_when_its_ends_are_recorded)
{
  host_order_t order;

  end_task_unrecorded ();
  rig_set_wave ("h0", 1);
  ck_assert (!rig_next_order (200, &order));
  rig_commit ();
  ck_assert (rig_next_order (200, &order));
  ck_assert_int_eq (order.kind, HOST_ORDER_MAINTENANCE);
}
END_TEST

TEST_PROGRAM_WITH ("jobs/hosts", rig_reset, rig_tear_down,
                   test_late_answer_ends_no_run_of_the_next_worker,
                   test_accepted_order_ends_no_run,
                   test_worker_leaves_the_cordon_of_its_former_host,
                   test_host_is_moved_only_when_its_ends_are_recorded,
                   test_host_is_maintained_only_when_its_ends_are_recorded)

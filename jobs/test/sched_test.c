#include "rig.h"

static void
set_up (void)
{
  rig_set_up ();
  rig_worker ("w1", 32, false);
}

/* Guards against sending a planned start whose job was cancelled before the
   record was durable.  */
START_TEST (test_start_of_cancelled_job_is_not_sent)
{
  job_step_t step = rig_step (1);
  GArray *orders;

  rig_submit (1, &step, 1);
  orders = sched_plan (rig.sched, rig.now);
  g_array_set_size (orders, 0);
  sched_cancel_job (rig.sched, rig_id (1));
  rig_commit ();
  orders = sched_plan (rig.sched, rig.now);
  ck_assert_uint_eq (rig_count_orders (orders, ORDER_START), 0);
  ck_assert_uint_eq (rig_count_orders (orders, ORDER_STOP), 0);
  g_array_set_size (orders, 0);
}
END_TEST

/* Guards against tasks that stay with the old service when the rules move
   their queue to another one.  */
START_TEST (test_waiting_tasks_follow_their_queue)
{
  job_step_t step = rig_step (1);
  rules_t *rules = rules_new (2);
  rules_queue_t queue = g_array_index (rig.rules->queues, rules_queue_t, 0);
  g_autoptr (GArray) orders = NULL;

  queue.settings.service = g_intern_string ("elsewhere");
  g_array_append_val (rules->queues, queue);
  rig_submit (1, &step, 1);
  sched_set_rules (rig.sched, rules);
  rules_free (rig.rules);
  rig.rules = rules;
  orders = rig_plan (false);
  ck_assert_uint_eq (rig_count_orders (orders, ORDER_START), 0);
}
END_TEST

#define LARGE_JOB_TASKS 12000
#define STORE_RECORD_BYTES (256 * 1024)

/* Guards against a progress record that is too large for the store, which
   refuses it again and again: nothing behind it is appended, and accepted jobs
   never start (LOST).  No start may be sent before the last part is durable.
 */
START_TEST (test_starts_of_a_large_job_are_recorded_in_parts)
{
  job_step_t step = rig_step (LARGE_JOB_TASKS);
  uint32_t parts = 0;
  uint32_t placed = 0;
  job_rec_t *rec;
  GArray *orders;

  step.long_running = true;
  step.need.mem_mib = 0;
  rig_worker ("w2", LARGE_JOB_TASKS, false);
  rig_submit (1, &step, 1);
  for (;;)
    {
      GBytes *bytes;

      orders = sched_plan (rig.sched, rig.now);
      if (rig_count_orders (orders, ORDER_START) > 0)
        break;
      g_array_set_size (orders, 0);
      rec = sched_progress (rig.sched);
      ck_assert_ptr_nonnull (rec);
      bytes = job_rec_pack (rec);
      ck_assert_uint_lt (g_bytes_get_size (bytes), STORE_RECORD_BYTES);
      g_bytes_unref (bytes);
      parts++;
      placed += rec->u.progress.placed->len;
      sched_set_durable (rig.sched, rec->u.progress.batch);
      job_rec_clear (rec);
      g_free (rec);
    }
  ck_assert_uint_gt (parts, 1);
  ck_assert_uint_eq (placed, LARGE_JOB_TASKS);
  g_array_set_size (orders, 0);
}
END_TEST

TEST_PROGRAM_WITH ("jobs/sched", set_up, rig_tear_down,
                   test_start_of_cancelled_job_is_not_sent,
                   test_waiting_tasks_follow_their_queue,
                   test_starts_of_a_large_job_are_recorded_in_parts)

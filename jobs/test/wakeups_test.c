#include "../schedint.h"
#include "rig.h"

/* Workers of the target size.  */
#define WORKERS 1900

static void
set_up (void)
{
  rig_set_up ();
  for (uint32_t i = 0; i < WORKERS; i++)
    {
      g_autofree char *id = g_strdup_printf ("w%u", i);

      rig_worker (id, 16, false);
    }
}

/* The number of workers that the next plan looks after.  */
static uint32_t
count_due (void)
{
  g_autoptr (GPtrArray) due = g_ptr_array_new ();

  wakeups_take (rig.sched, due, rig.now.us);
  for (uint32_t i = 0; i < due->len; i++)
    {
      worker_t *worker = g_ptr_array_index (due, i);

      worker->taken = false;
      worker_wake_at (rig.sched, worker, rig.now.us);
    }
  return due->len;
}

/* Plans until nothing is due.  */
static void
settle (void)
{
  for (uint32_t i = 0; i < 5; i++)
    g_array_unref (rig_plan (true));
}

/* Load: 1900 idle workers, of which one replies.  Guards against plans whose
   work grows with the fleet instead of with what happens.  */
START_TEST (test_reply_wakes_one_worker)
{
  settle ();
  ck_assert_uint_eq (count_due (), 0);
  rig_report ("w7", NULL, 0, NULL, 0);
  ck_assert_uint_eq (count_due (), 1);
}
END_TEST

/* Guards against a batch that wakes workers without a part in it.  */
START_TEST (test_durable_batch_wakes_its_workers)
{
  job_step_t step = rig_step (2);
  g_autoptr (GArray) orders = NULL;

  settle ();
  rig_submit (1, &step, 1);
  sched_plan (rig.sched, rig.now);
  rig_commit ();
  ck_assert_uint_ge (count_due (), 1);
  ck_assert_uint_le (count_due (), 2);
  orders = rig_plan (false);
  ck_assert_uint_eq (rig_count_orders (orders, ORDER_START), 2);
}
END_TEST

/* Guards against a worker that is never looked after again.  */
START_TEST (test_all_workers_are_swept)
{
  settle ();
  rig_advance_clock (250);
  ck_assert_uint_eq (count_due (), WORKERS);
}
END_TEST

TEST_PROGRAM_WITH ("jobs/wakeups", set_up, rig_tear_down,
                   test_reply_wakes_one_worker,
                   test_durable_batch_wakes_its_workers,
                   test_all_workers_are_swept)

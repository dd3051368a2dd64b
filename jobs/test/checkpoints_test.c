#include "rig.h"

#define MEMBERS 4

/* A gang of MEMBERS whose tasks save their work, one on each worker.  */
static job_step_t
gang_step (void)
{
  job_step_t step = rig_step (MEMBERS);

  step.gang = true;
  step.checkpoints = true;
  step.spread_max = 1;
  return step;
}

static void
open_owner (uint64_t epoch, uint32_t workers)
{
  rig_open_sched (epoch);
  for (uint32_t i = 0; i < workers; i++)
    {
      g_autofree char *id = g_strdup_printf ("w%u", i);

      rig_worker (id, RIG_CORES, false);
    }
}

/* The starts of a gang that are sent now.  */
static GArray *
start_gang (void)
{
  GArray *starts = rig_plan (false);

  ck_assert_uint_eq (starts->len, MEMBERS);
  ck_assert_uint_eq (rig_count_orders (starts, ORDER_START), MEMBERS);
  return starts;
}

static const order_t *
member (const GArray *starts, uint32_t i)
{
  return &g_array_index (starts, order_t, i);
}

/* The worker of START answers a hold: the run has saved VALUE.  */
static void
report_run (const order_t *start, const char *value)
{
  run_status_t row = rig_status (start);

  row.checkpoint = value;
  row.percent = 10;
  rig_report (start->worker, &row, 1, NULL, 0);
}

/* The same: the run has ended as KIND.  */
static void
report_end (const order_t *start, run_end_kind_t kind, const char *value)
{
  run_end_t end = rig_end (start, 1, kind);

  end.checkpoint = value;
  rig_report (start->worker, NULL, 0, &end, 1);
}

/* WORKERS workers but the one of LOST, which may be NULL, answer holds with
   nothing in their lists.  */
static void
report_nothing (uint32_t workers, const order_t *lost)
{
  for (uint32_t i = 0; i < workers; i++)
    {
      g_autofree char *id = g_strdup_printf ("w%u", i);

      if (!lost || strcmp (id, lost->worker) != 0)
        rig_report (id, NULL, 0, NULL, 0);
    }
}

static void
expect_value (const GArray *starts, const char *value)
{
  for (uint32_t i = 0; i < starts->len; i++)
    ck_assert_str_eq (member (starts, i)->checkpoint, value);
}

/* Job 1, a gang, starts under owner 1; SPARE workers get no member.  */
static GArray *
start_first (uint32_t spare)
{
  job_step_t step = gang_step ();

  open_owner (1, MEMBERS + spare);
  rig_submit (1, &step, 1);
  return start_gang ();
}

/* The members of STARTS work, end as broken with VALUE, and start again with
   it.  */
static GArray *
start_next (const GArray *starts, const char *value)
{
  GArray *next;

  for (uint32_t i = 0; i < MEMBERS; i++)
    {
      rig_confirm_start (member (starts, i));
      report_end (member (starts, i), RUN_BROKEN, value);
    }
  next = start_gang ();
  expect_value (next, value);
  return next;
}

/* The starts of a gang once it is certain that none of its runs goes on.  LOST
   is one on a worker that doesn't answer any more, or NULL.  */
static GArray *
start_again (uint32_t workers, const order_t *lost)
{
  for (uint32_t i = 0; i < 2 * RIG_HOLD_MAX_MS / 500; i++)
    {
      GArray *orders;

      rig_advance_clock (500);
      report_nothing (workers, lost);
      orders = rig_plan (false);
      if (rig_count_orders (orders, ORDER_START) > 0)
        {
          ck_assert_uint_eq (orders->len, MEMBERS);
          return orders;
        }
      g_array_free (orders, TRUE);
    }
  ck_abort_msg ("the gang is not started again");
  return NULL;
}

/* Guards against members of a gang's next run that carry different checkpoints
   after a worker crashed, whose last report is older than the ends of the
   others: such a run never works (review/6).  */
START_TEST (test_members_carry_one_value_after_a_crash)
{
  g_autoptr (GArray) starts = start_first (1);
  g_autoptr (GArray) again = NULL;

  for (uint32_t i = 0; i < MEMBERS; i++)
    {
      rig_confirm_start (member (starts, i));
      report_run (member (starts, i), "500");
    }
  sched_unlist_worker (rig.sched, member (starts, 0)->worker, rig.now);
  for (uint32_t i = 1; i < MEMBERS; i++)
    report_end (member (starts, i), RUN_BROKEN, "1000");
  again = start_again (MEMBERS + 1, member (starts, 0));
  expect_value (again, "1000");
}
END_TEST

/* Guards against a repeated start that carries another value than the starts
   of the other members, as a late end of the attempt before is read between
   them.  */
START_TEST (test_repeated_start_carries_the_value_of_its_attempt)
{
  g_autoptr (GArray) starts = start_first (0);
  g_autoptr (GArray) again = start_next (starts, "500");
  g_autoptr (GArray) repeats = NULL;

  rig_reply (member (again, 0), REPLY_NO_ANSWER);
  for (uint32_t i = 1; i < MEMBERS; i++)
    {
      rig_confirm_start (member (again, i));
      report_run (member (again, i), "1000");
    }
  rig_advance_clock (150);
  repeats = rig_plan (false);
  ck_assert_uint_eq (repeats->len, 1);
  expect_value (repeats, "500");
}
END_TEST

/* Guards against a gang that continues from the value of an earlier attempt,
   of which a worker that was silent reports late.  */
START_TEST (test_value_of_an_earlier_attempt_is_not_newer)
{
  g_autoptr (GArray) starts = start_first (0);
  g_autoptr (GArray) again = start_next (starts, "500");
  g_autoptr (GArray) third = NULL;
  run_end_t late[2];

  for (uint32_t i = 0; i < MEMBERS; i++)
    rig_confirm_start (member (again, i));
  for (uint32_t i = 1; i < MEMBERS; i++)
    {
      run_end_t end = rig_end (member (again, i), 2, RUN_BROKEN);

      end.checkpoint = "1000";
      rig_report (member (again, i)->worker, NULL, 0, &end, 1);
    }
  late[0] = rig_end (member (starts, 0), 2, RUN_BROKEN);
  late[0].checkpoint = "500";
  late[1] = rig_end (member (again, 0), 3, RUN_LAPSED);
  rig_report (member (again, 0)->worker, NULL, 0, late, 2);
  third = start_gang ();
  expect_value (third, "1000");
}
END_TEST

/* Guards against members with different values after an owner was lost between
   two starts of a gang: the later owner starts none of that attempt, and the
   next attempt carries one value.  */
START_TEST (test_take_over_between_two_starts)
{
  g_autoptr (GArray) starts = start_first (0);
  g_autoptr (GArray) stops = NULL;
  g_autoptr (GArray) again = NULL;

  open_owner (2, MEMBERS);
  rig_advance_clock (100);
  for (uint32_t i = 0; i < 2; i++)
    report_run (member (starts, i), i == 0 ? "500" : "1000");
  for (uint32_t i = 2; i < MEMBERS; i++)
    rig_report (member (starts, i)->worker, NULL, 0, NULL, 0);
  stops = rig_plan (false);
  ck_assert_uint_eq (rig_count_orders (stops, ORDER_START), 0);
  ck_assert_uint_eq (rig_count_orders (stops, ORDER_STOP), MEMBERS);
  for (uint32_t i = 0; i < MEMBERS; i++)
    report_end (member (starts, i), RUN_STOPPED, i < 2 ? "1000" : "");
  again = start_again (MEMBERS, NULL);
  expect_value (again, "1000");
  ck_assert_uint_gt (member (again, 0)->attempt, member (starts, 0)->attempt);
}
END_TEST

/* The starts of the next owner, to which the workers report nothing.  It stops
   the attempt before, whose starts may be carried out late.  */
static GArray *
start_under_next_owner (void)
{
  g_autoptr (GArray) stops = NULL;

  open_owner (2, MEMBERS);
  rig_advance_clock (100);
  report_nothing (MEMBERS, NULL);
  stops = rig_plan (false);
  ck_assert_uint_eq (rig_count_orders (stops, ORDER_STOP), MEMBERS);
  for (uint32_t i = 0; i < MEMBERS; i++)
    rig_reply (member (stops, i), REPLY_OK);
  return start_again (MEMBERS, NULL);
}

/* Guards against a gang that loses its work with the owner: the workers have
   dropped the ends that were acknowledged, so only the record has the value.
 */
START_TEST (test_value_outlives_the_owner)
{
  g_autoptr (GArray) starts = start_first (0);
  g_autoptr (GArray) again = start_next (starts, "500");
  g_autoptr (GArray) inherited = start_under_next_owner ();

  expect_value (inherited, "500");
}
END_TEST

/* Guards against a value that is not in the snapshot of the records.  */
START_TEST (test_value_is_in_the_snapshot)
{
  g_autoptr (GArray) starts = start_first (0);
  g_autoptr (GArray) again = start_next (starts, "500");
  g_autoptr (GArray) inherited = NULL;

  rig_load_snapshot ();
  inherited = start_under_next_owner ();
  expect_value (inherited, "500");
}
END_TEST

/* Guards against a record that the store or a reader refuses for the length of
   a value.  */
START_TEST (test_long_value_is_not_recorded)
{
  g_autofree char *value = g_strnfill (GANG_VALUE_BYTES_MAX + 1, 'x');
  g_autoptr (GArray) starts = start_first (0);
  g_autoptr (GArray) again = start_next (starts, value);

  ck_assert_uint_eq (again->len, MEMBERS);
  ck_assert_ptr_null (jobtab_find (rig.tab, rig_id (1))->values);
}
END_TEST

/* Guards against a task without a gang that begins anew, or from the value of
   another task of its step.  */
START_TEST (test_other_tasks_keep_their_own_values)
{
  job_step_t step = rig_step (2);
  g_autoptr (GArray) starts = NULL;
  g_autoptr (GArray) again = NULL;

  step.checkpoints = true;
  step.spread_max = 1;
  open_owner (1, 2);
  rig_submit (1, &step, 1);
  starts = rig_plan (false);
  ck_assert_uint_eq (starts->len, 2);
  for (uint32_t i = 0; i < 2; i++)
    {
      g_autofree char *value
          = g_strdup_printf ("value-%u", member (starts, i)->task.index);

      rig_confirm_start (member (starts, i));
      report_end (member (starts, i), RUN_STOPPED, value);
    }
  again = rig_plan (false);
  ck_assert_uint_eq (again->len, 2);
  for (uint32_t i = 0; i < 2; i++)
    {
      g_autofree char *value
          = g_strdup_printf ("value-%u", member (again, i)->task.index);

      ck_assert_str_eq (member (again, i)->checkpoint, value);
    }
}
END_TEST

TEST_PROGRAM_WITH ("jobs/checkpoints", rig_reset, rig_tear_down,
                   test_members_carry_one_value_after_a_crash,
                   test_repeated_start_carries_the_value_of_its_attempt,
                   test_value_of_an_earlier_attempt_is_not_newer,
                   test_take_over_between_two_starts,
                   test_value_outlives_the_owner,
                   test_value_is_in_the_snapshot,
                   test_long_value_is_not_recorded,
                   test_other_tasks_keep_their_own_values)

/* Guards against urgent work that waits for lent capacity, and against harder
   measures than it needs.  */

#include "farm.h"

static uint32_t
count_steps (const farm_t *farm, command_kind_t kind)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < farm->count; i++)
    n += farm->steps[i].kind == kind;
  return n;
}

/* Team a fills two workers, half of them with what is lent by b.  */
static farm_t *
open_lent (uint32_t cores, const char *flags)
{
  farm_t *farm = farm_open (2, 0);

  farm_submit_many (farm, "a", 0, 32 / cores, cores, flags);
  ck_assert_uint_eq (farm_next (farm), 32 / cores);
  return farm;
}

START_TEST (throttles_then_restores)
{
  g_autoptr (farm_t) farm = farm_open (1, 0);
  job_spec_t spec
      = { .id = "lent", .team = "a", .declared = { 16000, 1000, 0 } };
  char reason[PLACEMENT_REASON_BYTES];

  placement_submit (farm->place, &spec, reason);
  ck_assert_uint_eq (farm_next (farm), 1);
  spec.id = "u";
  spec.team = "b";
  spec.urgent = true;
  spec.declared = (resources_t){ 3000, 100, 0 };
  placement_submit (farm->place, &spec, reason);
  ck_assert_uint_eq (farm_next (farm), 2);
  ck_assert_int_eq (farm->steps[0].kind, COMMAND_THROTTLE);
  ck_assert_uint_eq (farm->steps[0].resources.cpu_milli, 4000);
  ck_assert_int_eq (farm->steps[1].kind, COMMAND_START);
  ck_assert (farm_end (farm, "u", JOB_END_DONE));
  ck_assert_uint_eq (farm_next (farm), 1);
  ck_assert_int_eq (farm->steps[0].kind, COMMAND_RESTORE);
  ck_assert_uint_eq (farm->steps[0].resources.cpu_milli, 16000);
}
END_TEST

/* The room that a checkpoint made was given to another job.  */
START_TEST (checkpoints_and_keeps_the_room)
{
  g_autoptr (farm_t) farm = open_lent (8, "ic");

  farm_submit_many (farm, "a", 10, 20, 1, "i");
  farm_submit (farm, "u", "b", 16, "u");
  ck_assert_uint_eq (farm_next (farm), 2);
  ck_assert_int_eq (farm->steps[0].kind, COMMAND_CHECKPOINT);
  ck_assert_int_eq (farm->steps[1].kind, COMMAND_CHECKPOINT);
  ck_assert (farm_end (farm, "a3", JOB_END_CHECKPOINTED));
  ck_assert_uint_eq (farm_next (farm), 0);
  ck_assert (farm_end (farm, "a2", JOB_END_CHECKPOINTED));
  ck_assert_uint_eq (farm_next (farm), 1);
  ck_assert_str_eq (farm->steps[0].job, "u");
  ck_assert_int_eq (farm_phase (farm, "a2"), JOB_QUEUED);
}
END_TEST

START_TEST (stops_what_does_not_checkpoint_in_time)
{
  g_autoptr (farm_t) farm = open_lent (16, "ic");

  farm_submit (farm, "u", "b", 16, "u");
  farm_next (farm);
  farm->now_us += PLACE_CHECKPOINT_US;
  ck_assert_uint_eq (farm_next (farm), 1);
  ck_assert_int_eq (farm->steps[0].kind, COMMAND_STOP);
}
END_TEST

START_TEST (never_stops_a_non_idempotent_job)
{
  g_autoptr (farm_t) farm = open_lent (16, "");

  farm_submit (farm, "u", "b", 16, "u");
  ck_assert_uint_eq (farm_next (farm), 0);
  farm->now_us += 5 * SECOND;
  ck_assert_uint_eq (farm_next (farm), 0);
}
END_TEST

START_TEST (takes_only_what_was_lent)
{
  g_autoptr (farm_t) farm = farm_open (2, 0);

  farm_submit_many (farm, "a", 0, 1, 16, "i");
  farm_submit_many (farm, "b", 0, 1, 16, "");
  ck_assert_uint_eq (farm_next (farm), 2);
  farm_submit (farm, "u", "b", 16, "u");
  ck_assert_uint_eq (farm_next (farm), 0); /* a has its share and no more */
}
END_TEST

/* A burst of urgent jobs was served one after the other.  */
START_TEST (takes_back_for_many_at_once)
{
  g_autoptr (farm_t) farm = farm_open (20, 0);

  farm_submit_many (farm, "a", 0, 20, 16, "im");
  ck_assert_uint_eq (farm_next (farm), 20);
  farm_submit_many (farm, "b", 0, 10, 16, "um");
  ck_assert_uint_eq (farm_next (farm), 10);
  ck_assert_uint_eq (count_steps (farm, COMMAND_STOP), 10);
}
END_TEST

TEST_PROGRAM ("reclaim", throttles_then_restores,
              checkpoints_and_keeps_the_room,
              stops_what_does_not_checkpoint_in_time,
              never_stops_a_non_idempotent_job, takes_only_what_was_lent,
              takes_back_for_many_at_once)

/* Guards against jobs that are lost, run twice, wait although they can never
   run, or run beyond their team's limit.  */

#include "farm.h"

START_TEST (refuses_at_once_what_no_worker_can_hold)
{
  farm_t *farm = farm_open (4, 0);
  job_spec_t spec = { .id = "j", .team = "a", .declared = { 17000, 1, 0 } };
  char reason[PLACE_REASON_BYTES];

  ck_assert_int_eq (place_submit (farm->place, &spec, reason),
                    PLACE_TOO_LARGE);
  ck_assert_ptr_nonnull (strstr (reason, "needs 17000 milli-CPU"));
  ck_assert_ptr_nonnull (strstr (reason, "16000, 65536 and 0"));
  spec.declared = (resources_t){ 1000, 1, 1 };
  ck_assert_int_eq (place_submit (farm->place, &spec, reason),
                    PLACE_TOO_LARGE);
  spec.declared = (resources_t){ 16000, 65536, 0 };
  spec.team = "nobody";
  ck_assert_int_eq (place_submit (farm->place, &spec, reason), PLACE_NO_TEAM);
  spec.team = "a";
  ck_assert_int_eq (place_submit (farm->place, &spec, reason), PLACE_ACCEPTED);
  ck_assert_int_eq (place_submit (farm->place, &spec, reason), PLACE_KNOWN);
  farm_close (farm);
}
END_TEST

/* Jobs on a lost worker may still run, so they count.  */
START_TEST (limit_holds_through_the_loss_of_a_worker)
{
  farm_t *farm = farm_open (2, 0);

  place_set_team (farm->place, "a", 1, 4);
  farm_submit_many (farm, "a", 0, 9, 1, "i");
  ck_assert_uint_eq (farm_next (farm), 4);
  place_lose_worker (farm->place, "w0000");
  ck_assert_uint_eq (farm_team (farm, "a").queued, 9);
  farm->now_us += PLACE_LEASE_US;
  ck_assert_uint_eq (farm_next (farm), 0);
  farm->now_us += CLOCK_ERROR_MS * 1000 + 1;
  ck_assert_uint_eq (farm_next (farm), 4);
  ck_assert_str_eq (farm->steps[0].worker, "w0001");
  place_set_team (farm->place, "a", 1, 2);
  ck_assert (farm_end (farm, farm->steps[0].job, JOB_END_DONE));
  ck_assert_uint_eq (farm_next (farm), 0);
  farm_close (farm);
}
END_TEST

START_TEST (restarts_a_non_idempotent_job_only_after_its_lease)
{
  farm_t *farm = farm_open (2, 0);

  farm_submit (farm, "once", "a", 1, "");
  farm_submit (farm, "often", "a", 1, "i");
  ck_assert_uint_eq (farm_next (farm), 2);
  farm->now_us += 5 * SECOND;
  ck_assert (place_renew (farm->place, "once", "w0000",
                          farm->now_us + PLACE_LEASE_US));
  place_lose_worker (farm->place, "w0000");
  ck_assert_uint_eq (farm_next (farm), 1);
  ck_assert_str_eq (farm->steps[0].job, "often");
  ck_assert_int_eq (farm_phase (farm, "once"), JOB_LOST);
  /* A late report of the first run changes nothing.  */
  ck_assert (!place_end (farm->place, "often", "w0000", JOB_END_FAILED));
  farm->now_us += PLACE_LEASE_US + CLOCK_ERROR_MS * 1000;
  ck_assert (place_renew (farm->place, "often", "w0001",
                          farm->now_us + PLACE_LEASE_US));
  ck_assert_uint_eq (farm_next (farm), 0);
  farm->now_us += 1;
  ck_assert_uint_eq (farm_next (farm), 1);
  ck_assert_str_eq (farm->steps[0].job, "once");
  farm_close (farm);
}
END_TEST

START_TEST (cancelled_jobs_are_stopped_and_forgotten)
{
  farm_t *farm = farm_open (1, 0);
  job_info_t info;

  farm_submit_many (farm, "a", 0, 20, 1, "i");
  ck_assert_uint_eq (farm_next (farm), 16);
  for (uint32_t i = 0; i < 20; i++)
    {
      char id[8];

      g_snprintf (id, sizeof id, "a%u", i);
      ck_assert (place_cancel (farm->place, id));
    }
  ck_assert_uint_eq (farm_team (farm, "a").queued, 0);
  ck_assert_uint_eq (farm_next (farm), 16);
  ck_assert_int_eq (farm->steps[3].kind, STEP_STOP);
  ck_assert (place_end (farm->place, "a3", "w0000", JOB_END_STOPPED));
  ck_assert (!place_job (farm->place, "a3", &info));
  ck_assert (!place_cancel (farm->place, "a3"));
  farm_close (farm);
}
END_TEST

START_TEST (learned_use_is_bounded_by_the_declaration)
{
  farm_t *farm = farm_open (1, 0);

  for (uint32_t i = 0; i < 3; i++)
    {
      farm_submit (farm, "j", "a", 16, "");
      ck_assert_uint_eq (farm_next (farm), 1);
      ck_assert (
          place_use (farm->place, "j", "w0000", (resources_t){ 900, 400, 0 }));
      ck_assert (farm_end (farm, "j", JOB_END_DONE));
    }
  farm_submit_many (farm, "a", 0, 20, 16, "");
  ck_assert_uint_eq (farm_next (farm), 15); /* of 1013 milli-CPU each */
  ck_assert_uint_eq (farm->steps[0].resources.cpu_milli, 1013);
  ck_assert (
      place_use (farm->place, "a0", "w0000", (resources_t){ 90000, 400, 0 }));
  ck_assert (farm_end (farm, "a1", JOB_END_DONE));
  ck_assert_uint_eq (farm_next (farm), 0); /* a0 now holds what it declared */
  farm_close (farm);
}
END_TEST

int
main (void)
{
  const TTest *const tests[] = {
    refuses_at_once_what_no_worker_can_hold,
    limit_holds_through_the_loss_of_a_worker,
    restarts_a_non_idempotent_job_only_after_its_lease,
    cancelled_jobs_are_stopped_and_forgotten,
    learned_use_is_bounded_by_the_declaration,
  };

  return run_tests ("place", tests, G_N_ELEMENTS (tests));
}

/* Guards against moves decided on incomplete or outdated demand, and against
   control traffic for unchanged pools.  */

#include "control.h"
#include "fixture.h"

#define NOW_US INT64_C (10000000)
#define S_US INT64_C (1000000)

/* Pool p has 2 hosts with 2 slots each, so one slot is 500 thousandths.  */
static const struct
{
  uint32_t own; /* slots that this daemon has in use */
  uint32_t own_queued;
  uint32_t reported; /* slots and queued requests reported by e2 */
  uint32_t reported_queued;
  int64_t age_us;
  uint32_t milli;
} sums[] = {
  { 0, 0, 0, 0, 0, 0 },           { 1, 0, 0, 0, 0, 500 },
  { 1, 3, 0, 0, 0, 2000 },        { 1, 1, 2, 5, 0, 4500 },
  { 1, 0, 2, 0, 9 * S_US, 1500 }, { 1, 0, 2, 0, 11 * S_US, 500 },
};

static void
report_demand (demand_t *demand, const char *peer, uint32_t in_use,
               uint32_t queued)
{
  msg_total_t all[] = { { TOTAL_POOL, "p", in_use, queued },
                        { TOTAL_HOST, "p", 1000, 1000 } };
  msg_totals_t totals = { 2, all };

  demand_record (demand, peer, &totals, NOW_US);
}

START_TEST (demand_sums_all_daemons)
{
  view_t *view = fixture_view ();
  escrow_t *slots = runtime_upstream ("u1")->slots;

  for (size_t i = 0; i < G_N_ELEMENTS (sums); i++)
    {
      demand_t *demand = demand_new ();
      pool_load_t load;
      permit_t permit = { 0 };

      if (sums[i].own)
        ck_assert (escrow_acquire (slots, 0, 1, &permit));
      atomic_store (&runtime_service ("open")->queued, sums[i].own_queued);
      report_demand (demand, "e2", sums[i].reported, sums[i].reported_queued);
      report_demand (demand, "removed", 1000, 1000);
      demand_sum (demand, view, "e1", "p", NOW_US + sums[i].age_us, &load);
      ck_assert_msg (load.milli == sums[i].milli, "row %zu: %u", i,
                     load.milli);
      if (sums[i].own)
        escrow_release (slots, permit);
      demand_free (demand);
    }
  atomic_store (&runtime_service ("open")->queued, 0);
}
END_TEST

/* Successive calls of one daemon.  */
static const struct
{
  int64_t at_us;
  uint32_t queued;
  uint32_t sent;
} calls[] = {
  { 0, 0, 0 },         { 2 * S_US, 3, 1 },  { 3 * S_US, 4, 0 },
  { 4 * S_US, 4, 1 },  { 6 * S_US, 4, 0 },  { 8 * S_US, 4, 1 },
  { 10 * S_US, 0, 1 }, { 20 * S_US, 0, 0 },
};

START_TEST (pools_are_sent_when_changed_or_in_use)
{
  view_t *view = fixture_view ();
  demand_t *demand = demand_new ();
  msg_total_t total;

  for (size_t i = 0; i < G_N_ELEMENTS (calls); i++)
    {
      atomic_store (&runtime_service ("open")->queued, calls[i].queued);
      ck_assert_msg (
          demand_list (demand, view, &total, 1, NOW_US + calls[i].at_us)
              == calls[i].sent,
          "call %zu", i);
      if (calls[i].sent)
        ck_assert_uint_eq (total.queued, calls[i].queued);
    }
  demand_free (demand);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("demand");

  tcase_add_test (tests, demand_sums_all_daemons);
  tcase_add_test (tests, pools_are_sent_when_changed_or_in_use);
  return fixture_run (tests);
}

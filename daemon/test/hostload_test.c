/* Guards against maintenance of a host to which some daemon may still send
   requests.  */

#include "control.h"
#include "fixture.h"

#define NOW_US INT64_C (10000000)

static void
drain (view_t *view, const char *host)
{
  host_state_t *state = table_find (&view->state->hosts, host);

  state->phase = HOST_DRAINING;
}

static void
report_load (hostload_t *loads, const char *peer, uint32_t in_use,
             int64_t now_us)
{
  msg_total_t total = { .kind = TOTAL_HOST, .name = "h1", .in_use = in_use };
  msg_totals_t totals = { 1, &total };

  hostload_record (loads, peer, &totals, now_us);
}

START_TEST (load_is_known_when_all_entry_hosts_have_reported)
{
  hostload_t *loads = hostload_new ();
  view_t *view = fixture_view ();
  uint32_t load;

  report_load (loads, "e2", 3, NOW_US);
  ck_assert (!hostload_sum (loads, view, "e1", "h1", NOW_US, &load));
  drain (view, "h1");
  ck_assert (hostload_sum (loads, view, "e1", "h1", NOW_US, &load));
  ck_assert_uint_eq (load, 3);
  ck_assert (!hostload_sum (loads, view, "e1", "h1", NOW_US + 2000001, &load));
  report_load (loads, "e3", 0, NOW_US + 2000001);
  ck_assert (!hostload_sum (loads, view, "e1", "h1", NOW_US + 2000001, &load));
  hostload_free (loads);
}
END_TEST

START_TEST (own_requests_are_counted)
{
  hostload_t *loads = hostload_new ();
  view_t *view = fixture_view ();
  msg_total_t totals[4];
  permit_t permit;
  uint32_t load;

  drain (view, "h1");
  report_load (loads, "e2", 0, NOW_US);
  ck_assert (escrow_acquire (runtime_upstream ("u1")->slots, 0, 1, &permit));
  ck_assert (hostload_sum (loads, view, "e1", "h1", NOW_US, &load));
  ck_assert_uint_eq (load, 1);
  ck_assert_uint_eq (hostload_list (view, totals, 4), 1);
  ck_assert_str_eq (totals[0].name, "h1");
  ck_assert_uint_eq (totals[0].in_use, 1);
  escrow_release (runtime_upstream ("u1")->slots, permit);
  hostload_free (loads);
}
END_TEST

TEST_PROGRAM ("hostload", load_is_known_when_all_entry_hosts_have_reported,
              own_requests_are_counted)

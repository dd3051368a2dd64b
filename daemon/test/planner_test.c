/* Guards against two daemons moving hosts for the same shortage, and against
   moves that the settings forbid or that rest on a stale view.  */

#include "control.h"
#include "fixture.h"
#include "planner.h"

#define NOW_US INT64_C (10000000)

static const char fleet_text[]
    = "format: 1\n"
      "data_centres:\n  - {name: dc1, region: n}\n"
      "racks:\n  - {name: r1, data_centre: dc1}\n"
      "pools:\n  - {name: p, budget_hosts: 1}\n"
      "  - {name: s, budget_hosts: 1, spare: true}\n"
      "hosts:\n  - {name: h1, rack: r1, pool: p}\n"
      "  - {name: h2, rack: r1, pool: s}\n"
      "services:\n  - {name: closed, pool: p}\n"
      "upstreams:\n"
      "  - {name: u1, service: closed, host: h1, address: 127.0.0.1, port: 1, "
      "slots: 2, connections: 4}\n"
      "teams:\n  - {name: a, share: 1, limit: 3}\n"
      "entry_hosts:\n"
      "  - {name: e1, data_centre: dc1, address: 127.0.0.1, peer_port: 1}\n"
      "  - {name: e2, data_centre: dc1, address: 127.0.0.1, peer_port: 2}\n";

static const char *const entries[] = { "e1", "e2" };

static const struct
{
  bool allowed;
  bool fresh;
  host_phase_t phase; /* of h2 */
  const char *wave;   /* that h2 was drained for */
  uint32_t moves;
  uint32_t records; /* of both daemons together */
  rec_kind_t kind;
} rows[] = {
  { true, true, HOST_IN_SERVICE, NULL, 1, 1, REC_DRAIN },
  { true, true, HOST_DRAINING, NULL, 1, 0, 0 },
  { true, true, HOST_DRAINED, NULL, 1, 1, REC_HOST_MOVE },
  { true, true, HOST_DRAINED, "w", 0, 0, 0 },
  { true, false, HOST_IN_SERVICE, NULL, 0, 0, 0 },
  { true, false, HOST_DRAINED, NULL, 0, 0, 0 },
  { false, true, HOST_IN_SERVICE, NULL, 1, 0, 0 },
  { false, true, HOST_DRAINED, NULL, 1, 0, 0 },
};

/* Number of records that the daemon SELF appends after pool p has been short
   for long enough; it needs 2 hosts.  */
static uint32_t
run_daemon (const char *self, size_t row, const view_t *view, rec_t *rec)
{
  settings_t settings
      = { .name = (char *)self, .move_hosts = rows[row].allowed };
  const char *peer = strcmp (self, "e1") == 0 ? "e2" : "e1";
  msg_total_t total = { TOTAL_POOL, "p", 2, 2 };
  msg_totals_t totals = { 1, &total };
  planner_t *planner = planner_new (&settings);
  planner_input_t in = { .view = view,
                         .demand = demand_new (),
                         .entries = entries,
                         .entries_count = 2,
                         .fresh = rows[row].fresh,
                         .now_us = NOW_US };
  plan_report_t *report;
  uint32_t count;

  demand_record (in.demand, peer, &totals, NOW_US);
  ck_assert_msg (rows[row].phase != HOST_IN_SERVICE
                     || planner_step (planner, &in, rec, 1) == 0,
                 "row %zu: host moved without delay", row);
  planner_step (planner, &in, rec, 1);
  in.now_us += PLAN_SHORTAGE_DELAY_US;
  count = planner_step (planner, &in, rec, 1);
  report = planner_report (planner);
  ck_assert_msg (report->moves_count == rows[row].moves, "row %zu: %u moves",
                 row, report->moves_count);
  ck_assert_uint_eq (report->pools[0].load.milli, 2000);
  ck_assert_uint_eq (report->pools[0].burst_milli, 1000);
  ck_assert_uint_eq (report->buffer_hosts, 2 + 1);
  plan_report_free (report);
  demand_free (in.demand);
  planner_free (planner);
  return count;
}

START_TEST (only_one_daemon_appends_allowed_moves)
{
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      view_t *view = fixture_view_of (fleet_text);
      host_state_t *host = table_find (&view->state->hosts, "h2");
      uint32_t count;
      rec_t rec;

      host->phase = rows[i].phase;
      host->wave = rows[i].wave;
      count = run_daemon ("e1", i, view, &rec);
      count += run_daemon ("e2", i, view, &rec);
      ck_assert_msg (count == rows[i].records, "row %zu: %u records", i,
                     count);
      if (count > 0)
        ck_assert_int_eq (rec.kind, rows[i].kind);
      if (count > 0 && rec.kind == REC_HOST_MOVE)
        ck_assert_str_eq (rec.u.host_move.pool, "p");
    }
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("planner");

  tcase_add_test (tests, only_one_daemon_appends_allowed_moves);
  return fixture_run (tests);
}

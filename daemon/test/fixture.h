/* fixture - a small fleet for the tests of the request stages */

#ifndef CUMINPIN_TEST_FIXTURE_H
#define CUMINPIN_TEST_FIXTURE_H

#include "../../test/run_suite.h"
#include "daemon.h"
#include <string.h>

#define KEY "team-a-key"

static const char fixture_text[]
    = "format: 1\n"
      "data_centres:\n"
      "  - {name: dc1, region: n}\n"
      "  - {name: dc2, region: n}\n"
      "racks:\n"
      "  - {name: r1, data_centre: dc1}\n"
      "  - {name: r2, data_centre: dc2}\n"
      "pools:\n"
      "  - {name: p}\n"
      "hosts:\n"
      "  - {name: h1, rack: r1, pool: p}\n"
      "  - {name: h2, rack: r2, pool: p}\n"
      "services:\n"
      "  - {name: closed, pool: p, queue_max: 2}\n"
      "  - {name: open, pool: p, open: true}\n"
      "upstreams:\n"
      "  - {name: u1, service: closed, host: h1, address: 127.0.0.1, port: 1, "
      "slots: 2, connections: 4}\n"
      "  - {name: u2, service: closed, host: h2, address: 127.0.0.1, port: 2, "
      "slots: 2, connections: 4}\n"
      "teams:\n"
      "  - {name: a, share: 1, limit: 3}\n"
      "  - {name: b, share: 1, limit: 1}\n"
      "entry_hosts:\n"
      "  - {name: e1, data_centre: dc1, address: 127.0.0.1, peer_port: 1}\n"
      "  - {name: e2, data_centre: dc2, address: 127.0.0.1, peer_port: 2}\n";

static const settings_t fixture_settings
    = { .name = "e1", .data_centre = "dc1", .threads = 2 };

/* Initializes REC as the configuration record of the fleet file TEXT.  */
static inline void
fixture_config_of (rec_t *rec, const char *text)
{
  rec_init (rec, REC_CONFIG, "test", 0);
  rec->u.config.format = FLEET_FORMAT;
  rec->u.config.text = g_strdup (text);
  rec->u.config.len = strlen (text);
}

/* The same for the fleet above.  */
static inline void
fixture_config (rec_t *rec)
{
  fixture_config_of (rec, fixture_text);
}

/* Initializes REC as the grant of KEY to team a.  */
static inline void
fixture_key (rec_t *rec)
{
  rec_init (rec, REC_KEY_GRANT, "test", 0);
  g_strlcpy (rec->u.key.id, "k1", sizeof rec->u.key.id);
  g_strlcpy (rec->u.key.team, "a", sizeof rec->u.key.team);
  key_digest (KEY, strlen (KEY), rec->u.key.digest);
}

/* The view of the fleet file TEXT for entry host e1; team a has KEY.  */
static inline view_t *
fixture_view_of (const char *text)
{
  state_t *state = state_new ();
  GError *error = NULL;
  view_t *view;
  rec_t rec;

  fixture_config_of (&rec, text);
  ck_assert_msg (rec_check (&rec, &error), "%s", error ? error->message : "");
  ck_assert_int_eq (state_fold (state, &rec, 0), VERDICT_APPLIED);
  rec_clear (&rec);
  fixture_key (&rec);
  ck_assert_int_eq (state_fold (state, &rec, 1), VERDICT_APPLIED);
  view = view_new (state, &fixture_settings);
  shares_apply (view, true);
  return view;
}

/* The same for the fleet above.  */
static inline view_t *
fixture_view (void)
{
  return fixture_view_of (fixture_text);
}

/* A request for SERVICE that arrived at NOW_US.  */
static inline req_t *
fixture_request (const char *service, int64_t now_us)
{
  req_t *req = g_slice_new0 (req_t);

  g_strlcpy (req->service_name, service, sizeof req->service_name);
  req->idempotent = true;
  req->arrived_us = now_us;
  return req;
}

static inline int
fixture_run (TCase *tests)
{
  return run_case ("daemon", tests);
}

#endif

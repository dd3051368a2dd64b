#include "../../test/run_suite.h"
#include "dispatch.h"
#include <string.h>

#define NOW_US INT64_C (1000000000)
#define CENTRES 5
#define RELAYS 96

static const char *const centre_names[CENTRES] = { "a", "b", "c", "d", "e" };
static dispatch_t *dispatch;

static void
set_up (void)
{
  dispatch = dispatch_new (0.5);
}

static void
tear_down (void)
{
  dispatch_free (dispatch);
}

static const char *
name (const char *prefix, uint32_t number)
{
  g_autofree char *text = g_strdup_printf ("%s%u", prefix, number);

  return g_intern_string (text);
}

static const char *
centre (uint32_t number)
{
  return g_intern_string (centre_names[number % CENTRES]);
}

/* Sets the entry hosts of the large site, with 0.12 to 0.5 of a core.  */
static void
add_relays (void)
{
  static const uint32_t shares[] = { 12, 25, 50 };

  for (uint32_t i = 0; i < RELAYS; i++)
    dispatch_add_relay (dispatch, name ("r", i), centre (i), shares[i % 3],
                        NULL);
}

static void
set_workers (uint32_t count)
{
  dispatch_centre_t centres[CENTRES];

  for (uint32_t i = 0; i < CENTRES; i++)
    centres[i] = (dispatch_centre_t){ centre (i), count / CENTRES };
  dispatch_set_workers (dispatch, centres, CENTRES);
}

static route_t
route (uint32_t worker, int64_t now_us)
{
  return dispatch_route (dispatch, name ("w", worker), centre (worker),
                         now_us);
}

/* Guards against extra connections and processor time on small sites.  */
START_TEST (test_small_fleet_is_called_directly)
{
  add_relays ();
  set_workers (50);
  ck_assert_uint_eq (dispatch_relays_in_use (dispatch), 0);
  for (uint32_t i = 0; i < 50; i++)
    ck_assert_int_eq (route (i, NOW_US).kind, ROUTE_DIRECT);
}
END_TEST

/* Load: 540 workers and 97 entry hosts, as on the large site.  */
START_TEST (test_large_fleet_is_spread_over_strong_relays)
{
  g_autoptr (GHashTable) counts = g_hash_table_new (NULL, NULL);
  GHashTableIter iter;
  gpointer relay;
  gpointer count;

  add_relays ();
  set_workers (540);
  ck_assert_uint_eq (dispatch_relays_in_use (dispatch), 20);
  for (uint32_t i = 0; i < 540; i++)
    {
      route_t way = route (i, NOW_US);

      ck_assert_int_eq (way.kind, ROUTE_RELAY);
      ck_assert_ptr_eq (way.u.relay->data_centre, centre (i));
      ck_assert_uint_eq (way.u.relay->share_percent, 50);
      g_hash_table_insert (
          counts, way.u.relay,
          GUINT_TO_POINTER (
              GPOINTER_TO_UINT (g_hash_table_lookup (counts, way.u.relay))
              + 1));
    }
  g_hash_table_iter_init (&iter, counts);
  while (g_hash_table_iter_next (&iter, &relay, &count))
    ck_assert_uint_lt (GPOINTER_TO_UINT (count),
                       2 * DISPATCH_WORKERS_PER_RELAY);
}
END_TEST

/* Guards against new connections to all workers when one relay leaves.  */
START_TEST (test_lost_relay_moves_only_its_workers)
{
  const relay_t *before[540];
  relay_t *lost;
  uint32_t moved = 0;

  add_relays ();
  set_workers (540);
  for (uint32_t i = 0; i < 540; i++)
    before[i] = route (i, NOW_US).u.relay;
  lost = (relay_t *)before[0];
  dispatch_note_silence (dispatch, lost, NOW_US);
  for (uint32_t i = 0; i < 540; i++)
    {
      route_t way = route (i, NOW_US);

      ck_assert_ptr_ne (way.u.relay, lost);
      if (before[i] != lost)
        ck_assert_ptr_eq (way.u.relay, before[i]);
      moved += way.u.relay != before[i];
    }
  ck_assert_uint_gt (moved, 0);
  for (uint32_t i = 0; i < 540; i++)
    ck_assert_ptr_eq (route (i, NOW_US + DISPATCH_SUSPECT_US).u.relay,
                      before[i]);
}
END_TEST

/* Guards against taking a worker for lost because its relay can't reach it. */
START_TEST (test_unreached_worker_is_called_directly)
{
  add_relays ();
  set_workers (540);
  dispatch_note_unreachable (dispatch, name ("w", 7), NOW_US);
  ck_assert_int_eq (route (7, NOW_US).kind, ROUTE_DIRECT);
  ck_assert_int_eq (route (8, NOW_US).kind, ROUTE_RELAY);
  ck_assert_int_eq (route (7, NOW_US + DISPATCH_DETOUR_US).kind, ROUTE_RELAY);
}
END_TEST

/* Guards against a data centre without entry hosts that nobody serves.  */
START_TEST (test_data_centre_without_relays_uses_others)
{
  dispatch_add_relay (dispatch, name ("r", 0), centre (0), 50, NULL);
  set_workers (540);
  ck_assert_int_eq (route (3, NOW_US).kind, ROUTE_RELAY);
}
END_TEST

START_TEST (test_no_relays_means_direct)
{
  set_workers (540);
  ck_assert_int_eq (route (3, NOW_US).kind, ROUTE_DIRECT);
  dispatch_remove_relay (dispatch, dispatch_add_relay (dispatch, name ("r", 0),
                                                       centre (0), 50, NULL));
  ck_assert_int_eq (route (3, NOW_US).kind, ROUTE_DIRECT);
  ck_assert_ptr_null (dispatch_find_relay (dispatch, name ("r", 0)));
}
END_TEST

TEST_PROGRAM_WITH ("jobs/dispatch", set_up, tear_down,
                   test_small_fleet_is_called_directly,
                   test_large_fleet_is_spread_over_strong_relays,
                   test_lost_relay_moves_only_its_workers,
                   test_unreached_worker_is_called_directly,
                   test_data_centre_without_relays_uses_others,
                   test_no_relays_means_direct)

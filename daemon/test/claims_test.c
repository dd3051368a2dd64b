/* Guards against two daemons granting the same id: by a daemon that is not its
   owner, after a change of entry hosts, and on a stale view.  */

#include "fixture.h"

#define NOW_MS INT64_C (1700000000000)
#define NOW_US INT64_C (60000000)

/* An id issued at TIME_MS that e1 owns, or e2 if OWNED is false.  */
static dedup_id_t
make_id (const view_t *view, int64_t time_ms, bool owned)
{
  dedup_id_t id = { { 0 } };

  for (int i = 0; i < 6; i++)
    id.bytes[i] = (uint8_t)(time_ms >> (40 - 8 * i));
  id.bytes[6] = 0x70;
  id.bytes[8] = 0x80;
  while ((strcmp (claims_owner (view, &id), "e1") == 0) != owned)
    id.bytes[15]++;
  return id;
}

static err_kind_t
grant (claims_t *claims, const view_t *view, const dedup_id_t *id,
       int64_t now_ms)
{
  return claims_grant (claims, view, "e1", id, NOW_US, now_ms);
}

static void
open_claims (claims_t *claims, const view_t *view)
{
  atomic_store (&sync_status.log_read_us, NOW_US);
  claims_open (claims, NOW_MS - DEDUP_WINDOW_MS);
  claims_update (claims, view, NOW_MS);
}

START_TEST (only_the_owner_grants_an_id_and_only_once)
{
  view_t *view = fixture_view ();
  dedup_id_t mine = make_id (view, NOW_MS, true);
  dedup_id_t other = make_id (view, NOW_MS, false);
  claims_t claims;

  open_claims (&claims, view);
  ck_assert_int_eq (grant (&claims, view, &mine, NOW_MS), ERR_NONE);
  ck_assert_int_eq (grant (&claims, view, &mine, NOW_MS), ERR_ID_REPEATED);
  ck_assert_int_eq (grant (&claims, view, &other, NOW_MS), ERR_ID_OWNER_AWAY);
  ck_assert_uint_eq (dedup_count (claims.table), 1);
  claims_close (&claims);
}
END_TEST

START_TEST (stale_daemon_grants_nothing)
{
  view_t *view = fixture_view ();
  dedup_id_t mine = make_id (view, NOW_MS, true);
  claims_t claims;

  open_claims (&claims, view);
  atomic_store (&sync_status.log_read_us, NOW_US - FRESH_MAX_AGE_US - 1);
  ck_assert_int_eq (grant (&claims, view, &mine, NOW_MS), ERR_ID_OWNER_AWAY);
  ck_assert_uint_eq (dedup_count (claims.table), 0);
  claims_close (&claims);
}
END_TEST

START_TEST (view_without_entry_hosts_has_no_owner)
{
  view_t *view = view_new (state_new (), &fixture_settings);
  dedup_id_t id = { { 0 } };
  claims_t claims;

  open_claims (&claims, view);
  ck_assert_ptr_null (claims_owner (view, &id));
  ck_assert_int_eq (grant (&claims, view, &id, NOW_MS), ERR_ID_OWNER_AWAY);
  claims_close (&claims);
}
END_TEST

/* The previous owner may have granted ids until its view was stale.  */
START_TEST (new_owner_refuses_ids_of_previous_owner)
{
  view_t *view = fixture_view ();
  const int64_t late_ms
      = NOW_MS + FRESH_MAX_AGE_US / 1000 + 2 * CLOCK_ERROR_MS + 1;
  dedup_id_t early = make_id (view, NOW_MS + FRESH_MAX_AGE_US / 1000, true);
  dedup_id_t late = make_id (view, late_ms, true);
  claims_t claims;

  open_claims (&claims, view);
  view->entry_hosts_count = 1;
  claims_update (&claims, view, NOW_MS);
  ck_assert_int_ne (grant (&claims, view, &early, late_ms), ERR_NONE);
  ck_assert_int_eq (grant (&claims, view, &late, late_ms), ERR_NONE);
  /* An unchanged list of hosts has no effect.  */
  claims_update (&claims, view, late_ms);
  late.bytes[15]++;
  ck_assert_int_eq (grant (&claims, view, &late, late_ms), ERR_NONE);
  claims_close (&claims);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("claims");

  tcase_add_test (tests, only_the_owner_grants_an_id_and_only_once);
  tcase_add_test (tests, stale_daemon_grants_nothing);
  tcase_add_test (tests, view_without_entry_hosts_has_no_owner);
  tcase_add_test (tests, new_owner_refuses_ids_of_previous_owner);
  return fixture_run (tests);
}

/* Guards against fields that are stored in the wrong member, missing defaults,
   and unreadable files that are treated as empty.  */

#include "reject.h"

static fleet_t *
load (void)
{
  g_autoptr (GError) error = NULL;
  fleet_t *fleet
      = fleet_load ("f.yaml", reject_fleet, strlen (reject_fleet), &error);

  ck_assert_msg (fleet != NULL, "%s", error ? error->message : "");
  return fleet;
}

START_TEST (fields_and_defaults_are_filled_in)
{
  fleet_t *fleet = load ();
  const service_t *service = fleet_find_service (fleet, "s");
  const upstream_t *upstream = &fleet->upstreams[0];

  ck_assert_uint_eq (fleet->hosts_count, 2);
  ck_assert_str_eq (fleet_find_host (fleet, "h2")->pool, "q");
  ck_assert (fleet_find_pool (fleet, "q")->spare);
  ck_assert (!fleet_find_pool (fleet, "p")->spare);
  ck_assert_uint_eq (fleet_find_pool (fleet, "p")->budget_hosts, 1);
  ck_assert_uint_eq (service->deadline_ms, 5);
  ck_assert_uint_eq (service->deadline_max_ms, 30000);
  ck_assert_uint_eq (service->overrun_ms, 1000);
  ck_assert_uint_eq (service->queue_max, 256);
  ck_assert (!service->open);
  ck_assert_uint_eq (upstream->port, 9);
  ck_assert_uint_eq (upstream->slots, 8);
  ck_assert_uint_eq (upstream->connections, 64);
  ck_assert_str_eq (fleet_upstream_data_centre (fleet, upstream), "d");
  ck_assert_uint_eq (fleet_find_team (fleet, "t")->share, 3);
  ck_assert_uint_eq (fleet_find_team (fleet, "t")->limit, 4);
  ck_assert_uint_eq (fleet_find_entry_host (fleet, "e1")->peer_port, 7);
  ck_assert_str_eq (fleet_find_rack (fleet, "r2")->data_centre, "d");
  ck_assert_str_eq (fleet->waves[0].pools[1], "q");
  ck_assert_ptr_null (fleet_find_host (fleet, "h"));
  fleet_free (fleet);
}
END_TEST

/* Guards against a wrong size limit: the largest text that fits in a record is
   accepted, one more byte is rejected.  */
START_TEST (oversized_text_is_rejected)
{
  static char text[FLEET_TEXT_BYTES_MAX + 1];
  g_autoptr (GError) error = NULL;

  memset (text, '\n', sizeof text);
  memcpy (text, reject_fleet, sizeof reject_fleet - 1);
  ck_assert_ptr_null (reject_load_fleet (text, sizeof text - 1));
  error = reject_load_fleet (text, sizeof text);
  ck_assert_ptr_nonnull (error);
  ck_assert_str_eq (error->message,
                    "f.yaml:1: expected at most 786432 bytes, found 786433");
}
END_TEST

START_TEST (file_is_read_or_named_in_error)
{
  g_autoptr (GError) error = NULL;
  g_autofree char *text = NULL;
  size_t len = 0;
  fleet_t *fleet = fleet_read ("examples/fleet.yaml", &text, &len, &error);

  ck_assert_msg (fleet != NULL, "%s", error ? error->message : "");
  ck_assert_uint_eq (strlen (text), len);
  fleet_free (fleet);
  ck_assert_ptr_null (fleet_read ("examples/none.yaml", NULL, NULL, &error));
  ck_assert (g_error_matches (error, CONF_ERROR, CONF_ERROR_READ));
  ck_assert_ptr_nonnull (strstr (error->message, "examples/none.yaml"));
}
END_TEST

/* Guards against a changed digest function: stored digests must stay valid.
   The value is that of the example key in examples/fleet.yaml.  */
START_TEST (digest_of_a_key_is_stable)
{
  char hex[KEY_DIGEST_HEX + 1];

  key_digest ("counter-demo-key", strlen ("counter-demo-key"), hex);
  ck_assert_str_eq (
      hex, "a8d4abe7397f6c82a81fa97e76f2d09f2a6f594571fe305043500cc4655f5bb5");
}
END_TEST

TEST_PROGRAM ("fleet", fields_and_defaults_are_filled_in,
              oversized_text_is_rejected, file_is_read_or_named_in_error,
              digest_of_a_key_is_stable)

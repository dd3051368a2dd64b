/* Guards against replicas that differ after the same records, and against a
   daemon that holds shares while its predecessor's work may still run.  */

#include "control.h"
#include "fixture.h"

#define RECORDS 4
#define OWN_INCARNATION 2
#define RUN_US INT64_C (1000000)

static GBytes *records[RECORDS];

/* Stub: this test runs no peer thread to notify.  */
void
exchange_view_changed (exchange_t *exchange)
{
  (void)exchange;
}

static GBytes *
encode (rec_t *rec)
{
  GBytes *bytes = wire_encode_rec (rec);

  rec_clear (rec);
  return bytes;
}

static GBytes *
entry_record (rec_kind_t kind, const char *name, uint64_t incarnation)
{
  rec_t rec;

  rec_init (&rec, kind, "test", 0);
  g_strlcpy (rec.u.entry.name, name, sizeof rec.u.entry.name);
  rec.u.entry.incarnation = incarnation;
  return encode (&rec);
}

static void
make_records (void)
{
  rec_t rec;

  fixture_config (&rec);
  records[0] = encode (&rec);
  fixture_key (&rec);
  records[1] = encode (&rec);
  records[2] = entry_record (REC_JOIN, "e2", 1);
  records[3] = entry_record (REC_LEAVE, "e2", 1);
}

static replica_t *
open_replica (claims_t *claims)
{
  claims_open (claims, 0);
  return replica_open (&fixture_settings, claims, OWN_INCARNATION);
}

static void
apply_from_log (replica_t *replica, GBytes *bytes, uint64_t offset)
{
  log_entry_t entry = { offset, 0, bytes };
  log_batch_t batch = { &entry, 1, 0, offset + 1 };

  ck_assert (replica_apply (replica, &batch));
}

static void
apply_from_peer (replica_t *replica, GBytes *bytes, uint64_t offset)
{
  gsize len;
  const void *data = g_bytes_get_data (bytes, &len);
  msg_record_t record = { offset, data, len };
  msg_relay_t relay = { .count = 1, .records = &record };

  replica_apply_relay (replica, &relay);
}

static void
assert_equal (replica_t *a, replica_t *b, const char *row)
{
  uint64_t offsets[2];
  g_autoptr (GBytes) left = replica_snapshot (a, &offsets[0]);
  g_autoptr (GBytes) right = replica_snapshot (b, &offsets[1]);

  ck_assert_msg (offsets[0] == offsets[1] && g_bytes_equal (left, right),
                 "%s: offsets %u and %u", row, (unsigned)offsets[0],
                 (unsigned)offsets[1]);
}

/* A digit is a record read from the log; after a p it is relayed by a
   peer.  */
START_TEST (records_in_any_order_give_the_same_state)
{
  static const char *const rows[] = { "p0p1p2p3", "01p0p1p2p323", "p0p10123",
                                      "p3p20p2p1p2p33", "0p1p0p11p2213" };
  claims_t claims;
  replica_t *expected = open_replica (&claims);

  for (uint32_t i = 0; i < RECORDS; i++)
    apply_from_log (expected, records[i], i);
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      replica_t *replica = open_replica (&claims);

      for (const char *c = rows[i]; *c; c++)
        {
          bool relayed = *c == 'p';
          uint32_t offset = (uint32_t)(*(c += relayed) - '0');

          (relayed ? apply_from_peer
                   : apply_from_log) (replica, records[offset], offset);
        }
      assert_equal (expected, replica, rows[i]);
      replica_close (replica);
    }
  replica_close (expected);
}
END_TEST

START_TEST (lagging_peer_gets_records_or_a_snapshot)
{
  claims_t claims;
  replica_t *first = open_replica (&claims);
  replica_t *second = open_replica (&claims);
  replica_t *third = open_replica (&claims);
  msg_relay_t relay;

  for (uint32_t i = 0; i < RECORDS; i++)
    apply_from_log (first, records[i], i);
  ck_assert (replica_fill_relay (first, 1, &relay));
  ck_assert (!relay.snapshot && relay.count == RECORDS - 1);
  /* The second replica lacks the record before.  */
  replica_apply_relay (second, &relay);
  relay_clear (&relay);
  ck_assert (!replica_fill_relay (second, 0, &relay));
  relay_clear (&relay);
  apply_from_log (second, records[0], 0);
  ck_assert (replica_fill_relay (first, 1, &relay));
  replica_apply_relay (second, &relay);
  relay_clear (&relay);
  assert_equal (first, second, "records");

  uint64_t offset;
  gsize len;
  g_autoptr (GBytes) snapshot = replica_snapshot (first, &offset);
  const void *data = g_bytes_get_data (snapshot, &len);

  /* A replica that started from a snapshot has no records to relay.  */
  ck_assert (replica_load_snapshot (third, data, len, &offset));
  ck_assert (replica_fill_relay (third, 1, &relay));
  ck_assert (relay.snapshot);
  replica_close (second);
  second = open_replica (&claims);
  apply_from_log (second, records[0], 0);
  replica_apply_relay (second, &relay);
  assert_equal (first, second, "snapshot");
  /* An older snapshot has no effect.  */
  apply_from_log (second, entry_record (REC_JOIN, "e2", 3), RECORDS);
  replica_apply_relay (second, &relay);
  relay_clear (&relay);
  ck_assert (replica_fill_relay (second, RECORDS, &relay));
  relay_clear (&relay);
  replica_close (first);
  replica_close (second);
  replica_close (third);
}
END_TEST

/* J and L: JOIN and LEAVE of the predecessor; j: this daemon's own JOIN; s: a
   new replica loads a snapshot of the state so far.  */
START_TEST (quarantine_follows_join_and_leave)
{
  const int64_t wait_us = share_outstanding_us (RUN_US);
  const struct
  {
    const char *log;
    int64_t expected_us;
  } rows[] = { { "", INT64_MAX },  { "J", wait_us },    { "JL", INT64_MAX },
               { "j", 0 },         { "Jj", wait_us },   { "JLj", 0 },
               { "js", wait_us },  { "JLjs", wait_us }, { "JLsj", 0 },
               { "Jsj", wait_us }, { "s", INT64_MAX } };
  claims_t claims;

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      replica_t *replica = open_replica (&claims);
      uint64_t offset = 0;
      int64_t got_us;

      apply_from_log (replica, records[0], offset++);
      for (const char *c = rows[i].log; *c; c++)
        if (*c == 's')
          {
            replica_t *next = open_replica (&claims);
            g_autoptr (GBytes) bytes = replica_snapshot (replica, &offset);
            gsize len;
            const void *data = g_bytes_get_data (bytes, &len);

            ck_assert (replica_load_snapshot (next, data, len, &offset));
            replica_close (replica);
            replica = next;
          }
        else
          apply_from_log (replica,
                          entry_record (*c == 'L' ? REC_LEAVE : REC_JOIN, "e1",
                                        *c == 'j' ? OWN_INCARNATION : 1),
                          offset++);
      got_us = replica_quarantine_us (replica, RUN_US);
      ck_assert_msg (got_us == rows[i].expected_us, "\"%s\": %" PRId64,
                     rows[i].log, got_us);
      replica_close (replica);
    }
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("replica");

  make_records ();
  rcu_register_thread ();
  tcase_add_test (tests, records_in_any_order_give_the_same_state);
  tcase_add_test (tests, lagging_peer_gets_records_or_a_snapshot);
  tcase_add_test (tests, quarantine_follows_join_and_leave);
  return fixture_run (tests);
}

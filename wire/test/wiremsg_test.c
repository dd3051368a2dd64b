/* Guards against peer messages that change when encoded and decoded, and
   against input from a peer that crashes a daemon or makes it allocate without
   bound.  */

#include "../../test/run_suite.h"
#include "wire.h"
#include <string.h>

#define MUTATIONS 20000

static const msg_t samples[] = {
  { .kind = MSG_HELLO,
    .u.hello = { 1, "e1", "north", UINT64_MAX, { 1, [31] = 2 } } },
  { .kind = MSG_PROOF, .u.proof = { { [0] = 9, [31] = 8 } } },
  { .kind = MSG_HEARTBEAT,
    .u.heartbeat = { 3, 2, UINT64_MAX, LOG_AGE_NEVER_READ, 5, -1 } },
  { .kind = MSG_RELAY,
    .u.relay = { 9, false, 2,
                 (msg_record_t[]){ { 7, (const uint8_t *)"a", 1 },
                                   { 8, (const uint8_t *)"bc", 2 } } } },
  { .kind = MSG_RELAY,
    .u.relay
    = { 9, true, 1, (msg_record_t[]){ { 9, (const uint8_t *)"s", 1 } } } },
  { .kind = MSG_RELAY, .u.relay = { 9, false, 0, NULL } },
  { .kind = MSG_FETCH, .u.fetch = { 77 } },
  { .kind = MSG_CLAIM, .u.claim = { 5, { [15] = 6 } } },
  { .kind = MSG_CLAIM_REPLY, .u.claim_reply = { 5, CLAIM_REFUSED } },
  { .kind = MSG_LOAN_REQUEST,
    .u.loan_request = { 6, LOAN_UPSTREAM, "u1", UINT32_MAX } },
  { .kind = MSG_LOAN, .u.loan = { 6, LOAN_TEAM, "blue", 3, -1 } },
  { .kind = MSG_TOTALS,
    .u.totals = { 2, (msg_total_t[]){ { TOTAL_TEAM, "blue", 1, 2 },
                                      { TOTAL_POOL, "p", 3, 4 } } } },
  { .kind = MSG_UNKNOWN },
};

static bool
decode (GBytes *bytes, msg_t *msg)
{
  g_autoptr (GError) error = NULL;
  bool ok = wire_decode_msg (bytes, msg, &error);

  ck_assert (ok == (error == NULL));
  return ok;
}

START_TEST (each_message_survives_encoding)
{
  for (size_t i = 0; i < G_N_ELEMENTS (samples); i++)
    {
      const msg_t *msg = &samples[i];
      g_autoptr (GBytes) bytes = wire_encode_msg (msg);
      g_autoptr (GBytes) again = NULL;
      msg_t back;

      ck_assert_msg (decode (bytes, &back), "message %zu", i);
      ck_assert_int_eq (back.kind, msg->kind);
      if (msg->kind == MSG_RELAY && msg->u.relay.count == 2)
        ck_assert_mem_eq (back.u.relay.records[1].data, "bc", 2);
      else if (msg->kind == MSG_TOTALS)
        ck_assert_mem_eq (back.u.totals.totals, msg->u.totals.totals,
                          2 * sizeof (msg_total_t));
      else if (msg->kind != MSG_RELAY)
        ck_assert_mem_eq (&back.u, &msg->u, sizeof msg->u);
      again = wire_encode_msg (&back);
      ck_assert (g_bytes_equal (bytes, again));
      msg_clear (&back);
    }
}
END_TEST

START_TEST (truncated_message_is_an_error)
{
  for (size_t i = 0; i < G_N_ELEMENTS (samples); i++)
    {
      g_autoptr (GBytes) bytes = wire_encode_msg (&samples[i]);

      for (gsize len = 0; len < g_bytes_get_size (bytes); len++)
        {
          g_autoptr (GBytes) part = g_bytes_new_from_bytes (bytes, 0, len);
          msg_t msg;

          ck_assert_msg (!decode (part, &msg), "message %zu, %zu bytes", i,
                         len);
        }
    }
}
END_TEST

START_TEST (malformed_message_is_an_error)
{
  static const struct
  {
    const char *what;
    const char *bytes;
    size_t len;
  } rows[] = {
    { "no array", "\x01", 1 },
    { "no kind", "\x90", 1 },
    { "kind is text", "\x91\xa1x", 3 },
    { "field is missing", "\x91\x05", 2 },
    { "field is negative", "\x92\x05\xff", 3 },
    { "short proof", "\x92\x02\xc4\x01x", 5 },
    { "unknown verdict", "\x93\x07\x01\x04", 4 },
    { "trailing bytes", "\x92\x05\x01\x01", 4 },
    { "array longer than the input", "\x92\x0a\xdd\xff\xff\xff\xff", 7 },
    { "record that is no array", "\x94\x04\x01\xc2\x91\x05", 6 },
    { "snapshot without a record", "\x94\x04\x01\xc3\x90", 5 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      g_autoptr (GBytes) bytes = g_bytes_new (rows[i].bytes, rows[i].len);
      msg_t msg;

      ck_assert_msg (!decode (bytes, &msg), "%s", rows[i].what);
    }
}
END_TEST

/* The message is valid except for its length.  */
START_TEST (oversized_message_is_an_error)
{
  static uint8_t data[MSG_BYTES_MAX + 8]
      = { 0x93, MSG_FETCH, 42, 0xc6, 0, 0x10, 0, 0 };
  msg_record_t record = { 1, data, MSG_BYTES_MAX };
  msg_t relay = { .kind = MSG_RELAY, .u.relay = { 9, false, 1, &record } };
  g_autoptr (GBytes) bytes = g_bytes_new_static (data, sizeof data);
  msg_t msg;

  ck_assert_ptr_null (wire_encode_msg (&relay));
  ck_assert (!decode (bytes, &msg));
}
END_TEST

/* A newer version may append fields to a message.  */
START_TEST (additional_fields_are_ignored)
{
  g_autoptr (GBytes) bytes = g_bytes_new ("\x93\x05\x2a\xa1x", 5);
  msg_t msg;

  ck_assert (decode (bytes, &msg));
  ck_assert_uint_eq (msg.u.fetch.offset, 42);
  msg_clear (&msg);
}
END_TEST

START_TEST (random_bytes_never_crash)
{
  g_autoptr (GRand) random = g_rand_new_with_seed (run_seed ("wiremsg"));

  for (int i = 0; i < MUTATIONS; i++)
    {
      const msg_t *sample
          = &samples[g_rand_int_range (random, 0, G_N_ELEMENTS (samples))];
      g_autoptr (GBytes) bytes = wire_encode_msg (sample);
      gsize len = g_bytes_get_size (bytes);
      uint8_t *data = g_memdup2 (g_bytes_get_data (bytes, NULL), len);
      g_autoptr (GBytes) changed = g_bytes_new_take (data, len);
      msg_t msg;

      for (int n = g_rand_int_range (random, 1, 4); n > 0; n--)
        data[g_rand_int_range (random, 0, (gint32)len)]
            = (uint8_t)g_rand_int (random);
      if (decode (changed, &msg))
        {
          g_autoptr (GBytes) again = wire_encode_msg (&msg);

          ck_assert_ptr_nonnull (again);
          msg_clear (&msg);
        }
    }
}
END_TEST

TEST_PROGRAM ("wiremsg", each_message_survives_encoding,
              truncated_message_is_an_error, malformed_message_is_an_error,
              oversized_message_is_an_error, additional_fields_are_ignored,
              random_bytes_never_crash)

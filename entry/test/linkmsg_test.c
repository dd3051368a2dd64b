#include "../../test/run_suite.h"
#include "link.h"
#include "linkmsg.h"
#include <string.h>

#define MUTATIONS 20000
/* Of the records that a daemon sends at once: BATCH_BYTES_MAX of appends.  */
#define BATCH_BYTES (1024 * 1024)

static msgpack_sbuffer buf;
static linkmsg_t out;

static void
set_up (void)
{
  msgpack_sbuffer_init (&buf);
}

static void
tear_down (void)
{
  msgpack_sbuffer_destroy (&buf);
}

/* Packs MSG and unpacks it to out.  */
static void
send_through (const linkmsg_t *msg)
{
  g_autoptr (GError) error = NULL;

  msgpack_sbuffer_clear (&buf);
  linkmsg_pack (&buf, msg);
  ck_assert_msg (linkmsg_unpack (buf.data, buf.size, &out, &error), "%s",
                 error ? error->message : "");
  ck_assert_int_eq (out.kind, msg->kind);
  ck_assert_uint_eq (out.serial, msg->serial);
}

static const task_ref_t ref
    = { .id = "5c0e7a21d94b36f8", .occurrence = 1, .step = 2, .index = 3 };

static linkmsg_t
order_msg (void)
{
  return (linkmsg_t){ .kind = LINKMSG_ORDER,
                      .serial = UINT64_MAX,
                      .u.order.order = { .kind = ORDER_START,
                                         .worker = "w1",
                                         .address = "10.0.0.1:80",
                                         .token = 7,
                                         .deadline_ms = 486000,
                                         .task = ref,
                                         .attempt = 2,
                                         .payload = "text \" \xc3\xa9",
                                         .ticket = "t" } };
}

/* Guards against an order that a relay carries out otherwise than the owner
   gave it.  */
START_TEST (test_orders_arrive_whole)
{
  linkmsg_t msg = order_msg ();
  const order_t *order = &out.u.order.order;

  send_through (&msg);
  ck_assert_int_eq (order->kind, ORDER_START);
  ck_assert_str_eq (order->worker, "w1");
  ck_assert_str_eq (order->address, "10.0.0.1:80");
  ck_assert_uint_eq (order->token, 7);
  ck_assert_int_eq (order->deadline_ms, 486000);
  ck_assert (task_ref_equal (&order->task, &ref));
  ck_assert_uint_eq (order->attempt, 2);
  ck_assert_str_eq (order->payload, msg.u.order.order.payload);
  ck_assert_ptr_null (order->checkpoint);
  ck_assert_str_eq (order->ticket, "t");
  linkmsg_clear (&out);
}
END_TEST

static linkmsg_t
reply_msg (run_status_t *run, run_end_t *end)
{
  linkmsg_t msg = { .kind = LINKMSG_REPLY, .serial = 9 };

  *run = (run_status_t){
    .task = ref, .attempt = 4, .checkpoint = "c1", .percent = 41, .load = 77
  };
  *end = (run_end_t){ .sequence = 58,
                      .task = ref,
                      .attempt = 1,
                      .kind = RUN_BROKEN,
                      .checkpoint = "" };
  msg.u.reply.reply = (worker_reply_t){ .kind = REPLY_OK,
                                        .clock_ms = -5,
                                        .has_clock = true };
  msg.u.reply.has_report = true;
  msg.u.reply.report = (worker_report_t){
    .boot_ms = 123, .runs = run, .runs_count = 1, .ends = end, .ends_count = 1
  };
  return msg;
}

/* Guards against ends or runs that get lost on the way through a relay.  */
START_TEST (test_reports_arrive_whole)
{
  run_status_t run;
  run_end_t end;
  linkmsg_t msg = reply_msg (&run, &end);
  const worker_report_t *report = &out.u.reply.report;

  send_through (&msg);
  ck_assert_int_eq (out.u.reply.reply.kind, REPLY_OK);
  ck_assert_int_eq (out.u.reply.reply.clock_ms, -5);
  ck_assert (out.u.reply.reply.has_clock);
  ck_assert (out.u.reply.has_report);
  ck_assert_int_eq (report->boot_ms, 123);
  ck_assert_uint_eq (report->runs_count, 1);
  ck_assert (task_ref_equal (&report->runs[0].task, &ref));
  ck_assert_uint_eq (report->runs[0].attempt, 4);
  ck_assert_str_eq (report->runs[0].checkpoint, "c1");
  ck_assert_uint_eq (report->runs[0].percent, 41);
  ck_assert_uint_eq (report->runs[0].load, 77);
  ck_assert_uint_eq (report->ends_count, 1);
  ck_assert_uint_eq (report->ends[0].sequence, 58);
  ck_assert_int_eq (report->ends[0].kind, RUN_BROKEN);
  linkmsg_clear (&out);
}
END_TEST

START_TEST (test_other_messages_arrive_whole)
{
  linkmsg_t msg = { .kind = LINKMSG_HELLO };
  g_autoptr (GPtrArray) records
      = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);

  msg.u.hello.name = "e1";
  msg.u.hello.data_centre = "a";
  msg.u.hello.share_percent = 25;
  send_through (&msg);
  ck_assert_str_eq (out.u.hello.name, "e1");
  ck_assert_str_eq (out.u.hello.data_centre, "a");
  ck_assert_uint_eq (out.u.hello.share_percent, 25);
  linkmsg_clear (&out);

  g_ptr_array_add (records, g_bytes_new ("one", 3));
  g_ptr_array_add (records, g_bytes_new ("", 1));
  msg = (linkmsg_t){ .kind = LINKMSG_APPEND, .serial = 3 };
  msg.u.append = records;
  send_through (&msg);
  ck_assert_uint_eq (out.u.append->len, 2);
  ck_assert (g_bytes_equal (g_ptr_array_index (out.u.append, 0),
                            g_ptr_array_index (records, 0)));
  ck_assert (g_bytes_equal (g_ptr_array_index (out.u.append, 1),
                            g_ptr_array_index (records, 1)));
  linkmsg_clear (&out);

  msg = (linkmsg_t){ .kind = LINKMSG_STORED, .serial = 3 };
  msg.u.stored.unknown = true;
  send_through (&msg);
  ck_assert (!out.u.stored.stored);
  ck_assert (out.u.stored.unknown);
  linkmsg_clear (&out);
}
END_TEST

/* Guards against a refusal that is taken for that of another record.  */
START_TEST (test_refused_records_arrive_whole)
{
  linkmsg_refused_t rows[] = { { 1, 30 }, { 7, 2 } };
  linkmsg_t msg = { .kind = LINKMSG_STORED, .serial = 3 };
  g_autoptr (GPtrArray) records = g_ptr_array_new ();

  msg.u.stored.stored = msg.u.stored.effective = true;
  msg.u.stored.refused = rows;
  msg.u.stored.refused_count = 2;
  send_through (&msg);
  ck_assert (out.u.stored.stored);
  ck_assert (out.u.stored.effective);
  ck_assert_uint_eq (out.u.stored.refused_count, 2);
  ck_assert_mem_eq (out.u.stored.refused, rows, sizeof rows);
  linkmsg_clear (&out);

  msg = (linkmsg_t){ .kind = LINKMSG_APPEND, .serial = 3, .may_refuse = true };
  msg.u.append = records;
  send_through (&msg);
  ck_assert (out.may_refuse);
  linkmsg_clear (&out);
}
END_TEST

/* Unpacks an array of COUNT integers, as an older daemon sends it.  */
static void
unpack_integers (const uint64_t *values, uint32_t count)
{
  msgpack_packer pk;

  msgpack_sbuffer_clear (&buf);
  msgpack_packer_init (&pk, &buf, msgpack_sbuffer_write);
  msgpack_pack_array (&pk, count);
  for (uint32_t i = 0; i < count; i++)
    msgpack_pack_uint64 (&pk, values[i]);
  ck_assert (linkmsg_unpack (buf.data, buf.size, &out, NULL));
}

/* Guards against daemons of two versions that refuse each other's messages
   while a deployment is replaced.  */
START_TEST (test_older_daemons_send_no_refusals)
{
  const uint64_t stored[] = { LINKMSG_STORED, 3, 1, 0 };
  msgpack_packer pk;

  unpack_integers (stored, G_N_ELEMENTS (stored));
  ck_assert (out.u.stored.stored);
  ck_assert (!out.u.stored.effective);
  ck_assert_uint_eq (out.u.stored.refused_count, 0);
  linkmsg_clear (&out);

  msgpack_sbuffer_clear (&buf);
  msgpack_packer_init (&pk, &buf, msgpack_sbuffer_write);
  msgpack_pack_array (&pk, 3);
  msgpack_pack_uint64 (&pk, LINKMSG_APPEND);
  msgpack_pack_uint64 (&pk, 4);
  msgpack_pack_array (&pk, 0);
  ck_assert (linkmsg_unpack (buf.data, buf.size, &out, NULL));
  ck_assert (!out.may_refuse);
  linkmsg_clear (&out);
}
END_TEST

/* Guards against a limit for a start that is lost on the way, or set in the
   wrong place of a message that was packed before.  */
START_TEST (test_limit_of_a_start_is_set_later)
{
  static const int64_t limits[] = { 0, 1, INT64_MAX, -5 };
  linkmsg_t msg = order_msg ();

  for (uint32_t i = 0; i < G_N_ELEMENTS (limits); i++)
    {
      msgpack_sbuffer_clear (&buf);
      msg.u.order.send_by_us = 77;
      linkmsg_pack (&buf, &msg);
      linkmsg_set_send_by ((uint8_t *)buf.data, buf.size, limits[i]);
      ck_assert (linkmsg_unpack (buf.data, buf.size, &out, NULL));
      ck_assert_int_eq (out.u.order.send_by_us, limits[i]);
      ck_assert_uint_eq (out.u.order.order.percent, 0);
      ck_assert_str_eq (out.u.order.order.ticket, "t");
      linkmsg_clear (&out);
    }
}
END_TEST

/* Guards against the time of a message that is lost, with and without a
   report.  */
START_TEST (test_times_arrive)
{
  run_status_t run;
  run_end_t end;
  linkmsg_t msg = reply_msg (&run, &end);

  msg.sent_us = 123456789;
  send_through (&msg);
  ck_assert_int_eq (out.sent_us, 123456789);
  linkmsg_clear (&out);
  msg.u.reply.has_report = false;
  send_through (&msg);
  ck_assert_int_eq (out.sent_us, 123456789);
  linkmsg_clear (&out);
  msg = (linkmsg_t){ .kind = LINKMSG_HELLO, .sent_us = 5 };
  msg.u.hello.name = msg.u.hello.data_centre = "x";
  send_through (&msg);
  ck_assert_int_eq (out.sent_us, 5);
  linkmsg_clear (&out);
}
END_TEST

/* Guards against daemons of two versions that refuse each other's messages
   while a deployment is replaced.  */
START_TEST (test_older_daemons_send_no_times)
{
  msgpack_packer pk;

  msgpack_sbuffer_clear (&buf);
  msgpack_packer_init (&pk, &buf, msgpack_sbuffer_write);
  msgpack_pack_array (&pk, 6);
  msgpack_pack_uint64 (&pk, LINKMSG_REPLY);
  msgpack_pack_uint64 (&pk, 4);
  msgpack_pack_uint64 (&pk, REPLY_OK);
  msgpack_pack_int64 (&pk, 9);
  msgpack_pack_uint64 (&pk, 1);
  msgpack_pack_nil (&pk);
  ck_assert (linkmsg_unpack (buf.data, buf.size, &out, NULL));
  ck_assert_int_eq (out.u.reply.reply.clock_ms, 9);
  ck_assert_int_eq (out.sent_us, 0);
  linkmsg_clear (&out);
}
END_TEST

/* Decodes the bytes of MSG with a few of them changed, or cut short.  */
static void
mutate (const linkmsg_t *msg, GRand *rand)
{
  msgpack_sbuffer_clear (&buf);
  linkmsg_pack (&buf, msg);
  for (uint32_t i = 0; i < MUTATIONS; i++)
    {
      g_autofree char *data = g_memdup2 (buf.data, buf.size);
      size_t len = (size_t)g_rand_int_range (rand, 0, (gint32)buf.size + 1);
      g_autoptr (GError) error = NULL;
      linkmsg_t decoded;

      for (uint32_t n = 0; n < 1 + i % 3; n++)
        data[g_rand_int_range (rand, 0, (gint32)buf.size)]
            = (char)g_rand_int_range (rand, 0, 256);
      if (linkmsg_unpack (data, i % 2 ? len : buf.size, &decoded, &error))
        linkmsg_clear (&decoded);
      else
        ck_assert_ptr_nonnull (error);
    }
}

/* Guards against names that fill the memory of a daemon, which keeps them.  */
START_TEST (test_long_names_are_refused)
{
  g_autofree char *longest = g_strnfill (LINKMSG_NAME_MAX, 'n');
  g_autofree char *too_long = g_strnfill (LINKMSG_NAME_MAX + 1, 'n');
  const char *const names[][2]
      = { { too_long, "a" }, { "e1", too_long }, { longest, longest } };

  for (uint32_t i = 0; i < G_N_ELEMENTS (names); i++)
    {
      linkmsg_t msg = { .kind = LINKMSG_HELLO };

      msg.u.hello.name = names[i][0];
      msg.u.hello.data_centre = names[i][1];
      msgpack_sbuffer_clear (&buf);
      linkmsg_pack (&buf, &msg);
      ck_assert_int_eq (linkmsg_unpack (buf.data, buf.size, &out, NULL),
                        i == 2);
      linkmsg_clear (&out);
    }
}
END_TEST

/* Whether an APPEND of COUNT records of LEN bytes is accepted.  */
static bool
is_append_accepted (uint32_t count, size_t len)
{
  static const uint8_t data[32];
  g_autoptr (GPtrArray) records
      = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  linkmsg_t msg = { .kind = LINKMSG_APPEND, .serial = 3 };
  bool accepted;

  for (uint32_t i = 0; i < count; i++)
    g_ptr_array_add (records, g_bytes_new_static (data, len));
  msg.u.append = records;
  msgpack_sbuffer_clear (&buf);
  linkmsg_pack (&buf, &msg);
  accepted = linkmsg_unpack (buf.data, buf.size, &out, NULL);
  linkmsg_clear (&out);
  return accepted;
}

/* Guards against a frame of very many short records, each of which costs the
   owner far more memory than its bytes, and against a limit that refuses the
   longest batch of the shortest records that daemons write.  */
START_TEST (test_records_of_a_frame_are_bounded)
{
  job_rec_t cancel
      = { .kind = JREC_CANCEL, .u.cancel.id = "5c0e7a21d94b36f8" };
  g_autoptr (GBytes) shortest = job_rec_pack (&cancel);
  gsize len = g_bytes_get_size (shortest);

  ck_assert (!is_append_accepted (1, 0));
  ck_assert (!is_append_accepted (LINKMSG_RECORDS_MAX + 1, 1));
  ck_assert (is_append_accepted (LINKMSG_RECORDS_MAX, 1));
  ck_assert (is_append_accepted ((uint32_t)(BATCH_BYTES / len), len));
}
END_TEST

/* Guards against a malformed message that ends the process.  */
START_TEST (test_malformed_messages_are_refused)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (run_seed ("entry/linkmsg"));
  run_status_t run;
  run_end_t end;
  linkmsg_t order = order_msg ();
  linkmsg_t reply = reply_msg (&run, &end);
  linkmsg_refused_t rows[] = { { 0, 1 }, { 2, 3 } };
  linkmsg_t stored = { .kind = LINKMSG_STORED, .serial = 8 };

  stored.u.stored.refused = rows;
  stored.u.stored.refused_count = 2;
  mutate (&stored, rand);
  mutate (&order, rand);
  mutate (&reply, rand);
}
END_TEST

TEST_PROGRAM_WITH (
    "entry/linkmsg", set_up, tear_down, test_orders_arrive_whole,
    test_reports_arrive_whole, test_other_messages_arrive_whole,
    test_refused_records_arrive_whole, test_older_daemons_send_no_refusals,
    test_limit_of_a_start_is_set_later, test_times_arrive,
    test_older_daemons_send_no_times, test_long_names_are_refused,
    test_records_of_a_frame_are_bounded, test_malformed_messages_are_refused)

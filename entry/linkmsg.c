#include "linkmsg.h"
#include "fields.h"
#include "link.h"
#include <string.h>

#define ROWS_MAX 100000
#define RUN_FIELDS 7
#define END_FIELDS 7
#define ORDER_FIELDS 15
/* A 64-bit integer in its long form: one byte says what it is.  */
#define LONG_INTEGER_BYTES 8

/* Packs TEXT with its NUL, so that a reader can use it in place.  */
static void
pack_text (msgpack_packer *pk, const char *text)
{
  if (text)
    pack_bin (pk, text, strlen (text) + 1);
  else
    msgpack_pack_nil (pk);
}

static void
pack_ref (msgpack_packer *pk, const task_ref_t *ref)
{
  msgpack_pack_array (pk, 4);
  pack_text (pk, ref->id);
  msgpack_pack_uint32 (pk, ref->occurrence);
  msgpack_pack_uint32 (pk, ref->step);
  msgpack_pack_uint32 (pk, ref->index);
}

/* The last field has the long form, for linkmsg_set_send_by.  */
static void
pack_order (msgpack_packer *pk, const linkmsg_t *msg)
{
  const order_t *order = &msg->u.order.order;

  msgpack_pack_uint32 (pk, order->kind);
  pack_text (pk, order->worker);
  pack_text (pk, order->address);
  msgpack_pack_uint64 (pk, order->token);
  msgpack_pack_int64 (pk, order->deadline_ms);
  msgpack_pack_uint64 (pk, order->ends_durable);
  msgpack_pack_uint32 (pk, order->wait_ms);
  pack_ref (pk, &order->task);
  msgpack_pack_uint32 (pk, order->attempt);
  pack_text (pk, order->payload);
  pack_text (pk, order->checkpoint);
  pack_text (pk, order->ticket);
  msgpack_pack_uint32 (pk, order->percent);
  msgpack_pack_fix_int64 (pk, msg->u.order.send_by_us);
}

void
linkmsg_set_send_by (uint8_t *data, size_t len, int64_t send_by_us)
{
  int64_t value = GINT64_TO_BE (send_by_us);

  memcpy (data + len - LONG_INTEGER_BYTES, &value, LONG_INTEGER_BYTES);
}

static void
pack_run (msgpack_packer *pk, const run_status_t *run)
{
  msgpack_pack_array (pk, RUN_FIELDS - 2);
  pack_ref (pk, &run->task);
  msgpack_pack_uint32 (pk, run->attempt);
  pack_text (pk, run->checkpoint);
  msgpack_pack_uint32 (pk, run->percent);
  msgpack_pack_uint32 (pk, run->load);
}

static void
pack_end (msgpack_packer *pk, const run_end_t *end)
{
  msgpack_pack_array (pk, END_FIELDS - 2);
  msgpack_pack_uint64 (pk, end->sequence);
  pack_ref (pk, &end->task);
  msgpack_pack_uint32 (pk, end->attempt);
  msgpack_pack_uint32 (pk, end->kind);
  pack_text (pk, end->checkpoint);
}

static void
pack_report (msgpack_packer *pk, const worker_report_t *report)
{
  msgpack_pack_array (pk, 3);
  msgpack_pack_int64 (pk, report->boot_ms);
  msgpack_pack_array (pk, report->runs_count);
  for (uint32_t i = 0; i < report->runs_count; i++)
    pack_run (pk, &report->runs[i]);
  msgpack_pack_array (pk, report->ends_count);
  for (uint32_t i = 0; i < report->ends_count; i++)
    pack_end (pk, &report->ends[i]);
}

static void
pack_refused (msgpack_packer *pk, const linkmsg_t *msg)
{
  msgpack_pack_array (pk, msg->u.stored.refused_count);
  for (uint32_t i = 0; i < msg->u.stored.refused_count; i++)
    {
      msgpack_pack_array (pk, 2);
      msgpack_pack_uint32 (pk, msg->u.stored.refused[i].index);
      msgpack_pack_uint32 (pk, msg->u.stored.refused[i].retry_after_s);
    }
}

void
linkmsg_pack (msgpack_sbuffer *buf, const linkmsg_t *msg)
{
  msgpack_packer pk;

  msgpack_packer_init (&pk, buf, msgpack_sbuffer_write);
  switch (msg->kind)
    {
    case LINKMSG_HELLO:
      msgpack_pack_array (&pk, 6);
      break;
    case LINKMSG_APPEND:
      msgpack_pack_array (&pk, 4);
      break;
    case LINKMSG_STORED:
      msgpack_pack_array (&pk, 6);
      break;
    case LINKMSG_ORDER:
      msgpack_pack_array (&pk, ORDER_FIELDS + 1);
      break;
    case LINKMSG_REPLY:
      msgpack_pack_array (&pk, 7);
      break;
    }
  msgpack_pack_uint32 (&pk, msg->kind);
  msgpack_pack_uint64 (&pk, msg->serial);
  switch (msg->kind)
    {
    case LINKMSG_HELLO:
      pack_text (&pk, msg->u.hello.name);
      pack_text (&pk, msg->u.hello.data_centre);
      msgpack_pack_uint32 (&pk, msg->u.hello.share_percent);
      msgpack_pack_int64 (&pk, msg->sent_us);
      return;
    case LINKMSG_APPEND:
      msgpack_pack_array (&pk, msg->u.append->len);
      for (uint32_t i = 0; i < msg->u.append->len; i++)
        {
          gsize len;
          const void *data
              = g_bytes_get_data (g_ptr_array_index (msg->u.append, i), &len);

          pack_bin (&pk, data, len);
        }
      msgpack_pack_uint32 (&pk, msg->may_refuse);
      return;
    case LINKMSG_STORED:
      msgpack_pack_uint32 (&pk, msg->u.stored.stored);
      msgpack_pack_uint32 (&pk, msg->u.stored.unknown);
      pack_refused (&pk, msg);
      msgpack_pack_uint32 (&pk, msg->u.stored.effective);
      return;
    case LINKMSG_ORDER:
      pack_order (&pk, msg);
      return;
    case LINKMSG_REPLY:
      msgpack_pack_uint32 (&pk, msg->u.reply.reply.kind);
      msgpack_pack_int64 (&pk, msg->u.reply.reply.clock_ms);
      msgpack_pack_uint32 (&pk, msg->u.reply.reply.has_clock);
      if (msg->u.reply.has_report)
        pack_report (&pk, &msg->u.reply.report);
      else
        msgpack_pack_nil (&pk);
      msgpack_pack_int64 (&pk, msg->sent_us);
      return;
    }
}

/* Reads text that was packed with its NUL; NULL for nil.  */
static const char *
read_text_or_nil (fields_t *f, const char *name)
{
  const msgpack_object *object = fields_next (f, name);

  if (!object || object->type == MSGPACK_OBJECT_NIL)
    return NULL;
  if (object->type == MSGPACK_OBJECT_BIN && object->via.bin.size > 0
      && memchr (object->via.bin.ptr, '\0', object->via.bin.size)
             == object->via.bin.ptr + object->via.bin.size - 1)
    return object->via.bin.ptr;
  f->bad = name;
  return NULL;
}

static const char *
read_text (fields_t *f, const char *name)
{
  const char *text = read_text_or_nil (f, name);

  if (!text && !f->bad)
    f->bad = name;
  return text ? text : "";
}

static const char *
read_name (fields_t *f, const char *name)
{
  const char *text = read_text (f, name);

  if (strlen (text) > LINKMSG_NAME_MAX)
    f->bad = name;
  return text;
}

static uint32_t
read_u32 (fields_t *f, const char *name)
{
  return (uint32_t)fields_u64 (f, name, UINT32_MAX);
}

static void
read_ref (fields_t *f, task_ref_t *ref)
{
  const msgpack_object *object = fields_next (f, "task");
  fields_t row;
  const char *id;

  if (!object)
    return;
  row = fields_open (object, "task");
  id = read_text (&row, "id");
  if (strlen (id) < sizeof ref->id)
    memcpy (ref->id, id, strlen (id) + 1);
  else
    row.bad = "id";
  ref->occurrence = read_u32 (&row, "occurrence");
  ref->step = read_u32 (&row, "step");
  ref->index = read_u32 (&row, "index");
  if (row.bad)
    f->bad = row.bad;
}

static void
read_order (fields_t *f, linkmsg_t *msg)
{
  order_t *order = &msg->u.order.order;

  order->kind = (order_kind_t)fields_u64 (f, "order", ORDER_PACE);
  order->worker = read_text (f, "worker");
  order->address = read_text (f, "address");
  order->token = fields_u64 (f, "token", UINT64_MAX);
  order->deadline_ms = fields_i64 (f, "deadline");
  order->ends_durable = fields_u64 (f, "ends", UINT64_MAX);
  order->wait_ms = read_u32 (f, "wait");
  read_ref (f, &order->task);
  order->attempt = read_u32 (f, "attempt");
  order->payload = read_text_or_nil (f, "payload");
  order->checkpoint = read_text_or_nil (f, "checkpoint");
  order->ticket = read_text_or_nil (f, "ticket");
  order->percent = read_u32 (f, "percent");
  if (f->left > 0) /* older daemons don't send it */
    msg->u.order.send_by_us = fields_i64 (f, "send_by");
}

static void
read_sent (fields_t *f, linkmsg_t *msg)
{
  if (f->left > 0) /* older daemons don't send it */
    msg->sent_us = fields_i64 (f, "sent");
}

static void
read_run (fields_t *row, void *to)
{
  run_status_t *run = to;

  read_ref (row, &run->task);
  run->attempt = read_u32 (row, "attempt");
  run->checkpoint = read_text_or_nil (row, "checkpoint");
  run->percent = read_u32 (row, "percent");
  run->load = read_u32 (row, "load");
}

static void
read_end (fields_t *row, void *to)
{
  run_end_t *end = to;

  end->sequence = fields_u64 (row, "sequence", UINT64_MAX);
  read_ref (row, &end->task);
  end->attempt = read_u32 (row, "attempt");
  end->kind = (run_end_kind_t)fields_u64 (row, "end", RUN_ALONE);
  end->checkpoint = read_text_or_nil (row, "checkpoint");
}

/* Reads an array field with READ into *COUNT elements of SIZE bytes, which the
   caller frees.  */
static void *
read_rows (fields_t *f, const char *name, size_t size, uint32_t *count,
           void (*read) (fields_t *row, void *to))
{
  const msgpack_object *object = fields_next (f, name);
  uint8_t *rows;

  *count = 0;
  if (!object)
    return NULL;
  if (object->type != MSGPACK_OBJECT_ARRAY
      || object->via.array.size > ROWS_MAX)
    {
      f->bad = name;
      return NULL;
    }
  rows = g_malloc0_n (object->via.array.size + 1, size);
  for (; *count < object->via.array.size && !f->bad; ++*count)
    {
      fields_t row = fields_open (&object->via.array.ptr[*count], name);

      read (&row, rows + (size_t)*count * size);
      f->bad = row.bad;
    }
  return rows;
}

static void
read_reply (fields_t *f, linkmsg_t *msg)
{
  const msgpack_object *object;
  worker_report_t *report = &msg->u.reply.report;
  fields_t row;

  msg->u.reply.reply.kind
      = (reply_kind_t)fields_u64 (f, "reply", REPLY_NO_ANSWER);
  msg->u.reply.reply.clock_ms = fields_i64 (f, "clock");
  msg->u.reply.reply.has_clock = fields_u64 (f, "has_clock", 1);
  object = fields_next (f, "report");
  if (!object || object->type == MSGPACK_OBJECT_NIL)
    return;
  msg->u.reply.has_report = true;
  row = fields_open (object, "report");
  report->boot_ms = fields_i64 (&row, "boot");
  report->runs = read_rows (&row, "runs", sizeof *report->runs,
                            &report->runs_count, read_run);
  report->ends = read_rows (&row, "ends", sizeof *report->ends,
                            &report->ends_count, read_end);
  if (row.bad)
    f->bad = row.bad;
}

static void
read_refused (fields_t *row, void *to)
{
  linkmsg_refused_t *refused = to;

  refused->index = read_u32 (row, "index");
  refused->retry_after_s = read_u32 (row, "retry_after");
}

static void
read_stored (fields_t *f, linkmsg_t *msg)
{
  msg->u.stored.stored = fields_u64 (f, "stored", 1);
  msg->u.stored.unknown = fields_u64 (f, "unknown", 1);
  if (f->left > 0) /* older daemons don't send it */
    msg->u.stored.refused
        = read_rows (f, "refused", sizeof *msg->u.stored.refused,
                     &msg->u.stored.refused_count, read_refused);
  if (f->left > 0)
    msg->u.stored.effective = fields_u64 (f, "effective", 1);
}

static void
read_append (fields_t *f, linkmsg_t *msg)
{
  const msgpack_object *object = fields_next (f, "records");

  msg->u.append
      = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  if (!object || object->type != MSGPACK_OBJECT_ARRAY
      || object->via.array.size > LINKMSG_RECORDS_MAX)
    {
      f->bad = "records";
      return;
    }
  for (uint32_t i = 0; i < object->via.array.size; i++)
    {
      const msgpack_object *record = &object->via.array.ptr[i];

      if (record->type != MSGPACK_OBJECT_BIN || record->via.bin.size == 0)
        f->bad = "records";
      else
        g_ptr_array_add (msg->u.append, g_bytes_new (record->via.bin.ptr,
                                                     record->via.bin.size));
    }
}

bool
linkmsg_unpack (const void *data, size_t len, linkmsg_t *msg, GError **error)
{
  msgpack_unpacked value;
  fields_t f;
  bool ok = unpack_value (data, len, LINK_FRAME_MAX, "message", &value, error);

  memset (msg, 0, sizeof *msg);
  if (!ok)
    {
      msgpack_unpacked_destroy (&value);
      return false;
    }
  f = fields_open (&value.data, "message");
  msg->kind = (linkmsg_kind_t)fields_u64 (&f, "kind", LINKMSG_REPLY);
  msg->serial = fields_u64 (&f, "serial", UINT64_MAX);
  switch (msg->kind)
    {
    case LINKMSG_HELLO:
      msg->u.hello.name = read_name (&f, "name");
      msg->u.hello.data_centre = read_name (&f, "data_centre");
      msg->u.hello.share_percent = read_u32 (&f, "share");
      read_sent (&f, msg);
      break;
    case LINKMSG_APPEND:
      read_append (&f, msg);
      if (f.left > 0) /* older daemons don't send it */
        msg->may_refuse = fields_u64 (&f, "may_refuse", 1);
      break;
    case LINKMSG_STORED:
      read_stored (&f, msg);
      break;
    case LINKMSG_ORDER:
      read_order (&f, msg);
      break;
    case LINKMSG_REPLY:
      read_reply (&f, msg);
      read_sent (&f, msg);
      break;
    default:
      f.bad = "kind";
      break;
    }
  ok = fields_ok (&f, "message", error);
  msgpack_unpacked_destroy (&value);
  if (!ok)
    linkmsg_clear (msg);
  return ok;
}

void
linkmsg_clear (linkmsg_t *msg)
{
  switch (msg->kind)
    {
    case LINKMSG_APPEND:
      if (msg->u.append)
        g_ptr_array_unref (msg->u.append);
      break;
    case LINKMSG_REPLY:
      g_free (msg->u.reply.report.runs);
      g_free (msg->u.reply.report.ends);
      break;
    case LINKMSG_STORED:
      g_free (msg->u.stored.refused);
      break;
    case LINKMSG_HELLO:
    case LINKMSG_ORDER:
      break;
    }
  memset (msg, 0, sizeof *msg);
}

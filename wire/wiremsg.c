#include "fields.h"
#include <string.h>

const char *
msg_kind_name (msg_kind_t kind)
{
  switch (kind)
    {
    case MSG_HELLO:
      return "hello";
    case MSG_PROOF:
      return "proof";
    case MSG_HEARTBEAT:
      return "beat";
    case MSG_RELAY:
      return "relay";
    case MSG_FETCH:
      return "fetch";
    case MSG_CLAIM:
      return "claim";
    case MSG_CLAIM_REPLY:
      return "claimed";
    case MSG_LOAN_REQUEST:
      return "loan-ask";
    case MSG_LOAN:
      return "loan";
    case MSG_TOTALS:
      return "totals";
    case MSG_UNKNOWN:
      break;
    }
  return "unknown";
}

static void
pack_msg_head (msgpack_packer *pk, msg_kind_t kind, uint32_t fields)
{
  msgpack_pack_array (pk, fields + 1);
  msgpack_pack_uint64 (pk, kind);
}

static void
encode_hello (msgpack_packer *pk, const msg_hello_t *hello)
{
  pack_msg_head (pk, MSG_HELLO, 5);
  msgpack_pack_uint32 (pk, hello->protocol);
  pack_name (pk, hello->name);
  pack_name (pk, hello->data_centre);
  msgpack_pack_uint64 (pk, hello->incarnation);
  pack_bin (pk, hello->nonce, sizeof hello->nonce);
}

static void
encode_heartbeat (msgpack_packer *pk, const msg_heartbeat_t *heartbeat)
{
  pack_msg_head (pk, MSG_HEARTBEAT, 6);
  msgpack_pack_uint64 (pk, heartbeat->config_version);
  msgpack_pack_uint64 (pk, heartbeat->settled_version);
  msgpack_pack_uint64 (pk, heartbeat->offset);
  msgpack_pack_uint64 (pk, heartbeat->log_age_ms);
  msgpack_pack_int64 (pk, heartbeat->sent_us);
  msgpack_pack_int64 (pk, heartbeat->echo_us);
}

static void
encode_relay (msgpack_packer *pk, const msg_relay_t *relay)
{
  pack_msg_head (pk, MSG_RELAY, 3);
  msgpack_pack_uint64 (pk, relay->next);
  if (relay->snapshot)
    msgpack_pack_true (pk);
  else
    msgpack_pack_false (pk);
  msgpack_pack_array (pk, relay->count);
  for (uint32_t i = 0; i < relay->count; i++)
    {
      msgpack_pack_array (pk, 2);
      msgpack_pack_uint64 (pk, relay->records[i].offset);
      pack_bin (pk, relay->records[i].data, relay->records[i].len);
    }
}

static void
encode_loan_request (msgpack_packer *pk, const msg_loan_request_t *request)
{
  pack_msg_head (pk, MSG_LOAN_REQUEST, 4);
  msgpack_pack_uint64 (pk, request->number);
  msgpack_pack_uint32 (pk, request->kind);
  pack_name (pk, request->name);
  msgpack_pack_uint32 (pk, request->count);
}

static void
encode_loan (msgpack_packer *pk, const msg_loan_t *loan)
{
  pack_msg_head (pk, MSG_LOAN, 5);
  msgpack_pack_uint64 (pk, loan->number);
  msgpack_pack_uint32 (pk, loan->kind);
  pack_name (pk, loan->name);
  msgpack_pack_uint32 (pk, loan->count);
  msgpack_pack_int64 (pk, loan->expiry_ms);
}

static void
encode_totals (msgpack_packer *pk, const msg_totals_t *totals)
{
  pack_msg_head (pk, MSG_TOTALS, 1);
  msgpack_pack_array (pk, totals->count);
  for (uint32_t i = 0; i < totals->count; i++)
    {
      msgpack_pack_array (pk, 4);
      msgpack_pack_uint32 (pk, totals->totals[i].kind);
      pack_name (pk, totals->totals[i].name);
      msgpack_pack_uint32 (pk, totals->totals[i].in_use);
      msgpack_pack_uint32 (pk, totals->totals[i].queued);
    }
}

static void
encode_msg (msgpack_packer *pk, const msg_t *msg)
{
  switch (msg->kind)
    {
    case MSG_HELLO:
      encode_hello (pk, &msg->u.hello);
      break;
    case MSG_PROOF:
      pack_msg_head (pk, MSG_PROOF, 1);
      pack_bin (pk, msg->u.proof.tag, sizeof msg->u.proof.tag);
      break;
    case MSG_HEARTBEAT:
      encode_heartbeat (pk, &msg->u.heartbeat);
      break;
    case MSG_RELAY:
      encode_relay (pk, &msg->u.relay);
      break;
    case MSG_FETCH:
      pack_msg_head (pk, MSG_FETCH, 1);
      msgpack_pack_uint64 (pk, msg->u.fetch.offset);
      break;
    case MSG_CLAIM:
      pack_msg_head (pk, MSG_CLAIM, 2);
      msgpack_pack_uint64 (pk, msg->u.claim.number);
      pack_bin (pk, msg->u.claim.id, sizeof msg->u.claim.id);
      break;
    case MSG_CLAIM_REPLY:
      pack_msg_head (pk, MSG_CLAIM_REPLY, 2);
      msgpack_pack_uint64 (pk, msg->u.claim_reply.number);
      msgpack_pack_uint32 (pk, msg->u.claim_reply.verdict);
      break;
    case MSG_LOAN_REQUEST:
      encode_loan_request (pk, &msg->u.loan_request);
      break;
    case MSG_LOAN:
      encode_loan (pk, &msg->u.loan);
      break;
    case MSG_TOTALS:
      encode_totals (pk, &msg->u.totals);
      break;
    case MSG_UNKNOWN:
      pack_msg_head (pk, MSG_UNKNOWN, 0);
      break;
    }
}

GBytes *
wire_encode_msg (const msg_t *msg)
{
  msgpack_sbuffer buf;
  msgpack_packer pk;

  msgpack_sbuffer_init (&buf);
  msgpack_packer_init (&pk, &buf, msgpack_sbuffer_write);
  encode_msg (&pk, msg);
  if (buf.size <= MSG_BYTES_MAX)
    return pack_steal (&buf);
  msgpack_sbuffer_destroy (&buf);
  return NULL;
}

/* Reads a binary field of exactly LEN bytes.  */
static void
decode_bytes (fields_t *f, const char *name, void *to, size_t len)
{
  size_t found;
  const uint8_t *data = fields_bin (f, name, &found);

  if (data && found == len)
    memcpy (to, data, len);
  else if (!f->bad)
    f->bad = name;
}

/* Reads an array of at most MSG_ENTRIES_MAX elements.  unpack_value has
   checked that the input holds that many.  */
static const msgpack_object *
decode_array (fields_t *f, const char *name, uint32_t *count)
{
  const msgpack_object *object = fields_next (f, name);

  *count = 0;
  if (object && object->type == MSGPACK_OBJECT_ARRAY
      && object->via.array.size <= MSG_ENTRIES_MAX)
    {
      *count = object->via.array.size;
      return object->via.array.ptr;
    }
  if (!f->bad)
    f->bad = name;
  return NULL;
}

static void
decode_hello (fields_t *f, msg_hello_t *hello)
{
  hello->protocol = (uint32_t)fields_u64 (f, "protocol", UINT32_MAX);
  fields_name (f, "name", hello->name);
  fields_name (f, "data_centre", hello->data_centre);
  hello->incarnation = fields_u64 (f, "incarnation", UINT64_MAX);
  decode_bytes (f, "nonce", hello->nonce, sizeof hello->nonce);
}

static void
decode_heartbeat (fields_t *f, msg_heartbeat_t *heartbeat)
{
  heartbeat->config_version = fields_u64 (f, "config_version", UINT64_MAX);
  heartbeat->settled_version = fields_u64 (f, "settled_version", UINT64_MAX);
  heartbeat->offset = fields_u64 (f, "offset", UINT64_MAX);
  heartbeat->log_age_ms = fields_u64 (f, "log_age_ms", UINT64_MAX);
  heartbeat->sent_us = fields_i64 (f, "sent_us");
  heartbeat->echo_us = fields_i64 (f, "echo_us");
}

static void
decode_relay (fields_t *f, msg_relay_t *relay)
{
  const msgpack_object *objects;

  relay->next = fields_u64 (f, "next", UINT64_MAX);
  relay->snapshot = fields_bool (f, "snapshot");
  objects = decode_array (f, "records", &relay->count);
  relay->records = g_new0 (msg_record_t, relay->count);
  for (uint32_t i = 0; i < relay->count; i++)
    {
      fields_t entry = fields_open (&objects[i], "record");
      msg_record_t *record = &relay->records[i];

      record->offset = fields_u64 (&entry, "offset", UINT64_MAX);
      record->data = fields_bin (&entry, "data", &record->len);
      if (entry.bad)
        f->bad = entry.bad;
    }
  if (relay->snapshot && relay->count != 1 && !f->bad)
    f->bad = "records";
}

static void
decode_loan_request (fields_t *f, msg_loan_request_t *request)
{
  request->number = fields_u64 (f, "number", UINT64_MAX);
  request->kind = (loan_kind_t)fields_u64 (f, "kind", LOAN_UPSTREAM);
  fields_name (f, "name", request->name);
  request->count = (uint32_t)fields_u64 (f, "count", UINT32_MAX);
}

static void
decode_loan (fields_t *f, msg_loan_t *loan)
{
  loan->number = fields_u64 (f, "number", UINT64_MAX);
  loan->kind = (loan_kind_t)fields_u64 (f, "kind", LOAN_UPSTREAM);
  fields_name (f, "name", loan->name);
  loan->count = (uint32_t)fields_u64 (f, "count", UINT32_MAX);
  loan->expiry_ms = fields_i64 (f, "expiry_ms");
}

static void
decode_totals (fields_t *f, msg_totals_t *totals)
{
  const msgpack_object *objects = decode_array (f, "totals", &totals->count);

  totals->totals = g_new0 (msg_total_t, totals->count);
  for (uint32_t i = 0; i < totals->count; i++)
    {
      fields_t entry = fields_open (&objects[i], "total");
      msg_total_t *total = &totals->totals[i];

      total->kind = (total_kind_t)fields_u64 (&entry, "kind", TOTAL_HOST);
      fields_name (&entry, "name", total->name);
      total->in_use = (uint32_t)fields_u64 (&entry, "in_use", UINT32_MAX);
      total->queued = (uint32_t)fields_u64 (&entry, "queued", UINT32_MAX);
      if (entry.bad)
        f->bad = entry.bad;
    }
}

static msg_kind_t
decode_kind (fields_t *f)
{
  uint64_t kind = fields_u64 (f, "kind", UINT32_MAX);

  return kind >= MSG_HELLO && kind <= MSG_TOTALS ? (msg_kind_t)kind
                                                 : MSG_UNKNOWN;
}

static void
decode_msg (fields_t *f, msg_t *msg)
{
  switch (msg->kind)
    {
    case MSG_HELLO:
      decode_hello (f, &msg->u.hello);
      break;
    case MSG_PROOF:
      decode_bytes (f, "tag", msg->u.proof.tag, sizeof msg->u.proof.tag);
      break;
    case MSG_HEARTBEAT:
      decode_heartbeat (f, &msg->u.heartbeat);
      break;
    case MSG_RELAY:
      decode_relay (f, &msg->u.relay);
      break;
    case MSG_FETCH:
      msg->u.fetch.offset = fields_u64 (f, "offset", UINT64_MAX);
      break;
    case MSG_CLAIM:
      msg->u.claim.number = fields_u64 (f, "number", UINT64_MAX);
      decode_bytes (f, "id", msg->u.claim.id, sizeof msg->u.claim.id);
      break;
    case MSG_CLAIM_REPLY:
      msg->u.claim_reply.number = fields_u64 (f, "number", UINT64_MAX);
      msg->u.claim_reply.verdict
          = (claim_verdict_t)fields_u64 (f, "verdict", CLAIM_REFUSED);
      break;
    case MSG_LOAN_REQUEST:
      decode_loan_request (f, &msg->u.loan_request);
      break;
    case MSG_LOAN:
      decode_loan (f, &msg->u.loan);
      break;
    case MSG_TOTALS:
      decode_totals (f, &msg->u.totals);
      break;
    case MSG_UNKNOWN:
      break;
    }
}

bool
wire_decode_msg (GBytes *bytes, msg_t *msg, GError **error)
{
  msgpack_unpacked unpacked;
  size_t len;
  const void *data = g_bytes_get_data (bytes, &len);
  fields_t f;
  bool ok = false;

  *msg = (msg_t){ .kind = MSG_UNKNOWN };
  if (unpack_value (data, len, MSG_BYTES_MAX, "message", &unpacked, error))
    {
      f = fields_open (&unpacked.data, "message");
      msg->kind = decode_kind (&f);
      decode_msg (&f, msg);
      ok = fields_ok (&f, "message", error);
    }
  msgpack_unpacked_destroy (&unpacked);
  if (ok)
    msg->bytes = g_bytes_ref (bytes);
  else
    msg_clear (msg);
  return ok;
}

void
msg_clear (msg_t *msg)
{
  if (msg->kind == MSG_RELAY)
    g_free (msg->u.relay.records);
  if (msg->kind == MSG_TOTALS)
    g_free (msg->u.totals.totals);
  g_clear_pointer (&msg->bytes, g_bytes_unref);
  msg->kind = MSG_UNKNOWN;
}

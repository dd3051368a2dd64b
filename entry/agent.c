#include "core.h"
#include <string.h>

/* Delay before the owner is connected to again.  */
#define RECONNECT_US 500000
/* How long records are appended directly after the owner failed to do it.  */
#define DIRECT_APPENDS_US 2000000
/* An owner has stored a batch, or said that it can't, after this time.  In a
   slow store a direct append would wait as long, and lengthen the queue there.
 */
#define FORWARD_TIMEOUT_US 3000000

/* How long an owner that said that it can't append is not taken for sound
   because of its link.  */
#define OWNER_FAILING_US 3000000
/* Payloads that are kept for later starts of their jobs.  */
#define PAYLOADS_MAX 2048

/* An order that this daemon carries out for the owner.  */
typedef struct agent_call
{
  core_t *core;
  uint64_t connection;
  uint64_t serial;
  order_kind_t kind;
  uint64_t token;
} agent_call_t;

static void
send_msg (core_t *core, const linkmsg_t *msg)
{
  msgpack_sbuffer buf;

  if (!core->agent.link)
    return;
  msgpack_sbuffer_init (&buf);
  linkmsg_pack (&buf, msg);
  link_send (core->agent.link, buf.data, buf.size);
  msgpack_sbuffer_destroy (&buf);
}

static void
send_reply (core_t *core, uint64_t serial,
            const platform_order_reply_t *answer)
{
  linkmsg_t msg = { .kind = LINKMSG_REPLY,
                    .serial = serial,
                    .sent_us = clock_boot_us () };

  msg.u.reply.reply = answer->reply;
  msg.u.reply.has_report = answer->has_report;
  msg.u.reply.report = answer->report;
  send_msg (core, &msg);
}

static void
on_order_reply (void *ctx, const call_result_t *result)
{
  agent_call_t *call = ctx;
  core_t *core = call->core;
  platform_order_reply_t answer;

  platform_order_reply (call->kind, result->status, result->body, &answer);
  if (result->not_sent)
    answer.reply.kind = REPLY_REFUSED;
  if (answer.reply.kind == REPLY_FENCED)
    core->agent.fenced = MAX (core->agent.fenced, call->token);
  if (call->connection == core->agent.connection)
    send_reply (core, call->serial, &answer);
  platform_order_reply_clear (&answer);
  g_free (call);
}

/* Sets the payload of ORDER, a start, if the owner has left it out because it
   sent it before.  False if it is not known here.  */
static bool
complete_payload (core_t *core, order_t *order)
{
  GHashTable *payloads = core->agent.payloads;
  const job_entry_t *entry;

  if (order->payload)
    {
      if (g_hash_table_size (payloads) >= PAYLOADS_MAX)
        g_hash_table_remove_all (payloads);
      g_hash_table_insert (payloads, g_strdup (order->task.id),
                           g_strdup (order->payload));
      return true;
    }
  order->payload = g_hash_table_lookup (payloads, order->task.id);
  if (order->payload)
    return true;
  entry = jobtab_find (core->tab, order->task.id);
  if (!entry || job_state_is_final (entry->state))
    return false;
  order->payload = entry->desc->payload;
  return true;
}

/* Whether ORDER, a start, was on its way for too long.  Its worker may have
   restarted, and would compare the deadline with a clock that began anew.  */
static bool
is_late (const order_t *order, int64_t send_by_us)
{
  if (order->kind != ORDER_START || clock_boot_us () <= send_by_us)
    return false;
  counter_add (COUNT_LATE_RELAYED_STARTS, 1);
  return true;
}

/* Tells the owner that the order SERIAL was not carried out.  */
static void
refuse_order (core_t *core, uint64_t serial, reply_kind_t kind)
{
  platform_order_reply_t answer = { .reply.kind = kind };

  send_reply (core, serial, &answer);
}

static void
carry_out (core_t *core, linkmsg_t *msg)
{
  order_t *order = &msg->u.order.order;
  int64_t send_by_us
      = msg->u.order.send_by_us ? msg->u.order.send_by_us : INT64_MAX;
  agent_call_t *call;
  platform_req_t req;

  if (order->token <= core->agent.fenced)
    {
      refuse_order (core, msg->serial, REPLY_FENCED);
      return;
    }
  /* The link was slow, which says nothing of the worker.  */
  if (is_late (order, send_by_us))
    {
      refuse_order (core, msg->serial, REPLY_LATE_ORDER);
      return;
    }
  if (order->kind == ORDER_START && !complete_payload (core, order))
    {
      refuse_order (core, msg->serial, REPLY_REFUSED);
      return;
    }
  call = g_new0 (agent_call_t, 1);
  *call = (agent_call_t){ .core = core,
                          .connection = core->agent.connection,
                          .serial = msg->serial,
                          .kind = order->kind,
                          .token = order->token };
  req = platform_order_req (order);
  orders_call_worker (core, order, &req, send_by_us, on_order_reply, call);
}

/* The batch that the owner was to append did not get through.  */
static void
fail_forward (core_t *core, bool maybe_stored, int64_t now_us)
{
  core->agent.append_serial = 0;
  core->agent.direct_until_us = now_us + DIRECT_APPENDS_US;
  appends_retry (core, maybe_stored, now_us);
}

static void
on_stored (core_t *core, const linkmsg_t *msg, int64_t now_us)
{
  if (msg->serial == 0)
    {
      core->agent.owner_failing_until_us = now_us + OWNER_FAILING_US;
      if (core->agent.append_serial != 0)
        fail_forward (core, true, now_us);
      return;
    }
  if (msg->serial != core->agent.append_serial)
    return; /* its time is over, or it was read back */
  core->agent.append_serial = 0;
  /* Indexes rise, and fall by one with each record that is removed.  */
  for (uint32_t i = 0; i < msg->u.stored.refused_count; i++)
    appends_refuse (core, msg->u.stored.refused[i].index - i,
                    msg->u.stored.refused[i].retry_after_s);
  if (msg->u.stored.stored && msg->u.stored.effective)
    appends_accept (core);
  if (msg->u.stored.stored)
    appends_complete (core, now_us);
  else
    fail_forward (core, msg->u.stored.unknown, now_us);
}

static void
on_frame (void *ctx, link_t *link, const uint8_t *data, size_t len)
{
  core_t *core = ctx;
  g_autoptr (GError) error = NULL;
  linkmsg_t msg;

  if (!linkmsg_unpack (data, len, &msg, &error))
    {
      event_log (EV_PEER_REFUSED, "error=\"%s\"", error->message);
      link_close (link, "malformed-message");
      return;
    }
  switch (msg.kind)
    {
    case LINKMSG_ORDER:
      carry_out (core, &msg);
      break;
    case LINKMSG_STORED:
      on_stored (core, &msg, clock_boot_us ());
      break;
    case LINKMSG_HELLO:
    case LINKMSG_APPEND:
    case LINKMSG_REPLY:
      link_close (link, "unexpected-message");
      break;
    }
  linkmsg_clear (&msg);
}

static void
on_closed (void *ctx, link_t *link, const char *why)
{
  core_t *core = ctx;

  if (link != core->agent.link)
    return; /* replaced */
  event_log (EV_PEER_DOWN, "peer=owner address=%s why=%s", core->agent.address,
             why);
  core->agent.link = NULL;
  core->agent.connection++;
  if (strcmp (why, LINK_CLOSED_BY_PEER) == 0)
    owner_note_link_closed (&core->owner);
  if (core->agent.append_serial != 0)
    fail_forward (core, true, clock_boot_us ());
}

/* Ends the link to a daemon that is no longer the owner.  */
static void
disconnect (core_t *core, const char *why)
{
  link_t *link = core->agent.link;

  if (!link)
    return;
  link_close (link, why);
  core->agent.link = NULL;
  core->agent.connection++;
  if (core->agent.append_serial != 0)
    fail_forward (core, true, clock_boot_us ());
}

static void
connect_to_owner (core_t *core, const char *address, int64_t now_us)
{
  link_handler_t handler
      = { .on_frame = on_frame, .on_closed = on_closed, .ctx = core };
  linkmsg_t msg = { .kind = LINKMSG_HELLO, .sent_us = now_us };

  core->agent.retry_us = now_us + RECONNECT_US;
  g_hash_table_remove_all (core->agent.payloads);
  g_free (core->agent.address);
  core->agent.address = g_strdup (address);
  core->agent.link = links_connect (core->links, address, &handler, now_us);
  msg.u.hello.name = core->settings->name;
  msg.u.hello.data_centre = core->settings->data_centre;
  msg.u.hello.share_percent = (uint32_t)(core->settings->cpu_share * 100);
  send_msg (core, &msg);
}

void
agent_run (core_t *core, int64_t read_us, int64_t now_us)
{
  const char *address = holder_address (core->tab->owner.holder);
  bool wanted = address && !core->sched
                && strcmp (core->tab->owner.holder, core->holder) != 0;

  owner_set_link (&core->owner,
                  core->agent.link
                          && core->agent.owner_failing_until_us <= now_us
                      ? link_received_us (core->agent.link)
                      : 0);
  if (core->agent.append_serial != 0 && core->agent.link
      && MIN (read_us, now_us) - link_received_us (core->agent.link)
             >= OWNER_LINK_AGE_US)
    fail_forward (core, true, now_us); /* the owner is perhaps lost */
  if (core->agent.append_serial != 0
      && core->agent.append_deadline_us <= MIN (read_us, now_us))
    fail_forward (core, true, now_us);
  if (core->agent.link
      && (!wanted || strcmp (address, core->agent.address) != 0))
    disconnect (core, "owner-changed");
  if (wanted && !core->agent.link && core->agent.retry_us <= now_us)
    connect_to_owner (core, address, now_us);
}

int64_t
agent_due_us (const core_t *core)
{
  int64_t due_us = core->agent.append_deadline_us;

  if (core->agent.append_serial == 0)
    return INT64_MAX;
  if (core->agent.link)
    due_us = MIN (due_us,
                  link_received_us (core->agent.link) + OWNER_LINK_AGE_US);
  return due_us;
}

void
agent_suspect_owner (core_t *core, int64_t now_us)
{
  if (core->agent.append_serial != 0)
    fail_forward (core, true, now_us);
}

bool
agent_may_append (const core_t *core, int64_t now_us)
{
  return core->agent.link && core->agent.direct_until_us <= now_us
         && now_us - link_received_us (core->agent.link) < OWNER_LINK_AGE_US;
}

bool
agent_append (core_t *core, GPtrArray *records, bool may_refuse,
              int64_t now_us)
{
  linkmsg_t msg = { .kind = LINKMSG_APPEND };

  if (!agent_may_append (core, now_us))
    return false;
  msg.serial = ++core->agent.serial;
  msg.u.append = records;
  msg.may_refuse = may_refuse;
  core->agent.append_serial = msg.serial;
  core->agent.append_deadline_us = now_us + FORWARD_TIMEOUT_US;
  send_msg (core, &msg);
  return true;
}

void
agent_forget_append (core_t *core)
{
  core->agent.append_serial = 0;
}

void
agent_reset (core_t *core)
{
  disconnect (core, "process-paused");
}

void
agent_open (core_t *core)
{
  core->agent.payloads
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
agent_close (core_t *core)
{
  g_hash_table_unref (core->agent.payloads);
  g_free (core->agent.address);
}

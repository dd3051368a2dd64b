#include "core.h"
#include "fields.h"
#include <string.h>

/* Added to the time that the relay itself waits for a worker: both ways of the
   link, and the relay's own work.  */
#define RELAY_SLACK_MS 150
/* Limit on orders in flight through one relay, not counting holds; see
   ORDERS_IN_FLIGHT_MIN.  A relay's load isn't known to the owner.  */
#define RELAY_ORDERS_MAX 48
/* Jobs whose payload a relay is known to have; it keeps twice as many.  */
#define PAYLOADS_MAX 1024

static void
peer_free (gpointer data)
{
  hub_peer_t *peer = data;

  g_queue_free (peer->orders);
  g_hash_table_unref (peer->payloads);
  g_free (peer);
}

hub_peer_t *
hub_find_peer (const core_t *core, uint64_t id)
{
  return g_hash_table_lookup (core->hub_peers, &id);
}

void
hub_send (link_t *link, const linkmsg_t *msg)
{
  msgpack_sbuffer buf;

  msgpack_sbuffer_init (&buf);
  linkmsg_pack (&buf, msg);
  link_send (link, buf.data, buf.size);
  msgpack_sbuffer_destroy (&buf);
}

/* Orders through relays.  */

static void
free_call (core_t *core, order_call_t *call)
{
  if (call->place)
    {
      g_sequence_remove (call->place);
      g_hash_table_remove (core->relayed, &call->serial);
    }
  if (call->frame)
    g_bytes_unref (call->frame);
  g_free (call);
}

static void transmit (hub_peer_t *peer, order_call_t *call, int64_t now_us);

static void
send_queued (core_t *core, hub_peer_t *peer, int64_t now_us)
{
  while (!core->resync_needed && peer->orders_in_flight < RELAY_ORDERS_MAX
         && peer->orders->length > 0)
    {
      order_call_t *call = g_queue_pop_head (peer->orders);

      if (!core->sched
          || !sched_order_is_due (core->sched, &call->order, core_now ()))
        {
          free_call (core, call);
          continue;
        }
      peer->orders_in_flight++;
      transmit (peer, call, now_us);
    }
}

void
hub_resume_orders (core_t *core)
{
  int64_t now_us = clock_boot_us ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, core->hub_peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    send_queued (core, value, now_us);
}

/* Passes the result of CALL to the scheduler and frees it.  */
static void
finish_call (core_t *core, order_call_t *call, worker_reply_t reply,
             const worker_report_t *report, int64_t now_us)
{
  hub_peer_t *peer = hub_find_peer (core, call->peer);
  order_t order = call->order;
  bool sent = call->place != NULL;

  reply.sent_us = call->sent_us;
  if (sent && peer && order.kind != ORDER_HOLD)
    peer->orders_in_flight--;
  free_call (core, call);
  /* The relay may lack the payload.  */
  if (peer && order.kind == ORDER_START && reply.kind != REPLY_OK)
    g_hash_table_remove (peer->payloads, order.task.id);
  if (reply.kind == REPLY_NO_ANSWER || reply.kind == REPLY_REFUSED)
    dispatch_note_unreachable (core->dispatch, order.worker, now_us);
  orders_process_reply (core, &order, &reply, report);
  if (peer && sent)
    send_queued (core, peer, now_us);
}

static gint
compare_deadlines (gconstpointer a, gconstpointer b, gpointer ctx)
{
  const order_call_t *l = a;
  const order_call_t *r = b;

  (void)ctx;
  return l->deadline_us < r->deadline_us ? -1
                                         : l->deadline_us > r->deadline_us;
}

static void
transmit (hub_peer_t *peer, order_call_t *call, int64_t now_us)
{
  core_t *core = call->core;
  g_autoptr (GByteArray) frame
      = g_bytes_unref_to_array (g_steal_pointer (&call->frame));
  int64_t delay_us = MIN ((int64_t)ORDERS_START_DELAY_MAX_MS * 1000,
                          call->order.send_by_us - now_us);

  if (call->order.kind == ORDER_START)
    linkmsg_set_send_by (frame->data, frame->len,
                         relayclock_limit (&peer->clock, now_us, delay_us));
  call->sent_us = now_us;
  call->deadline_us
      = now_us
        + (int64_t)(orders_timeout_ms (&call->order) + RELAY_SLACK_MS) * 1000;
  call->place = g_sequence_insert_sorted (core->relayed_by_deadline, call,
                                          compare_deadlines, NULL);
  g_hash_table_insert (core->relayed, &call->serial, call);
  link_send (peer->link, frame->data, frame->len);
  counter_add (COUNT_RELAYED_ORDERS, 1);
}

/* Whether PEER has to be sent the payload of ORDER's job.  It keeps those that
   it was sent: the tasks of a job mostly start on one worker, and the payload
   is most of an order.  */
static bool
needs_payload (hub_peer_t *peer, const order_t *order)
{
  if (g_hash_table_size (peer->payloads) >= PAYLOADS_MAX)
    g_hash_table_remove_all (peer->payloads);
  return g_hash_table_add (peer->payloads, g_strdup (order->task.id));
}

void
hub_send_order (core_t *core, relay_t *relay, const order_t *order,
                int64_t now_us)
{
  hub_peer_t *peer = relay->link;
  order_call_t *call = g_new0 (order_call_t, 1);
  linkmsg_t msg = { .kind = LINKMSG_ORDER,
                    .serial = ++core->order_serial,
                    .u.order.order = *order };
  msgpack_sbuffer buf;

  if (order->payload && !needs_payload (peer, order))
    msg.u.order.order.payload = NULL;
  call->core = core;
  call->order = *order;
  call->peer = peer->id;
  call->serial = msg.serial;
  msgpack_sbuffer_init (&buf);
  linkmsg_pack (&buf, &msg);
  call->frame = pack_steal (&buf);
  orders_forget_strings (&call->order);
  if (order->kind == ORDER_HOLD)
    transmit (peer, call, now_us);
  else
    {
      g_queue_push_tail (peer->orders, call);
      send_queued (core, peer, now_us);
    }
}

void
hub_expire (core_t *core, int64_t read_us, int64_t now_us)
{
  GSequenceIter *first;

  while (!g_sequence_is_empty (core->relayed_by_deadline))
    {
      order_call_t *call;
      hub_peer_t *peer;

      first = g_sequence_get_begin_iter (core->relayed_by_deadline);
      call = g_sequence_get (first);
      if (call->deadline_us > MIN (read_us, now_us))
        return;
      peer = hub_find_peer (core, call->peer);
      if (peer && peer->relay && peer->relay->suspect_until_us <= now_us)
        {
          event_log (EV_PEER_SUSPECT, "peer=%s why=order-unanswered",
                     peer->relay->name);
          dispatch_note_silence (core->dispatch, peer->relay, now_us);
        }
      finish_call (core, call, (worker_reply_t){ .kind = REPLY_NO_ANSWER },
                   NULL, now_us);
    }
}

int64_t
hub_due_us (const core_t *core)
{
  GSequenceIter *first = g_sequence_get_begin_iter (core->relayed_by_deadline);

  return g_sequence_iter_is_end (first)
             ? INT64_MAX
             : ((const order_call_t *)g_sequence_get (first))->deadline_us;
}

void
hub_clear_orders (core_t *core)
{
  GHashTableIter iter;
  gpointer value;

  while (!g_sequence_is_empty (core->relayed_by_deadline))
    free_call (core, g_sequence_get (g_sequence_get_begin_iter (
                         core->relayed_by_deadline)));
  g_hash_table_iter_init (&iter, core->hub_peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      hub_peer_t *peer = value;
      order_call_t *call;

      while ((call = g_queue_pop_head (peer->orders)))
        free_call (core, call);
      peer->orders_in_flight = 0;
    }
}

void
hub_give_up_records (core_t *core)
{
  linkmsg_t msg = { .kind = LINKMSG_STORED };
  GHashTableIter iter;
  gpointer value;

  msg.u.stored.unknown = true;
  g_hash_table_iter_init (&iter, core->hub_peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    hub_send (((hub_peer_t *)value)->link, &msg);
  forwards_give_up (core);
}

/* Links.  */

static void
greet (core_t *core, hub_peer_t *peer, const linkmsg_t *msg)
{
  const char *name;
  relay_t *old;

  if (peer->relay)
    {
      link_close (peer->link, "second-hello");
      return;
    }
  name = g_intern_string (msg->u.hello.name);
  old = dispatch_find_relay (core->dispatch, name);
  if (old)
    {
      hub_peer_t *old_peer = old->link;

      link_close (old_peer->link, "replaced");
      old_peer->relay = NULL;
      dispatch_remove_relay (core->dispatch, old);
    }
  peer->relay = dispatch_add_relay (core->dispatch, name,
                                    g_intern_string (msg->u.hello.data_centre),
                                    msg->u.hello.share_percent, peer);
  event_log (EV_PEER_UP, "peer=%s data_centre=%s share=%u", name,
             peer->relay->data_centre, peer->relay->share_percent);
}

static void
process_reply (core_t *core, linkmsg_t *msg, int64_t now_us)
{
  order_call_t *call = g_hash_table_lookup (core->relayed, &msg->serial);

  if (call) /* else its time is over */
    finish_call (core, call, msg->u.reply.reply,
                 msg->u.reply.has_report ? &msg->u.reply.report : NULL,
                 now_us);
}

/* The peer of LINK, which is added with its first frame.  */
static hub_peer_t *
get_peer (core_t *core, link_t *link)
{
  hub_peer_t *peer = link_data (link);

  if (peer)
    return peer;
  peer = g_new0 (hub_peer_t, 1);
  peer->id = ++core->peer_serial;
  peer->link = link;
  peer->orders = g_queue_new ();
  peer->payloads
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_hash_table_insert (core->hub_peers, &peer->id, peer);
  link_set_data (link, peer);
  return peer;
}

static void
on_frame (void *ctx, link_t *link, const uint8_t *data, size_t len)
{
  core_t *core = ctx;
  hub_peer_t *peer = get_peer (core, link);
  int64_t now_us = clock_boot_us ();
  g_autoptr (GError) error = NULL;
  linkmsg_t msg;

  if (!linkmsg_unpack (data, len, &msg, &error))
    {
      event_log (EV_PEER_REFUSED, "error=\"%s\"", error->message);
      link_close (link, "malformed-message");
      return;
    }
  if (msg.sent_us != 0)
    relayclock_note (&peer->clock, msg.sent_us, now_us);
  switch (msg.kind)
    {
    case LINKMSG_HELLO:
      greet (core, peer, &msg);
      break;
    case LINKMSG_APPEND:
      if (peer->relay)
        forwards_add (core, peer, &msg, now_us);
      else
        link_close (link, "no-hello");
      break;
    case LINKMSG_REPLY:
      process_reply (core, &msg, now_us);
      break;
    case LINKMSG_STORED:
    case LINKMSG_ORDER:
      link_close (link, "unexpected-message");
      break;
    }
  linkmsg_clear (&msg);
}

/* Ends the orders that went by PEER.  Those that were sent may have been
   carried out.  */
static void
end_orders (core_t *core, hub_peer_t *peer, int64_t now_us)
{
  g_autoptr (GPtrArray) calls = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  order_call_t *call;

  g_hash_table_iter_init (&iter, core->relayed);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((order_call_t *)value)->peer == peer->id)
      g_ptr_array_add (calls, value);
  for (uint32_t i = 0; i < calls->len && core->sched; i++)
    finish_call (core, g_ptr_array_index (calls, i),
                 (worker_reply_t){ .kind = REPLY_NO_ANSWER }, NULL, now_us);
  while ((call = g_queue_pop_head (peer->orders)))
    finish_call (core, call, (worker_reply_t){ .kind = REPLY_REFUSED }, NULL,
                 now_us);
}

static void
on_closed (void *ctx, link_t *link, const char *why)
{
  core_t *core = ctx;
  hub_peer_t *peer = link_data (link);

  if (!peer)
    return;
  event_log (EV_PEER_DOWN, "peer=%s why=%s",
             peer->relay ? peer->relay->name : "-", why);
  if (peer->relay)
    dispatch_remove_relay (core->dispatch, peer->relay);
  peer->relay = NULL;
  g_hash_table_steal (core->hub_peers, &peer->id);
  end_orders (core, peer, clock_boot_us ());
  peer_free (peer);
}

bool
hub_open (core_t *core)
{
  const char *address = core->settings->peer;
  link_handler_t handler
      = { .on_frame = on_frame, .on_closed = on_closed, .ctx = core };

  core->dispatch = dispatch_new (core->settings->cpu_share);
  core->hub_peers
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, peer_free);
  core->forwards = g_hash_table_new (g_direct_hash, g_direct_equal);
  core->relayed = g_hash_table_new (g_int64_hash, g_int64_equal);
  core->relayed_by_deadline = g_sequence_new (NULL);
  core->links = links_open (core->epoll_fd);
  return !address || !address[0]
         || links_listen (core->links, address, &handler);
}

void
hub_close (core_t *core)
{
  hub_clear_orders (core);
  links_close (core->links);
  g_hash_table_unref (core->hub_peers);
  g_hash_table_unref (core->relayed);
  g_hash_table_unref (core->forwards);
  g_sequence_free (core->relayed_by_deadline);
  dispatch_free (core->dispatch);
}

void
hub_update_workers (core_t *core)
{
  g_autoptr (GArray) centres
      = g_array_new (FALSE, FALSE, sizeof (dispatch_centre_t));

  if (core->sched)
    sched_count_workers (core->sched, centres);
  dispatch_set_workers (core->dispatch,
                        (const dispatch_centre_t *)(void *)centres->data,
                        centres->len);
}

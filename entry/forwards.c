#include "core.h"

/* How long records of another daemon may take to be appended.  */
#define FORWARD_TIMEOUT_US 2900000

/* A batch of records of another daemon that is being appended.  */
typedef struct forward
{
  core_t *core;
  uint64_t peer;
  uint64_t serial;
  uint32_t pending; /* records without an outcome */
  append_outcome_t outcome;
  bool effective;  /* so far */
  bool given_up;   /* the peer appends them itself */
  GArray *refused; /* of linkmsg_refused_t */
} forward_t;

/* One record of a batch.  */
typedef struct forward_record
{
  append_req_t append; /* first: the core knows only this */
  forward_t *forward;
  uint32_t index;
} forward_record_t;

static int
compare_refused (const void *a, const void *b)
{
  const linkmsg_refused_t *l = a;
  const linkmsg_refused_t *r = b;

  return l->index < r->index ? -1 : l->index > r->index;
}

static void
finish_forward (forward_t *forward)
{
  const hub_peer_t *peer = hub_find_peer (forward->core, forward->peer);
  linkmsg_t msg = { .kind = LINKMSG_STORED, .serial = forward->serial };

  /* All others are stored if all were refused.  */
  msg.u.stored.stored = forward->outcome == APPEND_STORED
                        || forward->outcome == APPEND_PENDING;
  msg.u.stored.effective = forward->effective;
  msg.u.stored.unknown = forward->outcome == APPEND_UNKNOWN;
  g_array_sort (forward->refused, compare_refused);
  msg.u.stored.refused = (linkmsg_refused_t *)(void *)forward->refused->data;
  msg.u.stored.refused_count = forward->refused->len;
  if (peer && !forward->given_up)
    hub_send (peer->link, &msg);
  g_hash_table_remove (forward->core->forwards, forward);
  g_array_unref (forward->refused);
  g_free (forward);
}

void
forwards_give_up (core_t *core)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, core->forwards);
  while (g_hash_table_iter_next (&iter, &value, NULL))
    ((forward_t *)value)->given_up = true;
}

static void
on_forward_done (append_req_t *append)
{
  forward_record_t *record = (forward_record_t *)append;
  forward_t *forward = record->forward;

  append_outcome_t outcome = (append_outcome_t)atomic_load (&append->outcome);
  linkmsg_refused_t refused
      = { .index = record->index, .retry_after_s = append->retry_after_s };

  if (outcome == APPEND_REFUSED)
    g_array_append_val (forward->refused, refused);
  forward->outcome = outcome_add (forward->outcome, outcome);
  forward->effective &= append->effective || outcome == APPEND_REFUSED;
  g_bytes_unref (append->record);
  g_free (record);
  if (--forward->pending == 0)
    finish_forward (forward);
}

void
forwards_add (core_t *core, const hub_peer_t *peer, const linkmsg_t *msg,
              int64_t now_us)
{
  forward_t *forward = g_new0 (forward_t, 1);
  void (*add) (core_t * to, GBytes * record, append_req_t * request)
      = msg->may_refuse ? admissions_add : admissions_append;

  *forward = (forward_t){ .core = core,
                          .peer = peer->id,
                          .serial = msg->serial,
                          .pending = msg->u.append->len,
                          .effective = true,
                          .refused = g_array_new (
                              FALSE, FALSE, sizeof (linkmsg_refused_t)) };
  g_hash_table_add (core->forwards, forward);
  if (msg->u.append->len == 0)
    {
      forward->outcome = APPEND_STORED;
      finish_forward (forward);
      return;
    }
  for (uint32_t i = 0; i < msg->u.append->len; i++)
    {
      forward_record_t *record = g_new0 (forward_record_t, 1);

      record->forward = forward;
      record->index = i;
      record->append.deadline_us = now_us + FORWARD_TIMEOUT_US;
      record->append.done = on_forward_done;
      record->append.record
          = g_bytes_ref (g_ptr_array_index (msg->u.append, i));
      add (core, g_bytes_ref (record->append.record), &record->append);
    }
}

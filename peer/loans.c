#include "peer.h"
#include <string.h>

/* What is wanted of one resource, and the question under way.  */
typedef struct want
{
  loan_kind_t kind;
  const char *name; /* interned */
  escrow_t *escrow;
  uint32_t count;    /* still wanted */
  GPtrArray *peers;  /* still to be asked; interned */
  const char *asked; /* whom; NULL: nobody */
  uint64_t number;   /* of the question */
  int64_t asked_us;
  int64_t not_before_us;
} want_t;

struct loans
{
  loans_config_t config;
  pthread_mutex_t lock; /* guards the wants */
  GPtrArray *wants;     /* want_t, one for each resource */
  uint64_t last_number;
  GHashTable *escrows; /* lent or borrowed; peer thread */
};

static void
want_free (gpointer data)
{
  want_t *want = data;

  g_ptr_array_free (want->peers, TRUE);
  g_free (want);
}

loans_t *
loans_new (const loans_config_t *config)
{
  loans_t *loans = g_new0 (loans_t, 1);

  loans->config = *config;
  pthread_mutex_init (&loans->lock, NULL);
  loans->wants = g_ptr_array_new_with_free_func (want_free);
  loans->escrows = g_hash_table_new (NULL, NULL);
  return loans;
}

void
loans_free (loans_t *loans)
{
  g_hash_table_destroy (loans->escrows);
  g_ptr_array_free (loans->wants, TRUE);
  pthread_mutex_destroy (&loans->lock);
  g_free (loans);
}

static want_t *
find_want (const loans_t *loans, loan_kind_t kind, const char *name)
{
  for (guint i = 0; i < loans->wants->len; i++)
    {
      want_t *want = g_ptr_array_index (loans->wants, i);

      if (want->kind == kind && strcmp (want->name, name) == 0)
        return want;
    }
  return NULL;
}

static want_t *
add_want (loans_t *loans, loan_kind_t kind, const char *name)
{
  want_t *want = g_new0 (want_t, 1);

  want->kind = kind;
  want->name = g_intern_string (name);
  want->escrow = loans->config.find (loans->config.ctx, kind, name);
  want->peers = g_ptr_array_new ();
  g_ptr_array_add (loans->wants, want);
  return want;
}

/* Asks the next peer that can be reached, if more is wanted.  */
static void
ask_next (loans_t *loans, want_t *want, int64_t now_us)
{
  want->asked = NULL;
  while (want->count > 0 && want->peers->len > 0
         && escrow_can_borrow (want->escrow))
    {
      const char *peer = g_ptr_array_steal_index (want->peers, 0);
      msg_t msg = { .kind = MSG_LOAN_ASK };

      msg.u.loan_ask.number = ++loans->last_number;
      msg.u.loan_ask.kind = want->kind;
      msg.u.loan_ask.count = want->count;
      g_strlcpy (msg.u.loan_ask.name, want->name, REC_NAME_BYTES);
      want->number = msg.u.loan_ask.number;
      want->asked_us = now_us;
      if (!loans->config.send (loans->config.ctx, peer, &msg))
        continue;
      want->asked = peer;
      return;
    }
  want->not_before_us = now_us + LOAN_PAUSE_US;
}

void
loans_want (loans_t *loans, loan_kind_t kind, const char *name, uint32_t count,
            const char *const *peers, uint32_t peers_count, int64_t now_us)
{
  want_t *want;

  pthread_mutex_lock (&loans->lock);
  want = find_want (loans, kind, name);
  if (!want)
    want = add_want (loans, kind, name);
  if (want->escrow && !want->asked && now_us >= want->not_before_us)
    {
      want->count = count;
      g_ptr_array_set_size (want->peers, 0);
      for (uint32_t i = 0; i < peers_count; i++)
        g_ptr_array_add (want->peers, (gpointer)g_intern_string (peers[i]));
      ask_next (loans, want, now_us);
    }
  pthread_mutex_unlock (&loans->lock);
}

/* Lends at most half of what is free, so that two daemons which both run out
   don't pass the same permits to and fro; the last one only if nothing is
   queued here.  */
static void
lend (loans_t *loans, const char *peer, const msg_loan_ask_t *ask,
      int64_t now_us, int64_t now_ms)
{
  const loans_config_t *config = &loans->config;
  escrow_t *escrow = config->find (config->ctx, ask->kind, ask->name);
  msg_t msg = { .kind = MSG_LOAN };
  int64_t half = escrow ? escrow_free_count (escrow) : 0;

  msg.u.loan = (msg_loan_t){ .number = ask->number,
                             .kind = ask->kind,
                             .expiry_ms = now_ms + LOAN_US / 1000 };
  memcpy (msg.u.loan.name, ask->name, sizeof ask->name);
  half = (half + !config->has_queue (config->ctx)) / 2;
  if (half > 0 && config->may_lend (config->ctx))
    {
      g_hash_table_add (loans->escrows, escrow);
      msg.u.loan.count = escrow_lend (escrow, (uint32_t)MIN (half, ask->count),
                                      now_us + LOAN_US);
    }
  if (msg.u.loan.count > 0)
    {
      counter_add (COUNT_LOANS_GIVEN, 1);
      event_log (EV_LOAN_GIVEN, "peer=%s resource=%s count=%u", peer,
                 ask->name, msg.u.loan.count);
    }
  config->send (config->ctx, peer, &msg);
}

/* When LOAN ends by this daemon's clock.  The lender can't have lent before it
   was asked, so the first bound holds whatever the clocks say; the second one
   holds if this host's monotonic clock stood still meanwhile.  */
static int64_t
loan_end_us (const want_t *want, const msg_loan_t *loan, int64_t now_us,
             int64_t now_ms)
{
  int64_t left_ms = CLAMP (loan->expiry_ms - now_ms, 0, LOAN_US / 1000);

  return MIN (want->asked_us + LOAN_US, now_us + left_ms * 1000);
}

static void
borrow (loans_t *loans, const char *peer, const msg_loan_t *loan,
        int64_t now_us, int64_t now_ms)
{
  const loans_config_t *config = &loans->config;
  uint32_t count = 0;
  want_t *want;

  pthread_mutex_lock (&loans->lock);
  want = find_want (loans, loan->kind, loan->name);
  /* One that was not asked for, or came twice, is not used.  */
  if (want && want->asked && want->number == loan->number
      && strcmp (want->asked, peer) == 0)
    {
      int64_t end_us = loan_end_us (want, loan, now_us, now_ms);

      count = MIN (loan->count, want->count);
      if (count > 0 && escrow_borrow (want->escrow, count, end_us))
        want->count -= count;
      else
        count = 0;
      g_hash_table_add (loans->escrows, want->escrow);
      ask_next (loans, want, now_us);
    }
  pthread_mutex_unlock (&loans->lock);
  if (count == 0)
    return;
  counter_add (COUNT_LOANS_TAKEN, 1);
  config->arrived (config->ctx, loan->kind, loan->name);
}

void
loans_take (loans_t *loans, const char *peer, const msg_t *msg, int64_t now_us,
            int64_t now_ms)
{
  if (msg->kind == MSG_LOAN_ASK)
    lend (loans, peer, &msg->u.loan_ask, now_us, now_ms);
  else if (msg->kind == MSG_LOAN)
    borrow (loans, peer, &msg->u.loan, now_us, now_ms);
}

void
loans_tick (loans_t *loans, int64_t now_us)
{
  GHashTableIter iter;
  gpointer escrow;

  g_hash_table_iter_init (&iter, loans->escrows);
  while (g_hash_table_iter_next (&iter, &escrow, NULL))
    escrow_expire (escrow, now_us);
  pthread_mutex_lock (&loans->lock);
  for (guint i = 0; i < loans->wants->len; i++)
    {
      want_t *want = g_ptr_array_index (loans->wants, i);

      if (want->asked && now_us - want->asked_us >= LOAN_ASK_TIMEOUT_US)
        ask_next (loans, want, now_us);
    }
  pthread_mutex_unlock (&loans->lock);
}

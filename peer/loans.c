#include "peer.h"
#include <string.h>

/* The missing permits of one resource, and the request for them that is
   pending.  */
typedef struct borrowing
{
  loan_kind_t kind;
  const char *name; /* interned */
  escrow_t *escrow;
  uint32_t missing;
  GPtrArray *candidates;   /* peers not yet asked; interned */
  const char *lender;      /* peer asked last; NULL: no request is pending */
  uint64_t request_number; /* of the pending request */
  int64_t requested_us;
  int64_t next_request_us; /* no requests before this time */
} borrowing_t;

struct loans
{
  loans_config_t config;
  pthread_mutex_t lock;  /* guards the borrowings and last_number */
  GPtrArray *borrowings; /* borrowing_t, one for each resource */
  uint64_t last_number;
  GHashTable *escrows; /* those with loans in either direction; peer thread */
};

static void
borrowing_free (gpointer data)
{
  borrowing_t *borrowing = data;

  g_ptr_array_free (borrowing->candidates, TRUE);
  g_free (borrowing);
}

loans_t *
loans_new (const loans_config_t *config)
{
  loans_t *loans = g_new0 (loans_t, 1);

  loans->config = *config;
  pthread_mutex_init (&loans->lock, NULL);
  loans->borrowings = g_ptr_array_new_with_free_func (borrowing_free);
  loans->escrows = g_hash_table_new (NULL, NULL);
  return loans;
}

void
loans_free (loans_t *loans)
{
  g_hash_table_destroy (loans->escrows);
  g_ptr_array_free (loans->borrowings, TRUE);
  pthread_mutex_destroy (&loans->lock);
  g_free (loans);
}

static borrowing_t *
find_borrowing (const loans_t *loans, loan_kind_t kind, const char *name)
{
  for (guint i = 0; i < loans->borrowings->len; i++)
    {
      borrowing_t *borrowing = g_ptr_array_index (loans->borrowings, i);

      if (borrowing->kind == kind && strcmp (borrowing->name, name) == 0)
        return borrowing;
    }
  return NULL;
}

static borrowing_t *
add_borrowing (loans_t *loans, loan_kind_t kind, const char *name)
{
  borrowing_t *borrowing = g_new0 (borrowing_t, 1);

  borrowing->kind = kind;
  borrowing->name = g_intern_string (name);
  borrowing->escrow
      = loans->config.find_escrow (loans->config.ctx, kind, name);
  borrowing->candidates = g_ptr_array_new ();
  g_ptr_array_add (loans->borrowings, borrowing);
  return borrowing;
}

/* Sends a request to the next connected candidate if permits are missing.  */
static void
request_next (loans_t *loans, borrowing_t *borrowing, int64_t now_us)
{
  borrowing->lender = NULL;
  while (borrowing->missing > 0 && borrowing->candidates->len > 0
         && escrow_can_borrow (borrowing->escrow))
    {
      const char *peer = g_ptr_array_steal_index (borrowing->candidates, 0);
      msg_t msg = { .kind = MSG_LOAN_REQUEST };

      msg.u.loan_request.number = ++loans->last_number;
      msg.u.loan_request.kind = borrowing->kind;
      msg.u.loan_request.count = borrowing->missing;
      g_strlcpy (msg.u.loan_request.name, borrowing->name, REC_NAME_BYTES);
      borrowing->request_number = msg.u.loan_request.number;
      borrowing->requested_us = now_us;
      if (!loans->config.send (loans->config.ctx, peer, &msg))
        continue;
      borrowing->lender = peer;
      return;
    }
  borrowing->next_request_us = now_us + LOAN_RETRY_DELAY_US;
}

void
loans_request (loans_t *loans, loan_kind_t kind, const char *name,
               uint32_t count, const char *const *peers, uint32_t peers_count,
               int64_t now_us)
{
  borrowing_t *borrowing;

  pthread_mutex_lock (&loans->lock);
  borrowing = find_borrowing (loans, kind, name);
  if (!borrowing)
    borrowing = add_borrowing (loans, kind, name);
  if (borrowing->escrow && !borrowing->lender
      && now_us >= borrowing->next_request_us)
    {
      borrowing->missing = count;
      g_ptr_array_set_size (borrowing->candidates, 0);
      for (uint32_t i = 0; i < peers_count; i++)
        g_ptr_array_add (borrowing->candidates,
                         (gpointer)g_intern_string (peers[i]));
      request_next (loans, borrowing, now_us);
    }
  pthread_mutex_unlock (&loans->lock);
}

/* Answers a request.  Lends at most half of the free permits, so that two
   daemons that both run short don't pass the same permits back and forth, and
   the last one only if no requests are queued here.  */
static void
lend (loans_t *loans, const char *peer, const msg_loan_request_t *request,
      int64_t now_us, int64_t now_ms)
{
  const loans_config_t *config = &loans->config;
  escrow_t *escrow
      = config->find_escrow (config->ctx, request->kind, request->name);
  msg_t msg = { .kind = MSG_LOAN };
  int64_t lendable = escrow ? escrow_free_count (escrow) : 0;

  msg.u.loan = (msg_loan_t){ .number = request->number,
                             .kind = request->kind,
                             .expiry_ms = now_ms + LOAN_US / 1000 };
  memcpy (msg.u.loan.name, request->name, sizeof request->name);
  lendable = (lendable + !config->has_queue (config->ctx)) / 2;
  if (lendable > 0 && config->may_lend (config->ctx))
    {
      g_hash_table_add (loans->escrows, escrow);
      msg.u.loan.count = escrow_lend (
          escrow, (uint32_t)MIN (lendable, request->count), now_us + LOAN_US);
    }
  if (msg.u.loan.count > 0)
    {
      counter_add (COUNT_LOANS_GIVEN, 1);
      event_log (EV_LOAN_GIVEN, "peer=%s resource=%s count=%u", peer,
                 request->name, msg.u.loan.count);
    }
  config->send (config->ctx, peer, &msg);
}

/* The end of LOAN by this host's monotonic clock.  The lender can't have lent
   before it was asked, so the first bound is correct for any clock error; the
   second covers a monotonic clock that stopped in between, as in a suspended
   host.  */
static int64_t
loan_end_us (const borrowing_t *borrowing, const msg_loan_t *loan,
             int64_t now_us, int64_t now_ms)
{
  int64_t left_ms = CLAMP (loan->expiry_ms - now_ms, 0, LOAN_US / 1000);

  return MIN (borrowing->requested_us + LOAN_US, now_us + left_ms * 1000);
}

static void
borrow (loans_t *loans, const char *peer, const msg_loan_t *loan,
        int64_t now_us, int64_t now_ms)
{
  const loans_config_t *config = &loans->config;
  uint32_t count = 0;
  borrowing_t *borrowing;

  pthread_mutex_lock (&loans->lock);
  borrowing = find_borrowing (loans, loan->kind, loan->name);
  /* Discards loans that were not requested, and duplicates.  */
  if (borrowing && borrowing->lender
      && borrowing->request_number == loan->number
      && strcmp (borrowing->lender, peer) == 0)
    {
      int64_t end_us = loan_end_us (borrowing, loan, now_us, now_ms);

      count = MIN (loan->count, borrowing->missing);
      if (count > 0 && escrow_borrow (borrowing->escrow, count, end_us))
        borrowing->missing -= count;
      else
        count = 0;
      g_hash_table_add (loans->escrows, borrowing->escrow);
      request_next (loans, borrowing, now_us);
    }
  pthread_mutex_unlock (&loans->lock);
  if (count == 0)
    return;
  counter_add (COUNT_LOANS_TAKEN, 1);
  config->on_borrowed (config->ctx, loan->kind, loan->name);
}

void
loans_receive (loans_t *loans, const char *peer, const msg_t *msg,
               int64_t now_us, int64_t now_ms)
{
  if (msg->kind == MSG_LOAN_REQUEST)
    lend (loans, peer, &msg->u.loan_request, now_us, now_ms);
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
  for (guint i = 0; i < loans->borrowings->len; i++)
    {
      borrowing_t *borrowing = g_ptr_array_index (loans->borrowings, i);

      if (borrowing->lender
          && now_us - borrowing->requested_us >= LOAN_REQUEST_TIMEOUT_US)
        request_next (loans, borrowing, now_us);
    }
  pthread_mutex_unlock (&loans->lock);
}

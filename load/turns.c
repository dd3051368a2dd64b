#include "turns.h"

/* Work of the refused jobs of one workspace in a pool.  */
typedef struct account
{
  const char *pool;
  const char *workspace;
  uint32_t weight;
  double work_ms;
  uint32_t turns;
} account_t;

typedef struct turn
{
  uint64_t id;
  account_t *account;
  double work_ms;
  int64_t due_us;
  bool due;             /* in DUE, else in WAITING */
  GSequenceIter *place; /* in that list */
} turn_t;

struct admission_turns
{
  GHashTable *turns;    /* id -> turn_t */
  GHashTable *accounts; /* account_t, as its own key */
  GHashTable *reserved; /* pool -> double, work_ms of DUE; never removed, as
                           there are few pools */
  GSequence *waiting;   /* turn_t by due_us */
  GSequence *due;       /* the same */
};

static guint
account_hash (gconstpointer data)
{
  const account_t *account = data;

  return g_direct_hash (account->pool)
         ^ (g_direct_hash (account->workspace) << 1);
}

static gboolean
account_equal (gconstpointer a, gconstpointer b)
{
  const account_t *l = a;
  const account_t *r = b;

  return l->pool == r->pool && l->workspace == r->workspace;
}

admission_turns_t *
admission_turns_new (void)
{
  admission_turns_t *turns = g_new0 (admission_turns_t, 1);

  turns->turns
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  turns->accounts
      = g_hash_table_new_full (account_hash, account_equal, g_free, NULL);
  turns->reserved
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  turns->waiting = g_sequence_new (NULL);
  turns->due = g_sequence_new (NULL);
  return turns;
}

void
admission_turns_free (admission_turns_t *turns)
{
  if (!turns)
    return;
  g_sequence_free (turns->waiting);
  g_sequence_free (turns->due);
  g_hash_table_unref (turns->turns);
  g_hash_table_unref (turns->accounts);
  g_hash_table_unref (turns->reserved);
  g_free (turns);
}

uint32_t
admission_turns_count (const admission_turns_t *turns)
{
  return g_hash_table_size (turns->turns);
}

static void
add_reserved (admission_turns_t *turns, const char *pool, double work_ms)
{
  double *sum = g_hash_table_lookup (turns->reserved, pool);

  if (!sum)
    {
      sum = g_new0 (double, 1);
      g_hash_table_insert (turns->reserved, (gpointer)pool, sum);
    }
  *sum = MAX (*sum + work_ms, 0);
}

static gint
compare_due (gconstpointer a, gconstpointer b, gpointer ctx)
{
  const turn_t *l = a;
  const turn_t *r = b;

  (void)ctx;
  return l->due_us < r->due_us ? -1 : l->due_us > r->due_us;
}

static void
drop (admission_turns_t *turns, turn_t *turn)
{
  account_t *account = turn->account;

  g_sequence_remove (turn->place);
  if (turn->due)
    add_reserved (turns, account->pool, -turn->work_ms);
  account->work_ms -= turn->work_ms;
  if (--account->turns == 0)
    g_hash_table_remove (turns->accounts, account);
  g_hash_table_remove (turns->turns, &turn->id);
}

/* Notes the turns that have come, and drops those that were not taken.  */
static void
advance (admission_turns_t *turns, int64_t now_us)
{
  GSequenceIter *first;

  while (!g_sequence_is_empty (turns->waiting))
    {
      turn_t *turn;

      first = g_sequence_get_begin_iter (turns->waiting);
      turn = g_sequence_get (first);
      if (turn->due_us > now_us)
        break;
      g_sequence_remove (first);
      turn->due = true;
      turn->place
          = g_sequence_insert_sorted (turns->due, turn, compare_due, NULL);
      add_reserved (turns, turn->account->pool, turn->work_ms);
    }
  while (!g_sequence_is_empty (turns->due))
    {
      turn_t *turn = g_sequence_get (g_sequence_get_begin_iter (turns->due));

      if (turn->due_us + (int64_t)ADMISSION_TURN_GRACE_MS * 1000 > now_us)
        break;
      drop (turns, turn);
    }
}

turn_state_t
admission_turns_find (admission_turns_t *turns, uint64_t id, int64_t now_us,
                      uint32_t *left_s)
{
  const turn_t *turn;

  advance (turns, now_us);
  turn = g_hash_table_lookup (turns->turns, &id);
  if (!turn)
    return TURN_NONE;
  if (turn->due)
    return TURN_DUE;
  *left_s = (uint32_t)((turn->due_us - now_us + 999999) / 1000000);
  return TURN_WAITING;
}

turn_state_t
admission_turns_peek (const admission_turns_t *turns, uint64_t id,
                      int64_t now_us, uint32_t *left_s)
{
  const turn_t *turn = g_hash_table_lookup (turns->turns, &id);

  if (!turn
      || turn->due_us + (int64_t)ADMISSION_TURN_GRACE_MS * 1000 <= now_us)
    return TURN_NONE;
  if (turn->due_us <= now_us)
    return TURN_DUE;
  *left_s = (uint32_t)((turn->due_us - now_us + 999999) / 1000000);
  return TURN_WAITING;
}

static account_t *
get_account (admission_turns_t *turns, const turn_request_t *request)
{
  account_t probe = { .pool = request->pool, .workspace = request->workspace };
  account_t *account = g_hash_table_lookup (turns->accounts, &probe);

  if (!account)
    {
      account = g_new0 (account_t, 1);
      *account = probe;
      g_hash_table_add (turns->accounts, account);
    }
  account->weight = MAX (request->weight, 1);
  return account;
}

/* Work that precedes a job of ACCOUNT, whose own earlier work is all ahead of
   it; that of other workspaces is as far as their weights give them turns
   before it.  */
static double
work_ahead_ms (const admission_turns_t *turns, const account_t *account,
               double work_ms)
{
  double own_ms = account->work_ms + work_ms;
  double ahead_ms = account->work_ms;
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, turns->accounts);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      const account_t *other = key;

      if (other != account && other->pool == account->pool)
        ahead_ms
            += MIN (other->work_ms, own_ms * other->weight / account->weight);
    }
  return ahead_ms;
}

bool
admission_turns_add (admission_turns_t *turns, const turn_request_t *request,
                     admission_t *refusal, int64_t now_us)
{
  uint32_t *retry_after_s = &refusal->u.refuse.retry_after_s;
  /* Beyond the longest Retry-After nothing is told apart.  */
  double work_ms = MIN (request->work_ms, ADMISSION_RETRY_MAX_S * 1000.0);
  account_t *account;
  double wait_s;
  turn_t *turn;

  advance (turns, now_us);
  admission_turns_remove (turns, request->id);
  if (g_hash_table_size (turns->turns) >= ADMISSION_TURNS_MAX)
    return false;
  account = get_account (turns, request);
  wait_s = *retry_after_s + work_ahead_ms (turns, account, work_ms) / 1000;
  *retry_after_s = (uint32_t)CLAMP (wait_s, 1, ADMISSION_RETRY_MAX_S);
  turn = g_new0 (turn_t, 1);
  *turn = (turn_t){ .id = request->id,
                    .account = account,
                    .work_ms = work_ms,
                    .due_us = now_us + (int64_t)*retry_after_s * 1000000 };
  turn->place
      = g_sequence_insert_sorted (turns->waiting, turn, compare_due, NULL);
  account->work_ms += work_ms;
  account->turns++;
  g_hash_table_insert (turns->turns, &turn->id, turn);
  return true;
}

void
admission_turns_remove (admission_turns_t *turns, uint64_t id)
{
  turn_t *turn = g_hash_table_lookup (turns->turns, &id);

  if (turn)
    drop (turns, turn);
}

double
admission_turns_reserved_ms (admission_turns_t *turns, const char *pool,
                             int64_t now_us)
{
  const double *sum;

  advance (turns, now_us);
  sum = g_hash_table_lookup (turns->reserved, pool);
  return sum ? *sum : 0;
}

double
admission_turns_peek_reserved_ms (const admission_turns_t *turns,
                                  const char *pool)
{
  const double *sum = g_hash_table_lookup (turns->reserved, pool);

  return sum ? *sum : 0;
}

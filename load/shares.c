#include "shares.h"
#include "base.h"
#include "meter.h"

#define MILLI 1000

typedef struct shares_pool
{
  const char *name;
  meter_t capacity;
  int64_t since_us;    /* its capacity is known */
  GPtrArray *accounts; /* shares_account_t */
  int64_t planned_us;  /* last plan; what follows is as of that */
  uint64_t weights;
  uint32_t workspaces;
  uint32_t lowest_step; /* of those that wait; UINT32_MAX: none */
} shares_pool_t;

struct shares_account
{
  shares_pool_t *pool;
  const char *workspace;
  meter_t used;
  uint32_t weight;
  uint32_t runs;
  int64_t planned_us;       /* a stage waited in the plan of that time */
  uint32_t waiting;         /* stages in that plan */
  int64_t waiting_since_us; /* the longest of these */
  double use;               /* largest part of the pool, in the window */
  uint32_t step;
  bool yields;
  int64_t yielded_us; /* last plan in which it had to */
  GList *place;       /* in by_age */
};

struct shares
{
  GHashTable *accounts; /* shares_account_t, as its own key */
  GHashTable *pools;    /* name -> shares_pool_t */
  GQueue *by_age;       /* all accounts; latest use first */
  shares_pool_t *pool;  /* of the present plan */
  int64_t started_us;   /* first call; 0: none yet */
};

static guint
account_hash (gconstpointer data)
{
  const shares_account_t *account = data;

  return g_direct_hash (account->pool) * 31
         + g_direct_hash (account->workspace);
}

static gboolean
account_equal (gconstpointer a, gconstpointer b)
{
  const shares_account_t *l = a;
  const shares_account_t *r = b;

  return l->pool == r->pool && l->workspace == r->workspace;
}

static void
pool_free (gpointer data)
{
  shares_pool_t *pool = data;

  g_ptr_array_unref (pool->accounts);
  g_free (pool);
}

shares_t *
shares_new (void)
{
  shares_t *shares = g_new0 (shares_t, 1);

  shares->accounts
      = g_hash_table_new_full (account_hash, account_equal, g_free, NULL);
  shares->pools
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, pool_free);
  shares->by_age = g_queue_new ();
  return shares;
}

void
shares_free (shares_t *shares)
{
  if (!shares)
    return;
  g_queue_free (shares->by_age);
  g_hash_table_unref (shares->accounts);
  g_hash_table_unref (shares->pools);
  g_free (shares);
}

uint32_t
shares_count (const shares_t *shares)
{
  return g_hash_table_size (shares->accounts);
}

static shares_pool_t *
pool_of (shares_t *shares, const char *name)
{
  shares_pool_t *pool = g_hash_table_lookup (shares->pools, name);

  if (pool)
    return pool;
  pool = g_new0 (shares_pool_t, 1);
  pool->name = name;
  pool->accounts = g_ptr_array_new ();
  g_hash_table_insert (shares->pools, (gpointer)name, pool);
  return pool;
}

static void
remove_account (shares_t *shares, shares_account_t *account)
{
  g_ptr_array_remove_fast (account->pool->accounts, account);
  g_queue_delete_link (shares->by_age, account->place);
  g_hash_table_remove (shares->accounts, account);
}

static void
touch (shares_t *shares, shares_account_t *account)
{
  g_queue_unlink (shares->by_age, account->place);
  g_queue_push_head_link (shares->by_age, account->place);
}

/* Whether ACCOUNT waits in the last plan of its pool.  */
static bool
is_waiting (const shares_account_t *account)
{
  return account->waiting > 0
         && account->planned_us == account->pool->planned_us;
}

/* Drops the account that was used least recently and is not in use.  */
static bool
drop_oldest (shares_t *shares)
{
  for (GList *at = shares->by_age->tail; at; at = at->prev)
    {
      shares_account_t *account = at->data;

      if (account->runs > 0 || is_waiting (account))
        continue;
      remove_account (shares, account);
      return true;
    }
  return false;
}

/* The account of WORKSPACE in POOL, which is added if new and becomes the
   latest one; NULL if there is no place for it.  */
static shares_account_t *
open_account (shares_t *shares, shares_pool_t *pool, const char *workspace,
              uint32_t weight)
{
  shares_account_t probe = { .pool = pool, .workspace = workspace };
  shares_account_t *account = g_hash_table_lookup (shares->accounts, &probe);

  if (account)
    touch (shares, account);
  else
    {
      if (shares_count (shares) >= SHARES_ACCOUNTS_MAX
          && !drop_oldest (shares))
        return NULL;
      account = g_new0 (shares_account_t, 1);
      account->pool = pool;
      account->workspace = workspace;
      g_queue_push_head (shares->by_age, account);
      account->place = shares->by_age->head;
      g_ptr_array_add (pool->accounts, account);
      g_hash_table_add (shares->accounts, account);
    }
  account->weight = MAX (weight, 1);
  return account;
}

static void
note_time (shares_t *shares, int64_t now_us)
{
  if (shares->started_us == 0)
    shares->started_us = now_us;
}

shares_account_t *
shares_begin (shares_t *shares, const char *pool, const char *workspace,
              uint32_t weight, const amounts_t *amounts, int64_t now_us)
{
  shares_account_t *account
      = open_account (shares, pool_of (shares, pool), workspace, weight);

  note_time (shares, now_us);
  if (!account)
    return NULL;
  meter_advance (&account->used, now_us);
  amounts_add (&account->used.now, amounts);
  account->runs++;
  return account;
}

void
shares_end (shares_t *shares, shares_account_t *account,
            const amounts_t *amounts, int64_t now_us)
{
  if (!account)
    return;
  touch (shares, account);
  meter_advance (&account->used, now_us);
  amounts_subtract (&account->used.now, amounts);
  account->runs--;
}

void
shares_open_plan (shares_t *shares, const char *pool,
                  const amounts_t *capacity, int64_t now_us)
{
  shares_pool_t *row = pool_of (shares, pool);

  note_time (shares, now_us);
  meter_advance (&row->capacity, now_us);
  row->capacity.now = *capacity;
  row->planned_us = now_us;
  if (row->since_us == 0)
    row->since_us = now_us;
  shares->pool = row;
}

shares_account_t *
shares_wait (shares_t *shares, const char *workspace, uint32_t weight,
             int64_t since_us, int64_t now_us)
{
  shares_account_t *account
      = open_account (shares, shares->pool, workspace, weight);

  if (!account)
    return NULL;
  if (account->planned_us != now_us)
    {
      account->planned_us = now_us;
      account->waiting = 0;
      account->waiting_since_us = now_us;
    }
  account->waiting++;
  account->waiting_since_us = MIN (account->waiting_since_us, since_us);
  return account;
}

static double
part (double used, double capacity)
{
  return used > 0 ? used / MAX (capacity, 1) : 0;
}

static double
largest_part (const meter_average_t *used, const meter_average_t *capacity)
{
  double cpu = part (used->cpu_milli, capacity->cpu_milli);
  double mem = part (used->mem_mib, capacity->mem_mib);

  return MAX (MAX (cpu, mem), part (used->accels, capacity->accels));
}

static uint32_t
step_of (const shares_account_t *account)
{
  double shares
      = account->use * (double)account->pool->weights / account->weight;

  return (uint32_t)MIN (shares * SHARES_STEPS, UINT32_MAX - 1);
}

/* Measures the use of each account of POOL, and drops those without any.  */
static void
measure_pool (shares_t *shares, shares_pool_t *pool, int64_t now_us)
{
  meter_average_t capacity
      = meter_average (&pool->capacity, pool->since_us, now_us);

  pool->weights = 0;
  for (uint32_t i = pool->accounts->len; i-- > 0;)
    {
      shares_account_t *account = g_ptr_array_index (pool->accounts, i);
      meter_average_t used;

      meter_advance (&account->used, now_us);
      used = meter_average (&account->used, shares->started_us, now_us);
      account->use = largest_part (&used, &capacity);
      if (account->use <= 0 && account->runs == 0 && !account->yields
          && !is_waiting (account))
        remove_account (shares, account);
      else
        pool->weights += account->weight;
    }
  pool->workspaces = pool->accounts->len;
}

static uint32_t
to_milli (double value)
{
  return (uint32_t)MIN (value * MILLI, UINT32_MAX - 1);
}

static shares_use_t
describe (const shares_account_t *account, int64_t now_us)
{
  const shares_pool_t *pool = account->pool;
  meter_average_t capacity = meter_average (&pool->capacity, now_us, now_us);
  meter_average_t used = meter_average (&account->used, now_us, now_us);
  bool waits = is_waiting (account);

  return (shares_use_t){
    .pool = pool->name,
    .workspace = account->workspace,
    .weight = account->weight,
    .weights = pool->weights,
    .workspaces = pool->workspaces,
    .use_milli = to_milli (account->use),
    .now_milli = to_milli (largest_part (&used, &capacity)),
    .share_milli
    = (uint32_t)((uint64_t)account->weight * MILLI / MAX (pool->weights, 1)),
    .step = account->step,
    .lowest_step = pool->lowest_step,
    .waiting = waits ? account->waiting : 0,
    .waited_ms
    = waits ? (uint32_t)((now_us - account->waiting_since_us) / 1000) : 0,
    .yields = account->yields
  };
}

/* Whether ACCOUNT yields; true until it has not had to for a while.  */
static bool
must_yield (shares_account_t *account, int64_t now_us)
{
  if (is_waiting (account) && shares_is_beyond (account)
      && account->step > account->pool->lowest_step
      && now_us - account->waiting_since_us >= SHARES_DELAY_MIN_US)
    account->yielded_us = now_us;
  return account->yielded_us > 0
         && now_us - account->yielded_us < SHARES_YIELD_HOLD_US;
}

void
shares_judge (shares_t *shares, int64_t now_us, shares_visit_t visit,
              void *ctx)
{
  shares_pool_t *pool = shares->pool;

  measure_pool (shares, pool, now_us);
  pool->lowest_step = UINT32_MAX;
  for (uint32_t i = 0; i < pool->accounts->len; i++)
    {
      shares_account_t *account = g_ptr_array_index (pool->accounts, i);

      account->step = step_of (account);
      if (is_waiting (account))
        pool->lowest_step = MIN (pool->lowest_step, account->step);
    }
  for (uint32_t i = 0; i < pool->accounts->len; i++)
    {
      shares_account_t *account = g_ptr_array_index (pool->accounts, i);
      bool yields = must_yield (account, now_us);
      shares_use_t use;

      if (yields == account->yields)
        continue;
      account->yields = yields;
      use = describe (account, now_us);
      visit (&use, ctx);
    }
}

uint32_t
shares_step (const shares_account_t *account)
{
  return account ? account->step : 0;
}

bool
shares_is_beyond (const shares_account_t *account)
{
  return shares_step (account) >= SHARES_STEPS;
}

void
shares_each (const shares_t *shares, int64_t now_us, shares_visit_t visit,
             void *ctx)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, shares->accounts);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      shares_use_t use = describe (key, now_us);

      visit (&use, ctx);
    }
}

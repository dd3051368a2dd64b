#include "fleet.h"
#include <string.h>

typedef struct pool_count
{
  const pool_t *config;
  uint32_t hosts;
  uint32_t out;
} pool_count_t;

/* Few hosts are out of service, so racks are counted in a sparse table that is
   keyed by pool and rack.  */
struct budget
{
  GHashTable *pools; /* name -> pool_count_t */
  GHashTable *racks; /* rack_key_t -> hosts that are out */
};

typedef struct rack_key
{
  const pool_count_t *pool;
  const char *rack;
} rack_key_t;

static guint
rack_key_hash (gconstpointer key)
{
  const rack_key_t *k = key;

  return g_direct_hash (k->pool) ^ g_str_hash (k->rack);
}

static gboolean
rack_key_equal (gconstpointer a, gconstpointer b)
{
  const rack_key_t *left = a;
  const rack_key_t *right = b;

  return left->pool == right->pool && strcmp (left->rack, right->rack) == 0;
}

static uint32_t
rack_out (const budget_t *budget, const pool_count_t *pool, const char *rack)
{
  rack_key_t key = { .pool = pool, .rack = rack };

  return GPOINTER_TO_UINT (g_hash_table_lookup (budget->racks, &key));
}

static void
count_out (budget_t *budget, pool_count_t *pool, const char *rack)
{
  rack_key_t key = { .pool = pool, .rack = rack };
  uint32_t out = rack_out (budget, pool, rack);

  pool->out++;
  g_hash_table_replace (budget->racks, g_memdup2 (&key, sizeof key),
                        GUINT_TO_POINTER (out + 1));
}

budget_t *
budget_new (const state_t *state)
{
  budget_t *budget = g_new0 (budget_t, 1);
  const fleet_t *fleet = state->config ? state->config->fleet : NULL;

  budget->pools
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  budget->racks
      = g_hash_table_new_full (rack_key_hash, rack_key_equal, g_free, NULL);
  for (uint32_t i = 0; fleet && i < fleet->pools_count; i++)
    {
      pool_count_t *pool = g_new0 (pool_count_t, 1);

      pool->config = &fleet->pools[i];
      g_hash_table_insert (budget->pools, fleet->pools[i].name, pool);
    }
  for (uint32_t i = 0; i < state->hosts.count; i++)
    {
      const host_state_t *host = table_at (&state->hosts, i);
      pool_count_t *pool = g_hash_table_lookup (budget->pools, host->pool);

      if (!pool)
        continue;
      pool->hosts++;
      if (host->phase != HOST_IN_SERVICE)
        count_out (budget, pool, host->rack);
    }
  return budget;
}

void
budget_free (budget_t *budget)
{
  if (!budget)
    return;
  g_hash_table_destroy (budget->pools);
  g_hash_table_destroy (budget->racks);
  g_free (budget);
}

uint32_t
budget_left (const budget_t *budget, const char *pool, const char *rack)
{
  const pool_count_t *count = g_hash_table_lookup (budget->pools, pool);
  uint32_t left;
  uint32_t out;

  if (!count || count->out >= count->config->budget_hosts)
    return 0;
  left = count->config->budget_hosts - count->out;
  if (count->config->budget_rack_hosts == 0)
    return left;
  out = rack_out (budget, count, rack);
  if (out >= count->config->budget_rack_hosts)
    return 0;
  return MIN (left, count->config->budget_rack_hosts - out);
}

void
budget_take (budget_t *budget, const char *pool, const char *rack)
{
  pool_count_t *count = g_hash_table_lookup (budget->pools, pool);

  if (count)
    count_out (budget, count, rack);
}

uint32_t
budget_out (const budget_t *budget, const char *pool)
{
  const pool_count_t *count = g_hash_table_lookup (budget->pools, pool);

  return count ? count->out : 0;
}

uint32_t
budget_hosts (const budget_t *budget, const char *pool)
{
  const pool_count_t *count = g_hash_table_lookup (budget->pools, pool);

  return count ? count->hosts : 0;
}

void
budget_take_missing (budget_t *budget, const state_t *state,
                     const watch_t *watch)
{
  for (uint32_t i = 0; i < state->hosts.count; i++)
    {
      const host_state_t *host = table_at (&state->hosts, i);
      const host_watch_t *seen = watch_find (watch, host->name);

      if (host->phase == HOST_IN_SERVICE
          && (!seen || !seen->listed || seen->leaving))
        budget_take (budget, host->pool, host->rack);
    }
}

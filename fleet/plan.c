#include "fleet.h"
#include <string.h>

#define MILLI 1000

/* Demand on a pool over several updates.  */
typedef struct pool_trend
{
  uint32_t need;            /* hosts that the current demand keeps busy */
  int64_t short_since_us;   /* INT64_MAX: not short */
  int64_t surplus_since_us; /* INT64_MAX: no surplus */
} pool_trend_t;

struct plan
{
  GHashTable *trends; /* interned pool name -> pool_trend_t */
};

/* A pool during one call of plan_moves.  */
typedef struct pool_plan
{
  const pool_t *config;
  const char *name; /* interned */
  const pool_trend_t *trend;
  uint32_t have;     /* hosts in service, and those moving here */
  GPtrArray *lent;   /* host_state_t in service whose home is the spare */
  GHashTable *racks; /* interned rack -> hosts of this pool there */
} pool_plan_t;

/* State of one call of plan_moves.  */
typedef struct planning
{
  const plan_input_t *in;
  host_move_t *moves;
  uint32_t count;
  uint32_t max;
  pool_plan_t *pools;
  uint32_t pools_count;
  pool_plan_t *spare;
  GPtrArray *under_way; /* host_state_t draining or drained for a move */
  budget_t *budget;
} planning_t;

plan_t *
plan_new (void)
{
  plan_t *plan = g_new0 (plan_t, 1);

  plan->trends = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  return plan;
}

void
plan_free (plan_t *plan)
{
  if (!plan)
    return;
  g_hash_table_destroy (plan->trends);
  g_free (plan);
}

/* Hosts in service by interned pool name.  */
static GHashTable *
count_in_service (const state_t *state)
{
  GHashTable *counts = g_hash_table_new (NULL, NULL);

  for (uint32_t i = 0; i < state->hosts.count; i++)
    {
      const host_state_t *host = table_at (&state->hosts, i);
      uint32_t hosts
          = GPOINTER_TO_UINT (g_hash_table_lookup (counts, host->pool));

      if (host->phase == HOST_IN_SERVICE)
        g_hash_table_insert (counts, (gpointer)host->pool,
                             GUINT_TO_POINTER (hosts + 1));
    }
  return counts;
}

static void
update_since (int64_t *since_us, bool holds, int64_t now_us)
{
  if (!holds)
    *since_us = INT64_MAX;
  else if (*since_us == INT64_MAX)
    *since_us = now_us;
}

void
plan_update (plan_t *plan, const state_t *state, const pool_demand_t *demands,
             uint32_t count, int64_t now_us)
{
  g_autoptr (GHashTable) in_service = count_in_service (state);

  for (uint32_t i = 0; i < count; i++)
    {
      const char *name = g_intern_string (demands[i].pool);
      pool_trend_t *trend = g_hash_table_lookup (plan->trends, name);
      uint32_t have
          = GPOINTER_TO_UINT (g_hash_table_lookup (in_service, name));

      if (!trend)
        {
          trend = g_new0 (pool_trend_t, 1);
          trend->short_since_us = INT64_MAX;
          trend->surplus_since_us = INT64_MAX;
          g_hash_table_insert (plan->trends, (gpointer)name, trend);
        }
      trend->need = (demands[i].current_milli + MILLI - 1) / MILLI;
      update_since (&trend->short_since_us, have < trend->need, now_us);
      update_since (&trend->surplus_since_us,
                    have > trend->need + PLAN_SURPLUS_MARGIN_HOSTS, now_us);
    }
}

static pool_plan_t *
find_pool (const planning_t *d, const char *name)
{
  for (uint32_t i = 0; i < d->pools_count; i++)
    if (d->pools[i].name == name)
      return &d->pools[i];
  return NULL;
}

static bool
is_movable (const planning_t *d, const host_state_t *host)
{
  const host_watch_t *seen
      = d->in->watch ? watch_find (d->in->watch, host->name) : NULL;

  return host->phase == HOST_IN_SERVICE
         && (!d->in->watch || (seen && seen->listed && !seen->leaving));
}

static void
count_in_rack (pool_plan_t *pool, const char *rack)
{
  uint32_t in_rack
      = GPOINTER_TO_UINT (g_hash_table_lookup (pool->racks, rack));

  g_hash_table_insert (pool->racks, (gpointer)rack,
                       GUINT_TO_POINTER (in_rack + 1));
}

static void
classify_hosts (planning_t *d)
{
  const state_t *state = d->in->state;

  for (uint32_t i = 0; i < state->hosts.count; i++)
    {
      host_state_t *host = table_at (&state->hosts, i);
      pool_plan_t *pool = find_pool (d, host->pool);

      if ((host->phase == HOST_DRAINING || host->phase == HOST_DRAINED)
          && !host->wave)
        g_ptr_array_add (d->under_way, host);
      if (!pool || !is_movable (d, host))
        continue;
      pool->have++;
      count_in_rack (pool, host->rack);
      if (d->spare && host->home_pool == d->spare->name)
        g_ptr_array_add (pool->lent, host);
    }
}

static void
planning_begin (planning_t *d, const plan_t *plan)
{
  const fleet_t *fleet = d->in->state->config->fleet;

  d->pools = g_new0 (pool_plan_t, fleet->pools_count);
  d->pools_count = fleet->pools_count;
  d->under_way = g_ptr_array_new ();
  for (uint32_t i = 0; i < d->pools_count; i++)
    {
      pool_plan_t *pool = &d->pools[i];

      pool->config = &fleet->pools[i];
      pool->name = g_intern_string (pool->config->name);
      pool->trend = g_hash_table_lookup (plan->trends, pool->name);
      pool->lent = g_ptr_array_new ();
      pool->racks = g_hash_table_new (NULL, NULL);
      if (pool->config->spare && !d->spare)
        d->spare = pool;
    }
  classify_hosts (d);
  d->budget = budget_new (d->in->state);
  if (d->in->watch)
    budget_take_missing (d->budget, d->in->state, d->in->watch);
}

static void
planning_end (planning_t *d)
{
  for (uint32_t i = 0; i < d->pools_count; i++)
    {
      g_ptr_array_free (d->pools[i].lent, TRUE);
      g_hash_table_destroy (d->pools[i].racks);
    }
  g_ptr_array_free (d->under_way, TRUE);
  g_free (d->pools);
  budget_free (d->budget);
}

static bool
has_lasted (const planning_t *d, int64_t since_us, int64_t time_us)
{
  return since_us != INT64_MAX && d->in->now_us - since_us >= time_us;
}

static uint32_t
shortage (const planning_t *d, const pool_plan_t *pool)
{
  if (pool == d->spare || !pool->trend || pool->have >= pool->trend->need
      || !has_lasted (d, pool->trend->short_since_us, PLAN_SHORTAGE_DELAY_US))
    return 0;
  return pool->trend->need - pool->have;
}

/* The pool that is short of the largest fraction of its need, or NULL.  */
static pool_plan_t *
shortest_pool (const planning_t *d)
{
  pool_plan_t *shortest = NULL;
  uint64_t worst_fraction = 0;

  for (uint32_t i = 0; i < d->pools_count; i++)
    {
      uint32_t missing = shortage (d, &d->pools[i]);
      uint64_t fraction
          = missing ? (uint64_t)missing * MILLI / d->pools[i].trend->need : 0;

      if (missing == 0 || (shortest && fraction <= worst_fraction))
        continue;
      shortest = &d->pools[i];
      worst_fraction = fraction;
    }
  return shortest;
}

static host_move_t *
add_move (planning_t *d, const host_state_t *host, const char *to)
{
  host_move_t *move;

  if (d->count == d->max)
    return NULL;
  move = &d->moves[d->count++];
  memset (move, 0, sizeof *move);
  move->host = host->name;
  move->from = host->pool;
  move->to = to;
  return move;
}

static void
explain_shortage (host_move_t *move, const pool_plan_t *pool)
{
  g_snprintf (move->reason, sizeof move->reason,
              "pool %s needs %u hosts and has %u", pool->name,
              pool->trend->need, pool->have);
}

/* Continues moves that have begun.  The record of a drained host does not name
   its target, so the pool that is shortest now gets it.  */
static void
move_under_way (planning_t *d)
{
  for (uint32_t i = 0; i < d->under_way->len; i++)
    {
      const host_state_t *host = g_ptr_array_index (d->under_way, i);
      bool lent = d->spare && host->home_pool == d->spare->name;
      pool_plan_t *pool = lent ? shortest_pool (d) : NULL;
      host_move_t *move
          = add_move (d, host, pool ? pool->name : host->home_pool);

      if (!move)
        return;
      move->under_way = true;
      if (pool)
        {
          explain_shortage (move, pool);
          pool->have++;
        }
      else
        g_snprintf (
            move->reason, sizeof move->reason,
            "drained for a move that is no longer needed; its home pool is %s",
            host->home_pool);
    }
}

static bool
budget_allows (planning_t *d, const host_state_t *host)
{
  return budget_left (d->budget, host->pool, host->rack) > 0;
}

static void
move_to_home_pools (planning_t *d)
{
  const state_t *state = d->in->state;

  for (uint32_t i = 0; i < state->hosts.count; i++)
    {
      const host_state_t *host = table_at (&state->hosts, i);
      host_move_t *move;

      if (host->pool == host->home_pool
          || (d->spare && host->home_pool == d->spare->name)
          || !is_movable (d, host) || !budget_allows (d, host))
        continue;
      move = add_move (d, host, host->home_pool);
      if (!move)
        return;
      budget_take (d->budget, host->pool, host->rack);
      g_snprintf (move->reason, sizeof move->reason,
                  "the fleet file assigns it to pool %s", host->home_pool);
    }
}

static uint32_t
host_load (const planning_t *d, const host_state_t *host)
{
  const host_watch_t *seen
      = d->in->watch ? watch_find (d->in->watch, host->name) : NULL;

  return seen ? seen->load : 0;
}

/* Takes the lent host of FROM whose rack has the fewest hosts of TO, and the
   least loaded of these, off FROM and off its budget.  NULL when the budget
   allows none.  */
static const host_state_t *
choose_host (planning_t *d, pool_plan_t *from, const pool_plan_t *to)
{
  const host_state_t *best = NULL;
  uint32_t best_at = 0;
  uint32_t best_in_rack = 0;

  for (uint32_t i = 0; i < from->lent->len; i++)
    {
      const host_state_t *host = g_ptr_array_index (from->lent, i);
      uint32_t in_rack
          = GPOINTER_TO_UINT (g_hash_table_lookup (to->racks, host->rack));

      if (best
          && (in_rack > best_in_rack
              || (in_rack == best_in_rack
                  && host_load (d, host) >= host_load (d, best))))
        continue;
      if (!budget_allows (d, host))
        continue;
      best = host;
      best_at = i;
      best_in_rack = in_rack;
    }
  if (best)
    {
      g_ptr_array_remove_index_fast (from->lent, best_at);
      budget_take (d->budget, best->pool, best->rack);
      from->have--;
    }
  return best;
}

static bool
has_surplus (const planning_t *d, const pool_plan_t *pool, int64_t time_us)
{
  return pool != d->spare && pool->trend && pool->lent->len > 0
         && pool->have > pool->trend->need + PLAN_SURPLUS_MARGIN_HOSTS
         && has_lasted (d, pool->trend->surplus_since_us, time_us);
}

/* The spare pool keeps what its own services need.  */
static bool
spare_may_lend (const planning_t *d)
{
  return !d->spare->trend || d->spare->have > d->spare->trend->need;
}

static const host_state_t *
find_host_for (planning_t *d, const pool_plan_t *to)
{
  const host_state_t *host
      = spare_may_lend (d) ? choose_host (d, d->spare, to) : NULL;

  for (uint32_t i = 0; !host && i < d->pools_count; i++)
    if (has_surplus (d, &d->pools[i], PLAN_REASSIGN_DELAY_US))
      host = choose_host (d, &d->pools[i], to);
  return host;
}

static void
supply_short_pools (planning_t *d)
{
  pool_plan_t *to;

  while (d->spare && d->count < d->max && (to = shortest_pool (d)))
    {
      const host_state_t *host = find_host_for (d, to);
      host_move_t *move;

      if (!host)
        return;
      move = add_move (d, host, to->name);
      explain_shortage (move, to);
      to->have++;
      count_in_rack (to, host->rack);
    }
}

static void
return_surplus (planning_t *d)
{
  for (uint32_t i = 0; d->spare && i < d->pools_count; i++)
    {
      pool_plan_t *pool = &d->pools[i];

      while (d->count < d->max && has_surplus (d, pool, PLAN_RETURN_DELAY_US))
        {
          uint32_t have = pool->have;
          const host_state_t *host = choose_host (d, pool, d->spare);
          host_move_t *move;

          if (!host)
            break;
          move = add_move (d, host, d->spare->name);
          g_snprintf (move->reason, sizeof move->reason,
                      "pool %s needs %u hosts and has had more than that, "
                      "now %u, for %d s",
                      pool->name, pool->trend->need, have,
                      PLAN_RETURN_DELAY_US / 1000000);
        }
    }
}

uint32_t
plan_moves (const plan_t *plan, const plan_input_t *in, host_move_t *moves,
            uint32_t max)
{
  planning_t d = { .in = in, .moves = moves, .max = max };

  if (!in->fresh || !in->state->config
      || (in->watch && watch_has_no_reports (in->watch)))
    return 0;
  planning_begin (&d, plan);
  move_under_way (&d);
  move_to_home_pools (&d);
  supply_short_pools (&d);
  return_surplus (&d);
  planning_end (&d);
  return d.count;
}

bool
plan_move_record (const state_t *state, const host_move_t *move,
                  const char *author, int64_t now_ms, rec_t *rec)
{
  const host_state_t *host = table_find (&state->hosts, move->host);

  if (!host || strcmp (host->pool, move->from) != 0)
    return false;
  if (host->phase == HOST_IN_SERVICE && !move->under_way)
    {
      rec_init (rec, REC_DRAIN, author, now_ms);
      g_strlcpy (rec->u.drain.host, host->name, REC_NAME_BYTES);
      rec->u.drain.host_version = host->version;
      return true;
    }
  if (host->phase != HOST_DRAINED || host->wave)
    return false;
  rec_init (rec, REC_HOST_MOVE, author, now_ms);
  g_strlcpy (rec->u.host_move.host, host->name, REC_NAME_BYTES);
  g_strlcpy (rec->u.host_move.pool, move->to, REC_NAME_BYTES);
  rec->u.host_move.host_version = host->version;
  return true;
}

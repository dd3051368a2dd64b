#include "dispatch.h"
#include <math.h>
#include <string.h>
#include <xxhash.h>

struct dispatch
{
  uint32_t direct_max; /* workers that the owner calls itself */
  GPtrArray *relays;   /* relay_t, the strongest first */
  GArray *centres;     /* dispatch_centre_t */
  GHashTable *detours; /* worker -> int64_t: called directly until then */
};

dispatch_t *
dispatch_new (double cpu_share)
{
  dispatch_t *dispatch = g_new0 (dispatch_t, 1);

  dispatch->direct_max = (uint32_t)(cpu_share * DISPATCH_DIRECT_PER_CORE);
  dispatch->relays = g_ptr_array_new_with_free_func (g_free);
  dispatch->centres = g_array_new (FALSE, FALSE, sizeof (dispatch_centre_t));
  dispatch->detours
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  return dispatch;
}

void
dispatch_free (dispatch_t *dispatch)
{
  if (!dispatch)
    return;
  g_ptr_array_unref (dispatch->relays);
  g_array_unref (dispatch->centres);
  g_hash_table_unref (dispatch->detours);
  g_free (dispatch);
}

static gint
compare_relays (gconstpointer a, gconstpointer b)
{
  const relay_t *l = *(const relay_t *const *)a;
  const relay_t *r = *(const relay_t *const *)b;

  if (l->share_percent != r->share_percent)
    return l->share_percent > r->share_percent ? -1 : 1;
  return strcmp (l->name, r->name);
}

static uint32_t
count_workers (const dispatch_t *dispatch)
{
  uint32_t workers = 0;

  for (uint32_t i = 0; i < dispatch->centres->len; i++)
    workers += g_array_index (dispatch->centres, dispatch_centre_t, i).workers;
  return workers;
}

/* Takes the strongest WANTED relays of DATA_CENTRE into use; NULL: of any data
   centre.  */
static uint32_t
use_relays (dispatch_t *dispatch, const char *data_centre, uint32_t wanted)
{
  uint32_t used = 0;

  for (uint32_t i = 0; i < dispatch->relays->len && used < wanted; i++)
    {
      relay_t *relay = g_ptr_array_index (dispatch->relays, i);

      if (data_centre && relay->data_centre != data_centre)
        continue;
      relay->in_use = true;
      used++;
    }
  return used;
}

/* Decides which relays are in use.  */
static void
choose_relays (dispatch_t *dispatch)
{
  for (uint32_t i = 0; i < dispatch->relays->len; i++)
    ((relay_t *)g_ptr_array_index (dispatch->relays, i))->in_use = false;
  if (count_workers (dispatch) <= dispatch->direct_max)
    return;
  for (uint32_t i = 0; i < dispatch->centres->len; i++)
    {
      const dispatch_centre_t *centre
          = &g_array_index (dispatch->centres, dispatch_centre_t, i);
      uint32_t wanted = (centre->workers + DISPATCH_WORKERS_PER_RELAY - 1)
                        / DISPATCH_WORKERS_PER_RELAY;

      if (use_relays (dispatch, centre->data_centre, wanted) == 0)
        use_relays (dispatch, NULL, wanted);
    }
}

relay_t *
dispatch_find_relay (const dispatch_t *dispatch, const char *name)
{
  for (uint32_t i = 0; i < dispatch->relays->len; i++)
    {
      relay_t *relay = g_ptr_array_index (dispatch->relays, i);

      if (relay->name == name)
        return relay;
    }
  return NULL;
}

relay_t *
dispatch_add_relay (dispatch_t *dispatch, const char *name,
                    const char *data_centre, uint32_t share_percent,
                    void *link)
{
  relay_t *relay = g_new0 (relay_t, 1);

  *relay = (relay_t){ .name = name,
                      .data_centre = data_centre,
                      .share_percent = share_percent,
                      .link = link };
  g_ptr_array_add (dispatch->relays, relay);
  g_ptr_array_sort (dispatch->relays, compare_relays);
  choose_relays (dispatch);
  return relay;
}

void
dispatch_remove_relay (dispatch_t *dispatch, relay_t *relay)
{
  g_ptr_array_remove (dispatch->relays, relay);
  choose_relays (dispatch);
}

void
dispatch_set_workers (dispatch_t *dispatch, const dispatch_centre_t *centres,
                      uint32_t count)
{
  g_array_set_size (dispatch->centres, 0);
  g_array_append_vals (dispatch->centres, centres, count);
  choose_relays (dispatch);
}

void
dispatch_note_silence (dispatch_t *dispatch, relay_t *relay, int64_t now_us)
{
  (void)dispatch;
  relay->suspect_until_us = now_us + DISPATCH_SUSPECT_US;
}

void
dispatch_note_unreachable (dispatch_t *dispatch, const char *worker,
                           int64_t now_us)
{
  int64_t *until_us = g_new (int64_t, 1);

  *until_us = now_us + DISPATCH_DETOUR_US;
  g_hash_table_insert (dispatch->detours, (gpointer)worker, until_us);
}

static bool
has_detour (dispatch_t *dispatch, const char *worker, int64_t now_us)
{
  const int64_t *until_us = g_hash_table_lookup (dispatch->detours, worker);

  if (!until_us)
    return false;
  if (*until_us > now_us)
    return true;
  g_hash_table_remove (dispatch->detours, worker);
  return false;
}

/* Weighted rendezvous hashing: the score of RELAY for WORKER, in proportion to
   the relay's CPU share on average.  */
static double
relay_score (const relay_t *relay, uint64_t worker_hash)
{
  uint64_t hash
      = XXH3_64bits_withSeed (relay->name, strlen (relay->name), worker_hash);
  double unit = ((double)(hash >> 11) + 0.5) / 9007199254740992.0; /* 2^53 */

  return -(double)MAX (relay->share_percent, 1) / log (unit);
}

static relay_t *
best_relay (const dispatch_t *dispatch, const char *data_centre,
            uint64_t worker_hash, int64_t now_us)
{
  relay_t *best = NULL;
  double best_score = -1;

  for (uint32_t i = 0; i < dispatch->relays->len; i++)
    {
      relay_t *relay = g_ptr_array_index (dispatch->relays, i);
      double score;

      if (!relay->in_use || relay->suspect_until_us > now_us
          || (data_centre && relay->data_centre != data_centre))
        continue;
      score = relay_score (relay, worker_hash);
      if (score <= best_score)
        continue;
      best = relay;
      best_score = score;
    }
  return best;
}

route_t
dispatch_route (dispatch_t *dispatch, const char *worker,
                const char *data_centre, int64_t now_us)
{
  uint64_t worker_hash = XXH3_64bits (worker, strlen (worker));
  relay_t *relay = NULL;

  if (!has_detour (dispatch, worker, now_us))
    {
      relay = best_relay (dispatch, data_centre, worker_hash, now_us);
      if (!relay)
        relay = best_relay (dispatch, NULL, worker_hash, now_us);
    }
  return relay ? (route_t){ .kind = ROUTE_RELAY, .u.relay = relay }
               : (route_t){ .kind = ROUTE_DIRECT };
}

uint32_t
dispatch_relays_in_use (const dispatch_t *dispatch)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < dispatch->relays->len; i++)
    count
        += ((const relay_t *)g_ptr_array_index (dispatch->relays, i))->in_use;
  return count;
}

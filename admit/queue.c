#include "expiry.h"

/* Virtual time for 1 us of a slot at share 1.  Large, to keep the rounding
   error of a division by the share small.  */
#define COST_PER_US 65536

/* Virtual time past which all tags are rebased, so that they never
   overflow.  */
#define TAG_REBASE_MIN ((int64_t)1 << 61)

/* Assumed mean run time of a team until one of its requests has ended.  */
#define RUN_INITIAL_US 10000

/* Weight of one run in the moving average of run times: 1/16 (a shift).  */
#define RUN_MEAN_SHIFT 4

/* The end of a request moves its team's tag no further from the virtual time
   than all slots advance it in this time, so that requests of unexpected
   length don't starve any team.  */
#define LEAD_MAX_US 500000

/* A service-rate window is halved when it reaches both of these: enough
   requests for a stable estimate, and short enough to follow a change of
   rate.  */
#define RATE_SERVED_MIN 32
#define RATE_WINDOW_US 1000000

/* A team's own rate is used once this many of its requests were served.  */
#define RATE_KNOWN_MIN 8

/* Requests served in a window that ends now; rate_record halves it.  */
typedef struct rate
{
  int64_t since_us;
  uint32_t served;
} rate_t;

struct queue_team
{
  const char *name;
  uint32_t share;
  uint32_t count;
  int64_t tag;          /* virtual time at which its next request starts; may
                           be too low while requests run: see update_tag */
  int64_t base_tag;     /* part of tag due to requests that have ended */
  int64_t start_sum_us; /* sum of the start times of running requests */
  uint32_t running;
  int64_t mean_run_us;
  queue_entry_t entries;
  rate_t rate; /* valid while the team has entries */
};

struct fair_queue
{
  uint32_t max_per_team;
  atomic_uint count;
  int64_t virtual_time; /* start tag of the last request served */
  int64_t mean_run_us;  /* over all teams */
  uint32_t running;
  uint64_t active_share; /* sum of the shares of active teams */
  GHashTable *teams;     /* name to queue_team_t */
  GPtrArray *active;     /* teams with entries, by start tag */
  GPtrArray *expiring;   /* entries that have not expired; see expiry.h */
  queue_entry_t expired; /* list of expired entries not yet removed */
  rate_t rate;           /* valid while the queue has entries */
};

static void
list_init (queue_entry_t *head)
{
  head->next = head;
  head->prev = head;
}

static void
list_append (queue_entry_t *head, queue_entry_t *entry)
{
  entry->next = head;
  entry->prev = head->prev;
  head->prev->next = entry;
  head->prev = entry;
}

static void
list_unlink (queue_entry_t *entry)
{
  entry->prev->next = entry->next;
  entry->next->prev = entry->prev;
  entry->next = NULL;
  entry->prev = NULL;
}

static void
rate_reset (rate_t *rate, int64_t now_us)
{
  rate->since_us = now_us;
  rate->served = 0;
}

static void
rate_record (rate_t *rate, int64_t now_us)
{
  int64_t elapsed_us = now_us - rate->since_us;

  rate->served++;
  if (rate->served < RATE_SERVED_MIN || elapsed_us < RATE_WINDOW_US)
    return;
  rate->served /= 2;
  rate->since_us = now_us - elapsed_us / 2;
}

/* Time to serve COUNT requests at RATE.  */
static double
rate_wait_us (const rate_t *rate, double count, int64_t now_us)
{
  return count * (double)(now_us - rate->since_us) / (rate->served + 1.0);
}

static queue_team_t *
team_at (const fair_queue_t *queue, uint32_t index)
{
  return queue->active->pdata[index];
}

/* Inserts TEAM behind teams with an equal tag, so that these alternate.  */
static void
insert_team (fair_queue_t *queue, queue_team_t *team)
{
  uint32_t low = 0;
  uint32_t high = queue->active->len;

  while (low < high)
    {
      uint32_t mid = low + (high - low) / 2;

      if (team_at (queue, mid)->tag <= team->tag)
        low = mid + 1;
      else
        high = mid;
    }
  g_ptr_array_insert (queue->active, (gint)low, team);
}

/* Virtual time that TEAM is charged for RUN_US of a slot.  */
static int64_t
virtual_cost (const queue_team_t *team, int64_t run_us)
{
  return run_us * COST_PER_US / team->share;
}

/* Updates TEAM's tag to NOW_US: the slot time used so far, plus half a mean
   run for each running request, because on average these are half done.  The
   tag only rises with time.  */
static void
update_tag (queue_team_t *team, int64_t now_us)
{
  int64_t used_us = team->running * now_us - team->start_sum_us;

  team->tag
      = team->base_tag
        + virtual_cost (team, used_us + team->running * team->mean_run_us / 2);
}

/* Raises TEAM's tag to TAG if it is lower.  */
static void
raise_tag (queue_team_t *team, int64_t tag)
{
  if (team->tag >= tag)
    return;
  team->base_tag += tag - team->tag;
  team->tag = tag;
}

/* Subtracts the virtual time from all tags.  Tags below it become zero; they
   count as equal to it anyway.  */
static void
rebase_tags (fair_queue_t *queue)
{
  int64_t base = queue->virtual_time;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, queue->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      queue_team_t *team = value;

      team->base_tag -= base;
      team->tag -= base;
      raise_tag (team, 0);
    }
  queue->virtual_time = 0;
}

/* Accounts for a request of TEAM that starts now.  */
static void
start_request (fair_queue_t *queue, queue_team_t *team, int64_t now_us)
{
  team->running++;
  team->start_sum_us += now_us;
  queue->running++;
  update_tag (team, now_us);
}

/* Makes TEAM active.  Its tag is at least the current virtual time, because
   idle time gives no credit; it is later if the team was served in
   advance.  */
static void
activate (fair_queue_t *queue, queue_team_t *team, int64_t now_us)
{
  update_tag (team, now_us);
  raise_tag (team, queue->virtual_time);
  insert_team (queue, team);
  queue->active_share += team->share;
  rate_reset (&team->rate, now_us);
  if (queue->active->len == 1)
    rate_reset (&queue->rate, now_us);
}

static void
deactivate (fair_queue_t *queue, queue_team_t *team)
{
  g_ptr_array_remove (queue->active, team);
  queue->active_share -= team->share;
}

/* Removes ENTRY from its team's queue.  */
static void
detach (fair_queue_t *queue, queue_entry_t *entry)
{
  queue_team_t *team = entry->team;

  list_unlink (entry);
  expiry_remove (queue->expiring, entry);
  if (--team->count == 0)
    deactivate (queue, team);
}

/* Moves expired entries to their own list, so that they neither fill a queue
   nor are served.  */
static void
collect_expired (fair_queue_t *queue, int64_t now_us)
{
  queue_entry_t *first;

  while ((first = expiry_first (queue->expiring))
         && first->expires_us < now_us)
    {
      detach (queue, first);
      list_append (&queue->expired, first);
    }
}

fair_queue_t *
queue_new (uint32_t max_per_team)
{
  fair_queue_t *queue = g_new0 (fair_queue_t, 1);

  queue->max_per_team = max_per_team;
  queue->teams = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  queue->active = g_ptr_array_new ();
  queue->expiring = g_ptr_array_new ();
  list_init (&queue->expired);
  return queue;
}

void
queue_free (fair_queue_t *queue)
{
  if (!queue)
    return;
  g_hash_table_destroy (queue->teams);
  g_ptr_array_free (queue->active, TRUE);
  g_ptr_array_free (queue->expiring, TRUE);
  g_free (queue);
}

void
queue_set_max (fair_queue_t *queue, uint32_t max_per_team)
{
  queue->max_per_team = max_per_team;
}

queue_team_t *
queue_team (fair_queue_t *queue, const char *name, uint32_t share)
{
  queue_team_t *team = g_hash_table_lookup (queue->teams, name);

  if (!team)
    {
      team = g_new0 (queue_team_t, 1);
      team->name = g_intern_string (name);
      team->mean_run_us = RUN_INITIAL_US;
      list_init (&team->entries);
      g_hash_table_insert (queue->teams, (gpointer)team->name, team);
    }
  share = MAX (share, 1);
  if (team->count > 0)
    queue->active_share += (uint64_t)share - team->share;
  team->share = share;
  return team;
}

const char *
queue_team_name (const queue_team_t *team)
{
  return team->name;
}

/* Estimated time until a new last entry of TEAM is served.  The team's own
   service rate reflects its share, its limit and the demand of other teams.
   For a team that has been active too briefly to have a rate, the estimate
   uses its share of the queue's rate.  */
static double
estimate_wait_us (const fair_queue_t *queue, const queue_team_t *team,
                  int64_t now_us)
{
  double requests = team->count + 1.0;

  if (team->rate.served >= RATE_KNOWN_MIN)
    return rate_wait_us (&team->rate, requests, now_us);
  requests *= (double)queue->active_share / team->share;
  return rate_wait_us (&queue->rate,
                       MIN (requests, queue->expiring->len + 1.0), now_us);
}

err_kind_t
queue_put (fair_queue_t *queue, queue_team_t *team, queue_entry_t *entry,
           int64_t now_us, int64_t expires_us)
{
  collect_expired (queue, now_us);
  if (team->count >= queue->max_per_team)
    return ERR_QUEUE_FULL;
  if (expires_us < now_us)
    return ERR_WOULD_BE_LATE;
  /* A team's only entry is always accepted: a rate measured while nothing
     could run must not reject the team's requests once they can run.  */
  if (team->count > 0
      && estimate_wait_us (queue, team, now_us)
             > (double)(expires_us - now_us))
    return ERR_WOULD_BE_LATE;
  entry->team = team;
  entry->expires_us = expires_us;
  list_append (&team->entries, entry);
  expiry_add (queue->expiring, entry);
  if (team->count++ == 0)
    activate (queue, team, now_us);
  atomic_fetch_add (&queue->count, 1);
  return ERR_NONE;
}

/* Removes and returns the first entry of the active team at INDEX.  */
static queue_entry_t *
dequeue_at (fair_queue_t *queue, uint32_t index, int64_t now_us)
{
  queue_team_t *team = g_ptr_array_remove_index (queue->active, index);
  queue_entry_t *entry = team->entries.next;

  /* The teams before it could not run; this gives no credit either.  */
  for (uint32_t i = 0; i < index; i++)
    raise_tag (team_at (queue, i), team->tag);
  queue->virtual_time = MAX (queue->virtual_time, team->tag);
  start_request (queue, team, now_us);
  insert_team (queue, team);
  rate_record (&queue->rate, now_us);
  rate_record (&team->rate, now_us);
  detach (queue, entry);
  atomic_fetch_sub (&queue->count, 1);
  if (queue->virtual_time > TAG_REBASE_MIN)
    rebase_tags (queue);
  return entry;
}

/* Updates the tag of the active team at INDEX; returns true if the team moved
   back in the order.  A take updates tags only here, where they decide, and
   they only rise, so each team moves at most once in one queue_take.  */
static bool
reposition (fair_queue_t *queue, uint32_t index, int64_t now_us)
{
  queue_team_t *team = team_at (queue, index);

  update_tag (team, now_us);
  if (index + 1 == queue->active->len
      || team->tag <= team_at (queue, index + 1)->tag)
    return false;
  g_ptr_array_remove_index (queue->active, index);
  insert_team (queue, team);
  return true;
}

queue_entry_t *
queue_take (fair_queue_t *queue, int64_t now_us,
            bool (*may_run) (void *ctx, queue_entry_t *entry), void *ctx)
{
  collect_expired (queue, now_us);
  for (uint32_t i = 0; i < queue->active->len;)
    if (reposition (queue, i, now_us))
      continue;
    else if (may_run (ctx, team_at (queue, i)->entries.next))
      return dequeue_at (queue, i, now_us);
    else
      i++;
  return NULL;
}

void
queue_charge (fair_queue_t *queue, queue_team_t *team, int64_t now_us)
{
  if (team->count > 0)
    g_ptr_array_remove (queue->active, team);
  update_tag (team, now_us);
  raise_tag (team, queue->virtual_time);
  /* If no other team waits, virtual time advances with this one; otherwise
     its lead would grow without bound.  */
  if (queue->active->len == 0)
    queue->virtual_time = team->tag;
  start_request (queue, team, now_us);
  if (team->count > 0)
    insert_team (queue, team);
  if (queue->virtual_time > TAG_REBASE_MIN)
    rebase_tags (queue);
}

/* Limits the distance of TEAM's tag from the virtual time after a run of
   RUN_US.  This run is always charged in full.  */
static void
clamp_tag (fair_queue_t *queue, queue_team_t *team, int64_t run_us)
{
  int64_t lead = (int64_t)LEAD_MAX_US * COST_PER_US * queue->running
                 / (int64_t)MAX (queue->active_share, team->share);
  int64_t most = queue->virtual_time + MAX (lead, virtual_cost (team, run_us));

  raise_tag (team, queue->virtual_time - lead);
  if (team->tag <= most)
    return;
  team->base_tag -= team->tag - most;
  team->tag = most;
}

void
queue_complete (fair_queue_t *queue, queue_team_t *team, int64_t started_us,
                int64_t now_us)
{
  int64_t run_us = now_us - started_us;

  if (team->running == 0)
    return;
  if (team->count > 0)
    g_ptr_array_remove (queue->active, team);
  team->base_tag += virtual_cost (team, run_us);
  team->start_sum_us -= started_us;
  team->running--;
  team->mean_run_us += (run_us - team->mean_run_us) / (1 << RUN_MEAN_SHIFT);
  update_tag (team, now_us);
  clamp_tag (queue, team, run_us);
  queue->running--;
  if (queue->active->len == 0)
    queue->virtual_time = MAX (queue->virtual_time, team->tag);
  if (team->count > 0)
    insert_team (queue, team);
}

void
queue_remove (fair_queue_t *queue, queue_entry_t *entry)
{
  if (entry->heap_index == HEAP_INDEX_NONE)
    list_unlink (entry);
  else
    detach (queue, entry);
  atomic_fetch_sub (&queue->count, 1);
}

queue_entry_t *
queue_take_expired (fair_queue_t *queue, int64_t now_us)
{
  queue_entry_t *entry;

  collect_expired (queue, now_us);
  entry = queue->expired.next;
  if (entry == &queue->expired)
    return NULL;
  list_unlink (entry);
  atomic_fetch_sub (&queue->count, 1);
  return entry;
}

uint32_t
queue_length (const fair_queue_t *queue)
{
  return atomic_load (&queue->count);
}

#include "expiry.h"

/* Virtual time for 1 us of a slot at share 1.  Large, so that dividing it by a
   share loses little.  */
#define COST_PER_US 65536

/* Tags are moved back to zero past this, so that they never overflow.  */
#define TAG_MAX ((int64_t)1 << 61)

/* Average run time of a team before any of its requests has ended.  */
#define RUN_FIRST_US 10000

/* Weight of one run in the moving average of run times: 1/16.  */
#define RUN_SHIFT 4

/* The end of a request moves its team's tag at most as far from the virtual
   time as all slots take it in this time, so that runs of unexpected length
   don't starve anybody.  */
#define LEAD_MAX_US 500000

/* A served-rate window keeps at least half of these: enough requests for a
   steady estimate, and little enough time to follow a change of rate.  */
#define RATE_SERVED_MIN 32
#define RATE_WINDOW_US 1000000

/* Below this many served, a team's own rate is not yet known.  */
#define RATE_KNOWN_MIN 8

/* Requests served in a window that ends now; halved from time to time.  */
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
  int64_t start;   /* virtual time at which its next request starts; may be
                      too low if it has requests running: see refresh */
  int64_t base;    /* part of start for requests that have ended */
  int64_t started; /* sum of the start times of those that run, us */
  uint32_t running;
  int64_t run_us; /* average run time */
  queue_entry_t entries;
  rate_t rate; /* while it has entries */
};

struct fair_queue
{
  uint32_t max_per_team;
  atomic_uint count;
  int64_t virtual_time; /* start tag of the last request served */
  int64_t run_us;       /* as of a team, over all teams */
  uint32_t running;
  uint64_t active_share; /* sum over the teams in order */
  GHashTable *teams;     /* name to queue_team_t */
  GPtrArray *order;      /* teams with entries, by start tag */
  GPtrArray *expiring;   /* all entries but the expired; see expiry.h */
  queue_entry_t expired; /* past their time, not yet taken out */
  rate_t rate;           /* while it has entries */
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
rate_begin (rate_t *rate, int64_t now_us)
{
  rate->since_us = now_us;
  rate->served = 0;
}

static void
rate_note (rate_t *rate, int64_t now_us)
{
  int64_t elapsed_us = now_us - rate->since_us;

  rate->served++;
  if (rate->served < RATE_SERVED_MIN || elapsed_us < RATE_WINDOW_US)
    return;
  rate->served /= 2;
  rate->since_us = now_us - elapsed_us / 2;
}

/* Time that COUNT requests take at RATE.  */
static double
rate_wait_us (const rate_t *rate, double count, int64_t now_us)
{
  return count * (double)(now_us - rate->since_us) / (rate->served + 1.0);
}

static queue_team_t *
order_at (const fair_queue_t *queue, uint32_t index)
{
  return queue->order->pdata[index];
}

/* Teams with equal tags take turns: a new one goes behind them.  */
static void
order_add (fair_queue_t *queue, queue_team_t *team)
{
  uint32_t low = 0;
  uint32_t high = queue->order->len;

  while (low < high)
    {
      uint32_t mid = low + (high - low) / 2;

      if (order_at (queue, mid)->start <= team->start)
        low = mid + 1;
      else
        high = mid;
    }
  g_ptr_array_insert (queue->order, (gint)low, team);
}

/* Virtual time that RUN_US of a slot cost TEAM.  */
static int64_t
cost (const queue_team_t *team, int64_t run_us)
{
  return run_us * COST_PER_US / team->share;
}

/* Brings TEAM's tag up to NOW_US: the slot time that it has used, and half an
   average run more for each request that runs, since most of these are about
   half way through.  Time only raises the tag.  */
static void
refresh (queue_team_t *team, int64_t now_us)
{
  int64_t used_us = team->running * now_us - team->started;

  team->start
      = team->base + cost (team, used_us + team->running * team->run_us / 2);
}

/* Raises TEAM's tag to at least TAG.  */
static void
lift (queue_team_t *team, int64_t tag)
{
  if (team->start >= tag)
    return;
  team->base += tag - team->start;
  team->start = tag;
}

/* Moves all tags back by the virtual time; those behind it count as equal to
   it anyway.  */
static void
rebase (fair_queue_t *queue)
{
  int64_t base = queue->virtual_time;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, queue->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      queue_team_t *team = value;

      team->base -= base;
      team->start -= base;
      lift (team, 0);
    }
  queue->virtual_time = 0;
}

/* Counts a request of TEAM that starts now.  */
static void
begin_run (fair_queue_t *queue, queue_team_t *team, int64_t now_us)
{
  team->running++;
  team->started += now_us;
  queue->running++;
  refresh (team, now_us);
}

/* A team that had no entries starts at the current virtual time, or later if
   it was served ahead: idle time gives no credit.  */
static void
activate (fair_queue_t *queue, queue_team_t *team, int64_t now_us)
{
  refresh (team, now_us);
  lift (team, queue->virtual_time);
  order_add (queue, team);
  queue->active_share += team->share;
  rate_begin (&team->rate, now_us);
  if (queue->order->len == 1)
    rate_begin (&queue->rate, now_us);
}

static void
deactivate (fair_queue_t *queue, queue_team_t *team)
{
  g_ptr_array_remove (queue->order, team);
  queue->active_share -= team->share;
}

/* Takes ENTRY out of its team's queue.  */
static void
detach (fair_queue_t *queue, queue_entry_t *entry)
{
  queue_team_t *team = entry->team;

  list_unlink (entry);
  expiry_remove (queue->expiring, entry);
  if (--team->count == 0)
    deactivate (queue, team);
}

/* Sets expired entries aside, so that none fills a queue or takes a turn.  */
static void
expire (fair_queue_t *queue, int64_t now_us)
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
  queue->order = g_ptr_array_new ();
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
  g_ptr_array_free (queue->order, TRUE);
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
      team->run_us = RUN_FIRST_US;
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

/* Estimated time until a new last entry of TEAM is taken.  The team's own
   served rate covers its share, its limit and the others' demand.  A team that
   was active too briefly to have one gets its share of the common rate.  */
static double
estimate_wait_us (const fair_queue_t *queue, const queue_team_t *team,
                  int64_t now_us)
{
  double turns = team->count + 1.0;

  if (team->rate.served >= RATE_KNOWN_MIN)
    return rate_wait_us (&team->rate, turns, now_us);
  turns *= (double)queue->active_share / team->share;
  return rate_wait_us (&queue->rate, MIN (turns, queue->expiring->len + 1.0),
                       now_us);
}

err_kind_t
queue_put (fair_queue_t *queue, queue_team_t *team, queue_entry_t *entry,
           int64_t now_us, int64_t expires_us)
{
  expire (queue, now_us);
  if (team->count >= queue->max_per_team)
    return ERR_QUEUE_FULL;
  if (expires_us < now_us)
    return ERR_WOULD_BE_LATE;
  /* A team's only entry is always accepted: a rate seen while nothing could
     run must not keep the team out once it can.  */
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

/* Serves the first entry of the team at INDEX in the order.  */
static queue_entry_t *
serve (fair_queue_t *queue, uint32_t index, int64_t now_us)
{
  queue_team_t *team = g_ptr_array_remove_index (queue->order, index);
  queue_entry_t *entry = team->entries.next;

  /* The teams before it could not run; that gives no credit either.  */
  for (uint32_t i = 0; i < index; i++)
    lift (order_at (queue, i), team->start);
  queue->virtual_time = MAX (queue->virtual_time, team->start);
  begin_run (queue, team, now_us);
  order_add (queue, team);
  rate_note (&queue->rate, now_us);
  rate_note (&team->rate, now_us);
  detach (queue, entry);
  atomic_fetch_sub (&queue->count, 1);
  if (queue->virtual_time > TAG_MAX)
    rebase (queue);
  return entry;
}

/* Refreshes the team at INDEX in the order; true if that moved it back.  Tags
   are refreshed only here, where they decide, and only ever rise here, so each
   team is moved at most once for one take.  */
static bool
move_back (fair_queue_t *queue, uint32_t index, int64_t now_us)
{
  queue_team_t *team = order_at (queue, index);

  refresh (team, now_us);
  if (index + 1 == queue->order->len
      || team->start <= order_at (queue, index + 1)->start)
    return false;
  g_ptr_array_remove_index (queue->order, index);
  order_add (queue, team);
  return true;
}

queue_entry_t *
queue_take (fair_queue_t *queue, int64_t now_us,
            bool (*may_run) (void *ctx, queue_entry_t *entry), void *ctx)
{
  expire (queue, now_us);
  for (uint32_t i = 0; i < queue->order->len;)
    if (move_back (queue, i, now_us))
      continue;
    else if (may_run (ctx, order_at (queue, i)->entries.next))
      return serve (queue, i, now_us);
    else
      i++;
  return NULL;
}

void
queue_charge (fair_queue_t *queue, queue_team_t *team, int64_t now_us)
{
  if (team->count > 0)
    g_ptr_array_remove (queue->order, team);
  refresh (team, now_us);
  lift (team, queue->virtual_time);
  /* With no other team waiting, virtual time goes on with this one;
     otherwise its lead would grow without bound.  */
  if (queue->order->len == 0)
    queue->virtual_time = team->start;
  begin_run (queue, team, now_us);
  if (team->count > 0)
    order_add (queue, team);
  if (queue->virtual_time > TAG_MAX)
    rebase (queue);
}

/* Bounds how far TEAM's tag is from the virtual time after a run of RUN_US,
   which by itself always counts in full.  */
static void
bound_lead (fair_queue_t *queue, queue_team_t *team, int64_t run_us)
{
  int64_t lead = (int64_t)LEAD_MAX_US * COST_PER_US * queue->running
                 / (int64_t)MAX (queue->active_share, team->share);
  int64_t most = queue->virtual_time + MAX (lead, cost (team, run_us));

  lift (team, queue->virtual_time - lead);
  if (team->start <= most)
    return;
  team->base -= team->start - most;
  team->start = most;
}

void
queue_complete (fair_queue_t *queue, queue_team_t *team, int64_t started_us,
                int64_t now_us)
{
  int64_t run_us = now_us - started_us;

  if (team->running == 0)
    return;
  if (team->count > 0)
    g_ptr_array_remove (queue->order, team);
  team->base += cost (team, run_us);
  team->started -= started_us;
  team->running--;
  team->run_us += (run_us - team->run_us) / (1 << RUN_SHIFT);
  refresh (team, now_us);
  bound_lead (queue, team, run_us);
  queue->running--;
  if (queue->order->len == 0)
    queue->virtual_time = MAX (queue->virtual_time, team->start);
  if (team->count > 0)
    order_add (queue, team);
}

void
queue_remove (fair_queue_t *queue, queue_entry_t *entry)
{
  if (entry->heap_index == NOT_EXPIRING)
    list_unlink (entry);
  else
    detach (queue, entry);
  atomic_fetch_sub (&queue->count, 1);
}

queue_entry_t *
queue_take_expired (fair_queue_t *queue, int64_t now_us)
{
  queue_entry_t *entry;

  expire (queue, now_us);
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

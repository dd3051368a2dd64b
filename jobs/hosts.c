#include "hosts.h"
#include "schedint.h"
#include <string.h>

/* What a host of a wave needs from the time it is no longer used until it is
   back: to empty it, the maintenance itself (2 s today), and to be listed.  */
#define UPKEEP_ESTIMATE_US 5000000
/* Part of a wave's time in which it is planned to be over.  */
#define WAVE_PLAN_PERCENT 75
/* Tasks on a host that is being emptied have so long to end by themselves.  */
#define EMPTY_MAX_US 3000000
/* The list of hosts is read so often while a wave or a move is under way.  */
#define LIST_EVERY_US 700000
/* After an order was answered: what ran there starts again once the list shows
   that it has ended.  */
#define LIST_SOON_US 60000
/* An order without an answer, or refused for the moment, is repeated.  */
#define ORDER_RETRY_US 400000
/* A host that is to move is given up when it is not empty after so long.  */
#define MOVE_WAIT_US 2500000
/* Waves and moves are planned again so often.  */
#define PLAN_EVERY_US 100000

struct wave
{
  uint64_t number;
  GPtrArray *names; /* interned */
  GHashTable *done; /* names that have begun their maintenance */
  int64_t since_us;
  int64_t duration_us;
  uint32_t at_once;
  bool complete;
};

void
host_discard (gpointer data)
{
  host_t *host = data;

  g_free (host->worker);
  g_free (host->ordered_worker);
  g_free (host);
}

void
wave_discard (gpointer data)
{
  wave_t *wave = data;

  g_ptr_array_free (wave->names, TRUE);
  g_hash_table_destroy (wave->done);
  g_free (wave);
}

void
fleet_news_add (sched_t *sched, fleet_news_kind_t kind, uint64_t number,
                const char *name)
{
  fleet_news_t news = { .kind = kind, .number = number, .name = name };

  g_array_append_val (sched->fleet_news, news);
}

GArray *
hosts_news (sched_t *sched)
{
  return sched->fleet_news;
}

static wave_t *
find_wave (const sched_t *sched, uint64_t number)
{
  for (uint32_t i = 0; i < sched->waves->len; i++)
    {
      wave_t *wave = g_ptr_array_index (sched->waves, i);

      if (wave->number == number)
        return wave;
    }
  return NULL;
}

static wave_t *
get_wave (sched_t *sched, uint64_t number)
{
  wave_t *wave = find_wave (sched, number);

  if (wave)
    return wave;
  wave = g_new0 (wave_t, 1);
  wave->number = number;
  wave->names = g_ptr_array_new ();
  wave->done = g_hash_table_new (NULL, NULL);
  g_ptr_array_add (sched->waves, wave);
  return wave;
}

void
hosts_set_wave (sched_t *sched, wave_info_t *info, int64_t known_us,
                sched_now_t now)
{
  wave_t *wave = get_wave (sched, info->number);

  if (wave->names->len == 0)
    {
      wave->since_us = known_us;
      wave->duration_us = (int64_t)info->duration_s * 1000000;
      wave->at_once = MAX (info->at_once, 1);
      for (uint32_t i = 0; info->hosts[i]; i++)
        g_ptr_array_add (wave->names,
                         (gpointer)g_intern_string (info->hosts[i]));
      fleet_news_add (sched, NEWS_WAVE_RUNNING, wave->number, NULL);
      event_log (EV_WAVE_STARTED, "wave=%" PRIu64 " hosts=%u at_once=%u",
                 wave->number, wave->names->len, wave->at_once);
    }
  g_strfreev (info->hosts);
  info->hosts = NULL;
  sched_wake_at (sched, now.us);
}

void
hosts_mark (sched_t *sched, uint64_t number, const char *host)
{
  g_hash_table_add (get_wave (sched, number)->done,
                    (gpointer)g_intern_string (host));
}

static bool
wave_is_open (const wave_t *wave)
{
  return !wave->complete && wave->names->len > 0;
}

bool
hosts_wanted (const sched_t *sched, sched_now_t now)
{
  bool wanted = sched->hosts_read_us == 0 || sched->moves_out;

  for (uint32_t i = 0; i < sched->waves->len; i++)
    wanted |= wave_is_open (g_ptr_array_index (sched->waves, i));
  return wanted
         && now.us - sched->hosts_read_us
                >= (sched->hosts_stale ? LIST_SOON_US : LIST_EVERY_US);
}

/* An order is answered with yes also when it was carried out before, so only
   the list tells that what ran on HOST has ended.  */
static void
note_worker_gone (sched_t *sched, const host_t *host, sched_now_t now)
{
  worker_t *worker
      = g_hash_table_lookup (sched->workers, host->ordered_worker);

  if (!worker || !host->agreed
      || (host->state == HOST_SEEN_UP
          && strcmp (host->worker, host->ordered_worker) == 0))
    return;
  worker_clear (sched, worker, now);
  worker->listed = false;
  worker->unreachable = true;
}

static void
uncordon (sched_t *sched, host_t *host)
{
  worker_t *worker = g_hash_table_lookup (sched->workers, host->worker);

  host->cordoned = false;
  host->agreed = false;
  host->move_to = NULL;
  if (worker)
    worker->cordoned = worker->going_down = false;
  sched->dirty = true;
}

void
hosts_set (sched_t *sched, const GArray *infos, int64_t sent_us,
           sched_now_t now)
{
  GHashTableIter iter;
  gpointer value;

  sched->hosts_read_us = now.us;
  sched->moves_out = false;
  sched->hosts_stale = false;
  g_hash_table_iter_init (&iter, sched->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((host_t *)value)->listed = false;
  for (uint32_t i = 0; i < infos->len; i++)
    {
      const host_info_t *info = &g_array_index (infos, host_info_t, i);
      const char *name = g_intern_string (info->host);
      host_t *host = g_hash_table_lookup (sched->hosts, name);

      if (!host)
        {
          host = g_new0 (host_t, 1);
          host->name = name;
          host->worker = g_strdup ("");
          g_hash_table_insert (sched->hosts, (gpointer)name, host);
        }
      host->listed = true;
      host->pool = g_intern_string (info->pool);
      host->state = info->state;
      if (strcmp (host->worker, info->worker) != 0)
        {
          g_free (host->worker);
          host->worker = g_strdup (info->worker);
        }
      if (host->down && sent_us > host->ordered_us)
        note_worker_gone (sched, host, now);
      if (host->down && !host->out && host->state == HOST_SEEN_UP
          && sent_us > host->ordered_us)
        {
          host->down = false;
          uncordon (sched, host);
        }
      /* Its next worker is not named yet.  */
      sched->moves_out |= host->down || host->state != HOST_SEEN_UP;
    }
  moves_note_sizes (sched);
  sched_wake_at (sched, now.us);
}

/* Whether RUN's end leaves its step with no more tasks away than it may
   miss.  */
static bool
may_end (const run_t *run, int64_t now_us)
{
  const stage_t *stage = run->task->stage;
  uint32_t away = 0;

  if (!stage->spec->lasts || stage->spec->may_miss == 0 || stage->job->ended
      || run->phase == RUN_STOPPING)
    return true;
  for (uint32_t i = 0; i < stage->spec->count; i++)
    {
      const task_t *other = &stage->tasks[i];

      if (other != run->task && !task_is_at_work (other, now_us))
        away++;
    }
  return away < stage->spec->may_miss;
}

/* Whether WORKER may go down now.  Lasting tasks are looked at one by one, so
   two of one step on one worker are more than one away.  */
static bool
may_go_down (const worker_t *worker, int64_t since_us, int64_t now_us)
{
  for (uint32_t i = 0; i < worker->runs->len; i++)
    {
      const run_t *run = g_ptr_array_index (worker->runs, i);
      const stage_t *stage = run->task->stage;

      if (stage->spec->lasts)
        {
          if (!may_end (run, now_us))
            return false;
          for (uint32_t j = 0; j < i; j++)
            {
              const run_t *other = g_ptr_array_index (worker->runs, j);

              if (other->task->stage == stage && stage->spec->may_miss > 0)
                return false;
            }
        }
      else if (now_us - since_us < EMPTY_MAX_US)
        return false;
    }
  return true;
}

/* The next host of WAVE to empty: one whose worker has least to lose.  */
static host_t *
next_host (sched_t *sched, const wave_t *wave, int64_t now_us)
{
  host_t *best = NULL;
  double best_cost = 0;

  for (uint32_t i = 0; i < wave->names->len; i++)
    {
      const char *name = g_ptr_array_index (wave->names, i);
      host_t *host = g_hash_table_lookup (sched->hosts, name);
      const worker_t *worker;
      double cost = 0;

      if (!host || !host->listed || host->cordoned || host->down || host->out
          || host->state != HOST_SEEN_UP
          || g_hash_table_contains (wave->done, name))
        continue;
      worker = g_hash_table_lookup (sched->workers, host->worker);
      if (worker)
        cost = (double)worker->used.cpu_milli
               / (double)MAX (worker->room.cpu_milli, 1);
      for (uint32_t r = 0; worker && r < worker->runs->len; r++)
        cost += !may_end (g_ptr_array_index (worker->runs, r), now_us) ? 2 : 0;
      if (best && cost >= best_cost)
        continue;
      best = host;
      best_cost = cost;
    }
  return best;
}

typedef struct wave_count
{
  uint32_t left; /* hosts that have not begun */
  uint32_t busy; /* being emptied, or down for it */
  uint32_t down;
} wave_count_t;

static wave_count_t
count_wave (const sched_t *sched, const wave_t *wave)
{
  wave_count_t count = { 0 };

  for (uint32_t i = 0; i < wave->names->len; i++)
    {
      const char *name = g_ptr_array_index (wave->names, i);
      const host_t *host = g_hash_table_lookup (sched->hosts, name);
      bool down;

      if (!host || !host->listed)
        continue; /* not there any more */
      down = host->down || host->out || host->state == HOST_SEEN_UPKEEP;
      count.left += !g_hash_table_contains (wave->done, name);
      count.busy += (host->cordoned && !host->move_to) || down;
      count.down += down;
    }
  return count;
}

/* How many hosts WAVE has out at a time to be over in its time.  */
static uint32_t
wave_breadth (const wave_t *wave, uint32_t left, int64_t now_us)
{
  int64_t end_us
      = wave->since_us + wave->duration_us * WAVE_PLAN_PERCENT / 100;
  int64_t time_us = MAX (end_us - now_us, UPKEEP_ESTIMATE_US);
  int64_t need = ((int64_t)left * UPKEEP_ESTIMATE_US + time_us - 1) / time_us;

  return (uint32_t)MIN ((int64_t)wave->at_once, MAX (need, 1));
}

void
host_cordon (sched_t *sched, host_t *host, int64_t now_us)
{
  worker_t *worker = g_hash_table_lookup (sched->workers, host->worker);

  host->cordoned = true;
  host->cordoned_us = now_us;
  if (worker)
    worker->cordoned = true;
}

static void
add_order (sched_t *sched, host_t *host, host_order_t order, int64_t now_us)
{
  worker_t *worker;

  order.host = host->name;
  order.token = sched->epoch;
  if (!host->down)
    {
      g_free (host->ordered_worker);
      host->ordered_worker = g_strdup (host->worker);
    }
  worker = g_hash_table_lookup (sched->workers, host->worker);
  if (worker)
    worker->going_down = true;
  sched->moves_out = true;
  host->out = true;
  host->down = true;
  host->ordered_us = now_us;
  g_array_append_val (sched->host_orders, order);
  event_log (EV_HOST_ORDERED,
             "host=%s kind=%s pool=%s wave=%" PRIu64 " token=%" PRIu64,
             host->name, order.kind == HOST_ORDER_MOVE ? "move" : "upkeep",
             order.pool ? order.pool : "-", order.wave, order.token);
}

/* Stops one lasting task of WORKER that may be away, so that it starts again
   elsewhere: two of one step can't go down together.  */
static void
move_one_away (const worker_t *worker, int64_t now_us)
{
  for (uint32_t i = 0; i < worker->runs->len; i++)
    {
      run_t *run = g_ptr_array_index (worker->runs, i);

      if (run->task->stage->spec->lasts && run->phase == RUN_STOPPING)
        return;
    }
  for (uint32_t i = 0; i < worker->runs->len; i++)
    {
      run_t *run = g_ptr_array_index (worker->runs, i);

      if (!run->task->stage->spec->lasts || !may_end (run, now_us))
        continue;
      run_stop (run);
      return;
    }
}

/* Says, now and then, why HOST does not go down yet.  */
static void
log_waiting (const wave_t *wave, host_t *host, const worker_t *worker,
             int64_t now_us)
{
  if (now_us - host->cordoned_us < EMPTY_MAX_US || host->logged_us > now_us)
    return;
  host->logged_us = now_us + EMPTY_MAX_US;
  event_log (EV_WAVE_WAITING,
             "wave=%" PRIu64 " host=%s worker=%s runs=%u emptying_ms=%" PRId64
             " why=lasting-tasks-of-a-step-away",
             wave->number, host->name, worker->id, worker->runs->len,
             (now_us - host->cordoned_us) / 1000);
}

/* Orders the maintenance of hosts of WAVE that are ready for it.  */
static void
take_down (sched_t *sched, const wave_t *wave, uint32_t down, sched_now_t now)
{
  for (uint32_t i = 0; i < wave->names->len; i++)
    {
      const char *name = g_ptr_array_index (wave->names, i);
      host_t *host = g_hash_table_lookup (sched->hosts, name);
      const worker_t *worker;

      if (!host || (!host->down && down >= wave->at_once) || !host->cordoned
          || host->move_to || host->out || host->retry_us > now.us
          || g_hash_table_contains (wave->done, name))
        continue;
      worker = g_hash_table_lookup (sched->workers, host->worker);
      if (!host->down && worker
          && !may_go_down (worker, host->cordoned_us, now.us))
        {
          move_one_away (worker, now.us);
          log_waiting (wave, host, worker, now.us);
          continue;
        }
      add_order (
          sched, host,
          (host_order_t){ .kind = HOST_ORDER_UPKEEP, .wave = wave->number },
          now.us);
      return; /* one at a time: each changes what others may lose */
    }
}

static void
plan_wave (sched_t *sched, wave_t *wave, sched_now_t now)
{
  wave_count_t count = count_wave (sched, wave);
  uint32_t breadth = wave_breadth (wave, count.left, now.us);

  if (count.left == 0 && count.down == 0)
    {
      wave->complete = true;
      fleet_news_add (sched, NEWS_WAVE_COMPLETE, wave->number, NULL);
      event_log (EV_WAVE_DONE, "wave=%" PRIu64 " ms=%" PRId64, wave->number,
                 (now.us - wave->since_us) / 1000);
      return;
    }
  while (count.busy < breadth)
    {
      host_t *host = next_host (sched, wave, now.us);

      if (!host)
        break;
      host_cordon (sched, host, now.us);
      count.busy++;
    }
  take_down (sched, wave, count.down, now);
  sched_wake_at (sched, now.us + PLAN_EVERY_US);
}

/* A move that nothing needs any more, or whose host can't be emptied, is given
   up.  */
static bool
move_is_vain (const host_t *host, const worker_t *worker, int64_t now_us)
{
  return !host->down
         && (now_us - host->cordoned_us > MOVE_WAIT_US
             || (worker && worker_has_lasting (worker)));
}

static void
order_moves (sched_t *sched, sched_now_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, sched->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      host_t *host = value;
      const worker_t *worker;

      if (!host->move_to || host->out || host->agreed
          || host->retry_us > now.us)
        continue;
      worker = g_hash_table_lookup (sched->workers, host->worker);
      if (move_is_vain (host, worker, now.us))
        uncordon (sched, host);
      else if (host->down || !worker || worker->runs->len == 0)
        add_order (
            sched, host,
            (host_order_t){ .kind = HOST_ORDER_MOVE, .pool = host->move_to },
            now.us);
    }
}

bool
worker_has_lasting (const worker_t *worker)
{
  for (uint32_t i = 0; i < worker->runs->len; i++)
    {
      const run_t *run = g_ptr_array_index (worker->runs, i);

      if (run->task->stage->spec->lasts)
        return true;
    }
  return false;
}

GArray *
hosts_plan (sched_t *sched, sched_now_t now)
{
  /* Orders of the owner before may still be answered.  */
  if (sched->epoch > 1
      && now.us - sched->since_us
             < (int64_t)sched->limits.host_lease_ms * 1000 + LEASE_MARGIN_US)
    return sched->host_orders;
  if (sched->hosts_read_us == 0 || sched->hosts_plan_us > now.us)
    return sched->host_orders;
  sched->hosts_plan_us = now.us + PLAN_EVERY_US;
  for (uint32_t i = 0; i < sched->waves->len; i++)
    {
      wave_t *wave = g_ptr_array_index (sched->waves, i);

      if (wave_is_open (wave))
        plan_wave (sched, wave, now);
    }
  moves_plan (sched, now);
  order_moves (sched, now);
  sched_wake_at (sched, now.us + PLAN_EVERY_US);
  return sched->host_orders;
}

static void
note_begun (sched_t *sched, const host_t *host, const host_order_t *order)
{
  wave_t *wave = find_wave (sched, order->wave);

  if (order->kind != HOST_ORDER_UPKEEP || !wave
      || !g_hash_table_add (wave->done, (gpointer)host->name))
    return;
  fleet_news_add (sched, NEWS_WAVE_MARK, wave->number, host->name);
}

bool
hosts_reply (sched_t *sched, const host_order_t *order, host_reply_t reply,
             sched_now_t now)
{
  host_t *host = g_hash_table_lookup (sched->hosts, order->host);
  worker_t *worker;

  if (reply == HOST_FENCED)
    return false;
  if (!host)
    return true;
  host->out = false;
  host->retry_us = now.us + ORDER_RETRY_US;
  sched->hosts_plan_us = 0;
  sched_wake_at (sched, now.us);
  switch (reply)
    {
    case HOST_OK:
      host->ordered_us = now.us;
      host->agreed = true;
      sched->hosts_stale = true;
      note_begun (sched, host, order);
      return true;
    case HOST_BUSY:
    case HOST_REFUSED:
      host->down = false;
      worker = g_hash_table_lookup (sched->workers, host->worker);
      if (worker)
        worker->going_down = false;
      return true;
    case HOST_LOST:
    case HOST_FENCED:
      return true;
    }
  return true;
}

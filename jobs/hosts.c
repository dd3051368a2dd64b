#include "hosts.h"
#include "drain.h"
#include "schedint.h"

/* Interval of reads of the list of hosts during a wave or a move.  */
#define LIST_INTERVAL_US 700000
/* The same after an order was carried out: tasks of that host start elsewhere
   only once the list shows that its worker is gone.  */
#define LIST_AFTER_ORDER_US 60000
/* Delay before an order that was refused or not answered is repeated.  */
#define ORDER_RETRY_US 400000
/* A move is cancelled when its host is not empty after this time.  */
#define MOVE_DRAIN_MAX_US 2500000
#define PLAN_INTERVAL_US 100000

void
host_free (gpointer data)
{
  g_free (data);
}

static host_t *
get_or_add_host (sched_t *sched, const char *name)
{
  host_t *host = g_hash_table_lookup (sched->hosts, name);

  if (host)
    return host;
  host = g_new0 (host_t, 1);
  host->name = name;
  host->worker = g_intern_static_string ("");
  g_hash_table_insert (sched->hosts, (gpointer)name, host);
  return host;
}

GPtrArray *
host_workers (const sched_t *sched, const host_t *host)
{
  const GPtrArray *registered
      = g_hash_table_lookup (sched->workers_by_host, host->name);
  worker_t *listed = g_hash_table_lookup (sched->workers, host->worker);
  GPtrArray *workers = g_ptr_array_new ();

  for (uint32_t i = 0; registered && i < registered->len; i++)
    g_ptr_array_add (workers, g_ptr_array_index (registered, i));
  if (listed && !g_ptr_array_find (workers, listed, NULL))
    g_ptr_array_add (workers, listed);
  return workers;
}

/* Since when an order for HOST may come; 0: none may.  */
static int64_t
doubt_us (const host_t *host)
{
  return host_order_may_come (&host->order) ? MAX (host->order.us, 1) : 0;
}

void
hosts_set_worker (sched_t *sched, worker_t *worker, const char *name)
{
  const host_t *host;
  GPtrArray *workers;

  if (name == worker->host)
    return;
  if (worker->host)
    {
      g_ptr_array_remove_fast (
          g_hash_table_lookup (sched->workers_by_host, worker->host), worker);
      /* with its former host */
      worker->cordoned = worker->going_down = false;
      worker->in_doubt_us = 0;
      worker->maintenance_due = false;
      sched->place_needed = true;
    }
  worker->host = name;
  if (!name)
    return;
  workers = g_hash_table_lookup (sched->workers_by_host, name);
  if (!workers)
    {
      workers = g_ptr_array_new ();
      g_hash_table_insert (sched->workers_by_host, (gpointer)name, workers);
    }
  g_ptr_array_add (workers, worker);
  host = g_hash_table_lookup (sched->hosts, name);
  if (!host)
    return;
  if (host->cordoned && !host_order_is_open (&host->order))
    worker->cordoned = true;
  worker->in_doubt_us = doubt_us (host);
}

void
host_mark_doubt (const sched_t *sched, const host_t *host)
{
  g_autoptr (GPtrArray) workers = host_workers (sched, host);

  for (uint32_t i = 0; i < workers->len; i++)
    ((worker_t *)g_ptr_array_index (workers, i))->in_doubt_us
        = doubt_us (host);
}

void
fleet_update_add (sched_t *sched, fleet_update_kind_t kind, uint64_t number,
                  const char *name)
{
  fleet_update_t update = { .kind = kind, .number = number, .name = name };

  g_array_append_val (sched->fleet_updates, update);
}

GArray *
hosts_updates (sched_t *sched)
{
  return sched->fleet_updates;
}

bool
hosts_list_is_due (const sched_t *sched, sched_now_t now)
{
  bool needed = sched->hosts_read_us == 0 || sched->hosts_in_transit
                || waves_any_open (sched);

  return needed
         && now.us - sched->hosts_read_us >= (sched->hosts_stale
                                                  ? LIST_AFTER_ORDER_US
                                                  : LIST_INTERVAL_US);
}

/* Ends the runs of the worker that was on HOST when it was ordered down.  The
   list of hosts has to show that this worker is gone: an order that was
   carried out earlier is accepted as well, so its answer proves nothing about
   what runs there now.  */
static void
clear_stopped_worker (sched_t *sched, const host_t *host,
                      const host_event_t *list, sched_now_t now)
{
  const char *name = host_order_ended_worker (&host->order, list);
  worker_t *worker = name ? g_hash_table_lookup (sched->workers, name) : NULL;

  if (!worker)
    return;
  worker_reset (sched, worker, "host-list", now);
  worker->listed = false;
  worker->unreachable = true;
  worker_wake_at (sched, worker, now.us);
}

void
host_uncordon (sched_t *sched, host_t *host)
{
  g_autoptr (GPtrArray) workers = host_workers (sched, host);

  host->cordoned = false;
  host->move_to = NULL;
  for (uint32_t i = 0; i < workers->len; i++)
    {
      worker_t *worker = g_ptr_array_index (workers, i);

      worker->cordoned = worker->going_down = false;
    }
  host_mark_doubt (sched, host);
  sched->place_needed = true;
}

void
hosts_set (sched_t *sched, const GArray *infos, int64_t sent_us,
           sched_now_t now)
{
  GHashTableIter iter;
  gpointer value;

  /* Which pools were scaled down is guessed from the first list, unless the
     owner before has said so.  */
  sched->first_hosts_list
      = sched->hosts_read_us == 0 && !sched->bursts_inherited;
  sched->hosts_read_us = now.us;
  sched->hosts_in_transit = false;
  sched->hosts_stale = false;
  g_hash_table_iter_init (&iter, sched->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((host_t *)value)->listed = false;
  for (uint32_t i = 0; i < infos->len; i++)
    {
      const host_info_t *info = &g_array_index (infos, host_info_t, i);
      host_t *host = get_or_add_host (sched, g_intern_string (info->host));
      host_event_t list = { .kind = HOST_EVENT_LIST };

      host->listed = true;
      host->pool = g_intern_string (info->pool);
      host->state = info->state;
      host->data_centre
          = info->data_centre ? g_intern_string (info->data_centre) : NULL;
      host->worker = g_intern_string (info->worker);
      evacuation_update_host (sched, host);
      list.u.list.status = host->state;
      list.u.list.worker = host->worker;
      list.u.list.sent_us = sent_us;
      clear_stopped_worker (sched, host, &list, now);
      if (host_order_apply (&host->order, &list, now.us))
        host_uncordon (sched, host);
      /* Its next worker is not listed yet.  */
      sched->hosts_in_transit |= host_order_is_open (&host->order)
                                 || host->state != HOST_STATUS_UP;
    }
  moves_record_base_sizes (sched);
  sched_wake_at (sched, now.us);
}

void
host_cordon (sched_t *sched, host_t *host, int64_t now_us)
{
  g_autoptr (GPtrArray) workers = host_workers (sched, host);

  host->cordoned = true;
  host->cordoned_us = now_us;
  for (uint32_t i = 0; i < workers->len; i++)
    ((worker_t *)g_ptr_array_index (workers, i))->cordoned = true;
}

/* Logs ORDER for HOST, on which WORKERS run.  */
static void
log_order (const sched_t *sched, const host_t *host, const GPtrArray *workers,
           const host_order_t *order, int64_t now_us)
{
  const char *kind = order->kind == HOST_ORDER_MOVE ? "move" : "upkeep";
  bool repeat = host_order_may_repeat (&host->order);

  event_log (EV_HOST_ORDERED,
             "host=%s kind=%s pool=%s wave=%" PRIu64 " token=%" PRIu64
             " worker=%s known=%u repeat=%d list_age_ms=%" PRId64,
             host->name, kind, order->pool ? order->pool : "-", order->wave,
             order->token, host->worker[0] ? host->worker : "-", workers->len,
             repeat, (now_us - sched->hosts_read_us) / 1000);
  for (uint32_t i = 0; i < workers->len; i++)
    {
      const worker_t *worker = g_ptr_array_index (workers, i);

      for (uint32_t j = 0; j < worker->runs->len; j++)
        {
          const run_t *run = g_ptr_array_index (worker->runs, j);

          task_log_interrupted (run->task, run->attempt, worker, kind,
                                repeat ? "repeat" : "order", now_us);
        }
    }
}

static void
set_going_down (const GPtrArray *workers, bool going_down)
{
  for (uint32_t i = 0; i < workers->len; i++)
    ((worker_t *)g_ptr_array_index (workers, i))->going_down = going_down;
}

void
host_order_add (sched_t *sched, host_t *host, host_order_t order,
                int64_t now_us)
{
  g_autoptr (GPtrArray) workers = host_workers (sched, host);
  host_event_t event = { .kind = HOST_EVENT_SEND };

  order.host = host->name;
  order.token = sched->epoch;
  log_order (sched, host, workers, &order, now_us);
  event.u.send.order = order;
  event.u.send.worker = host->worker;
  host_order_apply (&host->order, &event, now_us);
  set_going_down (workers, true);
  sched->hosts_in_transit = true;
  g_array_append_val (sched->host_orders, order);
}

static const char *
reply_name (host_reply_t reply)
{
  static const char *const names[] = { [HOST_REPLY_OK] = "ok",
                                       [HOST_REPLY_FENCED] = "fenced",
                                       [HOST_REPLY_BUSY] = "busy",
                                       [HOST_REPLY_REFUSED] = "refused",
                                       [HOST_REPLY_NONE] = "none" };

  return names[reply];
}

/* Whether HOST can't be drained for its move: it took too long, a long-running
   task has started on one of its WORKERS, or its data centre is withdrawn.  */
static bool
should_cancel_move (const host_t *host, const GPtrArray *workers,
                    int64_t now_us)
{
  if (host_order_is_open (&host->order))
    return false;
  if (host_is_evacuated (host))
    return true;
  for (uint32_t i = 0; i < workers->len; i++)
    if (worker_has_long_running (g_ptr_array_index (workers, i)))
      return true;
  return now_us - host->cordoned_us > MOVE_DRAIN_MAX_US;
}

static bool
have_no_runs (const GPtrArray *workers)
{
  for (uint32_t i = 0; i < workers->len; i++)
    if (((const worker_t *)g_ptr_array_index (workers, i))->runs->len > 0)
      return false;
  return true;
}

bool
workers_are_recorded (const sched_t *sched, const GPtrArray *workers)
{
  for (uint32_t i = 0; i < workers->len; i++)
    if (((const worker_t *)g_ptr_array_index (workers, i))->closed_batch
        > sched->durable_batch)
      return false;
  return true;
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
      g_autoptr (GPtrArray) workers = NULL;

      if (!host->listed || !host->move_to
          || host_order_awaits_reply (&host->order)
          || host_order_is_accepted (&host->order) || host->retry_us > now.us)
        continue;
      workers = host_workers (sched, host);
      if (should_cancel_move (host, workers, now.us))
        host_uncordon (sched, host);
      else if (have_no_runs (workers) && workers_are_recorded (sched, workers))
        host_order_add (
            sched, host,
            (host_order_t){ .kind = HOST_ORDER_MOVE, .pool = host->move_to },
            now.us);
    }
}

bool
worker_has_long_running (const worker_t *worker)
{
  for (uint32_t i = 0; i < worker->runs->len; i++)
    {
      const run_t *run = g_ptr_array_index (worker->runs, i);

      if (run->task->stage->spec->long_running)
        return true;
    }
  return false;
}

GArray *
hosts_plan (sched_t *sched, sched_now_t now)
{
  if (sched->hosts_read_us != 0)
    waves_mark_workers (sched, now);
  /* Orders of the previous owner may still be carried out.  */
  if (sched->epoch > 1
      && now.us - sched->started_us
             < (int64_t)sched->limits.host_lease_ms * 1000 + LEASE_MARGIN_US)
    return sched->host_orders;
  if (sched->hosts_read_us == 0 || sched->next_hosts_plan_us > now.us)
    return sched->host_orders;
  sched->next_hosts_plan_us = now.us + PLAN_INTERVAL_US;
  drain_release (sched, now);
  waves_plan (sched, now);
  moves_plan (sched, now);
  order_moves (sched, now);
  sched_wake_at (sched, now.us + PLAN_INTERVAL_US);
  return sched->host_orders;
}

bool
hosts_reply (sched_t *sched, const host_order_t *order, host_reply_t reply,
             sched_now_t now)
{
  host_t *host = g_hash_table_lookup (sched->hosts, order->host);
  host_event_t event = { .kind = HOST_EVENT_REPLY, .u.reply = reply };
  g_autoptr (GPtrArray) workers = NULL;

  if (reply == HOST_REPLY_FENCED)
    return false;
  if (!host)
    return true;
  event_log (EV_HOST_ANSWERED, "host=%s kind=%s reply=%s token=%" PRIu64,
             host->name, order->kind == HOST_ORDER_MOVE ? "move" : "upkeep",
             reply_name (reply), order->token);
  host->retry_us = now.us + ORDER_RETRY_US;
  sched->next_hosts_plan_us = 0;
  sched_wake_at (sched, now.us);
  if (host_order_apply (&host->order, &event, now.us))
    {
      workers = host_workers (sched, host);
      set_going_down (workers, false);
      host->order_record_us = now.us;
    }
  if (reply == HOST_REPLY_OK)
    {
      host_mark_doubt (sched, host);
      sched->hosts_stale = true;
      waves_record_begun (sched, host, order);
    }
  return true;
}

#include "waveint.h"
#include <string.h>

/* Estimate of the time that a host of a wave is out of use: draining, the
   maintenance itself, which takes 2 s, and being listed again.  */
#define MAINTENANCE_ESTIMATE_US 5000000
/* A wave is planned to be complete after this part of its duration, and after
   the second one while work waits for hosts.  */
#define WAVE_TARGET_PERCENT 60
#define WAVE_TARGET_WAITING_PERCENT 85
/* Cost of draining a host that is switched off; less than that of any other.
 */
#define SWITCHED_OFF_COST (-4.0)
/* The same for a host that counts as down already: while its order isn't
   settled, it takes the place of another one.  */
#define COUNTED_COST (-8.0)
/* Interval at which the workers of a wave's hosts are marked as due.  */
#define MARK_INTERVAL_US 100000

void
wave_free (gpointer data)
{
  wave_t *wave = data;

  g_ptr_array_free (wave->names, TRUE);
  g_hash_table_destroy (wave->begun);
  g_hash_table_destroy (wave->ordered);
  g_free (wave);
}

/* Notes whether a wave will take HOST and its workers down.  */
static void
mark_host (const sched_t *sched, host_t *host, bool due)
{
  g_autoptr (GPtrArray) workers = host_workers (sched, host);

  host->maintenance_due = due;
  for (uint32_t i = 0; i < workers->len; i++)
    ((worker_t *)g_ptr_array_index (workers, i))->maintenance_due = due;
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
get_or_add_wave (sched_t *sched, uint64_t number)
{
  wave_t *wave = find_wave (sched, number);

  if (wave)
    return wave;
  wave = g_new0 (wave_t, 1);
  wave->number = number;
  wave->names = g_ptr_array_new ();
  wave->begun = g_hash_table_new (NULL, NULL);
  wave->ordered = g_hash_table_new (NULL, NULL);
  g_ptr_array_add (sched->waves, wave);
  return wave;
}

/* The hosts of INFO, interned.  The caller frees the array.  */
static GPtrArray *
intern_names (const wave_info_t *info)
{
  GPtrArray *names = g_ptr_array_new ();

  for (uint32_t i = 0; info->hosts[i]; i++)
    g_ptr_array_add (names, (gpointer)g_intern_string (info->hosts[i]));
  return names;
}

static bool
have_same_hosts (const GPtrArray *a, const GPtrArray *b)
{
  return a->len == b->len
         && (a->len == 0
             || memcmp (a->pdata, b->pdata, a->len * sizeof *a->pdata) == 0);
}

/* The hosts in NAMES leave their wave: none of them is due, and those that are
   drained are in use again until another wave drains them.  */
static void
leave_wave (sched_t *sched, const GPtrArray *names)
{
  for (uint32_t i = 0; i < names->len; i++)
    {
      host_t *host
          = g_hash_table_lookup (sched->hosts, g_ptr_array_index (names, i));

      if (!host)
        continue;
      mark_host (sched, host, false);
      if (host->cordoned && !host->move_to
          && !host_order_is_open (&host->order))
        host_uncordon (sched, host);
    }
}

void
hosts_set_wave (sched_t *sched, wave_info_t *info, int64_t known_us,
                sched_now_t now)
{
  wave_t *wave = get_or_add_wave (sched, info->number);
  GPtrArray *names = intern_names (info);
  int64_t duration_us = (int64_t)info->duration_s * 1000000;
  uint32_t at_once = MAX (info->at_once, 1);

  g_strfreev (info->hosts);
  info->hosts = NULL;
  if (names->len == 0
      || (have_same_hosts (names, wave->names)
          && wave->duration_us == duration_us && wave->at_once == at_once))
    {
      g_ptr_array_free (names, TRUE);
      return;
    }
  leave_wave (sched, wave->names);
  g_ptr_array_free (wave->names, TRUE);
  wave->names = names;
  wave->since_us = known_us;
  wave->duration_us = duration_us;
  wave->at_once = at_once;
  wave->complete = false;
  wave->next_mark_us = now.us;
  fleet_update_add (sched, FLEET_UPDATE_WAVE_RUNNING, wave->number, NULL);
  event_log (EV_WAVE_STARTED, "wave=%" PRIu64 " hosts=%u at_once=%u",
             wave->number, wave->names->len, wave->at_once);
  sched_wake_at (sched, now.us);
}

void
hosts_set_begun (sched_t *sched, uint64_t number, const char *host)
{
  g_hash_table_add (get_or_add_wave (sched, number)->begun,
                    (gpointer)g_intern_string (host));
}

void
hosts_set_ordered (sched_t *sched, uint64_t number, const char *host)
{
  g_hash_table_add (get_or_add_wave (sched, number)->ordered,
                    (gpointer)g_intern_string (host));
}

void
hosts_set_recorded (sched_t *sched, uint64_t number, const char *name,
                    sched_now_t now)
{
  host_t *host = g_hash_table_lookup (sched->hosts, g_intern_string (name));

  if (!host || host->order_record != ORDER_RECORDING
      || host->order_record_wave != number)
    return;
  host->order_record = ORDER_RECORDED;
  sched->next_hosts_plan_us = 0;
  sched_wake_at (sched, now.us);
}

static bool
wave_is_open (const wave_t *wave)
{
  return !wave->complete && wave->names->len > 0;
}

bool
waves_any_open (const sched_t *sched)
{
  for (uint32_t i = 0; i < sched->waves->len; i++)
    if (wave_is_open (g_ptr_array_index (sched->waves, i)))
      return true;
  return false;
}

/* The cost of draining the host of WORKER next.  Hosts with long-running tasks
   that may be stopped now come first: those of one step have to go one after
   another, so left for the end they would delay the wave.  */
static double
drain_cost (const worker_t *worker, int64_t now_us)
{
  double cost = (double)worker->allocated.cpu_milli
                / (double)MAX (worker->capacity.cpu_milli, 1);
  bool long_running = false;

  for (uint32_t i = 0; i < worker->runs->len; i++)
    {
      const run_t *run = g_ptr_array_index (worker->runs, i);

      if (!run_may_be_interrupted (run, now_us))
        return cost + 2;
      long_running |= run->task->stage->spec->long_running;
    }
  return long_running ? cost - 2 : cost;
}

/* The cost of draining HOST next.  Hosts without a worker are switched off,
   and their maintenance takes nothing from the tasks.  */
static double
host_drain_cost (const sched_t *sched, const host_t *host, int64_t now_us)
{
  const worker_t *worker = g_hash_table_lookup (sched->workers, host->worker);

  return worker ? drain_cost (worker, now_us) : SWITCHED_OFF_COST;
}

/* A host that a wave may drain.  */
typedef struct candidate_host
{
  host_t *host;
  double cost;
  uint32_t index; /* in the wave */
  bool counted;   /* as one that may be down */
} candidate_host_t;

static int
compare_hosts (gconstpointer a, gconstpointer b)
{
  const candidate_host_t *l = a;
  const candidate_host_t *r = b;

  if (l->cost != r->cost)
    return l->cost < r->cost ? -1 : 1;
  return l->index < r->index ? -1 : l->index > r->index;
}

/* The hosts of WAVE that may be drained, of candidate_host_t, the cheapest
   first.  The caller frees the array.  */
static GArray *
hosts_to_drain (const sched_t *sched, const wave_t *wave, int64_t now_us)
{
  GArray *hosts = g_array_new (FALSE, FALSE, sizeof (candidate_host_t));

  for (uint32_t i = 0; i < wave->names->len; i++)
    {
      const char *name = g_ptr_array_index (wave->names, i);
      candidate_host_t candidate
          = { .host = g_hash_table_lookup (sched->hosts, name), .index = i };
      const host_t *host = candidate.host;

      if (!host || !host->listed || host->cordoned
          || (host->order.state != HOST_ORDER_NONE
              && !wave_may_repeat (wave, host))
          || host->state != HOST_STATUS_UP
          || g_hash_table_contains (wave->begun, name))
        continue;
      candidate.counted = host->order.state == HOST_ORDER_DOUBTED;
      candidate.cost = candidate.counted
                           ? COUNTED_COST
                           : host_drain_cost (sched, host, now_us);
      g_array_append_val (hosts, candidate);
    }
  g_array_sort (hosts, compare_hosts);
  return hosts;
}

static bool
any_pool_is_short (const sched_t *sched)
{
  GHashTableIter iter;
  gpointer pool;

  g_hash_table_iter_init (&iter, sched->pools);
  while (g_hash_table_iter_next (&iter, NULL, &pool))
    if (((const pool_t *)pool)->short_since_us != 0)
      return true;
  return false;
}

/* The number of hosts that WAVE has to process at a time to finish by its
   target, whatever its limit.  */
static uint32_t
hosts_needed (const sched_t *sched, const wave_t *wave, uint32_t left,
              int64_t now_us)
{
  int64_t target_percent = any_pool_is_short (sched)
                               ? WAVE_TARGET_WAITING_PERCENT
                               : WAVE_TARGET_PERCENT;
  int64_t end_us = wave->since_us + wave->duration_us * target_percent / 100;
  int64_t time_us = MAX (end_us - now_us, MAINTENANCE_ESTIMATE_US);
  int64_t need
      = ((int64_t)left * MAINTENANCE_ESTIMATE_US + time_us - 1) / time_us;

  return (uint32_t)CLAMP (need, 1, (int64_t)wave->names->len);
}

/* Marks the hosts that WAVE will take down, and their workers.  */
static void
mark_workers (const sched_t *sched, const wave_t *wave)
{
  for (uint32_t i = 0; i < wave->names->len; i++)
    {
      const char *name = g_ptr_array_index (wave->names, i);
      host_t *host = g_hash_table_lookup (sched->hosts, name);

      if (host)
        mark_host (sched, host,
                   host->listed && !g_hash_table_contains (wave->begun, name));
    }
}

/* Logs that WAVE drains fewer hosts than it needs to, as REFUSED have tasks
   without a place, every DRAIN_MAX_US.  */
static void
log_limited (wave_t *wave, uint32_t active, uint32_t wanted, uint32_t refused,
             int64_t now_us)
{
  if (wave->next_log_us > now_us)
    return;
  wave->next_log_us = now_us + DRAIN_MAX_US;
  event_log (EV_WAVE_LIMITED,
             "wave=%" PRIu64 " active=%u wanted=%u refused=%u", wave->number,
             active, wanted, refused);
}

/* Cordons hosts of WAVE, of which NEEDED have to be processed at a time, as
   far as their long-running tasks have places.  The limit of the wave is one
   on hosts that are down.  If it is less than what is needed, hosts are
   emptied while others are down, so that they go down when those are back.  */
static void
drain_hosts (sched_t *sched, drain_t *drain, wave_t *wave, wave_count_t *count,
             uint32_t needed, sched_now_t now)
{
  uint32_t ahead = needed > wave->at_once ? count->down - count->doubted : 0;
  uint32_t parallelism = MIN (needed, wave->at_once) + ahead;
  g_autoptr (GArray) hosts = NULL;
  uint32_t refused = 0;

  if (count->active >= parallelism && count->doubted == 0)
    return;
  hosts = hosts_to_drain (sched, wave, now.us);
  for (uint32_t i = 0; i < hosts->len; i++)
    {
      const candidate_host_t *candidate
          = &g_array_index (hosts, candidate_host_t, i);
      host_t *host = candidate->host;
      bool in_use = !host_is_evacuated (host);

      if (!candidate->counted && count->active >= parallelism)
        break;
      if (!candidate->counted && in_use
          && count->active_in_use >= wave_limit_in_use (wave, count)
                                         + MIN (ahead, count->down_in_use))
        continue;
      if (!drain_take (drain, host))
        {
          refused++;
          continue;
        }
      host_cordon (sched, host, now.us);
      count->active += !candidate->counted;
      count->active_in_use += in_use && !candidate->counted;
    }
  if (refused > 0 && count->active < parallelism)
    log_limited (wave, count->active, parallelism, refused, now.us);
}

static void
plan_wave (sched_t *sched, drain_t *drain, wave_t *wave, sched_now_t now)
{
  wave_count_t count = wave_count (sched, wave, now.us);

  if (count.left == 0 && count.down == 0)
    {
      wave->complete = true;
      mark_workers (sched, wave); /* for the last time: none is due */
      fleet_update_add (sched, FLEET_UPDATE_WAVE_COMPLETE, wave->number, NULL);
      event_log (EV_WAVE_DONE, "wave=%" PRIu64 " ms=%" PRId64, wave->number,
                 (now.us - wave->since_us) / 1000);
      return;
    }
  drain_hosts (sched, drain, wave, &count,
               hosts_needed (sched, wave, count.left, now.us), now);
  wave_order_maintenance (sched, drain, wave, &count, now);
}

/* Orders for hosts of WAVE that owners before may have sent are in doubt.  */
static void
inherit_orders (sched_t *sched, const wave_t *wave, int64_t now_us)
{
  for (uint32_t i = 0; i < wave->names->len; i++)
    {
      const char *name = g_ptr_array_index (wave->names, i);
      host_t *host = g_hash_table_lookup (sched->hosts, name);

      if (!host || host->order.state != HOST_ORDER_NONE
          || !g_hash_table_contains (wave->ordered, name)
          || g_hash_table_contains (wave->begun, name))
        continue;
      host_order_inherit (&host->order,
                          (host_order_t){ .kind = HOST_ORDER_MAINTENANCE,
                                          .host = name,
                                          .wave = wave->number },
                          now_us);
      host->order_record = ORDER_RECORDED;
      host->order_record_wave = wave->number;
      host_mark_doubt (sched, host);
    }
}

void
waves_mark_workers (sched_t *sched, sched_now_t now)
{
  for (uint32_t i = 0; i < sched->waves->len; i++)
    {
      wave_t *wave = g_ptr_array_index (sched->waves, i);

      if (!wave_is_open (wave) || wave->next_mark_us > now.us)
        continue;
      mark_workers (sched, wave);
      if (g_hash_table_size (wave->ordered) > 0)
        inherit_orders (sched, wave, now.us);
      wave->next_mark_us = now.us + MARK_INTERVAL_US;
    }
}

/* Whether WAVE will order HOST, whose last order may still be carried out.  */
static bool
wave_settles (const wave_t *wave, const host_t *host)
{
  return wave && wave_is_open (wave)
         && !g_hash_table_contains (wave->begun, host->name)
         && g_ptr_array_find (wave->names, host->name, NULL);
}

/* Forgets orders that may still be carried out and whose waves order no host
   any more: they can't exceed a limit.  */
static void
forget_doubts (sched_t *sched)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, sched->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      host_t *host = value;

      if (host->order.state == HOST_ORDER_DOUBTED
          && !wave_settles (find_wave (sched, host->order.order.wave), host))
        {
          host_order_forget (&host->order);
          host_mark_doubt (sched, host);
        }
    }
}

void
waves_plan (sched_t *sched, sched_now_t now)
{
  drain_t *drain;

  forget_doubts (sched);
  if (!waves_any_open (sched))
    return;
  drain = drain_new (sched, now);
  for (uint32_t i = 0; i < sched->waves->len; i++)
    {
      wave_t *wave = g_ptr_array_index (sched->waves, i);

      if (wave_is_open (wave))
        plan_wave (sched, drain, wave, now);
    }
  drain_free (drain);
}

void
waves_record_begun (sched_t *sched, const host_t *host,
                    const host_order_t *order)
{
  wave_t *wave = find_wave (sched, order->wave);

  if (order->kind != HOST_ORDER_MAINTENANCE || !wave
      || !g_hash_table_add (wave->begun, (gpointer)host->name))
    return;
  fleet_update_add (sched, FLEET_UPDATE_HOST_BEGUN, wave->number, host->name);
}

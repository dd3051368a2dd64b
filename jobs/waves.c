#include "drain.h"
#include "hosts.h"
#include "schedint.h"
#include <string.h>

/* Estimate of the time that a host of a wave is out of use: draining, the
   maintenance itself, which takes 2 s, and being listed again.  */
#define MAINTENANCE_ESTIMATE_US 5000000
/* A wave is planned to be complete after this part of its duration, and after
   the second one while work waits for hosts.  */
#define WAVE_TARGET_PERCENT 60
#define WAVE_TARGET_WAITING_PERCENT 85
/* A host that is about to be ordered keeps the place of another one for this
   time.  */
#define RESERVED_MAX_US 2000000
/* Cost of draining a host that is switched off; less than that of any other.
 */
#define SWITCHED_OFF_COST (-4.0)
/* The same for a host that counts as down already: while its order isn't
   settled, it takes the place of another one.  */
#define COUNTED_COST (-8.0)
/* Interval at which the workers of a wave's hosts are marked as due.  */
#define MARK_INTERVAL_US 100000
/* Time for which a host that is being drained waits for its short tasks.  */
#define DRAIN_MAX_US 3000000

struct wave
{
  uint64_t number;
  GPtrArray *names;    /* interned */
  GHashTable *begun;   /* names of the hosts that have begun maintenance */
  GHashTable *ordered; /* names of those that owners before may have ordered */
  int64_t since_us;
  int64_t duration_us;
  int64_t next_mark_us; /* its workers are marked as due then */
  int64_t next_log_us;  /* 1509 isn't logged before */
  uint32_t at_once;
  bool complete;
};

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

/* Whether WORKER may go down now.  Short tasks are given until DRAIN_MAX_US
   after SINCE_US.  run_may_be_interrupted judges each run on its own, so two
   runs of one step that has a limit are refused here.  */
static bool
may_take_down (const worker_t *worker, int64_t since_us, int64_t now_us)
{
  for (uint32_t i = 0; i < worker->runs->len; i++)
    {
      const run_t *run = g_ptr_array_index (worker->runs, i);
      const stage_t *stage = run->task->stage;

      if (stage->spec->long_running)
        {
          if (!run_may_be_interrupted (run, now_us))
            return false;
          for (uint32_t j = 0; j < i; j++)
            {
              const run_t *other = g_ptr_array_index (worker->runs, j);

              if (other->task->stage == stage
                  && stage->spec->max_unavailable > 0)
                return false;
            }
        }
      else if (now_us - since_us < DRAIN_MAX_US)
        return false;
    }
  return true;
}

/* Whether all WORKERS of a host may go down now.  */
static bool
may_all_go_down (const GPtrArray *workers, int64_t since_us, int64_t now_us)
{
  for (uint32_t i = 0; i < workers->len; i++)
    if (!may_take_down (g_ptr_array_index (workers, i), since_us, now_us))
      return false;
  return true;
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

/* Whether an order for HOST that may be under way is one of WAVE, which has to
   be repeated.  That of another wave is left to that one.  */
static bool
may_repeat (const wave_t *wave, const host_t *host)
{
  return host_order_may_repeat (&host->order)
         && host->order.order.kind == HOST_ORDER_MAINTENANCE
         && host->order.order.wave == wave->number;
}

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
          || (host->order.state != HOST_ORDER_NONE && !may_repeat (wave, host))
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

/* Whether HOST is about to be ordered for WAVE: that is being stored, or it is
   and the order will be sent, or sent again after a refusal, soon.  Another
   host in its place would leave a later owner with more orders in doubt than
   the limit allows.  */
static bool
is_reserved (const wave_t *wave, const host_t *host, int64_t now_us)
{
  return host->order_record != ORDER_UNRECORDED
         && host->order_record_wave == wave->number
         && host->order.state == HOST_ORDER_NONE
         && now_us - host->order_record_us < RESERVED_MAX_US
         && !g_hash_table_contains (wave->begun, host->name);
}

static bool
is_recorded (const wave_t *wave, const host_t *host)
{
  return host->order_record == ORDER_RECORDED
         && host->order_record_wave == wave->number;
}

/* Hosts of a wave.  Those in use are not in a withdrawn data centre.  */
typedef struct wave_count
{
  uint32_t listed;
  uint32_t left;     /* hosts that have not begun maintenance */
  uint32_t active;   /* being drained, or down for maintenance */
  uint32_t down;     /* down for maintenance, or may go down any time */
  uint32_t doubted;  /* of the latter, those that are in use */
  uint32_t reserved; /* about to be ordered down */
  uint32_t reserved_in_use;
  uint32_t listed_in_use;
  uint32_t active_in_use;
  uint32_t down_in_use;
} wave_count_t;

static wave_count_t
count_wave (const sched_t *sched, const wave_t *wave, int64_t now_us)
{
  wave_count_t count = { 0 };

  for (uint32_t i = 0; i < wave->names->len; i++)
    {
      const char *name = g_ptr_array_index (wave->names, i);
      const host_t *host = g_hash_table_lookup (sched->hosts, name);
      bool down;
      bool active;
      bool in_use;
      bool reserved;

      if (!host || !host->listed)
        continue; /* no longer exists */
      down = host_order_counts (&host->order, wave->number)
             || host->state == HOST_STATUS_MAINTENANCE
             || (g_hash_table_contains (wave->ordered, name)
                 && !g_hash_table_contains (wave->begun, name));
      active = (host->cordoned && !host->move_to) || down;
      in_use = !host_is_evacuated (host);
      count.listed++;
      count.left += !g_hash_table_contains (wave->begun, name);
      count.active += active;
      count.down += down;
      count.doubted += down && !host_order_is_open (&host->order)
                       && host->state != HOST_STATUS_MAINTENANCE;
      reserved = is_reserved (wave, host, now_us);
      count.reserved += reserved;
      count.reserved_in_use += in_use && reserved;
      count.listed_in_use += in_use;
      count.active_in_use += in_use && active;
      count.down_in_use += in_use && down;
    }
  return count;
}

/* The number of hosts in use that WAVE may have down at a time: the same part
   of them as at_once is of all its hosts.  Hosts of withdrawn data centres
   give no room for the tasks of those that go down.  */
static uint32_t
limit_in_use (const wave_t *wave, const wave_count_t *count)
{
  if (count->listed_in_use == count->listed)
    return wave->at_once;
  return (uint32_t)MAX (
      (uint64_t)wave->at_once * count->listed_in_use / count->listed, 1);
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

/* Stops one long-running task of WORKER, on HOST, that has a place elsewhere,
   so that it starts again there.  Two tasks of one step on one host would
   block its maintenance for good.  */
static void
stop_one_long_running (sched_t *sched, drain_t *drain, const host_t *host,
                       const worker_t *worker, int64_t now_us)
{
  for (uint32_t i = 0; i < worker->runs->len; i++)
    {
      run_t *run = g_ptr_array_index (worker->runs, i);

      if (run->task->stage->spec->long_running && run->phase == RUN_STOPPING)
        return;
    }
  for (uint32_t i = 0; i < worker->runs->len; i++)
    {
      run_t *run = g_ptr_array_index (worker->runs, i);

      if (!run->task->stage->spec->long_running
          || !run_may_be_interrupted (run, now_us)
          || !drain_may_stop (drain, host, run))
        continue;
      task_log_interrupted (run->task, run->attempt, worker, "stop", "wave",
                            now_us);
      run_stop (sched, run);
      return;
    }
}

/* Logs that HOST does not go down yet, every DRAIN_MAX_US.  */
static void
log_waiting (const wave_t *wave, host_t *host, const char *why, int64_t now_us)
{
  if (now_us - host->cordoned_us < DRAIN_MAX_US || host->next_log_us > now_us)
    return;
  host->next_log_us = now_us + DRAIN_MAX_US;
  event_log (EV_WAVE_WAITING,
             "wave=%" PRIu64 " host=%s worker=%s emptying_ms=%" PRId64
             " why=%s",
             wave->number, host->name, host->worker,
             (now_us - host->cordoned_us) / 1000, why);
}

/* Whether the limits of WAVE allow HOST to go down.  A host that counts as
   down already, as its order is in doubt, is held to those that are down for
   certain.  Owners before may have left more orders in doubt than the limit
   allows; then it waits until those would have been carried out.  */
static bool
limits_allow_down (const wave_t *wave, const wave_count_t *count,
                   const host_t *host, int64_t now_us)
{
  uint32_t reserved = count->reserved - is_reserved (wave, host, now_us);

  switch (host->order.state)
    {
    case HOST_ORDER_UNANSWERED:
      return true;
    case HOST_ORDER_DOUBTED:
      return count->down - count->doubted < wave->at_once
             && (count->doubted <= wave->at_once
                 || now_us - host->order.us > DOUBT_WAIT_US);
    case HOST_ORDER_NONE:
    case HOST_ORDER_SENT:
    case HOST_ORDER_REPEATED:
    case HOST_ORDER_ACCEPTED:
    case HOST_ORDER_SEEN:
      break;
    }
  return count->down + reserved < wave->at_once
         && (host_is_evacuated (host)
             || count->down_in_use + MIN (reserved, count->reserved_in_use)
                    < limit_in_use (wave, count));
}

/* Whether WAVE may order HOST, which is drained, or has to repeat its order.
 */
static bool
may_order (const wave_t *wave, const wave_count_t *count, const host_t *host,
           int64_t now_us)
{
  return host->listed && host->cordoned && !host->move_to
         && host->retry_us <= now_us
         && !g_hash_table_contains (wave->begun, host->name)
         && (may_repeat (wave, host) || host->order.state == HOST_ORDER_NONE)
         && limits_allow_down (wave, count, host, now_us);
}

/* Whether HOST, which WAVE may order, is ready to go down.  If its
   long-running tasks keep it from that, one of them is stopped.  */
static bool
prepare_host (sched_t *sched, drain_t *drain, const wave_t *wave, host_t *host,
              int64_t now_us)
{
  bool is_down = host_order_is_open (&host->order);
  g_autoptr (GPtrArray) workers = NULL;

  if (!is_down && drain_is_stuck (drain, host))
    {
      log_waiting (wave, host, "no-place", now_us);
      return false;
    }
  workers = host_workers (sched, host);
  /* Short tasks had their time before the first order.  */
  if (!may_all_go_down (workers, is_down ? 0 : host->cordoned_us, now_us))
    {
      for (uint32_t i = 0; !is_down && i < workers->len; i++)
        stop_one_long_running (sched, drain, host,
                               g_ptr_array_index (workers, i), now_us);
      log_waiting (wave, host, "long-running-tasks-unavailable", now_us);
      return false;
    }
  return is_down || workers_are_recorded (sched, workers);
}

/* Has it stored that HOST will be ordered down for WAVE: an owner after this
   one has to count the order until it is settled.  */
static void
record_order (sched_t *sched, const wave_t *wave, host_t *host, int64_t now_us)
{
  host->order_record = ORDER_RECORDING;
  host->order_record_wave = wave->number;
  host->order_record_us = now_us;
  fleet_update_add (sched, FLEET_UPDATE_HOST_ORDERED, wave->number,
                    host->name);
}

/* Orders the maintenance of a host of WAVE that is ready for it, or orders it
   again if there was no answer.  */
static void
order_maintenance (sched_t *sched, drain_t *drain, const wave_t *wave,
                   const wave_count_t *count, sched_now_t now)
{
  host_t *unrecorded = NULL;

  for (uint32_t i = 0; i < wave->names->len; i++)
    {
      host_t *host = g_hash_table_lookup (sched->hosts,
                                          g_ptr_array_index (wave->names, i));

      if (!host || !may_order (wave, count, host, now.us)
          || !prepare_host (sched, drain, wave, host, now.us))
        continue;
      if (!is_recorded (wave, host))
        {
          /* Another wave may be about to order it.  */
          if (!unrecorded && host->order_record != ORDER_RECORDING)
            unrecorded = host;
          continue;
        }
      host_order_add (sched, host,
                      (host_order_t){ .kind = HOST_ORDER_MAINTENANCE,
                                      .wave = wave->number },
                      now.us);
      return; /* each order changes which others are allowed */
    }
  if (unrecorded)
    record_order (sched, wave, unrecorded, now.us);
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
          && count->active_in_use >= limit_in_use (wave, count)
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
  wave_count_t count = count_wave (sched, wave, now.us);

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
  order_maintenance (sched, drain, wave, &count, now);
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

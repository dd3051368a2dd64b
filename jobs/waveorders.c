#include "waveint.h"

/* A host that is about to be ordered keeps the place of another one for this
   time.  */
#define RESERVED_MAX_US 2000000

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

bool
wave_may_repeat (const wave_t *wave, const host_t *host)
{
  return host_order_may_repeat (&host->order)
         && host->order.order.kind == HOST_ORDER_MAINTENANCE
         && host->order.order.wave == wave->number;
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

wave_count_t
wave_count (const sched_t *sched, const wave_t *wave, int64_t now_us)
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

uint32_t
wave_limit_in_use (const wave_t *wave, const wave_count_t *count)
{
  if (count->listed_in_use == count->listed)
    return wave->at_once;
  return (uint32_t)MAX (
      (uint64_t)wave->at_once * count->listed_in_use / count->listed, 1);
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
                    < wave_limit_in_use (wave, count));
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
         && (wave_may_repeat (wave, host)
             || host->order.state == HOST_ORDER_NONE)
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

void
wave_order_maintenance (sched_t *sched, drain_t *drain, const wave_t *wave,
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

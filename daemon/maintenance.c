#include "planner.h"
#include <string.h>

#define REBOOT_TIMEOUT_MS 2000
#define RECORDS_MAX 16
#define REBOOTS_MAX 64
#define ENTRIES_MAX 64

struct maintenance
{
  const settings_t *settings;
  exchange_t *exchange;
  planner_t *planner;
  platform_t *platform;
  watch_t *watch;
  wave_times_t times;
  GHashTable *rebooted; /* interned host name to its version when rebooted */
};

maintenance_t *
maintenance_new (const settings_t *settings, exchange_t *exchange,
                 planner_t *planner, platform_t *platform)
{
  maintenance_t *maintenance = g_new0 (maintenance_t, 1);

  maintenance->settings = settings;
  maintenance->exchange = exchange;
  maintenance->planner = planner;
  maintenance->platform = platform;
  maintenance->watch = watch_new ();
  maintenance->rebooted = g_hash_table_new (g_str_hash, g_str_equal);
  maintenance->times = (wave_times_t){
    .settle_us = (int64_t)settings->host_settle_ms * 1000,
    .drain_idle_us = (int64_t)settings->host_quiet_ms * 1000,
    .unseen_restart_us = WAVE_UNSEEN_RESTART_US,
    .maintenance_timeout_us = WAVE_MAINTENANCE_TIMEOUT_US,
  };
  return maintenance;
}

void
maintenance_free (maintenance_t *maintenance)
{
  g_hash_table_destroy (maintenance->rebooted);
  watch_free (maintenance->watch);
  g_free (maintenance);
}

static void
update_watch (maintenance_t *maintenance, const view_t *view,
              const live_list_t *list, int64_t now_us)
{
  g_autofree host_report_t *reports = g_new0 (host_report_t, list->count);

  for (uint32_t i = 0; i < list->count; i++)
    {
      reports[i].host = list->hosts[i].host;
      reports[i].leaving = list->hosts[i].state == LIVE_LEAVING;
      /* The platform lists a host as live when its own checks pass.  */
      reports[i].verified = !reports[i].leaving;
      reports[i].load_known
          = exchange_host_load (maintenance->exchange, view,
                                list->hosts[i].host, now_us, &reports[i].load);
    }
  watch_update (maintenance->watch, view->state, reports, list->count, now_us);
}

/* A host that this daemon has to reboot.  */
typedef struct reboot
{
  const char *host; /* interned */
  uint64_t version;
} reboot_t;

static uint32_t
find_reboots (const maintenance_t *maintenance, const wave_input_t *in,
              reboot_t *reboots, uint32_t max)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < in->state->hosts.count && count < max; i++)
    {
      const host_state_t *host = table_at (&in->state->hosts, i);
      gpointer rebooted;

      if (host->phase != HOST_MAINTENANCE)
        continue;
      rebooted = g_hash_table_lookup (maintenance->rebooted, host->name);
      if (GPOINTER_TO_SIZE (rebooted) == host->version
          || strcmp (in->entries[wave_owner (host->name, in->entries,
                                             in->entries_count)],
                     in->self)
                 != 0)
        continue;
      reboots[count++] = (reboot_t){ host->name, host->version };
    }
  return count;
}

/* The platform reboots a host once per token; with the host's version in the
   state as the token, a repeated call does nothing.  */
static void
reboot_hosts (maintenance_t *maintenance, const reboot_t *reboots,
              uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    if (host_reboot (maintenance->platform, reboots[i].host,
                     reboots[i].version, REBOOT_TIMEOUT_MS)
        == LOG_OK)
      g_hash_table_insert (maintenance->rebooted, (gpointer)reboots[i].host,
                           GSIZE_TO_POINTER (reboots[i].version));
}

static void
log_record (const rec_t *rec)
{
  switch (rec->kind)
    {
    case REC_DRAIN:
      event_log (EV_HOST_DRAINING, "host=%s wave=%s", rec->u.drain.host,
                 rec->u.drain.wave);
      return;
    case REC_HOST_STATE:
      if (rec->u.host_state.phase == HOST_FAILED)
        event_log (EV_HOST_FAILED, "host=%s", rec->u.host_state.host);
      else if (rec->u.host_state.phase == HOST_IN_SERVICE)
        event_log (EV_HOST_RETURNED, "host=%s", rec->u.host_state.host);
      return;
    case REC_WAVE:
      event_log (EV_WAVE_DONE, "wave=%s", rec->u.wave.wave);
      return;
    case REC_HOST_MOVE:
      event_log (EV_HOST_MOVED, "host=%s pool=%s", rec->u.host_move.host,
                 rec->u.host_move.pool);
      return;
    case REC_CONFIG:
    case REC_KEY_GRANT:
    case REC_KEY_WITHDRAW:
    case REC_JOIN:
    case REC_LEAVE:
    case REC_UNKNOWN:
      return;
    }
}

/* No retry: a record whose append was not confirmed is decided again from the
   state on the next step.  */
static void
append_records (maintenance_t *maintenance, const rec_t *recs, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      if (append_record (maintenance->platform, &recs[i]) != LOG_OK)
        return;
      log_record (&recs[i]);
    }
}

/* Fills RECS with up to MAX records of moves and returns their number.  */
static uint32_t
make_move_records (const maintenance_t *maintenance, const view_t *view,
                   const wave_input_t *wave, rec_t *recs, uint32_t max)
{
  planner_input_t in = {
    .view = view,
    .watch = maintenance->watch,
    .demand = exchange_demand (maintenance->exchange),
    .entries = wave->entries,
    .entries_count = wave->entries_count,
    .fresh = wave->fresh,
    .now_us = wave->now_us,
    .now_ms = wave->now_ms,
  };

  return planner_step (maintenance->planner, &in, recs, max);
}

void
maintenance_step (maintenance_t *maintenance, const live_list_t *list)
{
  int64_t now_us = clock_mono_us ();
  const char *entries[ENTRIES_MAX];
  rec_t recs[RECORDS_MAX];
  reboot_t reboots[REBOOTS_MAX];
  uint32_t reboots_count = 0;
  const view_t *view;
  uint32_t count = 0;
  wave_input_t in = {
    .watch = maintenance->watch,
    .times = &maintenance->times,
    .self = maintenance->settings->name,
    .entries = entries,
    .now_us = now_us,
    .now_ms = clock_wall_ms (),
  };

  rcu_read_lock ();
  view = view_get ();
  if (view && view->state->config)
    {
      in.entries_count = exchange_live_hosts (maintenance->exchange, entries,
                                              ENTRIES_MAX, now_us);
      in.fresh = view_freshness (view, now_us, 0) == FRESH;
      in.state = view->state;
      update_watch (maintenance, view, list, now_us);
      count = wave_next (&in, recs, RECORDS_MAX);
      count += make_move_records (maintenance, view, &in, recs + count,
                                  RECORDS_MAX - count);
      if (in.fresh)
        reboots_count = find_reboots (maintenance, &in, reboots, REBOOTS_MAX);
    }
  rcu_read_unlock ();
  /* Calls to the platform may block, which would delay RCU grace periods, so
     they come after the read-side section.  */
  append_records (maintenance, recs, count);
  reboot_hosts (maintenance, reboots, reboots_count);
}

#include "core.h"
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#define EPOLL_EVENTS_MAX 64
/* Limits on connections to one address.  The store gets three long polls, an
   append, a snapshot and records of waves at a time; a worker gets a hold and
   orders.  libcurl checks each idle connection every second: with 8
   connections to each of 350 workers that took 50 ms of each second.  */
#define STORE_CONNECTIONS 8
#define WORKER_CONNECTIONS 3
#define PIPE_ENTRIES_MAX 8192
/* Longest wait of the loop.  If an iteration starts PAUSE_MIN_US after the
   previous one, the process was suspended.  */
#define ITERATION_INTERVAL_MAX_US 200000
#define PAUSE_MIN_US 900000
/* Minimum interval between progress records.  A longer one saves calls to the
   store but delays the final states that clients see.  */
#define PROGRESS_INTERVAL_US 10000
#define LOAD_WINDOW_US 100000
/* A daemon that has had replies to read for this time goes by those that it
   has read; otherwise no call would time out while it is overloaded.  */
#define READ_LAG_MAX_US 2000000
/* Pending counts may be up to 2 s old.  */
#define HOUSEKEEPING_INTERVAL_US 500000
/* How long a stopping daemon waits for its last appends.  */
#define STOP_APPENDS_MAX_US 200000
/* Interval at which an owner whose history is at risk looks again.  */
#define AT_RISK_RETRY_US 50000
/* Final jobs are shown longer than required, because clocks differ.  */
#define STATUS_KEPT_PERCENT 125

sched_now_t
core_now (void)
{
  return (sched_now_t){ .us = clock_boot_us (), .wall_ms = clock_wall_ms () };
}

void
due_min (int64_t *due_us, int64_t at_us)
{
  *due_us = MIN (*due_us, at_us);
}

void
core_set_store_reached (core_t *core, bool reached, const char *call)
{
  if (reached == core->store_reached)
    return;
  core->store_reached = reached;
  event_log (reached ? EV_LOG_REACHED : EV_LOG_UNREACHABLE, "call=%s", call);
  atomic_store (&core->model->store_failing_since_us,
                reached ? 0 : clock_boot_us ());
}

static void
drop_sched (core_t *core)
{
  orders_clear (core);
  g_clear_pointer (&core->sched, sched_free);
  admissions_release (core);
}

void
core_lose_ownership (core_t *core, const char *refused_by)
{
  if (!core->sched)
    return;
  event_log (EV_OWNER_LOST, "epoch=%" PRIu64 " refused_by=%s",
             core->tab->owner.epoch, refused_by);
  core->owner.superseded = true;
  drop_sched (core);
}

void
core_set_rules (core_t *core, rules_t *rules)
{
  if (core->sched)
    sched_set_rules (core->sched, rules);
  core->rules = rules;
  readmodel_publish_rules (core->model, rules);
  event_log (EV_CONFIG_IN_EFFECT, "version=%" PRIu64 " queues=%u",
             rules->version, rules->queues->len);
  core->housekeeping_due_us = 0;
}

void
core_confirm_rules (core_t *core, int64_t sent_us)
{
  atomic_store (&core->model->rules_known_us, sent_us);
  if (core->sched)
    sched_confirm_rules (core->sched, sent_us);
}

static void
append_owner_record (core_t *core, job_rec_kind_t kind, uint64_t epoch)
{
  job_rec_t rec = { .kind = kind };

  rec.u.owner.epoch = epoch;
  rec.u.owner.holder = core->holder;
  rec.u.owner.heeds_silences = kind == JREC_CLAIM;
  appends_add_direct (core, job_rec_pack (&rec),
                      kind == JREC_PROBE || kind == JREC_CLAIM);
}

void
core_note_gap (core_t *core, uint64_t end)
{
  if (history_is_complete (&core->history))
    event_log (EV_TABLE_INCOMPLETE,
               "next=%" PRIu64 " first=%" PRIu64 " owner=%d", core->tab->next,
               end, core->sched != NULL);
  history_note_gap (&core->history, end);
  core->owner.incomplete = true;
  if (!core->sched)
    return;
  append_owner_record (core, JREC_RELEASE, core->tab->owner.epoch);
  core_lose_ownership (core, "gap-in-the-log");
}

void
core_fill_gap (core_t *core)
{
  if (history_is_complete (&core->history))
    return;
  event_log (EV_TABLE_COMPLETE, "next=%" PRIu64, core->tab->next);
  history_fill_gap (&core->history);
  core->owner.incomplete = false;
}

void
core_publish_position (core_t *core)
{
  if (history_is_complete (&core->history))
    atomic_store (&core->model->log_position, core->tab->next);
}

static void
start_sched (core_t *core, int64_t now_us)
{
  const entry_settings_t *s = core->settings;
  sched_limits_t limits
      = { .lease_ms = MIN (s->hold_max_ms, SCHED_LEASE_MS),
          .hold_max_ms = s->hold_max_ms,
          .stop_grace_ms = s->stop_grace_ms,
          .notice_ms = s->notice_ms,
          .host_lease_ms = s->host_lease_ms,
          .evacuate_ms = s->evacuate_ms,
          .avoid_interference = g_strcmp0 (s->interference, "avoid") == 0,
          .learn_run_times = s->learn_run_times,
          .admit_by_objective = s->admission_by_objective,
          .keep_shares = g_strcmp0 (s->shares, "window") == 0 };

  /* Different owners keep an interval between their orders on a host.  An
     earlier process of this daemon counts as the same owner.  */
  if (core->tab->owner.same_daemon)
    limits.host_lease_ms = 0;

  counter_add (COUNT_OWNERSHIPS, 1);
  event_log (EV_OWNER_GAINED, "epoch=%" PRIu64 " jobs=%u",
             core->tab->owner.epoch, g_hash_table_size (core->tab->jobs));
  /* No daemon has all records, or it would have claimed earlier.  */
  core_fill_gap (core);
  history_start_owner (&core->history, now_us);
  core->sched = sched_new (core->tab, core->tab->owner.epoch, &limits,
                           core->rules, core_now ());
  sched_confirm_rules (core->sched,
                       atomic_load (&core->model->rules_known_us));
  sched_set_evacuated (core->sched, core->centres, core_now ());
  core->progress_due_us = now_us;
  feeds_restart_workers (core, now_us);
  hostcalls_start_owner (core);
}

static void
update_ownership (core_t *core, int64_t now_us)
{
  bool is_self = owner_is_self (&core->owner, core->tab);

  if (core->sched && !is_self)
    event_log (EV_OWNER_LOST, "epoch=%" PRIu64 " holder=%s",
               core->tab->owner.epoch, core->tab->owner.holder);
  drop_sched (core);
  if (is_self && core->owner.may_claim)
    start_sched (core, now_us);
}

static void
publish_changes (core_t *core, const job_rec_t *rec)
{
  const GArray *changes = rec->u.progress.changes;

  for (uint32_t i = 0; i < changes->len; i++)
    {
      const job_change_t *change = &g_array_index (changes, job_change_t, i);
      const job_entry_t *entry = jobtab_find (core->tab, change->id);

      if (entry)
        readmodel_put_job (core->model, entry);
    }
}

/* Passes on which runs are over by REC, the progress of a replaced owner.  */
static void
apply_superseded (core_t *core, const job_rec_t *rec)
{
  const GArray *over = rec->u.progress.over;

  if (!core->sched || !over || over->len == 0)
    return;
  event_log (EV_PROGRESS_SUPERSEDED,
             "epoch=%" PRIu64 " present=%" PRIu64 " over=%u",
             rec->u.progress.epoch, core->tab->owner.epoch, over->len);
  sched_end_runs (core->sched, over, core_now ());
}

void
core_record_folded (core_t *core, const job_rec_t *rec, fold_result_t fold,
                    size_t bytes, int64_t now_us)
{
  owner_note_record (&core->owner, core->tab, fold.kind, now_us);
  history_add_record (&core->history, bytes,
                      fold.kind != FOLD_NOTHING && fold.kind != FOLD_VOID
                          && fold.kind != FOLD_RENEWED
                          && fold.kind != FOLD_PROBED,
                      now_us);
  switch (fold.kind)
    {
    case FOLD_SUBMITTED:
      readmodel_put_job (core->model, fold.entry);
      if (core->sched)
        sched_add_job (core->sched, fold.entry, core_now ());
      return;
    case FOLD_CANCELLED:
      readmodel_put_job (core->model, fold.entry);
      if (core->sched)
        sched_cancel_job (core->sched, rec->u.cancel.id);
      return;
    case FOLD_CLAIMED:
      appends_drop_once (core);
      update_ownership (core, now_us);
      return;
    case FOLD_RELEASED:
      /* Decide on: in a slow store the next claim may take seconds.  */
      if (!core->sched || !owner_decides (&core->owner, core->tab))
        update_ownership (core, now_us);
      return;
    case FOLD_PROGRESS:
      publish_changes (core, rec);
      if (core->sched)
        sched_set_durable (core->sched, rec->u.progress.batch);
      return;
    case FOLD_SUPERSEDED:
      apply_superseded (core, rec);
      return;
    case FOLD_PROBED:
      if (rec->u.owner.holder
          && strcmp (rec->u.owner.holder, core->holder) == 0)
        owner_note_own_probe (&core->owner);
      return;
    case FOLD_DENIED:
    case FOLD_VOID:
    case FOLD_NOTHING:
    case FOLD_RENEWED:
      return;
    }
}

void
core_caught_up (core_t *core, int64_t sent_us, int64_t now_us)
{
  /* Without all records this daemon can't tell that a job does not exist.  */
  if (history_is_complete (&core->history)
      && atomic_exchange (&core->model->log_known_us, sent_us) == 0)
    core_publish_pending (core);
  owner_caught_up (&core->owner, core->tab, now_us);
  if (core->sched)
    sched_confirm_ownership (core->sched, sent_us);
  if (core->resync_needed && sent_us >= core->pause_detected_us)
    {
      core->resync_needed = false;
      orders_resume (core);
    }
  admissions_caught_up (core, sent_us);
}

static void
remove_from_readmodel (const job_entry_t *entry, void *ctx)
{
  core_t *core = ctx;

  readmodel_remove_job (core->model, entry->desc->id);
}

void
core_replace_table (core_t *core, jobtab_t *tab)
{
  GHashTableIter iter;
  gpointer entry;

  event_log (EV_SNAPSHOT_LOADED, "next=%" PRIu64 " jobs=%u", tab->next,
             g_hash_table_size (tab->jobs));
  g_hash_table_iter_init (&iter, core->tab->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &entry))
    if (!jobtab_find (tab, ((job_entry_t *)entry)->desc->id))
      remove_from_readmodel (entry, core);
  g_hash_table_iter_init (&iter, tab->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &entry))
    readmodel_put_job (core->model, entry);
  drop_sched (core);
  jobtab_free (core->tab);
  core->tab = tab;
  cancels_set_read (&tab->cancels, clock_boot_us ());
  appends_handle_snapshot (core);
  update_ownership (core, clock_boot_us ());
}

static void
run_owner (core_t *core, int64_t now_us)
{
  uint64_t epoch = core->tab->owner.epoch;

  /* Queued records already serve as the heartbeat of this owner.  */
  if (core->resync_needed || (core->sched && !appends_idle (core)))
    return;
  switch (owner_next (&core->owner, core->tab, now_us))
    {
    case OWNER_NONE:
      return;
    case OWNER_PROBE:
      event_log (EV_OWNER_PROBED, "epoch=%" PRIu64 " silent_ms=%" PRId64,
                 epoch, (now_us - core->owner.last_record_us) / 1000);
      agent_suspect_owner (core, now_us);
      append_owner_record (core, JREC_PROBE, epoch);
      return;
    case OWNER_CLAIM:
      event_log (EV_OWNER_CLAIMED,
                 "epoch=%" PRIu64 " silent_ms=%" PRId64 " store_ms=%" PRId64,
                 epoch + 1, (now_us - core->owner.last_record_us) / 1000,
                 core->owner.store_delay_us / 1000);
      agent_suspect_owner (core, now_us);
      append_owner_record (core, JREC_CLAIM, epoch + 1);
      return;
    case OWNER_RENEW:
      append_owner_record (core, JREC_RENEW, epoch);
      return;
    }
}

static void
append_progress (core_t *core, int64_t now_us)
{
  job_rec_t *rec;

  while ((rec = sched_progress (core->sched)))
    {
      appends_add (core, job_rec_pack (rec), NULL);
      job_rec_clear (rec);
      g_free (rec);
      core->owner.renewed_us = now_us;
      core->progress_due_us = now_us + PROGRESS_INTERVAL_US;
    }
}

/* Whether a record of progress that is appended now may be deleted before a
   snapshot holds it.  */
static bool
check_history (core_t *core, int64_t now_us)
{
  bool at_risk = history_is_at_risk (&core->history, now_us);

  if (at_risk != core->at_risk)
    event_log (at_risk ? EV_HISTORY_AT_RISK : EV_HISTORY_SAFE,
               "next=%" PRIu64 " keep_ms=%" PRId64, core->tab->next,
               core->history.keep_us / 1000);
  core->at_risk = at_risk;
  return at_risk;
}

static void
run_sched (core_t *core, int64_t now_us)
{
  if (!core->sched || core->resync_needed)
    return;
  if (sched_next_us (core->sched) <= now_us)
    {
      orders_send (core, sched_plan (core->sched, core_now ()));
      if (core->settings->advice && core->settings->advice[0])
        advice_calls_send (core, advice_requests (core->sched));
    }
  hostcalls_run (core, now_us);
  if (core->progress_due_us > now_us)
    return;
  if (check_history (core, now_us))
    core->progress_due_us = now_us + AT_RISK_RETRY_US;
  else
    append_progress (core, now_us);
}

static int
compare_pending (const void *a, const void *b)
{
  const readmodel_pending_t *l = a;
  const readmodel_pending_t *r = b;

  return l->queue < r->queue ? -1 : l->queue > r->queue;
}

void
core_publish_pending (core_t *core)
{
  g_autoptr (GHashTable) counts = g_hash_table_new (NULL, NULL);
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  readmodel_pending_t *rows;
  uint32_t count = 0;

  if (!history_is_complete (&core->history)
      || atomic_load (&core->model->log_known_us) == 0)
    return;
  g_hash_table_iter_init (&iter, core->tab->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const job_entry_t *entry = value;
      gpointer queue = (gpointer)entry->desc->queue;

      if (entry->state != JOB_STATE_QUEUED || entry->desc->repeats > 0)
        continue;
      g_hash_table_insert (
          counts, queue,
          GUINT_TO_POINTER (
              GPOINTER_TO_UINT (g_hash_table_lookup (counts, queue)) + 1));
    }
  rows = g_new0 (readmodel_pending_t, g_hash_table_size (counts) + 1);
  g_hash_table_iter_init (&iter, counts);
  while (g_hash_table_iter_next (&iter, &key, &value))
    rows[count++] = (readmodel_pending_t){ key, GPOINTER_TO_UINT (value) };
  qsort (rows, count, sizeof *rows, compare_pending);
  readmodel_publish_pending (core->model, rows, count);
}

static void
update_dump (core_t *core)
{
  GString *text;

  if (!atomic_exchange (&core->dump_wanted, false))
    return;
  text = g_string_new (NULL);
  g_string_append_printf (
      text,
      "self %s\nrules %" PRIu64 "\nlog-next %" PRIu64
      "\nowner %s epoch %" PRIu64 "%s\njobs-known %u\nstore %s\n",
      core->holder, core->rules ? core->rules->version : 0, core->tab->next,
      core->tab->owner.holder ? core->tab->owner.holder : "-",
      core->tab->owner.epoch, core->tab->owner.released ? " released" : "",
      g_hash_table_size (core->tab->jobs),
      core->store_reached ? "reached" : "not reached");
  for (uint32_t i = 0; i < core->centres->rows->len; i++)
    {
      const centre_t *row = &g_array_index (core->centres->rows, centre_t, i);
      g_autofree char *name = g_strescape (row->name, NULL);

      g_string_append_printf (text, "data-centre \"%s\" %s\n", name,
                              row->state == CENTRE_EVACUATED ? "withdrawn"
                                                             : "taken-back");
    }
  if (core->sched)
    sched_dump (core->sched, text, core_now ());
  g_mutex_lock (&core->dump_lock);
  g_free (core->dump);
  core->dump = g_string_free (text, FALSE);
  g_mutex_unlock (&core->dump_lock);
}

char *
core_dump (core_t *core)
{
  char *text;

  atomic_store (&core->dump_wanted, true);
  g_mutex_lock (&core->dump_lock);
  text = g_strdup (core->dump ? core->dump : "no state yet: ask again\n");
  g_mutex_unlock (&core->dump_lock);
  return text;
}

static void
run_housekeeping (core_t *core, int64_t now_us)
{
  if (core->sched && history_snapshot_is_due (&core->history, now_us))
    snapshot_write (core, now_us);
  if (core->housekeeping_due_us > now_us)
    return;
  core->housekeeping_due_us = now_us + HOUSEKEEPING_INTERVAL_US;
  core_publish_pending (core);
  centres_expire (core->centres, now_us);
  update_dump (core);
  hub_update_workers (core);
  jobtab_purge (core->tab, clock_wall_ms (),
                (int64_t)core->settings->status_s * 10 * STATUS_KEPT_PERCENT,
                remove_from_readmodel, core);
}

static void
take_requests (core_t *core)
{
  pipe_node_t *node;

  pipe_clear_wakeup (&core->pipe);
  while ((node = pipe_get (&core->pipe)))
    {
      append_req_t *request = caa_container_of (node, append_req_t, node);

      admissions_take (core, request, clock_boot_us ());
    }
}

/* Detects that the process was suspended.  Its knowledge may be outdated, so
   no orders are sent until the log was read again.  */
static void
check_pause (core_t *core, int64_t now_us)
{
  int64_t gap_us = now_us - core->iteration_us;

  core->iteration_us = now_us;
  if (gap_us < PAUSE_MIN_US)
    return;
  event_log (EV_PROCESS_PAUSED, "ms=%" PRId64, gap_us / 1000);
  core->resync_needed = true;
  core->pause_detected_us = now_us;
  owner_note_pause (&core->owner, now_us);
  agent_reset (core);
}

static void
release_ownership (core_t *core)
{
  if (!core->owner.may_claim)
    return;
  core->owner.may_claim = false;
  if (!core->sched)
    return;
  append_progress (core, clock_boot_us ());
  append_owner_record (core, JREC_RELEASE, core->tab->owner.epoch);
  event_log (EV_OWNER_RELEASED, "epoch=%" PRIu64, core->tab->owner.epoch);
}

static int
wait_ms (core_t *core)
{
  int64_t now_us = clock_boot_us ();
  int64_t due_us = now_us + ITERATION_INTERVAL_MAX_US;

  due_min (&due_us, calls_due_us (core->calls));
  due_min (&due_us, calls_due_us (core->worker_calls));
  due_min (&due_us, feeds_due_us (core));
  due_min (&due_us, appends_due_us (core, now_us));
  due_min (&due_us, admissions_due_us (core));
  due_min (&due_us, explains_due_us (core));
  due_min (&due_us, links_due_us (core->links));
  due_min (&due_us, hub_due_us (core));
  due_min (&due_us, agent_due_us (core));
  if (core->sched && !core->resync_needed)
    {
      due_min (&due_us, sched_next_us (core->sched));
      if (sched_has_progress (core->sched))
        due_min (&due_us, core->progress_due_us);
    }
  return due_us <= now_us ? 0 : (int)((due_us - now_us + 999) / 1000);
}

/* Reports the share of time that the loop is busy to the scheduler.  */
static void
update_load (core_t *core, int64_t began_us)
{
  int64_t now_us = clock_boot_us ();
  int64_t span_us = now_us - core->load_window_us;

  core->busy_us += now_us - began_us;
  if (span_us < LOAD_WINDOW_US)
    return;
  if (core->sched)
    sched_set_load (core->sched, (uint32_t)(core->busy_us * 100 / span_us));
  core->busy_us = 0;
  core->load_window_us = now_us;
}

static void
run_calls (core_t *core, int64_t now_us)
{
  calls_run_due (core->calls, core->read_us, now_us);
  calls_run_due (core->worker_calls, core->read_us, now_us);
}

/* Notes how far replies are read after COUNT events were handled that were
   ready at NOW_US.  More are ready if the list was full.  */
static void
update_read_time (core_t *core, int count, int64_t now_us)
{
  if (count < EPOLL_EVENTS_MAX)
    core->read_us = now_us;
  else
    core->read_us = MAX (core->read_us, now_us - READ_LAG_MAX_US);
}

static void
run_iteration (core_t *core)
{
  struct epoll_event events[EPOLL_EVENTS_MAX];
  int count
      = epoll_wait (core->epoll_fd, events, EPOLL_EVENTS_MAX, wait_ms (core));
  int64_t now_us = clock_boot_us ();
  int64_t began_us = now_us;

  check_pause (core, now_us);
  for (int i = 0; i < count; i++)
    if (events[i].data.fd == core->pipe.event_fd)
      take_requests (core);
    else if (!explains_handle_event (core, events[i].data.fd)
             && !links_handle_event (core->links, events[i].data.fd,
                                     events[i].events, now_us))
      {
        calls_handle_event (core->calls, events[i].data.fd, events[i].events);
        calls_handle_event (core->worker_calls, events[i].data.fd,
                            events[i].events);
      }
  update_read_time (core, count, now_us);
  run_calls (core, now_us);
  hub_expire (core, core->read_us, now_us);
  agent_run (core, core->read_us, now_us);
  now_us = clock_boot_us ();
  if (atomic_load (&core->release_requested))
    release_ownership (core);
  run_owner (core, now_us);
  run_sched (core, now_us);
  explains_run (core, now_us); /* after the plan: what can start has */
  admissions_expire (core, now_us);
  appends_run (core, now_us);
  feeds_run (core, now_us);
  run_housekeeping (core, now_us);
  /* Starts the transfers that were added in this iteration.  */
  run_calls (core, now_us);
  links_run (core->links, core->read_us, now_us);
  update_load (core, began_us);
}

static void *
run (void *arg)
{
  core_t *core = arg;
  int64_t end_us;

  rcu_register_thread ();
  core->iteration_us = clock_boot_us ();
  while (!atomic_load (&core->stopping))
    run_iteration (core);
  end_us = clock_boot_us () + STOP_APPENDS_MAX_US;
  while ((!appends_idle (core) || core->pending_folds->len > 0)
         && clock_boot_us () < end_us)
    run_iteration (core);
  rcu_unregister_thread ();
  return NULL;
}

core_t *
core_start (const entry_settings_t *settings, readmodel_t *model)
{
  core_t *core = g_new0 (core_t, 1);
  entry_limits_t limits;
  struct epoll_event event = { .events = EPOLLIN };
  int64_t now_us = clock_boot_us ();

  core->settings = settings;
  core->model = model;
  core->store_reached = true;
  g_mutex_init (&core->dump_lock);
  core->holder = holder_name (settings->name, clock_wall_ms (),
                              settings->cpu_share, settings->peer);
  core->tab = jobtab_new ();
  core->centres = centres_new ();
  history_init (&core->history, (int64_t)settings->keep_s * 1000000);
  core->epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  if (core->epoll_fd < 0 || !pipe_open (&core->pipe, PIPE_ENTRIES_MAX))
    return NULL;
  event.data.fd = core->pipe.event_fd;
  epoll_ctl (core->epoll_fd, EPOLL_CTL_ADD, core->pipe.event_fd, &event);
  if (!explains_open (core))
    return NULL;
  entry_settings_limits (settings, &limits);
  core->calls = calls_open (core->epoll_fd, STORE_CONNECTIONS,
                            limits.store_connections);
  core->worker_calls = calls_open (core->epoll_fd, WORKER_CONNECTIONS,
                                   limits.worker_connections);
  owner_init (&core->owner, core->holder, settings->cpu_share,
              (uint32_t)(hash_bytes (core->holder, strlen (core->holder), 0)
                         % OWNER_JITTER_US));
  if (!hub_open (core))
    return NULL;
  agent_open (core);
  appends_open (core);
  orders_open (core);
  hostcalls_open (core);
  snapshots_open (core);
  feeds_open (core, now_us);
  if (pthread_create (&core->thread, NULL, run, core) != 0)
    return NULL;
  return core;
}

/* Passes NODE to PIPE unless the core halts.  core_halt waits until no thread
   is between the two steps.  */
static bool
pass (core_t *core, pipe_t *pipe, pipe_node_t *node)
{
  bool passed;

  rcu_read_lock ();
  passed = !atomic_load (&core->halted) && pipe_put (pipe, node);
  rcu_read_unlock ();
  return passed;
}

bool
core_append (core_t *core, append_req_t *request)
{
  return pass (core, &core->pipe, &request->node);
}

bool
core_explain (core_t *core, explain_req_t *request)
{
  return pass (core, &core->explains, &request->node);
}

void
core_release_ownership (core_t *core)
{
  atomic_store (&core->release_requested, true);
}

/* Finishes the requests that the thread has not taken; none has an effect.
   There are some if it has spent the time of its last appends.  */
static void
refuse_requests (core_t *core)
{
  pipe_node_t *node;

  while ((node = pipe_get (&core->pipe)))
    appends_finish_request (caa_container_of (node, append_req_t, node),
                            APPEND_NOT_STORED);
}

void
core_halt (core_t *core)
{
  atomic_store (&core->halted, true);
  synchronize_rcu ();
  atomic_store (&core->stopping, true);
  pthread_join (core->thread, NULL);
  refuse_requests (core);
  admissions_release (core);
  explains_close (core);
  appends_close (core);
}

void
core_free (core_t *core)
{
  drop_sched (core);
  orders_close (core);
  agent_close (core);
  hub_close (core);
  hostcalls_close (core);
  summaries_close (core);
  feeds_close (core);
  calls_close (core->calls);
  calls_close (core->worker_calls);
  snapshots_close (core);
  pipe_close (&core->pipe);
  close (core->epoll_fd);
  jobtab_free (core->tab);
  centres_free (core->centres);
  g_free (core->holder);
  g_free (core->dump);
  g_mutex_clear (&core->dump_lock);
  g_free (core);
}

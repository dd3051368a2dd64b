#include "core.h"
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#define EVENTS_AT_ONCE 64
/* Connections to one address.  The store's: three long polls, an append, a
   snapshot and records about waves.  A worker's: its held look and orders
   beside it; libcurl looks at each idle one every second, which took 50 ms of
   each second with eight to each of 350 workers.  */
#define STORE_CONNECTIONS 8
#define WORKER_CONNECTIONS 3
#define PIPE_ENTRIES 8192
/* The loop turns at least so often; a turn that comes much later says that the
   process stood still.  */
#define TURN_MAX_US 200000
#define PAUSE_US 900000
/* The owner gathers progress for so long before it appends it: fewer calls of
   the store, at the cost of what callers wait to see the last end.  */
#define PROGRESS_PAUSE_US 10000
/* The load is measured over so long.  */
#define LOAD_SPAN_US 100000
/* Pending counts may be 2 s old.  */
#define HOUSEKEEPING_US 500000
/* What a stopping daemon still waits for the store.  */
#define LAST_APPENDS_US 200000
/* Snapshots in the time for which the store keeps records.  */
#define SNAPSHOTS_PER_KEEP 4
/* Final jobs are shown a little longer than asked, as clocks differ.  */
#define STATUS_PERCENT 125

sched_now_t
core_now (void)
{
  return (sched_now_t){ .us = clock_boot_us (), .wall_ms = clock_wall_ms () };
}

void
wake_at (int64_t *due_us, int64_t at_us)
{
  *due_us = MIN (*due_us, at_us);
}

void
core_store_state (core_t *core, bool reached, const char *what)
{
  if (reached == core->store_reached)
    return;
  core->store_reached = reached;
  event_log (reached ? EV_LOG_REACHED : EV_LOG_UNREACHABLE, "call=%s", what);
  atomic_store (&core->board->store_failed_us, reached ? 0 : clock_boot_us ());
}

static void
drop_sched (core_t *core)
{
  orders_clear (core);
  g_clear_pointer (&core->sched, sched_free);
}

void
core_depose (core_t *core, const char *why)
{
  if (!core->sched)
    return;
  event_log (EV_OWNER_LOST, "epoch=%" PRIu64 " refused_by=%s",
             core->tab->owner.epoch, why);
  core->owner.superseded = true;
  drop_sched (core);
}

void
core_set_rules (core_t *core, rules_t *rules)
{
  event_log (EV_CONFIG_IN_EFFECT, "version=%" PRIu64 " queues=%u",
             rules->version, rules->queues->len);
  if (core->sched)
    sched_set_rules (core->sched, rules);
  core->rules = rules;
  board_publish (core->board, rules, NULL, 0);
  core->housekeeping_us = 0;
}

static void
start_sched (core_t *core, int64_t now_us)
{
  const entry_settings_t *s = core->settings;
  sched_limits_t limits = { .lease_ms = MIN (s->hold_max_ms, SCHED_LEASE_MS),
                            .stop_grace_ms = s->stop_grace_ms,
                            .notice_ms = s->notice_ms,
                            .host_lease_ms = s->host_lease_ms };

  /* Holders of hosts that take turns keep a pause between their orders; an
     earlier life of this daemon was the same holder.  */
  if (core->tab->owner.same_daemon)
    limits.host_lease_ms = 0;

  counter_add (COUNT_OWNERSHIPS, 1);
  event_log (EV_OWNER_GAINED, "epoch=%" PRIu64 " jobs=%u",
             core->tab->owner.epoch, g_hash_table_size (core->tab->jobs));
  core->sched = sched_new (core->tab, core->tab->owner.epoch, &limits,
                           core->rules, core_now ());
  core->progress_due_us = now_us;
  feeds_watch_workers (core, now_us);
  hostcalls_restart (core);
}

static void
follow_owner (core_t *core, int64_t now_us)
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
show_changes (core_t *core, const job_rec_t *rec)
{
  const GArray *changes = rec->u.progress.changes;

  for (uint32_t i = 0; i < changes->len; i++)
    {
      const job_change_t *change = &g_array_index (changes, job_change_t, i);
      const job_entry_t *entry = jobtab_find (core->tab, change->id);

      if (entry)
        board_put (core->board, entry);
    }
}

void
core_folded (core_t *core, const job_rec_t *rec, fold_result_t folded,
             int64_t now_us)
{
  owner_note_record (&core->owner, core->tab, folded.kind, now_us);
  core->tab_changed |= folded.kind != FOLD_NOTHING
                       && folded.kind != FOLD_RENEWED
                       && folded.kind != FOLD_PROBED;
  switch (folded.kind)
    {
    case FOLD_SUBMITTED:
      board_put (core->board, folded.entry);
      if (core->sched)
        sched_add_job (core->sched, folded.entry, core_now ());
      return;
    case FOLD_CANCELLED:
      board_put (core->board, folded.entry);
      if (core->sched)
        sched_cancel_job (core->sched, rec->u.cancel);
      return;
    case FOLD_CLAIMED:
      follow_owner (core, now_us);
      return;
    case FOLD_RELEASED:
      /* The next claim may be seconds away in a slow store.  */
      if (!core->sched || !owner_decides (&core->owner, core->tab))
        follow_owner (core, now_us);
      return;
    case FOLD_PROGRESS:
      show_changes (core, rec);
      if (core->sched)
        sched_set_durable (core->sched, rec->u.progress.batch);
      return;
    case FOLD_NOTHING:
    case FOLD_RENEWED:
    case FOLD_PROBED:
      return;
    }
}

void
core_caught_up (core_t *core, int64_t sent_us, int64_t now_us)
{
  atomic_store (&core->board->log_known_us, sent_us);
  owner_caught_up (&core->owner, core->tab, now_us);
  if (sent_us >= core->paused_us)
    core->unsure_since_pause = false;
  if (core->sched)
    sched_confirm_ownership (core->sched, sent_us);
}

static void
drop_from_board (const job_entry_t *entry, void *ctx)
{
  core_t *core = ctx;

  board_drop (core->board, entry->desc->id);
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
      drop_from_board (entry, core);
  g_hash_table_iter_init (&iter, tab->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &entry))
    board_put (core->board, entry);
  drop_sched (core);
  jobtab_free (core->tab);
  core->tab = tab;
  follow_owner (core, clock_boot_us ());
}

static void
append_owner_record (core_t *core, job_rec_kind_t kind, uint64_t epoch)
{
  job_rec_t rec = { .kind = kind };

  rec.u.owner.epoch = epoch;
  rec.u.owner.holder = core->self;
  appends_add (core, job_rec_pack (&rec), NULL);
}

static void
run_owner (core_t *core, int64_t now_us)
{
  uint64_t epoch = core->tab->owner.epoch;

  /* What is on its way says that the owner is there.  */
  if (core->unsure_since_pause || (core->sched && !appends_idle (core)))
    return;
  switch (owner_next (&core->owner, core->tab, now_us))
    {
    case OWNER_NONE:
      return;
    case OWNER_PROBE:
      event_log (EV_OWNER_PROBED, "epoch=%" PRIu64 " silent_ms=%" PRId64,
                 epoch, (now_us - core->owner.last_record_us) / 1000);
      append_owner_record (core, JREC_PROBE, epoch);
      return;
    case OWNER_CLAIM:
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
  job_rec_t *rec = sched_progress (core->sched);

  if (!rec)
    return;
  appends_add (core, job_rec_pack (rec), NULL);
  job_rec_clear (rec);
  g_free (rec);
  core->owner.renewed_us = now_us;
  core->progress_due_us = now_us + PROGRESS_PAUSE_US;
}

static void
run_sched (core_t *core, int64_t now_us)
{
  if (!core->sched || core->unsure_since_pause)
    return;
  if (sched_next_us (core->sched) <= now_us)
    {
      orders_send (core, sched_plan (core->sched, core_now ()));
      if (core->settings->advice && core->settings->advice[0])
        questions_send (core, advice_requests (core->sched));
    }
  hostcalls_run (core, now_us);
  if (core->progress_due_us <= now_us)
    append_progress (core, now_us);
}

static int
compare_pending (const void *a, const void *b)
{
  const board_pending_t *l = a;
  const board_pending_t *r = b;

  return l->queue < r->queue ? -1 : l->queue > r->queue;
}

/* Accepted jobs without times of which no task has started, by queue.  */
static void
publish_pending (core_t *core)
{
  g_autoptr (GHashTable) counts = g_hash_table_new (NULL, NULL);
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  board_pending_t *rows;
  uint32_t count = 0;

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
  rows = g_new0 (board_pending_t, g_hash_table_size (counts) + 1);
  g_hash_table_iter_init (&iter, counts);
  while (g_hash_table_iter_next (&iter, &key, &value))
    rows[count++] = (board_pending_t){ key, GPOINTER_TO_UINT (value) };
  qsort (rows, count, sizeof *rows, compare_pending);
  board_publish (core->board, NULL, rows, count);
}

static void
write_dump (core_t *core)
{
  GString *text;

  if (!atomic_exchange (&core->dump_wanted, false))
    return;
  text = g_string_new (NULL);
  g_string_append_printf (
      text,
      "self %s\nrules %" PRIu64 "\nlog-next %" PRIu64
      "\nowner %s epoch %" PRIu64 "%s\njobs-known %u\nstore %s\n",
      core->self, core->rules ? core->rules->version : 0, core->tab->next,
      core->tab->owner.holder ? core->tab->owner.holder : "-",
      core->tab->owner.epoch, core->tab->owner.released ? " released" : "",
      g_hash_table_size (core->tab->jobs),
      core->store_reached ? "reached" : "not reached");
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
keep_house (core_t *core, int64_t now_us)
{
  int64_t snapshot_every_us
      = (int64_t)core->settings->keep_s * 1000000 / SNAPSHOTS_PER_KEEP;

  if (core->housekeeping_us > now_us)
    return;
  core->housekeeping_us = now_us + HOUSEKEEPING_US;
  publish_pending (core);
  write_dump (core);
  jobtab_purge (core->tab, clock_wall_ms (),
                (int64_t)core->settings->status_s * 10 * STATUS_PERCENT,
                drop_from_board, core);
  if (core->sched && core->tab_changed && !core->snapshot_out
      && now_us - core->snapshot_us >= snapshot_every_us)
    snapshot_write (core, now_us);
}

static void
take_asks (core_t *core)
{
  pipe_node_t *node;

  pipe_clear_wakeup (&core->pipe);
  while ((node = pipe_get (&core->pipe)))
    {
      ask_t *ask = caa_container_of (node, ask_t, node);

      appends_add (core, g_bytes_ref (ask->record), ask);
    }
}

/* What was known before a pause may be long out of date: nothing is ordered
   until the log was read again.  */
static void
check_pause (core_t *core, int64_t now_us)
{
  int64_t gap_us = now_us - core->turn_us;

  core->turn_us = now_us;
  if (gap_us < PAUSE_US)
    return;
  event_log (EV_PROCESS_PAUSED, "ms=%" PRId64, gap_us / 1000);
  core->unsure_since_pause = true;
  core->paused_us = now_us;
  owner_note_pause (&core->owner, now_us);
}

static void
leave (core_t *core)
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
  int64_t due_us = now_us + TURN_MAX_US;

  wake_at (&due_us, calls_due_us (core->calls));
  wake_at (&due_us, calls_due_us (core->worker_calls));
  wake_at (&due_us, feeds_due_us (core));
  wake_at (&due_us, appends_due_us (core, now_us));
  if (core->sched && !core->unsure_since_pause)
    {
      wake_at (&due_us, sched_next_us (core->sched));
      if (sched_has_progress (core->sched))
        wake_at (&due_us, core->progress_due_us);
    }
  return due_us <= now_us ? 0 : (int)((due_us - now_us + 999) / 1000);
}

/* Tells the scheduler how much of its time the loop is at work.  */
static void
note_load (core_t *core, int64_t began_us)
{
  int64_t now_us = clock_boot_us ();
  int64_t span_us = now_us - core->load_us;

  core->busy_us += now_us - began_us;
  if (span_us < LOAD_SPAN_US)
    return;
  if (core->sched)
    sched_set_load (core->sched, (uint32_t)(core->busy_us * 100 / span_us));
  core->busy_us = 0;
  core->load_us = now_us;
}

static void
run_calls (core_t *core, int64_t now_us)
{
  calls_run_due (core->calls, now_us);
  calls_run_due (core->worker_calls, now_us);
}

static void
turn (core_t *core)
{
  struct epoll_event events[EVENTS_AT_ONCE];
  int count
      = epoll_wait (core->epoll_fd, events, EVENTS_AT_ONCE, wait_ms (core));
  int64_t now_us = clock_boot_us ();
  int64_t began_us = now_us;

  check_pause (core, now_us);
  for (int i = 0; i < count; i++)
    if (events[i].data.fd == core->pipe.event_fd)
      take_asks (core);
    else
      {
        calls_ready (core->calls, events[i].data.fd, events[i].events);
        calls_ready (core->worker_calls, events[i].data.fd, events[i].events);
      }
  run_calls (core, now_us);
  now_us = clock_boot_us ();
  if (atomic_load (&core->leaving))
    leave (core);
  run_owner (core, now_us);
  run_sched (core, now_us);
  appends_run (core, now_us);
  feeds_run (core, now_us);
  keep_house (core, now_us);
  /* Starts the transfers that were added on this turn.  */
  run_calls (core, now_us);
  note_load (core, began_us);
}

static void *
run (void *arg)
{
  core_t *core = arg;
  int64_t end_us;

  rcu_register_thread ();
  core->turn_us = clock_boot_us ();
  while (!atomic_load (&core->stopping))
    turn (core);
  end_us = clock_boot_us () + LAST_APPENDS_US;
  while (!appends_idle (core) && clock_boot_us () < end_us)
    turn (core);
  rcu_unregister_thread ();
  return NULL;
}

core_t *
core_start (const entry_settings_t *settings, board_t *board)
{
  core_t *core = g_new0 (core_t, 1);
  struct epoll_event event = { .events = EPOLLIN };
  int64_t now_us = clock_boot_us ();

  core->settings = settings;
  core->board = board;
  core->store_reached = true;
  g_mutex_init (&core->dump_lock);
  core->self
      = holder_name (settings->name, clock_wall_ms (), settings->cpu_share);
  core->tab = jobtab_new ();
  core->epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  if (core->epoll_fd < 0 || !pipe_open (&core->pipe, PIPE_ENTRIES))
    return NULL;
  event.data.fd = core->pipe.event_fd;
  epoll_ctl (core->epoll_fd, EPOLL_CTL_ADD, core->pipe.event_fd, &event);
  core->calls = calls_open (core->epoll_fd, STORE_CONNECTIONS);
  core->worker_calls = calls_open (core->epoll_fd, WORKER_CONNECTIONS);
  owner_init (&core->owner, core->self, settings->cpu_share,
              (uint32_t)(hash_bytes (core->self, strlen (core->self), 0)
                         % OWNER_JITTER_US));
  appends_open (core);
  orders_open (core);
  hostcalls_open (core);
  feeds_open (core, now_us);
  if (pthread_create (&core->thread, NULL, run, core) != 0)
    return NULL;
  return core;
}

bool
core_ask (core_t *core, ask_t *ask)
{
  return pipe_put (&core->pipe, &ask->node);
}

void
core_leave (core_t *core)
{
  atomic_store (&core->leaving, true);
}

void
core_stop (core_t *core)
{
  atomic_store (&core->stopping, true);
  pthread_join (core->thread, NULL);
  appends_close (core);
  drop_sched (core);
  orders_close (core);
  hostcalls_close (core);
  feeds_close (core);
  calls_close (core->calls);
  calls_close (core->worker_calls);
  pipe_close (&core->pipe);
  close (core->epoll_fd);
  jobtab_free (core->tab);
  g_free (core->self);
  g_free (core->dump);
  g_mutex_clear (&core->dump_lock);
  g_free (core);
}

#include "rig.h"

rig_t rig;

/* Settings of the rig's queue, without the service.  */
static const queue_settings_t queue_settings
    = { .max_attempts = 3, .stretch_milli = 1600, .latency_ms = 600 };

const char *
rig_id (uint32_t number)
{
  static char ids[16][JOB_ID_BYTES];
  char *id = ids[number % G_N_ELEMENTS (ids)];

  g_snprintf (id, JOB_ID_BYTES, "%016x", number);
  return id;
}

void
rig_open_sched (uint64_t epoch)
{
  sched_limits_t limits = { .lease_ms = SCHED_LEASE_MS,
                            .hold_max_ms = RIG_HOLD_MAX_MS,
                            .stop_grace_ms = 200,
                            .notice_ms = 4500,
                            .host_lease_ms = 3000,
                            .evacuate_ms = rig.evacuate_ms,
                            .avoid_interference = rig.avoid_interference,
                            .learn_run_times = rig.learns,
                            .admit_by_objective = rig.admits,
                            .keep_shares = rig.keeps_shares };
  rules_queue_t queue = { .name = g_intern_string (RIG_QUEUE),
                          .host = "h",
                          .path_prefix = "/q/",
                          .settings = queue_settings };
  rules_workspace_t space
      = { .name = g_intern_string (RIG_WORKSPACE), .weight = 10 };

  if (!rig.tab)
    rig.tab = jobtab_new ();
  if (rig.now.us == 0)
    rig.now = (sched_now_t){ .us = 1000000000, .wall_ms = 1700000000000 };
  if (!rig.rules)
    {
      rig.rules = rules_new (1);
      queue.settings.service = g_intern_string (RIG_SERVICE);
      g_array_append_val (rig.rules->queues, queue);
      g_array_append_val (rig.rules->workspaces, space);
    }
  rig.sched = sched_new (rig.tab, epoch, &limits, rig.rules, rig.now);
  rig.tab->owner.epoch = epoch;
  sched_confirm_ownership (rig.sched, rig.now.us);
}

void
rig_tear_down (void)
{
  sched_free (rig.sched);
  jobtab_free (rig.tab);
  rules_free (rig.rules);
  memset (&rig, 0, sizeof rig);
}

void
rig_advance_clock (int64_t ms)
{
  rig.now.us += ms * 1000;
  rig.now.wall_ms += ms;
  if (rig.sched)
    sched_confirm_ownership (rig.sched, rig.now.us);
}

job_step_t
rig_step (uint32_t count)
{
  return (job_step_t){ .count = count,
                       .need = { .cpu_milli = 1000, .mem_mib = 100 },
                       .estimate_ms = 500 };
}

fold_result_t
rig_fold_submission (uint32_t number, const job_step_t *steps,
                     uint32_t steps_count, uint64_t position)
{
  job_rec_t rec = { .kind = JREC_SUBMIT, .position = position };
  job_desc_t *desc = g_new0 (job_desc_t, 1);
  fold_result_t folded;

  memcpy (desc->id, rig_id (number), JOB_ID_BYTES);
  desc->workspace
      = g_intern_string (rig.workspace ? rig.workspace : RIG_WORKSPACE);
  desc->queue = g_intern_string (rig.service ? rig.service : RIG_QUEUE);
  desc->settings = queue_settings;
  desc->settings.service
      = g_intern_string (rig.service ? rig.service : RIG_SERVICE);
  if (rig.rules && rules_workspace (rig.rules, desc->workspace))
    desc->limits = *rules_workspace (rig.rules, desc->workspace);
  desc->payload = g_strdup ("payload");
  desc->steps = g_memdup2 (steps, steps_count * sizeof *steps);
  desc->steps_count = steps_count;
  desc->accepted_ms = rig.now.wall_ms;
  rec.u.submit = desc;
  if (!rig.tab)
    rig.tab = jobtab_new ();
  folded = jobtab_fold (rig.tab, &rec, rig.now.wall_ms, rig.now.us);
  job_rec_clear (&rec);
  if (rig.sched && folded.entry)
    sched_add_job (rig.sched, folded.entry, rig.now);
  return folded;
}

job_entry_t *
rig_submit (uint32_t number, const job_step_t *steps, uint32_t steps_count)
{
  return rig_fold_submission (number, steps, steps_count, 0).entry;
}

void
rig_report (const char *id, run_status_t *runs, uint32_t runs_count,
            run_end_t *ends, uint32_t ends_count)
{
  worker_reply_t reply = { .kind = REPLY_OK,
                           .clock_ms = rig.now.us / 1000,
                           .has_clock = true,
                           .sent_us = rig.now.us };
  worker_report_t report = { .runs = runs,
                             .runs_count = runs_count,
                             .ends = ends,
                             .ends_count = ends_count };

  rig_hold_reply (id, &reply, &report);
}

void
rig_hold_reply (const char *id, const worker_reply_t *reply,
                const worker_report_t *report)
{
  order_t hold = { .kind = ORDER_HOLD,
                   .worker = g_intern_string (id),
                   .address = g_intern_string ("10.0.0.1:80") };

  sched_hold_reply (rig.sched, &hold, reply, report, rig.now);
}

void
rig_worker (const char *id, uint32_t cores, bool unreachable)
{
  static const char *const labels[] = { "a", "r1", NULL };
  worker_info_t info
      = { .id = id,
          .service = rig.service ? rig.service : RIG_SERVICE,
          .address = "10.0.0.1:80",
          .data_centre = rig.data_centre ? rig.data_centre : "dc-1",
          .warmup_left_ms = rig.warmup_left_ms,
          .rack = "r1",
          .host = rig.host,
          .labels = labels,
          .capacity = { .cpu_milli = 1000 * (int64_t)cores, .mem_mib = 65536 },
          .state = WORKER_READY };

  sched_set_worker (rig.sched, &info, rig.now);
  if (!unreachable)
    rig_report (id, NULL, 0, NULL, 0);
}

void
rig_register (const char *address, const char *kind, int64_t boot_ms,
              worker_state_t state)
{
  const char *const labels[] = { kind, NULL };
  worker_info_t info = { .id = "w1",
                         .service = RIG_SERVICE,
                         .address = address,
                         .data_centre = "dc-1",
                         .labels = labels,
                         .capacity = { .cpu_milli = 8000, .mem_mib = 65536 },
                         .boot_ms = boot_ms,
                         .state = state };

  sched_set_worker (rig.sched, &info, rig.now);
}

void
rig_register_boot (int64_t boot_ms, worker_state_t state)
{
  rig_register ("10.0.0.1:80", "a", boot_ms, state);
}

int64_t
rig_clock_of (int64_t boot_ms)
{
  return rig.now.us / 1000 - boot_ms;
}

void
rig_report_boot (int64_t boot_ms, run_status_t *row)
{
  worker_reply_t reply = { .kind = REPLY_OK,
                           .clock_ms = rig_clock_of (boot_ms),
                           .has_clock = true,
                           .sent_us = rig.now.us };
  worker_report_t report
      = { .boot_ms = boot_ms, .runs = row, .runs_count = row ? 1 : 0 };

  rig_hold_reply ("w1", &reply, &report);
}

static void
take_orders (GArray *orders, bool holds, GArray *copy)
{
  for (uint32_t i = 0; i < orders->len; i++)
    {
      const order_t *order = &g_array_index (orders, order_t, i);

      if (holds || order->kind != ORDER_HOLD)
        g_array_append_val (copy, *order);
    }
  g_array_set_size (orders, 0);
}

GArray *
rig_plan (bool holds)
{
  GArray *copy = g_array_new (FALSE, TRUE, sizeof (order_t));

  take_orders (sched_plan (rig.sched, rig.now), holds, copy);
  rig_commit ();
  take_orders (sched_plan (rig.sched, rig.now), holds, copy);
  return copy;
}

/* An empty progress record of an owner of EPOCH.  */
static job_rec_t
progress_record (uint64_t epoch)
{
  job_rec_t rec = { .kind = JREC_PROGRESS };

  rec.u.progress.epoch = epoch;
  rec.u.progress.placed = g_array_new (FALSE, FALSE, sizeof (task_placed_t));
  rec.u.progress.ends = g_array_new (FALSE, FALSE, sizeof (task_end_t));
  rec.u.progress.changes = g_array_new (FALSE, FALSE, sizeof (job_change_t));
  return rec;
}

/* Folds a progress record of an earlier owner with PLACED or END.  */
static void
record_progress (const task_placed_t *placed, const task_end_t *end)
{
  job_rec_t rec = progress_record (rig.tab->owner.epoch);

  if (placed)
    g_array_append_vals (rec.u.progress.placed, placed, 1);
  if (end)
    g_array_append_vals (rec.u.progress.ends, end, 1);
  jobtab_fold (rig.tab, &rec, rig.now.wall_ms, rig.now.us);
  job_rec_clear (&rec);
}

void
rig_record_start (uint32_t number, uint32_t index, uint32_t attempt,
                  const char *worker)
{
  task_placed_t placed = { .task = rig_task_ref (number, index),
                           .attempt = attempt,
                           .worker = worker };

  record_progress (&placed, NULL);
}

void
rig_record_end (uint32_t number, uint32_t index, uint32_t attempt)
{
  task_end_t end = { .task = rig_task_ref (number, index),
                     .attempt = attempt,
                     .done = true };

  record_progress (NULL, &end);
}

void
rig_record_over (uint32_t number, uint32_t index, uint32_t attempt,
                 uint64_t epoch)
{
  job_rec_t rec = progress_record (epoch);
  run_over_t over
      = { .task = rig_task_ref (number, index), .attempt = attempt };
  fold_result_t folded;

  rec.u.progress.over = g_array_new (FALSE, FALSE, sizeof over);
  g_array_append_val (rec.u.progress.over, over);
  folded = jobtab_fold (rig.tab, &rec, rig.now.wall_ms, rig.now.us);
  if (rig.sched && folded.kind == FOLD_SUPERSEDED)
    sched_end_runs (rig.sched, rec.u.progress.over, rig.now);
  job_rec_clear (&rec);
}

void
rig_load_snapshot (void)
{
  GBytes *bytes = jobtab_pack (rig.tab);
  gsize len;
  const void *data = g_bytes_get_data (bytes, &len);

  jobtab_free (rig.tab);
  rig.tab = jobtab_unpack (data, len, NULL);
  ck_assert_ptr_nonnull (rig.tab);
  g_bytes_unref (bytes);
}

uint32_t
rig_count_orders (const GArray *orders, order_kind_t kind)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < orders->len; i++)
    count += g_array_index (orders, order_t, i).kind == kind;
  return count;
}

bool
rig_reply (const order_t *order, reply_kind_t kind)
{
  worker_reply_t reply = { .kind = kind, .sent_us = rig.now.us };

  return sched_order_reply (rig.sched, order, &reply, rig.now);
}

void
rig_confirm_start (const order_t *order)
{
  rig_reply (order, REPLY_OK);
}

run_status_t
rig_status (const order_t *order)
{
  return (run_status_t){ .task = order->task,
                         .attempt = order->attempt,
                         .checkpoint = "",
                         .percent = 100 };
}

run_end_t
rig_end (const order_t *order, uint64_t sequence, run_end_kind_t kind)
{
  return (run_end_t){ .sequence = sequence,
                      .task = order->task,
                      .attempt = order->attempt,
                      .kind = kind,
                      .checkpoint = "" };
}

void
rig_commit (void)
{
  job_rec_t *rec;

  while ((rec = sched_progress (rig.sched)))
    {
      jobtab_fold (rig.tab, rec, rig.now.wall_ms, rig.now.us);
      sched_set_durable (rig.sched, rec->u.progress.batch);
      job_rec_clear (rec);
      g_free (rec);
    }
}

job_state_t
rig_job_state (uint32_t number)
{
  const job_entry_t *entry = jobtab_find (rig.tab, rig_id (number));

  ck_assert_ptr_nonnull (entry);
  return entry->state;
}

void
rig_reset (void)
{
  memset (&rig, 0, sizeof rig);
}

void
rig_set_up (void)
{
  rig_reset ();
  rig_open_sched (1);
}

order_t
rig_start_one (void)
{
  g_autoptr (GArray) orders = rig_plan (false);

  ck_assert_uint_eq (rig_count_orders (orders, ORDER_START), 1);
  return g_array_index (orders, order_t, 0);
}

task_ref_t
rig_task_ref (uint32_t job, uint32_t index)
{
  task_ref_t ref = { .index = index };

  memcpy (ref.id, rig_id (job), sizeof ref.id);
  return ref;
}

void
rig_list_hosts (const char *const *ids, uint32_t count, uint32_t down)
{
  g_autoptr (GArray) infos = g_array_new (FALSE, TRUE, sizeof (host_info_t));

  for (uint32_t i = 0; i < count; i++)
    {
      g_autofree char *name = g_strdup_printf ("h%u", i);
      host_info_t info
          = { .host = g_intern_string (name),
              .pool = RIG_SERVICE,
              .worker = ids[i],
              .state = i == down ? HOST_STATUS_MAINTENANCE : HOST_STATUS_UP };

      g_array_append_val (infos, info);
    }
  hosts_set (rig.sched, infos, rig.now.us, rig.now);
}

void
rig_set_wave (const char *hosts, uint32_t at_once)
{
  wave_info_t wave = { .number = 1,
                       .hosts = g_strsplit (hosts, " ", 0),
                       .duration_s = 10,
                       .at_once = at_once };

  hosts_set_wave (rig.sched, &wave, rig.now.us, rig.now);
}

void
rig_store_updates (void)
{
  const GArray *updates = hosts_updates (rig.sched);

  for (uint32_t i = 0; i < updates->len; i++)
    {
      const fleet_update_t *update
          = &g_array_index (updates, fleet_update_t, i);

      if (update->kind == FLEET_UPDATE_HOST_ORDERED)
        hosts_set_recorded (rig.sched, update->number, update->name, rig.now);
    }
}

bool
rig_next_order (int64_t ms, host_order_t *order)
{
  GArray *orders;
  bool found;

  rig_advance_clock (ms);
  hosts_plan (rig.sched, rig.now);
  rig_store_updates ();
  orders = hosts_plan (rig.sched, rig.now);
  found = orders->len > 0;
  ck_assert_uint_le (orders->len, 1);
  if (found)
    *order = g_array_index (orders, host_order_t, 0);
  g_array_set_size (orders, 0);
  return found;
}

run_status_t
rig_row (uint32_t number, uint32_t index, uint32_t attempt)
{
  return (run_status_t){ .task = rig_task_ref (number, index),
                         .attempt = attempt,
                         .checkpoint = "",
                         .percent = 100 };
}

void
rig_take_over_copies (const job_step_t *step)
{
  rig_submit (1, step, 1);
  rig_record_start (1, 0, 1, g_intern_string ("w1"));
  rig_record_start (1, 0, 2, g_intern_string ("w2"));
  rig_open_sched (2);
  rig_worker ("w1", RIG_CORES, true);
  rig_worker ("w2", RIG_CORES, true);
}

uint32_t
rig_count_planned (order_kind_t kind)
{
  g_autoptr (GArray) orders = rig_plan (false);

  return rig_count_orders (orders, kind);
}

void
rig_set_cap (int64_t cpu_milli)
{
  g_array_index (rig.rules->workspaces, rules_workspace_t, 0).cap.cpu_milli
      = cpu_milli;
  sched_set_rules (rig.sched, rig.rules);
}

job_step_t
rig_speculative_step (uint32_t count)
{
  job_step_t step = rig_step (count);

  step.speculative = true;
  return step;
}

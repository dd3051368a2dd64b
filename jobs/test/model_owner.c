#include "model.h"

/* As in entry/core.c.  */
#define PROGRESS_INTERVAL_US 10000
#define PAUSE_MIN_US 900000

/* A record on its way through the log.  */
typedef struct log_item
{
  job_rec_t *rec;
  uint64_t epoch;
  int64_t folds_us;
  int64_t read_us; /* by its owner, after it was folded */
  bool folded;
} log_item_t;

static GArray *log_items;       /* of log_item_t */
static int64_t outage_until_us; /* of the store */
static int64_t claim_us;        /* when the next claim is folded; 0: none */

static model_owner_t *
present_owner (void)
{
  return &g_array_index (model.owners, model_owner_t, model.owners->len - 1);
}

bool
model_owner_is_paused (void)
{
  return present_owner ()->paused_until_us > rig.now.us;
}

bool
model_store_is_down (void)
{
  return outage_until_us > rig.now.us;
}

model_owner_t *
model_find_owner (uint64_t epoch)
{
  for (uint32_t i = 0; i < model.owners->len; i++)
    {
      model_owner_t *owner = &g_array_index (model.owners, model_owner_t, i);

      if (owner->epoch == epoch && owner->sched)
        return owner;
    }
  return NULL;
}

bool
model_is_present (const model_owner_t *owner)
{
  return owner->epoch == rig.tab->owner.epoch;
}

void
model_drop_owner (model_owner_t *owner)
{
  if (model_is_present (owner))
    {
      model_fail ("the owner of epoch %" PRIu64 " is refused", owner->epoch);
      return;
    }
  model_trace ("the former owner of epoch %" PRIu64 " stops", owner->epoch);
  g_clear_pointer (&owner->sched, sched_free);
}

static void
claim (void)
{
  model_owner_t added = { .epoch = model.owners->len + 1 };

  if (model.owners->len > 0)
    {
      model_owner_t *former = &g_array_index (model.owners, model_owner_t,
                                              model.owners->len - 1);

      former->stops_us
          = rig.now.us + (model_chance (500) ? model_between (0, 3000000) : 0);
      former->stops_us = MAX (former->stops_us, former->paused_until_us);
    }
  claim_us = 0;
  rig_open_sched (added.epoch);
  added.sched = rig.sched;
  g_array_append_val (model.owners, added);
  for (uint32_t i = 0; i < MODEL_WORKERS; i++)
    {
      model.workers[i].version_read = 0;
      model.workers[i].shown_boot_ms = 0;
      model.workers[i].read_due_us
          = rig.now.us + model_between (10000, 200000);
    }
  model_trace ("an owner of epoch %" PRIu64, added.epoch);
}

/* Folds the records that are due.  A claim may have come before them.  */
void
model_log_run (void)
{
  for (uint32_t i = 0; i < log_items->len;)
    {
      log_item_t *item = &g_array_index (log_items, log_item_t, i);
      model_owner_t *owner = model_find_owner (item->epoch);

      if (!item->folded && item->folds_us <= rig.now.us
          && !model_store_is_down ())
        {
          fold_kind_t kind
              = jobtab_fold (rig.tab, item->rec, rig.now.wall_ms, rig.now.us)
                    .kind;

          item->folded = true;
          item->read_us = kind == FOLD_PROGRESS
                              ? rig.now.us + model_between (0, 30000)
                              : INT64_MAX;
          if (kind == FOLD_SUPERSEDED && item->rec->u.progress.over)
            sched_end_runs (present_owner ()->sched,
                            item->rec->u.progress.over, rig.now);
        }
      if (!item->folded
          || (item->read_us > rig.now.us && item->read_us != INT64_MAX))
        {
          i++;
          continue;
        }
      if (owner && item->read_us != INT64_MAX)
        sched_set_durable (owner->sched, item->rec->u.progress.batch);
      job_rec_clear (item->rec);
      g_free (item->rec);
      g_array_remove_index (log_items, i);
    }
}

static void
append_progress (model_owner_t *owner)
{
  job_rec_t *rec = sched_progress (owner->sched);
  log_item_t item = { .rec = rec, .epoch = owner->epoch };

  if (!rec)
    return;
  item.folds_us = rig.now.us + model_between (3000, 40000);
  for (uint32_t i = 0; i < log_items->len; i++)
    item.folds_us = MAX (item.folds_us,
                         g_array_index (log_items, log_item_t, i).folds_us);
  g_array_append_val (log_items, item);
  owner->progress_due_us = rig.now.us + PROGRESS_INTERVAL_US;
}

static void
run_owner (model_owner_t *owner)
{
  bool is_present = model_is_present (owner);

  if (owner->paused_until_us > rig.now.us)
    return;
  if (!is_present && (owner->stops_us <= rig.now.us || owner->needs_resync))
    {
      model_drop_owner (owner);
      return;
    }
  /* From the time on at which the next claim is on its way, it doesn't read
     the log any more.  */
  if (is_present && claim_us == 0 && !model_store_is_down ())
    {
      owner->needs_resync = false;
      sched_confirm_ownership (owner->sched,
                               rig.now.us - model_between (0, 20000));
    }
  if (owner->needs_resync)
    return;
  if (sched_next_us (owner->sched) <= rig.now.us)
    model_net_send (sched_plan (owner->sched, rig.now));
  if (owner->progress_due_us <= rig.now.us)
    append_progress (owner);
}

void
model_trouble_owner (void)
{
  model_owner_t *owner = present_owner ();

  if (!model_store_is_down () && model_chance (model.faults.outages))
    outage_until_us = rig.now.us + model_between (200000, 2500000);
  if (claim_us == 0 && model_chance (model.faults.claims))
    claim_us = rig.now.us + model_between (0, 1500000);
  if (model_owner_is_paused () || !model_chance (model.faults.pauses))
    return;
  owner->paused_until_us = rig.now.us + model_between (200000, 3000000);
  owner->needs_resync = owner->paused_until_us - rig.now.us >= PAUSE_MIN_US;
  model_trace ("the owner is suspended for %" PRId64 " us",
               owner->paused_until_us - rig.now.us);
}

void
model_owners_open (void)
{
  model.owners = g_array_new (FALSE, TRUE, sizeof (model_owner_t));
  log_items = g_array_new (FALSE, TRUE, sizeof (log_item_t));
  outage_until_us = claim_us = 0;
  claim ();
}

void
model_owners_close (void)
{
  for (uint32_t i = 0; i < model.owners->len; i++)
    sched_free (g_array_index (model.owners, model_owner_t, i).sched);
  rig.sched = NULL;
  for (uint32_t i = 0; i < log_items->len; i++)
    {
      job_rec_t *rec = g_array_index (log_items, log_item_t, i).rec;

      job_rec_clear (rec);
      g_free (rec);
    }
  g_array_free (model.owners, TRUE);
  g_array_free (log_items, TRUE);
}

void
model_owners_calm (void)
{
  outage_until_us = 0;
  present_owner ()->paused_until_us = 0;
}

void
model_claims_run (void)
{
  if (claim_us != 0 && claim_us <= rig.now.us && !model_store_is_down ())
    claim ();
}

void
model_owners_run (void)
{
  for (uint32_t i = 0; i < model.owners->len; i++)
    if (g_array_index (model.owners, model_owner_t, i).sched)
      run_owner (&g_array_index (model.owners, model_owner_t, i));
}

#include "core.h"
#include <string.h>

/* How long the store holds a read open.  Short for the rules, because they
   expire unless a recent reply confirms them.  */
#define RULES_POLL_MS 700
#define LOG_POLL_MS 1000
/* The same, as part of evacuate_ms if that is short, so that the rules stay
   young enough for starts.  */
#define RULES_POLL_PART 4
/* Added to the poll time.  A store that is 75 times slower still replies in
   this time, after a few other requests.  */
#define POLL_SLACK_MS 1500
#define READ_RETRY_US 100000
/* Interval between reads of the job log.  Each read of the store has a cost.
   On other daemons the interval only delays the states that clients see; on
   the owner it delays the start of jobs.  */
#define STANDBY_READ_INTERVAL_US 60000
#define OWNER_READ_INTERVAL_US 4000
/* Most malformed registrations that are remembered, and logged.  */
#define REJECTED_LOGGED_MAX 1024
/* Age of a submission at which its client has usually had its answer.  */
#define SUBMISSION_LATE_MS 3000
/* Each worker registers about once a second, so a short delay does no harm. */
#define WORKERS_READ_INTERVAL_US 200000

static void
send_read (feed_t *feed, platform_req_t req, uint32_t wait_ms,
           call_done_t done)
{
  core_t *core = feed->core;

  feed->in_flight = true;
  counter_add (COUNT_STORE_CALLS, 1);
  calls_send (core->calls, core->settings->store, &req,
              wait_ms + POLL_SLACK_MS, done, feed);
}

void
feed_failed (feed_t *feed, int64_t now_us)
{
  feed->due_us = now_us + READ_RETRY_US;
}

void
feed_restart (feed_t *feed, int64_t now_us)
{
  feed->loaded = false;
  feed->due_us = now_us;
  g_clear_pointer (&feed->page_after, g_free);
}

void
feed_next_page (feed_t *feed, const GArray *items, bool more, uint64_t end)
{
  if (!feed->page_after)
    feed->next_offset = end;
  g_clear_pointer (&feed->page_after, g_free);
  if (more && items->len > 0)
    feed->page_after = g_strdup (
        g_array_index (items, platform_item_t, items->len - 1).key);
  else
    feed->loaded = true;
}

GArray *
feed_items_new (void)
{
  GArray *items = g_array_new (FALSE, TRUE, sizeof (platform_item_t));

  g_array_set_clear_func (items, platform_item_clear);
  return items;
}

/* Parses RESULT, the reply to a read of FEED, into RECORDS and the END of the
   topic.  On failure schedules a retry and returns false.  */
static bool
parse_read (feed_t *feed, const call_result_t *result, GArray *records,
            uint64_t *end, int64_t now_us)
{
  uint64_t first = 0;

  switch (platform_read_reply (result->status, result->body,
                               feed->kind != FEED_JOBS, records, end, &first))
    {
    case STORE_OK:
      return true;
    case STORE_EXPIRED:
      if (feed->kind == FEED_JOBS)
        event_log (EV_LOG_GAP, "next=%" PRIu64 " first=%" PRIu64,
                   feed->core->tab->next, first);
      feed->next_offset = first;
      feed_restart (feed, now_us);
      return false;
    case STORE_REFUSED:
    case STORE_INVALID:
      feed_failed (feed, now_us);
      return false;
    }
  return false;
}

/* Rules.  */

static void
apply_rules (core_t *core, const void *data, size_t len)
{
  g_autoptr (GError) error = NULL;
  rules_t *rules = platform_parse_rules (data, len, &error);

  if (!rules)
    {
      event_log (EV_RECORD_REJECTED, "topic=%s error=\"%s\"",
                 PLATFORM_TOPIC_RULES, error->message);
      return;
    }
  if (core->rules && rules->version <= core->rules->version)
    {
      rules_free (rules);
      return;
    }
  core_set_rules (core, rules);
}

static void
set_evacuated (core_t *core, const char *name, bool withdrawn, bool changed)
{
  g_autofree char *escaped = g_strescape (name, NULL);

  if (!changed)
    return;
  event_log (EV_EVACUATION_READ, "data_centre=\"%s\" withdrawn=%d", escaped,
             withdrawn);
  if (core->sched)
    sched_set_evacuated (core->sched, core->centres, core_now ());
}

/* Whatever the value is, the key says that the data centre is withdrawn.  */
static void
apply_evacuation (core_t *core, const char *name, bool withdrawn)
{
  int64_t now_us = clock_boot_us ();

  if (name[0] == '\0')
    event_log (EV_RECORD_REJECTED, "topic=%s error=\"no data centre\"",
               PLATFORM_TOPIC_RULES);
  else
    set_evacuated (core, name, withdrawn,
                   withdrawn
                       ? centres_evacuate (core->centres, name, now_us)
                       : centres_take_back (core->centres, name, now_us));
}

static void
take_back_missing (core_t *core)
{
  const char *name;

  while ((name = centres_next_missing (core->centres, clock_boot_us ())))
    set_evacuated (core, name, false, true);
}

static void
apply_operator_record (core_t *core, const char *key, const void *data,
                       size_t len)
{
  if (g_str_has_prefix (key, PLATFORM_KEY_EVACUATE))
    apply_evacuation (core, key + strlen (PLATFORM_KEY_EVACUATE), len > 0);
  else if (len == 0)
    return;
  else if (strcmp (key, PLATFORM_KEY_RULES) == 0)
    apply_rules (core, data, len);
  else if (g_str_has_prefix (key, PLATFORM_KEY_WAVE)
           && key[strlen (PLATFORM_KEY_WAVE)] != '\0')
    hostcalls_add_wave (core, data, len);
}

/* Workers' registrations.  */

/* Logs a malformed entry once, although its writer may repeat it every
   second.  */
static void
log_rejected (core_t *core, const char *id, const GError *error)
{
  if (g_hash_table_size (core->rejected_workers) >= REJECTED_LOGGED_MAX
      || !g_hash_table_add (core->rejected_workers, g_strdup (id)))
    return;
  event_log (EV_WORKER_REJECTED, "worker=%s error=\"%s\"", id, error->message);
}

static void
apply_worker (core_t *core, const char *id, const void *data, size_t len)
{
  sched_now_t now = core_now ();
  platform_worker_t worker;
  g_autoptr (GError) error = NULL;

  if (!data || len == 0)
    {
      sched_unlist_worker (core->sched, id, now);
      return;
    }
  if (!platform_parse_worker (id, data, len, &worker, &error))
    {
      log_rejected (core, id, error);
      return;
    }
  g_hash_table_remove (core->rejected_workers, id);
  sched_set_worker (core->sched, &worker.info, now);
  platform_worker_clear (&worker);
}

/* Keyed topics.  */

static void
apply_keyed (feed_t *feed, const char *key, const void *data, size_t len)
{
  switch (feed->kind)
    {
    case FEED_RULES:
      apply_operator_record (feed->core, key, data, len);
      return;
    case FEED_WORKERS:
      apply_worker (feed->core, key, data, len);
      return;
    case FEED_JOBS:
    case FEED_FLEET:
      return;
    }
}

/* Marks FEED's call as finished.  False if its records are no longer needed:
   registrations are only for the scheduler of the owner.  */
static bool
finish_call (feed_t *feed, bool ok)
{
  feed->in_flight = false;
  if (feed->kind == FEED_RULES)
    core_set_store_reached (feed->core, ok, "rules");
  return feed->kind != FEED_WORKERS || feed->core->sched;
}

/* All records that FEED's topic had at SENT_US are applied.  */
static void
mark_current (feed_t *feed, int64_t sent_us)
{
  if (feed->kind == FEED_RULES)
    core_confirm_rules (feed->core, sent_us);
}

static void
on_newest (void *ctx, const call_result_t *result)
{
  feed_t *feed = ctx;
  core_t *core = feed->core;
  int64_t now_us = clock_boot_us ();
  g_autoptr (GArray) items = feed_items_new ();
  bool more = false;
  uint64_t end = 0;
  store_reply_t reply = platform_newest_reply (result->status, result->body,
                                               items, &more, &end);

  if (!finish_call (feed, reply == STORE_OK))
    return;
  if (reply != STORE_OK)
    {
      feed_failed (feed, now_us);
      return;
    }
  if (!feed->page_after)
    feed->first_page_sent_us = result->sent_us;
  if (feed->kind == FEED_RULES && !feed->page_after)
    centres_begin_listing (core->centres);
  for (uint32_t i = 0; i < items->len; i++)
    {
      const platform_item_t *item = &g_array_index (items, platform_item_t, i);

      if (feed->kind == FEED_WORKERS && item->value)
        g_hash_table_add (core->listed_workers, g_strdup (item->key));
      apply_keyed (feed, item->key, item->value, item->len);
    }
  feed_next_page (feed, items, more, end);
  feed->due_us = now_us;
  if (!feed->loaded)
    return;
  if (feed->kind == FEED_RULES)
    take_back_missing (core);
  /* Records stored after the first page was read may be on no page.  */
  mark_current (feed, feed->first_page_sent_us);
  if (feed->kind != FEED_WORKERS)
    return;
  sched_retain_workers (core->sched, core->listed_workers, core_now ());
  g_hash_table_remove_all (core->listed_workers);
}

static uint32_t
rules_poll_ms (const core_t *core)
{
  uint32_t bound_ms = core->settings->evacuate_ms;

  return bound_ms == 0 ? RULES_POLL_MS
                       : MIN (RULES_POLL_MS, bound_ms / RULES_POLL_PART);
}

/* A read that was sent at SENT_US and held open for WAIT_MS has brought
   nothing, so the rest of the time is the store's delay.  */
static void
note_read_delay (core_t *core, int64_t sent_us, uint32_t wait_ms,
                 int64_t now_us)
{
  owner_set_read_delay (&core->owner,
                        MAX (now_us - sent_us - (int64_t)wait_ms * 1000, 0),
                        now_us);
}

static void
on_keyed_records (void *ctx, const call_result_t *result)
{
  feed_t *feed = ctx;
  core_t *core = feed->core;
  int64_t now_us = clock_boot_us ();
  g_autoptr (GArray) records
      = g_array_new (FALSE, TRUE, sizeof (platform_record_t));
  uint64_t end = 0;
  bool parsed = parse_read (feed, result, records, &end, now_us);

  if (!finish_call (feed, parsed) || !parsed)
    return;
  for (uint32_t i = 0; i < records->len; i++)
    {
      const platform_record_t *record
          = &g_array_index (records, platform_record_t, i);
      g_autofree char *key
          = record->key ? g_strndup (record->key, record->key_len) : NULL;

      if (key)
        apply_keyed (feed, key, record->data, record->len);
    }
  feed->next_offset += records->len;
  if (feed->kind == FEED_RULES && records->len == 0)
    note_read_delay (core, result->sent_us, rules_poll_ms (core), now_us);
  feed->due_us
      = now_us + (feed->kind == FEED_WORKERS ? WORKERS_READ_INTERVAL_US : 0);
  if (feed->next_offset >= end)
    mark_current (feed, result->sent_us);
}

void
feeds_restart_workers (core_t *core, int64_t now_us)
{
  g_hash_table_remove_all (core->listed_workers);
  feed_restart (&core->workers_feed, now_us);
}

/* Job log.  */

/* Logs a submission that was accepted long after its record was made, unless
   this daemon is itself behind.  */
static void
log_late_submission (const core_t *core, const job_entry_t *entry,
                     int64_t now_us)
{
  int64_t age_ms = clock_wall_ms () - entry->desc->accepted_ms;

  if (age_ms < SUBMISSION_LATE_MS
      || now_us - atomic_load (&core->model->log_known_us)
             > READMODEL_LOG_AGE_MAX_US)
    return;
  event_log (EV_SUBMISSION_LATE, "id=%s age_ms=%" PRId64, entry->desc->id,
             age_ms);
}

/* The SUBMIT or CANCEL record REC, of which RECORD is the encoding.  */
static folded_record_t
describe_record (const job_rec_t *rec, const platform_record_t *record)
{
  folded_record_t folded
      = { .kind = rec->kind, .data = record->data, .len = record->len };

  g_strlcpy (folded.id,
             rec->kind == JREC_SUBMIT ? rec->u.submit->id : rec->u.cancel.id,
             sizeof folded.id);
  return folded;
}

/* Folds REC, a SUBMIT or CANCEL record, and answers the requests for it.  */
static void
apply_request_record (core_t *core, job_rec_t *rec,
                      const platform_record_t *record, int64_t now_us)
{
  /* jobtab_fold takes the job description out of the record.  */
  folded_record_t folded = describe_record (rec, record);
  fold_result_t fold = jobtab_fold (core->tab, rec, clock_wall_ms (), now_us);

  folded.fold = fold.kind;
  folded.accepted = fold.kind == FOLD_SUBMITTED
                    || (fold.kind == FOLD_NOTHING && rec->u.submit
                        && job_entry_is_of (jobtab_find (core->tab, folded.id),
                                            rec->u.submit));
  core_record_folded (core, rec, fold, record->len, now_us);
  switch (fold.kind)
    {
    case FOLD_SUBMITTED:
      log_late_submission (core, fold.entry, now_us);
      break;
    case FOLD_VOID:
      event_log (EV_RECORD_VOID, "id=%s cancel=%d position=%" PRIu64,
                 folded.id, rec->kind == JREC_CANCEL, rec->position);
      break;
    case FOLD_CANCELLED:
    case FOLD_DENIED:
    case FOLD_NOTHING:
    case FOLD_CLAIMED:
    case FOLD_RELEASED:
    case FOLD_RENEWED:
    case FOLD_PROBED:
    case FOLD_PROGRESS:
    case FOLD_SUPERSEDED:
      break;
    }
  appends_handle_record (core, &folded);
}

static void
apply_job_record (core_t *core, const platform_record_t *record,
                  int64_t now_us)
{
  g_autoptr (GError) error = NULL;
  job_rec_t rec;

  core->tab->next++;
  appends_read_back (core, record->data, record->len, now_us);
  if (!job_rec_unpack (record->data, record->len, &rec, &error))
    {
      event_log (EV_RECORD_MALFORMED,
                 "topic=%s offset=%" PRIu64 " error=\"%s\"",
                 PLATFORM_TOPIC_JOBS, core->tab->next - 1, error->message);
      return;
    }
  switch (rec.kind)
    {
    case JREC_SUBMIT:
    case JREC_CANCEL:
      apply_request_record (core, &rec, record, now_us);
      break;
    case JREC_CLAIM:
    case JREC_RENEW:
    case JREC_PROBE:
    case JREC_RELEASE:
    case JREC_PROGRESS:
      core_record_folded (
          core, &rec, jobtab_fold (core->tab, &rec, clock_wall_ms (), now_us),
          record->len, now_us);
      break;
    }
  core_publish_position (core);
  job_rec_clear (&rec);
}

static void
on_job_records (void *ctx, const call_result_t *result)
{
  feed_t *feed = ctx;
  core_t *core = feed->core;
  int64_t now_us = clock_boot_us ();
  g_autoptr (GArray) records
      = g_array_new (FALSE, TRUE, sizeof (platform_record_t));
  uint64_t end = 0;

  feed->in_flight = false;
  if (!parse_read (feed, result, records, &end, now_us))
    return;
  for (uint32_t i = 0; i < records->len; i++)
    apply_job_record (core, &g_array_index (records, platform_record_t, i),
                      now_us);
  if (core->tab->next >= end)
    core_caught_up (core, result->sent_us, now_us);
  feed->due_us = core->tab->next < end ? now_us
                 : core->sched || appends_await_cancel (core)
                     ? now_us + OWNER_READ_INTERVAL_US
                     : now_us + STANDBY_READ_INTERVAL_US;
  if (!core->sched && history_reread_is_due (&core->history, now_us))
    feed_restart (feed, now_us);
}

static void
open_feed (core_t *core, feed_t *feed, feed_kind_t kind, int64_t now_us)
{
  *feed = (feed_t){ .core = core, .kind = kind, .due_us = now_us };
}

void
feeds_open (core_t *core, int64_t now_us)
{
  open_feed (core, &core->jobs_feed, FEED_JOBS, now_us);
  open_feed (core, &core->rules_feed, FEED_RULES, now_us);
  open_feed (core, &core->workers_feed, FEED_WORKERS, 0);
  open_feed (core, &core->fleet_feed, FEED_FLEET, 0);
  core->rejected_workers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  core->listed_workers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

void
feeds_close (core_t *core)
{
  g_free (core->jobs_feed.page_after);
  g_free (core->rules_feed.page_after);
  g_free (core->workers_feed.page_after);
  g_free (core->fleet_feed.page_after);
  g_hash_table_destroy (core->listed_workers);
  g_hash_table_destroy (core->rejected_workers);
}

static void
run_keyed (feed_t *feed, const char *topic, uint32_t wait_ms, int64_t now_us)
{
  if (feed->in_flight || feed->due_us > now_us)
    return;
  if (feed->loaded)
    send_read (feed, platform_read_req (topic, feed->next_offset, wait_ms),
               wait_ms, on_keyed_records);
  else
    send_read (feed, platform_newest_req (topic, feed->page_after), 0,
               on_newest);
}

static void
run_jobs (core_t *core, int64_t now_us)
{
  feed_t *feed = &core->jobs_feed;
  uint32_t wait_ms = core->resync_needed ? 0 : LOG_POLL_MS;

  if (feed->in_flight || feed->due_us > now_us)
    return;
  if (feed->loaded)
    send_read (
        feed,
        platform_read_req (PLATFORM_TOPIC_JOBS, core->tab->next, wait_ms),
        wait_ms, on_job_records);
  else
    send_read (feed,
               platform_newest_req (PLATFORM_TOPIC_SNAPSHOT, feed->page_after),
               0, on_snapshot);
}

void
feeds_run (core_t *core, int64_t now_us)
{
  run_jobs (core, now_us);
  run_keyed (&core->rules_feed, PLATFORM_TOPIC_RULES, rules_poll_ms (core),
             now_us);
  if (core->sched)
    run_keyed (&core->workers_feed, PLATFORM_TOPIC_WORKERS, LOG_POLL_MS,
               now_us);
}

int64_t
feeds_due_us (const core_t *core)
{
  int64_t due_us = INT64_MAX;

  if (!core->jobs_feed.in_flight)
    due_us = MIN (due_us, core->jobs_feed.due_us);
  if (!core->rules_feed.in_flight)
    due_us = MIN (due_us, core->rules_feed.due_us);
  if (core->sched && !core->workers_feed.in_flight)
    due_us = MIN (due_us, core->workers_feed.due_us);
  return due_us;
}

#include "core.h"
#include <string.h>

/* A daemon whose appends have failed for this time is perhaps alone cut off
   from the store.  */
#define FAILING_MAX_US 700000
/* Delay before a retry.  */
#define APPEND_RETRY_US 80000
/* Interval of the log lines about failed appends.  */
#define FAILURE_LOG_INTERVAL_US 1000000
/* How long a forwarded submission waits to be folded.  The next batch of its
   daemon waits behind it.  */
#define FORWARD_FOLD_MAX_US 250000
/* Well below the platform's limit of 2 MiB for one append.  */
#define BATCH_BYTES_MAX (1024 * 1024)

static void
queued_append_free (gpointer data)
{
  queued_append_t *queued = data;

  g_bytes_unref (queued->record);
  g_free (queued);
}

void
appends_open (core_t *core)
{
  core->append_queue = g_ptr_array_new_with_free_func (queued_append_free);
  core->append_batch = g_ptr_array_new_with_free_func (queued_append_free);
  core->pending_folds = g_ptr_array_new ();
}

void
appends_finish_request (append_req_t *request, append_outcome_t outcome)
{
  atomic_store (&request->outcome, outcome);
  request->done (request);
}

void
appends_close (core_t *core)
{
  GPtrArray *const lists[] = { core->append_queue, core->append_batch };

  for (uint32_t l = 0; l < G_N_ELEMENTS (lists); l++)
    {
      for (uint32_t i = 0; i < lists[l]->len; i++)
        {
          queued_append_t *queued = g_ptr_array_index (lists[l], i);

          if (queued->request)
            appends_finish_request (queued->request,
                                    queued->maybe_stored
                                            || lists[l] == core->append_batch
                                        ? APPEND_UNKNOWN
                                        : APPEND_NOT_STORED);
        }
      g_ptr_array_unref (lists[l]);
    }
  for (uint32_t i = 0; i < core->pending_folds->len; i++)
    appends_finish_request (g_ptr_array_index (core->pending_folds, i),
                            APPEND_UNKNOWN);
  g_ptr_array_unref (core->pending_folds);
}

void
appends_add (core_t *core, GBytes *record, append_req_t *request)
{
  queued_append_t *queued = g_new0 (queued_append_t, 1);

  queued->record = record;
  queued->request = request;
  if (request && request->kind != APPEND_CANCEL)
    g_strlcpy (queued->id, request->id, sizeof queued->id);
  g_ptr_array_add (core->append_queue, queued);
}

void
appends_add_direct (core_t *core, GBytes *record, bool once)
{
  queued_append_t *queued;

  appends_add (core, record, NULL);
  queued = g_ptr_array_index (core->append_queue, core->append_queue->len - 1);
  queued->direct = true;
  queued->once = once;
}

void
appends_drop_once (core_t *core)
{
  for (uint32_t i = core->append_queue->len; i-- > 0;)
    {
      const queued_append_t *queued
          = g_ptr_array_index (core->append_queue, i);

      if (queued->once)
        g_ptr_array_remove_index (core->append_queue, i);
    }
}

bool
appends_idle (const core_t *core)
{
  return core->append_queue->len == 0 && core->append_batch->len == 0;
}

/* The outcome of REQUEST, a client's, as ENTRY has its id.  APPEND_PENDING: a
   cancelling that isn't folded.  */
static append_outcome_t
judge_by_job (const core_t *core, const append_req_t *request,
              const job_entry_t *entry)
{
  bool submits = request->kind == APPEND_SUBMIT;

  switch (access_decide (core->rules, &request->call, entry->desc->queue,
                         entry->desc->workspace))
    {
    case ACCESS_GRANTED:
      return submits || job_state_is_final (entry->state) ? APPEND_STORED
                                                          : APPEND_PENDING;
    case ACCESS_NO_JOB:
      return submits ? APPEND_ID_IN_USE : APPEND_NO_JOB;
    case ACCESS_OTHER_WORKSPACE:
      return APPEND_FORBIDDEN;
    }
  return APPEND_PENDING;
}

append_outcome_t
appends_judge (const core_t *core, const append_req_t *request)
{
  const job_entry_t *entry = jobtab_find (core->tab, request->id);

  return entry ? judge_by_job (core, request, entry) : APPEND_PENDING;
}

/* A record of another daemon is stored.  */
static void
note_forward_stored (core_t *core, append_req_t *request)
{
  if (!request->record || !job_rec_is_submit (request->record))
    {
      request->effective = true;
      appends_finish_request (request, APPEND_STORED);
      return;
    }
  request->deadline_us
      = MIN (request->deadline_us, clock_boot_us () + FORWARD_FOLD_MAX_US);
  g_ptr_array_add (core->pending_folds, request);
}

static void
note_stored (core_t *core, queued_append_t *queued)
{
  append_req_t *request = g_steal_pointer (&queued->request);
  append_outcome_t outcome;

  if (!request)
    return;
  switch (request->kind)
    {
    case APPEND_FORWARD:
      note_forward_stored (core, request);
      return;
    case APPEND_SUBMIT:
      outcome = history_is_complete (&core->history)
                    ? appends_judge (core, request)
                    : APPEND_PENDING;
      if (outcome != APPEND_PENDING)
        appends_finish_request (request, outcome);
      else
        g_ptr_array_add (core->pending_folds, request);
      return;
    case APPEND_CANCEL:
      g_ptr_array_add (core->pending_folds, request);
      return;
    }
}

/* Returns the batch in flight to the head of the queue, but for the records
   that are not repeated.  */
static void
requeue_batch (core_t *core, bool maybe_stored, int64_t now_us)
{
  GPtrArray *old = core->append_queue;

  core->append_queue = g_ptr_array_new_with_free_func (queued_append_free);
  for (uint32_t i = 0; i < core->append_batch->len; i++)
    {
      queued_append_t *queued = g_ptr_array_index (core->append_batch, i);

      queued->maybe_stored |= maybe_stored;
      if (!queued->once)
        {
          g_ptr_array_add (core->append_queue, queued);
          continue;
        }
      queued_append_free (queued);
      if (!maybe_stored)
        owner_note_refused (&core->owner, now_us);
    }
  for (uint32_t i = 0; i < old->len; i++)
    g_ptr_array_add (core->append_queue, g_ptr_array_index (old, i));
  g_ptr_array_set_free_func (old, NULL);
  g_ptr_array_unref (old);
  g_ptr_array_set_free_func (core->append_batch, NULL);
  g_ptr_array_set_size (core->append_batch, 0);
  g_ptr_array_set_free_func (core->append_batch, queued_append_free);
}

/* Paces the appends of a daemon that is not the owner, as one has taken
   TOOK_US or was REFUSED.  */
static void
pace_direct (core_t *core, int64_t took_us, bool refused, int64_t now_us)
{
  uint64_t number = ++core->appends_paced;
  double unit
      = (double)(hash_bytes (&number, sizeof number, core->owner.hash) >> 11)
        / 9007199254740992.0; /* 2^53 */

  appendpace_add (&core->append_pace, took_us, refused, unit, now_us);
}

/* Without a link to the owner the first append pauses as well, so that those
   of all daemons don't come before the claims.  */
static void
check_forwarding (core_t *core, int64_t now_us)
{
  bool forwards = agent_may_append (core, now_us);

  if (core->append_forwards && !forwards)
    pace_direct (core, owner_store_delay_us (&core->owner, now_us), false,
                 now_us);
  core->append_forwards = forwards;
}

void
appends_accept (core_t *core)
{
  for (uint32_t i = 0; i < core->append_batch->len; i++)
    {
      queued_append_t *queued = g_ptr_array_index (core->append_batch, i);

      if (!queued->request || queued->request->kind != APPEND_SUBMIT)
        continue;
      appends_finish_request (queued->request, APPEND_STORED);
      queued->request = NULL;
    }
}

void
appends_complete (core_t *core, int64_t now_us)
{
  int64_t took_us = now_us - core->append_sent_us;

  if (core->append_is_direct)
    pace_direct (core, took_us, false, now_us);

  core->append_call = NULL;
  core->append_failing_us = 0;
  core_set_store_reached (core, true, "append");
  histogram_add (HIST_APPEND, took_us);
  rto_add_reply (&core->append_rto, took_us);
  owner_set_store_delay (&core->owner, took_us, now_us);
  for (uint32_t i = 0; i < core->append_batch->len; i++)
    note_stored (core, g_ptr_array_index (core->append_batch, i));
  g_ptr_array_set_size (core->append_batch, 0);
}

static void
log_failure (core_t *core, const call_result_t *result, int64_t now_us)
{
  uint64_t bytes = 0;

  core->append_failures++;
  if (core->append_logged_us != 0
      && now_us - core->append_logged_us < FAILURE_LOG_INTERVAL_US)
    return;
  for (uint32_t i = 0; i < core->append_batch->len; i++)
    {
      const queued_append_t *queued
          = g_ptr_array_index (core->append_batch, i);

      bytes += g_bytes_get_size (queued->record);
    }
  event_log (EV_APPEND_FAILED,
             "status=%u took_ms=%" PRId64
             " failed=%u records=%u bytes=%" PRIu64 " rto_ms=%u owner=%d",
             result->status, (now_us - core->append_sent_us) / 1000,
             core->append_failures, core->append_batch->len, bytes,
             rto_timeout_ms (&core->append_rto), core->sched != NULL);
  core->append_failures = 0;
  core->append_logged_us = now_us;
}

static void
on_appended (void *ctx, const call_result_t *result)
{
  core_t *core = ctx;
  store_reply_t reply = platform_append_reply (result->status);
  int64_t now_us = clock_boot_us ();

  if (reply == STORE_OK)
    {
      appends_complete (core, now_us);
      return;
    }
  core->append_call = NULL;
  core_set_store_reached (core, false, "append");
  if (result->status == 0)
    rto_add_timeout (&core->append_rto);
  log_failure (core, result, now_us);
  pace_direct (core, now_us - core->append_sent_us, true, now_us);
  if (core->append_failing_us == 0)
    core->append_failing_us = result->sent_us;
  if (now_us - core->append_failing_us >= FAILING_MAX_US)
    hub_give_up_records (core);
  appends_retry (core, reply == STORE_INVALID && !result->not_sent,
                 now_us + APPEND_RETRY_US);
}

void
appends_retry (core_t *core, bool maybe_stored, int64_t at_us)
{
  requeue_batch (core, maybe_stored, clock_boot_us ());
  core->append_due_us = at_us;
}

void
appends_read_back (core_t *core, const uint8_t *data, size_t len,
                   int64_t now_us)
{
  const queued_append_t *expected;
  gsize expected_len;
  const void *expected_data;

  if (core->append_batch->len == 0)
    return;
  expected = g_ptr_array_index (core->append_batch, core->append_read_back);
  expected_data = g_bytes_get_data (expected->record, &expected_len);
  if (len != expected_len || memcmp (data, expected_data, len) != 0
      || ++core->append_read_back < core->append_batch->len)
    return;
  if (core->append_call)
    calls_cancel (core->calls, core->append_call);
  agent_forget_append (core);
  appends_complete (core, now_us);
}

/* Completes requests whose deadline has passed.  Records that were certainly
   not stored are removed from LIST.  */
static void
expire_requests (GPtrArray *list, bool in_flight, int64_t now_us)
{
  for (uint32_t i = list->len; i-- > 0;)
    {
      queued_append_t *queued = g_ptr_array_index (list, i);
      bool maybe_stored = in_flight || queued->maybe_stored;

      if (!queued->request || queued->request->deadline_us > now_us)
        continue;
      if (maybe_stored)
        event_log (EV_APPEND_OUTLIVES_REQUEST, "id=%s cancel=%d",
                   queued->request->id,
                   queued->request->kind == APPEND_CANCEL);
      appends_finish_request (
          queued->request, maybe_stored ? APPEND_UNKNOWN : APPEND_NOT_STORED);
      queued->request = NULL;
      if (!maybe_stored)
        g_ptr_array_remove_index (list, i);
    }
}

static void
expire_pending (core_t *core, int64_t now_us)
{
  for (uint32_t i = core->pending_folds->len; i-- > 0;)
    {
      append_req_t *request = g_ptr_array_index (core->pending_folds, i);

      if (request->deadline_us > now_us)
        continue;
      g_ptr_array_remove_index_fast (core->pending_folds, i);
      appends_finish_request (request, request->kind == APPEND_FORWARD
                                           ? APPEND_STORED
                                           : APPEND_UNKNOWN);
    }
}

static bool
has_direct (const core_t *core)
{
  for (uint32_t i = 0; i < core->append_queue->len; i++)
    if (((const queued_append_t *)g_ptr_array_index (core->append_queue, i))
            ->direct)
      return true;
  return false;
}

/* When the queue may be appended.  Records of the ownership, and those that
   the owner appends, keep no pause.  */
static int64_t
queue_due_us (const core_t *core, int64_t now_us)
{
  return core->sched || has_direct (core) || agent_may_append (core, now_us)
             ? core->append_due_us
             : MAX (core->append_due_us, core->append_pace.due_us);
}

void
appends_run (core_t *core, int64_t now_us)
{
  g_autoptr (GPtrArray) records = NULL;
  uint64_t bytes = 0;
  bool direct = false;
  bool is_new = true;
  platform_req_t req;

  expire_requests (core->append_queue, false, now_us);
  expire_requests (core->append_batch, true, now_us);
  expire_pending (core, now_us);
  check_forwarding (core, now_us);
  if (core->append_batch->len > 0 || core->append_queue->len == 0
      || queue_due_us (core, now_us) > now_us)
    return;
  records = g_ptr_array_new ();
  while (core->append_queue->len > 0)
    {
      queued_append_t *queued = g_ptr_array_index (core->append_queue, 0);

      bytes += g_bytes_get_size (queued->record);
      if (records->len > 0 && bytes > BATCH_BYTES_MAX)
        break;
      direct |= queued->direct;
      is_new &= !queued->maybe_stored;
      g_ptr_array_add (records, queued->record);
      g_ptr_array_add (core->append_batch,
                       g_ptr_array_steal_index (core->append_queue, 0));
    }
  core->append_read_back = 0;
  core->append_sent_us = now_us;
  core->append_is_direct
      = direct || !agent_append (core, records, is_new, now_us);
  if (!core->append_is_direct)
    return;
  counter_add (COUNT_STORE_CALLS, 1);
  req = platform_append_req (PLATFORM_TOPIC_JOBS, records);
  core->append_call
      = calls_send (core->calls, core->settings->store, &req,
                    rto_timeout_ms (&core->append_rto), on_appended, core);
}

void
appends_refuse (core_t *core, uint32_t index, uint32_t retry_after_s)
{
  queued_append_t *queued;

  if (index >= core->append_batch->len)
    return;
  queued = g_ptr_array_index (core->append_batch, index);
  if (queued->request)
    {
      queued->request->retry_after_s = retry_after_s;
      appends_finish_request (queued->request, APPEND_REFUSED);
    }
  g_ptr_array_remove_index (core->append_batch, index);
}

bool
appends_has_job (const core_t *core, const char *id)
{
  const GPtrArray *const lists[] = { core->append_queue, core->append_batch };

  for (uint32_t l = 0; l < G_N_ELEMENTS (lists); l++)
    for (uint32_t i = 0; i < lists[l]->len; i++)
      if (strcmp (
              ((const queued_append_t *)g_ptr_array_index (lists[l], i))->id,
              id)
          == 0)
        return true;
  return false;
}

static int64_t
earliest_deadline (const GPtrArray *list, int64_t due_us)
{
  for (uint32_t i = 0; i < list->len; i++)
    {
      const queued_append_t *queued = g_ptr_array_index (list, i);

      if (queued->request)
        due_us = MIN (due_us, queued->request->deadline_us);
    }
  return due_us;
}

int64_t
appends_due_us (const core_t *core, int64_t now_us)
{
  int64_t due_us = INT64_MAX;

  if (core->append_batch->len == 0 && core->append_queue->len > 0)
    due_us = MAX (queue_due_us (core, now_us), now_us);
  due_us = earliest_deadline (core->append_queue, due_us);
  due_us = earliest_deadline (core->append_batch, due_us);
  for (uint32_t i = 0; i < core->pending_folds->len; i++)
    due_us = MIN (due_us, ((const append_req_t *)g_ptr_array_index (
                               core->pending_folds, i))
                              ->deadline_us);
  return due_us;
}

/* Whether RECORD was made for REQUEST.  The records of two cancellings differ.
   Those of two submissions that are equal have the same effect.  */
static bool
is_own_record (const append_req_t *request, const folded_record_t *record)
{
  gsize len;
  const void *data = g_bytes_get_data (request->record, &len);

  return len == record->len && memcmp (data, record->data, len) == 0;
}

/* The outcome of REQUEST, a client's for the job of RECORD, after that was
   folded; APPEND_PENDING: it waits for another one.  */
static append_outcome_t
settle (const core_t *core, const append_req_t *request,
        const folded_record_t *record)
{
  const job_entry_t *entry = jobtab_find (core->tab, record->id);
  append_outcome_t outcome
      = entry ? judge_by_job (core, request, entry) : APPEND_PENDING;

  if (!history_is_complete (&core->history))
    return APPEND_PENDING;
  if (outcome != APPEND_PENDING)
    return outcome;
  if (!is_own_record (request, record))
    return APPEND_PENDING;
  /* A cancelling that has left the job active was void, or its daemon knew of
     another queue.  */
  return record->fold == FOLD_VOID || entry ? APPEND_VOID : APPEND_NO_JOB;
}

/* Ends REQUEST, of another daemon, if RECORD is its own.  */
static bool
try_settle_forward (const core_t *core, append_req_t *request,
                    const folded_record_t *record)
{
  if (record->kind != JREC_SUBMIT || !request->record
      || !is_own_record (request, record))
    return false;
  request->effective
      = record->accepted && history_is_complete (&core->history);
  appends_finish_request (request, APPEND_STORED);
  return true;
}

/* Ends REQUEST, of a client, if RECORD answers it; NULL: the table was
   replaced by a newer one.  */
static bool
try_settle (core_t *core, append_req_t *request, const folded_record_t *record)
{
  append_outcome_t outcome = APPEND_PENDING;

  if (!request)
    return false;
  if (request->kind == APPEND_FORWARD)
    return record && try_settle_forward (core, request, record);
  if (!record)
    outcome = appends_judge (core, request);
  else if (strcmp (request->id, record->id) == 0)
    outcome = settle (core, request, record);
  if (outcome == APPEND_PENDING)
    return false;
  appends_finish_request (request, outcome);
  return true;
}

static void
settle_all (core_t *core, const folded_record_t *record)
{
  GPtrArray *const lists[] = { core->append_queue, core->append_batch };

  for (uint32_t i = core->pending_folds->len; i-- > 0;)
    if (try_settle (core, g_ptr_array_index (core->pending_folds, i), record))
      g_ptr_array_remove_index_fast (core->pending_folds, i);
  for (uint32_t l = 0; l < G_N_ELEMENTS (lists); l++)
    for (uint32_t i = 0; i < lists[l]->len; i++)
      {
        queued_append_t *queued = g_ptr_array_index (lists[l], i);

        if (try_settle (core, queued->request, record))
          queued->request = NULL;
      }
}

void
appends_handle_record (core_t *core, const folded_record_t *record)
{
  settle_all (core, record);
}

void
appends_handle_snapshot (core_t *core)
{
  settle_all (core, NULL);
}

bool
appends_await_cancel (const core_t *core)
{
  for (uint32_t i = 0; i < core->pending_folds->len; i++)
    if (((const append_req_t *)g_ptr_array_index (core->pending_folds, i))
            ->kind
        == APPEND_CANCEL)
      return true;
  return false;
}

#include "core.h"
#include <string.h>

/* An answer takes 4 ms in calm.  A store that is 75 times slower takes 300 ms
   for each append and does them one by one, those of the other daemons too;
   repeating one that still waits there only lengthens the queue.  */
#define APPEND_TIMEOUT_MS 3000
/* Pause after the store refused or did not answer.  */
#define APPEND_RETRY_US 80000
/* Records of one call; well below the platform's bound of 2 MiB.  */
#define CALL_BYTES_MAX (1024 * 1024)

static void
outgoing_free (gpointer data)
{
  outgoing_t *out = data;

  g_bytes_unref (out->record);
  g_free (out);
}

void
appends_open (core_t *core)
{
  core->waiting = g_ptr_array_new_with_free_func (outgoing_free);
  core->sent = g_ptr_array_new_with_free_func (outgoing_free);
  core->cancels = g_ptr_array_new ();
}

static void
answer (ask_t *ask, ask_outcome_t outcome)
{
  atomic_store (&ask->outcome, outcome);
  ask->done (ask);
}

void
appends_close (core_t *core)
{
  GPtrArray *const lists[] = { core->waiting, core->sent };

  for (uint32_t l = 0; l < G_N_ELEMENTS (lists); l++)
    {
      for (uint32_t i = 0; i < lists[l]->len; i++)
        {
          outgoing_t *out = g_ptr_array_index (lists[l], i);

          if (out->ask)
            answer (out->ask, out->tried || lists[l] == core->sent
                                  ? ASK_UNKNOWN
                                  : ASK_NOT_RUN);
        }
      g_ptr_array_unref (lists[l]);
    }
  for (uint32_t i = 0; i < core->cancels->len; i++)
    answer (g_ptr_array_index (core->cancels, i), ASK_UNKNOWN);
  g_ptr_array_unref (core->cancels);
}

void
appends_add (core_t *core, GBytes *record, ask_t *ask)
{
  outgoing_t *out = g_new0 (outgoing_t, 1);

  out->record = record;
  out->ask = ask;
  g_ptr_array_add (core->waiting, out);
}

bool
appends_idle (const core_t *core)
{
  return core->waiting->len == 0 && core->sent->len == 0;
}

/* A cancellation is answered when it is folded: only then it is known whether
   there was such a job.  */
static void
note_stored (core_t *core, outgoing_t *out)
{
  if (!out->ask)
    return;
  if (out->ask->is_cancel)
    g_ptr_array_add (core->cancels, out->ask);
  else
    answer (out->ask, ASK_STORED);
  out->ask = NULL;
}

/* Puts the records of the call under way before those that wait.  */
static void
take_back (core_t *core, bool tried)
{
  GPtrArray *old = core->waiting;

  core->waiting = g_ptr_array_new_with_free_func (outgoing_free);
  for (uint32_t i = 0; i < core->sent->len; i++)
    {
      outgoing_t *out = g_ptr_array_index (core->sent, i);

      out->tried |= tried;
      g_ptr_array_add (core->waiting, out);
    }
  for (uint32_t i = 0; i < old->len; i++)
    g_ptr_array_add (core->waiting, g_ptr_array_index (old, i));
  g_ptr_array_set_free_func (old, NULL);
  g_ptr_array_unref (old);
  g_ptr_array_set_free_func (core->sent, NULL);
  g_ptr_array_set_size (core->sent, 0);
  g_ptr_array_set_free_func (core->sent, outgoing_free);
}

static void
on_appended (void *ctx, const call_result_t *result)
{
  core_t *core = ctx;
  store_reply_t reply = platform_append_reply (result->status);
  int64_t now_us = clock_boot_us ();

  core_store_state (core, reply == STORE_OK, "append");
  if (reply == STORE_OK)
    {
      histogram_add (HIST_APPEND, now_us - result->sent_us);
      owner_set_store_delay (&core->owner, now_us - result->sent_us, now_us);
      for (uint32_t i = 0; i < core->sent->len; i++)
        note_stored (core, g_ptr_array_index (core->sent, i));
      g_ptr_array_set_size (core->sent, 0);
      return;
    }
  take_back (core, reply == STORE_INVALID && !result->refused);
  core->append_due_us = now_us + APPEND_RETRY_US;
}

/* Answers asks whose time has come.  */
static void
expire (GPtrArray *list, bool tried, int64_t now_us)
{
  for (uint32_t i = list->len; i-- > 0;)
    {
      outgoing_t *out = g_ptr_array_index (list, i);
      bool may_be = tried || out->tried;

      if (!out->ask || out->ask->deadline_us > now_us)
        continue;
      answer (out->ask, may_be ? ASK_UNKNOWN : ASK_NOT_RUN);
      out->ask = NULL;
      if (!may_be)
        g_ptr_array_remove_index (list, i);
    }
}

static void
expire_cancels (core_t *core, int64_t now_us)
{
  for (uint32_t i = core->cancels->len; i-- > 0;)
    {
      ask_t *ask = g_ptr_array_index (core->cancels, i);

      if (ask->deadline_us > now_us)
        continue;
      g_ptr_array_remove_index_fast (core->cancels, i);
      answer (ask, ASK_UNKNOWN);
    }
}

void
appends_run (core_t *core, int64_t now_us)
{
  g_autoptr (GPtrArray) records = NULL;
  uint64_t bytes = 0;
  platform_req_t req;

  expire (core->waiting, false, now_us);
  expire (core->sent, true, now_us);
  expire_cancels (core, now_us);
  if (core->sent->len > 0 || core->waiting->len == 0
      || core->append_due_us > now_us)
    return;
  records = g_ptr_array_new ();
  while (core->waiting->len > 0)
    {
      outgoing_t *out = g_ptr_array_index (core->waiting, 0);

      bytes += g_bytes_get_size (out->record);
      if (records->len > 0 && bytes > CALL_BYTES_MAX)
        break;
      g_ptr_array_add (records, out->record);
      g_ptr_array_add (core->sent, g_ptr_array_steal_index (core->waiting, 0));
    }
  counter_add (COUNT_STORE_CALLS, 1);
  req = platform_append_req (PLATFORM_TOPIC_JOBS, records);
  calls_send (core->calls, core->settings->store, &req, APPEND_TIMEOUT_MS,
              on_appended, core);
}

static int64_t
earliest_deadline (const GPtrArray *list, int64_t due_us)
{
  for (uint32_t i = 0; i < list->len; i++)
    {
      const outgoing_t *out = g_ptr_array_index (list, i);

      if (out->ask)
        due_us = MIN (due_us, out->ask->deadline_us);
    }
  return due_us;
}

int64_t
appends_due_us (const core_t *core, int64_t now_us)
{
  int64_t due_us = INT64_MAX;

  if (core->sent->len == 0 && core->waiting->len > 0)
    due_us = MAX (core->append_due_us, now_us);
  due_us = earliest_deadline (core->waiting, due_us);
  due_us = earliest_deadline (core->sent, due_us);
  for (uint32_t i = 0; i < core->cancels->len; i++)
    due_us = MIN (
        due_us,
        ((const ask_t *)g_ptr_array_index (core->cancels, i))->deadline_us);
  return due_us;
}

static void
seen_submit (GPtrArray *list, const char *id)
{
  for (uint32_t i = 0; i < list->len; i++)
    {
      outgoing_t *out = g_ptr_array_index (list, i);

      if (!out->ask || out->ask->is_cancel || strcmp (out->ask->id, id) != 0)
        continue;
      answer (out->ask, ASK_STORED);
      out->ask = NULL;
    }
}

static void
answer_cancel (core_t *core, ask_t *ask)
{
  ask->existed = jobtab_find (core->tab, ask->id) != NULL;
  answer (ask, ASK_STORED);
}

static void
seen_cancel (core_t *core, const char *id)
{
  GPtrArray *const lists[] = { core->waiting, core->sent };

  for (uint32_t i = core->cancels->len; i-- > 0;)
    {
      ask_t *ask = g_ptr_array_index (core->cancels, i);

      if (strcmp (ask->id, id) != 0)
        continue;
      g_ptr_array_remove_index_fast (core->cancels, i);
      answer_cancel (core, ask);
    }
  for (uint32_t l = 0; l < G_N_ELEMENTS (lists); l++)
    for (uint32_t i = 0; i < lists[l]->len; i++)
      {
        outgoing_t *out = g_ptr_array_index (lists[l], i);

        if (!out->ask || !out->ask->is_cancel
            || strcmp (out->ask->id, id) != 0)
          continue;
        answer_cancel (core, out->ask);
        out->ask = NULL;
      }
}

void
appends_seen (core_t *core, const job_rec_t *rec)
{
  switch (rec->kind)
    {
    case JREC_SUBMIT:
      if (rec->u.submit)
        {
          seen_submit (core->sent, rec->u.submit->id);
          seen_submit (core->waiting, rec->u.submit->id);
        }
      return;
    case JREC_CANCEL:
      seen_cancel (core, rec->u.cancel);
      return;
    case JREC_CLAIM:
    case JREC_RENEW:
    case JREC_PROBE:
    case JREC_RELEASE:
    case JREC_PROGRESS:
      return;
    }
}

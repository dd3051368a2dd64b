#include "core.h"

/* Requests that are read within this time after a pause, or before the log
   was read, may have waited in a socket for as long as the pause.  */
#define PAUSE_REQUESTS_US 500000

/* A submission that would be refused, until the log shows that the job isn't
   in it.  */
typedef struct held_submit
{
  GBytes *record;
  append_req_t *request;
  job_rec_t rec;
  int64_t arrived_us;
} held_submit_t;

static void
held_free (held_submit_t *held)
{
  if (held->record)
    g_bytes_unref (held->record);
  job_rec_clear (&held->rec);
  g_free (held);
}

/* Passes HELD on to be appended, which admits it, and frees it.  */
static void
append_held (core_t *core, held_submit_t *held)
{
  appends_add (core, g_steal_pointer (&held->record), held->request);
  held_free (held);
}

void
admissions_release (core_t *core)
{
  held_submit_t *held;

  while ((held = g_queue_pop_head (&core->held_submits)))
    append_held (core, held);
}

/* Handles HELD if it is known or admitted, and frees it; else sets *REFUSAL
   and returns false.  */
static bool
accept_submit (core_t *core, held_submit_t *held, admission_t *refusal)
{
  const job_desc_t *desc = held->rec.u.submit;
  const job_entry_t *entry = jobtab_find (core->tab, desc->id);

  if (entry)
    {
      held->request->effective = job_entry_is_of (entry, desc);
      appends_finish_request (held->request,
                              held->request->kind == APPEND_FORWARD
                                  ? APPEND_STORED
                                  : appends_judge (core, held->request));
      held_free (held);
      return true;
    }
  *refusal = sched_admit (core->sched, desc, core_now ());
  if (refusal->kind == ADMISSION_REFUSE && !appends_has_job (core, desc->id))
    return false;
  append_held (core, held);
  return true;
}

void
admissions_append (core_t *core, GBytes *record, append_req_t *request)
{
  job_rec_t rec;
  gsize len;
  const void *data = g_bytes_get_data (record, &len);

  if (core->settings->admission_by_objective
      && job_rec_unpack (data, len, &rec, NULL))
    {
      if (rec.kind == JREC_SUBMIT)
        g_strlcpy (request->id, rec.u.submit->id, sizeof request->id);
      job_rec_clear (&rec);
    }
  appends_add (core, record, request);
}

void
admissions_add (core_t *core, GBytes *record, append_req_t *request)
{
  held_submit_t *held;
  admission_t refusal;
  gsize len;
  const void *data = g_bytes_get_data (record, &len);

  if (!core->sched || !core->settings->admission_by_objective)
    {
      admissions_append (core, record, request);
      return;
    }
  held = g_new0 (held_submit_t, 1);
  held->record = record;
  held->request = request;
  held->arrived_us = clock_boot_us ();
  if (!job_rec_unpack (data, len, &held->rec, NULL)
      || held->rec.kind != JREC_SUBMIT)
    {
      append_held (core, held);
      return;
    }
  g_strlcpy (request->id, held->rec.u.submit->id, sizeof request->id);
  if (!accept_submit (core, held, &refusal))
    g_queue_push_tail (&core->held_submits, held);
}

/* Whether a request that is read now may be from before a pause.  Its client
   has gone on: another daemon may have told it that the job was refused, or
   accepted a job that it had cancelled here.  */
static bool
may_be_outdated (const core_t *core, int64_t now_us)
{
  return core->resync_needed
         || (core->pause_detected_us > 0
             && now_us - core->pause_detected_us < PAUSE_REQUESTS_US);
}

/* Whether the client of REQUEST, a submission, may have cancelled the job
   since, as far as this daemon has read.  */
static bool
is_cancelled_since (const core_t *core, const append_req_t *request,
                    int64_t now_us)
{
  const cancels_t *cancels = &core->tab->cancels;
  uint64_t scope
      = access_scope (request->call.queue, access_workspace (&request->call));

  return !jobtab_find (core->tab, request->id)
         && (request->position < cancels_limit (cancels, request->id, scope)
             || cancels_hold (cancels, request->id, scope, now_us));
}

static void
take_submit (core_t *core, append_req_t *request, int64_t now_us)
{
  if (core->settings->admission_by_objective && may_be_outdated (core, now_us))
    appends_finish_request (request, APPEND_NOT_STORED);
  else if (is_cancelled_since (core, request, now_us))
    appends_finish_request (request, APPEND_VOID);
  else
    admissions_add (core, g_bytes_ref (request->record), request);
}

void
admissions_take (core_t *core, append_req_t *request, int64_t now_us)
{
  switch (request->kind)
    {
    case APPEND_CANCEL:
      if (may_be_outdated (core, now_us))
        appends_finish_request (request, APPEND_NOT_STORED);
      else
        appends_add (core, g_bytes_ref (request->record), request);
      return;
    case APPEND_FORWARD:
      appends_add (core, g_bytes_ref (request->record), request);
      return;
    case APPEND_SUBMIT:
      take_submit (core, request, now_us);
      return;
    }
}

/* Refuses HELD, or has it appended if its refusal can't be kept, and frees it.
 */
static void
refuse_submit (core_t *core, held_submit_t *held, admission_t *refusal)
{
  if (!sched_refuse (core->sched, held->rec.u.submit, refusal, core_now ()))
    {
      append_held (core, held);
      return;
    }
  held->request->retry_after_s = refusal->u.refuse.retry_after_s;
  appends_finish_request (held->request, APPEND_REFUSED);
  held_free (held);
}

void
admissions_caught_up (core_t *core, int64_t sent_us)
{
  held_submit_t *held;
  admission_t refusal;

  /* After a pause the log may have got records since SENT_US.  */
  if (core->sched && core->resync_needed)
    return;
  /* Without all records the owner can't tell that the job isn't known.  */
  if (!core->sched || !history_is_complete (&core->history))
    {
      admissions_release (core);
      return;
    }
  while ((held = g_queue_peek_head (&core->held_submits))
         && held->arrived_us <= sent_us)
    {
      g_queue_pop_head (&core->held_submits);
      if (!accept_submit (core, held, &refusal))
        refuse_submit (core, held, &refusal);
    }
}

void
admissions_expire (core_t *core, int64_t now_us)
{
  for (GList *at = core->held_submits.head; at;)
    {
      GList *next = at->next;
      held_submit_t *held = at->data;

      if (held->request->deadline_us <= now_us)
        {
          appends_finish_request (held->request, APPEND_NOT_STORED);
          held_free (held);
          g_queue_delete_link (&core->held_submits, at);
        }
      at = next;
    }
}

int64_t
admissions_due_us (const core_t *core)
{
  int64_t due_us = INT64_MAX;

  for (const GList *at = core->held_submits.head; at; at = at->next)
    due_min (&due_us, ((const held_submit_t *)at->data)->request->deadline_us);
  return due_us;
}

#include "../../test/run_suite.h"
#include "../core.h"
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#define ID "00000000000000ab"
#define WAIT_US 10000000

static core_t core;
static entry_settings_t settings = { .name = "e1", .cpu_share = 1 };
static readmodel_t model;
static append_req_t request;
static rules_t *rules;
static const char *holder; /* of the key of requests */
static uint32_t done;

static void
on_done (append_req_t *append)
{
  (void)append;
  done++;
}

static void
set_up (void)
{
  rules_queue_t queue
      = { .name = g_intern_string ("q"), .host = "h", .path_prefix = "/" };

  memset (&core, 0, sizeof core);
  memset (&request, 0, sizeof request);
  memset (&model, 0, sizeof model);
  done = 0;
  holder = g_intern_string ("q");
  rules = rules_new (1);
  g_array_append_val (rules->queues, queue);
  core.rules = rules;
  core.settings = &settings;
  core.model = &model;
  core.store_reached = true;
  core.holder = g_strdup ("e1");
  owner_init (&core.owner, "e1", 1, 0);
  core.epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  core.tab = jobtab_new ();
  history_init (&core.history, 300000000);
  ck_assert (hub_open (&core));
  agent_open (&core);
  appends_open (&core);
}

static void
tear_down (void)
{
  appends_close (&core);
  agent_close (&core);
  hub_close (&core);
  jobtab_free (core.tab);
  rules_free (rules);
  if (request.record)
    g_bytes_unref (request.record);
  close (core.epoll_fd);
  g_free (core.holder);
}

static GBytes *
submit_record (uint64_t position)
{
  job_rec_t rec = { .kind = JREC_SUBMIT, .position = position };
  job_desc_t *desc = g_new0 (job_desc_t, 1);
  GBytes *record;

  g_strlcpy (desc->id, ID, sizeof desc->id);
  desc->workspace = desc->queue = desc->settings.service
      = g_intern_string ("q");
  desc->payload = g_strdup ("");
  desc->steps = g_new0 (job_step_t, 1);
  desc->steps[0] = (job_step_t){ .count = 1,
                                 .need = { .cpu_milli = 1, .mem_mib = 1 },
                                 .estimate_ms = 1 };
  desc->steps_count = 1;
  rec.u.submit = desc;
  record = job_rec_pack (&rec);
  job_rec_clear (&rec);
  return record;
}

static GBytes *
cancel_record (uint64_t position, uint64_t nonce)
{
  job_rec_t rec = { .kind = JREC_CANCEL,
                    .position = position,
                    .u.cancel = { .id = ID,
                                  .nonce = nonce,
                                  .queue = g_intern_string ("q"),
                                  .workspace = g_intern_string ("q") } };

  return job_rec_pack (&rec);
}

/* Queues the request of a client with RECORD and lets the store take it.  */
static void
store_request (append_kind_t kind, GBytes *record)
{
  request = (append_req_t){ .kind = kind,
                            .id = ID,
                            .call = { .queue = g_intern_string ("q"),
                                      .holder = holder },
                            .record = record,
                            .deadline_us = clock_boot_us () + WAIT_US,
                            .done = on_done };
  appends_add (&core, g_bytes_ref (record), &request);
  g_ptr_array_add (core.append_batch,
                   g_ptr_array_steal_index (core.append_queue, 0));
  appends_complete (&core, clock_boot_us ());
}

/* Reads RECORD as the next one of the log, and releases it.  */
static void
read_record (GBytes *record)
{
  folded_record_t folded = { .id = ID };
  job_rec_t rec;

  folded.data = g_bytes_get_data (record, &folded.len);
  ck_assert (job_rec_unpack (folded.data, folded.len, &rec, NULL));
  folded.kind = rec.kind;
  core.tab->next++;
  folded.fold = jobtab_fold (core.tab, &rec, 0, 0).kind;
  folded.accepted = folded.fold == FOLD_SUBMITTED;
  appends_handle_record (&core, &folded);
  job_rec_clear (&rec);
  g_bytes_unref (record);
}

static append_outcome_t
outcome (void)
{
  return (append_outcome_t)atomic_load (&request.outcome);
}

/* Guards against a 200 for a job that never runs: its submission is in the
   log, but so is a cancelling before it.  */
START_TEST (test_void_submission_is_not_answered_as_accepted)
{
  store_request (APPEND_SUBMIT, submit_record (0));
  ck_assert_int_eq (outcome (), APPEND_PENDING);
  read_record (cancel_record (0, 1));
  ck_assert_int_eq (outcome (), APPEND_PENDING);
  read_record (g_bytes_ref (request.record));
  ck_assert_int_eq (outcome (), APPEND_VOID);
  ck_assert_uint_eq (done, 1);
}
END_TEST

/* Guards against a submission that is never answered: another copy of it came
   into the log first.  */
START_TEST (test_submission_is_answered_by_any_copy)
{
  store_request (APPEND_SUBMIT, submit_record (0));
  read_record (submit_record (3));
  ck_assert_int_eq (outcome (), APPEND_STORED);
}
END_TEST

/* Guards against a 410 that a submission makes untrue: a cancelling of the
   same id that is read now may be older than the submission, which this daemon
   has not read.  */
START_TEST (test_cancelling_of_an_unknown_job_waits_for_its_own_record)
{
  store_request (APPEND_CANCEL, cancel_record (0, 1));
  read_record (cancel_record (0, 2));
  ck_assert_int_eq (outcome (), APPEND_PENDING);
  read_record (g_bytes_ref (request.record));
  ck_assert_int_eq (outcome (), APPEND_NO_JOB);
}
END_TEST

/* Guards against a cancelling that is answered 200 although the job goes on:
   its daemon had not read of the job, so its record is void.  */
START_TEST (test_void_cancelling_is_not_answered_as_done)
{
  store_request (APPEND_CANCEL, cancel_record (0, 1));
  read_record (submit_record (0));
  ck_assert_int_eq (outcome (), APPEND_PENDING);
  read_record (g_bytes_ref (request.record));
  ck_assert_int_eq (outcome (), APPEND_VOID);
  ck_assert_uint_eq (core.append_queue->len, 0);
}
END_TEST

/* Guards against a cancelling that waits for its own record although the job
   is over.  */
START_TEST (test_cancelling_of_a_cancelled_job_is_answered)
{
  read_record (submit_record (0));
  store_request (APPEND_CANCEL, cancel_record (1, 1));
  read_record (cancel_record (1, 2));
  ck_assert_int_eq (outcome (), APPEND_STORED);
}
END_TEST

/* Guards against an answer by a daemon that lacks records: a cancelling among
   them would make it untrue.  */
START_TEST (test_nothing_is_answered_while_records_are_missing)
{
  history_note_gap (&core.history, 1000);
  store_request (APPEND_SUBMIT, submit_record (0));
  read_record (g_bytes_ref (request.record));
  ck_assert_int_eq (outcome (), APPEND_PENDING);
  appends_handle_snapshot (&core);
  ck_assert_int_eq (outcome (), APPEND_STORED);
}
END_TEST

/* Guards against a cancelled job that runs (UNASKED): the cancelling is among
   the records that a daemon has missed, and it takes a submission from before
   for one that came after.  */
START_TEST (test_missing_records_do_not_count_as_read)
{
  core.tab->next = 10;
  core_publish_position (&core);
  ck_assert_uint_eq (atomic_load (&model.log_position), 10);
  history_note_gap (&core.history, 1000);
  core.tab->next = 1000;
  core_publish_position (&core);
  ck_assert_uint_eq (atomic_load (&model.log_position), 10);
  history_fill_gap (&core.history);
  core_publish_position (&core);
  ck_assert_uint_eq (atomic_load (&model.log_position), 1000);
}
END_TEST

/* Guards against an answer about a job that the call doesn't reach (CONFIG),
   by a daemon that reads of the job only after the request.  */
START_TEST (test_requests_of_others_are_not_answered_as_done)
{
  read_record (submit_record (0));
  holder = g_intern_string ("other");
  store_request (APPEND_CANCEL, cancel_record (1, 1));
  read_record (g_bytes_ref (request.record));
  ck_assert_int_eq (outcome (), APPEND_FORBIDDEN);
  g_bytes_unref (request.record);
  store_request (APPEND_SUBMIT, submit_record (0));
  ck_assert_int_eq (outcome (), APPEND_FORBIDDEN);
}
END_TEST

/* Guards against a submission that is answered as accepted although the id is
   that of a job at another queue.  */
START_TEST (test_id_of_a_job_elsewhere_is_in_use)
{
  const char *elsewhere = g_intern_string ("p");

  read_record (submit_record (0));
  request
      = (append_req_t){ .kind = APPEND_SUBMIT,
                        .id = ID,
                        .call = { .queue = elsewhere, .is_public = true } };
  ck_assert_int_eq (appends_judge (&core, &request), APPEND_ID_IN_USE);
  request.kind = APPEND_CANCEL;
  ck_assert_int_eq (appends_judge (&core, &request), APPEND_NO_JOB);
}
END_TEST

/* Guards against a submission that is answered 504 although it is accepted:
   its daemon reaches the owner and not the store, and waits for the log.  */
START_TEST (test_forwarded_submission_is_answered_when_folded)
{
  store_request (APPEND_FORWARD, submit_record (0));
  ck_assert_int_eq (outcome (), APPEND_PENDING);
  read_record (g_bytes_ref (request.record));
  ck_assert_int_eq (outcome (), APPEND_STORED);
  ck_assert (request.effective);
}
END_TEST

/* Guards against a void submission that is answered as accepted by way of the
   owner, and against one that waits for the owner's log.  */
START_TEST (test_forwarded_submission_without_effect_is_stored_only)
{
  read_record (cancel_record (0, 1));
  store_request (APPEND_FORWARD, submit_record (0));
  read_record (g_bytes_ref (request.record));
  ck_assert_int_eq (outcome (), APPEND_STORED);
  ck_assert (!request.effective);
  g_bytes_unref (request.record);
  store_request (APPEND_FORWARD, submit_record (0));
  request.deadline_us = 0;
  appends_run (&core, clock_boot_us ());
  ck_assert_int_eq (outcome (), APPEND_STORED);
  ck_assert (!request.effective);
}
END_TEST

/* Guards against other records of another daemon that wait to be folded.  */
START_TEST (test_other_forwarded_record_is_answered_when_stored)
{
  store_request (APPEND_FORWARD, cancel_record (0, 1));
  ck_assert_int_eq (outcome (), APPEND_STORED);
  ck_assert (request.effective);
}
END_TEST

/* Guards against submissions that wait for the log after the owner has said
   that they are accepted, and against a cancelling that doesn't.  */
START_TEST (test_owner_accepts_submissions_only)
{
  request = (append_req_t){ .kind = APPEND_SUBMIT,
                            .id = ID,
                            .record = submit_record (0),
                            .deadline_us = INT64_MAX,
                            .done = on_done };
  appends_add (&core, g_bytes_ref (request.record), &request);
  g_ptr_array_add (core.append_batch,
                   g_ptr_array_steal_index (core.append_queue, 0));
  appends_accept (&core);
  ck_assert_int_eq (outcome (), APPEND_STORED);
  g_bytes_unref (request.record);
  request.record = cancel_record (0, 1);
  request.kind = APPEND_CANCEL;
  atomic_store (&request.outcome, APPEND_PENDING);
  appends_add (&core, g_bytes_ref (request.record), &request);
  g_ptr_array_add (core.append_batch,
                   g_ptr_array_steal_index (core.append_queue, 0));
  appends_accept (&core);
  appends_complete (&core, clock_boot_us ());
  ck_assert_int_eq (outcome (), APPEND_PENDING);
}
END_TEST

TEST_PROGRAM_WITH ("entry/appends", set_up, tear_down,
                   test_void_submission_is_not_answered_as_accepted,
                   test_submission_is_answered_by_any_copy,
                   test_cancelling_of_an_unknown_job_waits_for_its_own_record,
                   test_void_cancelling_is_not_answered_as_done,
                   test_cancelling_of_a_cancelled_job_is_answered,
                   test_nothing_is_answered_while_records_are_missing,
                   test_missing_records_do_not_count_as_read,
                   test_requests_of_others_are_not_answered_as_done,
                   test_id_of_a_job_elsewhere_is_in_use,
                   test_forwarded_submission_is_answered_when_folded,
                   test_forwarded_submission_without_effect_is_stored_only,
                   test_other_forwarded_record_is_answered_when_stored,
                   test_owner_accepts_submissions_only)

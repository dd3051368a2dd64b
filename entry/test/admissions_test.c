#include "../../test/run_suite.h"
#include "../core.h"
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#define EPOCH 1
#define WAIT_MAX_US 10000000
#define SERVICE "fitting"
#define QUEUE "quotes"
/* Longer than a new owner admits everything.  */
#define OWNER_AGE_US 3000000

static const amounts_t one_core = { .cpu_milli = 1000, .mem_mib = 1 };
static const sched_limits_t limits
    = { .lease_ms = 3000, .hold_max_ms = 6000, .admit_by_objective = true };

static core_t owner;
static core_t other; /* linked to the owner */
static entry_settings_t settings;
static readmodel_t model;
static rules_t *rules;
static uint32_t done;
/* Those that are not completed are when the cores are closed.  */
static append_req_t requests[4];
static uint32_t requests_count;

static void
on_done (append_req_t *request)
{
  (void)request;
  done++;
}

/* A record of job NUMBER with COUNT tasks of one core for 500 ms.  */
static GBytes *
submit_record (uint32_t number, uint32_t count, bool long_running)
{
  job_rec_t rec = { .kind = JREC_SUBMIT };
  job_desc_t *desc = g_new0 (job_desc_t, 1);
  GBytes *record;

  g_snprintf (desc->id, sizeof desc->id, "%016x", number);
  desc->workspace = g_intern_string ("acme");
  desc->queue = g_intern_string (QUEUE);
  desc->settings = g_array_index (rules->queues, rules_queue_t, 0).settings;
  desc->payload = g_strdup ("");
  desc->steps = g_new0 (job_step_t, 1);
  desc->steps[0] = (job_step_t){ .count = count,
                                 .need = one_core,
                                 .estimate_ms = 500,
                                 .long_running = long_running };
  desc->steps_count = 1;
  desc->accepted_ms = clock_wall_ms ();
  rec.u.submit = desc;
  record = job_rec_pack (&rec);
  job_rec_clear (&rec);
  return record;
}

/* Folds RECORD into the owner's table, as if it were read from the log.  */
static void
fold_at_owner (GBytes *record)
{
  gsize len;
  const void *data = g_bytes_get_data (record, &len);
  folded_record_t read
      = { .kind = JREC_SUBMIT, .data = data, .len = len, .accepted = true };
  fold_result_t folded;
  job_rec_t rec;

  ck_assert (job_rec_unpack (data, len, &rec, NULL));
  g_strlcpy (read.id, rec.u.submit->id, sizeof read.id);
  folded = jobtab_fold (owner.tab, &rec, clock_wall_ms (), clock_boot_us ());
  if (folded.kind == FOLD_SUBMITTED)
    sched_add_job (owner.sched, folded.entry, core_now ());
  appends_handle_record (&owner, &read);
  job_rec_clear (&rec);
}

static void
open_rules (void)
{
  rules_queue_t queue
      = { .name = g_intern_string (QUEUE), .host = "h", .path_prefix = "/q/" };

  queue.settings = (queue_settings_t){ .service = g_intern_string (SERVICE),
                                       .max_attempts = 3,
                                       .stretch_milli = 1600,
                                       .latency_ms = 600 };
  rules = rules_new (1);
  g_array_append_val (rules->queues, queue);
}

static void
open_core (core_t *core, const char *name)
{
  memset (core, 0, sizeof *core);
  core->settings = &settings;
  core->model = &model;
  core->store_reached = true;
  core->holder = g_strdup (name);
  owner_init (&core->owner, name, 1, 0);
  core->epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  core->tab = jobtab_new ();
  history_init (&core->history, 300000000);
  ck_assert (hub_open (core));
  agent_open (core);
  appends_open (core);
  orders_open (core);
}

static void
close_core (core_t *core)
{
  admissions_release (core);
  appends_close (core);
  orders_close (core);
  agent_close (core);
  hub_close (core);
  sched_free (core->sched);
  jobtab_free (core->tab);
  close (core->epoll_fd);
  g_free (core->holder);
}

/* A worker of one core that has reported.  */
static void
add_worker (void)
{
  static const char *const labels[] = { NULL };
  sched_now_t now = core_now ();
  worker_info_t info = { .id = "w1",
                         .service = SERVICE,
                         .address = "127.0.0.1:1",
                         .data_centre = "a",
                         .labels = labels,
                         .capacity = one_core,
                         .state = WORKER_READY };
  order_t hold = { .kind = ORDER_HOLD,
                   .worker = g_intern_string ("w1"),
                   .address = g_intern_string ("127.0.0.1:1") };
  worker_reply_t reply = { .kind = REPLY_OK,
                           .clock_ms = now.us / 1000,
                           .has_clock = true,
                           .sent_us = now.us };
  worker_report_t report = { 0 };

  sched_set_worker (owner.sched, &info, now);
  sched_hold_reply (owner.sched, &hold, &reply, &report, now);
}

/* An owner with a minute of work waiting for its one worker.  */
static void
set_up (void)
{
  sched_now_t past = core_now ();
  g_autoptr (GBytes) backlog = NULL;

  past.us -= OWNER_AGE_US;
  settings = (entry_settings_t){ .name = "e1",
                                 .data_centre = "a",
                                 .peer = "127.0.0.1:0",
                                 .cpu_share = 1,
                                 .admission_by_objective = true };
  done = requests_count = 0;
  open_rules ();
  open_core (&owner, "owner");
  owner.sched = sched_new (owner.tab, EPOCH, &limits, rules, past);
  add_worker ();
  backlog = submit_record (900, 120, false);
  fold_at_owner (backlog);
  open_core (&other, "other");
}

static void
tear_down (void)
{
  close_core (&other);
  close_core (&owner);
  rules_free (rules);
}

static append_req_t *
new_request (int64_t wait_us)
{
  append_req_t *request = &requests[requests_count++];

  *request = (append_req_t){ .deadline_us = clock_boot_us () + wait_us,
                             .done = on_done };
  return request;
}

static append_outcome_t
outcome_of (const append_req_t *request)
{
  return (append_outcome_t)atomic_load (&request->outcome);
}

/* Guards against a refusal of a job that is in the log: the answer has to wait
   until the log was read to an end that it had after the request came.  */
START_TEST (test_refusal_waits_until_the_log_was_read)
{
  append_req_t *request = new_request (WAIT_MAX_US);
  int64_t before_us = clock_boot_us () - 1;

  admissions_add (&owner, submit_record (1, 1, false), request);
  ck_assert_int_eq (outcome_of (request), APPEND_PENDING);
  admissions_caught_up (&owner, before_us);
  ck_assert_int_eq (outcome_of (request), APPEND_PENDING);
  admissions_caught_up (&owner, clock_boot_us ());
  ck_assert_int_eq (outcome_of (request), APPEND_REFUSED);
  ck_assert_uint_ge (request->retry_after_s, 1);
  ck_assert_uint_eq (owner.append_queue->len, 0);
}
END_TEST

/* Guards against a refusal by a read of the log from before a pause, as
   another daemon may have accepted the job since.  */
START_TEST (test_refusal_waits_for_a_read_after_a_pause)
{
  append_req_t *request = new_request (WAIT_MAX_US);

  admissions_add (&owner, submit_record (1, 1, false), request);
  owner.resync_needed = true;
  admissions_caught_up (&owner, clock_boot_us ());
  ck_assert_int_eq (outcome_of (request), APPEND_PENDING);
  owner.resync_needed = false;
  admissions_caught_up (&owner, clock_boot_us ());
  ck_assert_int_eq (outcome_of (request), APPEND_REFUSED);
}
END_TEST

/* Guards against a retry of an accepted job that is refused: its first copy
   was stored by another daemon, before or while the retry waits.  */
START_TEST (test_known_job_is_not_refused)
{
  append_req_t *request = new_request (WAIT_MAX_US);
  append_req_t *again = new_request (WAIT_MAX_US);
  g_autoptr (GBytes) record = submit_record (1, 1, false);

  admissions_add (&owner, g_bytes_ref (record), request);
  fold_at_owner (record);
  admissions_caught_up (&owner, clock_boot_us ());
  ck_assert_int_eq (outcome_of (request), APPEND_STORED);
  admissions_add (&owner, g_bytes_ref (record), again);
  ck_assert_int_eq (outcome_of (again), APPEND_STORED);
  ck_assert_uint_eq (owner.append_queue->len, 0);
}
END_TEST

/* Guards against a retry that is refused while the first copy is in the
   owner's queue.  */
START_TEST (test_queued_job_is_not_refused)
{
  append_req_t *first = new_request (WAIT_MAX_US);
  append_req_t *request = new_request (WAIT_MAX_US);

  g_strlcpy (first->id, "0000000000000001", sizeof first->id);
  appends_add (&owner, submit_record (1, 1, false), first);
  admissions_add (&owner, submit_record (1, 1, false), request);
  ck_assert_uint_eq (owner.append_queue->len, 2);
}
END_TEST

/* Guards against a retry that is refused while the first copy, which another
   daemon passed on as perhaps stored, is in the owner's queue.  */
START_TEST (test_copy_of_a_forwarded_job_is_not_refused)
{
  append_req_t *request = new_request (WAIT_MAX_US);
  hub_peer_t peer = { .id = 1 };
  linkmsg_t msg = { .kind = LINKMSG_APPEND, .may_refuse = false };

  msg.u.append
      = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  g_ptr_array_add (msg.u.append, submit_record (1, 1, false));
  forwards_add (&owner, &peer, &msg, clock_boot_us ());
  ck_assert_uint_eq (owner.append_queue->len, 1);
  admissions_add (&owner, submit_record (1, 1, false), request);
  admissions_caught_up (&owner, clock_boot_us ());
  ck_assert_int_eq (outcome_of (request), APPEND_PENDING);
  ck_assert_uint_eq (owner.append_queue->len, 2);
  g_ptr_array_unref (msg.u.append);
}
END_TEST

/* Guards against a refusal by a daemon that is no longer the owner, or that
   holds the request beyond its deadline.  */
START_TEST (test_held_request_ends_with_ownership_or_deadline)
{
  append_req_t *request = new_request (WAIT_MAX_US);
  append_req_t *late = new_request (0);

  admissions_add (&owner, submit_record (2, 1, false), late);
  admissions_expire (&owner, clock_boot_us () + 1);
  ck_assert_int_eq (outcome_of (late), APPEND_NOT_STORED);
  admissions_add (&owner, submit_record (1, 1, false), request);
  ck_assert_int_eq (admissions_due_us (&owner), request->deadline_us);
  core_lose_ownership (&owner, "test");
  ck_assert_int_eq (outcome_of (request), APPEND_PENDING);
  ck_assert_uint_eq (owner.append_queue->len, 1);
}
END_TEST

/* Guards against refusals that were not asked for.  */
START_TEST (test_all_are_appended_unless_asked_for)
{
  append_req_t *request = new_request (WAIT_MAX_US);

  settings.admission_by_objective = false;
  admissions_add (&owner, submit_record (1, 1, false), request);
  ck_assert_uint_eq (owner.append_queue->len, 1);
}
END_TEST

/* Guards against a job that was refused and runs nevertheless: a copy of its
   request waited in the socket of a suspended daemon, which appended it when
   it woke (soak seed 14).  */
START_TEST (test_submission_from_before_a_pause_is_not_appended)
{
  append_req_t *request = new_request (WAIT_MAX_US);
  append_req_t *later = new_request (WAIT_MAX_US);
  g_autoptr (GBytes) record = submit_record (1, 1, false);
  int64_t now_us = clock_boot_us ();

  request->kind = later->kind = APPEND_SUBMIT;
  request->call = later->call
      = (access_call_t){ .queue = g_intern_string (QUEUE),
                         .holder = g_intern_string ("acme") };
  request->record = later->record = record;
  other.resync_needed = true;
  other.pause_detected_us = now_us;
  admissions_take (&other, request, now_us);
  ck_assert_int_eq (outcome_of (request), APPEND_NOT_STORED);
  other.resync_needed = false;
  admissions_take (&other, later, now_us + 1000000);
  ck_assert_int_eq (outcome_of (later), APPEND_PENDING);
  ck_assert_uint_eq (other.append_queue->len, 1);
}
END_TEST

/* Guards against a job that was accepted anew and is cancelled by a request
   from before, which waited in the socket of a suspended daemon.  */
START_TEST (test_cancelling_from_before_a_pause_is_not_appended)
{
  append_req_t *request = new_request (WAIT_MAX_US);
  append_req_t *later = new_request (WAIT_MAX_US);
  g_autoptr (GBytes) record = g_bytes_new_static ("", 0);
  int64_t now_us = clock_boot_us ();

  settings.admission_by_objective = false;
  request->kind = later->kind = APPEND_CANCEL;
  request->record = later->record = record;
  other.pause_detected_us = now_us;
  admissions_take (&other, request, now_us);
  ck_assert_int_eq (outcome_of (request), APPEND_NOT_STORED);
  admissions_take (&other, later, now_us + 1000000);
  ck_assert_int_eq (outcome_of (later), APPEND_PENDING);
}
END_TEST

/* Takes a submission of job 1 that came when POSITION records were read.  */
static append_outcome_t
take_submission (uint64_t position, GBytes *record, int64_t now_us)
{
  append_req_t *request = new_request (WAIT_MAX_US);

  request->kind = APPEND_SUBMIT;
  request->call = (access_call_t){ .queue = g_intern_string (QUEUE),
                                   .holder = g_intern_string ("acme") };
  request->position = position;
  request->record = record;
  g_strlcpy (request->id, "0000000000000001", sizeof request->id);
  admissions_take (&other, request, now_us);
  return outcome_of (request);
}

/* Guards against a job that runs although its cancelling was acknowledged
   (UNASKED): the request waited in the socket of a suspended daemon, which has
   read of the cancelling before it reads the request.  */
START_TEST (test_submission_is_held_after_a_cancelling)
{
  g_autoptr (GBytes) record = submit_record (1, 1, false);
  int64_t now_us = clock_boot_us ();

  cancels_add (&other.tab->cancels, "0000000000000001",
               access_scope (QUEUE, "acme"), 7, now_us);
  ck_assert_int_eq (take_submission (7, record, now_us), APPEND_VOID);
  ck_assert_int_eq (take_submission (7, record, now_us + CANCELS_HOLD_US - 1),
                    APPEND_VOID);
  ck_assert_int_eq (take_submission (6, record, now_us + CANCELS_HOLD_US),
                    APPEND_VOID);
  ck_assert_uint_eq (other.append_queue->len, 0);
  ck_assert_int_eq (take_submission (7, record, now_us + CANCELS_HOLD_US),
                    APPEND_PENDING);
  ck_assert_uint_eq (other.append_queue->len, 1);
}
END_TEST

static void
iterate_core (core_t *core)
{
  struct epoll_event events[8];
  int count = epoll_wait (core->epoll_fd, events, G_N_ELEMENTS (events), 1);
  int64_t now_us = clock_boot_us ();

  for (int i = 0; i < count; i++)
    links_handle_event (core->links, events[i].data.fd, events[i].events,
                        now_us);
  links_run (core->links, now_us, now_us);
}

static void
iterate (void)
{
  iterate_core (&owner);
  iterate_core (&other);
  agent_run (&other, clock_boot_us (), clock_boot_us ());
}

/* Iterates until CONDITION holds.  */
#define iterate_until(condition)                                              \
  do                                                                          \
    {                                                                         \
      int64_t end_us = clock_boot_us () + WAIT_MAX_US;                        \
                                                                              \
      while (!(condition) && clock_boot_us () < end_us)                       \
        iterate ();                                                           \
      ck_assert (condition);                                                  \
    }                                                                         \
  while (0)

/* Links OTHER to the owner, and waits until it counts as alive.  */
static void
connect_other (void)
{
  g_autofree char *address
      = g_strdup_printf ("127.0.0.1:%u", links_port (owner.links));

  other.tab->owner.holder = holder_name ("owner", 1, 1, address);
  iterate_until (other.agent.link && link_received_us (other.agent.link) > 0);
}

/* Stores what the owner has queued.  */
static void
store_queue (void)
{
  while (owner.append_queue->len > 0)
    {
      queued_append_t *queued
          = g_ptr_array_steal_index (owner.append_queue, 0);

      g_ptr_array_add (owner.append_batch, queued);
      fold_at_owner (queued->record);
    }
  appends_complete (&owner, clock_boot_us ());
}

/* Guards against an outcome that is given to the wrong record of a batch, and
   against a refused record that stays in the batch and is appended later.  */
START_TEST (test_outcomes_come_back_over_a_link)
{
  append_req_t *three[3];
  bool long_running[3] = { false, true, false };

  connect_other ();
  for (uint32_t i = 0; i < 3; i++)
    {
      three[i] = new_request (WAIT_MAX_US);
      admissions_add (&other, submit_record (1 + i, 1, long_running[i]),
                      three[i]);
    }
  appends_run (&other, clock_boot_us ());
  iterate_until (owner.append_queue->len == 1
                 && owner.held_submits.length == 2);
  admissions_caught_up (&owner, clock_boot_us ());
  store_queue ();
  iterate_until (done == 3);
  ck_assert_int_eq (outcome_of (three[0]), APPEND_REFUSED);
  ck_assert_int_eq (outcome_of (three[1]), APPEND_STORED);
  ck_assert_int_eq (outcome_of (three[2]), APPEND_REFUSED);
  ck_assert_uint_ge (three[2]->retry_after_s, 1);
  ck_assert (appends_idle (&other));
}
END_TEST

/* Guards against a batch that is appended again because all of it was refused.
 */
START_TEST (test_batch_that_is_refused_as_a_whole_is_over)
{
  append_req_t *request = new_request (WAIT_MAX_US);

  connect_other ();
  admissions_add (&other, submit_record (1, 1, false), request);
  appends_run (&other, clock_boot_us ());
  iterate_until (owner.held_submits.length == 1);
  admissions_caught_up (&owner, clock_boot_us ());
  iterate_until (done == 1);
  ck_assert_int_eq (outcome_of (request), APPEND_REFUSED);
  ck_assert (appends_idle (&other));
}
END_TEST

/* Guards against a refusal of a job whose record an earlier append may have
   stored.  */
START_TEST (test_record_that_may_be_stored_is_not_refused)
{
  append_req_t *request = new_request (WAIT_MAX_US);

  connect_other ();
  admissions_add (&other, submit_record (1, 1, false), request);
  ((queued_append_t *)g_ptr_array_index (other.append_queue, 0))->maybe_stored
      = true;
  appends_run (&other, clock_boot_us ());
  iterate_until (owner.append_queue->len == 1);
  ck_assert_uint_eq (owner.held_submits.length, 0);
}
END_TEST

/* Guards against a client that is told of a refusal although its daemon, which
   has lost its link, appends the record itself.  */
START_TEST (test_refusal_on_a_lost_link_is_not_reported)
{
  append_req_t *request = new_request (WAIT_MAX_US);

  connect_other ();
  admissions_add (&other, submit_record (1, 1, false), request);
  appends_run (&other, clock_boot_us ());
  iterate_until (owner.held_submits.length == 1);
  agent_reset (&other);
  admissions_caught_up (&owner, clock_boot_us ());
  iterate_until (other.append_queue->len == 1 && !other.agent.link);
  ck_assert_int_eq (outcome_of (request), APPEND_PENDING);
}
END_TEST

TEST_PROGRAM_WITH ("entry/admissions", set_up, tear_down,
                   test_refusal_waits_until_the_log_was_read,
                   test_refusal_waits_for_a_read_after_a_pause,
                   test_known_job_is_not_refused,
                   test_queued_job_is_not_refused,
                   test_copy_of_a_forwarded_job_is_not_refused,
                   test_held_request_ends_with_ownership_or_deadline,
                   test_all_are_appended_unless_asked_for,
                   test_submission_from_before_a_pause_is_not_appended,
                   test_submission_is_held_after_a_cancelling,
                   test_cancelling_from_before_a_pause_is_not_appended,
                   test_outcomes_come_back_over_a_link,
                   test_batch_that_is_refused_as_a_whole_is_over,
                   test_record_that_may_be_stored_is_not_refused,
                   test_refusal_on_a_lost_link_is_not_reported)

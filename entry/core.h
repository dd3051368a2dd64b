/* core - modules and shared state of the core; private to the package

   NAME
     feeds       reads the job log, the rules and the workers' registrations
     snapshots   reads and writes snapshots of the job table
     appends     group commit of records to the job log
     admissions  submissions that the owner admits or refuses
     orders      sends the scheduler's orders to workers
     forwards    records of other daemons that the owner appends
     hub         links of other daemons to this one, while it is the owner
     agent       this daemon's link to the owner, while it is not
     advicecalls sends requests for tickets to the advice service
     hostcalls   calls the host service; reads and writes records of waves
     explains    answers requests to explain a job, while this daemon is the
                 owner
     summaries   reads and writes the summary of what an owner has learned
     core        event loop and ownership  */

#ifndef CUMINPIN_CORE_H
#define CUMINPIN_CORE_H

#include "appendpace.h"
#include "entry.h"
#include "evacuation.h"
#include "history.h"
#include "link.h"
#include "linkmsg.h"
#include "owner.h"
#include "relayclock.h"
#include "rto.h"
#include "summarywriter.h"
#include <pthread.h>

typedef enum feed_kind
{
  FEED_JOBS,    /* snapshot and job log */
  FEED_RULES,   /* the operators' records */
  FEED_WORKERS, /* the workers' registrations; owner only */
  FEED_FLEET    /* records of waves and pools by earlier owners; read once by
                   each owner */
} feed_kind_t;

/* A topic that is read by long poll: first a snapshot or the newest record of
   each key, then the records that follow.  */
typedef struct feed
{
  core_t *core;
  feed_kind_t kind;
  uint64_t next_offset;
  bool loaded; /* the snapshot or the newest records are read */
  bool in_flight;
  int64_t due_us;
  char *page_after; /* key before the next page; NULL: the first page */
  int64_t first_page_sent_us; /* when the first page was requested */
} feed_t;

/* A SUBMIT or CANCEL record that was read from the log and folded.  */
typedef struct folded_record
{
  job_rec_kind_t kind;
  char id[JOB_ID_BYTES];
  const uint8_t *data;
  size_t len;
  fold_kind_t fold;
  bool accepted; /* SUBMIT: its job is in the table, by this or a copy */
} folded_record_t;

/* A record to append to the job log.  */
typedef struct queued_append
{
  GBytes *record;
  append_req_t *request; /* NULL: no request waits for it */
  bool maybe_stored;     /* an earlier append may have stored it */
  bool direct;           /* not through the owner */
  bool once;             /* not repeated if it fails */
  char id[JOB_ID_BYTES]; /* of the job that it submits; "": another record, or
                            unknown */
} queued_append_t;

/* An order that is carried out by a relay, or waits for it.  */
typedef struct order_call
{
  core_t *core;
  order_t order;
  uint64_t peer; /* id of the hub's peer */
  uint64_t serial;
  GBytes *frame; /* until it is sent */
  int64_t sent_us;
  int64_t deadline_us;
  GSequenceIter *place; /* in relayed_by_deadline, once it is sent */
} order_call_t;

/* A daemon that is linked to this one.  */
typedef struct hub_peer
{
  uint64_t id;
  link_t *link;
  relay_t *relay; /* NULL: it has not introduced itself */
  GQueue *orders; /* order_call_t above the limit in flight */
  uint32_t orders_in_flight;
  GHashTable *payloads; /* ids of jobs whose payload it was sent */
  relayclock_t clock;
} hub_peer_t;

/* This daemon's link to the owner.  */
typedef struct agent
{
  link_t *link;         /* NULL: there is none */
  char *address;        /* it leads to */
  uint64_t connection;  /* number of the link */
  int64_t retry_us;     /* no new link before */
  GHashTable *payloads; /* job id -> payload, of the orders so far */
  uint64_t fenced;      /* orders with tokens up to this one are refused */
  uint64_t serial;
  uint64_t append_serial; /* of the batch that the owner appends; 0: none */
  int64_t append_deadline_us;
  int64_t owner_failing_until_us; /* the owner said that it can't append */
  int64_t direct_until_us; /* records are appended directly until then */
} agent_t;

struct core
{
  const entry_settings_t *settings;
  readmodel_t *model;
  calls_t *calls;        /* to the store and the platform's services */
  calls_t *worker_calls; /* to workers */
  pipe_t pipe;
  int epoll_fd;
  pthread_t thread;
  atomic_bool stopping;
  atomic_bool halted; /* no requests are taken any more */
  atomic_bool release_requested;
  char *holder; /* identifies this process as owner */

  jobtab_t *tab;
  history_t history;
  bool at_risk; /* history_is_at_risk, as logged last */
  owner_t owner;
  rules_t *rules;     /* owned by the read model */
  centres_t *centres; /* withdrawn from use by the operators */
  sched_t *sched;     /* NULL: this daemon is not the owner */
  bool resync_needed; /* no orders until the log was read */
  int64_t pause_detected_us;
  int64_t iteration_us; /* start of the last iteration of the loop */
  int64_t read_us;      /* replies that had arrived by then were read */
  int64_t busy_us;      /* time not spent waiting since load_window_us */
  int64_t load_window_us;
  int64_t progress_due_us;
  int64_t housekeeping_due_us;

  GArray *snapshot_items; /* platform_item_t on the pages read so far */
  uint32_t snapshot_set;  /* that holds the newest snapshot known */
  struct snapshot_write *snapshot_write; /* NULL: none is being written */

  feed_t jobs_feed;
  feed_t rules_feed;
  feed_t workers_feed;
  feed_t fleet_feed;
  GHashTable *listed_workers;   /* ids on the pages read so far */
  GHashTable *rejected_workers; /* ids whose malformed entry was logged */

  GQueue *orders; /* direct_call_t above the limit in flight */
  uint32_t orders_in_flight;

  links_t *links;
  dispatch_t *dispatch;
  GHashTable *hub_peers; /* id -> hub_peer_t */
  uint64_t peer_serial;
  GHashTable *relayed; /* serial -> order_call_t, those that were sent */
  GSequence *relayed_by_deadline;
  uint64_t order_serial;
  GHashTable *forwards; /* batches of other daemons that are being appended */
  agent_t agent;

  GArray *waves; /* wave_record_t */
  bool hosts_in_flight;
  int64_t hosts_due_us;
  int64_t hosts_sent_us;
  GArray *hosts_read;    /* host_info_t on the pages read so far */
  GArray *fleet_retries; /* fleet_write_t that the store rejected */
  int64_t fleet_retry_us;
  summary_writer_t summary_writer;

  GQueue held_submits; /* that wait for the log before they are refused */

  GPtrArray *append_queue;   /* queued_append_t */
  GPtrArray *append_batch;   /* queued_append_t in flight */
  call_t *append_call;       /* of that batch */
  int64_t append_sent_us;    /* ... and when it was sent */
  bool append_is_direct;     /* not by way of the owner */
  bool append_forwards;      /* the next one may go that way */
  uint64_t appends_paced;    /* number of calls of appendpace_add */
  appendpace_t append_pace;  /* of direct ones, while this is not the owner */
  uint32_t append_read_back; /* records of the batch read from the log */
  rto_t append_rto;
  int64_t append_failing_us; /* appends have failed since; 0: the last one was
                                stored */
  uint32_t append_failures;  /* not logged yet */
  int64_t append_logged_us;  /* failed appends were logged last */
  GPtrArray *pending_folds;  /* append_req_t stored but not yet folded */
  int64_t append_due_us;
  bool store_reached;

  pipe_t explains;       /* explain_req_t */
  bool explains_waiting; /* there may be some */
  int64_t explains_due_us;

  GMutex dump_lock;
  char *dump; /* guarded by dump_lock */
  atomic_bool dump_wanted;
};

sched_now_t core_now (void);

/* due_min - set *DUE_US to AT_US if that is earlier.  */
void due_min (int64_t *due_us, int64_t at_us);

/* feeds.c */
void feeds_open (core_t *core, int64_t now_us);
void feeds_close (core_t *core);
void feeds_run (core_t *core, int64_t now_us);
int64_t feeds_due_us (const core_t *core);
/* feeds_restart_workers - read all workers' registrations again.  */
void feeds_restart_workers (core_t *core, int64_t now_us);
/* feed_failed - schedule a retry of FEED.  */
void feed_failed (feed_t *feed, int64_t now_us);
/* feed_restart - read FEED again from its snapshot or newest records.  */
void feed_restart (feed_t *feed, int64_t now_us);
/* feed_next_page - after the page ITEMS of FEED's newest records, read the
   next page or, unless there is MORE, the records from END of the first page
   on.  */
void feed_next_page (feed_t *feed, const GArray *items, bool more,
                     uint64_t end);
/* feed_items_new - an empty array of platform_item_t.  */
GArray *feed_items_new (void);

/* snapshots.c */
void snapshots_open (core_t *core);
void snapshots_close (core_t *core);
void on_snapshot (void *ctx, const call_result_t *result);
void snapshot_write (core_t *core, int64_t now_us);

/* appends.c */
void appends_open (core_t *core);
void appends_close (core_t *core);
/* appends_add - queue RECORD and take ownership of it; REQUEST, which may be
   NULL, is completed when the outcome is known.  */
void appends_add (core_t *core, GBytes *record, append_req_t *request);
/* appends_add_direct - the same for a record that does not go through the
   owner, because it is about its loss.  It isn't repeated if ONCE.
   appends_drop_once - remove such records from the queue: there is a new
   owner.  */
void appends_add_direct (core_t *core, GBytes *record, bool once);
void appends_drop_once (core_t *core);
/* appends_complete - the batch in flight is stored.
   appends_retry - it is not, or perhaps not; its records are appended again,
   at AT_US or later.  */
/* appends_accept - the owner says that the submissions of the batch in flight
   are accepted.  */
void appends_accept (core_t *core);
void appends_complete (core_t *core, int64_t now_us);
void appends_retry (core_t *core, bool maybe_stored, int64_t at_us);
void appends_run (core_t *core, int64_t now_us);
int64_t appends_due_us (const core_t *core, int64_t now_us);
/* appends_read_back - a record of DATA was read from the log.  When the batch
   in flight was read back as a whole, it is stored, whether its reply comes or
   not.  */
void appends_read_back (core_t *core, const uint8_t *data, size_t len,
                        int64_t now_us);
/* appends_handle_record - complete the requests of clients that RECORD
   answers.  A submission waits until the job is in the table, and a cancelling
   until its own record is folded: others of the id may be older than records
   that this daemon has not read.  Neither is answered while records are
   missing.
   A forwarded submission waits for its own record for a short time, so that
   the daemon that has sent it needn't wait until it has read that itself.
   appends_handle_snapshot - the same after the table was replaced.
   appends_await_cancel - whether a cancelling waits to be folded.  */
/* appends_judge - the outcome of REQUEST, a client's, if the table answers it
   now, else APPEND_PENDING.  */
append_outcome_t appends_judge (const core_t *core,
                                const append_req_t *request);
void appends_handle_record (core_t *core, const folded_record_t *record);
void appends_handle_snapshot (core_t *core);
bool appends_await_cancel (const core_t *core);
bool appends_idle (const core_t *core);
/* appends_finish_request - REQUEST has OUTCOME; it is not used afterwards.  */
void appends_finish_request (append_req_t *request, append_outcome_t outcome);
/* appends_refuse - the owner has refused the record INDEX of the batch in
   flight, whose client may return after RETRY_AFTER_S.  The indexes of later
   records fall by one.  */
void appends_refuse (core_t *core, uint32_t index, uint32_t retry_after_s);
/* appends_has_job - whether the submission of job ID is queued or in flight.
 */
bool appends_has_job (const core_t *core, const char *id);

/* admissions.c: submissions that the owner admits or refuses */
/* admissions_take - append the record of REQUEST, which this daemon's front
   has read, or end the request.  A cancelling that may have waited while this
   process was suspended is not appended, nor is a submission if jobs are
   admitted by objective, or its id was cancelled since.
   admissions_add - append RECORD as appends_add does, for a SUBMIT record that
   was not appended anywhere before.  While this daemon is the owner and jobs
   are admitted by objective, it may be refused: once the log was read to an
   end that it had after the record arrived, and the job is neither in it nor
   queued.
   admissions_append - append RECORD without refusing it.  It may be stored
   already.  Until it is in the log, a copy of its job isn't refused either.
 */
void admissions_take (core_t *core, append_req_t *request, int64_t now_us);
void admissions_add (core_t *core, GBytes *record, append_req_t *request);
void admissions_append (core_t *core, GBytes *record, append_req_t *request);
/* admissions_caught_up - all records that the log had at SENT_US are folded.
   admissions_release - this daemon is no longer the owner: what was held is
   appended, which admits it.  */
void admissions_caught_up (core_t *core, int64_t sent_us);
void admissions_release (core_t *core);
/* admissions_expire - complete the held requests whose deadline has passed.
   admissions_due_us - when the next one does.  */
void admissions_expire (core_t *core, int64_t now_us);
int64_t admissions_due_us (const core_t *core);

/* explains.c: requests to explain a job */
bool explains_open (core_t *core);
/* explains_close - end the requests that wait; the core has stopped.  */
void explains_close (core_t *core);
/* explains_handle_event - note the requests that FD says have come; false if
   FD is of another module.
   explains_run - answer the next request if one is due.
   explains_due_us - when it is.  */
bool explains_handle_event (core_t *core, int fd);
void explains_run (core_t *core, int64_t now_us);
int64_t explains_due_us (const core_t *core);

/* orders.c */
void orders_open (core_t *core);
void orders_close (core_t *core);
void orders_send (core_t *core, GArray *orders);
/* ORDERS_START_DELAY_MAX_MS - longest time until a start has a connection.  To
   a neighbouring data centre that takes 2 ms.  A SYN that was lost because the
   worker was down is repeated after 1 s, and may reach its next boot, which
   may be of another kind, and with whose clock the deadline says nothing.  */
#define ORDERS_START_DELAY_MAX_MS 500

/* orders_call_worker - send ORDER, whose request is REQ, to its worker, and
   clear REQ.  A start is not sent after SEND_BY_US, or when it is delayed.
   orders_timeout_ms - how long a worker has to reply to ORDER.
   orders_forget_strings - drop what is valid only until the next call of the
   scheduler.
   orders_process_reply - pass the REPLY to ORDER to the scheduler; REPORT may
   be NULL.  */
void orders_call_worker (core_t *core, const order_t *order,
                         platform_req_t *req, int64_t send_by_us,
                         call_done_t done, void *ctx);
uint32_t orders_timeout_ms (const order_t *order);
void orders_forget_strings (order_t *order);
void orders_process_reply (core_t *core, const order_t *order,
                           const worker_reply_t *reply,
                           const worker_report_t *report);
/* orders_resume - send the orders that waited until the log was read after
   this process was suspended, and that are still due.  */
void orders_resume (core_t *core);
/* orders_clear - drop the orders that are not sent yet, because this daemon is
   no longer the owner.  */
void orders_clear (core_t *core);

/* hub.c */

/* hub_open - accept links, if the settings give an address.  False if that
   fails.  */
bool hub_open (core_t *core);
void hub_close (core_t *core);
/* hub_send_order - have RELAY carry ORDER out.  */
void hub_send_order (core_t *core, relay_t *relay, const order_t *order,
                     int64_t now_us);
/* hub_resume_orders - the same as orders_resume, for orders that wait for
   relays.  */
void hub_resume_orders (core_t *core);
/* hub_expire - end the orders whose relay did not answer in time, as far as
   replies were read.
   hub_due_us - when the next one ends.  */
void hub_expire (core_t *core, int64_t read_us, int64_t now_us);
int64_t hub_due_us (const core_t *core);
/* hub_clear_orders - forget all orders, because this daemon is no longer the
   owner.  */
void hub_clear_orders (core_t *core);
/* hub_find_peer - the daemon whose link has ID, or NULL.
   hub_send - send MSG on LINK.  */
hub_peer_t *hub_find_peer (const core_t *core, uint64_t id);
void hub_send (link_t *link, const linkmsg_t *msg);
/* hub_give_up_records - this daemon can't append, and tells all others; they
   append their records themselves, and replace it if it stays silent.  */
void hub_give_up_records (core_t *core);
/* hub_update_workers - choose the relays for the present workers.  */
void hub_update_workers (core_t *core);

/* forwards.c */

/* forwards_add - append the records of MSG, an APPEND of PEER, and tell it the
   outcome.
   forwards_give_up - the peers append theirs themselves.  */
void forwards_add (core_t *core, const hub_peer_t *peer, const linkmsg_t *msg,
                   int64_t now_us);
void forwards_give_up (core_t *core);

/* agent.c */

/* agent_run - keep a link to the owner.  */
void agent_run (core_t *core, int64_t read_us, int64_t now_us);
int64_t agent_due_us (const core_t *core);
/* agent_append - have the owner append RECORDS, an array of GBytes, as the
   batch in flight; false if there is no link to it.  It may refuse jobs if
   MAY_REFUSE: none of the records may be stored already.
   agent_may_append - whether there is such a link.
   agent_forget_append - the batch was read back from the log.  */
bool agent_may_append (const core_t *core, int64_t now_us);
bool agent_append (core_t *core, GPtrArray *records, bool may_refuse,
                   int64_t now_us);
void agent_forget_append (core_t *core);
/* agent_suspect_owner - the owner is perhaps lost: the batch that it was to
   append is appended directly, and nothing waits behind it.  */
void agent_suspect_owner (core_t *core, int64_t now_us);
/* agent_reset - end the link, because what has arrived on it is old.  */
void agent_reset (core_t *core);
void agent_open (core_t *core);
void agent_close (core_t *core);

/* advicecalls.c */
void advice_calls_send (core_t *core, GArray *requests);

/* hostcalls.c */
void hostcalls_open (core_t *core);
void hostcalls_close (core_t *core);
/* hostcalls_add_wave - handle an operator's record of a wave.  */
void hostcalls_add_wave (core_t *core, const void *data, size_t len);
/* hostcalls_start_owner - called when this daemon becomes the owner.  */
void hostcalls_start_owner (core_t *core);
/* hostcalls_run - call the host service as the scheduler requires.  Owner
   only.  */
void hostcalls_run (core_t *core, int64_t now_us);

/* summaries.c; without effect unless the settings ask for summaries */
/* summaries_start_owner - called when this daemon becomes the owner.  */
void summaries_start_owner (core_t *core, int64_t now_us);
/* summaries_apply - start from the LEN bytes of DATA, an earlier owner's
   summary.  */
void summaries_apply (core_t *core, const void *data, size_t len);
/* summaries_run - write a summary if one is due.  Owner only, once the earlier
   owner's was read.  */
void summaries_run (core_t *core, int64_t now_us);
void summaries_close (core_t *core);

/* core.c */

/* core_record_folded - publish the effect of REC, a record of BYTES, and pass
   it to the scheduler.  */
void core_record_folded (core_t *core, const job_rec_t *rec,
                         fold_result_t fold, size_t bytes, int64_t now_us);
/* core_caught_up - all records that the log had at SENT_US are folded.  */
void core_caught_up (core_t *core, int64_t sent_us, int64_t now_us);
/* core_set_rules - RULES, which are the core's from now on, are in effect.
   core_publish_pending - count by queue the accepted jobs of which no task has
   started; jobs that repeat are left out.  The last counts stay while records
   of the log are missing.  */
void core_set_rules (core_t *core, rules_t *rules);
void core_publish_pending (core_t *core);
/* core_confirm_rules - all operators' records that were stored before SENT_US
   are read.  */
void core_confirm_rules (core_t *core, int64_t sent_us);
/* core_replace_table - replace the job table by TAB, read from a snapshot.  */
void core_replace_table (core_t *core, jobtab_t *tab);
/* core_note_gap - the store has deleted records before END that TAB lacks.
   core_fill_gap - TAB has them now.  */
void core_note_gap (core_t *core, uint64_t end);
void core_fill_gap (core_t *core);
/* core_publish_position - the front takes what TAB has for read, unless
   records are missing from it: one of them may be a cancelling.  */
void core_publish_position (core_t *core);
/* core_lose_ownership - stop scheduling because REFUSED_BY, a worker or a
   host, knows a higher fencing token.  */
void core_lose_ownership (core_t *core, const char *refused_by);
/* core_set_store_reached - whether CALL to the store succeeded.  */
void core_set_store_reached (core_t *core, bool reached, const char *call);

#endif

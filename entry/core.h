/* core - the core's parts and what they share; private to the package

   feeds    reading the job log, the rules and the workers' reports
   snapshots  the job table in a few records, written and read
   appends  group commit of records to the job log
   orders   carrying the scheduler's orders to workers
   questions  asking the service that knows queues' policies
   hostcalls  the same for hosts, and the records of waves
   core     the loop, ownership  */

#ifndef CUMINPIN_CORE_H
#define CUMINPIN_CORE_H

#include "entry.h"
#include "owner.h"
#include <pthread.h>

typedef enum feed_kind
{
  FEED_JOBS,    /* the job log, behind a snapshot */
  FEED_RULES,   /* the operators' records */
  FEED_WORKERS, /* the workers' reports; owner only */
  FEED_FLEET    /* what earlier owners recorded of waves and pools; read once
                   by each owner */
} feed_kind_t;

/* A topic read by long poll: first the newest record of each key or a
   snapshot, then what follows.  */
typedef struct feed
{
  core_t *core;
  feed_kind_t kind;
  uint64_t next_offset;
  bool loaded;    /* what was before is here */
  bool in_flight; /* a call is under way */
  int64_t due_us;
  char *page_after; /* next page of newest records; NULL: the first */
} feed_t;

/* A record on its way to the job log.  */
typedef struct queued_append
{
  GBytes *record;
  append_req_t *request; /* NULL: none waits for it */
  bool maybe_stored;     /* it may be in the log already */
} queued_append_t;

struct core
{
  const entry_settings_t *settings;
  readmodel_t *model;
  calls_t *calls;        /* of the store and of hosts */
  calls_t *worker_calls; /* of workers */
  pipe_t pipe;
  int epoll_fd;
  pthread_t thread;
  atomic_bool stopping;
  atomic_bool release_requested;
  char *holder; /* this life of this daemon */

  jobtab_t *tab;
  bool tab_changed; /* since the last snapshot */
  owner_t owner;
  rules_t *rules;     /* the model's */
  sched_t *sched;     /* NULL: another daemon decides */
  bool resync_needed; /* orders wait until the log was read */
  int64_t pause_detected_us;
  int64_t iteration_us; /* the loop's last turn */
  int64_t busy_us;      /* at work since load_us */
  int64_t load_window_us;
  int64_t progress_due_us;
  int64_t housekeeping_due_us;
  int64_t snapshot_us;
  bool snapshot_in_flight;

  feed_t jobs_feed;
  feed_t rules_feed;
  feed_t workers_feed;
  feed_t fleet_feed;
  GHashTable *listed_workers; /* ids in the pages of newest records so far */

  GQueue *orders; /* sent_order_t that wait for others to be answered */
  uint32_t orders_in_flight;

  GArray *waves; /* operators' records of waves */
  bool hosts_in_flight;
  int64_t hosts_due_us;
  int64_t hosts_sent_us;
  GArray *hosts_read;    /* host_info_t of the pages read so far */
  GArray *fleet_retries; /* records of waves that the store did not take */
  int64_t fleet_retry_us;

  GPtrArray *append_queue;    /* queued_append_t */
  GPtrArray *append_batch;    /* queued_append_t of the call under way */
  GPtrArray *pending_cancels; /* append_req_t whose record has to be folded */
  int64_t append_due_us;
  bool store_reached;

  GMutex dump_lock;
  char *dump; /* guarded by dump_lock */
  atomic_bool dump_wanted;
};

sched_now_t core_now (void);

/* core_wake_us - the earlier of AT_US and *DUE_US.  */
void due_min (int64_t *due_us, int64_t at_us);

/* feeds.c */
void feeds_open (core_t *core, int64_t now_us);
void feeds_close (core_t *core);
void feeds_run (core_t *core, int64_t now_us);
int64_t feeds_due_us (const core_t *core);
/* feeds_restart_workers - start over with the workers' reports.  */
void feeds_restart_workers (core_t *core, int64_t now_us);
/* feed_failed - read FEED again a little later.  */
void feed_failed (feed_t *feed, int64_t now_us);
/* feed_restart - read FEED from the newest records on.  */
void feed_restart (feed_t *feed, int64_t now_us);
/* feed_next_page - ITEMS were a page of FEED's newest records: what is read
   next is the page after it or, unless there is MORE, what follows END.  */
void feed_next_page (feed_t *feed, const GArray *items, bool more,
                     uint64_t end);
/* feed_items_new - an empty array of platform_item_t.  */
GArray *feed_items_new (void);

/* snapshots.c */
void on_snapshot (void *ctx, const call_result_t *result);
void snapshot_write (core_t *core, int64_t now_us);

/* appends.c */
void appends_open (core_t *core);
void appends_close (core_t *core);
/* appends_add - RECORD is taken over.  */
void appends_add (core_t *core, GBytes *record, append_req_t *request);
void appends_run (core_t *core, int64_t now_us);
int64_t appends_due_us (const core_t *core, int64_t now_us);
/* appends_handle_record - REC of the log is folded: asks for it are answered.
 */
void appends_handle_record (core_t *core, const job_rec_t *rec);
bool appends_idle (const core_t *core);

/* orders.c */
void orders_open (core_t *core);
void orders_close (core_t *core);
void orders_send (core_t *core, GArray *orders);
/* orders_clear - forget what was not sent yet: this daemon does not decide any
   more.  */
void orders_clear (core_t *core);

/* questions.c */
void advice_calls_send (core_t *core, GArray *requests);

/* hostcalls.c */
void hostcalls_open (core_t *core);
void hostcalls_close (core_t *core);
/* hostcalls_add_wave - an operator's record of a wave.  */
void hostcalls_add_wave (core_t *core, const void *data, size_t len);
/* hostcalls_start_owner - this daemon has just become the owner.  */
void hostcalls_start_owner (core_t *core);
/* hostcalls_run - owner only.  */
void hostcalls_run (core_t *core, int64_t now_us);

/* core.c */
void core_record_folded (core_t *core, const job_rec_t *rec,
                         fold_result_t folded, int64_t now_us);
void core_caught_up (core_t *core, int64_t sent_us, int64_t now_us);
void core_set_rules (core_t *core, rules_t *rules);
/* core_replace_table - TAB, from a snapshot, stands in for what was folded. */
void core_replace_table (core_t *core, jobtab_t *tab);
void core_lose_ownership (core_t *core, const char *why);
void core_set_store_reached (core_t *core, bool reached, const char *what);

#endif

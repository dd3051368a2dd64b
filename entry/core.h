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
  FEED_MARKS    /* what earlier owners recorded of waves and pools; read once
                   by each owner */
} feed_kind_t;

/* A topic read by long poll: first the newest record of each key or a
   snapshot, then what follows.  */
typedef struct feed
{
  core_t *core;
  feed_kind_t kind;
  uint64_t from;
  bool primed; /* what was before is here */
  bool out;    /* a call is under way */
  int64_t due_us;
  char *after; /* next page of newest records; NULL: the first */
} feed_t;

/* A record on its way to the job log.  */
typedef struct outgoing
{
  GBytes *record;
  ask_t *ask; /* NULL: none waits for it */
  bool tried; /* it may be in the log already */
} outgoing_t;

struct core
{
  const entry_settings_t *settings;
  board_t *board;
  calls_t *calls;        /* of the store and of hosts */
  calls_t *worker_calls; /* of workers */
  pipe_t pipe;
  int epoll_fd;
  pthread_t thread;
  atomic_bool stopping;
  atomic_bool leaving;
  char *self; /* this life of this daemon */

  jobtab_t *tab;
  bool tab_changed; /* since the last snapshot */
  owner_t owner;
  rules_t *rules;          /* the board's */
  sched_t *sched;          /* NULL: another daemon decides */
  bool unsure_since_pause; /* orders wait until the log was read */
  int64_t paused_us;
  int64_t turn_us; /* the loop's last turn */
  int64_t busy_us; /* at work since load_us */
  int64_t load_us;
  int64_t progress_due_us;
  int64_t housekeeping_us;
  int64_t snapshot_us;
  bool snapshot_out;

  feed_t jobs_feed;
  feed_t rules_feed;
  feed_t workers_feed;
  feed_t marks_feed;
  GHashTable *seen_workers; /* ids in the pages of newest records so far */

  GQueue *orders; /* sent_order_t that wait for others to be answered */
  uint32_t orders_out;

  GArray *waves; /* operators' records of waves */
  bool hosts_out;
  int64_t hosts_due_us;
  int64_t hosts_sent_us;
  GArray *hosts_page; /* host_info_t of the pages read so far */
  GArray *news_again; /* records of waves that the store did not take */
  int64_t news_due_us;

  GPtrArray *waiting; /* outgoing_t */
  GPtrArray *sent;    /* outgoing_t of the call under way */
  GPtrArray *cancels; /* ask_t whose record has to be folded */
  int64_t append_due_us;
  bool store_reached;

  GMutex dump_lock;
  char *dump; /* guarded by dump_lock */
  atomic_bool dump_wanted;
};

sched_now_t core_now (void);

/* core_wake_us - the earlier of AT_US and *DUE_US.  */
void wake_at (int64_t *due_us, int64_t at_us);

/* feeds.c */
void feeds_open (core_t *core, int64_t now_us);
void feeds_close (core_t *core);
void feeds_run (core_t *core, int64_t now_us);
int64_t feeds_due_us (const core_t *core);
/* feeds_watch_workers - start over with the workers' reports.  */
void feeds_watch_workers (core_t *core, int64_t now_us);
/* feed_failed - read FEED again a little later.  */
void feed_failed (feed_t *feed, int64_t now_us);
/* feed_restart - read FEED from the newest records on.  */
void feed_restart (feed_t *feed, int64_t now_us);
/* feed_next_page - ITEMS were a page of FEED's newest records: what is read
   next is the page after it or, unless there is MORE, what follows END.  */
void feed_next_page (feed_t *feed, const GArray *items, bool more,
                     uint64_t end);
/* newest_items - an empty array of platform_item_t.  */
GArray *newest_items (void);

/* snapshots.c */
void on_snapshot (void *ctx, const call_result_t *result);
void snapshot_write (core_t *core, int64_t now_us);

/* appends.c */
void appends_open (core_t *core);
void appends_close (core_t *core);
/* appends_add - RECORD is taken over.  */
void appends_add (core_t *core, GBytes *record, ask_t *ask);
void appends_run (core_t *core, int64_t now_us);
int64_t appends_due_us (const core_t *core, int64_t now_us);
/* appends_seen - REC of the log is folded: asks for it are answered.  */
void appends_seen (core_t *core, const job_rec_t *rec);
bool appends_idle (const core_t *core);

/* orders.c */
void orders_open (core_t *core);
void orders_close (core_t *core);
void orders_send (core_t *core, GArray *orders);
/* orders_clear - forget what was not sent yet: this daemon does not decide any
   more.  */
void orders_clear (core_t *core);

/* questions.c */
void questions_send (core_t *core, GArray *questions);

/* hostcalls.c */
void hostcalls_open (core_t *core);
void hostcalls_close (core_t *core);
/* hostcalls_add_wave - an operator's record of a wave.  */
void hostcalls_add_wave (core_t *core, const void *data, size_t len);
/* hostcalls_restart - this daemon has just become the owner.  */
void hostcalls_restart (core_t *core);
/* hostcalls_run - owner only.  */
void hostcalls_run (core_t *core, int64_t now_us);

/* core.c */
void core_folded (core_t *core, const job_rec_t *rec, fold_result_t folded,
                  int64_t now_us);
void core_caught_up (core_t *core, int64_t sent_us, int64_t now_us);
void core_set_rules (core_t *core, rules_t *rules);
/* core_replace_table - TAB, from a snapshot, stands in for what was folded. */
void core_replace_table (core_t *core, jobtab_t *tab);
void core_depose (core_t *core, const char *why);
void core_store_state (core_t *core, bool reached, const char *what);

#endif

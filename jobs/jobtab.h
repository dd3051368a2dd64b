/* jobtab - the fold of the job log

   NAME
     jobtab_fold, jobtab_pack, jobtab_unpack

   DESCRIPTION
     All jobs that daemons accepted, how far they are, and who owns the
     decisions, as the records say.  Every daemon that has folded the same
     records holds the same table.  A snapshot of it stands in for the records
     before it.

     Progress counts only when it comes from the owner of the present epoch, so
     what a replaced owner still appends changes nothing.  */

#ifndef CUMINPIN_JOBTAB_H
#define CUMINPIN_JOBTAB_H

#include "job.h"

/* What is known of one task.  */
typedef struct task_progress
{
  failures_t fails;
  uint32_t placed;    /* last attempt that was to start; 0: none */
  const char *worker; /* where; interned */
  bool done;
} task_progress_t;

typedef struct job_entry
{
  job_desc_t *desc; /* without steps once the state is final */
  job_state_t state;
  int64_t since_ms;       /* of the present state, since 1970 */
  task_progress_t *tasks; /* by task number; NULL once the state is final */
  uint32_t tasks_count;
} job_entry_t;

typedef struct ownership
{
  uint64_t epoch; /* 0: nobody has owned the decisions yet */
  char *holder;
  bool released;
  bool same_daemon; /* the owner before was an earlier life of this one */
} ownership_t;

typedef struct jobtab
{
  GHashTable *jobs; /* id -> job_entry_t */
  ownership_t owner;
  uint64_t next; /* offset of the first record that is not folded */
} jobtab_t;

typedef enum fold_kind
{
  FOLD_NOTHING,   /* changed nothing: repeated, or of a replaced owner */
  FOLD_SUBMITTED, /* entry is new */
  FOLD_CANCELLED, /* entry is cancelled now */
  FOLD_CLAIMED,   /* the decisions have another owner */
  FOLD_RELEASED,  /* the owner has given them up */
  FOLD_RENEWED,   /* the owner is there */
  FOLD_PROBED,    /* a daemon asks for a sign of the owner */
  FOLD_PROGRESS   /* the owner's progress was taken in */
} fold_kind_t;

typedef struct fold_result
{
  fold_kind_t kind;
  job_entry_t *entry; /* SUBMITTED, CANCELLED */
} fold_result_t;

/* Holders are NAME#START#SHARE: a daemon, its life, and its part of a core in
   percent.
   holder_name - that of a daemon's life, which the caller frees.
   holder_is_same_daemon - whether A and B are lives of one daemon.
   holder_share_percent - 0 when HOLDER does not say.  */
char *holder_name (const char *daemon, int64_t start_ms, double cpu_share);
bool holder_is_same_daemon (const char *a, const char *b);
uint32_t holder_share_percent (const char *holder);

jobtab_t *jobtab_new (void);
void jobtab_free (jobtab_t *table);

/* jobtab_fold - take in REC, which TABLE may keep parts of, at NOW_MS since
   1970.  The caller advances table->next.  */
fold_result_t jobtab_fold (jobtab_t *table, job_rec_t *rec, int64_t now_ms);

job_entry_t *jobtab_find (const jobtab_t *table, const char *id);

/* jobtab_purge - forget the jobs that have been final for KEEP_MS; DROP is
   called before each.  */
void jobtab_purge (jobtab_t *table, int64_t now_ms, int64_t keep_ms,
                   void (*drop) (const job_entry_t *entry, void *ctx),
                   void *ctx);

GBytes *jobtab_pack (const jobtab_t *table);

/* jobtab_unpack - NULL, with *ERROR set, when the LEN bytes of DATA are no
   snapshot.  */
jobtab_t *jobtab_unpack (const void *data, size_t len, GError **error);

#endif

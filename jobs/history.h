/* history - whether the job log and its snapshots still hold all records

   NAME
     history

   DESCRIPTION
     The store deletes a record when its retention period is over.  By then a
     snapshot has to hold it, or a daemon that starts later lacks accepted
     jobs, and ends that workers have forgotten.

     The owner writes snapshots and tracks the age of the oldest record that
     none of them holds.  When a daemon finds that records were deleted which
     it has not read, its table is incomplete until it has read a snapshot
     that holds them.

     Times are in microseconds on the boot clock.  */

#ifndef CUMINPIN_HISTORY_H
#define CUMINPIN_HISTORY_H

#include <stdbool.h>
#include <stdint.h>

/* Snapshots written per retention period of the store.  */
#define HISTORY_SNAPSHOTS_PER_RETENTION 4
/* A snapshot is also due when the log has grown by as many bytes as the last
   one has, or by HISTORY_LOG_BYTES_MIN if that is more: a daemon that starts
   reads both, after a power failure all of them at once.  */
#define HISTORY_LOG_BYTES_MIN (512 * 1024)
/* Minimum interval between two snapshots that were stored.  */
#define HISTORY_PAUSE_US 2000000
/* A snapshot that could not be stored is written again after this time, which
   doubles up to HISTORY_RETRY_MAX_US: on a slow link the attempts would leave
   no room for anything else.  */
#define HISTORY_RETRY_US 250000
#define HISTORY_RETRY_MAX_US 2000000
/* Part of the retention period after which an uncovered record is at risk.
   The rest is left for storing a snapshot in a slow store.  */
#define HISTORY_RISK_PERCENT 60
/* Interval at which an incomplete daemon reads the snapshot again.  */
#define HISTORY_REREAD_US 500000

typedef struct history
{
  int64_t keep_us;         /* retention period of the store */
  int64_t uncovered_us;    /* when the oldest record was folded that is in no
                              snapshot; 0: there is none */
  int64_t writing_us;      /* the same, for the snapshot being written */
  int64_t attempt_us;      /* when the last snapshot was begun; 0: never */
  uint64_t log_bytes;      /* records folded since then */
  uint64_t snapshot_bytes; /* of that snapshot */
  bool in_flight;          /* a snapshot is being written */
  uint32_t failures;       /* consecutive snapshots that were not stored */
  uint64_t missing_end;    /* records before this offset are missing from the
                              table; 0: none */
  int64_t reread_us;       /* when the snapshot was last read again */
} history_t;

void history_init (history_t *history, int64_t keep_us);

/* history_start_owner - this daemon becomes the owner.  It does not know how
   old the newest snapshot is, so the first one is due at once.  */
void history_start_owner (history_t *history, int64_t now_us);

/* history_add_record - a record of BYTES was read; it CHANGES the table or
   does not.  */
void history_add_record (history_t *history, uint64_t bytes, bool changes,
                         int64_t now_us);

/* history_snapshot_is_due - whether the owner has to write a snapshot now.
   history_begin_snapshot - a snapshot of the present table, of BYTES, is being
   written.
   history_end_snapshot - it is STORED, or may not be.  */
bool history_snapshot_is_due (const history_t *history, int64_t now_us);
void history_begin_snapshot (history_t *history, uint64_t bytes,
                             int64_t now_us);
void history_end_snapshot (history_t *history, bool stored);

/* history_is_at_risk - whether the store may delete a record before a snapshot
   holds it.  The owner then records no progress: nothing new is started, and
   workers keep their ends.  */
bool history_is_at_risk (const history_t *history, int64_t now_us);

/* history_note_gap - the records before END that were not folded are deleted.
   history_covers - whether a snapshot with all records before NEXT fills the
   gap, if there is one.  The caller then calls history_fill_gap.  */
void history_note_gap (history_t *history, uint64_t end);
bool history_covers (const history_t *history, uint64_t next);
void history_fill_gap (history_t *history);
bool history_is_complete (const history_t *history);

/* history_reread_is_due - whether an incomplete daemon reads the snapshot
   again now; at most every HISTORY_REREAD_US.  */
bool history_reread_is_due (history_t *history, int64_t now_us);

#endif

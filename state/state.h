/* state - state shared by all daemons, built by folding the platform's log

   NAME
     record, fold, disrupt, table

   DESCRIPTION
     A record is a conditional change: it applies only if the object that it
     names still has the version that the record gives.  state_fold depends
     only on the state and the record, so all readers of the log agree at each
     offset, and of two concurrent writers one succeeds.

     Path of a record: read -> rec_check -> state_fold -> publish.

     Names in the state are interned strings, which are never freed; their
     number is bounded by the inventory.  */

#ifndef CUMINPIN_STATE_H
#define CUMINPIN_STATE_H

#include "conf.h"

#define REC_ID_BYTES 16
#define REC_NAME_BYTES (NAME_BYTES_MAX + 1)

typedef enum rec_kind
{
  REC_CONFIG = 1,
  REC_KEY_GRANT = 2,
  REC_KEY_WITHDRAW = 3,
  REC_JOIN = 4,
  REC_LEAVE = 5,
  REC_HOST_MOVE = 6,
  REC_DRAIN = 7,
  REC_HOST_STATE = 8,
  REC_WAVE = 9,
  REC_UNKNOWN = 255 /* from a newer version; the payload was not decoded */
} rec_kind_t;

/* IN_SERVICE -> DRAINING -> DRAINED -> MAINTENANCE -> IN_SERVICE; FAILED can
   follow any phase and returns to IN_SERVICE.  */
typedef enum host_phase
{
  HOST_IN_SERVICE,
  HOST_DRAINING,
  HOST_DRAINED,
  HOST_MAINTENANCE,
  HOST_FAILED
} host_phase_t;

typedef enum wave_phase
{
  WAVE_IDLE,
  WAVE_RUNNING,
  WAVE_PAUSED,
  WAVE_ABANDONED,
  WAVE_DONE
} wave_phase_t;

typedef struct rec_config
{
  uint32_t format;
  uint64_t base_version; /* version that this configuration replaces */
  char *text;
  size_t len;
  fleet_t *fleet; /* set by rec_check; state_fold takes ownership */
} rec_config_t;

typedef struct rec_key
{
  char id[REC_NAME_BYTES];
  char team[REC_NAME_BYTES];       /* KEY_GRANT only */
  char digest[KEY_DIGEST_HEX + 1]; /* KEY_GRANT only */
} rec_key_t;

typedef struct rec_entry
{
  char name[REC_NAME_BYTES];
  uint64_t incarnation;
} rec_entry_t;

typedef struct rec_host_move
{
  char host[REC_NAME_BYTES];
  char pool[REC_NAME_BYTES];
  uint64_t host_version;
} rec_host_move_t;

typedef struct rec_drain
{
  char host[REC_NAME_BYTES];
  char wave[REC_NAME_BYTES]; /* empty: drain for a move, not for maintenance */
  uint64_t host_version;
  uint64_t wave_run;
} rec_drain_t;

typedef struct rec_host_state
{
  char host[REC_NAME_BYTES];
  host_phase_t phase;
  uint64_t host_version;
} rec_host_state_t;

typedef struct rec_wave
{
  char wave[REC_NAME_BYTES];
  wave_phase_t phase; /* to enter; RUNNING starts a new run unless the wave is
                         PAUSED */
  uint64_t wave_version;
} rec_wave_t;

typedef struct rec
{
  rec_kind_t kind;
  uint8_t id[REC_ID_BYTES];
  char author[REC_NAME_BYTES];
  int64_t time_ms;
  bool required; /* a reader that doesn't know the kind must stop before it */
  union
  {
    rec_config_t config;         /* CONFIG */
    rec_key_t key;               /* KEY_GRANT, KEY_WITHDRAW */
    rec_entry_t entry;           /* JOIN, LEAVE */
    rec_host_move_t host_move;   /* HOST_MOVE */
    rec_drain_t drain;           /* DRAIN */
    rec_host_state_t host_state; /* HOST_STATE */
    rec_wave_t wave;             /* WAVE */
  } u;
} rec_t;

typedef enum verdict
{
  VERDICT_APPLIED,
  VERDICT_REPEATED, /* this offset or a record with this id was already
                       folded */
  VERDICT_STALE,    /* its condition does not hold */
  VERDICT_INVALID,  /* it can never apply */
  VERDICT_UNKNOWN,  /* optional kind from a newer version: skipped */
  VERDICT_BEHIND    /* required kind or format from a newer version: this
                       reader must not fold it or any later record */
} verdict_t;

const char *verdict_name (verdict_t verdict);
const char *rec_kind_name (rec_kind_t kind);
const char *host_phase_name (host_phase_t phase);
const char *wave_phase_name (wave_phase_t phase);

/* rec_init - makes REC an empty record of KIND with a new random id.  */
void rec_init (rec_t *rec, rec_kind_t kind, const char *author,
               int64_t now_ms);

/* rec_clear - frees the memory that REC owns.  */
void rec_clear (rec_t *rec);

/* rec_check - whether REC is well formed, independent of any state; sets
 *ERROR if not.  For CONFIG it also loads the fleet.  */
bool rec_check (rec_t *rec, GError **error);

/* Sorted table of entries of equal size, whose first member is the name.  */
typedef struct table
{
  uint32_t entry_bytes;
  uint32_t count;
  uint32_t capacity;
  uint8_t *entries;
} table_t;

void table_init (table_t *table, uint32_t entry_bytes);
void table_clear (table_t *table);
void table_copy (table_t *to, const table_t *from);

/* table_find - returns the entry NAME, or NULL.  */
void *table_find (const table_t *table, const char *name);

/* table_add - returns the entry NAME; adds it, with all other members zero, if
   there is none.  */
void *table_add (table_t *table, const char *name);

void table_remove (table_t *table, const char *name);

/* table_at - returns the entry at INDEX, in order of names.  */
void *table_at (const table_t *table, uint32_t index);

typedef struct key_state
{
  const char *id;
  const char *team;
  uint8_t digest[KEY_DIGEST_BYTES];
  bool withdrawn; /* permanent: a later configuration can't grant it again */
} key_state_t;

typedef struct entry_state
{
  const char *name;
  uint64_t incarnation;
  int64_t joined_ms;
  bool left; /* that incarnation stopped gracefully */
} entry_state_t;

typedef struct host_state
{
  const char *name;
  const char *pool;      /* current pool */
  const char *home_pool; /* pool in the fleet file; a host is in another one
                            after a HOST_MOVE, or until it has been drained
                            and moved */
  const char *rack;
  const char *wave;      /* wave of the current drain, or NULL */
  const char *done_wave; /* last wave that drained it, or NULL */
  uint64_t done_run;
  uint64_t version;
  host_phase_t phase;
} host_state_t;

typedef struct wave_state
{
  const char *name;
  uint64_t version;
  uint64_t run;
  wave_phase_t phase;
} wave_state_t;

/* An accepted configuration; reference-counted and shared by states.  */
typedef struct config
{
  atomic_uint refs;
  uint64_t version;
  char author[REC_NAME_BYTES]; /* of its record */
  int64_t time_ms;
  char *text;
  size_t len;
  fleet_t *fleet;
} config_t;

config_t *config_ref (config_t *config);
void config_unref (config_t *config);

#define SEEN_IDS 4096

typedef struct seen_id
{
  uint8_t id[REC_ID_BYTES];
} seen_id_t;

/* The folded state.  A state that is published in a view is never changed: a
   reader folds into a private state and publishes copies.  */
typedef struct state
{
  uint64_t offset;  /* of the next record to fold */
  config_t *config; /* NULL before the first configuration */
  table_t keys;     /* key_state_t */
  table_t entries;  /* entry_state_t */
  table_t hosts;    /* host_state_t */
  table_t waves;    /* wave_state_t */
  seen_id_t *seen;  /* ring buffer of the last SEEN_IDS record ids */
  uint64_t seen_count;
  GHashTable *seen_set;
} state_t;

state_t *state_new (void);

/* state_copy - returns a copy for a view, without the seen ids; shares the
   configuration.  */
state_t *state_copy (const state_t *state);

void state_free (state_t *state);

/* state_fold - applies REC, which has passed rec_check and is at OFFSET in the
   log.  Advances state->offset past it, except for VERDICT_BEHIND.  A record
   before state->offset is VERDICT_REPEATED and changes nothing, because both
   the log and a peer may deliver it.  */
verdict_t state_fold (state_t *state, rec_t *rec, uint64_t offset);

/* state_config_version - returns the version of the configuration; 0 before
   the first one.  */
uint64_t state_config_version (const state_t *state);

/* The fold enforces these rules for planned disruption, so that they hold for
   any concurrent writers:
   - A DRAIN stays within the budgets of the host's pool and, for a wave,
     within at_once; a run of a wave drains a host only once.
   - A HOST_MOVE needs a host that was drained for a move, not for a wave.
   - A wave starts a new run from IDLE, DONE or ABANDONED, and not while
     another unfinished wave shares a pool with it.  */

/* state_budget_left - returns how many more hosts of POOL in RACK may be taken
   out of service now.  */
uint32_t state_budget_left (const state_t *state, const char *pool,
                            const char *rack);

/* state_wave_host_done - whether the current run of WAVE doesn't need to drain
   HOST, because it has done so or because another unfinished wave has.  */
bool state_wave_host_done (const state_t *state, const wave_state_t *wave,
                           const host_state_t *host);

#endif

/* admit - who may run work now: keys, freshness of the view, permits, queues

   NAME
     key, freshness, escrow, share, queue

   DESCRIPTION
     key     finds the team of a key
     freshness  judges whether this daemon may have missed a change
     escrow  permits of one resource (a team's limit, an upstream's slots) held
             by this daemon; taking one is an atomic operation
     share   splits a limit over the entry hosts and decides when a daemon may
             hold its part
     queue   weighted fair queueing between the teams of one service
             (start-time fair queueing, Goyal, Vin and Cheng 1996)

     None of these reads a clock, a socket or a file.  All times named now_us
     are monotonic.  */

#ifndef CUMINPIN_ADMIT_H
#define CUMINPIN_ADMIT_H

#include "state.h"

/* An immutable index of the keys in a state.  */
typedef struct key_index key_index_t;

key_index_t *key_index_new (const state_t *state);
void key_index_free (key_index_t *index);

/* key_index_find - the interned name of the team that KEY (LEN bytes as the
   client sent them) belongs to; NULL when it is unknown or withdrawn.
   Compares digests in constant time.  */
const char *key_index_find (const key_index_t *index, const char *key,
                            size_t len);

typedef enum freshness
{
  FRESH, /* the log was read to its end in time, here or at a live peer */
  BLIND, /* the log was found down in time, nobody reads it, and all other data
            centres are heard */
  STALE  /* somebody may have appended a record that is not seen here */
} freshness_t;

const char *freshness_name (freshness_t freshness);

/* What the last heartbeat of a peer said.  */
typedef struct peer_heartbeat
{
  const char *data_centre;
  int64_t heard_us;    /* when it came; 0: never */
  int64_t log_read_us; /* when that peer last read the log to its end, by this
                          daemon's clock; 0: never */
  uint64_t offset;     /* up to which that peer has folded */
} peer_heartbeat_t;

/* What this daemon knows of the log, itself and through its peers.  */
typedef struct freshness_inputs
{
  int64_t log_read_us;   /* last read to the end; 0: never */
  int64_t log_failed_us; /* end of the last read that failed in its time: one
                            that a pause of the process has stretched tells
                            nothing; 0: never */
  uint64_t offset;       /* folded up to here */
  const char *data_centre;
  const char *const *data_centres; /* those with entry hosts, from the fleet */
  uint32_t data_centres_count;
  const peer_heartbeat_t *peers;
  uint32_t peers_count;
} freshness_inputs_t;

#define FRESH_MAX_AGE_US 3000000

/* freshness_evaluate - how fresh VIEW is at NOW_US, with GRACE_US added to
   FRESH_MAX_AGE_US.  A peer that read the log counts only up to the offset
   that this daemon has folded too.  */
freshness_t freshness_evaluate (const freshness_inputs_t *view, int64_t now_us,
                                int64_t grace_us);

/* Permits of one resource at this daemon: its own share, less what is lent,
   plus what was borrowed.  */
typedef struct escrow escrow_t;

/* Where a permit came from, so that it goes back there.  */
typedef struct permit
{
  uint32_t source;     /* 0: none; 1: own share; else a loan */
  uint32_t generation; /* of that loan */
} permit_t;

escrow_t *escrow_new (void);
void escrow_free (escrow_t *escrow);

/* escrow_set_share - this daemon's own share is SHARE from now on.  A lower
   one counts at once: nothing is granted until enough permits came back.  */
void escrow_set_share (escrow_t *escrow, uint32_t share);

uint32_t escrow_share (const escrow_t *escrow);

/* escrow_acquire - take a permit for work that has surely ended at END_US; a
   lent one only if its loan lasts so long.  False when there is none.
   Lock-free; any thread.  */
bool escrow_acquire (escrow_t *escrow, int64_t now_us, int64_t end_us,
                     permit_t *permit);

/* escrow_release - give PERMIT back; any thread.  */
void escrow_release (escrow_t *escrow, permit_t permit);

/* escrow_in_use - permits taken and not given back.  */
uint32_t escrow_in_use (const escrow_t *escrow);

/* escrow_free_count - own permits that could be taken now; negative after the
   share was lowered below what is in use.  */
int64_t escrow_free_count (const escrow_t *escrow);

/* escrow_available - permits that escrow_acquire could take now for work that
   has surely ended at END_US, lent ones included.  Any thread.  */
uint32_t escrow_available (const escrow_t *escrow, int64_t now_us,
                           int64_t end_us);

/* escrow_can_borrow - whether another loan can be opened.  Any thread.  */
bool escrow_can_borrow (const escrow_t *escrow);

/* escrow_lend - subtract up to COUNT free permits of the own share until
   EXPIRY_US; the number subtracted.  They are back after escrow_expire at a
   time past EXPIRY_US plus the clock error.  One thread.  */
uint32_t escrow_lend (escrow_t *escrow, uint32_t count, int64_t expiry_us);

/* escrow_borrow - add COUNT permits, good until EXPIRY_US.  False when too
   many loans are open: the permits stay unused.  One thread.  */
bool escrow_borrow (escrow_t *escrow, uint32_t count, int64_t expiry_us);

/* escrow_lent - permits lent and not yet back.  The same thread.  */
uint32_t escrow_lent (const escrow_t *escrow);

/* escrow_expire - drop expired loans and take back expired lendings.  The same
   thread as escrow_lend and escrow_borrow.  */
void escrow_expire (escrow_t *escrow, int64_t now_us);

/* share_split - the part of LIMIT of RESOURCE that belongs to SELF among COUNT
   entry HOSTS; 0 when SELF is not one of them.  The parts add up to LIMIT;
   the remainder goes to the first by rendezvous rank.  */
uint32_t share_split (const char *resource, uint32_t limit,
                      const char *const *hosts, uint32_t count,
                      const char *self);

/* share_effective - the share to hold now by a daemon that holds HELD and
   whose part is PART: a lower one at once, a higher one when the gate is open.
 */
uint32_t share_effective (uint32_t held, uint32_t part, bool gate_open);

#define LOAN_US 10000000 /* length of a loan */

/* share_outstanding_us - after a host lowered its share or stopped, how long
   its permits may still be in use by work that runs for at most RUN_US
   (longest deadline plus longest overrun) or be lent.  */
int64_t share_outstanding_us (int64_t run_us);

/* share_quarantine_us - how long after its start a daemon may hold no share.
   BEFORE is this host's entry in the state just before the daemon's own JOIN
   was folded: none after a predecessor that never joined or that left.  While
   that JOIN is not in the log, pass the present entry; if it is NULL or left,
   the daemon must wait for its JOIN, because its successor would not know of
   it: the result is then INT64_MAX.  */
int64_t share_quarantine_us (const entry_state_t *before, bool join_folded,
                             int64_t run_us);

/* What is known of another host that may hold shares: one that is listed in
   the configuration, or one that joined and has not left.  All is reported by
   its present incarnation and 0 until that has reported.  */
typedef struct share_report
{
  uint64_t version; /* its configuration, to which it lowered its shares */
  uint64_t settled; /* the version when nothing in use or lent exceeded its
                       shares, and its quarantine was over */
  bool listed;
} share_report_t;

/* Decides when raised shares may be held; one for each daemon.  */
typedef struct share_gate
{
  uint64_t version;     /* of the configuration in effect here */
  int64_t hold_from_us; /* end of the quarantine */
  int64_t since_us;     /* all listed hosts are at this version; 0: not yet */
} share_gate_t;

/* share_gate_set - the configuration VERSION is in effect from now on, and no
   share is held before HOLD_FROM_US.  */
void share_gate_set (share_gate_t *gate, uint64_t version,
                     int64_t hold_from_us);

/* share_gate_is_open - whether raised shares may be held at NOW_US (above 0):
   every other listed host has reported this version, none a later one, and
   each is settled, or WAIT_US (share_outstanding_us) has passed.  A host that
   is no longer listed and has not reported counts as stale, hence as admitting
   nothing, FRESH_MAX_AGE_US plus GRACE_US after the listed hosts.  To be
   called regularly.  */
bool share_gate_is_open (share_gate_t *gate, const share_report_t *reports,
                         uint32_t count, int64_t now_us, int64_t wait_us,
                         int64_t grace_us);

/* share_may_leave - whether a daemon that stops may write its LEAVE, after
   which its successor and others reckon with nothing of it: none of its
   permits is IN_USE or LENT, and the work of its own predecessor has ended. */
bool share_may_leave (const share_gate_t *gate, uint32_t in_use, uint32_t lent,
                      int64_t now_us);

/* A waiting request; embedded in the daemon's request.  */
typedef struct queue_entry
{
  struct queue_entry *next;
  struct queue_entry *prev;
  struct queue_team *team;
  int64_t expires_us;  /* latest time at which sending it makes sense */
  uint32_t heap_index; /* private: place in the order of expiry */
} queue_entry_t;

/* The queue of one team at one service.  */
typedef struct queue_team queue_team_t;

typedef struct fair_queue fair_queue_t;

/* queue_new - a queue that holds at most MAX_PER_TEAM entries of a team.  Not
   safe for several threads at once: the owner holds a lock.  */
fair_queue_t *queue_new (uint32_t max_per_team);
void queue_free (fair_queue_t *queue);
void queue_set_max (fair_queue_t *queue, uint32_t max_per_team);

/* queue_team - the queue of team NAME with weight SHARE, made if need be.
   It lives as long as the queue.  */
queue_team_t *queue_team (fair_queue_t *queue, const char *name,
                          uint32_t share);

const char *queue_team_name (const queue_team_t *team);

/* queue_put - append ENTRY to TEAM's queue.  ERR_QUEUE_FULL when it is full;
   ERR_WOULD_BE_LATE when, at the rate at which the queue was served lately,
   its turn would come after EXPIRES_US.  */
err_kind_t queue_put (fair_queue_t *queue, queue_team_t *team,
                      queue_entry_t *entry, int64_t now_us,
                      int64_t expires_us);

/* queue_take - remove and return the next entry in fair order among the teams
   for which MAY_RUN (CTX, entry) is true; NULL when there is none.  MAY_RUN is
   called in fair order for the first entry of each team until it accepts one,
   so it may take what that entry needs.  Never returns an expired entry.  */
queue_entry_t *queue_take (fair_queue_t *queue, int64_t now_us,
                           bool (*may_run) (void *ctx, queue_entry_t *entry),
                           void *ctx);

/* queue_charge - count work of TEAM that starts at NOW_US without waiting (the
   queue was empty), so that it takes its turn later.  */
void queue_charge (fair_queue_t *queue, queue_team_t *team, int64_t now_us);

/* queue_complete - the slot of a request of TEAM is free again; STARTED_US is
   the time that was given to queue_take or queue_charge.  Shares are of slot
   time, so each of these must be settled once.  */
void queue_complete (fair_queue_t *queue, queue_team_t *team,
                     int64_t started_us, int64_t now_us);

/* queue_remove - take out ENTRY, whose client is gone.  */
void queue_remove (fair_queue_t *queue, queue_entry_t *entry);

/* queue_take_expired - remove and return an entry whose expires_us has passed;
   NULL when there is none.  */
queue_entry_t *queue_take_expired (fair_queue_t *queue, int64_t now_us);

/* queue_length - entries in the queue, with those that have expired and were
   not taken out.  Any thread, without the lock.  */
uint32_t queue_length (const fair_queue_t *queue);

#endif
